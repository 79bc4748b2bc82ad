"""Follows the kinds of objects that a daemon needs to know."""

import asyncio
from collections.abc import Callable
import random as random_module

import attrs
from loguru import logger

from hemlockgrade import backoff
from hemlockgrade import exceptions
from hemlockgrade import object_store

# Backoff after a failed call, in seconds, doubled up to the longest one.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0


@attrs.define(eq=False, kw_only=True)
class Watcher:
    """Keeps one kind of objects up to date.

    Attributes:
        store: Where the objects are.
        kind: Kind that is followed.
        wait_s: Longest wait of one watch, in seconds; a watch whose connection
            went silent is noticed no sooner.
        batch_s: Time to wait after changes before the next watch, in seconds:
            changes that come together, as at a start of all daemons, then
            cost one call and not one each.
        on_item: Called with each object that is new or changed.
        on_deleted: Called with each object that is gone.
        on_listed: Called with the names that a list of all objects holds.
    """

    store: object_store.ObjectStore
    kind: str
    wait_s: float
    on_item: Callable[[object_store.StoredItem], None]
    on_deleted: Callable[[object_store.StoredItem], None]
    on_listed: Callable[[object_store.Listing], None] | None = None
    batch_s: float = 0.0
    random: random_module.Random = attrs.field(factory=random_module.Random)
    connected: bool = False
    _revision: int | None = None

    async def run(self) -> None:
        """Follows the kind until it is cancelled."""
        pauses = backoff.Backoff(FIRST_PAUSE_S, MAX_PAUSE_S, self.random)
        while True:
            try:
                await self._step()
                pauses.reset()
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
                await pauses.wait()

    async def refresh(self) -> int:
        """Reads the kind anew, without a lagging replica.

        Returns:
            The store's revision.

        Raises:
            exceptions.PlatformUnavailableError: The store did not answer.
        """
        listing = await self.store.list(self.kind)
        for item in listing.items:
            self.on_item(item)
        if self.on_listed is not None:
            self.on_listed(listing)
        return listing.revision

    async def _step(self):
        if self._revision is None:
            self._revision = await self.refresh()
        changes = await self.store.watch(self.kind, self._revision, self.wait_s)
        for change in changes.changes:
            if change.deleted:
                self.on_deleted(change.item)
            else:
                self.on_item(change.item)
        self._revision = max(self._revision, changes.revision)
        if changes.changes and self.batch_s:
            await asyncio.sleep(self.batch_s * (0.5 + self.random.random()))

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
