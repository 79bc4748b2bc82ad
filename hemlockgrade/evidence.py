"""What a daemon counted of the answers of the server beside it."""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Any
from typing import Protocol

import attrs

from hemlockgrade import admission as admission_module

# Upper bounds of the latency buckets, in seconds: they grow by a quarter, so
# that a version 1.5 times slower moves its answers over a bound or two.
FIRST_BOUND_S = 0.002
BOUND_GROWTH = 1.25
BUCKETS = 40


@attrs.define
class Counts:
    """Sums over the answers of one version on one route.

    Attributes:
        requests: Answers, failures included.
        failed: Failures.
        buckets: Answers by latency.
    """

    requests: int = 0
    failed: int = 0
    buckets: list[int] = attrs.field(factory=lambda: [0] * BUCKETS)

    def add(self, ok: bool, latency_s: float) -> None:
        """Counts one answer."""
        self.requests += 1
        self.failed += not ok
        self.buckets[bucket_of(latency_s)] += 1

    def merge(self, other: 'Counts') -> None:
        """Adds the sums of another daemon."""
        self.requests += other.requests
        self.failed += other.failed
        for index, count in enumerate(other.buckets):
            self.buckets[index] += count

    def minus(self, earlier: 'Counts') -> 'Counts':
        """Returns what came after an earlier state of the same sums."""
        return Counts(
            self.requests - earlier.requests,
            self.failed - earlier.failed,
            [
                now - before
                for now, before in zip(
                    self.buckets, earlier.buckets, strict=True
                )
            ],
        )

    def slower_than(self, bucket: int) -> int:
        """Counts the answers in later buckets than a given one."""
        return sum(self.buckets[bucket + 1 :])


def bucket_of(latency_s: float) -> int:
    """Returns the index of the bucket of a latency in seconds."""
    if latency_s <= FIRST_BOUND_S:
        return 0
    index = math.ceil(math.log(latency_s / FIRST_BOUND_S, BOUND_GROWTH))
    return min(index, BUCKETS - 1)


# Sums by version and route.
Totals = Mapping[tuple[str, str], Counts]


class Finding(Protocol):
    """Why a version is bad; its text is for operators."""

    def __str__(self) -> str: ...


class Judge(Protocol):
    """Compares a new version with the old one."""

    def find_fault(self, totals: Totals, version: str) -> Finding | None:
        """Looks for a reason to roll a version back.

        Args:
            totals: Sums by version and route over one span of time.
            version: The new version.
        """


@attrs.define
class ServerEvidence:
    """Counts since this daemon's process started, by version and route.

    Attributes:
        boot_id: Identifier of the process; sums start anew with it.
    """

    boot_id: str
    _counts_by_key: dict[tuple[str, str, str], Counts] = attrs.field(
        factory=dict
    )

    def record(self, answer: admission_module.ResponseRecord) -> None:
        """Counts an answer of the local server."""
        key = (answer.service, answer.version, answer.route)
        counts = self._counts_by_key.get(key)
        if counts is None:
            counts = self._counts_by_key[key] = Counts()
        counts.add(answer.ok, answer.latency_s)

    def encode(self, service: str) -> dict[str, Any]:
        """Encodes the sums of a service for the holder of its rollout."""
        return {
            'boot_id': self.boot_id,
            'sums': [
                [*key, counts.requests, counts.failed, _trimmed(counts.buckets)]
                for key, counts in self._counts_by_key.items()
                if key[0] == service
            ],
        }


@attrs.frozen(kw_only=True)
class Report:
    """The sums of one daemon's process.

    Attributes:
        boot_id: Identifier of the process.
        counts_by_key: Sums by service, version and route.
    """

    boot_id: str
    counts_by_key: dict[tuple[str, str, str], Counts]


def decode(data: Any) -> Report:
    """Decodes the sums of a daemon.

    Raises:
        ValueError: They are malformed.
        TypeError: They are malformed.
        KeyError: They are malformed.
    """
    sums = {}
    for service, version, route, requests, failed, buckets in data['sums']:
        if len(buckets) > BUCKETS:
            raise ValueError('too many buckets')
        padded = [*buckets, *[0] * (BUCKETS - len(buckets))]
        sums[service, version, route] = Counts(requests, failed, padded)
    return Report(boot_id=data['boot_id'], counts_by_key=sums)


@attrs.define
class EvidenceSums:
    """Sums over all daemons since a rollout began.

    A daemon that restarts begins anew; what it reported before is kept.
    """

    _first_by_boot: dict[str, dict] = attrs.field(factory=dict)
    _last_by_boot: dict[str, dict] = attrs.field(factory=dict)

    def add(self, report: Report) -> None:
        """Takes the newest sums of a daemon's process."""
        boot_id = report.boot_id
        self._first_by_boot.setdefault(boot_id, report.counts_by_key)
        self._last_by_boot[boot_id] = report.counts_by_key

    def totals(self, service: str) -> dict[tuple[str, str], Counts]:
        """Returns the sums of a service by version and route."""
        totals: dict[tuple[str, str], Counts] = {}
        for boot_id, sums in self._last_by_boot.items():
            first = self._first_by_boot[boot_id]
            for (name, version, route), counts in sums.items():
                if name != service:
                    continue
                before = first.get((name, version, route))
                new = counts if before is None else counts.minus(before)
                total = totals.setdefault((version, route), Counts())
                total.merge(new)
        return totals


def _trimmed(buckets: list[int]) -> list[int]:
    """Leaves trailing zeros out."""
    end = len(buckets)
    while end and not buckets[end - 1]:
        end -= 1
    return buckets[:end]


def quantile_bucket(counts: Counts, share: float) -> int:
    """Returns the bucket that holds a quantile of the latencies."""
    target = counts.requests * share
    seen = 0
    for index, count in enumerate(counts.buckets):
        seen += count
        if seen >= target:
            return index
    return BUCKETS - 1


def merged(all_counts: Iterable[Counts]) -> Counts:
    """Adds sums up."""
    total = Counts()
    for counts in all_counts:
        total.merge(counts)
    return total
