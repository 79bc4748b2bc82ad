"""Simulates the decisions of the rollout holder on generated rollouts.

Runs in virtual time and without a network; the same seed gives the same output.
Prints one line of JSON per case, then a summary. The exit code is 1 if in some
case a faulty version kept a traffic share for longer than
`MAX_DETECTABLE_TO_NO_SHARE_S` after all responses together had become
sufficient for the judge to find the fault.
"""

import argparse
import asyncio
import concurrent.futures
import copy
import heapq
import itertools
import json
import math
import random
import statistics
import sys
import time

import attrs
from loguru import logger

from hemlockgrade import directory
from hemlockgrade import evidence
from hemlockgrade import model
from hemlockgrade import rollout_task
from hemlockgrade.plugins import binomial_judge

STEP_INTERVAL_S = rollout_task.STEP_INTERVAL_S
# Largest fraction of a service's requests that a bad version may get.
EXPOSED_SHARE = 0.1
# Longest time for which a faulty version may keep its traffic share after the
# fault can be detected, in seconds. The users require this limit; the benchmark
# of the former judge used the same one.
MAX_DETECTABLE_TO_NO_SHARE_S = 3.0
# Shortest and longest delay, in seconds, until the holder has fetched the
# response statistics of a step from the daemons.
STATISTICS_DELAY_RANGE_S = (0.0, 0.1)
# Shortest and longest delay, in seconds, until daemons apply a new traffic
# share: a write to the store, then a watch with the wait between two watches.
SHARE_DELAY_RANGE_S = (0.01, 0.4)
# Fractions of the service's requests by route.
WEIGHT_BY_ROUTE = {'/booking': 0.6, '/fees': 0.3, '/permits': 0.1}
# Median latency without a fault, in seconds, and standard deviation of the
# logarithm of the latency.
LATENCY_MEDIAN_S = 0.02
LATENCY_SIGMA = 0.6
REQUEST_RATES_PER_S = (5, 20, 100, 500, 2000)
# Times allowed for a rollout, in seconds. Orders of the platform allow 12 to
# 16 s.
ROLLOUT_DURATIONS_S = (12, 30, 60, 120)
# Fractions of failed responses of a version without a fault.
BASE_ERROR_FRACTIONS = (0.0, 0.002, 0.01, 0.03)
# Kinds of cases in which the new version has no fault of its own. In
# `good_noise`, the conditions of both versions vary all the time; in
# `good_fault_on_both`, both versions fail and slow down for some time.
GOOD_KINDS = ('good', 'good_noise', 'good_fault_on_both')
# Kinds of cases in which only the new version has a fault.
BAD_KINDS = (
    'bad_at_once',
    'bad_late',
    'bad_under_load',
    'bad_one_route',
    'slow',
    'slow_one_route',
)
# A lower mean number of requests per step and route counts as no traffic.
MIN_MEAN_REQUESTS = 1e-9


@attrs.frozen(kw_only=True)
class Case:
    """A generated rollout; the attributes are part of the output.

    Attributes:
        kind: One of `GOOD_KINDS` and `BAD_KINDS`.
        seed: Seed of the random numbers; unique among the cases.
        requests_per_s: Mean request rate of the service.
        deadline_s: Time allowed for the rollout, in seconds.
        base_error_rate: Fraction of failed responses without a fault.
        fault_error_rate: Fraction of failed responses while the fault is
            active.
        slow_factor: Factor by which the fault increases the latency.
        late_s: Time after which a late or temporary fault starts, in seconds.
        load_limit: Traffic share, as a fraction of 1, above which a version
            fails that is faulty under load.
        route: Route with the fault if only one route has it.
    """

    kind: str
    seed: int
    requests_per_s: int
    deadline_s: int
    base_error_rate: float
    fault_error_rate: float
    slow_factor: float
    late_s: float
    load_limit: float
    route: str

    @property
    def good(self) -> bool:
        return self.kind in GOOD_KINDS


def generate_cases(seeds: int) -> list[Case]:
    cases = []
    combinations = itertools.product(
        range(seeds),
        GOOD_KINDS + BAD_KINDS,
        REQUEST_RATES_PER_S,
        ROLLOUT_DURATIONS_S,
    )
    for index, (seed, kind, rate, deadline_s) in enumerate(combinations):
        random_source = random.Random(f'{seed}/{kind}/{rate}/{deadline_s}')
        cases.append(
            Case(
                kind=kind,
                seed=index,
                requests_per_s=rate,
                deadline_s=deadline_s,
                base_error_rate=random_source.choice(BASE_ERROR_FRACTIONS),
                fault_error_rate=random_source.choice(
                    (0.05, 0.1, 0.3, 0.5, 1.0)
                ),
                slow_factor=random_source.choice((1.5, 2.0, 4.0)),
                late_s=random_source.uniform(0.1, 0.6) * deadline_s,
                load_limit=random_source.uniform(0.1, 0.8),
                route=random_source.choice(list(WEIGHT_BY_ROUTE)),
            )
        )
    return cases


class SimulatedService:
    """Generates responses of both versions, with the fault of the case."""

    def __init__(self, case: Case, random_source: random.Random):
        self.case = case
        self.random_source = random_source
        self.first_failure_at: float | None = None

    def counts(
        self, elapsed_s: float, share: float, new: bool, route: str
    ) -> tuple[int, int, list[int]]:
        """Generates the responses of one step on one route.

        Args:
            elapsed_s: Time since the start of the rollout, in seconds.
            share: Traffic share of the new version, as a fraction of 1.
            new: True for the new version, False for the old one.
            route: The route.

        Returns:
            Number of requests, number of failures and the number of responses
            in each latency bucket.
        """
        case = self.case
        version_share = share if new else 1 - share
        mean_requests = (
            case.requests_per_s
            * STEP_INTERVAL_S
            * version_share
            * WEIGHT_BY_ROUTE[route]
        )
        requests = poisson(self.random_source, mean_requests)
        if not requests:
            return 0, 0, []
        error_fraction, latency_factor = self._conditions_without_fault(
            elapsed_s
        )
        is_fault_active = new and self._is_fault_active(elapsed_s, share, route)
        if is_fault_active and case.kind.startswith('slow'):
            latency_factor *= case.slow_factor
        elif is_fault_active:
            error_fraction = max(error_fraction, case.fault_error_rate)
        errors = binomial(self.random_source, requests, error_fraction)
        buckets = [0] * evidence.BUCKET_COUNT
        for index in self.random_source.choices(
            range(evidence.BUCKET_COUNT),
            cum_weights=cumulative_buckets(latency_factor),
            k=requests,
        ):
            buckets[index] += 1
        has_symptom = errors or case.kind.startswith('slow')
        if is_fault_active and has_symptom and self.first_failure_at is None:
            self.first_failure_at = elapsed_s
        return requests, errors, buckets

    def _conditions_without_fault(
        self, elapsed_s: float
    ) -> tuple[float, float]:
        """Returns the error fraction and latency factor of both versions."""
        case = self.case
        if case.kind == 'good_noise':
            wave = math.sin(elapsed_s / 7 + case.seed)
            error_fraction = max(case.base_error_rate, 0.01) * (1 + wave)
            return error_fraction, 1 + 0.3 * math.sin(elapsed_s / 11)
        if case.kind == 'good_fault_on_both':
            start = case.late_s
            if start <= elapsed_s < start + min(20, case.deadline_s / 6):
                return max(0.2, case.base_error_rate), 2.0
        return case.base_error_rate, 1.0

    def _is_fault_active(self, elapsed_s, share, route) -> bool:
        """Returns whether the new version shows its fault."""
        case = self.case
        if case.kind == 'bad_late':
            return elapsed_s >= case.late_s
        if case.kind == 'bad_under_load':
            return share > case.load_limit
        if case.kind in ('bad_one_route', 'slow_one_route'):
            return route == case.route
        return case.kind in ('bad_at_once', 'slow')


class SimulatedTask(rollout_task.RolloutTask):
    """Rollout task that reads simulated statistics and writes to no store.

    Attributes:
        totals: Counts by version and route that the holder has fetched.
    """

    totals: evidence.Totals

    async def _collect_statistics(self, share, progress):
        progress.totals = copy.deepcopy(self.totals)
        return True

    async def _write_share(self, share):
        self.directory.apply_share(
            attrs.evolve(share, revision=share.revision + 1), 'own'
        )


class RolloutHolder:
    """Rollout task of the package with a directory of two servers."""

    def __init__(self, case: Case, clock):
        self.directory = directory.Directory('sim')
        self.judge = binomial_judge.BinomialJudge()
        for number, version in enumerate(('old', 'new'), 1):
            self.directory.apply_member(create_member(version, number), 'sim')
        self.task = SimulatedTask(
            host_name='sim',
            store=None,
            directory=self.directory,
            pool=None,
            clock=clock,
            judge=self.judge,
            exposed_share=EXPOSED_SHARE,
        )
        self.order = model.RolloutOrder(
            key='s',
            service='s',
            version='new',
            duration_s=case.deadline_s,
            revision=1,
            created_number=1,
            stores_outcome=False,
        )
        self.directory.apply_share(
            model.VersionShare(
                key='s',
                service='s',
                version='new',
                permille=0,
                state=model.RolloutState.RUNNING,
                holder='sim',
                epoch=1,
                finish_by=time.time() + case.deadline_s,
                order_revision=1,
                revision=10,
            ),
            'sim',
        )

    @property
    def share(self) -> model.VersionShare:
        return self.directory.share_by_key['s']

    @property
    def stage(self) -> int:
        """Index of the current stage; -1 before the first one."""
        progress = self.task._progress_by_key.get('s')
        return -1 if progress is None else progress.stage

    @property
    def is_new_version_cold(self) -> bool:
        """Whether the responses of the current step count as cold."""
        progress = self.task._progress_by_key.get('s')
        return progress is None or progress.is_cold

    async def decide(self, totals: evidence.Totals) -> None:
        """Runs one step of the rollout task on the given counts."""
        self.task.totals = totals
        await self.task._decide(self.order, self.share)


def create_member(version: str, number: int) -> model.Member:
    server = model.Server(
        server_id=version,
        service='s',
        address='127.0.0.1:1',
        zone='a',
        version=version,
        slots=18,
        state=model.ServerState.READY,
        born_ms=number,
    )
    return model.Member(
        name=version,
        address='127.0.0.1:2',
        zone='a',
        boot_id='x',
        server=server,
        revision=number,
    )


class Simulation:
    """Simulates one rollout in steps of virtual time.

    Attributes:
        case: The rollout.
        random_source: Source of all random numbers of the case.
        service: Generates the responses.
        now: Virtual time in seconds since the start.
        holder: The rollout task under test.
        all_totals: Counts of all responses so far, by version and route.
        fetched_totals: Those of `all_totals` that the holder has fetched.
        pending_counts: Counts on their way to the holder, as a heap by arrival.
        pending_shares: New traffic shares and the times at which they apply.
        generated: All counts, in the order in which they were generated.
        share: Traffic share of the new version, as a fraction of 1.
        max_share: Highest traffic share so far.
        new_requests: Number of requests to the new version so far.
        no_share_at: Time at which the new version lost its traffic share.
        trial: Trial of the judge that gets the responses without a delay.
        detectable_at: Time at which `trial` first finds a fault.
    """

    def __init__(self, case: Case):
        self.case = case
        self.random_source = random.Random(f'{case.seed}/{case.kind}')
        self.service = SimulatedService(case, self.random_source)
        self.now = 0.0
        self.holder = RolloutHolder(case, lambda: self.now)
        self.all_totals: dict = {}
        self.fetched_totals: dict = {}
        self.pending_counts: list = []
        self.pending_shares: list = []
        self.generated: list = []
        self.share = self.max_share = 0.0
        self.new_requests = 0
        self.no_share_at: float | None = None
        self.trial = self.holder.judge.start('new')
        self.detectable_at: float | None = None

    async def run(self) -> dict:
        steps = int(self.case.deadline_s / STEP_INTERVAL_S)
        for index in range(steps):
            self.now = index * STEP_INTERVAL_S
            self._apply_due()
            self._generate_responses()
            await self._decide()
            if self._is_finished():
                break
        return self._result()

    def _is_finished(self) -> bool:
        state = self.holder.share.state
        if state is model.RolloutState.ROLLED_BACK:
            return not self.share
        return state is model.RolloutState.DONE

    def _apply_due(self) -> None:
        """Applies the counts and traffic shares whose delay has passed."""
        while self.pending_counts and self.pending_counts[0][0] <= self.now:
            _, _, key, counts = heapq.heappop(self.pending_counts)
            self.fetched_totals.setdefault(key, evidence.Counts()).merge(counts)
        while self.pending_shares and self.pending_shares[0][0] <= self.now:
            self.share = self.pending_shares.pop(0)[1]
            self.max_share = max(self.max_share, self.share)
            if not self.share and self.new_requests:
                self.no_share_at = self.now

    def _generate_responses(self) -> None:
        """Generates the responses of one step."""
        arrives_at = self.now + self.random_source.uniform(
            *STATISTICS_DELAY_RANGE_S
        )
        for route, new in itertools.product(WEIGHT_BY_ROUTE, (True, False)):
            requests, errors, buckets = self.service.counts(
                self.now, self.share, new, route
            )
            if not requests:
                continue
            self.new_requests += requests * new
            counts = evidence.Counts(requests, errors, buckets)
            key = ('new' if new else 'old', route)
            self.all_totals.setdefault(key, evidence.Counts()).merge(counts)
            entry = (arrives_at, len(self.generated), key, counts)
            self.generated.append(entry)
            heapq.heappush(self.pending_counts, entry)

    async def _decide(self) -> None:
        """Lets the holder decide and schedules a changed traffic share."""
        share = self.holder.share
        if share.state is not model.RolloutState.RUNNING:
            return
        stage = self.holder.stage
        await self.holder.decide(self.fetched_totals)
        if self.holder.stage > max(stage, 0):
            self.trial.start_stage()
        self._update_detectable_at()
        decided = self.holder.share
        if decided.permille != share.permille or (
            decided.state is not model.RolloutState.RUNNING
        ):
            applies_at = self.now + self.random_source.uniform(
                *SHARE_DELAY_RANGE_S
            )
            self.pending_shares.append((applies_at, decided.permille / 1000))

    def _update_detectable_at(self) -> None:
        """Records when all responses together first show the fault."""
        if self.case.good or self.detectable_at is not None:
            return
        finding = self.trial.observe(
            self.all_totals, self.holder.is_new_version_cold
        )
        if finding is not None:
            self.detectable_at = self.now

    def _result(self) -> dict:
        share = self.holder.share
        first_failure_at = self.service.first_failure_at
        failure_to_no_share_s = detectable_to_no_share_s = None
        if share.state is model.RolloutState.ROLLED_BACK:
            if first_failure_at is not None and self.no_share_at is not None:
                failure_to_no_share_s = max(
                    self.no_share_at - first_failure_at, 0.0
                )
            if self.detectable_at is not None and self.no_share_at is not None:
                detectable_to_no_share_s = self.no_share_at - self.detectable_at
        return {
            **attrs.asdict(self.case),
            'state': share.state.value,
            'bad_share_max': self.max_share,
            'failure_to_no_share_s': rounded(failure_to_no_share_s),
            'shown_to_no_share_s': rounded(detectable_to_no_share_s),
            'reason': share.reason,
        }


def rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 2)


def poisson(random_source: random.Random, mean: float) -> int:
    """Draws from a Poisson distribution.

    With a mean above 50, a normal distribution approximates it.
    """
    if mean < MIN_MEAN_REQUESTS:
        return 0
    if mean > 50:
        return max(round(random_source.gauss(mean, math.sqrt(mean))), 0)
    threshold, product, count = math.exp(-mean), random_source.random(), 0
    while product > threshold:
        product *= random_source.random()
        count += 1
    return count


def binomial(
    random_source: random.Random, trials: int, probability: float
) -> int:
    """Draws from a binomial distribution."""
    if probability <= 0:
        return 0
    return sum(random_source.random() < probability for _ in range(trials))


_CUMULATIVE_BUCKETS_BY_FACTOR: dict[float, list[float]] = {}


def cumulative_buckets(factor: float) -> list[float]:
    """Returns the cumulative probabilities of the latency buckets.

    Args:
        factor: Factor by which the median latency is multiplied.
    """
    factor = round(factor, 2)
    if factor not in _CUMULATIVE_BUCKETS_BY_FACTOR:
        normal = statistics.NormalDist(
            math.log(LATENCY_MEDIAN_S * factor), LATENCY_SIGMA
        )
        _CUMULATIVE_BUCKETS_BY_FACTOR[factor] = [
            *(
                normal.cdf(
                    math.log(
                        evidence.FIRST_BUCKET_BOUND_S
                        * evidence.BUCKET_GROWTH_FACTOR**index
                    )
                )
                for index in range(evidence.BUCKET_COUNT - 1)
            ),
            1.0,
        ]
    return _CUMULATIVE_BUCKETS_BY_FACTOR[factor]


def summarize(results: list[dict]) -> dict:
    good = [r for r in results if r['kind'] in GOOD_KINDS]
    bad = [r for r in results if r['kind'] in BAD_KINDS]
    summary: dict = {'cases': len(results)}
    summary['good_done'] = count_in_state(good, 'done')
    summary['bad_rolled_back'] = count_in_state(bad, 'rolled_back')
    for kind in GOOD_KINDS + BAD_KINDS:
        expected_state = 'done' if kind in GOOD_KINDS else 'rolled_back'
        results_of_kind = [r for r in results if r['kind'] == kind]
        summary[kind] = count_in_state(results_of_kind, expected_state)
    for key, values in (
        ('requests_per_s', REQUEST_RATES_PER_S),
        ('deadline_s', ROLLOUT_DURATIONS_S),
    ):
        summary[f'good_done_by_{key}'] = {
            value: count_in_state([r for r in good if r[key] == value], 'done')
            for value in values
        }
    for name in ('failure_to_no_share_s', 'shown_to_no_share_s'):
        summary[name] = quantiles([r[name] for r in bad if r[name] is not None])
    over_limit = [
        r
        for r in bad
        if (r['shown_to_no_share_s'] or 0.0) > MAX_DETECTABLE_TO_NO_SHARE_S
    ]
    summary['over_limit'] = len(over_limit)
    return summary


def count_in_state(results: list[dict], state: str) -> str:
    """Returns the number of results in a state and of all, as `n/total`."""
    return f'{sum(r["state"] == state for r in results)}/{len(results)}'


def quantiles(values: list[float]) -> dict | None:
    if not values:
        return None
    ordered = sorted(values)

    def at(fraction: float) -> float:
        return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]

    return {
        'n': len(ordered),
        'p50': at(0.5),
        'p99': at(0.99),
        'max': ordered[-1],
    }


def run_one(case: Case) -> dict:
    logger.remove()
    return asyncio.run(Simulation(case).run())


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--seeds',
        type=int,
        default=2,
        help='number of cases of each combination',
    )
    parser.add_argument('--kinds', default=','.join(GOOD_KINDS + BAD_KINDS))
    parser.add_argument('--workers', type=int, default=4)
    parser.add_argument(
        '--summary', action='store_true', help='print only the summary'
    )
    options = parser.parse_args()
    kinds = options.kinds.split(',')
    cases = [c for c in generate_cases(options.seeds) if c.kind in kinds]
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        results = list(pool.map(run_one, cases, chunksize=3))
    if not options.summary:
        for result in results:
            print(json.dumps(result))
    summary = summarize(results)
    print(json.dumps(summary), flush=True)
    return 1 if summary['over_limit'] else 0


if __name__ == '__main__':
    sys.exit(main())
