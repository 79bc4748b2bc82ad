"""The change log in the platform: load, append, follow, snapshot and trim.

`changes/<n>` holds change `n`, created only if absent. `snapshots/latest`
names the version of the newest snapshot, whose JSON lies in parts below
`snapshots/<version>/`. Entries older than that version by `KEPT_ENTRIES` are
deleted. A writer or reader that was paused for long may therefore meet, or
create, an entry whose original is gone; each such entry is recognised by
reading `snapshots/latest` after it.
"""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import enum
import random as random_module
import time

import attrs
from loguru import logger
import orjson

from hemlockgrade import configuration as configuration_module
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import platform_api
from hemlockgrade import serialization

CHANGES = 'changes/'
SNAPSHOTS = 'snapshots/'
LATEST_SNAPSHOT = 'snapshots/latest'
ROLLOUT_LEASE = 'rollout'

# Zero-padded numbers sort as text in the order of the log.
NUMBER_DIGITS = 12
# A daemon that is at most this far behind resumes without a full copy.
KEPT_ENTRIES = 256
# The platform takes several hundred writes a second, so that `KEPT_ENTRIES`
# appends and a snapshot cannot be written in less time than this.
MIN_TRIM_DELAY_S = 0.5
# Stays below the platform's bound of 1 MB with 4 bytes a character.
PART_CHARACTERS = 200_000
# With the last call's time-out of 3 s this ends before hemlockctl gives up
# after 15 s, so that the operator is told the outcome as far as it is known.
APPEND_TIMEOUT_S = 4.0
LOAD_ATTEMPTS = 5
RETRY_DELAY_MIN_S = 0.1
RETRY_DELAY_MAX_S = 1.0

_OBJECT_BY_KIND = {
    **configuration_module.OBJECT_BY_KIND,
    model.ChangeKind.SET_PROGRESS: 'selector',
    model.ChangeKind.END_ROLLOUT: 'selector',
    model.ChangeKind.EPOCH: 'lease',
}
_HOLDER_KINDS = (model.ChangeKind.SET_PROGRESS, model.ChangeKind.END_ROLLOUT)


@attrs.frozen(kw_only=True)
class SnapshotIndex:
    """The newest snapshot.

    Attributes:
        version: Configuration version of the snapshot; 0 if there is none.
        parts: Number of parts of its JSON.
    """

    version: int = 0
    parts: int = 0

    @property
    def trimmed_to(self) -> int:
        """The highest number whose entry may have been deleted."""
        return self.version - KEPT_ENTRIES


class ChangeLog:
    """Reads and appends changes of configuration.

    Args:
        platform: Where the log is kept.
        clock: Returns seconds of Unix time.
        monotonic: Returns seconds of the monotonic clock.
        random: Source of the jitter between attempts.
    """

    def __init__(
        self,
        platform: platform_api.Platform,
        clock: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
        random: random_module.Random | None = None,
    ):
        self._platform = platform
        self._clock = clock
        self._monotonic = monotonic
        self._random = random or random_module.Random()

    async def load(self) -> configuration_module.Configuration:
        """Reads the newest snapshot and the changes after it.

        Raises:
            exceptions.PlatformUnavailableError: The platform did not answer,
                or the log was trimmed during each attempt.
        """
        for _ in range(LOAD_ATTEMPTS):
            index, _ = await self._read_index()
            loaded = await self._read_snapshot(index)
            if loaded is None:
                continue
            entries = await self._platform.list(CHANGES)
            tail = [c for c in map(_parse, entries) if c.number > index.version]
            if _follows(tail, loaded.version):
                return _apply_all(loaded, tail)
        raise exceptions.PlatformUnavailableError(
            'the log was trimmed while it was read', remedy='load it again'
        )

    async def append(
        self,
        configuration: configuration_module.Configuration,
        draft: model.Change,
    ) -> configuration_module.Configuration:
        """Appends a change, behind changes that others appended first.

        Args:
            configuration: What the draft was made against.
            draft: The change; its number is replaced.

        Returns:
            The configuration after the change.

        Raises:
            exceptions.InvalidChangeError: The change does not fit the whole.
            exceptions.ConflictError: The named object was changed since.
            exceptions.StaleEpochError: A newer holder has begun to act.
            exceptions.PlatformUnavailableError: The platform did not answer;
                `outcome_known` is False if the change may be in the log.
        """
        deadline = self._monotonic() + APPEND_TIMEOUT_S
        current = configuration
        while True:
            _check_epoch(current, draft)
            change = attrs.evolve(
                draft,
                number=current.version + 1,
                written_at=draft.written_at or self._clock(),
            )
            configuration_module.validate(current, change, self._clock())
            if await self._create(change, deadline):
                logger.info(
                    'event=change_appended number={} change_id={} kind={} '
                    'name={} epoch={}',
                    change.number,
                    change.change_id,
                    change.kind,
                    change.name,
                    change.epoch,
                )
                return configuration_module.apply(current, change)
            if self._monotonic() >= deadline:
                raise exceptions.PlatformUnavailableError(
                    f'change {change.change_id} lost each race until its '
                    'deadline and was not written',
                    remedy='send it again',
                )
            current = await self._catch_up(current, draft)

    async def follow(
        self, configuration: configuration_module.Configuration
    ) -> AsyncIterator[model.Change]:
        """Yields the changes after a configuration, in order, without end.

        It waits while the platform is down.

        Raises:
            exceptions.NotFoundError: The next change was deleted; the log
                has to be loaded again.
        """
        follower = _Follower(self, configuration.version)
        failures = 0
        while True:
            watching = self._platform.watch(
                CHANGES, change_key(follower.version)
            )
            try:
                async for batch in watching:
                    failures = 0
                    for change in await follower.accept(batch):
                        yield change
            except exceptions.PlatformUnavailableError as error:
                failures += 1
                logger.info(
                    'event=watch_failed version={} failures={} error={!r}',
                    follower.version,
                    failures,
                    str(error),
                )
                await self._pause(failures)
            finally:
                if isinstance(watching, AsyncGenerator):
                    await watching.aclose()

    async def write_snapshot(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Writes a snapshot, unless there is one of this version or newer.

        An interrupted call leaves the older snapshot in force and may be
        repeated.

        Raises:
            exceptions.ConflictError: Another writer was faster.
            exceptions.PlatformUnavailableError: The platform did not answer.
        """
        index, object_version = await self._read_index()
        if index.version >= configuration.version:
            return
        parts = _split(configuration)
        for number, part in enumerate(parts):
            await self._create_part(
                _part_key(configuration.version, number), part
            )
        value = serialization.to_json(
            SnapshotIndex(version=configuration.version, parts=len(parts))
        )
        if object_version is None:
            await self._platform.create(LATEST_SNAPSHOT, value)
        else:
            await self._platform.update(LATEST_SNAPSHOT, value, object_version)
        logger.info(
            'event=snapshot_written version={} parts={}',
            configuration.version,
            len(parts),
        )
        first_kept = _part_key(configuration.version, 0)
        await self._delete_below(SNAPSHOTS, first_kept)

    async def trim(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Deletes entries older than the newest snapshot by `KEPT_ENTRIES`.

        Args:
            configuration: What the caller has applied; nothing newer than it
                is deleted.

        Raises:
            exceptions.PlatformUnavailableError: The platform did not answer;
                the call may be repeated.
        """
        index, _ = await self._read_index()
        last = min(index.trimmed_to, configuration.version)
        if last > 0:
            await self._delete_below(CHANGES, change_key(last + 1))

    async def check_kept(self, number: int) -> None:
        """Checks that an entry read before this call is the original one.

        Raises:
            exceptions.NotFoundError: It may have been deleted before that.
            exceptions.PlatformUnavailableError: The platform did not answer.
        """
        if not await self._is_kept(number):
            raise _not_kept(number)

    async def read_from(self, number: int) -> list[model.Change]:
        """Reads the changes from a number to the end of the log.

        Raises:
            exceptions.PlatformUnavailableError: The platform did not answer.
        """
        changes: list[model.Change] = []
        while True:
            # The numbers that share all digits but the last are one call.
            entries = await self._platform.list(change_key(number)[:-1])
            block = [c for c in map(_parse, entries) if c.number >= number]
            if not block or not _follows(block, number - 1):
                return changes
            changes += block
            number = block[-1].number + 1
            if number % 10:
                return changes

    async def _create(self, change: model.Change, deadline: float) -> bool:
        """Creates an entry; returns False if another writer has its number."""
        attempt = _Attempt(change=change, started_at=self._monotonic())
        while True:
            try:
                result = await self._try_create(attempt)
                break
            except exceptions.PlatformUnavailableError as error:
                attempt.failures += 1
                if not error.outcome_known:
                    attempt.in_doubt = attempt.reading = True
                if not attempt.in_doubt:
                    raise
                # A slow answer does not take away the one attempt to read back.
                if attempt.failures > 1 and self._monotonic() >= deadline:
                    raise _unknown_outcome(change) from error
                await self._pause(attempt.failures)
        if result is not _Result.TRIMMED:
            return result is _Result.OWN
        duration_s = self._monotonic() - attempt.started_at
        if attempt.in_doubt and duration_s >= MIN_TRIM_DELAY_S:
            # It may have been accepted and trimmed before it was read back.
            raise _unknown_outcome(change)
        if attempt.in_doubt:
            await self._remove_misplaced(change)
        raise _too_old(change)

    async def _try_create(self, attempt: '_Attempt') -> '_Result':
        key = change_key(attempt.change.number)
        stored = await self._platform.get(key) if attempt.reading else None
        attempt.reading = False
        if stored is None:
            try:
                stored = await self._platform.create(
                    key, serialization.to_json(attempt.change)
                )
            except exceptions.ConflictError:
                stored = await self._platform.get(key)
        if stored is None:
            # Taken a moment ago and absent now: it was deleted.
            return _Result.TRIMMED
        if _parse(stored).change_id != attempt.change.change_id:
            return _Result.OTHER
        # From here on a failed call leaves the outcome open.
        attempt.in_doubt = attempt.reading = True
        kept = await self._is_kept(attempt.change.number)
        return _Result.OWN if kept else _Result.TRIMMED

    async def _remove_misplaced(self, change: model.Change) -> None:
        """Deletes an own entry that took the place of a deleted one."""
        try:
            await self._delete(change_key(change.number), 1)
        except exceptions.PlatformUnavailableError as error:
            # Readers ignore the entry and the next trim deletes it.
            logger.info(
                'event=misplaced_change_left number={} error={!r}',
                change.number,
                str(error),
            )

    async def _catch_up(
        self,
        configuration: configuration_module.Configuration,
        draft: model.Change,
    ) -> configuration_module.Configuration:
        """Applies newer changes, unless they rule out the draft."""
        newer = await self.read_from(configuration.version + 1)
        if not await self._is_kept(configuration.version + 1):
            raise _too_old(draft)
        for change in newer:
            configuration = configuration_module.apply(configuration, change)
            _check_epoch(configuration, draft)
            if _touches(change, draft):
                raise exceptions.ConflictError(
                    f'{_OBJECT_BY_KIND[draft.kind]} {draft.name} was changed '
                    f'by {change.author or "another writer"} in version '
                    f'{change.number}',
                    remedy=f'read version {change.number} and make the change '
                    'again if it is still wanted',
                )
        return configuration

    async def _is_kept(self, number: int) -> bool:
        index, _ = await self._read_index()
        return number > index.trimmed_to

    async def _read_index(self) -> tuple[SnapshotIndex, int | None]:
        stored = await self._platform.get(LATEST_SNAPSHOT)
        if stored is None:
            return SnapshotIndex(), None
        index = serialization.from_json(stored.value, SnapshotIndex)
        return index, stored.version

    async def _read_snapshot(
        self, index: SnapshotIndex
    ) -> configuration_module.Configuration | None:
        """Reads a snapshot; None if a newer one has replaced it."""
        if not index.version:
            return configuration_module.Configuration()
        parts = []
        for number in range(index.parts):
            stored = await self._platform.get(_part_key(index.version, number))
            if stored is None:
                return None
            parts.append(stored.value)
        return serialization.from_json(
            b''.join(parts), configuration_module.Configuration
        )

    async def _create_part(self, key: str, value: bytes) -> None:
        try:
            await self._platform.create(key, value)
        except exceptions.ConflictError:
            stored = await self._platform.get(key)
            if stored is None or stored.value != value:
                raise

    async def _delete_below(self, prefix: str, first_kept: str) -> None:
        for stored in await self._platform.list(prefix):
            if stored.key < first_kept:
                await self._delete(stored.key, stored.version)

    async def _delete(self, key: str, version: int) -> None:
        try:
            await self._platform.delete(key, version)
        except exceptions.ConflictError:
            logger.debug('event=already_deleted key={}', key)

    async def _pause(self, failures: int) -> None:
        delay_s = min(RETRY_DELAY_MIN_S * 2**failures, RETRY_DELAY_MAX_S)
        await asyncio.sleep(delay_s * self._random.uniform(0.5, 1.0))


class _Result(enum.Enum):
    """Who has the number that a writer tried to take."""

    OWN = enum.auto()
    OTHER = enum.auto()
    TRIMMED = enum.auto()


@attrs.define(kw_only=True)
class _Attempt:
    """The state of one entry's creation.

    Attributes:
        change: The entry.
        started_at: Seconds of the monotonic clock before the first call.
        in_doubt: True if the entry may exist.
        reading: True if the entry is to be read before the next create.
        failures: Calls that failed.
    """

    change: model.Change
    started_at: float
    in_doubt: bool = False
    reading: bool = False
    failures: int = 0


class _Follower:
    """Puts watched entries in order and fills gaps."""

    def __init__(self, log: ChangeLog, version: int):
        self.version = version
        self._log = log

    async def accept(
        self, batch: Sequence[platform_api.StoredObject]
    ) -> list[model.Change]:
        """Returns the changes that follow, up to the newest watched one."""
        watched = sorted(map(_parse, batch), key=lambda c: c.number)
        changes = [c for c in watched if c.number > self.version]
        if not changes:
            return []
        first, last = self.version + 1, changes[-1].number
        complete = _follows(changes, self.version)
        if not complete:
            changes = await self._log.read_from(first)
        # An entry is deleted only when the log has gone on by `KEPT_ENTRIES`,
        # so that a shorter list cannot hold one that replaced a deleted entry.
        if not complete or last - first >= KEPT_ENTRIES:
            await self._log.check_kept(first)
        if not changes:
            raise _not_kept(first)
        self.version = changes[-1].number
        return changes


def change_key(number: int) -> str:
    """Returns the key of a change."""
    return f'{CHANGES}{number:0{NUMBER_DIGITS}d}'


def _part_key(version: int, part: int) -> str:
    return f'{SNAPSHOTS}{version:0{NUMBER_DIGITS}d}/{part:03d}'


def _parse(stored: platform_api.StoredObject) -> model.Change:
    return serialization.from_json(stored.value, model.Change)


def _split(configuration: configuration_module.Configuration) -> list[bytes]:
    """Encodes a configuration alike on every host and cuts it into parts."""
    text = orjson.dumps(
        serialization.to_plain(configuration), option=orjson.OPT_SORT_KEYS
    ).decode()
    return [
        text[start : start + PART_CHARACTERS].encode()
        for start in range(0, len(text), PART_CHARACTERS)
    ]


def _follows(changes: list[model.Change], version: int) -> bool:
    """Tells whether changes continue a version without a gap."""
    numbers = [change.number for change in changes]
    return numbers == list(range(version + 1, version + 1 + len(changes)))


def _apply_all(
    configuration: configuration_module.Configuration,
    changes: list[model.Change],
) -> configuration_module.Configuration:
    for change in changes:
        configuration = configuration_module.apply(configuration, change)
    return configuration


def _check_epoch(
    configuration: configuration_module.Configuration, draft: model.Change
) -> None:
    """Refuses a lease holder's draft behind a newer holder's first entry."""
    if draft.kind is model.ChangeKind.EPOCH:
        lease = draft.name
    elif draft.kind in _HOLDER_KINDS:
        lease = ROLLOUT_LEASE
    else:
        return
    epoch = configuration.epochs_by_lease.get(lease, 0)
    if draft.epoch < epoch:
        raise exceptions.StaleEpochError(
            f'epoch {draft.epoch} of lease {lease} was followed by {epoch}',
            remedy='stop acting and acquire the lease again',
        )


def _touches(newer: model.Change, draft: model.Change) -> bool:
    """Tells whether a newer change rules out a draft for the same object."""
    if newer.name != draft.name:
        return False
    if _OBJECT_BY_KIND[newer.kind] != _OBJECT_BY_KIND[draft.kind]:
        return False
    # A rollout's step changes nothing that an operator wrote, and operators
    # have to be able to stop a rollout while it steps.
    return (
        newer.kind is not model.ChangeKind.SET_PROGRESS
        or draft.kind in _HOLDER_KINDS
    )


def _not_kept(number: int) -> exceptions.NotFoundError:
    return exceptions.NotFoundError(
        f'change {number} is no longer kept', remedy='load the log again'
    )


def _too_old(change: model.Change) -> exceptions.ConflictError:
    return exceptions.ConflictError(
        f'change {change.change_id} was made against a version that is older '
        'than the log keeps, and was not accepted',
        remedy='load the log and make the change again',
    )


def _unknown_outcome(
    change: model.Change,
) -> exceptions.PlatformUnavailableError:
    return exceptions.PlatformUnavailableError(
        f'change {change.change_id} may have been accepted as version '
        f'{change.number}',
        remedy=f'read version {change.number} before sending it again',
        outcome_known=False,
    )
