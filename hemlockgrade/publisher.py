"""Keeps this daemon's member in the store up to date."""

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
    """Writes this daemon's member whenever it differs from the stored one.

    Attributes:
        store: Store of the mesh objects.
        directory: Gets each written member at once, before a watch of the
            store returns it.
        build_member: Returns the member with the current state of this daemon.
        restore_server: Called with the stored member if a write conflicts with
            it; an earlier daemon process on this host may have written it.
        random: Source of the jitter of backoff delays.
    """

    store: object_store.ObjectStore
    directory: directory_module.Directory
    build_member: Callable[[], model.Member]
    restore_server: Callable[[model.Member], None]
    random: random_module.Random = attrs.field(factory=random_module.Random)
    _update_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _up_to_date: asyncio.Event = attrs.field(factory=asyncio.Event)
    _revision: int | None = None
    _stored: model.Member | None = None

    def schedule_update(self) -> None:
        """Schedules a write of the member if the stored one is outdated."""
        self._up_to_date.clear()
        self._update_requested.set()

    async def wait_stored(self, timeout_s: float) -> bool:
        """Waits until the store has the current state of the member.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            False if the wait timed out.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._up_to_date.wait()
        except TimeoutError:
            return False
        return True

    def handle_stored(self, stored: model.Member) -> None:
        """Handles the member as a list or a watch of the store returned it."""
        if self._revision is None or stored.revision > self._revision:
            self._revision = stored.revision
            self._stored = stored
            if not self._is_current():
                self.schedule_update()

    def handle_overwritten(self, revision: int) -> None:
        """Handles a member that another program made undecodable.

        It is written again.

        Args:
            revision: Revision of the stored object.
        """
        if self._revision is None or revision > self._revision:
            self._revision = revision
            self._stored = None
            self.schedule_update()

    def handle_missing(self, revision: int) -> None:
        """Handles a list without the member, which is written again.

        Args:
            revision: Revision of the list. The member may have been written
                after it.
        """
        if self._revision is not None and self._revision <= revision:
            logger.warning(
                'event=entry_lost revision={} listed={}',
                self._revision,
                revision,
            )
            self.handle_deleted()

    def handle_deleted(self) -> None:
        """Handles the deletion of the member; it is written again."""
        self._revision = None
        self._stored = None
        self.schedule_update()

    async def run(self) -> None:
        """Writes the member when it has changed, until it is cancelled."""
        store_backoff = backoff.Backoff(
            watcher.FIRST_BACKOFF_S, watcher.MAX_BACKOFF_S, self.random
        )
        while True:
            await self._update_requested.wait()
            self._update_requested.clear()
            if self._is_current():
                self._up_to_date.set()
                continue
            started_at = asyncio.get_running_loop().time()
            try:
                await self._write()
                store_backoff.reset()
            except exceptions.HemlockError as error:
                logger.warning(
                    'event=entry_not_written revision={} problem={!r}',
                    self._revision,
                    str(error),
                )
                self._update_requested.set()
                await store_backoff.wait(started_at)

    def _is_current(self) -> bool:
        """Returns whether the store has the current state of the member."""
        return self._stored is not None and _comparable(
            self._stored
        ) == _comparable(self.build_member())

    async def _write(self):
        member = self.build_member()
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
            # The stored member is from an earlier process on this host, or
            # from a write of this process whose response was lost. No other
            # process writes it now, so the next write replaces it.
            found = error.current or await self.store.get(
                object_codec.MESH_KIND, name
            )
            self._adopt_stored(found)
            self._update_requested.set()
            return
        except exceptions.NotFoundError:
            self._revision = None
            self._update_requested.set()
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
        self._update_requested.set()

    def _adopt_stored(self, found: object_store.StoredItem | None):
        """Uses the revision and the server state of the stored member.

        The server may have deregistered at an earlier daemon process on this
        host; the next write must not undo that.
        """
        self._revision = found.revision if found is not None else None
        if found is None:
            return
        stored = object_codec.decode_item_or_log(found)
        if isinstance(stored, model.Member):
            self.restore_server(stored)


def _comparable(member: model.Member) -> model.Member:
    """Returns the member without the fields whose change needs no write.

    Peers do not need the fields that change with each heartbeat.
    """
    server = member.server
    return attrs.evolve(
        member,
        server=server.without_heartbeat_fields if server else None,
        revision=0,
    )
