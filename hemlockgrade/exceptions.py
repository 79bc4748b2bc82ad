"""Every expected failure of hemlockgrade, as a typed error with a remedy."""

from collections.abc import Sequence


class HemlockError(Exception):
    """Base of all expected errors.

    Attributes:
        remedy: What the reader can do about the error.
        exit_code: The exit code of a command that ends with this error.
    """

    exit_code = 1

    def __init__(self, message: str, *, remedy: str):
        super().__init__(message)
        self.remedy = remedy

    def __str__(self) -> str:
        return f'{self.args[0]} ({self.remedy})'

    def single_errors(self) -> list['HemlockError']:
        """Returns the single errors: itself, or the members of a group."""
        return [self]


class SettingsError(HemlockError):
    """A settings file has a missing, unknown or malformed key."""

    exit_code = 2


class InvalidFieldError(HemlockError):
    """A field of a label or selector has a value that cannot be accepted."""

    def __init__(self, field: str, problem: str, *, remedy: str):
        super().__init__(f'{field}: {problem}', remedy=remedy)
        self.field = field
        self.problem = problem


class _GroupError(ExceptionGroup, HemlockError):
    """Several errors of one cause, reported together."""

    def __new__(cls, message: str, errors: Sequence[HemlockError]):
        """Builds the group; an exception group is made in `__new__`."""
        return super().__new__(cls, message, errors)

    def __init__(self, message: str, errors: Sequence[HemlockError]):
        Exception.__init__(self, message, errors)

    def __str__(self) -> str:
        return '; '.join([self.message, *map(str, self.exceptions)])

    def single_errors(self) -> list[HemlockError]:
        """Returns the members of the group."""
        return [e for e in self.exceptions if isinstance(e, HemlockError)]

    def derive(self, excs):
        """Keeps the type when the group is split."""
        return type(self)(self.message, excs)


class InvalidChangeError(_GroupError):
    """A change of configuration was refused; holds one error a field."""

    exit_code = 3
    remedy = 'correct the fields named and send the change again'


class InvalidSettingsError(_GroupError):
    """A settings file was refused; holds one error a key."""

    exit_code = 2
    remedy = 'correct the keys named'


class ConflictError(HemlockError):
    """A conditional write lost against another writer."""

    exit_code = 4


class NotFoundError(HemlockError):
    """A named object does not exist."""

    exit_code = 5


class PlatformUnavailableError(HemlockError):
    """The platform did not answer, or refused the call for its rate.

    Attributes:
        outcome_known: False if a write may have taken effect.
    """

    exit_code = 6

    def __init__(
        self, message: str, *, remedy: str, outcome_known: bool = True
    ):
        super().__init__(message, remedy=remedy)
        self.outcome_known = outcome_known


class DaemonUnavailableError(HemlockError):
    """No daemon answered on its administration address.

    Attributes:
        not_received: True if the call was certainly not received.
    """

    exit_code = 7

    def __init__(self, message: str, *, remedy: str, not_received: bool = True):
        super().__init__(message, remedy=remedy)
        self.not_received = not_received


class UnauthorizedError(HemlockError):
    """The administration API refused the token."""

    exit_code = 8


class MalformedRequestError(HemlockError):
    """An HTTP message cannot be parsed or exceeds a bound.

    Attributes:
        status: The HTTP status that answers the message.
    """

    def __init__(self, message: str, *, status: int = 400):
        super().__init__(message, remedy='send a well-formed HTTP/1.1 message')
        self.status = status


class RequestNotRunError(HemlockError):
    """A request was refused before any byte of it reached a target."""


class OutcomeUnknownError(HemlockError):
    """A request may or may not have been run."""


class PluginError(HemlockError):
    """A plug-in is missing or does not load."""

    exit_code = 2


class ConnectFailedError(RequestNotRunError):
    """A connection could not be established, so nothing was sent."""


class ConnectionClosedError(OutcomeUnknownError):
    """A connection closed after a request was written on it.

    Attributes:
        response_started: True if a part of the answer had come.
    """

    def __init__(self, message: str, *, remedy: str, response_started: bool):
        super().__init__(message, remedy=remedy)
        self.response_started = response_started


class DeadlineExceededError(OutcomeUnknownError):
    """The deadline of a request passed before its answer came."""


class RolledBackError(HemlockError):
    """A rollout that a command waited for was rolled back."""

    exit_code = 9


class RunInterruptedError(HemlockError):
    """A command was stopped before it ended."""
