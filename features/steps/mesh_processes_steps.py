"""Steps on daemons beside servers, as separate processes."""

import http.client
import json
import pathlib
import signal
import tempfile
import threading
import time

from behave import given
from behave import then
from behave import when

from standins import cluster
from standins import mesh_cluster

SHOP = mesh_cluster.build_route('shop', '/shop/')
ONCE = mesh_cluster.build_route('order', '/order/', kind='non_idempotent')


@given('a mesh of {count:d} hosts')
def start_mesh(context, count):
    directory = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
    context.add_cleanup(directory.cleanup)
    mesh = mesh_cluster.MeshCluster(pathlib.Path(directory.name))
    context.add_cleanup(mesh.__exit__, None, None, None)
    context.mesh = mesh
    mesh.start_store()
    mesh.configure(5, SHOP, ONCE)
    context.names = [f'h{number}' for number in range(1, count + 1)]
    for name in context.names:
        mesh.start_host(name, 'a')
    cluster.wait_until(
        lambda: all(knows(mesh, n, count) for n in context.names),
        'every daemon knows every server',
    )


def knows(mesh, name, count):
    """Tells whether a daemon has logged that servers are ready."""
    lines = mesh.read_log(name).splitlines()
    ready = {
        part
        for line in lines
        if 'event=member_updated' in line and 'state=ready' in line
        for part in line.split()
        if part.startswith('member=')
    }
    return len(ready) >= count and mesh.is_serving(name)


@then('a request at each host is run once and answered with its own body')
def run_once(context):
    mesh = context.mesh
    for name in context.names:
        status, body, headers, request_id = mesh.call(name, '/shop/x?a=1')
        assert status == 200 and request_id in body.decode(), (status, body)
        assert headers['x-request-id'] == request_id
        runs = [r for n in context.names for r in mesh.executed_request_ids(n)]
        assert runs.count(request_id) == 1


@then("the answer carries the service of the caller's host")
def caller_service(context):
    _, body, _, _ = context.mesh.call(
        'h1', '/shop/x', **{'X-Caller-Service': 'forged'}
    )
    assert body.endswith(b'for booking'), body


@then('the metrics of a daemon can be read')
def read_metrics(context):
    address = context.mesh.daemon_by_name['h1'].addresses['metrics']
    status, body, _ = mesh_cluster.send_request(address, 'GET', '/metrics')
    assert status == 200 and b'hemlock_requests_total' in body, body
    assert b'hemlock_request_seconds_bucket' in body, body


@then('a request without a route gets 404 and reaches no server')
def no_route(context):
    status, _, _, request_id = context.mesh.call('h1', '/none/x')
    assert status == 404
    assert request_id not in context.mesh.executed_request_ids('h1')


@when('the operator adds a route')
def add_route(context):
    context.mesh.configure(
        9, SHOP, ONCE, mesh_cluster.build_route('new', '/new/')
    )


@when('the operator adds {count:d} routes')
def add_routes(context, count):
    more = [
        mesh_cluster.build_route(f'r{n}', f'/more{n}/') for n in range(count)
    ]
    new = mesh_cluster.build_route('new', '/new/')
    context.mesh.configure(9, SHOP, ONCE, *more, new)


@then('every daemon serves it within {bound:d} seconds')
def served_everywhere(context, bound):
    took = mesh_cluster.measure_wait_s(
        lambda: all(
            context.mesh.is_serving(n, '/new/x') for n in context.names
        ),
        'every daemon serves the route',
    )
    assert took < bound, took


@when('the operator writes a configuration that cannot be used')
def bad_configuration(context):
    context.mesh.configure(9, {**SHOP, 'Spec': {'Hostname': 7}})


@then('the last configuration stays in force and the log says why')
def last_one_holds(context):
    mesh = context.mesh
    cluster.wait_until(
        lambda: 'event=configuration_refused' in mesh.read_log('h1'),
        'the refusal is logged',
    )
    assert mesh.is_serving('h1')


@when('the server of the first host drains')
def drain_server(context):
    mesh = context.mesh
    mesh.set_server('h1', state='draining')
    cluster.wait_until(
        lambda: 'event=leave_acknowledged' in mesh.read_log('h1'),
        'the leave is acknowledged',
    )


@then('{count:d} requests at both hosts succeed and none reaches it')
def none_reaches(context, count):
    before = len(context.mesh.executed_request_ids('h1'))
    all_succeed(context, count)
    assert len(context.mesh.executed_request_ids('h1')) == before


@then('{count:d} requests at both hosts succeed')
def all_succeed(context, count):
    for _ in range(count):
        for name in context.names[:2]:
            status, body, _, _ = context.mesh.call(name, '/shop/x')
            assert status == 200, (
                status,
                body,
                context.mesh.read_log(name)[-900:],
            )


@when('the server of the first host crashes')
def crash_server(context):
    context.mesh.server_by_name['h1'].kill()


@when('the store is down')
def store_down(context):
    context.mesh.set_store_faults(down=True)


@when('the store is silent')
def store_silent(context):
    context.mesh.set_store_faults(silent=True)


@when('the store forgets its history')
def store_forgets(context):
    context.mesh.set_store_faults(forget=True)


@when('the next {count:d} answers to writes are lost')
def lose_answers(context, count):
    context.mesh.set_store_faults(lose_answers=count)


@when('the {which} daemon is killed and starts again')
def restart_daemon(context, which):
    context.restarted = {'first': 'h1', 'second': 'h2'}[which]
    context.mesh.daemon_by_name[context.restarted].kill()
    context.mesh.start_mesh_daemon(context.restarted, 'a')
    cluster.wait_until(
        lambda: context.mesh.is_ready(context.restarted), 'callers may come'
    )


@when('heartbeats come every {seconds:d} seconds')
def rare_heartbeats(context, seconds):
    context.mesh.set_server('h1', heartbeat_s=seconds)
    # The heartbeat that is under way comes before the longer pause.
    time.sleep(1)


@when('the second daemon is told to stop')
def told_to_stop(context):
    context.mesh.daemon_by_name['h2'].signal(signal.SIGTERM)


@then('requests at the first host succeed for {seconds:d} seconds')
def succeed_for(context, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        status, body, _, _ = context.mesh.call('h1', '/shop/x')
        assert status == 200, (status, body)
        time.sleep(0.05)


@then('it serves within {bound:d} seconds')
def serves_again(context, bound):
    name = context.restarted
    took = mesh_cluster.measure_wait_s(
        lambda: context.mesh.is_serving(name), 'the daemon serves again'
    )
    assert took < bound, took


@when('a further host starts')
def further_host(context):
    context.mesh.start_host('further', 'a')


@then('the further host is known to the first daemon')
def further_known(context):
    cluster.wait_until(
        lambda: knows(context.mesh, 'h1', 2), 'the further host is known'
    )


@when('the second daemon is told to stop under load')
def stop_under_load(context):
    mesh = context.mesh
    for name in context.names:
        mesh.set_server(name, work_ms=100)
    address = mesh.daemon_by_name['h2'].addresses['caller']
    stopping = threading.Event()
    context.cut, context.ended = [], []

    def load():
        connection = http.client.HTTPConnection(address, timeout=4)
        number = 0
        while not stopping.is_set():
            number += 1
            request_id = f'{id(connection):x}x{number}'
            sent = False
            try:
                connection.connect() if connection.sock is None else None
                connection.request(
                    'GET',
                    '/shop/x',
                    headers={
                        'Host': mesh_cluster.HOST_NAME,
                        'X-Request-Id': request_id,
                    },
                )
                sent = True
                status = connection.getresponse()
                status.read()
                if status.status >= 500:
                    context.cut.append((request_id, status.status))
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException) as error:
                if sent:
                    context.ended.append((request_id, repr(error)))
                connection.close()

    threads = [threading.Thread(target=load) for _ in range(3)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    code = mesh.daemon_by_name['h2'].stop()
    stopping.set()
    for thread in threads:
        thread.join()
    context.exit_code = code


@then('no request of its callers was cut')
def nothing_cut(context):
    assert context.exit_code == 0
    assert not context.cut, context.cut
    # A request that crosses the close is not read; the daemon logs each one
    # that it has read.
    log = context.mesh.read_log('h2')
    read = [each for each in context.ended if f'request={each[0]} ' in log]
    assert not read, read
    assert 'event=log_lines_dropped' not in log


@when('the servers run requests and do not answer')
def servers_silent(context):
    for name in context.names:
        context.mesh.set_server(name, silent=True)


@then('a request that may run once ran at most once and gets 504 in time')
def ran_once(context):
    mesh = context.mesh
    started = time.monotonic()
    status, _, _, request_id = mesh.call('h1', '/order/x', 'POST')
    took = time.monotonic() - started
    runs = [r for n in context.names for r in mesh.executed_request_ids(n)]
    assert status == 504 and took < 1.25, (status, took)
    assert runs.count(request_id) == 1


@when('the servers send second answers')
def servers_extra(context):
    for name in context.names:
        context.mesh.set_server(name, extra=True)


@then('{count:d} requests on kept connections get their own answers or 502')
def own_answers(context, count):
    good = 0
    for _ in range(count):
        status, body, _, request_id = context.mesh.call('h1', '/shop/x')
        if status == 200:
            assert request_id in body.decode(), body
            good += 1
        else:
            assert status == 502, status
    assert good > count / 2, good


@when('a host with a version starts that fails')
def bad_host(context):
    context.mesh.start_host('n1', 'a', 'v2')
    context.new = ['n1']
    cluster.wait_until(
        lambda: knows(context.mesh, 'h1', 3), 'the new server is known'
    )
    context.mesh.set_server('n1', fail=True)


@when('two hosts with a good version start')
def good_hosts(context):
    context.new = ['n1', 'n2']
    for name in context.new:
        context.mesh.start_host(name, 'a', 'v2')
    cluster.wait_until(
        lambda: knows(context.mesh, 'h1', 4), 'the new servers are known'
    )


@when('the operator orders that version within {seconds:d} seconds')
def order_version(context, seconds):
    spec = {
        'Service': 'booking',
        'TargetVersion': 'v2',
        'DurationS': seconds,
    }
    body = {'Metadata': {'Name': 'booking'}, 'Spec': spec}
    mesh = context.mesh
    assert mesh.call_store('POST', 'rollouts', body)
    deadline = time.monotonic() + seconds
    context.sent = 0
    context.state = None
    while time.monotonic() < deadline:
        for name in context.names:
            mesh.call(name, '/shop/x')
            context.sent += 1
        status = mesh.call_store('GET', 'rollouts/booking')['Status']
        context.state = status['State'] if status else None
        if context.state in ('completed', 'rolled_back'):
            return


@then(
    'the rollout is rolled_back and the version had at most 15% of the requests'
)
def rolled_back(context):
    assert context.state == 'rolled_back', context.state
    share = len(context.mesh.executed_request_ids('n1')) / context.sent
    assert share <= 0.15, share


def decisions(mesh):
    """Returns what daemons logged of the rollout."""
    return [
        line.partition('event=')[2]
        for name in mesh.daemon_by_name
        for line in mesh.read_log(name).splitlines()
        if 'event=rollout_' in line
    ]


def requests(mesh, ids):
    """Returns what daemons logged of requests."""
    return [
        line
        for name in mesh.daemon_by_name
        for line in mesh.read_log(name).splitlines()
        if any(f'request={each} ' in line for each in ids)
        or 'event=share_updated' in line
    ]


@then('the rollout is completed and only the version serves')
def completed(context):
    assert context.state == 'completed', decisions(context.mesh)
    before = {
        *context.mesh.executed_request_ids('h1'),
        *context.mesh.executed_request_ids('h2'),
    }
    all_succeed(context, 10)
    late = {
        *context.mesh.executed_request_ids('h1'),
        *context.mesh.executed_request_ids('h2'),
    } - before
    assert not late, (late, requests(context.mesh, late))


def first_host(context):
    return context.mesh.daemon_by_name['h1']


@when('the retry ratio in its settings changes')
def change_settings(context):
    context.mesh.write_settings(
        'h1', 'a', first_host(context).addresses, retry_ratio=0.3
    )


@then('it has read its settings again without a signal')
def settings_read(context):
    cluster.wait_until(
        lambda: (
            'settings_reloaded changed=True signalled=False'
            in context.mesh.read_log('h1')
        ),
        'the settings are read',
    )


@when('its settings are replaced by bytes that cannot be read')
def break_settings(context):
    (context.mesh.directory / 'h1.json').write_bytes(b'\xff{')


@when('it is told to read its settings')
def signal_settings(context):
    first_host(context).signal(signal.SIGHUP)


@then('the log says why and requests go on')
def settings_refused(context):
    cluster.wait_until(
        lambda: 'event=settings_refused' in context.mesh.read_log('h1'),
        'the settings are refused',
    )
    all_succeed(context, 3)


@when('a target announces itself with {fault}')
def announce(context, fault):
    body = {
        'target_id': 't',
        'service': 'booking',
        'version': 'v1',
        'address': '127.0.0.1:9',
        'slots': 4,
    }
    changes = {
        'no version': {'version': ''},
        'no slots': {'slots': 0},
        'an unknown key': {'color': 'red'},
    }
    context.answer = mesh_cluster.send_request(
        first_host(context).addresses['control'],
        'POST',
        '/v1/announcements',
        json.dumps({**body, **changes[fault]}).encode(),
    )


@then('the announcement is refused with a message that names {field}')
def announcement_refused(context, field):
    status, body, _ = context.answer
    assert status == 400 and field in body.decode(), context.answer
