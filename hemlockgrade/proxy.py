"""Caller side of the request path.

For each request of a caller the proxy finds the route, chooses a server, sends
the request, retries failed attempts and returns the response.
"""

import asyncio
from collections.abc import Callable
import math
import uuid

import attrs
from loguru import logger

from hemlockgrade import access
from hemlockgrade import admission as admission_module
from hemlockgrade import call as call_module
from hemlockgrade import directory as directory_module
from hemlockgrade import freshness
from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade import peer_protocol
from hemlockgrade import peers
from hemlockgrade import refusals
from hemlockgrade import retries
from hemlockgrade import running_requests
from hemlockgrade import sender as sender_module
from hemlockgrade import shutdown as shutdown_module
from hemlockgrade import usage_cap
from hemlockgrade import usage_caps
from hemlockgrade.platform import codec as platform_codec

# Retries use this fraction of the limits `retry_ratio` and `retry_slack`. The
# rest of the slack is for requests that are sent by a repeat.
RETRY_LIMIT_USED_FRACTION = 0.8
# Expected time from the end of a stopped process until its successor serves
# callers, in seconds. The platform starts it after a short delay.
RESTART_S = 1.5


@attrs.define(eq=False, kw_only=True)
class Proxy:
    """Sends each request of this host to a server and returns the response.

    Attributes:
        local_service: Returns the name of the service of the local server.
        directory: Holds the routes and the members.
        balancer: Chooses the server for each attempt.
        admission: Admission to the local server.
        sender: Sends the attempts.
        clock: Returns the monotonic time in seconds.
        shutdown: Decides which requests are accepted during a shutdown.
        retry_ratio: Largest allowed number of retries of a service, as a
            fraction of its first attempts.
        retry_slack: Number of retries of a service that are allowed beyond
            this fraction, over all daemons.
        on_finished: Called when a request has ended, with its metric labels
            and its duration in seconds.
        configuration_age_s: Returns the time since the configuration in force
            was confirmed to be the newest one, in seconds.
        caps: The usage caps of organisations.
        own_ip: IP address of this host.
        revocation_limit_s: Longest time from the withdrawal of a key to the
            last request with it, in seconds; `math.inf` if there is no limit.
        on_repeat: Called when an attempt that counts as a retry has reached a
            server, with its metric labels.
    """

    local_service: Callable[[], str]
    directory: directory_module.Directory
    balancer: peers.Balancer
    admission: admission_module.AdmissionController
    sender: sender_module.Sender
    clock: Callable[[], float]
    shutdown: shutdown_module.Shutdown
    retry_ratio: float
    retry_slack: float
    on_finished: Callable[[dict[str, str], float], None]
    configuration_age_s: Callable[[], float]
    caps: usage_caps.UsageCaps = attrs.field(factory=usage_caps.UsageCaps)
    own_ip: str = ''
    revocation_limit_s: float = math.inf
    on_repeat: Callable[[dict[str, str]], None] = lambda labels: None
    _budget_by_service: dict[str, retries.RetryBudget] = attrs.field(
        factory=dict
    )

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Handles a request of a caller and returns the response."""
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
            return refusals.refusal_response(
                refusals.retry_after_s(refusals.stated_time_left_s(request))
            )
        host = http_codec.header(request.headers, b'host') or ''
        entry = self.directory.match(host, request.path)
        if entry is None:
            return self._refuse_unrouted(request, request_id, started)
        parent = self._find_parent(request, request_id)
        decision = self._decide_access(request, entry.route, parent)
        if decision.verdict is not access.Verdict.SERVED:
            return self._refuse_unknown(
                request, request_id, decision.verdict, started
            )
        call = self._build_call(
            request,
            request_id,
            entry,
            started=started,
            parent=parent,
            organisation=decision.organisation,
        )
        if not self.shutdown.accepts(call.deadline, started):
            return self._refuse_while_stopping(call)
        return await self._run(call)

    async def _run(self, call: call_module.Call) -> http_codec.Response:
        """Runs a request unless it is beyond the cap of its organisation."""
        cap = self._cap_of(call.organisation)
        wait_s = 0.0 if cap is None else cap.admit(call.started)
        if wait_s > 0:
            return self._refuse_beyond_cap(call, wait_s)
        try:
            response = await self._send_with_retries(call)
        except asyncio.CancelledError:
            self._log_finished(call, 0, 'caller-gone')
            raise
        if cap is not None and not call.may_have_run:
            cap.give_back()
        if (
            call.parent is not None
            and call.last_result is not None
            and call.last_result.lacks_capacity
        ):
            call.parent.lacked_capacity = True
        outcome = (
            call.last_result.reason
            if call.last_result is not None
            else 'no-server'
        )
        self._log_finished(call, response.status, outcome)
        return response

    def _refuse_unrouted(
        self, request: http_codec.Request, request_id: str, started: float
    ) -> http_codec.Response:
        """Refuses a request that no route of the configuration matches.

        404 says that there is no such route. A daemon whose configuration may
        be outdated doesn't know that, and refuses the request for now.
        """
        if self.configuration_age_s() > freshness.APPLY_LIMIT_S:
            self._log_unrouted(request_id, 503, 'unconfirmed', started)
            return refusals.unconfirmed_response(request)
        self._log_unrouted(request_id, 404, 'no-route', started)
        return http_codec.Response(
            status=404,
            headers=[(refusals.OUTCOME_HEADER, refusals.OUTCOME_NOT_RUN)],
        )

    def _find_parent(
        self, request: http_codec.Request, request_id: str
    ) -> running_requests.RunningRequest | None:
        """Returns the parent of a request of the local server.

        Where requests need keys, a request without one could come from any
        client that uses such an identifier; only this host has the server.
        """
        if (
            access.requires_keys(self.directory.configuration)
            and request.source_ip != self.own_ip
        ):
            return None
        return self.admission.running.find_parent(request_id)

    def _decide_access(
        self,
        request: http_codec.Request,
        route: model.Route,
        parent: running_requests.RunningRequest | None,
    ) -> access.Decision:
        """Decides whether a request is served, and for which organisation."""
        return access.decide(
            self.directory.configuration,
            route,
            request.headers,
            is_nested=parent is not None,
            knowledge=access.Knowledge(
                age_s=self.configuration_age_s(),
                revocation_limit_s=self.revocation_limit_s,
            ),
        )

    def _refuse_unknown(
        self,
        request: http_codec.Request,
        request_id: str,
        verdict: access.Verdict,
        started: float,
    ) -> http_codec.Response:
        """Refuses a request without a key that is known to be in force."""
        if verdict is access.Verdict.UNPROVED:
            self._log_unrouted(request_id, 503, verdict.value, started)
            return refusals.unconfirmed_response(request)
        self._log_unrouted(request_id, 401, verdict.value, started)
        return http_codec.Response(
            status=401,
            headers=[
                (
                    platform_codec.KEY_SCHEME_HEADER,
                    platform_codec.KEY_SCHEME,
                ),
                (refusals.OUTCOME_HEADER, refusals.OUTCOME_NOT_RUN),
            ],
        )

    def _cap_of(
        self, organisation: model.Organisation | None
    ) -> usage_cap.Cap | None:
        if organisation is None:
            return None
        return self.caps.cap_of(organisation, self.clock())

    def _refuse_beyond_cap(
        self, call: call_module.Call, wait_s: float
    ) -> http_codec.Response:
        """Refuses a request beyond the cap of its organisation.

        Args:
            call: The request.
            wait_s: Time until there is room, in seconds.
        """
        refusal = peer_protocol.Refusal.CAPPED
        call.refuse(refusal)
        self._log_finished(call, 429, refusal.value)
        response = refusals.refusal_response(wait_s)
        response.status = 429
        return response

    def is_idempotent(self, request: http_codec.Request) -> bool:
        """Returns whether a request of a caller may run more than once."""
        host = http_codec.header(request.headers, b'host') or ''
        entry = self.directory.match(host, request.path)
        return entry is not None and _is_idempotent(entry.route, request)

    def _refuse_while_stopping(
        self, call: call_module.Call
    ) -> http_codec.Response:
        refusal = peer_protocol.Refusal.STOPPING
        call.refuse(refusal)
        self._log_finished(call, 503, refusal.value)
        serves_again_at = self.shutdown.interrupts_at + RESTART_S
        return refusals.refusal_response(serves_again_at - call.started)

    def _build_call(
        self,
        request: http_codec.Request,
        request_id: str,
        entry: directory_module.RouteEntry,
        *,
        started: float,
        parent: running_requests.RunningRequest | None,
        organisation: model.Organisation | None,
    ) -> call_module.Call:
        left_s = refusals.stated_time_left_s(request)
        headers = [
            item
            for item in http_codec.without_internal_headers(request.headers)
            if item[0]
            not in (
                platform_codec.CALLER_SERVICE_HEADER,
                refusals.CALLER_TIMEOUT_HEADER,
            )
        ]
        headers.append(
            (
                platform_codec.CALLER_SERVICE_HEADER,
                self.local_service().encode(),
            )
        )
        headers = access.headers_for_server(
            self.directory.configuration, headers, organisation
        )
        return call_module.Call(
            request=request.with_headers(headers),
            request_id=request_id,
            route=entry.route,
            parent=parent,
            organisation=organisation,
            service=entry.next_service(),
            started=started,
            deadline=started + min(left_s, entry.route.timeout_s),
            idempotent=_is_idempotent(entry.route, request),
        )

    async def _send_with_retries(
        self, call: call_module.Call
    ) -> http_codec.Response:
        budget = self._retry_budget(call.service)
        budget.count_request()
        if call.sent_by_repeat and not budget.take_for_nested():
            call.refuse(peer_protocol.Refusal.RETRY_BUDGET)
            return self._give_up(call)
        while True:
            choice = self._choose_server(call)
            if choice is None and call.last_result is None:
                self._refuse_if_limited(call)
            if choice is None or call.deadline <= self.clock():
                return self._give_up(call)
            peer, call.max_wait_s = choice.peer, choice.max_wait_s
            call.tried_members.append(peer.member.name)
            call.version = peer.member.required_server.version
            is_repeat, sent_before = call.is_repeat, call.sent_attempts
            result = await self.sender.send(call, peer)
            call.record_result(result)
            if is_repeat and call.sent_attempts > sent_before:
                cause = 'retry' if sent_before else 'repeated-parent'
                self.on_repeat({'service': call.service, 'cause': cause})
            if result.response is not None and not self._is_retryable(
                call, result.response, result.nested_refused
            ):
                return result.response
            assert result.failure is not None
            decision = retries.decide(
                call.retry_state(), result.failure, budget, self.clock()
            )
            if decision is not retries.RetryDecision.RETRY_ELSEWHERE:
                return self._give_up(call)

    def _refuse_if_limited(self, call: call_module.Call):
        if self.balancer.limited_until(call.service):
            call.refuse(peer_protocol.Refusal.LIMITED)

    def _choose_server(self, call: call_module.Call) -> peers.Choice | None:
        needs = call.needs(self.sender.sizes)
        choice = self.balancer.choose(needs, call.excluded_members)
        if (
            choice is None
            and call.last_result is not None
            and call.last_result.connection_failed
        ):
            # A failed connection does not show that the server is faulty, so
            # a server that was tried already may be chosen again.
            return self.balancer.choose(needs, ())
        return choice

    def _is_retryable(
        self,
        call: call_module.Call,
        response: http_codec.Response,
        nested_refused: bool,
    ) -> bool:
        """Returns whether a response is a server error that may be retried.

        Keeps each server error as the response of the call in case no attempt
        succeeds. If a nested request was refused for lack of capacity, another
        run would send it again, at the expense of both services.
        """
        if response.status < admission_module.MIN_SERVER_ERROR_STATUS:
            return False
        call.failed_response = response
        return (
            call.idempotent
            and response.stream is None
            and not nested_refused
            and not self.balancer.fails_everywhere(call.service)
        )

    def _give_up(self, call: call_module.Call) -> http_codec.Response:
        """Returns the final response to a request that is not retried again."""
        if call.failed_response is not None:
            return call.failed_response
        left_s = call.deadline - self.clock()
        if not call.may_have_run:
            retry_after_s = refusals.retry_after_s(left_s)
            limited_s = self.balancer.limited_until(call.service) - self.clock()
            if call.is_limited and limited_s > retry_after_s:
                retry_after_s = min(
                    limited_s, left_s * refusals.RETRY_AFTER_TIME_LEFT_FRACTION
                )
            return refusals.refusal_response(retry_after_s)
        is_late = left_s < retries.MIN_TIME_LEFT_S or (
            call.last_result is not None
            and call.last_result.failure is retries.Failure.TIMEOUT
        )
        return http_codec.Response(
            status=504 if is_late else 502,
            headers=[(refusals.OUTCOME_HEADER, refusals.OUTCOME_UNKNOWN)],
        )

    def _retry_budget(self, service: str) -> retries.RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = retries.RetryBudget()
            self._budget_by_service[service] = budget
        daemons = max(1, len(self.directory.member_by_name))
        budget.retries_per_request = (
            self.retry_ratio * RETRY_LIMIT_USED_FRACTION
        )
        slack = self.retry_slack / daemons
        budget.max_saved_retries = slack * RETRY_LIMIT_USED_FRACTION
        budget.max_overdraft = slack * (1 - RETRY_LIMIT_USED_FRACTION)
        return budget

    def _log_finished(self, call: call_module.Call, status: int, outcome: str):
        self._report_finished(call, status)
        now = self.clock()
        logger.info(
            'event=request_finished request={} route={} nested={} '
            'sent_by_repeat={} service={} status={} outcome={!r} tried={} '
            'sent={} refused={} took_ms={:.0f} left_ms={:.0f} stopping_ms={} '
            'configuration={} table={}',
            call.request_id,
            call.route.name,
            call.parent is not None,
            call.sent_by_repeat,
            call.service,
            status,
            outcome,
            ','.join(call.tried_members) or '-',
            call.sent_attempts,
            call.refusals,
            (now - call.started) * 1000,
            (call.deadline - now) * 1000,
            self.shutdown.elapsed_ms(call.started),
            self.directory.configuration_version,
            self.directory.table_revision,
        )

    def _log_unrouted(
        self, request_id: str, status: int, outcome: str, started: float
    ):
        self.on_finished({'outcome': outcome}, self.clock() - started)
        logger.info(
            'event=request_finished request={} route=- status={} outcome={!r} '
            'configuration={} confirmed_s={:.2f}',
            request_id,
            status,
            outcome,
            self.directory.configuration_version,
            self.configuration_age_s(),
        )

    def _report_finished(self, call: call_module.Call, status: int):
        """Reports a finished request with labels that take few values.

        Args:
            call: The request.
            status: Status of the response; 0 if the caller disconnected before
                it was sent.
        """
        last_result = call.last_result
        if not status:
            outcome = 'caller-gone'
        elif last_result is None:
            outcome = 'no-server'
        elif last_result.response is not None:
            outcome = f'{status // 100}xx'
        elif last_result.refusal is not None:
            outcome = last_result.refusal.value
        else:
            outcome = (
                last_result.failure.value if last_result.failure else 'unknown'
            )
        labels = {
            'outcome': outcome,
            'selector': call.route.selector,
            'version': call.version,
        }
        self.on_finished(labels, self.clock() - call.started)


def _is_idempotent(route: model.Route, request: http_codec.Request) -> bool:
    if route.idempotent is None:
        return retries.is_idempotent(request.method)
    return route.idempotent
