"""Decides whether a failed request is retried."""

import enum

import attrs

IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'})
# Largest number of refusals after which a request is still retried. A refusal
# costs a round trip to a daemon, but reaches no server.
MAX_REFUSALS = 4
# Retries that each request adds to the budget.
DEFAULT_RETRIES_PER_REQUEST = 0.1
# Largest number of retries that the budget saves. It is also the number of
# retries allowed before any request was counted.
DEFAULT_MAX_SAVED_RETRIES = 10.0
# With less time than this left until the deadline, in seconds, a further
# attempt cannot get a response in time.
MIN_TIME_LEFT_S = 0.01


class Failure(enum.Enum):
    """How an attempt failed.

    Attributes:
        NOT_RUN: A daemon refused the request, fenced the attempt or could not
            be reached.
        SHED: A server refused the request.
        FAILED: The server responded with a server error.
        NO_ANSWER: The daemon sent no complete, well-formed response.
        UNKNOWN: The daemon reported that the outcome is unknown.
        TIMEOUT: The deadline passed.
    """

    NOT_RUN = 'not_run'
    SHED = 'shed'
    FAILED = 'failed'
    NO_ANSWER = 'no_answer'
    UNKNOWN = 'unknown'
    TIMEOUT = 'timeout'


class RetryDecision(enum.Enum):
    """What to do with a failed request.

    Attributes:
        RETRY_ELSEWHERE: Send the request again, if possible to another server.
        GIVE_UP_NOT_RUN: Send no further attempt; the request was not run.
        GIVE_UP_UNKNOWN: Send no further attempt; the request may have run.
    """

    RETRY_ELSEWHERE = 'retry_elsewhere'
    GIVE_UP_NOT_RUN = 'give_up_not_run'
    GIVE_UP_UNKNOWN = 'give_up_unknown'


@attrs.frozen(kw_only=True)
class RetryState:
    """State of a request on which the decision to retry rests.

    Attributes:
        idempotent: True if the request may run more than once.
        sent_attempts: Number of attempts that may have reached a server.
        max_sent_attempts: Largest allowed number of these attempts.
        refusals: Number of attempts that a daemon refused or fenced, or whose
            daemon could not be reached.
        may_have_run: True if a server may have run an earlier attempt.
        deadline: Monotonic time until which the caller waits for the response.
    """

    idempotent: bool
    sent_attempts: int
    max_sent_attempts: int
    refusals: int
    may_have_run: bool
    deadline: float


@attrs.define
class RetryBudget:
    """Limits retries to a fraction of the requests (a token bucket).

    Attributes:
        retries_per_request: Retries that each first attempt adds.
        max_saved_retries: Largest number of retries that can be saved.
        max_overdraft: Number of retries that `take_for_nested` may take beyond
            the saved ones.
    """

    _tokens: float | None = None
    retries_per_request: float = DEFAULT_RETRIES_PER_REQUEST
    max_saved_retries: float = DEFAULT_MAX_SAVED_RETRIES
    max_overdraft: float = 0.0

    def count_request(self) -> None:
        """Counts a first attempt, which adds to the saved retries."""
        self._tokens = min(
            self._saved_retries() + self.retries_per_request,
            self.max_saved_retries,
        )

    def take(self) -> bool:
        """Takes a retry from the budget.

        Returns:
            False if no retry is saved.
        """
        return self._take(1.0)

    def take_for_nested(self) -> bool:
        """Takes the first attempt of a request that is sent by a repeat.

        Such a request may use what retries leave, because its refusal fails
        the run that sends it.

        Returns:
            False if no retry is left.
        """
        return self._take(1.0 - self.max_overdraft)

    def _take(self, required_retries: float) -> bool:
        saved_retries = self._saved_retries()
        if saved_retries < required_retries:
            return False
        self._tokens = saved_retries - 1.0
        return True

    def _saved_retries(self) -> float:
        return self.max_saved_retries if self._tokens is None else self._tokens


def is_idempotent(method: str) -> bool:
    """Returns whether a method is idempotent (RFC 9110, section 9.2.2)."""
    return method in IDEMPOTENT_METHODS


def decide(
    state: RetryState, failure: Failure, budget: RetryBudget, now: float
) -> RetryDecision:
    """Decides what to do after a failed attempt.

    A request that a daemon refused has reached no server, so sending it to
    another server takes nothing from the retry budget.

    Args:
        state: State of the request.
        failure: How the latest attempt failed.
        budget: Retry budget, from which a retry is taken if necessary.
        now: Monotonic time in seconds.
    """
    not_run = failure in (Failure.NOT_RUN, Failure.SHED)
    if not not_run and not state.idempotent:
        return RetryDecision.GIVE_UP_UNKNOWN
    needs_no_budget = failure is Failure.NOT_RUN
    if _may_retry(state, now) and (needs_no_budget or budget.take()):
        return RetryDecision.RETRY_ELSEWHERE
    if not_run and not state.may_have_run:
        return RetryDecision.GIVE_UP_NOT_RUN
    return RetryDecision.GIVE_UP_UNKNOWN


def _may_retry(state: RetryState, now: float) -> bool:
    return (
        state.sent_attempts < state.max_sent_attempts
        and state.refusals <= MAX_REFUSALS
        and state.deadline - now >= MIN_TIME_LEFT_S
    )
