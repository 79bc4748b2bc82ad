"""State of the mesh in one daemon, as the store and peers have sent it."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import random
import time
from typing import Any

import attrs
from loguru import logger

from hemlockgrade import kernel
from hemlockgrade import model
from hemlockgrade import object_codec
from hemlockgrade import revisions
from hemlockgrade import selectors
from hemlockgrade import weighted_round_robin

# Largest number of deletions that a daemon remembers and sends to peers. It can
# be small: operators delete few objects, and a daemon that is connected to the
# store gets every deletion from its watch.
MAX_REMEMBERED_DELETIONS = 256
# Largest number of choices of a round robin that are skipped at its start.
MAX_SKIPPED = 100


@attrs.define(eq=False)
class RouteEntry:
    """A route in force, with the round-robin state of its services.

    The round robin starts at a random place: each daemon begins anew with each
    change of the routes and sends few requests until the next one, so the first
    choices of all daemons must not be the same.
    """

    route: model.Route
    _round_robin: weighted_round_robin.WeightedRoundRobin = attrs.field(
        factory=weighted_round_robin.WeightedRoundRobin
    )
    _started: bool = False

    def next_service(self) -> str:
        """Returns the service for the next request, by the route's weights.

        Returns:
            The name of the service; empty if the route has no services.
        """
        weights: dict[str, float] = {}
        for share in self.route.shares:
            weights[share.service] = (
                weights.get(share.service, 0.0) + share.weight
            )
        if not self._started:
            self._started = True
            self._round_robin.skip(weights, random.randrange(MAX_SKIPPED))
        return self._round_robin.next(weights) or ''


class RouteTable:
    """Finds routes by host and longest path prefix.

    A route of one host takes precedence over a route for all hosts. Selectors
    have only routes for all hosts, so a selector cannot change what the
    operators' configuration sets for a host.
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
            entry = _longest_match(by_prefix, path)
            if entry is not None:
                return entry
        # Prefixes of selectors end with a slash and match whole segments, so
        # a slash is appended for the last segment of the path to match, too.
        return _longest_match(self._entries_by_host.get('', {}), f'{path}/')


def _longest_match(
    by_prefix: dict[str, RouteEntry], path: str
) -> RouteEntry | None:
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
    """State of the mesh as the store and peers have sent it to this daemon.

    Only the watches of the store, the state fetched from peers and this
    daemon's own writes to the store change it; all other code only reads it.

    Attributes:
        name: Name of this daemon's host.
        configuration: Operators' configuration in force; None before the
            first one.
        member_by_name: Members by the name of their host.
        share_by_key: States of rollouts by the key of their order.
        unstored_share_keys: Keys of the rollouts whose state here is later than
            the one that was last read, because the store came back from an
            older copy.
        label_by_name: Labels as operators set them.
        selector_by_name: Selectors as operators set them.
        deletion_revision_by_key: Revisions of the most recent deletions, by
            the key of the deleted object.
        evacuated_domains: Failure domains whose servers get no requests, with
            the revision of the operator's order.
        table_revision: Highest known revision of the mesh objects. The
            administration API calls it the configuration version of labels and
            selectors.
        on_configuration: Called after each change of the configuration.
        on_definitions: Called with each new or changed label or selector.
        on_member: Called with the name of each member that was changed or
            removed.
        on_evacuation: Called with the name of each failure domain that is to be
            evacuated, or no longer.
        events: Notifies plug-ins of changes.
    """

    name: str
    configuration: model.MeshConfiguration | None = None
    member_by_name: dict[str, model.Member] = attrs.field(factory=dict)
    share_by_key: dict[str, model.VersionShare] = attrs.field(factory=dict)
    unstored_share_keys: set[str] = attrs.field(factory=set)
    label_by_name: dict[str, model.Definition] = attrs.field(factory=dict)
    selector_by_name: dict[str, model.Definition] = attrs.field(factory=dict)
    deletion_revision_by_key: dict[str, int] = attrs.field(factory=dict)
    evacuated_domains: dict[str, int] = attrs.field(factory=dict)
    table_revision: int = 0
    on_configuration: list[Callable[[], None]] = attrs.field(factory=list)
    on_definitions: list[Callable[[model.Definition], None]] = attrs.field(
        factory=list
    )
    on_member: list[Callable[[str], None]] = attrs.field(factory=list)
    on_evacuation: list[Callable[[str], None]] = attrs.field(factory=list)
    events: kernel.EventDispatcher = attrs.field(factory=kernel.EventDispatcher)
    _definition_applied: bool = False
    _route_table: RouteTable = attrs.field(factory=lambda: RouteTable(()))

    @property
    def configuration_version(self) -> int:
        """Returns the configuration version in force; 0 if there is none."""
        if self.configuration is None:
            return 0
        return self.configuration.version

    def match(self, host: str, path: str) -> RouteEntry | None:
        """Finds the route of a request; see `RouteTable.match`."""
        return self._route_table.match(host, path)

    def apply_configuration(
        self, new: model.MeshConfiguration, source: str
    ) -> bool:
        """Puts a configuration into force if its version is newer.

        Args:
            new: The configuration.
            source: Origin of the configuration, for the log: `store` or the
                address of a peer.

        Returns:
            False if the configuration in force has this or a newer version.
        """
        before = self.configuration_version
        if new.version <= before:
            return False
        _log_key_changes(self.configuration, new)
        self.configuration = new
        self._rebuild_route_table()
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

    def apply_evacuation(self, failure_domain: str, revision: int) -> None:
        """Applies an order to evacuate a failure domain.

        Args:
            failure_domain: Name of the failure domain.
            revision: Revision of the order.
        """
        is_new = failure_domain not in self.evacuated_domains
        self.evacuated_domains[failure_domain] = revision
        if is_new:
            self._notify_evacuation(failure_domain, 'evacuated', revision)

    def end_evacuation(self, failure_domain: str, revision: int) -> None:
        """Applies the deletion of an order to evacuate a failure domain.

        Args:
            failure_domain: Name of the failure domain.
            revision: Revision of the deletion; ignored if the order is newer.
        """
        if self.evacuated_domains.get(failure_domain, revision + 1) <= revision:
            del self.evacuated_domains[failure_domain]
            self._notify_evacuation(failure_domain, 'returned', revision)

    def end_missing_evacuations(
        self, failure_domains: Collection[str], revision: int
    ) -> None:
        """Ends the evacuations that a complete list does not contain.

        Args:
            failure_domains: Names of all failure domains to evacuate.
            revision: Revision of the store at the time of the list.
        """
        for name in set(self.evacuated_domains).difference(failure_domains):
            self.end_evacuation(name, revision)

    def _notify_evacuation(self, name: str, change: str, revision: int):
        logger.info(
            'event=failure_domain_{} failure_domain={} revision={}',
            change,
            name,
            revision,
        )
        self.events.emit(
            'evacuation_changed', failure_domain=name, change=change
        )
        for callback in self.on_evacuation:
            callback(name)

    @property
    def definitions(self) -> selectors.Definitions:
        """Returns labels and selectors with the states of all rollouts."""
        return selectors.Definitions(
            label_by_name=self.label_by_name,
            selector_by_name=self.selector_by_name,
            share_by_key=self.share_by_key,
        )

    def apply_definition(self, new: model.Definition, source: str) -> bool:
        """Applies a label or selector; see `apply`."""
        by_name = self._objects_by_prefix()[new.kind]
        if self._is_outdated(new, by_name.get(new.value.name)):
            return False
        by_name[new.value.name] = new
        self._definition_applied = True
        self.table_revision = max(self.table_revision, new.revision)
        self._rebuild_route_table()
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

    def _rebuild_route_table(self):
        routes = () if self.configuration is None else self.configuration.routes
        selector_routes = self.definitions.routes_for(self.name)
        self._route_table = RouteTable((*routes, *selector_routes))

    @property
    def configured(self) -> bool:
        """Returns whether a configuration or a definition was ever applied.

        If it is True and no route matches, the request has no route; if it is
        False, the routes have not arrived yet.
        """
        return self.configuration is not None or self._definition_applied

    def objects(self) -> Iterator[object_codec.MeshObject]:
        """Yields all mesh objects."""
        yield from self.member_by_name.values()
        yield from self.share_by_key.values()
        yield from self.label_by_name.values()
        yield from self.selector_by_name.values()

    def apply(self, value: object_codec.MeshObject, source: str) -> bool:
        """Applies a mesh object unless the same or a later state was applied.

        A later state is a higher revision of the object, or its deletion.

        Args:
            value: The object.
            source: Origin of the object, for the log: `store`, `own` or
                `conflict` for the result of this daemon's own write, or the
                address of a peer.

        Returns:
            True if the object was applied.
        """
        if isinstance(value, model.Member):
            return self.apply_member(value, source)
        if isinstance(value, model.VersionShare):
            return self.apply_share(value, source)
        return self.apply_definition(value, source)

    def apply_member(self, member: model.Member, source: str) -> bool:
        """Applies a member; see `apply`."""
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
        self._notify_member_changed(member.name)
        return True

    def remove(self, key: str, revision: int) -> None:
        """Removes a mesh object that was deleted from the store.

        The deletion is remembered, so that an older state of the object from a
        peer does not restore it.

        Args:
            key: Key of the object, for example `label.payments`.
            revision: Revision of its deletion.
        """
        prefix, _, name = key.partition('.')
        by_name = self._objects_by_prefix().get(prefix)
        if by_name is None:
            # Another program may write objects of this kind, too.
            logger.info(
                'event=object_ignored name={} revision={}', key, revision
            )
            return
        current: Any = by_name.get(name)
        self.table_revision = max(self.table_revision, revision)
        if revision > self.deletion_revision_by_key.get(key, 0):
            self.deletion_revision_by_key.pop(key, None)
            self.deletion_revision_by_key[key] = revision
            if len(self.deletion_revision_by_key) > MAX_REMEMBERED_DELETIONS:
                del self.deletion_revision_by_key[
                    next(iter(self.deletion_revision_by_key))
                ]
        if current is None or current.revision > revision:
            return
        del by_name[name]
        logger.info('event=object_removed name={} revision={}', key, revision)
        if prefix in ('label', 'selector'):
            self._rebuild_route_table()
            self.events.emit('definition_removed', key=key, revision=revision)
        if prefix == 'member':
            self._notify_member_changed(name)

    def _notify_member_changed(self, name: str):
        for callback in self.on_member:
            callback(name)

    def remove_missing(self, keys: Collection[str], revision: int) -> None:
        """Removes the mesh objects that a complete list does not contain.

        Objects of an earlier era stay: the store may have come back from a
        copy without them, and their owners then write them again.

        Args:
            keys: Keys of all mesh objects in the store.
            revision: Revision of the store at the time of the list.
        """
        for value in list(self.objects()):
            key = object_codec.key_of(value)
            if key not in keys and not revisions.is_of_earlier_era(
                value.revision, revision
            ):
                self.remove(key, revision)

    def remove_members_before(self, revision: int) -> None:
        """Removes the members that nobody has written again in an era.

        The own member stays: this daemon runs.

        Args:
            revision: A revision of that era.
        """
        for member in list(self.member_by_name.values()):
            if member.name != self.name and revisions.is_of_earlier_era(
                member.revision, revision
            ):
                self.remove(object_codec.key_of(member), revision)

    def _objects_by_prefix(self) -> dict[str, dict[str, Any]]:
        return {
            'member': self.member_by_name,
            'share': self.share_by_key,
            'label': self.label_by_name,
            'selector': self.selector_by_name,
        }

    def _is_outdated(
        self, value: object_codec.MeshObject, current: Any
    ) -> bool:
        """Returns whether the same or a later revision was already applied.

        Args:
            value: The received object.
            current: The object of the same key in this directory, or None.
        """
        deleted = self.deletion_revision_by_key.get(
            object_codec.key_of(value), 0
        )
        newest = deleted if current is None else max(deleted, current.revision)
        return newest >= value.revision

    def apply_share(self, share: model.VersionShare, source: str) -> bool:
        """Applies the state of a rollout without steps back; see `apply`."""
        old = self.share_by_key.get(share.key)
        if self._is_outdated(share, old):
            return False
        self.unstored_share_keys.discard(share.key)
        if old is not None:
            read, share = share, share.merged_with(old, time.time())
            if share != read:
                self.unstored_share_keys.add(share.key)
        self.share_by_key[share.key] = share
        self.table_revision = max(self.table_revision, share.revision)
        if old is None or (old.permille, old.state, old.version) != (
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
            if share.key.startswith(selectors.SELECTOR_ORDER_PREFIX):
                self._rebuild_route_table()
            self.events.emit('rollout_changed', share=share)
        return True

    def serving_members(self, service: str) -> list[model.Member]:
        """Returns the members whose server runs a service and is ready."""
        return [
            member
            for member in self.member_by_name.values()
            if member.serving
            and member.server is not None
            and member.server.service == service
        ]


def stable_version(members: list[model.Member]) -> str | None:
    """Returns the stable version of a service of which no rollout is known.

    Servers of a new version start while those of the stable version run, so the
    stable version is that of the server that started first.

    Args:
        members: Members that serve the service.

    Returns:
        The version; None if there are no members.
    """
    if not members:
        return None
    oldest = min(
        members,
        key=lambda member: (member.required_server.born_ms, member.name),
    )
    return oldest.required_server.version


def _log_key_changes(
    old: model.MeshConfiguration | None, new: model.MeshConfiguration
):
    """Logs how many keys each organisation has lost; no line has a key."""
    if old is None:
        return
    withdrawn = collections.Counter(
        organisation.name
        for key, organisation in old.organisation_by_key.items()
        if key not in new.organisation_by_key
    )
    for name, count in withdrawn.items():
        logger.info(
            'event=keys_withdrawn organisation={} keys={} version={}',
            name,
            count,
            new.version,
        )
