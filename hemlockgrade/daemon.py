"""Builds the parts of a daemon, joins them, and stops them in order."""

import asyncio
from collections.abc import Callable
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
from hemlockgrade import configuration_task
from hemlockgrade import control_stream
from hemlockgrade import distribution
from hemlockgrade import evidence
from hemlockgrade import http_server
from hemlockgrade import kernel
from hemlockgrade import lease
from hemlockgrade import ledger
from hemlockgrade import listeners
from hemlockgrade import local_api
from hemlockgrade import mailbox
from hemlockgrade import membership
from hemlockgrade import membership_task
from hemlockgrade import metrics
from hemlockgrade import model
from hemlockgrade import platform_api
from hemlockgrade import proxy
from hemlockgrade import relay
from hemlockgrade import root_duties
from hemlockgrade import root_election
from hemlockgrade import root_relay
from hemlockgrade import timeline
from hemlockgrade import traffic
from hemlockgrade import tree
from hemlockgrade import uplink
from hemlockgrade import upstream
from hemlockgrade.config import daemon as daemon_settings
from hemlockgrade.wire import control_pb2

# A bad version gets no share within 3 s, of which evidence may take 1.2 s to
# the root through four relays that flush every 0.2 s.
EVIDENCE_INTERVAL_S = 0.4
# A request that is already on its way on an idle connection is still answered
# with a refusal; without this time its outcome would be unknown to the sender.
DRAIN_LINGER_S = 1.0
# Two other roots of the domain watch the platform meanwhile.
ROOT_LEASE_TERM_S = 6.0


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
        self._rooted = False
        self._is_root: mailbox.Mailbox[bool] = mailbox.Mailbox()
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
        self._configurations = configuration_task.ConfigurationTask()
        self._members = membership_task.MemberTask(
            settings.failure_domain, settings.daemon_id, self._boot_id
        )
        self._make_request_path()
        self._make_control()

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
            self._suspect,
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
        )
        self._admission = admission.Admission(
            boot_id=self._boot_id,
            pool=upstream.ConnectionPool(self._reactor),
            limiter=kernel.load_plugin('limiters', settings.limiter),
            ledger=ledger.RequestLedger(self._boot_id),
        )
        self._local_api = local_api.LocalApi(
            self._members,
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

    def _make_control(self) -> None:
        settings = self.settings
        self._evidence_store = evidence.EvidenceStore()
        callbacks = tree.Callbacks(
            members=self._receive_members,
            suspicions=self._receive_suspicions,
            evidence=self._receive_evidence,
            child_lost=self._suspect_host,
            domain_link=self._domain_link,
        )
        identity = tree.Identity(
            daemon_id=settings.daemon_id,
            failure_domain=settings.failure_domain,
            control_address=settings.control_address,
        )
        self._control_bytes = control_stream.ByteCounter()
        self._relay = relay.RelayServer(
            identity=identity,
            configuration_task=self._configurations,
            member_task=self._members,
            callbacks=callbacks,
            max_children=settings.fan_out,
            counter=self._control_bytes,
        )
        self._uplink = uplink.Uplink(
            identity=identity,
            configuration_task=self._configurations,
            member_task=self._members,
            candidates=lambda backups: self._election.candidates(backups),
            callbacks=callbacks,
            on_position=self._position_changed,
            random=random.Random(),
            counter=self._control_bytes,
        )
        self._root_relay = root_relay.RootRelay(
            identity=identity,
            change_source=self.change_log,
            configuration_task=self._configurations,
            member_task=self._members,
            callbacks=callbacks,
            on_position=self._position_changed,
            random=random.Random(),
            counter=self._control_bytes,
        )
        self._switch = root_election.RoleSwitch(
            self._relay, self._uplink, self._root_relay
        )
        self._election = root_election.RootElection(
            identity=identity,
            platform=self._platform,
            keeper_factory=self._make_root_lease,
            parent=self._uplink,
            known_relays=self._known_relays,
            seeds=settings.seed_addresses,
            slots=settings.root_slots,
            on_role=self._role_changed,
            on_roots=self._root_relay.set_roots,
            random=random.Random(),
        )
        self._duties = root_duties.RootDuties(
            daemon_id=settings.daemon_id,
            address=settings.control_address,
            platform=self._platform,
            change_log=self.change_log,
            configurations=self._configurations,
            members=self._members,
            store=self._evidence_store,
            judge=kernel.load_plugin('judges', settings.judge)(),
            recorded=self.time_line.record,
        )

    def _position_changed(self, position: tree.Position) -> None:
        self._relay.set_position(position)
        if position.rooted == self._rooted:
            return
        # Without a way to a root, the own domain is what this daemon cannot
        # judge: it must not remove targets that it merely does not hear of.
        self._rooted = position.rooted
        self._domain_link(self.settings.failure_domain, position.rooted)

    def _make_root_lease(self, name: str) -> lease.LeaseKeeper:
        return lease.LeaseKeeper(
            self._platform,
            name,
            self.settings.daemon_id,
            self.settings.control_address,
            ROOT_LEASE_TERM_S,
        )

    def _known_relays(self) -> list[distribution.KnownRelay]:
        relays_by_id = {
            target.daemon_id: distribution.KnownRelay(
                daemon_id=target.daemon_id,
                failure_domain=target.failure_domain,
                control_address=target.control_address,
            )
            for target in self._members.targets_by_id.values()
            if target.control_address
            and target.state is not model.MemberState.GONE
        }
        return list(relays_by_id.values())

    def _role_changed(self, role: root_election.Role) -> None:
        self.time_line.record('role_changed', role=str(role))
        self._switch.set_role(role)
        self._is_root.post(role is root_election.Role.ROOT)

    @property
    def configuration(self) -> configuration_module.Configuration:
        """Returns the configuration in force on this daemon."""
        return self._configurations.configuration

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves until the event is set, then shuts down gracefully.

        Args:
            stopping: Set to ask for the shutdown.

        Raises:
            exceptions.SettingsError: An address of the settings is in use.
        """
        settings = self.settings
        self._configurations.subscribe(self._configuration_changed)
        self._members.subscribe(self._members_changed)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._platform.close)
            stack.callback(self._traffic.close)
            tasks = await stack.enter_async_context(_Tasks())
            tasks.start('configuration', self._configurations.run())
            tasks.start('members', self._members.run())
            await self._listen(stack)
            await self._relay.start(settings.control_address)
            stack.push_async_callback(self._relay.close)
            tasks.start('upkeep', self._upkeep())
            tasks.start('tree', self._switch.run())
            tasks.start('election', self._election.run())
            tasks.start('duties', self._follow_role())
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
            self._duties.release(),
            self._election.release(),
            asyncio.sleep(DRAIN_LINGER_S),
        )
        for factory in factories:
            factory.close_idle()

    async def _follow_role(self) -> None:
        async for is_root in self._is_root:
            await self._duties.set_root(is_root)

    async def _upkeep(self) -> None:
        while True:
            await asyncio.sleep(EVIDENCE_INTERVAL_S)
            self._local_api.expire()
            self._traffic.set_unreachable_domains(
                self._members.unreachable_domains
            )
            records = self._recorder.take(time.time())
            self._evidence_store.merge(records, time.time())
            self._switch.post_evidence(evidence.to_wire(records))

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

    def _members_changed(self, targets: list[model.Target]) -> None:
        self._traffic.members_changed(targets)
        self.events.emit('members_changed', targets=targets)

    def _receive_members(
        self,
        targets: list[model.Target],
        reply: Callable[[Sequence[model.Target]], None],
    ) -> None:
        self._members.post(
            membership_task.MembersReceived(targets=targets, reply=reply)
        )

    def _domain_link(self, failure_domain: str, connected: bool) -> None:
        kind = (
            membership_task.LinkRestored
            if connected
            else membership_task.LinkLost
        )
        self._members.post(kind(failure_domain=failure_domain))

    def _receive_suspicions(
        self, suspicions: list[control_pb2.Suspicion]
    ) -> None:
        self._members.post(
            membership_task.SuspicionsReceived(
                suspicions=[
                    membership.Suspicion(
                        target_id=s.target_id,
                        incarnation=s.incarnation,
                        observer_id=s.observer_id,
                        reason=s.reason,
                    )
                    for s in suspicions
                ]
            )
        )

    def _suspect(self, suspicion: membership.Suspicion) -> None:
        message = control_pb2.Suspicion(
            target_id=suspicion.target_id,
            incarnation=suspicion.incarnation,
            observer_id=suspicion.observer_id,
            reason=suspicion.reason,
        )
        self._receive_suspicions([message])
        self._switch.post_suspicions([message])

    def _suspect_host(self, daemon_id: str) -> None:
        """Suspects the targets of a child whose stream broke."""
        for target in list(self._members.targets_by_id.values()):
            if target.daemon_id == daemon_id:
                self._suspect(
                    membership.Suspicion(
                        target_id=target.target_id,
                        incarnation=target.incarnation,
                        observer_id=self.settings.daemon_id,
                        reason='stream to its daemon broke',
                    )
                )

    def _receive_evidence(
        self, batches: list[control_pb2.EvidenceBatch]
    ) -> None:
        # Only a root may hold the rollout lease and need the evidence.
        if self._switch.role is not root_election.Role.ROOT:
            return
        for batch in batches:
            self._evidence_store.merge(evidence.from_wire(batch), time.time())

    def status(self) -> dict[str, Any]:
        """Describes this daemon."""
        return {
            'daemon_id': self.settings.daemon_id,
            'failure_domain': self.settings.failure_domain,
            'version': self.configuration.version,
            'role': self._role_name(),
            'parent': self._uplink.parent_address,
            'children': self._relay.children,
            'leases': self._lease_names(),
            'control_bytes_sent': self._control_bytes.sent,
            'control_bytes_received': self._control_bytes.received,
            'loads': self._admission.loads(),
        }

    def _role_name(self) -> str:
        if self._switch.role is not root_election.Role.SUBSCRIBER:
            return str(self._switch.role)
        return 'relay' if self._relay.children else 'leaf'

    def _lease_names(self) -> list[str]:
        holding = self._duties.holding
        return [] if holding is None else [f'rollout epoch {holding.epoch}']

    def targets(self) -> list[model.Target]:
        """Returns the targets that this daemon knows."""
        return list(self._members.targets_by_id.values())

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
