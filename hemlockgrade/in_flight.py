"""Counts the requests in flight, for a graceful shutdown."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from hemlockgrade import http_codec


class InFlightCounter:
    """Counts requests until their whole responses have been passed on.

    Attributes:
        count: Number of requests in flight.
        total: Number of requests since the start of the process.
    """

    def __init__(self, clock: Callable[[], float]):
        """Creates a counter that starts at zero.

        Args:
            clock: Returns the monotonic time in seconds.
        """
        self.count = 0
        self.total = 0
        self._clock = clock
        self._idle = asyncio.Event()

    async def track(
        self, response_awaitable: Awaitable[http_codec.Response]
    ) -> http_codec.Response:
        """Counts a request until its response is complete.

        Args:
            response_awaitable: Awaitable that runs the request.

        Returns:
            The response to the request.
        """
        self.count += 1
        self.total += 1
        stream = None
        try:
            response = await response_awaitable
            stream = response.stream
            return response
        finally:
            if stream is None:
                self._request_ended()
            else:
                stream.when_done(lambda _: self._request_ended())

    async def wait_until_idle(self, deadline: float) -> bool:
        """Waits until no request is in flight.

        Args:
            deadline: Monotonic time in seconds at which the wait ends.

        Returns:
            False if requests are still in flight at the deadline.
        """
        while self.count:
            self._idle.clear()
            try:
                async with asyncio.timeout(deadline - self._clock()):
                    await self._idle.wait()
            except TimeoutError:
                return False
        return True

    def _request_ended(self) -> None:
        self.count -= 1
        if not self.count:
            self._idle.set()
