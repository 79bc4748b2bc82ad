"""Goodput and latency of the limiter and the retry budget under overload.

Usage: `python bench/decisions_limits.py [--seconds 20] [--seed 1]`. Seeded
simulation in virtual time: three targets of 18 slots, six proxies, services
of 50 ms in the mean (log-normal), deadlines of 80, 150, 500 and 2000 ms, no
balancing but chance. Each attempt takes 0.3 ms of its admission daemon,
which answers one after the other. A caller that failed sends again once with
probability 0.5, which makes a retry storm. One proxy sends 40 percent of the
load; in the scenario `greedy` it retries without a budget, in `slow target`
one of the targets takes five times as long. Prints one JSON line a policy.
"""

import argparse
import collections
import heapq
import itertools
import json
import math
import random
from typing import Any

import attrs

from hemlockgrade import exceptions
from hemlockgrade import limits
from hemlockgrade import retries

TARGETS = 3
SLOTS = 18
PROXIES = 6
MEAN_SERVICE_S = 0.050
SERVICE_SIGMA = 0.6
DEADLINES_S = (0.08, 0.15, 0.5, 2.0)
IDEMPOTENT_SHARE = 0.7
RESEND_SHARE = 0.5
RESEND_AFTER_S = 0.05
HOP_CPU_S = 0.0003
WARM_UP_S = 2.0
HOP_S = 0.0005
GREEDY_SHARE = 0.4
SLOW_FACTOR = 5
LOADS = (0.5, 1.0, 1.5, 3.0)
CAPACITY = TARGETS * SLOTS / MEAN_SERVICE_S


class Unbounded(limits.SlotQueue):
    """Baseline: everything waits, however long."""

    def admit(self, ticket, now):
        if self.in_use < self.slots:
            self.in_use += 1
            return limits.Granted(ticket=ticket)
        self._insert(ticket)
        return limits.Granted()

    def _insert(self, ticket):
        self._waiting.append(ticket)
        self._waiting.sort(key=lambda t: t.deadline)


class UnboundedFifo(Unbounded):
    """Baseline: everything waits, in the order of arrival."""

    def _insert(self, ticket):
        self._waiting.append(ticket)


class BoundedFifo(UnboundedFifo):
    """Baseline: a fixed queue of twice the slots, in order of arrival."""

    def admit(self, ticket, now):
        if self.queued >= 2 * self.slots:
            raise limits.refusal('the queue is full')
        return super().admit(ticket, now)


class NoEarlyRefusal(limits.SlotQueue):
    """Variant: the shipped queue that refuses only when it is full."""

    def _can_finish(self, ticket, now, position):
        return True


class FixedQueueBound(limits.QueueBound):
    def observe(self, queued, service_s, now):
        pass


class FixedBound(limits.SlotQueue):
    """Variant: the shipped queue with a fixed bound of the slots."""

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        self.bound = FixedQueueBound(self.slots)


class SharedOnly(limits.SlotQueue):
    """Variant: a full queue refuses whoever comes."""

    def _displace(self, caller):
        raise limits.refusal('the queue is full')


class CallerLimit(SharedOnly):
    """Variant: no proxy has more than half of the slots and the queue."""

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        self.held = collections.Counter()

    def admit(self, ticket, now):
        most = (self.slots + self.bound.value) / 2
        full = self.in_use >= self.slots
        if full and self.held[ticket.caller] >= most:
            raise limits.refusal('this caller has its share')
        return super().admit(ticket, now)


class Unlimited(retries.RetryBudget):
    """Baseline: retries as long as attempts and time remain."""

    def take(self):
        return True


@attrs.define(eq=False)
class Call:
    """A request of a caller with its attempts."""

    caller: int
    began: float
    deadline: float
    idempotent: bool
    resent: bool = False
    attempts: int = 0
    tried: list[int] = attrs.field(factory=list)


@attrs.define(slots=False)
class Simulation:
    """Events in virtual time."""

    queue: Any
    budget: Any
    load: float
    seconds: float
    random: random.Random
    scenario: str = 'plain'
    events: list = attrs.field(factory=list)
    order: Any = attrs.field(factory=itertools.count)
    latencies_s: list[float] = attrs.field(factory=list)
    done_by_caller: Any = attrs.field(factory=collections.Counter)
    offered_by_caller: Any = attrs.field(factory=collections.Counter)
    attempts: int = 0

    def run(self):
        self.queues = [self.queue(SLOTS) for _ in range(TARGETS)]
        self.daemon_free_at = [0.0] * TARGETS
        self.waiting = [{} for _ in range(TARGETS)]
        self.budgets = [self.budget() for _ in range(PROXIES)]
        if self.scenario == 'greedy':
            self.budgets[0] = Unlimited()
        self.at(0.0, self.arrive)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def counted(self, now):
        return WARM_UP_S <= now <= self.seconds

    def arrive(self, now):
        if now > self.seconds:
            return
        self.at(
            now + self.random.expovariate(self.load * CAPACITY), self.arrive
        )
        caller = 0
        if self.random.random() >= GREEDY_SHARE:
            caller = self.random.randrange(1, PROXIES)
        self.begin(now, caller, False)

    def begin(self, now, caller, resent):
        allowed_s = self.random.choice(DEADLINES_S)
        idempotent = self.random.random() < IDEMPOTENT_SHARE
        call = Call(caller, now, now + allowed_s, idempotent, resent)
        if not resent and self.counted(now):
            self.offered_by_caller[caller] += 1
        self.budgets[caller].count_request()
        self.send(now, call)

    def send(self, now, call):
        call.attempts += 1
        self.attempts += self.counted(now)
        fresh = [t for t in range(TARGETS) if t not in call.tried]
        index = self.random.choice(fresh or range(TARGETS))
        call.tried.append(index)
        free = max(now + HOP_S, self.daemon_free_at[index]) + HOP_CPU_S
        self.daemon_free_at[index] = free
        self.at(free, self.admit, call, index)

    def admit(self, now, call, index):
        queue = self.queues[index]
        ticket = limits.Ticket(deadline=call.deadline, caller=call.caller)
        try:
            granted = queue.admit(ticket, now)
        except exceptions.RequestNotRunError:
            self.failed(now, call, retries.Failure.NOT_RUN)
            return
        for other in granted.refused:
            self.refuse(now, other, index)
        self.hold(queue, call, 1)
        if granted.ticket is ticket:
            self.serve(now, call, index)
            return
        self.waiting[index][ticket] = call
        self.at(call.deadline, self.expire, ticket, index)

    def refuse(self, now, ticket, index):
        call = self.waiting[index].pop(ticket)
        self.hold(self.queues[index], call, -1)
        self.failed(now, call, retries.Failure.NOT_RUN)

    def hold(self, queue, call, number):
        if isinstance(queue, CallerLimit):
            queue.held[call.caller] += number

    def expire(self, now, ticket, index):
        call = self.waiting[index].pop(ticket, None)
        if call is not None:
            self.queues[index].abandon(ticket)
            self.hold(self.queues[index], call, -1)
            self.failed(now, call, retries.Failure.NOT_RUN)

    def serve(self, now, call, index):
        mean = math.log(MEAN_SERVICE_S) - SERVICE_SIGMA**2 / 2
        service_s = self.random.lognormvariate(mean, SERVICE_SIGMA)
        if self.scenario == 'slow target' and index == 0:
            service_s *= SLOW_FACTOR
        # Work past its deadline is cancelled, which frees the slot.
        end = min(now + service_s, max(call.deadline, now))
        ok = now + service_s <= call.deadline
        self.at(end, self.finish, call, index, end - now, ok)

    def finish(self, now, call, index, service_s, ok):
        queue = self.queues[index]
        self.hold(queue, call, -1)
        granted = queue.release(service_s, now)
        for ticket in granted.refused:
            self.refuse(now, ticket, index)
        if granted.ticket is not None:
            self.serve(now, self.waiting[index].pop(granted.ticket), index)
        if not ok:
            self.failed(now, call, retries.Failure.TIMEOUT)
            return
        if not self.counted(now):
            return
        self.done_by_caller[call.caller] += 1
        self.latencies_s.append(now + HOP_S - call.began)

    def failed(self, now, call, failure):
        facts = retries.RetryState(
            idempotent=call.idempotent,
            count=call.attempts,
            may_have_run=False,
            deadline=call.deadline,
        )
        budget = self.budgets[call.caller]
        decision = retries.decide(facts, failure, budget, now)
        if decision is retries.RetryDecision.RETRY_ELSEWHERE:
            self.at(now + HOP_S, self.send, call)
        elif not call.resent and self.random.random() < RESEND_SHARE:
            self.at(now + RESEND_AFTER_S, self.begin, call.caller, True)


POLICIES = {
    'shipped': (limits.SlotQueue, retries.RetryBudget),
    'no queue bound': (Unbounded, retries.RetryBudget),
    'fifo, no queue bound': (UnboundedFifo, retries.RetryBudget),
    'fifo, fixed bound': (BoundedFifo, retries.RetryBudget),
    'retries without budget': (limits.SlotQueue, Unlimited),
    'no early refusal': (NoEarlyRefusal, retries.RetryBudget),
    'fixed bound': (FixedBound, retries.RetryBudget),
    'shared limit only': (SharedOnly, retries.RetryBudget),
    'limit a caller': (CallerLimit, retries.RetryBudget),
}
SCENARIOS = {
    'plain': POLICIES,
    'greedy': ('shipped', 'shared limit only', 'limit a caller'),
    'slow target': ('shipped', 'no early refusal'),
}


def report(name: str, load: float, scenario: str, options):
    queue, budget = POLICIES[name]
    simulation = Simulation(
        queue,
        budget,
        load,
        options.seconds,
        random.Random(options.seed),
        scenario,
    )
    simulation.run()
    done = simulation.done_by_caller
    offered = simulation.offered_by_caller
    ordered = sorted(simulation.latencies_s) or [math.inf]
    others_done = sum(done[c] for c in range(1, PROXIES))
    others_offered = sum(offered[c] for c in range(1, PROXIES))
    capacity = CAPACITY * (options.seconds - WARM_UP_S)
    line = {
        'policy': name,
        'load': load,
        'scenario': scenario,
        'goodput_of_capacity': round(done.total() / capacity, 3),
        'p50_ms': round(ordered[len(ordered) // 2] * 1000, 1),
        'p99_ms': round(ordered[int(len(ordered) * 0.99)] * 1000, 1),
        'attempts_a_request': round(simulation.attempts / offered.total(), 2),
        'others_served': round(others_done / others_offered, 3),
    }
    print(json.dumps(line), flush=True)


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seed', type=int, default=1)
    chosen = parser.parse_args()
    for offered_load in LOADS:
        for scenario, policies in SCENARIOS.items():
            for policy in policies:
                report(policy, offered_load, scenario, chosen)
