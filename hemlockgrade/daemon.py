"""Builds the parts of a daemon, joins them, and stops them in order."""

import asyncio
import collections
from collections.abc import Sequence
import contextlib
import random
import time
from typing import Any
import uuid

from loguru import logger

from hemlockgrade import admin
from hemlockgrade import admission
from hemlockgrade import changelog
from hemlockgrade import configuration as configuration_module
from hemlockgrade import control_plane
from hemlockgrade import evidence
from hemlockgrade import http_codec
from hemlockgrade import http_server
from hemlockgrade import kernel
from hemlockgrade import ledger
from hemlockgrade import listeners
from hemlockgrade import local_api
from hemlockgrade import metrics
from hemlockgrade import model
from hemlockgrade import platform_api
from hemlockgrade import proxy
from hemlockgrade import routing
from hemlockgrade import timeline
from hemlockgrade import traffic
from hemlockgrade import upstream
from hemlockgrade.config import daemon as daemon_settings

# A bad version gets no share within 3 s, of which evidence may take 1.2 s to
# the root through four relays that flush every 0.2 s.
EVIDENCE_INTERVAL_S = 0.4
# A request that is already on its way on an idle connection is still answered
# with a refusal; without this time its outcome would be unknown to the sender.
DRAIN_LINGER_S = 1.0


class Daemon:
    """One daemon: proxy, admission side, relay and administration API.

    Attributes:
        metrics: Counters and gauges.
        time_line: Events of this process.
        change_log: The change log in the platform.
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
        self._boot_id = uuid.uuid4().hex[:16]
        self.metrics = metrics.Metrics()
        self.time_line = timeline.Timeline(
            settings.daemon_id, timeline.LogicalClock(time.time)
        )
        self.events = kernel.Events()
        for name in settings.plugins:
            plugin = kernel.load_plugin('plugins', name)
            self.events.register(plugin(self.time_line))
        self._platform: platform_api.Platform = kernel.load_plugin(
            'platforms', settings.platform
        )(settings.platform_url, client_name=settings.daemon_id)
        self.change_log = changelog.ChangeLog(self._platform)
        self._control = control_plane.ControlPlane(
            settings,
            self._boot_id,
            self._platform,
            self.change_log,
            self.time_line.record,
        )
        self._make_request_path()

    def _make_request_path(self) -> None:
        settings = self.settings
        self._recorder = evidence.EvidenceRecorder(
            f'{settings.daemon_id}.{self._boot_id}',
            clock_offset_s=time.time() - time.monotonic(),
        )
        self._traffic = traffic.TrafficState(
            settings.daemon_id,
            settings.failure_domain,
            self._recorder,
            self._control.suspect,
        )
        self._proxy = proxy.Proxy(
            proxy_id=settings.daemon_id,
            pool=upstream.ConnectionPool(self._reactor),
            loads=self._traffic.loads,
            evidence=self._traffic,
            balancer=kernel.load_plugin('balancers', settings.balancer)(
                settings.failure_domain
            ),
            random=random.Random(),
            stopped_versions=self._traffic.stopped_versions,
            on_finished=self._request_finished,
        )
        self._admission = admission.Admission(
            boot_id=self._boot_id,
            pool=upstream.ConnectionPool(self._reactor),
            limiter=kernel.load_plugin('limiters', settings.limiter),
            ledger=ledger.RequestLedger(self._boot_id),
        )
        self._local_api = local_api.LocalApi(
            self._control.members,
            self._admission,
            model.Target(
                target_id='',
                service='',
                version='',
                failure_domain=settings.failure_domain,
                admission_address=settings.admission_address,
                slots=1,
                control_address=settings.control_address,
                administration_address=settings.administration_address,
            ),
        )

    @property
    def configuration(self) -> configuration_module.Configuration:
        """Returns the configuration in force on this daemon."""
        return self._control.configurations.configuration

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves until the event is set, then shuts down gracefully.

        Args:
            stopping: Set to ask for the shutdown.

        Raises:
            exceptions.SettingsError: An address of the settings is in use.
        """
        settings = self.settings
        self._control.configurations.subscribe(self._configuration_changed)
        self._control.members.subscribe(self._members_changed)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._platform.close)
            stack.callback(self._traffic.close)
            tasks = await stack.enter_async_context(_Tasks())
            await self._listen(stack)
            await self._control.start(stack, tasks.start)
            tasks.start('upkeep', self._upkeep())
            self.events.emit('startup', daemon_id=settings.daemon_id)
            logger.info('event=daemon_started boot={}', self._boot_id)
            await tasks.wait_for(stopping)
            await self._drain()
            self.events.emit('shutdown', daemon_id=settings.daemon_id)
        logger.info('event=daemon_stopped')

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self.settings
        self._proxy_factory = http_server.HttpServerFactory(self._proxy.handle)
        self._admission_factory = http_server.HttpServerFactory(
            self._admission.handle, half_close=False
        )
        for setting, factory in (
            ('proxy_address', self._proxy_factory),
            ('admission_address', self._admission_factory),
            (
                'local_address',
                http_server.HttpServerFactory(self._local_api.handle),
            ),
            (
                'administration_address',
                admin.BoundedSite(
                    admin.make_resource(self, settings.administration_token)
                ),
            ),
        ):
            address = getattr(settings, setting)
            await listeners.listen(
                stack, self._reactor, setting, address, factory
            )

    async def _drain(self) -> None:
        deadline = time.monotonic() + self.settings.drain_timeout_s
        logger.info('event=drain_started')
        self.events.emit('drain', daemon_id=self.settings.daemon_id)
        factories = (self._proxy_factory, self._admission_factory)
        for factory in factories:
            factory.drain()
        for target_id in self._local_api.target_ids:
            self._local_api.drain(target_id)
        await asyncio.gather(
            self._proxy.drain(deadline),
            self._admission.drain(deadline),
            self._control.release(),
            asyncio.sleep(DRAIN_LINGER_S),
        )
        for factory in factories:
            factory.close_idle()

    async def _upkeep(self) -> None:
        while True:
            await asyncio.sleep(EVIDENCE_INTERVAL_S)
            self._local_api.expire()
            self._traffic.set_unreachable_domains(
                self._control.members.unreachable_domains
            )
            self._control.post_evidence(self._recorder.take(time.time()))

    def _configuration_changed(
        self,
        configuration: configuration_module.Configuration,
        changes: Sequence[model.Change],
    ) -> None:
        self._traffic.configuration_changed(configuration)
        self._proxy.routing = self._traffic
        self.metrics.configuration_version.set({}, configuration.version)
        now = time.time()
        for change in changes:
            self.time_line.clock.observe(change.written_at)
            self.metrics.convergence_seconds.observe(
                {}, max(0.0, now - change.written_at)
            )
        self.events.emit(
            'configuration_applied',
            applied=configuration,
            changes=list(changes),
        )
        for change in changes:
            rollout = configuration.rollouts_by_selector.get(change.name)
            if rollout is not None:
                self.events.emit('rollout_changed', rollout=rollout)

    def _request_finished(
        self,
        entry: routing.RouteEntry,
        version: str,
        response: http_codec.Response,
        seconds: float,
    ) -> None:
        outcome = http_codec.header(response.headers, b'x-hemlock-outcome')
        labels = {
            'selector': entry.selector,
            'version': version,
            'outcome': outcome or f'{response.status // 100}xx',
        }
        self.metrics.requests.inc(labels)
        self.metrics.request_seconds.observe(
            {'selector': entry.selector}, seconds
        )
        self.events.emit(
            'request_finished',
            selector=entry.selector,
            version=version,
            status=response.status,
            seconds=seconds,
        )

    def _members_changed(self, targets: list[model.Target]) -> None:
        self._traffic.members_changed(targets)
        self.events.emit('members_changed', targets=targets)

    def render_metrics(self) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics page and its HTTP headers."""
        counts = collections.Counter(t.state for t in self.targets())
        for state in model.MemberState:
            labels = {'state': state.name.lower()}
            self.metrics.targets.set(labels, counts[state])
        status = self._control.status()
        for direction in ('sent', 'received'):
            self.metrics.control_bytes.set(
                {'direction': direction}, status[f'control_bytes_{direction}']
            )
        return self.metrics.render()

    def status(self) -> dict[str, Any]:
        """Describes this daemon."""
        return {
            'daemon_id': self.settings.daemon_id,
            'failure_domain': self.settings.failure_domain,
            **self._control.status(),
            'loads': self._admission.loads(),
            'waiting_selectors': self._traffic.waiting_selectors(),
        }

    def targets(self) -> list[model.Target]:
        """Returns the targets that this daemon knows."""
        return list(self._control.members.targets_by_id.values())

    def explain(self, path: str) -> dict[str, Any]:
        """Tells how a request for a path would be served."""
        return traffic.explain(self._traffic, path)


class _Tasks:
    """The running tasks of a daemon; the end of one ends the daemon."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def start(self, name: str, coroutine: Any) -> None:
        """Starts a task."""
        self._tasks.add(asyncio.create_task(coroutine, name=name))

    async def wait_for(self, stopping: asyncio.Event) -> None:
        """Waits for the event.

        Raises:
            Exception: A task failed first; its error is raised.
        """
        stop = asyncio.create_task(stopping.wait())
        await asyncio.wait(
            {stop, *self._tasks}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in self._tasks:
            if task.done():
                stop.cancel()
                task.result()

    async def __aenter__(self) -> '_Tasks':
        return self

    async def __aexit__(self, *_) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
