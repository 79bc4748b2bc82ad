"""Steps for what servers say of themselves in their responses."""

import time

from behave import then
from behave import when

# Window of the limit, in seconds.
WINDOW_S = 4.0
# The limit binds from this time after the server first named it, in seconds.
CONTACT_S = 3.0


@when('the first server names the limit {limit}')
def name_limit(context, limit):
    # The first server is the fastest one, so that every daemon prefers it.
    for name in context.host_names[1:]:
        context.mesh.set_server(name, work_ms=30)
    context.mesh.set_server('h1', limit=limit)
    context.named_at = time.monotonic()


@then(
    'the first server got at most 1.5 times {rate:g} a second and 5 requests in 4 seconds'
)
def check_limit(context, rate):
    binding_from = context.named_at + CONTACT_S
    times = sorted(
        at for _, at in context.mesh.arrivals('h1') if at >= binding_from
    )
    largest = max(
        (
            sum(start <= at < start + WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )
    allowed = 1.5 * rate * WINDOW_S + 5
    assert largest <= allowed, (largest, allowed)


@then('at least {percent:d}% of the requests succeeded')
def check_share_of_successes(context, percent):
    total = sum(context.count_by_status.values())
    assert context.count_by_status[200] >= total * percent / 100, (
        context.count_by_status
    )
