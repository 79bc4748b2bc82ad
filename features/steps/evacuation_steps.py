"""Steps for the evacuation of failure domains."""

import asyncio
import math
import threading
import time

from behave import given
from behave import then
from behave import when

from hemlockgrade import directory
from hemlockgrade import model
from hemlockgrade import peers
from hemlockgrade.plugins import zone_balancer
from standins import cluster
from standins import loopback
from standins import mesh_cluster

EVACUATION_LIMIT_MS = 5000
DOMAIN = 'north'
OTHER_DOMAIN = 'south'


@given(
    'a mesh of {count:d} hosts in each of 2 failure domains that may be evacuated'
)
def start_mesh(context, count):
    mesh = mesh_cluster.create_temporary(context.add_cleanup)
    context.mesh = mesh
    mesh.start_store()
    mesh.configure(5, mesh_cluster.build_route('shop', '/shop/'))
    context.names_by_domain = {
        domain: [f'{domain}-{number}' for number in range(count)]
        for domain in (DOMAIN, OTHER_DOMAIN)
    }
    for domain, names in context.names_by_domain.items():
        for name in names:
            mesh.start_host(
                name, domain, evacuation_limit_ms=EVACUATION_LIMIT_MS
            )
    total = count * len(context.names_by_domain)
    for names in context.names_by_domain.values():
        for name in names:
            cluster.wait_until(
                lambda name=name: (
                    ready_servers(mesh, name) == total and mesh.is_serving(name)
                ),
                f'{name} has every server as ready',
            )


def ready_servers(mesh, name):
    """Returns the number of servers that a daemon logged as ready."""
    return len(
        {
            field
            for line in mesh.read_log(name).splitlines()
            if 'event=member_updated' in line and 'state=ready' in line
            for field in line.split()
            if field.startswith('server=')
        }
    )


def evacuate(context):
    body = {'Metadata': {'Name': DOMAIN}, 'Spec': {}}
    assert context.mesh.call_store('POST', 'evacuations', body)
    return time.monotonic()


def arrivals(context, domain):
    return [
        at
        for name in context.names_by_domain[domain]
        for _, at in context.mesh.arrivals(name)
    ]


@when(
    'callers of all hosts send requests and the operator evacuates the first domain'
)
def evacuate_under_load(context):
    context.statuses = []
    stopped = threading.Event()

    def send(name):
        while not stopped.is_set():
            context.statuses.append(context.mesh.call(name, '/shop/x')[0])
            time.sleep(0.02)

    callers = [
        threading.Thread(target=send, args=(name,))
        for names in context.names_by_domain.values()
        for name in names
    ]
    for caller in callers:
        caller.start()
    time.sleep(0.5)
    context.evacuated_at = evacuate(context)
    time.sleep(EVACUATION_LIMIT_MS / 1000 + 1.0)
    stopped.set()
    for caller in callers:
        caller.join()


@then(
    'no request reaches the servers of the domain later than {seconds:d} seconds after that'
)
def check_no_arrivals(context, seconds):
    latest = max(arrivals(context, DOMAIN))
    assert latest <= context.evacuated_at + seconds, (
        latest - context.evacuated_at
    )


@then('no request failed')
def check_statuses(context):
    assert set(context.statuses) == {200}, set(context.statuses)


@when('the operator takes the evacuation back')
def take_back(context):
    context.mesh.call_store('DELETE', f'evacuations/{DOMAIN}')


@then('the servers of the domain get requests again')
def check_arrivals_again(context):
    before = len(arrivals(context, DOMAIN))
    name = context.names_by_domain[DOMAIN][0]

    def gets_request():
        context.mesh.call(name, '/shop/x')
        return len(arrivals(context, DOMAIN)) > before

    cluster.wait_until(gets_request, 'the domain gets a request')


@when(
    'the operator evacuates the first domain and a daemon of the other one restarts'
)
def restart_during_evacuation(context):
    evacuate(context)
    name = context.names_by_domain[OTHER_DOMAIN][0]
    mesh = context.mesh
    mesh.daemon_by_name[name].kill()
    mesh.start_mesh_daemon(
        name, OTHER_DOMAIN, evacuation_limit_ms=EVACUATION_LIMIT_MS
    )
    cluster.wait_until(lambda: mesh.is_ready(name), f'{name} is ready')
    context.restarted = name


@then(
    'none of {count:d} requests of the restarted daemon reaches the servers of the domain'
)
def check_restarted(context, count):
    cluster.wait_until(
        lambda: (
            'event=failure_domain_evacuated'
            in context.mesh.read_log(context.names_by_domain[DOMAIN][0])
        ),
        'the domain knows of its evacuation',
    )
    before = len(arrivals(context, DOMAIN))
    for _ in range(count):
        context.mesh.call(context.restarted, '/shop/x')
    assert len(arrivals(context, DOMAIN)) == before


@given(
    'a balancer with one server in its own failure domain and one in another'
)
def build_balancer(context):
    context.directory = directory.Directory('a')
    context.balancer = zone_balancer.ZoneBalancer(
        directory=context.directory, zone=DOMAIN, clock=lambda: 100.0
    )
    for number, domain in enumerate((DOMAIN, OTHER_DOMAIN), 1):
        server = model.Server(
            server_id=f'i-{number}',
            service='booking',
            address=f'10.0.0.{number}:80',
            zone=domain,
            version='v1',
            slots=3,
            state=model.ServerState.READY,
        )
        member = model.Member(
            name=domain,
            address=f'10.0.0.{number}:90',
            zone=domain,
            boot_id='x',
            server=server,
            revision=number,
        )
        context.directory.apply_member(member, 'test')


@when('its own failure domain is evacuated')
def evacuate_own(context):
    context.directory.apply_evacuation(DOMAIN, 5)


@when('the other failure domain is evacuated')
def evacuate_other(context):
    context.directory.apply_evacuation(OTHER_DOMAIN, 6)


def choose_server(context):
    needs = peers.RequestNeeds(service='booking')
    return context.balancer.choose(needs, ())


@then('it chooses the server of the other one {count:d} of {total:d} times')
def check_chosen(context, count, total):
    chosen = [
        choose_server(context).peer.member.zone == OTHER_DOMAIN
        for _ in range(total)
    ]
    assert sum(chosen) == count, chosen


@then('it chooses no server')
def check_none_chosen(context):
    assert choose_server(context) is None


@when(
    'a host with {slots:d} slots is evacuated while {waiting:d} of {count:d} requests wait for it'
)
def evacuate_with_waiting(context, slots, waiting, count):
    async def run():
        async with loopback.LoopbackSystem(1, slots=slots) as system:
            host = system.hosts[0]
            tasks = [
                asyncio.ensure_future(system.send_request('GET', '/a?ms=600'))
                for _ in range(count)
            ]
            # A request that has a slot, but no connection yet, has not run.
            while (
                host.limiter_load() != (slots, waiting)
                or system.targets[0].running != slots
            ):
                await asyncio.sleep(0.002)
            host.admission.is_evacuated = lambda: True
            host.admission.apply_evacuation(ended=False)
            done, _ = await asyncio.wait(tasks, timeout=0.3)
            context.statuses_at_once = [task.result().status for task in done]
            responses = await asyncio.gather(*tasks)
            context.statuses = [response.status for response in responses]

    loopback.run(run())


@then(
    '{count:d} of them ran and the others were refused before a slot became free'
)
def check_waiting(context, count):
    assert context.statuses.count(200) == count, context.statuses
    refused = len(context.statuses) - count
    assert context.statuses_at_once == [503] * refused, context.statuses_at_once


@when(
    'the first of {count:d} hosts is evacuated and the sender does not know it'
)
def evacuate_unknown(context, count):
    async def run():
        async with loopback.LoopbackSystem(count) as system:
            system.hosts[0].admission.is_evacuated = lambda: True
            for _ in range(10):
                response = await system.send_request('GET', '/a')
                assert response.status == 200, response
            context.runs = [len(target.log) for target in system.targets]

    loopback.run(run())


@then('all of {count:d} requests ran at the other host')
def check_other_host(context, count):
    assert context.runs == [0, count], context.runs


@when('the evacuation of a host ends')
def end_evacuation(context):
    async def run():
        async with loopback.LoopbackSystem() as system:
            host = system.hosts[0]
            host.admission.apply_evacuation(ended=True)
            context.registrar = host.registrar

    loopback.run(run())


@then('its server counts as cold until its next heartbeat')
def check_suspected(context):
    assert math.isinf(context.registrar.cold_until)


@when('the orders {orders} arrive for a failure domain')
def apply_orders(context, orders):
    context.directory = directory.Directory('a')
    for order in orders.split(', '):
        kind, revision = order.split()
        if kind == 'order':
            context.directory.apply_evacuation(DOMAIN, int(revision))
        elif kind == 'end':
            context.directory.end_evacuation(DOMAIN, int(revision))
        else:
            context.directory.end_missing_evacuations(set(), int(revision))


@then('the failure domain is {state}')
def check_state(context, state):
    is_evacuated = DOMAIN in context.directory.evacuated_domains
    assert is_evacuated == (state == 'evacuated')
