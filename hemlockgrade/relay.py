"""Control streams between daemons: the relay, and the link to its parent."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import random as random_module
import time
from typing import Any
from typing import Protocol

import attrs
import cattrs
import grpc
from loguru import logger
import orjson

from hemlockgrade import configuration_task as configuration_task_module
from hemlockgrade import distribution
from hemlockgrade import model
from hemlockgrade import wire_messages
from hemlockgrade.wire import control_pb2
from hemlockgrade.wire import control_pb2_grpc

HEARTBEAT_INTERVAL_S = 0.5
MEMBER_INTERVAL_S = 0.2
# Three heartbeats; a parent that misses them is taken for lost.
PARENT_SILENCE_S = 1.5
# Longer than the parent's bound, because it raises suspicion against targets.
CHILD_SILENCE_S = 3.0
HELLO_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 1.0
# A subscription that lasted so long ends the row of failures.
STABLE_AFTER_S = 2.0
RESYNC_INTERVAL_S = 0.5
# A parent without a path to a root is left after this time.
UNROOTED_LIMIT_S = 3.0
LEAVE_TIMEOUT_S = 0.2
MAX_PENDING_REPORTS = 4096
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.enable_http_proxy', 0),
    # A new attempt must not wait for the back-off of an earlier one.
    ('grpc.use_local_subchannel_pool', 1),
)
SERVER_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
)
DECODE_ERRORS = (
    cattrs.BaseValidationError,
    orjson.JSONDecodeError,
    ValueError,
)


class MemberView(Protocol):
    """What the streams need of the member task."""

    @property
    def targets_by_id(self) -> Mapping[str, model.Target]:
        """The member table."""

    def subscribe(
        self, callback: Callable[[Sequence[model.Target]], None]
    ) -> Any:
        """Calls back with the entries that changed."""


def _ignore(*_: Any) -> None:
    """Stands for a callback that is not set."""


@attrs.frozen(kw_only=True)
class Callbacks:
    """Receivers of what other daemons send.

    Attributes:
        members: Called with the entries that arrived.
        suspicions: Called with the `control_pb2.Suspicion` that arrived.
        evidence: Called with the `control_pb2.Evidence` that arrived.
        child_lost: Called with the identifier of a child whose stream broke.
    """

    members: Callable[[list[model.Target]], None] = _ignore
    suspicions: Callable[[list[control_pb2.Suspicion]], None] = _ignore
    evidence: Callable[[list[control_pb2.Evidence]], None] = _ignore
    child_lost: Callable[[str], None] = _ignore


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


class _StreamEndedError(Exception):
    """A stream is over; the message is the reason for the log."""


@attrs.define(eq=False)
class _Session:
    """One subscriber's stream on the relay's side."""

    hello: control_pb2.Hello
    now: float
    sent_version: int | None = None
    members: distribution.MemberOutbox = attrs.field(
        factory=distribution.MemberOutbox
    )
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task | None = None
    ended: str = ''
    last_welcome: control_pb2.Welcome | None = None
    last_write_at: float = 0.0
    members_at: float = 0.0
    table_was_sent: bool = False

    @property
    def is_peer(self) -> bool:
        return self.hello.role == control_pb2.PEER_ROOT

    def end(self, reason: str) -> None:
        self.ended = self.ended or reason
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
        member_task: MemberView,
        callbacks: Callbacks | None = None,
        max_children: int = distribution.MAX_CHILDREN,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._identity = identity
        self._configuration_task = configuration_task
        self._member_task = member_task
        self._callbacks = callbacks or Callbacks()
        self._clock = clock
        self._children = distribution.ChildTable(max_children)
        self._sessions_by_key: dict[tuple[int, str], _Session] = {}
        self._position = Position()
        self._server: grpc.aio.Server | None = None
        self._closing = False
        self._encoded_by_range: dict[tuple[int, int], Any] = {}
        self._unsubscribe: Callable[[], None] = _ignore
        self.bytes_sent = 0

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
        server = grpc.aio.server(options=SERVER_OPTIONS)
        control_pb2_grpc.add_ControlServicer_to_server(self, server)
        port = server.add_insecure_port(address)
        await server.start()
        self._server = server
        self._unsubscribe = self._configuration_task.subscribe(
            self._configuration_changed
        )
        self._member_task.subscribe(self._members_changed)
        host = address.rpartition(':')[0]
        if not self._identity.control_address:
            self._identity = attrs.evolve(
                self._identity, control_address=f'{host}:{port}'
            )
        logger.info('event=relay_started address={}:{}', host, port)
        return port

    async def close(self) -> None:
        """Closes all streams and stops serving."""
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
        self._position = position
        self._wake_all()

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
            return _redirect(self._position.sibling_addresses, 0.0)
        if hello.role == control_pb2.PEER_ROOT:
            return None
        own_path = (*self._position.ancestors, self._identity.daemon_id)
        if hello.daemon_id in own_path:
            # Admitting an ancestor would close a cycle without a root.
            return _redirect(self._position.root_addresses, 0.0)
        missing = self._configuration_task.changes_after(
            hello.configuration_version
        )
        admission = self._children.admit(
            hello.daemon_id,
            hello.control_address,
            missing is None,
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

    def _open_session(self, hello: control_pb2.Hello) -> _Session:
        earlier = self._sessions_by_key.get(_session_key(hello))
        if earlier is not None:
            earlier.end('replaced')
        session = _Session(hello=hello, now=self._clock())
        if not session.is_peer:
            session.sent_version = hello.configuration_version
        session.members.offer_table(self._member_task.targets_by_id)
        self._sessions_by_key[_session_key(hello)] = session
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
        key = _session_key(session.hello)
        if self._sessions_by_key.get(key) is session:
            del self._sessions_by_key[key]
            if not session.is_peer:
                self._children.remove(daemon_id)
            self._wake_all()
        logger.info(
            'event=child_left child={} reason={}',
            daemon_id,
            session.ended or 'stream broken',
        )
        lost = session.ended in ('', 'silent')
        if lost and not self._closing and not session.is_peer:
            self._callbacks.child_lost(daemon_id)

    async def _serve(self, session: _Session, context) -> None:
        reader = asyncio.create_task(self._read(session, context))
        try:
            await self._write(session, context)
        finally:
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)

    async def _read(self, session: _Session, context) -> None:
        try:
            while True:
                async with asyncio.timeout(CHILD_SILENCE_S):
                    message = await context.read()
                if message is grpc.aio.EOF:
                    session.end('left')
                    return
                self._take(session, message)
        except TimeoutError:
            session.end('silent')
        except DECODE_ERRORS as error:
            session.end(f'malformed message: {error!r}')

    def _take(self, session: _Session, message: control_pb2.Upward) -> None:
        body = message.WhichOneof('body')
        if body == 'members':
            targets = wire_messages.decode_members(message.members)
            session.members.note_received(targets)
            self._callbacks.members(targets)
        elif body == 'suspicions':
            self._callbacks.suspicions(list(message.suspicions.suspicions))
        elif body == 'evidence':
            self._callbacks.evidence(list(message.evidence.evidence))
        elif body == 'resync':
            after = message.resync.after_version
            sent = session.sent_version
            session.sent_version = after if sent is None else min(sent, after)
            session.wake.set()

    async def _write(self, session: _Session, context) -> None:
        session.members_at = self._clock()
        while not session.ended:
            session.wake.clear()
            await self._write_welcome(session, context)
            await self._write_changes(session, context)
            now = self._clock()
            if session.members.has_table or not session.table_was_sent:
                await self._write_table(session, context)
                continue
            if session.members.has_deltas and now >= session.members_at:
                await self._write_deltas(session, context)
            if now >= session.last_write_at + HEARTBEAT_INTERVAL_S:
                await self._send(session, context, self._heartbeat())
            await self._wait(session)

    async def _wait(self, session: _Session) -> None:
        until = session.last_write_at + HEARTBEAT_INTERVAL_S
        if session.members.has_deltas:
            until = min(until, session.members_at)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, until - self._clock())):
                await session.wake.wait()

    async def _send(self, session: _Session, context, message) -> None:
        self.bytes_sent += message.ByteSize()
        await context.write(message)
        session.last_write_at = self._clock()

    async def _write_welcome(self, session: _Session, context) -> None:
        welcome = self._welcome(session)
        if welcome == session.last_welcome:
            return
        session.last_welcome = welcome
        await self._send(
            session, context, control_pb2.Downward(welcome=welcome)
        )

    async def _write_changes(self, session: _Session, context) -> None:
        if session.sent_version is None:
            return
        current = self._configuration_task.configuration.version
        if session.sent_version >= current:
            return
        message = self._missing_configuration(session.sent_version, current)
        # A peer root follows the log itself and asks when it lags behind.
        session.sent_version = None if session.is_peer else current
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
        session.members_at = now + MEMBER_INTERVAL_S
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
        siblings = [
            address
            for daemon_id, address in self._children.addresses_by_id.items()
            if address and daemon_id != session.hello.daemon_id
        ]
        return control_pb2.Welcome(
            relay_id=self._identity.daemon_id,
            root=position.root,
            path=[*position.ancestors, self._identity.daemon_id],
            rooted=position.rooted,
            backup_addresses=position.sibling_addresses,
            root_addresses=roots,
            sibling_addresses=siblings,
        )

    def _configuration_changed(self, configuration, changes) -> None:
        self._encoded_by_range.clear()
        self._wake_all()

    def _members_changed(self, targets: Sequence[model.Target]) -> None:
        for session in self._sessions_by_key.values():
            session.members.offer(targets)
            session.wake.set()

    def _wake_all(self) -> None:
        for session in self._sessions_by_key.values():
            session.wake.set()


def _session_key(hello: control_pb2.Hello) -> tuple[int, str]:
    return hello.role, hello.daemon_id


def _redirect(addresses: Iterable[str], retry_after_s: float) -> Any:
    return control_pb2.Downward(
        redirect=control_pb2.Redirect(
            addresses=addresses, retry_after_ms=int(retry_after_s * 1000)
        )
    )


@attrs.define
class ReportOutbox:
    """Suspicions and evidence that wait for a stream.

    Evidence of one window is added up, so that a relay sends one report for
    its whole subtree. Reports are forgotten once written: counting evidence
    twice would mislead a judgement, losing some only delays it.
    """

    _suspicions_by_key: dict[tuple, control_pb2.Suspicion] = attrs.field(
        factory=dict
    )
    _evidence_by_key: dict[tuple, control_pb2.Evidence] = attrs.field(
        factory=dict
    )

    def add_suspicions(
        self, suspicions: Iterable[control_pb2.Suspicion]
    ) -> None:
        """Adds suspicions; a repeated one is kept once."""
        for suspicion in suspicions:
            key = (
                suspicion.target_id,
                suspicion.incarnation,
                suspicion.observer_id,
            )
            self._suspicions_by_key[key] = suspicion
        _drop_oldest(self._suspicions_by_key)

    def add_evidence(self, evidence: Iterable[control_pb2.Evidence]) -> None:
        """Adds evidence to what is held of the same window."""
        for item in evidence:
            key = (item.selector, item.version, item.route, item.window)
            held = self._evidence_by_key.get(key)
            if held is None:
                held = self._evidence_by_key[key] = control_pb2.Evidence()
                held.CopyFrom(item)
                continue
            held.requests += item.requests
            held.errors += item.errors
            _add_buckets(held, item)
        _drop_oldest(self._evidence_by_key)

    def take(self) -> list[control_pb2.Upward]:
        """Removes everything and returns it as messages."""
        messages = []
        if self._suspicions_by_key:
            batch = control_pb2.SuspicionBatch(
                suspicions=self._suspicions_by_key.values()
            )
            messages.append(control_pb2.Upward(suspicions=batch))
        if self._evidence_by_key:
            evidence = control_pb2.EvidenceBatch(
                evidence=self._evidence_by_key.values()
            )
            messages.append(control_pb2.Upward(evidence=evidence))
        self._suspicions_by_key.clear()
        self._evidence_by_key.clear()
        return messages

    def put_back(self, message: control_pb2.Upward) -> None:
        """Adds a message again that could not be written."""
        self.add_suspicions(message.suspicions.suspicions)
        self.add_evidence(message.evidence.evidence)


def _add_buckets(
    held: control_pb2.Evidence, item: control_pb2.Evidence
) -> None:
    count = max(len(held.latency_buckets), len(item.latency_buckets))
    sums = [0] * count
    for buckets in (held.latency_buckets, item.latency_buckets):
        for index, value in enumerate(buckets):
            sums[index] += value
    held.latency_buckets[:] = sums


def _drop_oldest(by_key: dict) -> None:
    while len(by_key) > MAX_PENDING_REPORTS:
        del by_key[next(iter(by_key))]


@attrs.frozen(kw_only=True)
class _End:
    """How a subscription ended."""

    reason: str
    admitted: bool = False
    lasted_s: float = 0.0
    redirect: control_pb2.Redirect | None = None


class _Stream:
    """One attempt at a subscription, from the subscriber's side."""

    def __init__(
        self,
        *,
        address: str,
        hello: control_pb2.Hello,
        member_task: MemberView,
        members: distribution.MemberOutbox,
        reports: ReportOutbox,
        receive: Callable[[control_pb2.Downward], None],
        clock: Callable[[], float],
    ):
        self._address = address
        self._hello = hello
        self._member_task = member_task
        self._members = members
        self._reports = reports
        self._receive = receive
        self._clock = clock
        self._resync_after: int | None = None
        self._resync_at = 0.0
        self._leave_reason = ''
        self._admitted_at: float | None = None

    def resync(self, after_version: int) -> None:
        """Asks for the changes after a version, at a bounded rate."""
        self._resync_after = after_version

    def leave(self, reason: str) -> None:
        """Ends the subscription at the next message."""
        self._leave_reason = self._leave_reason or reason

    async def run(self) -> _End:
        """Subscribes and stays until the stream ends."""
        async with grpc.aio.insecure_channel(
            _target(self._address), options=CHANNEL_OPTIONS
        ) as channel:
            call = control_pb2_grpc.ControlStub(channel).Subscribe()
            writer = asyncio.create_task(self._write(call))
            try:
                return await self._read(call)
            except _StreamEndedError as error:
                return self._end(str(error))
            except TimeoutError:
                return self._end('silent')
            except grpc.aio.AioRpcError as error:
                return self._end(error.code().name.lower())
            except asyncio.CancelledError:
                current = asyncio.current_task()
                if current is not None and current.cancelling():
                    raise
                return self._end('cancelled')
            except DECODE_ERRORS as error:
                logger.error(
                    'event=malformed_message parent={} error={!r}',
                    self._address,
                    error,
                )
                return self._end('malformed message')
            finally:
                writer.cancel()
                await asyncio.gather(writer, return_exceptions=True)
                await _half_close(call)
                call.cancel()

    def _end(self, reason: str) -> _End:
        if self._admitted_at is None:
            return _End(reason=reason)
        lasted = self._clock() - self._admitted_at
        return _End(reason=reason, admitted=True, lasted_s=lasted)

    async def _read(self, call) -> _End:
        limit = ANSWER_TIMEOUT_S
        while True:
            async with asyncio.timeout(limit):
                message = await call.read()
            if message is grpc.aio.EOF:
                return self._end('closed')
            body = message.WhichOneof('body')
            if body == 'redirect':
                return _End(reason='redirected', redirect=message.redirect)
            if body == 'welcome' and self._admitted_at is None:
                self._admitted_at = self._clock()
                limit = PARENT_SILENCE_S
            self._receive(message)
            if self._leave_reason:
                raise _StreamEndedError(self._leave_reason)

    async def _write(self, call) -> None:
        await call.write(control_pb2.Upward(hello=self._hello))
        written_at = self._clock()
        while True:
            await asyncio.sleep(MEMBER_INTERVAL_S)
            if self._admitted_at is None:
                continue
            messages = self._outgoing()
            if not messages:
                if self._clock() < written_at + HEARTBEAT_INTERVAL_S:
                    continue
                messages = [self._heartbeat()]
            for message in messages:
                try:
                    await call.write(message)
                except BaseException:
                    self._reports.put_back(message)
                    raise
            written_at = self._clock()

    def _outgoing(self) -> list[control_pb2.Upward]:
        messages = []
        now = self._clock()
        if self._resync_after is not None and now >= self._resync_at:
            self._resync_at = now + RESYNC_INTERVAL_S
            resync = control_pb2.Resync(after_version=self._resync_after)
            self._resync_after = None
            messages.append(control_pb2.Upward(resync=resync))
        targets = self._members.take_table(self._member_task.targets_by_id)
        targets += self._members.take_deltas(
            self._member_task.targets_by_id, wire_messages.member_size, now
        )
        if targets:
            batch = wire_messages.encode_members(targets)
            messages.append(control_pb2.Upward(members=batch))
        return messages + self._reports.take()

    def _heartbeat(self) -> control_pb2.Upward:
        return control_pb2.Upward(heartbeat=control_pb2.Heartbeat())


async def _half_close(call) -> None:
    """Lets the relay see an intended end, which raises no suspicion."""
    with contextlib.suppress(Exception):
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await call.done_writing()


def _target(address: str) -> str:
    return f'ipv4:{address}'


class Uplink:
    """Keeps one subscription to a parent and moves it when the parent fails."""

    def __init__(
        self,
        *,
        identity: Identity,
        configuration_task: configuration_task_module.ConfigurationTask,
        member_task: MemberView,
        candidates: Callable[[Sequence[str]], Sequence[str]],
        own_target_ids: Callable[[], Iterable[str]] = tuple,
        callbacks: Callbacks | None = None,
        on_position: Callable[[Position], None] = _ignore,
        random: random_module.Random,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Prepares the link; `run` keeps it.

        Args:
            identity: The daemon, with the address that children may use.
            configuration_task: Receives changes and snapshots.
            member_task: The member table; its changes go up.
            candidates: Returns the addresses to try in order, given the
                backups that the last parent named.
            own_target_ids: Returns the targets announced through the daemon
                or its children, which are sent again on each subscription.
            callbacks: Receives the members that come down.
            on_position: Called when the place in the tree changes.
            random: Source of the jitter.
            clock: Monotonic time in seconds.
        """
        self._identity = identity
        self._configuration_task = configuration_task
        self._member_task = member_task
        self._candidates = candidates
        self._own_target_ids = own_target_ids
        self._callbacks = callbacks or Callbacks()
        self._on_position = on_position
        self._random = random
        self._clock = clock
        self._members = distribution.MemberOutbox()
        self._reports = ReportOutbox()
        self._backups: tuple[str, ...] = ()
        self._position = Position()
        self._stream: _Stream | None = None
        self._unrooted_since: float | None = None
        self.parent_address = ''
        self.subscriptions = 0

    @property
    def position(self) -> Position:
        """The place in the tree as the parent described it last."""
        return self._position

    def post_suspicions(
        self, suspicions: Iterable[control_pb2.Suspicion]
    ) -> None:
        """Sends suspicions up, now or after the next subscription."""
        self._reports.add_suspicions(suspicions)

    def post_evidence(self, evidence: Iterable[control_pb2.Evidence]) -> None:
        """Sends evidence up, now or after the next subscription."""
        self._reports.add_evidence(evidence)

    async def run(self) -> None:
        """Keeps the subscription until cancelled."""
        self._member_task.subscribe(self._members.offer)
        unsubscribe = self._configuration_task.subscribe_gaps(self._gap)
        search = distribution.ParentSearch(self._random)
        try:
            while True:
                candidates = self._candidates(self._backups)
                await asyncio.sleep(search.begin_round(candidates))
                await self._try_round(search)
        finally:
            unsubscribe()
            self._set_position(Position())

    async def _try_round(self, search: distribution.ParentSearch) -> None:
        """Tries addresses until a subscription was admitted and has ended."""
        while (address := search.next_address()) is not None:
            end = await self._subscribe(address)
            if end.redirect is not None:
                search.redirected(
                    end.redirect.addresses, end.redirect.retry_after_ms / 1000
                )
                continue
            logger.info(
                'event=parent_lost daemon={} parent={} reason={}',
                self._identity.daemon_id,
                address,
                end.reason,
            )
            if end.lasted_s >= STABLE_AFTER_S:
                search.subscribed()
            if end.admitted:
                return

    async def _subscribe(self, address: str) -> _End:
        version = self._configuration_task.configuration.version
        self._members.offer_table(self._own_target_ids())
        self._unrooted_since = None
        self._stream = _Stream(
            address=address,
            hello=control_pb2.Hello(
                daemon_id=self._identity.daemon_id,
                failure_domain=self._identity.failure_domain,
                control_address=self._identity.control_address,
                configuration_version=version,
                role=control_pb2.SUBSCRIBER,
            ),
            member_task=self._member_task,
            members=self._members,
            reports=self._reports,
            receive=lambda message: self._receive(address, message),
            clock=self._clock,
        )
        try:
            return await self._stream.run()
        finally:
            self._stream = None
            self.parent_address = ''
            self._set_position(
                attrs.evolve(self._position, ancestors=(), rooted=False)
            )

    def _receive(self, address: str, message: control_pb2.Downward) -> None:
        body = message.WhichOneof('body')
        if body == 'changes':
            self._configuration_task.post(
                configuration_task_module.ChangesReceived(
                    wire_messages.decode_changes(message.changes)
                )
            )
        elif body == 'snapshot':
            self._configuration_task.post(
                configuration_task_module.SnapshotReceived(
                    wire_messages.decode_snapshot(message.snapshot)
                )
            )
        elif body == 'members':
            targets = wire_messages.decode_members(message.members)
            self._members.note_received(targets)
            self._callbacks.members(targets)
        elif body == 'welcome':
            self._welcomed(address, message.welcome)
        self._check_rooted()

    def _welcomed(self, address: str, welcome: control_pb2.Welcome) -> None:
        if not self.parent_address:
            self.subscriptions += 1
            self.parent_address = address
            logger.info(
                'event=parent_found daemon={} parent={} depth={} rooted={}',
                self._identity.daemon_id,
                address,
                len(welcome.path),
                welcome.rooted,
            )
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

    def _check_rooted(self) -> None:
        """Leaves a parent that stays without a path to a root."""
        if self._position.rooted:
            self._unrooted_since = None
            return
        now = self._clock()
        if self._unrooted_since is None:
            self._unrooted_since = now
        elif now >= self._unrooted_since + UNROOTED_LIMIT_S:
            self._leave('unrooted')

    def _leave(self, reason: str) -> None:
        if self._stream is not None:
            self._stream.leave(reason)

    def _gap(self, version: int) -> None:
        if self._stream is not None:
            self._stream.resync(version)

    def _set_position(self, position: Position) -> None:
        if position == self._position:
            return
        self._position = position
        self._on_position(position)
