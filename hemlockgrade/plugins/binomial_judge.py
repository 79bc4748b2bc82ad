"""Judge plug-in that tests a new version against the others sequentially.

The responses are compared in blocks of consecutive ones, on each route and over
all, so that a fault that all versions share in some time span does not count
against the new version. If the version is not faulty, the failures of a block
are distributed over its responses at random, and the latencies likewise. The
ratio of the likelihoods of what was observed, with a fault and without one, has
a mean of at most 1 then: for failures by the hypergeometric distribution, for
latencies by W. Hoeffding, "Probability Inequalities for Sums of Bounded Random
Variables", Journal of the American Statistical Association 58 (1963), theorem
4. The product of the ratios over the blocks exceeds 1/p with a probability of
at most p, however often one looks. This is the sequential probability ratio
test of A. Wald, "Sequential Tests of Statistical Hypotheses", Annals of
Mathematical Statistics 16 (1945), with the mean over several sizes and starts
of a fault, both symptoms and all routes.

Before the new version gets all requests, all blocks together are tested once
more, which finds weaker faults. The probabilities are combined as in Y.
Hochberg and U. Liberman, "An Extended Simes' Test", Statistics and Probability
Letters 21 (1994).
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math

import attrs

from hemlockgrade import evidence
from hemlockgrade import kernel

# Highest probability that a version without a fault is rolled back by the
# sequential test, at any time in the rollout.
FALSE_ALARM_PROBABILITY = 0.01
# Highest probability that the test before the last stage rolls it back.
FINAL_FALSE_ALARM_PROBABILITY = 0.05
# Highest probability that a version is not rolled back which, from the start,
# fails this fraction of its requests or is slower than the others by this
# factor, if they fail 1 in 100 and this number of responses of the new version
# were compared over the stages.
MISS_PROBABILITY = 0.1
DETECTABLE_FAILED_FRACTION = 0.1
DETECTABLE_LATENCY_FACTOR = 2.0
DETECTABLE_RESPONSES = 170
# A version that fails at most this fraction of its requests is not faulty.
MIN_FAILED_FRACTION = 0.02
# Highest fraction of failed responses of a version without a fault while no
# other version has responses with which they could be compared.
MAX_UNCOMPARED_FAILED_FRACTION = 0.25
# A version whose latency is at most this multiple of the other versions' is not
# faulty.
LATENCY_FACTOR = 1.1
# The same for servers that have just started.
COLD_START_LATENCY_FACTOR = 2.0
# Fewest responses of the new version for any finding.
MIN_NEW_RESPONSES = 8
# Fewest responses of all versions in a block.
MIN_BLOCK_RESPONSES = 40
# Number of failures of all versions that completes a block as well.
MIN_BLOCK_FAILURES = 3
# Fewest responses of the new version in a block without any of the others.
MIN_UNCOMPARED_RESPONSES = 40
# Number of times at which a fault is assumed to begin: at the start and with
# each stage, up to this number.
MAX_STARTS = 4
# Assumed sizes of a fault: factors of the odds that a failure belongs to the
# new version, and shifts of the logarithm of the latency in standard
# deviations.
FAILURE_FACTORS = (2.0, 4.0, 10.0, 40.0)
LATENCY_SHIFTS = (0.25, 0.5, 1.0, 2.0)
# Highest variance of the number of failures for which their distribution is
# computed exactly. A normal distribution approximates it above.
MAX_EXACT_VARIANCE = 25.0
# Latencies further than this from the median are counted as that far, in
# latency buckets.
MAX_BUCKET_DISTANCE = 12
# Fraction of the false alarm probabilities that the tests over all routes use.
# The tests of single routes share the rest.
ALL_ROUTES_WEIGHT = 0.5
# Fraction of the final false alarm probability that the test over the whole
# rollout uses. The tests from a later stage on share the rest.
WHOLE_ROLLOUT_WEIGHT = 0.5

ALL_ROUTES = 'all'


@attrs.frozen(kw_only=True)
class SequentialFinding:
    """A fault of a new version.

    Attributes:
        route: Route with the fault, or `all`.
        symptom: `failed` or `slow`.
        requests: Number of responses of the new version on these routes.
        failed: Number of its failures.
        probability: Probability of such an observation on a version without a
            fault, at most.
    """

    route: str
    symptom: str
    requests: int
    failed: int
    probability: float

    def __str__(self) -> str:
        return (
            f'{self.symptom} on {self.route}, {self.failed} of '
            f'{self.requests} failed, probability by chance '
            f'{self.probability:.1g}'
        )


@kernel.register('judges', 'binomial')
class BinomialJudge:
    """Starts a sequential test for each rollout."""

    def start(self, version: str) -> evidence.Trial:
        """Starts the test of a new version.

        Args:
            version: The new version.
        """
        return SequentialTrial(version)


@attrs.define
class _Suffix:
    """Evidence of one symptom on one route or all, from some time on.

    Attributes:
        log_ratios: Logarithms of the products of the ratios of the blocks, by
            assumed size of the fault.
        min_mean_score: Lowest mean score that counts as a fault.
        observed: Sum of the scores of the new version.
        expected: Its expectation if the version is not faulty.
        variance: Variance of the sum of the scores.
        draws: Numbers of responses of the new version, of responses and of
            failures of all versions in the blocks with failures.
        requests: Number of responses of the new version.
    """

    log_ratios: list[float]
    min_mean_score: float
    observed: float = 0.0
    expected: float = 0.0
    variance: float = 0.0
    draws: list[tuple[int, int, int]] = attrs.field(factory=list)
    requests: int = 0

    def add(self, block: '_BlockEvidence') -> None:
        """Adds the evidence of a block of responses."""
        for index, log_ratio in enumerate(block.log_ratios):
            self.log_ratios[index] += log_ratio
        self.observed += block.observed
        self.expected += block.expected
        self.variance += block.variance
        if block.draw is not None:
            self.draws.append(block.draw)
        self.requests += block.requests

    @property
    def is_notable(self) -> bool:
        """Whether the mean score is high enough for a fault."""
        return self.observed >= self.min_mean_score * self.requests

    def log_mixture(self) -> float:
        """Returns the logarithm of the mixture over the sizes of the fault.

        It counts against the version only if the sum of the scores is high
        enough.
        """
        log_mixture = _log_mean(self.log_ratios)
        return log_mixture if self.is_notable else min(log_mixture, 0.0)


@attrs.frozen(kw_only=True)
class _BlockEvidence:
    """Evidence of one symptom in a block.

    Attributes:
        log_ratios: Logarithms of the ratios of the likelihoods, by assumed size
            of the fault.
        observed: Sum of the scores of the new version.
        expected: Its expectation if the version is not faulty.
        variance: Its variance.
        draw: Numbers of responses of the new version, of responses and of
            failures of all versions; None without failures.
        requests: Number of responses of the new version.
    """

    log_ratios: Sequence[float]
    observed: float = 0.0
    expected: float = 0.0
    variance: float = 0.0
    draw: tuple[int, int, int] | None = None
    requests: int = 0


@attrs.define
class _Process:
    """Evidence of one symptom on one route or all.

    Attributes:
        size_count: Number of assumed sizes of the fault.
        min_mean_score: Lowest mean score that counts as a fault.
        suffixes: Evidence from the start and from each later stage on.
    """

    size_count: int
    min_mean_score: float
    suffixes: list[_Suffix] = attrs.field(factory=list)

    def start(self) -> None:
        """Starts to collect evidence of a fault that begins now."""
        if len(self.suffixes) < MAX_STARTS:
            self.suffixes.append(
                _Suffix([0.0] * self.size_count, self.min_mean_score)
            )

    def add(self, block: _BlockEvidence) -> None:
        """Adds the evidence of a block of responses."""
        for suffix in self.suffixes:
            suffix.add(block)

    def log_mean_ratio(self) -> float:
        """Returns the logarithm of the mixture over starts and sizes."""
        unused = [0.0] * (MAX_STARTS - len(self.suffixes))
        return _log_mean(
            [*(suffix.log_mixture() for suffix in self.suffixes), *unused]
        )


@attrs.define
class _Route:
    """Evidence on one route, or on all of them.

    Attributes:
        failed: Evidence of failures.
        slow: Evidence of slow responses.
        new: Counts of the new version in the current block.
        other: Counts of the other versions in the current block.
        is_cold: True if servers may have just started in the current block.
        new_total: Counts of the new version in all blocks.
        other_total: Counts of the other versions in the earlier blocks.
    """

    failed: _Process = attrs.field(
        factory=lambda: _Process(len(FAILURE_FACTORS), MIN_FAILED_FRACTION)
    )
    slow: _Process = attrs.field(
        factory=lambda: _Process(len(LATENCY_SHIFTS), 0.0)
    )
    new: evidence.Counts = attrs.field(factory=evidence.Counts)
    other: evidence.Counts = attrs.field(factory=evidence.Counts)
    is_cold: bool = False
    new_total: evidence.Counts = attrs.field(factory=evidence.Counts)
    other_total: evidence.Counts = attrs.field(factory=evidence.Counts)

    @property
    def is_block_complete(self) -> bool:
        """Whether the current block has enough responses.

        The test is valid only if that does not depend on whose responses
        failed or were slow.
        """
        if not self.other.requests:
            return self.new.requests >= MIN_UNCOMPARED_RESPONSES
        if not self.new.requests:
            return False
        return (
            self.new.requests + self.other.requests >= MIN_BLOCK_RESPONSES
            or self.new.failed + self.other.failed >= MIN_BLOCK_FAILURES
        )

    def start(self) -> None:
        """Starts to collect evidence of a fault that begins now."""
        self.failed.start()
        self.slow.start()

    def add(self, counts: evidence.Counts, is_new: bool) -> None:
        """Adds responses of one version to the current block."""
        (self.new if is_new else self.other).merge(counts)
        if is_new:
            self.new_total.merge(counts)

    def end_block(self) -> None:
        """Adds the evidence of the current block and starts the next one."""
        if self.new.requests:
            self.failed.add(_compare_failures(self.new, self.other))
            if self.other.requests:
                self.slow.add(
                    _compare_latencies(
                        self.new, self.other, self._latency_shift()
                    )
                )
        self.other_total.merge(self.other)
        self.new = evidence.Counts()
        self.other = evidence.Counts()
        self.is_cold = False

    def _latency_shift(self) -> float:
        """Returns the shift of the latency that is no fault, in buckets.

        Latencies of the other versions that vary by less than a bucket may
        seem to differ by a whole one.
        """
        if self.is_cold:
            return _bucket_distance(COLD_START_LATENCY_FACTOR)
        if _bucket_variance(self.other_total) < 1:
            return 1.0
        return _bucket_distance(LATENCY_FACTOR)


@attrs.frozen(kw_only=True)
class _FinalResult:
    """Result of one of the tests before a rollout is completed.

    Attributes:
        probability: Probability of so many failures, or of so slow responses,
            if the version is not faulty.
        weight: Weight of the test; the weights of all add up to 1 at most.
        route_name: Name of the tested route, or `all`.
        route: Evidence on it.
        symptom: `failed` or `slow`.
    """

    probability: float
    weight: float
    route_name: str
    route: _Route
    symptom: str


@attrs.define
class SequentialTrial:
    """Sequential test of one new version.

    Attributes:
        version: The new version.
    """

    version: str
    _route_by_name: dict[str, _Route] = attrs.field(factory=dict)
    _all_routes: _Route = attrs.field(factory=_Route)
    _start_count: int = 1
    _totals: dict[tuple[str, str], evidence.Counts] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._all_routes.start()

    def start_stage(self) -> None:
        """Notes that the traffic share of the new version is raised."""
        self._start_count += 1
        for route in [*self._route_by_name.values(), self._all_routes]:
            route.start()

    def observe(
        self, totals: evidence.Totals, is_cold: bool
    ) -> evidence.Finding | None:
        """Adds the responses since the last call and looks for a fault.

        Args:
            totals: Counts by version and route since the start of the trial.
            is_cold: True if servers of the new version may just have started.

        Returns:
            The fault; None if none was found.
        """
        for key, counts in totals.items():
            version, name = key
            route = self._route_by_name.get(name)
            if route is None:
                route = self._route_by_name[name] = _Route()
                for _ in range(self._start_count):
                    route.start()
            earlier = self._totals.get(key)
            added = counts if earlier is None else counts.minus(earlier)
            for each in (route, self._all_routes):
                each.add(added, version == self.version)
        self._totals = {
            key: evidence.merged([counts]) for key, counts in totals.items()
        }
        for route in [*self._route_by_name.values(), self._all_routes]:
            route.is_cold = route.is_cold or is_cold
            if route.is_block_complete:
                route.end_block()
        return self._find_fault()

    def conclude(self) -> evidence.Finding | None:
        """Tests all responses together, before the last stage.

        Returns:
            The fault; None if none was found.
        """
        for route in [*self._route_by_name.values(), self._all_routes]:
            route.end_block()
        finding = self._find_fault()
        if finding is not None:
            return finding
        results = [
            _FinalResult(
                probability=probability_of(suffix),
                weight=weight
                * (
                    (1 - WHOLE_ROLLOUT_WEIGHT) / (MAX_STARTS - 1)
                    if index
                    else WHOLE_ROLLOUT_WEIGHT
                ),
                route_name=name,
                route=route,
                symptom=symptom,
            )
            for name, route, weight in self._weighted_routes()
            for symptom, process, probability_of in (
                ('failed', route.failed, _failed_tail_probability),
                ('slow', route.slow, _slow_tail_probability),
            )
            for index, suffix in enumerate(process.suffixes)
        ]
        results.sort(key=lambda result: result.probability)
        weight_sum = 0.0
        for result in results:
            weight_sum += result.weight
            probability = result.probability / weight_sum
            if probability <= FINAL_FALSE_ALARM_PROBABILITY:
                return self._create_finding(
                    results[0].route_name,
                    results[0].route,
                    results[0].symptom,
                    probability,
                )
        return None

    def _weighted_routes(self) -> list[tuple[str, _Route, float]]:
        """Returns the name, the evidence and the weight of all tested routes.

        The weight is that of each of the two symptoms; routes with too few
        responses are left out.
        """
        if not self._route_by_name:
            return []
        weight = (1 - ALL_ROUTES_WEIGHT) / 2 / len(self._route_by_name)
        routes = [
            (name, route, weight) for name, route in self._route_by_name.items()
        ]
        routes.append((ALL_ROUTES, self._all_routes, ALL_ROUTES_WEIGHT / 2))
        return [
            entry
            for entry in routes
            if entry[1].new_total.requests >= MIN_NEW_RESPONSES
        ]

    def _find_fault(self) -> evidence.Finding | None:
        """Compares the mean of all ratios with the false alarm probability."""
        entries = [
            (math.log(weight) + process.log_mean_ratio(), name, route, symptom)
            for name, route, weight in self._weighted_routes()
            for symptom, process in (
                ('failed', route.failed),
                ('slow', route.slow),
            )
        ]
        if not entries:
            return None
        log_ratio_mean = _log_sum([entry[0] for entry in entries])
        if log_ratio_mean < -math.log(FALSE_ALARM_PROBABILITY):
            return None
        _, name, route, symptom = max(entries, key=lambda entry: entry[0])
        return self._create_finding(
            name, route, symptom, math.exp(-log_ratio_mean)
        )

    def _create_finding(
        self, name: str, route: _Route, symptom: str, probability: float
    ) -> SequentialFinding:
        return SequentialFinding(
            route=name,
            symptom=symptom,
            requests=route.new_total.requests,
            failed=route.new_total.failed,
            probability=probability,
        )


def _compare_failures(
    new: evidence.Counts, other: evidence.Counts
) -> _BlockEvidence:
    """Compares the failures in a block.

    Without responses of the other versions, the failures of the new one are
    compared with `MAX_UNCOMPARED_FAILED_FRACTION`.
    """
    if not other.requests:
        return _BlockEvidence(
            log_ratios=_absolute_log_ratios(
                new, MAX_UNCOMPARED_FAILED_FRACTION
            ),
            observed=new.failed,
            expected=new.failed,
            draw=(new.requests, new.requests, new.failed),
            requests=new.requests,
        )
    affected = new.failed + other.failed
    total = new.requests + other.requests
    fraction = affected / total
    lowest, probabilities = _hypergeometric(new.requests, total, affected)
    return _BlockEvidence(
        log_ratios=[
            new.failed * math.log(factor)
            - _log_sum(
                number * math.log(factor) + math.log(probability)
                for number, probability in enumerate(probabilities, lowest)
                if probability > 0
            )
            for factor in FAILURE_FACTORS
        ],
        observed=new.failed,
        expected=new.requests * fraction,
        variance=(
            new.requests
            * other.requests
            / max(total - 1, 1)
            * fraction
            * (1 - fraction)
        ),
        draw=(new.requests, total, affected) if affected else None,
        requests=new.requests,
    )


def _absolute_log_ratios(new: evidence.Counts, fraction: float) -> list[float]:
    """Compares the failures of the new version with a fixed fraction."""
    return [
        new.failed * math.log(factor)
        - new.requests * math.log1p((factor - 1) * fraction)
        for factor in FAILURE_FACTORS
    ]


def _compare_latencies(
    new: evidence.Counts, other: evidence.Counts, new_shift: float
) -> _BlockEvidence:
    """Compares the latencies in a block.

    The score of a response is the bucket of its latency, in standard deviations
    from the mean of the block.

    Args:
        new: Counts of the new version.
        other: Counts of the other versions, one at least.
        new_shift: Number of buckets by which the latencies of the new version
            are reduced.
    """
    origin = evidence.quantile_bucket(other, 0.5)
    # Distance from the origin in buckets, responses of the new version there,
    # and those of the others.
    cells = [
        (
            max(-MAX_BUCKET_DISTANCE, min(distance, MAX_BUCKET_DISTANCE)),
            new_count,
            other_count,
        )
        for counts, shift, is_new in (
            (new, new_shift, True),
            (other, 0.0, False),
        )
        for bucket, count in enumerate(counts.buckets)
        if count
        for distance in [bucket - shift - origin]
        for new_count, other_count in [(count, 0) if is_new else (0, count)]
    ]
    total = new.requests + other.requests
    mean = sum(value * (a + b) for value, a, b in cells) / total
    variance = sum((value - mean) ** 2 * (a + b) for value, a, b in cells)
    # Latencies that differ by less than a bucket are not told apart.
    deviation = math.sqrt(max(variance / total, 1.0))
    scores = [((value - mean) / deviation, a, b) for value, a, b in cells]
    new_sum = sum(score * count for score, count, _ in scores)
    # The bound is closer for the smaller group. The scores of both groups add
    # up to 0, so that it has the sum of the new version or its opposite.
    sign = 1 if new.requests <= other.requests else -1
    drawn_requests = min(new.requests, other.requests)
    return _BlockEvidence(
        log_ratios=[
            shift * new_sum
            - drawn_requests
            * math.log(
                sum(
                    (a + b) * math.exp(sign * shift * score)
                    for score, a, b in scores
                )
                / total
            )
            for shift in LATENCY_SHIFTS
        ],
        observed=new_sum,
        variance=(
            new.requests
            * other.requests
            / max(total - 1, 1)
            * (variance / total)
            / deviation**2
        ),
        requests=new.requests,
    )


def _bucket_distance(factor: float) -> float:
    """Returns the number of buckets between a latency and a multiple of it."""
    return math.log(factor, evidence.BUCKET_GROWTH_FACTOR)


def _bucket_variance(counts: evidence.Counts) -> float:
    """Returns the variance of the buckets of latencies; 0 without any."""
    total = max(sum(counts.buckets), 1)
    mean = sum(b * count for b, count in enumerate(counts.buckets)) / total
    return (
        sum((b - mean) ** 2 * count for b, count in enumerate(counts.buckets))
        / total
    )


def _failed_tail_probability(suffix: _Suffix) -> float:
    """Returns how likely as many failures are on a version without a fault."""
    observed = round(suffix.observed)
    if observed <= suffix.expected or not suffix.is_notable:
        return 1.0
    if suffix.variance > MAX_EXACT_VARIANCE:
        return _normal_tail(
            (observed - 0.5 - suffix.expected) / math.sqrt(suffix.variance)
        )
    return _draws_tail(suffix.draws, observed)


def _slow_tail_probability(suffix: _Suffix) -> float:
    """Returns how likely so slow responses are without a fault.

    The sum of the scores is taken as normally distributed.
    """
    if suffix.variance <= 0:
        return 1.0
    return _normal_tail(suffix.observed / math.sqrt(suffix.variance))


def _normal_tail(deviations: float) -> float:
    """Returns the probability of at least so many standard deviations."""
    return 0.5 * math.erfc(deviations / math.sqrt(2))


def _draws_tail(draws: Iterable[tuple[int, int, int]], least: int) -> float:
    """Returns the probability of at least a number of failures.

    Half of the probability of the number itself counts, as in H. O. Lancaster,
    "Significance Tests in Discrete Distributions", Journal of the American
    Statistical Association 56 (1961).

    Args:
        draws: For each block, the number of responses that are drawn from it,
            the number of its responses and the number of its failures.
        least: Lowest number of failures among the drawn responses in the tail.
    """
    # Probability of each number of failures up to `least`.
    probabilities = [1.0]
    for drawn, total, failed in draws:
        lowest, block = _hypergeometric(drawn, total, failed)
        size = min(len(probabilities) + lowest + len(block) - 1, least + 1)
        summed = [0.0] * size
        for index, probability in enumerate(probabilities):
            for offset, block_probability in enumerate(block, index + lowest):
                if offset >= size:
                    break
                summed[offset] += probability * block_probability
        probabilities = summed
    if least < len(probabilities):
        probabilities[least] /= 2
    return max(1.0 - math.fsum(probabilities), 0.0)


def _hypergeometric(
    drawn: int, total: int, failed: int
) -> tuple[int, list[float]]:
    """Returns a hypergeometric distribution.

    Returns:
        The lowest number of failures among the drawn responses, and the
        probabilities of this number and the following ones.
    """
    lowest = max(0, drawn + failed - total)
    highest = min(drawn, failed)
    weights = [1.0]
    for number in range(lowest, highest):
        weights.append(
            weights[-1]
            * (drawn - number)
            * (failed - number)
            / (number + 1)
            / (total - drawn - failed + number + 1)
        )
    whole = math.fsum(weights)
    return lowest, [weight / whole for weight in weights]


def _log_sum(logs: Iterable[float]) -> float:
    """Returns the logarithm of a sum of numbers given by their logarithms."""
    values = list(logs)
    highest = max(values)
    return highest + math.log(sum(math.exp(v - highest) for v in values))


def _log_mean(logs: Sequence[float]) -> float:
    """Returns the logarithm of a mean of numbers given by their logarithms."""
    return _log_sum(logs) - math.log(len(logs))
