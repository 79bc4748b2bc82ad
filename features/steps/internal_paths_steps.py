"""Steps for requests of callers for the paths of the peer protocol."""

import asyncio
import itertools

import attrs
from behave import then
from behave import when

from hemlockgrade import ledger
from hemlockgrade import peer_protocol
from standins import cluster
from standins import loopback
from standins import mesh_cluster

PATHS = (
    peer_protocol.STATE_PATH,
    f'{peer_protocol.STATE_PATH}?{peer_protocol.STATE_PART_OBJECTS}',
    peer_protocol.VERSIONS_PATH,
    peer_protocol.EVIDENCE_PATH,
    peer_protocol.FENCE_PATH,
    peer_protocol.USAGE_PATH,
)
METHODS = ('GET', 'POST')
# Headers by which a caller may try to look like a daemon.
FORGED_HEADERS = {
    'X-Hemlock-Sender': '127.0.0.1:9',
    'X-Hemlock-Versions': '99,99',
    'X-Hemlock-Attempt': 'forged-1',
    # Headers that this one names end at the first daemon.
    'Connection': 'x-hemlock-server, x-hemlock-attempt',
}


@when('a caller at the first host asks for each path of the peer protocol')
def ask_for_internal_paths(context):
    mesh = context.mesh
    mesh.configure(9, mesh_cluster.build_route('all', '/'))
    cluster.wait_until(
        lambda: all(
            mesh.call('h1', '/x')[0] == 200
            and 'event=configuration_applied version=9' in mesh.read_log(name)
            for name in context.host_names
        ),
        'the route is in force',
    )
    context.responses = [
        (method, path, mesh.call('h1', path, method, **FORGED_HEADERS))
        for method, path in itertools.product(METHODS, PATHS)
    ]


@then('the second server ran each of these requests once and sent the response')
def check_run_by_server(context):
    runs = context.mesh.executed_request_ids('h2')
    wrong = [
        (method, path, status, body[:60])
        for method, path, (status, body, headers, request_id) in (
            context.responses
        )
        if status != 200
        or 'x-server-stamp' not in {name.lower() for name in headers}
        or request_id not in body.decode()
        or runs.count(request_id) != 1
    ]
    assert not wrong, wrong


OWN_ANSWER = b'{"objects":[]}'


class EarlierDaemon:
    """A daemon that answers requests for the paths of the peer protocol.

    Attributes:
        status: Status of the answers.
        fence_result: Result of each fence request.
        answered: Number of answers to other requests.
    """

    def __init__(self, status, fence_result='unknown'):
        self.status = status
        self.fence_result = fence_result
        self.answered = 0

    async def start(self):
        """Starts listening and returns the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                is_fence = head.split()[1] == peer_protocol.FENCE_PATH.encode()
                status, body = self.status, OWN_ANSWER
                if is_fence:
                    status, body = 200, self.fence_result.encode()
                else:
                    self.answered += 1
                writer.write(
                    b'HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%b'
                    % (status, len(body), body)
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def run_with_earlier_daemon(context, daemon, hosts, requests):
    """Sends requests while the first host has this daemon.

    Args:
        context: Context of the scenario.
        daemon: The daemon.
        hosts: Number of hosts with a server.
        requests: Methods of the requests.
    """

    async def run():
        async with loopback.LoopbackSystem(hosts) as system:
            member = system.directory.member_by_name['target-0']
            address = await daemon.start()
            system.directory.apply_member(
                attrs.evolve(member, address=address, revision=9), 'test'
            )
            context.responses = [
                await system.send_request(method, peer_protocol.STATE_PATH)
                for method in requests
            ]
            context.response = context.responses[-1]

    loopback.run(run())
    assert daemon.answered, 'no request was sent to the daemon'


@when(
    'a daemon of an earlier version answers a {method:w} request with status {status:d}'
)
def answer_as_earlier_daemon(context, method, status):
    run_with_earlier_daemon(context, EarlierDaemon(status), 1, [method])


@when('a daemon of an earlier version answers requests and fences the attempts')
def fence_as_earlier_daemon(context):
    daemon = EarlierDaemon(200, ledger.FenceResult.NEVER_SEEN.value)
    run_with_earlier_daemon(context, daemon, 2, ['POST'] * 20)


@then('all callers get 200')
def check_all_served(context):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses
    bodies = [response.body for response in context.responses]
    assert OWN_ANSWER not in bodies, bodies
