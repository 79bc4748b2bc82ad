"""Callers of a soak, which keep connections open and record each request."""

import asyncio
from collections.abc import Callable
import itertools
import random

import attrs

from standins import mesh_cluster

# Longest time after the deadline of a request until it has to be answered.
ANSWER_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 1.0
MAX_RETRIES = 2
NOT_RUN_STATUSES = (408, 421, 429, 503)
RETRY_AFTER_TIME_LEFT_FRACTION = 1 / 3
CALLERS_PER_HOST = 4


@attrs.frozen
class Route:
    """A route of the soak.

    Attributes:
        name: Name of the route and, between slashes, its prefix.
        idempotent: Whether requests may run more than once.
        timeout_s: Timeout of the route, in seconds.
        slow: Whether requests may take up to 2.5 s at the server.
    """

    name: str
    idempotent: bool
    timeout_s: float
    slow: bool = False


ROUTES = (
    Route('read', True, 1.0),
    Route('write', False, 1.5),
    Route('report', True, 3.0, slow=True),
    Route('order', False, 2.5, slow=True),
)
# Route that changes of the configuration add and remove.
EXTRA_ROUTE = Route('extra', True, 1.0)


@attrs.define
class Attempt:
    """A request as its caller saw it. All times are monotonic, in seconds.

    Attributes:
        request_id: Identifier of the request.
        host: Host of the caller.
        route: Route of the request.
        sent_at: Time at which the request was sent.
        deadline: Time until which the caller waits for the response.
        ended_at: Time at which the request ended.
        outcome: `answered`, `closed` (the connection ended without a whole
            response), `late` (neither, up to `ANSWER_MARGIN_S` after the
            deadline) or `unsent`.
        status: Status of the response; 0 without one.
        signature: Signature of the server in the response, if any.
        retry_after_s: Value of `Retry-After` in seconds; 0 if there is none.
        body: Body of the response.
    """

    request_id: str
    host: str
    route: Route
    sent_at: float
    deadline: float
    ended_at: float = 0.0
    outcome: str = 'unsent'
    status: int = 0
    signature: str = ''
    retry_after_s: float = 0.0
    body: str = attrs.field(default='', repr=lambda body: repr(body[:40]))


@attrs.frozen
class Operation:
    """A request with its retries."""

    host: str
    started_at: float
    succeeded: bool


@attrs.define(eq=False, kw_only=True)
class Caller:
    """Sends requests to the daemon of its host, one at a time.

    Attributes:
        host: Name of the host.
        number: Number of this caller on its host.
        address: Address of the daemon for callers.
        rng: Source of the random choices.
        gets_work: Returns whether the platform sends callers to the host.
        is_settling: Returns whether only short requests are sent.
        keeps_sending: Whether the caller sends requests on an open connection
            although the platform sends no callers to the host.
        attempts: Gets each request.
        operations: Gets each request with its retries.
    """

    host: str
    number: int
    address: str
    rng: random.Random
    gets_work: Callable[[], bool]
    is_settling: Callable[[], bool]
    keeps_sending: bool
    attempts: list[Attempt]
    operations: list[Operation]
    _numbers: itertools.count = attrs.field(factory=itertools.count)
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        now = asyncio.get_running_loop().time
        try:
            while True:
                await asyncio.sleep(self.rng.uniform(0.02, 0.3))
                if self.gets_work() or (self.keeps_sending and self._is_open()):
                    started_at = now()
                    succeeded = await self._operate()
                    self.operations.append(
                        Operation(self.host, started_at, succeeded)
                    )
        finally:
            self._close()

    async def _operate(self) -> bool:
        """Sends a request and its retries; returns whether one succeeded."""
        now = asyncio.get_running_loop().time
        route, work_ms = self._draw_request()
        deadline = now() + route.timeout_s * self.rng.uniform(0.7, 1.0)
        for retry in range(MAX_RETRIES + 1):
            if retry:
                self._close()
            attempt = await self._attempt(route, work_ms, deadline)
            if attempt.outcome != 'answered':
                self._close()
            if attempt.status == 404 or 200 <= attempt.status < 300:
                return True
            refused = attempt.status in NOT_RUN_STATUSES
            if not (route.idempotent or refused or attempt.outcome == 'unsent'):
                return False
            left_s = deadline - now()
            wait_s = min(
                attempt.retry_after_s, left_s * RETRY_AFTER_TIME_LEFT_FRACTION
            )
            if left_s < 0.05:
                return False
            await asyncio.sleep(wait_s if refused else 0.05)
        return False

    def _draw_request(self) -> tuple[Route, float]:
        """Draws a route and the time that the server needs, in ms."""
        if self.is_settling():
            return self.rng.choice(ROUTES), self.rng.uniform(20, 100)
        if self.rng.random() < 0.05:
            return EXTRA_ROUTE, 20
        route = self.rng.choice(ROUTES)
        if route.slow and self.rng.random() < 0.6:
            return route, self.rng.uniform(600, 2500)
        return route, self.rng.uniform(20, 600 if route.slow else 300)

    async def _attempt(self, route, work_ms, deadline) -> Attempt:
        now = asyncio.get_running_loop().time
        request_id = f'{self.host}-{self.number}-{next(self._numbers):x}'
        attempt = Attempt(request_id, self.host, route, now(), deadline)
        self.attempts.append(attempt)
        try:
            if not self._is_open():
                await self._connect()
            attempt.sent_at = now()
            if attempt.sent_at >= deadline:
                return attempt
            attempt.outcome = 'closed'
            self._writer.write(self._encode(attempt, work_ms))
            async with asyncio.timeout_at(deadline + ANSWER_MARGIN_S):
                headers = await self._read_response(attempt)
            attempt.outcome = 'answered'
            if headers.get('connection', '').lower() == 'close':
                self._close()
        except TimeoutError:
            if attempt.outcome == 'closed':
                attempt.outcome = 'late'
        except (OSError, EOFError):
            # The outcome says whether the request was sent.
            pass
        attempt.ended_at = now()
        return attempt

    def _encode(self, attempt: Attempt, work_ms: float) -> bytes:
        left_s = attempt.deadline - attempt.sent_at
        method = 'GET' if attempt.route.idempotent else 'POST'
        lines = [
            f'{method} /{attempt.route.name}/{attempt.request_id} HTTP/1.1',
            f'Host: {mesh_cluster.HOST_NAME}',
            f'X-Request-Id: {attempt.request_id}',
            f'X-Deadline-Ms: {max(1, int(left_s * 1000))}',
            f'X-Work-Ms: {work_ms:.0f}',
        ]
        return '\r\n'.join([*lines, '', '']).encode()

    async def _read_response(self, attempt: Attempt) -> dict[str, str]:
        """Reads a response into the attempt and returns its headers."""
        head = (
            (await self._reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
        )
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        if headers.get('transfer-encoding') == 'chunked':
            body = b''
            while size := int(await self._reader.readuntil(b'\r\n'), 16):
                body += (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readuntil(b'\r\n')
        else:
            length = int(headers['content-length'])
            body = await self._reader.readexactly(length)
        attempt.status = int(head[0].split()[1])
        attempt.signature = headers.get('x-server-stamp', '')
        attempt.retry_after_s = float(headers.get('retry-after', 0))
        attempt.body = body.decode()
        return headers

    async def _connect(self):
        host, _, port = self.address.partition(':')
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )

    def _is_open(self) -> bool:
        return self._writer is not None and not (
            self._reader.at_eof() or self._writer.is_closing()
        )

    def _close(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = None


async def read_readiness(address: str) -> int:
    """Returns the status of the readiness check of a daemon; 0 if none came."""
    host, _, port = address.partition(':')
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(b'GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                return int((await reader.readline()).split()[1])
            finally:
                writer.transport.abort()
    except (OSError, IndexError):
        # No answer is a failed check.
        return 0
