"""The task that owns a daemon's member table."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import time
import types

import attrs
from loguru import logger

from hemlockgrade import mailbox
from hemlockgrade import membership
from hemlockgrade import model

TICK_S = 0.25


@attrs.frozen(kw_only=True)
class MembersReceived:
    """Entries came from another daemon.

    Attributes:
        targets: The entries.
        reply: Called with the entries held that override received ones, so
            that the sender learns them; None if it needs no correction.
    """

    targets: list[model.Target]
    reply: Callable[[list[model.Target]], None] | None = None


@attrs.frozen(kw_only=True)
class SuspicionsReceived:
    """Observers have evidence against targets."""

    suspicions: list[membership.Suspicion]


@attrs.frozen(kw_only=True)
class Announced:
    """A target on this host announced itself or renewed its announcement.

    Attributes:
        target: What the target says of itself.
        instance_id: Changes when the target's process restarts; may be empty.
    """

    target: model.Target
    instance_id: str = ''


@attrs.frozen(kw_only=True)
class DrainRequested:
    """A target on this host is to receive no new work."""

    target_id: str


@attrs.frozen(kw_only=True)
class DrainFinished:
    """A draining target on this host has no work left and is gone."""

    target_id: str


@attrs.frozen(kw_only=True)
class TargetProbed:
    """The daemon's own probe of a target on its host ended."""

    target_id: str
    answering: bool


@attrs.frozen(kw_only=True)
class LinkLost:
    """The link to another failure domain is lost."""

    failure_domain: str


@attrs.frozen(kw_only=True)
class LinkRestored:
    """The link to another failure domain is back."""

    failure_domain: str


@attrs.frozen
class _Tick:
    """Deadlines are due to be checked."""


Message = (
    MembersReceived
    | SuspicionsReceived
    | Announced
    | DrainRequested
    | DrainFinished
    | TargetProbed
    | LinkLost
    | LinkRestored
    | _Tick
)


class MemberTask:
    """Sole owner of the member table; reached by messages only.

    Attributes:
        targets_by_id: Read-only view of all entries.
    """

    def __init__(
        self,
        failure_domain: str,
        daemon_id: str,
        boot_id: str,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        """Makes the task with an empty table.

        Args:
            failure_domain: Failure domain of this daemon.
            daemon_id: Identifier of this daemon.
            boot_id: Identifier of this process.
            clock: Returns monotonic seconds.
            wall_clock: Returns seconds of Unix time.
        """
        self._clock = clock
        self._wall_clock = wall_clock
        self._table = membership.MemberTable(failure_domain)
        self._own = membership.SelfEntries(daemon_id, boot_id)
        self._mailbox: mailbox.Mailbox[Message] = mailbox.Mailbox()
        self._callbacks: list[Callable[[list[model.Target]], None]] = []
        self.targets_by_id: Mapping[str, model.Target] = types.MappingProxyType(
            self._table.targets_by_id
        )

    @property
    def unreachable_domains(self) -> frozenset[str]:
        """Failure domains behind a lost link."""
        return self._table.unreachable_domains

    def snapshot(self) -> list[model.Target]:
        """Returns all entries, for a new subscriber."""
        return self._table.snapshot()

    def post(self, message: Message) -> None:
        """Hands a message to the task; never blocks."""
        self._mailbox.post(message)

    def close(self) -> None:
        """Lets `run` end after the messages that were posted."""
        self._mailbox.close()

    def subscribe(
        self, callback: Callable[[list[model.Target]], None]
    ) -> Callable[[], None]:
        """Calls back with the entries of each change.

        Returns:
            A function that ends the subscription.
        """
        self._callbacks.append(callback)
        return lambda: self._callbacks.remove(callback)

    async def run(self) -> None:
        """Handles messages and deadlines until `close` or cancellation."""
        ticker = asyncio.ensure_future(self._tick())
        try:
            async for message in self._mailbox:
                self.handle(message)
        finally:
            ticker.cancel()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._mailbox.post(_Tick())

    def handle(self, message: Message) -> None:
        """Handles one message at once; `run` calls it for each posted one."""
        now = self._clock()
        changed = self._apply(message, now)
        # Refutations are merged as well until nothing contradicts this host.
        pending = changed
        if isinstance(message, _Tick):
            # A target may answer again after it could not refute at first.
            pending = changed + self._held_own()
        while pending:
            refuted = self._own.refute(pending, now, self._wall_clock())
            pending = self._table.merge(refuted, now)
            changed = changed + pending
        if changed:
            self._publish(changed)

    def _apply(self, message: Message, now: float) -> list[model.Target]:
        match message:
            case MembersReceived():
                return self._receive(message, now)
            case SuspicionsReceived():
                return self._suspect(message.suspicions, now)
            case Announced():
                return self._announce(message, now)
            case DrainRequested():
                return self._merge_own(self._own.drain(message.target_id), now)
            case DrainFinished():
                return self._merge_own(self._own.left(message.target_id), now)
            case TargetProbed():
                self._own.probed(message.target_id, message.answering)
            case LinkLost():
                self._set_reachable(message.failure_domain, False, now)
            case LinkRestored():
                self._set_reachable(message.failure_domain, True, now)
            case _Tick():
                own = self._table.merge(self._own.expire(now), now)
                return own + self._table.expire(now)
        return []

    def _held_own(self) -> list[model.Target]:
        """Returns the table's entries of the targets on this host."""
        held = self._table.targets_by_id
        return [held[i] for i in self._own.target_ids if i in held]

    def _receive(
        self, message: MembersReceived, now: float
    ) -> list[model.Target]:
        if message.reply is not None:
            corrections = self._table.corrections(message.targets)
            if corrections:
                message.reply(corrections)
        return self._table.merge(message.targets, now)

    def _suspect(
        self, suspicions: Iterable[membership.Suspicion], now: float
    ) -> list[model.Target]:
        changed = []
        for suspicion in suspicions:
            changed += self._table.suspect(
                suspicion.target_id,
                suspicion.incarnation,
                suspicion.observer_id,
                suspicion.reason,
                now,
            )
        return changed

    def _announce(self, message: Announced, now: float) -> list[model.Target]:
        entry = self._own.announce(
            message.target,
            self.targets_by_id.get(message.target.target_id),
            now,
            self._wall_clock(),
            message.instance_id,
        )
        return self._merge_own(entry, now)

    def _merge_own(
        self, entry: model.Target | None, now: float
    ) -> list[model.Target]:
        if entry is None:
            return []
        return self._table.merge([entry], now)

    def _set_reachable(
        self, failure_domain: str, reachable: bool, now: float
    ) -> None:
        before = self._table.unreachable_domains
        self._table.set_reachable(failure_domain, reachable, now)
        after = self._table.unreachable_domains
        if before == after:
            return
        logger.info(
            'event=domain_reachability domain={} reachable={}',
            failure_domain,
            reachable,
        )

    def _publish(self, changed: list[model.Target]) -> None:
        """Calls back with the last entry of each changed target."""
        latest = {target.target_id: target for target in changed}
        for callback in list(self._callbacks):
            callback(list(latest.values()))
