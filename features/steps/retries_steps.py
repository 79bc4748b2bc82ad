"""Steps for retry decisions, the retry budget and the attempt ledger."""

import os

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hemlockgrade import exceptions
from hemlockgrade import ledger
from hemlockgrade import retries

# A quarter of the number of generated histories that each property runs.
SEEDS = int(os.environ.get('HEMLOCK_SEEDS', '25'))
HISTORIES = hypothesis.settings(
    max_examples=SEEDS * 4, derandomize=True, database=None, deadline=None
)


@when('a {method} request with {condition} fails with {failure}')
def decide_after_failure(context, method, failure, condition):
    budget = retries.RetryBudget()
    while 'no budget left' in condition and budget.take():
        pass
    state = retries.RetryState(
        idempotent=retries.is_idempotent(method),
        sent_attempts=3 if condition == 'three attempts' else 1,
        max_sent_attempts=3,
        refusals=5 if condition == 'five refusals' else 1,
        may_have_run='a possible earlier run' in condition,
        deadline=10.0 if condition == 'no time left' else 11.0,
    )
    context.decision = retries.decide(
        state, retries.Failure(failure), budget, 10.0
    )


@then('the retry decision is {decision}')
def check_decision(context, decision):
    assert context.decision == retries.RetryDecision(decision)


@when('generated numbers of requests and failures use a retry budget')
def run_budget(context):
    context.counts = []

    # Hypothesis derives its seed from the source of this function, decorators
    # included: a changed name in it changes the generated histories.
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


@then('retries never exceed a tenth of the requests plus the initial budget')
def check_budget(context):
    assert any(taken for _, taken in context.counts)
    for requests, taken in context.counts:
        allowed = (
            requests * retries.DEFAULT_RETRIES_PER_REQUEST
            + retries.DEFAULT_MAX_SAVED_RETRIES
        )
        # 1e-9 allows for rounding in the multiplication.
        assert taken <= allowed + 1e-9, (requests, taken)


@when('generated sequences of admissions, fences and expiries are run')
def run_ledger(context):
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

    # Hypothesis derives its seed from the source of this function, decorators
    # included: a changed name in it changes the generated histories.
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


@then('no request identifier was admitted twice')
def check_admitted_once(context):
    assert any(context.admitted)
    for admitted in context.admitted:
        assert len(admitted) == len(set(admitted)), admitted


@then('no identifier was both admitted and reported as never seen')
def check_exclusion(context):
    assert any(context.never_seen)
    pairs = zip(context.admitted, context.never_seen, strict=True)
    for admitted, never_seen in pairs:
        assert not never_seen & set(admitted), (admitted, never_seen)


@when('a fence request for another boot identifier arrives')
def fence_other_boot(context):
    context.ledger = ledger.AttemptLedger('new')
    context.result = context.ledger.fence('p.1-1', 'old', 0.0)


@then('the fence result is unknown and the request can still be admitted')
def check_still_admitted(context):
    assert context.result is ledger.FenceResult.UNKNOWN
    context.ledger.admit('p.1-1', 0.0)


@when('a daemon is asked to fence the attempt {attempt_id}')
def fence_malformed(context, attempt_id):
    context.ledger = ledger.AttemptLedger('boot')
    try:
        context.ledger.fence(attempt_id, 'boot', 0.0)
    except exceptions.MalformedRequestError as error:
        context.error = error


@then('it is refused as malformed with the header x-hemlock-attempt')
def check_header_named(context):
    assert 'x-hemlock-attempt ' in str(context.error), context.error


@when('{count:d} requests are admitted in {seconds:d} seconds')
def admit_many(context, count, seconds):
    context.ledger = ledger.AttemptLedger('boot')
    context.largest_size = 0
    context.requests_per_s = count / seconds
    for number in range(count):
        now = number / context.requests_per_s
        context.ledger.expire(now)
        context.ledger.admit(f'p.1-{number}', now)
        context.largest_size = max(context.largest_size, len(context.ledger))


@then('the ledger holds at most the requests of its retention time')
def check_ledger_size(context):
    # The retention time includes both of its ends, which is one request more;
    # another one is allowed for rounding.
    assert (
        context.largest_size <= context.requests_per_s * ledger.RETENTION_S + 2
    ), context.largest_size


@then('a fence request for the first of them has the result unknown')
def check_first_unknown(context):
    # 300 s after its admission, when its entry has expired.
    result = context.ledger.fence('p.1-0', 'boot', 300.0)
    assert result is ledger.FenceResult.UNKNOWN
