"""Whether a failed request may be sent again."""

import enum

import attrs

IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'})
# A refused request may ask this many servers' daemons more; being refused costs
# a round trip and reaches no server.
MAX_REFUSALS = 4
# Retries as a share of requests.
DEFAULT_RETRIES_PER_REQUEST = 0.1
# Retries allowed before any request was counted.
DEFAULT_MAX_SAVED_RETRIES = 10.0
# Time below which a further attempt cannot be answered, in seconds.
MIN_TIME_LEFT_S = 0.01


class Failure(enum.Enum):
    """How an attempt failed."""

    NOT_RUN = 'not_run'
    SHED = 'shed'
    FAILED = 'failed'
    NO_ANSWER = 'no_answer'
    UNKNOWN = 'unknown'
    TIMEOUT = 'timeout'


class RetryDecision(enum.Enum):
    """What to do with a failed request."""

    RETRY_ELSEWHERE = 'retry_elsewhere'
    GIVE_UP_NOT_RUN = 'give_up_not_run'
    GIVE_UP_UNKNOWN = 'give_up_unknown'


@attrs.frozen(kw_only=True)
class RetryState:
    """Facts on a request and its attempts so far.

    Attributes:
        idempotent: True if it may run more than once.
        sent_attempts: Servers that it may have reached.
        max_sent_attempts: Servers that it may reach at the most.
        refusals: Daemons that refused it.
        may_have_run: True if an earlier attempt may have been run.
        deadline: Time by which the caller wants the answer, in seconds.
    """

    idempotent: bool
    sent_attempts: int
    max_sent_attempts: int
    refusals: int
    may_have_run: bool
    deadline: float


@attrs.define
class RetryBudget:
    """Allows retries as a share of the recent requests.

    Attributes:
        retries_per_request: Retries gained by each request.
        max_saved_retries: Most retries that can be saved.
    """

    _tokens: float | None = None
    retries_per_request: float = DEFAULT_RETRIES_PER_REQUEST
    max_saved_retries: float = DEFAULT_MAX_SAVED_RETRIES

    def count_request(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(
            self._saved() + self.retries_per_request, self.max_saved_retries
        )

    def take(self) -> bool:
        """Takes a retry from the budget, if there is one."""
        if self._saved() < 1.0:
            return False
        self._tokens = self._saved() - 1.0
        return True

    def _saved(self) -> float:
        return self.max_saved_retries if self._tokens is None else self._tokens


def is_idempotent(method: str) -> bool:
    """Tells whether a method is idempotent (RFC 9110, section 9.2.2)."""
    return method in IDEMPOTENT_METHODS


def decide(
    attempts: RetryState, failure: Failure, budget: RetryBudget, now: float
) -> RetryDecision:
    """Decides on a failed attempt; takes from the budget for a retry.

    A request that a daemon refused has reached no server, so trying another
    one is no repetition and takes nothing from the budget.
    """
    not_run = failure in (Failure.NOT_RUN, Failure.SHED)
    if not not_run and not attempts.idempotent:
        return RetryDecision.GIVE_UP_UNKNOWN
    free = failure is Failure.NOT_RUN
    if _may_try_again(attempts, now) and (free or budget.take()):
        return RetryDecision.RETRY_ELSEWHERE
    if not_run and not attempts.may_have_run:
        return RetryDecision.GIVE_UP_NOT_RUN
    return RetryDecision.GIVE_UP_UNKNOWN


def _may_try_again(attempts: RetryState, now: float) -> bool:
    return (
        attempts.sent_attempts < attempts.max_sent_attempts
        and attempts.refusals <= MAX_REFUSALS
        and attempts.deadline - now >= MIN_TIME_LEFT_S
    )
