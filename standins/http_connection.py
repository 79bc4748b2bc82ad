"""The server side of one HTTP connection, shared by the stand-ins."""

import asyncio

from hemlockgrade import exceptions
from hemlockgrade import http_codec


class HttpConnection(asyncio.Protocol):
    """Reads requests and handles them one after the other."""

    def __init__(self):
        self.parser = http_codec.RequestParser()
        self.requests = asyncio.Queue()

    def connection_made(self, transport):
        """Starts to serve."""
        self.transport = transport
        self.task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, exc):
        """Drops what is being handled."""
        self.task.cancel()

    def data_received(self, data):
        """Queues requests."""
        for request in self.parser.feed(data):
            self.requests.put_nowait(request)

    async def handle(self, request):
        """Handles a request; to be overridden."""
        raise NotImplementedError

    def send(self, status, body, headers=()):
        """Writes an answer and returns its bytes."""
        lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}']
        lines += [f'{name}: {value}' for name, value in headers]
        data = '\r\n'.join([*lines, '', '']).encode() + body
        self.transport.write(data)
        return data

    async def _serve(self):
        while True:
            request = await self.requests.get()
            if isinstance(request, exceptions.MalformedRequestError):
                self.transport.abort()
                return
            await self.handle(request)
