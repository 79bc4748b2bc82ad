"""Schedule of the shutdown of a process."""

import math

import attrs


@attrs.define
class Shutdown:
    """Decides which requests are accepted while the process shuts down.

    All times are monotonic times in seconds, and infinite before the stop
    signal.

    Attributes:
        requested_at: Time of the stop signal.
        open_until: Time until which callers cannot know of the shutdown, so
            that all their requests are accepted.
        interrupts_at: Time at which requests that still run are interrupted.
    """

    requested_at: float = math.inf
    open_until: float = math.inf
    interrupts_at: float = math.inf

    def accepts(self, deadline: float, now: float) -> bool:
        """Returns whether a request of a caller is accepted.

        Once callers can know of the shutdown, only a request that certainly
        ends before the process does is accepted.

        Args:
            deadline: Monotonic time at which the request ends at the latest,
                in seconds.
            now: Monotonic time in seconds.
        """
        return now < self.open_until or self.completes(deadline)

    def completes(self, deadline: float) -> bool:
        """Returns whether a request certainly ends before it is interrupted.

        Args:
            deadline: Monotonic time at which the request ends at the latest,
                in seconds.
        """
        return deadline <= self.interrupts_at

    def elapsed_ms(self, now: float) -> str:
        """Returns the time since the stop signal for a log line.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Whole milliseconds, or `-` before the signal.
        """
        if now < self.requested_at:
            return '-'
        return f'{(now - self.requested_at) * 1000:.0f}'
