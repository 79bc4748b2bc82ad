"""Counting of requests in flight, for graceful shutdown."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from hemlockgrade import http_codec


class InFlightCounter:
    """Counts requests until their whole answers have been passed on.

    Attributes:
        count: Requests in flight.
        total: Requests so far.
    """

    def __init__(self, clock: Callable[[], float]):
        """Starts at zero.

        Args:
            clock: Monotonic time in seconds.
        """
        self.count = 0
        self.total = 0
        self._clock = clock
        self._idle = asyncio.Event()

    async def track(
        self, answer: Awaitable[http_codec.Response]
    ) -> http_codec.Response:
        """Counts a request while its answer is made and streamed."""
        self.count += 1
        self.total += 1
        stream = None
        try:
            response = await answer
            stream = response.stream
            return response
        finally:
            if stream is None:
                self._leave()
            else:
                stream.when_done(lambda _: self._leave())

    async def wait_until_idle(self, deadline: float) -> bool:
        """Waits until no request is in flight.

        Args:
            deadline: Gives up at this time, in monotonic seconds.

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

    def _leave(self) -> None:
        self.count -= 1
        if not self.count:
            self._idle.set()
