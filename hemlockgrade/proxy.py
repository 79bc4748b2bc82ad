"""Caller side of the request path: route, choose, send, retry, answer."""

import asyncio
from collections.abc import Callable
import uuid

import attrs
from loguru import logger

from hemlockgrade import admission as admission_module
from hemlockgrade import call as call_module
from hemlockgrade import directory as directory_module
from hemlockgrade import http_codec
from hemlockgrade import peer_protocol
from hemlockgrade import peers
from hemlockgrade import retries
from hemlockgrade import sender as sender_module
from hemlockgrade.platform import codec as platform_codec

# Longest wait of a caller that states none, in seconds.
DEFAULT_TIMEOUT_S = 30.0
# Part of the users' bound on repeated requests that is used.
RETRY_LIMIT_USED_FRACTION = 0.8
# The product's own header for the longest wait of a caller.
CALLER_TIMEOUT_HEADER = b'x-request-timeout-ms'
# Tells the caller of an answer of the daemon's own whether a server ran it.
OUTCOME_HEADER = b'x-hemlock-outcome'
OUTCOME_NOT_RUN = b'not-run'
OUTCOME_UNKNOWN = b'unknown'
# When a refused caller may come back, in seconds: about the time in which a
# queue at a server empties, and at most this part of the time it has left.
MAX_RETRY_AFTER_S = 0.1
RETRY_AFTER_TIME_LEFT_FRACTION = 0.3


@attrs.define(eq=False, kw_only=True)
class Proxy:
    """Sends each request of this host to a server and returns its answer.

    Attributes:
        local_service: Returns the service of the server on this host.
        directory: Knows routes and members.
        balancer: Chooses the server.
        admission: Admission to the server on this host.
        sender: Makes the attempts.
        clock: Monotonic time in seconds.
        retry_ratio: Repeated requests as a part of the first ones.
        retry_slack: Repeated requests beyond that, over all daemons.
        on_finished: Called with the labels and seconds of each request.
    """

    local_service: Callable[[], str]
    directory: directory_module.Directory
    balancer: peers.Balancer
    admission: admission_module.AdmissionController
    sender: sender_module.Sender
    clock: Callable[[], float]
    retry_ratio: float
    retry_slack: float
    on_finished: Callable[[dict[str, str], float], None]
    _budget_by_service: dict[str, retries.RetryBudget] = attrs.field(
        factory=dict
    )

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Answers a caller's request."""
        started = self.clock()
        request_id = (
            http_codec.header(request.headers, platform_codec.REQUEST_ID_HEADER)
            or ''
        )
        if not request_id:
            request_id = uuid.uuid4().hex[:16]
            request.headers.append(
                (platform_codec.REQUEST_ID_HEADER, request_id.encode())
            )
        if not self.directory.configured:
            self._log_unrouted(request_id, 503, 'no-configuration', started)
            return _refusal(MAX_RETRY_AFTER_S)
        host = http_codec.header(request.headers, b'host') or ''
        entry = self.directory.match(host, request.path)
        if entry is None:
            self._log_unrouted(request_id, 404, 'no-route', started)
            return http_codec.Response(
                status=404, headers=[(OUTCOME_HEADER, OUTCOME_NOT_RUN)]
            )
        call = self._new_call(request, request_id, entry, started)
        try:
            response = await self._attempt_until_done(call)
        except asyncio.CancelledError:
            self._log_call(call, 0, 'caller-gone')
            raise
        outcome = (
            call.last_result.reason
            if call.last_result is not None
            else 'no-server'
        )
        self._log_call(call, response.status, outcome)
        return response

    def _new_call(
        self,
        request: http_codec.Request,
        request_id: str,
        entry: directory_module.RouteEntry,
        started: float,
    ) -> call_module.Call:
        left_s = peer_protocol.time_left_s(request.headers)
        if left_s is None:
            left_s = peer_protocol.decode_duration_s(
                request.headers, CALLER_TIMEOUT_HEADER
            )
        if left_s is None:
            left_s = DEFAULT_TIMEOUT_S
        headers = [
            item
            for item in http_codec.without_internal_headers(request.headers)
            if item[0]
            not in (platform_codec.CALLER_SERVICE_HEADER, CALLER_TIMEOUT_HEADER)
        ]
        headers.append(
            (
                platform_codec.CALLER_SERVICE_HEADER,
                self.local_service().encode(),
            )
        )
        idempotent = entry.route.idempotent
        if idempotent is None:
            idempotent = retries.is_idempotent(request.method)
        return call_module.Call(
            request=request.with_headers(headers),
            request_id=request_id,
            route=entry.route,
            parent_priority=self.admission.running_priority(
                _parent_id(request_id)
            ),
            service=entry.next_service(),
            started=started,
            deadline=started + min(left_s, entry.route.timeout_s),
            idempotent=idempotent,
        )

    async def _attempt_until_done(
        self, call: call_module.Call
    ) -> http_codec.Response:
        budget = self._budget(call.service)
        budget.count_request()
        while True:
            peer = self._choose(call)
            if peer is None or call.deadline <= self.clock():
                return self._give_up(call)
            call.tried.append(peer.member.name)
            call.version = peer.member.required_server.version
            result = await self.sender.send(call, peer)
            call.record_result(result)
            if result.response is not None and not self._worth_repeating(
                call, result.response
            ):
                return result.response
            assert result.failure is not None
            decision = retries.decide(
                call.retry_state(), result.failure, budget, self.clock()
            )
            if decision is not retries.RetryDecision.RETRY_ELSEWHERE:
                return self._give_up(call)

    def _choose(self, call: call_module.Call) -> peers.Peer | None:
        peer = self.balancer.choose(
            call.service, call.tried, call.priority, call.route
        )
        if (
            peer is None
            and call.last_result is not None
            and call.last_result.connection_failed
        ):
            # A connection that broke says nothing about the server.
            return self.balancer.choose(
                call.service, (), call.priority, call.route
            )
        return peer

    def _worth_repeating(
        self, call: call_module.Call, answer: http_codec.Response
    ) -> bool:
        """Tells whether a server's answer is a failure to try again."""
        if answer.status < admission_module.MIN_SERVER_ERROR_STATUS:
            return False
        call.failed_response = answer
        return (
            call.idempotent
            and answer.stream is None
            and not self.balancer.fails_everywhere(call.service)
        )

    def _give_up(self, call: call_module.Call) -> http_codec.Response:
        """Makes the final answer of a request that no server answered."""
        if call.failed_response is not None:
            return call.failed_response
        left_s = call.deadline - self.clock()
        if not call.may_have_run:
            return _refusal(left_s)
        late = left_s < retries.MIN_TIME_LEFT_S or (
            call.last_result is not None
            and call.last_result.failure is retries.Failure.TIMEOUT
        )
        return http_codec.Response(
            status=504 if late else 502,
            headers=[(OUTCOME_HEADER, OUTCOME_UNKNOWN)],
        )

    def _budget(self, service: str) -> retries.RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = retries.RetryBudget()
            self._budget_by_service[service] = budget
        daemons = max(1, len(self.directory.member_by_name))
        budget.retries_per_request = (
            self.retry_ratio * RETRY_LIMIT_USED_FRACTION
        )
        budget.max_saved_retries = (
            self.retry_slack * RETRY_LIMIT_USED_FRACTION / daemons
        )
        return budget

    def _log_call(self, call: call_module.Call, status: int, outcome: str):
        self._count(call, status)
        now = self.clock()
        logger.info(
            'event=request_finished request={} route={} nested={} service={} '
            'status={} outcome={!r} tried={} sent={} refused={} took_ms={:.0f} '
            'left_ms={:.0f} configuration={} table={}',
            call.request_id,
            call.route.name,
            call.parent_priority is not None,
            call.service,
            status,
            outcome,
            ','.join(call.tried) or '-',
            call.sent_attempts,
            call.refusals,
            (now - call.started) * 1000,
            (call.deadline - now) * 1000,
            self.directory.configuration_version,
            self.directory.table_revision,
        )

    def _log_unrouted(
        self, request_id: str, status: int, outcome: str, started: float
    ):
        self.on_finished({'outcome': outcome}, self.clock() - started)
        logger.info(
            'event=request_finished request={} route=- status={} outcome={!r} '
            'configuration={}',
            request_id,
            status,
            outcome,
            self.directory.configuration_version,
        )

    def _count(self, call: call_module.Call, status: int):
        """Counts a request by labels of which there are few."""
        last = call.last_result
        if not status:
            outcome = 'caller-gone'
        elif last is None:
            outcome = 'no-server'
        elif last.response is not None:
            outcome = f'{status // 100}xx'
        elif last.refusal is not None:
            outcome = last.refusal.value
        else:
            outcome = last.failure.value if last.failure else 'unknown'
        labels = {
            'outcome': outcome,
            'selector': call.route.selector,
            'version': call.version,
        }
        self.on_finished(labels, self.clock() - call.started)


def _parent_id(request_id: str) -> str:
    """Returns the id of the request that a server's own call belongs to.

    A server names its calls by the id of the request that it runs, a dot and
    an id of their own.
    """
    return request_id.partition('.')[0]


def _refusal(left_s: float) -> http_codec.Response:
    """Makes the answer to a request that was not run."""
    wait_s = min(
        MAX_RETRY_AFTER_S, max(0.0, left_s) * RETRY_AFTER_TIME_LEFT_FRACTION
    )
    return http_codec.Response(
        status=503,
        headers=[
            (platform_codec.RETRY_AFTER_HEADER, b'%.3f' % wait_s),
            (OUTCOME_HEADER, OUTCOME_NOT_RUN),
        ],
    )
