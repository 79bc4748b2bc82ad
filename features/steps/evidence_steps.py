"""Steps on evidence windows and their way up the tree."""

import collections
import os

import attrs
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hemlockgrade import evidence

NOW = 1_000_000.0
SEEDS = int(os.environ.get('HEMLOCK_SEEDS', '25'))


def totals(store, since=0.0):
    comparison = store.compare('booking', 'v2', ('v1',), since)
    pairs = [p for ps in comparison.pairs_by_route.values() for p in ps]
    return (
        sum((p.new for p in pairs), evidence.NOTHING),
        sum((p.old for p in pairs), evidence.NOTHING),
        pairs,
    )


def record(recorder, version, now, ok=True, selector='booking'):
    recorder.record(selector, version, '/booking', ok, 0.02, now)


@given('a recorder for the selector booking')
def new_recorder(context):
    context.recorder = evidence.EvidenceRecorder('proxy-1')
    context.recorder.set_selectors(['booking'])
    context.store = evidence.EvidenceStore()


@when('requests of booking and of fees are recorded')
def record_two_selectors(context):
    record(context.recorder, 'v2', NOW)
    record(context.recorder, 'v2', NOW, selector='fees')


@then('only evidence on booking is taken')
def only_booking(context):
    taken = context.recorder.take(NOW)
    assert [(r.selector, r.requests) for r in taken] == [('booking', 1)], taken


@then('nothing is left to take')
def nothing_left(context):
    assert context.recorder.take(NOW) == []


@when(
    '{requests:d} requests of v2 with {errors:d} errors arrive twice at the store'
)
def arrive_twice(context, requests, errors):
    for index in range(requests):
        record(context.recorder, 'v2', NOW, ok=index >= errors)
    taken = context.recorder.take(NOW)
    assert context.store.merge(taken, NOW) == len(taken)
    assert context.store.merge(taken, NOW + 1) == 0


@then('the store has {requests:d} requests of v2 with {errors:d} errors')
def store_has(context, requests, errors):
    new, _, _ = totals(context.store)
    assert (new.requests, new.errors) == (requests, errors), new


@when(
    'records of two windows arrive in reverse order, {seconds:d} seconds late'
)
def arrive_late(context, seconds):
    for offset in (0, 1):
        for version in ('v1', 'v2'):
            record(context.recorder, version, NOW + offset)
    for entry in reversed(context.recorder.take(NOW + 2)):
        context.store.merge([entry], NOW + seconds)


@then('both versions stand side by side in each of the two windows')
def side_by_side(context):
    _, _, pairs = totals(context.store)
    counts = [(p.window, p.new.requests, p.old.requests) for p in pairs]
    first = int(NOW)
    assert counts == [(first, 1, 1), (first + 1, 1, 1)], counts


@then('both versions stand side by side in one block of both windows')
def side_by_side_in_block(context):
    # Windows are joined by a later merge.
    context.store.merge([], NOW + 50)
    _, _, pairs = totals(context.store)
    counts = [(p.window, p.new.requests, p.old.requests) for p in pairs]
    assert counts == [(int(NOW), 2, 2)], counts


@then('a comparison since the second window has one window')
def one_window(context):
    _, _, pairs = totals(context.store, NOW + 1)
    assert [p.window for p in pairs] == [int(NOW) + 1], pairs


@when('a record comes from a clock that is a day ahead')
def wrong_clock(context):
    record(context.recorder, 'v2', NOW + 86400)
    context.store.merge(context.recorder.take(NOW + 86400), NOW)


@when('one request of each version ends in each of {seconds:d} seconds')
def long_history(context, seconds, stage_start=0):
    for second in range(seconds):
        totals(context.store, NOW + stage_start)
        for version in ('v1', 'v2'):
            record(context.recorder, version, NOW + second)
        now = NOW + second
        context.store.merge(context.recorder.take(now), now)


@when(
    'one request of each version ends in each of {seconds:d} seconds, with a stage that starts after {start:d}'
)
def long_history_with_stage(context, seconds, start):
    long_history(context, seconds, start)
    context.stage_start = start


@then(
    'a comparison since the start of the stage has {requests:d} requests of v2'
)
def stage_requests(context, requests):
    new, _, _ = totals(context.store, NOW + context.stage_start)
    assert new.requests == requests, new.requests


@then('it keeps fewer than {count:d} windows')
def few_windows(context, count):
    _, _, pairs = totals(context.store)
    assert len(pairs) < count, len(pairs)


@when('a record arrives and arrives again after 2 hours')
def expired(context):
    record(context.recorder, 'v2', NOW)
    taken = context.recorder.take(NOW)
    context.store.merge(taken, NOW)
    later = NOW + 7200
    record(context.recorder, 'v1', later)
    context.store.merge(context.recorder.take(later), later)
    assert context.store.merge(taken, later) == 0


@when('records with errors go over the wire with a contradictory one')
def over_the_wire(context):
    for ok in (True, False):
        record(context.recorder, 'v2', NOW, ok)
        record(context.recorder, 'v1', NOW, ok)
    context.sent = context.recorder.take(NOW)
    wrong = attrs.evolve(context.sent[-1], errors=9, sequence=3)
    batches = evidence.to_wire([*context.sent, wrong])
    context.received = [r for b in batches for r in evidence.from_wire(b)]


@then('the same records come out without the contradictory one')
def same_records(context):
    assert context.received == context.sent, context.received


Request = collections.namedtuple('Request', 'proxy version second ok')
REQUESTS = strategies.lists(
    strategies.builds(
        Request,
        strategies.integers(0, 3),
        strategies.sampled_from(['v1', 'v2']),
        strategies.integers(0, 400),
        strategies.booleans(),
    ),
    max_size=60,
)


def deliver(records, receiver, now, data):
    """Delivers in any order; some records come twice."""
    if not records:
        return
    order = data.draw(strategies.permutations(records))
    again = data.draw(strategies.lists(strategies.sampled_from(records)))
    for entry in [*order, *again]:
        receiver.merge([entry], now)


@then('generated histories over two relays give the sums of their requests')
def generated_histories(context):
    @hypothesis.settings(
        max_examples=SEEDS, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(REQUESTS, strategies.data())
    def check(requests, data):
        store = evidence.EvidenceStore()
        relays = [evidence.EvidenceAggregator(f'relay-{i}') for i in (0, 1)]
        recorders = [evidence.EvidenceRecorder(f'proxy-{i}') for i in range(4)]
        for recorder in recorders:
            recorder.set_selectors(['booking'])
        # Each half of the requests makes one round up the tree.
        half = len(requests) // 2
        for part in (requests[:half], requests[half:]):
            now = NOW + 400
            for request in part:
                recorders[request.proxy].record(
                    'booking',
                    request.version,
                    '/booking',
                    request.ok,
                    0.02,
                    NOW + request.second,
                )
            for index, recorder in enumerate(recorders):
                deliver(recorder.take(now), relays[index % 2], now, data)
            for relay in relays:
                deliver(relay.take(now), store, now, data)
        for counts, version in zip(
            totals(store)[:2], ('v2', 'v1'), strict=True
        ):
            expected = [r for r in requests if r.version == version]
            assert counts.requests == len(expected)
            assert counts.errors == sum(not r.ok for r in expected)
            assert sum(counts.latency_buckets) == len(expected)

    check()
