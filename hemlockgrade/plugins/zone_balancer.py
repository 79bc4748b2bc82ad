"""Balancer plug-in: by expected time, in the own failure domain first."""

from collections.abc import Callable
from collections.abc import Collection
import random as random_module

import attrs

from hemlockgrade import directory as directory_module
from hemlockgrade import kernel
from hemlockgrade import model
from hemlockgrade import peers as peers_module
from hemlockgrade import turns

# A server of another failure domain is taken if those of the own one have
# more requests than the first figure, as a multiple of their slots, and it has
# fewer than the second: by rank, since the users pay for each byte between
# failure domains and what is least urgent is worth the least of it.
SPILL_LOADS_BY_RANK = ((1.2, 1.0), (1.6, 0.8), (3.0, 0.5))
# Share of failed answers above which other failure domains are asked for a
# server that does better. Failures that are as frequent at all servers of a
# service have a common cause, which sending a request again does not mend.
FAILING = 0.2
# Estimates of close servers differ by chance, so that daemons spread out.
JITTER = 0.1


@kernel.register('balancers', 'zone')
@attrs.define(eq=False, kw_only=True)
class ZoneBalancer:
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
    _peer_by_name: dict[str, peers_module.Peer] = attrs.field(factory=dict)
    _peers_by_service: dict[str, list[peers_module.Peer]] = attrs.field(
        factory=dict
    )
    _settled_by_service: dict[str, list[peers_module.Peer]] = attrs.field(
        factory=dict
    )
    _share_credit_by_service: dict[str, float] = attrs.field(factory=dict)
    _turns_by_selector: dict[str, turns.Turns] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.directory.on_member.append(self._member_changed)
        for name in self.directory.member_by_name:
            self._member_changed(name)

    def peer(self, name: str) -> peers_module.Peer | None:
        """Returns the peer of a name."""
        return self._peer_by_name.get(name)

    def choose(
        self,
        service: str,
        tried: Collection[str],
        priority: int = 0,
        route: model.Route | None = None,
    ) -> peers_module.Peer | None:
        """Chooses a server for a request.

        Args:
            service: Service that is to run it.
            tried: Names of the members that were tried already.
            priority: Rank of the request; 0 is the most urgent.
            route: Its route, which may name targets and versions.

        Returns:
            None if no server is left.
        """
        permitted = self._permitted(service, route)
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

    def _is_failing(self, peer: peers_module.Peer) -> bool:
        return peer.failures_at(self.clock()) > FAILING

    def _tried_far(self, tried: Collection[str]) -> bool:
        """Tells whether another failure domain was asked already."""
        for name in tried:
            peer = self._peer_by_name.get(name)
            if peer is not None and peer.member.zone != self.zone:
                return True
        return False

    def _cheapest(
        self, peers: list[peers_module.Peer]
    ) -> peers_module.Peer | None:
        if not peers:
            return None
        random, now = self.random.random, self.clock()
        return min(
            peers, key=lambda p: p.expected_s(now) * (1 + JITTER * random())
        )

    def _permitted(
        self, service: str, route: model.Route | None
    ) -> list[peers_module.Peer]:
        """Returns the peers of the version that the request is to run on."""
        peers = self._peers_by_service.get(service)
        if not peers:
            return []
        if route is not None and route.targets is not None:
            return self._of_selector(peers, route, route.targets)
        share = self.directory.share_by_key.get(service)
        if share is None:
            return self._settled(service, peers)
        new = [
            p
            for p in peers
            if p.member.required_server.version == share.version
        ]
        old = [
            p
            for p in peers
            if p.member.required_server.version != share.version
        ]
        if share.state is model.RolloutState.DONE:
            return new or old
        if share.state is model.RolloutState.ROLLED_BACK:
            return old
        if not new or not self._takes_new(service, share.permille):
            return old or new
        return new

    def _settled(
        self, service: str, peers: list[peers_module.Peer]
    ) -> list[peers_module.Peer]:
        """Returns the peers of the settled version, until a member changes."""
        settled = self._settled_by_service.get(service)
        if settled is None:
            version = directory_module.stable_version(
                [peer.member for peer in peers]
            )
            settled = [
                p for p in peers if p.member.required_server.version == version
            ]
            self._settled_by_service[service] = settled
        return settled

    def _of_selector(
        self,
        peers: list[peers_module.Peer],
        route: model.Route,
        targets: model.Label,
    ) -> list[peers_module.Peer]:
        """Returns the labelled peers of the version whose turn it is.

        Turns of a settled version without a server go to another settled one;
        they never go to a version that a rollout introduces.
        """
        labelled: dict[str, list[peers_module.Peer]] = {}
        for peer in peers:
            server = peer.member.required_server
            if targets.matches(server.server_id):
                labelled.setdefault(server.version, []).append(peer)
        present = [p for p in route.versions if p.version in labelled]
        parts = present if any(p.stable for p in present) else route.versions
        order = self._turns_by_selector.setdefault(
            route.selector, turns.Turns()
        )
        version = order.next({part.version: part.weight for part in parts})
        return [] if version is None else labelled.get(version, [])

    def _takes_new(self, service: str, permille: int) -> bool:
        credit = self._share_credit_by_service.get(service, 0.0)
        credit += permille / 1000
        chosen = credit >= 1
        self._share_credit_by_service[service] = credit - chosen
        return chosen

    def _member_changed(self, name: str):
        """Takes a member's new state; the other members are not touched."""
        member = self.directory.member_by_name.get(name)
        peer = self._peer_by_name.get(name)
        if peer is not None and peer.member.server is not None:
            service = peer.member.required_server.service
            self._settled_by_service.pop(service, None)
            serving = self._peers_by_service.get(service, [])
            if peer in serving:
                serving.remove(peer)
        if member is None:
            self._peer_by_name.pop(name, None)
            return
        if peer is None or _is_another(peer.member, member):
            peer = peers_module.Peer(member)
            self._peer_by_name[name] = peer
        else:
            peer.member = member
            peer.avoid_until = 0.0
        if member.serving:
            service = member.required_server.service
            self._settled_by_service.pop(service, None)
            self._peers_by_service.setdefault(service, []).append(peer)


def _is_another(old: model.Member, new: model.Member) -> bool:
    return (
        old.address != new.address
        or old.server is None
        or new.server is None
        or old.server.server_id != new.server.server_id
        or old.server.born_ms != new.server.born_ms
    )
