"""Steps for requests that servers send while they run a request."""

import collections
import concurrent.futures
import time

from behave import given
from behave import then
from behave import when

from hemlockgrade import running_requests
from standins import cluster
from standins import mesh_cluster

RETRY_RATIO = 0.2
RETRY_SLACK = 20


@given(
    '{callers:d} booking servers whose runs send {calls:d} calls each to {callees:d} permit servers'
)
def start_two_services(context, callers, calls, callees):
    mesh = mesh_cluster.create_temporary(context.add_cleanup)
    context.mesh = mesh
    mesh.start_store()
    mesh.configure(
        5,
        mesh_cluster.build_route('shop', '/shop/'),
        mesh_cluster.build_route('permit', '/permit/', service='permits'),
    )
    context.callers = [f'h{number}' for number in range(1, callers + 1)]
    context.callees = [f'p{number}' for number in range(1, callees + 1)]
    for name in context.callers + context.callees:
        mesh.start_host(
            name,
            'a',
            service='booking' if name in context.callers else 'permits',
            retry_ratio=RETRY_RATIO,
            retry_slack=RETRY_SLACK,
        )
    for name in context.callers:
        cluster.wait_until(
            lambda name=name: (
                mesh.is_serving(name) and mesh.is_serving(name, '/permit/x')
            ),
            'every daemon serves both services',
        )
    for name in context.callers:
        mesh.set_server(name, calls=['/permit/x'] * calls, slots=18)
    for name in context.callees:
        mesh.set_server(name, slots=18)


@given(
    'they refuse {percent:d}% of the requests, and permit servers {callee_percent:d}%'
)
def refuse_requests(context, percent, callee_percent):
    for name in context.callers:
        context.mesh.set_server(name, refused_share=percent / 100)
    for name in context.callees:
        context.mesh.set_server(name, refused_share=callee_percent / 100)


@when('callers send {rate:d} requests a second for {seconds:d} seconds')
def send_requests(context, rate, seconds):
    mesh = context.mesh
    names = context.callers if 'callers' in context else context.host_names
    started = time.monotonic()

    def send(number):
        time.sleep(max(0, started + number / rate - time.monotonic()))
        name = names[number % len(names)]
        sent_at = time.monotonic()
        status, _, headers, _ = mesh.call(
            name, '/shop/x', **{'X-Deadline-Ms': '1000'}
        )
        return status, time.monotonic() - sent_at, headers

    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        context.results = list(pool.map(send, range(rate * seconds)))
    context.count_by_status = collections.Counter(
        status for status, _, _ in context.results
    )
    # The whole run is shorter than the window of the retry budget.
    context.run_s = time.monotonic() - started


@then('the permit servers get no more repeats than their retry budget allows')
def check_retry_budget(context):
    mesh = context.mesh
    calls = {c for name in context.callers for c in mesh.calls(name)}
    first_server_by_request = first_arrivals(mesh, context.callers)
    arrivals = [
        request_id
        for name in context.callees
        for request_id, _ in mesh.arrivals(name)
        if request_id in calls
    ]
    sent_by_repeat = [
        c
        for c in set(arrivals)
        if is_sent_by_repeat(c, first_server_by_request)
    ]
    retries = len(arrivals) - len(set(arrivals))
    allowed = RETRY_RATIO * len(calls) + RETRY_SLACK
    print(retries, len(sent_by_repeat), allowed, context.count_by_status)
    assert context.run_s < 10
    assert context.count_by_status[200], context.count_by_status
    assert retries + len(sent_by_repeat) <= allowed, (
        retries,
        len(sent_by_repeat),
        allowed,
        context.count_by_status,
    )


def first_arrivals(mesh, names):
    """Returns the server that each request reached first, by request."""
    arrivals = sorted(
        (at, request_id, name)
        for name in names
        for request_id, at in mesh.arrivals(name)
    )
    first_server_by_request = {}
    for _, request_id, name in arrivals:
        first_server_by_request.setdefault(request_id, f'i-{name}')
    return first_server_by_request


def is_sent_by_repeat(call_id, first_server_by_request):
    """Returns whether the run that sent a call was not the first attempt."""
    parent_id, _, own_id = call_id.rpartition('.')
    return own_id.rpartition('-')[0] != first_server_by_request[parent_id]


@then('no request ran twice')
def check_run_once(context):
    runs = [
        request_id
        for name in context.callers
        for request_id in context.mesh.executed_request_ids(name)
    ]
    assert runs
    assert len(runs) == len(set(runs)), (len(runs), len(set(runs)))


@given('a server that runs the requests {first} and {second}')
def build_running_requests(context, first, second):
    context.running = running_requests.RunningRequests()
    context.request_by_id = {
        request_id: running_requests.RunningRequest(
            priority=priority, is_repeat=False, ends_by=1.0
        )
        for priority, request_id in enumerate((first, second))
    }
    for request_id, running in context.request_by_id.items():
        context.running.add(request_id, running)


@then('the parent of the request {request_id} is {parent}')
def check_parent(context, request_id, parent):
    found = context.running.find_parent(request_id)
    assert found is context.request_by_id.get(parent), found
