"""Server side of an HTTP connection, for the stand-ins."""

import asyncio

from hemlockgrade import exceptions
from hemlockgrade import http_codec

# Largest body of a request that the stand-ins read, in bytes.
MAX_BODY_BYTES = 64 * 1024 * 1024


class HttpConnection(asyncio.Protocol):
    """Reads requests from a connection and handles them in sequence."""

    def __init__(self):
        self.parser = http_codec.RequestParser(max_body_bytes=MAX_BODY_BYTES)
        self.requests = asyncio.Queue()

    def connection_made(self, transport):
        """Starts the task that handles requests."""
        self.transport = transport
        self.task = asyncio.get_running_loop().create_task(
            self._handle_requests()
        )

    def connection_lost(self, exc):
        """Cancels the handling of the current request."""
        self.task.cancel()

    def data_received(self, data):
        """Parses received bytes and queues complete requests."""
        for request in self.parser.feed(data):
            self.requests.put_nowait(request)

    async def handle(self, request):
        """Handles one request; subclasses override this method."""
        raise NotImplementedError

    def send(self, status, body, headers=()):
        """Writes a response and returns its bytes.

        Args:
            status: HTTP status.
            body: Body of the response.
            headers: Names and values of additional headers.
        """
        lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}']
        lines += [f'{name}: {value}' for name, value in headers]
        data = '\r\n'.join([*lines, '', '']).encode() + body
        self.transport.write(data)
        return data

    async def _handle_requests(self):
        while True:
            request = await self.requests.get()
            if isinstance(request, exceptions.MalformedRequestError):
                self.transport.abort()
                return
            await self.handle(request)
