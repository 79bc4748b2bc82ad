"""Steps on the platform client against the stand-in platform."""

import asyncio

from behave import given
from behave import then
from behave import when
import orjson

from features.support import platform_process
from hemlockgrade import exceptions


@given('a platform process')
def start_platform(context):
    context.process = platform_process.PlatformProcess()
    context.add_cleanup(context.process.close)
    context.client = context.process.client


async def result(call):
    try:
        stored = await call
    except exceptions.ConflictError:
        return 'conflict'
    except exceptions.PlatformUnavailableError as error:
        return error
    return f'version {stored.version}' if stored else 'done'


@when('an object is created twice, updated twice from version 1 and deleted')
def write_conditionally(context):
    async def write():
        client = context.client
        calls = (
            client.create('a/1', b'{}'),
            client.create('a/1', b'{}'),
            client.update('a/1', b'{}', 1),
            client.update('a/1', b'{}', 1),
            client.delete('a/1', 2),
        )
        results = [await result(call) for call in calls]
        return [*results, 'absent' if not await client.list('a/') else 'left']

    context.results = platform_process.run(write())


@then('the results are {results}')
def results_are(context, results):
    assert context.results == results.split(', '), context.results


@when('the platform has {faults} and an object is created')
def create_with_faults(context, faults):
    async def create():
        context.process.control('faults', orjson.loads(faults))
        context.error = await result(context.client.create('a/1', b'{}'))
        context.process.control('faults', {})
        context.stored = await context.client.get('a/1')

    platform_process.run(create())


@then('the write fails with its outcome {outcome}')
def fails_with_outcome(context, outcome):
    error = context.error
    assert isinstance(error, exceptions.PlatformUnavailableError), error
    assert error.outcome_known is (outcome == 'known')


@then('the object is {state:w}')
def object_is(context, state):
    assert bool(context.stored) is (state == 'present'), context.stored


@then('the object is absent, but present 1 second later')
def present_later(context):
    object_is(context, 'absent')

    async def read_later():
        await asyncio.sleep(1)
        return await context.client.get('a/1')

    assert platform_process.run(read_later())


@when('the platform allows 1 write a second and 2 objects are created')
def exceed_rate(context):
    async def create():
        context.process.control('limits', {'write': 1})
        await context.client.create('a/1', b'{}')
        context.error = await result(context.client.create('a/2', b'{}'))

    platform_process.run(create())


@when('2 objects are created while a watch waits')
def create_while_watching(context):
    async def watch():
        keys = []
        async for found in context.client.watch('a/', 'a/0'):
            keys += [stored.key for stored in found]
            if len(keys) == 2:
                break
        return keys

    async def create():
        watching = asyncio.create_task(watch())
        while not context.process.control('statistics')['waiting_watches']:
            await asyncio.sleep(0.01)
        await context.client.create('a/1', b'{}')
        await context.client.create('a/2', b'{}')
        context.keys = await watching
        context.calls = context.process.control('statistics')['calls']

    platform_process.run(create())


@then('the watch yields both after 2 or 3 calls')
def watch_yields(context):
    assert context.keys == ['a/1', 'a/2'], context.keys
    assert context.calls['watch'] in (2, 3), context.calls
