"""Steps for servers that warm up."""

import asyncio
import json
import math
import time

from behave import given
from behave import then
from behave import when

from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import registrar
from hemlockgrade import server_limit
from hemlockgrade.platform import codec
from standins import loopback

# Time between two attempts to send a request in virtual time, in seconds.
STEP_S = 0.01


@when(
    'a server that takes {rate:g} a second is cold for {cold:g} of {total:g} seconds under constant pressure'
)
def press_cold_server(context, rate, cold, total):
    limit = server_limit.ServerLimit()
    context.arrivals, context.cold_s = [], cold
    for number in range(int(total / STEP_S)):
        now = number * STEP_S
        limit.update_warmup(rate, cold, now)
        if limit.admits(0, 0, now):
            limit.spend(now)
            context.arrivals.append(now)


@when('the limit of a cold server that takes {rate:g} a second is new')
def build_new_limit(context, rate):
    context.limit = server_limit.ServerLimit()
    context.limit.update_warmup(rate, 5.0, 0.0)


@then('it lets no request through at once')
def check_nothing_saved(context):
    assert not context.limit.admits(0, 0, 0.0)
    assert context.limit.admits(0, 0, 0.1)


def largest_second(times):
    return max(
        (sum(start <= at < start + 1 for at in times) for start in times),
        default=0,
    )


@then(
    'no second of its cold time has more than 1.5 times {rate:g} and 8 requests'
)
def check_cold_second(context, rate):
    cold = [at for at in context.arrivals if at < context.cold_s]
    assert largest_second(cold) <= 1.5 * rate + 8, largest_second(cold)


@then('the cold server got at least 0.8 times {rate:g} a second')
def check_cold_service(context, rate):
    cold = [at for at in context.arrivals if at < context.cold_s]
    assert len(cold) >= 0.8 * rate * context.cold_s - 1, len(cold)


@when('a cold server that takes {rate:g} a second names a limit of {limit:g}')
def name_limit_while_cold(context, rate, limit):
    context.limit = server_limit.ServerLimit()
    context.limit.update_warmup(rate, 5.0, 0.0)
    context.limit.update(limit, 0.0)


@then('{rate:g} a second are let through while it is cold and afterwards')
def check_named_limit(context, rate):
    assert context.limit.max_requests_per_s == rate
    context.limit.update_warmup(10, 5.0, 6.0)
    assert context.limit.max_requests_per_s == rate


@then('{rate:g} a second are let through while it is cold and names none')
def check_warmup_limit(context, rate):
    context.limit.update_warmup(rate, 9.0, 6.0)
    context.limit.update(math.inf, 6.0)
    assert context.limit.max_requests_per_s == rate
    context.limit.update_warmup(rate, 9.0, 9.5)
    assert math.isinf(context.limit.max_requests_per_s)


@given('a system of {count:d} servers whose cold ones take {rate:g} a second')
def set_system(context, count, rate):
    context.server_count, context.rate = count, rate


class ColdSystem(loopback.LoopbackSystem):
    """Servers of a service with a warm-up rate."""

    def __init__(self, count, rate):
        super().__init__(count, slots=18, timeout_ms=1500)
        self.rate = rate

    async def __aenter__(self):
        await super().__aenter__()
        for host in self.hosts:
            host.admission.warmup_rate = lambda service: self.rate
        return self

    def heartbeat(self, warmup_left_s):
        """Processes the next heartbeat of the first server."""
        server_registrar = self.hosts[0].registrar
        old = server_registrar.server
        server_registrar.apply_heartbeat(
            model.Server(
                **{
                    field: getattr(old, field)
                    for field in (
                        'server_id',
                        'service',
                        'address',
                        'zone',
                        'version',
                        'slots',
                        'state',
                    )
                },
                sequence=old.sequence + 1,
                warmup_left_s=warmup_left_s,
            )
        )

    async def send_at_once(self, count):
        """Returns the statuses of requests that are sent at once."""
        responses = await asyncio.gather(
            *[self.send_request('GET', '/a?ms=5') for _ in range(count)]
        )
        return [response.status for response in responses]

    def record_runs(self):
        """Returns the times at which the first server gets its requests."""
        server_admission = self.hosts[0].admission
        server_admission.pool = RecordingPool(server_admission.pool)
        return server_admission.pool.sent_at


class RecordingPool:
    """Connections to a server.

    Attributes:
        sent_at: Monotonic times of the requests, in seconds.
    """

    def __init__(self, pool):
        self._pool = pool
        self.sent_at = []

    async def send(self, *arguments, **options):
        self.sent_at.append(time.monotonic())
        return await self._pool.send(*arguments, **options)


@when(
    'the first one starts cold and callers send {rate:d} requests a second for {seconds:d} seconds'
)
def send_to_cold_server(context, rate, seconds):
    async def run():
        async with ColdSystem(context.server_count, context.rate) as system:
            system.heartbeat(warmup_left_s=60.0)
            context.runs = system.record_runs()
            tasks = []
            for _ in range(rate * seconds):
                tasks.append(
                    asyncio.ensure_future(
                        system.send_request('GET', '/a?ms=20')
                    )
                )
                await asyncio.sleep(1 / rate)
            responses = await asyncio.gather(*tasks)
            context.statuses = [response.status for response in responses]

    loopback.run(run())


@then('no second of the first one has more than {count:d} requests')
def check_runs(context, count):
    assert context.runs
    assert largest_second(context.runs) <= count, largest_second(context.runs)


@then('all callers were served')
@then('all of the latter were served')
def check_all_served(context):
    assert set(context.statuses) == {200}, context.statuses


@when(
    'the server restarts, gets 60 requests in 1.5 seconds, says that it is warm and gets 40 more'
)
def restart_server(context):
    async def run():
        async with ColdSystem(1, context.rate) as system:
            peer = system.balancer.peer('target-0')
            system.heartbeat(warmup_left_s=0.0)
            context.runs = system.record_runs()
            await system.targets[0].stop()
            await system.send_at_once(1)
            await system.targets[0].start()
            context.runs.clear()
            # The peer would be avoided for some time after the failure.
            peer.cooldown_until = 0.0
            for _ in range(15):
                await system.send_at_once(4)
                await asyncio.sleep(0.1)
            runs_while_cold = list(context.runs)
            system.heartbeat(warmup_left_s=0.0)
            peer.limited_until = 0.0
            context.statuses = await system.send_at_once(40)
            context.runs = runs_while_cold

    loopback.run(run())


@given('a registrar with a server from the store')
def build_registrar(context):
    context.now = 100.0
    context.registrar = registrar.Registrar(
        service='booking', address='', clock=lambda: context.now
    )
    context.registrar.restore_server(
        model.Server(
            server_id='i-1',
            service='booking',
            address='10.0.0.1:80',
            zone='a',
            version='v1',
            slots=3,
            state=model.ServerState.READY,
        )
    )


@when('a check responds that the server stays cold for {text:w} ms')
def apply_check(context, text):
    left_s = codec.decode_warmup_left_s([(b'x-warmup-ms', text.encode())])
    context.registrar.apply_check(context.registrar.server, left_s)


@then('the server counts as cold for {seconds:g} seconds')
def check_cold_until(context, seconds):
    assert context.registrar.cold_until == context.now + seconds


@then('the server counts as cold until its next heartbeat')
def check_cold_without_end(context):
    assert math.isinf(context.registrar.cold_until)


@when('a service whose warm-up rate is {value} is decoded')
def decode_rate(context, value):
    spec = {'HealthCheckPath': '/health'}
    if value != 'absent':
        spec['WarmupPerS'] = json.loads(value)
    data = {
        'Version': '00000001',
        'Resources': [
            {
                'EntryType': 'Services',
                'Metadata': {'Name': 'booking'},
                'Spec': spec,
            }
        ],
    }
    try:
        new = codec.decode_configuration(data)
    except exceptions.InvalidFieldError as error:
        assert 'WarmupPerS' in str(error)
        context.result = 'refused'
        return
    context.result = str(new.warmup_rate_by_service.get('booking', 'none'))


@then('the warm-up rate is {result}')
def check_result(context, result):
    assert context.result == result, context.result
