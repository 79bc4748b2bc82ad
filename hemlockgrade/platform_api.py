"""The interface to the platform's object API."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import time
from typing import Protocol

import attrs

from hemlockgrade import exceptions
from hemlockgrade import token_bucket

# 33 root relays at these rates stay below the platform's 2,000 reads a second;
# its writes are exceeded only if most roots write at full rate at once.
READS_PER_S = 50.0
WRITES_PER_S = 20.0
# A caller that would wait longer is told so instead.
MAX_BUDGET_WAIT_S = 2.0


@attrs.frozen(kw_only=True)
class StoredObject:
    """An object as the platform holds it.

    Attributes:
        key: Path-like name, for example `changes/12`.
        value: The bytes written last.
        version: Grows with each write of the object; starts at 1.
    """

    key: str
    value: bytes
    version: int


class Platform(Protocol):
    """Object API with versions, conditional writes and watches.

    Every method may raise `exceptions.PlatformUnavailableError`; its
    `outcome_known` is False if a write may have taken effect.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Reads an object, or returns None if there is none."""

    async def list(self, prefix: str) -> list[StoredObject]:
        """Reads all objects below a prefix, in the order of their keys."""

    async def create(self, key: str, value: bytes) -> StoredObject:
        """Writes an object only if there is none.

        Raises:
            exceptions.ConflictError: The key exists.
        """

    async def update(
        self, key: str, value: bytes, version: int
    ) -> StoredObject:
        """Replaces an object only if it still has the given version.

        Raises:
            exceptions.ConflictError: The object has another version.
        """

    async def delete(self, key: str, version: int) -> None:
        """Removes an object only if it still has the given version.

        Raises:
            exceptions.ConflictError: The object has another version.
        """

    def watch(
        self, prefix: str, after: str
    ) -> AsyncIterator[Sequence[StoredObject]]:
        """Yields objects below a prefix whose key sorts after a key.

        Each sequence holds, in the order of their keys, all objects that sorted
        after the last one at one moment in the platform. The iterator waits
        for new objects and ends only by an error or when it is closed. Keys
        of the change log are zero-padded, so that their order is the order of
        the log.
        """

    async def close(self) -> None:
        """Closes all connections."""


class CallBudget:
    """Bounds the calls that all callers of a daemon make to the platform.

    Args:
        reads_per_s: Reads, lists and watches allowed a second.
        writes_per_s: Creates, updates and deletes allowed a second.
        max_wait_s: The longest wait for a call, in seconds.
        monotonic: Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        reads_per_s: float = READS_PER_S,
        writes_per_s: float = WRITES_PER_S,
        max_wait_s: float = MAX_BUDGET_WAIT_S,
        monotonic: Callable[[], float] = time.monotonic,
    ):
        self._buckets_by_kind = {
            'read': token_bucket.TokenBucket(reads_per_s, reads_per_s),
            'write': token_bucket.TokenBucket(writes_per_s, writes_per_s),
        }
        self._max_wait_s = max_wait_s
        self._monotonic = monotonic

    async def acquire_read(self) -> None:
        """Waits until a read is allowed.

        Raises:
            exceptions.PlatformUnavailableError: The wait would be too long.
        """
        await self._acquire('read')

    async def acquire_write(self) -> None:
        """Waits until a write is allowed.

        Raises:
            exceptions.PlatformUnavailableError: The wait would be too long.
        """
        await self._acquire('write')

    async def _acquire(self, kind: str) -> None:
        bucket = self._buckets_by_kind[kind]
        now = self._monotonic()
        wait_s = max(0.0, 1 - bucket.available(now)) / bucket.rate_per_s
        if wait_s > self._max_wait_s:
            raise exceptions.PlatformUnavailableError(
                f'the call budget allows {bucket.rate_per_s:g} {kind}s a '
                'second',
                remedy='retry later, the call was not sent',
            )
        # The call is taken now, so that callers go in the order they came.
        bucket.spend(1, now)
        if wait_s:
            await asyncio.sleep(wait_s)
