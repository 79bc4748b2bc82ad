"""Exponential backoff after consecutive failures."""

import asyncio
import random as random_module

import attrs

# Largest number of times that the first delay is doubled. Without a limit the
# power overflows after 1,024 attempts.
MAX_DOUBLINGS = 10


def delay_s(attempt: int, first_s: float, max_s: float) -> float:
    """Returns the backoff delay after a failed attempt.

    Args:
        attempt: Number of the failed attempt, from 1.
        first_s: Delay after the first failed attempt, in seconds. It doubles
            with each further failed attempt.
        max_s: Longest delay, in seconds.
    """
    doublings = min(max(attempt - 1, 0), MAX_DOUBLINGS)
    return min(first_s * 2**doublings, max_s)


@attrs.define
class Backoff:
    """Waits after failed calls, for a time that doubles with each failure.

    Random jitter spreads the calls of many daemons over time.

    Attributes:
        first_s: Mean backoff delay after the first failure, in seconds.
        max_s: Mean of the longest backoff delay, in seconds.
        random: Source of the jitter.
    """

    first_s: float
    max_s: float
    random: random_module.Random = attrs.field(factory=random_module.Random)
    _consecutive_failures: int = 0

    def reset(self) -> None:
        """Resets the delay to the first one after a successful call."""
        self._consecutive_failures = 0

    async def wait(self, started_at: float) -> None:
        """Counts a failed call and waits for the backoff delay.

        The delay runs from the start of the call, so that a call that got no
        response for a long time is soon followed by the next one. It is at
        least the first delay from now on.

        Args:
            started_at: Time of the event loop at which the call was started, in
                seconds.
        """
        self._consecutive_failures += 1
        mean_s = delay_s(self._consecutive_failures, self.first_s, self.max_s)
        jitter = 0.5 + self.random.random()
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(
            max(self.first_s * jitter, started_at + mean_s * jitter - now)
        )
