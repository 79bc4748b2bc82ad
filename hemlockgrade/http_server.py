"""HTTP/1.1 server protocol that hands each request to a coroutine."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import enum

import attrs
from loguru import logger
from twisted.internet import interfaces
from twisted.internet import protocol
import zope.interface

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import sockets

Handler = Callable[[http_codec.Request], Awaitable[http_codec.Response]]

# Requests that one connection may send ahead of their answers.
MAX_PIPELINED_REQUESTS = 16
# A closing connection reads on for this long, in seconds; closed with unread
# bytes, it would be reset and the last answer lost.
LINGER_S = 1.0


class _Phase(enum.Enum):
    """What a connection waits for."""

    BUSY = enum.auto()
    IDLE = enum.auto()
    READING = enum.auto()
    STALLED = enum.auto()
    LINGERING = enum.auto()


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """How long a connection may wait, in seconds, and what it may carry.

    Attributes:
        idle_s: For the next request. Longer than a pool keeps a connection.
        request_read_s: For the rest of a request that has begun.
        write_stall_s: For a peer that does not read its answer.
        header_bytes: Largest header of a request.
        body_bytes: Largest body of a request.
    """

    idle_s: float = 75.0
    request_read_s: float = 10.0
    write_stall_s: float = 30.0
    header_bytes: int = http_codec.MAX_HEADER_BYTES
    body_bytes: int = http_codec.MAX_BODY_BYTES

    def limit_s(self, phase: _Phase) -> float | None:
        """Returns the limit of a phase, or None if it has none."""
        if phase is _Phase.BUSY:
            return None
        if phase is _Phase.IDLE:
            return self.idle_s
        if phase is _Phase.READING:
            return self.request_read_s
        if phase is _Phase.STALLED:
            return self.write_stall_s
        return LINGER_S


@zope.interface.implementer(
    interfaces.IHalfCloseableProtocol, interfaces.IPushProducer
)
class HttpServerProtocol(protocol.Protocol):
    """One inbound connection; answers its requests in their order."""

    def __init__(self, factory: 'HttpServerFactory'):
        self._factory = factory
        self._parser = http_codec.RequestParser(
            factory.limits.header_bytes, factory.limits.body_bytes
        )
        self._pending: collections.deque = collections.deque()
        self._task: asyncio.Task | None = None
        self._stream: http_codec.BodyStream | None = None
        self._framing: http_codec.Framing | None = None
        self._phase = _Phase.BUSY
        self._phase_ends = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._reading = True
        self._write_paused = False
        # No more requests are taken, because of an error or a half-close.
        self._ending = False
        self._closed = False

    @property
    def busy(self) -> bool:
        """Tells whether a request on this connection awaits its answer."""
        return self._task is not None or self._stream is not None

    def connectionMade(self):  # noqa: N802
        """Registers the connection."""
        self._loop = asyncio.get_running_loop()
        self._factory.connections.add(self)
        self.transport.setTcpNoDelay(True)
        self._writer = sockets.DirectWriter(self.transport)
        self.transport.registerProducer(self, True)
        self._update()

    def dataReceived(self, data: bytes):  # noqa: N802
        """Parses requests; a malformed one is answered and ends the link."""
        if self._ending or self._closed:
            return
        items = self._parser.feed(data)
        self._pending.extend(items)
        if items and isinstance(items[-1], exceptions.MalformedRequestError):
            logger.info('event=request_malformed problem={!r}', str(items[-1]))
            self._ending = True
        self._start_next()

    def readConnectionLost(self):  # noqa: N802
        """Takes a half-close as the end of the requests, or of the peer."""
        if not self._factory.allow_half_close:
            self._closed = True
            self.transport.abortConnection()
            return
        self._ending = True
        if self._closed or not (self.busy or self._pending):
            self._lose()

    def writeConnectionLost(self):  # noqa: N802
        """Waits a moment for the peer's end once all is written."""
        if self._closed:
            self._enter(_Phase.LINGERING)

    def connectionLost(self, reason):  # noqa: N802
        """Cancels the running request, whose caller has gone."""
        self._closed = True
        self._factory.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        self._pending.clear()
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.abort()

    def pauseProducing(self):  # noqa: N802
        """Holds back answers, because the peer does not read them."""
        self._write_paused = True
        if self._stream is not None:
            self._stream.pause()
        self._update()

    def resumeProducing(self):  # noqa: N802
        """Writes on."""
        self._write_paused = False
        self._writer.buffer_emptied()
        if self._stream is not None:
            self._stream.resume()
        self._start_next()

    def stopProducing(self):  # noqa: N802
        """Does nothing; `connectionLost` follows."""

    def body_received(self, data: bytes) -> None:
        """Passes on a part of a streamed body."""
        assert self._framing is not None
        if self._framing.chunked:
            data = http_codec.encode_chunk(data)
        self._writer.write(data)

    def body_ended(self, complete: bool) -> None:
        """Ends a streamed body; a cut one ends with the connection."""
        assert self._framing is not None
        framed, self._framing, self._stream = self._framing, None, None
        if self._closed:
            return
        if not complete:
            self.transport.abortConnection()
            return
        if framed.chunked:
            self._writer.write(http_codec.LAST_CHUNK)
        self._answered(framed.close)

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is under way."""
        if not self.busy and not self._pending and not self._parser.in_message:
            self._lose()

    def _start_next(self):
        if not (self.busy or self._write_paused or self._closed):
            if self._pending:
                self._start(self._pending.popleft())
            elif self._parser.expects_continue:
                self._parser.expects_continue = False
                self._writer.write(http_codec.CONTINUE_RESPONSE)
            elif self._ending:
                self._close()
        self._update()

    def _start(
        self, item: http_codec.Request | exceptions.MalformedRequestError
    ):
        if isinstance(item, exceptions.MalformedRequestError):
            request = http_codec.Request(method='', target='')
            self._write(_error_response(item), request, close=True)
            return
        self._task = self._loop.create_task(self._answer(item))

    async def _answer(self, request: http_codec.Request):
        try:
            response = await self._factory.handler(request)
        except Exception:
            logger.exception('event=request_handler_failed')
            response = http_codec.Response(
                status=500, headers=[(b'x-hemlock-outcome', b'unknown')]
            )
        finally:
            self._task = None
        if self._closed:
            if response.stream is not None:
                response.stream.abort()
            return
        last = self._ending and not self._pending
        close = last or self._factory.draining or not request.keep_alive
        self._write(response, request, close=close)

    def _write(
        self,
        response: http_codec.Response,
        request: http_codec.Request,
        *,
        close: bool,
    ):
        framed = http_codec.choose_framing(response, request, close=close)
        self._writer.write(http_codec.encode_response(response, framed))
        if response.stream is None or framed.no_body:
            self._answered(framed.close)
            return
        self._stream = response.stream
        self._framing = framed
        self._update()
        response.stream.attach(self)
        if self._write_paused and self._stream is not None:
            self._stream.pause()

    def _answered(self, close: bool):
        if close:
            self._pending.clear()
            self._close()
            return
        self._start_next()

    def _close(self):
        """Closes after the last answer; reads on for a moment."""
        if self._closed:
            return
        self._closed = True
        self.transport.unregisterProducer()
        if self._ending and not self._reading:
            self.transport.resumeProducing()
        self._enter(_Phase.STALLED)
        self.transport.loseWriteConnection()

    def _lose(self):
        self._closed = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _update(self):
        """Reads as long as there is room, and sets the time limit."""
        if self._closed:
            return
        full = (
            len(self._pending) >= MAX_PIPELINED_REQUESTS or self._write_paused
        )
        if full == self._reading and not self._ending:
            self._reading = not full
            if full:
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()
        if self._write_paused:
            self._enter(_Phase.STALLED)
        elif self._parser.in_message and self._reading:
            self._enter(_Phase.READING)
        elif self.busy or self._pending:
            self._enter(_Phase.BUSY)
        else:
            self._enter(_Phase.IDLE)

    def _enter(self, phase: _Phase):
        if phase is self._phase:
            return
        self._phase = phase
        limit_s = self._factory.limits.limit_s(phase)
        if limit_s is None:
            return
        self._phase_ends = self._loop.time() + limit_s
        # A timer that fires too early is set again; setting one for each
        # request would cost more than an early call now and then.
        if self._timer is not None:
            if self._timer.when() <= self._phase_ends:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(self._phase_ends, self._check_time)

    def _check_time(self):
        self._timer = None
        if self._phase is _Phase.BUSY:
            return
        if self._loop.time() < self._phase_ends:
            self._timer = self._loop.call_at(self._phase_ends, self._check_time)
            return
        self._out_of_time()

    def _out_of_time(self):
        if self._phase is _Phase.READING:
            self._ending = True
            self._parser.in_message = False
            self._pending.append(
                exceptions.MalformedRequestError(
                    'request was not sent in time', status=408
                )
            )
            self._start_next()
            return
        if self._phase is _Phase.IDLE:
            self._lose()
            return
        self._closed = True
        self.transport.abortConnection()


class HttpServerFactory(protocol.Factory):
    """Makes a server protocol for each connection and knows the open ones.

    Attributes:
        handler: Answers a request.
        limits: How long connections may wait.
        allow_half_close: True if a client that has closed its sending side may
            still read responses. Daemons never half-close a connection, so
            between daemons a half-close means that the peer has ended and
            its requests are to be cancelled.
        connections: The open connections.
        draining: True once each answer ends its connection.
    """

    noisy = False

    def __init__(
        self,
        handler: Handler,
        limits: ConnectionLimits | None = None,
        *,
        allow_half_close: bool = True,
    ):
        self.handler = handler
        self.allow_half_close = allow_half_close
        self.limits = limits or ConnectionLimits()
        self.connections: set[HttpServerProtocol] = set()
        self.draining = False

    def buildProtocol(self, addr):  # noqa: N802
        """Makes the protocol of a new connection."""
        return HttpServerProtocol(self)

    def drain(self):
        """Ends each connection with its next answer.

        Idle connections stay open, because a request may be on its way on
        them; closed under it, its outcome would be unknown to the sender.
        """
        self.draining = True

    def close_idle(self):
        """Closes the connections on which no request is under way."""
        for connection in list(self.connections):
            connection.close_if_idle()


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
