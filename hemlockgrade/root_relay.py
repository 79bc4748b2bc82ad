"""A root's part in the tree: the change log and the other roots."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import random as random_module
import time
from typing import Protocol

from loguru import logger

from hemlockgrade import backoff
from hemlockgrade import configuration as configuration_module
from hemlockgrade import configuration_task as configuration_task_module
from hemlockgrade import control_stream
from hemlockgrade import distribution
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import tree
from hemlockgrade import wire_messages
from hemlockgrade.wire import control_pb2

# A root that a peer overtakes for this time asks the peer for the changes.
LAG_LIMIT_S = 1.0
FIRST_FOLLOW_DELAY_S = 0.2
MAX_FOLLOW_DELAY_S = 2.0


class ChangeSource(Protocol):
    """What a root needs of the change log."""

    async def load(self) -> configuration_module.Configuration:
        """Reads the whole configuration."""

    def follow(
        self, configuration: configuration_module.Configuration
    ) -> AsyncIterator[model.Change]:
        """Yields the changes after a configuration as they are appended."""


class RootRelay:
    """Follows the change log and keeps streams to the other roots.

    A root pushes what its subtree sent to each root of its own domain and
    to one root of each other domain. What came from another domain it
    passes to the roots of its own domain only, and what came from there it
    passes no further, so that everything reaches every root once.
    """

    def __init__(
        self,
        *,
        identity: tree.Identity,
        change_source: ChangeSource,
        configuration_task: configuration_task_module.ConfigurationTask,
        member_task: control_stream.MemberView,
        callbacks: tree.Callbacks | None = None,
        on_position: Callable[[tree.Position], None] = tree.ignore,
        random: random_module.Random,
        counter: control_stream.ByteCounter | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Prepares the root; `run` serves as one.

        Args:
            identity: The daemon, with its control address.
            change_source: The change log.
            configuration_task: Receives the changes.
            member_task: The member table; its changes go to the peers.
            callbacks: Receives the members that peers send.
            on_position: Called with the place at the top of the tree.
            random: Source of the jitter.
            counter: Counts the bytes of the streams.
            clock: Monotonic time in seconds.
        """
        self._identity = identity
        self._change_source = change_source
        self._configuration_task = configuration_task
        self._member_task = member_task
        self._callbacks = callbacks or tree.Callbacks()
        self._on_position = on_position
        self._random = random
        self._counter = counter or control_stream.ByteCounter()
        self._clock = clock
        self._roots: tuple[distribution.KnownRelay, ...] = ()
        self._links_by_key: dict[tuple[str, bool], PeerLink] = {}
        self._group: asyncio.TaskGroup | None = None
        self._gap_found = asyncio.Event()
        self._digest = distribution.MemberDigest()
        self._digest.update(member_task.targets_by_id.values())
        member_task.subscribe(self._members_changed)

    @property
    def links(self) -> list['PeerLink']:
        """The peer streams."""
        return list(self._links_by_key.values())

    def set_roots(self, roots: Iterable[distribution.KnownRelay]) -> None:
        """Tells which roots there are now."""
        self._roots = tuple(roots)
        if self._group is not None:
            self._reconcile(self._group)

    def learn_root(self, root: distribution.KnownRelay) -> None:
        """Adds a root that has subscribed here.

        The platform may be unreachable before its roots were ever read, and a
        stream from a peer alone brings no changes.
        """
        known = {r.control_address for r in self._roots}
        if root.control_address not in known:
            self.set_roots([*self._roots, root])

    def post_suspicions(
        self,
        suspicions: Iterable[control_pb2.Suspicion],
        origin: tree.Origin = tree.Origin.SUBTREE,
    ) -> None:
        """Sends suspicions to the other roots."""
        for link in self._links_for(origin):
            link.reports.add_suspicions(suspicions)

    def post_evidence(
        self,
        evidence: Iterable[control_pb2.EvidenceBatch],
        origin: tree.Origin = tree.Origin.SUBTREE,
    ) -> None:
        """Sends evidence to the other roots."""
        for link in self._links_for(origin):
            link.reports.add_evidence(evidence)

    def members_received(
        self, targets: Sequence[model.Target], origin: tree.Origin
    ) -> None:
        """Keeps entries of a peer from the streams that have them already."""
        passed_on = self._links_for(origin)
        for link in self._links_by_key.values():
            if link not in passed_on:
                link.members.note_received(targets)

    async def run(self) -> None:
        """Serves as a root until cancelled."""
        self._gap_found.clear()
        unsubscribe = self._configuration_task.subscribe_gaps(
            lambda _: self._gap_found.set()
        )
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow())
                group.create_task(self._repair())
                await self._accept_peers(group)
        finally:
            self._links_by_key.clear()
            unsubscribe()

    async def _accept_peers(self, group: asyncio.TaskGroup) -> None:
        """Keeps a stream to each peer until the group shuts down.

        A group that shuts down refuses new tasks, and roots may still be
        announced while its streams end.
        """
        self._group = group
        try:
            self._reconcile(group)
            await asyncio.Event().wait()
        finally:
            self._group = None

    def _links_for(self, origin: tree.Origin) -> list['PeerLink']:
        if origin is tree.Origin.OWN_DOMAIN:
            return []
        return [
            link
            for link in self._links_by_key.values()
            if link.local or origin is tree.Origin.SUBTREE
        ]

    def _reconcile(self, group: asyncio.TaskGroup) -> None:
        self._update_links(group)
        self._on_position(self._position())

    def _update_links(self, group: asyncio.TaskGroup) -> None:
        own = distribution.KnownRelay(
            daemon_id=self._identity.daemon_id,
            failure_domain=self._identity.failure_domain,
            control_address=self._identity.control_address,
        )
        streams_by_key = {
            (stream.name, stream.local): stream
            for stream in distribution.peer_streams(own, self._roots)
        }
        for key in self._links_by_key.keys() - streams_by_key.keys():
            self._links_by_key.pop(key).stop()
        for key, stream in streams_by_key.items():
            link = self._links_by_key.get(key)
            if link is None:
                link = self._links_by_key[key] = self._new_link(stream)
                link.start(group)
            link.addresses = stream.addresses

    def _position(self) -> tree.Position:
        own = self._identity
        local = [
            r for r in self._roots if r.failure_domain == own.failure_domain
        ]
        addresses = [r.control_address for r in local]
        return tree.Position(
            rooted=True,
            root=True,
            root_addresses=tuple(
                a for a in addresses if a != own.control_address
            ),
        )

    def _new_link(self, stream: distribution.PeerStream) -> 'PeerLink':
        return PeerLink(
            stream=stream,
            identity=self._identity,
            configuration_task=self._configuration_task,
            member_task=self._member_task,
            digest=self._digest,
            received=self._received,
            callbacks=self._callbacks,
            random=self._random,
            counter=self._counter,
            clock=self._clock,
        )

    def _received(self, link: 'PeerLink', targets: list[model.Target]) -> None:
        origin = (
            tree.Origin.OWN_DOMAIN if link.local else tree.Origin.OTHER_DOMAIN
        )
        self.members_received(targets, origin)
        self._callbacks.members(targets, link.offer_back)

    def _members_changed(self, targets: Sequence[model.Target]) -> None:
        self._digest.update(targets)
        for link in self._links_by_key.values():
            link.members.offer(targets)

    async def _follow(self) -> None:
        """Feeds the log into the configuration task, through all outages."""
        start = self._configuration_task.configuration
        reload = start.version == 0
        attempt = 0
        while True:
            try:
                if reload:
                    start = await self._load()
                reload = False
                changes = self._change_source.follow(start)
                async with contextlib.AsyncExitStack() as stack:
                    if isinstance(changes, AsyncGenerator):
                        stack.push_async_callback(changes.aclose)
                    async for change in changes:
                        attempt = 0
                        self._post(change)
            except exceptions.PlatformUnavailableError as error:
                reload = reload or start.version == 0
                self._log_interruption(error)
            except Exception as error:  # noqa: BLE001
                # The position in the log may be gone, so start from the top.
                # An entry that cannot be read must not end the daemon.
                reload = True
                self._log_interruption(error)
            attempt += 1
            limit = backoff.delay_s(
                attempt, FIRST_FOLLOW_DELAY_S, MAX_FOLLOW_DELAY_S
            )
            await asyncio.sleep(self._random.uniform(0, limit))
            start = self._configuration_task.configuration

    def _post(self, change: model.Change) -> None:
        self._configuration_task.post(
            configuration_task_module.ChangesReceived((change,))
        )

    def _log_interruption(self, error: Exception) -> None:
        logger.warning(
            'event=log_interrupted version={} error={!r}',
            self._configuration_task.configuration.version,
            error,
        )

    async def _load(self) -> configuration_module.Configuration:
        loaded = await self._change_source.load()
        self._configuration_task.post(
            configuration_task_module.SnapshotReceived(loaded)
        )
        held = self._configuration_task.configuration
        return loaded if loaded.version > held.version else held

    async def _repair(self) -> None:
        """Loads the whole configuration when changes are missing."""
        while True:
            await self._gap_found.wait()
            await asyncio.sleep(MAX_FOLLOW_DELAY_S)
            self._gap_found.clear()
            try:
                await self._load()
            except Exception as error:  # noqa: BLE001
                self._gap_found.set()
                self._log_interruption(error)


class PeerLink:
    """Keeps one stream to another root and pushes to it."""

    def __init__(
        self,
        *,
        stream: distribution.PeerStream,
        identity: tree.Identity,
        configuration_task: configuration_task_module.ConfigurationTask,
        member_task: control_stream.MemberView,
        digest: distribution.MemberDigest,
        received: Callable[['PeerLink', list[model.Target]], None],
        callbacks: tree.Callbacks,
        random: random_module.Random,
        counter: control_stream.ByteCounter,
        clock: Callable[[], float],
    ):
        """Prepares a stream; `start` keeps it in a task.

        Args:
            stream: Which peers the stream leads to.
            identity: The daemon.
            configuration_task: Receives changes that the daemon lacks.
            member_task: The table from which entries are sent.
            digest: Digest of the table.
            received: Called with the entries that the peer sends.
            callbacks: Told when the stream to a domain stands or is lost.
            random: Source of the jitter.
            counter: Counts the bytes of the stream.
            clock: Monotonic time in seconds.
        """
        self.name = stream.name
        self.local = stream.local
        self.addresses: Sequence[str] = stream.addresses
        self.members = distribution.MemberOutbox()
        self.reports = control_stream.ReportOutbox()
        self.connected = False
        self._identity = identity
        self._configuration_task = configuration_task
        self._member_task = member_task
        self._digest = digest
        self._received = received
        self._callbacks = callbacks
        self._random = random
        self._counter = counter
        self._clock = clock
        self._stream: control_stream.ControlStream | None = None
        self._behind_since: float | None = None
        self._task: asyncio.Task | None = None

    def start(self, group: asyncio.TaskGroup) -> None:
        """Keeps the stream in a task of a group."""
        self._task = group.create_task(self._run())

    def stop(self) -> None:
        """Ends the task."""
        if self._task is not None:
            self._task.cancel()

    def offer_back(self, targets: Sequence[model.Target]) -> None:
        """Sends entries that override received ones."""
        self.members.offer_ids(t.target_id for t in targets)

    async def _run(self) -> None:
        attempt = 1
        turn = 0
        try:
            while True:
                address = self.addresses[turn % len(self.addresses)]
                end = await self._subscribe(address)
                turn = 0 if end.admitted else turn + 1
                attempt = (
                    1 if end.lasted_s >= tree.STABLE_AFTER_S else attempt + 1
                )
                logger.info(
                    'event=peer_lost peer={} address={} reason={}',
                    self.name,
                    address,
                    end.reason,
                )
                await asyncio.sleep(
                    distribution.reconnect_delay(attempt, self._random)
                )
        finally:
            self._set_connected(False)

    async def _subscribe(self, address: str) -> control_stream.StreamEnd:
        self._behind_since = None
        self._stream = control_stream.ControlStream(
            address=address,
            hello=tree.make_hello(
                self._identity,
                control_pb2.PEER_ROOT,
                self._configuration_task,
                self._digest,
            ),
            member_task=self._member_task,
            members=self.members,
            reports=self.reports,
            receive=self._receive,
            counter=self._counter,
            clock=self._clock,
        )
        try:
            return await self._stream.run()
        finally:
            self._stream = None
            self._set_connected(False)

    def _receive(self, message: control_pb2.Downward) -> None:
        body = message.WhichOneof('body')
        if body == 'welcome':
            if not self.connected:
                self._admitted(message.welcome)
        elif body == 'members':
            targets = wire_messages.decode_members(message.members)
            self.members.note_received(targets)
            self._received(self, targets)
        elif body == 'heartbeat':
            self._check_lag(message.heartbeat.configuration_version)
        else:
            tree.post_configuration(self._configuration_task, message)

    def _admitted(self, welcome: control_pb2.Welcome) -> None:
        self._set_connected(True)
        targets_by_id = self._member_task.targets_by_id
        domain = self._identity.failure_domain
        self.members.offer_table(
            target_id
            for target_id in self._digest.differing(
                welcome.member_digests, targets_by_id
            )
            if self.local or targets_by_id[target_id].failure_domain == domain
        )

    def _check_lag(self, version: int) -> None:
        """Asks the peer for changes that the platform does not deliver."""
        own = self._configuration_task.configuration.version
        if version <= own:
            self._behind_since = None
            return
        now = self._clock()
        if self._behind_since is None:
            self._behind_since = now
        if now >= self._behind_since + LAG_LIMIT_S and self._stream:
            self._stream.resync(own)

    def _set_connected(self, connected: bool) -> None:
        if connected == self.connected:
            return
        self.connected = connected
        if not self.local:
            self._callbacks.domain_link(self.name, connected)
