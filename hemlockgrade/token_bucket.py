"""Token bucket that limits a rate; the current time is an argument."""

import attrs


@attrs.define
class TokenBucket:
    """Limits a mean rate and allows bursts.

    Attributes:
        rate_per_s: Tokens added per second.
        burst: Largest number of tokens that the bucket holds.
    """

    rate_per_s: float
    burst: float
    _tokens: float = attrs.field(init=False)
    _filled_at: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self):
        self._tokens = self.burst

    def available(self, now: float) -> float:
        """Refills the bucket up to now and returns its number of tokens.

        Args:
            now: Time in seconds.
        """
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + gained)
        self._filled_at = now
        return self._tokens

    def spend(self, amount: float, now: float) -> None:
        """Removes tokens; the number left may become negative.

        Args:
            amount: Number of tokens.
            now: Time in seconds.
        """
        self._tokens = self.available(now) - amount
