"""Compares rollout policies on generated rollouts in virtual time.

Prints one line of JSON for each case and policy, then one summary line for
each policy. Nothing here uses the network or the clock; the same seed gives
the same lines.
"""

import argparse
import concurrent.futures
import heapq
import itertools
import json
import math
import random
import statistics
from typing import Protocol

import attrs

from hemlockgrade import evidence
from hemlockgrade import model
from hemlockgrade import rollout as rollout_module
from hemlockgrade.plugins import sequential_judge

STEP_S = 0.25
TICK_STEPS = 2
STARTED_AT = 1_000_000.0
# Three flush intervals on the way up; write, watch and four hops down.
UP_DELAY_S = (0.4, 1.2)
DOWN_DELAY_S = (0.2, 0.6)
WEIGHTS_BY_ROUTE = {'/booking': 0.6, '/fees': 0.3, '/permits': 0.1}
LATENCY_MEDIAN_S = 0.02
LATENCY_SIGMA = 0.6
REQUEST_RATES = (5, 20, 100, 500, 2000)
DEADLINES_S = (60, 120, 300, 900)
BASE_ERROR_RATES = (0.0, 0.002, 0.01, 0.03)
GOOD_KINDS = ('good', 'good_noise', 'good_fault_on_both')
BAD_KINDS = (
    'bad_at_once',
    'bad_late',
    'bad_under_load',
    'bad_one_route',
    'slow',
    'slow_one_route',
)
NO_TRAFFIC_MINIMUM = 1e-9


@attrs.frozen(kw_only=True)
class Case:
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


def make_cases(seeds: int) -> list[Case]:
    cases = []
    grid = itertools.product(
        range(seeds), GOOD_KINDS + BAD_KINDS, REQUEST_RATES, DEADLINES_S
    )
    for index, (seed, kind, rate, deadline_s) in enumerate(grid):
        rng = random.Random(f'{seed}/{kind}/{rate}/{deadline_s}')
        cases.append(
            Case(
                kind=kind,
                seed=index,
                requests_per_s=rate,
                deadline_s=deadline_s,
                base_error_rate=rng.choice(BASE_ERROR_RATES),
                fault_error_rate=rng.choice((0.05, 0.1, 0.3, 0.5, 1.0)),
                slow_factor=rng.choice((1.5, 2.0, 4.0)),
                late_s=rng.uniform(0.1, 0.6) * deadline_s,
                load_limit=rng.uniform(0.1, 0.8),
                route=rng.choice(list(WEIGHTS_BY_ROUTE)),
            )
        )
    return cases


class Service:
    """Answers of both versions, with the faults of the case."""

    def __init__(self, case: Case, rng: random.Random):
        self.case = case
        self.rng = rng
        self.first_failure_at: float | None = None

    def counts(
        self, elapsed_s: float, share: float, new: bool, route: str
    ) -> tuple[int, int, list[int]]:
        case = self.case
        part = share if new else 1 - share
        mean = case.requests_per_s * STEP_S * part * WEIGHTS_BY_ROUTE[route]
        requests = poisson(self.rng, mean)
        if not requests:
            return 0, 0, []
        error_rate, factor = self._background(elapsed_s)
        active = new and self._fault_active(elapsed_s, share, route)
        if active and case.kind.startswith('slow'):
            factor *= case.slow_factor
        elif active:
            error_rate = max(error_rate, case.fault_error_rate)
        errors = binomial(self.rng, requests, error_rate)
        buckets = [0] * evidence.BUCKET_COUNT
        for index in self.rng.choices(
            range(evidence.BUCKET_COUNT),
            cum_weights=cumulative_buckets(factor),
            k=requests,
        ):
            buckets[index] += 1
        shown = errors or case.kind.startswith('slow')
        if active and shown and self.first_failure_at is None:
            self.first_failure_at = elapsed_s
        return requests, errors, buckets

    def _background(self, elapsed_s: float) -> tuple[float, float]:
        """Error rate and latency factor that both versions have."""
        case = self.case
        if case.kind == 'good_noise':
            wave = math.sin(elapsed_s / 7 + case.seed)
            rate = max(case.base_error_rate, 0.01) * (1 + wave)
            return rate, 1 + 0.3 * math.sin(elapsed_s / 11)
        if case.kind == 'good_fault_on_both':
            start = case.late_s
            if start <= elapsed_s < start + min(20, case.deadline_s / 6):
                return max(0.2, case.base_error_rate), 2.0
        return case.base_error_rate, 1.0

    def _fault_active(self, elapsed_s, share, route) -> bool:
        case = self.case
        if case.kind == 'bad_late':
            return elapsed_s >= case.late_s
        if case.kind == 'bad_under_load':
            return share > case.load_limit
        if case.kind in ('bad_one_route', 'slow_one_route'):
            return route == case.route
        return case.kind in ('bad_at_once', 'slow')


class Policy(Protocol):
    def decide(
        self,
        rollout: model.Rollout,
        store: evidence.EvidenceStore,
        now: float,
        stage_started_at: float,
    ) -> rollout_module.Step | None: ...


class Shipped:
    """The policy of the rollout holder."""

    def __init__(self):
        self.judge = sequential_judge.SequentialJudge()

    def decide(self, rollout, store, now, stage_started_at):
        verdict = self.judge.judge(
            store.compare(rollout.selector, 'new', ('old',), stage_started_at),
            rollout_module.tolerance(rollout),
        )
        return rollout_module.decide(
            rollout,
            verdict,
            now,
            stage_started_at=stage_started_at,
            ready_targets=3,
        )


class ByClock:
    """Fixed steps by the clock; nothing is judged."""

    steps = (10, 50, 200, 500, 1000)

    def decide(self, rollout, store, now, stage_started_at):
        elapsed = now - rollout.started_at
        part = 0.8 * (rollout.agreed_by - rollout.started_at) / 6
        due = int(elapsed / part)
        if due >= len(self.steps) + 1:
            return step(1000, model.RolloutState.DONE)
        progress = self.steps[min(due, len(self.steps) - 1)]
        if progress != rollout.progress_permille:
            return step(progress, model.RolloutState.RUNNING)
        return None


class Threshold(ByClock):
    """Steps by the clock, and a fixed bound on the error rate."""

    max_error_rate = 0.05
    min_requests = 20
    span_s = 30

    def decide(self, rollout, store, now, stage_started_at):
        comparison = store.compare(
            rollout.selector, 'new', ('old',), now - self.span_s
        )
        pairs = [p for ps in comparison.pairs_by_route.values() for p in ps]
        requests = sum(p.new.requests for p in pairs)
        errors = sum(p.new.errors for p in pairs)
        bound = max(self.max_error_rate * requests, 1)
        if requests >= self.min_requests and errors > bound:
            return step(0, model.RolloutState.ROLLED_BACK)
        return super().decide(rollout, store, now, stage_started_at)


POLICIES = {
    'shipped': Shipped,
    'by_clock': ByClock,
    'threshold': Threshold,
}


def step(progress, state):
    return rollout_module.Step(
        progress_permille=progress, state=state, reason=''
    )


class Simulation:
    """One rollout under one policy."""

    def __init__(self, case: Case, policy_name: str):
        self.case = case
        self.policy_name = policy_name
        self.policy: Policy = POLICIES[policy_name]()
        self.rng = random.Random(f'{case.seed}/{case.kind}')
        self.service = Service(case, self.rng)
        self.store = evidence.EvidenceStore()
        # Receives all evidence at once; tells when the failures were shown.
        self.instant_store = evidence.EvidenceStore()
        self.arrivals: list = []
        self.effects: list = []
        self.sequence = 0
        self.share = 0.0
        self.new_requests = self.all_requests = 0
        self.max_share = 0.0
        self.no_share_at: float | None = None
        self.ended_at: float | None = None
        self.shown_at: float | None = None
        self.instant_started_at = STARTED_AT
        self.rollout = model.Rollout(
            selector='s',
            started_by=1,
            new_version='new',
            old_shares_by_version={'old': 100},
            started_at=STARTED_AT,
            agreed_by=STARTED_AT + case.deadline_s,
        )
        self.stage_started_at = STARTED_AT

    def run(self) -> dict:
        steps = int(self.case.deadline_s / STEP_S)
        for index in range(steps):
            elapsed = index * STEP_S
            self._deliver(elapsed)
            self._traffic(elapsed)
            if index % TICK_STEPS == 0:
                self._decide(elapsed)
            if self._over():
                break
        return self._result()

    def _over(self) -> bool:
        rolled_back = self.rollout.state is model.RolloutState.ROLLED_BACK
        return rolled_back and not self.share

    def _deliver(self, elapsed: float) -> None:
        while self.arrivals and self.arrivals[0][0] <= elapsed:
            record = heapq.heappop(self.arrivals)[2]
            self.store.merge([record], STARTED_AT + elapsed)
        while self.effects and self.effects[0][0] <= elapsed:
            self.share = self.effects.pop(0)[1]
            self.max_share = max(self.max_share, self.share)
            if not self.share and self.new_requests:
                self.no_share_at = elapsed

    def _traffic(self, elapsed: float) -> None:
        # A proxy reports all versions and routes in one batch.
        arrival = elapsed + self.rng.uniform(*UP_DELAY_S)
        for route, new in itertools.product(WEIGHTS_BY_ROUTE, (True, False)):
            requests, errors, buckets = self.service.counts(
                elapsed, self.share, new, route
            )
            if not requests:
                continue
            self.all_requests += requests
            self.new_requests += requests * new
            if self.rollout.state is not model.RolloutState.RUNNING:
                continue
            self.sequence += 1
            record = evidence.Evidence(
                selector='s',
                version='new' if new else 'old',
                route=route,
                window=int(STARTED_AT + elapsed),
                requests=requests,
                errors=errors,
                latency_buckets=tuple(buckets),
                reporter='sim',
                sequence=self.sequence,
            )
            heapq.heappush(self.arrivals, (arrival, self.sequence, record))
            if self.policy_name == 'shipped' and not self.case.good:
                self.instant_store.merge([record], STARTED_AT + elapsed)

    def _decide(self, elapsed: float) -> None:
        if self.rollout.state is not model.RolloutState.RUNNING:
            return
        now = STARTED_AT + elapsed
        self._note_shown(elapsed)
        decided = self.policy.decide(
            self.rollout, self.store, now, self.stage_started_at
        )
        if decided is None:
            return
        self.stage_started_at = now
        self.shown_at = None
        self.rollout = attrs.evolve(
            self.rollout,
            progress_permille=decided.progress_permille,
            state=decided.state,
            reason=decided.reason,
        )
        if decided.state is not model.RolloutState.RUNNING:
            self.ended_at = elapsed
            self.shown_at = self.last_shown_at
        effect = elapsed + self.rng.uniform(*DOWN_DELAY_S)
        self.effects.append((effect, decided.progress_permille / 1000))

    last_shown_at: float | None = None

    def _note_shown(self, elapsed: float) -> None:
        if self.case.good or not isinstance(self.policy, Shipped):
            return
        verdict = self.policy.judge.judge(
            self.instant_store.compare(
                's', 'new', ('old',), self.stage_started_at
            )
        )
        if verdict.outcome is not rollout_module.Outcome.BAD:
            self.last_shown_at = None
        elif self.last_shown_at is None:
            self.last_shown_at = elapsed

    def _result(self) -> dict:
        case = self.case
        state = self.rollout.state
        expected = case.requests_per_s * case.deadline_s
        first = self.service.first_failure_at
        rolled_back = state is model.RolloutState.ROLLED_BACK
        seconds = shown = None
        judged = 'judged bad' in self.rollout.reason or (
            self.policy_name != 'shipped'
        )
        if rolled_back and first is not None and self.no_share_at is not None:
            seconds = max(self.no_share_at - first, 0.0)
            if self.shown_at is not None and judged:
                shown = self.no_share_at - self.shown_at
        return {
            'policy': self.policy_name,
            **attrs.asdict(case),
            'state': state.value,
            'ended_s': self.ended_at,
            'bad_share_mean': round(self.new_requests / expected, 5),
            'bad_share_max': self.max_share,
            'failure_to_no_share_s': rounded(seconds),
            'shown_to_no_share_s': rounded(shown),
            'reason': self.rollout.reason,
        }


def rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 2)


def poisson(rng: random.Random, mean: float) -> int:
    if mean < NO_TRAFFIC_MINIMUM:
        return 0
    if mean > 50:
        return max(round(rng.gauss(mean, math.sqrt(mean))), 0)
    bound, product, count = math.exp(-mean), rng.random(), 0
    while product > bound:
        product *= rng.random()
        count += 1
    return count


def binomial(rng: random.Random, n: int, p: float) -> int:
    if p <= 0:
        return 0
    return sum(rng.random() < p for _ in range(n))


_CUMULATIVE_BY_FACTOR: dict[float, list[float]] = {}


def cumulative_buckets(factor: float) -> list[float]:
    factor = round(factor, 2)
    if factor not in _CUMULATIVE_BY_FACTOR:
        normal = statistics.NormalDist(
            math.log(LATENCY_MEDIAN_S * factor), LATENCY_SIGMA
        )
        _CUMULATIVE_BY_FACTOR[factor] = [
            *(normal.cdf(math.log(b)) for b in evidence.LATENCY_BOUNDS_S),
            1.0,
        ]
    return _CUMULATIVE_BY_FACTOR[factor]


def summarise(policy: str, results: list[dict]) -> dict:
    good = [r for r in results if r['kind'] in GOOD_KINDS]
    bad = [r for r in results if r['kind'] in BAD_KINDS]
    summary: dict = {'summary': policy, 'cases': len(results)}
    summary['good_done'] = share_in_state(good, 'done')
    summary['bad_rolled_back'] = share_in_state(bad, 'rolled_back')
    summary['false_alarms'] = sum('judged bad' in r['reason'] for r in good)
    for kind in GOOD_KINDS + BAD_KINDS:
        wanted = 'done' if kind in GOOD_KINDS else 'rolled_back'
        chosen = [r for r in results if r['kind'] == kind]
        summary[kind] = share_in_state(chosen, wanted)
    for key, values in (
        ('requests_per_s', REQUEST_RATES),
        ('deadline_s', DEADLINES_S),
    ):
        summary[f'good_done_by_{key}'] = {
            value: share_in_state([r for r in good if r[key] == value], 'done')
            for value in values
        }
    summary['bad_share_mean'] = round(
        statistics.fmean(r['bad_share_mean'] for r in bad), 5
    )
    summary['bad_share_max'] = max(r['bad_share_max'] for r in bad)
    for name in ('failure_to_no_share_s', 'shown_to_no_share_s'):
        summary[name] = quantiles([r[name] for r in bad if r[name] is not None])
    return summary


def share_in_state(results: list[dict], state: str) -> str:
    return f'{sum(r["state"] == state for r in results)}/{len(results)}'


def quantiles(values: list[float]) -> dict | None:
    if not values:
        return None
    ordered = sorted(values)

    def at(q: float) -> float:
        return ordered[min(int(q * len(ordered)), len(ordered) - 1)]

    return {
        'n': len(ordered),
        'p50': at(0.5),
        'p99': at(0.99),
        'max': ordered[-1],
    }


def run_one(job: tuple[Case, str]) -> dict:
    return Simulation(*job).run()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=2, help='of each case')
    parser.add_argument('--policies', default=','.join(POLICIES))
    parser.add_argument('--kinds', default=','.join(GOOD_KINDS + BAD_KINDS))
    parser.add_argument('--workers', type=int, default=4)
    parser.add_argument('--summary', action='store_true', help='no cases')
    options = parser.parse_args()
    kinds = options.kinds.split(',')
    cases = [c for c in make_cases(options.seeds) if c.kind in kinds]
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        for policy in options.policies.split(','):
            jobs = [(case, policy) for case in cases]
            results = list(pool.map(run_one, jobs, chunksize=3))
            if not options.summary:
                for result in results:
                    print(json.dumps(result))
            print(json.dumps(summarise(policy, results)), flush=True)


if __name__ == '__main__':
    main()
