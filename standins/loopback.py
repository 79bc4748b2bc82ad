"""The request path in one process over loopback sockets, for tests."""

import asyncio
import contextlib
import sys
import time
from typing import Any

import attrs
from loguru import logger
from twisted.internet import asyncioreactor

from hemlockgrade import admission
from hemlockgrade import directory
from hemlockgrade import evidence
from hemlockgrade import http_codec
from hemlockgrade import http_server
from hemlockgrade import in_flight
from hemlockgrade import ledger
from hemlockgrade import model
from hemlockgrade import peer_api
from hemlockgrade import proxy
from hemlockgrade import registrar
from hemlockgrade import sender
from hemlockgrade import state_sync
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec
from hemlockgrade.plugins import slot_limiter
from hemlockgrade.plugins import zone_balancer
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


class CuttingLink:
    """A TCP link that cuts its connections after a number of bytes."""

    def __init__(self, address: str):
        self._address = address.split(':')
        self.cut_requests_at: list[int] = []
        self.cut_responses_at: list[int] = []
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
        back = self.cut_responses_at.pop(0) if self.cut_responses_at else None
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


@attrs.define(eq=False)
class ServerHost:
    """The daemon beside one target, without its control."""

    registrar: registrar.Registrar
    admission: admission.AdmissionController
    pool: upstream.ConnectionPool
    api: peer_api.PeerApi

    def limiter_load(self) -> tuple[int, int]:
        """Returns the slots in use and the requests that wait."""
        limiter = self.admission._limiter
        return (limiter.in_use, limiter.queued) if limiter else (0, 0)


class LoopbackSystem:
    """Targets, the daemon beside each, and the proxy of a host without one."""

    def __init__(self, targets: int = 1, slots: int = 18, timeout_ms=5000):
        self.targets = [
            target_server.TargetServer(target_id=f'target-{i}', slots=slots)
            for i in range(targets)
        ]
        self.slots = slots
        self.timeout_s = timeout_ms / 1000
        self.hosts: list[ServerHost] = []
        self.links: list[CuttingLink] = []
        self.recorded_successes: list[bool] = []
        self.directory = directory.Directory('caller')
        self._ports: list[Any] = []

    async def __aenter__(self):
        from twisted.internet import reactor

        self._reactor = reactor
        self.balancer = zone_balancer.ZoneBalancer(
            directory=self.directory, zone='a', clock=time.monotonic
        )
        for number, target in enumerate(self.targets, 1):
            await self._host(target, number)
        self.configure('x')
        self.pool = self._pool()
        no_server = registrar.Registrar(service='', address='')
        own_admission = self._make_admission('caller', no_server)
        self.proxy = proxy.Proxy(
            local_service=lambda: 'callers',
            directory=self.directory,
            balancer=self.balancer,
            admission=own_admission,
            sender=sender.Sender(
                host_name='caller',
                boot_id='boot',
                admission=own_admission,
                pool=self.pool,
                clock=time.monotonic,
                sync=self._make_sync(),
            ),
            clock=time.monotonic,
            retry_ratio=1.0,
            retry_slack=1e6,
            on_finished=lambda *_: None,
        )
        self.factory, self.address = self._listen(self.proxy.handle)
        return self

    async def __aexit__(self, *_):
        for port in self._ports:
            port.stopListening()
        self.pool.close()
        for host in self.hosts:
            host.pool.close()
        for link in self.links:
            link.stop()
        for target in self.targets:
            await target.stop()
        # Lets the closed sockets leave the reactor.
        await asyncio.sleep(0.002)

    def configure(self, host: str) -> None:
        """Routes all paths of a host to the targets."""
        version = self.directory.configuration_version + 1
        route = model.Route(
            name='all',
            host=host,
            prefix='/',
            idempotent=None,
            attempts=3,
            timeout_s=self.timeout_s,
            target_latency_s=self.timeout_s,
            priority=0,
            shares=(model.ServiceShare(service='booking', weight=1.0),),
        )
        new = model.MeshConfiguration(
            version=version,
            routes=(route,),
            check_path_by_service={},
            limits=model.CallerLimits(),
            document=None,
        )
        self.directory.apply_configuration(new, 'test')

    def _pool(self) -> upstream.ConnectionPool:
        return upstream.ConnectionPool(
            self._reactor, request_id_header=platform_codec.REQUEST_ID
        )

    def _make_sync(self) -> state_sync.StateSync:
        return state_sync.StateSync(
            directory=self.directory, pool=self._pool(), address='', zone='a'
        )

    def _make_admission(
        self, name: str, known: registrar.Registrar
    ) -> admission.AdmissionController:
        return admission.AdmissionController(
            registrar=known,
            pool=self._pool(),
            clock=time.monotonic,
            ledger=ledger.AttemptLedger(f'boot-{name}'),
            create_limiter=slot_limiter.SlotLimiter,
            requires_signature=False,
            on_response=lambda answer: self.recorded_successes.append(
                answer.ok
            ),
        )

    async def _host(self, target: target_server.TargetServer, number: int):
        await target.start()
        server = model.Server(
            server_id=target.target_id,
            service='booking',
            address=target.address,
            zone='a',
            version='v1',
            slots=self.slots,
            state=model.ServerState.READY,
            sequence=1,
        )
        known = registrar.Registrar(service='booking', address=target.address)
        known.hear(server)
        own = self._make_admission(target.target_id, known)
        api = peer_api.PeerApi(
            admission=own,
            sync=self._make_sync(),
            evidence=evidence.ServerEvidence('boot'),
            in_flight=in_flight.InFlightCounter(time.monotonic),
        )
        self.hosts.append(ServerHost(known, own, own.pool, api))
        _, address = self._listen(api.handle, allow_half_close=False)
        link = CuttingLink(address)
        self.links.append(link)
        self.directory.apply_member(
            model.Member(
                name=target.target_id,
                address=await link.start(),
                zone='a',
                boot_id=f'boot-{target.target_id}',
                server=server,
                revision=number,
            ),
            'test',
        )

    def _listen(self, handler, allow_half_close=True):
        limits = http_server.ConnectionLimits(request_read_s=0.3)
        factory = http_server.HttpServerFactory(
            handler, limits, allow_half_close=allow_half_close
        )
        port = self._reactor.listenTCP(0, factory, 1024, '127.0.0.1')
        self._ports.append(port)
        return factory, f'127.0.0.1:{port.getHost().port}'

    def stop_listening(self) -> None:
        """Closes the listener for callers."""
        self._ports[-1].stopListening()

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

    async def send_request(
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
