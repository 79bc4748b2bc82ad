"""Judge plug-in that compares a new version with the others by binomial tests.

A version is faulty if it has so many failed or slow responses that, at the
rates of the other versions in the same time span, chance explains them with a
probability below `ALARM_PROBABILITY`. A response is slow if its latency is far
above the median of the other versions. Both rates are tested on each route and
over all routes, and over time spans of several lengths, because a version may
become faulty late, only under load or only on one route.
"""

from collections.abc import Iterable
import math

import attrs

from hemlockgrade import evidence
from hemlockgrade import kernel

# About a thousand tests are made during a rollout. With this probability, at
# most one in a hundred good versions is rolled back by chance.
ALARM_PROBABILITY = 1e-5
# Lowest expected fractions of failed and slow responses. They are used if the
# fractions of the other versions are lower.
MIN_FAILED_FRACTION = 0.02
MIN_SLOW_FRACTION = 0.08
# A response of the new version is slow above this multiple of the other
# versions' median latency.
SLOW_FACTOR = 4.0
# A server that has just started is up to this many times slower than later. The
# responses of the other versions are therefore counted as slow above a multiple
# that is lower by this factor.
COLD_START_FACTOR = 2.0
# Fewest responses of the new version for any test, and of the other versions
# for the test of slow responses.
MIN_NEW_RESPONSES = 8
MIN_OTHER_RESPONSES = 20


@attrs.frozen(kw_only=True)
class BinomialFinding:
    """A fault of a new version.

    Attributes:
        route: Route with the fault, or `all`.
        symptom: `failed` or `slow`.
        affected: Number of failed or slow responses of the new version.
        requests: Number of all its responses in the same time span.
        expected_fraction: Fraction of failed or slow responses that is expected
            from the responses of the other versions, from 0 to 1.
    """

    route: str
    symptom: str
    affected: int
    requests: int
    expected_fraction: float

    def __str__(self) -> str:
        return (
            f'{self.affected} of {self.requests} {self.symptom} '
            f'on {self.route}, expected rate {self.expected_fraction:.3f}'
        )


@kernel.register('judges', 'binomial')
class BinomialJudge:
    """Judges each time span separately."""

    def find_fault(
        self, totals: evidence.Totals, version: str
    ) -> evidence.Finding | None:
        """Looks for a reason to roll a version back.

        Args:
            totals: Counts by version and route over one time span.
            version: The new version.

        Returns:
            The fault; None if none was found.
        """
        return find_fault(totals, version)


def find_fault(
    totals: evidence.Totals, version: str
) -> evidence.Finding | None:
    """Looks for a reason to roll a version back.

    Args:
        totals: Counts by version and route over one time span.
        version: The new version.

    Returns:
        The fault; None if none was found.
    """
    routes = sorted({route for _, route in totals})
    for route in routes:
        finding = _find_fault_on_routes(totals, version, [route], route)
        if finding is not None:
            return finding
    return _find_fault_on_routes(totals, version, routes, 'all')


def _find_fault_on_routes(
    totals: evidence.Totals,
    version: str,
    routes: Iterable[str],
    route_name: str,
) -> evidence.Finding | None:
    """Tests the responses of a new version on some routes together.

    Args:
        totals: Counts by version and route over one time span.
        version: The new version.
        routes: Routes whose counts are added up.
        route_name: Name of these routes in the finding.
    """
    tested_routes = set(routes)
    new = evidence.merged(
        counts
        for (each_version, route), counts in totals.items()
        if each_version == version and route in tested_routes
    )
    other = evidence.merged(
        counts
        for (each_version, route), counts in totals.items()
        if each_version != version and route in tested_routes
    )
    if new.requests < MIN_NEW_RESPONSES:
        return None
    failed_fraction = max(
        MIN_FAILED_FRACTION, _estimate_fraction(other.failed, other.requests)
    )
    if (
        _tail_probability(new.requests, new.failed, failed_fraction)
        < ALARM_PROBABILITY
    ):
        return BinomialFinding(
            route=route_name,
            symptom='failed',
            affected=new.failed,
            requests=new.requests,
            expected_fraction=failed_fraction,
        )
    if other.requests < MIN_OTHER_RESPONSES:
        return None
    median_bucket = evidence.quantile_bucket(other, 0.5)
    new_slow = new.slower_than(median_bucket + _bucket_distance(SLOW_FACTOR))
    other_slow = other.slower_than(
        median_bucket + _bucket_distance(SLOW_FACTOR / COLD_START_FACTOR)
    )
    slow_fraction = max(
        MIN_SLOW_FRACTION, _estimate_fraction(other_slow, other.requests)
    )
    if (
        _tail_probability(new.requests, new_slow, slow_fraction)
        < ALARM_PROBABILITY
    ):
        return BinomialFinding(
            route=route_name,
            symptom='slow',
            affected=new_slow,
            requests=new.requests,
            expected_fraction=slow_fraction,
        )
    return None


def _bucket_distance(factor: float) -> int:
    """Returns the number of buckets between a latency and a multiple of it."""
    return round(math.log(factor, evidence.BUCKET_GROWTH_FACTOR))


def _estimate_fraction(affected: int, requests: int) -> float:
    """Estimates the expected fraction from the responses of other versions.

    20 responses, one of them affected, are added to the observed ones. The
    estimate is therefore above an observed fraction below 0.05 and below an
    observed fraction above 0.05.
    """
    return (affected + 1) / (requests + 20)


def _tail_probability(
    requests: int, affected: int, expected_fraction: float
) -> float:
    """Returns an upper bound of the probability of a binomial tail.

    This is the bound of H. Chernoff, "A Measure of Asymptotic Efficiency for
    Tests of a Hypothesis Based on the Sum of Observations", Annals of
    Mathematical Statistics 23 (1952).

    Args:
        requests: Number of trials.
        affected: Lowest number of affected requests in the tail.
        expected_fraction: Expected fraction of affected requests, from 0 to 1.
    """
    fraction = affected / requests
    if fraction <= expected_fraction:
        return 1.0
    if fraction >= 1:
        return expected_fraction**requests
    divergence = fraction * math.log(fraction / expected_fraction) + (
        1 - fraction
    ) * math.log((1 - fraction) / (1 - expected_fraction))
    return math.exp(-requests * divergence)
