"""Steps for pipelined requests, over loopback sockets in one process."""

import asyncio

from behave import then
from request_path_steps import echoed_text
from request_path_steps import wait_until
from request_path_steps import when_system_runs


async def pipeline(context, system, requests):
    """Sends requests on one connection and reads their responses.

    Args:
        context: Gets the responses, and the paths in the order of their end.
        system: The running system.
        requests: Method, target and further headers of each request.
    """
    caller = await system.connect()
    for number, (method, target, headers) in enumerate(requests):
        caller.send(method, target, headers=f'x-echo: {number}\r\n{headers}')
    context.responses = []
    for method, _, _ in requests:
        response = await caller.read(method)
        if response is None:
            break
        context.responses.append(response)
    caller.close()
    context.paths = [item['path'] for item in system.targets[0].log]
    context.most_running = system.targets[0].counts['most_running']


@when_system_runs('a request of 400 ms and 5 quick ones are pipelined')
async def pipeline_slow_and_quick(context, system):
    quick = [('GET', f'/quick-{n}?ms=1', '') for n in range(5)]
    task = asyncio.ensure_future(
        pipeline(context, system, [('GET', '/slow?ms=400', ''), *quick])
    )
    target = system.targets[0]
    await wait_until(lambda: len(target.log) == 6 and target.running == 1)
    context.early_responses = len(context.responses)
    await task


@then('the quick ones ended before the slow one')
def check_quick_first(context):
    assert context.early_responses == 0
    assert sorted(context.paths)[-1] == '/slow', context.paths


@then("the callers' responses are in the order of the requests")
def check_response_order(context):
    echoes = [echoed_text(r) for r in context.responses]
    assert echoes == [str(n) for n in range(len(echoes))], echoes
    assert len(echoes) == len(context.paths), (echoes, context.paths)


@when_system_runs('GET, POST and GET are pipelined, each of 60 ms')
async def pipeline_with_post(context, system):
    await pipeline(
        context,
        system,
        [
            ('GET', '/0?ms=60', ''),
            ('POST', '/1?ms=60', ''),
            ('GET', '/2?ms=60', ''),
        ],
    )


@then('they ran one after the other')
def check_sequence(context):
    assert context.paths == ['/0', '/1', '/2'], context.paths
    assert context.most_running == 1, context.most_running


@when_system_runs('GET with connection: close and POST are pipelined')
async def pipeline_behind_close(context, system):
    await pipeline(
        context,
        system,
        [('GET', '/0?ms=60', 'connection: close\r\n'), ('POST', '/1', '')],
    )


@then('only the GET was run, and the connection was closed behind its response')
def check_not_run_behind_close(context):
    assert context.paths == ['/0'], context.paths
    assert [r.status for r in context.responses] == [200]


@when_system_runs('a slow GET, a malformed request and a GET are pipelined')
async def pipeline_around_malformed(context, system):
    caller = await system.connect()
    caller.send('GET', '/slow?ms=80')
    caller.writer.write(b'nonsense\r\n\r\n')
    caller.send('GET', '/behind')
    context.responses = [await caller.read(), await caller.read()]
    caller.close()
    context.paths = [item['path'] for item in system.targets[0].log]


@then('the responses are 200 and 400, and the last request was not run')
def check_malformed_in_order(context):
    assert [r.status for r in context.responses] == [200, 400]
    assert context.paths == ['/slow'], context.paths


@when_system_runs('a client leaves while 5 pipelined requests run')
async def leave_pipelined(context, system):
    caller = await system.connect()
    for number in range(5):
        caller.send('GET', f'/{number}?ms=2000')
    target = system.targets[0]
    await wait_until(lambda: target.running == 5)
    caller.close()
    await wait_until(lambda: target.running == 0)
    context.cancelled = target.counts['cancelled']


@then('the target cancelled {count:d} requests')
def check_cancelled(context, count):
    assert context.cancelled == count, context.cancelled


@when_system_runs(
    '40 requests of 30 ms are pipelined to a target with 40 slots', slots=40
)
async def pipeline_many(context, system):
    await pipeline(
        context, system, [('GET', f'/{n}?ms=30', '') for n in range(40)]
    )


@then('at most {count:d} of them ran at once')
def check_most_running(context, count):
    assert 1 < context.most_running <= count, context.most_running


@when_system_runs(
    'a slow GET and 3 requests with responses of 40 MB are pipelined'
)
async def pipeline_large(context, system):
    large = [('GET', f'/{n}?bytes=40000000', '') for n in range(3)]
    task = asyncio.ensure_future(
        pipeline(context, system, [('GET', '/slow?ms=500', ''), *large])
    )
    await asyncio.sleep(0.4)
    context.unsent_bytes = sum(
        connection.transport.get_write_buffer_size()
        for connection in system.targets[0].connections
    )
    await task


@then('most of the 120 MB were still at the target before the slow one ended')
def check_waiting_at_target(context):
    assert context.unsent_bytes > 60_000_000, context.unsent_bytes
