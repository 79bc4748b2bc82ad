"""The events of a process, in an order that holds across processes.

Timestamps are hybrid logical clocks: milliseconds of Unix time above a
16-bit counter (Kulkarni et al., "Logical Physical Clocks", OPODIS 2014).
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs

COUNTER_BITS = 16
MAX_EVENTS = 5000
MAX_CLOCK_LEAD_S = 60.0


@attrs.frozen(kw_only=True)
class Event:
    """Something that happened in one process.

    Attributes:
        time: Hybrid logical timestamp.
        process: Identifier of the process.
        sequence: Position among the events of the process.
        kind: What happened.
        fields: Details, by name.
    """

    time: int
    process: str
    sequence: int
    kind: str
    fields: dict[str, Any] = attrs.field(factory=dict)


class LogicalClock:
    """A hybrid logical clock.

    Args:
        now: Returns seconds of Unix time.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._last = 0

    def tick(self) -> int:
        """Returns a timestamp above all that were returned or observed."""
        self._last = max(self._last + 1, to_timestamp(self._now()))
        return self._last

    def observe(self, unix_time: float):
        """Takes note of the time of a cause that came with a message.

        Args:
            unix_time: Seconds of Unix time on the sender's clock; one that
                is far ahead is ignored, or a wrong clock would shift the
                time line of every process.
        """
        if unix_time < self._now() + MAX_CLOCK_LEAD_S:
            self._last = max(self._last, to_timestamp(unix_time))


class Timeline:
    """Keeps the last events of one process in memory.

    Args:
        process: Identifier of the process.
        clock: The logical clock of the process.
    """

    def __init__(self, process: str, clock: LogicalClock):
        self._process = process
        self.clock = clock
        self._sequence = 0
        self._events: collections.deque[Event] = collections.deque(
            maxlen=MAX_EVENTS
        )

    def record(self, kind: str, **fields: Any):
        """Adds an event."""
        self._sequence += 1
        self._events.append(
            Event(
                time=self.clock.tick(),
                process=self._process,
                sequence=self._sequence,
                kind=kind,
                fields=fields,
            )
        )

    def events(self, about: str | None = None) -> list[Event]:
        """Returns the events kept, or those that mention an object."""
        if about is None:
            return list(self._events)
        return [
            event
            for event in self._events
            if about in map(str, event.fields.values())
        ]


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Orders the events of several processes causally."""
    return sorted(events, key=lambda e: (e.time, e.process, e.sequence))


def to_unix_time(timestamp: int) -> float:
    """Returns the seconds of Unix time in a timestamp."""
    return (timestamp >> COUNTER_BITS) / 1000


def to_timestamp(unix_time: float) -> int:
    """Returns the least timestamp at a time in seconds of Unix time."""
    return int(unix_time * 1000) << COUNTER_BITS
