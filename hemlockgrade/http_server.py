"""HTTP/1.1 server protocol that hands each request to a coroutine."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger
from twisted.internet import interfaces
from twisted.internet import protocol
import zope.interface

from hemlockgrade import exceptions
from hemlockgrade import http_codec

Handler = Callable[[http_codec.Request], Awaitable[http_codec.Response]]

# A caller that sends half a request holds a connection no longer than this.
REQUEST_READ_TIMEOUT_S = 10.0


@zope.interface.implementer(interfaces.IHalfCloseableProtocol)
class HttpServerProtocol(protocol.Protocol):
    """One inbound connection; answers its requests in their order."""

    def __init__(self, handler: Handler, connections: set):
        self._handler = handler
        self._connections = connections
        self._parser = http_codec.RequestParser()
        self._pending: collections.deque = collections.deque()
        self._task: asyncio.Task | None = None
        self._read_timer: asyncio.TimerHandle | None = None
        self._closing = False

    @property
    def busy(self) -> bool:
        """Tells whether a request on this connection awaits its answer."""
        return self._task is not None

    def connectionMade(self):  # noqa: N802
        """Registers the connection."""
        self._connections.add(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes):  # noqa: N802
        """Parses requests; a malformed one is answered and ends the link."""
        if self._closing:
            return
        try:
            self._pending.extend(self._parser.feed(data))
        except exceptions.MalformedRequestError as error:
            logger.info('event=request_malformed problem={!r}', str(error))
            self._pending.append(error)
            self._closing = True
        self._watch_half_sent()
        self._start_next()

    def readConnectionLost(self):  # noqa: N802
        """Treats the peer's half-close as the end of its requests."""
        self._closing = True
        if not self.busy:
            self.transport.loseConnection()

    def writeConnectionLost(self):  # noqa: N802
        """Does nothing; the peer's reset ends the connection."""

    def connectionLost(self, reason):  # noqa: N802
        """Cancels the running request, whose caller has gone."""
        self._connections.discard(self)
        self._stop_read_timer()
        self._pending.clear()
        if self._task is not None:
            self._task.cancel()

    def drain(self):
        """Closes the connection once its running request is answered."""
        self._closing = True
        if not self.busy and not self._pending:
            self.transport.loseConnection()

    def _watch_half_sent(self):
        if not self._parser.in_message:
            self._stop_read_timer()
        elif self._read_timer is None:
            loop = asyncio.get_running_loop()
            self._read_timer = loop.call_later(
                REQUEST_READ_TIMEOUT_S, self._give_up_reading
            )

    def _stop_read_timer(self):
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def _give_up_reading(self):
        self._read_timer = None
        self._pending.append(
            exceptions.MalformedRequestError(
                'request was not sent in time', status=408
            )
        )
        self._closing = True
        self._start_next()

    def _start_next(self):
        if self._task is not None or not self._pending:
            return
        item = self._pending.popleft()
        if isinstance(item, exceptions.MalformedRequestError):
            self._write(_error_response(item), close=True)
            return
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._answer(item))

    async def _answer(self, request: http_codec.Request):
        try:
            response = await self._handler(request)
        except Exception:
            logger.exception('event=request_handler_failed')
            response = http_codec.Response(
                status=500, headers=[(b'x-hemlock-outcome', b'unknown')]
            )
        finally:
            self._task = None
        last = self._closing and not self._pending
        self._write(response, close=last or not request.keep_alive)
        self._start_next()

    def _write(self, response: http_codec.Response, *, close: bool):
        if not self.connected:
            return
        self.transport.write(http_codec.encode_response(response, close=close))
        if close:
            self._pending.clear()
            self.transport.loseConnection()


class HttpServerFactory(protocol.Factory):
    """Makes a server protocol for each connection and knows the open ones."""

    noisy = False

    def __init__(self, handler: Handler):
        self.handler = handler
        self.connections: set[HttpServerProtocol] = set()

    def buildProtocol(self, addr):  # noqa: N802
        """Makes the protocol of a new connection."""
        return HttpServerProtocol(self.handler, self.connections)

    def drain(self):
        """Closes idle connections now and busy ones after their answer."""
        for connection in list(self.connections):
            connection.drain()


def _error_response(
    error: exceptions.MalformedRequestError,
) -> http_codec.Response:
    return http_codec.Response(
        status=error.status,
        headers=[
            (b'content-type', b'text/plain; charset=utf-8'),
            (b'x-hemlock-outcome', b'not-run'),
        ],
        body=str(error).encode(),
    )
