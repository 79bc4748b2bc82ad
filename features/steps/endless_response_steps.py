"""Steps for servers that send bytes without end."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import statistics
import sys
import time
import urllib.parse

import attrs
from behave import given
from behave import then
from behave import when

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import server_check
from hemlockgrade import state_sync
from hemlockgrade.platform import store
from standins import cluster
from standins import endless
from standins import loopback
from standins import mesh_cluster
from standins import processor_wait

DEADLINE_S = 1.0
# Longest time from the deadline of a request to its final answer.
ANSWER_MARGIN_S = 0.5
# Longest time from the first malformed byte to the end of the connection, at
# full speed: less than the time left until the deadline.
CLOSE_AT_ONCE_S = 0.5
# A daemon may use 200 MB of memory on the smallest host, whose server has 18
# slots. Half of the memory is left for the responses of as many requests.
MAX_RESIDENT_BYTES = 200_000_000
SLOTS = 18
MAX_GROWTH_BYTES = MAX_RESIDENT_BYTES // 2 // SLOTS
# Socket buffers on the way from the server to the caller, as in the scenario of
# a large response whose caller reads late.
MAX_UNREAD_BYTES = 30_000_000
# Short requests beside one with an endless response: the time that each caller
# allows and the time between two of them, in seconds, and their smallest
# number.
OTHER_DEADLINE_S = 0.5
OTHER_REQUEST_INTERVAL_S = 0.02
MIN_OTHER_REQUESTS = 5
# Limits on a short request through the processes of a mesh, and on the median
# of all, in seconds. They do not include the time for which these processes
# waited for a processor.
MAX_OTHER_S = 0.5
MAX_MEDIAN_OTHER_S = 0.1
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_request_numbers = itertools.count(1)


def resident_bytes(pid='self'):
    """Returns the size of the resident memory of a process."""
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * _PAGE_BYTES


@attrs.define(kw_only=True)
class Answer:
    """What a caller gets for a request.

    Attributes:
        request_id: Identifier of the request.
        took_s: Time from the request to the end of the answer, in seconds.
        waited_s: Time for which the processes on the way of the request waited
            for a processor meanwhile, in seconds.
        status: Status of the response; 0 without one.
        headers: Headers of the response.
        body: The first 1000 bytes of the body.
        body_bytes: Size of the body that was read, in bytes.
        is_complete: True if the response ended as its headers state.
    """

    request_id: str
    took_s: float = 0.0
    waited_s: float = 0.0
    status: int = 0
    headers: http_codec.Headers = attrs.field(factory=list)
    body: bytes = b''
    body_bytes: int = 0
    is_complete: bool = False

    @property
    def undisturbed_s(self):
        """Returns the time without waits for a processor, in seconds."""
        return self.took_s - self.waited_s


async def send(
    address,
    target,
    *,
    deadline_s=DEADLINE_S,
    delay_s=0.0,
    host_name='x',
    pids=(),
):
    """Sends a POST request and reads its response, however long it is.

    Args:
        address: `host:port` of the daemon.
        target: Path and query.
        deadline_s: Time that the caller allows, in seconds.
        delay_s: Time for which the caller reads nothing, in seconds.
        host_name: Host name that selects the route.
        pids: Processes that the request may pass.
    """
    answer = Answer(request_id=f'e{next(_request_numbers):015x}')
    host, port = address.split(':')
    started = time.monotonic()
    waited_before_s = processor_wait.total_s(pids)
    reader, writer = await asyncio.open_connection(host, int(port), limit=2**16)
    writer.write(
        f'POST {target} HTTP/1.1\r\nhost: {host_name}\r\ncontent-length: 0\r\n'
        f'x-request-id: {answer.request_id}\r\n'
        f'x-deadline-ms: {int(deadline_s * 1000)}\r\n\r\n'.encode()
    )
    try:
        if delay_s:
            reader._transport.pause_reading()
            await asyncio.sleep(delay_s)
            reader._transport.resume_reading()
        await _read_answer(reader, answer)
    except (asyncio.IncompleteReadError, ConnectionError):
        answer.is_complete = False
    finally:
        writer.close()
    answer.took_s = time.monotonic() - started
    answer.waited_s = processor_wait.total_s(pids) - waited_before_s
    return answer


async def _read_answer(reader, answer):
    head = (await reader.readuntil(b'\r\n\r\n')).split(b'\r\n')
    answer.status = int(head[0].split()[1])
    answer.headers = [tuple(h.split(b': ', 1)) for h in head[1:] if h]
    fields = dict(answer.headers)
    if b'content-length' in fields:
        await _read_body(reader, answer, int(fields[b'content-length']))
    elif fields.get(b'transfer-encoding') == b'chunked':
        while size := int(await reader.readuntil(b'\r\n'), 16):
            await _read_body(reader, answer, size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        while await reader.read(2**16):
            pass
    answer.is_complete = True


async def _read_body(reader, answer, size):
    while size:
        data = await reader.read(min(size, 2**16))
        if not data:
            raise asyncio.IncompleteReadError(b'', size)
        size -= len(data)
        answer.body_bytes += len(data)
        answer.body += data[: 1000 - len(answer.body)]


async def read_json(address, path, body=b''):
    """Returns the decoded body of a response of a server."""
    host, port = address.split(':')
    streams = await asyncio.open_connection(host, int(port), limit=2**22)
    caller = loopback.Caller(*streams)
    caller.send('POST' if body else 'GET', path, body)
    response = await caller.read()
    caller.close()
    return json.loads(response.body)


@contextlib.asynccontextmanager
async def run_server(system):
    """Runs a server process in the place of the target; returns its address."""
    server = system.hosts[0].registrar.server
    address = cluster.free_address()
    options = {
        'server_id': server.server_id,
        'service': 'booking',
        'version': 'v1',
        'zone': 'a',
        'slots': system.slots,
        'address': address,
        'control': cluster.free_address(),
    }
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, '-m', 'standins.mesh_server', json.dumps(options)),
        cwd=cluster.ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        await process.stdout.readline()
        system.hosts[0].registrar.server = attrs.evolve(server, address=address)
        system.hosts[0].admission.requires_signature = True
        yield address
    finally:
        process.kill()
        await process.wait()


async def send_others(address, answers, deadline_s=OTHER_DEADLINE_S, **options):
    """Sends short requests until it is cancelled."""
    while True:
        answers.append(
            await send(address, '/shop/other', deadline_s=deadline_s, **options)
        )
        await asyncio.sleep(OTHER_REQUEST_INTERVAL_S)


async def sample_memory(samples):
    """Samples the resident memory of this process until it is cancelled."""
    while True:
        samples.append(resident_bytes())
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def running(*coroutines):
    """Runs coroutines in the background."""
    tasks = [asyncio.ensure_future(each) for each in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def record_endless_response(
    context, target, delay_s=0.0, request_delay_s=0.0
):
    """Sends a request that gets an endless response, beside other requests.

    Args:
        context: Receives the answers, the memory and the load of the limiter.
        target: Path and query of the request.
        delay_s: Time for which the caller reads nothing, in seconds.
        request_delay_s: Time that requests take from the daemon of the caller
            to the daemon beside the server, in seconds.
    """
    context.deadline_s = DEADLINE_S
    context.others, samples = [], []
    async with (
        loopback.LoopbackSystem(timeout_ms=5000) as system,
        run_server(system) as server_address,
    ):
        # The first requests open connections and import modules.
        for _ in range(3):
            await send(system.address, '/first')
        before = resident_bytes()
        system.relays[0].request_delay_s = request_delay_s
        async with running(
            send_others(system.address, context.others), sample_memory(samples)
        ):
            context.answer = await send(system.address, target, delay_s=delay_s)
            while len(context.others) < MIN_OTHER_REQUESTS:
                await asyncio.sleep(OTHER_REQUEST_INTERVAL_S)
        context.growth_bytes = max(samples) - before
        # A daemon that gives up a request answers at once, and the daemon beside
        # the server hears of it a moment later, but before a later request.
        # Another request may still run.
        answered_at = time.monotonic()
        while system.hosts[0].limiter_load() not in ((0, 0), (1, 0)):
            await asyncio.sleep(0.001)
        context.freed_s = time.monotonic() - answered_at
        context.later = [await send(system.address, '/later')]
        context.load = system.hosts[0].limiter_load()
        for _ in range(4):
            context.later.append(await send(system.address, '/later'))
        context.endless = await read_json(server_address, '/.control/endless')


@when('a server sends {name} without end ({pace})')
def send_endless(context, name, pace):
    query = {'endless': name, 'pace': pace.split()[0]}
    target = f'/a?{urllib.parse.urlencode(query)}'
    loopback.run(record_endless_response(context, target))


@when('a server sends {name} without end to a caller that does not read')
def send_endless_unread(context, name):
    target = f'/a?{urllib.parse.urlencode({"endless": name})}'
    loopback.run(
        record_endless_response(context, target, DEADLINE_S + ANSWER_MARGIN_S)
    )


@when('a server sends {name} without end to a request that arrives late')
def send_endless_late(context, name):
    query = {'endless': name, 'pace': 'byte'}
    target = f'/a?{urllib.parse.urlencode(query)}'
    # Longer than `admission.RESPONSE_MARGIN_S`, so that the daemon of the
    # caller gives up first.
    loopback.run(record_endless_response(context, target, request_delay_s=0.03))


@then('the caller gets {result} in time')
def check_answer(context, result):
    answer = context.answer
    assert answer.took_s < DEADLINE_S + ANSWER_MARGIN_S, answer.took_s
    fields = dict(answer.headers)
    if result == 'a truncated response':
        assert not answer.is_complete, answer
        assert answer.status in (0, 200), answer
        return
    assert answer.is_complete, answer
    if result == 'the response':
        assert (answer.status, answer.body[:5]) == (200, b'hello'), answer
        stamp = f's.{answer.request_id}'.encode()
        assert fields[b'x-server-stamp'] == stamp, answer
        return
    if result == 'the large response':
        assert answer.status == 200, answer
        return
    expected_statuses, outcome = {
        'an unknown outcome': ((502, 504), b'unknown'),
        'a refusal': ((503,), b'not-run'),
    }[result]
    assert answer.status in expected_statuses, answer
    assert fields[b'x-hemlock-outcome'] == outcome, answer


@then('the connection to the server is closed {when}')
def check_connection_closed(context, when):
    assert context.endless, 'the server sent no endless response'
    limit_s = {
        'at once': CLOSE_AT_ONCE_S,
        'by the deadline': context.deadline_s + ANSWER_MARGIN_S,
    }[when]
    for each in context.endless:
        assert each['closed'] is not None, 'the connection is still open'
        open_s = each['closed'] - each['started']
        assert open_s < limit_s, (open_s, each['sent_bytes'])


@then('the slot is free and the other requests get their own responses')
def check_slot_and_others(context):
    assert context.freed_s < CLOSE_AT_ONCE_S, context.freed_s
    assert context.load == (0, 0), context.load
    check_others(context)


@then('the other requests get their own responses')
def check_others(context):
    for answer in (*context.others, *context.later):
        expected = f'ran {answer.request_id} for '.encode()
        assert answer.status == 200 and answer.is_complete, answer
        assert expected in answer.body, answer
        assert answer.took_s < OTHER_DEADLINE_S, answer


@then('the other requests get their own responses without a delay')
def check_others_without_delay(context):
    answers = [*context.others, *context.later]
    for answer in answers:
        expected = f'ran {answer.request_id} for '.encode()
        assert answer.status == 200 and answer.is_complete, answer
        assert expected in answer.body, answer
        assert answer.undisturbed_s < MAX_OTHER_S, answer
    median_s = statistics.median(answer.undisturbed_s for answer in answers)
    assert median_s < MAX_MEDIAN_OTHER_S, median_s


@then('the memory of the daemon stays bounded')
def check_memory(context):
    assert context.growth_bytes < MAX_GROWTH_BYTES, context.growth_bytes


@then('the bytes that the caller does not read stay at the server')
def check_unread(context):
    sent_bytes = sum(each['sent_bytes'] for each in context.endless)
    assert sent_bytes < MAX_UNREAD_BYTES, sent_bytes


@when(
    'a server sends {name} on an idle connection and a request is sent {when}'
)
def send_on_idle_connection(context, name, when):
    is_read = when == 'after they were read'
    loopback.run(record_idle_connection(context, name, is_read=is_read))


async def record_idle_connection(context, name, *, is_read):
    """Sends a request before or after the bytes on its connection are read."""
    query = urllib.parse.urlencode({'then': name})
    context.responses, context.deadline_s = [], DEADLINE_S
    async with (
        loopback.LoopbackSystem() as system,
        run_server(system) as server_address,
    ):
        host = system.hosts[0]
        for target in (f'/first?{query}', '/second'):
            request_id = f'e{next(_request_numbers):015x}'
            server_id = host.registrar.server.server_id
            request = http_codec.Request(
                method='POST',
                target=target,
                headers=[
                    (b'x-request-id', request_id.encode()),
                    (b'x-target-instance', server_id.encode()),
                ],
            )
            response = await host.pool.send(
                server_address,
                request,
                time.monotonic() + DEADLINE_S,
                request_id=request_id,
            )
            context.responses.append((request_id, response))
            wait_s = 5 * endless.FOLLOW_DELAY_S
            if is_read:
                await asyncio.sleep(wait_s)
            else:
                # The event loop does not run, so nothing is read.
                time.sleep(wait_s)
        await asyncio.sleep(wait_s)
        context.endless = await read_json(server_address, '/.control/endless')


@then('each request gets its own response')
def check_own_responses(context):
    for request_id, response in context.responses:
        stamp = http_codec.header(response.headers, b'x-server-stamp')
        assert stamp == f's.{request_id}', response
        assert f'ran {request_id} '.encode() in response.body, response


@when('{client} gets {name} without end')
def call_endless_server(context, client, name):
    loopback.run(record_call(context, client, name))


async def record_call(context, client, name):
    """Records the result of a call to a server that sends bytes without end.

    Sets `context.result` to the result, or to the failure that was reported.
    """
    context.deadline_s = store.CALL_TIMEOUT_S
    async with (
        loopback.LoopbackSystem() as system,
        run_server(system) as server_address,
    ):
        options = json.dumps({'endless': name}).encode()
        await read_json(server_address, '/.control/set', options)
        host = system.hosts[0]
        pool = host.pool
        started = time.monotonic()
        try:
            if client == 'the health check':
                check = server_check.ServerCheck(
                    registrar=host.registrar,
                    directory=system.directory,
                    pool=pool,
                    clock=time.monotonic,
                )
                server = host.registrar.server
                context.result = await check._is_confirmed_by_check(
                    server, '/health'
                )
            elif client == 'the store client':
                client = store.MetadataStore(server_address, pool)
                context.result = await client.get('definitions', 'a')
            else:
                sync = state_sync.StateSync(
                    directory=system.directory, pool=pool, address='', zone='a'
                )
                context.result = await sync.fetch_state(server_address)
        except exceptions.HemlockError as error:
            context.result = error
        context.took_s = time.monotonic() - started
        # The server notices the end of the connection a moment later.
        await asyncio.sleep(0.05)
        context.endless = await read_json(server_address, '/.control/endless')


@then('it reports a failure in time')
def check_failure(context):
    is_failure = context.result is False or isinstance(
        context.result, exceptions.HemlockError
    )
    assert is_failure, context.result
    longest_s = store.CALL_TIMEOUT_S + ANSWER_MARGIN_S
    assert context.took_s < longest_s, context.took_s


@given('callers of other requests that allow {seconds:d} s')
def set_other_deadline(context, seconds):
    context.other_deadline_s = seconds


@when('{count:d} requests of {seconds:d} s at each host get {name} without end')
def send_many_endless(context, count, seconds, name):
    context.deadline_s = seconds
    mesh = context.mesh
    other_options = {}
    if 'other_deadline_s' in context:
        other_options['timeout_ms'] = 1000 * context.other_deadline_s + 1000
    mesh.configure(
        6,
        mesh_cluster.build_route('other', '/shop/', **other_options),
        mesh_cluster.build_route(
            'endless',
            '/endless/',
            kind='non_idempotent',
            timeout_ms=2000 * seconds,
        ),
    )
    # An endless response uses its slot until its deadline. The other requests
    # get slots even if one server gets all of the endless ones.
    slots = len(context.host_names) * (count + 1)
    for host_name in context.host_names:
        mesh.set_server(host_name, slots=slots)
    # The next heartbeats, 0.3 s apart, tell the daemons; the configuration is
    # in force by then.
    time.sleep(1)
    loopback.run(record_many_endless(context, count, name))


async def record_many_endless(context, count, name):
    """Sends the requests at all daemons at once, beside other requests."""
    daemons = [context.mesh.daemon_by_name[n] for n in context.host_names]
    addresses = [daemon.addresses['caller'] for daemon in daemons]
    processes = [
        mesh_process.popen
        for name in context.host_names
        for mesh_process in (
            context.mesh.daemon_by_name[name],
            context.mesh.server_by_name[name],
        )
    ]
    options = {
        'host_name': mesh_cluster.HOST_NAME,
        'pids': [process.pid for process in processes],
    }
    context.others, context.peak_bytes = [], 0
    other_deadline_s = getattr(context, 'other_deadline_s', OTHER_DEADLINE_S)
    query = {'endless': name, 'pace': 'block'}
    target = f'/endless/x?{urllib.parse.urlencode(query)}'

    async def sample_daemons():
        while True:
            sizes = [resident_bytes(daemon.popen.pid) for daemon in daemons]
            context.peak_bytes = max(context.peak_bytes, *sizes)
            await asyncio.sleep(0.01)

    async with running(
        *(
            send_others(address, context.others, other_deadline_s, **options)
            for address in addresses
        ),
        sample_daemons(),
    ):
        context.answers = await asyncio.gather(
            *(
                send(address, target, deadline_s=context.deadline_s, **options)
                for address in addresses
                for _ in range(count)
            )
        )
    context.later = [
        await send(
            address,
            '/shop/x',
            deadline_s=max(other_deadline_s, DEADLINE_S),
            **options,
        )
        for address in addresses
        for _ in range(5)
    ]
    context.endless = [
        each
        for daemon in daemons
        for each in await read_json(
            daemon.addresses['server'], '/.control/endless'
        )
    ]


@then('each of them ends in time, and none looks complete')
def check_many_answers(context):
    for answer in context.answers:
        assert answer.took_s < context.deadline_s + ANSWER_MARGIN_S, answer
        is_success = answer.is_complete and answer.status == 200
        assert not is_success, answer


@then('the other requests end in time, and none gets another response')
def check_others_end(context):
    for answer in (*context.others, *context.later):
        limit_s = OTHER_DEADLINE_S + ANSWER_MARGIN_S
        assert answer.took_s < limit_s, answer
        expected = f'ran {answer.request_id} for '.encode()
        assert answer.status != 200 or expected in answer.body, answer
        assert answer.is_complete, answer


@then('no daemon uses more than 200 MB of memory')
def check_daemon_memory(context):
    assert context.peak_bytes < MAX_RESIDENT_BYTES, context.peak_bytes
