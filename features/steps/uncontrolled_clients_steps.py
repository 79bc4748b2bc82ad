"""Steps for clients that send legal requests in harmful ways."""

import selectors
import socket
import time

import attrs
from behave import given
from behave import then
from behave import when
import psutil

from hemlockgrade import intake
from hemlockgrade.config import daemon as daemon_settings
from standins import cluster
from standins import mesh_cluster

HEADER_BYTES = 16 * 1024
BODY_BYTES = 4 * 1024 * 1024
MEMORY_MB = 200
# The requests must not end by their time limit.
LIMITS = {
    'EntryType': 'Limits',
    'Metadata': {},
    'Spec': {
        'MaxHeaderBytes': HEADER_BYTES,
        'MaxBodyBytes': BODY_BYTES,
        'HeaderTimeoutMs': 120_000,
        'IdleTimeoutMs': 120_000,
    },
}
# Bytes that a client writes at a time, and the time after which the daemon has
# stopped to read, in seconds.
PIECE_BYTES = 64 * 1024
QUIET_S = 2.0


@given('a host whose machine has 200 MB, and a crowd of clients')
def start_host(context):
    mesh = context.mesh = mesh_cluster.create_temporary(context.add_cleanup)
    mesh.start_store()
    mesh.configure(
        5,
        mesh_cluster.build_route('shop', '/shop/', timeout_ms=20_000),
        mesh_cluster.build_route(
            'order', '/order/', 'non_idempotent', timeout_ms=20_000
        ),
        LIMITS,
    )
    names = {
        field.name for field in attrs.fields(daemon_settings.DaemonSettings)
    }
    settings = {'memory_mb': MEMORY_MB} if 'memory_mb' in names else {}
    mesh.start_host('h1', 'a', **settings)
    cluster.wait_until(lambda: mesh.is_serving('h1'), 'the host serves')


def head(side, *lines):
    """Returns a request line with the headers that each side needs."""
    common = [
        'POST /order/x HTTP/1.1',
        f'Host: {mesh_cluster.HOST_NAME}',
        'X-Deadline-Ms: 15000',
    ]
    if side == "peers' side":
        common += [
            'X-Hemlock-Server: i-h1',
            'X-Hemlock-Attempt: h2.boot-1',
            'X-Hemlock-Route: order',
        ]
    return '\r\n'.join([*common, *lines, '']).encode()


def many_lines(side, line):
    start = head(side)
    count = (HEADER_BYTES - 1024 - len(start)) // (len(line) + 2)
    return start + (line + b'\r\n') * count


def build_bytes(side, shape):
    """Returns what one client sends."""
    chunked = b'Transfer-Encoding: chunked\r\n\r\n'
    sized = b'Content-Length: %d\r\n\r\n' % BODY_BYTES
    if 'short lines' in shape:
        return many_lines(side, b'a:')
    if 'odd lines' in shape:
        return many_lines(side, b'~:\t')
    if 'chunks of 4 bytes' in shape:
        return head(side) + chunked + b'4\r\nxxxx\r\n' * (64 * 1024)
    body = b'x' * (BODY_BYTES - 1)
    if 'chunked' in shape:
        return head(side) + chunked + b'%x\r\n%b' % (BODY_BYTES, body)
    if 'at once' in shape:
        body += b'x'
    return head(side) + sized + body


class Crowd:
    """Clients that write what they have to say, and stay open.

    Attributes:
        peak_bytes: Largest resident memory of the daemon.
        peak_descriptors: Largest number of its open descriptors.
    """

    def __init__(self, process):
        self.process = psutil.Process(process.popen.pid)
        self.peak_bytes = self.peak_descriptors = 0
        self._selector = selectors.DefaultSelector()
        self._sockets = []

    def send(self, address, count, data):
        """Sends the same bytes on many connections, piece by piece."""
        host, port = address.split(':')
        for _ in range(count):
            connection = socket.create_connection((host, int(port)))
            connection.setblocking(False)
            self._sockets.append(connection)
            self._selector.register(
                connection, selectors.EVENT_WRITE, [memoryview(data)]
            )
        while self._selector.get_map():
            ready = self._selector.select(QUIET_S)
            self.sample()
            if not ready:
                break
            for key, _ in ready:
                self._write(key)
        ends_at = time.monotonic() + QUIET_S
        while time.monotonic() < ends_at:
            self.sample()
            time.sleep(0.05)

    def _write(self, key):
        [rest] = key.data
        try:
            sent = key.fileobj.send(rest[:PIECE_BYTES])
        except BlockingIOError:
            return
        except OSError:
            # The daemon has closed the connection.
            self._selector.unregister(key.fileobj)
            return
        key.data[0] = rest[sent:]
        if not key.data[0]:
            self._selector.unregister(key.fileobj)

    def sample(self):
        self.peak_bytes = max(self.peak_bytes, self.process.memory_info().rss)
        self.peak_descriptors = max(
            self.peak_descriptors, self.process.num_fds()
        )

    def close(self):
        for connection in self._sockets:
            connection.close()
        self._selector.close()


@when('the crowd sends {count:d} {shape} to its {side}')
def send_crowd(context, count, shape, side):
    daemon = context.mesh.daemon_by_name['h1']
    context.mesh.set_server('h1', work_ms=500)
    context.crowd = Crowd(daemon)
    context.add_cleanup(context.crowd.close)
    address = daemon.addresses['peer' if 'peers' in side else 'caller']
    context.crowd.send(address, count, build_bytes(side, shape))


@then(
    'the daemon lives with at most {megabytes:d} MB and {count:d} descriptors'
)
def check_daemon(context, megabytes, count):
    daemon = context.mesh.daemon_by_name['h1']
    assert daemon.popen.poll() is None, 'the daemon has ended'
    peak_mb = context.crowd.peak_bytes / 2**20
    print(f'peak {peak_mb:.0f} MB, {context.crowd.peak_descriptors} fds')
    assert peak_mb <= megabytes, f'{peak_mb:.0f} MB'
    assert context.crowd.peak_descriptors <= count


@then('an ordinary request is answered')
def check_ordinary(context):
    cluster.wait_until(
        lambda: context.mesh.is_serving('h1'), 'an ordinary request is served'
    )


@when('one client sends a body of 4 MB in pieces')
def send_largest(context):
    daemon = context.mesh.daemon_by_name['h1']
    status, _, _ = mesh_cluster.send_request(
        daemon.addresses['caller'],
        'POST',
        '/order/x',
        b'x' * BODY_BYTES,
        {
            'Host': mesh_cluster.HOST_NAME,
            'X-Request-Id': 'largest',
            'X-Deadline-Ms': '15000',
        },
        timeout_s=20.0,
    )
    context.status = status


@then('it is answered with 200')
def check_served(context):
    assert context.status == 200, context.status


@attrs.define(eq=False)
class FakeConnection:
    """A connection of an intake in virtual time."""

    received_at: float
    held_bytes: int = 0
    is_incomplete: bool = False
    is_idle: bool = True
    ended_by: str = ''
    update: object = None

    def refuse_incomplete(self):
        self.ended_by, self.is_incomplete = 'refused', False
        self.update(self, 0)

    def close_if_idle(self):
        self.ended_by = 'closed'


@given('an intake of {size:d} bytes and {count:d} connections')
def build_intake(context, size, count):
    context.intake = intake.Intake(max_bytes=size, max_connections=count)
    context.update = lambda connection, held: context.intake.update(
        connection, held, 10.0
    )
    context.connections = [
        FakeConnection(received_at=number, update=context.update)
        for number in range(count)
    ]
    for connection in context.connections:
        assert context.intake.add(connection, 10.0)


@when(
    'one with {first:d} bytes stopped, one with {second:d} bytes moves and one with {third:d} bytes is being answered'
)
def hold_bytes(context, first, second, third):
    stopped, moving, answered = context.connections
    for connection in context.connections:
        connection.is_idle = False
    stopped.is_incomplete = moving.is_incomplete = True
    moving.received_at = 10.0
    context.update(stopped, first)
    context.update(moving, second)
    context.update(answered, third)


@when('the moving one receives {count:d} bytes more')
def receive_more(context, count):
    moving = context.connections[1]
    context.update(moving, moving.held_bytes + count)


@then('the one that stopped is refused, and nothing else')
def check_stopped_refused(context):
    ended = [connection.ended_by for connection in context.connections]
    assert ended == ['refused', '', ''], ended


@when('the one that is being answered needs {count:d} bytes')
def hold_more(context, count):
    context.update(context.connections[2], count)


@then(
    'the moving one is refused too, and the one that is being answered is not'
)
def check_moving_refused(context):
    ended = [connection.ended_by for connection in context.connections]
    assert ended == ['refused', 'refused', ''], ended
    assert context.intake.held_bytes == context.connections[2].held_bytes


@when('a fourth one connects')
def connect_fourth(context):
    context.fourth = FakeConnection(received_at=10.0, update=context.update)
    assert context.intake.add(context.fourth, 10.0)


@then('the one that has been idle for longest is closed')
def check_oldest_closed(context):
    ended = [connection.ended_by for connection in context.connections]
    assert ended == ['closed', '', ''], ended
    context.intake.remove(context.connections[0])


@when('all of them are being answered and a fifth one connects')
def connect_fifth(context):
    for connection in (*context.connections, context.fourth):
        connection.is_idle = False
    context.has_room = context.intake.add(
        FakeConnection(received_at=11.0, update=context.update), 11.0
    )


@then('there is no room for it')
def check_no_room(context):
    assert not context.has_room
