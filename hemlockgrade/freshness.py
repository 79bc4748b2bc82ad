"""How recent the configuration of this daemon is, and which peer knows more."""

from collections.abc import Callable
from collections.abc import Sequence
import math

import attrs
from loguru import logger

from hemlockgrade import directory as directory_module

# The users ask for each change to be in force after this time, in seconds. What
# a daemon knows has to be more recent for a statement about all routes.
APPLY_LIMIT_S = 2.0
# Number of daemons that ask the same peer. A failure domain of 8,200 / 11 hosts
# then has three levels below the daemon that asks the store.
MAX_ASKING_PEERS = 16
# Shortest suspension of the host that is noticed, in seconds. Two clocks that
# are read one after the other differ by less.
MIN_SUSPENSION_S = 0.1
# Time in which a version of which a peer has told arrives from the store or
# from that peer, in seconds. After it the version counts as unknown again.
HEARD_VERSION_S = 10.0
# Confirmations of versions that are not in force yet: during quick changes a
# daemon hears of the next version before it has the former one.
MAX_PENDING_CONFIRMATIONS = 32


@attrs.frozen(kw_only=True)
class Confirmation:
    """Statement about the newest configuration in the store at some time.

    Attributes:
        version: Newest version in the store at that time.
        revision: Revision of the store at that time.
        confirmed_at: That time, of the monotonic clock of this process, in
            seconds.
        read_s: Time that the store needed for the read, in seconds.
    """

    version: int
    revision: int
    confirmed_at: float
    read_s: float = 0.0


@attrs.define(eq=False, kw_only=True)
class Freshness:
    """Keeps the latest time at which the configuration in force was the newest.

    Attributes:
        directory: Has the configuration in force.
        clock: Returns the monotonic time in seconds.
        suspended_s: Returns for how long the host has been suspended since its
            start, in seconds. The monotonic clock does not count this time.
        on_confirmed: Called at each newer confirmation with the revision of the
            store up to which this daemon has all changes of the configuration.
        confirmed_at: All versions that the store had accepted by this time are
            in force here or were replaced by a newer one. Minus infinity
            before the first confirmation.
        revision: Revision of the store that belongs to this time.
        read_s: Time that the store needed for that read, in seconds.
        waits_for_peers: True until a daemon that has just started has asked its
            peers for their versions. Until then its own reads confirm nothing:
            the store may have come back from a copy without the newest one.
    """

    directory: directory_module.Directory
    clock: Callable[[], float]
    suspended_s: Callable[[], float] = lambda: 0.0
    on_confirmed: Callable[[int], None] = lambda revision: None
    confirmed_at: float = -math.inf
    revision: int = 0
    read_s: float = 0.0
    waits_for_peers: bool = False
    # Highest version of which a peer has told, and when it did so first.
    _heard_version: int = 0
    _heard_at: float = math.inf
    _pending: list[Confirmation] = attrs.field(factory=list)
    _known_suspended_s: float = 0.0
    # Confirmations from before this time have an unknown age.
    _valid_from: float = -math.inf

    def __attrs_post_init__(self):
        self._known_suspended_s = self.suspended_s()

    @property
    def age_s(self) -> float:
        """Returns the time since the latest confirmation, in seconds."""
        self._check_suspension()
        return self.clock() - self.confirmed_at

    def _check_suspension(self):
        """Drops all confirmations after a suspension of the host."""
        suspended_s = self.suspended_s()
        if suspended_s - self._known_suspended_s < MIN_SUSPENSION_S:
            return
        logger.warning(
            'event=host_was_suspended seconds={:.2f}',
            suspended_s - self._known_suspended_s,
        )
        self._known_suspended_s = suspended_s
        self._valid_from = self.clock()
        self.confirmed_at = -math.inf
        self._pending.clear()

    def hear_version(self, version: int) -> None:
        """Handles the version that a peer has in force."""
        if version > self._heard_version:
            self._heard_version, self._heard_at = version, self.clock()

    def _is_refuted(self, new: Confirmation) -> bool:
        """Returns whether the store lacked a version that it had before.

        A peer had a newer one in force before the read began, so the store has
        come back from an older copy.
        """
        if (
            new.version >= self._heard_version
            or new.confirmed_at <= self._heard_at
        ):
            return False
        if new.confirmed_at > self._heard_at + HEARD_VERSION_S:
            self._heard_version = 0
            return False
        return True

    def confirm(self, new: Confirmation) -> None:
        """Applies a confirmation of an own read of the store or of a peer.

        One of a version that this daemon does not have yet is kept until the
        version comes into force.
        """
        self._check_suspension()
        if new.confirmed_at < self._valid_from or self._is_refuted(new):
            return
        if new.version > self.directory.configuration_version:
            self._pending.append(new)
            del self._pending[:-MAX_PENDING_CONFIRMATIONS]
            return
        if new.confirmed_at > self.confirmed_at:
            self.confirmed_at = new.confirmed_at
            self.read_s = new.read_s
            self.on_confirmed(new.revision)
        self.revision = max(self.revision, new.revision)

    def handle_configuration(self) -> None:
        """Handles a new version in force."""
        pending, self._pending = self._pending, []
        for each in pending:
            self.confirm(each)


def choose_source(names: Sequence[str], own_name: str) -> str | None:
    """Returns the peer whose confirmations a daemon of a failure domain uses.

    The daemons form a tree in the order of their names. The first one asks the
    store, each other one asks its parent in the tree.

    Args:
        names: Names of the daemons of the failure domain that can be asked, in
            any order; the own name may be missing.
        own_name: Name of the daemon that asks.

    Returns:
        The name of the peer; None if the daemon has to ask the store itself.
    """
    ordered = sorted({*names, own_name})
    rank = ordered.index(own_name)
    return None if rank == 0 else ordered[(rank - 1) // MAX_ASKING_PEERS]
