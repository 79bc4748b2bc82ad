"""Steps for responses with a status that does not exist."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile

import attrs
from behave import then
from behave import when

from standins import loopback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SMALL_BYTES = 10
LARGE_BYTES = 200_000


class RawTarget:
    """A server that answers its first request with fixed bytes.

    Attributes:
        target_id: Identifier of the server.
        response: The bytes of the first response.
        log: Requests that the server got.
    """

    def __init__(self, response):
        self.target_id = 'target-0'
        self.response = response
        self.log = []

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.log.append({'path': head.split()[1].decode()})
                is_first = len(self.log) == 1
                writer.write(
                    self.response if is_first else encode(200, 'small')
                )
                await writer.drain()
                if is_first and b'length' not in self.response.lower():
                    # A body without a length ends with the connection.
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def encode(status, body):
    """Returns the bytes of a response."""
    size = 0 if body == 'empty' else SMALL_BYTES
    if 'large' in body:
        size = LARGE_BYTES
    head = f'HTTP/1.1 {status} X\r\n'.encode()
    data = b'x' * size
    if 'chunked' in body:
        chunk = b'%x\r\n%b\r\n' % (len(data), data)
        return (
            head + b'transfer-encoding: chunked\r\n\r\n' + chunk + b'0\r\n\r\n'
        )
    if body == 'close':
        return head + b'connection: close\r\n\r\n' + data
    return head + b'content-length: %d\r\n\r\n' % size + data


def run_with_response(context, response, *, of_daemon=False):
    """Sends two requests, of which the first gets these bytes.

    Args:
        context: Context of the scenario.
        response: The bytes.
        of_daemon: True if the daemon beside the server sends them, and not the
            server.
    """

    async def run():
        system = loopback.LoopbackSystem(1)
        target = RawTarget(response)
        system.targets = [target]
        async with system:
            if of_daemon:
                member = system.directory.member_by_name['target-0']
                system.directory.apply_member(
                    attrs.evolve(member, address=target.address, revision=9),
                    'test',
                )
            context.response = await system.send_request('POST', '/a')
            context.second = await system.send_request('POST', '/b')

    loopback.run(run())


@when('a server responds with status {status:w} and a body that is {body}')
def respond(context, status, body):
    run_with_response(context, encode(status, body))


@when('a daemon responds with status {status:w} and a body that is {body}')
def respond_as_daemon(context, status, body):
    run_with_response(context, encode(status, body), of_daemon=True)


@when(
    'a server responds with status {status:w} without a body and then with 200'
)
def respond_twice(context, status):
    run_with_response(context, encode(status, 'empty') + encode(200, 'small'))


@when('a server sends the interim response {status:w} before its response')
def respond_after_interim(context, status):
    interim = f'HTTP/1.1 {status} X\r\n\r\n'.encode()
    run_with_response(context, interim + encode(200, 'small'))


@then('the caller gets 502 with an unknown outcome')
def check_unknown(context):
    assert context.response is not None
    assert context.response.status == 502, context.response.status
    outcomes = [
        value
        for name, value in context.response.headers
        if name == b'x-hemlock-outcome'
    ]
    assert outcomes == [b'unknown'], outcomes


@then('the next request on a new connection gets its own response')
def check_second(context):
    assert context.second is not None
    assert context.second.status == 200, context.second.status
    assert context.second.body == b'x' * SMALL_BYTES


@then('the caller gets {status:d}')
def check_passed_on(context, status):
    assert context.response is not None
    assert context.response.status == status, context.response.status


@when('the administration API responds to a change with status {status:w}')
def change_through_tool(context, status):
    head = f'HTTP/1.1 {status} X\r\nconnection: close\r\n'
    target = RawTarget(f'{head}content-length: 2\r\n\r\n{{}}'.encode())

    async def run(path):
        await target.start()
        settings = {
            'daemon_addresses': [target.address],
            'administration_token': 'x' * 16,
            'timeout_s': 4.0,
        }
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            *[sys.executable, '-m', 'hemlockgrade.ctl', '--settings', path],
            *['labels', 'set', 'a', '--kind', 'proxy', '--members', 'x'],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        await target.stop()
        context.output, context.exit_code = output.decode(), process.returncode

    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(run(pathlib.Path(directory) / 'hemlockctl.json'))
    assert target.log, 'the tool sent no request'


@then('the tool fails and names the daemon')
def check_tool(context):
    assert context.exit_code != 0, context.output
    assert '127.0.0.1' in context.output, context.output
