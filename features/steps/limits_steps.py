"""Steps on slots, the queue and the limiter."""

import asyncio
import os

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hemlockgrade import exceptions
from hemlockgrade import limits
from hemlockgrade.plugins import slot_limiter
from standins import loopback

SEEDS = int(os.environ.get('HEMLOCK_SEEDS', '25'))
HISTORIES = hypothesis.settings(
    max_examples=SEEDS * 4, derandomize=True, database=None, deadline=None
)
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
    """Plays steps on a queue and keeps what happened to each ticket."""

    def __init__(self, slots):
        self.queue = limits.SlotQueue(slots)
        self.now = 0.0
        self.running, self.waiting = [], []
        self.ends = {}
        self.problems = []

    def play(self, step, wait_s, value, caller):
        self.now += wait_s
        getattr(self, step)(value, caller)
        if not len(self.running) == self.queue.in_use <= self.queue.slots:
            self.problems.append('wrong slots')
        if len(self.waiting) != self.queue.queued:
            self.problems.append('wrong queue')

    def arrive(self, allowed_s, caller):
        ticket = limits.SlotRequest(
            deadline=self.now + allowed_s, caller=caller
        )
        try:
            granted = self.queue.admit(ticket, self.now)
        except exceptions.RequestNotRunError:
            self.end(ticket)
            return
        self.waiting.append(ticket)
        self.take(granted)

    def release(self, service_s, _):
        if self.running:
            self.end(self.running.pop(0))
            self.take(self.queue.release(service_s, self.now))

    def expire(self, *_):
        for ticket in [t for t in self.waiting if t.deadline <= self.now]:
            self.queue.remove(ticket)
            self.waiting.remove(ticket)
            self.end(ticket)

    def take(self, granted):
        for ticket in granted.refused:
            self.waiting.remove(ticket)
            self.end(ticket)
        if granted.admitted is not None:
            self.waiting.remove(granted.admitted)
            self.running.append(granted.admitted)
            if granted.admitted.deadline < self.now:
                self.problems.append('late grant')
            if any(
                t.deadline < granted.admitted.deadline for t in self.waiting
            ):
                self.problems.append('wrong order')

    def end(self, ticket):
        self.ends[ticket] = self.ends.get(ticket, 0) + 1

    def finish(self):
        while self.running:
            self.release(0.01, None)
        if self.waiting or self.queue.in_use or self.queue.queued:
            self.problems.append('left over')
        if set(self.ends.values()) - {1}:
            self.problems.append('ended twice')


@when('generated histories of arrivals, releases and expiries are played')
def play_histories(context):
    context.problems = set()

    @hypothesis.given(strategies.integers(1, 4), STEPS)
    @HISTORIES
    def play(slots, steps):
        history = History(slots)
        for step in steps:
            history.play(*step)
        history.finish()
        context.problems.update(history.problems)

    play()


@then('the slot history shows no {problems}')
def no_problems(context, problems):
    assert not context.problems & set(problems.split(' or ')), context.problems


@when('generated cancellations meet generated releases in one limiter')
def cancellations(context):
    context.left = []

    async def work(limiter, turns):
        await limiter.acquire(asyncio.get_running_loop().time() + 5)
        try:
            for _ in range(turns):
                await asyncio.sleep(0)
        finally:
            limiter.release(0.0)

    async def main(plan):
        limiter = slot_limiter.SlotLimiter(2)
        tasks = []
        for turns, cancel in plan:
            tasks.append(asyncio.ensure_future(work(limiter, turns)))
            if cancel is not None:
                await asyncio.sleep(0)
                tasks[cancel % len(tasks)].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        context.left.append((limiter.in_use, limiter.queued))

    plans = strategies.lists(
        strategies.tuples(
            strategies.integers(0, 4),
            strategies.one_of(strategies.none(), strategies.integers(0, 20)),
        ),
        max_size=12,
    )

    @hypothesis.given(plans)
    @HISTORIES
    def play(plan):
        loopback.run(main(plan))

    play()


@then('all slots are free in the end')
def all_free(context):
    assert set(context.left) == {(0, 0)}, context.left


@given('a queue of {slots:d} slots that measured services of {s:g} seconds')
@given('a queue of {slots:d} slots that measured services of {s:g} second')
def queue_with_service(context, slots, s):
    context.queue = limits.SlotQueue(slots, service_s=s)
    context.now = 10.0
    context.tickets = []


def send(context, allowed_s, caller='', **facts):
    ticket = limits.SlotRequest(
        deadline=context.now + allowed_s, caller=caller, **facts
    )
    context.tickets.append(ticket)
    try:
        granted = context.queue.admit(ticket, context.now)
    except exceptions.RequestNotRunError:
        return 'refused', []
    if granted.admitted is ticket:
        return 'slot', []
    return 'waits', granted.refused


@given('its slots are in use')
def fill_slots(context):
    for _ in range(context.queue.slots):
        assert send(context, 100.0)[0] == 'slot'


@when('a request with {ms:d} ms comes')
def request_comes(context, ms):
    context.result = send(context, ms / 1000)


@when('caller a sends 1 request more')
def one_more(context):
    context.result = send(context, 100.0, 'a')


@then('the slot request {end}')
def it_ends(context, end):
    ends = {'gets a slot': 'slot', 'waits': 'waits', 'is refused': 'refused'}
    assert context.result[0] == ends[end], context.result


@when('it stands for {seconds:d} seconds')
def stands(context, seconds):
    turn(context, seconds, arrivals_a_release=2)


@when('it empties in between for {seconds:d} seconds')
def empties(context, seconds):
    turn(context, seconds, arrivals_a_release=1)


def turn(context, seconds, arrivals_a_release):
    queue = context.queue
    end = context.now + seconds
    while context.now < end:
        context.now += queue.service_s / queue.slots
        for _ in range(arrivals_a_release):
            send(context, 100.0)
        queue.release(queue.service_s, context.now)
        # With one arrival a release the queue is let run empty at times.
        while arrivals_a_release == 1 and queue.queued:
            queue.release(queue.service_s, context.now)


@then('the slot queue holds {count:d} requests')
def holds(context, count):
    assert context.queue.bound.max_length == count, context.queue.bound


@when('caller a sends 10 requests and then caller b sends 1')
def a_then_b(context):
    context.of_a = [send(context, 100.0, 'a') for _ in range(10)]
    context.result = send(context, 100.0, 'b')


@then("b's request waits and one of a's was refused for it")
def b_waits(context):
    outcome, displaced = context.result
    assert outcome == 'waits'
    assert [t.caller for t in displaced] == ['a']
    assert 'refused' in {outcome for outcome, _ in context.of_a}


@when('2 requests wait and the queue drains')
def two_wait(context):
    assert [send(context, 100.0)[0] for _ in range(2)] == ['waits'] * 2
    context.refused = context.queue.drain()


@then('both are refused, as is a later one, and the running ones finish')
def drained(context):
    assert len(context.refused) == 2
    assert send(context, 100.0)[0] == 'refused'
    for _ in range(2):
        granted = context.queue.release(0.05, context.now)
        assert granted == limits.AdmissionResult()
    assert context.queue.in_use == 0


@when('requests with {first:g} and then {second:g} seconds to be on time wait')
def two_with_targets(context, first, second):
    for seconds in (first, second):
        outcome, _ = send(context, 5.0, on_time_until=context.now + seconds)
        assert outcome == 'waits'


@when('requests of rank {first:d} and then of rank {second:d} wait')
def two_with_ranks(context, first, second):
    for rank in (first, second):
        assert send(context, 5.0, priority=rank)[0] == 'waits'


@when('a slot becomes free')
def slot_free(context):
    context.granted = context.queue.release(0.1, context.now)


@then('the second one gets it and the first one still waits')
def second_first(context):
    assert context.granted.admitted is context.tickets[-1]
    assert context.queue.queued == 1
    assert not context.granted.refused


@when('requests fill the queue that cannot be on time')
def fill_with_late(context):
    while len(context.tickets) < 100:
        late = context.now + 0.01
        if send(context, 5.0, on_time_until=late)[0] == 'refused':
            return
    raise AssertionError('the queue is never full')


@when('one comes that can be on time')
def on_time_comes(context):
    context.result = send(context, 5.0, on_time_until=context.now + 1.0)


@then('it waits and one that is late was refused for it')
def late_displaced(context):
    outcome, displaced = context.result
    assert outcome == 'waits', context.result
    assert [t.on_time_until < context.now + 0.1 for t in displaced] == [True]


@given('a limiter of 1 slot that measured services of {s:g} seconds')
def limiter_with_service(context, s):
    context.service_s = s


@when('a request with {seconds:g} seconds waits for the slot')
def waits_for_slot(context, seconds):
    async def play():
        limiter = slot_limiter.SlotLimiter(1)
        now = asyncio.get_running_loop().time()
        await limiter.acquire(now + 100)
        limiter.release(context.service_s)
        await limiter.acquire(now + 100)
        started = asyncio.get_running_loop().time()
        try:
            # It fits behind the running one by the mean service time.
            await limiter.acquire(started + seconds + 0.2)
        except exceptions.RequestNotRunError:
            return asyncio.get_running_loop().time() - started, seconds + 0.2
        raise AssertionError('the request got a slot')

    context.waited_s, context.allowed_s = loopback.run(play())


@then(
    'it is refused after {least:g} seconds and at least 0.1 before its deadline'
)
def refused_early(context, least):
    assert least <= context.waited_s <= context.allowed_s - 0.1, (
        context.waited_s
    )
