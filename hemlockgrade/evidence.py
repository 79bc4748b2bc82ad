"""Response statistics that the decisions on rollouts are based on.

Each daemon counts the responses of its local server by version and route. The
holder of a rollout fetches the counts of all daemons and adds them up.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Any
from typing import Protocol

import attrs

from hemlockgrade import admission as admission_module

# Upper bound of the first latency bucket, in seconds.
FIRST_BUCKET_BOUND_S = 0.002
# Each bucket's upper bound is a quarter above the one before it, so that the
# responses of a version that is 1.5 times slower move up by a bucket or two.
BUCKET_GROWTH_FACTOR = 1.25
# Number of latency buckets. The last one has no upper bound.
BUCKET_COUNT = 40


@attrs.define
class Counts:
    """Counts of the responses of one version on one route.

    Attributes:
        requests: Number of responses, failures included.
        failed: Number of failures, missing responses included.
        buckets: Number of responses in each latency bucket.
    """

    requests: int = 0
    failed: int = 0
    buckets: list[int] = attrs.field(factory=lambda: [0] * BUCKET_COUNT)

    def add(self, ok: bool, latency_s: float) -> None:
        """Counts one response."""
        self.requests += 1
        self.failed += not ok
        self.buckets[bucket_of(latency_s)] += 1

    def merge(self, other: 'Counts') -> None:
        """Adds other counts to these, for example those of another daemon."""
        self.requests += other.requests
        self.failed += other.failed
        for index, count in enumerate(other.buckets):
            self.buckets[index] += count

    def minus(self, earlier: 'Counts') -> 'Counts':
        """Returns what was counted since an earlier state of these counts."""
        return Counts(
            self.requests - earlier.requests,
            self.failed - earlier.failed,
            [
                current - previous
                for current, previous in zip(
                    self.buckets, earlier.buckets, strict=True
                )
            ],
        )

    def slower_than(self, bucket: int) -> int:
        """Returns the number of responses in the buckets after a given one."""
        return sum(self.buckets[bucket + 1 :])


def bucket_of(latency_s: float) -> int:
    """Returns the index of the bucket for a latency in seconds."""
    if latency_s <= FIRST_BUCKET_BOUND_S:
        return 0
    index = math.ceil(
        math.log(latency_s / FIRST_BUCKET_BOUND_S, BUCKET_GROWTH_FACTOR)
    )
    return min(index, BUCKET_COUNT - 1)


# Counts by version and route.
Totals = Mapping[tuple[str, str], Counts]


class Finding(Protocol):
    """Describes a fault of a version; its text is shown to operators."""

    def __str__(self) -> str: ...


class Trial(Protocol):
    """Test of one new version against the other versions."""

    def start_stage(self) -> None:
        """Notes that the traffic share of the new version is raised."""

    def observe(self, totals: Totals, is_cold: bool) -> Finding | None:
        """Adds the responses since the last call and looks for a fault.

        Args:
            totals: Counts by version and route since the start of the trial.
            is_cold: True if servers of the new version may just have started.

        Returns:
            The fault; None if none was found.
        """

    def conclude(self) -> Finding | None:
        """Looks for a fault once more before the rollout is completed.

        Returns:
            The fault; None if none was found.
        """


class Judge(Protocol):
    """Compares the responses of new versions with those of other versions."""

    def start(self, version: str) -> Trial:
        """Starts the trial of a new version.

        Args:
            version: The new version.
        """


@attrs.define
class ServerEvidence:
    """Counts the local server's responses since this daemon started.

    Attributes:
        boot_id: Identifier of the daemon's process. The counts start from zero
            with each process.
    """

    boot_id: str
    _counts_by_key: dict[tuple[str, str, str], Counts] = attrs.field(
        factory=dict
    )

    def record(self, response: admission_module.ResponseRecord) -> None:
        """Counts a response of the local server."""
        key = (response.service, response.version, response.route)
        counts = self._counts_by_key.get(key)
        if counts is None:
            counts = self._counts_by_key[key] = Counts()
        counts.add(response.ok, response.latency_s)

    def encode(self, service: str) -> dict[str, Any]:
        """Encodes the counts of a service for the holder of its rollout."""
        return {
            'boot_id': self.boot_id,
            'sums': [
                [
                    *key,
                    counts.requests,
                    counts.failed,
                    _without_trailing_zeros(counts.buckets),
                ]
                for key, counts in self._counts_by_key.items()
                if key[0] == service
            ],
        }


@attrs.frozen(kw_only=True)
class Report:
    """The counts of one daemon, since its process started.

    Attributes:
        boot_id: Identifier of the daemon's process.
        counts_by_key: Counts by service, version and route.
    """

    boot_id: str
    counts_by_key: dict[tuple[str, str, str], Counts]


def decode(data: Any) -> Report:
    """Decodes the counts that a daemon sent.

    Raises:
        ValueError: The counts are malformed.
        TypeError: The counts are malformed.
        KeyError: The counts are malformed.
    """
    counts_by_key = {}
    for service, version, route, requests, failed, buckets in data['sums']:
        if len(buckets) > BUCKET_COUNT:
            raise ValueError('more latency buckets than this daemon has')
        padded = [*buckets, *[0] * (BUCKET_COUNT - len(buckets))]
        counts_by_key[service, version, route] = Counts(
            requests, failed, padded
        )
    return Report(boot_id=data['boot_id'], counts_by_key=counts_by_key)


@attrs.define
class EvidenceSums:
    """Adds up the counts of all daemons since this daemon became the holder.

    The counts in the first report of each process are subtracted. If a daemon
    restarts, its new process counts from zero; the counts of its former process
    are kept.
    """

    _first_by_boot: dict[str, dict] = attrs.field(factory=dict)
    _last_by_boot: dict[str, dict] = attrs.field(factory=dict)

    def add(self, report: Report) -> None:
        """Replaces the counts of a daemon's process with its latest report."""
        boot_id = report.boot_id
        self._first_by_boot.setdefault(boot_id, report.counts_by_key)
        self._last_by_boot[boot_id] = report.counts_by_key

    def totals(self, service: str) -> dict[tuple[str, str], Counts]:
        """Returns the counts of a service by version and route."""
        totals: dict[tuple[str, str], Counts] = {}
        for boot_id, last in self._last_by_boot.items():
            first = self._first_by_boot[boot_id]
            for (name, version, route), counts in last.items():
                if name != service:
                    continue
                initial = first.get((name, version, route))
                added = counts if initial is None else counts.minus(initial)
                total = totals.setdefault((version, route), Counts())
                total.merge(added)
        return totals


def _without_trailing_zeros(buckets: list[int]) -> list[int]:
    end = len(buckets)
    while end and not buckets[end - 1]:
        end -= 1
    return buckets[:end]


def quantile_bucket(counts: Counts, fraction: float) -> int:
    """Returns the index of the bucket that contains a latency quantile.

    Args:
        counts: Counts of the responses.
        fraction: Fraction of the responses below the quantile; 0.5 for the
            median.
    """
    required = counts.requests * fraction
    cumulative = 0
    for index, count in enumerate(counts.buckets):
        cumulative += count
        if cumulative >= required:
            return index
    return BUCKET_COUNT - 1


def merged(all_counts: Iterable[Counts]) -> Counts:
    """Returns the sum of several counts."""
    total = Counts()
    for counts in all_counts:
        total.merge(counts)
    return total
