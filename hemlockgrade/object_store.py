"""The interface to the store that keeps what must last."""

from typing import Any
from typing import Protocol

import attrs

from hemlockgrade import exceptions


@attrs.frozen(kw_only=True)
class StoredItem:
    """An object of the store.

    Attributes:
        kind: Kind of the object.
        name: Unique among the objects of the kind.
        revision: Revision of the object's last change.
        created_revision: Revision at which the object was created.
        deleting: True once its deletion waits for its finalizers.
        finalizers: Names that keep a deleted object until they are removed.
        spec: What its owner wants.
        status: What was reported on it.
    """

    kind: str
    name: str
    revision: int
    created_revision: int = 0
    deleting: bool = False
    finalizers: tuple[str, ...] = ()
    spec: Any = None
    status: Any = None


@attrs.frozen(kw_only=True)
class ItemChange:
    """A change of one object.

    Attributes:
        item: The object after the change, or as it was when deleted.
        deleted: True if the object is gone.
    """

    item: StoredItem
    deleted: bool


@attrs.frozen(kw_only=True)
class Listing:
    """All objects of a kind.

    Attributes:
        items: The objects, by name.
        revision: Revision of the store from which a watch goes on.
    """

    items: tuple[StoredItem, ...]
    revision: int


@attrs.frozen(kw_only=True)
class Changes:
    """What a watch saw.

    Attributes:
        changes: In the order of their revisions; empty if nothing changed.
        revision: Revision of the store from which the next watch goes on.
    """

    changes: tuple[ItemChange, ...]
    revision: int


class HistoryLostError(exceptions.HemlockError):
    """The store no longer has the changes since a revision."""


class RevisionConflictError(exceptions.ConflictError):
    """A conditional write met another revision.

    Attributes:
        current: The object as it is in the store, if the store sent it.
    """

    def __init__(self, message: str, current: StoredItem | None):
        super().__init__(
            message, remedy='apply the change to the current object'
        )
        self.current = current


class ObjectStore(Protocol):
    """Objects with revisions, conditional writes and watches.

    Every method may raise `exceptions.PlatformUnavailableError`; its
    `outcome_known` is False if a write may still take effect.
    """

    async def get(self, kind: str, name: str) -> StoredItem | None:
        """Reads one object, or returns None if there is none."""

    async def list(self, kind: str) -> Listing:
        """Reads all objects of a kind."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Waits for changes after a revision.

        Args:
            kind: Kind of the objects.
            revision: Changes after it are returned.
            wait_s: Longest wait for a change, in seconds.

        Raises:
            HistoryLostError: The store no longer has all of them.
        """

    async def create(self, kind: str, name: str, spec: Any) -> StoredItem:
        """Writes an object only if there is none.

        Raises:
            RevisionConflictError: The object exists.
        """

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> StoredItem:
        """Replaces an object only if it has the given revision.

        Raises:
            RevisionConflictError: It has another one.
            exceptions.NotFoundError: It does not exist.
        """

    async def replace_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> StoredItem:
        """Replaces an object's status only if it has the given revision.

        Raises:
            RevisionConflictError: It has another one.
            exceptions.NotFoundError: It does not exist.
        """

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Removes an object only if it has the given revision.

        Raises:
            RevisionConflictError: It has another one.
        """
