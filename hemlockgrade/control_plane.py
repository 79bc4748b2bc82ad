"""The control side of a daemon: configuration, membership and evidence."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import random
import time
from typing import Any

from hemlockgrade import changelog
from hemlockgrade import configuration_task
from hemlockgrade import control_stream
from hemlockgrade import distribution
from hemlockgrade import evidence
from hemlockgrade import kernel
from hemlockgrade import lease
from hemlockgrade import mailbox
from hemlockgrade import membership
from hemlockgrade import membership_task
from hemlockgrade import model
from hemlockgrade import platform_api
from hemlockgrade import relay
from hemlockgrade import root_duties
from hemlockgrade import root_election
from hemlockgrade import root_relay
from hemlockgrade import tree
from hemlockgrade import uplink
from hemlockgrade.config import daemon as daemon_settings
from hemlockgrade.wire import control_pb2

# Two other roots of the domain watch the platform meanwhile.
ROOT_LEASE_TERM_S = 6.0


class ControlPlane:
    """Joins the tasks that own configuration, members and streams.

    Attributes:
        configurations: Owner of the configuration.
        members: Owner of the member table.
    """

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        boot_id: str,
        platform: platform_api.Platform,
        change_log: changelog.ChangeLog,
        recorded: Callable[..., None],
    ):
        """Makes the parts; `start` runs them.

        Args:
            settings: Checked settings.
            boot_id: Identifier of this process.
            platform: Keeps leases and the change log.
            change_log: The change log.
            recorded: Records an event of the time line.

        Raises:
            exceptions.PluginError: The judge of the settings is missing.
        """
        self._settings = settings
        self._platform = platform
        self._change_log = change_log
        self._recorded = recorded
        self._rooted = False
        self._is_root: mailbox.Mailbox[bool] = mailbox.Mailbox()
        self._store = evidence.EvidenceStore()
        self._bytes = control_stream.ByteCounter()
        self.configurations = configuration_task.ConfigurationTask()
        self.members = membership_task.MemberTask(
            settings.failure_domain, settings.daemon_id, boot_id
        )
        self._identity = tree.Identity(
            daemon_id=settings.daemon_id,
            failure_domain=settings.failure_domain,
            control_address=settings.control_address,
        )
        self._make_streams()
        self._make_root_side()

    def _make_streams(self) -> None:
        callbacks = tree.Callbacks(
            members=self._receive_members,
            suspicions=self._receive_suspicions,
            evidence=self._receive_evidence,
            child_lost=self._suspect_host,
            domain_link=self._domain_link,
            peer_root=lambda root: self._root_relay.learn_root(root),
        )
        self._relay = relay.RelayServer(
            identity=self._identity,
            configuration_task=self.configurations,
            member_task=self.members,
            callbacks=callbacks,
            max_children=self._settings.fan_out,
            counter=self._bytes,
        )
        self._uplink = uplink.Uplink(
            identity=self._identity,
            configuration_task=self.configurations,
            member_task=self.members,
            candidates=lambda backups: self._election.candidates(backups),
            callbacks=callbacks,
            on_position=self._position_changed,
            random=random.Random(),
            counter=self._bytes,
        )
        self._root_relay = root_relay.RootRelay(
            identity=self._identity,
            change_source=self._change_log,
            configuration_task=self.configurations,
            member_task=self.members,
            callbacks=callbacks,
            on_position=self._position_changed,
            random=random.Random(),
            counter=self._bytes,
        )
        self._switch = root_election.RoleSwitch(
            self._relay, self._uplink, self._root_relay
        )

    def _make_root_side(self) -> None:
        settings = self._settings
        self._election = root_election.RootElection(
            identity=self._identity,
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
            change_log=self._change_log,
            configurations=self.configurations,
            members=self.members,
            store=self._store,
            judge=kernel.load_plugin('judges', settings.judge)(),
            recorded=self._recorded,
        )

    async def start(
        self,
        stack: contextlib.AsyncExitStack,
        start_task: Callable[[str, Any], None],
    ) -> None:
        """Serves subscribers and starts the tasks.

        Args:
            stack: Owns the listener.
            start_task: Starts a coroutine as a named task of the daemon.
        """
        start_task('configuration', self.configurations.run())
        start_task('members', self.members.run())
        await self._relay.start(self._settings.control_address)
        stack.push_async_callback(self._relay.close)
        start_task('tree', self._switch.run())
        start_task('election', self._election.run())
        start_task('duties', self._follow_role())

    async def release(self) -> None:
        """Gives all leases up, so that others take them at once."""
        await asyncio.gather(self._duties.release(), self._election.release())

    def post_evidence(self, records: list[evidence.Evidence]) -> None:
        """Sends what the proxy of this daemon saw of new versions."""
        if self._switch.role is root_election.Role.ROOT:
            self._store.merge(records, time.time())
        self._switch.post_evidence(evidence.to_wire(records))

    def suspect(self, suspicion: membership.Suspicion) -> None:
        """Takes evidence against a target and sends it on."""
        message = control_pb2.Suspicion(
            target_id=suspicion.target_id,
            incarnation=suspicion.incarnation,
            observer_id=suspicion.observer_id,
            reason=suspicion.reason,
        )
        self._receive_suspicions([message])
        self._switch.post_suspicions([message])

    def status(self) -> dict[str, Any]:
        """Describes the place in the tree and the control traffic."""
        return {
            'version': self.configurations.configuration.version,
            'role': self._role_name(),
            'parent': self._uplink.parent_address,
            'children': self._relay.children,
            'leases': self._lease_names(),
            'control_bytes_sent': self._bytes.sent,
            'control_bytes_received': self._bytes.received,
        }

    def _role_name(self) -> str:
        if self._switch.role is not root_election.Role.SUBSCRIBER:
            return str(self._switch.role)
        return 'relay' if self._relay.children else 'leaf'

    def _lease_names(self) -> list[str]:
        holding = self._duties.holding
        return [] if holding is None else [f'rollout epoch {holding.epoch}']

    def _position_changed(self, position: tree.Position) -> None:
        self._relay.set_position(position)
        if position.rooted == self._rooted:
            return
        # Without a way to a root, the own domain is what this daemon cannot
        # judge: it must not remove targets that it merely does not hear of.
        self._rooted = position.rooted
        self._domain_link(self._settings.failure_domain, position.rooted)

    def _make_root_lease(self, name: str) -> lease.LeaseKeeper:
        return lease.LeaseKeeper(
            self._platform,
            name,
            self._settings.daemon_id,
            self._settings.control_address,
            ROOT_LEASE_TERM_S,
        )

    def _known_relays(self) -> list[distribution.KnownRelay]:
        relays_by_id = {
            target.daemon_id: distribution.KnownRelay(
                daemon_id=target.daemon_id,
                failure_domain=target.failure_domain,
                control_address=target.control_address,
            )
            for target in self.members.targets_by_id.values()
            if target.control_address
            and target.state is not model.MemberState.GONE
        }
        return list(relays_by_id.values())

    def _role_changed(self, role: root_election.Role) -> None:
        self._recorded('role_changed', role=str(role))
        self._switch.set_role(role)
        self._is_root.post(role is root_election.Role.ROOT)

    async def _follow_role(self) -> None:
        async for is_root in self._is_root:
            await self._duties.set_root(is_root)

    def _receive_members(
        self,
        targets: list[model.Target],
        reply: Callable[[Sequence[model.Target]], None],
    ) -> None:
        self.members.post(
            membership_task.MembersReceived(targets=targets, reply=reply)
        )

    def _domain_link(self, failure_domain: str, connected: bool) -> None:
        kind = (
            membership_task.LinkRestored
            if connected
            else membership_task.LinkLost
        )
        self.members.post(kind(failure_domain=failure_domain))

    def _receive_suspicions(
        self, suspicions: list[control_pb2.Suspicion]
    ) -> None:
        self.members.post(
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

    def _suspect_host(self, daemon_id: str) -> None:
        """Suspects the targets of a child whose stream broke."""
        for target in list(self.members.targets_by_id.values()):
            if target.daemon_id == daemon_id:
                self.suspect(
                    membership.Suspicion(
                        target_id=target.target_id,
                        incarnation=target.incarnation,
                        observer_id=self._settings.daemon_id,
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
            self._store.merge(evidence.from_wire(batch), time.time())
