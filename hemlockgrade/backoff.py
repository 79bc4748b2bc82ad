"""Delays after failures that follow each other."""

import asyncio
import random as random_module

import attrs

MAX_DOUBLINGS = 10


def delay_s(attempt: int, first_s: float, max_s: float) -> float:
    """Returns a delay in seconds that doubles with each attempt from 1 on."""
    # Unbounded, the power overflows after 1,024 attempts.
    doublings = min(max(attempt - 1, 0), MAX_DOUBLINGS)
    return min(first_s * 2**doublings, max_s)


@attrs.define
class Backoff:
    """Waits after failed calls, with jitter that spreads many daemons.

    Attributes:
        first_s: Mean of the first wait, in seconds.
        max_s: Mean of the longest wait, in seconds.
        random: Source of the jitter.
    """

    first_s: float
    max_s: float
    random: random_module.Random = attrs.field(factory=random_module.Random)
    _failures: int = 0

    def reset(self) -> None:
        """Notes a success; the next failure is a first one."""
        self._failures = 0

    async def wait(self) -> None:
        """Notes a failure and waits."""
        self._failures += 1
        mean_s = delay_s(self._failures, self.first_s, self.max_s)
        await asyncio.sleep(mean_s * (0.5 + self.random.random()))
