"""Decides which server runs a request and how long the request may wait there.

Load pattern: many daemons send to the same servers, and each of them learns the
load of a server only from the responses to its own few requests. What it knows
is old, so the requests of many daemons meet at servers that seem to be idle.
Therefore the sender says how long the request may wait, and a server whose real
wait is longer refuses it at once, together with its load.

The second pattern is a failure domain with more load than its servers take. A
request stays in its failure domain while its response is likely to be on time
there, and leaves it when only another one is likely to be on time. Users pay
for each byte between failure domains, so a large message leaves only if it is
urgent, or would not be answered at all.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math

import attrs

# A response is likely to be on time, in 19 of 20 cases, if this multiple of its
# expected time is left: service times vary by about a third.
ON_TIME_MARGIN = 1.7
# A message of more than 2 kB leaves its failure domain only if it is expected
# to be late at home, because its bytes cost more than a few late responses.
SMALL_MESSAGE_BYTES = 2 * 1024
LARGE_MESSAGE_MARGIN = 1.0
# Largest message, request and response together, that leaves its failure domain
# to be on time, in bytes. The index is the priority: less urgent requests
# justify the cost of the bytes less.
MAX_LEAVING_BYTES_BY_PRIORITY = (64 * 1024, 8 * 1024, SMALL_MESSAGE_BYTES)
# Time that the way to another failure domain and back adds, in seconds.
REMOTE_WAY_S = 0.004
# Largest random increase of an expected time, as a fraction of it. It spreads
# the requests of many daemons over servers whose expected times are close.
JITTER_FRACTION = 0.1
# Shortest wait that a sender allows, in seconds. A refusal and a further
# attempt take about as long.
MIN_MAX_WAIT_S = 0.005
# Number of servers that may refuse a request because its wait is longer than
# expected. The next one has to accept it with any wait, so that a request ends
# although all servers are busy.
MAX_BUSY_REFUSALS = 3


@attrs.frozen(kw_only=True)
class Candidate:
    """A server that may run a request.

    Attributes:
        name: Name of the member.
        is_local: True if the server is in the failure domain of the sender.
        service_s: Expected time from the start of the run to the response, in
            seconds.
        expected_s: Expected time from now to the response, in seconds.
        is_failing: True if the server fails often.
    """

    name: str
    is_local: bool
    service_s: float
    expected_s: float
    is_failing: bool = False

    @property
    def way_s(self) -> float:
        """Returns the time of the way to the server and back, in seconds."""
        return 0.0 if self.is_local else REMOTE_WAY_S


@attrs.frozen(kw_only=True)
class Placement:
    """Where a request is sent.

    Attributes:
        name: Name of the member whose server runs the request.
        max_wait_s: Longest expected wait for a slot with which the server is
            to accept the request, in seconds.
    """

    name: str
    max_wait_s: float = math.inf


def place(
    candidates: Sequence[Candidate],
    *,
    on_time_s: float,
    deadline_s: float,
    busy_refusals: int,
    priority: int = 0,
    message_bytes: float = 0.0,
    random: Callable[[], float],
) -> Placement | None:
    """Chooses the server of a request.

    Args:
        candidates: The servers that may run the request.
        on_time_s: Time left within the target latency, in seconds.
        deadline_s: Time left until the deadline, in seconds.
        busy_refusals: Number of servers that refused the request because its
            wait was longer than expected.
        priority: Priority of the request; 0 is the most urgent.
        message_bytes: Size of the request and its response, in bytes.
        random: Returns a random number from 0 to 1.

    Returns:
        The placement; None if there is no candidate.
    """
    local = _best_first([c for c in candidates if c.is_local], random)
    remote = _best_first([c for c in candidates if not c.is_local], random)
    ranked = local + remote
    left_s = on_time_s
    if on_time_s <= 0 or message_bytes > _max_leaving_bytes(priority):
        left_s = deadline_s
    home_margin = (
        ON_TIME_MARGIN
        if message_bytes <= SMALL_MESSAGE_BYTES
        else LARGE_MESSAGE_MARGIN
    )
    if (
        local
        and remote
        and _leaves_home(local[0], remote[0], left_s, home_margin)
    ):
        ranked = remote + local
    if not ranked:
        return None
    chosen = ranked[0]
    if busy_refusals >= MAX_BUSY_REFUSALS:
        return Placement(name=chosen.name)
    return Placement(
        name=chosen.name,
        max_wait_s=_max_wait_s(chosen, ranked[1:], left_s, home_margin),
    )


def _best_first(
    candidates: list[Candidate], random: Callable[[], float]
) -> list[Candidate]:
    """Orders candidates by their expected time."""
    return sorted(
        candidates,
        key=lambda c: c.expected_s * (1 + JITTER_FRACTION * random()),
    )


def _max_leaving_bytes(priority: int) -> int:
    lowest = len(MAX_LEAVING_BYTES_BY_PRIORITY) - 1
    return MAX_LEAVING_BYTES_BY_PRIORITY[min(priority, lowest)]


def _leaves_home(
    home: Candidate, away: Candidate, left_s: float, home_margin: float
) -> bool:
    """Returns whether a request leaves the failure domain of its sender."""
    if away.is_failing:
        return False
    if home.is_failing:
        return True
    is_late_at_home = home.expected_s * home_margin > left_s
    return is_late_at_home and _is_likely(away, left_s)


def _is_likely(candidate: Candidate, left_s: float) -> bool:
    """Returns whether a response is likely within the time left."""
    expected_s = candidate.expected_s + candidate.way_s
    return expected_s * ON_TIME_MARGIN <= left_s


def _max_wait_s(
    chosen: Candidate,
    others: Sequence[Candidate],
    left_s: float,
    margin: float,
) -> float:
    """Returns how long a request may wait at the chosen server.

    A wait is too long if the best other server of the failure domain is
    expected to respond earlier, or if only a server of another one is likely to
    respond in time.

    Args:
        chosen: The chosen server.
        others: The other servers, the best one of each failure domain first.
        left_s: Time left, in seconds.
        margin: Multiple of the expected time that has to be left.

    Returns:
        Time in seconds; `math.inf` if no other server is better.
    """
    max_wait_s = math.inf
    neighbour = next((c for c in others if c.is_local == chosen.is_local), None)
    if neighbour is not None:
        max_wait_s = neighbour.expected_s - chosen.service_s
    elsewhere = next((c for c in others if c.is_local != chosen.is_local), None)
    if elsewhere is not None and _is_likely(elsewhere, left_s):
        in_time_s = left_s / margin - chosen.way_s - chosen.service_s
        max_wait_s = min(max_wait_s, in_time_s)
    return max(MIN_MAX_WAIT_S, max_wait_s)
