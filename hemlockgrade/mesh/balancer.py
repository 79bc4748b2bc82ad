"""Choice of the server that is to run a request."""

from collections.abc import Callable
from collections.abc import Collection
import random as random_module

import attrs

from hemlockgrade import backoff
from hemlockgrade.mesh import directory as directory_module
from hemlockgrade.mesh import model

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
# A server of another failure domain is taken if those of the own one have
# more requests than the first figure, as a multiple of their slots, and it has
# fewer than the second: by rank, since the users pay for each byte between
# failure domains and what is least urgent is worth the least of it.
SPILL_LOADS_BY_RANK = ((1.2, 1.0), (1.6, 0.8), (3.0, 0.5))
# Share of failed answers above which other failure domains are asked for a
# server that does better. Failures that are as frequent at all servers of a
# service have a common cause, which sending a request again does not mend.
FAILING = 0.2
# A server that got no requests for its failures is tried again: its share of
# them halves in this time, in seconds.
FAILURES_HALF_LIFE_S = 3.0
# Estimates of close servers differ by chance, so that daemons spread out.
JITTER = 0.1


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
        return (self.in_flight + self.others) / self.member.server_facts.slots

    def failures_at(self, now: float) -> float:
        """Returns its share of failed answers, 0 to 1."""
        idle_s = max(0.0, now - self.answered_at)
        return self.failures * 0.5 ** (idle_s / FAILURES_HALF_LIFE_S)

    def expected_s(self, now: float) -> float:
        """Returns the time that one more request is expected to take."""
        if self.service_s is None:
            # A server that is never chosen would never be measured.
            return INITIAL_SERVICE_S if self.in_flight else 0.0
        slots = self.member.server_facts.slots
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


@attrs.define(eq=False, kw_only=True)
class Balancer:
    """Chooses by expected time, in the own failure domain as long as it can.

    Attributes:
        directory: Knows members and shares.
        zone: Own failure domain.
        clock: Monotonic time in seconds.
    """

    directory: directory_module.Directory
    zone: str
    clock: Callable[[], float]
    random: random_module.Random = attrs.field(factory=random_module.Random)
    _peer_by_name: dict[str, Peer] = attrs.field(factory=dict)
    _peers_by_service: dict[str, list[Peer]] = attrs.field(factory=dict)
    _share_credit_by_service: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.directory.on_members.append(self._members_changed)

    def peer(self, name: str) -> Peer | None:
        """Returns the peer of a name."""
        return self._peer_by_name.get(name)

    def choose(
        self, service: str, tried: Collection[str], priority: int = 0
    ) -> Peer | None:
        """Chooses a server for a request.

        Args:
            service: Service that is to run it.
            tried: Names of the members that were tried already.
            priority: Rank of the request; 0 is the most urgent.

        Returns:
            None if no server is left.
        """
        permitted = self._permitted(service)
        candidates = [p for p in permitted if p.member.name not in tried]
        if not candidates:
            return None
        now = self.clock()
        usable = [p for p in candidates if p.avoid_until <= now]
        near = [p for p in usable if p.member.zone == self.zone]
        free = [p for p in near if p.full_until <= now]
        best = self._cheapest(free)
        rank = min(priority, len(SPILL_LOADS_BY_RANK) - 1)
        near_load, far_load = SPILL_LOADS_BY_RANK[rank]
        has_room = best is not None and best.load < near_load
        if best is not None and has_room and not self._is_failing(best):
            return best
        if not self._tried_far(tried):
            far = [
                p
                for p in usable
                if p.member.zone != self.zone
                and p.full_until <= now
                and p.load < far_load
                and not (has_room and self._is_failing(p))
            ]
            other = self._cheapest(far)
            if other is not None:
                return other
        if best is not None:
            return best
        if tried:
            return None
        if near:
            return self._cheapest(near)
        if usable:
            # Asking a full server of another zone costs bytes for nothing.
            return self._cheapest([p for p in usable if p.full_until <= now])
        return min(candidates, key=lambda p: p.avoid_until)

    def fails_everywhere(self, service: str) -> bool:
        """Tells whether all servers of a service fail often."""
        peers = self._peers_by_service.get(service, ())
        return all(self._is_failing(peer) for peer in peers)

    def _is_failing(self, peer: Peer) -> bool:
        return peer.failures_at(self.clock()) > FAILING

    def _tried_far(self, tried: Collection[str]) -> bool:
        """Tells whether another failure domain was asked already."""
        for name in tried:
            peer = self._peer_by_name.get(name)
            if peer is not None and peer.member.zone != self.zone:
                return True
        return False

    def _cheapest(self, peers: list[Peer]) -> Peer | None:
        if not peers:
            return None
        random, now = self.random.random, self.clock()
        return min(
            peers, key=lambda p: p.expected_s(now) * (1 + JITTER * random())
        )

    def _permitted(self, service: str) -> list[Peer]:
        """Returns the peers of the version that the request is to run on."""
        peers = self._peers_by_service.get(service)
        if not peers:
            return []
        share = self.directory.share_by_service.get(service)
        if share is None:
            settled = directory_module.settled_version(
                [peer.member for peer in peers]
            )
            return [
                p for p in peers if p.member.server_facts.version == settled
            ]
        new = [
            p for p in peers if p.member.server_facts.version == share.version
        ]
        old = [
            p for p in peers if p.member.server_facts.version != share.version
        ]
        if share.state is model.RolloutState.COMPLETED:
            return new or old
        if share.state is model.RolloutState.ROLLED_BACK:
            return old
        if not new or not self._takes_new(service, share.permille):
            return old or new
        return new

    def _takes_new(self, service: str, permille: int) -> bool:
        credit = self._share_credit_by_service.get(service, 0.0)
        credit += permille / 1000
        chosen = credit >= 1
        self._share_credit_by_service[service] = credit - chosen
        return chosen

    def _members_changed(self):
        members = self.directory.member_by_name
        for name in list(self._peer_by_name):
            if name not in members:
                del self._peer_by_name[name]
        self._peers_by_service = {}
        for name, member in members.items():
            peer = self._peer_by_name.get(name)
            if peer is None or _is_another(peer.member, member):
                peer = Peer(member)
                self._peer_by_name[name] = peer
            elif peer.member.revision != member.revision:
                peer.member = member
                peer.avoid_until = 0.0
            if member.serving:
                by_service = self._peers_by_service
                by_service.setdefault(member.server_facts.service, []).append(
                    peer
                )


def _is_another(old: model.Member, new: model.Member) -> bool:
    return (
        old.address != new.address
        or old.server is None
        or new.server is None
        or old.server.server_id != new.server.server_id
        or old.server.born_ms != new.server.born_ms
    )
