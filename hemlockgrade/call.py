"""A caller's request on its way, and how its attempts ended."""

import attrs

from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade import peer_protocol
from hemlockgrade import retries


@attrs.frozen(kw_only=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        reason: In words, for the log.
        failure: Why it needs a decision; None for an answer that does not.
        response: The server's answer.
        refusal: Why it was not run.
    """

    reason: str
    failure: retries.Failure | None = None
    response: http_codec.Response | None = None
    refusal: peer_protocol.Refusal | None = None

    @property
    def connection_failed(self) -> bool:
        """Tells whether the connection broke on the way."""
        broken = (retries.Failure.NO_ANSWER, retries.Failure.UNKNOWN)
        return (
            self.failure in broken
            or self.refusal is peer_protocol.Refusal.FENCED
        )


@attrs.define(kw_only=True)
class Call:
    """A caller's request on its way through the attempts.

    Attributes:
        request: The request, with the headers for the server.
        request_id: The caller's identifier of it.
        route: Its route.
        parent_priority: Priority of the parent request, which the local server
            is running and for which it sent this one; None if there is none.
        service: Service that runs it.
        started: Monotonic time of its arrival.
        deadline: Monotonic time at which it has to be answered.
        idempotent: True if it may run more than once.
        sent_attempts: Servers that it may have reached.
        refusals: Daemons that refused it.
        tried: Names of the members tried.
        version: Version of the server tried last.
        may_have_run: True if a server may have run it.
        failed_response: The server's answer of failure, if there is one.
        last_result: How the last attempt ended.
    """

    request: http_codec.Request
    request_id: str
    route: model.Route
    parent_priority: int | None
    service: str
    started: float
    deadline: float
    idempotent: bool
    sent_attempts: int = 0
    refusals: int = 0
    tried: list[str] = attrs.field(factory=list)
    version: str = ''
    may_have_run: bool = False
    failed_response: http_codec.Response | None = None
    last_result: AttemptResult | None = None

    @property
    def priority(self) -> int:
        """Returns its rank; 0 is served first.

        A nested request has the rank of its parent.
        """
        if self.parent_priority is not None:
            return self.parent_priority
        return self.route.priority

    @property
    def on_time_until(self) -> float:
        """Returns the monotonic time until which an answer is on time."""
        return self.started + self.route.target_latency_s

    def record_result(self, result: AttemptResult) -> None:
        """Counts an attempt that ended.

        A server that refused a request has received it, but not run it.
        """
        self.last_result = result
        if result.refusal is None:
            self.sent_attempts += 1
            self.may_have_run = True
        elif result.refusal is peer_protocol.Refusal.SHED:
            self.sent_attempts += 1
        else:
            self.refusals += 1

    def retry_state(self) -> retries.RetryState:
        """Returns what the decision on a further attempt rests on."""
        return retries.RetryState(
            idempotent=self.idempotent,
            sent_attempts=self.sent_attempts,
            max_sent_attempts=self.route.attempts,
            refusals=self.refusals,
            may_have_run=self.may_have_run,
            deadline=self.deadline,
        )
