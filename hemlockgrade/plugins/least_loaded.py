"""The balancer that prefers the target with the least expected wait."""

from collections.abc import Sequence
import random as random_module

from hemlockgrade import model
from hemlockgrade import routing

ALIVE = model.MemberState.ALIVE
SUSPECT = model.MemberState.SUSPECT

# Candidates compared for each request, from the own domain and from others.
LOCAL_CHOICES = 3
REMOTE_CHOICES = 2
# Share of the requests that probe a target whose ejection ended, so that not
# every proxy probes it with its first request at once.
PROBE_SHARE = 0.25
# With fewer usable targets in a sample, all candidates are looked at.
MIN_ACCEPTED = 2
# Replaced routing tables leave their candidates here until this many.
MAX_SPLITS = 256
# A target of another domain is taken only if it is clearly cheaper: the round
# trip costs 1 ms, and its domain may be cut off at any moment.
REMOTE_FACTOR = 1.5
REMOTE_S = 0.001

_USE, _PROBE, _SKIP, _COLD, _ERRING = range(5)
_Split = tuple[list[model.Target], list[model.Target]]


class LeastLoaded:
    """Compares a few random candidates by their live evidence."""

    def __init__(self, failure_domain: str = ''):
        """Makes a balancer.

        Args:
            failure_domain: Failure domain of this proxy; without it no target
                counts as near.
        """
        self._failure_domain = failure_domain
        self._splits_by_id: dict[
            int, tuple[tuple[model.Target, ...], _Split]
        ] = {}

    def choose(
        self,
        candidates: Sequence[model.Target],
        loads: routing.LoadTable,
        now: float,
        random: random_module.Random,
    ) -> model.Target | None:
        """Chooses a target; see `routing.Balancer`."""
        if not candidates:
            return None
        if type(candidates) is tuple:
            picked = self._choose_by_sample(candidates, loads, now, random)
            if picked is not None:
                return picked
        return self._choose_by_tier(candidates, loads, now, random)

    def _choose_by_sample(
        self,
        candidates: tuple[model.Target, ...],
        loads: routing.LoadTable,
        now: float,
        random: random_module.Random,
    ) -> model.Target | None:
        """Chooses among a few targets of a route, without looking at all.

        Returns:
            A target, or None if too few of the sampled ones can serve.
        """
        local, remote = self._split(candidates)
        best = None
        best_cost = float('inf')
        accepted = 0
        for target in _sample(local, LOCAL_CHOICES, random):
            verdict = _judge(target, loads, now, random)
            if verdict is _PROBE:
                return target
            if verdict is _USE:
                accepted += 1
                cost = _cost(target, loads, now)
                if cost < best_cost:
                    best, best_cost = target, cost
        for target in _sample(remote, REMOTE_CHOICES, random):
            verdict = _judge(target, loads, now, random)
            if verdict is _PROBE:
                return target
            if verdict is _USE:
                accepted += 1
                cost = _cost(target, loads, now)
                if local:
                    cost = cost * REMOTE_FACTOR + REMOTE_S
                if cost < best_cost:
                    best, best_cost = target, cost
        return best if accepted >= MIN_ACCEPTED else None

    def _split(self, candidates: tuple[model.Target, ...]) -> _Split:
        """Returns the near and the far targets of a route's candidates."""
        known = self._splits_by_id.get(id(candidates))
        # The entry holds the tuple, so that its id is not used again.
        if known is not None and known[0] is candidates:
            return known[1]
        domain = self._failure_domain
        split = (
            [t for t in candidates if t.failure_domain == domain],
            [t for t in candidates if t.failure_domain != domain],
        )
        if len(self._splits_by_id) >= MAX_SPLITS:
            self._splits_by_id.clear()
        self._splits_by_id[id(candidates)] = (candidates, split)
        return split

    def _choose_by_tier(
        self,
        candidates: Sequence[model.Target],
        loads: routing.LoadTable,
        now: float,
        random: random_module.Random,
    ) -> model.Target | None:
        """Chooses among alive targets, else suspect, else unreachable ones."""
        tiers: tuple[list[model.Target], ...] = ([], [], [])
        unreachable = loads.unreachable_domains
        for target in candidates:
            if target.failure_domain in unreachable:
                if target.state <= SUSPECT:
                    tiers[2].append(target)
            elif target.state is ALIVE:
                tiers[0].append(target)
            elif target.state is SUSPECT:
                tiers[1].append(target)
        panicked: model.Target | None = None
        for tier in tiers:
            eligible = _eligible(tier, loads, now, random)
            if eligible:
                return self._cheapest(eligible, loads, now, random)
            if tier and panicked is None:
                panicked = self._cheapest(tier, loads, now, random)
        return panicked

    def _cheapest(
        self,
        targets: list[model.Target],
        loads: routing.LoadTable,
        now: float,
        random: random_module.Random,
    ) -> model.Target:
        """Returns the cheapest of a few random targets."""
        if len(targets) == 1:
            return targets[0]
        domain = self._failure_domain
        local: list[model.Target] = []
        remote: list[model.Target] = []
        for target in targets:
            near = target.failure_domain == domain
            (local if near else remote).append(target)
        best = None
        best_cost = float('inf')
        for target in _sample(local, LOCAL_CHOICES, random):
            cost = _cost(target, loads, now)
            if cost < best_cost:
                best, best_cost = target, cost
        for target in _sample(remote, REMOTE_CHOICES, random):
            cost = _cost(target, loads, now)
            if local:
                cost = cost * REMOTE_FACTOR + REMOTE_S
            if cost < best_cost:
                best, best_cost = target, cost
        return best or targets[0]


def _eligible(
    targets: list[model.Target],
    loads: routing.LoadTable,
    now: float,
    random: random_module.Random,
) -> list[model.Target]:
    """Returns the targets that are not ejected and warm enough, or a probe.

    If more than half are ejected for errors, the errors are no fault of single
    targets, and the ejected ones that can be reached serve as well.
    """
    eligible: list[model.Target] = []
    cold: list[model.Target] = []
    erring: list[model.Target] = []
    for target in targets:
        verdict = _judge_load(target, loads, now, random)
        if verdict is _PROBE:
            return [target]
        if verdict is _USE:
            eligible.append(target)
        elif verdict is _COLD:
            cold.append(target)
        elif verdict is _ERRING:
            erring.append(target)
    if not eligible:
        eligible = cold
    if 2 * len(erring) > len(targets):
        eligible = eligible + erring
    return eligible


def _judge(
    target: model.Target,
    loads: routing.LoadTable,
    now: float,
    random: random_module.Random,
) -> int:
    """Judges a target by its state, its failure domain and its load."""
    if target.state is not ALIVE:
        return _SKIP
    if target.failure_domain in loads.unreachable_domains:
        return _SKIP
    return _judge_load(target, loads, now, random)


def _judge_load(
    target: model.Target,
    loads: routing.LoadTable,
    now: float,
    random: random_module.Random,
) -> int:
    """Judges a target by ejection and warm-up.

    Returns:
        `_USE`, `_PROBE` to take it at once after its ejection, `_SKIP`,
        `_ERRING` if it is ejected for errors only, or `_COLD` if this request
        exceeds its present share.
    """
    load = loads.loads_by_id.get(target.target_id)
    if load is None:
        return _USE
    if load.probing:
        if now >= load.ejected_until and not load.in_flight:
            return _PROBE if random.random() < PROBE_SHARE else _SKIP
        return _SKIP if load.unreachable else _ERRING
    warm_for_s = now - load.known_at
    if warm_for_s >= routing.COLD_S:
        return _USE
    share = max(warm_for_s / routing.COLD_S, routing.COLD_SHARE_AT_START)
    return _USE if random.random() < share else _COLD


def _cost(target: model.Target, loads: routing.LoadTable, now: float) -> float:
    """Estimates the time of one more request on a target, in seconds."""
    load = loads.loads_by_id.get(target.target_id)
    if load is None:
        return loads.typical_latency_s
    typical_s = loads.typical_latency_s
    latency_s = load.latency_s or typical_s
    if latency_s > 2 * typical_s:
        idle_s = now - load.decayed_at
        factor = 0.5 ** (idle_s / routing.SLOWNESS_HALF_LIFE_S)
        latency_s = typical_s + (latency_s - typical_s) * factor
    cost = latency_s * (1.0 + load.in_flight / max(1, target.slots) * 4.0)
    if load.failures or load.refusals:
        decay = 0.5 ** ((now - load.decayed_at) / routing.HALF_LIFE_S)
        cost *= 1.0 + decay * (
            load.failures * routing.FAILURE_PENALTY
            + load.refusals * routing.REFUSAL_PENALTY
        )
    return cost


def _sample(
    targets: list[model.Target], count: int, random: random_module.Random
) -> list[model.Target]:
    """Returns up to `count` distinct random targets."""
    size = len(targets)
    if size <= count:
        return targets
    start = int(random.random() * size)
    picked = [targets[start]]
    for _ in range(count - 1):
        # A random step keeps the picks distinct without a set in most cases.
        start = (start + 1 + int(random.random() * (size - 1))) % size
        if targets[start] not in picked:
            picked.append(targets[start])
    return picked
