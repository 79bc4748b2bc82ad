"""Builds and connects the components of a daemon, runs and stops them."""

import asyncio
from collections.abc import Coroutine
import contextlib
import math
import time
from typing import Any
import uuid

import attrs
from loguru import logger

from hemlockgrade import addresses
from hemlockgrade import admission as admission_module
from hemlockgrade import configuration_check
from hemlockgrade import definition_store
from hemlockgrade import directory as directory_module
from hemlockgrade import drain as drain_module
from hemlockgrade import evidence
from hemlockgrade import freshness as freshness_module
from hemlockgrade import heartbeats
from hemlockgrade import http_codec
from hemlockgrade import http_server
from hemlockgrade import in_flight
from hemlockgrade import intake
from hemlockgrade import kernel
from hemlockgrade import ledger
from hemlockgrade import link_load
from hemlockgrade import listeners
from hemlockgrade import metrics as metrics_module
from hemlockgrade import model
from hemlockgrade import outgoing_body
from hemlockgrade import overview
from hemlockgrade import peer_api
from hemlockgrade import peer_protocol
from hemlockgrade import proxy as proxy_module
from hemlockgrade import publisher as publisher_module
from hemlockgrade import registrar as registrar_module
from hemlockgrade import rollout_task
from hemlockgrade import selectors
from hemlockgrade import sender as sender_module
from hemlockgrade import server_check
from hemlockgrade import shutdown
from hemlockgrade import state_sync
from hemlockgrade import store_feed
from hemlockgrade import timeline
from hemlockgrade import upstream
from hemlockgrade import usage_caps
from hemlockgrade import usage_exchange
from hemlockgrade.config import daemon as daemon_settings
from hemlockgrade.platform import codec as platform_codec
from hemlockgrade.platform import store as store_module

# Connecting to another host of the mesh takes a few milliseconds.
PEER_CONNECT_TIMEOUT_S = 0.25
# Largest size of the headers that a daemon adds to a request for another one,
# in bytes.
MAX_PEER_HEADER_BYTES = 8 * 1024
# Responses of the store and of peers are buffered whole. The largest one is a
# page of a list of the store, which has at most 1 MB.
MAX_BUFFERED_RESPONSE_BYTES = 4 * 1024 * 1024
# The first write of the member of this daemon waits for the first
# heartbeat of the local server, which arrives within 1.5 s, because otherwise
# the member would be written twice. Without a heartbeat, the member is written
# after this delay.
FIRST_MEMBER_WRITE_DELAY_S = 2.0
# Bytes a second of a link with a rate of one megabit a second.
BYTES_PER_S_PER_MBPS = 1_000_000 / 8

# Settings that take effect when they are reloaded.
RELOADABLE_SETTINGS = (
    'retry_ratio',
    'retry_slack',
    'exposed_share',
    'signed_answers',
    'drain_timeout_s',
)


class Daemon:
    """One daemon: proxy, admission, configuration and administration API.

    Attributes:
        settings: Settings in force.
        boot_id: Random identifier of this process.
        metrics: Counters, histograms and gauges.
        time_line: Events of this process.
        directory: Configuration, members, shares, labels and selectors that
            this daemon has received.
        freshness: How recent the configuration in force is.
        store: Client of the platform's metadata store.
        registrar: Current state of the local server.
        admission: Admission of requests to the local server.
        caps: Usage caps of the organisations.
        balancer: Plug-in that chooses the server of an attempt.
        definitions: Writes labels and selectors to the store.
    """

    def __init__(self, settings: daemon_settings.DaemonSettings, reactor: Any):
        """Builds all components that open no socket.

        Args:
            settings: Settings, already checked.
            reactor: The running Twisted reactor on asyncio.

        Raises:
            exceptions.PluginError: A plug-in named in the settings is missing.
        """
        self.settings = settings
        self._reactor = reactor
        self._clock = time.monotonic
        self.boot_id = uuid.uuid4().hex[:12]
        self.metrics = metrics_module.Metrics()
        self.time_line = timeline.Timeline(
            settings.daemon_id, timeline.LogicalClock(time.time)
        )
        kernel.load_modules(settings.plugins)
        self.directory = directory_module.Directory(settings.daemon_id)
        for plugin in kernel.get_plugins('events'):
            self.directory.events.register_plugin(plugin(self.time_line))
        self.freshness = freshness_module.Freshness(
            directory=self.directory,
            clock=self._clock,
            suspended_s=_suspended_s,
            waits_for_peers=True,
        )
        self.directory.on_configuration.append(
            self.freshness.handle_configuration
        )
        self.store = store_module.MetadataStore(
            settings.store_address,
            self._build_pool(),
            newest_only_kinds=frozenset({platform_codec.CONFIGURATION_KIND}),
        )
        self._in_flight = in_flight.InFlightCounter(self._clock)
        self._link = outgoing_body.Link(
            settings.link_mbps * BYTES_PER_S_PER_MBPS or math.inf
        )
        self._shutdown = shutdown.Shutdown()
        self._build_server_side()
        self._build_caller_side()
        self._build_control()

    def _build_pool(
        self, connect_timeout_s: float = upstream.CONNECT_TIMEOUT_S
    ) -> upstream.ConnectionPool:
        return upstream.ConnectionPool(
            self._reactor,
            connect_timeout_s=connect_timeout_s,
            request_id_header=platform_codec.REQUEST_ID_HEADER,
            max_buffered_bytes=MAX_BUFFERED_RESPONSE_BYTES,
        )

    def _build_server_side(self):
        """Builds the components that manage the local server."""
        settings = self.settings
        self._server_pool = self._build_pool()
        self.registrar = registrar_module.Registrar(
            service=settings.service, address=settings.server_address
        )
        self._evidence = evidence.ServerEvidence(self.boot_id)
        self.admission = admission_module.AdmissionController(
            registrar=self.registrar,
            pool=self._server_pool,
            clock=self._clock,
            ledger=ledger.AttemptLedger(self.boot_id),
            shutdown=self._shutdown,
            create_limiter=kernel.get_plugin('limiters', settings.limiter),
            requires_signature=settings.signed_answers,
            on_response=self._record_response,
            link_load=link_load.LinkLoad(self._link.schedule),
            warmup_rate=self._warmup_rate,
            is_evacuated=lambda: (
                settings.failure_domain in self.directory.evacuated_domains
            ),
        )
        self.directory.on_evacuation.append(self._apply_evacuation)
        self._server_check = server_check.ServerCheck(
            registrar=self.registrar,
            directory=self.directory,
            pool=self._server_pool,
            clock=self._clock,
            on_response=self.admission.apply_notice,
        )
        self.directory.on_configuration.append(self._server_check.trigger)
        self._publisher = publisher_module.Publisher(
            store=self.store,
            directory=self.directory,
            build_member=self._build_member,
            restore_server=self._restore_server,
        )
        self.registrar.on_change.append(self._publisher.schedule_update)
        self._heartbeats = heartbeats.HeartbeatApi(
            registrar=self.registrar,
            zone=settings.failure_domain,
            wait_stored=self._publisher.wait_stored,
        )

    def _build_caller_side(self):
        """Builds the proxy, which sends requests of callers to servers."""
        settings = self.settings
        self._peer_pool = self._build_pool(PEER_CONNECT_TIMEOUT_S)
        self.balancer = kernel.get_plugin('balancers', settings.balancer)(
            directory=self.directory,
            zone=settings.failure_domain,
            clock=self._clock,
        )
        self._state_sync = state_sync.StateSync(
            directory=self.directory,
            pool=self._peer_pool,
            address=settings.admission_address,
            zone=settings.failure_domain,
            is_watching=lambda: self._configuration_check.reaches_store,
            freshness=self.freshness,
            complete_revision=lambda: self._store_feed.mesh_revision,
            is_receiving_configuration=lambda: (
                self._store_feed.is_receiving_configuration
            ),
            on_newer_configuration=lambda version: (
                self._configuration_check.want(version)
            ),
        )
        self.caps = usage_caps.UsageCaps(slack=settings.cap_slack)
        self._usage_exchange = usage_exchange.UsageExchange(
            caps=self.caps,
            directory=self.directory,
            pool=self._peer_pool,
            zone=settings.failure_domain,
            clock=self._clock,
        )
        self.directory.on_configuration.append(
            self._usage_exchange.handle_configuration
        )
        sender = sender_module.Sender(
            host_name=settings.daemon_id,
            boot_id=self.boot_id,
            admission=self.admission,
            pool=self._peer_pool,
            clock=self._clock,
            sync=self._state_sync,
        )
        self._proxy = proxy_module.Proxy(
            local_service=lambda: self.registrar.local_service,
            directory=self.directory,
            balancer=self.balancer,
            admission=self.admission,
            sender=sender,
            clock=self._clock,
            shutdown=self._shutdown,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            on_finished=self._record_request,
            on_repeat=self.metrics.repeats.inc,
            configuration_age_s=lambda: self.freshness.age_s,
            caps=self.caps,
            own_ip=addresses.split(settings.proxy_address)[0],
            revocation_limit_s=settings.revocation_limit_ms / 1000 or math.inf,
        )

    def _build_control(self):
        """Builds the rollout task, store access, peer API and shutdown."""
        settings = self.settings
        self._rollouts = rollout_task.RolloutTask(
            host_name=settings.daemon_id,
            store=self.store,
            directory=self.directory,
            pool=self._peer_pool,
            clock=self._clock,
            judge=kernel.get_plugin('judges', settings.judge)(),
            exposed_share=settings.exposed_share,
        )
        self.definitions = definition_store.DefinitionStore(
            store=self.store,
            on_written=lambda new: self.directory.apply_definition(new, 'own'),
            on_removed=self.directory.remove,
        )
        self.directory.on_definitions.append(self._apply_definition_change)
        self._store_feed = store_feed.StoreFeed(
            store=self.store,
            directory=self.directory,
            publisher=self._publisher,
            rollouts=self._rollouts,
            restore_server=self._restore_server,
            freshness=self.freshness,
            watches_evacuations=settings.evacuation_limit_ms > 0,
        )
        self.store.on_era.append(self._store_feed.handle_era)
        self._configuration_check = configuration_check.ConfigurationCheck(
            freshness=self.freshness,
            feed=self._store_feed,
            sync=self._state_sync,
            zone=settings.failure_domain,
        )
        self._peer_api = peer_api.PeerApi(
            admission=self.admission,
            sync=self._state_sync,
            evidence=self._evidence,
            in_flight=self._in_flight,
            handle_usage=self._usage_exchange.handle,
        )
        self._drain = drain_module.Drain(
            admission=self.admission,
            in_flight=self._in_flight,
            shutdown=self._shutdown,
            clock=self._clock,
            is_configured=lambda: self.directory.configured,
            on_leaving=self._publisher.schedule_update,
            on_interrupt=self._interrupt_requests,
        )

    async def run(
        self, stop_requested: asyncio.Event, *tasks: Coroutine[Any, Any, None]
    ) -> None:
        """Runs the daemon until an event is set, then shuts it down gracefully.

        Args:
            stop_requested: Starts the shutdown when it is set.
            tasks: Coroutines that run together with the tasks of the daemon
                and are cancelled together with them.

        Raises:
            exceptions.SettingsError: An address of the settings is already in
                use.
        """
        daemon_id = self.settings.daemon_id
        async with contextlib.AsyncExitStack() as stack:
            pools = (self._server_pool, self._peer_pool, self.store.pool)
            for pool in pools:
                stack.callback(pool.close)
            caller_listener_stack = await stack.enter_async_context(
                contextlib.AsyncExitStack()
            )
            caller_factory, peer_factory = await self._listen(
                stack, caller_listener_stack
            )
            task_group = await stack.enter_async_context(asyncio.TaskGroup())
            running_tasks = [
                task_group.create_task(task)
                for task in (
                    self._publisher.run(),
                    self._rollouts.run(),
                    self._configuration_check.run(),
                    self._server_check.run(),
                    self._usage_exchange.run(),
                    self.store.ended_calls.run(),
                    *self._store_feed.watch_coroutines(),
                    *tasks,
                )
            ]
            first_member_write = asyncio.get_running_loop().call_later(
                FIRST_MEMBER_WRITE_DELAY_S, self._publisher.schedule_update
            )
            stack.callback(first_member_write.cancel)
            self.directory.events.emit('startup', daemon_id=daemon_id)
            logger.info(
                'event=daemon_started boot={} zone={} service={} callers={}',
                self.boot_id,
                self.settings.failure_domain,
                self.settings.service,
                self.settings.proxy_address,
            )
            await stop_requested.wait()
            self.directory.events.emit('drain', daemon_id=daemon_id)
            await self._drain.run(
                caller_factory,
                peer_factory,
                caller_listener_stack,
                self.settings.drain_timeout_s,
            )
            self.directory.events.emit('shutdown', daemon_id=daemon_id)
            for task in running_tasks:
                task.cancel()
        logger.info('event=daemon_stopped boot={}', self.boot_id)

    async def _listen(
        self,
        stack: contextlib.AsyncExitStack,
        caller_listener_stack: contextlib.AsyncExitStack,
    ) -> tuple[http_server.HttpServerFactory, http_server.HttpServerFactory]:
        """Opens all listeners.

        Returns:
            The factories of the connections of callers and of peers.
        """
        settings = self.settings
        caller_factory = http_server.HttpServerFactory(
            lambda request: self._in_flight.track(self._proxy.handle(request)),
            link=self._link,
            may_overlap=self._proxy.is_idempotent,
            intake=self._build_intake(
                'callers', intake.CALLER_DESCRIPTOR_FRACTION
            ),
        )
        peer_factory = http_server.HttpServerFactory(
            self._peer_api.handle,
            link=self._link,
            intake=self._build_intake('peers', intake.PEER_DESCRIPTOR_FRACTION),
            # The sender tries another server.
            refusal_headers=peer_protocol.refusal_response(
                peer_protocol.Refusal.FULL
            ).headers,
        )
        self.directory.on_configuration.append(
            lambda: self._apply_caller_limits(caller_factory, peer_factory)
        )
        factory_by_setting: dict[str, Any] = {
            'admission_address': peer_factory,
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
            # The import takes 10 MB of memory. A daemon without an
            # administration address saves it.
            from hemlockgrade import admin

            factory_by_setting['administration_address'] = (
                admin.SizeLimitedSite(
                    admin.build_resource(self, settings.administration_token)
                )
            )
        for setting, factory in factory_by_setting.items():
            address = getattr(settings, setting)
            if address:
                await listeners.listen(
                    stack, self._reactor, setting, address, factory
                )
        await listeners.listen(
            caller_listener_stack,
            self._reactor,
            'proxy_address',
            settings.proxy_address,
            caller_factory,
        )
        return caller_factory, peer_factory

    def _build_intake(self, name: str, fraction: float) -> intake.Intake:
        """Builds the bounds on the requests of a listener.

        Args:
            name: Name of the listener, for the log.
            fraction: Part of the descriptors that its connections may use.
        """
        return intake.Intake(
            name=name,
            max_bytes=self._max_held_bytes,
            max_connections=int(self.settings.max_descriptors * fraction),
        )

    @property
    def _max_held_bytes(self) -> float:
        return self.settings.memory_mb * 2**20 * intake.MEMORY_FRACTION

    def reload(self, new: daemon_settings.DaemonSettings) -> None:
        """Applies changed settings, of which only some have an effect.

        These are `RELOADABLE_SETTINGS`. The others keep the values with which
        this process was started; the log names those that are to change.

        Args:
            new: The settings to apply, already checked.
        """
        value_by_name = {
            name: getattr(new, name) for name in RELOADABLE_SETTINGS
        }
        self.settings = attrs.evolve(self.settings, **value_by_name)
        unchanged = [
            field.name
            for field in attrs.fields(daemon_settings.DaemonSettings)
            if getattr(new, field.name) != getattr(self.settings, field.name)
        ]
        if unchanged:
            logger.warning(
                'event=settings_need_restart keys={}', ','.join(unchanged)
            )
        self._proxy.retry_ratio = new.retry_ratio
        self._proxy.retry_slack = new.retry_slack
        self._rollouts.exposed_share = new.exposed_share
        self.admission.requires_signature = new.signed_answers

    def _apply_caller_limits(
        self,
        caller_factory: http_server.HttpServerFactory,
        peer_factory: http_server.HttpServerFactory,
    ):
        """Applies the limits on the requests of callers.

        Other daemons send what their callers may send, with the headers of the
        peer protocol.
        """
        configuration = self.directory.configuration
        if configuration is None:
            return
        limits = configuration.limits
        caller_factory.limits = http_server.ConnectionLimits(
            idle_s=limits.idle_s,
            request_read_s=limits.header_s,
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
        )
        peer_factory.limits = http_server.ConnectionLimits(
            header_bytes=limits.header_bytes + MAX_PEER_HEADER_BYTES,
            body_bytes=limits.body_bytes,
        )
        largest_request = peer_factory.limits.largest_request_bytes
        for factory in (caller_factory, peer_factory):
            factory.intake.max_bytes = max(
                self._max_held_bytes, largest_request
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

    def _build_member(self) -> model.Member:
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
        """Restores the server state that an earlier process stored.

        A state that is not newer than the current one is ignored.

        Args:
            stored: Member of this daemon in the store.
        """
        if stored.server is not None:
            self.registrar.restore_server(stored.server)
            self._server_check.trigger()

    def _warmup_rate(self, service: str) -> float:
        configuration = self.directory.configuration
        if configuration is None:
            return math.inf
        return configuration.warmup_rate_by_service.get(service, math.inf)

    def _apply_evacuation(self, failure_domain: str):
        if failure_domain == self.settings.failure_domain:
            self.admission.apply_evacuation(
                ended=failure_domain not in self.directory.evacuated_domains
            )

    def _interrupt_requests(self):
        """Fails the requests that run, and then those that wait for a slot."""
        for pool in (self._server_pool, self._peer_pool):
            pool.close()

    def _record_response(self, response: admission_module.ResponseRecord):
        self._evidence.record(response)
        self.metrics.server_seconds.observe({}, response.latency_s)

    def _record_request(self, labels: dict[str, str], seconds: float):
        self.metrics.requests.inc(labels)
        self.metrics.request_seconds.observe({}, seconds)

    def _apply_definition_change(self, definition: model.Definition):
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


def _suspended_s() -> float:
    """Returns for how long the host has been suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
