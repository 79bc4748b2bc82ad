"""Pooled outgoing HTTP/1.1 connections, one request at a time on each."""

import asyncio
import collections
from collections.abc import Callable
import time

import attrs
from twisted.internet import endpoints
from twisted.internet import error as internet_error
from twisted.internet import protocol

from hemlockgrade import addresses
from hemlockgrade import exceptions
from hemlockgrade import http_codec

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_PER_ADDRESS = 32


class _Connection(protocol.Protocol):
    def __init__(self):
        self._parser = http_codec.ResponseParser()
        self._answer: asyncio.Future | None = None
        self.idle_since = 0.0

    def connectionMade(self):  # noqa: N802
        self.transport.setTcpNoDelay(True)

    async def exchange(self, data: bytes) -> http_codec.Response:
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        try:
            return await self._answer
        finally:
            self._answer = None

    def dataReceived(self, data: bytes):  # noqa: N802
        try:
            responses = self._parser.feed(data)
        except exceptions.MalformedRequestError as error:
            self._fail(f'malformed answer: {error}')
            self.transport.abortConnection()
            return
        for response in responses:
            if self._answer is None or self._answer.done():
                # An answer nobody waits for must never meet a later request.
                self.transport.abortConnection()
                return
            self._answer.set_result(response)

    def connectionLost(self, reason):  # noqa: N802
        self._fail('connection closed before the whole answer came')

    def _fail(self, message: str):
        if self._answer is None or self._answer.done():
            return
        self._answer.set_exception(
            exceptions.ConnectionClosedError(
                message,
                remedy='resend only if the request is idempotent',
                answer_started=self._parser.in_message,
            )
        )

    def abort(self):
        self.transport.abortConnection()


@attrs.define
class ConnectionPool:
    """Keeps idle connections by address and sends requests over them.

    Attributes:
        reactor: The Twisted reactor that owns the sockets.
    """

    reactor: object
    _idle_by_address: dict[str, collections.deque] = attrs.field(factory=dict)

    async def send(
        self,
        address: str,
        request: http_codec.Request,
        deadline: float,
        *,
        max_idle_s: float = 30.0,
        before_write: Callable[[], None] | None = None,
    ) -> http_codec.Response:
        """Sends a request and waits for its whole answer.

        Args:
            address: `host:port` of the server.
            request: The request.
            deadline: Time on the monotonic clock, in seconds.
            max_idle_s: Reuses only connections idle for less than this.
            before_write: Called with the connection established, before
                the first byte is written; it may raise to prevent that.

        Raises:
            exceptions.ConnectFailedError: Nothing was sent.
            exceptions.ConnectionClosedError: The answer is missing or cut.
            exceptions.DeadlineExceededError: The deadline passed.
        """
        connection = await self._checkout(address, max_idle_s)
        data = http_codec.encode_request(request, address)
        try:
            if before_write is not None:
                before_write()
            async with asyncio.timeout(deadline - time.monotonic()):
                response = await connection.exchange(data)
        except BaseException as error:
            connection.abort()
            if isinstance(error, TimeoutError):
                raise exceptions.DeadlineExceededError(
                    f'no answer from {address} in time',
                    remedy='allow more time or check the target',
                ) from error
            raise
        self._checkin(address, connection, response)
        return response

    async def _checkout(self, address: str, max_idle_s: float) -> _Connection:
        idle = self._idle_by_address.get(address)
        oldest = time.monotonic() - max_idle_s
        while idle:
            connection = idle.pop()
            if connection.connected and connection.idle_since > oldest:
                return connection
            connection.abort()
        return await self._connect(address)

    async def _connect(self, address: str) -> _Connection:
        host, port = addresses.split(address)
        endpoint = endpoints.TCP4ClientEndpoint(
            self.reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        factory = protocol.Factory.forProtocol(_Connection)
        factory.noisy = False
        try:
            return await endpoint.connect(factory).asFuture(
                asyncio.get_running_loop()
            )
        except (internet_error.ConnectError, OSError) as error:
            raise exceptions.ConnectFailedError(
                f'cannot connect to {address}: {error}',
                remedy='check that the process runs and the network is up',
            ) from error

    def _checkin(
        self,
        address: str,
        connection: _Connection,
        response: http_codec.Response,
    ):
        if not response.keep_alive or not connection.connected:
            connection.abort()
            return
        connection.idle_since = time.monotonic()
        idle = self._idle_by_address.setdefault(address, collections.deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().abort()

    def close(self):
        """Closes all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.abort()
        self._idle_by_address.clear()
