"""Headers and outcomes of requests between two daemons."""

import enum

import attrs

from hemlockgrade import http_codec
from hemlockgrade import ledger
from hemlockgrade.platform import codec as platform_codec

# Identifier of the server that is to run the request.
SERVER_HEADER = b'x-hemlock-server'
# Rank of the request under overload.
PRIORITY_HEADER = b'x-hemlock-priority'
# Milliseconds within which an answer is on time.
ON_TIME_HEADER = b'x-hemlock-on-time-ms'
# Present if the request may run more than once.
IDEMPOTENT_HEADER = b'x-hemlock-idempotent'
# Name of the route, for the evidence on versions.
ROUTE_HEADER = b'x-hemlock-route'
# Identifier of the attempt, unique over all daemons, and the process that it
# is sent to; a fence names both.
ATTEMPT_HEADER = b'x-hemlock-attempt'
BOOT_ID_HEADER = b'x-hemlock-boot'
# Newest versions that the sender knows: configuration and table.
VERSIONS_HEADER = b'x-hemlock-versions'
# Address at which the sender takes requests of other daemons.
SENDER_HEADER = b'x-hemlock-sender'
# Answer: the request was not run, for this reason.
REFUSED_HEADER = b'x-hemlock-refused'
# Answer: the request may have run, for this reason.
UNKNOWN_HEADER = b'x-hemlock-unknown'
# Answer: requests at the server and its mean service time.
LOAD_HEADER = b'x-hemlock-load'

STATE_PATH = '/.hemlock/state'
VERSIONS_PATH = '/.hemlock/versions'
EVIDENCE_PATH = '/.hemlock/evidence'
FENCE_PATH = '/.hemlock/fence'


class Refusal(enum.StrEnum):
    """Why a daemon did not run a request."""

    FULL = 'full'
    LATE = 'late'
    LEAVING = 'leaving'
    DRAINING = 'draining'
    SERVER_DOWN = 'server-down'
    OTHER_SERVER = 'other-server'
    SHED = 'shed'
    FENCED = 'fenced'
    UNREACHABLE = 'unreachable'

    @property
    def server_unavailable(self) -> bool:
        """Tells whether the daemon's server takes no requests at all."""
        return self in (
            Refusal.LEAVING,
            Refusal.DRAINING,
            Refusal.SERVER_DOWN,
            Refusal.OTHER_SERVER,
        )


@attrs.frozen(kw_only=True)
class Versions:
    """The newest facts that a daemon knows.

    Attributes:
        configuration_version: Version of the configuration.
        table_revision: Newest revision of a member or share.
    """

    configuration_version: int
    table_revision: int

    def encode(self) -> bytes:
        """Encodes it for the header."""
        return b'%d,%d' % (self.configuration_version, self.table_revision)


def decode_versions(headers: http_codec.Headers) -> Versions | None:
    """Reads the versions of a sender; None if it named none."""
    numbers = _numbers(headers, VERSIONS_HEADER, 2)
    if numbers is None:
        return None
    return Versions(
        configuration_version=int(numbers[0]), table_revision=int(numbers[1])
    )


def encode_load(in_use: int, service_s: float) -> bytes:
    """Encodes a server's load for the header."""
    return b'%d,%.4f' % (in_use, service_s)


def decode_load(headers: http_codec.Headers) -> tuple[int, float] | None:
    """Reads a server's load: requests, mean service time in seconds."""
    numbers = _numbers(headers, LOAD_HEADER, 2)
    if numbers is None:
        return None
    return int(numbers[0]), numbers[1]


def decode_refusal(headers: http_codec.Headers) -> Refusal | None:
    """Reads why a request was not run; None if it may have been run."""
    text = http_codec.header(headers, REFUSED_HEADER)
    if text is None:
        return None
    try:
        return Refusal(text)
    except ValueError:
        # A newer daemon may name other reasons; all of them say not run.
        return Refusal.FULL


def refusal_response(reason: Refusal) -> http_codec.Response:
    """Makes the answer to a request that was not run."""
    return http_codec.Response(
        status=503, headers=[(REFUSED_HEADER, reason.value.encode())]
    )


def fence_response(result: ledger.FenceResult) -> http_codec.Response:
    """Makes the answer to a fence."""
    return http_codec.Response(status=200, body=result.value.encode())


def decode_fence_response(response: http_codec.Response) -> ledger.FenceResult:
    """Reads the answer to a fence."""
    try:
        return ledger.FenceResult(response.body.decode('latin-1'))
    except ValueError:
        # A newer daemon may know other results; none of them says not run.
        return ledger.FenceResult.UNKNOWN


def unknown_outcome_response(reason: str) -> http_codec.Response:
    """Makes the answer to a request that may have run."""
    return http_codec.Response(
        status=502,
        headers=[(UNKNOWN_HEADER, reason.encode('latin-1', 'replace'))],
    )


def time_left_s(headers: http_codec.Headers) -> float | None:
    """Reads how long the sender still waits, in seconds."""
    return decode_duration_s(headers, platform_codec.TIME_LEFT_MS_HEADER)


def on_time_s(headers: http_codec.Headers) -> float | None:
    """Reads for how long an answer is on time, in seconds."""
    return decode_duration_s(headers, ON_TIME_HEADER)


def decode_duration_s(headers: http_codec.Headers, name: bytes) -> float | None:
    """Reads a header of milliseconds, as seconds; None if it has none."""
    text = http_codec.header(headers, name)
    if text is None or not (text.isascii() and text.isdecimal()):
        return None
    return int(text[:9]) / 1000


def _numbers(
    headers: http_codec.Headers, name: bytes, count: int
) -> list[float] | None:
    text = http_codec.header(headers, name)
    if text is None:
        return None
    try:
        numbers = [float(part) for part in text.split(',')]
    except ValueError:
        return None
    return numbers if len(numbers) == count else None
