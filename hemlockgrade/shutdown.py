"""Schedule of the shutdown of a process."""

import math

import attrs


@attrs.define
class Shutdown:
    """When the process was told to stop.

    Attributes:
        requested_at: Monotonic time of the stop signal in seconds; infinite
            before it.
    """

    requested_at: float = math.inf

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
