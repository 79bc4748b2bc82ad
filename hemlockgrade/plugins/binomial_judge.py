"""Judges a new version against the old one by binomial tests.

A version is bad if so many of its answers failed, or were much slower than
the old version's median, that chance explains it with a probability below
`ALARM_LEVEL` at the rate that the old version shows in the same time. Both are
tested on each route and over all routes, over several lengths of time, because
a version may turn bad late, under load only or on one route only.
"""

from collections.abc import Iterable
import math

import attrs

from hemlockgrade import evidence
from hemlockgrade import kernel

# A rollout makes about a thousand tests, so that a good version is rolled
# back by chance in one of a hundred at the most.
ALARM_LEVEL = 1e-5
# Failures of a version that is like the old one are taken as no rarer.
MIN_FAILED_RATE = 0.02
MIN_SLOW_RATE = 0.08
# Slow is above this multiple of the old version's median. A server that has
# just started is up to twice as slow, so the old version's rate is taken at
# half of that.
SLOW_FACTOR = 4.0
COLD_FACTOR = 2.0
# Requests of each version below which nothing is said.
MIN_REQUESTS = 8
MIN_OLD_REQUESTS = 20


@attrs.frozen(kw_only=True)
class BinomialFinding:
    """Why a version is bad.

    Attributes:
        route: Route on which it showed, or `all`.
        symptom: `failed` or `slow`.
        hits: Failed or slow answers of the new version.
        requests: Its answers in the same time.
        expected_rate: Rate that the old version explains.
    """

    route: str
    symptom: str
    hits: int
    requests: int
    expected_rate: float

    def __str__(self) -> str:
        return (
            f'{self.hits} of {self.requests} {self.symptom} on {self.route}, '
            f'expected rate {self.expected_rate:.3f}'
        )


@kernel.register('judges', 'binomial')
class BinomialJudge:
    """Judges each span of time by itself."""

    def find_fault(
        self, totals: evidence.Totals, version: str
    ) -> evidence.Finding | None:
        """Looks for a reason to roll a version back."""
        return find_fault(totals, version)


def find_fault(
    totals: evidence.Totals, version: str
) -> evidence.Finding | None:
    """Looks for a reason to roll a version back.

    Args:
        totals: Sums by version and route over one span of time.
        version: The new version.
    """
    routes = sorted({route for _, route in totals})
    for route in routes:
        finding = _test(totals, version, [route], route)
        if finding is not None:
            return finding
    return _test(totals, version, routes, 'all')


def _test(
    totals: evidence.Totals, version: str, routes: Iterable[str], name: str
) -> evidence.Finding | None:
    chosen = set(routes)
    new = evidence.merged(
        counts
        for (each, route), counts in totals.items()
        if each == version and route in chosen
    )
    old = evidence.merged(
        counts
        for (each, route), counts in totals.items()
        if each != version and route in chosen
    )
    if new.requests < MIN_REQUESTS:
        return None
    failed_rate = max(MIN_FAILED_RATE, _rate(old.failed, old.requests))
    if _tail(new.requests, new.failed, failed_rate) < ALARM_LEVEL:
        return BinomialFinding(
            route=name,
            symptom='failed',
            hits=new.failed,
            requests=new.requests,
            expected_rate=failed_rate,
        )
    if old.requests < MIN_OLD_REQUESTS:
        return None
    median = evidence.quantile_bucket(old, 0.5)
    slow = new.slower_than(median + _buckets_of(SLOW_FACTOR))
    usual = old.slower_than(median + _buckets_of(SLOW_FACTOR / COLD_FACTOR))
    slow_rate = max(MIN_SLOW_RATE, _rate(usual, old.requests))
    if _tail(new.requests, slow, slow_rate) < ALARM_LEVEL:
        return BinomialFinding(
            route=name,
            symptom='slow',
            hits=slow,
            requests=new.requests,
            expected_rate=slow_rate,
        )
    return None


def _buckets_of(factor: float) -> int:
    return round(math.log(factor, evidence.BUCKET_GROWTH_FACTOR))


def _rate(hits: int, requests: int) -> float:
    """Estimates a rate, a little above what was seen."""
    return (hits + 1) / (requests + 20)


def _tail(n: int, hits: int, rate: float) -> float:
    """Returns the probability of at least so many hits by chance.

    The bound of H. Chernoff, "A Measure of Asymptotic Efficiency for Tests of
    a Hypothesis Based on the Sum of Observations", Annals of Mathematical
    Statistics 23 (1952).
    """
    share = hits / n
    if share <= rate:
        return 1.0
    if share >= 1:
        return rate**n
    divergence = share * math.log(share / rate) + (1 - share) * math.log(
        (1 - share) / (1 - rate)
    )
    return math.exp(-n * divergence)
