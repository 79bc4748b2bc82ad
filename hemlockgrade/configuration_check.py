"""Keeps this daemon's knowledge of the newest configuration recent.

The watch of the configuration usually returns a change at once, but it may use
a lagging replica or a connection that has silently failed. So in each failure
domain one daemon asks the store for changes without lag, several times a
second, and the others ask each other how recent their knowledge is. A daemon
that does not hear of a recent answer asks the store itself.
"""

import asyncio
import collections
import random as random_module

import attrs
from loguru import logger

from hemlockgrade import backoff
from hemlockgrade import exceptions
from hemlockgrade import freshness as freshness_module
from hemlockgrade import model
from hemlockgrade import object_store
from hemlockgrade import state_sync
from hemlockgrade import store_feed

# Mean time between two reads of the store by the daemon that asks for its
# failure domain, and between two comparisons with a peer, in seconds.
STORE_INTERVAL_S = 0.5
PEER_INTERVAL_S = 0.3
# The same without a path to the store. Each comparison may then be one with
# another failure domain, whose traffic is billed by the byte.
CUT_OFF_INTERVAL_S = 1.0
# Jitter of these times, as a fraction.
JITTER = 0.2
# A daemon whose latest confirmation is older asks the store itself, in seconds.
# While the store is slow, confirmations are older by up to twice the time by
# which a read takes longer than usual.
MAX_AGE_S = 1.2
USUAL_READ_S = 0.1
# Time for the watch to return a version that a peer has already, before this
# daemon asks the store for it, in seconds. After a change the watch pauses for
# up to 0.4 s, and a large configuration takes 0.3 s on a link of 5.5 Mbit/s.
WATCH_GRACE_S = 0.7
# Longest wait of a daemon that has just started for the list of the members, in
# seconds, and the number of them that it then asks for their versions.
FIRST_LIST_TIMEOUT_S = 1.0
FIRST_PEERS = 3
# Longest time for a peer of the same failure domain to send its versions, in
# seconds.
PEER_TIMEOUT_S = 0.25
# A peer that cannot be reached, or so many times did not respond in time or had
# an old confirmation while the store responds, is not asked for this time, in
# seconds. It doubles with each further failure, up to the longest one.
MAX_PEER_FAILURES = 2
PEER_COOLDOWN_S = 5.0
MAX_PEER_COOLDOWN_S = 60.0
# Longest time until the store begins to respond on a connection that was open
# before, which may have failed silently, in seconds. It is at least twice the
# time of the latest read.
OPEN_CONNECTION_TIMEOUT_S = 0.25
# Longest time until the response to a read begins, in seconds.
READ_TIMEOUT_S = 1.5
# Mean time from the start of a failed read to the next read, in seconds. It
# doubles with each failure in a row, up to the longest one. A change has to be
# in force 3 s after the end of a fault, in which a read may have begun.
MIN_RETRY_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 1.75
# Time between two restarts of the watches, in seconds.
MIN_RESTART_INTERVAL_S = 5.0


@attrs.define(eq=False, kw_only=True)
class ConfigurationCheck:
    """Confirms the configuration in force, by the store or by peers.

    Attributes:
        freshness: How recent the configuration is.
        feed: Reads the store.
        sync: Compares versions with peers.
        zone: Failure domain of this daemon's host.
        random: Source of the jitter.
    """

    freshness: freshness_module.Freshness
    feed: store_feed.StoreFeed
    sync: state_sync.StateSync
    zone: str
    random: random_module.Random = attrs.field(factory=random_module.Random)
    _not_before_by_peer: dict[str, float] = attrs.field(factory=dict)
    _failures_by_peer: dict[str, int] = attrs.field(factory=dict)
    # Versions that peers have and this daemon has not, with the time at which
    # it asks the store for them.
    _wanted: collections.deque[tuple[int, float]] = attrs.field(
        factory=collections.deque
    )
    _woken: asyncio.Event = attrs.field(factory=asyncio.Event)
    _next_read_at: float = 0.0
    _next_random_at: float = 0.0
    _random_comparison: asyncio.Task | None = None
    _next_restart_at: float = 0.0
    _failed_reads: int = 0
    _logged_old: bool = False
    # The latest failures, for the log: why the configuration is not confirmed.
    _peer_problem: str = ''
    _store_problem: str = ''

    async def run(self) -> None:
        """Confirms the configuration again and again until it is cancelled."""
        if self.freshness.waits_for_peers:
            await self._ask_peers_first()
        async with asyncio.TaskGroup() as group:
            while True:
                await self._wait(self._interval_s())
                await self._confirm(group)
                self._log_age()

    async def _ask_peers_first(self):
        """Compares versions with some peers before own reads confirm anything.

        The store may have come back from a copy without the newest version,
        which peers then still have.
        """
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self.feed.members_listed.wait()
            await self.sync.compare_with_some(FIRST_PEERS, PEER_TIMEOUT_S)
        except TimeoutError:
            # Peers that get to know this daemon tell it their versions.
            pass
        self.freshness.waits_for_peers = False
        await self._read_store(newest_only=False)

    def want(self, version: int) -> None:
        """Asks the store for a version that a peer has, unless it arrives."""
        if self._wanted and version <= self._wanted[-1][0]:
            return
        self._wanted.append((version, self.freshness.clock() + WATCH_GRACE_S))
        self._woken.set()

    def _next_wanted_at(self) -> float | None:
        """Returns when the store is asked for a version; None if never.

        While a configuration is received, no other one is asked for.
        """
        if self.feed.is_receiving_configuration:
            return None
        while self._wanted and self._wanted[0][0] <= self._version:
            self._wanted.popleft()
        return self._wanted[0][1] if self._wanted else None

    @property
    def _version(self) -> int:
        return self.freshness.directory.configuration_version

    @property
    def _is_recent(self) -> bool:
        return self.freshness.age_s < self._max_age_s

    @property
    def _max_age_s(self) -> float:
        slow_s = max(0.0, self.freshness.read_s - USUAL_READ_S)
        return MAX_AGE_S + 2 * slow_s

    @property
    def reaches_store(self) -> bool:
        """Returns whether this daemon gets new configurations in time."""
        return self.feed.gets_configurations and self._is_recent

    def _interval_s(self) -> float:
        if not self.feed.gets_configurations and not self._is_recent:
            mean_s = CUT_OFF_INTERVAL_S
        elif self._source() is None:
            mean_s = STORE_INTERVAL_S
        else:
            mean_s = PEER_INTERVAL_S
        return mean_s * self._jitter()

    def _jitter(self) -> float:
        return self.random.uniform(1 - JITTER, 1 + JITTER)

    async def _wait(self, interval_s: float):
        """Waits for the interval, at most until an action is due.

        That is when the latest confirmation is no longer recent, when a failed
        read is tried again, and when a wanted version is overdue.
        """
        now = self.freshness.clock()
        until = now + interval_s
        if self._failed_reads and self._next_read_at > now:
            until = min(until, self._next_read_at)
        recent_until = self.freshness.confirmed_at + self._max_age_s
        if recent_until > now:
            until = min(until, recent_until)
        while True:
            self._woken.clear()
            now = self.freshness.clock()
            wanted_at = self._next_wanted_at()
            ends_at = until if wanted_at is None else min(until, wanted_at)
            if now >= ends_at:
                return
            try:
                async with asyncio.timeout(ends_at - now):
                    await self._woken.wait()
            except TimeoutError:
                return

    async def _confirm(self, group: asyncio.TaskGroup):
        wanted_at = self._next_wanted_at()
        if wanted_at is not None and self.freshness.clock() >= wanted_at:
            # If the store does not send the version, a peer does later.
            self._wanted.clear()
            if await self._read_store(newest_only=True):
                return
        source = self._source()
        if source is not None:
            await self._compare(source)
            if self._is_recent:
                return
        if not self._is_recent:
            # The store may not respond.
            self._start_random_comparison(group)
        if await self._read_store(newest_only=False) and source is not None:
            self._count_failure(source.name)

    def _start_random_comparison(self, group: asyncio.TaskGroup):
        """Compares versions with a random peer while the store is read."""
        now = self.freshness.clock()
        if now < self._next_random_at or (
            self._random_comparison is not None
            and not self._random_comparison.done()
        ):
            return
        self._next_random_at = now + CUT_OFF_INTERVAL_S * (1 - JITTER)
        self._random_comparison = group.create_task(
            self.sync.compare_with_random_peer()
        )

    def _source(self) -> model.Member | None:
        """Returns the peer to ask; None if this daemon asks the store."""
        directory = self.freshness.directory
        now = self.freshness.clock()
        usable = [
            name
            for name, member in directory.member_by_name.items()
            if member.zone == self.zone
            and not member.leaving
            and self._not_before_by_peer.get(name, 0.0) <= now
        ]
        name = freshness_module.choose_source(usable, directory.name)
        return None if name is None else directory.member_by_name[name]

    async def _compare(self, source: model.Member):
        """Compares versions with a peer.

        A peer that cannot be reached is not asked for some time.
        """
        before = self.freshness.confirmed_at
        try:
            await self.sync.compare(source.address, PEER_TIMEOUT_S)
        except exceptions.HemlockError as error:
            self._peer_problem = str(error)
            if isinstance(error, exceptions.ConnectFailedError):
                self._set_aside(source.name)
            else:
                # The link of a small host may be full for a moment.
                self._count_failure(source.name)
            return
        self._peer_problem = ''
        if self._is_recent and self.freshness.confirmed_at > before:
            self._failures_by_peer.pop(source.name, None)

    def _count_failure(self, name: str):
        """Counts a missing or an old response."""
        failures = self._failures_by_peer.get(name, 0) + 1
        self._failures_by_peer[name] = failures
        if failures >= MAX_PEER_FAILURES:
            self._set_aside(name)

    def _set_aside(self, name: str):
        failures = self._failures_by_peer.get(name, 0) + 1
        self._failures_by_peer[name] = failures
        self._not_before_by_peer[name] = self.freshness.clock() + (
            backoff.delay_s(failures, PEER_COOLDOWN_S, MAX_PEER_COOLDOWN_S)
        )

    async def _read_store(self, *, newest_only: bool) -> bool:
        """Reads the configuration without lag.

        While the watch of the configuration fails, nothing is read here: the
        watch tries again by itself and begins with a list. Nor is anything read
        beside another response with a configuration, which may be large for the
        link: both would take longer.

        Args:
            newest_only: True if a newer version is known to exist.

        Returns:
            False if the store was not asked or did not respond.
        """
        now = self.freshness.clock()
        if not self.feed.gets_configurations or now < self._next_read_at:
            return False
        if self.feed.is_receiving_configuration:
            return False
        before = self._version
        try:
            if self._failed_reads:
                await self._read_on_new_connection()
            else:
                await self._read_configuration(newest_only)
        except exceptions.PlatformUnavailableError as error:
            self._failed_reads += 1
            delay_s = backoff.delay_s(
                self._failed_reads, MIN_RETRY_INTERVAL_S, MAX_RETRY_INTERVAL_S
            )
            self._next_read_at = now + delay_s * self._jitter()
            self._store_problem = str(error)
            logger.info(
                'event=configuration_not_confirmed age_s={:.2f} problem={!r}',
                self.freshness.age_s,
                str(error),
            )
            return False
        self._failed_reads = 0
        self._store_problem = ''
        if self._version != before and not self.feed.is_receiving_configuration:
            logger.info(
                'event=configuration_read_late version={} before={}',
                self._version,
                before,
            )
            self._restart_watches()
        return True

    async def _read_configuration(self, newest_only: bool):
        """Reads the configuration, if need be on a new connection.

        Raises:
            exceptions.PlatformUnavailableError: The store is unavailable.
        """
        started_at = self.freshness.clock()
        starts_by = started_at + min(
            max(OPEN_CONNECTION_TIMEOUT_S, 2 * self.freshness.read_s),
            READ_TIMEOUT_S,
        )
        try:
            await self.feed.read_configuration(
                object_store.ReadLimits.for_transfer(starts_by),
                newest_only=newest_only,
            )
            return
        except exceptions.PlatformUnavailableError:
            if (
                self.freshness.clock() < starts_by
                or self.feed.is_receiving_configuration
            ):
                # The store refused the call, or the watch receives a response.
                raise
        # The connection is silent.
        await self._read_on_new_connection()

    async def _read_on_new_connection(self):
        """Reads the newest version, whatever the open connections do.

        Raises:
            exceptions.PlatformUnavailableError: The store is unavailable.
        """
        started_at = self.freshness.clock()
        await self.feed.read_configuration(
            object_store.ReadLimits.for_transfer(
                started_at + READ_TIMEOUT_S, new_connection=True
            ),
            newest_only=True,
        )
        if self.freshness.clock() - started_at < OPEN_CONNECTION_TIMEOUT_S:
            # Otherwise the store may be slow, not the connection silent.
            self._restart_watches()

    def _restart_watches(self):
        """Sends the watches again, which may wait on silent connections."""
        now = self.freshness.clock()
        if now >= self._next_restart_at:
            self._next_restart_at = now + MIN_RESTART_INTERVAL_S
            self.feed.restart_watches()

    def _log_age(self):
        is_old = self.freshness.age_s > freshness_module.APPLY_LIMIT_S
        if is_old == self._logged_old:
            return
        self._logged_old = is_old
        source = self._source()
        logger.info(
            'event=configuration_{} version={} age_s={:.2f} revision={} '
            'source={} watched={} peer_problem={!r} store_problem={!r}',
            'unconfirmed' if is_old else 'confirmed',
            self._version,
            self.freshness.age_s,
            self.freshness.revision,
            'store' if source is None else source.name,
            self.feed.gets_configurations,
            self._peer_problem,
            self._store_problem,
        )
