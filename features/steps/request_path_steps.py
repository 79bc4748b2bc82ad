"""Steps for the request path, over loopback sockets in one process."""

import asyncio
import contextlib
import json
import os
import socket
import struct
import sys
import time

import attrs
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import limits
from hemlockgrade import peers
from hemlockgrade import sender
from hemlockgrade import upstream
from standins import loopback
from standins import target_server

# Number of generated histories for each property.
SEEDS = int(os.environ.get('HEMLOCK_SEEDS', '25'))
# For each connection the position of its cut in bytes; None means no cut.
CUTS = strategies.lists(
    strategies.one_of(strategies.none(), strategies.integers(0, 700)),
    max_size=4,
)
FAULT_KINDS = ['error', 'slow', 'late', 'close', 'reset', 'cut', 'double']
FAULTS = strategies.builds(
    target_server.Fault,
    kind=strategies.sampled_from(FAULT_KINDS),
    ms=strategies.sampled_from([0, 5, 200]),
    at=strategies.integers(0, 300),
    after=strategies.integers(0, 4),
    limit=strategies.integers(1, 3),
)
# Method, body size in bytes, body framing and service time in ms.
REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
        strategies.sampled_from([200, 5000, 100_000]),
        strategies.sampled_from(['length', 'chunked']),
        strategies.sampled_from([0, 1, 4]),
    ),
    min_size=1,
    max_size=10,
)


def outcome_header(response):
    """Returns the header with the outcome; the text None if it is missing."""
    fields = dict(response.headers) if response else {}
    return fields.get(b'x-hemlock-outcome', b'None').decode()


def echoed_text(response):
    """Returns the text of the request that the target repeats in its body."""
    return json.loads(response.body)['echo']


async def wait_until(condition):
    """Waits for a condition; the time limit of `loopback.run` applies."""
    while not condition():
        await asyncio.sleep(0.002)


def start_request(system, *arguments):
    """Starts a task that sends a request and returns its response."""
    return asyncio.ensure_future(system.send_request(*arguments))


def when_system_runs(text, targets=1, **options):
    """Registers an asynchronous step that gets a running system."""

    def register(function):
        @when(text)
        def run_step(context, **arguments):
            async def main():
                async with loopback.LoopbackSystem(
                    targets, **options
                ) as system:
                    await function(context, system, **arguments)
                    context.run_count_by_path = system.runs_by_path()
                    context.evidence = system.recorded_successes

            loopback.run(main())

        return function

    return register


async def play(requests, faults, request_cuts, response_cuts):
    """Returns the requests with their responses, and the run counts by path."""
    async with loopback.LoopbackSystem(2, slots=3, timeout_ms=100) as system:
        for target, fault in zip(system.targets, faults, strict=False):
            target.faults = [fault]
        for relay in system.relays:
            relay.cut_requests_at = list(request_cuts)
            relay.cut_responses_at = list(response_cuts)

        async def send(number, method, size, framing, ms):
            path = f'/r{number}'
            target = f'{path}?bytes={size}&body={framing}&ms={ms}'
            head = f'x-echo: {number}\r\n'
            response = await system.send_request(method, target, headers=head)
            return number, method, path, size, response

        responses = await asyncio.gather(
            *[send(i, *request) for i, request in enumerate(requests)]
        )
        return responses, system.runs_by_path()


@when('generated requests are sent over failing targets and connections')
def run_histories(context):
    context.played = []

    # Hypothesis derives its seed from the source of this function, decorators
    # included: a changed name in it changes the generated histories.
    @hypothesis.given(
        REQUESTS, strategies.lists(FAULTS, max_size=2), CUTS, CUTS
    )
    @hypothesis.settings(
        max_examples=SEEDS,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    def history(requests, faults, cuts, back_cuts):
        answers, runs = loopback.run(play(requests, faults, cuts, back_cuts))
        context.played.extend((*answer, runs) for answer in answers)

    history()


@then('each caller got the complete response to its own request, or none')
def check_own_responses(context):
    succeeded = 0
    for number, _, _, size, response, _ in context.played:
        if response is not None and response.status == 200:
            assert len(response.body) == size, (number, len(response.body))
            assert echoed_text(response) == str(number), (number, response)
            succeeded += 1
    assert succeeded, 'no request succeeded, so no response was checked'


@then('no request that was refused as not run is in the log of a target')
def check_refused_requests(context):
    for _, _, path, _, response, run_count_by_path in context.played:
        if outcome_header(response) == 'not-run':
            assert path not in run_count_by_path, (path, response)


@then('no non-idempotent request ran twice')
def check_non_idempotent_requests(context):
    for (
        _,
        method,
        path,
        _,
        response,
        run_count_by_path,
    ) in context.played:
        if method in ('POST', 'PATCH'):
            assert run_count_by_path.get(path, 0) <= 1, (path, response)


@when_system_runs(
    '{message} of a {method} request is cut off after each of its first bytes'
)
async def cut_message_after_first_bytes(context, system, message, method):
    # A process that waits for a processor would miss the timeout of the fence,
    # and the outcome would be unknown. The timeout is not what is tested here.
    context.add_cleanup(
        setattr, sender, 'FENCE_TIMEOUT_S', sender.FENCE_TIMEOUT_S
    )
    sender.FENCE_TIMEOUT_S = system.timeout_s
    context.responses = []
    # Each of the messages has more bytes than the largest number here.
    for bytes_before_cut in range(180 if message.endswith('request') else 300):
        # Each request needs a new connection, because a relay cuts the
        # connection that is opened next.
        system.pool.close()
        system.pool._closed = False
        if message == "the target's response":
            fault = target_server.Fault('cut', at=bytes_before_cut, limit=1)
            system.targets[0].faults = [fault]
        elif message == "the daemon's response":
            system.relays[0].cut_responses_at = [bytes_before_cut]
        else:
            system.relays[0].cut_requests_at = [bytes_before_cut]
        context.responses.append(
            await system.send_request(method, f'/r{bytes_before_cut}', b'x')
        )


@then('every caller got status {status:d} and outcome {expected}')
def check_each_response(context, status, expected):
    for number, response in enumerate(context.responses):
        found = (response.status, outcome_header(response))
        assert found == (status, expected), (number, response)
        assert status != 200 or len(response.body) == 200, (number, response)


@then('each of the requests ran once')
def check_each_ran_once(context):
    assert set(context.run_count_by_path.values()) == {1}, (
        context.run_count_by_path
    )
    assert len(context.run_count_by_path) == len(context.responses)


@then('each of the requests ran at least once')
def check_each_ran(context):
    assert len(context.run_count_by_path) == len(context.responses)


@when_system_runs('requests that time out alternate with later requests')
async def send_late_and_later_requests(context, system):
    # A late response arrives 100 ms after its timeout, in the middle of the
    # next request. Only the late requests have a short timeout, so that a busy
    # machine does not make the others time out.
    late = target_server.Fault('late', route='/late', ms=300)
    system.targets[0].faults = [late]
    context.late_outcomes_and_later_echoes = []
    for n in range(8):
        late = await system.send_request(
            'POST', '/late', headers='x-echo: late\r\nx-deadline-ms: 200\r\n'
        )
        later = await system.send_request(
            'POST', '/later?ms=200', headers=f'x-echo: {n}\r\n'
        )
        context.late_outcomes_and_later_echoes.append(
            (outcome_header(late), echoed_text(later))
        )


@then('the later requests got their own responses, the others unknown outcomes')
def check_later_requests(context):
    expected = [('unknown', str(n)) for n in range(8)]
    assert context.late_outcomes_and_later_echoes == expected, (
        context.late_outcomes_and_later_echoes
    )


@when_system_runs(
    'a target repeats its response after {ms:d} ms and gets another request'
)
async def repeat_response(context, system, ms):
    duplicate = target_server.Fault('double', route='/first', ms=ms)
    system.targets[0].faults = [duplicate]
    head = 'x-echo: first\r\n'
    context.responses = [
        await system.send_request('POST', '/first', headers=head)
    ]
    # Lets the duplicate response arrive while the connection is idle.
    await wait_until(lambda: not system.targets[0].running)
    await asyncio.sleep(0.01)
    head = 'x-echo: second\r\n'
    context.responses.append(
        await system.send_request('POST', '/second', headers=head)
    )


@then('the responses echo {expected}')
def check_echoes(context, expected):
    assert [echoed_text(r) for r in context.responses] == expected.split()


@when_system_runs('a caller requests {method} {path}')
async def send_from_caller(context, system, method, path):
    caller = await system.connect()
    # The second request on the connection fails unless the proxy has found the
    # end of the first one's response.
    for _ in range(2):
        caller.send(method, path)
        context.response = await caller.read(method)


@then('the caller got status {status:d} and a body of {size:d} bytes')
def check_status_and_size(context, status, size):
    assert context.response.status == status, context.response
    assert len(context.response.body) == size, len(context.response.body)


@when_system_runs('large responses are cut off after their start was forwarded')
async def cut_large_responses(context, system):
    system.targets[0].faults = [target_server.Fault('cut', at=500_000)]
    target = '/a?bytes=1000000&body='
    context.truncated = [
        await system.send_request('GET', target + framing)
        for framing in ('length', 'chunked')
    ]


@then('the callers got truncated responses')
def check_truncated(context):
    assert context.truncated == [None, None], context.truncated


@then('the responses were recorded as {expected}')
def check_statistics(context, expected):
    found = context.evidence
    if expected == 'none':
        expected = ''
    assert found == [word == 'successful' for word in expected.split()], found


@then(
    "the balancer's failure fraction is that of three failures, less the decay"
)
def check_failure_fraction(context):
    highest = 1 - (1 - peers.FAILURE_SMOOTHING_WEIGHT) ** 3
    lowest = highest * 0.5 ** (context.elapsed_s / peers.FAILURE_HALF_LIFE_S)
    assert lowest <= context.failure_fraction <= highest + 1e-9, (
        context.failure_fraction
    )


@when_system_runs(
    'a target times out after {ms:d} ms and the report is 50 ms late'
)
async def delay_report_of_timeout(context, system, ms):
    (target,), (relay,) = system.targets, system.relays
    target.faults = [target_server.Fault('late', route='/late', ms=200)]
    relay.response_delay_s = 0.05
    headers = f'x-request-timeout-ms: {ms}\r\n'
    await system.send_request('POST', '/late', headers=headers)
    context.failure_fraction = system.balancer.peer('target-0').failure_fraction


@when_system_runs(
    'a daemon processes the close of a peer {ms:d} ms after its deadline'
)
async def close_before_deadline_is_processed(context, system, ms):
    (target,), (server_host,) = system.targets, system.hosts
    target.faults = [target_server.Fault('late', route='/late', ms=1000)]
    host, port = server_host.address.split(':')
    caller = loopback.Caller(*await asyncio.open_connection(host, int(port)))
    started = time.monotonic()
    caller.send(
        'POST',
        '/late',
        headers='x-hemlock-server: target-0\r\n'
        'x-hemlock-attempt: caller.boot-1\r\n'
        'x-deadline-ms: 405\r\n',
    )
    await wait_until(lambda: target.running)
    caller.close()
    await asyncio.sleep(0)
    # The event loop processes the close and the deadline in one iteration.
    time.sleep(max(0.0, started + 0.4 + ms / 1000 - time.monotonic()))
    await wait_until(lambda: server_host.limiter_load() == (0, 0))
    context.measured = server_host.admission._limiter._queue._measured_count


@then('the target is free, and {amount} service time was measured')
def check_service_time_measured(context, amount):
    assert context.measured == (amount == 'a'), context.measured


@then("the balancer's failure fraction is {fraction:f}")
def check_exact_failure_fraction(context, fraction):
    assert context.failure_fraction == fraction, context.failure_fraction


@when_system_runs(
    'a caller starts to read a response of 60 million bytes after a delay',
    timeout_ms=30_000,
)
async def read_after_delay(context, system):
    host, port = system.address.split(':')
    streams = await asyncio.open_connection(host, int(port), limit=2**16)
    caller = loopback.Caller(*streams)
    caller.send('GET', '/a?bytes=60000000')
    await asyncio.sleep(0.5)
    (connection,) = system.targets[0].connections
    context.unsent_bytes = connection.transport.get_write_buffer_size()
    context.response = await caller.read()


@then('most of it was still at the target, and the caller got all of it')
def check_backpressure(context):
    assert context.unsent_bytes > 30_000_000, context.unsent_bytes
    assert len(context.response.body) == 60_000_000


@when_system_runs(
    '30 pipelined requests are sent with decreasing service times'
)
async def send_pipelined_requests(context, system):
    caller = await system.connect()
    for n in range(30):
        target = f'/p?ms={30 - n}&bytes={200 if n % 2 else 70000}'
        caller.send('GET', target, headers=f'x-echo: {n}\r\n')
    context.echoes = [echoed_text(await caller.read()) for _ in range(30)]


@then('the responses arrive in the order of the requests')
def check_order(context):
    assert context.echoes == [str(n) for n in range(30)], context.echoes


GET = b'GET / HTTP/1.1\r\nhost: x\r\n'
POST = b'POST / HTTP/1.1\r\nhost: x\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
REQUEST_BY_FAULT = {
    'garbage': b'\x00\x01\x02 nonsense\r\n\r\n',
    'two content lengths': POST
    + b'content-length: 1\r\ncontent-length: 2\r\n\r\nab',
    'a content length and chunks': POST
    + b'content-length: 4\r\n'
    + CHUNKED
    + b'0\r\n\r\n',
    'an unknown transfer coding': POST
    + b'transfer-encoding: gzip, chunked\r\n\r\n',
    'a negative content length': POST + b'content-length: -1\r\n\r\n',
    'a bare line feed in a header': GET + b'a: b\nc: d\r\n\r\n',
    'no host header': b'GET / HTTP/1.1\r\n\r\n',
    'two host headers': GET + b'host: y\r\n\r\n',
    'a large header': GET + b'a: %b\r\n\r\n' % (b'a' * 17_000),
    'a header without end': GET + b'a: %b' % (b'a' * 300_000),
    'a large body': POST + b'content-length: 1048577\r\n\r\n',
    'a large chunked body': POST
    + CHUNKED
    + b'10000\r\n%b\r\n' % (b'a' * 65536) * 17,
    'a trailer without end': POST + CHUNKED + b'0\r\na: %b' % (b'a' * 300_000),
    'a chunk extension without end': POST
    + CHUNKED
    + b'1;%b' % (b'a' * 300_000),
    'an incomplete header': b'GET / HTTP/1.1\r\nhost',
    'an incomplete body': POST + b'content-length: 9\r\n\r\nab',
}


@when_system_runs('a request with {fault} is sent while another request runs')
async def send_faulty_request(context, system, fault):
    other = start_request(system, 'POST', '/other?ms=100&bytes=100000')
    caller = await system.connect()
    for begin in range(0, len(REQUEST_BY_FAULT[fault]), 8192):
        caller.writer.write(REQUEST_BY_FAULT[fault][begin : begin + 8192])
        await asyncio.sleep(0)
    context.refusal = await caller.read()
    context.rest = await caller.reader.read()
    context.other = await other


@then('its response has status {status:d} and the other response is complete')
def check_refusal(context, status):
    assert context.refusal.status == status, context.refusal
    assert outcome_header(context.refusal) == 'not-run', context.refusal
    assert context.rest == b'', 'the proxy sent bytes after the refusal'
    assert len(context.other.body) == 100_000
    assert context.run_count_by_path == {'/other': 1}, context.run_count_by_path


@when_system_runs('a caller sends request headers that expect 100 Continue')
async def send_expect_continue(context, system):
    caller = await system.connect()
    head = 'content-length: 5\r\nexpect: 100-continue\r\n'
    caller.send('POST', '/e', headers=head)
    context.interim = await caller.read()
    caller.writer.write(b'hello')
    context.response = await caller.read()


@then('the caller gets 100 Continue and then its response')
def check_continue(context):
    assert context.interim.status == 100
    assert echoed_text(context.response) == 'hello'


@when_system_runs(
    'a target responds to a POST request with the headers of a refusal',
    targets=2,
)
async def send_forged_refusal(context, system):
    context.responses = [await system.send_request('POST', '/f?forge=1')]


@when_system_runs('two callers send the same attempt identifier')
async def send_same_identifier(context, system):
    head = 'x-hemlock-attempt: same-1\r\nx-hemlock-refused: full\r\n'
    requests = [
        system.send_request('POST', '/i', headers=head) for _ in range(2)
    ]
    context.responses = await asyncio.gather(*requests)
    context.ids = [item['id'] for item in system.targets[0].log]


@then('both requests ran under different identifiers')
def check_identifiers(context):
    assert [r.status for r in context.responses] == [200, 200]
    assert len(set(context.ids)) == 2 and 'same-1' not in context.ids


@when_system_runs(
    "the target's daemon drains while 10 requests run and 5 wait", slots=10
)
async def drain_daemon(context, system):
    host = system.hosts[0]
    tasks = [start_request(system, 'POST', f'/d{n}?ms=150') for n in range(15)]
    await wait_until(lambda: host.limiter_load() == (10, 5))
    host.admission.leaving = True
    tasks.append(start_request(system, 'POST', '/later'))
    context.responses = await asyncio.gather(*tasks)


@when_system_runs('the proxy drains while 5 requests run')
async def drain_proxy(context, system):
    tasks = [start_request(system, 'POST', f'/d{n}?ms=100') for n in range(5)]
    await wait_until(lambda: system.targets[0].running == 5)
    system.factory.drain()
    system.stop_listening()
    context.responses = await asyncio.gather(*tasks)
    # The listener is closed, so this request is not sent.
    with contextlib.suppress(ConnectionRefusedError):
        await system.send_request('POST', '/later')
        raise AssertionError('the listener of the draining proxy is still open')


@then(
    '{complete:d} requests got complete responses and {refused:d} got not-run refusals'
)
def check_drain(context, complete, refused):
    responses = context.responses
    assert [r.status for r in responses].count(200) == complete, responses
    assert [outcome_header(r) for r in responses].count('not-run') == refused, (
        responses
    )
    assert sum(len(r.body) == 200 for r in responses) == complete, responses
    assert (
        len(context.run_count_by_path) == complete
        and '/later' not in context.run_count_by_path
    )


@when_system_runs(
    "the drain of the target's daemon ends while a request still runs"
)
async def end_drain_early(context, system):
    task = start_request(system, 'POST', '/d?ms=2000')
    await wait_until(lambda: system.targets[0].running)
    system.hosts[0].pool.close()
    context.responses = [await task]


@when_system_runs(
    "the target's daemon becomes unreachable while a POST request runs"
)
async def stop_relay(context, system):
    task = start_request(system, 'POST', '/x?ms=1000')
    await wait_until(lambda: system.targets[0].running)
    system.relays[0].stop()
    context.responses = [await task]


@when_system_runs('a caller {ends} its connection while its request runs')
async def end_caller_connection(context, system, ends):
    caller = await system.connect()
    caller.send('POST', '/gone?ms=4000')
    await wait_until(lambda: system.targets[0].running)
    if ends == 'resets':
        raw_socket = caller.writer.get_extra_info('socket')
        # With a linger time of 0 s, closing the socket sends a reset.
        linger = struct.pack('ii', 1, 0)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.writer.transport.abort()
    await wait_until(lambda: not system.targets[0].running)
    context.cancelled = system.targets[0].counts['cancelled']
    await wait_until(lambda: system.hosts[0].limiter_load() == (0, 0))
    context.loads = system.hosts[0].limiter_load()


def peer_request(path):
    """Returns a request of a peer to the target; a proxy accepts it as well."""
    return (
        f'GET {path} HTTP/1.1\r\nhost: x\r\nx-deadline-ms: 2000\r\n'
        'x-hemlock-server: target-0\r\nx-hemlock-attempt: peer.boot-1\r\n'
        'x-hemlock-idempotent: 1\r\n\r\n'
    ).encode()


def reset_socket(raw_socket):
    """Closes a socket with a reset, by a linger time of 0 s."""
    linger = struct.pack('ii', 1, 0)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    raw_socket.close()


def connect_raw(address):
    """Opens a connection whose closing does not need the event loop."""
    host, port = address.split(':')
    return socket.create_connection((host, int(port)), timeout=1)


async def open_idle_connections(system):
    """Lets the pools keep connections, so that the next sends need no wait."""
    warm_up = [start_request(system, 'GET', '/warm-up?ms=50') for _ in range(4)]
    await asyncio.gather(*warm_up)


@when_system_runs(
    'a daemon reads requests together with the closes of their connections'
)
async def close_before_reading(context, system):
    for path, address, close in (
        ('/caller-reset', system.address, reset_socket),
        ('/caller-closed', system.address, socket.socket.close),
        ('/peer-reset', system.hosts[0].address, reset_socket),
        ('/peer-closed', system.hosts[0].address, socket.socket.close),
    ):
        await open_idle_connections(system)
        raw_socket = connect_raw(address)
        # The daemon accepts the connection before the request arrives.
        await asyncio.sleep(0.02)
        # Without an await between, the daemon sees both at once.
        raw_socket.sendall(peer_request(path))
        close(raw_socket)
        await asyncio.sleep(0.1)


@when_system_runs(
    'a slot becomes free together with the close of a waiting request', slots=4
)
async def close_while_waiting(context, system):
    await open_idle_connections(system)
    limiter = system.hosts[0].admission._limiter
    for _ in range(system.slots):
        await limiter.acquire(limits.SlotRequest(deadline=time.monotonic() + 1))
    raw_socket = connect_raw(system.hosts[0].address)
    raw_socket.sendall(peer_request('/waiting'))
    await wait_until(lambda: limiter.queued)
    reset_socket(raw_socket)
    limiter.release(None)
    await asyncio.sleep(0.1)
    for _ in range(system.slots - 1):
        limiter.release(None)
    context.loads = system.hosts[0].limiter_load()


@when_system_runs('a request is sent over a pool that was closed')
async def send_over_closed_pool(context, system):
    system.pool.close()
    request = http_codec.Request(method='GET', target='/closed')
    sending = system.pool.send(
        system.hosts[0].address, request, time.monotonic() + 1
    )
    context.failed_at_once = False
    try:
        # Runs the coroutine until it waits for the event loop.
        sending.send(None)
    except exceptions.ConnectFailedError:
        context.failed_at_once = True
    finally:
        sending.close()


@then('it fails before the next iteration of the event loop')
def check_failed_at_once(context):
    assert context.failed_at_once


@then('the target ran none of the requests of closed connections')
def check_closed_not_run(context):
    assert set(context.run_count_by_path) == {'/warm-up'}, (
        context.run_count_by_path
    )


@then('the slot is free')
def check_slot_free(context):
    assert context.loads == (0, 0)


@then('the target sees the cancellation and the slot is free')
def check_cancellation(context):
    assert context.cancelled == 1
    assert context.loads == (0, 0)


@when_system_runs(
    'a caller closes its connection before the first target fails', targets=2
)
async def close_before_failure(context, system):
    for target in system.targets:
        target.faults = [target_server.Fault(kind='error')]
    caller = await system.connect()
    caller.send('GET', '/left?ms=200')
    await wait_until(lambda: any(t.running for t in system.targets))
    caller.close()
    await asyncio.sleep(0.5)


@then('the targets ran {count:d} request in total')
def check_total_runs(context, count):
    assert sum(context.run_count_by_path.values()) == count, (
        context.run_count_by_path
    )


@when_system_runs(
    'a caller sends a request and half-closes its connection',
    allow_half_close=True,
)
async def half_close_connection(context, system):
    caller = await system.connect()
    caller.send('POST', '/half?ms=50')
    caller.writer.write_eof()
    context.response = await caller.read()


@when_system_runs('requests are sent that no target may run')
async def send_unservable_requests(context, system):
    registrar = system.hosts[0].registrar
    server = registrar.server
    registrar.server = attrs.evolve(server, server_id='another')
    context.responses = [await system.send_request('POST', '/a')]
    registrar.server = server
    configuration = system.directory.configuration
    system.directory.configuration = None
    context.responses.append(await system.send_request('POST', '/a'))
    system.directory.configuration = configuration
    system.configure('elsewhere')
    context.responses.append(await system.send_request('POST', '/nowhere'))
    system.configure('x')
    head = 'x-request-timeout-ms: 0\r\n'
    context.responses.append(
        await system.send_request('POST', '/a', headers=head)
    )
    system.directory.remove('member.target-0', 9)
    context.responses.append(await system.send_request('POST', '/a'))


@when_system_runs(
    'a daemon without a configuration gets a request with a timeout of {ms:d} ms'
)
async def send_before_configuration(context, system, ms):
    system.directory.configuration = None
    context.response = await system.send_request(
        'POST', '/a', headers=f'x-request-timeout-ms: {ms}\r\n'
    )


@then('the caller may return after {seconds} s')
def check_retry_after(context, seconds):
    headers = dict(context.response.headers)
    assert context.response.status == 503, context.response
    assert headers[b'retry-after'] == seconds.encode(), headers


@then('the responses are 503, 503, 404, 503 and 503 with outcome not-run')
def check_not_run(context):
    assert [r.status for r in context.responses] == [503, 503, 404, 503, 503]
    assert {outcome_header(r) for r in context.responses} == {'not-run'}
    assert context.run_count_by_path == {}


@when_system_runs(
    '200 requests arrive at once for a target with 6 slots', slots=6
)
async def send_many_requests(context, system):
    requests = [system.send_request('POST', f'/m{n}?ms=5') for n in range(200)]
    context.responses = await asyncio.gather(*requests)
    context.counts = system.targets[0].counts


@then('at most 6 requests ran at once over at most 130 connections')
def check_limits(context):
    assert context.counts['most_running'] <= 6, context.counts
    assert context.counts['connections'] <= 130, context.counts
    assert not context.counts['shed'], context.counts


@then('each of the 200 requests succeeded or was refused as not run')
def check_succeeded_or_refused(context):
    for number, response in enumerate(context.responses):
        ran = context.run_count_by_path.get(f'/m{number}', 0)
        expected = (200, 'None') if ran else (503, 'not-run')
        assert (response.status, outcome_header(response)) == expected, (
            number,
            response,
        )
        assert ran <= 1, number


@when_system_runs(
    'one of three targets is draining and the process of another has ended',
    targets=3,
)
async def stop_two_of_three_targets(context, system):
    system.hosts[0].admission.leaving = True
    await system.targets[1].stop()
    context.responses = [
        await system.send_request('POST', f'/r{n}') for n in range(4)
    ]


@when_system_runs('5 targets answer a request with 421', targets=5)
async def send_to_other_servers(context, system):
    response = await system.send_request('POST', '/a?status=421')
    assert response.status == 503, response


@then('the targets got the request {count:d} times')
def check_arrivals(context, count):
    assert context.run_count_by_path == {'/a': count}, context.run_count_by_path


@when_system_runs(
    'a target responds, fails, closes the connection and times out',
    timeout_ms=100,
)
async def send_to_faulty_target(context, system):
    system.targets[0].faults = [
        target_server.Fault('error', route='/error'),
        target_server.Fault('close', route='/close'),
        target_server.Fault('late', route='/late', ms=200),
    ]
    started = time.monotonic()
    for path in ('/good', '/error', '/close', '/late'):
        await system.send_request('POST', path)
    context.elapsed_s = time.monotonic() - started
    context.failure_fraction = system.balancer.peer('target-0').failure_fraction


@when('a request is cancelled after its response, its connection is reused')
def cancel_answered_request(context):
    context.bodies = loopback.run(cancel_after_response())


async def cancel_after_response():
    """Cancels a request whose response was received but not yet returned.

    In one iteration of the event loop the response arrives, the next request
    takes the connection, and the caller of the first request disconnects.
    """
    from twisted.internet import reactor

    accepted = []

    async def accept(reader, writer):
        accepted.append(writer)
        for body in (b'first', b'next'):
            await reader.readuntil(b'\r\n\r\n')
            await asyncio.sleep(0.1)
            if body == b'next':
                writer.write(answer(body))

    def answer(body):
        return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (
            len(body),
            body,
        )

    loop = asyncio.get_running_loop()
    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    pool = upstream.ConnectionPool(reactor)

    def send():
        request = http_codec.Request(method='POST', target='/')
        return loop.create_task(pool.send(address, request, loop.time() + 3))

    first = send()
    await wait_until(lambda: accepted)
    await asyncio.sleep(0.2)
    (connection,) = pool._open
    loop.call_soon(connection.dataReceived, answer(b'first'))
    following = send()
    loop.call_soon(first.cancel)
    results = await asyncio.gather(first, following, return_exceptions=True)
    pool.close()
    accepted[0].close()
    server.close()
    return [getattr(result, 'body', result) for result in results]


@then('the next request on the connection gets its response')
def check_next_response(context):
    assert context.bodies[1] == b'next', context.bodies


@when('a target process gets SIGTERM while it runs a request')
def terminate_target_process(context):
    loopback.run(terminate_during_request(context))


async def terminate_during_request(context):
    context.announcements = []

    async def accept_announcement(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        size = int(head.lower().partition(b'content-length: ')[2].split()[0])
        context.announcements.append(json.loads(await reader.readexactly(size)))
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
        writer.close()

    server = await asyncio.start_server(accept_announcement, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    url = f'http://127.0.0.1:{port}/v1/announcements'
    command = ['-m', 'standins.target_server', '--announce', url]
    process = await asyncio.create_subprocess_exec(
        sys.executable, *command, stdout=asyncio.subprocess.PIPE
    )
    started = json.loads(await process.stdout.readline())
    await wait_until(lambda: context.announcements)
    streams = await asyncio.open_connection('127.0.0.1', started['port'])
    caller = loopback.Caller(*streams)
    caller.send('POST', '/last?ms=600&bytes=50000')
    await asyncio.sleep(0.1)
    process.terminate()
    context.response = await caller.read()
    caller.close()
    context.exit_code = await process.wait()
    server.close()


@then('it announced itself, completed the request and deregistered')
def check_deregistration(context):
    assert (context.exit_code, len(context.response.body)) == (0, 50_000)
    first, last = context.announcements[0], context.announcements[-1]
    assert last == {'target_id': 'target-1', 'leaving': True}, last
    expected_keys = {'target_id', 'service', 'version', 'address', 'slots'}
    assert set(first) == expected_keys | {'keep_alive_s'}, first
