"""Time line of the events of a process, ordered causally across processes.

Timestamps come from a hybrid logical clock. A timestamp is an integer: the
milliseconds of Unix time, followed by a 16-bit counter in the lowest bits
(Kulkarni et al., "Logical Physical Clocks", OPODIS 2014).
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
    """One event in one process.

    Attributes:
        time: Hybrid logical timestamp.
        process: Identifier of the process.
        sequence: Position among the events of the process, from 1.
        kind: Name of the event, for example `startup`.
        fields: Details of the event by name.
    """

    time: int
    process: str
    sequence: int
    kind: str
    fields: dict[str, Any] = attrs.field(factory=dict)


class LogicalClock:
    """A hybrid logical clock.

    Args:
        now: Returns the current Unix time in seconds.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._last = 0

    def tick(self) -> int:
        """Returns a timestamp above all returned or observed timestamps."""
        self._last = max(self._last + 1, to_timestamp(self._now()))
        return self._last

    def observe(self, unix_time: float):
        """Advances the clock to the time of an event in another process.

        Later timestamps of this process are then above the time of that event.

        Args:
            unix_time: Unix time in seconds on the clock of that process. A time
                that is `MAX_CLOCK_LEAD_S` or more ahead is ignored, because
                one wrong clock would otherwise shift the time line of every
                process.
        """
        if unix_time < self._now() + MAX_CLOCK_LEAD_S:
            self._last = max(self._last, to_timestamp(unix_time))


class Timeline:
    """Keeps the latest `MAX_EVENTS` events of one process in memory.

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
        """Adds an event.

        Args:
            kind: Name of the event.
            fields: Details of the event by name.
        """
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
        """Returns the stored events.

        Args:
            about: If given, only events with this value in a field.
        """
        if about is None:
            return list(self._events)
        return [
            event
            for event in self._events
            if about in map(str, event.fields.values())
        ]


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Sorts the events of several processes into causal order."""
    return sorted(events, key=lambda e: (e.time, e.process, e.sequence))


def to_unix_time(timestamp: int) -> float:
    """Returns the Unix time of a timestamp in seconds."""
    return (timestamp >> COUNTER_BITS) / 1000


def to_timestamp(unix_time: float) -> int:
    """Returns the lowest timestamp of a Unix time in seconds."""
    return int(unix_time * 1000) << COUNTER_BITS
