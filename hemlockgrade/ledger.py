"""Identifiers of requests that a daemon passed on, and fences against them."""

import collections
import enum

import attrs

from hemlockgrade import exceptions

# Requests last at most `MAX_TIMEOUT_S` of the proxy; twice that, so that no
# request that is still under way meets a ledger that has forgotten it.
RETENTION_S = 120.0
# 8,200 proxies and their restarts of some weeks, about 100 bytes each.
MAX_EXPIRED_PREFIXES = 65_536


class FenceResult(enum.StrEnum):
    """What the ledger knows of a fenced request."""

    NEVER_SEEN = 'never_seen'
    ADMITTED = 'admitted'
    UNKNOWN = 'unknown'


class _Entry(enum.Enum):
    ADMITTED = 1
    TOMBSTONE = 2


def split_attempt_id(attempt_id: str) -> tuple[str, int]:
    """Splits an identifier into its proxy's prefix and the running number.

    Raises:
        exceptions.MalformedRequestError: The identifier has another form.
    """
    prefix, _, number = attempt_id.rpartition('-')
    if not prefix or not number.isascii() or not number.isdecimal():
        raise exceptions.MalformedRequestError(
            f'x-hemlock-request-id {attempt_id[:64]!r} is not <proxy>-<number>'
        )
    return prefix, int(number)


@attrs.define
class AttemptLedger:
    """Remembers which requests went to a target and which never may.

    An identifier is entered before the first byte goes to the target, so
    whatever is not in the ledger was not run. Old entries are forgotten, but
    for each proxy the highest forgotten number is kept: a fence at or below
    it is answered "unknown", never "never seen".

    Attributes:
        boot_id: Identifier of this process; the ledger is lost with it.
    """

    boot_id: str
    _entry_by_id: dict[str, _Entry] = attrs.field(factory=dict)
    _ids_by_age: collections.deque[tuple[float, str]] = attrs.field(
        factory=collections.deque
    )
    _forgotten_by_prefix: dict[str, int] = attrs.field(factory=dict)
    _prefixes_dropped: bool = False

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def admit(self, attempt_id: str, now: float) -> None:
        """Enters a request that is about to be sent to a target.

        Raises:
            exceptions.RequestNotRunError: The request was fenced; its proxy
                has been told that it never runs.
            exceptions.OutcomeUnknownError: The same request was admitted
                before, or too long ago to tell.
        """
        entry = self._entry_by_id.get(attempt_id)
        if entry is _Entry.TOMBSTONE:
            raise exceptions.RequestNotRunError(
                f'request {attempt_id} was fenced',
                remedy='send it under a new identifier',
            )
        if entry is _Entry.ADMITTED or self._is_forgotten(attempt_id):
            raise exceptions.OutcomeUnknownError(
                f'request {attempt_id} arrived before',
                remedy='check the effect before sending it again',
            )
        self._enter(attempt_id, _Entry.ADMITTED, now)

    def fence(self, attempt_id: str, boot_id: str, now: float) -> FenceResult:
        """Bars a request that was not admitted from ever being admitted.

        Args:
            attempt_id: Identifier of the request.
            boot_id: Process that the request was sent to.
            now: Time on the monotonic clock, in seconds.

        Returns:
            Whether the request was admitted; "never seen" only together
            with a tombstone that refuses a later arrival.
        """
        if boot_id != self.boot_id:
            return FenceResult.UNKNOWN
        entry = self._entry_by_id.get(attempt_id)
        if entry is _Entry.ADMITTED:
            return FenceResult.ADMITTED
        if entry is _Entry.TOMBSTONE:
            return FenceResult.NEVER_SEEN
        if self._may_be_forgotten(attempt_id):
            return FenceResult.UNKNOWN
        self._enter(attempt_id, _Entry.TOMBSTONE, now)
        return FenceResult.NEVER_SEEN

    def expire(self, now: float) -> None:
        """Forgets entries older than the retention time."""
        oldest = now - RETENTION_S
        while self._ids_by_age and self._ids_by_age[0][0] < oldest:
            _, attempt_id = self._ids_by_age.popleft()
            del self._entry_by_id[attempt_id]
            self._remember_forgotten(attempt_id)

    def _enter(self, attempt_id: str, entry: _Entry, now: float):
        self._entry_by_id[attempt_id] = entry
        self._ids_by_age.append((now, attempt_id))

    def _remember_forgotten(self, attempt_id: str):
        prefix, number = split_attempt_id(attempt_id)
        highest = max(number, self._forgotten_by_prefix.pop(prefix, -1))
        self._forgotten_by_prefix[prefix] = highest
        if len(self._forgotten_by_prefix) > MAX_EXPIRED_PREFIXES:
            del self._forgotten_by_prefix[next(iter(self._forgotten_by_prefix))]
            self._prefixes_dropped = True

    def _is_forgotten(self, attempt_id: str) -> bool:
        prefix, number = split_attempt_id(attempt_id)
        highest = self._forgotten_by_prefix.get(prefix)
        if highest is None:
            return False
        return number <= highest

    def _may_be_forgotten(self, attempt_id: str) -> bool:
        prefix, _ = split_attempt_id(attempt_id)
        dropped = (
            self._prefixes_dropped and prefix not in self._forgotten_by_prefix
        )
        return dropped or self._is_forgotten(attempt_id)
