"""Control streams between daemons: relays, uplinks and root relays."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import enum
import random as random_module
import time
from typing import Any
from typing import Protocol

import attrs
import grpc
from loguru import logger

from hemlockgrade import configuration as configuration_module
from hemlockgrade import configuration_task as configuration_task_module
from hemlockgrade import control_stream
from hemlockgrade import distribution
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import wire_messages
from hemlockgrade.wire import control_pb2
from hemlockgrade.wire import control_pb2_grpc

# Longer than the parent's bound, because it raises suspicion against targets.
CHILD_SILENCE_S = 3.0
HELLO_TIMEOUT_S = 2.0
# Changes of siblings alone are told at this rate, so that the arrival of a
# domain's daemons does not cause a message to each of them for each other.
WELCOME_INTERVAL_S = 1.0
# A subscription that lasted so long ends the row of failures.
STABLE_AFTER_S = 2.0
# A parent without a path to a root is left after this time.
UNROOTED_LIMIT_S = 3.0
# How long an address that did not answer is taken for unreachable.
UNREACHABLE_FOR_S = 30.0
# How long a relay whose subscription soon ended is tried after the others.
AVOIDED_FOR_S = 10.0
DRAIN_TIMEOUT_S = 1.0
# A root that a peer overtakes for this time asks the peer for the changes.
LAG_LIMIT_S = 1.0
FIRST_FOLLOW_DELAY_S = 0.2
MAX_FOLLOW_DELAY_S = 2.0


Reply = Callable[[Sequence[model.Target]], None]


def _ignore(*_: Any) -> None:
    """Stands for a callback that is not set."""


@attrs.frozen(kw_only=True)
class Callbacks:
    """Receivers of what other daemons send.

    Attributes:
        members: Called with the entries that arrived and a function that
            sends entries back which override them.
        suspicions: Called with the `control_pb2.Suspicion` that arrived.
        evidence: Called with the `control_pb2.EvidenceBatch` that arrived.
        child_lost: Called with the identifier of a child whose stream broke.
        domain_link: Called on a root with a failure domain and whether the
            peer stream to it stands.
    """

    members: Callable[[list[model.Target], Reply], None] = _ignore
    suspicions: Callable[[list[control_pb2.Suspicion]], None] = _ignore
    evidence: Callable[[list[control_pb2.EvidenceBatch]], None] = _ignore
    child_lost: Callable[[str], None] = _ignore
    domain_link: Callable[[str, bool], None] = _ignore


@attrs.frozen(kw_only=True)
class Identity:
    """How a daemon names itself on its streams.

    Attributes:
        daemon_id: Identifier of the daemon.
        failure_domain: Its failure domain.
        control_address: `host:port` of its relay; empty if it serves none.
    """

    daemon_id: str
    failure_domain: str
    control_address: str = ''


@attrs.frozen(kw_only=True)
class Position:
    """Where a daemon stands in the tree.

    Attributes:
        ancestors: Daemons from the top of the tree to the parent.
        rooted: True if the path begins at a root.
        root: True if the daemon itself is a root.
        root_addresses: Roots of the failure domain.
        sibling_addresses: Other children of the parent.
    """

    ancestors: tuple[str, ...] = ()
    rooted: bool = False
    root: bool = False
    root_addresses: tuple[str, ...] = ()
    sibling_addresses: tuple[str, ...] = ()


class Origin(enum.Enum):
    """Where a report came from, which decides how far it goes."""

    SUBTREE = 'subtree'
    OWN_DOMAIN = 'own_domain'
    OTHER_DOMAIN = 'other_domain'


class Upstream(Protocol):
    """Takes what a relay received on its way to the roots."""

    def post_suspicions(
        self,
        suspicions: Iterable[control_pb2.Suspicion],
        origin: Origin = Origin.SUBTREE,
    ) -> None:
        """Sends suspicions on."""

    def post_evidence(
        self,
        evidence: Iterable[control_pb2.EvidenceBatch],
        origin: Origin = Origin.SUBTREE,
    ) -> None:
        """Sends evidence on."""

    def members_received(
        self, targets: Sequence[model.Target], origin: Origin
    ) -> None:
        """Notes entries that arrived, to decide on their way."""


@attrs.define(eq=False)
class _Session:
    """One subscriber's stream on the relay's side."""

    hello: control_pb2.Hello
    sent_version: int | None = None
    members: distribution.MemberOutbox = attrs.field(
        factory=distribution.MemberOutbox
    )
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    reader: asyncio.Task | None = None
    end_reason: str = ''
    last_welcome: control_pb2.Welcome | None = None
    welcome_at: float = 0.0
    last_write_at: float = 0.0
    members_at: float = 0.0
    table_was_sent: bool = False

    @property
    def is_peer(self) -> bool:
        return self.hello.role == control_pb2.PEER_ROOT

    @property
    def key(self) -> tuple[int, str]:
        return self.hello.role, self.hello.daemon_id

    def end(self, reason: str) -> None:
        self.end_reason = self.end_reason or reason
        self.wake.set()

    def abort(self, reason: str) -> None:
        """Ends the stream even if a write to it waits for the other side."""
        self.end(reason)
        if self.reader is not None:
            self.reader.cancel()

    def offer_back(self, targets: Sequence[model.Target]) -> None:
        self.members.offer_ids(t.target_id for t in targets)
        self.wake.set()


class RelayServer(control_pb2_grpc.ControlServicer):
    """Serves the `Control` service to the children of a daemon.

    Every stream is written from the state that it has sent so far, so that
    a slow child gets a longer batch and never a queue of its own.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        configuration_task: configuration_task_module.ConfigurationTask,
        member_task: control_stream.MemberView,
        callbacks: Callbacks | None = None,
        max_children: int = distribution.MAX_CHILDREN,
        counter: control_stream.ByteCounter | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Prepares the server; `start` serves.

        Args:
            identity: The daemon; without a control address, the one bound.
            configuration_task: Source of changes and snapshots.
            member_task: The member table; its changes go down.
            callbacks: Receives what the children send.
            max_children: Most children that are admitted.
            counter: Counts the bytes of the streams.
            clock: Monotonic time in seconds.
        """
        self._identity = identity
        self._configuration_task = configuration_task
        self._member_task = member_task
        self._callbacks = callbacks or Callbacks()
        self._clock = clock
        self._children = distribution.ChildTable(max_children)
        self._sessions_by_key: dict[tuple[int, str], _Session] = {}
        self._position = Position()
        self._upstream: Upstream | None = None
        self._server: grpc.aio.Server | None = None
        self._closing = False
        self._encoded_by_range: dict[tuple[int, int], Any] = {}
        self._digest = distribution.MemberDigest()
        self._digest.update(member_task.targets_by_id.values())
        self._unsubscribe: Callable[[], None] = _ignore
        member_task.subscribe(self._members_changed)
        self.counter = counter or control_stream.ByteCounter()

    @property
    def bytes_sent(self) -> int:
        """Bytes of the messages sent."""
        return self.counter.sent

    @property
    def children(self) -> list[str]:
        """Identifiers of the subscribers, without peer roots."""
        return list(self._children.addresses_by_id)

    async def start(self, address: str) -> int:
        """Serves on an address.

        Args:
            address: `host:port`; port 0 takes a free one.

        Returns:
            The port.

        Raises:
            RuntimeError: The address cannot be bound.
        """
        server = grpc.aio.server(options=control_stream.SERVER_OPTIONS)
        control_pb2_grpc.add_ControlServicer_to_server(self, server)
        port = server.add_insecure_port(address)
        await server.start()
        self._server = server
        self._unsubscribe = self._configuration_task.subscribe(
            self._configuration_changed
        )
        host = address.rpartition(':')[0]
        if not self._identity.control_address:
            self._identity = attrs.evolve(
                self._identity, control_address=f'{host}:{port}'
            )
        logger.info('event=relay_started address={}:{}', host, port)
        return port

    async def close(self) -> None:
        """Sends the children elsewhere, closes all streams and stops."""
        self._closing = True
        for session in self._sessions_by_key.values():
            session.end('draining')
        deadline = self._clock() + DRAIN_TIMEOUT_S
        while self._sessions_by_key and self._clock() < deadline:
            await asyncio.sleep(0.01)
        await self.abort()

    async def abort(self) -> None:
        """Stops at once, as if the process had ended."""
        self._closing = True
        self._unsubscribe()
        self._unsubscribe = _ignore
        if self._server is not None:
            await self._server.stop(None)
            self._server = None

    def set_position(self, position: Position) -> None:
        """Tells the children where the relay stands now."""
        if position == self._position:
            return
        if self._position.root and not position.root:
            for session in list(self._sessions_by_key.values()):
                if session.is_peer:
                    session.abort('no longer a root')
        self._position = position
        self._wake_all()

    def set_upstream(self, upstream: Upstream | None) -> None:
        """Sets the link that takes reports of the children further up."""
        self._upstream = upstream

    async def Subscribe(self, request_iterator, context):  # noqa: N802
        """Serves one stream; called by gRPC."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                first = await context.read()
        except TimeoutError:
            return
        if first is grpc.aio.EOF or first.WhichOneof('body') != 'hello':
            return
        refusal = self._refusal(first.hello)
        if refusal is not None:
            await context.write(refusal)
            return
        session = self._open_session(first.hello)
        try:
            await self._serve(session, context)
        finally:
            self._close_session(session)

    def _refusal(self, hello: control_pb2.Hello) -> Any | None:
        """Returns the redirect for a subscriber that is not admitted."""
        if self._closing:
            return _redirect(self._handover_addresses(), 0.0)
        own_path = (*self._position.ancestors, self._identity.daemon_id)
        if hello.daemon_id in own_path:
            # Admitting an ancestor would close a cycle without a root.
            return _redirect(self._position.root_addresses, 0.0)
        if hello.role == control_pb2.PEER_ROOT:
            if self._position.root:
                return None
            return _redirect(self._position.root_addresses, 0.0)
        admission = self._children.admit(
            hello.daemon_id,
            hello.control_address,
            self._needs_full_copy(hello),
            self._clock(),
        )
        if admission.admitted:
            return None
        logger.info(
            'event=child_redirected child={} addresses={}',
            hello.daemon_id,
            ','.join(admission.addresses),
        )
        return _redirect(admission.addresses, admission.retry_after_s)

    def _needs_full_copy(self, hello: control_pb2.Hello) -> bool:
        missing = self._configuration_task.changes_after(
            hello.configuration_version
        )
        if missing is None or len(missing) > distribution.MAX_CHEAP_CHANGES:
            return True
        has_digests = bool(self._digest.values())
        return has_digests and not hello.member_digests

    def _open_session(self, hello: control_pb2.Hello) -> _Session:
        session = _Session(hello=hello)
        if not session.is_peer:
            session.sent_version = hello.configuration_version
        session.members.offer_table(
            self._digest.differing(
                hello.member_digests, self._member_task.targets_by_id
            )
        )
        earlier = self._sessions_by_key.get(session.key)
        if earlier is not None:
            earlier.abort('replaced')
        self._sessions_by_key[session.key] = session
        self._wake_all()
        logger.info(
            'event=child_admitted child={} role={} version={}',
            hello.daemon_id,
            control_pb2.Role.Name(hello.role),
            hello.configuration_version,
        )
        return session

    def _close_session(self, session: _Session) -> None:
        daemon_id = session.hello.daemon_id
        if self._sessions_by_key.get(session.key) is session:
            del self._sessions_by_key[session.key]
            if not session.is_peer:
                self._children.remove(daemon_id)
            self._wake_all()
        reason = session.end_reason or 'broken'
        logger.info('event=child_left child={} reason={}', daemon_id, reason)
        lost = reason in ('broken', 'silent')
        if lost and not self._closing and not session.is_peer:
            self._callbacks.child_lost(daemon_id)

    async def _serve(self, session: _Session, context) -> None:
        reader = asyncio.create_task(self._read(session, context))
        writer = asyncio.create_task(self._write(session, context))
        session.reader = reader
        try:
            await asyncio.wait(
                {reader, writer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            reader.cancel()
            writer.cancel()
            results = await asyncio.gather(
                reader, writer, return_exceptions=True
            )
        for error in results:
            if isinstance(error, Exception):
                logger.warning(
                    'event=child_stream_failed child={} error={!r}',
                    session.hello.daemon_id,
                    error,
                )

    async def _read(self, session: _Session, context) -> None:
        try:
            while True:
                async with asyncio.timeout(CHILD_SILENCE_S):
                    message = await context.read()
                if message is grpc.aio.EOF:
                    session.end('broken')
                    return
                if message.WhichOneof('body') == 'leave':
                    session.end('left')
                    return
                self._take(session, message)
        except TimeoutError:
            session.end('silent')
        except control_stream.DECODE_ERRORS as error:
            session.end(f'malformed message: {error!r}')

    def _take(self, session: _Session, message: control_pb2.Upward) -> None:
        self.counter.received += message.ByteSize()
        body = message.WhichOneof('body')
        origin = self._origin(session)
        if body == 'members':
            targets = wire_messages.decode_members(message.members)
            session.members.note_received(targets)
            if self._upstream is not None:
                self._upstream.members_received(targets, origin)
            self._callbacks.members(targets, session.offer_back)
        elif body == 'suspicions':
            suspicions = list(message.suspicions.suspicions)
            if self._upstream is not None:
                self._upstream.post_suspicions(suspicions, origin)
            self._callbacks.suspicions(suspicions)
        elif body == 'evidence':
            if self._upstream is not None:
                self._upstream.post_evidence([message.evidence], origin)
            self._callbacks.evidence([message.evidence])
        elif body == 'resync':
            after = message.resync.after_version
            sent = session.sent_version
            session.sent_version = after if sent is None else min(sent, after)
            session.wake.set()

    def _origin(self, session: _Session) -> Origin:
        if not session.is_peer:
            return Origin.SUBTREE
        if session.hello.failure_domain == self._identity.failure_domain:
            return Origin.OWN_DOMAIN
        return Origin.OTHER_DOMAIN

    async def _write(self, session: _Session, context) -> None:
        while not session.end_reason:
            session.wake.clear()
            await self._write_welcome(session, context)
            await self._write_changes(session, context)
            if session.members.has_table or not session.table_was_sent:
                await self._write_table(session, context)
                continue
            now = self._clock()
            if session.members.has_deltas and now >= session.members_at:
                await self._write_deltas(session, context)
            if now >= _heartbeat_at(session):
                await self._send(session, context, self._heartbeat())
            await self._wait(session)
        if session.end_reason == 'draining':
            redirect = _redirect(self._handover_addresses(), 0.0)
            await self._send(session, context, redirect)

    async def _wait(self, session: _Session) -> None:
        until = _heartbeat_at(session)
        if session.members.has_deltas:
            until = min(until, session.members_at)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, until - self._clock())):
                await session.wake.wait()

    async def _send(self, session: _Session, context, message) -> None:
        self.counter.sent += message.ByteSize()
        await context.write(message)
        session.last_write_at = self._clock()

    async def _write_welcome(self, session: _Session, context) -> None:
        now = self._clock()
        last = session.last_welcome
        welcome = self._welcome(session)
        if last is not None:
            if welcome == last:
                return
            urgent = (welcome.path, welcome.rooted) != (last.path, last.rooted)
            if not urgent and now < session.welcome_at:
                return
        session.last_welcome = welcome
        session.welcome_at = now + WELCOME_INTERVAL_S
        message = control_pb2.Downward(welcome=welcome)
        if last is None:
            message.welcome.member_digests.extend(self._digest.values())
        await self._send(session, context, message)

    async def _write_changes(self, session: _Session, context) -> None:
        after = session.sent_version
        if after is None:
            return
        current = self._configuration_task.configuration.version
        # A peer root follows the log itself and asks when it lags behind.
        session.sent_version = None if session.is_peer else max(after, current)
        if after < current:
            message = self._missing_configuration(after, current)
            await self._send(session, context, message)

    def _missing_configuration(self, after: int, current: int) -> Any:
        """Encodes what follows a version, once for all children."""
        key = (after, current)
        message = self._encoded_by_range.get(key)
        if message is not None:
            return message
        changes = self._configuration_task.changes_after(after)
        if changes is None:
            message = control_pb2.Downward(
                snapshot=wire_messages.encode_snapshot(
                    self._configuration_task.configuration
                )
            )
        else:
            message = control_pb2.Downward(
                changes=wire_messages.encode_changes(changes)
            )
        self._encoded_by_range[key] = message
        return message

    async def _write_table(self, session: _Session, context) -> None:
        targets = session.members.take_table(self._member_task.targets_by_id)
        complete = not session.members.has_table
        session.table_was_sent = complete
        batch = wire_messages.encode_members(targets, complete)
        await self._send(session, context, control_pb2.Downward(members=batch))

    async def _write_deltas(self, session: _Session, context) -> None:
        now = self._clock()
        session.members_at = now + control_stream.MEMBER_INTERVAL_S
        targets = session.members.take_deltas(
            self._member_task.targets_by_id, wire_messages.member_size, now
        )
        if not targets:
            return
        batch = wire_messages.encode_members(targets)
        await self._send(session, context, control_pb2.Downward(members=batch))

    def _heartbeat(self) -> control_pb2.Downward:
        version = self._configuration_task.configuration.version
        return control_pb2.Downward(
            heartbeat=control_pb2.Heartbeat(configuration_version=version)
        )

    def _welcome(self, session: _Session) -> control_pb2.Welcome:
        position = self._position
        roots = dict.fromkeys(position.root_addresses)
        if position.root:
            roots[self._identity.control_address] = None
        return control_pb2.Welcome(
            relay_id=self._identity.daemon_id,
            root=position.root,
            path=[*position.ancestors, self._identity.daemon_id],
            rooted=position.rooted,
            backup_addresses=position.sibling_addresses,
            root_addresses=roots,
            sibling_addresses=self._addresses_without(session),
        )

    def _addresses_without(self, session: _Session) -> list[str]:
        return [
            address
            for daemon_id, address in self._children.addresses_by_id.items()
            if address and daemon_id != session.hello.daemon_id
        ]

    def _handover_addresses(self) -> list[str]:
        position = self._position
        return [*position.sibling_addresses, *position.root_addresses]

    def _configuration_changed(self, configuration, changes) -> None:
        self._encoded_by_range.clear()
        self._wake_all()

    def _members_changed(self, targets: Sequence[model.Target]) -> None:
        self._digest.update(targets)
        for session in self._sessions_by_key.values():
            # Peer roots push their own changes, see `RootRelay`.
            if session.is_peer:
                continue
            session.members.offer(targets)
            session.wake.set()

    def _wake_all(self) -> None:
        for session in self._sessions_by_key.values():
            session.wake.set()


def _heartbeat_at(session: _Session) -> float:
    return session.last_write_at + control_stream.HEARTBEAT_INTERVAL_S


def _redirect(addresses: Iterable[str], retry_after_s: float) -> Any:
    return control_pb2.Downward(
        redirect=control_pb2.Redirect(
            addresses=addresses, retry_after_ms=int(retry_after_s * 1000)
        )
    )


class Uplink:
    """Keeps one subscription to a parent and moves it when the parent fails."""

    def __init__(
        self,
        *,
        identity: Identity,
        configuration_task: configuration_task_module.ConfigurationTask,
        member_task: control_stream.MemberView,
        candidates: Callable[[Sequence[str]], Sequence[str]],
        callbacks: Callbacks | None = None,
        on_position: Callable[[Position], None] = _ignore,
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
        self._callbacks = callbacks or Callbacks()
        self._on_position = on_position
        self._random = random
        self._clock = clock
        self._members = distribution.MemberOutbox()
        self._digest = distribution.MemberDigest()
        self._digest.update(member_task.targets_by_id.values())
        self._reports = control_stream.ReportOutbox()
        self._backups: tuple[str, ...] = ()
        self._position = Position()
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
    def position(self) -> Position:
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
        origin: Origin = Origin.SUBTREE,
    ) -> None:
        """Sends suspicions up, now or after the next subscription."""
        self._reports.add_suspicions(suspicions)

    def post_evidence(
        self,
        evidence: Iterable[control_pb2.EvidenceBatch],
        origin: Origin = Origin.SUBTREE,
    ) -> None:
        """Sends evidence up, now or after the next subscription."""
        self._reports.add_evidence(evidence)

    def members_received(
        self, targets: Sequence[model.Target], origin: Origin
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
                if end.lasted_s >= STABLE_AFTER_S:
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
        version = self._configuration_task.configuration.version
        self._members.offer_ids(self._own_target_ids())
        self._unrooted_since = None
        stream = control_stream.ControlStream(
            address=address,
            hello=control_pb2.Hello(
                daemon_id=self._identity.daemon_id,
                failure_domain=self._identity.failure_domain,
                control_address=self._identity.control_address,
                configuration_version=version,
                role=control_pb2.SUBSCRIBER,
                member_digests=self._digest.values(),
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
            _post_configuration(self._configuration_task, message)
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
            Position(
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

    def _detached_position(self) -> Position:
        return Position(
            rooted=self._claims_root,
            root=self._claims_root,
            root_addresses=self._position.root_addresses,
            sibling_addresses=self._position.sibling_addresses,
        )

    def _set_position(self, position: Position) -> None:
        if position == self._position:
            return
        self._position = position
        self._on_position(position)


def _post_configuration(
    task: configuration_task_module.ConfigurationTask,
    message: control_pb2.Downward,
) -> None:
    """Hands changes or a snapshot to the task; ignores other messages."""
    body = message.WhichOneof('body')
    if body == 'changes':
        task.post(
            configuration_task_module.ChangesReceived(
                wire_messages.decode_changes(message.changes)
            )
        )
    elif body == 'snapshot':
        task.post(
            configuration_task_module.SnapshotReceived(
                wire_messages.decode_snapshot(message.snapshot)
            )
        )


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
        identity: Identity,
        change_source: ChangeSource,
        configuration_task: configuration_task_module.ConfigurationTask,
        member_task: control_stream.MemberView,
        callbacks: Callbacks | None = None,
        on_position: Callable[[Position], None] = _ignore,
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
        self._callbacks = callbacks or Callbacks()
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

    def post_suspicions(
        self,
        suspicions: Iterable[control_pb2.Suspicion],
        origin: Origin = Origin.SUBTREE,
    ) -> None:
        """Sends suspicions to the other roots."""
        for link in self._links_for(origin):
            link.reports.add_suspicions(suspicions)

    def post_evidence(
        self,
        evidence: Iterable[control_pb2.EvidenceBatch],
        origin: Origin = Origin.SUBTREE,
    ) -> None:
        """Sends evidence to the other roots."""
        for link in self._links_for(origin):
            link.reports.add_evidence(evidence)

    def members_received(
        self, targets: Sequence[model.Target], origin: Origin
    ) -> None:
        """Keeps entries of a peer from the streams that have them already."""
        passed_on = self._links_for(origin)
        for link in self._links_by_key.values():
            if link not in passed_on:
                link.members.note_received(targets)

    async def run(self) -> None:
        """Serves as a root until cancelled."""
        unsubscribe = self._configuration_task.subscribe_gaps(
            lambda _: self._gap_found.set()
        )
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                self._reconcile(group)
                group.create_task(self._follow())
                group.create_task(self._repair())
        finally:
            self._group = None
            self._links_by_key.clear()
            unsubscribe()

    def _links_for(self, origin: Origin) -> list['PeerLink']:
        if origin is Origin.OWN_DOMAIN:
            return []
        return [
            link
            for link in self._links_by_key.values()
            if link.local or origin is Origin.SUBTREE
        ]

    def _reconcile(self, group: asyncio.TaskGroup) -> None:
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
        local = [
            r for r in self._roots if r.failure_domain == own.failure_domain
        ]
        addresses = [r.control_address for r in local]
        self._on_position(
            Position(
                rooted=True,
                root=True,
                root_addresses=tuple(
                    a for a in addresses if a != own.control_address
                ),
            )
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
        origin = Origin.OWN_DOMAIN if link.local else Origin.OTHER_DOMAIN
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
            limit = distribution.backoff(
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
        identity: Identity,
        configuration_task: configuration_task_module.ConfigurationTask,
        member_task: control_stream.MemberView,
        digest: distribution.MemberDigest,
        received: Callable[['PeerLink', list[model.Target]], None],
        callbacks: Callbacks,
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
                attempt = 1 if end.lasted_s >= STABLE_AFTER_S else attempt + 1
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
        version = self._configuration_task.configuration.version
        self._behind_since = None
        self._stream = control_stream.ControlStream(
            address=address,
            hello=control_pb2.Hello(
                daemon_id=self._identity.daemon_id,
                failure_domain=self._identity.failure_domain,
                control_address=self._identity.control_address,
                configuration_version=version,
                role=control_pb2.PEER_ROOT,
                member_digests=self._digest.values(),
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
            _post_configuration(self._configuration_task, message)

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
