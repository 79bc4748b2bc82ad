"""Brings what the store holds to the parts of a daemon."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import attrs
from loguru import logger

from hemlockgrade import directory as directory_module
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import object_codec
from hemlockgrade import object_store
from hemlockgrade import publisher as publisher_module
from hemlockgrade import rollout_task
from hemlockgrade import watcher
from hemlockgrade.platform import codec as platform_codec

# Longest wait of one watch, in seconds; each renewal by each daemon is a call
# that the users pay for. A connection that went silent is noticed sooner by its
# probes, and peers tell each other of newer versions.
CONFIGURATION_WAIT_S = 10.0
MESH_WAIT_S = 20.0
# Mean pause after changes of the mesh's objects, in seconds. Daemons that know
# an old entry are refused by the host it is about, so nothing rests on it.
MESH_BATCH_S = 0.2


@attrs.define(eq=False, kw_only=True)
class StoreFeed:
    """Follows the store's kinds and hands each object to its owner.

    Attributes:
        store: Where the objects are.
        directory: Learns configurations, members, shares and definitions.
        publisher: Learns what the store holds of this daemon.
        rollouts: Learns the operators' orders.
        restore: Called with the own entry of an earlier process.
    """

    store: object_store.ObjectStore
    directory: directory_module.Directory
    publisher: publisher_module.Publisher
    rollouts: rollout_task.RolloutTask
    restore: Callable[[model.Member], None]

    def runs(self) -> list[Coroutine[Any, Any, None]]:
        """Returns the tasks that follow the store."""
        watchers = (
            watcher.Watcher(
                store=self.store,
                kind=platform_codec.CONFIGURATION_KIND,
                wait_s=CONFIGURATION_WAIT_S,
                on_item=self._configuration_changed,
                on_deleted=lambda item: None,
            ),
            watcher.Watcher(
                store=self.store,
                kind=object_codec.MESH_KIND,
                wait_s=MESH_WAIT_S,
                on_item=self._object_changed,
                on_deleted=self._object_deleted,
                on_listed=self._objects_listed,
                batch_s=MESH_BATCH_S,
            ),
            watcher.Watcher(
                store=self.store,
                kind=platform_codec.ROLLOUT_KIND,
                wait_s=MESH_WAIT_S,
                on_item=self.rollouts.apply_order_object,
                on_deleted=self.rollouts.remove_order_object,
            ),
        )
        return [each.run() for each in watchers]

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
        value = object_codec.decode_or_log(item)
        if value is None:
            return
        if isinstance(value, model.Member) and value.name == self._own_name:
            self.restore(value)
            self.publisher.seen(value)
        self.directory.apply(value, 'store')

    def _object_deleted(self, item: object_store.StoredItem):
        if item.name == object_codec.MEMBER_PREFIX + self._own_name:
            self.publisher.lost()
            return
        self.directory.remove(item.name, item.revision)

    def _objects_listed(self, listing: object_store.Listing):
        names = {item.name for item in listing.items}
        self.directory.remove_missing(names, listing.revision)

    @property
    def _own_name(self) -> str:
        return self.directory.name
