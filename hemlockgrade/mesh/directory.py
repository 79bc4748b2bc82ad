"""What one daemon knows: the configuration, the members and the shares."""

from collections.abc import Callable

import attrs
from loguru import logger

from hemlockgrade.mesh import model


@attrs.define(eq=False)
class RouteEntry:
    """A route in force, with the order in which its services take turns."""

    route: model.Route
    _credit_by_service: dict[str, float] = attrs.field(factory=dict)

    def next_service(self) -> str:
        """Returns the service of the next request, by smooth weighted turns."""
        shares = self.route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        credits = self._credit_by_service
        for share in shares:
            credit = credits.get(share.service, 0.0)
            credits[share.service] = credit + share.weight
        chosen = max(shares, key=lambda share: credits[share.service])
        credits[chosen.service] -= total
        return chosen.service


class RouteTable:
    """Finds routes by host and longest path prefix."""

    def __init__(self, routes: tuple[model.Route, ...]):
        self._entries_by_host: dict[str, dict[str, RouteEntry]] = {}
        for route in routes:
            by_prefix = self._entries_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = RouteEntry(route)

    def match(self, host: str, path: str) -> RouteEntry | None:
        """Finds the route of a request.

        Args:
            host: Value of the `Host` header.
            path: Path without a query.
        """
        name = host.rpartition(':')[0] if ':' in host else host
        by_prefix = self._entries_by_host.get(name.lower())
        if by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            entry = by_prefix.get(path[: end + 1])
            if entry is not None:
                return entry
            end = path.rfind('/', 0, end)
        return None


@attrs.define(eq=False)
class Directory:
    """Facts of one daemon; only the tasks that learn them change them.

    Attributes:
        name: Name of the own host.
        configuration: In force; None before the first one.
        member_by_name: Daemons with their servers.
        share_by_service: Rollouts by service.
        table_revision: Newest revision of a member or share that is known.
        on_configuration: Called after each change of the configuration.
        on_members: Called after each change of members or shares.
    """

    name: str
    configuration: model.MeshConfiguration | None = None
    member_by_name: dict[str, model.Member] = attrs.field(factory=dict)
    share_by_service: dict[str, model.VersionShare] = attrs.field(factory=dict)
    table_revision: int = 0
    on_configuration: list[Callable[[], None]] = attrs.field(factory=list)
    on_members: list[Callable[[], None]] = attrs.field(factory=list)
    _table: RouteTable = attrs.field(factory=lambda: RouteTable(()))

    @property
    def configuration_version(self) -> int:
        """Version in force; 0 before the first one."""
        if self.configuration is None:
            return 0
        return self.configuration.version

    def match(self, host: str, path: str) -> RouteEntry | None:
        """Finds the route of a request."""
        return self._table.match(host, path)

    def apply_configuration(
        self, new: model.MeshConfiguration, source: str
    ) -> bool:
        """Takes a configuration into force, unless it is not newer.

        Args:
            new: The configuration.
            source: Where it came from, for the log.
        """
        before = self.configuration_version
        if new.version <= before:
            return False
        self.configuration = new
        self._table = RouteTable(new.routes)
        logger.info(
            'event=configuration_applied version={} before={} routes={} '
            'source={}',
            new.version,
            before,
            len(new.routes),
            source,
        )
        _call(self.on_configuration)
        return True

    def apply_member(self, member: model.Member, source: str) -> bool:
        """Takes a member, unless a newer revision of it is known."""
        known = self.member_by_name.get(member.name)
        if known is not None and known.revision >= member.revision:
            return False
        self.member_by_name[member.name] = member
        self.table_revision = max(self.table_revision, member.revision)
        server = member.server
        logger.info(
            'event=member_updated member={} revision={} leaving={} server={} '
            'service={} version={} state={} source={}',
            member.name,
            member.revision,
            member.leaving,
            server.server_id if server else '-',
            server.service if server else '-',
            server.version if server else '-',
            server.state if server else '-',
            source,
        )
        _call(self.on_members)
        return True

    def remove_member(self, name: str, revision: int) -> None:
        """Drops a member that was deleted at a revision."""
        known = self.member_by_name.get(name)
        self.table_revision = max(self.table_revision, revision)
        if known is None or known.revision > revision:
            return
        del self.member_by_name[name]
        logger.info(
            'event=member_removed member={} revision={}', name, revision
        )
        _call(self.on_members)

    def apply_share(self, share: model.VersionShare, source: str) -> bool:
        """Takes a version's share, unless a newer revision is known."""
        known = self.share_by_service.get(share.service)
        if known is not None and known.revision >= share.revision:
            return False
        self.share_by_service[share.service] = share
        self.table_revision = max(self.table_revision, share.revision)
        if known is None or (known.permille, known.state, known.version) != (
            share.permille,
            share.state,
            share.version,
        ):
            logger.info(
                'event=share_updated service={} version={} permille={} '
                'state={} revision={} source={}',
                share.service,
                share.version,
                share.permille,
                share.state,
                share.revision,
                source,
            )
            _call(self.on_members)
        return True

    def servers_of(self, service: str) -> list[model.Member]:
        """Returns the members whose servers of a service take requests."""
        return [
            member
            for member in self.member_by_name.values()
            if member.serving
            and member.server is not None
            and member.server.service == service
        ]


def settled_version(members: list[model.Member]) -> str | None:
    """Returns the version that serves while no rollout is known.

    Servers of a new version start beside the old ones, so the version of the
    server that started first is the settled one.
    """
    if not members:
        return None
    oldest = min(
        members, key=lambda member: (member.server_facts.born_ms, member.name)
    )
    return oldest.server_facts.version


def _call(callbacks: list[Callable[[], None]]):
    for callback in callbacks:
        callback()
