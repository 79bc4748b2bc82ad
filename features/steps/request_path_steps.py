"""Steps on the request path, over loopback sockets in one process."""

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

from hemlockgrade import peers
from standins import loopback
from standins import target_server

SEEDS = int(os.environ.get('HEMLOCK_SEEDS', '25'))
CUTS = strategies.lists(
    strategies.one_of(strategies.none(), strategies.integers(0, 700)),
    max_size=4,
)
KINDS = ['error', 'slow', 'late', 'close', 'reset', 'cut', 'double']
FAULTS = strategies.builds(
    target_server.Fault,
    kind=strategies.sampled_from(KINDS),
    ms=strategies.sampled_from([0, 5, 200]),
    at=strategies.integers(0, 300),
    after=strategies.integers(0, 4),
    limit=strategies.integers(1, 3),
)
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


def outcome(response):
    fields = dict(response.headers) if response else {}
    return fields.get(b'x-hemlock-outcome', b'None').decode()


def echo(response):
    return json.loads(response.body)['echo']


async def until(condition):
    """Waits for a condition; the scenario's time limit bounds the wait."""
    while not condition():
        await asyncio.sleep(0.002)


def start(system, *arguments):
    return asyncio.ensure_future(system.send_request(*arguments))


def acting(text, targets=1, **options):
    """Registers an asynchronous step that acts on a running system."""

    def register(function):
        @when(text)
        def run_step(context, **arguments):
            async def main():
                async with loopback.LoopbackSystem(
                    targets, **options
                ) as system:
                    await function(context, system, **arguments)
                    context.runs = system.runs_by_path()
                    context.evidence = system.recorded_successes

            loopback.run(main())

        return function

    return register


async def play(requests, faults, cuts, back_cuts):
    """Plays a history; returns its requests with answers, and the runs."""
    async with loopback.LoopbackSystem(2, slots=3, timeout_ms=100) as system:
        for target, fault in zip(system.targets, faults, strict=False):
            target.faults = [fault]
        for relay in system.relays:
            relay.cut_requests_at = list(cuts)
            relay.cut_responses_at = list(back_cuts)

        async def one(number, method, size, form, ms):
            path = f'/r{number}'
            target = f'{path}?bytes={size}&body={form}&ms={ms}'
            head = f'x-echo: {number}\r\n'
            answer = await system.send_request(method, target, headers=head)
            return number, method, path, size, answer

        answers = await asyncio.gather(
            *[one(i, *request) for i, request in enumerate(requests)]
        )
        return answers, system.runs_by_path()


@when('generated histories of faults and cut connections are played')
def play_histories(context):
    context.played = []

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


@then('each caller got its own whole answer, or none')
def own_answers(context):
    whole = 0
    for number, _, _, size, answer, _ in context.played:
        if answer is not None and answer.status == 200:
            assert len(answer.body) == size, (number, len(answer.body))
            assert echo(answer) == str(number), (number, answer)
            whole += 1
    assert whole, 'no request succeeded, so nothing was tested'


@then("what was refused as not run is in no target's log")
def refused_not_run(context):
    for _, _, path, _, answer, runs in context.played:
        if outcome(answer) == 'not-run':
            assert path not in runs, (path, answer)


@then('no non-idempotent request ran twice')
def at_most_once(context):
    for _, method, path, _, answer, runs in context.played:
        if method in ('POST', 'PATCH'):
            assert runs.get(path, 0) <= 1, (path, answer)


@acting('{message} of a {method} is cut at each byte')
async def cut_each_byte(context, system, message, method):
    context.answers = []
    for at in range(180 if message.endswith('request') else 300):
        # A new connection for each request, so that each cut is met.
        system.pool.close()
        system.pool._closed = False
        if message == "the target's answer":
            fault = target_server.Fault('cut', at=at, limit=1)
            system.targets[0].faults = [fault]
        elif message == "the daemon's answer":
            system.relays[0].cut_responses_at = [at]
        else:
            system.relays[0].cut_requests_at = [at]
        context.answers.append(
            await system.send_request(method, f'/r{at}', b'x')
        )


@then('every caller got status {status:d} and outcome {expected}')
def every_answer(context, status, expected):
    for number, answer in enumerate(context.answers):
        found = (answer.status, outcome(answer))
        assert found == (status, expected), (number, answer)
        assert status != 200 or len(answer.body) == 200, (number, answer)


@then('each of the requests ran once')
def all_ran_once(context):
    assert set(context.runs.values()) == {1}, context.runs
    assert len(context.runs) == len(context.answers)


@then('each of the requests ran at least once')
def all_ran(context):
    assert len(context.runs) == len(context.answers)


@acting(
    'requests whose answers come too late alternate with quick ones',
    timeout_ms=40,
)
async def late_and_quick(context, system):
    late = target_server.Fault('late', route='/late', ms=60)
    system.targets[0].faults = [late]
    context.pairs = []
    for n in range(8):
        head = f'x-echo: {n}\r\n'
        late = await system.send_request('POST', '/late', headers=head)
        quick = await system.send_request('POST', '/quick', headers=head)
        context.pairs.append((outcome(late), echo(quick)))


@then('the quick ones got their own answers and the others are unknown')
def quick_own(context):
    expected = [('unknown', str(n)) for n in range(8)]
    assert context.pairs == expected, context.pairs


@acting(
    'a target answers a request again after {ms:d} ms and then gets another'
)
async def answered_again(context, system, ms):
    double = target_server.Fault('double', route='/first', ms=ms)
    system.targets[0].faults = [double]
    head = 'x-echo: first\r\n'
    context.answers = [
        await system.send_request('POST', '/first', headers=head)
    ]
    # The second answer comes while the connection is idle.
    await until(lambda: not system.targets[0].running)
    await asyncio.sleep(0.01)
    head = 'x-echo: second\r\n'
    context.answers.append(
        await system.send_request('POST', '/second', headers=head)
    )


@then('the echoes are {expected}')
def echoes_are(context, expected):
    assert [echo(a) for a in context.answers] == expected.split()


@acting('a caller requests {method} {target}')
async def request_one(context, system, method, target):
    caller = await system.connect()
    # A second request shows that the first one's end was found.
    for _ in range(2):
        caller.send(method, target)
        context.answer = await caller.read(method)


@then('the caller got status {status:d} and {size:d} bytes')
def status_and_size(context, status, size):
    assert context.answer.status == status, context.answer
    assert len(context.answer.body) == size, len(context.answer.body)


@acting('large answers are cut after their beginning was passed on')
async def cut_large(context, system):
    system.targets[0].faults = [target_server.Fault('cut', at=500_000)]
    target = '/a?bytes=1000000&body='
    context.cut = [
        await system.send_request('GET', target + form)
        for form in ('length', 'chunked')
    ]


@then('the callers see cut answers')
def saw_cut(context):
    assert context.cut == [None, None], context.cut


@then('the gates recorded {expected}')
def evidence_is(context, expected):
    found = context.evidence
    assert found == [word == 'good' for word in expected.split()], found


@then('the balancer counts three failures, less what faded meanwhile')
def counted_failures(context):
    most = 1 - (1 - peers.FAILURE_SMOOTHING_WEIGHT) ** 3
    least = most * 0.5 ** (context.took_s / peers.FAILURE_HALF_LIFE_S)
    assert least <= context.failures <= most + 1e-9, context.failures


@acting(
    'a caller reads an answer of 60 million bytes after a pause',
    timeout_ms=30_000,
)
async def read_after_pause(context, system):
    host, port = system.address.split(':')
    streams = await asyncio.open_connection(host, int(port), limit=2**16)
    caller = loopback.Caller(*streams)
    caller.send('GET', '/a?bytes=60000000')
    await asyncio.sleep(0.5)
    (connection,) = system.targets[0].connections
    context.unsent = connection.transport.get_write_buffer_size()
    context.answer = await caller.read()


@then('most of it was still at the target, and the caller got all of it')
def still_at_target(context):
    assert context.unsent > 30_000_000, context.unsent
    assert len(context.answer.body) == 60_000_000


@acting('30 requests are sent ahead with falling service times')
async def pipeline(context, system):
    caller = await system.connect()
    for n in range(30):
        target = f'/p?ms={30 - n}&bytes={200 if n % 2 else 70000}'
        caller.send('GET', target, headers=f'x-echo: {n}\r\n')
    context.echoes = [echo(await caller.read()) for _ in range(30)]


@then('their answers come in the order of the requests')
def in_order(context):
    assert context.echoes == [str(n) for n in range(30)], context.echoes


GET = b'GET / HTTP/1.1\r\nhost: x\r\n'
POST = b'POST / HTTP/1.1\r\nhost: x\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
BAD = {
    'garbage': b'\x00\x01\x02 nonsense\r\n\r\n',
    'two lengths': POST + b'content-length: 1\r\ncontent-length: 2\r\n\r\nab',
    'length and chunks': POST
    + b'content-length: 4\r\n'
    + CHUNKED
    + b'0\r\n\r\n',
    'unknown transfer coding': POST
    + b'transfer-encoding: gzip, chunked\r\n\r\n',
    'a negative length': POST + b'content-length: -1\r\n\r\n',
    'a bare line feed in it': GET + b'a: b\nc: d\r\n\r\n',
    'no host': b'GET / HTTP/1.1\r\n\r\n',
    'two hosts': GET + b'host: y\r\n\r\n',
    'a large header': GET + b'a: %b\r\n\r\n' % (b'a' * 17_000),
    'a header without end': GET + b'a: %b' % (b'a' * 300_000),
    'a large body': POST + b'content-length: 1048577\r\n\r\n',
    'a large chunked body': POST
    + CHUNKED
    + b'10000\r\n%b\r\n' % (b'a' * 65536) * 17,
    'half a header': b'GET / HTTP/1.1\r\nhost',
    'half a body': POST + b'content-length: 9\r\n\r\nab',
}


@acting('a request with {fault} is sent while another runs')
async def send_bad(context, system, fault):
    other = start(system, 'POST', '/other?ms=100&bytes=100000')
    caller = await system.connect()
    for begin in range(0, len(BAD[fault]), 8192):
        caller.writer.write(BAD[fault][begin : begin + 8192])
        await asyncio.sleep(0)
    context.bad = await caller.read()
    context.rest = await caller.reader.read()
    context.other = await other


@then('it is answered with {status:d} and the other is complete')
def bad_answered(context, status):
    assert context.bad.status == status, context.bad
    assert outcome(context.bad) == 'not-run', context.bad
    assert context.rest == b'', 'the connection had to be closed'
    assert len(context.other.body) == 100_000
    assert context.runs == {'/other': 1}, context.runs


@acting('a body is announced with an expectation')
async def expect_continue(context, system):
    caller = await system.connect()
    head = 'content-length: 5\r\nexpect: 100-continue\r\n'
    caller.send('POST', '/e', headers=head)
    context.interim = await caller.read()
    caller.writer.write(b'hello')
    context.answer = await caller.read()


@then('the caller is told to continue and then gets its answer')
def continued(context):
    assert context.interim.status == 100
    assert echo(context.answer) == 'hello'


@acting('a target answers a POST with the headers of a refusal', targets=2)
async def forged(context, system):
    context.answers = [await system.send_request('POST', '/f?forge=1')]


@acting('two callers send the same identifier')
async def same_identifier(context, system):
    head = 'x-hemlock-attempt: same-1\r\nx-hemlock-refused: full\r\n'
    asks = [system.send_request('POST', '/i', headers=head) for _ in range(2)]
    context.answers = await asyncio.gather(*asks)
    context.ids = [item['id'] for item in system.targets[0].log]


@then('both requests ran under different identifiers')
def different_identifiers(context):
    assert [a.status for a in context.answers] == [200, 200]
    assert len(set(context.ids)) == 2 and 'same-1' not in context.ids


@acting('the admission side drains while 10 requests run and 5 wait', slots=10)
async def drain(context, system):
    side = system.hosts[0]
    tasks = [start(system, 'POST', f'/d{n}?ms=150') for n in range(15)]
    await until(lambda: side.limiter_load() == (10, 5))
    side.admission.leaving = True
    tasks.append(start(system, 'POST', '/later'))
    context.answers = await asyncio.gather(*tasks)


@acting('the proxy drains while 5 requests run')
async def proxy_drains(context, system):
    tasks = [start(system, 'POST', f'/d{n}?ms=100') for n in range(5)]
    await until(lambda: system.targets[0].running == 5)
    system.factory.drain()
    system.stop_listening()
    context.answers = await asyncio.gather(*tasks)
    # A connection that is refused was not run either.
    with contextlib.suppress(ConnectionRefusedError):
        await system.send_request('POST', '/later')
        raise AssertionError('the listener is open')


@then(
    '{whole:d} answers are whole and {refused:d} requests were refused as not run'
)
def drained(context, whole, refused):
    answers = context.answers
    assert [a.status for a in answers].count(200) == whole, answers
    assert [outcome(a) for a in answers].count('not-run') == refused, answers
    assert sum(len(a.body) == 200 for a in answers) == whole, answers
    assert len(context.runs) == whole and '/later' not in context.runs


@acting('the admission side drains past its deadline')
async def drain_cut(context, system):
    task = start(system, 'POST', '/d?ms=2000')
    await until(lambda: system.targets[0].running)
    system.hosts[0].pool.close()
    context.answers = [await task]


@acting('the admission side ends while a POST is in flight')
async def admission_ends(context, system):
    task = start(system, 'POST', '/x?ms=1000')
    await until(lambda: system.targets[0].running)
    system.relays[0].stop()
    context.answers = [await task]


@acting("a caller's connection is reset while its request runs")
async def caller_gone(context, system):
    caller = await system.connect()
    caller.send('POST', '/gone?ms=4000')
    await until(lambda: system.targets[0].running)
    plain = caller.writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.writer.transport.abort()
    await until(lambda: not system.targets[0].running)
    context.cancelled = system.targets[0].counts['cancelled']
    await until(lambda: system.hosts[0].limiter_load() == (0, 0))
    context.loads = system.hosts[0].limiter_load()


@then('the target sees the cancellation and its slot is free')
def saw_cancel(context):
    assert context.cancelled == 1
    assert context.loads == (0, 0)


@acting('a caller sends a request and ends its side of the connection')
async def half_closed(context, system):
    caller = await system.connect()
    caller.send('POST', '/half?ms=50')
    caller.writer.write_eof()
    context.answer = await caller.read()


@acting('requests come that no target may run')
async def nothing_there(context, system):
    known = system.hosts[0].registrar
    server = known.server
    known.server = attrs.evolve(server, server_id='another')
    context.answers = [await system.send_request('POST', '/a')]
    known.server = server
    configuration = system.directory.configuration
    system.directory.configuration = None
    context.answers.append(await system.send_request('POST', '/a'))
    system.directory.configuration = configuration
    system.configure('elsewhere')
    context.answers.append(await system.send_request('POST', '/nowhere'))
    system.configure('x')
    head = 'x-request-timeout-ms: 0\r\n'
    context.answers.append(
        await system.send_request('POST', '/a', headers=head)
    )
    system.directory.remove('member.target-0', 9)
    context.answers.append(await system.send_request('POST', '/a'))


@then('they are answered 503, 503, 404, 503 and 503 as not run')
def nothing_run(context):
    assert [a.status for a in context.answers] == [503, 503, 404, 503, 503]
    assert {outcome(a) for a in context.answers} == {'not-run'}
    assert context.runs == {}


@acting('200 requests come at once to a target with 6 slots', slots=6)
async def many(context, system):
    asks = [system.send_request('POST', f'/m{n}?ms=5') for n in range(200)]
    context.answers = await asyncio.gather(*asks)
    context.counts = system.targets[0].counts


@then('at most 6 ran at once over at most 130 connections')
def bounds_kept(context):
    assert context.counts['most_running'] <= 6, context.counts
    assert context.counts['connections'] <= 130, context.counts
    assert not context.counts['shed'], context.counts


@then('each was answered or refused as not run')
def answered_or_refused(context):
    for number, answer in enumerate(context.answers):
        ran = context.runs.get(f'/m{number}', 0)
        expected = (200, 'None') if ran else (503, 'not-run')
        assert (answer.status, outcome(answer)) == expected, (number, answer)
        assert ran <= 1, number


@acting(
    'of three targets one drains and the process of one has ended', targets=3
)
async def three_targets(context, system):
    system.hosts[0].admission.leaving = True
    await system.targets[1].stop()
    context.answers = [
        await system.send_request('POST', f'/r{n}') for n in range(4)
    ]


@acting('a target answers, fails, closes and is too slow', timeout_ms=100)
async def outcomes(context, system):
    system.targets[0].faults = [
        target_server.Fault('error', route='/error'),
        target_server.Fault('close', route='/close'),
        target_server.Fault('late', route='/late', ms=200),
    ]
    began = time.monotonic()
    for path in ('/good', '/error', '/close', '/late'):
        await system.send_request('POST', path)
    context.took_s = time.monotonic() - began
    context.failures = system.balancer.peer('target-0').failure_fraction


@when('a target process is told to end while it answers a request')
def target_process(context):
    loopback.run(end_target_process(context))


async def end_target_process(context):
    context.said = []

    async def hear(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        size = int(head.lower().partition(b'content-length: ')[2].split()[0])
        context.said.append(json.loads(await reader.readexactly(size)))
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
        writer.close()

    server = await asyncio.start_server(hear, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    url = f'http://127.0.0.1:{port}/v1/announcements'
    command = ['-m', 'standins.target_server', '--announce', url]
    process = await asyncio.create_subprocess_exec(
        sys.executable, *command, stdout=asyncio.subprocess.PIPE
    )
    started = json.loads(await process.stdout.readline())
    await until(lambda: context.said)
    streams = await asyncio.open_connection('127.0.0.1', started['port'])
    caller = loopback.Caller(*streams)
    caller.send('POST', '/last?ms=600&bytes=50000')
    await asyncio.sleep(0.1)
    process.terminate()
    context.answer = await caller.read()
    caller.close()
    context.code = await process.wait()
    server.close()


@then('it announced itself, finished the request and then said it leaves')
def target_left(context):
    assert (context.code, len(context.answer.body)) == (0, 50_000)
    first, last = context.said[0], context.said[-1]
    assert last == {'target_id': 'target-1', 'leaving': True}, last
    names = {'target_id', 'service', 'version', 'address', 'slots'}
    assert set(first) == names | {'keep_alive_s'}, first
