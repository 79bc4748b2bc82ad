"""Typed facts of the mesh: routes, servers, members and rollouts."""

from collections.abc import Mapping
import enum
from typing import Any

import attrs


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
class Route:
    """What applies to requests for one host below one path prefix.

    Attributes:
        name: Unique among the routes.
        host: Value of the `Host` header, in lower case and without a port.
        prefix: Path prefix that begins and ends with a slash.
        idempotent: True if a request may run more than once.
        attempts: Servers to which one request may be sent at the most.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        target_latency_s: Answers within this time are on time, in seconds.
        priority: Rank under overload; 0 is served first.
        shares: Parts of the requests by service.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    attempts: int
    timeout_s: float
    target_latency_s: float
    priority: int
    shares: tuple[ServiceShare, ...]


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
    def facts(self) -> 'Server':
        """Returns the server without what changes with each heartbeat."""
        return attrs.evolve(self, sequence=0, warmup_left_s=0.0)


@attrs.frozen(kw_only=True)
class Member:
    """A daemon and the server beside it, as kept in the store.

    Attributes:
        name: Name of the daemon's host.
        address: `ip:port` where other daemons send requests.
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
    leaving: bool = False
    server: Server | None = None
    revision: int = 0

    @property
    def server_facts(self) -> Server:
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
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
        service: Service whose traffic moves.
        version: Version that takes over.
        duration_s: Time that the move may take, in seconds.
        revision: Revision of the stored order.
        created_revision: Revision at which the order was created.
        state: What was reported on it; None before the first report.
        reported_version: Version that the report is about.
    """

    service: str
    version: str
    duration_s: float
    revision: int
    created_revision: int
    state: RolloutState | None = None
    reported_version: str = ''


@attrs.frozen(kw_only=True)
class VersionShare:
    """The part of a service's requests that a new version gets.

    Attributes:
        service: The service.
        version: The new version.
        permille: Its part of the requests, in thousandths.
        state: How far its rollout is.
        holder: Daemon that decides on it.
        epoch: Grows with each holder.
        renewals: Grows with each sign of life of the holder.
        finish_by: The rollout has to be decided then, in Unix seconds.
        order_revision: Revision at which the order was created.
        revision: Revision of the stored object.
    """

    service: str
    version: str
    permille: int
    state: RolloutState
    holder: str = ''
    epoch: int = 0
    renewals: int = 0
    finish_by: float = 0.0
    order_revision: int = 0
    revision: int = 0
