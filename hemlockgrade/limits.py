"""Slots, a short queue ordered by deadline, and early refusal."""

import heapq
from typing import Protocol

import attrs

from hemlockgrade import exceptions

# Weight of the newest service time in the moving mean.
SERVICE_TIME_WEIGHT = 0.05
# Start value until a service time was measured, in seconds.
INITIAL_SERVICE_S = 0.01


class Limiter(Protocol):
    """Admits work to one target."""

    async def acquire(self, deadline: float) -> None:
        """Waits for a slot.

        Args:
            deadline: Time by which the work has to be finished, in seconds
                on the monotonic clock.

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


@attrs.define(eq=False, kw_only=True)
class Ticket:
    """A request that asks for a slot.

    Attributes:
        deadline: Time by which it has to be finished, in seconds.
        queued_at: Time at which it began to wait, in seconds.
        waiting: True while it is in the queue.
    """

    deadline: float
    queued_at: float = 0.0
    waiting: bool = False


def refusal(reason: str) -> exceptions.RequestNotRunError:
    """Makes the error of a refused request."""
    return exceptions.RequestNotRunError(
        f'refused before it was run: {reason}',
        remedy='send it again later or to another target',
    )


@attrs.define
class SlotQueue:
    """Decides which requests get a slot, wait or are refused.

    Attributes:
        slots: Requests that the target runs at once.
        in_use: Slots in use.
        draining: True once new work is refused.
        service_s: Moving mean of the measured service time, in seconds.
    """

    slots: int
    in_use: int = 0
    draining: bool = False
    service_s: float = INITIAL_SERVICE_S
    _heap: list[tuple[float, int, Ticket]] = attrs.field(factory=list)
    _queued: int = 0
    _sequence: int = 0

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._queued

    def admit(self, ticket: Ticket, now: float) -> bool:
        """Gives a slot, or queues the request.

        Returns:
            True if it has a slot now, False if it waits.

        Raises:
            exceptions.RequestNotRunError: It is refused.
        """
        if self.draining:
            raise refusal('the target is draining')
        if ticket.deadline - now < self.service_s:
            raise refusal('it cannot finish before its deadline')
        if self.in_use < self.slots:
            self.in_use += 1
            return True
        if self._queued >= self.queue_bound:
            raise refusal('the queue is full')
        self._push(ticket, now)
        return False

    @property
    def queue_bound(self) -> int:
        """Requests that may wait."""
        return self.slots

    def _push(self, ticket: Ticket, now: float):
        ticket.waiting = True
        ticket.queued_at = now
        self._sequence += 1
        heapq.heappush(self._heap, (ticket.deadline, self._sequence, ticket))
        self._queued += 1

    def release(
        self, service_s: float | None, now: float
    ) -> tuple[Ticket | None, list[Ticket]]:
        """Gives a slot back and passes it to the next request.

        Returns:
            The request that has the slot now, if any, and the requests
            that are refused because they can no longer finish in time.
        """
        if service_s is not None:
            self.service_s += SERVICE_TIME_WEIGHT * (service_s - self.service_s)
        refused: list[Ticket] = []
        while self._heap:
            _, _, ticket = heapq.heappop(self._heap)
            if not ticket.waiting:
                continue
            self._leave(ticket)
            if ticket.deadline - now >= self.service_s:
                return ticket, refused
            refused.append(ticket)
        self.in_use -= 1
        return None, refused

    def abandon(self, ticket: Ticket) -> None:
        """Takes a waiting request out of the queue."""
        if ticket.waiting:
            self._leave(ticket)

    def _leave(self, ticket: Ticket):
        ticket.waiting = False
        self._queued -= 1

    def drain(self) -> list[Ticket]:
        """Refuses new work from now on.

        Returns:
            The requests that were waiting; they are refused as well.
        """
        self.draining = True
        waiting = [t for _, _, t in self._heap if t.waiting]
        for ticket in waiting:
            self._leave(ticket)
        self._heap.clear()
        return waiting
