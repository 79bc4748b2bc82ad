"""Notices changed settings, with a signal or without one."""

import asyncio
from collections.abc import Callable
import os

import attrs
from loguru import logger

from hemlockgrade import exceptions
from hemlockgrade.config import base
from hemlockgrade.config import daemon as daemon_settings

# Time between two looks at the file, in seconds; a look costs one system call.
POLL_INTERVAL_S = 2.0


@attrs.define(eq=False)
class SettingsWatch:
    """Reads the settings file again when it changes.

    A file that cannot be used leaves the settings in force as they are.

    Attributes:
        path: The settings file.
        settings: Settings in force.
        on_change: Called with new settings.
    """

    path: str
    settings: daemon_settings.DaemonSettings
    on_change: Callable[[daemon_settings.DaemonSettings], None]
    _wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    _stamp: tuple[int, int, int] | None = None

    def request_reload(self) -> None:
        """Has the file read now."""
        self._wanted.set()

    async def run(self) -> None:
        """Watches the file until it is cancelled."""
        self._stamp = self._read_stamp()
        while True:
            signalled = True
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wanted.wait()
            except TimeoutError:
                signalled = False
            self._wanted.clear()
            stamp = self._read_stamp()
            if signalled or stamp != self._stamp:
                self._stamp = stamp
                self._reload(signalled)

    def _read_stamp(self) -> tuple[int, int, int] | None:
        try:
            facts = os.stat(self.path)
        except OSError:
            # A file that is being replaced is read at the next look.
            return None
        return facts.st_mtime_ns, facts.st_size, facts.st_ino

    def _reload(self, signalled: bool):
        try:
            new = base.load(self.path, daemon_settings.DaemonSettings)
        except exceptions.HemlockError as error:
            logger.error('event=settings_refused problem={!r}', str(error))
            return
        changed = new != self.settings
        logger.info(
            'event=settings_reloaded changed={} signalled={}',
            changed,
            signalled,
        )
        if changed:
            self.settings = new
            self.on_change(new)
