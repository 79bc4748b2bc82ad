"""Builds the parts of a daemon, joins them, and stops them in order."""

import asyncio
from collections.abc import Coroutine
import contextlib
import time
from typing import Any
import uuid

from loguru import logger

from hemlockgrade import admission as admission_module
from hemlockgrade import definition_store
from hemlockgrade import directory as directory_module
from hemlockgrade import drain as drain_module
from hemlockgrade import evidence
from hemlockgrade import heartbeats
from hemlockgrade import http_codec
from hemlockgrade import http_server
from hemlockgrade import in_flight
from hemlockgrade import kernel
from hemlockgrade import ledger
from hemlockgrade import listeners
from hemlockgrade import metrics as metrics_module
from hemlockgrade import model
from hemlockgrade import overview
from hemlockgrade import peer_api
from hemlockgrade import proxy as proxy_module
from hemlockgrade import publisher as publisher_module
from hemlockgrade import registrar as registrar_module
from hemlockgrade import rollout_task
from hemlockgrade import selectors
from hemlockgrade import sender as sender_module
from hemlockgrade import server_check
from hemlockgrade import state_sync
from hemlockgrade import store_feed
from hemlockgrade import timeline
from hemlockgrade import upstream
from hemlockgrade.config import daemon as daemon_settings
from hemlockgrade.platform import codec as platform_codec
from hemlockgrade.platform import store as store_module

# A connection between hosts of one region is made in a few milliseconds.
PEER_CONNECT_TIMEOUT_S = 0.25
# The store's values, and the state of a peer, are read whole: a page of a list
# has 1 MB at most.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024
# The own entry is written with the server's first heartbeat, which comes within
# 1.5 s, so that it is not written twice; without one it is after this time.
FIRST_ENTRY_S = 2.0


class Daemon:
    """One daemon: proxy, admission, configuration and administration API.

    Attributes:
        settings: Settings in force.
        metrics: Counters, histograms and gauges.
        time_line: Events of this process.
        directory: What this daemon knows.
    """

    def __init__(self, settings: daemon_settings.DaemonSettings, reactor: Any):
        """Makes the parts that hold no socket.

        Args:
            settings: Checked settings.
            reactor: The running Twisted reactor on asyncio.

        Raises:
            exceptions.PluginError: A plug-in of the settings is missing.
        """
        self.settings = settings
        self._reactor = reactor
        self._clock = time.monotonic
        self.boot_id = uuid.uuid4().hex[:12]
        self.metrics = metrics_module.Metrics()
        self.time_line = timeline.Timeline(
            settings.daemon_id, timeline.LogicalClock(time.time)
        )
        kernel.load(settings.plugins)
        self.directory = directory_module.Directory(settings.daemon_id)
        for plugin in kernel.plugins('events'):
            self.directory.events.register(plugin(self.time_line))
        self.store = store_module.MetadataStore(
            settings.store_address, self._pool()
        )
        self._in_flight = in_flight.InFlightCounter(self._clock)
        self._make_server_side()
        self._make_caller_side()
        self._make_control()

    def _pool(
        self, connect_timeout_s: float = upstream.CONNECT_TIMEOUT_S
    ) -> upstream.ConnectionPool:
        return upstream.ConnectionPool(
            self._reactor,
            connect_timeout_s=connect_timeout_s,
            request_id_header=platform_codec.REQUEST_ID_HEADER,
            max_buffered_bytes=MAX_BUFFERED_BYTES,
        )

    def _make_server_side(self):
        settings = self.settings
        self._server_pool = self._pool()
        self.registrar = registrar_module.Registrar(
            service=settings.service, address=settings.server_address
        )
        self._evidence = evidence.ServerEvidence(self.boot_id)
        self.admission = admission_module.AdmissionController(
            registrar=self.registrar,
            pool=self._server_pool,
            clock=self._clock,
            ledger=ledger.AttemptLedger(self.boot_id),
            create_limiter=kernel.plugin('limiters', settings.limiter),
            requires_signature=settings.signed_answers,
            on_response=self._server_answered,
        )
        self._server_check = server_check.ServerCheck(
            registrar=self.registrar,
            directory=self.directory,
            pool=self._server_pool,
            clock=self._clock,
        )
        self.directory.on_configuration.append(self._server_check.trigger)
        self._publisher = publisher_module.Publisher(
            store=self.store,
            directory=self.directory,
            build_member=self._entry,
            restore_server=self._restore_server,
        )
        self.registrar.on_change.append(self._publisher.schedule_update)
        self._heartbeats = heartbeats.HeartbeatApi(
            registrar=self.registrar,
            zone=settings.failure_domain,
            wait_stored=self._publisher.wait_stored,
        )

    def _make_caller_side(self):
        settings = self.settings
        self._peer_pool = self._pool(PEER_CONNECT_TIMEOUT_S)
        self.balancer = kernel.plugin('balancers', settings.balancer)(
            directory=self.directory,
            zone=settings.failure_domain,
            clock=self._clock,
        )
        self._sync = state_sync.StateSync(
            directory=self.directory,
            pool=self._peer_pool,
            address=settings.admission_address,
            zone=settings.failure_domain,
        )
        sender = sender_module.Sender(
            host_name=settings.daemon_id,
            boot_id=self.boot_id,
            admission=self.admission,
            pool=self._peer_pool,
            clock=self._clock,
            sync=self._sync,
        )
        self._proxy = proxy_module.Proxy(
            local_service=lambda: self.registrar.local_service,
            directory=self.directory,
            balancer=self.balancer,
            admission=self.admission,
            sender=sender,
            clock=self._clock,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            on_finished=self._request_finished,
        )

    def _make_control(self):
        settings = self.settings
        self._rollouts = rollout_task.RolloutTask(
            name=settings.daemon_id,
            store=self.store,
            directory=self.directory,
            pool=self._peer_pool,
            clock=self._clock,
            judge=kernel.plugin('judges', settings.judge)(),
            exposed_share=settings.exposed_share,
        )
        self.definitions = definition_store.DefinitionStore(
            store=self.store,
            on_written=lambda new: self.directory.apply_definition(new, 'own'),
            on_removed=self.directory.remove,
        )
        self.directory.on_definitions.append(self._definition_changed)
        self._feed = store_feed.StoreFeed(
            store=self.store,
            directory=self.directory,
            publisher=self._publisher,
            rollouts=self._rollouts,
            restore_server=self._restore_server,
        )
        self._peer_api = peer_api.PeerApi(
            admission=self.admission,
            sync=self._sync,
            evidence=self._evidence,
            in_flight=self._in_flight,
        )
        self._drain = drain_module.Drain(
            admission=self.admission,
            in_flight=self._in_flight,
            clock=self._clock,
            is_configured=lambda: self.directory.configured,
            on_leaving=self._publisher.schedule_update,
        )

    async def run(
        self, stopping: asyncio.Event, *tasks: Coroutine[Any, Any, None]
    ) -> None:
        """Serves until the event is set, then shuts down gracefully.

        Args:
            stopping: Set to ask for the shutdown.
            tasks: Run beside the daemon's own, and cancelled with them.

        Raises:
            exceptions.SettingsError: An address of the settings is in use.
        """
        daemon_id = self.settings.daemon_id
        async with contextlib.AsyncExitStack() as stack:
            pools = (self._server_pool, self._peer_pool, self.store.pool)
            for pool in pools:
                stack.callback(pool.close)
            accepting = await stack.enter_async_context(
                contextlib.AsyncExitStack()
            )
            callers = await self._listen(stack, accepting)
            group = await stack.enter_async_context(asyncio.TaskGroup())
            running = [
                group.create_task(task)
                for task in (
                    self._publisher.run(),
                    self._rollouts.run(),
                    self._sync.run(),
                    self._server_check.run(),
                    *self._feed.watch_coroutines(),
                    *tasks,
                )
            ]
            first_entry = asyncio.get_running_loop().call_later(
                FIRST_ENTRY_S, self._publisher.schedule_update
            )
            stack.callback(first_entry.cancel)
            self.directory.events.emit('startup', daemon_id=daemon_id)
            logger.info(
                'event=daemon_started boot={} zone={} service={} callers={}',
                self.boot_id,
                self.settings.failure_domain,
                self.settings.service,
                self.settings.proxy_address,
            )
            await stopping.wait()
            self.directory.events.emit('drain', daemon_id=daemon_id)
            await self._drain.run(
                callers, accepting, self.settings.drain_timeout_s
            )
            self.directory.events.emit('shutdown', daemon_id=daemon_id)
            for task in running:
                task.cancel()
        logger.info('event=daemon_stopped boot={}', self.boot_id)

    async def _listen(
        self,
        stack: contextlib.AsyncExitStack,
        accepting: contextlib.AsyncExitStack,
    ) -> http_server.HttpServerFactory:
        settings = self.settings
        callers = http_server.HttpServerFactory(
            lambda request: self._in_flight.track(self._proxy.handle(request))
        )
        self.directory.on_configuration.append(
            lambda: self._limit_callers(callers)
        )
        factory_by_setting: dict[str, Any] = {
            'admission_address': http_server.HttpServerFactory(
                self._peer_api.handle, allow_half_close=False
            ),
            'local_address': http_server.HttpServerFactory(
                self._heartbeats.handle
            ),
            'readiness_address': http_server.HttpServerFactory(
                self._drain.handle_readiness_check
            ),
            'metrics_address': http_server.HttpServerFactory(
                self._handle_metrics
            ),
        }
        if settings.administration_address:
            # Takes 10 MB of memory, which a daemon without it does not need.
            from hemlockgrade import admin

            factory_by_setting['administration_address'] = admin.BoundedSite(
                admin.make_resource(self, settings.administration_token)
            )
        for setting, factory in factory_by_setting.items():
            address = getattr(settings, setting)
            if address:
                await listeners.listen(
                    stack, self._reactor, setting, address, factory
                )
        await listeners.listen(
            accepting,
            self._reactor,
            'proxy_address',
            settings.proxy_address,
            callers,
        )
        return callers

    def reload(self, new: daemon_settings.DaemonSettings) -> None:
        """Puts changed settings into force, but for addresses and names.

        Args:
            new: Checked settings.
        """
        self.settings = new
        self._proxy.retry_ratio = new.retry_ratio
        self._proxy.retry_slack = new.retry_slack
        self._rollouts.exposed_share = new.exposed_share
        self.admission.requires_signature = new.signed_answers

    def _limit_callers(self, callers: http_server.HttpServerFactory):
        configuration = self.directory.configuration
        if configuration is None:
            return
        limits = configuration.limits
        callers.limits = http_server.ConnectionLimits(
            idle_s=limits.idle_s,
            request_read_s=limits.header_s,
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
        )

    async def _handle_metrics(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        body, headers = overview.render_metrics(self)
        return http_codec.Response(
            status=200,
            headers=[
                (name.lower().encode(), value.encode())
                for name, value in headers.items()
            ],
            body=body,
        )

    def _entry(self) -> model.Member:
        settings = self.settings
        return model.Member(
            name=settings.daemon_id,
            address=settings.admission_address,
            administration_address=settings.administration_address,
            zone=settings.failure_domain,
            boot_id=self.boot_id,
            leaving=self.admission.leaving,
            server=self.registrar.server,
        )

    def _restore_server(self, stored: model.Member):
        """Takes what an earlier process of this host knew of its server."""
        if stored.server is not None:
            self.registrar.restore_server(stored.server)
            self._server_check.trigger()

    def _server_answered(self, answer: admission_module.ResponseRecord):
        self._evidence.record(answer)
        self.metrics.server_seconds.observe({}, answer.latency_s)

    def _request_finished(self, labels: dict[str, str], seconds: float):
        self.metrics.requests.inc(labels)
        self.metrics.request_seconds.observe({}, seconds)

    def _definition_changed(self, definition: model.Definition):
        self.metrics.convergence_seconds.observe(
            {}, max(0.0, time.time() - definition.written_at)
        )
        if isinstance(definition.value, model.Selector):
            name = definition.value.name
            order = self.directory.definitions.rollout_order(name, time.time())
            if order is None:
                self._rollouts.remove_order(
                    selectors.SELECTOR_ORDER_PREFIX + name
                )
            else:
                self._rollouts.apply_order(order)
