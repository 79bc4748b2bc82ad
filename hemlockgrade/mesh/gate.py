"""Server side of the request path: admission to the server beside it."""

from collections.abc import Callable
import math

import attrs
from loguru import logger

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import upstream
from hemlockgrade.mesh import exchange
from hemlockgrade.mesh import model
from hemlockgrade.mesh import registrar as registrar_module
from hemlockgrade.platform import codec as platform_codec
from hemlockgrade.plugins import slot_limiter

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
class Gate:
    """Admits requests to the server beside this daemon.

    Attributes:
        registrar: Knows the server.
        pool: Connections to the server.
        clock: Monotonic time in seconds.
        leaving: True once new requests of other daemons are refused.
        on_evidence: Called with each answer of the server.
    """

    registrar: registrar_module.Registrar
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    leaving: bool = False
    on_evidence: Callable[[Evidence], None] | None = None
    _limiter: slot_limiter.SlotLimiter | None = None
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
            deadline: Monotonic time at which nobody waits any longer.
            priority: Its rank; 0 is served first.
            idempotent: True if it may run more than once.
            route: Name of its route, for the evidence.
            on_time_until: Monotonic time until which its answer is on time.

        Returns:
            The server's answer, or one of `exchange.refused` and `unknown`.
        """
        server = self.registrar.usable
        if server is None or server.server_id != server_id:
            return exchange.refused(self._refusal(server_id))
        limiter = self._limiter_of(server)
        try:
            await limiter.acquire(
                deadline, priority=priority, on_time_until=on_time_until
            )
        except exceptions.RequestNotRunError:
            late = deadline - self.clock() < limiter.service_s
            return exchange.refused(
                exchange.Refusal.LATE if late else exchange.Refusal.FULL
            )
        started = self.clock()
        service_s: float | None = None
        request_id = (
            http_codec.header(request.headers, platform_codec.REQUEST_ID) or ''
        )
        self._running[request_id] = priority
        try:
            response = await self._send(
                request, server, deadline, idempotent, request_id
            )
            service_s = self.clock() - started
        except exceptions.ConnectFailedError as error:
            logger.warning(
                'event=server_unreachable server={} problem={!r}',
                server.server_id,
                str(error),
            )
            return exchange.refused(exchange.Refusal.SERVER_DOWN)
        except exceptions.DeadlineExceededError:
            service_s = self.clock() - started
            self._record(server, route, False, service_s)
            return exchange.unknown('timeout')
        except (
            exceptions.OutcomeUnknownError,
            exceptions.MalformedRequestError,
        ) as error:
            self._record(server, route, False, self.clock() - started)
            return exchange.unknown(str(error))
        finally:
            limiter.release(service_s)
            self._running.pop(request_id, None)
        return self._judge(server, route, response, service_s)

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
        self,
        request: http_codec.Request,
        server: model.Server,
        deadline: float,
        idempotent: bool,
        request_id: str,
    ) -> http_codec.Response:
        left_ms = max(1, int((deadline - self.clock()) * 1000))
        headers = [
            item
            for item in request.headers
            if item[0]
            not in (platform_codec.TIME_LEFT, platform_codec.EXPECTED_SERVER)
        ]
        headers.append((platform_codec.TIME_LEFT, b'%d' % left_ms))
        headers.append(
            (platform_codec.EXPECTED_SERVER, server.server_id.encode())
        )
        return await self.pool.send(
            server.address,
            request.with_headers(headers),
            deadline,
            max_idle_s=MAX_IDLE_S if idempotent else MAX_IDLE_ONCE_S,
            request_id=request_id,
        )

    def _judge(
        self,
        server: model.Server,
        route: str,
        response: http_codec.Response,
        latency_s: float,
    ) -> http_codec.Response:
        """Tells answers of the server from refusals and wrong bytes."""
        if http_codec.header(response.headers, platform_codec.NOT_RUN):
            return exchange.refused(exchange.Refusal.SHED)
        if response.status == 421:
            return exchange.refused(exchange.Refusal.OTHER_SERVER)
        signed = http_codec.header(response.headers, platform_codec.SIGNATURE)
        if not signed or _is_encoded(response):
            if response.stream is not None:
                response.stream.abort()
            self._record(server, route, False, latency_s)
            return exchange.unknown(f'unsigned answer {response.status}')
        ok = response.status < FIRST_SERVER_ERROR
        self._record(server, route, ok, latency_s)
        return response

    def _record(
        self, server: model.Server, route: str, ok: bool, latency_s: float
    ):
        if self.on_evidence is not None:
            self.on_evidence(
                Evidence(server.service, server.version, route, ok, latency_s)
            )

    def _limiter_of(self, server: model.Server) -> slot_limiter.SlotLimiter:
        """Returns the limiter of this incarnation of the server."""
        key = (server.server_id, server.born_ms, server.slots)
        if self._limiter is None or self._limiter_server != key:
            self._limiter = slot_limiter.SlotLimiter(server.slots)
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
    left_s = exchange.time_left_s(request.headers)
    server_id = http_codec.header(request.headers, exchange.SERVER)
    if left_s is None or server_id is None:
        return exchange.refused(exchange.Refusal.OTHER_SERVER)
    priority = http_codec.header(request.headers, exchange.PRIORITY) or '0'
    on_time_s = exchange.on_time_s(request.headers)
    now = gate.clock()
    route = http_codec.header(request.headers, exchange.ROUTE) or ''
    idempotent = http_codec.header(request.headers, exchange.IDEMPOTENT)
    return await gate.run(
        request.with_headers(http_codec.without_internal(request.headers)),
        server_id=server_id,
        deadline=now + left_s - HOP_MARGIN_S,
        priority=int(priority) if priority.isdecimal() else 0,
        idempotent=idempotent is not None,
        route=route,
        on_time_until=math.inf if on_time_s is None else now + on_time_s,
    )
