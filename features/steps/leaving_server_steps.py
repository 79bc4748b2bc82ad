"""Steps for requests that wait for a slot when their server leaves."""

import asyncio
import time

import attrs
from behave import then
from behave import when

from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade import peer_protocol
from hemlockgrade import registrar
from standins import loopback

SLOTS = 2
# Work of the requests that run when the server leaves, in milliseconds.
RUNNING_MS = 1000


def drain(host):
    """Sends the heartbeat of a server that drains."""
    send_heartbeat(host, state=model.ServerState.DRAINING)


def deregister(host):
    """Deregisters a server that has not drained before."""
    host.registrar.deregister(host.registrar.server.server_id)


def notice_leave(host):
    """Applies the header of a response by which a server says it leaves."""
    host.admission.apply_notice(
        host.registrar.server, [(b'server-leaving', b'1')]
    )


def restore_draining(host):
    """Applies a later state that an earlier daemon process has stored."""
    server = host.registrar.server
    host.registrar.restore_server(
        attrs.evolve(
            server,
            state=model.ServerState.DRAINING,
            sequence=server.sequence + 1,
        )
    )


def replace_server(host):
    """Sends the heartbeat of another server at the same address."""
    send_heartbeat(host, server_id='target-new', born_ms=1)


def send_heartbeat(host, **changes):
    """Sends the next heartbeat of a server with changed fields."""
    server = host.registrar.server
    host.registrar.apply_heartbeat(
        attrs.evolve(server, sequence=server.sequence + 1, **changes)
    )


LEAVE_BY_NAME = {
    'drains': drain,
    'deregisters': deregister,
    'says in a response that it leaves': notice_leave,
    'is stored as draining': restore_draining,
    'gives way to another': replace_server,
}


async def wait_for_load(host, in_use, queued):
    """Waits for a number of slots in use and of waiting requests."""
    while host.limiter_load() != (in_use, queued):
        await asyncio.sleep(0.002)


def start_requests(system, method, count, path):
    """Starts requests and returns their tasks."""
    return [
        asyncio.ensure_future(system.send_request(method, path))
        for _ in range(count)
    ]


@when(
    '{running:d} {method} requests run and {waiting:d} wait at a server that {leaves} beside an idle one'
)
def leave_beside_idle_server(context, running, method, waiting, leaves):
    async def run():
        async with loopback.LoopbackSystem(2, slots=SLOTS) as system:
            idle = system.balancer.peer('target-1')
            idle.cooldown_until = time.monotonic() + 60
            host = system.hosts[0]
            path = f'/running?ms={RUNNING_MS}'
            running_tasks = start_requests(system, method, running, path)
            await wait_for_load(host, running, 0)
            waiting_tasks = start_requests(system, method, waiting, '/waiting')
            await wait_for_load(host, running, waiting)
            idle.cooldown_until = 0.0
            left_at = time.monotonic()
            LEAVE_BY_NAME[leaves](host)
            responses = await asyncio.gather(*waiting_tasks)
            elapsed_s = time.monotonic() - left_at
            running_responses = await asyncio.gather(*running_tasks)
            runs = [[i['path'] for i in t.log] for t in system.targets]
            return responses, elapsed_s, running_responses, runs

    (
        context.waiting_responses,
        context.elapsed_s,
        context.running_responses,
        context.runs,
    ) = loopback.run(run())


@then(
    'the {count:d} waiting requests were served by the other server within {limit_s:g} seconds'
)
def check_waiting_served(context, count, limit_s):
    statuses = [response.status for response in context.waiting_responses]
    assert statuses == [200] * count, statuses
    assert context.elapsed_s < limit_s, context.elapsed_s
    assert context.runs[1] == ['/waiting'] * count, context.runs


@then('the {count:d} running ones were served by the server that leaves')
def check_running_served(context, count):
    statuses = [response.status for response in context.running_responses]
    assert statuses == [200] * count, statuses
    assert context.runs[0] == ['/running'] * count, context.runs


def start_local_request(host, number):
    """Starts a request of the daemon's own host to the local server."""
    return asyncio.ensure_future(
        host.admission.run(
            http_codec.Request(
                method='POST',
                target='/local?ms=300',
                headers=[(b'host', b'x')],
            ),
            server_id='target-0',
            attempt_id=f'target-0.boot-{number}',
            deadline=time.monotonic() + 5,
            priority=0,
            idempotent=False,
            route='all',
        )
    )


async def play_local_request(change, slots=1, delayed=False):
    """Plays a change while a request of the same host is not sent yet.

    Args:
        change: Called with the host and the task of the request.
        slots: Slots of the server; one request runs before.
        delayed: True if the connection of the request opens slowly.

    Returns:
        The refusal of the request, the time from the change to it in seconds,
        and the number of requests at the server without the one that ran.
    """
    async with loopback.LoopbackSystem(1, slots=slots) as system:
        host = system.hosts[0]
        first = start_local_request(host, 0)
        while not system.targets[0].running:
            await asyncio.sleep(0.002)
        if delayed:
            host.admission.pool = DelayedPool(host.admission.pool)
        task = start_local_request(host, 1)
        await wait_for_load(host, slots, 2 - slots)
        changed_at = time.monotonic()
        await change(host)
        response = await task
        elapsed_s = time.monotonic() - changed_at
        await first
        return (
            peer_protocol.decode_refusal(response.headers),
            elapsed_s,
            len(system.targets[0].log) - 1,
        )


@attrs.define(eq=False)
class DelayedPool:
    """Connections that open when `opened` is set."""

    pool: object
    opened: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def send(self, *arguments, **options):
        """Sends a request over the pool as soon as `opened` is set."""
        await self.opened.wait()
        return await self.pool.send(*arguments, **options)


@when('a request of the same host waits for a slot of a server that {changes}')
def change_under_local_request(context, changes):
    async def change(host):
        LEAVE_BY_NAME[changes](host)

    context.result = loopback.run(play_local_request(change))


@when(
    'a slot becomes free together with the news that the server drains',
)
def drain_with_free_slot(context):
    async def change(host):
        host.admission._limiter.release(None)
        drain(host)
        # The slot belongs to the request that still runs.
        host.admission._limiter._queue.in_use += 1

    context.result = loopback.run(play_local_request(change))


@when('the server drains while the connection of an admitted request opens')
def drain_while_connecting(context):
    async def change(host):
        drain(host)
        host.admission.pool.opened.set()

    context.result = loopback.run(
        play_local_request(change, slots=2, delayed=True)
    )


@then(
    'it is refused as {refusal} within {limit_s:g} seconds and reached no server'
)
def check_local_refused(context, refusal, limit_s):
    found, elapsed_s, arrivals = context.result
    assert found is not None and found.value == refusal, context.result
    assert elapsed_s < limit_s, context.result
    assert arrivals == 0, context.result


@when(
    '{running:d} requests run and {waiting:d} wait at a server that restarts under its id'
)
def restart_server(context, running, waiting):
    async def run():
        async with loopback.LoopbackSystem(1, slots=SLOTS) as system:
            # The requests of the earlier process do not use slots of the new
            # one, but the stand-in is one process.
            system.targets[0].slots = 2 * SLOTS
            host = system.hosts[0]
            path = f'/running?ms={RUNNING_MS}'
            tasks = start_requests(system, 'POST', running, path)
            await wait_for_load(host, running, 0)
            tasks += start_requests(system, 'POST', waiting, '/waiting?ms=100')
            await wait_for_load(host, running, waiting)
            restarted_at = time.monotonic()
            send_heartbeat(host, born_ms=1)
            await wait_for_load(host, SLOTS, waiting - SLOTS)
            context.elapsed_s = time.monotonic() - restarted_at
            context.most_running = system.targets[0].counts['most_running']
            context.statuses = [
                response.status for response in await asyncio.gather(*tasks)
            ]

    loopback.run(run())


@then(
    'all {count:d} requests were served, {slots:d} of them at once by the new process'
)
def check_served_after_restart(context, count, slots):
    # The runs of the earlier process took longer than this.
    assert context.elapsed_s < RUNNING_MS / 2000, context.elapsed_s
    assert context.statuses == [200] * count, context.statuses
    assert context.most_running == SLOTS + slots, context.most_running


READY_SERVER = model.Server(
    server_id='i-1',
    service='booking',
    address='127.0.0.1:80',
    zone='a',
    version='v1',
    slots=4,
    state=model.ServerState.READY,
    sequence=4,
    born_ms=100,
)


def build_registrar():
    """Builds the registrar of a daemon process that has just started."""
    return registrar.Registrar(service='booking', address='127.0.0.1:80')


def leave_and_restart(leaves):
    """Lets a server leave and returns its stored state.

    Args:
        leaves: What the server does.
    """
    former = build_registrar()
    former.apply_heartbeat(READY_SERVER)
    if leaves == 'deregisters':
        former.deregister('i-1')
    elif leaves == 'drains':
        former.apply_heartbeat(
            attrs.evolve(
                READY_SERVER, sequence=5, state=model.ServerState.DRAINING
            )
        )
    else:
        former.start_draining(READY_SERVER)
    return former.server


@when(
    'a server {leaves}, its daemon restarts, and {count:d} late heartbeats come {order:w} the stored state'
)
def send_late_heartbeats(context, leaves, count, order):
    stored = leave_and_restart(leaves)
    context.registrar = build_registrar()
    if order == 'after':
        context.registrar.restore_server(stored)
    for number in range(count):
        context.registrar.apply_heartbeat(
            attrs.evolve(READY_SERVER, sequence=6 + number)
        )
    if order == 'before':
        context.registrar.restore_server(stored)


@when(
    'a server deregisters, its daemon restarts, and its next process starts before the stored state'
)
def start_next_process(context):
    stored = leave_and_restart('deregisters')
    context.registrar = build_registrar()
    context.registrar.apply_heartbeat(
        attrs.evolve(READY_SERVER, born_ms=200, sequence=1)
    )
    context.registrar.restore_server(stored)


@when('a heartbeat that says ready overtakes one that says draining')
def overtake(context):
    context.registrar = build_registrar()
    context.registrar.apply_heartbeat(attrs.evolve(READY_SERVER, sequence=6))
    context.registrar.apply_heartbeat(
        attrs.evolve(READY_SERVER, sequence=5, state=model.ServerState.DRAINING)
    )


@then('the server is {state:w} there and gets no requests')
def check_left(context, state):
    assert context.registrar.server.state.value == state
    assert context.registrar.ready_server is None


@then('the next process gets requests')
def check_next_process(context):
    assert context.registrar.ready_server.born_ms == 200
