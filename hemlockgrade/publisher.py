"""Keeps this daemon's entry in the store as the daemon knows itself."""

import asyncio
from collections.abc import Callable
import random as random_module

import attrs
from loguru import logger

from hemlockgrade import backoff
from hemlockgrade import directory as directory_module
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import object_codec
from hemlockgrade import object_store
from hemlockgrade import watcher


@attrs.define(eq=False, kw_only=True)
class Publisher:
    """Writes the own entry whenever it differs from the stored one.

    Attributes:
        store: Where the entry is kept.
        directory: Learns each written entry at once.
        make: Makes the entry as it should be now.
        restore: Called with the entry of an earlier process of this host.
    """

    store: object_store.ObjectStore
    directory: directory_module.Directory
    make: Callable[[], model.Member]
    restore: Callable[[model.Member], None]
    random: random_module.Random = attrs.field(factory=random_module.Random)
    _wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    _written: asyncio.Event = attrs.field(factory=asyncio.Event)
    _revision: int | None = None
    _stored: model.Member | None = None

    def wake(self) -> None:
        """Has the entry compared with the stored one soon."""
        self._written.clear()
        self._wanted.set()

    async def wait_written(self, timeout_s: float) -> bool:
        """Waits until the store holds the entry as it is now.

        Args:
            timeout_s: Longest wait, in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._written.wait()
        except TimeoutError:
            return False
        return True

    def seen(self, stored: model.Member) -> None:
        """Takes the entry as the store holds it."""
        if self._revision is None or stored.revision > self._revision:
            self._revision = stored.revision
            self._stored = stored
            if not self._is_current():
                self.wake()

    def lost(self) -> None:
        """Learns that the entry was deleted."""
        self._revision = None
        self._stored = None
        self.wake()

    async def run(self) -> None:
        """Writes the entry until it is cancelled."""
        pauses = backoff.Backoff(
            watcher.FIRST_PAUSE_S, watcher.MAX_PAUSE_S, self.random
        )
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            if self._is_current():
                self._written.set()
                continue
            try:
                await self._write()
                pauses.reset()
            except exceptions.HemlockError as error:
                logger.warning(
                    'event=entry_not_written revision={} problem={!r}',
                    self._revision,
                    str(error),
                )
                self._wanted.set()
                await pauses.wait()

    def _is_current(self) -> bool:
        return self._stored is not None and _facts(self._stored) == _facts(
            self.make()
        )

    async def _write(self):
        member = self.make()
        name = object_codec.key_of(member)
        spec = object_codec.encode(member)
        try:
            if self._revision is None:
                item = await self.store.create(
                    object_codec.MESH_KIND, name, spec
                )
            else:
                item = await self.store.replace(
                    object_codec.MESH_KIND, name, spec, self._revision
                )
        except object_store.RevisionConflictError as error:
            # An earlier process of this host, or a write whose answer was
            # lost, wrote it; this process is the only one that does now.
            found = error.current or await self.store.get(
                object_codec.MESH_KIND, name
            )
            self._take_over(found)
            self._wanted.set()
            return
        except exceptions.NotFoundError:
            self._revision = None
            self._wanted.set()
            return
        self._revision = item.revision
        self._stored = attrs.evolve(member, revision=item.revision)
        logger.info(
            'event=entry_written revision={} leaving={} state={}',
            item.revision,
            member.leaving,
            member.server.state if member.server else '-',
        )
        self.directory.apply_member(self._stored, 'own')
        self._wanted.set()

    def _take_over(self, found: object_store.StoredItem | None):
        """Takes what an earlier process stored, above all a leave."""
        self._revision = found.revision if found is not None else None
        if found is None:
            return
        stored = object_codec.decode_or_log(found)
        if isinstance(stored, model.Member):
            self.restore(stored)


def _facts(member: model.Member) -> model.Member:
    """Returns what peers need to know; sequences change all the time."""
    server = member.server
    return attrs.evolve(
        member, server=server.facts if server else None, revision=0
    )
