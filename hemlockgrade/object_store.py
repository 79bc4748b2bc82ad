"""Interface of the store that keeps objects across restarts of daemons."""

from typing import Any
from typing import Protocol

import attrs

from hemlockgrade import exceptions


@attrs.frozen(kw_only=True)
class StoredItem:
    """An object of the store.

    Attributes:
        kind: Kind of the object.
        name: Name of the object, unique among the objects of the kind.
        revision: Revision of the object's last change.
        created_number: Number of the revision at which the object was created.
            A copy of the store keeps it, so it is without the era.
        deleting: True once the object was deleted but still has finalizers.
        finalizers: Names that block the deletion until they are removed.
        spec: Desired state, which the owner of the object writes.
        status: State reported for the object, for example of a rollout.
    """

    kind: str
    name: str
    revision: int
    created_number: int = 0
    deleting: bool = False
    finalizers: tuple[str, ...] = ()
    spec: Any = None
    status: Any = None


@attrs.frozen(kw_only=True)
class ItemChange:
    """A change of one object.

    Attributes:
        item: The object after the change, or its last state if it was deleted.
        deleted: True if the object was deleted.
    """

    item: StoredItem
    deleted: bool


@attrs.frozen(kw_only=True)
class Listing:
    """All objects of a kind.

    Attributes:
        items: The objects.
        revision: Revision of the store after which a watch can continue. If the
            list may lag, changes up to this revision may be missing.
    """

    items: tuple[StoredItem, ...]
    revision: int


@attrs.frozen(kw_only=True)
class Changes:
    """Result of one watch request.

    Attributes:
        changes: Changes in the order of their revisions; empty if nothing
            changed.
        revision: Revision of the store. If the response may lag, changes up to
            this revision may be missing.
    """

    changes: tuple[ItemChange, ...]
    revision: int


# Longest time for a response that has begun, and longest pause in it, in
# seconds. On the link of a small host a large configuration takes seconds; a
# read that is cut off and begun again may never end.
MAX_TRANSFER_S = 10.0
MAX_PAUSE_S = 1.0


@attrs.frozen(kw_only=True)
class ReadLimits:
    """Limits on the time and the connection of a read.

    Attributes:
        deadline: Monotonic time in seconds by which the response is complete.
        starts_by: Monotonic time in seconds by which the response begins; None
            for no such limit.
        new_connection: True if no connection is used that was open before.
    """

    deadline: float
    starts_by: float | None = None
    new_connection: bool = False

    @classmethod
    def for_transfer(
        cls, starts_by: float, *, new_connection: bool = False
    ) -> 'ReadLimits':
        """Returns limits that leave a response that has begun time to end.

        Args:
            starts_by: Monotonic time in seconds by which the response begins.
            new_connection: True if no connection is used that was open before.
        """
        return cls(
            deadline=starts_by + MAX_TRANSFER_S,
            starts_by=starts_by,
            new_connection=new_connection,
        )


class HistoryLostError(exceptions.HemlockError):
    """The store no longer has the changes after the requested revision."""


class ChangesTooLargeError(HistoryLostError):
    """The changes are much larger than the newest versions of the objects."""


class RevisionConflictError(exceptions.ConflictError):
    """A conditional write failed since the object has another revision.

    Attributes:
        current: The stored object, or None if the store did not send it.
    """

    def __init__(self, message: str, current: StoredItem | None):
        super().__init__(
            message, remedy='apply the change to the current object'
        )
        self.current = current


class ObjectStore(Protocol):
    """A store of objects with revisions, conditional writes and watches.

    Revisions also grow when the store comes back from an older copy of its
    data; see `revisions`. Watches of a revision from before end with
    `HistoryLostError` then, and conditional writes over one with
    `RevisionConflictError`, even if the store took the write.

    Every method may raise `exceptions.PlatformUnavailableError`. Its attribute
    `outcome_known` is False if the write may have taken effect or may still
    take effect.
    """

    def is_receiving(self, kind: str) -> bool:
        """Returns whether a response with objects of a kind has begun."""

    async def get(self, kind: str, name: str) -> StoredItem | None:
        """Returns one object, or None if it does not exist."""

    async def list(
        self,
        kind: str,
        *,
        may_lag: bool = False,
        limits: ReadLimits | None = None,
    ) -> Listing:
        """Returns all objects of a kind.

        Args:
            kind: Kind of the objects.
            may_lag: True if a cheaper response that lacks the latest changes
                will do.
            limits: Limits on the read; None for those of the store.
        """

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        *,
        may_lag: bool = True,
    ) -> Changes:
        """Waits for changes after a revision.

        Args:
            kind: Kind of the objects.
            revision: Only changes after this revision are returned.
            wait_s: Longest wait for a change, in seconds.
            may_lag: True if a cheaper response that lacks the latest changes
                will do.

        Raises:
            HistoryLostError: The store no longer has all these changes.
        """

    async def changes_since(
        self, kind: str, revision: int, limits: ReadLimits
    ) -> Changes:
        """Returns all changes after a revision up to now, without a wait.

        Args:
            kind: Kind of the objects.
            revision: Only changes after this revision are returned.
            limits: Limits on the read.

        Raises:
            HistoryLostError: The store no longer has all these changes.
        """

    async def create(self, kind: str, name: str, spec: Any) -> StoredItem:
        """Creates an object if it does not exist.

        Raises:
            RevisionConflictError: The object exists.
        """

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> StoredItem:
        """Replaces the spec of an object if it has the given revision.

        Raises:
            RevisionConflictError: The object has another revision.
            exceptions.NotFoundError: The object does not exist.
        """

    async def replace_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> StoredItem:
        """Replaces the status of an object if it has the given revision.

        Raises:
            RevisionConflictError: The object has another revision.
            exceptions.NotFoundError: The object does not exist.
        """

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Deletes an object if it has the given revision.

        Raises:
            RevisionConflictError: The object has another revision.
            exceptions.NotFoundError: The object does not exist.
        """
