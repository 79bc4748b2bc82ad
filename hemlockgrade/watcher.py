"""Watches one kind of objects in the store."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import random as random_module

import attrs
from loguru import logger

from hemlockgrade import backoff
from hemlockgrade import exceptions
from hemlockgrade import object_store

# Mean backoff delays after failed calls to the store, in seconds: the delay
# doubles with each failure in a row, from the first one to the longest one.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# Longest duration of a watch request that may lag, in seconds. It is half of
# the time for which the store keeps the changes, so that the next request can
# still continue from the same revision.
MAX_LAGGING_WAIT_S = 10.0


@attrs.define(eq=False, kw_only=True)
class Watcher:
    """Lists the objects of one kind and then watches them for changes.

    Attributes:
        store: The store.
        kind: Kind of the objects.
        wait_s: Longest duration of one watch request, in seconds. A store that
            keeps the connection open but does not respond is detected only
            after this time.
        batch_delay_s: Mean delay after changes before the next watch request,
            in seconds: changes that come close together, for example when all
            daemons start, are then returned by one request instead of one
            request each.
        skips_versions: True if only the newest version of each object counts.
            After several changes the objects are then listed, because the next
            watch request would return each version of them.
        on_item: Called with each object that is new or changed.
        on_deleted: Called with each object that was deleted.
        on_listed: Called with each complete list of the objects.
        random: Source of the jitter of delays.
        connected: True after a successful watch request, until a list or a
            watch request fails because the store is unavailable.
    """

    store: object_store.ObjectStore
    kind: str
    wait_s: float
    on_item: Callable[[object_store.StoredItem], None]
    on_deleted: Callable[[object_store.StoredItem], None]
    on_listed: Callable[[object_store.Listing], None] | None = None
    batch_delay_s: float = 0.0
    skips_versions: bool = False
    random: random_module.Random = attrs.field(factory=random_module.Random)
    connected: bool = False
    _revision: int | None = None
    # True after a response that may lag and had no changes: the next request
    # must not lag, so that the watch can continue from a later revision.
    _confirm_next: bool = False

    async def run(self) -> None:
        """Lists and watches the objects until it is cancelled."""
        store_backoff = backoff.Backoff(
            FIRST_BACKOFF_S, MAX_BACKOFF_S, self.random
        )
        while True:
            started_at = asyncio.get_running_loop().time()
            try:
                await self._watch_once()
                store_backoff.reset()
                self._set_connected(True, '')
            except object_store.HistoryLostError as error:
                logger.info(
                    'event=store_history_lost kind={} revision={} problem={!r}',
                    self.kind,
                    self._revision,
                    str(error),
                )
                self._revision = None
            except exceptions.PlatformUnavailableError as error:
                self._set_connected(False, str(error))
                await store_backoff.wait(started_at)

    async def refresh(self) -> int:
        """Lists all objects of the kind, without using a lagging replica.

        Returns:
            The revision of the store.

        Raises:
            exceptions.PlatformUnavailableError: The store is unavailable.
        """
        listing = await self._list()
        return listing.revision

    async def _list(self, *, may_lag: bool = False) -> object_store.Listing:
        listing = await self.store.list(self.kind, may_lag=may_lag)
        self._log_read('list', may_lag, listing.items, listing.revision)
        for item in listing.items:
            self._handle(self.on_item, item)
        if self.on_listed is not None:
            self.on_listed(listing)
        return listing

    async def _watch_once(self):
        """Sends one watch request.

        A list comes first if no revision is known, and after a failure if only
        the newest versions count: the watch would return each version since.
        """
        if self._revision is None:
            self._revision = await self.refresh()
        elif self.skips_versions and not self.connected:
            self._advance(await self.refresh())
        may_lag = not self._confirm_next
        wait_s = (
            min(self.wait_s, MAX_LAGGING_WAIT_S) if may_lag else self.wait_s
        )
        before = self._revision
        changes = await self.store.watch(
            self.kind, before, wait_s, may_lag=may_lag
        )
        items = [change.item for change in changes.changes]
        if items:
            self._log_read('watch', may_lag, items, changes.revision)
        for change in changes.changes:
            self._handle(
                self.on_deleted if change.deleted else self.on_item, change.item
            )
        newest = _newest_revision(items)
        self._advance(newest if may_lag else changes.revision)
        self._confirm_next = may_lag and self._revision == before
        if changes.changes and self.batch_delay_s:
            await self._wait_for_changes()
        if self.skips_versions and len(changes.changes) > 1:
            await self._list_until_unchanged(newest)

    def _advance(self, revision: int):
        """Continues after a revision up to which all changes were handled.

        The counter of a response that may lag is no such revision, because the
        response may lack changes before it.
        """
        self._revision = max(self._revision or 0, revision)

    async def _list_until_unchanged(self, newest: int):
        """Lists the objects, with pauses, as long as they change.

        Args:
            newest: Revision of the newest known object.
        """
        while True:
            listing = await self._list(may_lag=True)
            listed = _newest_revision(listing.items)
            self._advance(listed)
            if listed <= newest:
                return
            newest = listed
            await self._wait_for_changes()

    async def _wait_for_changes(self):
        await asyncio.sleep(self.batch_delay_s * (0.5 + self.random.random()))

    def _handle(
        self,
        callback: Callable[[object_store.StoredItem], None],
        item: object_store.StoredItem,
    ):
        """Handles an object; one that cannot be handled does not end the watch.

        Args:
            callback: Handles the object.
            item: The object.
        """
        try:
            callback(item)
        except Exception:
            logger.exception(
                'event=object_not_handled kind={} name={} revision={}',
                self.kind,
                item.name,
                item.revision,
            )

    def _log_read(
        self,
        call: str,
        may_lag: bool,
        items: Collection[object_store.StoredItem],
        revision: int,
    ):
        logger.info(
            'event=store_read kind={} call={} may_lag={} items={} newest={} '
            'revision={} before={}',
            self.kind,
            call,
            may_lag,
            len(items),
            _newest_revision(items),
            revision,
            self._revision,
        )

    def _set_connected(self, connected: bool, problem: str):
        if connected == self.connected:
            return
        self.connected = connected
        logger.info(
            'event=store_{} kind={} revision={} problem={!r}',
            'regained' if connected else 'lost',
            self.kind,
            self._revision,
            problem,
        )


def _newest_revision(items: Collection[object_store.StoredItem]) -> int:
    return max((item.revision for item in items), default=0)
