"""Steps for the time left that daemons state to each other and to servers."""

import asyncio
import time

import attrs
from behave import then
from behave import when

from hemlockgrade import http_codec
from hemlockgrade.platform import codec as platform_codec
from standins import loopback

CALLER_TIMEOUT_S = 1.0
# Longest time by which a server may be told more than the caller waits.
MAX_EXCESS_S = 0.1


@attrs.define
class SlowReactor:
    """Opens connections after a delay.

    Attributes:
        reactor: The reactor that opens them.
        delay_s: The delay, in seconds.
    """

    reactor: object
    delay_s: float

    def connectTCP(self, *arguments):  # noqa: N802
        """Opens a connection later."""
        asyncio.get_running_loop().call_later(
            self.delay_s, lambda: self.reactor.connectTCP(*arguments)
        )


async def record_time_left(context, delay_s, name):
    """Records by how much the stated time exceeds what the caller waits."""
    arrivals = []

    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        arrivals.append((time.monotonic(), head))
        writer.write(b'HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n')

    listener = await asyncio.start_server(serve, '127.0.0.1')
    port = listener.sockets[0].getsockname()[1]
    async with loopback.LoopbackSystem() as system, listener:
        host = system.hosts[0]
        host.registrar.server = attrs.evolve(
            host.registrar.server, address=f'127.0.0.1:{port}'
        )
        pool = {'daemon': system.pool, 'server': host.pool}[name]
        pool.reactor = SlowReactor(pool.reactor, delay_s)
        deadline = time.monotonic() + CALLER_TIMEOUT_S
        left_ms = int(CALLER_TIMEOUT_S * 1000)
        context.response = await system.send_request(
            'GET', '/x', headers=f'x-deadline-ms: {left_ms}\r\n'
        )
    [(arrived_at, head)] = arrivals
    headers = [
        tuple(line.lower().split(b': ', 1))
        for line in head.split(b'\r\n')[1:]
        if line
    ]
    stated_ms = http_codec.header(headers, platform_codec.TIME_LEFT_MS_HEADER)
    context.excess_s = arrived_at + int(stated_ms) / 1000 - deadline


@when('opening the connection to the {name} takes {delay_s:g} s')
def open_slowly(context, name, delay_s):
    loopback.run(record_time_left(context, delay_s, name))


@then('the server is not told more time than the caller waits')
def check_time_left(context):
    assert context.response.status == 200, context.response
    assert context.excess_s < MAX_EXCESS_S, context.excess_s
