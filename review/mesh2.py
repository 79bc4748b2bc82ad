"""Stand-ins for the script cases 6 to 9: a store, servers, clients, a mesh.

All stand-ins run in the process of the case. The daemons are separate
processes, started with the command of the deploy file and with settings that
are rendered from its template. Each machine has a loopback address of its own.
"""

import asyncio
from collections.abc import Callable
import contextlib
import copy
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
import urllib.parse
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
OBJECTS_PATH = '/-/objects/'
HOST_NAME = 'shop.example'
# The second number is drawn in each run, so that runs beside each other use
# other addresses.
_NETWORK = random.SystemRandom().randint(1, 254)
STORE_IP = f'127.{_NETWORK}.40.1'
FIRST_MACHINE_IP = (127, _NETWORK, 41, 1)
# Range of ports, without its end. It is below the range from which Linux by
# default assigns ports to outgoing connections.
FIRST_PORT = 12_000
PORT_RANGE_END = 32_000
# Bounds of the site bvmoma-mesh.
BOUNDS = {
    'SeedLagS': 3,
    'AddrReuseS': 2,
    'ContactMs': 3000,
    'AckMs': 4000,
    'CatchUpS': 4,
    'DrainMs': 2000,
    'GraceS': 6,
    'LossSlackMs': 200,
    'ConfigApplyMs': 2000,
    'RollbackSlackMs': 250,
    'MaxSkewMs': 5000,
    'RetryBudgetRatio': 0.2,
    'BudgetWindowS': 10,
    'BudgetSlack': 56,
    'ExposeShare': 0.1,
    'ExposeSlack': 50,
    'RollbackMs': 5000,
    'RecoverS': 15,
}
HEARTBEAT_S = 1.5
# Time from the end of a process to its restart by the platform, in seconds.
RESTART_DELAY_S = 0.5
HISTORY_S = 20.0

Headers = dict[str, str]
_chosen_ports: set[int] = set()


def is_troubled() -> bool:
    """Returns whether the disruption of the case is to happen."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was seen to `record.txt` in the folder of the case."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / 'record.txt').open('w')
        self.started = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Writes one line with the time since the start of the case."""
        at = time.monotonic() - self.started
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at:8.3f} {event} {text}\n')
        self._file.flush()

    def note(self, event: str, **fields: Any) -> None:
        """Writes one line and prints it."""
        self.write(event, **fields)
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        print(f'{time.monotonic() - self.started:8.3f} {event} {text}')
        sys.stdout.flush()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers, bytes]:
    """Reads a request or a response with a length or in chunks."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while size := int((await reader.readline()).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return first, headers, body
    length = int(headers.get('content-length', '0'))
    return first, headers, await reader.readexactly(length)


def encode_message(first: str, headers: Headers, body: bytes) -> bytes:
    """Serializes a request or a response."""
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'content-length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: Headers | None = None,
    body: bytes = b'',
    *,
    timeout_s: float = 1.0,
    source_ip: str = '',
) -> tuple[int, Headers, bytes]:
    """Sends one request on a new connection.

    Returns:
        Status, headers and body of the response; the status is 0 without one.
    """
    ip, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                ip,
                int(port),
                local_addr=(source_ip, 0) if source_ip else None,
            )
            head = {'host': address, 'connection': 'close', **(headers or {})}
            writer.write(
                encode_message(f'{method} {path} HTTP/1.1', head, body)
            )
            first, response_headers, data = await read_message(reader)
            return int(first.split(' ')[1]), response_headers, data
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


class HttpServer:
    """Serves HTTP/1.1 connections, one request at a time on each."""

    def __init__(self):
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str) -> None:
        """Opens the listener."""
        ip, _, port = address.rpartition(':')
        self._listener = await asyncio.start_server(
            self._serve, ip, int(port), backlog=1024
        )

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def cut_connections(self) -> None:
        """Resets all connections; the listener stays open."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def respond(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
    ) -> tuple[int, Headers, bytes] | None:
        """Returns the response to a request; None closes the connection."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(' ')
                response = await self.respond(
                    method, target, headers, body, reader
                )
                if response is None:
                    return
                status, response_headers, data = response
                writer.write(
                    encode_message(
                        f'HTTP/1.1 {status} X', response_headers, data
                    )
                )
                await writer.drain()
                if headers.get('connection') == 'close':
                    return
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            # The connection or the case has ended.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self):
        super().__init__()
        self.revision = 100
        self.era = 1
        self.objects: dict[str, dict[str, dict]] = {}
        # Time, revision, kind and watch event of each change.
        self.history: list[tuple[float, int, str, dict]] = []
        # Time, revision and objects after each change, for `restore`.
        self._copies: list[tuple[float, int, dict]] = []
        self.is_away = False
        # Time that each call takes, in seconds.
        self.answer_s = 0.004
        self._changed = asyncio.Event()

    def put(
        self,
        kind: str,
        name: str,
        section: str,
        value: Any,
        revision: int | None = None,
        *,
        create: bool = False,
    ) -> tuple[int, dict]:
        """Writes one section of an object.

        Returns:
            Status of the response and the stored object.
        """
        by_name = self.objects.setdefault(kind, {})
        old = by_name.get(name)
        if create and old is not None:
            return 409, old
        if not create and old is None:
            return 404, {}
        if revision is not None and old and old['Metadata']['Rev'] != revision:
            return 409, old
        if old is not None and old.get(section) == value:
            return 200, old
        self.revision += 1
        new = copy.deepcopy(old) if old else {'Spec': None, 'Status': None}
        metadata = new.setdefault(
            'Metadata',
            {
                'Name': name,
                'CreateRev': self.revision,
                'Finalizers': [],
                'Deleting': False,
            },
        )
        metadata['Rev'] = self.revision
        new[section] = value
        by_name[name] = new
        now = time.monotonic()
        event = {'Object': new, 'Deleted': False}
        self.history.append((now, self.revision, kind, event))
        copied = {k: dict(v) for k, v in self.objects.items()}
        self._copies.append((now, self.revision, copied))
        self._wake()
        return 200, new

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Writes the spec of an object as the operator."""
        is_new = name not in self.objects.get(kind, {})
        self.put(kind, name, 'Spec', spec, create=is_new)

    def get(self, kind: str, name: str) -> dict | None:
        """Returns an object."""
        return self.objects.get(kind, {}).get(name)

    def restore(self, age_s: float) -> None:
        """Comes back from a copy that is some seconds old."""
        until = time.monotonic() - age_s
        kept = [each for each in self._copies if each[0] <= until]
        _, self.revision, copied = kept[-1]
        self._copies = kept
        self.objects = {k: dict(v) for k, v in copied.items()}
        self.history = [h for h in self.history if h[1] <= self.revision]
        self.era += 1
        self.cut_connections()
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, method, target, headers, body, reader):
        """Handles a call."""
        await asyncio.sleep(self.answer_s)
        if self.is_away:
            return 503, self._headers(), b'{}'
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        path = [
            urllib.parse.unquote(part)
            for part in url.path.removeprefix(OBJECTS_PATH).split('/')
        ]
        if method == 'GET' and 'Watch' in query:
            status, data = await self._watch(path[0], query)
        elif method == 'GET':
            status, data = self._read(path, query)
        else:
            status, data = self._change(method, path, json.loads(body))
        return status, self._headers(), json.dumps(data).encode()

    def _headers(self) -> Headers:
        return {'content-type': 'application/json', 'store-era': str(self.era)}

    def _read(self, path, query):
        by_name = self.objects.get(path[0], {})
        if len(path) > 1:
            item = by_name.get(path[1])
            return (200, item) if item else (404, {})
        names = sorted(n for n in by_name if n > query.get('after', ''))
        return 200, {
            'items': [by_name[name] for name in names[:500]],
            'HasMore': len(names) > 500,
            'CurrentRev': self.revision,
        }

    async def _watch(self, kind, query):
        after, era = int(query['Watch']), self.era
        ends_at = time.monotonic() + int(query.get('WaitMs', '0')) / 1000
        while True:
            oldest = self._oldest_revision()
            if after > self.revision or after < oldest or era != self.era:
                return 410, {}
            events = [
                event
                for _, revision, each, event in self.history
                if each == kind and revision > after
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'CurrentRev': self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    def _oldest_revision(self) -> int:
        limit = time.monotonic() - HISTORY_S
        forgotten = [h[1] for h in self.history if h[0] < limit]
        return forgotten[-1] if forgotten else 0

    def _change(self, method, path, data):
        metadata = data.get('Metadata', {})
        if method == 'POST':
            return self.put(
                path[0], metadata['Name'], 'Spec', data['Spec'], create=True
            )
        section = 'Status' if path[2:] == ['status'] else 'Spec'
        return self.put(
            path[0], path[1], section, data[section], metadata.get('Rev')
        )


class AppServer(HttpServer):
    """An application server beside a daemon.

    Attributes:
        run_times: Time, request identifier and status of each run, in the order
            of their starts; the status is None while it runs.
        is_leaving: True once the server has said that it leaves.
        bad_from: Monotonic time from which a share of the runs fails.
        bad_share: This share.
        drops_requests: True if a run ends when its connection closes.
    """

    def __init__(self, machine: 'Machine', version: str, **options: Any):
        super().__init__()
        self.machine = machine
        self.server_id = options.get('server_id') or f'i-{uuid.uuid4().hex[:8]}'
        self.version = version
        self.slots = options.get('slots', 18)
        self.work_s = options.get('work_s', 0.03)
        self.calls_after_s: float | None = options.get('calls_after_s')
        self.call_results: list[tuple[float, str, int]] = []
        self.drops_requests = options.get('drops_requests', True)
        self.bad_from = options.get('bad_from', float('inf'))
        self.bad_share = options.get('bad_share', 0.5)
        self.run_times: list[list] = []
        self.is_leaving = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._running = 0
        self._bad_due = 0.0
        self._heartbeats: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to serve and to send heartbeats."""
        await self.listen(self.machine.address('app'))
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def stop(self) -> None:
        """Ends the server."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self.close()

    def heartbeat_body(self) -> bytes:
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                'Service': self.machine.service,
                'Address': self.machine.address('app'),
                'Zone': self.machine.zone,
                'Version': self.version,
                'Slots': self.slots,
                'State': 'draining' if self.is_leaving else 'ready',
                'WarmupLeftMs': 0,
                'Seq': self.sequence,
                'born': self.born,
            }
        ).encode()

    async def send_heartbeat(self, body: bytes = b'') -> int:
        """Sends a heartbeat and returns the status of the response."""
        status, _, _ = await call(
            self.machine.address('control'),
            'PUT',
            f'/-/instances/{self.server_id}',
            {'content-type': 'application/json'},
            body or self.heartbeat_body(),
            source_ip=self.machine.ip,
        )
        return status

    async def deregister(self) -> int:
        """Sends DELETE and returns the status of the response."""
        self.is_leaving = True
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        status, _, _ = await call(
            self.machine.address('control'),
            'DELETE',
            f'/-/instances/{self.server_id}',
            source_ip=self.machine.ip,
        )
        return status

    async def drain(self) -> int:
        """Reports `draining` until it is acknowledged."""
        self.is_leaving = True
        while (status := await self.send_heartbeat()) != 200:
            await asyncio.sleep(0.5)
        return status

    async def _send_heartbeats(self):
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def respond(self, method, target, headers, body, reader):
        """Runs a request, or says why it does not."""
        if target == '/health':
            status = 503 if self.is_leaving else 200
            return status, {'x-instance-id': self.server_id}, b''
        request_id = headers.get('x-request-id', '')
        own = {'x-request-id': request_id}
        if headers.get('x-target-instance', self.server_id) != self.server_id:
            return 421, {**own, 'x-not-executed': '1'}, b''
        if self._running >= self.slots:
            return 503, {**own, 'x-not-executed': '1'}, b''
        run = [time.monotonic(), request_id, None]
        self.run_times.append(run)
        self._running += 1
        try:
            run[2] = await self._run(request_id, headers, reader)
        finally:
            self._running -= 1
        if run[2] is None:
            return None
        stamp = {'x-server-stamp': f'{self.server_id}.{request_id}'}
        return run[2], {**own, **stamp}, f'by {self.server_id}'.encode()

    async def _run(self, request_id, headers, reader) -> int | None:
        left_s = int(headers.get('x-deadline-ms', '60000')) / 1000
        work = asyncio.create_task(self._work(request_id, left_s))
        closed = asyncio.create_task(_wait_until_closed(reader))
        waits = {work, closed} if self.drops_requests else {work}
        await asyncio.wait(
            waits, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        closed.cancel()
        if work.done():
            return work.result()
        work.cancel()
        return None if self.drops_requests and closed.done() else 504

    async def _work(self, request_id: str, left_s: float) -> int:
        started = time.monotonic()
        if self.calls_after_s is not None:
            await asyncio.sleep(self.calls_after_s)
            left_s -= time.monotonic() - started
            call_id = f'{request_id}.{uuid.uuid4().hex[:8]}'
            status, _, _ = await call(
                self.machine.address('outbound'),
                'GET',
                '/inner/x',
                {
                    'host': HOST_NAME,
                    'x-request-id': call_id,
                    'x-deadline-ms': f'{left_s * 1000:.0f}',
                },
                timeout_s=left_s,
                source_ip=self.machine.ip,
            )
            self.call_results.append((time.monotonic(), call_id, status))
            if status != 200:
                return 500
        await asyncio.sleep(self.work_s)
        if started < self.bad_from:
            return 200
        self._bad_due += self.bad_share
        if self._bad_due < 1:
            return 200
        self._bad_due -= 1
        return 500


async def _wait_until_closed(reader: asyncio.StreamReader):
    # No request follows before the response, so only the end can arrive.
    while not reader.at_eof():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


class Machine:
    """A machine with a daemon, its addresses and its settings file."""

    PURPOSES = ('outbound', 'inbound', 'ready', 'control', 'app', 'internal')

    def __init__(self, mesh: 'Mesh', name: str, zone: str, service: str):
        self.mesh = mesh
        self.name = name
        self.zone = zone
        self.service = service
        number = len(mesh.machine_by_name)
        a, b, c, d = FIRST_MACHINE_IP
        self.ip = f'{a}.{b}.{c}.{d + number}'
        self._port_by_purpose = {
            purpose: free_port(self.ip) for purpose in self.PURPOSES
        }
        self.process: subprocess.Popen | None = None
        # Time since which the machine has been in touch but for `ContactMs`.
        self.calm_since = time.monotonic()
        self.is_ready = False

    def address(self, purpose: str) -> str:
        """Returns an address of the machine."""
        return f'{self.ip}:{self._port_by_purpose[purpose]}'

    def settings(self) -> dict[str, Any]:
        """Returns the platform's settings of the daemon."""
        return {
            'NodeName': self.name,
            'Role': 'daemon',
            'MachineClass': 'sidecar',
            'Ip': self.ip,
            'Zone': self.zone,
            'Service': self.service,
            'AppAddr': self.address('app'),
            'InternalPorts': [self._port_by_purpose['internal']] * 2,
            'Listen': {
                'Outbound': self.address('outbound'),
                'Inbound': self.address('inbound'),
                'Ready': self.address('ready'),
                'Control': self.address('control'),
            },
            'Limits': {'MemoryMb': 300, 'MaxFds': 4100, 'LinkMbps': 1000.0},
            'Bounds': {**BOUNDS, **self.mesh.bounds},
            'Provider': {'Address': self.mesh.store_address},
        }

    def start(self) -> None:
        """Starts the daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['daemon']
        template = (ROOT / role['template']).read_text()
        path = self.mesh.directory / f'{self.name}.json'
        path.write_text(render(template, [self.settings()]))
        libraries = os.pathsep.join((str(ROOT / 'target/deps'), str(ROOT)))
        with (self.mesh.directory / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                shlex.split(role['run']),
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': str(self.mesh.directory),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': libraries,
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'HEMLOCKGRADE_NODE_FILE': str(path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.calm_since = time.monotonic()

    def kill(self) -> None:
        """Kills the daemon."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.calm_since = time.monotonic()

    async def restart(self, delay_s: float = RESTART_DELAY_S) -> None:
        """Kills the daemon, and starts it again as the platform does."""
        self.kill()
        await asyncio.sleep(delay_s)
        self.start()

    def is_in_touch(self, at: float) -> bool:
        """Returns whether the machine was in touch at a monotonic time."""
        return at - self.calm_since >= BOUNDS['ContactMs'] / 1000

    def log(self) -> str:
        """Returns the log of the daemon."""
        return (self.mesh.directory / f'{self.name}.log').read_text()


class Mesh:
    """Machines, servers and the store of one case."""

    def __init__(self, record: Record, directory: pathlib.Path):
        self.record = record
        self.directory = directory
        self.store = Store()
        self.store_address = f'{STORE_IP}:{free_port(STORE_IP)}'
        self.machine_by_name: dict[str, Machine] = {}
        self.server_by_name: dict[str, AppServer] = {}
        self.bounds: dict[str, Any] = {}
        self._tasks: list[asyncio.Task] = []

    def add_machine(self, name: str, zone: str, service: str) -> Machine:
        """Adds a machine and starts its daemon."""
        machine = Machine(self, name, zone, service)
        self.machine_by_name[name] = machine
        machine.start()
        return machine

    async def add_server(
        self, name: str, zone: str, version: str, service: str, **options: Any
    ) -> AppServer:
        """Adds a machine with a server."""
        machine = self.add_machine(name, zone, service)
        server = AppServer(machine, version, **options)
        self.server_by_name[name] = server
        await server.start()
        return server

    async def start(self) -> None:
        """Starts the store and the platform's readiness checks."""
        await self.store.listen(self.store_address)
        self._tasks.append(asyncio.create_task(self._check_readiness()))

    async def wait_until_ready(self, names: list[str]) -> None:
        """Waits until daemons are ready, for at most 30 s."""
        async with asyncio.timeout(30):
            while not all(self.machine_by_name[n].is_ready for n in names):
                await asyncio.sleep(0.1)

    async def _check_readiness(self):
        while True:
            await asyncio.gather(
                *(self._check(m) for m in list(self.machine_by_name.values()))
            )
            await asyncio.sleep(1.0)

    async def _check(self, machine: Machine):
        address = machine.address('ready')
        status, _, _ = await call(address, 'GET', '/-/readiness')
        machine.is_ready = status == 200

    def end(self) -> None:
        """Ends all processes that this mesh has started."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machine_by_name.values():
            machine.kill()
        for server in self.server_by_name.values():
            server.stop()
        self.store.close()


class Load:
    """Clients that send requests at a fixed rate to ready daemons.

    Attributes:
        sent: Time, request identifier, machine and status of each request.
    """

    def __init__(
        self,
        mesh: Mesh,
        machines: list[str],
        rate_per_s: float,
        path: str = '/shop/x',
        headers: Headers | None = None,
        deadline_ms: int = 2000,
    ):
        self.mesh = mesh
        self.machines = machines
        self.rate_per_s = rate_per_s
        self.path = path
        self.headers = headers or {}
        self.deadline_ms = deadline_ms
        self.sent: list[list] = []
        self._task: asyncio.Task | None = None
        self._requests: set[asyncio.Task] = set()

    def start(self) -> None:
        """Starts to send."""
        self._task = asyncio.create_task(self._send_all())

    async def stop(self) -> None:
        """Stops to send and waits for the responses."""
        if self._task is not None:
            self._task.cancel()
        await asyncio.gather(*self._requests)

    async def _send_all(self):
        number = 0
        started = time.monotonic()
        while True:
            number += 1
            name = self.machines[number % len(self.machines)]
            if self.mesh.machine_by_name[name].is_ready:
                task = asyncio.create_task(self.send(name))
                self._requests.add(task)
                task.add_done_callback(self._requests.discard)
            wait_s = started + number / self.rate_per_s - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))

    async def send(self, name: str) -> int:
        """Sends one request and returns the status of the response."""
        request_id = uuid.uuid4().hex[:16]
        entry = [time.monotonic(), request_id, name, None]
        self.sent.append(entry)
        status, headers, _ = await call(
            self.mesh.machine_by_name[name].address('outbound'),
            'GET',
            self.path,
            {
                'host': HOST_NAME,
                'x-request-id': request_id,
                'x-deadline-ms': str(self.deadline_ms),
                **self.headers,
            },
            timeout_s=self.deadline_ms / 1000 + 0.5,
        )
        entry[3] = status
        self.mesh.record.write(
            'answered',
            request=request_id,
            sent=f'{entry[0] - self.mesh.record.started:.3f}',
            machine=name,
            status=status,
            stamp=headers.get('x-server-stamp', '-'),
        )
        return status


def route(name: str, prefix: str, service: str, **fields: Any) -> dict:
    """Builds a route of a configuration."""
    return {
        'EntryType': 'Routes',
        'Metadata': {'Name': name},
        'Spec': {
            'Hostname': HOST_NAME,
            'PathPrefix': prefix,
            'RouteType': 'idempotent',
            'TimeoutMs': 2000,
            'TargetLatencyMs': 500,
            'Priority': 1,
            'Attempts': 2,
            'Service': service,
            **fields,
        },
    }


def configuration(version: int, *resources: dict, services=('booking',)):
    """Builds a configuration."""
    limits = {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 1048576,
        'HeaderTimeoutMs': 5000,
        'IdleTimeoutMs': 30000,
    }
    return {
        'Version': f'{version:08x}',
        'Resources': [
            *resources,
            *(
                {
                    'EntryType': 'Services',
                    'Metadata': {'Name': name},
                    'Spec': {
                        'MaxConnections': 110,
                        'HealthCheckPath': '/health',
                    },
                }
                for name in services
            ),
            {
                'EntryType': 'Limits',
                'Metadata': {'Name': 'limits'},
                'Spec': limits,
            },
        ],
    }


def free_port(ip: str) -> int:
    """Returns a free port of an address."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, PORT_RANGE_END)
        if port in _chosen_ports:
            continue
        with socket.socket() as each, contextlib.suppress(OSError):
            each.bind((ip, port))
            _chosen_ports.add(port)
            return port


def render(template: str, scopes: list[Any]) -> str:
    """Fills in a settings template as DEPLOY.md describes it."""
    section = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)

    def replace_section(match: re.Match) -> str:
        value = _lookup(match[1], scopes)
        if value in (None, False):
            return ''
        return render(match[2], scopes)

    def replace_value(match: re.Match) -> str:
        value = _lookup(match[1], scopes)
        if match[2]:
            return json.dumps(value)
        return '' if value is None else str(value)

    text = section.sub(replace_section, template)
    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', replace_value, text)


def _lookup(name: str, scopes: list[Any]) -> Any:
    value = scopes[-1]
    for part in name.split('.'):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def run_case(folder: str, case: Callable[[Mesh], Any]) -> None:
    """Runs a case and ends the process with its result.

    The exit code is 0 if the rule held, 1 if it was broken and 2 if the case
    could not run.

    Args:
        folder: A file in the folder of the case.
        case: Returns a coroutine that returns whether the rule held.
    """

    async def run() -> bool:
        record = Record(pathlib.Path(folder).resolve().parent)
        with tempfile.TemporaryDirectory(
            ignore_cleanup_errors=True
        ) as directory:
            mesh = Mesh(record, pathlib.Path(directory))
            try:
                async with asyncio.timeout(110):
                    await mesh.start()
                    return await case(mesh)
            finally:
                mesh.end()
                if os.environ.get('KEEP_LOGS'):
                    for machine in mesh.machine_by_name.values():
                        path = pathlib.Path(os.environ['KEEP_LOGS'])
                        (path / f'{machine.name}.log').write_text(machine.log())

    try:
        held = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        print(f'could not run: {error!r}')
        sys.exit(2)
    print('the rule held' if held else 'the rule was broken')
    sys.exit(0 if held else 1)
