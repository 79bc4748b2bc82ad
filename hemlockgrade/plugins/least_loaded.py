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
PROBE_SHARE = 0.1
# A target of another domain is taken only if it is clearly cheaper: the round
# trip costs 1 ms, and its domain may be cut off at any moment.
REMOTE_FACTOR = 1.5
REMOTE_S = 0.001


class LeastLoaded:
    """Compares a few random candidates by their live evidence."""

    def __init__(self, failure_domain: str = ''):
        """Makes a balancer.

        Args:
            failure_domain: Failure domain of this proxy; without it no target
                counts as near.
        """
        self._failure_domain = failure_domain

    def choose(
        self,
        candidates: Sequence[model.Target],
        loads: routing.LoadTable,
        now: float,
        random: random_module.Random,
    ) -> model.Target | None:
        """Chooses a target; see `routing.Balancer`."""
        unreachable = loads.unreachable_domains
        loads_by_id = loads.loads_by_id
        first: list[model.Target] = []
        others = False
        # Most requests meet warm targets only, so these are sorted out in one
        # pass; 60 candidates took twice the time by tiers.
        for target in candidates:
            load = loads_by_id.get(target.target_id)
            if (
                target.state is not ALIVE
                or target.failure_domain in unreachable
                or (load is not None and not load.is_warm(now))
            ):
                others = True
            else:
                first.append(target)
        if others:
            return self._choose_by_tier(candidates, loads, now, random)
        if not first:
            return None
        return self._cheapest(first, loads, now, random)

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
    loads_by_id = loads.loads_by_id
    for target in targets:
        load = loads_by_id.get(target.target_id)
        if load is None:
            eligible.append(target)
        elif load.probing:
            if now >= load.ejected_until and not load.in_flight:
                if random.random() < PROBE_SHARE:
                    return [target]
            elif not load.unreachable:
                erring.append(target)
        elif now - load.known_at < routing.COLD_S:
            share = max(
                (now - load.known_at) / routing.COLD_S,
                routing.COLD_SHARE_AT_START,
            )
            (eligible if random.random() < share else cold).append(target)
        else:
            eligible.append(target)
    if not eligible:
        eligible = cold
    if 2 * len(erring) > len(targets):
        eligible = eligible + erring
    return eligible


def _cost(target: model.Target, loads: routing.LoadTable, now: float) -> float:
    """Estimates the time of one more request on a target, in seconds."""
    load = loads.loads_by_id.get(target.target_id)
    if load is None:
        return loads.typical_latency_s
    latency_s = load.latency_s or loads.typical_latency_s
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
