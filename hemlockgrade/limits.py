"""Slots, a short queue ordered by deadline, and early refusal."""

import bisect
import collections
import math
from typing import Protocol

import attrs

from hemlockgrade import exceptions

# Weight of the newest service time in the moving mean.
SERVICE_TIME_WEIGHT = 0.05
# Start value until a service time was measured, in seconds.
INITIAL_SERVICE_S = 0.005
# Interval over which the bound of the queue is adapted, in seconds, and in
# mean service times, so that a slow target's interval sees some requests.
ADAPT_INTERVAL_S = 0.1
ADAPT_SERVICE_TIMES = 4
# Bounds of the queue, as multiples of the slots.
MIN_BOUND_SHARE = 0.5
MAX_BOUND_SHARE = 8.0


class Limiter(Protocol):
    """Admits work to one target."""

    async def acquire(
        self,
        deadline: float,
        caller: str = '',
        priority: int = 0,
        on_time_until: float = math.inf,
    ) -> None:
        """Waits for a slot.

        Args:
            deadline: Time by which the work has to be finished, in seconds
                on the monotonic clock.
            caller: Who sent it; a full queue is shared among callers.
            priority: Rank in the queue; 0 is served first.
            on_time_until: Time until which its answer is worth the most, in
                seconds on the monotonic clock.

        Raises:
            exceptions.RequestNotRunError: The work is refused.
        """

    def release(self, service_s: float | None) -> None:
        """Gives a slot back.

        Args:
            service_s: How long the target worked, in seconds; None if that
                says nothing about the target.
        """

    def drain(self) -> None:
        """Refuses new and queued work from now on."""

    @property
    def in_use(self) -> int:
        """Slots in use."""

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""

    @property
    def service_s(self) -> float:
        """Mean time that the target needs, in seconds."""


@attrs.define(eq=False, kw_only=True)
class SlotRequest:
    """A request that asks for a slot.

    Attributes:
        deadline: Time by which it has to be finished, in seconds.
        caller: Who sent it.
        priority: Rank in the queue; 0 is served first.
        on_time_until: Time until which its answer is worth the most.
    """

    deadline: float
    caller: str = ''
    priority: int = 0
    on_time_until: float = math.inf


@attrs.define(kw_only=True)
class AdmissionResult:
    """Tickets on which a change of the queue decided.

    Attributes:
        admitted: Has a slot now.
        refused: Left the queue without one.
    """

    admitted: SlotRequest | None = None
    refused: list[SlotRequest] = attrs.field(factory=list)


def refusal_error(reason: str) -> exceptions.RequestNotRunError:
    """Makes the error of a refused request."""
    return exceptions.RequestNotRunError(
        f'refused before it was run: {reason}',
        remedy='send it again later or to another target',
    )


@attrs.define
class QueueBound:
    """Bound of the queue, adapted to whether the queue empties in between.

    A queue that absorbs bursts empties now and then; one that stands only
    adds delay (Nichols and Jacobson, "Controlling Queue Delay", ACM Queue
    10(5), 2012). The shortest length in an interval tells them apart. The
    shortest wait would not: in the order of deadlines the urgent requests
    wait little however long the queue is.

    Attributes:
        slots: Requests that the target runs at once.
        max_length: Requests that may wait now.
    """

    slots: int
    max_length: float = attrs.field(init=False)
    _shortest: int | None = None
    _interval_ends: float = 0.0

    def __attrs_post_init__(self):
        self.max_length = float(self.slots)

    def observe(self, queued: int, service_s: float, now: float) -> None:
        """Counts the length of the queue after a slot was taken.

        Args:
            queued: Requests that wait.
            service_s: Mean service time, in seconds.
            now: Time in seconds.
        """
        if self._shortest is None or queued < self._shortest:
            self._shortest = queued
        if now < self._interval_ends:
            return
        self._adapt(stands=self._shortest > 0)
        self._shortest = None
        self._interval_ends = now + max(
            ADAPT_INTERVAL_S, ADAPT_SERVICE_TIMES * service_s
        )

    def _adapt(self, *, stands: bool):
        if stands:
            self.max_length = max(
                self.max_length / 2, self.slots * MIN_BOUND_SHARE, 1.0
            )
            return
        step = max(self.slots / 4, 1.0)
        self.max_length = min(
            self.max_length + step, self.slots * MAX_BOUND_SHARE
        )


@attrs.define
class SlotQueue:
    """Decides which requests get a slot, wait or are refused.

    Attributes:
        slots: Requests that the target runs at once.
        in_use: Slots in use.
        draining: True once new work is refused.
        service_s: Moving mean of the measured service time, in seconds.
        bound: Bound of the queue.
    """

    slots: int
    in_use: int = 0
    draining: bool = False
    service_s: float = INITIAL_SERVICE_S
    bound: QueueBound = attrs.field(init=False)
    _waiting: list[SlotRequest] = attrs.field(factory=list)
    _measured: int = 0

    def __attrs_post_init__(self):
        self.bound = QueueBound(self.slots)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def admit(self, ticket: SlotRequest, now: float) -> AdmissionResult:
        """Gives a slot, or queues the request.

        Returns:
            The ticket itself if it has a slot now, and a request that left
            the full queue for it, if any.

        Raises:
            exceptions.RequestNotRunError: It is refused.
        """
        if self.draining:
            raise refusal_error('the target is draining')
        if ticket.deadline <= now:
            raise refusal_error('its deadline has passed')
        if self.in_use < self.slots:
            self._admit_at_once(ticket, now)
            return AdmissionResult(admitted=ticket)
        position = bisect.bisect_right(self._waiting, _rank(ticket), key=_rank)
        if not self._can_finish(ticket, now, position):
            raise refusal_error('it cannot finish before its deadline')
        granted = AdmissionResult()
        if len(self._waiting) >= self.bound.max_length:
            granted.refused.append(self._displace(ticket, now))
        bisect.insort_right(self._waiting, ticket, key=_rank)
        return granted

    def _displace(self, newcomer: SlotRequest, now: float) -> SlotRequest:
        """Takes a request out of the full queue for a newcomer.

        A request of a lower rank goes first, the last to be served of them;
        then one that is late already, for one that is not; else the least
        urgent one of who has most in the queue.

        Under a retry storm of one caller the others keep their share of a
        full queue; a fixed limit a caller protected them less, and would
        have to know how many callers there are.
        """
        if self._waiting[-1].priority > newcomer.priority:
            return self._waiting.pop()
        if self._is_on_time(newcomer, now):
            for ticket in reversed(self._waiting):
                if ticket.priority < newcomer.priority:
                    break
                if not self._is_on_time(ticket, now):
                    self._waiting.remove(ticket)
                    return ticket
        counts = collections.Counter(t.caller for t in self._waiting)
        heaviest, most = counts.most_common(1)[0]
        if most <= counts[newcomer.caller] + 1:
            raise refusal_error('the queue is full')
        for ticket in reversed(self._waiting):
            if ticket.caller == heaviest:
                break
        self._waiting.remove(ticket)
        return ticket

    def _admit_at_once(self, ticket: SlotRequest, now: float):
        # An idle target is always tried: were nothing admitted after a
        # stall, no service time would be measured that ends the refusals.
        if self.in_use and now > self.latest_start(ticket):
            raise refusal_error('it cannot finish before its deadline')
        self.in_use += 1
        self.bound.observe(0, self.service_s, now)

    def latest_start(self, ticket: SlotRequest) -> float:
        """Returns the time after which a request is not worth a slot.

        Service times vary, so half of the mean may still be enough.
        """
        return ticket.deadline - self.service_s / 2

    def _can_finish(
        self, ticket: SlotRequest, now: float, position: int
    ) -> bool:
        """Tells whether a request can finish from a place in the queue."""
        wait_s = self.service_s * (position + 1) / self.slots
        return now + wait_s + self.service_s <= ticket.deadline

    def release(self, service_s: float | None, now: float) -> AdmissionResult:
        """Gives a slot back and passes it to the next request.

        Args:
            service_s: How long the target worked, in seconds; None if that
                says nothing about the target.
            now: Time in seconds.
        """
        if service_s is not None:
            self._measured += 1
            weight = max(SERVICE_TIME_WEIGHT, 1 / self._measured)
            self.service_s += weight * (service_s - self.service_s)
        self.in_use -= 1
        granted = AdmissionResult()
        while self._waiting and self.in_use < self.slots:
            ticket = self._waiting.pop(self._next(now))
            if now > self.latest_start(ticket):
                granted.refused.append(ticket)
                continue
            self.in_use += 1
            self.bound.observe(len(self._waiting), self.service_s, now)
            granted.admitted = ticket
            break
        return granted

    def _next(self, now: float) -> int:
        """Returns the place of the request that is to be served next.

        Under overload a queue in the order of deadlines serves each request
        just before it gives up, and so all of them late.
        """
        for place, ticket in enumerate(self._waiting):
            if self._is_on_time(ticket, now):
                return place
        return 0

    def _is_on_time(self, ticket: SlotRequest, now: float) -> bool:
        return now + self.service_s <= ticket.on_time_until

    def remove(self, ticket: SlotRequest) -> None:
        """Takes a request out of the queue, if it waits there."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def drain(self) -> list[SlotRequest]:
        """Refuses new work from now on.

        Returns:
            The requests that were waiting; they are refused as well.
        """
        self.draining = True
        waiting, self._waiting = self._waiting, []
        return waiting


def _rank(ticket: SlotRequest) -> tuple[int, float]:
    return ticket.priority, ticket.deadline
