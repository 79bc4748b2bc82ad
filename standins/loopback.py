"""Runs the request path in one process over loopback sockets, for tests."""

import asyncio
from collections.abc import Callable
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
from hemlockgrade import shutdown
from hemlockgrade import state_sync
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec
from hemlockgrade.plugins import slot_limiter
from hemlockgrade.plugins import zone_balancer
from standins import target_server

TEST_TIMEOUT_S = 60


def run(coroutine) -> Any:
    """Runs a coroutine to its end on the event loop of the Twisted reactor.

    Raises:
        TimeoutError: The coroutine took longer than `TEST_TIMEOUT_S`.
    """
    if 'twisted.internet.reactor' not in sys.modules:
        asyncioreactor.install(asyncio.new_event_loop())
    from twisted.internet import reactor

    loop = reactor._asyncioEventloop  # type: ignore[attr-defined]
    # The log of thousands of injected faults would hide the report of a failed
    # test.
    logger.disable('hemlockgrade')
    try:
        return loop.run_until_complete(
            asyncio.wait_for(coroutine, TEST_TIMEOUT_S)
        )
    finally:
        logger.enable('hemlockgrade')


class CuttingRelay:
    """A TCP relay that closes connections after a number of bytes.

    Args:
        address: Address to which connections are relayed.

    Attributes:
        cut_requests_at: For each of the next connections, the number of request
            bytes after which the connection is closed.
        cut_responses_at: The same for response bytes.
        response_delay_s: Time for which response bytes are held back, in
            seconds.
        request_delay_s: Time for which request bytes are held, in seconds.
    """

    def __init__(self, address: str):
        self._address = address.split(':')
        self.cut_requests_at: list[int] = []
        self.cut_responses_at: list[int] = []
        self.response_delay_s = 0.0
        self.request_delay_s = 0.0
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Starts listening and returns the address of the relay."""
        self._server = await asyncio.start_server(
            self._relay_connection, '127.0.0.1', 0, limit=2**20, backlog=1024
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def stop(self):
        """Closes the listener and all connections."""
        self._server.close()
        self.close_connections()

    def close_connections(self):
        """Closes all connections and keeps listening."""
        for task in self._tasks:
            task.cancel()

    async def _relay_connection(self, client_reader, client_writer):
        self._tasks.add(asyncio.current_task())
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._address
            )
        except (OSError, asyncio.CancelledError):
            client_writer.close()
            return
        # Each connection uses up the next entry of each list, if there is one.
        request_cut_at = (
            self.cut_requests_at.pop(0) if self.cut_requests_at else None
        )
        response_cut_at = (
            self.cut_responses_at.pop(0) if self.cut_responses_at else None
        )
        relay_tasks = [
            asyncio.ensure_future(
                _relay_bytes(
                    client_reader,
                    server_writer,
                    request_cut_at,
                    lambda: self.request_delay_s,
                )
            ),
            asyncio.ensure_future(
                _relay_bytes(
                    server_reader,
                    client_writer,
                    response_cut_at,
                    lambda: self.response_delay_s,
                )
            ),
        ]
        try:
            await asyncio.wait(relay_tasks, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            return
        finally:
            for task in relay_tasks:
                task.cancel()
            client_writer.close()
            server_writer.close()


async def _relay_bytes(
    reader, writer, cut_at: int | None, delay_s: Callable[[], float] = float
):
    relayed_bytes = 0
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            if held_s := delay_s():
                await asyncio.sleep(held_s)
            if cut_at is not None and relayed_bytes + len(data) >= cut_at:
                writer.write(data[: cut_at - relayed_bytes])
                return
            relayed_bytes += len(data)
            writer.write(data)
            await writer.drain()


@attrs.define(eq=False)
class ServerHost:
    """The server side of a daemon, without control plane, for one target.

    Attributes:
        registrar: Current state of the target.
        admission: Admission of requests to the target.
        pool: Connections to the target.
        api: Handles the requests of the proxy.
        address: Address at which the requests arrive, without the relay.
    """

    registrar: registrar.Registrar
    admission: admission.AdmissionController
    pool: upstream.ConnectionPool
    api: peer_api.PeerApi
    address: str

    def limiter_load(self) -> tuple[int, int]:
        """Returns the number of slots in use and of queued requests."""
        limiter = self.admission._limiter
        return (limiter.in_use, limiter.queued) if limiter else (0, 0)


class LoopbackSystem:
    """Targets with the server sides of their daemons, and one proxy.

    The proxy belongs to another host, which has no target. Relays pass on
    the connections from the proxy to the server sides.

    Args:
        targets: Number of targets.
        slots: Slots of each target.
        timeout_ms: Timeout of the route.
        listener_options: Options of the listener of the proxy.

    Attributes:
        targets: The targets.
        slots: Slots of each target.
        timeout_s: Timeout of the route, in seconds.
        hosts: The server sides, in the order of the targets.
        relays: One relay for each target, in the order of the targets.
        recorded_successes: Whether each recorded response was a success.
        directory: State of the proxy.
        configuration_age_s: Time since the configuration of the proxy was
            confirmed, in seconds.
    """

    def __init__(
        self,
        targets: int = 1,
        slots: int = 18,
        timeout_ms: int = 5000,
        **listener_options,
    ):
        self.targets = [
            target_server.TargetServer(target_id=f'target-{i}', slots=slots)
            for i in range(targets)
        ]
        self.slots = slots
        self.timeout_s = timeout_ms / 1000
        self._listener_options = listener_options
        self.configuration_age_s = 0.0
        self.hosts: list[ServerHost] = []
        self.relays: list[CuttingRelay] = []
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
            await self._start_host(target, number)
        self.configure('x')
        self.pool = self._build_pool()
        empty_registrar = registrar.Registrar(service='', address='')
        proxy_admission = self._build_admission('caller', empty_registrar)
        self.proxy = proxy.Proxy(
            local_service=lambda: 'callers',
            directory=self.directory,
            balancer=self.balancer,
            admission=proxy_admission,
            sender=sender.Sender(
                host_name='caller',
                boot_id='boot',
                admission=proxy_admission,
                pool=self.pool,
                clock=time.monotonic,
                sync=self._build_sync(),
            ),
            clock=time.monotonic,
            shutdown=shutdown.Shutdown(),
            retry_ratio=1.0,
            retry_slack=1e6,
            on_finished=lambda *_: None,
            configuration_age_s=lambda: self.configuration_age_s,
        )
        self.factory, self.address = self._listen(
            self.proxy.handle,
            **{
                'may_overlap': self.proxy.is_idempotent,
                **self._listener_options,
            },
        )
        return self

    async def __aexit__(self, *_):
        for port in self._ports:
            port.stopListening()
        self.pool.close()
        for host in self.hosts:
            host.pool.close()
        for relay in self.relays:
            relay.stop()
        for target in self.targets:
            await target.stop()
        # Gives the reactor time to remove the closed sockets.
        await asyncio.sleep(0.002)

    def configure(self, host: str) -> None:
        """Applies a configuration that routes a host name to the targets."""
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

    def _build_pool(self) -> upstream.ConnectionPool:
        return upstream.ConnectionPool(
            self._reactor, request_id_header=platform_codec.REQUEST_ID_HEADER
        )

    def _build_sync(self) -> state_sync.StateSync:
        return state_sync.StateSync(
            directory=self.directory,
            pool=self._build_pool(),
            address='',
            zone='a',
        )

    def _build_admission(
        self, name: str, target_registrar: registrar.Registrar
    ) -> admission.AdmissionController:
        return admission.AdmissionController(
            registrar=target_registrar,
            pool=self._build_pool(),
            clock=time.monotonic,
            ledger=ledger.AttemptLedger(f'boot-{name}'),
            shutdown=shutdown.Shutdown(),
            create_limiter=slot_limiter.SlotLimiter,
            requires_signature=False,
            on_response=lambda response: self.recorded_successes.append(
                response.ok
            ),
        )

    async def _start_host(
        self, target: target_server.TargetServer, number: int
    ):
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
        target_registrar = registrar.Registrar(
            service='booking', address=target.address
        )
        target_registrar.apply_heartbeat(server)
        server_admission = self._build_admission(
            target.target_id, target_registrar
        )
        api = peer_api.PeerApi(
            admission=server_admission,
            sync=self._build_sync(),
            evidence=evidence.ServerEvidence('boot'),
            in_flight=in_flight.InFlightCounter(time.monotonic),
        )
        _, address = self._listen(api.handle, allow_half_close=False)
        self.hosts.append(
            ServerHost(
                target_registrar,
                server_admission,
                server_admission.pool,
                api,
                address,
            )
        )
        relay = CuttingRelay(address)
        self.relays.append(relay)
        self.directory.apply_member(
            model.Member(
                name=target.target_id,
                address=await relay.start(),
                zone='a',
                boot_id=f'boot-{target.target_id}',
                server=server,
                revision=number,
            ),
            'test',
        )

    def _listen(self, handler, **options):
        limits = http_server.ConnectionLimits(request_read_s=0.3)
        factory = http_server.HttpServerFactory(handler, limits, **options)
        port = self._reactor.listenTCP(0, factory, 1024, '127.0.0.1')
        self._ports.append(port)
        return factory, f'127.0.0.1:{port.getHost().port}'

    def stop_listening(self) -> None:
        """Closes the listener of the proxy."""
        self._ports[-1].stopListening()

    def runs_by_path(self) -> dict[str, int]:
        """Returns how often each path was run, over all targets."""
        counts: dict[str, int] = {}
        for target in self.targets:
            for item in target.log:
                counts[item['path']] = counts.get(item['path'], 0) + 1
        return counts

    async def connect(self) -> 'Caller':
        """Opens a connection of a caller to the proxy."""
        host, port = self.address.split(':')
        streams = await asyncio.open_connection(host, int(port), limit=2**26)
        return Caller(*streams)

    async def send_request(
        self, method: str, target: str, body: bytes = b'', headers: str = ''
    ) -> http_codec.Response | None:
        """Sends one request on a new connection and returns the response.

        Returns:
            The response; None if it is missing or incomplete.
        """
        caller = await self.connect()
        try:
            caller.send(method, target, body, headers)
            return await caller.read(method)
        finally:
            caller.close()


class Caller:
    """A connection of a caller, with a response parser of its own.

    The parser of hemlockgrade is not used, because its faults would then go
    unnoticed.
    """

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
        """Reads a response; returns None if it is missing or incomplete."""
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
