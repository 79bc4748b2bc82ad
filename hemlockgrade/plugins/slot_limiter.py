"""Limiter plug-in: waits for the slots that `limits.SlotQueue` hands out."""

import asyncio
import math
import time

from hemlockgrade import kernel
from hemlockgrade import limits


@kernel.register('limiters', 'slots')
class SlotLimiter:
    """Admits work to one target by its slots."""

    def __init__(self, slots: int):
        self._queue = limits.SlotQueue(slots)
        self._future_by_ticket: dict[limits.SlotRequest, asyncio.Future] = {}

    @property
    def in_use(self) -> int:
        """Slots in use."""
        return self._queue.in_use

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._queue.queued

    @property
    def service_s(self) -> float:
        """Mean time that the target needs, in seconds."""
        return self._queue.service_s

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
        now = time.monotonic()
        ticket = limits.SlotRequest(
            deadline=deadline,
            caller=caller,
            priority=priority,
            on_time_until=on_time_until,
        )
        granted = self._queue.admit(ticket, now)
        for displaced in granted.refused:
            self._refuse(displaced, 'the queue is full')
        if granted.admitted is ticket:
            return
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._future_by_ticket[ticket] = future
        give_up_at = self._queue.latest_start(ticket)
        timer = loop.call_later(give_up_at - now, self._give_up, ticket)
        try:
            await future
        except asyncio.CancelledError:
            self._queue.remove(ticket)
            if future.done() and not future.cancelled():
                self._give_back_unused(future)
            raise
        finally:
            timer.cancel()
            self._future_by_ticket.pop(ticket, None)

    def release(self, service_s: float | None) -> None:
        """Gives a slot back.

        Args:
            service_s: How long the target worked, in seconds; None if that
                says nothing about the target.
        """
        granted = self._queue.release(service_s, time.monotonic())
        if granted.admitted is not None:
            self._resolve(granted.admitted)
        for ticket in granted.refused:
            self._refuse(ticket, 'it waited too long for a slot')

    def drain(self) -> None:
        """Refuses new and queued work from now on."""
        for ticket in self._queue.drain():
            self._refuse(ticket, 'the target is draining')

    def _give_up(self, ticket: limits.SlotRequest):
        self._queue.remove(ticket)
        self._refuse(ticket, 'it waited too long for a slot')

    def _give_back_unused(self, future: asyncio.Future):
        # The slot was granted in the same turn in which the wait was
        # cancelled; without this it would never be free again.
        if future.exception() is None:
            self.release(None)

    def _resolve(self, ticket: limits.SlotRequest):
        future = self._future_by_ticket[ticket]
        if future.done():
            self.release(None)
            return
        future.set_result(None)

    def _refuse(self, ticket: limits.SlotRequest, reason: str):
        future = self._future_by_ticket.get(ticket)
        if future is not None and not future.done():
            future.set_exception(limits.refusal_error(reason))
