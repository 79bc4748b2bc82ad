"""Server side of the request path: admission to the server beside it."""

from collections.abc import Callable
import math

import attrs
from loguru import logger

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import ledger as ledger_module
from hemlockgrade import limits
from hemlockgrade import model
from hemlockgrade import peer_protocol
from hemlockgrade import registrar as registrar_module
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# Kept from the time left, so that an answer at the deadline still arrives.
RESPONSE_MARGIN_S = 0.005
# Oldest idle connection that carries a request which may run once only, and
# one that may be repeated, in seconds: a server closes idle ones by itself.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
MAX_IDLE_IDEMPOTENT_S = 4.0
# Answers of a server that failed to run the request well.
MIN_SERVER_ERROR_STATUS = 500


@attrs.frozen
class ResponseRecord:
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
class AdmissionController:
    """Admits requests to the server beside this daemon.

    Attributes:
        registrar: Knows the server.
        pool: Connections to the server.
        clock: Monotonic time in seconds.
        ledger: Attempts that went to the server.
        create_limiter: Makes a limiter for a number of slots.
        requires_signature: True if a response without the signature of the
            server is not accepted as the response of the server.
        leaving: True once new requests of other daemons are refused.
        on_response: Called with each answer of the server.
    """

    registrar: registrar_module.Registrar
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    ledger: ledger_module.AttemptLedger
    create_limiter: Callable[[int], limits.Limiter]
    requires_signature: bool = True
    leaving: bool = False
    on_response: Callable[[ResponseRecord], None] | None = None
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

    def running_priority(self, request_id: str) -> int | None:
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
            The response of the server, or a response built by
            `peer_protocol.refusal_response` or by
            `peer_protocol.unknown_outcome_response`.
        """
        server = self.registrar.ready_server
        if server is None or server.server_id != server_id:
            return peer_protocol.refusal_response(self._refusal(server_id))
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
            return peer_protocol.refusal_response(
                peer_protocol.Refusal.LATE
                if late
                else peer_protocol.Refusal.FULL
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
            request.headers, platform_codec.REQUEST_ID_HEADER
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
            return peer_protocol.refusal_response(
                peer_protocol.Refusal.SERVER_DOWN
            )
        except exceptions.RequestNotRunError:
            return peer_protocol.refusal_response(peer_protocol.Refusal.FENCED)
        except exceptions.DeadlineExceededError:
            work.service_s = self.clock() - work.started
            self._record(work, False)
            return peer_protocol.unknown_outcome_response('timeout')
        except (
            exceptions.OutcomeUnknownError,
            exceptions.MalformedRequestError,
        ) as error:
            self._record(work, False)
            return peer_protocol.unknown_outcome_response(str(error.args[0]))
        work.service_s = self.clock() - work.started
        return self._judge(work, response)

    def _refusal(self, server_id: str) -> peer_protocol.Refusal:
        known = self.registrar.server
        if (
            known is not None
            and known.server_id == server_id
            and known.state is not model.ServerState.READY
        ):
            return peer_protocol.Refusal.DRAINING
        return peer_protocol.Refusal.OTHER_SERVER

    async def _send(
        self, request: http_codec.Request, work: '_Work', request_id: str
    ) -> http_codec.Response:
        left_ms = max(1, int((work.deadline - self.clock()) * 1000))
        replaced = (
            platform_codec.TIME_LEFT_MS_HEADER,
            platform_codec.EXPECTED_SERVER_HEADER,
        )
        headers = [item for item in request.headers if item[0] not in replaced]
        headers.append((platform_codec.TIME_LEFT_MS_HEADER, b'%d' % left_ms))
        headers.append(
            (
                platform_codec.EXPECTED_SERVER_HEADER,
                work.server.server_id.encode(),
            )
        )
        once = not work.idempotent
        return await self.pool.send(
            work.server.address,
            request.with_headers(headers),
            work.deadline,
            max_idle_s=MAX_IDLE_NON_IDEMPOTENT_S
            if once
            else MAX_IDLE_IDEMPOTENT_S,
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
        attempt_id = (
            http_codec.header(headers, peer_protocol.ATTEMPT_HEADER) or ''
        )
        boot_id = http_codec.header(headers, peer_protocol.BOOT_ID_HEADER) or ''
        try:
            result = self.ledger.fence(attempt_id, boot_id, now)
        except exceptions.MalformedRequestError as error:
            return http_codec.Response(status=400, body=str(error).encode())
        return peer_protocol.fence_response(result)

    def _judge(
        self, work: '_Work', response: http_codec.Response
    ) -> http_codec.Response:
        """Tells answers of the server from refusals and wrong bytes."""
        if http_codec.header(response.headers, platform_codec.NOT_RUN_HEADER):
            return peer_protocol.refusal_response(peer_protocol.Refusal.SHED)
        if response.status == 421:
            return peer_protocol.refusal_response(
                peer_protocol.Refusal.OTHER_SERVER
            )
        signed = http_codec.header(
            response.headers, platform_codec.SERVER_SIGNATURE_HEADER
        )
        if self.requires_signature and (not signed or _is_encoded(response)):
            if response.stream is not None:
                response.stream.abort()
            self._record(work, False)
            return peer_protocol.unknown_outcome_response(
                f'unsigned answer {response.status}'
            )
        ok = response.status < MIN_SERVER_ERROR_STATUS
        if response.stream is None:
            self._record(work, ok)
        else:
            response.stream.when_done(
                lambda complete: self._record(work, ok and complete)
            )
        response.headers = http_codec.without_internal_headers(response.headers)
        return response

    def _record(self, work: '_Work', ok: bool):
        if self.on_response is not None:
            self.on_response(
                ResponseRecord(
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
            self._limiter = self.create_limiter(server.slots)
            self._limiter_server = key
        return self._limiter


def _is_encoded(response: http_codec.Response) -> bool:
    """Tells whether the body is not the server's: no caller asks for one."""
    return http_codec.header(response.headers, b'content-encoding') is not None


async def handle_peer_request(
    admission: AdmissionController, request: http_codec.Request
) -> http_codec.Response:
    """Answers a request of another daemon for the local server."""
    if admission.leaving:
        return peer_protocol.refusal_response(peer_protocol.Refusal.LEAVING)
    headers = request.headers
    left_s = peer_protocol.time_left_s(headers)
    server_id = http_codec.header(headers, peer_protocol.SERVER_HEADER)
    if left_s is None or server_id is None:
        return peer_protocol.refusal_response(
            peer_protocol.Refusal.OTHER_SERVER
        )
    priority = http_codec.header(headers, peer_protocol.PRIORITY_HEADER) or '0'
    on_time_s = peer_protocol.on_time_s(headers)
    now = admission.clock()
    idempotent = http_codec.header(headers, peer_protocol.IDEMPOTENT_HEADER)
    return await admission.run(
        request.with_headers(http_codec.without_internal_headers(headers)),
        server_id=server_id,
        attempt_id=http_codec.header(headers, peer_protocol.ATTEMPT_HEADER)
        or '',
        deadline=now + left_s - RESPONSE_MARGIN_S,
        priority=int(priority) if priority.isdecimal() else 0,
        idempotent=idempotent is not None,
        route=http_codec.header(headers, peer_protocol.ROUTE_HEADER) or '',
        on_time_until=math.inf if on_time_s is None else now + on_time_s,
    )
