"""Data classes of labels, selectors, routes, members and rollouts."""

from collections.abc import Mapping
import enum
import fnmatch
import math
from typing import Any

import attrs

from hemlockgrade import revisions

# Time after the deadline of a rollout in which an order of the same version
# that appears in a later era of the store is taken for the same order, in
# seconds.
ORDER_REWRITE_LIMIT_S = 30.0


class LabelKind(enum.StrEnum):
    """What a label contains: targets or proxies."""

    TARGET = 'target'
    PROXY = 'proxy'


@attrs.frozen(kw_only=True)
class Label:
    """A named set of targets or proxies.

    Attributes:
        name: Name of the label, unique among the labels.
        kind: Whether the members are targets or proxies.
        members: Shell-style patterns of the identifiers of the targets
            (`Server.server_id`) or of the proxies (`Member.name`).
    """

    name: str
    kind: LabelKind
    members: tuple[str, ...]

    def matches(self, identifier: str) -> bool:
        """Returns whether an identifier matches one of the patterns."""
        return any(fnmatch.fnmatchcase(identifier, p) for p in self.members)


@attrs.frozen(kw_only=True)
class SelectorRoute:
    """A path prefix served by a selector's service.

    Attributes:
        path_prefix: Prefix that matches whole path segments, for example
            `/booking`.
        timeout_ms: Longest time that a caller waits for a response, in
            milliseconds.
    """

    path_prefix: str
    timeout_ms: int = 5000


@attrs.frozen(kw_only=True)
class Selector:
    """Routes requests from the proxies of a label to the targets of a label.

    Attributes:
        name: Name of the selector, unique among the selectors.
        proxies: Name of the label of the proxies whose requests are routed.
        targets: Name of the label of the targets that run the requests.
        service: Service of the targets; targets of other services are not
            used.
        routes: Path prefixes that the service serves.
        shares_by_version: Traffic share of each version, in percent.
        agreed_by: Agreed time by which a new version takes over, in seconds of
            Unix time.
    """

    name: str
    proxies: str
    targets: str
    service: str
    routes: tuple[SelectorRoute, ...]
    shares_by_version: dict[str, int]
    agreed_by: float | None = None


@attrs.frozen(kw_only=True)
class Definition:
    """A label or a selector as an operator set it.

    Attributes:
        value: The label or the selector.
        author: Operator who set it.
        written_at: Time of the change in seconds of Unix time, on the clock of
            the daemon that received the change.
        former_shares_by_version: Traffic shares before the selector introduced
            a new version, in percent; empty if it introduces none.
        new_version: Version that the selector introduces, if any.
        revision: Revision of the stored object; 0 if it is not stored.
    """

    value: Label | Selector
    author: str = ''
    written_at: float = 0.0
    former_shares_by_version: dict[str, int] = attrs.field(factory=dict)
    new_version: str | None = None
    revision: int = 0

    @property
    def kind(self) -> str:
        """Returns `label` or `selector`."""
        return 'label' if isinstance(self.value, Label) else 'selector'


@attrs.frozen(kw_only=True)
class ServiceShare:
    """Share of a route's requests that one service runs.

    Attributes:
        service: Name of the service.
        weight: Size of the share, relative to the other shares of the route.
    """

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class VersionWeight:
    """Fraction of a selector's requests that one version runs.

    Attributes:
        version: Version of the service.
        weight: Fraction of the selector's requests, from 0 to 1.
        stable: False for a version that a rollout introduces. If no stable
            version has a server, the requests of the stable versions are not
            sent to that version.
    """

    version: str
    weight: float
    stable: bool = True


@attrs.frozen(kw_only=True)
class Organisation:
    """A customer whose requests carry one of its keys.

    Attributes:
        name: Name of the organisation, unique among the organisations.
        priority: Priority of its requests, which goes before that of their
            route; None if the route decides.
        rate_per_s: Largest number of its requests a second over all daemons;
            `math.inf` if there is no limit.
        burst: Number of requests beyond that rate.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = math.inf
    burst: float = 0.0


@attrs.frozen(kw_only=True)
class Route:
    """Settings for the requests of one host and path prefix.

    Attributes:
        name: Name of the route, unique among the routes.
        host: Value of the `Host` header, in lower case and without a port;
            empty for all hosts.
        prefix: Path prefix that begins and ends with a slash.
        idempotent: True if a request may run more than once; None if that
            depends on the method of the request.
        attempts: Largest number of attempts of one request that may reach a
            server; attempts that a daemon refuses are not counted.
        timeout_s: Longest time that a caller waits for a response, in seconds.
        target_latency_s: Target for the time from a request to its response,
            in seconds. A response within it is on time; an overloaded server
            first runs the requests whose response can still be on time.
        priority: Priority of the requests under overload; 0 is the most
            urgent.
        shares: Shares of the requests by service.
        open_to_all: True if requests need no key of an organisation.
        selector: Name of the selector that defines the route; empty for a
            route of the operators' configuration.
        targets: Label of the servers that may run the requests; None if all
            servers of the service may.
        versions: Fractions of the requests by version; empty if the versions
            depend on the rollouts of the service.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool | None
    attempts: int
    timeout_s: float
    target_latency_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    open_to_all: bool = False
    selector: str = ''
    targets: Label | None = None
    versions: tuple[VersionWeight, ...] = ()


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the size and the duration of callers' requests.

    Attributes:
        header_bytes: Largest size of the headers of a request, in bytes.
        body_bytes: Largest size of a request's body, in bytes.
        header_s: Longest time for the headers of a request to arrive, in
            seconds. The daemon applies it to the whole request, including the
            body.
        idle_s: Longest time between requests on a connection, in seconds.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    header_s: float = 10.0
    idle_s: float = 75.0


@attrs.frozen(kw_only=True)
class MeshConfiguration:
    """One complete version of the operators' configuration.

    Attributes:
        version: Number that grows with each change, in irregular steps.
        routes: All routes of the configuration.
        check_path_by_service: Path of the health check of each service's
            servers.
        warmup_rate_by_service: Requests a second that a cold server of each
            service takes; services without such a rate are missing.
        organisation_by_name: The organisations; if there are none, requests
            need no key.
        organisation_by_key: The organisation that holds each key.
        limits: Limits on callers' requests.
        document: The configuration in the platform's format, in which daemons
            send it to each other.
    """

    version: int
    routes: tuple[Route, ...]
    check_path_by_service: Mapping[str, str]
    warmup_rate_by_service: Mapping[str, float] = attrs.field(factory=dict)
    organisation_by_name: Mapping[str, Organisation] = attrs.field(factory=dict)
    organisation_by_key: Mapping[bytes, Organisation] = attrs.field(
        factory=dict, repr=False
    )
    limits: CallerLimits
    document: Any = attrs.field(eq=False, repr=False)


class ServerState(enum.StrEnum):
    """State of a server.

    Attributes:
        READY: Takes new requests.
        DRAINING: Finishes its running requests and takes no new ones.
        GONE: Has deregistered.
    """

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'

    @property
    def rank(self) -> int:
        """Returns the place of the state in the order that a server takes."""
        return list(ServerState).index(self)


@attrs.frozen(kw_only=True)
class Server:
    """State of an application server, as its heartbeats reported it.

    An incarnation of a server is one run of its process; a restart begins a
    new incarnation.

    Attributes:
        server_id: Identifier of the server, which operators see as the
            identifier of the target.
        service: Service that the server runs.
        address: `ip:port` of the server, reachable only from its own host.
        zone: Failure domain of the server's host.
        version: Version of the service that the server runs.
        slots: Number of requests that the server may run at once.
        state: Whether the server takes new requests.
        warmup_left_s: Remaining time in which the server is slower than usual
            since it has just started, in seconds.
        sequence: Number that grows with each heartbeat of one incarnation.
        born_ms: Start of the incarnation, in milliseconds of Unix time; 0 if
            the heartbeats do not contain it.
    """

    server_id: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: ServerState
    warmup_left_s: float = 0.0
    sequence: int = 0
    born_ms: int = 0

    @property
    def without_heartbeat_fields(self) -> 'Server':
        """Returns a copy without the values that change with each heartbeat.

        Two copies differ only if the server has changed in a way that peers
        need.
        """
        return attrs.evolve(self, sequence=0, warmup_left_s=0.0)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Returns what identifies the incarnation."""
        return self.server_id, self.born_ms

    @property
    def age_order(self) -> tuple[int, int]:
        """Returns a sort key that is higher for later heartbeats.

        A later incarnation replaces an earlier one; within an incarnation the
        sequence distinguishes late heartbeats from the newest.
        """
        return self.born_ms, self.sequence

    def merged_with(self, other: 'Server') -> 'Server':
        """Returns what two states of a server, either of them late, say of it.

        The later heartbeat counts. But an incarnation that drains or is gone
        does not become ready again, whatever a heartbeat says that was sent
        before: a deregistration and a notice have no sequence of their own.
        """
        later = other if other.age_order > self.age_order else self
        if self.incarnation != other.incarnation:
            return later
        state = max(self.state, other.state, key=lambda state: state.rank)
        return attrs.evolve(later, state=state)


@attrs.frozen(kw_only=True)
class ServerNotice:
    """What a server says of itself in the headers of a response.

    Attributes:
        max_requests_per_s: Requests a second that the server takes from all
            hosts together; `math.inf` if it names no limit, None if it names
            one that cannot be read.
        leaving: True if the server leaves and takes no new requests.
    """

    max_requests_per_s: float | None
    leaving: bool


@attrs.frozen(kw_only=True)
class Member:
    """Stored record of a daemon and the server on its host.

    Attributes:
        name: Name of the daemon's host, which is also the identifier of the
            daemon and of its proxy.
        address: `ip:port` to which peers send requests.
        administration_address: `ip:port` of the daemon's administration API;
            empty if it has none.
        zone: Failure domain of the host.
        boot_id: Identifier of the daemon's process.
        leaving: True once the daemon refuses requests of its peers.
        server: The server on the host; None before its first heartbeat.
        revision: Revision of the stored object; 0 if it is not stored.
    """

    name: str
    address: str
    zone: str
    boot_id: str
    administration_address: str = ''
    leaving: bool = False
    server: Server | None = None
    revision: int = 0

    @property
    def required_server(self) -> Server:
        """Returns the server of a member that has one.

        Raises:
            ValueError: The member has no server.
        """
        if self.server is None:
            raise ValueError(f'member {self.name} has no server')
        return self.server

    @property
    def serving(self) -> bool:
        """Returns whether the member's server takes new requests."""
        return (
            not self.leaving
            and self.server is not None
            and self.server.state is ServerState.READY
        )


class RolloutState(enum.StrEnum):
    """State of a rollout.

    Attributes:
        RUNNING: The traffic is moving to the new version.
        DONE: The new version has taken over.
        ROLLED_BACK: The stable versions get all traffic again.
    """

    RUNNING = 'running'
    DONE = 'done'
    ROLLED_BACK = 'rolled_back'


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's request to move a service to a version.

    Attributes:
        key: Key, unique among the orders: the name of the service, or
            `selector.` and the name of the selector that introduces the
            version.
        service: Service whose traffic moves.
        version: Version that takes over.
        duration_s: Longest duration of the rollout, in seconds.
        revision: Revision of the stored order.
        created_number: Number of the revision at which the order was created.
        state: State of the rollout in the order's status; None if the status
            has none.
        reported_version: Version to which the state in the status refers.
        stores_outcome: True if the outcome is written to the status of the
            stored order.
    """

    key: str
    service: str
    version: str
    duration_s: float
    revision: int
    created_number: int
    state: RolloutState | None = None
    reported_version: str = ''
    stores_outcome: bool = True

    @property
    def identity(self) -> int:
        """Returns what tells orders of the same key and version apart.

        It is the revision at which the order was created, in the era in which
        the order was last read.
        """
        return revisions.revision_of(
            revisions.era_of(self.revision), self.created_number
        )


@attrs.frozen(kw_only=True)
class VersionShare:
    """Stored state of a rollout, with the traffic share of its new version.

    Attributes:
        key: Key of the rollout order.
        service: Service whose traffic moves.
        version: The new version.
        permille: Traffic share of the new version, in thousandths of the
            service's requests. In a selector's rollout: progress from the
            stable shares to the selector's shares, in thousandths.
        state: State of the rollout.
        holder: Daemon that holds the lease and decides on the rollout.
        epoch: Number that grows with each new holder.
        renewals: Number that grows with each lease renewal of the holder.
        finish_by: Deadline of the rollout, in seconds of Unix time.
        order_revision: `RolloutOrder.identity` of the order.
        reason: Reason for the state, for operators.
        revision: Revision of the stored object.
    """

    key: str
    service: str
    version: str
    permille: int
    state: RolloutState
    holder: str = ''
    epoch: int = 0
    renewals: int = 0
    finish_by: float = 0.0
    order_revision: int = 0
    reason: str = ''
    revision: int = 0

    def is_of_order(
        self, version: str, order_revision: int, now: float
    ) -> bool:
        """Returns whether this is the state of the rollout of an order.

        An order that the store lost and that the operator has written again has
        another number, and is of a later era than the one named here.

        Args:
            version: The new version of the order.
            order_revision: `RolloutOrder.identity` of the order.
            now: Current time in seconds of Unix time.
        """
        if self.version != version:
            return False
        if revisions.is_same_number(self.order_revision, order_revision):
            return True
        return (
            revisions.is_of_earlier_era(self.order_revision, order_revision)
            and now < self.finish_by + ORDER_REWRITE_LIMIT_S
        )

    def merged_with(self, former: 'VersionShare', now: float) -> 'VersionShare':
        """Returns this state without steps back from a former one.

        Within a rollout the share only grows, a decision is final, and the
        epoch does not fall. A store that comes back from an older copy returns
        an earlier state with a later revision.

        Args:
            former: State of the same key that was known before. It does not
                count if it is of another order.
            now: Current time in seconds of Unix time.
        """
        if not former.is_of_order(self.version, self.order_revision, now):
            return self
        is_decided = self.state is not RolloutState.RUNNING
        was_decided = former.state is not RolloutState.RUNNING
        base, permille = self, self.permille
        if was_decided and not is_decided:
            base, permille = former, former.permille
        elif not is_decided:
            base = former if former.epoch > self.epoch else self
            permille = max(self.permille, former.permille)
        return attrs.evolve(
            base,
            permille=permille,
            epoch=max(self.epoch, former.epoch),
            renewals=max(self.renewals, former.renewals),
            order_revision=max(self.order_revision, former.order_revision),
            revision=self.revision,
        )
