"""Responses of a daemon to requests of callers that it does not run."""

from hemlockgrade import http_codec
from hemlockgrade import peer_protocol
from hemlockgrade.platform import codec as platform_codec

# Timeout of a request whose caller states none, in seconds.
DEFAULT_TIMEOUT_S = 30.0
# Header by which a caller states its timeout, in milliseconds.
CALLER_TIMEOUT_HEADER = b'x-request-timeout-ms'
OUTCOME_HEADER = peer_protocol.OUTCOME_HEADER
OUTCOME_NOT_RUN = b'not-run'
OUTCOME_UNKNOWN = b'unknown'
# Longest value of the header that tells a refused caller when to send the
# request again, in seconds: about the time in which the queue of a server
# empties.
MAX_RETRY_AFTER_S = 0.1
# The same for a request without a route while the configuration may be
# outdated, in seconds: about the time between two attempts to confirm it.
MAX_UNCONFIRMED_RETRY_AFTER_S = 0.5
# Longest value of the same header as a fraction of the time left until the
# deadline of the request.
RETRY_AFTER_TIME_LEFT_FRACTION = 0.3


def stated_time_left_s(request: http_codec.Request) -> float:
    """Returns how long the caller waits for the response, in seconds."""
    left_s = peer_protocol.decode_time_left_s(request.headers)
    if left_s is None:
        left_s = peer_protocol.decode_duration_s(
            request.headers, CALLER_TIMEOUT_HEADER
        )
    return DEFAULT_TIMEOUT_S if left_s is None else left_s


def retry_after_s(left_s: float, longest_s: float = MAX_RETRY_AFTER_S) -> float:
    """Returns after what time a caller may send a refused request again.

    Args:
        left_s: Time left until the deadline of the request, in seconds.
        longest_s: Longest time to return, in seconds.

    Returns:
        Time in seconds.
    """
    return min(longest_s, max(0.0, left_s) * RETRY_AFTER_TIME_LEFT_FRACTION)


def unconfirmed_response(request: http_codec.Request) -> http_codec.Response:
    """Builds the response to a request that may be served once more is known.

    Args:
        request: The request.
    """
    return refusal_response(
        retry_after_s(
            stated_time_left_s(request), MAX_UNCONFIRMED_RETRY_AFTER_S
        )
    )


def refusal_response(retry_after_s: float) -> http_codec.Response:
    """Builds the response to a request that was not run.

    Args:
        retry_after_s: Time after which the caller may send the request again,
            in seconds.
    """
    return http_codec.Response(
        status=503,
        headers=[
            (platform_codec.RETRY_AFTER_HEADER, b'%.3f' % retry_after_s),
            (OUTCOME_HEADER, OUTCOME_NOT_RUN),
        ],
    )
