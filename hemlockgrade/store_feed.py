"""Watches the store and passes its objects to the components of a daemon."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import attrs
from loguru import logger

from hemlockgrade import directory as directory_module
from hemlockgrade import exceptions
from hemlockgrade import freshness as freshness_module
from hemlockgrade import model
from hemlockgrade import object_codec
from hemlockgrade import object_store
from hemlockgrade import publisher as publisher_module
from hemlockgrade import revisions
from hemlockgrade import rollout_task
from hemlockgrade import watcher
from hemlockgrade.platform import codec as platform_codec

# Longest duration of one watch request, in seconds. The users pay for each
# request of each daemon, so longer ones cost less.
MAX_WATCH_S = 10.0
# The same for the orders to evacuate a failure domain, in seconds. Its requests
# must not lag and cost more; operators seldom give such orders.
MAX_EVACUATION_WATCH_S = 18.0
# Mean delay after changes of the mesh objects before the next watch request,
# in seconds; `watcher.Watcher` says why. Correctness does not depend on it: a
# daemon that uses an outdated member sends its request to that member's host,
# which refuses it.
MESH_BATCH_DELAY_S = 0.2
# The same for the configuration, in seconds. A configuration of 800 routes
# takes 0.3 s on a link of 5.5 Mbit/s, which is free for requests in between.
CONFIGURATION_BATCH_DELAY_S = 0.25
# Time in which daemons write their members again after the store came back
# from a copy without them, in seconds. The hosts of members that are missing
# after it are gone.
REWRITE_LIMIT_S = 2.0


@attrs.define(eq=False, kw_only=True)
class StoreFeed:
    """Watches the store and passes each object to the component that uses it.

    Attributes:
        store: The store.
        directory: Gets the configurations and all mesh objects.
        publisher: Gets this daemon's member as it is in the store.
        rollouts: Gets the operators' rollout orders.
        restore_server: Called with this daemon's member as it is in the store,
            which an earlier process on this host may have written.
        freshness: Gets the time and the revision of each read of the
            configuration that does not lag.
        watches_evacuations: True if operators evacuate failure domains here.
        members_listed: Set once all mesh objects have been listed.
    """

    store: object_store.ObjectStore
    directory: directory_module.Directory
    publisher: publisher_module.Publisher
    rollouts: rollout_task.RolloutTask
    restore_server: Callable[[model.Member], None]
    freshness: freshness_module.Freshness
    watches_evacuations: bool = False
    members_listed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _watchers: tuple[watcher.Watcher, ...] = ()
    _configuration_watcher: watcher.Watcher | None = None
    _mesh_watcher: watcher.Watcher | None = None
    _era: int = 0

    @property
    def gets_configurations(self) -> bool:
        """Returns whether the store sends this daemon new configurations."""
        return (
            self._configuration_watcher is not None
            and self._configuration_watcher.connected
        )

    @property
    def is_receiving_configuration(self) -> bool:
        """Returns whether a response with a configuration has begun."""
        return self.store.is_receiving(platform_codec.CONFIGURATION_KIND)

    @property
    def mesh_revision(self) -> int:
        """Returns the revision up to which all mesh objects were received."""
        return 0 if self._mesh_watcher is None else self._mesh_watcher.revision

    async def read_configuration(
        self, limits: object_store.ReadLimits, *, newest_only: bool
    ) -> None:
        """Reads the configuration without lag.

        Args:
            limits: Limits on the read.
            newest_only: True to read the newest version, False to read each
                version since the latest read. That is less if there is none.

        Raises:
            exceptions.PlatformUnavailableError: The store is unavailable.
        """
        if self._configuration_watcher is None:
            raise exceptions.PlatformUnavailableError(
                'the store is not watched yet', remedy='retry later'
            )
        if newest_only:
            await self._configuration_watcher.read_list(limits)
        else:
            await self._configuration_watcher.read_changes(limits)

    def restart_watches(self) -> None:
        """Sends the waiting watch requests again, on other connections."""
        logger.info('event=watches_restarted')
        for each in self._watchers:
            each.restart()

    def handle_era(self, era: int) -> None:
        """Handles a response of the store, or the word of a peer, of an era.

        Watches of an earlier era may wait for revisions that the store gives
        out again to other changes, on connections that stayed open.

        Args:
            era: Era of the store; ignored if it is not higher than all before.
        """
        if era <= self._era:
            return
        self._era = era
        for each in self._watchers:
            if not each.revision:
                # Its first list is still to come.
                continue
            if revisions.era_of(each.revision) < era:
                each.list_again()
            else:
                each.restart()

    def _configuration_confirmed(self, revision: int):
        assert self._configuration_watcher is not None
        self._configuration_watcher.advance(revision)
        self.handle_era(revisions.era_of(revision))

    def _configuration_current(self, revision: int, started_at: float):
        if self.freshness.waits_for_peers:
            return
        self.freshness.confirm(
            freshness_module.Confirmation(
                version=self.directory.configuration_version,
                revision=revision,
                confirmed_at=started_at,
                read_s=asyncio.get_running_loop().time() - started_at,
            )
        )

    def watch_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Returns one coroutine per kind of objects, which watches the kind.

        The coroutines run until they are cancelled.
        """
        self._configuration_watcher = watcher.Watcher(
            store=self.store,
            kind=platform_codec.CONFIGURATION_KIND,
            wait_s=MAX_WATCH_S,
            on_item=self._configuration_changed,
            on_deleted=lambda item: None,
            on_current=self._configuration_current,
            batch_delay_s=CONFIGURATION_BATCH_DELAY_S,
            skips_versions=True,
        )
        self.freshness.on_confirmed = self._configuration_confirmed
        self._mesh_watcher = watcher.Watcher(
            store=self.store,
            kind=object_codec.MESH_KIND,
            wait_s=MAX_WATCH_S,
            on_item=self._object_changed,
            on_deleted=self._object_deleted,
            on_listed=self._objects_listed,
            batch_delay_s=MESH_BATCH_DELAY_S,
        )
        self._watchers = (
            self._configuration_watcher,
            self._mesh_watcher,
            watcher.Watcher(
                store=self.store,
                kind=platform_codec.ROLLOUT_KIND,
                wait_s=MAX_WATCH_S,
                on_item=self.rollouts.apply_order_object,
                on_deleted=self.rollouts.remove_order_object,
            ),
        )
        if self.watches_evacuations:
            self._watchers += (self._build_evacuation_watcher(),)
        return [each.run() for each in self._watchers]

    def _build_evacuation_watcher(self) -> watcher.Watcher:
        directory = self.directory
        return watcher.Watcher(
            store=self.store,
            kind=platform_codec.EVACUATION_KIND,
            wait_s=MAX_EVACUATION_WATCH_S,
            may_lag=False,
            on_item=lambda item: directory.apply_evacuation(
                item.name, item.revision
            ),
            on_deleted=lambda item: directory.end_evacuation(
                item.name, item.revision
            ),
            on_listed=lambda listing: directory.end_missing_evacuations(
                {item.name for item in listing.items}, listing.revision
            ),
        )

    def _configuration_changed(self, item: object_store.StoredItem):
        if item.name != platform_codec.CONFIGURATION_NAME:
            return
        try:
            new = platform_codec.decode_configuration(item.spec)
        except exceptions.InvalidFieldError as error:
            logger.error(
                'event=configuration_refused revision={} problem={!r}',
                item.revision,
                str(error),
            )
            return
        self.directory.apply_configuration(new, 'store')

    def _object_changed(self, item: object_store.StoredItem):
        value = object_codec.decode_item_or_log(item)
        if value is None:
            if item.name == object_codec.MEMBER_PREFIX + self._own_name:
                self.publisher.handle_overwritten(item.revision)
            return
        if isinstance(value, model.Member) and value.name == self._own_name:
            self.restore_server(value)
            self.publisher.handle_stored(value)
        self.directory.apply(value, 'store')

    def _object_deleted(self, item: object_store.StoredItem):
        if item.name == object_codec.MEMBER_PREFIX + self._own_name:
            self.publisher.handle_deleted()
            return
        self.directory.remove(item.name, item.revision)

    def _objects_listed(self, listing: object_store.Listing):
        names = {item.name for item in listing.items}
        self.directory.remove_missing(names, listing.revision)
        self.members_listed.set()
        if object_codec.MEMBER_PREFIX + self._own_name not in names:
            self.publisher.handle_missing(listing.revision)
        asyncio.get_running_loop().call_later(
            REWRITE_LIMIT_S,
            self.directory.remove_members_before,
            listing.revision,
        )

    @property
    def _own_name(self) -> str:
        return self.directory.name
