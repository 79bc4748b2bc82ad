"""A mean rate with bursts, on a clock that is passed in."""

import attrs


@attrs.define
class TokenBucket:
    """Limits a mean rate and lets a burst through.

    Attributes:
        rate_per_s: Tokens gained per second.
        burst: Most tokens that can be saved.
    """

    rate_per_s: float
    burst: float
    _tokens: float = attrs.field(init=False)
    _filled_at: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self):
        self._tokens = self.burst

    def available(self, now: float) -> float:
        """Returns the tokens that can be spent now."""
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + gained)
        self._filled_at = now
        return self._tokens

    def spend(self, amount: float, now: float) -> None:
        """Takes tokens; the balance may become negative."""
        self._tokens = self.available(now) - amount
