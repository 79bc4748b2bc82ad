"""Reloads the settings file after a change or a signal."""

import asyncio
from collections.abc import Callable
import os

import attrs
from loguru import logger

from hemlockgrade import exceptions
from hemlockgrade.config import base
from hemlockgrade.config import daemon as daemon_settings

# Time between two checks of the file; each check costs one system call.
POLL_INTERVAL_S = 2.0


@attrs.define(eq=False)
class SettingsWatch:
    """Reloads the settings file when the file changes or on request.

    If the file cannot be read or is invalid, the settings in force stay.

    Attributes:
        path: Path of the settings file.
        settings: Settings in force.
        on_change: Called with the new settings if they differ.
    """

    path: str
    settings: daemon_settings.DaemonSettings
    on_change: Callable[[daemon_settings.DaemonSettings], None]
    _reload_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _file_state: tuple[int, int, int] | None = None

    def request_reload(self) -> None:
        """Makes the running watch reload the file at once."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Watches the file until the task is cancelled."""
        self._file_state = self._read_file_state()
        while True:
            signalled = True
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                signalled = False
            self._reload_requested.clear()
            file_state = self._read_file_state()
            if signalled or file_state != self._file_state:
                self._file_state = file_state
                self._reload(signalled)

    def _read_file_state(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self.path)
        except OSError:
            # The file may be missing while it is being replaced. A later check
            # finds the new file.
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

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
