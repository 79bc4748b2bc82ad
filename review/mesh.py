"""Runs a small mesh on loopback for the cases of the review.

The daemons are separate processes, started with the command of the deploy
file. The store of the platform, the application servers, the callers and the
relays run in the process of the case. Settings and limits are those of
bvmoma-mesh-large.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from typing import Any

from hemlockgrade import http_codec
from standins import http_connection
from standins import metadata_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = 'shop.example'
SERVICE = 'bookdesk'
# Interval between two heartbeats of a server, in seconds (`HeartbeatMs`).
HEARTBEAT_S = 1.5
# Time after which the platform restarts a process that has ended, in seconds.
RESTART_DELAY_S = 0.5
START_TIMEOUT_S = 30.0
# Ends of a host's processes that count as a fault, on two hosts at least.
MIN_ENDS = 3
# Ports below the range that Linux assigns to outgoing connections.
FIRST_PORT = 12_000
PORT_RANGE_END = 32_000
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_reservations: list[socket.socket] = []


class NotRunnableError(Exception):
    """The case could not run, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, directory: pathlib.Path):
        self._started = time.monotonic()
        self._file = (directory / 'record.txt').open('w')

    def add(self, event: str, **fields: Any) -> None:
        """Adds one line."""
        at = time.monotonic() - self._started
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._file.write(f'{at:8.3f} {event} {text}\n')
        self._file.flush()


def free_address() -> str:
    """Returns a loopback address whose port stays reserved for this process.

    A UDP socket that is bound to the same port keeps other cases from
    reserving the port.
    """
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, PORT_RANGE_END)
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind(('127.0.0.1', port))
            with socket.socket() as probe:
                probe.bind(('127.0.0.1', port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return f'127.0.0.1:{port}'


def split(address: str) -> tuple[str, int]:
    """Returns host and port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


async def send_request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 10.0,
) -> tuple[int, dict[str, str], bytes]:
    """Sends a request on a new connection.

    Returns:
        Status, headers and body of the response; status 0 if the connection
        failed or ended before the whole response.
    """
    lines = [f'{method} {path} HTTP/1.1', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    if 'Host' not in (headers or {}):
        lines.append(f'Host: {address}')
    data = '\r\n'.join([*lines, '', '']).encode() + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split(address))
            writer.write(data)
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            status_line, *header_lines = head.split('\r\n')
            received = {
                name.lower(): value.strip()
                for name, _, value in (h.partition(':') for h in header_lines)
                if name
            }
            length = int(received.get('content-length', 0))
            content = await reader.readexactly(length)
            return int(status_line.split()[1]), received, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


class Server:
    """Application server beside a daemon; it runs in the case's process.

    Attributes:
        server_id: Identifier of the server.
        address: Address of the server.
        control: Address of the daemon that receives the heartbeats.
        work_s: Time that each request takes, in seconds.
        fail_share: Fraction of the runs that fail with status 500.
        slots: Number of requests that run at once; others are refused.
        state: State in the heartbeats.
        runs: Identifier and monotonic time of the start of each run.
        arrivals: Identifier and monotonic time of each request, refused ones
            included.
        failures: Monotonic time of each run that fails.
    """

    def __init__(self, record: Record, daemon: 'Daemon', **options):
        self.record = record
        self.server_id = f'i-{daemon.name}'
        self.zone = daemon.zone
        self.address = daemon.addresses['server_address']
        self.control = daemon.addresses['local_address']
        self.work_s = options.get('work_s', 0.01)
        self.slots = options.get('slots', 8)
        self.version = options.get('version', 'v1')
        self.service = options.get('service', SERVICE)
        self.fail_share = options.get('fail_share', 0.0)
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self._failures_due = 0.0
        self.runs: list[tuple[str, float]] = []
        self.arrivals: list[tuple[str, float]] = []
        self.failures: list[float] = []
        self.connections: set[_ServerConnection] = set()
        self._listener: asyncio.Server | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens and sends heartbeats."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _ServerConnection(self), *split(self.address)
        )
        self._task = loop.create_task(self._send_heartbeats())

    async def _send_heartbeats(self):
        while True:
            if self.state != 'gone':
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self) -> int:
        """Sends a heartbeat and returns the status of the response."""
        self.sequence += 1
        body = {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': self.version,
            'Slots': self.slots,
            'State': self.state,
            'WarmupLeftMs': 0,
            'Seq': self.sequence,
            'born': self.born,
        }
        status, _, _ = await send_request(
            self.control,
            'PUT',
            f'/-/instances/{self.server_id}',
            {'Content-Type': 'application/json'},
            json.dumps(body).encode(),
            timeout_s=1.0,
        )
        return status

    def fails_next(self) -> bool:
        """Returns whether the next run fails, by `fail_share`."""
        self._failures_due += self.fail_share
        is_due = self._failures_due >= 1
        self._failures_due -= is_due
        return is_due

    async def start_draining(self) -> bool:
        """Says that the server is draining; returns if it was acknowledged."""
        self.state = 'draining'
        status = await self.send_heartbeat()
        self.record.add(
            'server_draining', server=self.server_id, acknowledged=status == 200
        )
        return status == 200

    async def leave(self) -> None:
        """Deregisters and exits."""
        self.state = 'gone'
        await send_request(
            self.control,
            'DELETE',
            f'/-/instances/{self.server_id}',
            timeout_s=1.0,
        )
        self.record.add('server_exits', server=self.server_id)
        self.close()

    def close(self) -> None:
        """Ends the server; its connections are closed."""
        if self._task is not None:
            self._task.cancel()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.transport.abort()


class _ServerConnection(http_connection.HttpConnection):
    """Handles the requests of one connection in sequence."""

    def __init__(self, server: Server):
        super().__init__()
        self._server = server

    def connection_made(self, transport):
        super().connection_made(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc):
        super().connection_lost(exc)
        self._server.connections.discard(self)

    async def handle(self, request):
        server = self._server
        if request.path == '/health':
            status = 200 if server.state == 'ready' else 503
            self.send(status, b'', [('X-Instance-Id', server.server_id)])
            return
        request_id = http_codec.header(request.headers, b'x-request-id') or ''
        echo = [('X-Request-Id', request_id)]
        expected = http_codec.header(request.headers, b'x-target-instance')
        server.arrivals.append((request_id, time.monotonic()))
        if expected not in (None, server.server_id):
            self.send(421, b'', [*echo, ('X-Instance-Id', server.server_id)])
            return
        if server.running >= server.slots:
            self.send(503, b'', [*echo, ('X-Not-Executed', '1')])
            return
        server.runs.append((request_id, time.monotonic()))
        server.record.add('run', server=server.server_id, request=request_id)
        server.running += 1
        left_ms = http_codec.header(request.headers, b'x-deadline-ms')
        left_s = int(left_ms or '60000') / 1000
        work_ms = http_codec.header(request.headers, b'x-work-ms')
        work_s = int(work_ms) / 1000 if work_ms else server.work_s
        status = 200 if work_s <= left_s else 504
        if server.fails_next():
            status = 500
            server.failures.append(time.monotonic())
        try:
            await asyncio.sleep(min(work_s, left_s))
        except asyncio.CancelledError:
            server.record.add(
                'run_dropped', server=server.server_id, request=request_id
            )
            raise
        finally:
            server.running -= 1
        server.record.add(
            'run_answered',
            server=server.server_id,
            request=request_id,
            status=status,
        )
        body = f'{server.server_id} {request_id}'.encode()
        stamp = ('X-Server-Stamp', f's.{request_id}')
        self.send(status, body, [*echo, stamp])


class Relay:
    """Relays connections between two hosts.

    A silenced connection loses all bytes of both directions and stays open.
    """

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self._pairs: list[_Pair] = []
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens for connections."""
        self._listener = await asyncio.start_server(
            self._accept, *split(self.address)
        )

    def silence_open(self) -> None:
        """Loses all further bytes of the connections that are open now."""
        for pair in self._pairs:
            pair.silent = True

    def reset_silent(self) -> None:
        """Resets the silent connections."""
        for pair in self._pairs:
            if pair.silent:
                pair.reset()

    def close(self) -> None:
        """Closes the relay and all connections."""
        if self._listener is not None:
            self._listener.close()
        for pair in self._pairs:
            pair.reset()

    async def _accept(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(
                *split(self.target)
            )
        except OSError:
            _abort(writer)
            return
        pair = _Pair([writer, other_writer])
        self._pairs.append(pair)
        await asyncio.gather(
            pair.copy(reader, other_writer), pair.copy(other_reader, writer)
        )
        if not pair.silent:
            pair.reset()


class _Pair:
    def __init__(self, writers):
        self.silent = False
        self._writers = writers

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65_536):
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
            if not self.silent:
                writer.write_eof()
        except OSError:
            if not self.silent:
                self.reset()

    def reset(self):
        for writer in self._writers:
            _abort(writer)


def _abort(writer):
    sock = writer.get_extra_info('socket')
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


class Daemon:
    """A daemon, as a process that the deploy file's command starts.

    Attributes:
        name: Name of the host.
        zone: Failure domain of the host.
        ends: Exit codes of the processes that ended by themselves.
    """

    def __init__(self, mesh: 'Mesh', name: str, zone: str, **settings):
        self.name = name
        self.zone = zone
        self.ends: list[int] = []
        self.addresses = {
            key: free_address()
            for key in (
                'proxy_address',
                'admission_address',
                'local_address',
                'readiness_address',
                'metrics_address',
                'server_address',
            )
        }
        self._mesh = mesh
        self._process: asyncio.subprocess.Process | None = None
        self._path = mesh.directory / f'{name}.json'
        self._path.write_text(
            json.dumps(
                {
                    'daemon_id': name,
                    'failure_domain': zone,
                    **self.addresses,
                    'store_address': mesh.store_address,
                    'service': SERVICE,
                    'signed_answers': True,
                    'retry_ratio': 0.2,
                    'retry_slack': 430,
                    'exposed_share': 0.1,
                    'link_mbps': 100.0,
                    'drain_timeout_s': 10,
                    **settings,
                }
            )
        )

    async def start(self) -> None:
        """Starts a process."""
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            command = tomllib.load(file)['roles']['daemon']['run']
        program, *arguments = shlex.split(command)
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = f'{ROOT / "target" / "deps"}:{ROOT}'
        environment['HEMLOCKGRADE_NODE_FILE'] = str(self._path)
        with (self._mesh.directory / f'{self.name}.log').open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._mesh.record.add(
            'daemon_started', daemon=self.name, pid=self._process.pid
        )

    @property
    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        if self._process.returncode is None:
            self._mesh.record.add(
                'signal', daemon=self.name, number=number.name
            )
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the end of the process and returns the exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def keep_running(self) -> None:
        """Restarts the process each time it ends by itself, as a platform."""
        while True:
            code = await self.wait()
            self.ends.append(code)
            self._mesh.record.add(
                'daemon_ended_by_itself', daemon=self.name, code=code
            )
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start()

    async def is_ready(self) -> bool:
        """Returns whether the readiness check succeeds."""
        status, _, _ = await send_request(
            self.addresses['readiness_address'],
            'GET',
            '/-/readiness',
            timeout_s=1.0,
        )
        return status == 200

    def read_log(self) -> str:
        """Returns what the processes of the daemon have logged."""
        return (self._mesh.directory / f'{self.name}.log').read_text()


class Mesh:
    """Store, daemons and servers of one case; all end with the case."""

    def __init__(self, case: pathlib.Path):
        self.record = Record(case)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = metadata_store.Store()
        self.store_address = free_address()
        self.daemons: list[Daemon] = []
        self.servers: list[Server] = []
        self.stack = contextlib.AsyncExitStack()
        self._request_count = 0

    async def __aenter__(self) -> 'Mesh':
        listener = await asyncio.get_running_loop().create_server(
            lambda: metadata_store.Connection(self.store),
            *split(self.store_address),
        )
        self.stack.callback(listener.close)
        return self

    async def __aexit__(self, *_) -> None:
        await self.stack.aclose()
        for server in self.servers:
            server.close()
        for daemon in self.daemons:
            if daemon.is_running:
                daemon.signal(signal.SIGCONT)
                daemon.signal(signal.SIGKILL)
                await daemon.wait()
        shutil.rmtree(self.directory, ignore_errors=True)

    def configure(self, version: int, *routes: dict[str, Any]) -> None:
        """Writes the operator's configuration to the store."""
        resources = [
            *routes,
            {
                'EntryType': 'Services',
                'Metadata': {'Name': SERVICE},
                'Spec': {'MaxConnections': 1200, 'HealthCheckPath': '/health'},
            },
            {
                'EntryType': 'Limits',
                'Metadata': {},
                'Spec': {
                    'MaxHeaderBytes': 16384,
                    'MaxBodyBytes': 67108864,
                    'HeaderTimeoutMs': 3000,
                    'IdleTimeoutMs': 15000,
                },
            },
        ]
        spec = {'Version': f'{version:08x}', 'Resources': resources}
        self.write('config', 'main', spec)

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object to the store."""
        is_new = name not in self.store.objects[kind]
        status, _ = self.store.put(
            kind, name, spec, 'Spec', None, create=is_new
        )
        self.record.add('store_written', kind=kind, name=name, status=status)

    async def add_daemon(self, name: str, zone: str, **settings) -> Daemon:
        """Starts the daemon of a new host."""
        daemon = Daemon(self, name, zone, **settings)
        self.daemons.append(daemon)
        await daemon.start()
        return daemon

    async def add_server(self, daemon: Daemon, **options) -> Server:
        """Starts the server beside a daemon."""
        server = Server(self.record, daemon, **options)
        self.servers.append(server)
        await server.start()
        return server

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], what: str
    ) -> None:
        """Waits for a condition that the case needs."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise NotRunnableError(what)

    async def wait_until_serving(self) -> None:
        """Waits until each daemon is ready and knows all servers."""

        async def serve_all() -> bool:
            members = self.store.objects['mesh'].values()
            stored = [m for m in members if (m['Spec'] or {}).get('server')]
            if len(stored) < len(self.daemons):
                return False
            return all([await daemon.is_ready() for daemon in self.daemons])

        await self.wait_until(serve_all, 'the mesh does not become ready')
        # Time for the watches to bring the last members.
        await asyncio.sleep(1.5)

    async def call(
        self,
        daemon: Daemon,
        path: str,
        method: str = 'GET',
        budget_ms: int = 8000,
        body: bytes = b'',
        work_ms: int = 0,
    ) -> tuple[str, int, dict[str, str]]:
        """Sends a request of a caller to a daemon.

        Returns:
            Identifier of the request, and status and headers of its response.
        """
        self._request_count += 1
        request_id = f'{self._request_count:016x}'
        work = {'X-Work-Ms': str(work_ms)} if work_ms else {}
        self.record.add(
            'sent', daemon=daemon.name, request=request_id, path=path
        )
        status, headers, _ = await send_request(
            daemon.addresses['proxy_address'],
            method,
            path,
            {
                'Host': HOST_NAME,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': str(budget_ms),
                **work,
            },
            body,
            timeout_s=budget_ms / 1000,
        )
        self.record.add(
            'answered',
            request=request_id,
            status=status or 'none',
            stamp=headers.get('x-server-stamp', '-'),
        )
        return request_id, status, headers


async def observe_ends(
    mesh: Mesh,
    path: str,
    budget_ms: int,
    observed_s: float,
    disturb: Callable[[], None],
) -> bool:
    """Sends requests and restarts each daemon that ends by itself.

    Args:
        mesh: A mesh that serves.
        path: Path of the requests.
        budget_ms: Time for which a caller waits, in milliseconds.
        observed_s: Time for which the daemons are observed, in seconds.
        disturb: Called at the start, unless the case plays no disruption.

    Returns:
        False if processes ended by themselves three times, on a tenth of the
        hosts and two at least.
    """
    async with asyncio.TaskGroup() as group:
        keepers = [
            group.create_task(daemon.keep_running()) for daemon in mesh.daemons
        ]
        if has_trouble():
            disturb()
        counts = await asyncio.gather(
            *(
                _send_steadily(mesh, daemon, path, budget_ms, observed_s)
                for daemon in mesh.daemons
            )
        )
        for keeper in keepers:
            keeper.cancel()
    total = sum(counts, collections.Counter())
    mesh.record.add('answers', statuses=dict(total))
    for daemon in mesh.daemons:
        mesh.record.add('ends', daemon=daemon.name, count=len(daemon.ends))
    hosts = sum(len(daemon.ends) >= MIN_ENDS for daemon in mesh.daemons)
    return hosts < max(2, len(mesh.daemons) / 10)


async def _send_steadily(
    mesh: Mesh, daemon: Daemon, path: str, budget_ms: int, duration_s: float
) -> collections.Counter[int]:
    """Sends requests to a daemon and returns the number of each status."""
    counts: collections.Counter[int] = collections.Counter()
    ends_at = time.monotonic() + duration_s
    while time.monotonic() < ends_at:
        _, status, _ = await mesh.call(daemon, path, 'GET', budget_ms)
        counts[status] += 1
        await asyncio.sleep(0.1)
    return counts


def build_route(
    name: str, prefix: str, kind: str, timeout_ms: int, target_ms: int
) -> dict[str, Any]:
    """Builds a route of the operator's configuration."""
    return {
        'EntryType': 'Routes',
        'Metadata': {'Name': name},
        'Spec': {
            'Hostname': HOST_NAME,
            'PathPrefix': prefix,
            'RouteType': kind,
            'TimeoutMs': timeout_ms,
            'TargetLatencyMs': target_ms,
            'Priority': 1,
            'Service': SERVICE,
            'Attempts': 2,
        },
    }


def has_trouble() -> bool:
    """Returns whether the case plays its disruption; `run.sh` sets TROUBLE."""
    return os.environ['TROUBLE'] != '0'


def run_case(
    play: Callable[[Mesh], Awaitable[bool]], case: pathlib.Path
) -> None:
    """Plays a case and exits: 1 if the rule was broken, 0 if it held.

    Args:
        play: Plays the case and returns whether the rule held.
        case: Folder of the case, for its record.
    """

    async def play_once() -> bool:
        async with Mesh(case) as mesh:
            async with asyncio.timeout(110):
                held = await play(mesh)
            mesh.record.add('result', held=held)
            return held

    try:
        held = asyncio.run(play_once())
    except (NotRunnableError, TimeoutError, OSError) as error:
        print(f'could not run: {error!r}')
        sys.exit(2)
    print('held' if held else 'broken')
    sys.exit(0 if held else 1)
