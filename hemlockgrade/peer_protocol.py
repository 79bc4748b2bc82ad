"""Protocol between daemons: headers, paths and outcomes of requests."""

import enum
import math
import urllib.parse

import attrs

from hemlockgrade import freshness
from hemlockgrade import http_codec
from hemlockgrade import ledger
from hemlockgrade.platform import codec as platform_codec

# Identifier of the server that the sender chose for the request. A request with
# this header is one of a caller, whatever its path; the daemons' own requests
# have no such header, and no caller can set it.
SERVER_HEADER = b'x-hemlock-server'
# Priority of the request under overload; 0 is the most urgent.
PRIORITY_HEADER = b'x-hemlock-priority'
# Time in milliseconds within which the response still meets the target latency
# of the route.
ON_TIME_HEADER = b'x-hemlock-on-time-ms'
# Present if the request is idempotent, so that it may run more than once.
IDEMPOTENT_HEADER = b'x-hemlock-idempotent'
# Present if an earlier attempt of the request, or of a request for which it was
# sent, may have reached a server.
REPEAT_HEADER = b'x-hemlock-repeat'
# Present if a server sent the request while it runs another one.
NESTED_HEADER = b'x-hemlock-nested'
# Longest expected wait for a slot that the sender accepts, in milliseconds. The
# header is missing if it accepts any wait that the deadline allows.
MAX_WAIT_HEADER = b'x-hemlock-max-wait-ms'
# Name of the route, for the response statistics of each version.
ROUTE_HEADER = b'x-hemlock-route'
# Identifier of the attempt, which is unique among all daemons, and boot
# identifier of the daemon process to which the attempt was sent. A fence
# request has both headers.
ATTEMPT_HEADER = b'x-hemlock-attempt'
BOOT_ID_HEADER = b'x-hemlock-boot'
# Version of the configuration and table revision that the sender has, as
# `<version>,<revision>`.
VERSIONS_HEADER = b'x-hemlock-versions'
# In a response to a request for the versions: how long ago the configuration
# was the newest one of the store, the revision of the store at that time, and
# the time of the read, as `<milliseconds>,<revision>,<milliseconds>`.
CONFIRMED_HEADER = b'x-hemlock-confirmed'
# Address at which the sender accepts requests of its peers.
SENDER_HEADER = b'x-hemlock-sender'
# In a response: why the request was not run, a value of `Refusal`.
REFUSED_HEADER = b'x-hemlock-refused'
# In a response: why the outcome of the request is unknown.
UNKNOWN_HEADER = b'x-hemlock-unknown'
# In a response of a daemon, and not of a server: whether the request was run,
# for callers as well.
OUTCOME_HEADER = b'x-hemlock-outcome'
# In a server error: present if a request that the run sent was refused because
# the service that it was sent to has too little capacity.
NESTED_REFUSED_HEADER = b'x-hemlock-nested-refused'
# In a response: number of requests that run at the server or wait for a slot,
# and its mean service time in seconds, as `<requests>,<seconds>`.
LOAD_HEADER = b'x-hemlock-load'
# In a response: time that a large body would wait for the link of the host, in
# milliseconds; missing if it would not wait.
LINK_WAIT_HEADER = b'x-hemlock-link-wait-ms'

# Requests a second that the server takes from all hosts together, if there is a
# limit. In a request: the limit that the sender knows of.
LIMIT_HEADER = b'x-hemlock-limit'
# In a refusal because of that limit: time until the turn of the sender, in
# milliseconds.
TURN_HEADER = b'x-hemlock-turn-ms'

STATE_PATH = '/.hemlock/state'
# Query of a request for the state without the configuration.
STATE_PART_OBJECTS = 'objects'
VERSIONS_PATH = '/.hemlock/versions'
EVIDENCE_PATH = '/.hemlock/evidence'
FENCE_PATH = '/.hemlock/fence'
USAGE_PATH = '/.hemlock/usage'


def is_forwarded(request: http_codec.Request) -> bool:
    """Returns whether a request between daemons is one of a caller."""
    return http_codec.header(request.headers, SERVER_HEADER) is not None


def is_answer_to_forwarded(response: http_codec.Response) -> bool:
    """Returns whether a response of a daemon is one to a forwarded request.

    All of these state the load of the server, unless the listener of the daemon
    refused the request. An earlier version of the daemon answers a request for
    a path of this protocol itself.
    """
    return any(
        http_codec.header(response.headers, name) is not None
        for name in (LOAD_HEADER, REFUSED_HEADER, OUTCOME_HEADER)
    )


class Refusal(enum.StrEnum):
    """Why a request was certainly not run.

    Attributes:
        FULL: The server has no free slot, and the queue is full or too long
            for the deadline of the request.
        BUSY: The server has no free slot, and the sender expects to be served
            earlier elsewhere.
        LATE: The time left was shorter than the mean service time when the
            request was refused.
        LEAVING: The daemon shuts down.
        STOPPING: The daemon shuts down and may end before the request does.
        DRAINING: The server is draining or has deregistered.
        SERVER_DOWN: The daemon cannot connect to its server.
        OTHER_SERVER: The server on the host is not the one that was chosen or
            is not confirmed, or the request lacks a header of the peer
            protocol.
        EVACUATED: The failure domain of the server is evacuated.
        LIMITED: The server has got as many requests as it takes: it names a
            limit, or it is cold.
        SHED: The server refused the request.
        MISDIRECTED: The request reached another server than the one that was
            chosen, which refused it.
        FENCED: The attempt was fenced before it was admitted.
        UNREACHABLE: The sender cannot connect to the daemon.
        CAPPED: The request is beyond the usage cap of its organisation.
        RETRY_BUDGET: The request is sent by a repeat, and the retry budget of
            its service is used up.
    """

    FULL = 'full'
    BUSY = 'busy'
    LATE = 'late'
    LEAVING = 'leaving'
    STOPPING = 'stopping'
    DRAINING = 'draining'
    SERVER_DOWN = 'server-down'
    OTHER_SERVER = 'other-server'
    EVACUATED = 'evacuated'
    LIMITED = 'limited'
    SHED = 'shed'
    MISDIRECTED = 'misdirected'
    FENCED = 'fenced'
    UNREACHABLE = 'unreachable'
    CAPPED = 'capped'
    RETRY_BUDGET = 'retry-budget'

    @property
    def lacks_capacity(self) -> bool:
        """Returns whether the service has too little capacity.

        Another attempt would meet the same lack.
        """
        return self in (
            Refusal.FULL,
            Refusal.BUSY,
            Refusal.LATE,
            Refusal.LIMITED,
            Refusal.SHED,
            Refusal.RETRY_BUDGET,
        )

    @property
    def server_unavailable(self) -> bool:
        """Returns whether the server of the daemon accepts no requests."""
        return self in (
            Refusal.LEAVING,
            Refusal.DRAINING,
            Refusal.SERVER_DOWN,
            Refusal.OTHER_SERVER,
            Refusal.EVACUATED,
            Refusal.MISDIRECTED,
        )

    @property
    def reached_server(self) -> bool:
        """Returns whether a server, not a daemon, refused the request."""
        return self in (Refusal.SHED, Refusal.MISDIRECTED)


@attrs.frozen(kw_only=True)
class Versions:
    """How recent the state of a daemon is.

    Attributes:
        configuration_version: Version of the configuration in force.
        table_revision: Highest known revision of the mesh objects.
    """

    configuration_version: int
    table_revision: int

    def encode(self) -> bytes:
        """Returns the value of `VERSIONS_HEADER`."""
        return b'%d,%d' % (self.configuration_version, self.table_revision)


def decode_versions(headers: http_codec.Headers) -> Versions | None:
    """Decodes the versions of the sender.

    Returns:
        None if the header is missing or malformed.
    """
    values = _decode_numbers(headers, VERSIONS_HEADER, 2)
    if values is None:
        return None
    return Versions(
        configuration_version=int(values[0]), table_revision=int(values[1])
    )


def encode_confirmation(age_s: float, revision: int, read_s: float) -> bytes:
    """Returns the value of `CONFIRMED_HEADER`.

    Args:
        age_s: Time since the configuration of the sender was the newest one of
            the store, in seconds.
        revision: Revision of the store at that time.
        read_s: Time that the store needed for the read, in seconds.
    """
    return b'%d,%d,%d' % (math.ceil(age_s * 1000), revision, read_s * 1000)


def decode_confirmation(
    headers: http_codec.Headers, versions: Versions, sent_at: float
) -> freshness.Confirmation | None:
    """Decodes how recent the configuration of a peer is.

    Args:
        headers: Headers of the response of the peer.
        versions: Versions of the peer.
        sent_at: Monotonic time at which the request was sent, in seconds. The
            peer has stated the age after this time.

    Returns:
        None if the header is missing or malformed.
    """
    values = _decode_numbers(headers, CONFIRMED_HEADER, 3)
    if values is None or min(values) < 0:
        return None
    return freshness.Confirmation(
        version=versions.configuration_version,
        revision=int(values[1]),
        confirmed_at=sent_at - values[0] / 1000,
        read_s=values[2] / 1000,
    )


def encode_load(requests: int, service_s: float) -> bytes:
    """Returns the value of `LOAD_HEADER`.

    Args:
        requests: Number of requests that run at the server or wait for a slot.
        service_s: Mean service time of the server, in seconds.
    """
    return b'%d,%.4f' % (requests, service_s)


def decode_load(headers: http_codec.Headers) -> tuple[int, float] | None:
    """Decodes the load of the server of a peer.

    Returns:
        Number of requests that run at the server or wait for a slot, and its
        mean service time in seconds; None if the header is missing or
        malformed.
    """
    values = _decode_numbers(headers, LOAD_HEADER, 2)
    if values is None:
        return None
    return int(values[0]), values[1]


def decode_link_wait_s(headers: http_codec.Headers) -> float:
    """Decodes how long a large body would wait for the link of a peer.

    Returns:
        Time in seconds; 0 if the header is missing or malformed.
    """
    return decode_duration_s(headers, LINK_WAIT_HEADER) or 0.0


def encode_limit(max_requests_per_s: float) -> bytes:
    """Returns the value of `LIMIT_HEADER`.

    Args:
        max_requests_per_s: Requests a second that the server takes.
    """
    return b'%.4f' % max_requests_per_s


def decode_limit(headers: http_codec.Headers) -> float:
    """Decodes the limit that a server names.

    Returns:
        Requests a second; `math.inf` if the header is missing or malformed.
    """
    values = _decode_numbers(headers, LIMIT_HEADER, 1)
    return math.inf if values is None else max(0.0, values[0])


def decode_refusal(headers: http_codec.Headers) -> Refusal | None:
    """Decodes why a request was refused.

    Returns:
        None if the response is not a refusal.
    """
    text = http_codec.header(headers, REFUSED_HEADER)
    if text is None:
        return None
    try:
        return Refusal(text)
    except ValueError:
        # A newer daemon may send a reason that this version does not define.
        # With any reason the request was not run.
        return Refusal.FULL


def refusal_response(reason: Refusal) -> http_codec.Response:
    """Builds the response to a request that was not run."""
    return http_codec.Response(
        status=503, headers=[(REFUSED_HEADER, reason.value.encode())]
    )


def limit_refusal_response(turn_s: float) -> http_codec.Response:
    """Builds the response to a request beyond the limit of the server.

    Args:
        turn_s: Time until the turn of the sender, in seconds.
    """
    response = refusal_response(Refusal.LIMITED)
    response.headers.append((TURN_HEADER, b'%d' % max(1, turn_s * 1000)))
    return response


def decode_turn_s(headers: http_codec.Headers) -> float:
    """Decodes the time until the turn of the sender.

    Returns:
        Time in seconds; 0 if the header is missing or malformed.
    """
    return decode_duration_s(headers, TURN_HEADER) or 0.0


def fence_response(result: ledger.FenceResult) -> http_codec.Response:
    """Builds the response to a fence request."""
    return http_codec.Response(status=200, body=result.value.encode())


def decode_fence_response(response: http_codec.Response) -> ledger.FenceResult:
    """Decodes the result in a response to a fence request."""
    try:
        return ledger.FenceResult(response.body.decode('latin-1'))
    except ValueError:
        # A newer daemon may send a result that this version does not define.
        # Only `NEVER_SEEN` means that the request was not run.
        return ledger.FenceResult.UNKNOWN


def unknown_outcome_response(reason: str) -> http_codec.Response:
    """Builds the response to a request whose outcome is unknown."""
    return http_codec.Response(
        status=502,
        headers=[(UNKNOWN_HEADER, reason.encode('latin-1', 'replace'))],
    )


def is_unknown_outcome(response: http_codec.Response) -> bool:
    """Returns whether a response says that the outcome is unknown."""
    return http_codec.header(response.headers, UNKNOWN_HEADER) is not None


def encode_name(name: str) -> bytes:
    """Encodes a name, which may have any letters, as the value of a header."""
    return urllib.parse.quote(name, safe='/:', errors='replace').encode()


def decode_name(headers: http_codec.Headers, name: bytes) -> str | None:
    """Decodes a header that `encode_name` has encoded.

    Returns:
        The name; None if the header is missing.
    """
    value = http_codec.header(headers, name)
    return None if value is None else urllib.parse.unquote(value)


def decode_time_left_s(headers: http_codec.Headers) -> float | None:
    """Decodes how long the sender still waits for the response.

    Returns:
        Time in seconds; None if the header is missing or malformed.
    """
    return decode_duration_s(headers, platform_codec.TIME_LEFT_MS_HEADER)


def decode_on_time_s(headers: http_codec.Headers) -> float | None:
    """Decodes the time left within the target latency of the route.

    Returns:
        Time in seconds; None if the header is missing or malformed.
    """
    return decode_duration_s(headers, ON_TIME_HEADER)


def decode_max_wait_s(headers: http_codec.Headers) -> float | None:
    """Decodes the longest wait for a slot that the sender accepts.

    Returns:
        Time in seconds; None if the header is missing or malformed.
    """
    return decode_duration_s(headers, MAX_WAIT_HEADER)


def decode_duration_s(headers: http_codec.Headers, name: bytes) -> float | None:
    """Decodes a header that holds a duration in milliseconds.

    Returns:
        Duration in seconds; None if the header is missing or malformed.
    """
    text = http_codec.header(headers, name)
    if text is None or not (text.isascii() and text.isdecimal()):
        return None
    # Only the first nine digits count, so the result is less than 12 days.
    return int(text[:9]) / 1000


def _decode_numbers(
    headers: http_codec.Headers, name: bytes, count: int
) -> list[float] | None:
    text = http_codec.header(headers, name)
    if text is None:
        return None
    try:
        values = [float(part) for part in text.split(',')]
    except ValueError:
        return None
    if len(values) != count or not all(map(math.isfinite, values)):
        return None
    return values
