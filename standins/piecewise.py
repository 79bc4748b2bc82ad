"""A server that sends each response in pieces, for tests."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from standins import cluster
from standins import http_connection

PIECE_BYTES = 40


class _Connection(http_connection.HttpConnection):
    """Sends a JSON body, which spaces fill up, in pieces."""

    def __init__(self, body: bytes, pieces: int, pause_s: float):
        super().__init__()
        self._body = body.ljust(pieces * PIECE_BYTES)
        self._pause_s = pause_s

    async def handle(self, request):
        """Sends the response."""
        size = len(self._body)
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
        self.transport.write(head + self._body[:PIECE_BYTES])
        for start in range(PIECE_BYTES, size, PIECE_BYTES):
            await asyncio.sleep(self._pause_s)
            self.transport.write(self._body[start : start + PIECE_BYTES])


@contextlib.asynccontextmanager
async def serve(body: bytes, pieces: int, pause_s: float) -> AsyncIterator[str]:
    """Runs the server.

    Args:
        body: JSON body of each response, not longer than all pieces.
        pieces: Number of pieces of 40 bytes.
        pause_s: Pause before each further piece, in seconds.

    Yields:
        Address of the server.
    """
    address = cluster.free_address()
    host, _, port = address.partition(':')
    server = await asyncio.get_running_loop().create_server(
        lambda: _Connection(body, pieces, pause_s), host, int(port)
    )
    try:
        yield address
    finally:
        server.close()
