"""Steps on the retry decision, its budget and the ledger of requests."""

import os

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hemlockgrade import exceptions
from hemlockgrade import ledger
from hemlockgrade import retries

SEEDS = int(os.environ.get('HEMLOCK_SEEDS', '25'))
HISTORIES = hypothesis.settings(
    max_examples=SEEDS * 4, derandomize=True, database=None, deadline=None
)


@when('a {method} fails with {failure} and {earlier} earlier')
def fails(context, method, failure, earlier):
    budget = retries.RetryBudget()
    while 'no budget' in earlier and budget.take():
        pass
    attempts = retries.RetryState(
        idempotent=retries.is_idempotent(method),
        sent_attempts=3 if earlier == 'three attempts' else 1,
        max_sent_attempts=3,
        refusals=5 if earlier == 'five refusals' else 1,
        may_have_run='a possible run' in earlier,
        deadline=10.0 if earlier == 'no time' else 11.0,
    )
    context.decision = retries.decide(
        attempts, retries.Failure(failure), budget, 10.0
    )


@then('the retry decision is {decision}')
def decided(context, decision):
    assert context.decision == retries.RetryDecision(decision)


@when('generated histories of requests and failures draw on a budget')
def draw(context):
    context.counts = []

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 30), strategies.integers(0, 30)
            )
        )
    )
    @HISTORIES
    def play(steps):
        budget = retries.RetryBudget()
        requests = taken = 0
        for new, failed in steps:
            for _ in range(new):
                budget.count_request()
            requests += new
            taken += sum(budget.take() for _ in range(failed))
            context.counts.append((requests, taken))

    play()


@then('retries never exceed a tenth of the requests plus the reserve')
def within_budget(context):
    assert any(taken for _, taken in context.counts)
    for requests, taken in context.counts:
        allowed = (
            requests * retries.DEFAULT_RETRIES_PER_REQUEST
            + retries.DEFAULT_MAX_SAVED_RETRIES
        )
        assert taken <= allowed + 1e-9, (requests, taken)


@when('generated histories of admissions, fences and expiries are played')
def play_ledger(context):
    context.admitted, context.never_seen = [], []
    identifiers = strategies.tuples(
        strategies.sampled_from(['p.1', 'p.2']), strategies.integers(0, 5)
    )
    steps = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['admit', 'fence']),
            identifiers,
            strategies.sampled_from([0.0, 1.0, ledger.RETENTION_S + 1]),
        ),
        max_size=30,
    )

    @hypothesis.given(steps)
    @HISTORIES
    def play(steps):
        book = ledger.AttemptLedger('boot')
        now = 0.0
        admitted, never_seen = [], set()
        for step, (prefix, number), wait_s in steps:
            now += wait_s
            book.expire(now)
            request_id = f'{prefix}-{number}'
            if step == 'fence':
                result = book.fence(request_id, 'boot', now)
                if result is ledger.FenceResult.NEVER_SEEN:
                    never_seen.add(request_id)
                continue
            try:
                book.admit(request_id, now)
                admitted.append(request_id)
            except exceptions.HemlockError:
                pass
        context.admitted.append(admitted)
        context.never_seen.append(never_seen)

    play()


@then('no identifier was admitted twice')
def admitted_once(context):
    assert any(context.admitted)
    for admitted in context.admitted:
        assert len(admitted) == len(set(admitted)), admitted


@then('no identifier was both admitted and reported as never seen')
def exclusive(context):
    assert any(context.never_seen)
    pairs = zip(context.admitted, context.never_seen, strict=True)
    for admitted, never_seen in pairs:
        assert not never_seen & set(admitted), (admitted, never_seen)


@when('a fence with another boot identifier comes')
def other_boot(context):
    context.book = ledger.AttemptLedger('new')
    context.result = context.book.fence('p.1-1', 'old', 0.0)


@then('its result is unknown and the request may still be admitted')
def unknown_and_admitted(context):
    assert context.result is ledger.FenceResult.UNKNOWN
    context.book.admit('p.1-1', 0.0)


@when('{count:d} requests are admitted in {seconds:d} seconds')
def many_admitted(context, count, seconds):
    context.book = ledger.AttemptLedger('boot')
    context.most = 0
    context.rate = count / seconds
    for number in range(count):
        now = number / context.rate
        context.book.expire(now)
        context.book.admit(f'p.1-{number}', now)
        context.most = max(context.most, len(context.book))


@then('the ledger holds at most the entries of its retention time')
def ledger_bounded(context):
    assert context.most <= context.rate * ledger.RETENTION_S + 2, context.most


@then('a fence for the first of them has the result unknown')
def first_unknown(context):
    result = context.book.fence('p.1-0', 'boot', 300.0)
    assert result is ledger.FenceResult.UNKNOWN
