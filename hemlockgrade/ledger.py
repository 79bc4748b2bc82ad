"""Ledger of the attempts that a daemon sent to its server or fenced.

To fence an attempt means to make sure that it is never sent to the server, if
it was not sent before. In that case the request was certainly not run, and its
sender may retry it.
"""

import collections
import enum

import attrs

from hemlockgrade import exceptions

# Time for which the ledger keeps an entry, in seconds: twice the longest
# expected duration of a request, so that no attempt is still under way when
# its entry expires. A selector may set a longer timeout
# (`selectors.MAX_TIMEOUT_MS`); the fence of an attempt that outlasts its entry
# has the result "unknown".
RETENTION_S = 120.0
# Largest number of prefixes whose highest expired number is kept. A prefix
# belongs to one daemon process; this is enough for 8,200 daemons and their
# restarts during some weeks, at about 100 bytes per prefix.
MAX_EXPIRED_PREFIXES = 65_536


class FenceResult(enum.StrEnum):
    """Result of a fence.

    Attributes:
        NEVER_SEEN: The attempt was not admitted and never will be.
        ADMITTED: The attempt was admitted, so it may have run.
        UNKNOWN: The attempt may or may not have been admitted.
    """

    NEVER_SEEN = 'never_seen'
    ADMITTED = 'admitted'
    UNKNOWN = 'unknown'


class _Entry(enum.Enum):
    """State of an attempt; a tombstone marks a fenced attempt."""

    ADMITTED = 1
    TOMBSTONE = 2


def split_attempt_id(attempt_id: str) -> tuple[str, int]:
    """Splits the identifier of an attempt.

    Returns:
        The prefix, which identifies the process of the sending daemon, and the
        number of the attempt, which grows with each attempt of that process.

    Raises:
        exceptions.MalformedRequestError: The identifier is not
            `<prefix>-<number>`.
    """
    prefix, _, number = attempt_id.rpartition('-')
    if not prefix or not number.isascii() or not number.isdecimal():
        raise exceptions.MalformedRequestError(
            f'x-hemlock-attempt {attempt_id[:64]!r} is not <prefix>-<number>'
        )
    return prefix, int(number)


@attrs.define
class AttemptLedger:
    """Records which attempts were sent to the server and which are fenced.

    An attempt is recorded before its first byte is sent to the server, so an
    attempt without an entry was not run. Attempts of idempotent requests are
    not recorded, because these may run more than once. Entries expire, but the
    highest expired number is kept for up to `MAX_EXPIRED_PREFIXES` prefixes. A
    fence of an attempt with this number or a lower one has the result
    "unknown", not "never seen". The same applies to an attempt whose prefix may
    have been dropped.

    Attributes:
        boot_id: Identifier of this daemon process. The ledger is not stored,
            so it is lost when the process ends.
    """

    boot_id: str
    _entry_by_id: dict[str, _Entry] = attrs.field(factory=dict)
    _times_and_ids: collections.deque[tuple[float, str]] = attrs.field(
        factory=collections.deque
    )
    _highest_expired_by_prefix: dict[str, int] = attrs.field(factory=dict)
    _has_dropped_prefixes: bool = False

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def admit(self, attempt_id: str, now: float) -> None:
        """Records an attempt that is about to be sent to the server.

        Args:
            attempt_id: Identifier of the attempt.
            now: Monotonic time in seconds.

        Raises:
            exceptions.RequestNotRunError: The attempt was fenced, and its
                sender has received the result that it will not run.
            exceptions.OutcomeUnknownError: The attempt was admitted before,
                or its entry may have expired.
            exceptions.MalformedRequestError: The identifier is malformed.
        """
        entry = self._entry_by_id.get(attempt_id)
        if entry is _Entry.TOMBSTONE:
            raise exceptions.RequestNotRunError(
                f'request {attempt_id} was fenced',
                remedy='send it under a new identifier',
            )
        if entry is _Entry.ADMITTED or self._is_expired(attempt_id):
            raise exceptions.OutcomeUnknownError(
                f'request {attempt_id} arrived before',
                remedy='check the effect before sending it again',
            )
        self._add(attempt_id, _Entry.ADMITTED, now)

    def fence(self, attempt_id: str, boot_id: str, now: float) -> FenceResult:
        """Fences an attempt: one that was not admitted never will be.

        Args:
            attempt_id: Identifier of the attempt.
            boot_id: Identifier of the daemon process to which the attempt was
                sent.
            now: Monotonic time in seconds.

        Returns:
            Whether the attempt was admitted. With the result "never seen" the
            ledger has a tombstone, which refuses the attempt if it arrives
            later.

        Raises:
            exceptions.MalformedRequestError: The identifier is malformed.
        """
        if boot_id != self.boot_id:
            return FenceResult.UNKNOWN
        entry = self._entry_by_id.get(attempt_id)
        if entry is _Entry.ADMITTED:
            return FenceResult.ADMITTED
        if entry is _Entry.TOMBSTONE:
            return FenceResult.NEVER_SEEN
        if self._may_be_expired(attempt_id):
            return FenceResult.UNKNOWN
        self._add(attempt_id, _Entry.TOMBSTONE, now)
        return FenceResult.NEVER_SEEN

    def expire(self, now: float) -> None:
        """Removes the entries that are older than `RETENTION_S`."""
        oldest_kept = now - RETENTION_S
        while self._times_and_ids and self._times_and_ids[0][0] < oldest_kept:
            _, attempt_id = self._times_and_ids.popleft()
            del self._entry_by_id[attempt_id]
            self._record_expired(attempt_id)

    def _add(self, attempt_id: str, entry: _Entry, now: float):
        self._entry_by_id[attempt_id] = entry
        self._times_and_ids.append((now, attempt_id))

    def _record_expired(self, attempt_id: str):
        prefix, number = split_attempt_id(attempt_id)
        highest = max(number, self._highest_expired_by_prefix.pop(prefix, -1))
        self._highest_expired_by_prefix[prefix] = highest
        if len(self._highest_expired_by_prefix) > MAX_EXPIRED_PREFIXES:
            del self._highest_expired_by_prefix[
                next(iter(self._highest_expired_by_prefix))
            ]
            self._has_dropped_prefixes = True

    def _is_expired(self, attempt_id: str) -> bool:
        """Returns whether this or a later attempt of the prefix expired."""
        prefix, number = split_attempt_id(attempt_id)
        highest = self._highest_expired_by_prefix.get(prefix)
        if highest is None:
            return False
        return number <= highest

    def _may_be_expired(self, attempt_id: str) -> bool:
        """Returns whether the entry of an attempt may have been removed."""
        prefix, _ = split_attempt_id(attempt_id)
        prefix_dropped = (
            self._has_dropped_prefixes
            and prefix not in self._highest_expired_by_prefix
        )
        return prefix_dropped or self._is_expired(attempt_id)
