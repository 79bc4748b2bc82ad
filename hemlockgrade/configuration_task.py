"""The task that solely owns a daemon's configuration."""

import collections
from collections.abc import Callable
from collections.abc import Sequence

import attrs
from loguru import logger

from hemlockgrade import configuration as configuration_module
from hemlockgrade import distribution
from hemlockgrade import mailbox
from hemlockgrade import model

MAX_KEPT_CHANGES = 512


@attrs.frozen
class ChangesReceived:
    """Changes of the log arrived, in any order.

    Attributes:
        changes: The changes.
    """

    changes: Sequence[model.Change]


@attrs.frozen
class SnapshotReceived:
    """A whole configuration arrived.

    Attributes:
        configuration: The configuration.
    """

    configuration: configuration_module.Configuration


Message = ChangesReceived | SnapshotReceived
Subscriber = Callable[
    [configuration_module.Configuration, tuple[model.Change, ...]], None
]


class ConfigurationTask:
    """Applies changes in order; its version never falls."""

    def __init__(
        self, configuration: configuration_module.Configuration | None = None
    ):
        self._configuration = (
            configuration or configuration_module.Configuration()
        )
        self._buffer = distribution.ChangeBuffer(self._configuration.version)
        self._kept: collections.deque[model.Change] = collections.deque(
            maxlen=MAX_KEPT_CHANGES
        )
        self._mailbox: mailbox.Mailbox[Message] = mailbox.Mailbox()
        self._subscribers: list[Subscriber] = []
        self._gap_subscribers: list[Callable[[int], None]] = []

    @property
    def configuration(self) -> configuration_module.Configuration:
        """The configuration in force; immutable."""
        return self._configuration

    def post(self, message: Message) -> None:
        """Hands a message to the task; never blocks."""
        self._mailbox.post(message)

    def close(self) -> None:
        """Ends `run` after the messages that were already posted."""
        self._mailbox.close()

    def subscribe(self, callback: Subscriber) -> Callable[[], None]:
        """Calls back after each step with the configuration and the changes.

        The changes are empty after a snapshot.

        Returns:
            A function that ends the subscription.
        """
        self._subscribers.append(callback)
        return lambda: self._subscribers.remove(callback)

    def subscribe_gaps(
        self, callback: Callable[[int], None]
    ) -> Callable[[], None]:
        """Calls back with the own version when changes after it are missing.

        Returns:
            A function that ends the subscription.
        """
        self._gap_subscribers.append(callback)
        return lambda: self._gap_subscribers.remove(callback)

    def changes_after(self, version: int) -> list[model.Change] | None:
        """Returns the changes after a version, oldest first.

        Returns:
            None if they are no longer kept, so that a snapshot is needed.
        """
        missing = self._configuration.version - version
        if missing <= 0:
            return []
        if missing > len(self._kept):
            return None
        return list(self._kept)[-missing:]

    async def run(self) -> None:
        """Handles messages until `close`."""
        async for message in self._mailbox:
            self.handle(message)

    def handle(self, message: Message) -> None:
        """Handles one message at once; `run` calls it for each posted one."""
        if isinstance(message, SnapshotReceived):
            self._take_snapshot(message.configuration)
        else:
            self._take(self._buffer.offer(message.changes))

    def _take_snapshot(
        self, snapshot: configuration_module.Configuration
    ) -> None:
        if snapshot.version <= self._configuration.version:
            logger.debug(
                'event=old_snapshot_ignored version={} current={}',
                snapshot.version,
                self._configuration.version,
            )
            return
        logger.info(
            'event=snapshot_applied version={} previous={}',
            snapshot.version,
            self._configuration.version,
        )
        self._configuration = snapshot
        self._kept.clear()
        intake = self._buffer.reset(snapshot.version)
        self._notify(())
        self._take(intake)

    def _take(self, intake: distribution.Intake) -> None:
        applied = self._apply(intake.apply)
        if applied:
            self._notify(applied)
        if intake.resync_after is None:
            return
        version = self._configuration.version
        logger.info('event=change_gap version={}', version)
        for callback in list(self._gap_subscribers):
            callback(version)

    def _apply(
        self, changes: tuple[model.Change, ...]
    ) -> tuple[model.Change, ...]:
        applied = []
        for change in changes:
            try:
                following = configuration_module.apply(
                    self._configuration, change
                )
            except Exception as error:  # noqa: BLE001
                # A change that this release cannot read must neither stop
                # the daemon nor be applied in part; a snapshot goes past it.
                logger.error(
                    'event=change_not_applied number={} error={!r}',
                    change.number,
                    error,
                )
                self._buffer.reset(self._configuration.version)
                break
            self._configuration = following
            self._kept.append(change)
            applied.append(change)
        return tuple(applied)

    def _notify(self, changes: tuple[model.Change, ...]) -> None:
        for callback in list(self._subscribers):
            try:
                callback(self._configuration, changes)
            except Exception:
                # One failing subscriber must not keep a version from others.
                logger.exception(
                    'event=subscriber_failed version={}',
                    self._configuration.version,
                )
