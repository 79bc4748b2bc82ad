"""Pool of outgoing HTTP/1.1 connections with one request at a time on each."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import math
import socket
from typing import Any

import attrs
from twisted.internet import error as internet_error
from twisted.internet import protocol

from hemlockgrade import addresses
from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import sockets
from hemlockgrade import token_bucket

# Default of the response header that holds the identifier of the request.
REQUEST_ID_HEADER = b'x-hemlock-request-id'
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 32
# Largest body that is written together with its head, in bytes. Joining a
# larger one would copy it once more.
MAX_JOINED_BYTES = 16 * 1024
# Idle connections are closed after this time. It is shorter than the time after
# which `http_server` closes an idle connection.
MAX_IDLE_S = 30.0
IDLE_CHECK_INTERVAL_S = 10.0
# The operating system closes a connection when written data is not acknowledged
# for `TCP_USER_TIMEOUT_MS`, or when `KEEP_ALIVE_PROBES` probes in a row are not
# acknowledged. Retransmitting a packet after three losses in a row takes 1.4 s,
# so a connection survives such losses.
TCP_USER_TIMEOUT_MS = 2000
KEEP_ALIVE_PROBE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# Rate at which the pieces of response bodies are read over all connections of a
# pool, and the number that is read without a wait. Each chunk is a piece; the
# processor time of a read depends on their number more than on their size.
BODY_PARTS_PER_S = 200_000
BURST_BODY_PARTS = 50_000
# A read with at most this many pieces is not counted.
FREE_BODY_PARTS = 256


@attrs.frozen(kw_only=True)
class PauseLimits:
    """Limits on the pauses of a response that is buffered whole.

    Attributes:
        starts_by: Monotonic time in seconds by which the response begins; None
            for no such limit.
        max_pause_s: Longest time without a byte after its beginning, in
            seconds; None for no such limit.
        on_started: Called when the response begins.
    """

    starts_by: float | None = None
    max_pause_s: float | None = None
    on_started: Callable[[], None] | None = None


class _Connection(protocol.Protocol):
    """One outgoing connection, which is also the source of its body streams."""

    def __init__(self, pool: 'ConnectionPool', address: str):
        self._pool = pool
        self.address = address
        self._loop = asyncio.get_running_loop()
        self._parser = http_codec.ResponseParser(self)
        self._response_future: asyncio.Future | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Ends a response that does not begin in time or pauses for too long.
        self._pause_limit_timer: asyncio.TimerHandle | None = None
        self._max_pause_s: float | None = None
        self._on_started: Callable[[], None] | None = None
        self._response_keeps_alive = True
        self._request_id = ''
        self._is_paused = False
        self._pause_timer: asyncio.TimerHandle | None = None
        self.opened: asyncio.Future = self._loop.create_future()
        self.usable = True
        self.idle_since = 0.0

    def connectionMade(self):  # noqa: N802
        if not self.usable:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        _set_silence_timeout(handle)
        sockets.limit_receive_buffer(handle)
        self._writer = sockets.DirectWriter(self.transport)
        if not self.opened.done():
            self.opened.set_result(None)

    def send_request(
        self,
        request: http_codec.Request,
        deadline: float,
        request_id: str,
        max_buffered_bytes: int,
    ) -> asyncio.Future:
        self._request_id = request_id
        head = http_codec.encode_request_head(request, self.address)
        self._response_future = self._loop.create_future()
        self._timer = self._loop.call_at(deadline, self._deadline_passed)
        self._parser.expect(
            request.method, self._accepts_response, max_buffered_bytes
        )
        if len(request.body) <= MAX_JOINED_BYTES:
            self._writer.write(head + request.body)
        else:
            self._writer.write(head)
            self._writer.write(request.body)
        return self._response_future

    def limit_pauses(self, limits: 'PauseLimits') -> None:
        """Fails the request if the server pauses for too long."""
        self._max_pause_s = limits.max_pause_s
        self._on_started = limits.on_started
        if limits.starts_by is not None:
            self._pause_limit_timer = self._loop.call_at(
                limits.starts_by, self._deadline_passed
            )

    def dataReceived(self, data: bytes):  # noqa: N802
        if not self.usable:
            return
        self._cancel_pause_limit()
        if self._on_started is not None:
            on_started, self._on_started = self._on_started, None
            on_started()
        try:
            response = self._parser.feed(data)
        except exceptions.MalformedRequestError as error:
            self._fail_request(f'malformed answer: {error}')
            self.abort()
            return
        self._limit_body_parts()
        if self._parser.unexpected_bytes:
            # The bytes belong to no request and must not be taken for the
            # response to a later one.
            self.usable = False
            self.transport.abortConnection()
        if response is not None:
            self._deliver(response)
        elif self._max_pause_s is not None:
            self._pause_limit_timer = self._loop.call_later(
                self._max_pause_s, self._deadline_passed
            )

    def connectionLost(self, reason):  # noqa: N802
        if self.usable and reason.check(internet_error.ConnectionDone):
            response = self._parser.finish()
            if response is not None:
                self._deliver(response)
        self.usable = False
        self._fail_request('connection closed before the whole answer came')
        self._end_response()
        self._pool.remove(self)

    def pause(self) -> None:
        self._is_paused = True
        if self.usable:
            self.transport.pauseProducing()

    def resume(self) -> None:
        self._is_paused = False
        if self.usable and self._pause_timer is None:
            self.transport.resumeProducing()

    def _limit_body_parts(self):
        """Pauses reading after a read of too many pieces of a body."""
        parts, self._parser.body_parts = self._parser.body_parts, 0
        if parts <= FREE_BODY_PARTS or not self.usable:
            return
        wait_s = self._pool.count_body_parts(parts)
        # A connection whose response is complete may be in use again.
        if wait_s <= 0 or self._response_future is None:
            return
        self.transport.pauseProducing()
        self._pause_timer = self._loop.call_later(wait_s, self._end_pause)

    def _end_pause(self):
        self._pause_timer = None
        if self.usable and not self._is_paused:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Closes the connection at once; a response still to come is lost."""
        self.usable = False
        self._end_response()
        if self.transport is not None:
            self.transport.abortConnection()

    def fail_and_abort(self) -> None:
        """Closes the connection at once and fails the waiting request."""
        self._fail_request('connection closed by this process')
        self.abort()

    def _accepts_response(self, headers: http_codec.Headers) -> bool:
        """Returns whether a response belongs to the current request.

        A server may respond to an earlier request of the connection twice. A
        response without an identifier belongs to the current request.
        """
        response_id = http_codec.header(headers, self._pool.request_id_header)
        return not self._request_id or response_id in (None, self._request_id)

    def _deliver(self, response: http_codec.Response):
        self._response_keeps_alive = response.keep_alive
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_result(response)
        if response.stream is None:
            self._response_complete()
            return
        response.stream.when_done(self._stream_ended)

    def _stream_ended(self, complete: bool):
        if complete:
            self._response_complete()

    def _response_complete(self):
        self._response_future = None
        self._max_pause_s = self._on_started = None
        if self._timer is not None:
            self._timer.cancel()
        reusable = (
            self._response_keeps_alive
            and not self._parser.skipped_response
            # The next response must not wait for the pause of this one.
            and self._pause_timer is None
        )
        if self.usable and reusable and not self._parser.in_message:
            self.resume()
            self._pool.put_back(self)
            return
        self.abort()

    def _deadline_passed(self):
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_exception(
                exceptions.DeadlineExceededError(
                    f'no answer from {self.address} in time',
                    remedy='allow more time or check the target',
                )
            )
        self.abort()

    def _fail_request(self, message: str):
        if not self.opened.done():
            self.opened.set_exception(self._connect_error(message))
        if self._response_future is None or self._response_future.done():
            return
        self._response_future.set_exception(
            exceptions.ConnectionClosedError(
                message,
                remedy='resend only if the request is idempotent',
                response_started=self._parser.in_message,
            )
        )

    def _cancel_pause_limit(self):
        if self._pause_limit_timer is not None:
            self._pause_limit_timer.cancel()
            self._pause_limit_timer = None

    def _end_response(self):
        self._cancel_pause_limit()
        for timer in (self._timer, self._pause_timer):
            if timer is not None:
                timer.cancel()
        self._parser.connection_lost()

    def connect_failed(self, message: str):
        self.usable = False
        if not self.opened.done():
            self.opened.set_exception(self._connect_error(message))

    def _connect_error(self, message: str) -> exceptions.ConnectFailedError:
        return exceptions.ConnectFailedError(
            f'cannot connect to {self.address}: {message}',
            remedy='check that the process runs and the network is up',
        )


def _set_silence_timeout(handle: Any):
    """Sets TCP options that close a connection whose other end is silent."""
    if not isinstance(handle, socket.socket):
        return
    tcp = socket.IPPROTO_TCP
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_INTERVAL_S)
    handle.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_INTERVAL_S)
    handle.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    handle.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def _has_unread_input(handle: Any) -> bool:
    """Returns whether bytes or the end of the connection wait to be read.

    On an idle connection they belong to no request.
    """
    if not isinstance(handle, socket.socket):
        return False
    try:
        handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def _with_time_left(
    request: http_codec.Request, time_by_header: Mapping[bytes, float]
) -> http_codec.Request:
    """Returns a request with headers that state the time left from now on."""
    now = asyncio.get_running_loop().time()
    headers = [
        (name, b'%d' % max(1, int((until - now) * 1000)))
        for name, until in time_by_header.items()
    ]
    return request.with_headers(request.headers + headers)


def _discard(connection: _Connection, response_future: asyncio.Future):
    """Ends a request whose sender takes no response.

    Once a response without a stream has been received, the connection may
    already carry the next request.

    Args:
        connection: Connection of the request.
        response_future: Response of the request.
    """
    if (
        not response_future.done()
        or response_future.cancelled()
        or response_future.exception() is not None
    ):
        connection.abort()
        return
    stream = response_future.result().stream
    if stream is not None:
        stream.abort()


class _ConnectFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, connection: _Connection):
        self._connection = connection

    def buildProtocol(self, addr):  # noqa: N802
        return self._connection

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        self._connection.connect_failed(reason.getErrorMessage())


@attrs.define(eq=False)
class ConnectionPool:
    """Keeps idle connections by address and sends requests over them.

    Attributes:
        reactor: The Twisted reactor that owns the sockets.
        connect_timeout_s: Longest wait for a new connection, in seconds.
        request_id_header: Header of a response that holds the identifier of
            the request.
        max_buffered_bytes: Largest response body that `fetch` accepts, in
            bytes.
    """

    reactor: Any
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    request_id_header: bytes = REQUEST_ID_HEADER
    max_buffered_bytes: int = http_codec.MAX_BUFFERED_BYTES
    _idle_by_address: dict[str, collections.deque[_Connection]] = attrs.field(
        factory=dict
    )
    # Time of the latest call of `fetch` without a response. Connections that
    # were open then may have silently failed, too.
    _failed_at_by_address: dict[str, float] = attrs.field(factory=dict)
    _open: set[_Connection] = attrs.field(factory=set)
    _idle_checked_at: float = 0.0
    _closed: bool = False
    _body_parts: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(
            BODY_PARTS_PER_S, BURST_BODY_PARTS
        )
    )

    async def send(
        self,
        address: str,
        request: http_codec.Request,
        deadline: float,
        *,
        pauses: PauseLimits | None = None,
        max_idle_s: float = MAX_IDLE_S,
        before_write: Callable[[], None] | None = None,
        request_id: str = '',
        max_buffered_bytes: int = http_codec.MAX_BUFFERED_BYTES,
        time_by_header: Mapping[bytes, float] | None = None,
    ) -> http_codec.Response:
        """Sends a request and waits for the response.

        A large response body is returned as a stream; the deadline also
        applies to the end of that stream.

        Args:
            address: `host:port` of the server.
            request: The request.
            deadline: Monotonic time in seconds.
            pauses: Limits on the pauses of the response; None for no limits.
            max_idle_s: Longest idle time of a connection that is reused, in
                seconds.
            before_write: Called when the connection is open, before the first
                byte is written; it may raise an exception to prevent the
                write.
            request_id: Identifier of the request. A response with another
                identifier in `request_id_header` is dropped, and the
                connection is closed after the right response.
            max_buffered_bytes: Largest response body that is buffered whole, in
                bytes; a larger one is returned as a stream.
            time_by_header: Monotonic times in seconds by headers that are added
                when the connection is open. They state how much is left until
                that time, in milliseconds, at least 1.

        Returns:
            The response to the request.

        Raises:
            exceptions.ConnectFailedError: Nothing was sent.
            exceptions.ConnectionClosedError: The connection was closed before
                the response was complete, or the response was malformed.
            exceptions.DeadlineExceededError: The deadline passed.
        """
        # After a pause of the process, the close by the sender of the request
        # may not have been processed yet. The next iteration of the event loop
        # processes it, which cancels this call before anything is written. A
        # closed pool fails at once, because the process may end before that
        # iteration.
        if not self._closed:
            await asyncio.sleep(0)
        connection = self._take_idle(address, max_idle_s)
        if connection is None:
            connection = await self._connect(address, deadline)
        try:
            if before_write is not None:
                before_write()
            if time_by_header:
                request = _with_time_left(request, time_by_header)
            response_future = connection.send_request(
                request, deadline, request_id, max_buffered_bytes
            )
        except BaseException:
            connection.abort()
            raise
        if pauses is not None:
            connection.limit_pauses(pauses)
        try:
            return await response_future
        except BaseException:
            _discard(connection, response_future)
            raise

    async def fetch(
        self,
        address: str,
        request: http_codec.Request,
        deadline: float,
        *,
        pauses: PauseLimits | None = None,
        max_idle_s: float = MAX_IDLE_S,
        max_bytes: int | None = None,
    ) -> http_codec.Response:
        """Sends a request and waits for the whole response.

        After a call without a response, no connection is used that was open
        then.

        Args:
            address: `host:port` of the server.
            request: The request.
            deadline: Monotonic time in seconds.
            pauses: Limits on the pauses of the response; None for no limits.
            max_idle_s: Longest idle time of a connection that is reused, in
                seconds; with 0 a new one is opened and the idle ones are
                closed.
            max_bytes: Largest body, in bytes; None for `max_buffered_bytes`.

        Returns:
            The response to the request; it has no stream.

        Raises:
            exceptions.ConnectFailedError: Nothing was sent.
            exceptions.ConnectionClosedError: The connection was closed before
                the response was complete, or the response was malformed.
            exceptions.ResponseTooLargeError: The body has more bytes.
            exceptions.DeadlineExceededError: The deadline passed.
        """
        if max_bytes is None:
            max_bytes = self.max_buffered_bytes
        loop = asyncio.get_running_loop()
        failed_at = self._failed_at_by_address.get(address, -math.inf)
        try:
            response = await self.send(
                address,
                request,
                deadline,
                pauses=pauses,
                max_idle_s=min(max_idle_s, loop.time() - failed_at),
                max_buffered_bytes=max_bytes,
            )
        except exceptions.OutcomeUnknownError:
            self._failed_at_by_address[address] = loop.time()
            raise
        if response.stream is not None:
            response.stream.abort()
            raise exceptions.ResponseTooLargeError(
                f'answer from {address} has more than {max_bytes} bytes',
                remedy='check that the address belongs to the right process',
                response_started=True,
            )
        return response

    def _take_idle(self, address: str, max_idle_s: float) -> _Connection | None:
        idle = self._idle_by_address.get(address)
        idle_after = asyncio.get_running_loop().time() - max_idle_s
        while idle:
            connection = idle.pop()
            if (
                connection.usable
                and connection.idle_since > idle_after
                and not _has_unread_input(connection.transport.getHandle())
            ):
                return connection
            connection.abort()
        return None

    async def _connect(self, address: str, deadline: float) -> _Connection:
        connection = _Connection(self, address)
        loop = asyncio.get_running_loop()
        timeout_s = min(self.connect_timeout_s, deadline - loop.time())
        if self._closed:
            raise exceptions.ConnectFailedError(
                f'not connecting to {address} because this process is ending',
                remedy='send the request again after the restart',
            )
        if timeout_s <= 0:
            raise exceptions.ConnectFailedError(
                f'no time left to connect to {address}',
                remedy='allow more time',
            )
        host, port = addresses.split(address)
        self._open.add(connection)
        connector = self.reactor.connectTCP(
            host, port, _ConnectFactory(connection), timeout_s
        )
        try:
            await connection.opened
        except BaseException:
            connection.abort()
            connector.disconnect()
            self.remove(connection)
            raise
        return connection

    def count_body_parts(self, parts: int) -> float:
        """Counts the pieces of response bodies that a connection has read.

        Args:
            parts: Number of pieces.

        Returns:
            Time for which the connection must not read, in seconds.
        """
        now = asyncio.get_running_loop().time()
        self._body_parts.spend(parts, now)
        return -self._body_parts.available(now) / BODY_PARTS_PER_S

    def put_back(self, connection: Any) -> None:
        """Keeps a connection whose response is complete for later requests."""
        now = asyncio.get_running_loop().time()
        connection.idle_since = now
        idle = self._idle_by_address.get(connection.address)
        if idle is None:
            idle = collections.deque()
            self._idle_by_address[connection.address] = idle
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS_PER_ADDRESS or self._closed:
            idle.popleft().abort()
        if now - self._idle_checked_at > IDLE_CHECK_INTERVAL_S:
            self._close_idle(now)

    def remove(self, connection: Any) -> None:
        """Removes a closed connection from the pool."""
        self._open.discard(connection)
        idle = self._idle_by_address.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def _close_idle(self, now: float):
        self._idle_checked_at = now
        for address, idle in list(self._idle_by_address.items()):
            while idle and idle[0].idle_since < now - MAX_IDLE_S:
                idle.popleft().abort()
            if not idle:
                del self._idle_by_address[address]
        self._failed_at_by_address = {
            address: failed_at
            for address, failed_at in self._failed_at_by_address.items()
            if failed_at > now - MAX_IDLE_S
        }

    def close(self) -> None:
        """Closes all connections; the outcome of their requests is unknown."""
        self._closed = True
        for connection in list(self._open):
            connection.fail_and_abort()
        self._idle_by_address.clear()
