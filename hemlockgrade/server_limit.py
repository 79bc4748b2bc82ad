"""Keeps the requests to one server within the rate that it can take.

A server in need names a rate in its responses, and one that warms up takes the
rate that the configuration names. All requests of all hosts pass the daemon
beside the server, which applies the lower one.
"""

import math

import attrs

from hemlockgrade import token_bucket

# The bucket holds the requests of this time at the named rate, in seconds.
BURST_S = 0.5
# Lowest number of requests that the bucket holds.
MIN_BURST = 3.0
# Lowest rate, in requests a second. Only a response shows that the server no
# longer names a limit.
MIN_RATE_PER_S = 0.5
# Longest time until the turn of a refused sender, in seconds.
MAX_TURN_S = 2.0
# Requests of this priority leave the whole reserve to more urgent ones; those
# of priority 0 leave nothing.
LOWEST_PRIORITY = 2
# Fraction of the bucket, less one request, that is reserved in this way.
RESERVED_FRACTION = 0.5


@attrs.define(eq=False)
class ServerLimit:
    """Limits the requests to one incarnation of a server.

    Attributes:
        max_requests_per_s: Requests a second that the server takes from all
            hosts together; `math.inf` if there is no limit.
        named_per_s: The limit that the server names; `math.inf` for none.
        is_known: True once a response of the server was received.
    """

    max_requests_per_s: float = math.inf
    named_per_s: float = math.inf
    is_known: bool = False
    _warmup_per_s: float = math.inf
    _cold_until: float = -math.inf
    _bucket: token_bucket.TokenBucket | None = None
    _last_turn_at: float = 0.0

    def update(self, named_per_s: float, now: float) -> None:
        """Applies the limit of the latest response.

        Args:
            named_per_s: The named limit; `math.inf` for none.
            now: Monotonic time in seconds.
        """
        self.named_per_s = named_per_s
        self._refresh(now)

    def update_warmup(
        self, warmup_per_s: float, cold_until: float, now: float
    ) -> None:
        """Applies what is known of the server's warm-up.

        Args:
            warmup_per_s: Requests a second that the server takes while it is
                cold; `math.inf` if the configuration names no such rate.
            cold_until: Monotonic time until which the server is cold.
            now: Monotonic time in seconds.
        """
        self._warmup_per_s = warmup_per_s
        self._cold_until = cold_until
        self._refresh(now)

    def _refresh(self, now: float):
        """Applies the lower of both limits.

        A new limit begins without saved requests: the server may have got as
        many as it takes just before.
        """
        limit = self.named_per_s
        if now < self._cold_until:
            limit = min(limit, self._warmup_per_s)
        if limit == self.max_requests_per_s:
            return
        self.max_requests_per_s = limit
        if math.isinf(limit):
            self._bucket = None
            return
        rate_per_s = max(limit, MIN_RATE_PER_S)
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
        return self._missing_requests(priority, waiting, now) <= 0

    def next_turn_s(self, priority: int, waiting: int, now: float) -> float:
        """Reserves the next turn for a sender whose request is refused.

        Senders that are refused one after the other get turns at the named
        rate, so that they do not return at once.

        Args:
            priority: Priority of the request.
            waiting: Number of admitted requests that are still to be sent.
            now: Monotonic time in seconds.

        Returns:
            Time until the turn, in seconds.
        """
        if self._bucket is None:
            return 0.0
        rate_per_s = self._bucket.rate_per_s
        missing = self._missing_requests(priority, waiting, now)
        self._last_turn_at = min(
            max(
                self._last_turn_at + 1 / rate_per_s, now + missing / rate_per_s
            ),
            now + MAX_TURN_S,
        )
        return self._last_turn_at - now

    def _missing_requests(
        self, priority: int, waiting: int, now: float
    ) -> float:
        """Returns by how many requests the bucket is short of admitting one."""
        if self._bucket is None:
            return 0.0
        urgency = min(priority, LOWEST_PRIORITY) / LOWEST_PRIORITY
        reserved = (self._bucket.burst - 1.0) * RESERVED_FRACTION * urgency
        return 1.0 + waiting + reserved - self._bucket.available(now)

    def spend(self, now: float) -> None:
        """Counts a request that is sent to the server.

        Args:
            now: Monotonic time in seconds.
        """
        if self._bucket is not None:
            self._bucket.spend(1.0, now)
