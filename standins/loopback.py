"""The request path in one process over loopback sockets, for tests."""

import asyncio
import contextlib
import random
import sys
from typing import Any

import attrs
from loguru import logger
from twisted.internet import asyncioreactor

from hemlockgrade import admission
from hemlockgrade import http_codec
from hemlockgrade import http_server
from hemlockgrade import ledger
from hemlockgrade import model
from hemlockgrade import proxy
from hemlockgrade import upstream
from hemlockgrade.plugins import slot_limiter
from standins import target_server

TEST_TIMEOUT_S = 60


def run(coroutine) -> Any:
    """Runs a coroutine to its end on the loop of the Twisted reactor."""
    if 'twisted.internet.reactor' not in sys.modules:
        asyncioreactor.install(asyncio.new_event_loop())
    from twisted.internet import reactor

    loop = reactor._asyncioEventloop  # type: ignore[attr-defined]
    # Thousands of provoked faults would hide the report of a failed test.
    logger.disable('hemlockgrade')
    try:
        return loop.run_until_complete(
            asyncio.wait_for(coroutine, TEST_TIMEOUT_S)
        )
    finally:
        logger.enable('hemlockgrade')


@attrs.define
class OneRoute:
    """A routing view whose one route leads to the targets of version v1."""

    targets: list[model.Target]
    timeout_ms: int = 5000
    selector: str = 'booking'

    @property
    def route(self):
        """Returns the route of all paths."""
        return model.Route(path_prefix='/', timeout_ms=self.timeout_ms)

    @property
    def targets_by_version(self):
        """Returns the targets."""
        return {'v1': self.targets}

    def match(self, path):
        """Finds the route; paths below /nowhere have none."""
        return None if path.startswith('/nowhere') else self

    def choose_version(self, random, stopped_versions):
        """Chooses the only version."""
        return 'v1'


class Accounts:
    """Load table, evidence recorder and balancer that keep what they get."""

    def __init__(self):
        self.evidence: list[tuple] = []
        self.outcomes: list[str] = []

    def choose(self, candidates, loads, now, random):
        """Chooses the first target."""
        return candidates[0] if candidates else None

    def started(self, target_id, now):
        """Does nothing."""

    def finished(self, target_id, latency_s, outcome, now):
        """Keeps the outcome."""
        self.outcomes.append(outcome.value)

    def cancelled(self, target_id):
        """Does nothing."""

    def record(self, entry, version, ok, latency_s, now):
        """Keeps the evidence."""
        self.evidence.append((version, entry.route.path_prefix, ok))


class CuttingLink:
    """A TCP link that cuts its connections after a number of bytes."""

    def __init__(self, address: str):
        self._address = address.split(':')
        self.cut_requests_at: list[int] = []
        self.cut_answers_at: list[int] = []
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Listens and returns its address."""
        self._server = await asyncio.start_server(
            self._join, '127.0.0.1', 0, limit=2**20, backlog=1024
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def stop(self):
        """Closes the link."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _join(self, near_reader, near_writer):
        self._tasks.add(asyncio.current_task())
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._address
            )
        except (OSError, asyncio.CancelledError):
            near_writer.close()
            return
        # Each connection takes the next cut, if there is one.
        cuts = self.cut_requests_at.pop(0) if self.cut_requests_at else None
        back = self.cut_answers_at.pop(0) if self.cut_answers_at else None
        ways = [
            asyncio.ensure_future(_carry(near_reader, far_writer, cuts)),
            asyncio.ensure_future(_carry(far_reader, near_writer, back)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            return
        finally:
            for way in ways:
                way.cancel()
            near_writer.close()
            far_writer.close()


async def _carry(reader, writer, cut_at: int | None):
    carried = 0
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            if cut_at is not None and carried + len(data) >= cut_at:
                writer.write(data[: cut_at - carried])
                return
            carried += len(data)
            writer.write(data)
            await writer.drain()


class System:
    """Targets, an admission side for each, and a proxy."""

    def __init__(self, targets: int = 1, slots: int = 18, timeout_ms=5000):
        self.targets = [
            target_server.TargetServer(target_id=f'target-{i}', slots=slots)
            for i in range(targets)
        ]
        self.slots = slots
        self.timeout_ms = timeout_ms
        self.admissions: list[admission.Admission] = []
        self.links: list[CuttingLink] = []
        self.accounts = Accounts()
        self._ports: list[Any] = []

    async def __aenter__(self):
        from twisted.internet import reactor

        self._reactor = reactor
        known = [await self._host(target) for target in self.targets]
        self.pool = upstream.ConnectionPool(reactor)
        self.route = OneRoute(known, self.timeout_ms)
        self.proxy = proxy.Proxy(
            proxy_id='proxy-1',
            pool=self.pool,
            loads=self.accounts,
            evidence=self.accounts,
            balancer=self.accounts,
            random=random.Random(1),
            routing=self.route,
        )
        self.factory, self.address = self._listen(self.proxy.handle)
        return self

    async def __aexit__(self, *_):
        for port in self._ports:
            port.stopListening()
        self.pool.close()
        for side in self.admissions:
            side.pool.close()
        for link in self.links:
            link.stop()
        for target in self.targets:
            await target.stop()
        # Lets the closed sockets leave the reactor.
        await asyncio.sleep(0.002)

    async def _host(self, target: target_server.TargetServer) -> model.Target:
        await target.start()
        boot_id = f'boot-{target.target_id}'
        side = admission.Admission(
            boot_id=boot_id,
            pool=upstream.ConnectionPool(self._reactor),
            limiter=slot_limiter.SlotLimiter,
            ledger=ledger.RequestLedger(boot_id),
        )
        local = admission.LocalTarget(
            target_id=target.target_id,
            address=target.address,
            slots=self.slots,
            keep_alive_s=target.keep_alive_s,
        )
        side.set_targets([local])
        self.admissions.append(side)
        _, address = self._listen(side.handle, half_close=False)
        link = CuttingLink(address)
        self.links.append(link)
        return model.Target(
            target_id=target.target_id,
            service='booking',
            version='v1',
            failure_domain='a',
            admission_address=await link.start(),
            slots=self.slots,
            boot_id=boot_id,
        )

    def _listen(self, handler, half_close=True):
        limits = http_server.Limits(reading_s=0.3)
        factory = http_server.HttpServerFactory(
            handler, limits, half_close=half_close
        )
        port = self._reactor.listenTCP(0, factory, 1024, '127.0.0.1')
        self._ports.append(port)
        return factory, f'127.0.0.1:{port.getHost().port}'

    def runs_by_path(self) -> dict[str, int]:
        """Counts how often each path ran, over all targets."""
        counts: dict[str, int] = {}
        for target in self.targets:
            for item in target.log:
                counts[item['path']] = counts.get(item['path'], 0) + 1
        return counts

    async def connect(self) -> 'Caller':
        """Opens a caller's connection to the proxy."""
        host, port = self.address.split(':')
        streams = await asyncio.open_connection(host, int(port), limit=2**26)
        return Caller(*streams)

    async def ask(
        self, method: str, target: str, body: bytes = b'', headers: str = ''
    ) -> http_codec.Response | None:
        """Sends one request on its own connection and reads the answer."""
        caller = await self.connect()
        try:
            caller.send(method, target, body, headers)
            return await caller.read(method)
        finally:
            caller.close()


class Caller:
    """A caller's connection; reads answers without hemlockgrade's parser."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def close(self):
        """Closes the connection."""
        self.writer.close()

    def send(self, method, target, body=b'', headers=''):
        """Writes a request."""
        length = f'content-length: {len(body)}\r\n' if body else ''
        head = f'{method} {target} HTTP/1.1\r\nhost: x\r\n{length}{headers}\r\n'
        self.writer.write(head.encode() + body)

    async def read(self, method='GET') -> http_codec.Response | None:
        """Reads an answer; None if it is missing or cut."""
        try:
            return await self._read(method)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    async def _read(self, method):
        head = (await self.reader.readuntil(b'\r\n\r\n')).split(b'\r\n')
        status = int(head[0].split()[1])
        headers = [tuple(h.split(b': ', 1)) for h in head[1:] if h]
        fields = dict(headers)
        body = b''
        if method == 'HEAD' or status in (100, 204, 304):
            pass
        elif b'content-length' in fields:
            body = await self.reader.readexactly(int(fields[b'content-length']))
        elif fields.get(b'transfer-encoding') == b'chunked':
            while size := int(await self.reader.readuntil(b'\r\n'), 16):
                body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readexactly(2)
        return http_codec.Response(status=status, headers=headers, body=body)
