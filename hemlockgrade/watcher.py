"""Watches one kind of objects in the store."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math
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
# Longest duration of a watch request that may lag, in seconds. The shortest one
# is a fraction of it: all daemons get a change at the same time, and their next
# requests without lag must not come all at once.
MAX_LAGGING_WAIT_S = 10.0
MIN_LAGGING_WAIT_FRACTION = 0.3
# Time since which a watch has not moved before a request that does not lag
# confirms its place, and the time by which that request ends, in seconds. The
# store keeps the changes of 20 s.
CONFIRM_AGE_S = 10.0
MAX_PLACE_AGE_S = 18.0


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
        may_lag: False if no watch request may return data of a lagging
            replica.
        on_item: Called with each object that is new or changed.
        on_deleted: Called with each object that was deleted.
        on_listed: Called with each complete list of the objects.
        on_current: Called after each read without lag that has returned all
            changes up to its start, with the revision of the store and the
            time of the event loop at its start, in seconds.
        random: Source of the jitter of delays.
        connected: True after a successful list or watch request, until a list
            or a watch request fails because the store is unavailable.
    """

    store: object_store.ObjectStore
    kind: str
    wait_s: float
    on_item: Callable[[object_store.StoredItem], None]
    on_deleted: Callable[[object_store.StoredItem], None]
    on_listed: Callable[[object_store.Listing], None] | None = None
    on_current: Callable[[int, float], None] = lambda revision, started_at: None
    batch_delay_s: float = 0.0
    skips_versions: bool = False
    may_lag: bool = True
    random: random_module.Random = attrs.field(factory=random_module.Random)
    connected: bool = False
    _revision: int | None = None
    # Time of the event loop at which the place of the watch was confirmed.
    _confirmed_at: float = 0.0
    _request: asyncio.Task | None = None
    # Held by a read. A watch request that is sent beside a read would return
    # the same objects.
    _read_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _restarting: bool = False

    async def run(self) -> None:
        """Lists and watches the objects until it is cancelled."""
        store_backoff = backoff.Backoff(
            FIRST_BACKOFF_S, MAX_BACKOFF_S, self.random
        )
        while True:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            self._request = loop.create_task(self._watch_once())
            try:
                await self._request
                store_backoff.reset()
                self._set_connected(True, '')
            except object_store.HistoryLostError as error:
                event = (
                    'store_changes_skipped'
                    if isinstance(error, object_store.ChangesTooLargeError)
                    else 'store_history_lost'
                )
                logger.info(
                    'event={} kind={} revision={} problem={!r}',
                    event,
                    self.kind,
                    self._revision,
                    str(error),
                )
                self._revision = None
            except exceptions.PlatformUnavailableError as error:
                self._set_connected(False, str(error))
                await store_backoff.wait(started_at)
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if not self._restarting or task is None or task.cancelling():
                    raise
                self._restarting = False

    def restart(self) -> None:
        """Ends the request that waits for the store and sends a new one."""
        if self._request is not None and not self._request.done():
            self._restarting = True
            self._request.cancel()

    def list_again(self) -> None:
        """Ends the request that waits and lists the objects."""
        self._revision = None
        self.restart()

    @property
    def revision(self) -> int:
        """Returns the revision up to which all changes were handled."""
        return self._revision or 0

    def advance(self, revision: int) -> None:
        """Continues after a revision up to which all changes were handled.

        The counter of a response that may lag is no such revision, because the
        response may lack changes before it.
        """
        if self._revision is not None:
            self._revision = max(self._revision, revision)
            self._confirmed_at = asyncio.get_running_loop().time()

    async def read_changes(self, limits: object_store.ReadLimits) -> None:
        """Reads all changes up to now, without lag, beside the watch.

        Args:
            limits: Limits on the read.

        Raises:
            exceptions.PlatformUnavailableError: The store is unavailable, or
                the first list has not been read yet.
        """
        try:
            async with self._read_lock:
                if self._revision is None:
                    raise exceptions.PlatformUnavailableError(
                        f'the first list of {self.kind} is not read yet',
                        remedy='retry later',
                    )
                started_at = asyncio.get_running_loop().time()
                changes = await self.store.changes_since(
                    self.kind, self._revision, limits
                )
        except object_store.HistoryLostError:
            await self.read_list()
            return
        if changes.changes:
            items = [change.item for change in changes.changes]
            self._log_read('changes', False, items, changes.revision)
        self._apply(changes)
        self.advance(changes.revision)
        self.on_current(changes.revision, started_at)

    async def read_list(
        self, limits: object_store.ReadLimits | None = None
    ) -> None:
        """Lists all objects of the kind, without lag.

        Args:
            limits: Limits on the read; None for those of the store.

        Raises:
            exceptions.PlatformUnavailableError: The store is unavailable.
        """
        async with self._read_lock:
            started_at = asyncio.get_running_loop().time()
            listing = await self._list(limits=limits)
        self._revision = max(self._revision or 0, listing.revision)
        self.advance(listing.revision)
        self._set_connected(True, '')
        self.on_current(listing.revision, started_at)

    async def _list(
        self,
        *,
        may_lag: bool = False,
        limits: object_store.ReadLimits | None = None,
    ) -> object_store.Listing:
        listing = await self.store.list(
            self.kind, may_lag=may_lag, limits=limits
        )
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
        if self._revision is None or (
            self.skips_versions and not self.connected
        ):
            await self.read_list()
        async with self._read_lock:
            # Waits for the end of a read beside this watch.
            pass
        assert self._revision is not None
        age_s = asyncio.get_running_loop().time() - self._confirmed_at
        # A response that may lag and has no changes does not move the watch.
        may_lag = self.may_lag and age_s < CONFIRM_AGE_S
        wait_s = min(self.wait_s, max(0.0, MAX_PLACE_AGE_S - age_s))
        if may_lag:
            fraction = self.random.uniform(MIN_LAGGING_WAIT_FRACTION, 1.0)
            wait_s = min(wait_s, MAX_LAGGING_WAIT_S * fraction)
        changes = await self.store.watch(
            self.kind, self._revision, wait_s, may_lag=may_lag
        )
        items = [change.item for change in changes.changes]
        if items:
            self._log_read('watch', may_lag, items, changes.revision)
        self._apply(changes)
        newest = _newest_revision(items)
        if not may_lag:
            self.advance(changes.revision)
        elif newest > self._revision:
            self.advance(newest)
        elif items:
            # A deleted object may have the revision of an earlier change. The
            # next request does not lag, and its counter moves the watch.
            self._confirmed_at = -math.inf
        if changes.changes and self.batch_delay_s:
            await self._wait_for_changes()
        if self.skips_versions and len(changes.changes) > 1:
            await self._list_until_unchanged(newest)

    def _apply(self, changes: object_store.Changes):
        """Handles changes; of several versions of an object, only the newest.

        All are handled unless only the newest versions count.
        """
        selected: Iterable[object_store.ItemChange] = changes.changes
        if self.skips_versions:
            selected = {
                change.item.name: change for change in changes.changes
            }.values()
        for change in selected:
            self._handle(
                self.on_deleted if change.deleted else self.on_item, change.item
            )

    async def _list_until_unchanged(self, newest: int):
        """Lists the objects, with pauses, as long as they change.

        Args:
            newest: Revision of the newest known object.
        """
        while True:
            listing = await self._list(may_lag=True)
            listed = _newest_revision(listing.items)
            self.advance(listed)
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
