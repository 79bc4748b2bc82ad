"""Plays the decisions on generated rollouts in virtual time.

Prints one line of JSON for each case, then a summary; exits with 1 if a
version kept a share for longer than the limit after all that had happened
spoke against it. Nothing here uses the network; the same seed gives the same
lines.
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

STEP_S = rollout_task.STEP_S
EXPOSED_SHARE = 0.1
# Stated by the users' brief, as in the benchmark of the former judge.
LIMIT_SHOWN_TO_NO_SHARE_S = 3.0
# A poll of the daemons; a write, and a watch with its pause.
UP_DELAY_S = (0.0, 0.1)
DOWN_DELAY_S = (0.01, 0.4)
WEIGHTS_BY_ROUTE = {'/booking': 0.6, '/fees': 0.3, '/permits': 0.1}
LATENCY_MEDIAN_S = 0.02
LATENCY_SIGMA = 0.6
REQUEST_RATES = (5, 20, 100, 500, 2000)
# The platform's orders last 12 to 16 s.
DEADLINES_S = (12, 30, 60, 120)
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
        buckets = [0] * evidence.BUCKETS
        for index in self.rng.choices(
            range(evidence.BUCKETS),
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


class SimulatedTask(rollout_task.RolloutTask):
    """The holder's decisions on simulated evidence."""

    totals: evidence.Totals

    async def _poll(self, share, progress):
        progress.history.append(copy.deepcopy(self.totals))
        return True

    async def _write(self, share):
        self.directory.apply_share(
            attrs.evolve(share, revision=share.revision + 1), 'own'
        )


class Shipped:
    """The policy of the rollout holder."""

    def __init__(self, case: Case, clock):
        self.directory = directory.Directory('sim')
        self.judge = binomial_judge.BinomialJudge()
        for number, version in enumerate(('old', 'new'), 1):
            self.directory.apply_member(make_member(version, number), 'sim')
        self.task = SimulatedTask(
            name='sim',
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
            created_revision=1,
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

    async def decide(self, totals: evidence.Totals) -> None:
        self.task.totals = totals
        await self.task._decide(self.order, self.share)


def make_member(version: str, number: int) -> model.Member:
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
    """One rollout under the shipped policy."""

    def __init__(self, case: Case):
        self.case = case
        self.rng = random.Random(f'{case.seed}/{case.kind}')
        self.service = Service(case, self.rng)
        self.now = 0.0
        self.policy = Shipped(case, lambda: self.now)
        # What happened, and what of it the holder has been told.
        self.happened: dict = {}
        self.told: dict = {}
        self.arrivals: list = []
        self.effects: list = []
        self.seen: list = []
        self.share = self.max_share = 0.0
        self.new_requests = 0
        self.no_share_at: float | None = None
        self.shown_at: float | None = None

    async def run(self) -> dict:
        steps = int(self.case.deadline_s / STEP_S)
        for index in range(steps):
            self.now = index * STEP_S
            self._deliver()
            self._traffic()
            await self._decide()
            if self._over():
                break
        return self._result()

    def _over(self) -> bool:
        state = self.policy.share.state
        if state is model.RolloutState.ROLLED_BACK:
            return not self.share
        return state is model.RolloutState.DONE

    def _deliver(self) -> None:
        while self.arrivals and self.arrivals[0][0] <= self.now:
            _, _, key, counts = heapq.heappop(self.arrivals)
            self.told.setdefault(key, evidence.Counts()).merge(counts)
        while self.effects and self.effects[0][0] <= self.now:
            self.share = self.effects.pop(0)[1]
            self.max_share = max(self.max_share, self.share)
            if not self.share and self.new_requests:
                self.no_share_at = self.now

    def _traffic(self) -> None:
        arrival = self.now + self.rng.uniform(*UP_DELAY_S)
        for route, new in itertools.product(WEIGHTS_BY_ROUTE, (True, False)):
            requests, errors, buckets = self.service.counts(
                self.now, self.share, new, route
            )
            if not requests:
                continue
            self.new_requests += requests * new
            counts = evidence.Counts(requests, errors, buckets)
            key = ('new' if new else 'old', route)
            self.happened.setdefault(key, evidence.Counts()).merge(counts)
            entry = (arrival, len(self.seen), key, counts)
            self.seen.append(entry)
            heapq.heappush(self.arrivals, entry)

    async def _decide(self) -> None:
        share = self.policy.share
        if share.state is not model.RolloutState.RUNNING:
            return
        self._note_shown()
        await self.policy.decide(self.told)
        decided = self.policy.share
        if decided.permille != share.permille or (
            decided.state is not model.RolloutState.RUNNING
        ):
            effect = self.now + self.rng.uniform(*DOWN_DELAY_S)
            self.effects.append((effect, decided.permille / 1000))

    def _note_shown(self) -> None:
        """Notes when all that happened first speaks against the version."""
        if self.case.good or self.shown_at is not None:
            return
        if self.policy.judge.find_fault(self.happened, 'new') is not None:
            self.shown_at = self.now

    def _result(self) -> dict:
        share = self.policy.share
        first = self.service.first_failure_at
        seconds = shown = None
        if share.state is model.RolloutState.ROLLED_BACK:
            if first is not None and self.no_share_at is not None:
                seconds = max(self.no_share_at - first, 0.0)
            if self.shown_at is not None and self.no_share_at is not None:
                shown = self.no_share_at - self.shown_at
        return {
            **attrs.asdict(self.case),
            'state': share.state.value,
            'bad_share_max': self.max_share,
            'failure_to_no_share_s': rounded(seconds),
            'shown_to_no_share_s': rounded(shown),
            'reason': share.reason,
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
            *(
                normal.cdf(
                    math.log(
                        evidence.FIRST_BOUND_S * evidence.BOUND_GROWTH**index
                    )
                )
                for index in range(evidence.BUCKETS - 1)
            ),
            1.0,
        ]
    return _CUMULATIVE_BY_FACTOR[factor]


def summarise(results: list[dict]) -> dict:
    good = [r for r in results if r['kind'] in GOOD_KINDS]
    bad = [r for r in results if r['kind'] in BAD_KINDS]
    summary: dict = {'cases': len(results)}
    summary['good_done'] = share_in_state(good, 'done')
    summary['bad_rolled_back'] = share_in_state(bad, 'rolled_back')
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
    for name in ('failure_to_no_share_s', 'shown_to_no_share_s'):
        summary[name] = quantiles([r[name] for r in bad if r[name] is not None])
    late = [
        r
        for r in bad
        if (r['shown_to_no_share_s'] or 0.0) > LIMIT_SHOWN_TO_NO_SHARE_S
    ]
    summary['over_limit'] = len(late)
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


def run_one(case: Case) -> dict:
    logger.remove()
    return asyncio.run(Simulation(case).run())


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=2, help='of each case')
    parser.add_argument('--kinds', default=','.join(GOOD_KINDS + BAD_KINDS))
    parser.add_argument('--workers', type=int, default=4)
    parser.add_argument('--summary', action='store_true', help='no cases')
    options = parser.parse_args()
    kinds = options.kinds.split(',')
    cases = [c for c in make_cases(options.seeds) if c.kind in kinds]
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        results = list(pool.map(run_one, cases, chunksize=3))
    if not options.summary:
        for result in results:
            print(json.dumps(result))
    summary = summarise(results)
    print(json.dumps(summary), flush=True)
    return 1 if summary['over_limit'] else 0


if __name__ == '__main__':
    sys.exit(main())
