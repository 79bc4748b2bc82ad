"""Steps for the requests that the administration port accepts."""

import asyncio
import re

from behave import then
from behave import when

from standins import loopback

LINE = b'GET /v1/health HTTP/1.1\r\n'
SOUND = LINE + b'Host: x\r\n\r\n'
CHUNKED = LINE + b'Host: x\r\nTransfer-Encoding: chunked\r\n\r\n'
# Pieces of a request, by its description.
PIECES_BY_NAME = {
    'a sound request': [SOUND],
    'a sound request in two pieces': [SOUND[:6], SOUND[6:]],
    'a sound chunked body': [CHUNKED + b'4\r\nbody\r\n0\r\n\r\n'],
    'a sound chunked body in pieces': [
        CHUNKED,
        b'1',
        b'0\r\n01234567',
        b'89abcdef\r\n0\r\n\r\n',
    ],
    'HTTP/1.0 without a Host': [b'GET /v1/health HTTP/1.0\r\n\r\n'],
    'a folded header': [LINE + b'Host: x\r\nX-A: b\r\n c\r\n\r\n'],
    'a first header that is folded': [LINE + b' Host: x\r\n\r\n'],
    'no Host': [LINE + b'\r\n'],
    'no Host and a chunked body': [
        LINE + b'Transfer-Encoding: chunked\r\n\r\n',
        b'4\r\nbody\r\n0\r\n\r\n',
    ],
    'two Hosts': [LINE + b'Host: x\r\nHost: y\r\n\r\n'],
    'a chunk of 2 to the power of 68 bytes': [
        CHUNKED + b'1%b\r\nbody\r\n' % (b'0' * 17)
    ],
    'binary bytes': [b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03'],
    'binary bytes in two pieces': [b'GET', b'\x80\xff'],
    'binary bytes after a sound request': [SOUND, b'\xfe\xff'],
    'lines that end with LF': [b'GET /v1/health HTTP/1.1\nHost: x\n\n'],
}
# Longest wait for the response and the end of the connection, in seconds.
WAIT_S = 1.0


@when('the administration port receives {name}')
def send_bytes(context, name):
    context.answer, context.closed = loopback.run(exchange(name))


async def exchange(name):
    """Returns the bytes of the answer and whether the connection was closed."""
    # The import needs the reactor that `loopback` has installed.
    from twisted.internet import reactor

    from hemlockgrade import admin

    site = admin.SizeLimitedSite(admin.build_resource(None, 'token'))
    port = reactor.listenTCP(0, site, interface='127.0.0.1')
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', port.getHost().port
    )
    answer = b''
    try:
        for piece in PIECES_BY_NAME[name]:
            writer.write(piece)
            await asyncio.sleep(0.05)
        async with asyncio.timeout(WAIT_S):
            while data := await reader.read(65536):
                answer += data
        return answer, True
    except TimeoutError:
        return answer, False
    finally:
        writer.close()
        port.stopListening()


@then('it answers with status {status:d} and {end} the connection')
def check_answer(context, status, end):
    statuses = re.findall(rb'HTTP/1\.[01] (\d+) ', context.answer)
    assert statuses, (context.answer, context.closed)
    assert int(statuses[-1]) == status, context.answer
    assert context.closed == (end == 'closes'), context.closed
