"""Server side of the request path: admission to the local server."""

import asyncio
from collections.abc import Callable
import math

import attrs
from loguru import logger

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import ledger as ledger_module
from hemlockgrade import limits
from hemlockgrade import link_load as link_load_module
from hemlockgrade import model
from hemlockgrade import peer_protocol
from hemlockgrade import registrar as registrar_module
from hemlockgrade import running_requests
from hemlockgrade import server_limit
from hemlockgrade import shutdown as shutdown_module
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# Subtracted from the time left that a peer states, so that a response sent at
# the deadline still reaches the peer in time.
RESPONSE_MARGIN_S = 0.005
# Longest idle time of a connection to the local server that is reused for a
# request that is not idempotent, and for one that is. A server closes idle
# connections by itself; a request sent at that moment has an unknown outcome.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
MAX_IDLE_IDEMPOTENT_S = 4.0
# Lowest status of a response by which a server reports its own failure.
MIN_SERVER_ERROR_STATUS = 500


@attrs.frozen
class ResponseRecord:
    """The result of one request at the local server.

    Attributes:
        service: Service of the server.
        version: Version of the server.
        route: Name of the route of the request.
        ok: False if the request failed or its response is missing.
        latency_s: Time from the grant of the slot to the end of the response
            or to the failure, in seconds.
    """

    service: str
    version: str
    route: str
    ok: bool
    latency_s: float


@attrs.frozen
class _Slot:
    """A slot in use.

    Attributes:
        server: The local server.
        limiter: Limiter to which the slot is released.
    """

    server: model.Server
    limiter: limits.Limiter


@attrs.define(eq=False, kw_only=True)
class _AdmittedRequest:
    """A request that has a slot of the local server.

    Attributes:
        server: The local server.
        route: Name of the route of the request.
        attempt_id: Identifier of the attempt.
        deadline: Monotonic time until which the caller waits for the response.
        idempotent: True if the request may run more than once.
        started: Monotonic time at which the request got its slot.
        may_have_run: True once the request is written to the server.
        service_s: Time that the server needed for the request, in seconds;
            None if the time has not been measured.
    """

    server: model.Server
    route: str
    attempt_id: str
    deadline: float
    idempotent: bool
    started: float
    may_have_run: bool = False
    service_s: float | None = None


@attrs.define(eq=False, kw_only=True)
class AdmissionController:
    """Admits requests to the local server, or refuses them.

    Attributes:
        registrar: Holds the state of the local server.
        pool: Connections to the local server.
        clock: Returns the monotonic time in seconds.
        ledger: Records the attempts of requests that are not idempotent, and
            the fenced attempts.
        shutdown: Schedule of the shutdown of this process.
        create_limiter: Creates a limiter for a number of slots.
        requires_signature: True if a response without the signature of the
            server is not accepted as the response of the server.
        leaving: True once new requests of other daemons are refused.
        on_response: Called with the result of each request that may have run
            at the local server.
        running: Requests that the local server runs.
        limit: Limit on the requests to the local server.
        warmup_rate: Returns the requests a second that a cold server of a
            service takes; `math.inf` if the configuration names no such rate.
        is_evacuated: Returns whether the failure domain of this host is
            evacuated, so that its server gets no requests.
        link_load: Load of the link over which responses go to other daemons.
    """

    registrar: registrar_module.Registrar
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    ledger: ledger_module.AttemptLedger
    shutdown: shutdown_module.Shutdown
    create_limiter: Callable[[int], limits.Limiter]
    requires_signature: bool = True
    leaving: bool = False
    on_response: Callable[[ResponseRecord], None] | None = None
    running: running_requests.RunningRequests = attrs.field(
        factory=running_requests.RunningRequests
    )
    limit: server_limit.ServerLimit = attrs.field(
        factory=server_limit.ServerLimit
    )
    link_load: link_load_module.LinkLoad = attrs.field(
        factory=link_load_module.LinkLoad
    )
    warmup_rate: Callable[[str], float] = lambda service: math.inf
    is_evacuated: Callable[[], bool] = lambda: False
    _limiter: limits.Limiter | None = None
    _limiter_key: tuple[str, int, int] | None = None

    def __attrs_post_init__(self):
        self.registrar.on_change.append(self._refuse_waiting_if_left)

    @property
    def load(self) -> tuple[int, float]:
        """Returns the load of the local server.

        Returns:
            Number of requests that run at the server or wait for a slot, and
            its mean service time in seconds; both are 0 before the first
            request.
        """
        if self._limiter is None:
            return 0, 0.0
        requests = self._limiter.in_use + self._limiter.queued
        return requests, self._limiter.service_s

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
        is_repeat: bool = False,
        is_nested: bool = False,
        max_wait_s: float = math.inf,
        uses_link: bool = False,
    ) -> http_codec.Response:
        """Sends a request to the local server as soon as a slot is free.

        Args:
            request: The request, without the headers of the peer protocol.
            server_id: Identifier of the server that the sender chose.
            attempt_id: Identifier of the attempt.
            deadline: Monotonic time until which the caller waits for the
                response.
            priority: Priority of the request; 0 is the most urgent.
            idempotent: True if the request may run more than once.
            route: Name of the route, for the response statistics.
            on_time_until: Monotonic time until which the response is within
                the target latency of the route.
            is_repeat: True if an earlier attempt of the request, or of a
                request for which it was sent, may have reached a server.
            is_nested: True if a server sent the request while it runs another
                one.
            max_wait_s: Longest expected wait for a slot that the sender
                accepts, in seconds.
            uses_link: True if the response leaves this host.

        Returns:
            The response of the server, or a response built by
            `peer_protocol.refusal_response` or by
            `peer_protocol.unknown_outcome_response`.
        """
        send_s = self.link_load.send_s(route) if uses_link else 0.0
        link_wait_s = self.link_load.wait_s(self.clock()) if send_s else 0.0
        send_s += link_wait_s
        slot_request = limits.SlotRequest(
            # The server has to be done before the body needs the link.
            deadline=deadline - send_s,
            # The prefix of the attempt's identifier names the process of the
            # sending daemon. A full queue is divided among these processes.
            caller=attempt_id.rpartition('-')[0],
            priority=priority,
            on_time_until=on_time_until - send_s,
            route=route,
            is_nested=is_nested,
            max_wait_s=max_wait_s,
        )
        slot = await self._acquire_slot(
            server_id, slot_request, deadline, link_wait_s
        )
        if isinstance(slot, http_codec.Response):
            return slot
        limiter = slot.limiter
        admitted = _AdmittedRequest(
            server=slot.server,
            route=route,
            attempt_id=attempt_id,
            deadline=deadline,
            idempotent=idempotent,
            started=self.clock(),
        )
        self.limit.spend(admitted.started)
        expected_bytes = self.link_load.start_run(route) if uses_link else 0.0
        request_id = (
            http_codec.header(request.headers, platform_codec.REQUEST_ID_HEADER)
            or ''
        )
        running = running_requests.RunningRequest(
            priority=priority, is_repeat=is_repeat, ends_by=deadline
        )
        self.running.add(request_id, running)
        response: http_codec.Response | None = None
        try:
            response = await self._run_admitted(request, admitted, request_id)
        finally:
            self.link_load.end_run(expected_bytes)
            if response is None or peer_protocol.is_unknown_outcome(response):
                self.running.abandon(running, self.clock())
            else:
                self.running.remove(request_id, running)
            if response is None or response.stream is None:
                limiter.release(admitted.service_s, route)
            else:
                # The slot stays in use until the whole body has been passed
                # on.
                response.stream.when_done(
                    lambda _: limiter.release(admitted.service_s, route)
                )
        if (
            running.lacked_capacity
            and response.status >= MIN_SERVER_ERROR_STATUS
        ):
            response.headers.append((peer_protocol.NESTED_REFUSED_HEADER, b'1'))
        return response

    async def _acquire_slot(
        self,
        server_id: str,
        slot_request: limits.SlotRequest,
        deadline: float,
        link_wait_s: float,
    ) -> '_Slot | http_codec.Response':
        """Waits for a slot of the server that the sender chose.

        The state of the server is looked at before and after the wait.

        Args:
            server_id: Identifier of the server.
            slot_request: The request for a slot.
            deadline: Monotonic time until which the caller waits for the
                response.
            link_wait_s: Time that the body of the response would wait for the
                link, in seconds.

        Returns:
            The slot, or a response that says why the request was refused.
        """
        while True:
            server = self._ready_server
            if server is None or server.server_id != server_id:
                return peer_protocol.refusal_response(
                    self._refusal_reason(server_id)
                )
            if link_wait_s > slot_request.max_wait_s:
                return peer_protocol.refusal_response(
                    peer_protocol.Refusal.BUSY
                )
            limiter = self._limiter_of(server)
            refusal = await self._wait_for_slot(limiter, slot_request, deadline)
            if self._is_limiter_of_ready_server(limiter):
                return refusal or _Slot(server, limiter)
            # The server left or restarted during the wait, so that its new
            # state decides.
            if refusal is None:
                limiter.release(None)

    async def _wait_for_slot(
        self,
        limiter: limits.Limiter,
        slot_request: limits.SlotRequest,
        deadline: float,
    ) -> http_codec.Response | None:
        """Waits for a slot of the local server.

        Args:
            limiter: Limiter of the server.
            slot_request: The request for a slot.
            deadline: Monotonic time until which the caller waits for the
                response.

        Returns:
            None if the request has got a slot, or else a response that says
            why it was refused.
        """
        priority = slot_request.priority
        self._update_warmup()
        if not self.limit.admits(priority, limiter.queued, self.clock()):
            return self._limit_refusal(priority, limiter.queued)
        try:
            await limiter.acquire(slot_request)
        except exceptions.ServerBusyError:
            return peer_protocol.refusal_response(peer_protocol.Refusal.BUSY)
        except exceptions.RequestNotRunError:
            late = deadline - self.clock() < limiter.service_s
            return peer_protocol.refusal_response(
                peer_protocol.Refusal.LATE
                if late
                else peer_protocol.Refusal.FULL
            )
        # The server may have lowered its limit or become cold during the wait.
        self._update_warmup()
        if not self.limit.admits(0, 0, self.clock()):
            limiter.release(None)
            return self._limit_refusal(priority, 0)
        return None

    def _update_warmup(self):
        """Applies what is known of the server's warm-up to its limit."""
        server = self.registrar.server
        if server is not None:
            self.limit.update_warmup(
                self.warmup_rate(server.service),
                self.registrar.cold_until,
                self.clock(),
            )

    def _limit_refusal(
        self, priority: int, waiting: int
    ) -> http_codec.Response:
        turn_s = self.limit.next_turn_s(priority, waiting, self.clock())
        return peer_protocol.limit_refusal_response(turn_s)

    def _refuse_waiting_if_left(self):
        """Refuses the requests that wait for a server that has left.

        Their senders send them to other servers at once. Those that wait when
        their server restarts under its identifier wait for the new process.
        """
        limiter = self._limiter
        ready = self.registrar.ready_server
        if limiter is None or (
            ready is not None and self._limiter_key == _limiter_key_of(ready)
        ):
            return
        self._log_waiting_refused(limiter)
        limiter.drain()

    def _log_waiting_refused(self, limiter: limits.Limiter):
        if limiter.queued:
            logger.info(
                'event=waiting_requests_refused requests={} in_use={}',
                limiter.queued,
                limiter.in_use,
            )

    def apply_evacuation(self, *, ended: bool) -> None:
        """Applies the start or the end of an evacuation of this host.

        Args:
            ended: True if the server takes requests again. It may have become
                cold meanwhile.
        """
        if ended:
            self.registrar.suspect_cold()
        elif self._limiter is not None:
            self._log_waiting_refused(self._limiter)
            self._limiter.refuse_queued()

    @property
    def _ready_server(self) -> model.Server | None:
        """Returns the local server if it takes requests."""
        return None if self.is_evacuated() else self.registrar.ready_server

    def _is_limiter_of_ready_server(self, limiter: limits.Limiter) -> bool:
        """Returns whether a limiter admits to the server that is ready now."""
        ready = self._ready_server
        return (
            ready is not None
            and limiter is self._limiter
            and self._limiter_key == _limiter_key_of(ready)
        )

    def _is_ready(self, server: model.Server) -> bool:
        """Returns whether the local server is this incarnation and ready."""
        ready = self._ready_server
        return (
            ready is not None
            and ready.server_id == server.server_id
            and ready.born_ms == server.born_ms
        )

    async def _run_admitted(
        self,
        request: http_codec.Request,
        admitted: '_AdmittedRequest',
        request_id: str,
    ) -> http_codec.Response:
        """Sends a request that has a slot to the server.

        Returns:
            The response of the server, or a response that says why the
            request was refused or has an unknown outcome.
        """
        try:
            response = await self._send(request, admitted, request_id)
        except exceptions.ConnectFailedError as error:
            logger.warning(
                'event=server_unreachable server={} problem={!r}',
                admitted.server.server_id,
                str(error),
            )
            # Nothing says yet that the server does not restart now, cold.
            self.registrar.suspect_cold()
            return peer_protocol.refusal_response(
                peer_protocol.Refusal.SERVER_DOWN
            )
        except exceptions.RequestNotRunError:
            # Raised before the first byte was written: the server has left, or
            # the attempt was fenced.
            return peer_protocol.refusal_response(
                peer_protocol.Refusal.FENCED
                if self._is_ready(admitted.server)
                else self._refusal_reason(admitted.server.server_id)
            )
        except exceptions.DeadlineExceededError:
            self._report_timeout(admitted)
            return peer_protocol.unknown_outcome_response('timeout')
        except asyncio.CancelledError:
            # The daemon of the caller leaves at the deadline. A busy event loop
            # processes that before the deadline of this attempt.
            if admitted.may_have_run and self.clock() >= admitted.deadline:
                self._report_timeout(admitted)
            raise
        except (
            exceptions.OutcomeUnknownError,
            exceptions.MalformedRequestError,
        ) as error:
            self._report_result(admitted, False)
            return peer_protocol.unknown_outcome_response(str(error.args[0]))
        admitted.service_s = self.clock() - admitted.started
        return self._classify_response(admitted, response)

    def _refusal_reason(self, server_id: str) -> peer_protocol.Refusal:
        if self.is_evacuated():
            return peer_protocol.Refusal.EVACUATED
        known = self.registrar.server
        if (
            known is not None
            and known.server_id == server_id
            and known.state is not model.ServerState.READY
        ):
            return peer_protocol.Refusal.DRAINING
        return peer_protocol.Refusal.OTHER_SERVER

    async def _send(
        self,
        request: http_codec.Request,
        admitted: '_AdmittedRequest',
        request_id: str,
    ) -> http_codec.Response:
        replaced = (
            platform_codec.TIME_LEFT_MS_HEADER,
            platform_codec.EXPECTED_SERVER_HEADER,
        )
        headers = [item for item in request.headers if item[0] not in replaced]
        headers.append(
            (
                platform_codec.EXPECTED_SERVER_HEADER,
                admitted.server.server_id.encode(),
            )
        )
        run_once = not admitted.idempotent
        return await self.pool.send(
            admitted.server.address,
            request.with_headers(headers),
            admitted.deadline,
            max_idle_s=MAX_IDLE_NON_IDEMPOTENT_S
            if run_once
            else MAX_IDLE_IDEMPOTENT_S,
            before_write=lambda: self._check_before_write(admitted),
            request_id=request_id,
            time_by_header={
                platform_codec.TIME_LEFT_MS_HEADER: admitted.deadline
            },
        )

    def _check_before_write(self, admitted: '_AdmittedRequest'):
        """Checks and records an attempt before its first byte is sent.

        The server may have left while the connection to it was opened.

        Raises:
            exceptions.RequestNotRunError: The server has left, or the attempt
                was fenced.
        """
        if not self._is_ready(admitted.server):
            raise limits.refusal_error('the server has left')
        if not admitted.idempotent:
            now = self.clock()
            self.ledger.expire(now)
            self.ledger.admit(admitted.attempt_id, now)
        admitted.may_have_run = True

    def fence(self, headers: http_codec.Headers) -> http_codec.Response:
        """Fences an attempt and returns whether it was admitted before.

        Args:
            headers: Headers of the fence request; they contain the identifier
                of the attempt and the boot identifier of the daemon to which
                the attempt was sent.

        Returns:
            A response with the result as its body, or with status 400 if the
            identifier of the attempt is malformed. An attempt whose result is
            "never seen" is refused if it arrives later.
        """
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

    def _classify_response(
        self, admitted: '_AdmittedRequest', response: http_codec.Response
    ) -> http_codec.Response:
        """Classifies a response received from the address of the server.

        Returns:
            The response of the server without internal headers, or a response
            that says why the request was refused or has an unknown outcome.
        """
        if http_codec.header(response.headers, platform_codec.NOT_RUN_HEADER):
            if response.status != 421:
                self.apply_notice(admitted.server, response.headers)
            _abort_stream(response)
            return peer_protocol.refusal_response(peer_protocol.Refusal.SHED)
        if response.status == 421:
            # Misdirected Request (RFC 9110, section 15.5.20): the server is not
            # the one named in `EXPECTED_SERVER_HEADER`.
            _abort_stream(response)
            return peer_protocol.refusal_response(
                peer_protocol.Refusal.MISDIRECTED
            )
        signature = http_codec.header(
            response.headers, platform_codec.SERVER_SIGNATURE_HEADER
        )
        if self.requires_signature and (not signature or _is_encoded(response)):
            _abort_stream(response)
            self._report_result(admitted, False)
            return peer_protocol.unknown_outcome_response(
                f'unsigned answer {response.status}'
            )
        self.apply_notice(admitted.server, response.headers)
        ok = response.status < MIN_SERVER_ERROR_STATUS
        if ok:
            self.link_load.sizes.record(admitted.route, response.body_bytes)
        if response.stream is None:
            self._report_result(admitted, ok)
        else:
            response.stream.when_done(
                lambda complete: self._report_result(admitted, ok and complete)
            )
        response.headers = http_codec.without_internal_headers(response.headers)
        return response

    def apply_notice(
        self, server: model.Server, headers: http_codec.Headers
    ) -> None:
        """Applies what a server says of itself in a response.

        Args:
            server: The server that sent the response; ignored if it is no
                longer the local one.
            headers: Headers of the response.
        """
        known = self.registrar.server
        if known is None or _limiter_key_of(known) != _limiter_key_of(server):
            return
        self._limiter_of(known)
        notice = platform_codec.decode_server_notice(headers)
        self.limit.is_known = True
        if notice.max_requests_per_s is not None:
            self._update_limit(server, notice.max_requests_per_s)
        if notice.leaving:
            self.registrar.start_draining(server)

    def adopt_limit(self, max_requests_per_s: float) -> None:
        """Applies a limit that another daemon knows of.

        A restarted daemon has not received a response of its server yet. It
        ignores the limit as soon as it has.

        Args:
            max_requests_per_s: Requests a second that the server takes.
        """
        server = self.registrar.ready_server
        if server is None or self.limit.is_known:
            return
        self._limiter_of(server)
        self._update_limit(server, max_requests_per_s)

    def _update_limit(self, server: model.Server, max_requests_per_s: float):
        before = self.limit.named_per_s
        if max_requests_per_s == before:
            return
        self.limit.update(max_requests_per_s, self.clock())
        logger.info(
            'event=server_limit_changed server={} limit={} before={}',
            server.server_id,
            max_requests_per_s,
            before,
        )

    def _report_timeout(self, admitted: '_AdmittedRequest'):
        admitted.service_s = self.clock() - admitted.started
        self._report_result(admitted, False)

    def _report_result(self, admitted: '_AdmittedRequest', ok: bool):
        if self.on_response is not None:
            self.on_response(
                ResponseRecord(
                    admitted.server.service,
                    admitted.server.version,
                    admitted.route,
                    ok,
                    self.clock() - admitted.started,
                )
            )

    def _limiter_of(self, server: model.Server) -> limits.Limiter:
        """Returns the limiter of an incarnation of the local server.

        A restarted server or another number of slots gets a new limiter.
        """
        key = _limiter_key_of(server)
        if self._limiter is None or self._limiter_key != key:
            self._limiter = self.create_limiter(server.slots)
            self._limiter_key = key
            self.limit = server_limit.ServerLimit()
        return self._limiter


def _limiter_key_of(server: model.Server) -> tuple[str, int, int]:
    """Returns incarnation and slots, which a limiter is made for."""
    return server.server_id, server.born_ms, server.slots


def _abort_stream(response: http_codec.Response):
    """Closes the connection of a response whose body is not passed on."""
    if response.stream is not None:
        response.stream.abort()


def _is_encoded(response: http_codec.Response) -> bool:
    """Returns whether the body of a response has a content encoding.

    Such a response was not sent by the server, because no caller asks for an
    encoded body.
    """
    return http_codec.header(response.headers, b'content-encoding') is not None


async def handle_peer_request(
    admission: AdmissionController, request: http_codec.Request
) -> http_codec.Response:
    """Handles a request that another daemon sent for the local server.

    Args:
        admission: Admission to the local server.
        request: The request, with the headers of the peer protocol.

    Returns:
        The response of the server, or a response that says why the request
        was refused or has an unknown outcome.
    """
    if admission.leaving:
        return peer_protocol.refusal_response(peer_protocol.Refusal.LEAVING)
    headers = request.headers
    left_s = peer_protocol.decode_time_left_s(headers)
    server_id = peer_protocol.decode_name(headers, peer_protocol.SERVER_HEADER)
    if left_s is None or server_id is None:
        return peer_protocol.refusal_response(
            peer_protocol.Refusal.OTHER_SERVER
        )
    limit = peer_protocol.decode_limit(headers)
    if math.isfinite(limit):
        admission.adopt_limit(limit)
    now = admission.clock()
    deadline = now + left_s - RESPONSE_MARGIN_S
    # The peer sends a refused request to another server at once.
    if not admission.shutdown.completes(deadline):
        return peer_protocol.refusal_response(peer_protocol.Refusal.STOPPING)
    priority = http_codec.header(headers, peer_protocol.PRIORITY_HEADER) or '0'
    on_time_s = peer_protocol.decode_on_time_s(headers)
    max_wait_s = peer_protocol.decode_max_wait_s(headers)
    idempotent = http_codec.header(headers, peer_protocol.IDEMPOTENT_HEADER)
    return await admission.run(
        request.with_headers(http_codec.without_internal_headers(headers)),
        server_id=server_id,
        attempt_id=http_codec.header(headers, peer_protocol.ATTEMPT_HEADER)
        or '',
        deadline=deadline,
        priority=int(priority) if priority.isdecimal() else 0,
        idempotent=idempotent is not None,
        route=peer_protocol.decode_name(headers, peer_protocol.ROUTE_HEADER)
        or '',
        on_time_until=math.inf if on_time_s is None else now + on_time_s,
        is_repeat=http_codec.header(headers, peer_protocol.REPEAT_HEADER)
        is not None,
        is_nested=http_codec.header(headers, peer_protocol.NESTED_HEADER)
        is not None,
        max_wait_s=math.inf if max_wait_s is None else max_wait_s,
        uses_link=True,
    )
