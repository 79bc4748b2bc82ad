"""The subscription of a daemon to its parent in the tree."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random as random_module
import time

from loguru import logger

from hemlockgrade import configuration_task as configuration_task_module
from hemlockgrade import control_stream
from hemlockgrade import distribution
from hemlockgrade import model
from hemlockgrade import tree
from hemlockgrade import wire_messages
from hemlockgrade.wire import control_pb2

# A parent without a path to a root is left after this time.
UNROOTED_LIMIT_S = 3.0
# How long an address that did not answer is taken for unreachable.
UNREACHABLE_FOR_S = 30.0
# How long a relay whose subscription soon ended is tried after the others.
AVOIDED_FOR_S = 10.0


class Uplink:
    """Keeps one subscription to a parent and moves it when the parent fails."""

    def __init__(
        self,
        *,
        identity: tree.Identity,
        configuration_task: configuration_task_module.ConfigurationTask,
        member_task: control_stream.MemberView,
        candidates: Callable[[Sequence[str]], Sequence[str]],
        callbacks: tree.Callbacks | None = None,
        on_position: Callable[[tree.Position], None] = tree.ignore,
        random: random_module.Random,
        counter: control_stream.ByteCounter | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Prepares the link; `run` keeps it.

        Args:
            identity: The daemon, with the address that children may use.
            configuration_task: Receives changes and snapshots.
            member_task: The member table; its changes go up.
            candidates: Returns the addresses to try in order, given the
                backups that the last parent named.
            callbacks: Receives the members that come down.
            on_position: Called when the place in the tree changes.
            random: Source of the jitter.
            counter: Counts the bytes of the stream.
            clock: Monotonic time in seconds.
        """
        self._identity = identity
        self._configuration_task = configuration_task
        self._member_task = member_task
        self._candidates = candidates
        self._callbacks = callbacks or tree.Callbacks()
        self._on_position = on_position
        self._random = random
        self._clock = clock
        self._members = distribution.MemberOutbox()
        self._digest = distribution.MemberDigest()
        self._digest.update(member_task.targets_by_id.values())
        self._reports = control_stream.ReportOutbox()
        self._backups: tuple[str, ...] = ()
        self._position = tree.Position()
        self._claims_root = False
        self._stream: control_stream.ControlStream | None = None
        self._unrooted_since: float | None = None
        self._unreachable_until_by_address: dict[str, float] = {}
        self._avoided_until_by_address: dict[str, float] = {}
        self.parent_address = ''
        self.subscriptions = 0
        self.has_table = False
        self._counter = counter or control_stream.ByteCounter()
        member_task.subscribe(self._members_changed)

    @property
    def position(self) -> tree.Position:
        """The place in the tree as the parent described it last."""
        return self._position

    @property
    def bytes_sent(self) -> int:
        """Bytes of the messages sent up."""
        return self._counter.sent

    def is_unreachable(self, address: str) -> bool:
        """Tells whether an address did not answer a short while ago."""
        until = self._unreachable_until_by_address.get(address)
        return until is not None and self._clock() < until

    def _is_avoided(self, address: str) -> bool:
        until = self._avoided_until_by_address.get(address, 0.0)
        return self._clock() < until or self.is_unreachable(address)

    def claim_root(self, claims: bool) -> None:
        """Serves as a provisional root while there is no rooted parent."""
        if claims == self._claims_root:
            return
        self._claims_root = claims
        logger.info(
            'event=provisional_root daemon={} claims={}',
            self._identity.daemon_id,
            claims,
        )
        if not self.parent_address:
            self._set_position(self._detached_position())

    def post_suspicions(
        self,
        suspicions: Iterable[control_pb2.Suspicion],
        origin: tree.Origin = tree.Origin.SUBTREE,
    ) -> None:
        """Sends suspicions up, now or after the next subscription."""
        self._reports.add_suspicions(suspicions)

    def post_evidence(
        self,
        evidence: Iterable[control_pb2.EvidenceBatch],
        origin: tree.Origin = tree.Origin.SUBTREE,
    ) -> None:
        """Sends evidence up, now or after the next subscription."""
        self._reports.add_evidence(evidence)

    def members_received(
        self, targets: Sequence[model.Target], origin: tree.Origin
    ) -> None:
        """Does nothing; entries go up when they have changed the table."""

    async def run(self) -> None:
        """Keeps the subscription until cancelled."""
        unsubscribe = self._configuration_task.subscribe_gaps(self._gap)
        search = distribution.ParentSearch(self._random)
        handover: Sequence[str] = ()
        try:
            while True:
                candidates = sorted(
                    self._candidates(self._backups), key=self._is_avoided
                )
                delay = search.begin_round([*handover, *candidates])
                if not handover:
                    await asyncio.sleep(delay)
                handover = await self._try_round(search)
        finally:
            unsubscribe()

    def abort(self) -> None:
        """Breaks the stream, as if the process had ended."""
        if self._stream is not None:
            self._stream.abort()

    async def _try_round(
        self, search: distribution.ParentSearch
    ) -> Sequence[str]:
        """Tries addresses until a subscription was admitted and has ended.

        Returns:
            Where the parent sent its children when it closed.
        """
        while (address := search.next_address()) is not None:
            end = await self._subscribe(address)
            redirect = end.redirect
            if end.admitted:
                self._log_loss(address, end)
                if end.lasted_s >= tree.STABLE_AFTER_S:
                    search.subscribed()
                self._avoided_until_by_address[address] = (
                    self._clock() + AVOIDED_FOR_S
                )
                return list(redirect.addresses) if redirect else ()
            if redirect is not None:
                search.redirected(
                    redirect.addresses, redirect.retry_after_ms / 1000
                )
                continue
            self._log_loss(address, end)
            self._unreachable_until_by_address[address] = (
                self._clock() + UNREACHABLE_FOR_S
            )
        return ()

    def _log_loss(self, address: str, end: control_stream.StreamEnd) -> None:
        logger.info(
            'event=parent_lost daemon={} parent={} admitted={} reason={}',
            self._identity.daemon_id,
            address,
            end.admitted,
            end.reason,
        )

    async def _subscribe(self, address: str) -> control_stream.StreamEnd:
        self._members.offer_ids(self._own_target_ids())
        self._unrooted_since = None
        stream = control_stream.ControlStream(
            address=address,
            hello=tree.make_hello(
                self._identity,
                control_pb2.SUBSCRIBER,
                self._configuration_task,
                self._digest,
            ),
            member_task=self._member_task,
            members=self._members,
            reports=self._reports,
            receive=lambda message: self._receive(address, message),
            counter=self._counter,
            clock=self._clock,
        )
        self._stream = stream
        try:
            return await stream.run()
        finally:
            self._stream = None
            self.parent_address = ''
            self._set_position(self._detached_position())

    def _own_target_ids(self) -> list[str]:
        """Returns the targets whose announcements this daemon vouches for."""
        return [
            target.target_id
            for target in self._member_task.targets_by_id.values()
            if target.daemon_id == self._identity.daemon_id
        ]

    def _receive(self, address: str, message: control_pb2.Downward) -> None:
        body = message.WhichOneof('body')
        if body == 'welcome':
            self._welcomed(address, message.welcome)
        elif body == 'members':
            targets = wire_messages.decode_members(message.members)
            self._members.note_received(targets)
            self._callbacks.members(targets, self._offer_back)
            self.has_table = self.has_table or message.members.complete
        else:
            tree.post_configuration(self._configuration_task, message)
        self._check_rooted()

    def _offer_back(self, targets: Sequence[model.Target]) -> None:
        self._members.offer_ids(t.target_id for t in targets)

    def _welcomed(self, address: str, welcome: control_pb2.Welcome) -> None:
        if not self.parent_address:
            self._admitted(address, welcome)
        if self._identity.daemon_id in welcome.path:
            # The parent has become a descendant of this daemon.
            self._leave('cycle')
            return
        own = self._identity.control_address
        backups = (*welcome.backup_addresses, *welcome.root_addresses)
        self._backups = tuple(a for a in backups if a not in (own, address))
        self._set_position(
            tree.Position(
                ancestors=tuple(welcome.path),
                rooted=welcome.rooted,
                root_addresses=tuple(welcome.root_addresses),
                sibling_addresses=tuple(welcome.sibling_addresses),
            )
        )

    def _admitted(self, address: str, welcome: control_pb2.Welcome) -> None:
        self.subscriptions += 1
        self.parent_address = address
        self._unreachable_until_by_address.pop(address, None)
        targets_by_id = self._member_task.targets_by_id
        differing = self._digest.differing(
            welcome.member_digests, targets_by_id
        )
        # The parent learns of other domains from its roots.
        self._members.offer_ids(
            target_id
            for target_id in differing
            if targets_by_id[target_id].failure_domain
            == self._identity.failure_domain
        )
        logger.info(
            'event=parent_found daemon={} parent={} depth={} rooted={}',
            self._identity.daemon_id,
            address,
            len(welcome.path),
            welcome.rooted,
        )

    def _check_rooted(self) -> None:
        """Leaves a parent that stays without a path to a root."""
        if self._position.rooted:
            self._unrooted_since = None
            return
        now = self._clock()
        if self._unrooted_since is None:
            self._unrooted_since = now
        limit = 0.0 if self._claims_root else UNROOTED_LIMIT_S
        if now >= self._unrooted_since + limit:
            self._leave('unrooted')

    def _leave(self, reason: str) -> None:
        if self._stream is not None:
            self._stream.leave(reason)

    def _gap(self, version: int) -> None:
        if self._stream is not None:
            self._stream.resync(version)

    def _members_changed(self, targets: Sequence[model.Target]) -> None:
        self._digest.update(targets)
        self._members.offer(targets)

    def _detached_position(self) -> tree.Position:
        return tree.Position(
            rooted=self._claims_root,
            root=self._claims_root,
            root_addresses=self._position.root_addresses,
            sibling_addresses=self._position.sibling_addresses,
        )

    def _set_position(self, position: tree.Position) -> None:
        if position == self._position:
            return
        self._position = position
        self._on_position(position)
