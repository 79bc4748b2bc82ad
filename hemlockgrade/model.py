"""Data classes of labels, selectors, routes, members and rollouts."""

from collections.abc import Mapping
import enum
import fnmatch
from typing import Any

import attrs


class LabelKind(enum.StrEnum):
    """What the members of a label are."""

    TARGET = 'target'
    PROXY = 'proxy'


@attrs.frozen(kw_only=True)
class Label:
    """A named set of targets or proxies.

    Attributes:
        name: Unique among the labels.
        kind: Whether the members are targets or proxies.
        members: Shell-style patterns over member identifiers.
    """

    name: str
    kind: LabelKind
    members: tuple[str, ...]

    def matches(self, member_id: str) -> bool:
        """Tells whether an identifier is in the labelled set."""
        return any(fnmatch.fnmatchcase(member_id, p) for p in self.members)


@attrs.frozen(kw_only=True)
class SelectorRoute:
    """A path prefix served by a selector's service.

    Attributes:
        path_prefix: Matches whole path segments, for example `/booking`.
        timeout_ms: Time allowed for a request, in milliseconds.
    """

    path_prefix: str
    timeout_ms: int = 5000


@attrs.frozen(kw_only=True)
class Selector:
    """Joins a proxy label to a target label for one service.

    Attributes:
        name: Unique among the selectors.
        proxies: Name of the proxy label that it applies to.
        targets: Name of the target label that serves it.
        service: Service whose targets are meant.
        routes: Paths that the service answers.
        shares_by_version: Traffic share of each version, in percent.
        agreed_by: Agreed time of a new version, in seconds of Unix time.
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
        written_at: Seconds of Unix time on the clock of the daemon that took
            the change.
        former_shares_by_version: Shares in force before a selector named a
            new version, in percent; empty if it names none.
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
    """A part of a route's requests.

    Attributes:
        service: Service that runs it.
        weight: Its size, relative to the other parts of the route.
    """

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class VersionWeight:
    """A part of a selector's requests.

    Attributes:
        version: Version of the service that runs it.
        weight: Its size, as a fraction of 1.
        stable: False for a version that a rollout introduces; it gets no
            more than its part.
    """

    version: str
    weight: float
    stable: bool = True


@attrs.frozen(kw_only=True)
class Route:
    """What applies to requests for one host below one path prefix.

    Attributes:
        name: Unique among the routes.
        host: Value of the `Host` header, in lower case and without a port;
            empty for every host.
        prefix: Path prefix that begins and ends with a slash.
        idempotent: True if a request may run more than once; None if that
            depends on its method.
        attempts: Servers to which one request may be sent at the most.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        target_latency_s: Answers within this time are on time, in seconds.
        priority: Rank under overload; 0 is served first.
        shares: Parts of the requests by service.
        selector: Selector that it comes from; empty for a route of the
            operators' configuration.
        targets: Only servers of this label run its requests; None for all of
            the service.
        versions: Parts of the requests by version; empty if rollouts of the
            service decide.
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
    selector: str = ''
    targets: Label | None = None
    versions: tuple[VersionWeight, ...] = ()


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Largest header.
        body_bytes: Largest body.
        header_s: Longest time for a header to arrive, in seconds.
        idle_s: Longest time between requests on a connection, in seconds.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    header_s: float = 10.0
    idle_s: float = 75.0


@attrs.frozen(kw_only=True)
class MeshConfiguration:
    """One version of the operators' configuration, complete.

    Attributes:
        version: Grows with each change, in irregular steps.
        routes: All routes.
        check_path_by_service: Path at which a server of each service tells
            that it is healthy.
        limits: What callers may send.
        document: The platform's form, which daemons pass on to each other.
    """

    version: int
    routes: tuple[Route, ...]
    check_path_by_service: Mapping[str, str]
    limits: CallerLimits
    document: Any = attrs.field(eq=False, repr=False)


class ServerState(enum.StrEnum):
    """What a server says of itself."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@attrs.frozen(kw_only=True)
class Server:
    """An application server as it announced itself.

    Attributes:
        server_id: Identifier of the server.
        service: Service that it belongs to.
        address: `ip:port` of the server, reachable from its own host only.
        zone: Failure domain of its host.
        version: Version of its software.
        slots: Requests that it runs at once.
        state: Whether it takes new work.
        warmup_left_s: Time for which it is still slow, in seconds.
        sequence: Grows with each heartbeat of one incarnation.
        born_ms: Start of the incarnation, in milliseconds of Unix time; 0 if
            it did not say.
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
        """Returns the server without what changes with each heartbeat."""
        return attrs.evolve(self, sequence=0, warmup_left_s=0.0)


@attrs.frozen(kw_only=True)
class Member:
    """A daemon and the server beside it, as kept in the store.

    Attributes:
        name: Name of the daemon's host.
        address: `ip:port` where other daemons send requests.
        administration_address: `ip:port` of its administration API; empty
            if it has none.
        zone: Failure domain of the host.
        boot_id: Identifier of the daemon's process.
        leaving: True once the daemon takes no more requests of others.
        server: The server beside it; None before its first heartbeat.
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
        """Returns the server of a member that has one."""
        if self.server is None:
            raise ValueError(f'{self.name} has not named a server yet')
        return self.server

    @property
    def serving(self) -> bool:
        """Tells whether its server takes new requests."""
        return (
            not self.leaving
            and self.server is not None
            and self.server.state is ServerState.READY
        )


class RolloutState(enum.StrEnum):
    """How far a rollout is."""

    RUNNING = 'running'
    DONE = 'done'
    ROLLED_BACK = 'rolled_back'


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
        key: Unique among the orders: the service, or `selector.` and the
            name of the selector that names the version.
        service: Service whose traffic moves.
        version: Version that takes over.
        duration_s: Time that the move may take, in seconds.
        revision: Revision of the stored order.
        created_revision: Revision at which the order was created.
        state: What was reported on it; None before the first report.
        reported_version: Version that the report is about.
        stores_outcome: True if the outcome is written to the status of the
            stored order.
    """

    key: str
    service: str
    version: str
    duration_s: float
    revision: int
    created_revision: int
    state: RolloutState | None = None
    reported_version: str = ''
    stores_outcome: bool = True


@attrs.frozen(kw_only=True)
class VersionShare:
    """The part of a service's requests that a new version gets.

    Attributes:
        key: Key of the order that it carries out.
        service: The service.
        version: The new version.
        permille: Its part of the requests, in thousandths.
        state: How far its rollout is.
        holder: Daemon that decides on it.
        epoch: Grows with each holder.
        renewals: Grows with each sign of life of the holder.
        finish_by: The rollout has to be decided then, in Unix seconds.
        order_revision: Revision at which the order was created.
        reason: Evidence for the state, for operators.
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
