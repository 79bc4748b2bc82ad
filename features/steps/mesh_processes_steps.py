"""Steps for daemons, servers and a store as separate processes."""

import http.client
import json
import pathlib
import re
import signal
import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from hemlockgrade.config import daemon
from standins import cluster
from standins import mesh_cluster

# Grace period of the daemons, in seconds.
GRACE_S = 6
SHOP_ROUTE = mesh_cluster.build_route('shop', '/shop/')
ORDER_ROUTE = mesh_cluster.build_route(
    'order', '/order/', kind='non_idempotent'
)


@given('a mesh of {count:d} hosts')
def start_mesh(context, count):
    mesh = mesh_cluster.create_temporary(context.add_cleanup)
    context.mesh = mesh
    mesh.start_store()
    mesh.configure(5, SHOP_ROUTE, ORDER_ROUTE)
    context.host_names = [f'h{number}' for number in range(1, count + 1)]
    for name in context.host_names:
        mesh.start_host(name, 'a')
    cluster.wait_until(
        lambda: all(
            has_ready_members(mesh, n, count) for n in context.host_names
        ),
        'every daemon has every server as ready',
    )


def has_ready_members(mesh, name, count):
    """Tells whether a daemon logged `count` ready servers and serves."""
    lines = mesh.read_log(name).splitlines()
    ready = {
        field
        for line in lines
        if 'event=member_updated' in line and 'state=ready' in line
        for field in line.split()
        if field.startswith('member=')
    }
    return len(ready) >= count and mesh.is_serving(name)


@then('a request at each host runs once and gets its own response')
def check_runs_and_responses(context):
    mesh = context.mesh
    for name in context.host_names:
        status, body, headers, request_id = mesh.call(name, '/shop/x?a=1')
        assert status == 200 and request_id in body.decode(), (status, body)
        assert headers['x-request-id'] == request_id
        runs = [
            r for n in context.host_names for r in mesh.executed_request_ids(n)
        ]
        assert runs.count(request_id) == 1


@then("the server gets the service name of the caller's host")
def check_caller_service(context):
    _, body, _, _ = context.mesh.call(
        'h1', '/shop/x', **{'X-Caller-Service': 'forged'}
    )
    assert body.endswith(b'for booking'), body


@then('the metrics of a daemon can be read')
def check_metrics(context):
    address = context.mesh.daemon_by_name['h1'].addresses['metrics']
    status, body, _ = mesh_cluster.send_request(address, 'GET', '/metrics')
    assert status == 200 and b'hemlock_requests_total' in body, body
    assert b'hemlock_request_seconds_bucket' in body, body


@then('a request that matches no route gets 404 and reaches no server')
def check_no_route(context):
    status, _, _, request_id = context.mesh.call('h1', '/none/x')
    assert status == 404
    assert request_id not in context.mesh.executed_request_ids('h1')


@when('the operator adds a route')
def add_route(context):
    context.mesh.configure(
        9, SHOP_ROUTE, ORDER_ROUTE, mesh_cluster.build_route('new', '/new/')
    )


@when('the operator adds {count:d} routes')
def add_routes(context, count):
    more_routes = [
        mesh_cluster.build_route(f'r{n}', f'/more{n}/') for n in range(count)
    ]
    new = mesh_cluster.build_route('new', '/new/')
    context.mesh.configure(9, SHOP_ROUTE, ORDER_ROUTE, *more_routes, new)


@then('every daemon serves the new route within {limit_s:d} seconds')
def check_served_everywhere(context, limit_s):
    elapsed_s = mesh_cluster.measure_wait_s(
        lambda: all(
            context.mesh.is_serving(n, '/new/x') for n in context.host_names
        ),
        'every daemon serves the route',
    )
    assert elapsed_s < limit_s, elapsed_s


@when(
    'the operator allows bodies of {megabytes:d} MB and the server of the first host drains'
)
def allow_large_bodies(context, megabytes):
    limits = {
        'EntryType': 'Limits',
        'Metadata': {'Name': 'limits'},
        'Spec': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': megabytes * 10**6,
            'HeaderTimeoutMs': 5000,
            'IdleTimeoutMs': 60_000,
        },
    }
    context.mesh.configure(9, SHOP_ROUTE, limits)
    for name in context.host_names:
        cluster.wait_until(
            lambda name=name: (
                'event=configuration_applied version=9'
                in context.mesh.read_log(name)
            ),
            'the configuration is in force',
        )
    drain_server(context)


@then('a request with a body of {megabytes:d} MB at the first host is served')
def check_large_body(context, megabytes):
    status, body, _ = mesh_cluster.send_request(
        context.mesh.daemon_by_name['h1'].addresses['caller'],
        'POST',
        '/shop/x',
        b'x' * (megabytes * 10**6),
        {'Host': mesh_cluster.HOST_NAME},
    )
    assert status == 200 and b'i-h2' in body, (status, body)


@when('the operator writes an invalid configuration')
def write_invalid_configuration(context):
    context.mesh.configure(9, {**SHOP_ROUTE, 'Spec': {'Hostname': 7}})


@then('the previous configuration stays in force and the refusal is logged')
def check_configuration_in_force(context):
    mesh = context.mesh
    cluster.wait_until(
        lambda: 'event=configuration_refused' in mesh.read_log('h1'),
        'the refusal of the configuration is logged',
    )
    assert mesh.is_serving('h1')


@when('the server of the first host drains')
def drain_server(context):
    mesh = context.mesh
    mesh.set_server('h1', state='draining')
    cluster.wait_until(
        lambda: 'event=leave_acknowledged' in mesh.read_log('h1'),
        'the deregistration is acknowledged',
    )


@then(
    '{count:d} requests at each host succeed and none reaches the first server'
)
def check_drained_server_unused(context, count):
    before = len(context.mesh.executed_request_ids('h1'))
    check_requests_succeed(context, count)
    assert len(context.mesh.executed_request_ids('h1')) == before


@then('{count:d} requests at each host succeed')
def check_requests_succeed(context, count):
    for _ in range(count):
        for name in context.host_names[:2]:
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
def take_store_down(context):
    context.mesh.set_store_faults(down=True)


@when('the store sends no responses')
def silence_store(context):
    context.mesh.set_store_faults(silent=True)


@when('the store responds again')
def restore_store(context):
    context.mesh.set_store_faults()
    cluster.wait_until(
        lambda: (
            'event=entry_written'
            in context.mesh.read_log('h1')[context.log_size :]
        ),
        'the first daemon has written its member',
    )


@when('the first server leaves without draining')
def deregister_first_server(context):
    control = context.mesh.daemon_by_name['h1'].addresses['control']
    context.log_size = len(context.mesh.read_log('h1'))
    cluster.wait_until(
        lambda: (
            mesh_cluster.send_request(control, 'DELETE', '/-/instances/i-h1')[0]
            == 200
        ),
        'the leave is acknowledged',
    )


@when('{count:d} late heartbeats of the first server arrive')
def send_late_heartbeats(context, count):
    """Sends heartbeats that the server has sent before it left."""
    mesh = context.mesh
    addresses = mesh.daemon_by_name['h1'].addresses
    born = re.search(
        r'event=server_changed server=i-h1 .*born_ms=(\d+)', mesh.read_log('h1')
    )
    for number in range(count):
        body = {
            'Service': 'booking',
            'Address': addresses['server'],
            'Zone': 'a',
            'Version': 'v1',
            'Slots': 4,
            'State': 'ready',
            'WarmupLeftMs': 0,
            'Seq': 100_000 + number,
            'born': int(born[1]),
        }
        status, _, _ = mesh_cluster.send_request(
            addresses['control'],
            'PUT',
            '/-/instances/i-h1',
            json.dumps(body).encode(),
        )
        assert status == 200, status


@when('the health check of the first server fails')
def fail_health_check(context):
    context.mesh.set_server('h1', healthy=False)


@then('the first server gets no request after {seconds:f} seconds')
def check_unused_after(context, seconds):
    time.sleep(seconds)
    check_drained_server_unused(context, 40)


@when('the store loses its history')
def drop_store_history(context):
    context.mesh.set_store_faults(forget=True)


@when('the next {count:d} responses of the store to writes are lost')
def lose_store_responses(context, count):
    context.mesh.set_store_faults(lose_answers=count)


@when('the {which} daemon is killed and restarted')
def restart_daemon(context, which):
    context.restarted = {'first': 'h1', 'second': 'h2'}[which]
    context.log_size = len(context.mesh.read_log(context.restarted))
    context.mesh.daemon_by_name[context.restarted].kill()
    context.mesh.start_mesh_daemon(context.restarted, 'a')
    cluster.wait_until(
        lambda: context.mesh.is_ready(context.restarted),
        'the daemon is ready for callers',
    )


@when('the first server sends heartbeats every {seconds:d} seconds')
def set_heartbeat_interval(context, seconds):
    context.mesh.set_server('h1', heartbeat_s=seconds)
    # The server sends one more heartbeat before the new interval applies.
    time.sleep(1)


@when('the second daemon gets SIGTERM')
def terminate_second_daemon(context):
    context.mesh.daemon_by_name['h2'].signal(signal.SIGTERM)


@when('a daemon whose interpreter takes 10 seconds to clean up gets SIGTERM')
def stop_daemon_with_slow_exit(context):
    mesh = context.mesh
    mesh.daemon_by_name['h1'].kill()
    mesh.start_mesh_daemon(
        'h1', 'a', plugins=[*daemon.DEFAULT_PLUGINS, 'standins.slow_exit']
    )
    cluster.wait_until(
        lambda: mesh.is_ready('h1'), 'the daemon is ready for callers'
    )
    mesh.daemon_by_name['h1'].signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()


@then('it ends within its grace period')
def check_ends_in_grace_period(context):
    process = context.mesh.daemon_by_name['h1']
    code = process.popen.wait(timeout=20)
    assert code == 0, code
    elapsed_s = time.monotonic() - context.stopped_at
    assert elapsed_s < GRACE_S, elapsed_s


@then('requests at the first host succeed for {seconds:d} seconds')
def check_requests_succeed_for(context, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        status, body, _, _ = context.mesh.call('h1', '/shop/x')
        assert status == 200, (status, body)
        time.sleep(0.05)


@then('the restarted daemon serves within {limit_s:d} seconds')
def check_serves_again(context, limit_s):
    name = context.restarted
    elapsed_s = mesh_cluster.measure_wait_s(
        lambda: context.mesh.is_serving(name), 'the daemon serves again'
    )
    assert elapsed_s < limit_s, elapsed_s


@when('another host starts')
def start_another_host(context):
    context.mesh.start_host('further', 'a')


@then('the first daemon applies the member of the new host')
def check_new_member(context):
    cluster.wait_until(
        lambda: has_ready_members(context.mesh, 'h1', 2),
        'the first daemon has the new server as ready',
    )


@when('the second daemon is stopped under load')
def stop_daemon_under_load(context):
    mesh = context.mesh
    for name in context.host_names:
        mesh.set_server(name, work_ms=100)
    address = mesh.daemon_by_name['h2'].addresses['caller']
    stopping = threading.Event()
    context.failed_requests, context.disconnected_requests = [], []

    def send_requests():
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
                response = connection.getresponse()
                response.read()
                if response.status >= 500:
                    context.failed_requests.append(
                        (request_id, response.status)
                    )
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException) as error:
                if sent:
                    context.disconnected_requests.append(
                        (request_id, repr(error))
                    )
                connection.close()

    threads = [threading.Thread(target=send_requests) for _ in range(3)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    code = mesh.daemon_by_name['h2'].stop()
    stopping.set()
    for thread in threads:
        thread.join()
    context.exit_code = code


@then('none of the requests that it has read failed')
def check_no_read_request_failed(context):
    assert context.exit_code == 0
    assert not context.failed_requests, context.failed_requests
    # The daemon may close a connection while a request is on its way. It does
    # not read such a request, and it logs each request that it has read.
    log = context.mesh.read_log('h2')
    read = [
        each
        for each in context.disconnected_requests
        if f'request={each[0]} ' in log
    ]
    assert not read, read
    assert 'event=log_lines_dropped' not in log


@when(
    'the second daemon is stopped while callers send it requests of {seconds:g} seconds'
)
def stop_daemon_under_slow_requests(context, seconds):
    stop_second_daemon_under_requests(context, 'h2', seconds)


@when(
    'the second daemon is stopped while callers of the first send requests of {seconds:g} seconds'
)
def stop_daemon_under_slow_peer_requests(context, seconds):
    stop_second_daemon_under_requests(context, 'h1', seconds)


def stop_second_daemon_under_requests(context, caller_host, seconds):
    """Stops a daemon while three callers each send one request after another.

    Args:
        context: Context of the scenario.
        caller_host: Host whose callers send the requests.
        seconds: Time that each request takes at its server.
    """
    mesh = context.mesh
    mesh.configure(
        6, mesh_cluster.build_route('slow', '/slow/', timeout_ms=3000)
    )
    cluster.wait_until(
        lambda: mesh.is_serving(caller_host, '/slow/x'), 'the route is in force'
    )
    for name in context.host_names:
        mesh.set_server(name, work_ms=seconds * 1000)
    address = mesh.daemon_by_name['h2'].addresses['caller']
    stopped_at = time.monotonic() + 0.3
    context.late_requests = []

    def send_requests(first_at):
        time.sleep(max(0, first_at - time.monotonic()))
        while accepts_connections(address):
            sent_at = time.monotonic()
            status, _, headers, request_id = mesh.call(
                caller_host, '/slow/x', **{'X-Deadline-Ms': '3000'}
            )
            context.late_requests.append(
                (round(sent_at - stopped_at, 2), status, headers, request_id)
            )
            if status == 503:
                time.sleep(float(headers['retry-after']))

    threads = [
        threading.Thread(target=send_requests, args=(stopped_at + offset,))
        for offset in (-0.3, 0.2, 0.8)
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0, stopped_at - time.monotonic()))
    context.exit_code = mesh.daemon_by_name['h2'].stop()
    for thread in threads:
        thread.join()


def accepts_connections(address):
    """Tells whether a connection to an address can be opened."""
    host, port = address.split(':')
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True


@then('each of these requests got its response or a refusal before it ran')
def check_late_requests(context):
    ran = {
        request_id
        for name in context.host_names
        for request_id in context.mesh.executed_request_ids(name)
    }
    assert context.exit_code == 0
    assert max(sent_s for sent_s, *_ in context.late_requests) > 3
    wrong = [
        (sent_s, status, request_id)
        for sent_s, status, _, request_id in context.late_requests
        if status != 200 and not (status == 503 and request_id not in ran)
    ]
    assert not wrong, wrong


@when(
    'the first daemon is stopped while a caller waits {seconds:d} seconds to read a response of {megabytes:d} MB'
)
def stop_daemon_under_late_reader(context, seconds, megabytes):
    mesh = context.mesh
    mesh.set_server('h1', body_bytes=megabytes * 1_000_000)
    daemon = mesh.daemon_by_name['h1']
    host, port = daemon.addresses['caller'].split(':')
    with socket.socket() as connection:
        # A small window keeps most of the response in the daemon.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        connection.settimeout(10)
        connection.connect((host, int(port)))
        connection.sendall(
            b'GET /shop/x HTTP/1.1\r\nHost: %b\r\nX-Request-Id: 1a\r\n'
            b'X-Deadline-Ms: 1000\r\n\r\n' % mesh_cluster.HOST_NAME.encode()
        )
        cluster.wait_until(
            lambda: 'request_finished request=1a' in mesh.read_log('h1'),
            'the daemon has the response',
        )
        daemon.signal(signal.SIGTERM)
        time.sleep(seconds)
        response = http.client.HTTPResponse(connection, method='GET')
        response.begin()
        context.response = response.status, len(response.read())
        context.expected_response = 200, megabytes * 1_000_000
    context.exit_code = daemon.popen.wait(10)


@then('the caller gets the whole response')
def check_whole_response(context):
    assert context.response == context.expected_response, context.response
    assert context.exit_code == 0


@when('{count:d} callers connect while the first daemon closes its listener')
def connect_while_listener_closes(context, count):
    daemon = context.mesh.daemon_by_name['h1']
    host, port = daemon.addresses['caller'].split(':')
    stopped_at = time.monotonic()
    daemon.signal(signal.SIGTERM)
    # Without readiness checks the listener closes 3.0 s after SIGTERM. The
    # pause makes the daemon see the connections and that time at once.
    sleep_until(stopped_at + 2.85)
    daemon.signal(signal.SIGSTOP)
    connections = []
    for number in range(count):
        connection = socket.create_connection((host, int(port)), timeout=5)
        context.add_cleanup(connection.close)
        connection.sendall(
            b'GET /shop/x HTTP/1.1\r\nHost: %b\r\nX-Request-Id: %d\r\n'
            b'X-Deadline-Ms: 1000\r\n\r\n'
            % (mesh_cluster.HOST_NAME.encode(), number)
        )
        connections.append(connection)
    sleep_until(stopped_at + 3.3)
    daemon.signal(signal.SIGCONT)
    context.statuses = [read_status(connection) for connection in connections]


def read_status(connection):
    """Returns the status of a response, or 0 if the connection was reset."""
    response = http.client.HTTPResponse(connection, method='GET')
    try:
        response.begin()
    except (OSError, http.client.HTTPException):
        return 0
    return response.status


@then('each of these callers gets a response')
def check_each_gets_response(context):
    assert set(context.statuses) <= {200, 503}, context.statuses


@when(
    'the first daemon is stopped while {count:d} requests of {seconds:d} seconds run or wait for its server'
)
def stop_daemon_under_longer_requests(context, count, seconds):
    mesh = context.mesh
    mesh.configure(
        6,
        mesh_cluster.build_route(
            'slow', '/slow/', kind='non_idempotent', timeout_ms=9000
        ),
    )
    cluster.wait_until(
        lambda: mesh.is_serving('h1', '/slow/x'), 'the route is in force'
    )
    mesh.set_server('h1', work_ms=seconds * 1000)
    context.results = []

    def send(number):
        status, _, _ = mesh_cluster.send_request(
            mesh.daemon_by_name['h1'].addresses['caller'],
            'POST',
            '/slow/x',
            headers={
                'Host': mesh_cluster.HOST_NAME,
                'X-Request-Id': f'slow-{number}',
                'X-Deadline-Ms': '9000',
            },
            timeout_s=10,
        )
        context.results.append((status, f'slow-{number}'))

    threads = [
        threading.Thread(target=send, args=(number,)) for number in range(count)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    context.exit_code = mesh.daemon_by_name['h1'].stop()
    for thread in threads:
        thread.join()


@then('the requests that ran get 502 and the others 503')
def check_interrupted_requests(context):
    ran = set(context.mesh.executed_request_ids('h1'))
    expected = [
        (502 if request_id in ran else 503, request_id)
        for _, request_id in context.results
    ]
    assert context.results == expected, context.results
    assert {status for status, _ in expected} == {502, 503}
    assert context.exit_code == 0


def prepare_slow_route(context, timeout_ms):
    """Adds the route /slow/ and waits until the first host serves it."""
    context.mesh.configure(
        6,
        SHOP_ROUTE,
        mesh_cluster.build_route('slow', '/slow/', timeout_ms=timeout_ms),
    )
    cluster.wait_until(
        lambda: context.mesh.is_serving('h1', '/slow/x'),
        'the route is in force',
    )


def connect_to_first_daemon(context, *, receive_buffer=None):
    """Opens a connection to the caller address of the first daemon."""
    connection = socket.socket()
    context.add_cleanup(connection.close)
    if receive_buffer is not None:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
        )
    connection.settimeout(15)
    host, port = (
        context.mesh.daemon_by_name['h1'].addresses['caller'].split(':')
    )
    connection.connect((host, int(port)))
    return connection


def encode_request(
    request_id, deadline_ms, method='GET', body_length=0, path='/slow/x'
):
    """Returns the head of a request."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {mesh_cluster.HOST_NAME}\r\n'
        f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
        f'Content-Length: {body_length}\r\n\r\n'
    ).encode()


def sleep_until(moment):
    """Sleeps until a monotonic time, unless it has passed."""
    time.sleep(max(0, moment - time.monotonic()))


@when(
    'the first daemon is stopped while a caller reads late and another one sends a body slowly'
)
def stop_daemon_under_late_reader_and_upload(context):
    prepare_slow_route(context, 3000)
    for name in context.host_names:
        context.mesh.set_server(name, body_bytes=3_000_000)
    reader = connect_to_first_daemon(context, receive_buffer=16_384)
    reader.sendall(encode_request('b0', 1000))
    cluster.wait_until(
        lambda: 'request_finished request=b0' in context.mesh.read_log('h1'),
        'the daemon has the response',
    )
    for name in context.host_names:
        context.mesh.set_server(name, body_bytes=0, work_ms=1300)
    stop_daemon_under_upload(context, 2.5, reader)


@when(
    'the first daemon is stopped while a caller needs {seconds:g} seconds to send a body'
)
def stop_daemon_under_upload_only(context, seconds):
    prepare_slow_route(context, 3000)
    stop_daemon_under_upload(context, seconds, None)


def stop_daemon_under_upload(context, seconds, late_reader):
    """Stops the first daemon and sends it a body from 1 s after SIGTERM on.

    Args:
        context: Context of the scenario.
        seconds: Time that the caller needs to send the body.
        late_reader: Connection with an unread response, which is read while
            a server runs the request; None if there is none.
    """
    daemon = context.mesh.daemon_by_name['h1']
    daemon.signal(signal.SIGTERM)
    begin_at = time.monotonic() + 1.0
    sleep_until(begin_at)
    connection = connect_to_first_daemon(context)
    context.status = 0
    try:
        connection.sendall(encode_request('b1', 1500, 'POST', 100))
        for number in range(10):
            sleep_until(begin_at + seconds * (number + 1) / 10)
            connection.sendall(b'x' * 10)
    except OSError:
        daemon.popen.wait(10)
        return

    def read_late():
        cluster.wait_until(
            lambda: any(
                'b1' in context.mesh.executed_request_ids(name)
                for name in context.host_names
            ),
            'a server runs the request',
        )
        while late_reader.recv(1 << 20):
            pass

    thread = threading.Thread(target=read_late if late_reader else int)
    thread.start()
    context.status = read_status(connection)
    thread.join()
    daemon.popen.wait(10)


@then('the request with that body gets its response or a refusal before it ran')
def check_upload(context):
    ran = any(
        'b1' in context.mesh.executed_request_ids(name)
        for name in context.host_names
    )
    assert context.status == 200 or (context.status == 503 and not ran), (
        context.status,
        ran,
    )


@when(
    'the first daemon is stopped while a connection has {count:d} pipelined requests'
)
def stop_daemon_under_pipelined_requests(context, count):
    prepare_slow_route(context, 3000)
    context.mesh.set_server('h1', work_ms=500)
    connection = connect_to_first_daemon(context)
    connection.sendall(
        b''.join(encode_request(f'c{n}', 3000) for n in range(count))
    )
    time.sleep(0.2)
    context.mesh.daemon_by_name['h1'].signal(signal.SIGTERM)
    data = b''
    while piece := connection.recv(65536):
        data += piece
    context.answers = data.count(b'HTTP/1.1 ')


@then('all {count:d} of them get an answer')
def check_all_pipelined_answered(context, count):
    assert context.answers == count, context.answers


@when(
    'the first daemon has a grace period of {grace_s:d} seconds and is stopped beside a request of {seconds:g} seconds'
)
def stop_daemon_with_short_grace(context, grace_s, seconds):
    mesh = context.mesh
    prepare_slow_route(context, 3000)
    mesh.set_server('h1', work_ms=seconds * 1000)
    daemon = mesh.daemon_by_name['h1']
    mesh.write_settings('h1', 'a', daemon.addresses, drain_timeout_s=grace_s)
    daemon.signal(signal.SIGHUP)
    cluster.wait_until(
        lambda: 'event=settings_reloaded changed=True' in mesh.read_log('h1'),
        'the grace period is in force',
    )
    connection = connect_to_first_daemon(context)
    daemon.signal(signal.SIGTERM)
    connection.sendall(encode_request('d1', 3000))
    context.status = read_status(connection)


@then('that request gets its response')
@then('that call is served')
def check_status_is_success(context):
    assert context.status == 200, context.status


@when(
    'the server calls another service {seconds:g} seconds after SIGTERM for a running request'
)
def call_for_running_request(context, seconds):
    mesh = context.mesh
    prepare_slow_route(context, 5000)
    mesh.set_server('h1', work_ms=4500)
    stopped_at = time.monotonic()
    mesh.daemon_by_name['h1'].signal(signal.SIGTERM)
    parent = connect_to_first_daemon(context)
    parent.sendall(encode_request('e1', 5000))
    time.sleep(0.3)
    mesh.set_server('h1', work_ms=5)
    sleep_until(stopped_at + seconds)
    context.status = mesh.call(
        'h1', '/slow/x', **{'X-Request-Id': 'e1.1', 'X-Deadline-Ms': '2000'}
    )[0]


@when('the first daemon is restarted and gets SIGHUP while it imports modules')
def reload_while_starting(context):
    context.mesh.daemon_by_name['h1'].kill()
    context.mesh.start_mesh_daemon('h1', 'a')
    daemon = context.mesh.daemon_by_name['h1']
    maps = pathlib.Path(f'/proc/{daemon.popen.pid}/maps')
    give_up_at = time.monotonic() + 10
    while 'httptools' not in maps.read_text():
        assert time.monotonic() < give_up_at, 'no module was imported'
        time.sleep(0.002)
    daemon.signal(signal.SIGHUP)


@then('the daemon serves and has not ended')
def check_daemon_runs(context):
    daemon = context.mesh.daemon_by_name['h1']
    cluster.wait_until(
        lambda: (
            daemon.popen.poll() is not None or context.mesh.is_serving('h1')
        ),
        'the daemon serves or has ended',
    )
    assert daemon.popen.poll() is None, daemon.popen.poll()


@when(
    'an object with an unknown name is created and deleted beside a request of {seconds:g} seconds'
)
def change_unknown_object(context, seconds):
    mesh = context.mesh
    prepare_slow_route(context, 5000)
    mesh.set_server('h1', work_ms=seconds * 1000)
    connection = connect_to_first_daemon(context)
    connection.sendall(encode_request('f1', 5000))
    body = {'Metadata': {'Name': 'foreign.x'}, 'Spec': {}}
    assert mesh.call_store('POST', 'mesh', body)
    time.sleep(0.7)
    assert mesh.call_store('DELETE', 'mesh/foreign.x')
    context.status = read_status(connection)


@when('the servers run requests and send no responses')
def silence_servers(context):
    for name in context.host_names:
        context.mesh.set_server(name, silent=True)


@then('a non-idempotent request runs once and gets 504 within 1.25 seconds')
def check_non_idempotent_request(context):
    mesh = context.mesh
    started = time.monotonic()
    status, _, _, request_id = mesh.call('h1', '/order/x', 'POST')
    elapsed_s = time.monotonic() - started
    runs = [r for n in context.host_names for r in mesh.executed_request_ids(n)]
    assert status == 504 and elapsed_s < 1.25, (status, elapsed_s)
    assert runs.count(request_id) == 1


@when('the servers send duplicate responses to earlier requests')
def duplicate_responses(context):
    for name in context.host_names:
        context.mesh.set_server(name, extra=True)


@then(
    '{count:d} requests over reused connections get their own responses or 502'
)
def check_own_responses(context, count):
    succeeded = 0
    for _ in range(count):
        status, body, _, request_id = context.mesh.call('h1', '/shop/x')
        if status == 200:
            assert request_id in body.decode(), body
            succeeded += 1
        else:
            assert status == 502, status
    assert succeeded > count / 2, succeeded


@when('a host starts whose server runs a failing version')
def start_failing_host(context):
    context.mesh.start_host('n1', 'a', 'v2')
    context.new_hosts = ['n1']
    cluster.wait_until(
        lambda: has_ready_members(context.mesh, 'h1', 3),
        'the first daemon has the new server as ready',
    )
    context.mesh.set_server('n1', fail=True)


@when('two hosts start whose servers run a good version')
def start_good_hosts(context):
    context.new_hosts = ['n1', 'n2']
    for name in context.new_hosts:
        context.mesh.start_host(name, 'a', 'v2')
    cluster.wait_until(
        lambda: has_ready_members(context.mesh, 'h1', 4),
        'the first daemon has the new servers as ready',
    )


@when(
    'the operator orders a rollout to that version within {seconds:d} seconds'
)
def order_rollout(context, seconds):
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
        for name in context.host_names:
            mesh.call(name, '/shop/x')
            context.sent += 1
        status = mesh.call_store('GET', 'rollouts/booking')['Status']
        context.state = status['State'] if status else None
        if context.state in ('completed', 'rolled_back'):
            return


@then(
    'the rollout is rolled_back and the version got at most 15% of the requests'
)
def check_rolled_back(context):
    assert context.state == 'rolled_back', context.state
    fraction = len(context.mesh.executed_request_ids('n1')) / context.sent
    assert fraction <= 0.15, fraction


def rollout_log_lines(mesh):
    """Returns the lines that daemons logged about rollouts."""
    return [
        line.partition('event=')[2]
        for name in mesh.daemon_by_name
        for line in mesh.read_log(name).splitlines()
        if 'event=rollout_' in line
    ]


def request_log_lines(mesh, ids):
    """Returns the lines that daemons logged about requests and shares."""
    return [
        line
        for name in mesh.daemon_by_name
        for line in mesh.read_log(name).splitlines()
        if any(f'request={each} ' in line for each in ids)
        or 'event=share_updated' in line
    ]


@then('the rollout is completed and only the new version gets requests')
def check_completed(context):
    assert context.state == 'completed', rollout_log_lines(context.mesh)
    before = {
        *context.mesh.executed_request_ids('h1'),
        *context.mesh.executed_request_ids('h2'),
    }
    check_requests_succeed(context, 10)
    runs_at_old_version = {
        *context.mesh.executed_request_ids('h1'),
        *context.mesh.executed_request_ids('h2'),
    } - before
    assert not runs_at_old_version, (
        runs_at_old_version,
        request_log_lines(context.mesh, runs_at_old_version),
    )


def first_daemon(context):
    return context.mesh.daemon_by_name['h1']


@when("the retry ratio in the daemon's settings changes")
def change_retry_ratio(context):
    context.mesh.write_settings(
        'h1', 'a', first_daemon(context).addresses, retry_ratio=0.3
    )


@then('the daemon reloads its settings without a signal')
def check_settings_reloaded(context):
    cluster.wait_until(
        lambda: (
            'settings_reloaded changed=True signalled=False'
            in context.mesh.read_log('h1')
        ),
        'the settings are reloaded',
    )


@when("the daemon's settings file is replaced by bytes that are not JSON")
def corrupt_settings(context):
    (context.mesh.directory / 'h1.json').write_bytes(b'\xff{')


@when('the daemon gets SIGHUP')
def signal_reload(context):
    first_daemon(context).signal(signal.SIGHUP)


@then('the refusal of the settings is logged and requests succeed')
def check_settings_refused(context):
    cluster.wait_until(
        lambda: 'event=settings_refused' in context.mesh.read_log('h1'),
        'the settings are refused',
    )
    check_requests_succeed(context, 3)


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
    context.response = mesh_cluster.send_request(
        first_daemon(context).addresses['control'],
        'POST',
        '/v1/announcements',
        json.dumps({**body, **changes[fault]}).encode(),
    )


@then('the announcement is refused with a message that names {field}')
def check_announcement_refused(context, field):
    status, body, _ = context.response
    assert status == 400 and field in body.decode(), context.response
