"""Steps for responses that consist of many small chunks."""

import asyncio
import contextlib
import time

import attrs
from behave import then
from behave import when

from hemlockgrade import http_codec
from hemlockgrade import upstream
from standins import loopback

CHUNK_BYTES = 2
# Chunks that a response may have beyond the rate: the burst, and the last read
# (64 KiB) before each pause.
MAX_EXTRA_CHUNKS = upstream.BURST_BODY_PARTS + 10_000


@then('the daemon has read at most {rate:d} chunks a second')
def check_chunk_rate(context, rate):
    answer = context.answer
    chunks = answer.body_bytes // CHUNK_BYTES
    # The daemon reads the start of the response before it answers.
    limit = rate * answer.took_s + MAX_EXTRA_CHUNKS
    assert MAX_EXTRA_CHUNKS // 2 < chunks < limit, (chunks, limit)


async def serve_chunks(body, reader, writer):
    """Answers each request of a connection with a body in small chunks."""
    chunks = b''.join(
        b'%x\r\n%b\r\n' % (CHUNK_BYTES, body[i : i + CHUNK_BYTES])
        for i in range(0, len(body), CHUNK_BYTES)
    )
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                b'HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n'
                + chunks
                + b'0\r\n\r\n'
            )
            await writer.drain()


async def record_chunked_responses(context, chunks):
    """Sends two requests whose responses consist of small chunks."""
    context.expected_body = b''.join(
        b'%0*x' % (CHUNK_BYTES, number % 256) for number in range(chunks)
    )
    listener = await asyncio.start_server(
        lambda *streams: serve_chunks(context.expected_body, *streams),
        '127.0.0.1',
    )
    port = listener.sockets[0].getsockname()[1]
    async with loopback.LoopbackSystem() as system, listener:
        host = system.hosts[0]
        host.registrar.server = attrs.evolve(
            host.registrar.server, address=f'127.0.0.1:{port}'
        )
        started = time.monotonic()
        context.responses = [
            await system.send_request('GET', '/chunks') for _ in range(2)
        ]
        context.took_s = time.monotonic() - started


@when('a server sends two responses of {chunks:d} chunks on a connection')
def send_chunked_responses(context, chunks):
    loopback.run(record_chunked_responses(context, chunks))


@then('the caller gets all bytes of both')
def check_chunked_responses(context):
    for response in context.responses:
        assert response is not None and response.status == 200, response
        assert response.body == context.expected_body


@then('reading them took as long as the rate of chunks demands')
def check_reading_time(context):
    chunks = 2 * len(context.expected_body) // CHUNK_BYTES
    shortest_s = (chunks - MAX_EXTRA_CHUNKS) / upstream.BODY_PARTS_PER_S
    assert context.took_s > shortest_s, (context.took_s, shortest_s)


@attrs.define
class CountingSink:
    """Counts the bytes of a body."""

    body_bytes: int = 0

    def body_received(self, data):
        """Counts a piece of the body."""
        self.body_bytes += len(data)

    def body_ended(self, complete):
        """Ignores the end of the body."""


async def record_paused_body(context):
    """Pauses a body of small chunks while its reading waits for the rate."""
    body = bytes(10 * CHUNK_BYTES * upstream.BURST_BODY_PARTS)
    listener = await asyncio.start_server(
        lambda *streams: serve_chunks(body, *streams), '127.0.0.1'
    )
    port = listener.sockets[0].getsockname()[1]
    async with loopback.LoopbackSystem() as system, listener:
        response = await system.pool.send(
            f'127.0.0.1:{port}',
            http_codec.Request(method='GET', target='/chunks'),
            time.monotonic() + 10,
        )
        sink = CountingSink()
        response.stream.attach(sink)
        while sink.body_bytes < CHUNK_BYTES * upstream.BURST_BODY_PARTS:
            await asyncio.sleep(0.001)
        response.stream.pause()
        context.bytes_at_pause = sink.body_bytes
        await asyncio.sleep(0.3)
        context.bytes_after_pause = sink.body_bytes
        response.stream.resume()
        await asyncio.sleep(0.3)
        context.bytes_after_resume = sink.body_bytes
        response.stream.abort()


@when('the reader of a body of small chunks stops reading for 0.3 s')
def pause_body(context):
    loopback.run(record_paused_body(context))


@then('it gets nothing in that time, and more after it')
def check_paused_body(context):
    assert context.bytes_after_pause == context.bytes_at_pause
    assert context.bytes_after_resume > context.bytes_after_pause
