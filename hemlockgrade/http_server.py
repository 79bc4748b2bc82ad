"""HTTP/1.1 server protocol that hands each request to a coroutine.

Load pattern: clients send several requests on a connection without waiting for
the responses. Requests that may overlap run at the same time, so that a slow
one delays no other's run, and the responses are sent in the order of the
requests (RFC 9112, section 9.3.2).
"""

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
from hemlockgrade import intake as intake_module
from hemlockgrade import link as link_module
from hemlockgrade import outgoing_body
from hemlockgrade import sockets

Handler = Callable[[http_codec.Request], Awaitable[http_codec.Response]]

# Largest number of requests of a connection that have been read and not been
# started.
MAX_PIPELINED_REQUESTS = 16
# Largest number of requests of a connection that run at the same time or whose
# response waits for an earlier one.
MAX_OVERLAPPING_REQUESTS = 16
# Time for which a closing connection continues to read, in seconds. A
# connection that is closed with unread bytes is reset, and its last response is
# lost.
LINGER_S = 1.0
# Time after which a client whose request had to give way may send it again, in
# seconds.
RETRY_AFTER = b'1'
# Time between two checks whether all connections are closed, in seconds.
CLOSE_CHECK_INTERVAL_S = 0.02


class _Phase(enum.Enum):
    """What a connection waits for.

    Attributes:
        BUSY: The response of a request.
        IDLE: The next request.
        READING: The rest of a request.
        STALLED: The client to read the response.
        LINGERING: The client to close the connection.
    """

    BUSY = enum.auto()
    IDLE = enum.auto()
    READING = enum.auto()
    STALLED = enum.auto()
    LINGERING = enum.auto()


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """Time limits of a connection and size limits of its requests.

    Attributes:
        idle_s: Longest wait for the next request, in seconds. The default is
            longer than the time for which `upstream` keeps an idle connection.
        request_read_s: Longest wait for the rest of a request, in seconds.
        write_stall_s: Longest wait for a client that does not read its
            response, in seconds.
        header_bytes: Largest size of the headers of a request, in bytes.
        body_bytes: Largest size of the body of a request, in bytes.
    """

    idle_s: float = 75.0
    request_read_s: float = 10.0
    write_stall_s: float = 30.0
    header_bytes: int = http_codec.MAX_HEADER_BYTES
    body_bytes: int = http_codec.MAX_BODY_BYTES

    @property
    def largest_request_bytes(self) -> int:
        """Returns the memory of the largest request while it arrives, in bytes.

        The shortest header line has four bytes.
        """
        lines = self.header_bytes // 4
        return self.body_bytes + lines * http_codec.HEADER_LINE_BYTES

    def limit_s(self, phase: _Phase) -> float | None:
        """Returns the time limit of a phase, in seconds.

        Returns:
            None if the phase has no limit.
        """
        if phase is _Phase.BUSY:
            return None
        if phase is _Phase.IDLE:
            return self.idle_s
        if phase is _Phase.READING:
            return self.request_read_s
        if phase is _Phase.STALLED:
            return self.write_stall_s
        return LINGER_S


@attrs.define(eq=False, kw_only=True)
class _Exchange:
    """A request that has been started and its response.

    Attributes:
        request: The request.
        task: Runs the request.
        response: The response; None until the request has ended.
    """

    request: http_codec.Request
    task: asyncio.Task | None = None
    response: http_codec.Response | None = None

    def cancel(self):
        """Cancels the request and discards its response."""
        if self.response is None:
            if self.task is not None:
                self.task.cancel()
        elif self.response.stream is not None:
            self.response.stream.abort()


@zope.interface.implementer(
    interfaces.IHalfCloseableProtocol, interfaces.IPushProducer
)
class HttpServerProtocol(protocol.Protocol):
    """One incoming connection; responses are sent in order of the requests."""

    def __init__(self, factory: 'HttpServerFactory'):
        self._factory = factory
        self._parser = http_codec.RequestParser()
        self._pending: collections.deque = collections.deque()
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self._body: outgoing_body.OutgoingBody | None = None
        self._phase = _Phase.BUSY
        self._phase_ends_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._source_ip = ''
        self._is_reading = True
        self._write_paused = False
        self.held_bytes = 0
        self.received_at = 0.0
        # True once no more requests are read, after an error or a half-close.
        self._input_ended = False
        self._closed = False

    @property
    def busy(self) -> bool:
        """Returns whether a request on this connection awaits its response."""
        return bool(self._exchanges) or self._body is not None

    @property
    def finished(self) -> bool:
        """Returns whether the connection only waits for the client's close."""
        return self._phase is _Phase.LINGERING

    @property
    def is_incomplete(self) -> bool:
        """Returns whether a request has begun to arrive."""
        return self._parser.in_message and not self._closed

    @property
    def is_idle(self) -> bool:
        """Returns whether no request has begun to arrive or is in progress."""
        return not (self.busy or self._pending or self._parser.in_message)

    def refuse_incomplete(self) -> None:
        """Drops the request that arrives, refuses it and closes."""
        self._input_ended = True
        self._parser.discard()
        self._pending.append(
            exceptions.MalformedRequestError(
                'too many requests arrive at once; send it again later',
                status=503,
            )
        )
        self._start_next()
        self._update_held()

    def _update_held(self):
        """Reports the memory of the requests that have not been answered."""
        held = self._parser.held_bytes
        for item in self._pending:
            if isinstance(item, http_codec.Request):
                held += item.held_bytes
        for exchange in self._exchanges:
            held += exchange.request.held_bytes
        if held != self.held_bytes:
            self._factory.intake.update(self, held, self._loop.time())

    def connectionMade(self):  # noqa: N802
        """Registers the connection."""
        self._loop = asyncio.get_running_loop()
        self.received_at = self._loop.time()
        if not self._factory.intake.add(self, self.received_at):
            self._closed = True
            self.transport.abortConnection()
            return
        self._factory.connections.add(self)
        self._source_ip = self.transport.getPeer().host
        self.transport.setTcpNoDelay(True)
        sockets.limit_receive_buffer(self.transport.getHandle())
        self._writer = sockets.DirectWriter(
            self.transport, self._factory.link.record_write
        )
        self.transport.registerProducer(self, True)
        self._update_phase()

    def dataReceived(self, data: bytes):  # noqa: N802
        """Parses requests; after a malformed one no more are read."""
        if self._input_ended or self._closed:
            return
        # A new configuration changes the limits of open connections, too.
        self._parser.max_header_bytes = self._factory.limits.header_bytes
        self._parser.max_body_bytes = self._factory.limits.body_bytes
        items = self._parser.feed(data)
        self.received_at = self._loop.time()
        self._pending.extend(items)
        if items and isinstance(items[-1], exceptions.MalformedRequestError):
            logger.info('event=request_malformed problem={!r}', str(items[-1]))
            self._input_ended = True
        self._start_next()
        self._update_held()

    def readConnectionLost(self):  # noqa: N802
        """Handles a half-close.

        Depending on `allow_half_close` it means that no more requests follow,
        or that the client has closed the connection.
        """
        self._input_ended = True
        if self._closed or not (self.busy or self._pending):
            self._close_without_lingering()
        elif not self._factory.allow_half_close:
            self._closed = True
            self._cancel_requests()
            self.transport.abortConnection()

    def writeConnectionLost(self):  # noqa: N802
        """Waits for the client to close, after the last response was sent."""
        if self._closed:
            self._enter_phase(_Phase.LINGERING)

    def connectionLost(self, reason):  # noqa: N802
        """Cancels the requests, because their caller has disconnected."""
        self._closed = True
        self._factory.connections.discard(self)
        self._factory.intake.remove(self)
        self._parser.discard()
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_requests()

    def pauseProducing(self):  # noqa: N802
        """Stops writing, because the client does not read the responses."""
        self._write_paused = True
        if self._body is not None:
            self._body.pause()
        self._update_phase()

    def resumeProducing(self):  # noqa: N802
        """Continues writing."""
        self._write_paused = False
        self._writer.buffer_emptied()
        if self._body is not None:
            self._body.resume()
        self._write_responses()

    def stopProducing(self):  # noqa: N802
        """Does nothing; `connectionLost` follows."""

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if not self.busy and not self._pending and not self._parser.in_message:
            self._close_without_lingering()

    def _cancel_requests(self):
        self._pending.clear()
        exchanges = list(self._exchanges)
        self._exchanges.clear()
        for exchange in exchanges:
            exchange.cancel()
        if self._body is not None:
            body, self._body = self._body, None
            body.abort()

    def _start_next(self):
        """Starts the requests that may run now."""
        while (
            self._pending
            and not (self._write_paused or self._closed)
            and self._may_start(self._pending[0])
        ):
            self._start_request(self._pending.popleft())
        if not (self.busy or self._pending or self._write_paused):
            if self._closed:
                return
            if self._parser.expects_continue:
                self._parser.expects_continue = False
                self._writer.write(http_codec.CONTINUE_RESPONSE)
            elif self._input_ended:
                self._close_after_response()
        self._update_phase()

    def _may_start(
        self, item: http_codec.Request | exceptions.MalformedRequestError
    ) -> bool:
        """Returns whether the next request may be started.

        An earlier response may close the connection. The client then sends the
        requests behind it again, so that only those that may run more than once
        are started before it.
        """
        if not self.busy:
            return True
        if isinstance(item, exceptions.MalformedRequestError):
            return False
        return (
            len(self._exchanges) < MAX_OVERLAPPING_REQUESTS
            and self._may_overlap(item)
            and all(self._may_overlap(e.request) for e in self._exchanges)
        )

    def _may_overlap(self, request: http_codec.Request) -> bool:
        return (
            request.keep_alive
            and request.version == '1.1'
            and self._factory.may_overlap(request)
        )

    def _start_request(
        self, item: http_codec.Request | exceptions.MalformedRequestError
    ):
        if isinstance(item, exceptions.MalformedRequestError):
            request = http_codec.Request(method='', target='')
            response = _error_response(item)
            if item.status == 503:
                response.headers += self._factory.refusal_headers
            self._write_response(response, request, close=True)
            return
        item.source_ip = self._source_ip
        exchange = _Exchange(request=item)
        self._exchanges.append(exchange)
        exchange.task = self._loop.create_task(self._handle_request(exchange))

    async def _handle_request(self, exchange: _Exchange):
        try:
            response = await self._factory.handler(exchange.request)
        except Exception:
            logger.exception('event=request_handler_failed')
            response = http_codec.Response(
                status=500, headers=[(b'x-hemlock-outcome', b'unknown')]
            )
        exchange.response = response
        if self._closed:
            exchange.cancel()
            return
        self._write_responses()

    def _write_responses(self):
        """Writes the responses that wait for no earlier one."""
        while self._exchanges and self._body is None and not self._closed:
            exchange = self._exchanges[0]
            if exchange.response is None:
                break
            self._exchanges.popleft()
            is_last = (self._input_ended or self._factory.draining) and not (
                self._pending or self._exchanges
            )
            self._write_response(
                exchange.response,
                exchange.request,
                close=is_last or not exchange.request.keep_alive,
            )
        self._start_next()
        self._update_held()

    def _write_response(
        self,
        response: http_codec.Response,
        request: http_codec.Request,
        *,
        close: bool,
    ):
        framing = http_codec.choose_framing(response, request, close=close)
        is_large = len(response.body) > link_module.MAX_UNPACED_BYTES
        if framing.no_body or (response.stream is None and not is_large):
            self._writer.write(http_codec.encode_response(response, framing))
            self._response_written(framing.close)
            return
        self._body = outgoing_body.OutgoingBody(
            self._writer,
            self._factory.link,
            framing,
            lambda complete: self._body_ended(framing, complete),
        )
        self._update_phase()
        if self._write_paused:
            self._body.pause()
        self._writer.write(http_codec.encode_head(response, framing))
        self._body.send(response)

    def _body_ended(self, framing: http_codec.Framing, complete: bool):
        """Handles the end of a body that was passed on piece by piece.

        An incomplete body is signalled to the client by aborting the
        connection.
        """
        self._body = None
        if self._closed:
            return
        if not complete:
            self.transport.abortConnection()
            return
        self._response_written(framing.close)
        self._write_responses()

    def _response_written(self, close: bool):
        if close:
            self._cancel_requests()
            self._close_after_response()

    def _close_after_response(self):
        """Closes the connection after the last response.

        The connection continues to read for `LINGER_S`.
        """
        if self._closed:
            return
        self._closed = True
        self.transport.unregisterProducer()
        if self._input_ended and not self._is_reading:
            self.transport.resumeProducing()
        self._enter_phase(_Phase.STALLED)
        self.transport.loseWriteConnection()

    def _close_without_lingering(self):
        self._closed = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _update_phase(self):
        """Pauses or resumes reading, and sets the phase and its time limit."""
        if self._closed:
            return
        must_pause = (
            len(self._pending) >= MAX_PIPELINED_REQUESTS or self._write_paused
        )
        if must_pause == self._is_reading and not self._input_ended:
            self._is_reading = not must_pause
            if must_pause:
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()
        if self._write_paused:
            self._enter_phase(_Phase.STALLED)
        elif self._parser.in_message and self._is_reading:
            self._enter_phase(_Phase.READING)
        elif self.busy or self._pending:
            self._enter_phase(_Phase.BUSY)
        else:
            self._enter_phase(_Phase.IDLE)

    def _enter_phase(self, phase: _Phase):
        if phase is self._phase:
            return
        self._phase = phase
        limit_s = self._factory.limits.limit_s(phase)
        if limit_s is None:
            return
        self._phase_ends_at = self._loop.time() + limit_s
        # A timer that expires before the end of the phase is set again. Setting
        # a timer for each request would cost more than an early expiry now and
        # then.
        if self._timer is not None:
            if self._timer.when() <= self._phase_ends_at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(
            self._phase_ends_at, self._check_phase_end
        )

    def _check_phase_end(self):
        self._timer = None
        if self._phase is _Phase.BUSY:
            return
        if self._loop.time() < self._phase_ends_at:
            self._timer = self._loop.call_at(
                self._phase_ends_at, self._check_phase_end
            )
            return
        self._phase_timed_out()

    def _phase_timed_out(self):
        if self._phase is _Phase.READING:
            self._input_ended = True
            self._parser.in_message = False
            self._pending.append(
                exceptions.MalformedRequestError(
                    'request was not sent in time', status=408
                )
            )
            self._start_next()
            return
        if self._phase is _Phase.IDLE:
            self._close_without_lingering()
            return
        self._closed = True
        self.transport.abortConnection()


class HttpServerFactory(protocol.Factory):
    """Creates the protocol of each connection and records the open connections.

    Attributes:
        handler: Handles a request and returns the response.
        limits: Limits of each connection.
        allow_half_close: True if a client that has closed its sending side may
            still read responses. If False, a half-close means that the client
            has closed the connection, and its requests are cancelled. A client
            that closes its socket looks the same until a response is written.
        connections: The open connections.
        draining: True once each connection is closed after its next response.
        link: Network link over which the connections send.
        may_overlap: Returns whether a request may run while earlier requests
            of its connection have not ended.
        intake: Bounds what the requests of all connections hold.
        refusal_headers: Headers of the response to a request that gave way.
    """

    noisy = False

    def __init__(
        self,
        handler: Handler,
        limits: ConnectionLimits | None = None,
        *,
        allow_half_close: bool = False,
        link: outgoing_body.Link | None = None,
        may_overlap: Callable[[http_codec.Request], bool] = lambda _: False,
        intake: intake_module.Intake | None = None,
        refusal_headers: http_codec.Headers | None = None,
    ):
        self.handler = handler
        self.link = link or outgoing_body.Link()
        self.may_overlap = may_overlap
        self.intake = intake or intake_module.Intake()
        self.refusal_headers = refusal_headers or []
        self.allow_half_close = allow_half_close
        self.limits = limits or ConnectionLimits()
        self.connections: set[HttpServerProtocol] = set()
        self.draining = False

    def buildProtocol(self, addr):  # noqa: N802
        """Creates the protocol of a new connection."""
        return HttpServerProtocol(self)

    def drain(self):
        """Closes each connection after its next response.

        Idle connections stay open, because a request may be under way on them.
        If such a connection were closed, the outcome of the request would be
        unknown to the sender.
        """
        self.draining = True

    def close_idle(self):
        """Closes the connections on which no request is in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    async def close(self, deadline: float) -> None:
        """Closes each connection once it is idle and its data is written.

        A request that is still being read keeps its connection open, too.

        Args:
            deadline: Time of the event loop at which the wait ends, in seconds.
        """
        loop = asyncio.get_running_loop()
        self.close_idle()
        while loop.time() < deadline and not all(
            connection.finished for connection in self.connections
        ):
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
            self.close_idle()


def _error_response(
    error: exceptions.MalformedRequestError,
) -> http_codec.Response:
    response = http_codec.Response(
        status=error.status,
        headers=[
            (b'content-type', b'text/plain; charset=utf-8'),
            (b'x-hemlock-outcome', b'not-run'),
        ],
        body=str(error).encode(),
    )
    if error.status == 503:
        response.headers.append((b'retry-after', RETRY_AFTER))
    return response
