"""Limiter plug-in that waits for a slot of `limits.SlotQueue`."""

import asyncio
import time

from hemlockgrade import kernel
from hemlockgrade import limits


@kernel.register('limiters', 'slots')
class SlotLimiter:
    """Admits as many requests to one server as it has slots."""

    def __init__(self, slots: int):
        self._queue = limits.SlotQueue(slots)
        self._future_by_request: dict[limits.SlotRequest, asyncio.Future] = {}

    @property
    def in_use(self) -> int:
        """Number of slots in use."""
        return self._queue.in_use

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queue.queued

    @property
    def service_s(self) -> float:
        """Mean service time of the server, in seconds."""
        return self._queue.service_s

    async def acquire(self, request: limits.SlotRequest) -> None:
        """Waits for a slot.

        Args:
            request: The request that needs a slot.

        Raises:
            exceptions.ServerBusyError: The wait would be longer than the
                request allows.
            exceptions.RequestNotRunError: The request is refused.
        """
        now = time.monotonic()
        result = self._queue.admit(request, now)
        for displaced in result.refused:
            self._refuse(displaced, 'the queue is full')
        if result.admitted is request:
            return
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._future_by_request[request] = future
        refuse_at = self._queue.latest_start(request)
        timer = loop.call_later(refuse_at - now, self._refuse_late, request)
        try:
            await future
        except asyncio.CancelledError:
            self._queue.remove(request)
            if future.done() and not future.cancelled():
                self._release_unused(future)
            raise
        finally:
            timer.cancel()
            self._future_by_request.pop(request, None)

    def release(self, service_s: float | None, route: str = '') -> None:
        """Releases a slot.

        Args:
            service_s: Time that the server needed, in seconds; None if it was
                not measured, which leaves the means unchanged.
            route: Route of the request.
        """
        result = self._queue.release(service_s, time.monotonic(), route)
        if result.admitted is not None:
            self._grant_slot(result.admitted)
        for request in result.refused:
            self._refuse(request, 'the request waited too long for a slot')

    def drain(self) -> None:
        """Refuses all queued requests, and new ones from now on."""
        for request in self._queue.drain():
            self._refuse(request, 'the server is draining')

    def refuse_queued(self) -> None:
        """Refuses all queued requests."""
        for request in self._queue.clear():
            self._refuse(request, 'the server takes no requests for now')

    def _refuse_late(self, request: limits.SlotRequest):
        self._queue.remove(request)
        self._refuse(request, 'the request waited too long for a slot')

    def _release_unused(self, future: asyncio.Future):
        # The slot was granted in the same iteration of the event loop in which
        # the wait was cancelled. It would be lost if it were not released.
        if future.exception() is None:
            self.release(None)

    def _grant_slot(self, request: limits.SlotRequest):
        future = self._future_by_request[request]
        if future.done():
            self.release(None)
            return
        future.set_result(None)

    def _refuse(self, request: limits.SlotRequest, reason: str):
        future = self._future_by_request.get(request)
        if future is not None and not future.done():
            future.set_exception(limits.refusal_error(reason))
