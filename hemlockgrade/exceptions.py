"""Exceptions for all expected failures; each one carries a remedy."""

from collections.abc import Sequence


class HemlockError(Exception):
    """Base class of all expected errors.

    Attributes:
        remedy: Tells the operator how to correct the error.
        exit_code: Exit code of a command that fails with this error.
    """

    exit_code = 1

    def __init__(self, message: str, *, remedy: str):
        super().__init__(message)
        self.remedy = remedy

    def __str__(self) -> str:
        return f'{self.args[0]} ({self.remedy})'

    def single_errors(self) -> list['HemlockError']:
        """Returns the errors of a group, or a list of only this error."""
        return [self]


class SettingsError(HemlockError):
    """A key of the settings is missing, unknown or has an unusable value."""

    exit_code = 2


class InvalidFieldError(HemlockError):
    """A field of a label, a selector or a request has an invalid value.

    Attributes:
        field: Name of the field.
        problem: Describes what is wrong with the value.
    """

    def __init__(self, field: str, problem: str, *, remedy: str):
        super().__init__(f'{field}: {problem}', remedy=remedy)
        self.field = field
        self.problem = problem


class _GroupError(ExceptionGroup, HemlockError):
    """Group of errors found in one input, which are reported together."""

    def __new__(cls, message: str, errors: Sequence[HemlockError]):
        """Creates the group.

        `ExceptionGroup` sets its message and members in `__new__`.
        """
        return super().__new__(cls, message, errors)

    def __init__(self, message: str, errors: Sequence[HemlockError]):
        Exception.__init__(self, message, errors)

    def __str__(self) -> str:
        return '; '.join([self.message, *map(str, self.exceptions)])

    def single_errors(self) -> list[HemlockError]:
        """Returns the errors of the group."""
        return [e for e in self.exceptions if isinstance(e, HemlockError)]

    def derive(self, excs):
        """Returns a group of the same class; called when a group is split."""
        return type(self)(self.message, excs)


class InvalidChangeError(_GroupError):
    """A configuration change was refused; holds one error per field."""

    exit_code = 3
    remedy = 'correct the fields named and send the change again'


class InvalidSettingsError(_GroupError):
    """A settings file was refused; holds one error per key."""

    exit_code = 2
    remedy = 'correct the keys named'


class ConflictError(HemlockError):
    """A conditional write failed because another writer changed the object."""

    exit_code = 4


class NotFoundError(HemlockError):
    """A named object does not exist."""

    exit_code = 5


class PlatformUnavailableError(HemlockError):
    """The platform gave no usable response or refused a call.

    It refuses calls, for example, above its rate limit.

    Attributes:
        outcome_known: False if the call was a write that may have taken
            effect.
    """

    exit_code = 6

    def __init__(
        self, message: str, *, remedy: str, outcome_known: bool = True
    ):
        super().__init__(message, remedy=remedy)
        self.outcome_known = outcome_known


class DaemonUnavailableError(HemlockError):
    """No daemon responded on its administration address.

    Attributes:
        not_received: True if the daemon certainly did not receive the call.
    """

    exit_code = 7

    def __init__(self, message: str, *, remedy: str, not_received: bool = True):
        super().__init__(message, remedy=remedy)
        self.not_received = not_received


class UnauthorizedError(HemlockError):
    """The administration API refused the token."""

    exit_code = 8


class MalformedRequestError(HemlockError):
    """An HTTP message cannot be parsed or exceeds a limit.

    Attributes:
        status: HTTP status of the response to the message.
    """

    def __init__(self, message: str, *, status: int = 400):
        super().__init__(message, remedy='send a well-formed HTTP/1.1 message')
        self.status = status


class RequestNotRunError(HemlockError):
    """A request was refused before any of its bytes reached a server."""


class ServerBusyError(RequestNotRunError):
    """A request would have waited longer for a slot than its sender allows."""


class OutcomeUnknownError(HemlockError):
    """A request may or may not have been run."""


class PluginError(HemlockError):
    """A plug-in is missing or its module cannot be imported."""

    exit_code = 2


class ConnectFailedError(RequestNotRunError):
    """A connection could not be established, so nothing was sent."""


class ConnectionClosedError(OutcomeUnknownError):
    """A connection closed after a request was written to it.

    Attributes:
        response_started: True if the first bytes of the response had arrived.
    """

    def __init__(self, message: str, *, remedy: str, response_started: bool):
        super().__init__(message, remedy=remedy)
        self.response_started = response_started


class ResponseTooLargeError(ConnectionClosedError):
    """A response has more bytes than its receiver takes."""


class DeadlineExceededError(OutcomeUnknownError):
    """The deadline of a request passed before its response arrived."""


class RolledBackError(HemlockError):
    """The rollout that a command watched was rolled back."""

    exit_code = 9


class RunInterruptedError(HemlockError):
    """A command was interrupted before it finished."""
