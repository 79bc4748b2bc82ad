"""Compares policies of the limiter and the retry budget under overload.

Usage: `python bench/decisions_limits.py [--seconds 20] [--seed 1]
[--loads 0.5 1 1.5 3]`.

Simulates in virtual time, with a seed: three targets of 18 slots, six proxies,
service times with a mean of 50 ms (log-normal), time limits of 80, 150, 500
and 2000 ms, and a random choice of the target. The daemon of a target needs
0.3 ms for the admission of each attempt and processes one attempt at a time.
After a failure, a caller sends the request again once with a probability of
0.5, which causes a retry storm. One proxy sends 40 percent of the load. In the
scenario `greedy` this proxy retries without a budget; in `slow target` one
target is five times slower. Only refused attempts are retried here, and they
take nothing from the budget, so that the results without a budget are those of
the package. Prints goodput and latency as one line of JSON per
policy, scenario and load.
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
from hemlockgrade import selectors

TARGET_COUNT = 3
SLOTS = 18
PROXY_COUNT = 6
MEAN_SERVICE_S = 0.050
# Standard deviation of the logarithm of the service time.
SERVICE_SIGMA = 0.6
# Time limits of requests, in seconds; one is chosen at random for each request.
TIME_LIMITS_S = (0.08, 0.15, 0.5, 2.0)
# Fraction of idempotent requests.
IDEMPOTENT_FRACTION = 0.7
# Fraction of failed requests that the caller sends again, and the delay before
# that, in seconds.
RESEND_FRACTION = 0.5
RESEND_DELAY_S = 0.05
# Processor time that a daemon needs to admit one attempt, in seconds.
ADMISSION_CPU_S = 0.0003
# Time at the start, in seconds, whose requests do not count in the results.
WARM_UP_S = 2.0
# Network delay between a proxy and a target, in seconds.
NETWORK_DELAY_S = 0.0005
# Fraction of the load that the first proxy sends.
LARGEST_PROXY_LOAD_FRACTION = 0.4
SLOW_TARGET_FACTOR = 5
# Offered loads as multiples of the capacity.
LOADS = (0.5, 1.0, 1.5, 3.0)
CAPACITY_REQUESTS_PER_S = TARGET_COUNT * SLOTS / MEAN_SERVICE_S


class UnboundedQueue(limits.SlotQueue):
    """Baseline: an unlimited queue in the order of deadlines."""

    def admit(self, request, now):
        if self.in_use < self.slots:
            self.in_use += 1
            return limits.AdmissionResult(admitted=request)
        self._insert(request)
        return limits.AdmissionResult()

    def _insert(self, request):
        self._queue.append(request)
        self._queue.sort(key=lambda r: r.deadline)


class UnboundedFifoQueue(UnboundedQueue):
    """Baseline: an unlimited queue in the order of arrival."""

    def _insert(self, request):
        self._queue.append(request)


class BoundedFifoQueue(UnboundedFifoQueue):
    """Baseline: a queue of at most twice the slots, in order of arrival."""

    def admit(self, request, now):
        if self.queued >= 2 * self.slots:
            raise limits.refusal_error('the queue is full')
        return super().admit(request, now)


class QueueWithoutEarlyRefusal(limits.SlotQueue):
    """Variant: the queue of the package without early refusals."""

    def _wait_s(self, position):
        return -math.inf

    def latest_start(self, request):
        return request.deadline


class FixedQueueBound(limits.QueueBound):
    """Queue bound that is not adapted to the load."""

    def observe(self, queued, service_s, now):
        pass


class QueueWithFixedBound(limits.SlotQueue):
    """Variant: the queue of the package with a bound equal to its slots."""

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        self.bound = FixedQueueBound(self.slots)


class QueueWithoutDisplacement(limits.SlotQueue):
    """Variant: a full queue refuses every new request."""

    def _displace(self, new, now):
        raise limits.refusal_error('the queue is full')


class QueueWithCallerLimit(QueueWithoutDisplacement):
    """Variant: a proxy has at most half of the slots and of the queue."""

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        self.held_by_caller = collections.Counter()

    def admit(self, request, now):
        max_held = (self.slots + self.bound.max_length) / 2
        is_full = self.in_use >= self.slots
        if is_full and self.held_by_caller[request.caller] >= max_held:
            raise limits.refusal_error('the caller has reached its limit')
        return super().admit(request, now)


class UnlimitedRetryBudget(retries.RetryBudget):
    """Baseline: allows every retry while attempts and time remain."""

    def take(self):
        return True


@attrs.define(eq=False)
class Call:
    """A caller's request and its attempts.

    Attributes:
        caller: Index of the proxy that sends the request.
        started_at: Time at which the caller sent the request, in seconds.
        deadline: Time at which the caller stops waiting, in seconds.
        idempotent: True if the request may run more than once.
        resent: True if the caller sent the request again after a failure.
        attempts: Number of attempts that a server ran.
        refusals: Number of attempts that a daemon refused.
        tried: Indexes of the targets of the attempts.
    """

    caller: int
    started_at: float
    deadline: float
    idempotent: bool
    resent: bool = False
    attempts: int = 0
    refusals: int = 0
    tried: list[int] = attrs.field(factory=list)


@attrs.define(slots=False)
class Simulation:
    """Runs one policy at one load as a queue of events in virtual time.

    Attributes:
        queue: Class of the targets' queues.
        budget: Class of the proxies' retry budgets.
        load: Offered load as a multiple of the capacity.
        seconds: Time for which callers send requests, in seconds.
        random: Source of all random numbers.
        scenario: Name of the scenario.
        events: Heap of events by time.
        order: Numbers that order events of the same time.
        latencies_s: Latencies of the successful requests, in seconds.
        done_by_caller: Number of successful requests by proxy.
        offered_by_caller: Number of requests by proxy, without resent ones.
        attempts: Number of attempts.
    """

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
        self.queues = [self.queue(SLOTS) for _ in range(TARGET_COUNT)]
        self.daemon_free_at = [0.0] * TARGET_COUNT
        self.call_by_request = [{} for _ in range(TARGET_COUNT)]
        self.budgets = [self.budget() for _ in range(PROXY_COUNT)]
        if self.scenario == 'greedy':
            self.budgets[0] = UnlimitedRetryBudget()
        self.schedule(0.0, self.arrive)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def schedule(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def is_measured(self, now):
        """Returns whether events at this time count in the results."""
        return WARM_UP_S <= now <= self.seconds

    def arrive(self, now):
        """Sends a new request of a random caller."""
        if now > self.seconds:
            return
        self.schedule(
            now + self.random.expovariate(self.load * CAPACITY_REQUESTS_PER_S),
            self.arrive,
        )
        caller = 0
        if self.random.random() >= LARGEST_PROXY_LOAD_FRACTION:
            caller = self.random.randrange(1, PROXY_COUNT)
        self.start_call(now, caller, False)

    def start_call(self, now, caller, resent):
        time_limit_s = self.random.choice(TIME_LIMITS_S)
        idempotent = self.random.random() < IDEMPOTENT_FRACTION
        call = Call(caller, now, now + time_limit_s, idempotent, resent)
        if not resent and self.is_measured(now):
            self.offered_by_caller[caller] += 1
        self.budgets[caller].count_request()
        self.send(now, call)

    def send(self, now, call):
        """Sends an attempt to a target, if possible to one not tried yet."""
        self.attempts += self.is_measured(now)
        untried = [t for t in range(TARGET_COUNT) if t not in call.tried]
        index = self.random.choice(untried or range(TARGET_COUNT))
        call.tried.append(index)
        admitted_at = (
            max(now + NETWORK_DELAY_S, self.daemon_free_at[index])
            + ADMISSION_CPU_S
        )
        self.daemon_free_at[index] = admitted_at
        self.schedule(admitted_at, self.admit, call, index)

    def admit(self, now, call, index):
        queue = self.queues[index]
        request = limits.SlotRequest(deadline=call.deadline, caller=call.caller)
        try:
            result = queue.admit(request, now)
        except exceptions.RequestNotRunError:
            self.handle_failure(now, call, retries.Failure.NOT_RUN)
            return
        for displaced in result.refused:
            self.refuse(now, displaced, index)
        self.count_held(queue, call, 1)
        if result.admitted is request:
            self.serve(now, call, index)
            return
        self.call_by_request[index][request] = call
        self.schedule(call.deadline, self.expire, request, index)

    def refuse(self, now, request, index):
        """Handles a request that the queue of a target refused."""
        call = self.call_by_request[index].pop(request)
        self.count_held(self.queues[index], call, -1)
        self.handle_failure(now, call, retries.Failure.NOT_RUN)

    def count_held(self, queue, call, change):
        """Changes the count of the caller's requests in a queue or a slot."""
        if isinstance(queue, QueueWithCallerLimit):
            queue.held_by_caller[call.caller] += change

    def expire(self, now, request, index):
        """Handles a request whose deadline passes in the queue."""
        call = self.call_by_request[index].pop(request, None)
        if call is not None:
            self.queues[index].remove(request)
            self.count_held(self.queues[index], call, -1)
            self.handle_failure(now, call, retries.Failure.NOT_RUN)

    def serve(self, now, call, index):
        """Runs a request that has got a slot."""
        mean = math.log(MEAN_SERVICE_S) - SERVICE_SIGMA**2 / 2
        service_s = self.random.lognormvariate(mean, SERVICE_SIGMA)
        if self.scenario == 'slow target' and index == 0:
            service_s *= SLOW_TARGET_FACTOR
        # A request is cancelled at its deadline, which frees the slot.
        ends_at = min(now + service_s, max(call.deadline, now))
        ok = now + service_s <= call.deadline
        self.schedule(ends_at, self.finish, call, index, ends_at - now, ok)

    def finish(self, now, call, index, service_s, ok):
        """Releases the slot of a request and records its outcome."""
        queue = self.queues[index]
        self.count_held(queue, call, -1)
        result = queue.release(service_s, now)
        for request in result.refused:
            self.refuse(now, request, index)
        if result.admitted is not None:
            self.serve(
                now, self.call_by_request[index].pop(result.admitted), index
            )
        if not ok:
            self.handle_failure(now, call, retries.Failure.TIMEOUT)
            return
        if not self.is_measured(now):
            return
        self.done_by_caller[call.caller] += 1
        self.latencies_s.append(now + NETWORK_DELAY_S - call.started_at)

    def handle_failure(self, now, call, failure):
        """Retries a failed attempt, sends the request again, or gives up."""
        if failure is retries.Failure.NOT_RUN:
            call.refusals += 1
        else:
            call.attempts += 1
        retry_state = retries.RetryState(
            idempotent=call.idempotent,
            sent_attempts=call.attempts,
            max_sent_attempts=selectors.MAX_ATTEMPTS,
            refusals=call.refusals,
            may_have_run=call.attempts > 0,
            deadline=call.deadline,
        )
        budget = self.budgets[call.caller]
        decision = retries.decide(retry_state, failure, budget, now)
        if decision is retries.RetryDecision.RETRY_ELSEWHERE:
            self.schedule(now + NETWORK_DELAY_S, self.send, call)
        elif not call.resent and self.random.random() < RESEND_FRACTION:
            self.schedule(
                now + RESEND_DELAY_S, self.start_call, call.caller, True
            )


POLICIES = {
    'shipped': (limits.SlotQueue, retries.RetryBudget),
    'no queue bound': (UnboundedQueue, retries.RetryBudget),
    'fifo, no queue bound': (UnboundedFifoQueue, retries.RetryBudget),
    'fifo, fixed bound': (BoundedFifoQueue, retries.RetryBudget),
    'retries without budget': (limits.SlotQueue, UnlimitedRetryBudget),
    'no early refusal': (QueueWithoutEarlyRefusal, retries.RetryBudget),
    'fixed bound': (QueueWithFixedBound, retries.RetryBudget),
    'shared limit only': (QueueWithoutDisplacement, retries.RetryBudget),
    'limit a caller': (QueueWithCallerLimit, retries.RetryBudget),
}
SCENARIOS = {
    'plain': POLICIES,
    'greedy': ('shipped', 'shared limit only', 'limit a caller'),
    'slow target': ('shipped', 'no early refusal'),
}


def report(name: str, load: float, scenario: str, options):
    """Runs one policy and prints its results."""
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
    done_by_caller = simulation.done_by_caller
    offered_by_caller = simulation.offered_by_caller
    sorted_latencies_s = sorted(simulation.latencies_s) or [math.inf]
    others_done = sum(done_by_caller[c] for c in range(1, PROXY_COUNT))
    others_offered = sum(offered_by_caller[c] for c in range(1, PROXY_COUNT))
    capacity_requests = CAPACITY_REQUESTS_PER_S * (options.seconds - WARM_UP_S)
    line = {
        'policy': name,
        'load': load,
        'scenario': scenario,
        'goodput_of_capacity': round(
            done_by_caller.total() / capacity_requests, 3
        ),
        'p50_ms': round(
            sorted_latencies_s[len(sorted_latencies_s) // 2] * 1000, 1
        ),
        'p99_ms': round(
            sorted_latencies_s[int(len(sorted_latencies_s) * 0.99)] * 1000, 1
        ),
        'attempts_a_request': round(
            simulation.attempts / offered_by_caller.total(), 2
        ),
        'others_served': round(others_done / others_offered, 3),
    }
    print(json.dumps(line), flush=True)


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--loads', type=float, nargs='+', default=LOADS)
    chosen = parser.parse_args()
    for offered_load in chosen.loads:
        for scenario, policies in SCENARIOS.items():
            for policy in policies:
                report(policy, offered_load, scenario, chosen)
