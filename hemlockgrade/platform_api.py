"""The interface to the platform's object API."""

from collections.abc import AsyncIterator
from typing import Protocol

import attrs


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

    def watch(self, prefix: str, after: str) -> AsyncIterator[StoredObject]:
        """Yields objects below a prefix whose key sorts after a key.

        Keys of the change log are zero-padded, so that their order is the
        order of the log. The iterator waits for new objects and ends only
        by an error or when it is closed.
        """

    async def close(self) -> None:
        """Closes all connections."""
