"""The subscriber's side of one control stream, and what both sides share."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import time
from typing import Any
from typing import Protocol
import uuid

import attrs
import cattrs
import grpc
from loguru import logger
import orjson

from hemlockgrade import distribution
from hemlockgrade import evidence
from hemlockgrade import model
from hemlockgrade import wire_messages
from hemlockgrade.wire import control_pb2
from hemlockgrade.wire import control_pb2_grpc

HEARTBEAT_INTERVAL_S = 0.5
MEMBER_INTERVAL_S = 0.2
# Three heartbeats; a parent that misses them is taken for lost.
PARENT_SILENCE_S = 1.5
ANSWER_TIMEOUT_S = 1.0
RESYNC_INTERVAL_S = 0.5
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


@attrs.define
class ByteCounter:
    """Bytes of control messages, summed over the streams of a daemon.

    Attributes:
        sent: Bytes of encoded messages that were written.
        received: Bytes of encoded messages that were read.
    """

    sent: int = 0
    received: int = 0


class ReportOutbox:
    """Suspicions and evidence that wait for a stream.

    Evidence of one window is added up, so that a relay sends one report for
    its whole subtree. The sums have the outbox as their reporter, so that
    the receiver recognises a batch that arrives twice.
    """

    def __init__(self, wall_clock: Callable[[], float] = time.time):
        """Starts empty.

        Args:
            wall_clock: Returns seconds of Unix time.
        """
        self._wall_clock = wall_clock
        self._suspicions_by_key: dict[tuple, control_pb2.Suspicion] = {}
        self._evidence = evidence.EvidenceAggregator(uuid.uuid4().hex)
        self._unwritten: list[control_pb2.EvidenceBatch] = []

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

    def add_evidence(
        self, batches: Iterable[control_pb2.EvidenceBatch]
    ) -> None:
        """Adds evidence to what is held of the same windows."""
        for batch in batches:
            self._evidence.merge(evidence.from_wire(batch), self._wall_clock())

    def take(self) -> list[control_pb2.Upward]:
        """Removes everything and returns it as messages."""
        messages = []
        if self._suspicions_by_key:
            suspicions = control_pb2.SuspicionBatch(
                suspicions=self._suspicions_by_key.values()
            )
            messages.append(control_pb2.Upward(suspicions=suspicions))
        sums = evidence.to_wire(self._evidence.take(self._wall_clock()))
        messages += [
            control_pb2.Upward(evidence=batch)
            for batch in [*self._unwritten, *sums]
        ]
        self._suspicions_by_key.clear()
        self._unwritten.clear()
        return messages

    def put_back(self, message: control_pb2.Upward) -> None:
        """Adds a message again that could not be written."""
        self.add_suspicions(message.suspicions.suspicions)
        if message.WhichOneof('body') == 'evidence':
            self._unwritten.append(message.evidence)


def _drop_oldest(by_key: dict) -> None:
    while len(by_key) > MAX_PENDING_REPORTS:
        del by_key[next(iter(by_key))]


@attrs.frozen(kw_only=True)
class StreamEnd:
    """How a subscription ended.

    Attributes:
        reason: For the log.
        admitted: True if the relay had admitted the subscriber.
        lasted_s: Time from the admission to the end, in seconds.
        redirect: Where to go instead, if the relay said so.
    """

    reason: str
    admitted: bool = False
    lasted_s: float = 0.0
    redirect: control_pb2.Redirect | None = None


class ControlStream:
    """One attempt at a subscription."""

    def __init__(
        self,
        *,
        address: str,
        hello: control_pb2.Hello,
        member_task: MemberView,
        members: distribution.MemberOutbox,
        reports: ReportOutbox,
        receive: Callable[[control_pb2.Downward], None],
        counter: ByteCounter,
        clock: Callable[[], float],
    ):
        """Prepares a subscription.

        Args:
            address: `host:port` of the relay.
            hello: The first message.
            member_task: The table from which entries are sent.
            members: Entries to send; kept by the caller between streams.
            reports: Reports to send; kept by the caller between streams.
            receive: Called with each message but a redirect.
            counter: Counts the bytes of the stream.
            clock: Monotonic time in seconds.
        """
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
        self._heard_at = 0.0
        self._writing = asyncio.Lock()
        self._call: Any = None
        self._admitted_at: float | None = None
        self._counter = counter

    def resync(self, after_version: int) -> None:
        """Asks for the changes after a version, at a bounded rate."""
        self._resync_after = after_version

    def leave(self, reason: str) -> None:
        """Ends the subscription at the next message."""
        self._leave_reason = self._leave_reason or reason

    def abort(self) -> None:
        """Breaks the stream, as if the process had ended."""
        if self._call is not None:
            self._call.cancel()

    async def run(self) -> StreamEnd:
        """Subscribes and stays until the stream ends."""
        async with grpc.aio.insecure_channel(
            f'ipv4:{self._address}', options=CHANNEL_OPTIONS
        ) as channel:
            call = control_pb2_grpc.ControlStub(channel).Subscribe()
            self._call = call
            self._heard_at = self._clock()
            # The library cancels the stream when a pending read is cancelled,
            # so reads have a task that outlives a cancellation of this one.
            reader = asyncio.create_task(self._read(call))
            writer = asyncio.create_task(self._write(call))
            try:
                return await self._watch(reader)
            finally:
                await self._leave(call)
                reader.cancel()
                writer.cancel()
                await asyncio.gather(reader, writer, return_exceptions=True)

    async def _watch(self, reader: asyncio.Task) -> StreamEnd:
        while True:
            admitted = self._admitted_at is not None
            limit = PARENT_SILENCE_S if admitted else ANSWER_TIMEOUT_S
            left = self._heard_at + limit - self._clock()
            if left <= 0:
                return self._end('silent')
            done, _ = await asyncio.wait({reader}, timeout=left)
            if done:
                break
        try:
            return reader.result()
        except grpc.aio.AioRpcError as error:
            return self._end(error.code().name.lower())
        except asyncio.CancelledError:
            return self._end('cancelled')
        except DECODE_ERRORS as error:
            logger.error(
                'event=malformed_message parent={} error={!r}',
                self._address,
                error,
            )
            return self._end('malformed message')
        except Exception:
            # A fault in a receiver must not end the daemon's only link.
            logger.exception('event=receiver_failed parent={}', self._address)
            return self._end('receiver failed')

    def _end(
        self, reason: str, redirect: control_pb2.Redirect | None = None
    ) -> StreamEnd:
        if self._admitted_at is None:
            return StreamEnd(reason=reason, redirect=redirect)
        return StreamEnd(
            reason=reason,
            admitted=True,
            lasted_s=self._clock() - self._admitted_at,
            redirect=redirect,
        )

    async def _read(self, call) -> StreamEnd:
        while True:
            message = await call.read()
            if message is grpc.aio.EOF:
                return self._end('closed')
            self._heard_at = self._clock()
            self._counter.received += message.ByteSize()
            body = message.WhichOneof('body')
            if body == 'redirect':
                return self._end('redirected', message.redirect)
            if body == 'welcome' and self._admitted_at is None:
                self._admitted_at = self._heard_at
            self._receive(message)
            if self._leave_reason:
                return self._end(self._leave_reason)

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
                messages = [_heartbeat()]
            try:
                async with self._writing:
                    while messages:
                        self._counter.sent += messages[0].ByteSize()
                        await call.write(messages[0])
                        messages.pop(0)
            finally:
                self._put_back(messages)
            written_at = self._clock()

    def _put_back(self, unsent: Iterable[control_pb2.Upward]) -> None:
        for message in unsent:
            self._reports.put_back(message)
            self._members.offer(wire_messages.decode_members(message.members))

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

    async def _leave(self, call) -> None:
        """Tells the relay that the end is intended and raises no suspicion."""
        with contextlib.suppress(Exception):
            async with asyncio.timeout(LEAVE_TIMEOUT_S), self._writing:
                leave = control_pb2.Upward(leave=control_pb2.Leave())
                await call.write(leave)
                await call.done_writing()
                # A cancelled stream would drop messages not read yet.
                await call.code()


def _heartbeat() -> control_pb2.Upward:
    return control_pb2.Upward(heartbeat=control_pb2.Heartbeat())
