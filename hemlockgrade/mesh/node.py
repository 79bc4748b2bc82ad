"""The daemon beside one server: its parts and its life."""

import asyncio
import contextlib
import time
from typing import Any
import uuid

import attrs
from loguru import logger
import orjson

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import http_server
from hemlockgrade import in_flight
from hemlockgrade import listeners
from hemlockgrade import upstream
from hemlockgrade.mesh import balancer as balancer_module
from hemlockgrade.mesh import codec
from hemlockgrade.mesh import directory as directory_module
from hemlockgrade.mesh import drain as drain_module
from hemlockgrade.mesh import evidence
from hemlockgrade.mesh import exchange
from hemlockgrade.mesh import gate as gate_module
from hemlockgrade.mesh import heartbeats
from hemlockgrade.mesh import metrics as metrics_module
from hemlockgrade.mesh import model
from hemlockgrade.mesh import objects
from hemlockgrade.mesh import proxy as proxy_module
from hemlockgrade.mesh import publisher as publisher_module
from hemlockgrade.mesh import registrar as registrar_module
from hemlockgrade.mesh import rollout_task
from hemlockgrade.mesh import server_check
from hemlockgrade.mesh import settings as settings_module
from hemlockgrade.mesh import state_sync
from hemlockgrade.mesh import watcher
from hemlockgrade.platform import codec as platform_codec
from hemlockgrade.platform import store as store_module

# Longest wait of one watch, in seconds. A watch whose connection went silent
# is renewed after that time, so the configuration's is within its bound.
CONFIGURATION_WAIT_S = 2.0
MESH_WAIT_S = 5.0
# A connection between hosts of one region is made in a few milliseconds.
PEER_CONNECT_TIMEOUT_S = 0.25
# The store's values, and the state of a peer, are read whole: a page of a list
# has 1 MB at most.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024


@attrs.define(eq=False, slots=False)
class Node:
    """One daemon; `run` serves until it is told to stop.

    Attributes:
        settings: What the platform said of this host.
        reactor: The Twisted reactor.
    """

    settings: settings_module.NodeSettings
    reactor: Any

    def __attrs_post_init__(self):
        settings = self.settings
        self.boot_id = uuid.uuid4().hex[:12]
        self.clock = time.monotonic
        self.metrics = metrics_module.MeshMetrics()
        self.directory = directory_module.Directory(settings.name)
        self.registrar = registrar_module.Registrar(
            service=settings.service,
            address=settings.server_address,
        )
        self.server_pool = self._pool()
        self.peer_pool = self._pool(PEER_CONNECT_TIMEOUT_S)
        self.store = store_module.MetadataStore(
            settings.store_address, self._pool()
        )
        self.evidence = evidence.ServerEvidence(self.boot_id)
        self.gate = gate_module.Gate(
            registrar=self.registrar,
            pool=self.server_pool,
            clock=self.clock,
            on_evidence=self.evidence.record,
        )
        self.balancer = balancer_module.Balancer(
            directory=self.directory, zone=settings.zone, clock=self.clock
        )
        self.sync = state_sync.StateSync(
            directory=self.directory,
            pool=self.peer_pool,
            address=settings.peer_address,
            zone=settings.zone,
        )
        self.publisher = publisher_module.Publisher(
            store=self.store,
            directory=self.directory,
            make=self._entry,
            restore=self._restore_server,
        )
        self.proxy = proxy_module.Proxy(
            name=settings.name,
            service=settings.service,
            directory=self.directory,
            balancer=self.balancer,
            gate=self.gate,
            pool=self.peer_pool,
            clock=self.clock,
            retry_ratio=settings.bounds.retry_ratio,
            retry_slack=settings.bounds.retry_slack,
            sync=self.sync,
            on_finished=self.metrics.count_request,
        )
        self.rollouts = rollout_task.RolloutTask(
            name=settings.name,
            store=self.store,
            directory=self.directory,
            pool=self.peer_pool,
            clock=self.clock,
            exposed_share=settings.bounds.exposed_share,
        )
        self.heartbeats = heartbeats.HeartbeatApi(
            registrar=self.registrar, wait_stored=self.publisher.wait_written
        )
        self.registrar.on_change.append(self.publisher.wake)
        self.server_check = server_check.ServerCheck(
            registrar=self.registrar,
            directory=self.directory,
            pool=self.server_pool,
            clock=self.clock,
        )
        self.directory.on_configuration.append(self.server_check.wake)
        self._in_flight = in_flight.InFlight(self.clock)
        self.drain = drain_module.Drain(
            gate=self.gate,
            in_flight=self._in_flight,
            clock=self.clock,
            is_configured=lambda: self.directory.configuration is not None,
            on_leaving=self.publisher.wake,
        )
        self._watchers = self._make_watchers()

    def _pool(
        self, connect_timeout_s: float = upstream.CONNECT_TIMEOUT_S
    ) -> upstream.ConnectionPool:
        return upstream.ConnectionPool(
            self.reactor,
            connect_timeout_s=connect_timeout_s,
            request_id_header=platform_codec.REQUEST_ID,
            max_buffered_bytes=MAX_BUFFERED_BYTES,
        )

    def _make_watchers(self) -> list[watcher.Watcher]:
        return [
            watcher.Watcher(
                store=self.store,
                kind=platform_codec.CONFIGURATION_KIND,
                wait_s=CONFIGURATION_WAIT_S,
                on_item=self._configuration_changed,
                on_deleted=lambda item: None,
            ),
            watcher.Watcher(
                store=self.store,
                kind=codec.MESH_KIND,
                wait_s=MESH_WAIT_S,
                on_item=self._mesh_changed,
                on_deleted=self._mesh_deleted,
                on_listed=self._mesh_listed,
            ),
            watcher.Watcher(
                store=self.store,
                kind=platform_codec.ROLLOUT_KIND,
                wait_s=MESH_WAIT_S,
                on_item=self.rollouts.order_changed,
                on_deleted=self.rollouts.order_deleted,
            ),
        ]

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves until it is told to stop, then drains.

        Args:
            stopping: Set when the process is to end.
        """
        async with contextlib.AsyncExitStack() as stack:
            for pool in (self.server_pool, self.peer_pool, self.store.pool):
                stack.callback(pool.close)
            accepting = await stack.enter_async_context(
                contextlib.AsyncExitStack()
            )
            callers = await self._listen(stack, accepting)
            tasks = await stack.enter_async_context(asyncio.TaskGroup())
            running = [
                tasks.create_task(task)
                for task in (
                    self.publisher.run(),
                    self.rollouts.run(),
                    self.sync.run(),
                    self.server_check.run(),
                    *(each.run() for each in self._watchers),
                )
            ]
            self.publisher.wake()
            logger.info(
                'event=daemon_started boot={} zone={} service={} callers={}',
                self.boot_id,
                self.settings.zone,
                self.settings.service,
                self.settings.caller_address,
            )
            await stopping.wait()
            await self._drain(callers, accepting)
            for task in running:
                task.cancel()
        logger.info('event=daemon_stopped boot={}', self.boot_id)

    async def _drain(
        self,
        callers: http_server.HttpServerFactory,
        accepting: contextlib.AsyncExitStack,
    ):
        """Ends with no request cut, within the grace period."""
        grace_s = self.settings.bounds.grace_s
        now = self.clock()
        refuse_at = now + grace_s * drain_module.ACCEPTING_PART
        exit_at = now + grace_s - drain_module.EXIT_MARGIN_S
        await self.drain.wait_for_notice(callers)
        await self.drain.wait_for_quiet(refuse_at)
        await accepting.aclose()
        callers.close_idle()
        await self._in_flight.wait_until_idle(exit_at)
        logger.info('event=daemon_drained in_flight={}', self._in_flight.count)

    async def _listen(
        self,
        stack: contextlib.AsyncExitStack,
        accepting: contextlib.AsyncExitStack,
    ) -> http_server.HttpServerFactory:
        settings = self.settings
        callers = http_server.HttpServerFactory(
            lambda request: self._in_flight.track(self.proxy.handle(request))
        )
        self.directory.on_configuration.append(
            lambda: self._limit_callers(callers)
        )
        factories = {
            settings.peer_address: http_server.HttpServerFactory(
                self._handle_peer, half_close=False
            ),
            settings.heartbeat_address: http_server.HttpServerFactory(
                self.heartbeats.handle
            ),
            settings.readiness_address: http_server.HttpServerFactory(
                self.drain.answer_check
            ),
            settings.metrics_address: http_server.HttpServerFactory(
                self._handle_metrics
            ),
        }
        for address, factory in factories.items():
            await listeners.listen(
                stack, self.reactor, 'listen', address, factory
            )
        await listeners.listen(
            accepting,
            self.reactor,
            'listen',
            settings.caller_address,
            callers,
        )
        return callers

    def _limit_callers(self, callers: http_server.HttpServerFactory):
        configuration = self.directory.configuration
        if configuration is None:
            return
        limits = configuration.limits
        callers.limits = http_server.Limits(
            idle_s=limits.idle_s,
            reading_s=limits.header_s,
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
        )

    async def _handle_peer(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        self.sync.read(request.headers)
        if request.path == exchange.VERSIONS_PATH:
            return http_codec.Response(status=200, headers=self.sync.headers())
        if request.path == exchange.STATE_PATH:
            return http_codec.Response(status=200, body=self.sync.encode())
        if request.path == exchange.EVIDENCE_PATH:
            return self._encode_evidence(request)
        response = await self._in_flight.track(
            gate_module.handle_peer(self.gate, request)
        )
        response.headers.append(
            (exchange.LOAD, exchange.encode_load(*self.gate.load))
        )
        response.headers.append(
            (exchange.VERSIONS, self.sync.versions().encode())
        )
        return response

    def _encode_evidence(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        service = request.target.partition('?')[2]
        data = self.evidence.encode(service)
        data['busy'], _ = self.gate.load
        data['table'] = self.directory.table_revision
        return http_codec.Response(status=200, body=orjson.dumps(data))

    async def _handle_metrics(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        body, headers = self.metrics.render(self)
        return http_codec.Response(
            status=200,
            headers=[
                (name.lower().encode(), value.encode())
                for name, value in headers.items()
            ],
            body=body,
        )

    def _entry(self) -> model.Member:
        return model.Member(
            name=self.settings.name,
            address=self.settings.peer_address,
            zone=self.settings.zone,
            boot_id=self.boot_id,
            leaving=self.gate.leaving,
            server=self.registrar.server,
        )

    def _configuration_changed(self, item: objects.StoredItem):
        if item.name != platform_codec.CONFIGURATION_NAME:
            return
        try:
            new = platform_codec.decode_configuration(item.spec)
        except exceptions.InvalidFieldError as error:
            logger.error(
                'event=configuration_refused revision={} problem={!r}',
                item.revision,
                str(error),
            )
            return
        self.directory.apply_configuration(new, 'store')

    def _mesh_changed(self, item: objects.StoredItem):
        try:
            value = codec.decode_item(item)
        except exceptions.InvalidFieldError as error:
            logger.error(
                'event=entry_refused name={} revision={} problem={!r}',
                item.name,
                item.revision,
                str(error),
            )
            return
        if isinstance(value, model.VersionShare):
            self.directory.apply_share(value, 'store')
        elif isinstance(value, model.Member):
            if value.name == self.settings.name:
                self._restore_server(value)
                self.publisher.seen(value)
            self.directory.apply_member(value, 'store')

    def _restore_server(self, stored: model.Member):
        """Takes what an earlier process of this host knew of its server."""
        if stored.server is not None:
            self.registrar.restore(stored.server)
            self.server_check.wake()

    def _mesh_deleted(self, item: objects.StoredItem):
        if item.name == codec.member_key(self.settings.name):
            self.publisher.lost()
        elif item.name.startswith(codec.MEMBER_PREFIX):
            name = item.name.removeprefix(codec.MEMBER_PREFIX)
            self.directory.remove_member(name, item.revision)

    def _mesh_listed(self, listing: objects.Listing):
        names = {item.name for item in listing.items}
        for name in list(self.directory.member_by_name):
            if codec.member_key(name) not in names:
                self.directory.remove_member(name, listing.revision)
