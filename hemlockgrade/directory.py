"""What one daemon knows: configuration, selectors, members and shares."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from typing import Any

import attrs
from loguru import logger

from hemlockgrade import kernel
from hemlockgrade import model
from hemlockgrade import object_codec
from hemlockgrade import selectors
from hemlockgrade import turns

# Deletions that are remembered and told to peers; operators delete few
# objects, and the store tells all daemons that it serves.
MAX_REMOVED = 256


@attrs.define(eq=False)
class RouteEntry:
    """A route in force, with the order in which its services take turns."""

    route: model.Route
    _turns: turns.Turns = attrs.field(factory=turns.Turns)

    def next_service(self) -> str:
        """Returns the service of the next request."""
        weights = {share.service: share.weight for share in self.route.shares}
        return self._turns.next(weights) or ''


class RouteTable:
    """Finds routes by host and longest path prefix.

    A route of a host goes before one of every host: what the operators'
    configuration says of a host is not changed by a selector.
    """

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
        if by_prefix is not None:
            entry = _longest(by_prefix, path)
            if entry is not None:
                return entry
        # Prefixes of selectors match whole segments, the last one too.
        return _longest(self._entries_by_host.get('', {}), f'{path}/')


def _longest(by_prefix: dict[str, RouteEntry], path: str) -> RouteEntry | None:
    if not by_prefix:
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
        share_by_key: Rollouts by the key of their order.
        label_by_name: Labels as operators set them.
        selector_by_name: Selectors as operators set them.
        removed_by_key: Revisions of the last deletions, by object.
        table_revision: Newest revision of the mesh's objects that is known.
        on_configuration: Called after each change of the configuration.
        on_definitions: Called with each label or selector that changed.
        on_member: Called with the name of each member that changed.
        events: Tells plug-ins what changed.
    """

    name: str
    configuration: model.MeshConfiguration | None = None
    member_by_name: dict[str, model.Member] = attrs.field(factory=dict)
    share_by_key: dict[str, model.VersionShare] = attrs.field(factory=dict)
    label_by_name: dict[str, model.Definition] = attrs.field(factory=dict)
    selector_by_name: dict[str, model.Definition] = attrs.field(factory=dict)
    removed_by_key: dict[str, int] = attrs.field(factory=dict)
    table_revision: int = 0
    on_configuration: list[Callable[[], None]] = attrs.field(factory=list)
    on_definitions: list[Callable[[model.Definition], None]] = attrs.field(
        factory=list
    )
    on_member: list[Callable[[str], None]] = attrs.field(factory=list)
    events: kernel.EventDispatcher = attrs.field(factory=kernel.EventDispatcher)
    _defined: bool = False
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
        self._rebuild_table()
        logger.info(
            'event=configuration_applied version={} before={} routes={} '
            'source={}',
            new.version,
            before,
            len(new.routes),
            source,
        )
        self.events.emit(
            'configuration_applied', version=new.version, source=source
        )
        for callback in self.on_configuration:
            callback()
        return True

    @property
    def definitions(self) -> selectors.Definitions:
        """Returns labels and selectors with the state of their rollouts."""
        return selectors.Definitions(
            label_by_name=self.label_by_name,
            selector_by_name=self.selector_by_name,
            share_by_key=self.share_by_key,
        )

    def apply_definition(self, new: model.Definition, source: str) -> bool:
        """Takes a label or selector, unless a newer revision is known."""
        by_name = self._values_by_prefix()[new.kind]
        if self._is_outdated(new, by_name.get(new.value.name)):
            return False
        by_name[new.value.name] = new
        self._defined = True
        self.table_revision = max(self.table_revision, new.revision)
        self._rebuild_table()
        logger.info(
            'event=definition_applied kind={} name={} revision={} author={} '
            'source={}',
            new.kind,
            new.value.name,
            new.revision,
            new.author,
            source,
        )
        self.events.emit('definition_changed', definition=new)
        for callback in self.on_definitions:
            callback(new)
        return True

    def _rebuild_table(self):
        routes = () if self.configuration is None else self.configuration.routes
        own = self.definitions.routes_for(self.name)
        self._table = RouteTable((*routes, *own))

    @property
    def configured(self) -> bool:
        """Tells whether the routes are known; a lack of them is, too."""
        return self.configuration is not None or self._defined

    def objects(self) -> Iterator[object_codec.Value]:
        """Yields all objects of the mesh's own."""
        yield from self.member_by_name.values()
        yield from self.share_by_key.values()
        yield from self.label_by_name.values()
        yield from self.selector_by_name.values()

    def apply(self, value: object_codec.Value, source: str) -> bool:
        """Takes an object, unless a newer revision of it is known."""
        if isinstance(value, model.Member):
            return self.apply_member(value, source)
        if isinstance(value, model.VersionShare):
            return self.apply_share(value, source)
        return self.apply_definition(value, source)

    def apply_member(self, member: model.Member, source: str) -> bool:
        """Takes a member, unless a newer revision of it is known."""
        if self._is_outdated(member, self.member_by_name.get(member.name)):
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
        self.events.emit('members_changed', member=member)
        self._tell_member(member.name)
        return True

    def remove(self, key: str, revision: int) -> None:
        """Drops what an object held that was deleted.

        Args:
            key: Name of the object.
            revision: Revision of its deletion.
        """
        prefix, _, name = key.partition('.')
        known: Any = self._values_by_prefix()[prefix].get(name)
        self.table_revision = max(self.table_revision, revision)
        if revision > self.removed_by_key.get(key, 0):
            self.removed_by_key.pop(key, None)
            self.removed_by_key[key] = revision
            if len(self.removed_by_key) > MAX_REMOVED:
                del self.removed_by_key[next(iter(self.removed_by_key))]
        if known is None or known.revision > revision:
            return
        del self._values_by_prefix()[prefix][name]
        logger.info('event=object_removed name={} revision={}', key, revision)
        if prefix in ('label', 'selector'):
            self._rebuild_table()
            self.events.emit('definition_removed', key=key, revision=revision)
        if prefix == 'member':
            self._tell_member(name)

    def _tell_member(self, name: str):
        for callback in self.on_member:
            callback(name)

    def remove_missing(self, keys: Collection[str], revision: int) -> None:
        """Drops what a complete list of the store no longer holds.

        Args:
            keys: Names of all objects of the list.
            revision: Revision of the store at the list.
        """
        for value in list(self.objects()):
            key = object_codec.key_of(value)
            if key not in keys:
                self.remove(key, revision)

    def _values_by_prefix(self) -> dict[str, dict[str, Any]]:
        return {
            'member': self.member_by_name,
            'share': self.share_by_key,
            'label': self.label_by_name,
            'selector': self.selector_by_name,
        }

    def _is_outdated(self, value: object_codec.Value, known: Any) -> bool:
        """Tells whether a newer revision or a later deletion is known."""
        removed = self.removed_by_key.get(object_codec.key_of(value), 0)
        newest = removed if known is None else max(removed, known.revision)
        return newest >= value.revision

    def apply_share(self, share: model.VersionShare, source: str) -> bool:
        """Takes a version's share, unless a newer revision is known."""
        known = self.share_by_key.get(share.key)
        if self._is_outdated(share, known):
            return False
        self.share_by_key[share.key] = share
        self.table_revision = max(self.table_revision, share.revision)
        if known is None or (known.permille, known.state, known.version) != (
            share.permille,
            share.state,
            share.version,
        ):
            logger.info(
                'event=share_updated key={} version={} permille={} '
                'state={} revision={} source={}',
                share.key,
                share.version,
                share.permille,
                share.state,
                share.revision,
                source,
            )
            if share.key.startswith(selectors.ORDER_PREFIX):
                self._rebuild_table()
            self.events.emit('rollout_changed', share=share)
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
