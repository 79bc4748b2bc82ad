"""Steps for the slot queue and the limiter."""

import asyncio
import json
import os
import pathlib
import subprocess
import sys

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hemlockgrade import exceptions
from hemlockgrade import limits
from hemlockgrade.plugins import slot_limiter
from standins import loopback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# A quarter of the number of generated histories that each property runs.
SEEDS = int(os.environ.get('HEMLOCK_SEEDS', '25'))
HISTORIES = hypothesis.settings(
    max_examples=SEEDS * 4, derandomize=True, database=None, deadline=None
)
# Each step is an action, the time since the previous step in seconds, a value
# in seconds and a caller. The value is the time to the deadline for an arrival,
# the service time for a release, and unused for an expiry.
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['arrive', 'arrive', 'release', 'expire']),
        strategies.floats(0, 0.05),
        strategies.floats(0.001, 0.5),
        strategies.sampled_from(['a', 'b', 'c']),
    ),
    max_size=60,
)


class History:
    """Runs steps on a queue and checks its state after each of them.

    Attributes:
        end_count_by_request: How often each request finished or was refused;
            the right number is 1.
        problems: Names of the invalid states that were found.
    """

    def __init__(self, slots):
        self.queue = limits.SlotQueue(slots)
        self.now = 0.0
        self.running, self.waiting = [], []
        self.end_count_by_request = {}
        self.problems = []

    def play(self, step, wait_s, value, caller):
        self.now += wait_s
        getattr(self, step)(value, caller)
        if not len(self.running) == self.queue.in_use <= self.queue.slots:
            self.problems.append('wrong slot count')
        if len(self.waiting) != self.queue.queued:
            self.problems.append('wrong queue length')

    def arrive(self, allowed_s, caller):
        slot_request = limits.SlotRequest(
            deadline=self.now + allowed_s, caller=caller
        )
        try:
            admission = self.queue.admit(slot_request, self.now)
        except exceptions.RequestNotRunError:
            self.count_end(slot_request)
            return
        self.waiting.append(slot_request)
        self.apply_admission(admission)

    def release(self, service_s, _):
        if self.running:
            self.count_end(self.running.pop(0))
            self.apply_admission(self.queue.release(service_s, self.now))

    def expire(self, *_):
        for slot_request in [r for r in self.waiting if r.deadline <= self.now]:
            self.queue.remove(slot_request)
            self.waiting.remove(slot_request)
            self.count_end(slot_request)

    def apply_admission(self, admission):
        for slot_request in admission.refused:
            self.waiting.remove(slot_request)
            self.count_end(slot_request)
        if admission.admitted is not None:
            self.waiting.remove(admission.admitted)
            self.running.append(admission.admitted)
            if admission.admitted.deadline < self.now:
                self.problems.append('admission after the deadline')
            if any(
                r.deadline < admission.admitted.deadline for r in self.waiting
            ):
                self.problems.append('admission in the wrong order')

    def count_end(self, slot_request):
        self.end_count_by_request[slot_request] = (
            self.end_count_by_request.get(slot_request, 0) + 1
        )

    def finish(self):
        while self.running:
            self.release(0.01, None)
        if self.waiting or self.queue.in_use or self.queue.queued:
            self.problems.append('leftover request')
        if set(self.end_count_by_request.values()) - {1}:
            self.problems.append('request that ended twice')


@when('generated sequences of arrivals, releases and timeouts are run')
def run_histories(context):
    context.problems = set()

    # Hypothesis derives its seed from the source of this function, decorators
    # included: a changed name in it changes the generated histories.
    @hypothesis.given(strategies.integers(1, 4), STEPS)
    @HISTORIES
    def play(slots, steps):
        history = History(slots)
        for step in steps:
            history.play(*step)
        history.finish()
        context.problems.update(history.problems)

    play()


@then('the slot queue has no {problems}')
def check_problems(context, problems):
    assert not context.problems & set(problems.split(' or ')), context.problems


@when('generated cancellations and releases are run on one limiter')
def run_cancellations(context):
    context.slot_and_queue_counts = []

    async def hold_slot(limiter, loop_iterations):
        await limiter.acquire(
            limits.SlotRequest(deadline=asyncio.get_running_loop().time() + 5)
        )
        try:
            for _ in range(loop_iterations):
                await asyncio.sleep(0)
        finally:
            limiter.release(0.0)

    async def main(plan):
        limiter = slot_limiter.SlotLimiter(2)
        tasks = []
        for loop_iterations, cancelled in plan:
            tasks.append(
                asyncio.ensure_future(hold_slot(limiter, loop_iterations))
            )
            if cancelled is not None:
                await asyncio.sleep(0)
                tasks[cancelled % len(tasks)].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        context.slot_and_queue_counts.append((limiter.in_use, limiter.queued))

    # For each task the number of event loop iterations for which it holds its
    # slot, and the index of a task to cancel, modulo the number of tasks, or
    # None.
    plans = strategies.lists(
        strategies.tuples(
            strategies.integers(0, 4),
            strategies.one_of(strategies.none(), strategies.integers(0, 20)),
        ),
        max_size=12,
    )

    # Hypothesis derives its seed from the source of this function, decorators
    # included: a changed name in it changes the generated histories.
    @hypothesis.given(plans)
    @HISTORIES
    def play(plan):
        loopback.run(main(plan))

    play()


@then('all slots are free at the end')
def check_all_free(context):
    assert set(context.slot_and_queue_counts) == {(0, 0)}, (
        context.slot_and_queue_counts
    )


@given('a queue of {slots:d} slots with a mean service time of {s:g} seconds')
@given('a queue of {slots:d} slots with a mean service time of {s:g} second')
def build_queue(context, slots, s):
    context.queue = limits.SlotQueue(slots, service_s=s)
    context.now = 10.0
    context.slot_requests = []


def send(context, allowed_s, caller='', **attributes):
    """Requests a slot; returns the result and the requests refused for it."""
    slot_request = limits.SlotRequest(
        deadline=context.now + allowed_s, caller=caller, **attributes
    )
    context.slot_requests.append(slot_request)
    try:
        admission = context.queue.admit(slot_request, context.now)
    except exceptions.ServerBusyError:
        return 'busy', []
    except exceptions.RequestNotRunError:
        return 'refused', []
    if admission.admitted is slot_request:
        return 'slot', []
    return 'waits', admission.refused


@given('its slots are in use')
def fill_slots(context):
    for _ in range(context.queue.slots):
        assert send(context, 100.0)[0] == 'slot'


@when('a request with a deadline in {ms:d} ms arrives')
def send_with_deadline(context, ms):
    context.result = send(context, ms / 1000)


@when('caller a sends another request')
def send_another(context):
    context.result = send(context, 100.0, 'a')


@then('the slot request {result}')
def check_result(context, result):
    result_by_text = {
        'gets a slot': 'slot',
        'waits': 'waits',
        'is refused': 'refused',
        'is refused as busy': 'busy',
    }
    assert context.result[0] == result_by_text[result], context.result


@when('the queue never empties for {seconds:d} seconds')
def overload_queue(context, seconds):
    simulate_load(context, seconds, arrivals_per_release=2)


@when('the queue empties repeatedly for {seconds:d} seconds')
def empty_queue_repeatedly(context, seconds):
    simulate_load(context, seconds, arrivals_per_release=1)


def simulate_load(context, seconds, arrivals_per_release):
    queue = context.queue
    end = context.now + seconds
    while context.now < end:
        context.now += queue.service_s / queue.slots
        for _ in range(arrivals_per_release):
            send(context, 100.0)
        queue.release(queue.service_s, context.now)
        # With one arrival per release the queue is emptied after each arrival.
        while arrivals_per_release == 1 and queue.queued:
            queue.release(queue.service_s, context.now)


@then('the queue bound is {count:d} requests')
def check_queue_bound(context, count):
    assert context.queue.bound.max_length == count, context.queue.bound


@when('caller a sends 10 requests and then caller b sends 1')
def send_from_a_then_b(context):
    context.results_of_a = [send(context, 100.0, 'a') for _ in range(10)]
    context.result = send(context, 100.0, 'b')


@then("b's request waits and one of a's waiting requests was refused for it")
def check_fair_share(context):
    outcome, displaced = context.result
    assert outcome == 'waits'
    assert [r.caller for r in displaced] == ['a']
    assert 'refused' in {outcome for outcome, _ in context.results_of_a}


@when('2 requests wait and the queue drains')
def drain_with_waiting(context):
    assert [send(context, 100.0)[0] for _ in range(2)] == ['waits'] * 2
    context.refused = context.queue.drain()


@then('both and a later request are refused, and the running ones finish')
def check_drained(context):
    assert len(context.refused) == 2
    assert send(context, 100.0)[0] == 'refused'
    for _ in range(2):
        admission = context.queue.release(0.05, context.now)
        assert admission == limits.AdmissionResult()
    assert context.queue.in_use == 0


@when(
    'requests with latency targets of {first:g} and then {second:g} seconds wait'
)
def queue_two_latency_targets(context, first, second):
    for seconds in (first, second):
        outcome, _ = send(context, 5.0, on_time_until=context.now + seconds)
        assert outcome == 'waits'


@when('requests of priority {first:d} and then of priority {second:d} wait')
def queue_two_priorities(context, first, second):
    for priority in (first, second):
        assert send(context, 5.0, priority=priority)[0] == 'waits'


@when('a slot becomes free')
def release_slot(context):
    context.admission = context.queue.release(0.1, context.now)


@then('the second request gets it and the first one still waits')
def check_second_got_slot(context):
    assert context.admission.admitted is context.slot_requests[-1]
    assert context.queue.queued == 1
    assert not context.admission.refused


@when('requests that cannot be on time fill the queue')
def fill_with_late_requests(context):
    while len(context.slot_requests) < 100:
        late = context.now + 0.01
        if send(context, 5.0, on_time_until=late)[0] == 'refused':
            return
    raise AssertionError('the queue is not full after 100 requests')


@when('a request arrives that can be on time')
def send_on_time_request(context):
    context.result = send(context, 5.0, on_time_until=context.now + 1.0)


@then('it waits and a late request was refused for it')
def check_late_displaced(context):
    outcome, displaced = context.result
    assert outcome == 'waits', context.result
    assert [r.on_time_until < context.now + 0.1 for r in displaced] == [True]


@given('a limiter of 1 slot with a mean service time of {s:g} seconds')
def set_service_time(context, s):
    context.service_s = s


@when(
    'a request that has to start within {seconds:g} seconds waits for the slot'
)
def wait_for_slot(context, seconds):
    async def run():
        limiter = slot_limiter.SlotLimiter(1)
        now = asyncio.get_running_loop().time()
        await limiter.acquire(limits.SlotRequest(deadline=now + 100))
        limiter.release(context.service_s)
        await limiter.acquire(limits.SlotRequest(deadline=now + 100))
        started = asyncio.get_running_loop().time()
        try:
            # The latest start is half of the mean service time, 0.2 s, before
            # the deadline. By the mean service time this request can finish
            # after the running one, so it is queued.
            await limiter.acquire(
                limits.SlotRequest(deadline=started + seconds + 0.2)
            )
        except exceptions.RequestNotRunError:
            return asyncio.get_running_loop().time() - started, seconds + 0.2
        raise AssertionError('the request got a slot')

    context.waited_s, context.allowed_s = loopback.run(run())


@then(
    'it is refused after {least:g} seconds and at least 0.1 seconds before its '
    'deadline'
)
def check_refused_early(context, least):
    assert least <= context.waited_s <= context.allowed_s - 0.1, (
        context.waited_s
    )


@when('the simulation of the limits is run at {load} times the capacity')
def run_simulation(context, load):
    options = ['--seconds', '2.5', '--loads', load]
    process = subprocess.run(
        [sys.executable, 'bench/decisions_limits.py', *options],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
    )
    assert process.returncode == 0, process.stderr
    context.results = [json.loads(line) for line in process.stdout.splitlines()]


@then('it has a result for each of its {count:d} cases')
def check_results_complete(context, count):
    cases = {(each['scenario'], each['policy']) for each in context.results}
    assert len(cases) == len(context.results) == count, context.results


@then('each variant of the queue differs from the package')
def check_variants_differ(context):
    figures_by_policy = {
        each.pop('policy'): each
        for each in context.results
        if each['scenario'] == 'plain'
    }
    package = figures_by_policy.pop('shipped')
    del figures_by_policy['retries without budget']
    same = [n for n, found in figures_by_policy.items() if found == package]
    assert not same, same
