"""Compares balancers in virtual time; prints one JSON line a case.

Twelve targets in three failure domains serve open-loop arrivals from proxies
in each domain. One target is slow, one refuses, one is cold and one is dead.
The baselines are this project's own: round robin and random choice.
"""

import argparse
import heapq
import itertools
import json
import random
import statistics
import time

import attrs

from hemlockgrade import configuration
from hemlockgrade import model
from hemlockgrade import routing
from hemlockgrade.plugins import least_loaded

SLOTS = 6
QUEUE = 12
SERVICE_S = 0.010
DEADLINE_S = 0.5
DOMAIN_S = 0.0005
PROXIES = 30
SLOW = 't0'
REFUSING = 't1'
COLD = 't2'
DEAD = 't3'
COLD_WARM_S = 10.0
MAX_TRIES = 2


class RoundRobin:
    def __init__(self, failure_domain=''):
        self._next = 0

    def choose(self, candidates, loads, now, random):
        self._next += 1
        return candidates[self._next % len(candidates)]


class Random:
    def __init__(self, failure_domain=''):
        pass

    def choose(self, candidates, loads, now, random):
        return random.choice(candidates)


BALANCERS = {
    'least_loaded': least_loaded.LeastLoaded,
    'round_robin': RoundRobin,
    'random': Random,
}


@attrs.define
class Server:
    target: model.Target
    free_at: list[float] = attrs.field(factory=lambda: [0.0] * SLOTS)
    waiting: list[float] = attrs.field(factory=list)

    def serve(self, now, generator, faults):
        """Returns the end of a request and its outcome."""
        name = self.target.target_id if faults else ''
        if name == DEAD:
            return now + 0.001, routing.Outcome.UNREACHABLE
        if name == REFUSING and generator.random() < 0.9:
            return now + 0.001, routing.Outcome.REJECTED
        self.waiting = [t for t in self.waiting if t > now]
        if len(self.waiting) >= QUEUE:
            return now + 0.001, routing.Outcome.REJECTED
        begin = max(now, heapq.heappop(self.free_at))
        if begin > now:
            self.waiting.append(begin)
        seconds = generator.expovariate(1 / SERVICE_S)
        if name == SLOW:
            seconds *= 10
        if name == COLD and now < COLD_WARM_S:
            seconds *= 1 + 9 * (1 - now / COLD_WARM_S)
        heapq.heappush(self.free_at, begin + seconds)
        if begin + seconds - now > DEADLINE_S:
            return now + DEADLINE_S, routing.Outcome.TIMEOUT
        return begin + seconds, routing.Outcome.OK


@attrs.define
class Proxy:
    domain: str
    balancer: object
    loads: routing.LoadTable = attrs.field(factory=routing.LoadTable)


@attrs.define
class Request:
    proxy: Proxy
    arrived: float
    tried: list[str] = attrs.field(factory=list)


def simulate(name, load, seed, seconds, faults):
    generator = random.Random(seed)
    targets = tuple(
        model.Target(
            target_id=f't{i}',
            service='s',
            version='v1',
            failure_domain='abc'[i % 3],
            admission_address='',
            slots=SLOTS,
        )
        for i in range(12)
    )
    servers = {t.target_id: Server(t) for t in targets}
    proxies = []
    for i in range(PROXIES):
        domain = 'abc'[i % 3]
        proxy = Proxy(domain, BALANCERS[name](domain))
        # The cold target joins the others at the start.
        first = [t for t in targets if not faults or t.target_id != COLD]
        proxy.loads.members_changed(first, 0.0)
        proxy.loads.members_changed(targets, 0.0)
        proxies.append(proxy)
    rate = load * 12 * SLOTS / SERVICE_S
    order = itertools.count()
    events = [(0.0, next(order), 'arrive', None, None)]
    latencies = []
    arrived = 0

    def send(request, now):
        left = targets
        if request.tried:
            left = [t for t in targets if t.target_id not in request.tried]
        proxy = request.proxy
        target = proxy.balancer.choose(left, proxy.loads, now, generator)
        request.tried.append(target.target_id)
        proxy.loads.started(target.target_id, now)
        link_s = 0.0 if target.failure_domain == proxy.domain else DOMAIN_S
        server = servers[target.target_id]
        end, outcome = server.serve(now + link_s, generator, faults)
        heapq.heappush(
            events,
            (end + link_s, next(order), 'end', (request, now), outcome),
        )

    while events:
        now, _, kind, payload, outcome = heapq.heappop(events)
        if kind == 'arrive':
            if now < seconds:
                arrived += 1
                send(Request(generator.choice(proxies), now), now)
                at = now + generator.expovariate(rate)
                heapq.heappush(events, (at, next(order), 'arrive', None, None))
            continue
        request, sent = payload
        loads = request.proxy.loads
        loads.finished(request.tried[-1], now - sent, outcome, now)
        not_run = outcome in (
            routing.Outcome.REJECTED,
            routing.Outcome.UNREACHABLE,
        )
        if outcome is routing.Outcome.OK:
            latencies.append(now - request.arrived)
        elif not_run and len(request.tried) < MAX_TRIES:
            send(request, now)
    latencies.sort()
    return {
        'bench': 'decisions_routing',
        'balancer': name,
        'load': load,
        'faults': faults,
        'seed': seed,
        'requests': arrived,
        'goodput': round(len(latencies) / arrived, 5),
        'median_ms': round(statistics.median(latencies) * 1000, 2),
        'p99_ms': round(latencies[int(len(latencies) * 0.99)] * 1000, 2),
    }


def measure_costs(candidates, rounds=20000):
    """Measures processor time of the decisions that every request takes."""
    generator = random.Random(1)
    targets = {
        f't{i}': model.Target(
            target_id=f't{i}',
            service='s',
            version='v1' if i < candidates else 'v2',
            failure_domain='abc'[i % 3],
            admission_address='',
            slots=SLOTS,
        )
        for i in range(candidates + 3)
    }
    labels = {
        kind.value: model.Label(name=kind.value, kind=kind, members=('*',))
        for kind in model.LabelKind
    }
    selector = model.Selector(
        name='s',
        proxies='proxy',
        targets='target',
        service='s',
        routes=(model.Route(path_prefix='/booking/fees'),),
        shares_by_version={'v1': 95, 'v2': 5},
    )
    settings = configuration.Configuration(
        labels_by_name=labels, selectors_by_name={'s': selector}
    )
    routes = routing.RoutingTable.build(settings, targets, 'p', None)
    entry = routes.match('/booking/fees')
    balancer = least_loaded.LeastLoaded('a')
    result = {'bench': 'decision_costs', 'candidates': candidates}
    for case in ('warm', 'one_cold_one_suspect_one_ejected'):
        loads = routing.LoadTable()
        loads.members_changed(targets.values(), 0.0)
        v1 = list(entry.targets_by_version['v1'])
        for target in v1:
            loads.load(target.target_id).latency_s = 0.01
        if case != 'warm':
            loads.load(v1[0].target_id).known_at = 0.0
            v1[1] = attrs.evolve(v1[1], state=model.MemberState.SUSPECT)
            loads.load(v1[2].target_id).probing = True
            loads.load(v1[2].target_id).ejected_until = 9.0
        steps = {
            'match': lambda: routes.match('/booking/fees/7/items?sort=asc'),
            'choose_version': lambda: entry.choose_version(generator),
            'choose_target': lambda v1=tuple(v1), loads=loads: balancer.choose(
                v1, loads, 5.0, generator
            ),
        }
        for name, step in steps.items():
            begun = time.process_time()
            for _ in range(rounds):
                step()
            seconds = time.process_time() - begun
            result[f'{name}_us_{case}'] = round(seconds / rounds * 1e6, 2)
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--seeds', type=int, default=1)
    options = parser.parse_args()
    for candidates in (3, 12, 60):
        print(json.dumps(measure_costs(candidates)), flush=True)
    for faults, load, name, seed in itertools.product(
        (False, True), (0.3, 0.6), BALANCERS, range(options.seeds)
    ):
        result = simulate(name, load, seed, options.seconds, faults)
        print(json.dumps(result), flush=True)


if __name__ == '__main__':
    main()
