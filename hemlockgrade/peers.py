"""Load, failures and cooldowns of peers, as this daemon has seen them."""

from collections.abc import Collection
import math
import statistics
from typing import Protocol

import attrs

from hemlockgrade import backoff
from hemlockgrade import model

# Assumed service time before the first response of any server of a service, in
# seconds.
INITIAL_SERVICE_S = 0.05
# Weight of the latest response in the moving mean of a server's failures, as a
# fraction of 1.
FAILURE_SMOOTHING_WEIGHT = 0.1
# The expected time of a request to a server whose requests all fail is
# multiplied by 1 plus this factor.
FAILURE_PENALTY_FACTOR = 10.0
# A peer that refused a request although its server accepts requests, usually
# because no slot was free, is avoided for this time, in seconds. It is about
# one service time, after which a slot has become free.
FULL_COOLDOWN_S = 0.05
# A peer whose server does not accept requests is avoided for this time, in
# seconds, unless its member changes before that.
UNAVAILABLE_COOLDOWN_S = 1.0
# A peer to which the connection failed is avoided for this time, in seconds.
# The time doubles with each consecutive failure, up to the maximum.
UNREACHABLE_COOLDOWN_S = 0.5
MAX_UNREACHABLE_COOLDOWN_S = 4.0
# The failure fraction of a server without new responses halves in this time, in
# seconds, so that a server that is avoided because of its failures gets
# requests again.
FAILURE_HALF_LIFE_S = 3.0
# What is known of the load and the time of a server counts in full for this
# time after a response, in seconds, and then for half after each half-life; the
# rest is the mean of its service. A server that was slow or busy once gets
# requests again, and one that is in use is known as well as before.
KNOWLEDGE_VALID_S = 3.0
KNOWLEDGE_HALF_LIFE_S = 1.5


@attrs.define(eq=False)
class Peer:
    """State of a daemon and its server, as this daemon has seen it.

    This daemon has a `Peer` for itself, too, so that a balancer can choose the
    local server.

    During a cooldown a balancer chooses the peer only if no other one is
    suitable.

    Attributes:
        member: Stored record of the peer and its server.
        in_flight: Number of requests that this daemon sent to the peer and
            that have not ended.
        in_flight_from_others: Number of requests that all other daemons have
            at the peer's server, according to the peer's latest response.
        service_s: Mean service time of the peer's server in seconds, according
            to its latest response; None before the first response.
        failure_fraction: Moving mean of failed responses as a fraction of all
            responses, from 0 to 1, at the latest result. Missing responses
            count as failed.
        last_result_at: Monotonic time of the latest response or timeout.
        load_at: Monotonic time at which the peer told the load of its server.
        full_cooldown_until: Monotonic time until which the peer is avoided,
            because its server is assumed to have no free slot.
        cooldown_until: Monotonic time until which the peer is avoided, because
            it is unreachable or its server does not accept requests.
        connect_failures: Number of consecutive failures to connect.
        max_requests_per_s: Requests a second that the peer's server takes from
            all hosts together, according to the peer's latest response.
        limited_until: Monotonic time of the turn of this daemon at a server
            that has got as many requests as it takes; the peer is not chosen
            before it.
        link_free_at: Monotonic time at which the link of the peer's host has
            sent the large bodies that it had at the latest response.
        server_leaves: True once a response of the peer's server said that it
            leaves.
    """

    member: model.Member
    in_flight: int = 0
    in_flight_from_others: float = 0.0
    service_s: float | None = None
    failure_fraction: float = 0.0
    last_result_at: float = 0.0
    load_at: float = -math.inf
    full_cooldown_until: float = 0.0
    cooldown_until: float = 0.0
    connect_failures: int = 0
    max_requests_per_s: float = math.inf
    limited_until: float = 0.0
    link_free_at: float = 0.0
    server_leaves: bool = False

    @property
    def slots(self) -> float:
        """Returns how many requests the server may run at once.

        With a limit on its rate, that is the number of requests that run at
        once at this rate (Little's law), but not below 1.
        """
        slots = self.member.required_server.slots
        if self.service_s is None or math.isinf(self.max_requests_per_s):
            return slots
        return min(slots, max(1.0, self.max_requests_per_s * self.service_s))

    @property
    def load(self) -> float:
        """Returns the requests at the server, as a multiple of its slots."""
        return (self.in_flight + self.in_flight_from_others) / self.slots

    def failure_fraction_at(self, now: float) -> float:
        """Returns the failed fraction of the responses, from 0 to 1.

        The fraction decays while no response arrives.

        Args:
            now: Monotonic time in seconds.
        """
        if not self.failure_fraction:
            return 0.0
        idle_s = max(0.0, now - self.last_result_at)
        return self.failure_fraction * 0.5 ** (idle_s / FAILURE_HALF_LIFE_S)

    def expected_s(self, now: float, mean: 'MeanServer') -> float:
        """Returns the expected time of one more request, in seconds.

        Args:
            now: Monotonic time in seconds.
            mean: Mean of the servers of the service, which is assumed before
                the first response.
        """
        slots = self.slots
        known = self._knowledge(now)
        others = mean.load * slots * (1 - known)
        if known:
            others += self.in_flight_from_others * known
        requests = self.in_flight + others
        queued = max(0.0, requests + 1 - slots)
        busy_fraction = min(1.0, requests / slots)
        # The service time grows by a fraction of up to 0.3 with the busy slots,
        # and the wait is one service time for each `slots` queued requests.
        expected_s = self.mean_service_s(now, mean) * (
            1 + 0.3 * busy_fraction + queued / slots
        )
        return expected_s * (
            1 + FAILURE_PENALTY_FACTOR * self.failure_fraction_at(now)
        )

    def link_wait_s(self, now: float) -> float:
        """Returns how long a large body waits for the link, in seconds.

        Args:
            now: Monotonic time in seconds.
        """
        return max(0.0, self.link_free_at - now)

    def mean_service_s(self, now: float, mean: 'MeanServer') -> float:
        """Returns the mean service time of the server, in seconds.

        Args:
            now: Monotonic time in seconds.
            mean: Mean of the servers of the service, which is assumed before
                the first response and long after the latest one.
        """
        if self.service_s is None:
            return mean.service_s
        known = self._knowledge(now)
        return known * self.service_s + (1 - known) * mean.service_s

    def _knowledge(self, now: float) -> float:
        """Returns how much of what the peer told still counts, from 0 to 1."""
        if self.service_s is None:
            return 0.0
        if self.in_flight:
            # A response is expected.
            return 1.0
        age_s = max(0.0, now - self.load_at - KNOWLEDGE_VALID_S)
        return 0.5 ** (age_s / KNOWLEDGE_HALF_LIFE_S)

    def record_load(
        self, request_count: int, service_s: float, now: float
    ) -> None:
        """Records the load of its server that the peer sent in a response.

        Args:
            request_count: Number of requests that run at the server or wait
                for a slot.
            service_s: Mean service time of the server, in seconds; 0 if it is
                not known.
            now: Monotonic time in seconds.
        """
        self.in_flight_from_others = max(0.0, request_count - self.in_flight)
        self.load_at = now
        if service_s > 0:
            self.service_s = service_s

    def record_response(self, failed: bool, now: float) -> None:
        """Records the peer's response to an attempt that it did not refuse.

        Args:
            failed: True if the request failed or its outcome is unknown.
            now: Monotonic time in seconds.
        """
        self._count_result(failed, now)
        self.connect_failures = 0

    def record_timeout(self, now: float) -> None:
        """Records that the deadline of an attempt passed without a response.

        Args:
            now: Monotonic time in seconds.
        """
        self._count_result(True, now)

    def _count_result(self, failed: bool, now: float):
        previous = self.failure_fraction_at(now)
        self.failure_fraction = previous + FAILURE_SMOOTHING_WEIGHT * (
            float(failed) - previous
        )
        self.last_result_at = now

    def record_refusal(self, server_unavailable: bool, now: float) -> None:
        """Starts a cooldown after a refused request.

        Args:
            server_unavailable: True if the peer's server does not accept any
                requests, False if only this request was refused, usually
                because no slot was free.
            now: Monotonic time in seconds.
        """
        if server_unavailable:
            self.cooldown_until = now + UNAVAILABLE_COOLDOWN_S
        else:
            self.full_cooldown_until = now + FULL_COOLDOWN_S

    def record_connect_failure(self, now: float) -> None:
        """Starts a cooldown after a failed connection."""
        self.connect_failures += 1
        self.cooldown_until = now + backoff.delay_s(
            self.connect_failures,
            UNREACHABLE_COOLDOWN_S,
            MAX_UNREACHABLE_COOLDOWN_S,
        )


@attrs.frozen
class MeanServer:
    """Mean of the servers of a service, as far as they are known.

    Attributes:
        load: Requests at a server from other daemons, as a multiple of its
            slots.
        service_s: Service time in seconds.
    """

    load: float
    service_s: float

    @classmethod
    def of(cls, peers: Collection[Peer]) -> 'MeanServer':
        """Returns the mean of servers; those without a response are left out.

        A server that slowed down to a multiple of the mean has no more weight
        than another one.
        """
        known = [peer for peer in peers if peer.service_s is not None]
        if not known:
            return cls(0.0, INITIAL_SERVICE_S)
        return cls(
            sum(peer.in_flight_from_others / peer.slots for peer in known)
            / len(known),
            statistics.median(peer.service_s or 0.0 for peer in known),
        )


@attrs.frozen(kw_only=True)
class Choice:
    """The server of an attempt.

    Attributes:
        peer: The peer whose server runs the request.
        max_wait_s: Longest expected wait for a slot with which the server is
            to accept the request, in seconds.
    """

    peer: Peer
    max_wait_s: float = math.inf


@attrs.frozen(kw_only=True)
class RequestNeeds:
    """What a request needs from the server that is chosen for it.

    Attributes:
        service: Service that runs the request.
        route: Route of the request, which may restrict its targets and
            versions; None if it has no restrictions.
        on_time_until: Monotonic time until which the response is on time, in
            seconds.
        deadline: Monotonic time until which the caller waits for the response.
        busy_refusals: Number of servers that refused the request because its
            wait was longer than expected.
        priority: Priority of the request; 0 is the most urgent.
        message_bytes: Expected size of the request and its response, in bytes.
        has_large_response: True if the response waits for the link of the
            server's host.
    """

    service: str
    route: model.Route | None = None
    on_time_until: float = math.inf
    deadline: float = math.inf
    busy_refusals: int = 0
    priority: int = 0
    message_bytes: float = 0.0
    has_large_response: bool = False


class Balancer(Protocol):
    """Chooses the server for each request."""

    def choose(
        self, needs: RequestNeeds, tried: Collection[str]
    ) -> Choice | None:
        """Chooses a server for a request.

        Args:
            needs: What the request needs.
            tried: Names of the members to which the request has been sent.

        Returns:
            The choice; None if no server is suitable.
        """

    def fails_everywhere(self, service: str) -> bool:
        """Returns whether every server of a service fails often."""

    def limited_until(self, service: str) -> float:
        """Returns when the first limited server may take requests again.

        Args:
            service: Service of the servers.

        Returns:
            Monotonic time in seconds; 0 if no server is limited now.
        """
