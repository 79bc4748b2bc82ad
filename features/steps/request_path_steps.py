"""Steps on the request path, over loopback sockets in one process."""

import asyncio
import json
import os
import socket
import struct
import sys
import time

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hemlockgrade import http_codec
from hemlockgrade import retries
from standins import loopback
from standins import target_server

SEEDS = int(os.environ.get('HEMLOCK_SEEDS', '25'))
HISTORIES = hypothesis.settings(
    max_examples=SEEDS,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
CUTS = strategies.lists(
    strategies.one_of(strategies.none(), strategies.integers(0, 700)),
    max_size=4,
)
FAULTS = strategies.builds(
    target_server.Fault,
    kind=strategies.sampled_from(
        ['error', 'slow', 'late', 'close', 'reset', 'cut']
    ),
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
    if response is None:
        return None
    fields = dict(response.headers)
    return fields.get(b'x-hemlock-outcome', b'').decode() or None


def echo(response):
    return json.loads(response.body)['echo']


async def play(requests, faults, cuts, back_cuts):
    """Plays a history; returns (method, path, answer) and the runs by path."""
    async with loopback.System(2, slots=3, timeout_ms=100) as system:
        for target, fault in zip(system.targets, faults, strict=False):
            target.faults = [fault]
        for link in system.links:
            link.cut_requests_at = list(cuts)
            link.cut_answers_at = list(back_cuts)

        async def one(number, method, size, form, ms):
            path = f'/r{number}'
            target = f'{path}?bytes={size}&body={form}&ms={ms}'
            answer = await system.ask(
                method, target, headers=f'x-echo: {number}\r\n'
            )
            return number, method, path, size, answer

        answers = await asyncio.gather(
            *[one(i, *request) for i, request in enumerate(requests)]
        )
        return answers, system.runs_by_path()


@when('generated histories of faults and cut connections are played')
def play_histories(context):
    context.histories = []

    @hypothesis.given(
        REQUESTS, strategies.lists(FAULTS, max_size=2), CUTS, CUTS
    )
    @HISTORIES
    def history(requests, faults, cuts, back_cuts):
        result = loopback.run(play(requests, faults, cuts, back_cuts))
        context.histories.append(result)

    history()


@then("no caller got a part of an answer or another one's")
def own_answers(context):
    whole = 0
    for answers, _ in context.histories:
        for number, _, _, size, answer in answers:
            if answer is not None and answer.status == 200:
                assert len(answer.body) == size, (number, len(answer.body))
                assert echo(answer) == str(number), (number, answer)
                whole += 1
    assert whole, 'no request succeeded, so nothing was tested'


@then("no request that was refused as not run is in a target's log")
def refused_not_run(context):
    for answers, runs in context.histories:
        for _, _, path, _, answer in answers:
            if outcome(answer) == 'not-run':
                assert path not in runs, (path, answer)


@then('no non-idempotent request ran twice')
def at_most_once(context):
    for answers, runs in context.histories:
        for _, method, path, _, answer in answers:
            if method in ('POST', 'PATCH'):
                assert runs.get(path, 0) <= 1, (path, answer)


async def cut_each_byte(context, method, set_cut):
    async with loopback.System(1) as system:
        context.answers = []
        for at in range(10_000):
            path = f'/r{at}'
            if not set_cut(system, at):
                break
            system.proxy.budget = retries.RetryBudget()
            context.answers.append(await system.ask(method, path, b'x'))
        else:
            raise AssertionError('the message never ended')
        context.runs = system.runs_by_path()


def target_cut(system, at):
    system.targets[0].faults = [target_server.Fault('cut', at=at, limit=1)]
    return at < 250


def link_cut(name, length):
    def set_cut(system, at):
        # A new connection for each request, so that each cut is met.
        system.pool.close()
        system.pool._closed = False
        getattr(system.links[0], name)[:] = [at]
        return at < length

    return set_cut


@when("the target's answer to a {method} is cut at each byte")
def cut_target_answers(context, method):
    loopback.run(cut_each_byte(context, method, target_cut))


@when('a POST to the admission side is cut at each byte')
def cut_link_requests(context):
    loopback.run(
        cut_each_byte(context, 'POST', link_cut('cut_requests_at', 180))
    )


@when("the admission side's answer to a POST is cut at each byte")
def cut_link_answers(context):
    loopback.run(
        cut_each_byte(context, 'POST', link_cut('cut_answers_at', 250))
    )


@then('each caller is told that the outcome is unknown')
def all_unknown(context):
    for at, answer in enumerate(context.answers):
        assert answer.status == 502, (at, answer)
        assert outcome(answer) == 'unknown', (at, answer)


@then('each caller got the answer, because a fence proved that none ran')
@then('each caller got the answer')
def all_answered(context):
    for at, answer in enumerate(context.answers):
        assert answer.status == 200, (at, answer)
        assert len(answer.body) == 200, (at, answer)


@then('each of the requests ran once')
def all_ran_once(context):
    assert set(context.runs.values()) == {1}, context.runs
    assert len(context.runs) == len(context.answers)


@when('requests whose answers come too late alternate with quick ones')
def late_and_quick(context):
    async def main():
        async with loopback.System(1, timeout_ms=40) as system:
            system.targets[0].faults = [
                target_server.Fault('late', route='/late', ms=60)
            ]
            context.late, context.quick = [], []
            for number in range(8):
                head = f'x-echo: {number}\r\n'
                context.late.append(
                    await system.ask('POST', '/late', headers=head)
                )
                context.quick.append(
                    await system.ask('POST', '/quick', headers=head)
                )

    loopback.run(main())


@then('the quick ones got their own answers')
def quick_own(context):
    assert [echo(a) for a in context.quick] == [str(n) for n in range(8)]


@then('the late ones were reported as unknown')
def late_unknown(context):
    assert {outcome(a) for a in context.late} == {'unknown'}


@when('a target answers a request again after {ms:d} ms and then gets another')
def answered_again(context, ms):
    async def main():
        async with loopback.System(1) as system:
            system.targets[0].faults = [
                target_server.Fault('double', route='/first', ms=ms)
            ]
            head = 'x-echo: first\r\n'
            await system.ask('POST', '/first', headers=head)
            # The second answer comes while the connection is idle.
            await until(lambda: not system.targets[0].running)
            await asyncio.sleep(0.01)
            head = 'x-echo: second\r\n'
            context.answer = await system.ask('POST', '/second', headers=head)
            context.runs = system.runs_by_path()

    loopback.run(main())


@then('the second request got its own answer and both ran once')
def own_second(context):
    assert echo(context.answer) == 'second', context.answer
    assert context.runs == {'/first': 1, '/second': 1}, context.runs


@when('{method} {target} is requested')
def request_one(context, method, target):
    async def main():
        async with loopback.System(1) as system:
            caller = await system.connect()
            # A second request shows that the first one's end was found.
            for _ in range(2):
                caller.send(method, target)
                context.answer = await caller.read(method)
            caller.close()

    loopback.run(main())


@then('the answer has status {status:d} and {size:d} bytes')
def status_and_size(context, status, size):
    assert context.answer.status == status, context.answer
    assert len(context.answer.body) == size, len(context.answer.body)


@when('a large answer is cut after its beginning was passed on')
def cut_large(context):
    async def main():
        async with loopback.System(1) as system:
            system.targets[0].faults = [target_server.Fault('cut', at=500_000)]
            context.cut = []
            for form in ('length', 'chunked'):
                target = f'/a?bytes=1000000&body={form}'
                context.cut.append(await system.ask('GET', target))
            context.evidence = system.accounts.evidence

    loopback.run(main())


@then('the caller sees a cut answer')
def saw_cut(context):
    assert context.cut == [None, None], context.cut
    assert [ok for _, _, ok in context.evidence] == [False, False]


@when('a caller reads nothing of an answer of 60 million bytes')
def read_nothing(context):
    async def main():
        async with loopback.System(1) as system:
            host, port = system.address.split(':')
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=2**16
            )
            caller = loopback.Caller(reader, writer)
            caller.send('GET', '/a?bytes=60000000')
            await asyncio.sleep(0.5)
            (connection,) = system.targets[0].connections
            context.unsent = connection.transport.get_write_buffer_size()
            answer = await caller.read()
            context.size = len(answer.body)
            caller.close()

    loopback.run(main())


@then('most of it is still at the target')
def still_at_target(context):
    assert context.unsent > 30_000_000, context.unsent


@when('the caller reads on')
def reads_on(context):
    pass  # The previous step read to the end.


@then('it gets all of it')
def gets_all(context):
    assert context.size == 60_000_000, context.size


@when('30 requests are sent ahead with falling service times')
def pipeline(context):
    async def main():
        async with loopback.System(1) as system:
            caller = await system.connect()
            for n in range(30):
                target = f'/p?ms={30 - n}&bytes={200 if n % 2 else 70000}'
                caller.send('GET', target, headers=f'x-echo: {n}\r\n')
            context.echoes = [echo(await caller.read()) for _ in range(30)]
            caller.close()

    loopback.run(main())


@then('their answers come in the order of the requests')
def in_order(context):
    assert context.echoes == [str(n) for n in range(30)], context.echoes


BAD = {
    'garbage': b'\x00\x01\x02 nonsense\r\n\r\n',
    'two lengths': b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n'
    b'content-length: 2\r\n\r\nab',
    'length and chunks': b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n'
    b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
    'unknown transfer coding': b'POST / HTTP/1.1\r\nhost: x\r\n'
    b'transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
    'a negative length': b'POST / HTTP/1.1\r\nhost: x\r\n'
    b'content-length: -1\r\n\r\n',
    'a bare line feed in it': b'GET / HTTP/1.1\r\nhost: x\r\na: b\nc: d\r\n\r\n',
    'no host': b'GET / HTTP/1.1\r\n\r\n',
    'two hosts': b'GET / HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n',
    'a large header': b'GET / HTTP/1.1\r\nhost: x\r\na: %b\r\n\r\n'
    % (b'a' * 17_000),
    'a header without end': b'GET / HTTP/1.1\r\nhost: x\r\na: %b'
    % (b'a' * 300_000),
    'a large body': b'POST / HTTP/1.1\r\nhost: x\r\n'
    b'content-length: 1048577\r\n\r\n',
    'a large chunked body': b'POST / HTTP/1.1\r\nhost: x\r\n'
    b'transfer-encoding: chunked\r\n\r\n%b'
    % (b'10000\r\n%b\r\n' % (b'a' * 65536) * 17),
    'half a header': b'GET / HTTP/1.1\r\nhost',
    'half a body': b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nab',
}


@when('a request with {fault} is sent while another runs')
def send_bad(context, fault):
    async def main():
        async with loopback.System(1) as system:
            other = asyncio.ensure_future(
                system.ask('POST', '/other?ms=100&bytes=100000')
            )
            caller = await system.connect()
            for start in range(0, len(BAD[fault]), 8192):
                caller.writer.write(BAD[fault][start : start + 8192])
                await asyncio.sleep(0)
            context.bad = await caller.read()
            context.rest = await caller.reader.read()
            caller.close()
            context.other = await other
            context.runs = system.runs_by_path()

    loopback.run(main())


@then('it is answered with {status:d} and the other is complete')
def bad_answered(context, status):
    assert context.bad.status == status, context.bad
    assert outcome(context.bad) == 'not-run', context.bad
    assert context.rest == b'', 'the connection had to be closed'
    assert len(context.other.body) == 100_000
    assert context.runs == {'/other': 1}, context.runs


@when('a body is announced with an expectation')
def expect_continue(context):
    async def main():
        async with loopback.System(1) as system:
            caller = await system.connect()
            caller.send(
                'POST',
                '/e',
                headers='content-length: 5\r\nexpect: 100-continue\r\n',
            )
            context.interim = await caller.read()
            caller.writer.write(b'hello')
            context.answer = await caller.read()
            caller.close()

    loopback.run(main())


@then('the caller is told to continue and then gets its answer')
def continued(context):
    assert context.interim.status == 100
    assert echo(context.answer) == 'hello'


@when('a target answers a POST with the headers of a refusal')
def forged(context):
    async def main():
        async with loopback.System(2) as system:
            context.answer = await system.ask('POST', '/f?forge=1')
            context.runs = system.runs_by_path()

    loopback.run(main())


@then('the caller gets that answer without them, and it ran once')
def forged_passed(context):
    assert context.answer.status == 200
    names = {name for name, _ in context.answer.headers}
    assert not names & {b'x-hemlock-not-run', b'x-hemlock-outcome'}, names
    assert context.runs == {'/f': 1}


@when('two callers send the same identifier')
def same_identifier(context):
    async def main():
        async with loopback.System(1) as system:
            head = 'x-hemlock-request-id: same-1\r\nx-hemlock-not-run: 1\r\n'
            context.pair = await asyncio.gather(
                system.ask('POST', '/i', headers=head),
                system.ask('POST', '/i', headers=head),
            )
            context.ids = [item['id'] for item in system.targets[0].log]

    loopback.run(main())


@then('both requests ran under different identifiers')
def different_identifiers(context):
    assert [a.status for a in context.pair] == [200, 200]
    assert len(set(context.ids)) == 2 and 'same-1' not in context.ids


async def until(condition):
    """Waits for a condition; the scenario's time limit bounds the wait."""
    while not condition():
        await asyncio.sleep(0.002)


@when('the admission side drains while 10 requests run and 5 wait')
def drain(context):
    async def main():
        async with loopback.System(1, slots=10) as system:
            side = system.admissions[0]
            tasks = [
                asyncio.ensure_future(system.ask('POST', f'/d{n}?ms=150'))
                for n in range(15)
            ]
            await until(lambda: side.loads()['target-0'] == (10, 5))
            await side.drain(time.monotonic() + 5)
            context.answers = await asyncio.gather(*tasks)
            context.later = await system.ask('POST', '/later')
            context.runs = system.runs_by_path()

    loopback.run(main())


@then('the 10 are answered and the 5 are refused as not run')
def drained(context):
    whole = [a for a in context.answers if a.status == 200]
    refused = [a for a in context.answers if outcome(a) == 'not-run']
    assert (len(whole), len(refused)) == (10, 5), context.answers
    assert all(len(a.body) == 200 for a in whole)
    assert len(context.runs) == 10


@then('a later request is refused as not run and absent from the log')
def later_refused(context):
    assert outcome(context.later) == 'not-run', context.later
    assert '/later' not in context.runs


@when('the admission side drains past its deadline')
def drain_cut(context):
    async def main():
        async with loopback.System(1) as system:
            task = asyncio.ensure_future(system.ask('POST', '/d?ms=2000'))
            await until(lambda: system.targets[0].running)
            await system.admissions[0].drain(time.monotonic() + 0.05)
            context.answer = await task

    loopback.run(main())


@then('the request in flight is reported as unknown')
def reported_unknown(context):
    assert context.answer.status == 502
    assert outcome(context.answer) == 'unknown'


@when('a caller sends a request and ends its side of the connection')
def half_closed(context):
    async def main():
        async with loopback.System(1) as system:
            caller = await system.connect()
            caller.send('POST', '/half?ms=50')
            caller.writer.write_eof()
            context.answer = await caller.read()

    loopback.run(main())


@when("a caller's connection is reset while its request runs")
def caller_gone(context):
    async def main():
        async with loopback.System(1) as system:
            caller = await system.connect()
            caller.send('POST', '/gone?ms=4000')
            await until(lambda: system.targets[0].running)
            linger = struct.pack('ii', 1, 0)
            plain = caller.writer.get_extra_info('socket')
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            caller.writer.transport.abort()
            await until(lambda: not system.targets[0].running)
            context.cancelled = system.targets[0].counts['cancelled']
            context.loads = system.admissions[0].loads()

    loopback.run(main())


@then('the target sees the cancellation and its slot is free')
def saw_cancel(context):
    assert context.cancelled == 1
    assert context.loads == {'target-0': (0, 0)}


@when('the admission side has another boot identifier than the proxy knows')
def restarted(context):
    async def main():
        async with loopback.System(1) as system:
            system.admissions[0].boot_id = 'another'
            context.later = await system.ask('POST', '/later')
            context.runs = system.runs_by_path()

    loopback.run(main())


@then('the request is refused as not run and absent from the log')
def boot_refused(context):
    later_refused(context)


@when(
    'requests come before the first configuration, without a route and '
    'without targets'
)
def nothing_there(context):
    async def main():
        async with loopback.System(1) as system:
            routing, system.proxy.routing = system.proxy.routing, None
            context.answers = [await system.ask('POST', '/a')]
            system.proxy.routing = routing
            context.answers.append(await system.ask('POST', '/nowhere'))
            system.entry.targets_by_version['v1'] = []
            context.answers.append(await system.ask('POST', '/a'))
            context.runs = system.runs_by_path()

    loopback.run(main())


@then('they are answered 503, 404 and 503 as not run')
def nothing_run(context):
    assert [a.status for a in context.answers] == [503, 404, 503]
    assert {outcome(a) for a in context.answers} == {'not-run'}
    assert context.runs == {}


@when('200 requests come at once to a target with 6 slots')
def many(context):
    async def main():
        async with loopback.System(1, slots=6) as system:
            tasks = [system.ask('POST', f'/m{n}?ms=5') for n in range(200)]
            context.answers = await asyncio.gather(*tasks)
            context.runs = system.runs_by_path()
            context.counts = system.targets[0].counts

    loopback.run(main())


@then('at most 6 ran at once over at most 130 connections')
def bounds_kept(context):
    assert context.counts['most_running'] <= 6, context.counts
    assert context.counts['connections'] <= 130, context.counts
    assert not context.counts['shed'], context.counts


@then('each was answered or refused as not run')
def answered_or_refused(context):
    for number, answer in enumerate(context.answers):
        ran = context.runs.get(f'/m{number}', 0)
        expected = (200, 1) if ran else (503, 0)
        assert (answer.status, ran) == expected, (number, answer)
        assert ran or outcome(answer) == 'not-run'


@when('of three targets one drains and the process of one has ended')
def three_targets(context):
    async def main():
        async with loopback.System(3) as system:
            await system.admissions[0].drain(time.monotonic() + 1)
            await system.targets[1].stop()
            context.answers = []
            for number in range(20):
                system.proxy.budget = retries.RetryBudget()
                answer = await system.ask('POST', f'/r{number}')
                context.answers.append(answer)
            context.runs = system.runs_by_path()
            context.ran_at = [len(t.log) for t in system.targets]
            context.evidence = [ok for _, _, ok in system.accounts.evidence]

    loopback.run(main())


@then('20 POST requests are all answered by the third and ran once')
def third_answers(context):
    assert {a.status for a in context.answers} == {200}, context.answers
    assert context.ran_at == [0, 0, 20], context.ran_at
    assert set(context.runs.values()) == {1}


@then("the evidence holds only the ended process's failures against v1")
def evidence_of_ended(context):
    # A drain says nothing about a version; a target that does not listen does.
    assert context.evidence == [False, True] * 20, context.evidence


@when('a target answers, fails, closes and is too slow')
def outcomes(context):
    async def main():
        async with loopback.System(1, timeout_ms=100) as system:
            system.targets[0].faults = [
                target_server.Fault('error', route='/error'),
                target_server.Fault('close', route='/close'),
                target_server.Fault('late', route='/late', ms=200),
            ]
            for path in ('/good', '/error', '/close', '/late'):
                await system.ask('POST', path)
            context.evidence = [ok for _, _, ok in system.accounts.evidence]
            context.outcomes = system.accounts.outcomes

    loopback.run(main())


@then('the evidence is good, bad, bad, bad')
def evidence_is(context):
    assert context.evidence == [True, False, False, False], context.evidence


@then('the load table learns ok, error, error, timeout')
def loads_are(context):
    expected = ['ok', 'error', 'error', 'timeout']
    assert context.outcomes == expected, context.outcomes


@when('the admission side ends while a POST is in flight')
def admission_ends(context):
    async def main():
        async with loopback.System(1) as system:
            task = asyncio.ensure_future(system.ask('POST', '/x?ms=1000'))
            await until(lambda: system.targets[0].running)
            system.links[0].stop()
            context.answer = await task

    loopback.run(main())


@when('the proxy drains while 5 requests run')
def proxy_drains(context):
    async def main():
        async with loopback.System(1) as system:
            tasks = [
                asyncio.ensure_future(system.ask('POST', f'/d{n}?ms=100'))
                for n in range(5)
            ]
            await until(lambda: system.targets[0].running == 5)
            system.factory.drain()
            await system.proxy.drain(time.monotonic() + 5)
            context.answers = await asyncio.gather(*tasks)
            context.later = await system.ask('POST', '/later')
            context.runs = system.runs_by_path()

    loopback.run(main())


@then('the 5 are answered and a later one is refused as not run')
def proxy_drained(context):
    assert [a.status for a in context.answers] == [200] * 5
    later_refused(context)


@when('a target process is told to end while it answers a request')
def target_process(context):
    async def main():
        said = []

        async def hear(reader, writer):
            head = await reader.readuntil(b'\r\n\r\n')
            size = int(
                head.lower().partition(b'content-length: ')[2].split()[0]
            )
            said.append(json.loads(await reader.readexactly(size)))
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
            writer.close()

        server = await asyncio.start_server(hear, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *('-m', 'standins.target_server', '--target-id', 't1'),
            *('--announce', f'http://127.0.0.1:{port}/v1/announcements'),
            stdout=asyncio.subprocess.PIPE,
        )
        started = json.loads(await process.stdout.readline())
        await until(lambda: said)
        streams = await asyncio.open_connection('127.0.0.1', started['port'])
        caller = loopback.Caller(*streams)
        caller.send('POST', '/last?ms=600&bytes=50000')
        await asyncio.sleep(0.1)
        process.terminate()
        context.answer = await caller.read()
        caller.close()
        context.code = await process.wait()
        context.said = said
        server.close()

    loopback.run(main())


@then('it announced itself, finished the request and then said it leaves')
def target_left(context):
    assert context.code == 0
    assert len(context.answer.body) == 50_000
    first, last = context.said[0], context.said[-1]
    assert last == {'target_id': 't1', 'leaving': True}, last
    names = {'target_id', 'service', 'version', 'address', 'slots'}
    assert set(first) == names | {'keep_alive_s'}, first


assert http_codec.MAX_BUFFERED_BYTES == 65536, 'the outline relies on it'
