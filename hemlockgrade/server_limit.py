"""Keeps the requests to one server within the rate that the server names."""

import math

import attrs

from hemlockgrade import token_bucket

# Time at the named rate whose requests may be sent at once, in seconds.
BURST_S = 0.5
# Lowest such number of requests.
MIN_BURST = 3.0
# Lowest rate, in requests a second. Only a response shows that the server no
# longer names a limit.
MIN_RATE_PER_S = 0.5
# Priority from which on requests leave the whole reserve to more urgent ones.
LOWEST_PRIORITY = 2
# Part of the burst beyond one request that this reserve takes.
RESERVED_FRACTION = 0.5


@attrs.define(eq=False)
class ServerLimit:
    """Limits the requests to one incarnation of a server.

    Attributes:
        max_requests_per_s: Requests a second that the server takes from all
            hosts together; `math.inf` if it names no limit.
        is_known: True once a response of the server was received.
    """

    max_requests_per_s: float = math.inf
    is_known: bool = False
    _bucket: token_bucket.TokenBucket | None = None

    def update(self, max_requests_per_s: float, now: float) -> None:
        """Applies the limit of the latest response.

        Args:
            max_requests_per_s: The named limit; `math.inf` for none.
            now: Monotonic time in seconds.
        """
        if max_requests_per_s == self.max_requests_per_s:
            return
        self.max_requests_per_s = max_requests_per_s
        if math.isinf(max_requests_per_s):
            self._bucket = None
            return
        rate_per_s = max(max_requests_per_s, MIN_RATE_PER_S)
        burst = max(MIN_BURST, rate_per_s * BURST_S)
        saved = 0.0 if self._bucket is None else self._bucket.available(now)
        self._bucket = token_bucket.TokenBucket(rate_per_s, burst)
        self._bucket.spend(burst - min(saved, burst), now)

    def admits(self, priority: int, waiting: int, now: float) -> bool:
        """Returns whether one more request may be sent to the server.

        Args:
            priority: Priority of the request; 0 is the most urgent. Less urgent
                requests leave a part of the burst to more urgent ones.
            waiting: Number of admitted requests that are still to be sent.
            now: Monotonic time in seconds.
        """
        if self._bucket is None:
            return True
        urgency = min(priority, LOWEST_PRIORITY) / LOWEST_PRIORITY
        reserved = (self._bucket.burst - 1.0) * RESERVED_FRACTION * urgency
        return self._bucket.available(now) >= 1.0 + waiting + reserved

    def spend(self, now: float) -> None:
        """Counts a request that is sent to the server.

        Args:
            now: Monotonic time in seconds.
        """
        if self._bucket is not None:
            self._bucket.spend(1.0, now)
