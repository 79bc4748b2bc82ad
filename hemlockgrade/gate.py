"""Server side of the request path: admission to the server beside it."""

from collections.abc import Callable
import math

import attrs
from loguru import logger

from hemlockgrade import exceptions
from hemlockgrade import exchange
from hemlockgrade import http_codec
from hemlockgrade import ledger as ledger_module
from hemlockgrade import limits
from hemlockgrade import model
from hemlockgrade import registrar as registrar_module
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# Kept from the time left, so that an answer at the deadline still arrives.
HOP_MARGIN_S = 0.005
# Oldest idle connection that carries a request which may run once only, and
# one that may be repeated, in seconds: a server closes idle ones by itself.
MAX_IDLE_ONCE_S = 1.0
MAX_IDLE_S = 4.0
# Answers of a server that failed to run the request well.
FIRST_SERVER_ERROR = 500


@attrs.frozen
class Evidence:
    """One answer of the local server.

    Attributes:
        service: Service of the server.
        version: Version of the server.
        route: Name of the route.
        ok: False if the request failed.
        latency_s: Time that the server needed, in seconds.
    """

    service: str
    version: str
    route: str
    ok: bool
    latency_s: float


@attrs.define(eq=False, kw_only=True)
class _Work:
    """A request that has a slot.

    Attributes:
        server: The server that runs it.
        route: Name of its route.
        attempt_id: Identifier of the attempt.
        deadline: Monotonic time at which nobody waits any longer.
        idempotent: True if it may run more than once.
        started: Monotonic time at which it got the slot.
        service_s: Time that the server worked, in seconds; None while that is
            not known.
    """

    server: model.Server
    route: str
    attempt_id: str
    deadline: float
    idempotent: bool
    started: float
    service_s: float | None = None


@attrs.define(eq=False, kw_only=True)
class Gate:
    """Admits requests to the server beside this daemon.

    Attributes:
        registrar: Knows the server.
        pool: Connections to the server.
        clock: Monotonic time in seconds.
        ledger: Attempts that went to the server.
        make_limiter: Makes a limiter for a number of slots.
        signed_answers: True if only answers with a signature are the server's.
        leaving: True once new requests of other daemons are refused.
        on_evidence: Called with each answer of the server.
    """

    registrar: registrar_module.Registrar
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    ledger: ledger_module.RequestLedger
    make_limiter: Callable[[int], limits.Limiter]
    signed_answers: bool = True
    leaving: bool = False
    on_evidence: Callable[[Evidence], None] | None = None
    _limiter: limits.Limiter | None = None
    _limiter_server: tuple[str, int, int] | None = None
    _running: dict[str, int] = attrs.field(factory=dict)

    @property
    def load(self) -> tuple[int, float]:
        """Requests at the server or waiting for it; mean service time in s."""
        if self._limiter is None:
            return 0, 0.0
        queued = self._limiter.in_use + self._limiter.queued
        return queued, self._limiter.service_s

    def rank_of(self, request_id: str) -> int | None:
        """Returns the rank of a request that the server works on."""
        return self._running.get(request_id)

    async def run(
        self,
        request: http_codec.Request,
        *,
        server_id: str,
        attempt_id: str,
        deadline: float,
        priority: int,
        idempotent: bool,
        route: str,
        on_time_until: float = math.inf,
    ) -> http_codec.Response:
        """Lets the server run a request.

        Args:
            request: The request, with the caller's headers only.
            server_id: The server that is to run it.
            attempt_id: Identifier of the attempt.
            deadline: Monotonic time at which nobody waits any longer.
            priority: Its rank; 0 is served first.
            idempotent: True if it may run more than once.
            route: Name of its route, for the evidence.
            on_time_until: Monotonic time until which its answer is on time.

        Returns:
            The server's answer, or one of `exchange.refused` and `unknown`.
        """
        server = self.registrar.ready_server
        if server is None or server.server_id != server_id:
            return exchange.refused(self._refusal(server_id))
        limiter = self._limiter_of(server)
        try:
            await limiter.acquire(
                deadline,
                attempt_id.rpartition('-')[0],
                priority=priority,
                on_time_until=on_time_until,
            )
        except exceptions.RequestNotRunError:
            late = deadline - self.clock() < limiter.service_s
            return exchange.refused(
                exchange.Refusal.LATE if late else exchange.Refusal.FULL
            )
        work = _Work(
            server=server,
            route=route,
            attempt_id=attempt_id,
            deadline=deadline,
            idempotent=idempotent,
            started=self.clock(),
        )
        request_id = http_codec.header(
            request.headers, platform_codec.REQUEST_ID
        )
        self._running[request_id or ''] = priority
        response: http_codec.Response | None = None
        try:
            response = await self._answer(request, work, request_id or '')
        finally:
            self._running.pop(request_id or '', None)
            if response is None or response.stream is None:
                limiter.release(work.service_s)
            else:
                # The slot is in use until the whole answer was passed on.
                response.stream.when_done(
                    lambda _: limiter.release(work.service_s)
                )
        return response

    async def _answer(
        self, request: http_codec.Request, work: '_Work', request_id: str
    ) -> http_codec.Response:
        """Sends a request that has a slot, and says how that ended."""
        try:
            response = await self._send(request, work, request_id)
        except exceptions.ConnectFailedError as error:
            logger.warning(
                'event=server_unreachable server={} problem={!r}',
                work.server.server_id,
                str(error),
            )
            return exchange.refused(exchange.Refusal.SERVER_DOWN)
        except exceptions.RequestNotRunError:
            return exchange.refused(exchange.Refusal.FENCED)
        except exceptions.DeadlineExceededError:
            work.service_s = self.clock() - work.started
            self._record(work, False)
            return exchange.unknown('timeout')
        except (
            exceptions.OutcomeUnknownError,
            exceptions.MalformedRequestError,
        ) as error:
            self._record(work, False)
            return exchange.unknown(str(error.args[0]))
        work.service_s = self.clock() - work.started
        return self._judge(work, response)

    def _refusal(self, server_id: str) -> exchange.Refusal:
        known = self.registrar.server
        if (
            known is not None
            and known.server_id == server_id
            and known.state is not model.ServerState.READY
        ):
            return exchange.Refusal.DRAINING
        return exchange.Refusal.OTHER_SERVER

    async def _send(
        self, request: http_codec.Request, work: '_Work', request_id: str
    ) -> http_codec.Response:
        left_ms = max(1, int((work.deadline - self.clock()) * 1000))
        replaced = (platform_codec.TIME_LEFT_MS, platform_codec.EXPECTED_SERVER)
        headers = [item for item in request.headers if item[0] not in replaced]
        headers.append((platform_codec.TIME_LEFT_MS, b'%d' % left_ms))
        headers.append(
            (platform_codec.EXPECTED_SERVER, work.server.server_id.encode())
        )
        once = not work.idempotent
        return await self.pool.send(
            work.server.address,
            request.with_headers(headers),
            work.deadline,
            max_idle_s=MAX_IDLE_ONCE_S if once else MAX_IDLE_S,
            before_write=(lambda: self._enter(work)) if once else None,
            request_id=request_id,
        )

    def _enter(self, work: '_Work'):
        """Notes an attempt before its first byte goes to the server."""
        now = self.clock()
        self.ledger.expire(now)
        self.ledger.admit(work.attempt_id, now)

    def fence(self, headers: http_codec.Headers) -> http_codec.Response:
        """Tells whether an attempt was run; if not, it never will be."""
        now = self.clock()
        self.ledger.expire(now)
        attempt_id = http_codec.header(headers, exchange.ATTEMPT) or ''
        boot_id = http_codec.header(headers, exchange.BOOT) or ''
        try:
            result = self.ledger.fence(attempt_id, boot_id, now)
        except exceptions.MalformedRequestError as error:
            return http_codec.Response(status=400, body=str(error).encode())
        return exchange.fenced(result)

    def _judge(
        self, work: '_Work', response: http_codec.Response
    ) -> http_codec.Response:
        """Tells answers of the server from refusals and wrong bytes."""
        if http_codec.header(response.headers, platform_codec.NOT_RUN):
            return exchange.refused(exchange.Refusal.SHED)
        if response.status == 421:
            return exchange.refused(exchange.Refusal.OTHER_SERVER)
        signed = http_codec.header(
            response.headers, platform_codec.SERVER_SIGNATURE
        )
        if self.signed_answers and (not signed or _is_encoded(response)):
            if response.stream is not None:
                response.stream.abort()
            self._record(work, False)
            return exchange.unknown(f'unsigned answer {response.status}')
        ok = response.status < FIRST_SERVER_ERROR
        if response.stream is None:
            self._record(work, ok)
        else:
            response.stream.when_done(
                lambda complete: self._record(work, ok and complete)
            )
        response.headers = http_codec.without_internal(response.headers)
        return response

    def _record(self, work: '_Work', ok: bool):
        if self.on_evidence is not None:
            self.on_evidence(
                Evidence(
                    work.server.service,
                    work.server.version,
                    work.route,
                    ok,
                    self.clock() - work.started,
                )
            )

    def _limiter_of(self, server: model.Server) -> limits.Limiter:
        """Returns the limiter of this incarnation of the server."""
        key = (server.server_id, server.born_ms, server.slots)
        if self._limiter is None or self._limiter_server != key:
            self._limiter = self.make_limiter(server.slots)
            self._limiter_server = key
        return self._limiter


def _is_encoded(response: http_codec.Response) -> bool:
    """Tells whether the body is not the server's: no caller asks for one."""
    return http_codec.header(response.headers, b'content-encoding') is not None


async def handle_peer(
    gate: Gate, request: http_codec.Request
) -> http_codec.Response:
    """Answers a request of another daemon for the local server."""
    if gate.leaving:
        return exchange.refused(exchange.Refusal.LEAVING)
    headers = request.headers
    left_s = exchange.time_left_s(headers)
    server_id = http_codec.header(headers, exchange.SERVER)
    if left_s is None or server_id is None:
        return exchange.refused(exchange.Refusal.OTHER_SERVER)
    priority = http_codec.header(headers, exchange.PRIORITY) or '0'
    on_time_s = exchange.on_time_s(headers)
    now = gate.clock()
    idempotent = http_codec.header(headers, exchange.IDEMPOTENT)
    return await gate.run(
        request.with_headers(http_codec.without_internal(headers)),
        server_id=server_id,
        attempt_id=http_codec.header(headers, exchange.ATTEMPT) or '',
        deadline=now + left_s - HOP_MARGIN_S,
        priority=int(priority) if priority.isdecimal() else 0,
        idempotent=idempotent is not None,
        route=http_codec.header(headers, exchange.ROUTE) or '',
        on_time_until=math.inf if on_time_s is None else now + on_time_s,
    )
