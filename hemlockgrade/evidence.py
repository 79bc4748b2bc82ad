"""Windows of request counts and latencies by selector, version and route.

Every reporter sends increments: a record adds to its window and is sent on
one connection only. A record is recognised by its reporter and sequence, so
that a repeated one is dropped wherever it arrives. A relay sums the records
of its children and reports the sums under its own identifier; because sums
no longer show whose records they hold, a reporter never sends a record again
to another parent. Evidence that is lost with a connection is missing for both
versions alike and is made up by later requests, whereas evidence that is
counted twice would make a verdict too sure.
"""

import bisect
from collections.abc import Collection
from collections.abc import Iterable
import itertools
import math

import attrs

from hemlockgrade.wire import control_pb2

WINDOW_S = 1.0
# Bounds grow by the square root of 2, so that a version that is 1.5 times
# slower moves requests over at least one bound; 30 bounds reach 16 s.
FIRST_BOUND_S = 0.0005
LATENCY_BOUNDS_S = tuple(FIRST_BOUND_S * 2 ** (i / 2) for i in range(31))
BUCKET_COUNT = len(LATENCY_BOUNDS_S) + 1
RETENTION_S = 3600.0
# Clocks of hosts differ a little; a window further ahead is a wrong clock.
MAX_CLOCK_AHEAD_S = 10.0
# Windows older than the first number of seconds are joined to blocks of the
# second, so that an hour of evidence stays at about 90 blocks a series.
BLOCKS_BY_AGE_S = ((60, 60), (10, 5))
# Sequences of a reporter that may be missing before the oldest are given up.
MAX_OUT_OF_ORDER = 1024


@attrs.frozen(kw_only=True)
class Evidence:
    """What one reporter adds to one window.

    Attributes:
        selector: Name of the selector.
        version: Version that answered.
        route: Path prefix of the route.
        window: Index of the window since the Unix epoch.
        requests: Number of requests.
        errors: How many of them failed.
        latency_buckets: Counts by bucket; trailing zeros are left out.
        reporter: Process that counted or summed, unique for each start.
        sequence: Number of the record at its reporter.
    """

    selector: str
    version: str
    route: str
    window: int
    requests: int
    errors: int
    latency_buckets: tuple[int, ...] = ()
    reporter: str = ''
    sequence: int = 0


@attrs.frozen
class Counts:
    """Sums over one or more windows.

    Attributes:
        requests: Number of requests.
        errors: How many of them failed.
        latency_buckets: Counts by bucket.
    """

    requests: int = 0
    errors: int = 0
    latency_buckets: tuple[int, ...] = ()

    def __add__(self, other: 'Counts') -> 'Counts':
        return Counts(
            self.requests + other.requests,
            self.errors + other.errors,
            _add_buckets(self.latency_buckets, other.latency_buckets),
        )

    def slower_than(self, bucket: int) -> int:
        """Counts the requests in the buckets after the given one."""
        return sum(self.latency_buckets[bucket + 1 :])


NOTHING = Counts()


@attrs.frozen
class WindowPair:
    """Both versions in the same window or block of windows.

    Attributes:
        window: Index of its first window.
        new: What the new version answered.
        old: What the old versions answered.
    """

    window: int
    new: Counts
    old: Counts


@attrs.frozen(kw_only=True)
class Comparison:
    """Evidence on a new version beside the old one.

    Attributes:
        selector: Name of the selector.
        new_version: Version that is judged.
        pairs_by_route: Windows in ascending order, for each route.
        old_by_route: The old version over all windows that are kept, for
            windows in which it got no requests.
    """

    selector: str
    new_version: str
    pairs_by_route: dict[str, tuple[WindowPair, ...]]
    old_by_route: dict[str, Counts]


class EvidenceRecorder:
    """Counts the requests of one proxy for selectors with a rollout."""

    def __init__(self, reporter: str, clock_offset_s: float = 0.0):
        """Starts without selectors.

        Args:
            reporter: Unique for each start of the process.
            clock_offset_s: Seconds to add to the time of `record` to get
                Unix time, for a proxy that measures on a monotonic clock.
        """
        self.clock_offset_s = clock_offset_s
        self._selectors: frozenset[str] = frozenset()
        self._sums = _PendingSums(reporter)

    def set_selectors(self, selectors: Iterable[str]) -> None:
        """Sets the selectors whose rollout runs; others are not counted."""
        self._selectors = frozenset(selectors)

    def record(
        self,
        selector: str,
        version: str,
        route: str,
        ok: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Counts a finished request.

        Args:
            selector: Name of the selector.
            version: Version that answered.
            route: Path prefix of the route.
            ok: False if the request failed by the version's fault.
            latency_s: Seconds from request to complete answer.
            now: Seconds on the proxy's clock; see `clock_offset_s`.
        """
        if selector not in self._selectors:
            return
        window = int((now + self.clock_offset_s) // WINDOW_S)
        key = (selector, version, route, window)
        tally = self._sums.tally(key)
        tally.requests += 1
        tally.errors += not ok
        tally.buckets[bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1

    def take(self, now: float) -> list[Evidence]:
        """Returns what was counted since the last call.

        Args:
            now: Seconds of Unix time; too old windows are left out.
        """
        return self._sums.take(now)


class EvidenceAggregator:
    """Sums the records of a relay's children into records of its own."""

    def __init__(self, reporter: str):
        """Starts empty.

        Args:
            reporter: Unique for each start of the process, and different
                from the identifier of the process's own recorder.
        """
        self._seen = _SeenRecords()
        self._sums = _PendingSums(reporter)

    def merge(self, records: Iterable[Evidence], now: float) -> int:
        """Adds records, and returns how many of them were new.

        Args:
            records: In any order, possibly repeated.
            now: Seconds of Unix time.
        """
        return sum(
            self._sums.add(record)
            for record in records
            if self._seen.accept(record, now)
        )

    def take(self, now: float) -> list[Evidence]:
        """Returns the sums since the last call.

        Args:
            now: Seconds of Unix time; too old windows are left out.
        """
        self._seen.expire(now)
        return self._sums.take(now)


class EvidenceStore:
    """All evidence on running rollouts, as the lease holder needs it."""

    def __init__(self):
        self._seen = _SeenRecords()
        self._series_by_key: dict[tuple[str, str, str], dict[int, _Tally]] = {}
        self._totals_by_key: dict[tuple[str, str, str], _Tally] = {}
        # Windows are not joined over the start of the stage under comparison.
        self._firsts_by_selector: dict[str, int] = {}
        self._joined_at = -math.inf

    def merge(self, records: Iterable[Evidence], now: float) -> int:
        """Adds records, and returns how many of them were new.

        Args:
            records: In any order, possibly repeated or late.
            now: Seconds of Unix time.
        """
        added = 0
        for record in records:
            if not self._seen.accept(record, now):
                continue
            key = (record.selector, record.version, record.route)
            series = self._series_by_key.setdefault(key, {})
            series.setdefault(record.window, _Tally()).add(record)
            self._totals_by_key.setdefault(key, _Tally()).add(record)
            added += 1
        self._join(now)
        return added

    def compare(
        self, selector: str, new: str, old: Collection[str], since: float
    ) -> Comparison:
        """Compares a version with others over the same windows by route.

        Args:
            selector: Name of the selector.
            new: The version to judge.
            old: The versions that it is judged by.
            since: Seconds of Unix time; earlier windows are left out.
        """
        first = math.floor(since / WINDOW_S)
        self._firsts_by_selector[selector] = first
        routes = sorted(
            {
                route
                for name, version, route in self._series_by_key
                if name == selector and (version == new or version in old)
            }
        )
        return Comparison(
            selector=selector,
            new_version=new,
            pairs_by_route={
                route: self._pairs(selector, new, old, route, first)
                for route in routes
            },
            old_by_route={
                route: self._total(selector, old, route) for route in routes
            },
        )

    def forget(self, selector: str) -> None:
        """Drops the evidence on a selector whose rollout has ended."""
        for key in [k for k in self._series_by_key if k[0] == selector]:
            del self._series_by_key[key]
            del self._totals_by_key[key]
        self._firsts_by_selector.pop(selector, None)

    def _pairs(self, selector, new, old, route, first):
        new_series = self._series_by_key.get((selector, new, route), {})
        old_series = [
            self._series_by_key.get((selector, version, route), {})
            for version in old
        ]
        windows = {
            window
            for series in (new_series, *old_series)
            for window in series
            if window >= first
        }
        return tuple(
            WindowPair(
                window,
                _counts(new_series.get(window)),
                _total_counts(series.get(window) for series in old_series),
            )
            for window in sorted(windows)
        )

    def _total(self, selector, old, route):
        return _total_counts(
            self._totals_by_key.get((selector, version, route))
            for version in old
        )

    def _join(self, now: float) -> None:
        """Joins old windows to blocks and drops expired ones."""
        if now - self._joined_at < BLOCKS_BY_AGE_S[-1][1]:
            return
        self._joined_at = now
        self._seen.expire(now)
        current = int(now // WINDOW_S)
        for key, series in list(self._series_by_key.items()):
            boundary = self._firsts_by_selector.get(key[0], 0)
            for window in list(series):
                block = _block(window, current, boundary)
                if block == window:
                    continue
                tally = series.pop(window)
                if block is None:
                    self._totals_by_key[key].remove_tally(tally)
                else:
                    series.setdefault(block, _Tally()).add_tally(tally)
            if not series:
                del self._series_by_key[key]
                del self._totals_by_key[key]


def to_wire(records: list[Evidence]) -> list[control_pb2.EvidenceBatch]:
    """Encodes records; a batch for each run of consecutive sequences."""
    batches: list[control_pb2.EvidenceBatch] = []
    previous: Evidence | None = None
    for record in records:
        if (
            previous is None
            or record.reporter != previous.reporter
            or record.sequence != previous.sequence + 1
        ):
            batches.append(
                control_pb2.EvidenceBatch(
                    reporter=record.reporter, first_sequence=record.sequence
                )
            )
        batches[-1].evidence.add(
            selector=record.selector,
            version=record.version,
            route=record.route,
            window=record.window,
            requests=record.requests,
            errors=record.errors,
            latency_buckets=record.latency_buckets,
        )
        previous = record
    return batches


def from_wire(batch: control_pb2.EvidenceBatch) -> list[Evidence]:
    """Decodes a batch, leaving out records that contradict themselves."""
    records = [
        Evidence(
            selector=message.selector,
            version=message.version,
            route=message.route,
            window=message.window,
            requests=message.requests,
            errors=message.errors,
            latency_buckets=tuple(message.latency_buckets),
            reporter=batch.reporter,
            sequence=batch.first_sequence + index,
        )
        for index, message in enumerate(batch.evidence)
    ]
    return [record for record in records if _is_consistent(record)]


def _is_consistent(record: Evidence) -> bool:
    return (
        record.errors <= record.requests
        and sum(record.latency_buckets) == record.requests
        and len(record.latency_buckets) <= BUCKET_COUNT
    )


class _Tally:
    """Mutable counts of one window."""

    __slots__ = ('requests', 'errors', 'buckets', '_counts')

    def __init__(self):
        self.requests = 0
        self.errors = 0
        self.buckets = [0] * BUCKET_COUNT
        self._counts: Counts | None = None

    def counts(self) -> Counts:
        """Returns the counts; most windows are compared often unchanged."""
        if self._counts is None:
            self._counts = Counts(
                self.requests, self.errors, _trimmed(self.buckets)
            )
        return self._counts

    def add(self, record: Evidence) -> None:
        self._counts = None
        self.requests += record.requests
        self.errors += record.errors
        for index, count in enumerate(record.latency_buckets):
            self.buckets[index] += count

    def add_tally(self, other: '_Tally') -> None:
        self._counts = None
        self.requests += other.requests
        self.errors += other.errors
        for index, count in enumerate(other.buckets):
            self.buckets[index] += count

    def remove_tally(self, other: '_Tally') -> None:
        self._counts = None
        self.requests -= other.requests
        self.errors -= other.errors
        for index, count in enumerate(other.buckets):
            self.buckets[index] -= count


class _PendingSums:
    """Counts that a reporter has not sent yet."""

    def __init__(self, reporter: str):
        self._reporter = reporter
        self._tallies_by_key: dict[tuple[str, str, str, int], _Tally] = {}
        self._next_sequence = 1

    def tally(self, key: tuple[str, str, str, int]) -> _Tally:
        tally = self._tallies_by_key.get(key)
        if tally is None:
            tally = self._tallies_by_key[key] = _Tally()
        return tally

    def add(self, record: Evidence) -> bool:
        self.tally(
            (record.selector, record.version, record.route, record.window)
        ).add(record)
        return True

    def take(self, now: float) -> list[Evidence]:
        oldest = (now - RETENTION_S) // WINDOW_S
        records = []
        for key, tally in self._tallies_by_key.items():
            if key[3] < oldest:
                continue
            selector, version, route, window = key
            records.append(
                Evidence(
                    selector=selector,
                    version=version,
                    route=route,
                    window=window,
                    requests=tally.requests,
                    errors=tally.errors,
                    latency_buckets=_trimmed(tally.buckets),
                    reporter=self._reporter,
                    sequence=self._next_sequence,
                )
            )
            self._next_sequence += 1
        self._tallies_by_key.clear()
        return records


class _SeenRecords:
    """Recognises records that arrive again.

    For each reporter it keeps the sequence up to which all were seen or
    given up, and those seen beyond it. A reporter is dropped when its newest
    window has expired: from then on all its records are refused by their age.
    """

    def __init__(self):
        self._floors_by_reporter: dict[str, int] = {}
        self._above_by_reporter: dict[str, set[int]] = {}
        self._newest_windows_by_reporter: dict[str, int] = {}

    def accept(self, record: Evidence, now: float) -> bool:
        """Tells whether a record is new and in time, and notes it."""
        if record.window < (now - RETENTION_S) // WINDOW_S:
            return False
        if record.window > (now + MAX_CLOCK_AHEAD_S) // WINDOW_S:
            return False
        reporter, sequence = record.reporter, record.sequence
        floor = self._floors_by_reporter.setdefault(reporter, 0)
        above = self._above_by_reporter.setdefault(reporter, set())
        if sequence <= floor or sequence in above:
            return False
        above.add(sequence)
        if len(above) > MAX_OUT_OF_ORDER:
            floor = min(above) - 1
        while floor + 1 in above:
            floor += 1
            above.remove(floor)
        self._floors_by_reporter[reporter] = floor
        self._newest_windows_by_reporter[reporter] = max(
            record.window,
            self._newest_windows_by_reporter.get(reporter, 0),
        )
        return True

    def expire(self, now: float) -> None:
        oldest = (now - RETENTION_S) // WINDOW_S
        for reporter, window in list(self._newest_windows_by_reporter.items()):
            if window < oldest:
                del self._newest_windows_by_reporter[reporter]
                del self._floors_by_reporter[reporter]
                del self._above_by_reporter[reporter]


def _block(window: int, current: int, boundary: int) -> int | None:
    """Returns the first window of the block, or None for an expired one.

    Args:
        window: Index of a window.
        current: Index of the current window.
        boundary: Window before which a block ends.
    """
    age = current - window
    if age > RETENTION_S / WINDOW_S:
        return None
    for min_age, length in BLOCKS_BY_AGE_S:
        # The whole block has to be old enough, or it would grow in parts.
        first = window - window % length
        if current - (first + length) >= min_age:
            return max(first, boundary) if window >= boundary else first
    return window


def _counts(tally: _Tally | None) -> Counts:
    return NOTHING if tally is None else tally.counts()


def _total_counts(tallies: Iterable[_Tally | None]) -> Counts:
    present = [tally for tally in tallies if tally is not None]
    if len(present) == 1:
        return present[0].counts()
    total = _Tally()
    for tally in present:
        total.add_tally(tally)
    return total.counts()


def _trimmed(buckets: list[int]) -> tuple[int, ...]:
    length = len(buckets)
    while length and not buckets[length - 1]:
        length -= 1
    return tuple(buckets[:length])


def _add_buckets(
    left: tuple[int, ...], right: tuple[int, ...]
) -> tuple[int, ...]:
    return tuple(
        a + b for a, b in itertools.zip_longest(left, right, fillvalue=0)
    )
