"""A request of a caller and the results of its attempts."""

import math

import attrs

from hemlockgrade import http_codec
from hemlockgrade import link_load
from hemlockgrade import model
from hemlockgrade import peer_protocol
from hemlockgrade import peers
from hemlockgrade import retries
from hemlockgrade import running_requests


@attrs.frozen(kw_only=True)
class AttemptResult:
    """The result of an attempt.

    Attributes:
        reason: Text for the `outcome` of the log line.
        failure: How the attempt failed; None if it succeeded.
        response: Response of the server; None if there is none.
        refusal: Why the request was refused; None if it was not refused.
        nested_refused: True if the server failed, and a request that its run
            sent was refused for lack of capacity.
    """

    reason: str
    failure: retries.Failure | None = None
    response: http_codec.Response | None = None
    refusal: peer_protocol.Refusal | None = None
    nested_refused: bool = False

    @property
    def lacks_capacity(self) -> bool:
        """Returns whether this service or one that it calls is overloaded."""
        return self.nested_refused or (
            self.refusal is not None and self.refusal.lacks_capacity
        )

    @property
    def connection_failed(self) -> bool:
        """Returns whether the connection to the daemon or server failed.

        A malformed or unsigned response counts as a failed connection. An
        attempt that was fenced after such a failure is included.
        """
        failures = (retries.Failure.NO_ANSWER, retries.Failure.UNKNOWN)
        return (
            self.failure in failures
            or self.refusal is peer_protocol.Refusal.FENCED
        )


@attrs.define(kw_only=True)
class Call:
    """A request of a caller, and the state of its attempts.

    Attributes:
        request: The request, with the headers for the server.
        request_id: Identifier that the caller gave to the request, or that the
            proxy created because the caller gave none.
        route: Route of the request.
        parent: The request that the local server is running and for which it
            sent this one; None if there is none.
        service: Service that is to run the request.
        organisation: Organisation that sent the request; None if it is not
            known.
        started: Monotonic time at which the request arrived.
        deadline: Monotonic time at which the timeout of the caller or that of
            the route ends, whichever is earlier.
        idempotent: True if the request may run more than once.
        sent_attempts: Number of attempts that may have reached a server.
        refusals: Number of attempts that a daemon refused or fenced, or whose
            daemon could not be reached.
        tried_members: Names of the members to which attempts were sent.
        excluded_members: Names of those that the next attempt avoids. A member
            whose server had got as many requests as it takes is not among
            them: its peer waits for its turn, and the refusal says nothing
            about other servers. Neither is one that was busier than expected:
            it has told its load.
        busy_refusals: Number of servers that refused the request because its
            wait was longer than expected.
        max_wait_s: Longest expected wait for a slot with which the server of
            the next attempt is to accept the request, in seconds.
        version: Version of the server of the latest attempt.
        may_have_run: True if a server may have run the request.
        failed_response: Latest response with a server error; None if there is
            none.
        last_result: Result of the latest attempt.
    """

    request: http_codec.Request
    request_id: str
    route: model.Route
    parent: running_requests.RunningRequest | None
    service: str
    started: float
    deadline: float
    idempotent: bool
    sent_attempts: int = 0
    refusals: int = 0
    tried_members: list[str] = attrs.field(factory=list)
    excluded_members: list[str] = attrs.field(factory=list)
    busy_refusals: int = 0
    max_wait_s: float = math.inf
    version: str = ''
    may_have_run: bool = False
    failed_response: http_codec.Response | None = None
    organisation: model.Organisation | None = None
    last_result: AttemptResult | None = None

    @property
    def priority(self) -> int:
        """Returns the priority of the request; 0 is the most urgent.

        A nested request has the priority of its parent. That of an organisation
        goes before that of the route.
        """
        if self.parent is not None:
            return self.parent.priority
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority

    @property
    def sent_by_repeat(self) -> bool:
        """Returns whether the parent of the request is itself a repeat."""
        return self.parent is not None and self.parent.is_repeat

    @property
    def is_repeat(self) -> bool:
        """Returns whether the next attempt counts as a retry of its service.

        That is the case for all attempts of a request that is sent by a
        repeat, because the first run of its parent sends it, too.
        """
        return self.sent_by_repeat or self.sent_attempts > 0

    @property
    def on_time_until(self) -> float:
        """Returns the end of the target latency of the route.

        Returns:
            Monotonic time in seconds.
        """
        return self.started + self.route.target_latency_s

    @property
    def is_limited(self) -> bool:
        """Returns whether the limits that servers name refuse the request."""
        return (
            self.last_result is not None
            and self.last_result.refusal is peer_protocol.Refusal.LIMITED
        )

    def refuse(self, refusal: peer_protocol.Refusal) -> None:
        """Records that this daemon refuses the request without an attempt."""
        self.last_result = AttemptResult(
            reason=refusal.value,
            failure=retries.Failure.NOT_RUN,
            refusal=refusal,
        )

    def record_result(self, result: AttemptResult) -> None:
        """Records the result of an attempt.

        An attempt that the server itself refused has reached the server,
        although the server has not run it.
        """
        self.last_result = result
        if result.refusal is peer_protocol.Refusal.BUSY:
            self.busy_refusals += 1
            return
        if result.refusal is not peer_protocol.Refusal.LIMITED:
            self.excluded_members.append(self.tried_members[-1])
        if result.refusal is None:
            self.sent_attempts += 1
            self.may_have_run = True
        elif result.refusal.reached_server:
            self.sent_attempts += 1
        else:
            self.refusals += 1

    def needs(self, sizes: link_load.BodySizes) -> peers.RequestNeeds:
        """Returns what the next attempt needs from its server.

        Args:
            sizes: Mean sizes of the response bodies of each route.
        """
        route = self.route.name
        return peers.RequestNeeds(
            service=self.service,
            route=self.route,
            on_time_until=self.on_time_until,
            deadline=self.deadline,
            busy_refusals=self.busy_refusals,
            priority=self.priority,
            message_bytes=len(self.request.body) + sizes.mean_bytes(route),
            has_large_response=sizes.paced_bytes(route) > 0,
        )

    def retry_state(self) -> retries.RetryState:
        """Returns the state on which the decision to retry rests."""
        return retries.RetryState(
            idempotent=self.idempotent,
            sent_attempts=self.sent_attempts,
            max_sent_attempts=self.route.attempts,
            refusals=self.refusals,
            may_have_run=self.may_have_run,
            deadline=self.deadline,
        )
