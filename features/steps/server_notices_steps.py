"""Steps for what servers say of themselves in their responses."""

import asyncio
import collections
import time

from behave import then
from behave import when

from hemlockgrade import server_limit
from hemlockgrade.platform import codec
from standins import cluster
from standins import loopback

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


@when('all servers name the limit {limit}')
def name_limit_everywhere(context, limit):
    for name in context.host_names:
        context.mesh.set_server(name, limit=limit)
    context.named_at = time.monotonic()


@when('the first server names no limit')
def name_no_limit(context):
    context.mesh.set_server('h1', limit=None)
    context.arrivals_before = len(context.mesh.arrivals('h1'))


@then('the first server got at least {count:d} requests since then')
def check_arrivals_since(context, count):
    arrivals = len(context.mesh.arrivals('h1')) - context.arrivals_before
    assert arrivals >= count, arrivals


@then('the others were refused within {limit_s:g} seconds and may return later')
def check_refused_at_once(context, limit_s):
    refused = [r for r in context.results if r[0] != 200]
    assert refused
    for status, elapsed_s, headers in refused:
        assert status == 503, (status, headers)
        assert elapsed_s < limit_s, elapsed_s
        assert float(headers['retry-after']) > 0, headers


@when(
    'a server with {slots:d} slots names the limit {limit} while {waiting:d} requests wait for it'
)
def lower_limit(context, slots, limit, waiting):
    async def run():
        async with loopback.LoopbackSystem(1, slots=slots) as system:
            host = system.hosts[0]
            # The responses of the running requests name the limit.
            path = f'/a?ms=200&limit={limit}'
            tasks = [
                asyncio.ensure_future(system.send_request('GET', path))
                for _ in range(slots + waiting)
            ]
            while host.limiter_load() != (slots, waiting):
                await asyncio.sleep(0.002)
            started_at = time.monotonic()
            responses = await asyncio.gather(*tasks)
            context.elapsed_s = time.monotonic() - started_at
            context.statuses = [response.status for response in responses]

    loopback.run(run())


@then(
    '{served:d} of {count:d} requests ran and the others were refused within {limit_s:g} seconds'
)
def check_waiting_limited(context, served, count, limit_s):
    expected = [200] * served + [503] * (count - served)
    assert sorted(context.statuses) == expected, context.statuses
    assert context.elapsed_s < limit_s, context.elapsed_s


@when(
    'a daemon has {count:d} requests for a server whose limit of {limit:d} a second only it knows'
)
def send_to_restarted_daemon(context, count, limit):
    context.run_count_by_path = loopback.run(
        run_requests_of_known_limit(count, limit)
    )


async def run_requests_of_known_limit(count, limit):
    """Returns the run counts by path, although the server names no limit."""
    async with loopback.LoopbackSystem() as system:
        system.balancer.peer('target-0').max_requests_per_s = float(limit)
        await asyncio.gather(
            *[system.send_request('GET', '/a?ms=300') for _ in range(count)]
        )
        return system.runs_by_path()


@then('the server ran at most {count:d} of them in {seconds:g} seconds')
def check_run_count(context, count, seconds):
    assert sum(context.run_count_by_path.values()) <= count, (
        context.run_count_by_path
    )


@when('a server names the limit {text} in a response')
def decode_limit(context, text):
    context.notice = codec.decode_server_notice(
        [(b'x-request-id', b'1'), (b'server-limit', text.encode())]
    )


@then('its limit is {rate}')
def check_decoded_limit(context, rate):
    expected = None if rate == 'unknown' else float(rate)
    assert context.notice.max_requests_per_s == expected, context.notice


@when(
    '{per_s:d} requests a second of priorities 0 and 2 arrive for a limit of {limit:d} a second'
)
def play_priorities(context, per_s, limit):
    server = server_limit.ServerLimit()
    server.update(float(limit), 0.0)
    context.limit = limit
    context.seconds = 10
    context.admitted = collections.Counter()
    # Requests of priority 0 alone come to 0.8 of the limit.
    urgent_every = round(per_s / (0.8 * limit))
    for number in range(per_s * context.seconds):
        now = number / per_s
        priority = 0 if number % urgent_every == 0 else 2
        if server.admits(priority, 0, now):
            server.spend(now)
            context.admitted[priority] += 1


@then(
    'the server gets {times:d} times as many requests of priority 0 as of priority 2'
)
def check_priorities(context, times):
    admitted = context.admitted
    assert admitted[0] >= 0.95 * times * admitted[2] > 0, admitted


@then('it gets at most {limit:d} a second and a burst')
def check_rate(context, limit):
    total = sum(context.admitted.values())
    burst = max(server_limit.MIN_BURST, limit * server_limit.BURST_S)
    assert total <= limit * context.seconds + burst, context.admitted


@when('it says in a response to a caller of the second host that it leaves')
def say_leaving(context):
    mesh = context.mesh
    for name in context.host_names[1:]:
        mesh.set_server(name, work_ms=30)
    mesh.set_server('h1', leaving=True)
    before = len(mesh.executed_request_ids('h1'))
    cluster.wait_until(
        lambda: (
            mesh.is_serving('h2')
            and len(mesh.executed_request_ids('h1')) > before
        ),
        'the first server has run a request of the second host',
    )


@when('the restarted daemon has heard from its server')
def wait_for_heartbeat(context):
    def knows_server():
        log = context.mesh.read_log('h1')[context.log_size :]
        return 'event=server_changed' in log or 'event=server_confirmed' in log

    cluster.wait_until(knows_server, 'the restarted daemon knows its server')


@then(
    '{count:d} requests at the second host succeed and none reaches the first server'
)
def check_leaving_server_unused(context, count):
    mesh = context.mesh
    sent = [mesh.call('h2', '/shop/x') for _ in range(count)]
    assert all(status == 200 for status, *_ in sent), sent
    reached = {request_id for request_id, _ in mesh.arrivals('h1')}
    assert not reached & {request_id for *_, request_id in sent}


@when(
    '{count:d} senders exceed a limit of {limit:d} requests a second at the same time'
)
def refuse_senders(context, count, limit):
    server = server_limit.ServerLimit()
    server.update(float(limit), 0.0)
    assert not server.admits(0, 0, 0.0)
    context.turns_s = [server.next_turn_s(0, 0, 0.0) for _ in range(count)]
    context.later_turns_s = [server.next_turn_s(0, 0, 0.0) for _ in range(100)]


@then(
    'their turns are {step_s:g} seconds apart, none more than {limit_s:g} seconds away'
)
def check_turns(context, step_s, limit_s):
    turns = [0.0, *context.turns_s]
    steps = [
        late - early for early, late in zip(turns, turns[1:], strict=False)
    ]
    assert all(abs(step - step_s) < 1e-9 for step in steps), turns
    assert max(context.later_turns_s) <= limit_s, context.later_turns_s
