"""Balancer plug-in that prefers servers of the own failure domain.

It finds the servers that may run a request and what is known of them;
`placement` chooses one of them.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Container
import random as random_module

import attrs

from hemlockgrade import directory as directory_module
from hemlockgrade import kernel
from hemlockgrade import model
from hemlockgrade import peers as peers_module
from hemlockgrade import placement
from hemlockgrade import weighted_round_robin

# A server counts as failing if more than this fraction of its responses, from 0
# to 1, are failures. Servers of other failure domains that are not failing are
# then preferred. If all servers of a service fail this often, the failures have
# a common cause, and a retry does not help.
FAILING_FRACTION = 0.2
# Largest number of servers of other failure domains that are compared for a
# request. A random choice spreads the requests that leave, and bounds the
# processor time of a choice in a large service.
MAX_REMOTE_CANDIDATES = 8
# Largest number of leaving servers that are remembered after their peer was
# replaced.
MAX_LEAVING_SERVERS = 10_000


@kernel.register('balancers', 'zone')
@attrs.define(eq=False, kw_only=True)
class ZoneBalancer:
    """Chooses the server whose response is likely to be on time.

    Servers of the own failure domain are preferred.

    Attributes:
        directory: Known members and traffic shares.
        zone: Failure domain of this daemon's host.
        clock: Returns the monotonic time in seconds.
        random: Source of the jitter of expected times.
    """

    directory: directory_module.Directory
    zone: str
    clock: Callable[[], float]
    random: random_module.Random = attrs.field(factory=random_module.Random)
    _peer_by_name: dict[str, peers_module.Peer] = attrs.field(factory=dict)
    _peers_by_service: dict[str, list[peers_module.Peer]] = attrs.field(
        factory=dict
    )
    _stable_peers_by_service: dict[str, list[peers_module.Peer]] = attrs.field(
        factory=dict
    )
    _leaving_servers: dict[tuple[str, int] | None, None] = attrs.field(
        factory=dict
    )
    _accumulated_share_by_service: dict[str, float] = attrs.field(factory=dict)
    _round_robin_by_selector: dict[
        str, weighted_round_robin.WeightedRoundRobin
    ] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.directory.on_member.append(self._apply_member_change)
        for name in self.directory.member_by_name:
            self._apply_member_change(name)

    def peer(self, name: str) -> peers_module.Peer | None:
        """Returns the peer on a host, by the name of the host."""
        return self._peer_by_name.get(name)

    def choose(
        self, needs: peers_module.RequestNeeds, tried: Collection[str]
    ) -> peers_module.Choice | None:
        """Chooses a server for a request.

        A peer in a cooldown is chosen only if no other peer is suitable and
        `tried` is empty. A peer whose server leaves, or has got as many
        requests as it takes, is not chosen, nor is one of an evacuated failure
        domain.

        Args:
            needs: What the request needs.
            tried: Names of the members to which the request has been sent.

        Returns:
            The choice; None if no server is suitable.
        """
        permitted = self._permitted_peers(needs.service, needs.route)
        now = self.clock()
        evacuated = self.directory.evacuated_domains
        suitable = [
            p
            for p in permitted
            if p.member.name not in tried
            and p.member.zone not in evacuated
            and p.limited_until <= now
            and not p.server_leaves
        ]
        usable = [p for p in suitable if p.cooldown_until <= now]
        candidates = [p for p in usable if p.full_cooldown_until <= now]
        if self._has_tried_remote(tried):
            candidates = [p for p in candidates if p.member.zone == self.zone]
        has_local = any(p.member.zone == self.zone for p in candidates)
        if not tried and not has_local:
            # A full server of another failure domain would refuse the request,
            # which costs bytes between failure domains without any use.
            candidates += [p for p in usable if p.member.zone == self.zone]
        if not candidates and not tried and not usable:
            candidates = sorted(suitable, key=lambda p: p.cooldown_until)[:1]
        return self._place(self._limit_remote(candidates), needs, now)

    def _limit_remote(
        self, candidates: list[peers_module.Peer]
    ) -> list[peers_module.Peer]:
        """Returns the local candidates and some of the others."""
        remote = [p for p in candidates if p.member.zone != self.zone]
        if len(remote) <= MAX_REMOTE_CANDIDATES:
            return candidates
        local = [p for p in candidates if p.member.zone == self.zone]
        return local + self.random.sample(remote, MAX_REMOTE_CANDIDATES)

    def _place(
        self,
        candidates: list[peers_module.Peer],
        needs: peers_module.RequestNeeds,
        now: float,
    ) -> peers_module.Choice | None:
        mean = peers_module.MeanServer.of(candidates)
        placed = placement.place(
            [self._describe(peer, mean, needs, now) for peer in candidates],
            on_time_s=needs.on_time_until - now,
            deadline_s=needs.deadline - now,
            busy_refusals=needs.busy_refusals,
            priority=needs.priority,
            message_bytes=needs.message_bytes,
            random=self.random.random,
        )
        if placed is None:
            return None
        return peers_module.Choice(
            peer=self._peer_by_name[placed.name], max_wait_s=placed.max_wait_s
        )

    def _describe(
        self,
        peer: peers_module.Peer,
        mean: peers_module.MeanServer,
        needs: peers_module.RequestNeeds,
        now: float,
    ) -> placement.Candidate:
        expected_s = peer.expected_s(now, mean)
        if needs.has_large_response:
            expected_s += peer.link_wait_s(now)
        return placement.Candidate(
            name=peer.member.name,
            is_local=peer.member.zone == self.zone,
            service_s=peer.mean_service_s(now, mean),
            expected_s=expected_s,
            is_failing=self._is_failing(peer),
        )

    def fails_everywhere(self, service: str) -> bool:
        """Returns whether every server of a service fails often."""
        peers = self._peers_by_service.get(service, ())
        return all(self._is_failing(peer) for peer in peers)

    def limited_until(self, service: str) -> float:
        """Returns when the first limited server may take requests again."""
        now = self.clock()
        return min(
            (
                peer.limited_until
                for peer in self._peers_by_service.get(service, ())
                if peer.limited_until > now
            ),
            default=0.0,
        )

    def _is_failing(self, peer: peers_module.Peer) -> bool:
        return peer.failure_fraction_at(self.clock()) > FAILING_FRACTION

    def _has_tried_remote(self, tried: Collection[str]) -> bool:
        """Returns whether a peer of another failure domain was tried."""
        for name in tried:
            peer = self._peer_by_name.get(name)
            if peer is not None and peer.member.zone != self.zone:
                return True
        return False

    def _permitted_peers(
        self, service: str, route: model.Route | None
    ) -> list[peers_module.Peer]:
        """Returns the peers whose servers may run a request.

        They are those of the version that the rollout or the selector chooses
        for this request, or those of the stable version if there is neither.
        """
        peers = self._peers_by_service.get(service)
        if not peers:
            return []
        if route is not None and route.targets is not None:
            return self._peers_of_selector(peers, route, route.targets)
        share = self.directory.share_by_key.get(service)
        if share is None:
            return self._stable_peers(service, peers)
        new_peers = [
            p
            for p in peers
            if p.member.required_server.version == share.version
        ]
        other_peers = [
            p
            for p in peers
            if p.member.required_server.version != share.version
        ]
        if share.state is model.RolloutState.DONE:
            return new_peers or other_peers
        if share.state is model.RolloutState.ROLLED_BACK:
            return other_peers
        if not new_peers or not self._chooses_new_version(
            service, share.permille
        ):
            return other_peers or new_peers
        return new_peers

    def _stable_peers(
        self, service: str, peers: list[peers_module.Peer]
    ) -> list[peers_module.Peer]:
        """Returns the peers of the stable version.

        The result is cached until a member of the service changes.
        """
        stable_peers = self._stable_peers_by_service.get(service)
        if stable_peers is None:
            version = directory_module.stable_version(
                [peer.member for peer in peers]
            )
            stable_peers = [
                p for p in peers if p.member.required_server.version == version
            ]
            self._stable_peers_by_service[service] = stable_peers
        return stable_peers

    def _peers_of_selector(
        self,
        peers: list[peers_module.Peer],
        route: model.Route,
        targets: model.Label,
    ) -> list[peers_module.Peer]:
        """Returns the labelled peers of the version that is chosen next.

        While a stable version has a labelled server, versions without one are
        left out, and the requests of the stable ones among them go to the other
        stable versions. If no stable version has a labelled server, all
        versions keep their weights: the requests of the stable versions get no
        peer. In neither case does one of them go to the version that a rollout
        introduces.

        Args:
            peers: Peers of the route's service.
            route: Route of the selector.
            targets: Label of the permitted targets.
        """
        labelled_by_version: dict[str, list[peers_module.Peer]] = {}
        for peer in peers:
            server = peer.member.required_server
            if targets.matches(server.server_id):
                labelled_by_version.setdefault(server.version, []).append(peer)
        weight_by_version = _weights(route.versions, labelled_by_version)
        round_robin = self._round_robin_by_selector.setdefault(
            route.selector, weighted_round_robin.WeightedRoundRobin()
        )
        version = round_robin.next(weight_by_version)
        return [] if version is None else labelled_by_version.get(version, [])

    def _chooses_new_version(self, service: str, permille: int) -> bool:
        """Returns whether the next request goes to the new version.

        The traffic share is added up per request; the new version is chosen
        each time the sum reaches 1.

        Args:
            service: Service of the request.
            permille: Traffic share of the new version, in thousandths of the
                service's requests.
        """
        accumulated = self._accumulated_share_by_service.get(service, 0.0)
        accumulated += permille / 1000
        is_chosen = accumulated >= 1
        self._accumulated_share_by_service[service] = accumulated - is_chosen
        return is_chosen

    def _apply_member_change(self, name: str):
        """Updates the peer of a member that was added, changed or removed.

        The peers of the other members stay as they are.
        """
        member = self.directory.member_by_name.get(name)
        peer = self._peer_by_name.get(name)
        if peer is not None and peer.member.server is not None:
            service = peer.member.required_server.service
            self._stable_peers_by_service.pop(service, None)
            service_peers = self._peers_by_service.get(service, [])
            if peer in service_peers:
                service_peers.remove(peer)
            if peer.server_leaves:
                self._remember_leaving(peer.member)
        if member is None:
            self._peer_by_name.pop(name, None)
            return
        if peer is None or _is_other_server(peer.member, member):
            peer = peers_module.Peer(member)
            peer.server_leaves = _incarnation(member) in self._leaving_servers
            self._peer_by_name[name] = peer
        else:
            peer.member = member
            peer.cooldown_until = 0.0
        if member.serving:
            service = member.required_server.service
            self._stable_peers_by_service.pop(service, None)
            self._peers_by_service.setdefault(service, []).append(peer)

    def _remember_leaving(self, member: model.Member):
        """Remembers a leaving server, whose member may be stored once more."""
        self._leaving_servers[_incarnation(member)] = None
        if len(self._leaving_servers) > MAX_LEAVING_SERVERS:
            del self._leaving_servers[next(iter(self._leaving_servers))]


def _weights(
    versions: Collection[model.VersionWeight], served: Container[str]
) -> dict[str, float]:
    """Returns the weights of the versions to choose from.

    Args:
        versions: Versions of a selector.
        served: Names of the versions that have a server.
    """
    stable_weight = sum(v.weight for v in versions if v.stable)
    served_weight = sum(
        v.weight for v in versions if v.stable and v.version in served
    )
    if not served_weight:
        return {v.version: v.weight for v in versions}
    factor = stable_weight / served_weight
    return {
        v.version: v.weight * factor if v.stable else v.weight
        for v in versions
        if v.version in served
    }


def _incarnation(member: model.Member) -> tuple[str, int] | None:
    """Returns identifier and start of a member's server, if it has one."""
    if member.server is None:
        return None
    return member.server.server_id, member.server.born_ms


def _is_other_server(old: model.Member, new: model.Member) -> bool:
    """Returns whether a member's address or server incarnation changed."""
    return (
        old.address != new.address
        or old.server is None
        or _incarnation(old) != _incarnation(new)
    )
