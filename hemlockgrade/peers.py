"""What a daemon saw of the others and of their servers."""

from collections.abc import Collection
from typing import Protocol

import attrs

from hemlockgrade import backoff
from hemlockgrade import model

# Service time that is assumed while the first request to a server is under
# way, in seconds.
INITIAL_SERVICE_S = 0.05
# Weight of the newest answer in the moving mean of a server's failures.
FAILURE_WEIGHT = 0.1
# Expected time counts up to this many times more for a server that fails.
FAILURE_FACTOR = 10.0
# A peer that refused for want of room is passed over for this time, in
# seconds: about one service time, after which a slot was free again.
FULL_PAUSE_S = 0.05
# A peer whose server does not take requests is passed over for this time, in
# seconds, unless its entry changes before.
CLOSED_PAUSE_S = 1.0
# A peer that could not be reached is passed over for this time, in seconds,
# doubled with each further failure up to the longest one.
UNREACHABLE_PAUSE_S = 0.5
MAX_UNREACHABLE_PAUSE_S = 4.0
# A server that got no requests for its failures is tried again: its share of
# them halves in this time, in seconds.
FAILURES_HALF_LIFE_S = 3.0


@attrs.define(eq=False)
class Peer:
    """What this daemon saw of another daemon and its server.

    Attributes:
        member: The daemon.
        in_flight: Requests sent to it and not yet ended.
        others: Requests of others at its server, by its last answer.
        service_s: Mean time that its server needs, by its last answer; None
            before the first one.
        failures: Moving share of failed answers, 0 to 1, at its last answer.
        answered_at: Monotonic time of its last answer.
        full_until: Monotonic time until which it is taken to have no room.
        avoid_until: Monotonic time until which it is passed over, because it
            cannot be reached or its server takes no requests.
        unreachable: Failures to reach it in a row.
    """

    member: model.Member
    in_flight: int = 0
    others: float = 0.0
    service_s: float | None = None
    failures: float = 0.0
    answered_at: float = 0.0
    full_until: float = 0.0
    avoid_until: float = 0.0
    unreachable: int = 0

    @property
    def load(self) -> float:
        """Returns the requests at its server, as a multiple of its slots."""
        return (
            self.in_flight + self.others
        ) / self.member.required_server.slots

    def failures_at(self, now: float) -> float:
        """Returns its share of failed answers, 0 to 1."""
        idle_s = max(0.0, now - self.answered_at)
        return self.failures * 0.5 ** (idle_s / FAILURES_HALF_LIFE_S)

    def expected_s(self, now: float) -> float:
        """Returns the time that one more request is expected to take."""
        if self.service_s is None:
            # A server that is never chosen would never be measured.
            return INITIAL_SERVICE_S if self.in_flight else 0.0
        slots = self.member.required_server.slots
        waiting = max(0.0, self.in_flight + self.others + 1 - slots)
        busy = min(1.0, (self.in_flight + self.others) / slots)
        expected = self.service_s * (1 + 0.3 * busy + waiting / slots)
        return expected * (1 + FAILURE_FACTOR * self.failures_at(now))

    def report_load(self, in_use: int, service_s: float) -> None:
        """Takes what its daemon said of its server's load.

        Args:
            in_use: Requests that the server has or that wait for it.
            service_s: Mean time that the server needs, in seconds.
        """
        self.others = max(0.0, in_use - self.in_flight)
        if service_s > 0:
            self.service_s = service_s

    def report_result(self, failed: bool, now: float) -> None:
        """Counts an answer of its server."""
        before = self.failures_at(now)
        self.failures = before + FAILURE_WEIGHT * (float(failed) - before)
        self.answered_at = now
        self.unreachable = 0

    def report_refusal(self, closed: bool, now: float) -> None:
        """Passes it over for a moment.

        Args:
            closed: True if its server takes no requests at all.
            now: Monotonic time.
        """
        if closed:
            self.avoid_until = now + CLOSED_PAUSE_S
        else:
            self.full_until = now + FULL_PAUSE_S

    def report_unreachable(self, now: float) -> None:
        """Passes it over for a while."""
        self.unreachable += 1
        self.avoid_until = now + backoff.delay_s(
            self.unreachable, UNREACHABLE_PAUSE_S, MAX_UNREACHABLE_PAUSE_S
        )


class Balancer(Protocol):
    """Chooses the server of each request."""

    def choose(
        self,
        service: str,
        tried: Collection[str],
        priority: int = 0,
        route: model.Route | None = None,
    ) -> Peer | None:
        """Chooses a server for a request.

        Args:
            service: Service that is to run it.
            tried: Names of the members that were tried already.
            priority: Rank of the request; 0 is the most urgent.
            route: Its route, which may name targets and versions.

        Returns:
            None if no server is left.
        """

    def fails_everywhere(self, service: str) -> bool:
        """Tells whether all servers of a service fail often."""
