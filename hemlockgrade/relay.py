"""Serves control streams to the children of a daemon and to peer roots."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import time
from typing import Any

import attrs
import grpc
from loguru import logger

from hemlockgrade import configuration_task as configuration_task_module
from hemlockgrade import control_stream
from hemlockgrade import distribution
from hemlockgrade import model
from hemlockgrade import tree
from hemlockgrade import wire_messages
from hemlockgrade.wire import control_pb2
from hemlockgrade.wire import control_pb2_grpc

# Longer than the parent's bound, because it raises suspicion against targets.
CHILD_SILENCE_S = 3.0
HELLO_TIMEOUT_S = 2.0
# Changes of siblings alone are told at this rate, so that the arrival of a
# domain's daemons does not cause a message to each of them for each other.
WELCOME_INTERVAL_S = 1.0
DRAIN_TIMEOUT_S = 1.0


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

    def resend_after(self, version: int) -> None:
        """Lets the next write send the changes after a version again."""
        sent = self.sent_version
        self.sent_version = version if sent is None else min(sent, version)
        self.wake.set()

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
        identity: tree.Identity,
        configuration_task: configuration_task_module.ConfigurationTask,
        member_task: control_stream.MemberView,
        callbacks: tree.Callbacks | None = None,
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
        self._callbacks = callbacks or tree.Callbacks()
        self._clock = clock
        self._children = distribution.ChildTable(max_children)
        self._sessions_by_key: dict[tuple[int, str], _Session] = {}
        self._position = tree.Position()
        self._upstream: tree.Upstream | None = None
        self._server: grpc.aio.Server | None = None
        self._closing = False
        self._encoded_by_range: dict[tuple[int, int], Any] = {}
        self._digest = distribution.MemberDigest()
        self._digest.update(member_task.targets_by_id.values())
        self._unsubscribe: Callable[[], None] = tree.ignore
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
        self._unsubscribe = tree.ignore
        if self._server is not None:
            await self._server.stop(None)
            self._server = None

    def set_position(self, position: tree.Position) -> None:
        """Tells the children where the relay stands now."""
        if position == self._position:
            return
        if self._position.root and not position.root:
            for session in list(self._sessions_by_key.values()):
                if session.is_peer:
                    session.abort('no longer a root')
        self._position = position
        self._wake_all()

    def set_upstream(self, upstream: tree.Upstream | None) -> None:
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
        return self._child_refusal(hello)

    def _child_refusal(self, hello: control_pb2.Hello) -> Any | None:
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
        if session.is_peer:
            self._callbacks.peer_root(
                distribution.KnownRelay(
                    daemon_id=hello.daemon_id,
                    failure_domain=hello.failure_domain,
                    control_address=hello.control_address,
                )
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
            session.resend_after(message.resync.after_version)

    def _origin(self, session: _Session) -> tree.Origin:
        if not session.is_peer:
            return tree.Origin.SUBTREE
        if session.hello.failure_domain == self._identity.failure_domain:
            return tree.Origin.OWN_DOMAIN
        return tree.Origin.OTHER_DOMAIN

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
