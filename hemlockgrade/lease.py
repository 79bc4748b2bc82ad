"""Leases in the platform: the decisions, and the task that keeps one.

A holder measures its time from before a write was sent, on its own monotonic
clock, and stops a quarter of the term early. The lease alone does not exclude
a holder that was paused between its check and its write; the change log does
that by the epoch.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random as random_module
import time
from typing import Any
from typing import Protocol
from typing import TypeVar
import uuid

import attrs
import automat
from loguru import logger

from hemlockgrade import exceptions
from hemlockgrade import platform_api
from hemlockgrade import serialization

T = TypeVar('T')

LEASES = 'leases/'
RENEWALS_PER_TERM = 3
# Share of the term at whose end the holder no longer acts.
MARGIN = 0.25
# Hosts' wall clocks may differ by this; more costs needless handovers, but
# never lets two holders act.
MAX_CLOCK_SKEW_S = 1.0
# Share of the term after which a failed call is repeated.
RETRY = 1 / 12
RELEASED = 0.0


@attrs.frozen(kw_only=True)
class Lease:
    """A lease as the platform holds it.

    Attributes:
        holder: Identifier of the holder.
        epoch: Grows by one with each acquisition.
        deadline: Seconds of Unix time on the holder's clock; `RELEASED` once
            the holder has given it up.
        address: Where the holder is reached.
        write_id: Unique to each write, to recognise one whose answer is lost.
    """

    holder: str
    epoch: int
    deadline: float
    address: str
    write_id: str


@attrs.frozen(kw_only=True)
class Holding:
    """The right to act.

    Attributes:
        epoch: Epoch of the acquisition; it marks each action.
        deadline: Seconds of the monotonic clock, margin included.
    """

    epoch: int
    deadline: float


@attrs.frozen(kw_only=True)
class Observation:
    """What was last seen of a lease.

    Attributes:
        lease: The lease, or None if it was never taken.
        version: Version of its object; 0 if there is none.
        since: Seconds of the monotonic clock when this version was first seen.
    """

    lease: Lease | None
    version: int
    since: float


def holding_deadline(started_at: float, term_s: float) -> float:
    """Returns until when a write allows its holder to act.

    Args:
        started_at: Seconds of the monotonic clock before the write was sent.
        term_s: Term of the lease in seconds.
    """
    return started_at + term_s * (1 - MARGIN)


def acquirable_in_s(
    observation: Observation, now_unix: float, now: float, term_s: float
) -> float:
    """Returns the seconds after which another's lease may be taken.

    A lease has lapsed when its deadline has passed on this host's wall clock,
    or when it was not renewed for a term on this host's monotonic clock,
    which needs no agreement between clocks.

    Args:
        observation: What was last seen of the lease.
        now_unix: Seconds of Unix time.
        now: Seconds of the monotonic clock.
        term_s: Term of the lease in seconds.
    """
    lease = observation.lease
    if lease is None or lease.deadline == RELEASED:
        return 0.0
    by_wall_clock = lease.deadline + MAX_CLOCK_SKEW_S - now_unix
    by_observation = observation.since + term_s - now
    return max(0.0, min(by_wall_clock, by_observation))


class LeaseState(Protocol):
    """Inputs of the lease machine: free, held or lapsed."""

    def grant(self, holding: Holding) -> None:
        """Notes that a write of this holder took effect."""

    def lapse(self) -> None:
        """Notes that the margin was reached without a renewal."""

    def give_up(self) -> None:
        """Notes that another holder has the lease or that it is released."""

    def holding(self) -> Holding | None:
        """Returns the right to act, if it is held."""

    def regrantable(self, epoch: int) -> bool:
        """Tells whether an epoch may be granted.

        An epoch that has lapsed is not used again, because its end was
        announced.
        """


@attrs.define
class _LeaseCore:
    """What the machine's transitions change."""

    on_acquired: Callable[[Holding], None]
    on_lost: Callable[[], None]
    holding: Holding | None = None
    lapsed_epoch: int = 0


def _build_machine():
    """Builds the machine; the free state is the first one."""
    builder = automat.TypeMachineBuilder(LeaseState, _LeaseCore)
    free = builder.state('free')
    held = builder.state('held')
    lapsed = builder.state('lapsed')

    def acquire(state, core: _LeaseCore, holding: Holding) -> None:
        core.holding = holding
        core.on_acquired(holding)

    def renew(state, core: _LeaseCore, holding: Holding) -> None:
        core.holding = holding

    def lose(state, core: _LeaseCore) -> None:
        if core.holding is not None:
            core.lapsed_epoch = core.holding.epoch
        core.holding = None
        core.on_lost()

    def current(state, core: _LeaseCore) -> Holding | None:
        return core.holding

    def regrantable(state, core: _LeaseCore, epoch: int) -> bool:
        return epoch > core.lapsed_epoch

    for outside in (free, lapsed):
        outside.upon(LeaseState.grant).to(held)(acquire)
        outside.upon(LeaseState.lapse).loop().returns(None)
        outside.upon(LeaseState.give_up).to(free).returns(None)
    held.upon(LeaseState.grant).loop()(renew)
    held.upon(LeaseState.lapse).to(lapsed)(lose)
    held.upon(LeaseState.give_up).to(free)(lose)
    for state in (free, held, lapsed):
        state.upon(LeaseState.holding).loop()(current)
        state.upon(LeaseState.regrantable).loop()(regrantable)
    return builder.build()


_new_machine = _build_machine()


@attrs.frozen(kw_only=True)
class _Write:
    """A write that was sent.

    Attributes:
        epoch: Epoch that it carries.
        started_at: Seconds of the monotonic clock before it was sent.
        replaces: Version of the object that it can replace.
    """

    epoch: int
    started_at: float
    replaces: int


class LeaseKeeper:
    """Acquires a lease, renews it and tells when it is lost.

    Args:
        platform: Where the lease is kept.
        name: Name of the lease, for example `rollout`.
        holder_id: Identifier of this process.
        address: Where this process is reached.
        term_s: Term of the lease in seconds.
        clock: Returns seconds of Unix time.
        monotonic: Returns seconds of the monotonic clock.
        random: Source of the jitter between attempts.
        on_acquired: Called with the holding after each acquisition.
        on_lost: Called when the holding ends, before another may act.
    """

    def __init__(
        self,
        platform: platform_api.Platform,
        name: str,
        holder_id: str,
        address: str,
        term_s: float,
        clock: Callable[[], float] = time.time,
        *,
        monotonic: Callable[[], float] = time.monotonic,
        random: random_module.Random | None = None,
        on_acquired: Callable[[Holding], None] = lambda holding: None,
        on_lost: Callable[[], None] = lambda: None,
    ):
        self._platform = platform
        self._name = name
        self._holder_id = holder_id
        self._address = address
        self._term_s = term_s
        self._clock = clock
        self._monotonic = monotonic
        self._random = random or random_module.Random()
        self._on_acquired = on_acquired
        self._on_lost = on_lost
        self._machine = _new_machine(_LeaseCore(self._acquired, self._lost))
        self._observation = Observation(
            lease=None, version=0, since=monotonic()
        )
        # True if the platform may hold something newer than the observation.
        self._must_read = True
        self._writes_by_id: dict[str, _Write] = {}
        self._lock = asyncio.Lock()
        self._released = asyncio.Event()
        self._lapse_timer: asyncio.TimerHandle | None = None

    @property
    def holding(self) -> Holding | None:
        """The right to act; None as soon as the margin is reached."""
        holding = self._machine.holding()
        if holding is None or self._monotonic() >= holding.deadline:
            return None
        return holding

    async def run(self) -> None:
        """Keeps the lease until it is released."""
        while not self._released.is_set():
            delay_s = await self._step()
            try:
                async with asyncio.timeout(delay_s):
                    await self._released.wait()
            except TimeoutError:
                continue

    async def release(self) -> None:
        """Stops acting and gives the lease to whoever takes it next.

        If the platform does not answer, the lease lapses by itself.
        """
        self._released.set()
        self._machine.give_up()
        self._stop_timer()
        async with self._lock:
            try:
                await self._write_released()
            except exceptions.PlatformUnavailableError as error:
                self._log_failure('release', error)
            except exceptions.ConflictError:
                logger.info('event=lease_taken_over lease={}', self._name)

    async def _step(self) -> float:
        """Makes one attempt and returns the seconds until the next one."""
        started_at = self._monotonic()
        async with self._lock:
            if self._released.is_set():
                return 0.0
            try:
                await self._attempt()
            except exceptions.PlatformUnavailableError as error:
                self._log_failure('attempt', error)
                self._must_read = True
                return self._retry_delay_s()
        if self.holding is not None:
            next_at = started_at + self._term_s / RENEWALS_PER_TERM
            return max(0.0, next_at - self._monotonic())
        return self._wait_s() + self._jitter_s()

    async def _attempt(self) -> None:
        if self._must_read or self.holding is None:
            await self._observe()
        holding = self.holding
        if holding is not None:
            await self._write(holding.epoch)
        elif self._wait_s() <= 0:
            lease = self._observation.lease
            await self._write(lease.epoch + 1 if lease else 1)

    async def _observe(self) -> None:
        """Reads the lease, and recognises a write whose answer was lost."""
        stored = await self._call(self._platform.get(LEASES + self._name))
        lease = None
        version = 0
        if stored is not None:
            lease = serialization.from_json(stored.value, Lease)
            version = stored.version
        self._note(lease, version)
        own = lease and self._writes_by_id.get(lease.write_id)
        if not own:
            self._machine.give_up()
        else:
            self._grant(own)

    async def _write(self, epoch: int) -> None:
        replaces = self._observation.version
        write = _Write(
            epoch=epoch, started_at=self._monotonic(), replaces=replaces
        )
        lease = Lease(
            holder=self._holder_id,
            epoch=epoch,
            deadline=self._clock() + self._term_s,
            address=self._address,
            write_id=uuid.uuid4().hex,
        )
        self._writes_by_id[lease.write_id] = write
        self._must_read = True
        try:
            stored = await self._put(lease, replaces)
        except exceptions.ConflictError:
            await self._observe()
            return
        self._note(lease, stored.version)
        self._grant(write)

    async def _put(
        self, lease: Lease, replaces: int
    ) -> platform_api.StoredObject:
        key = LEASES + self._name
        value = serialization.to_json(lease)
        if not replaces:
            return await self._call(self._platform.create(key, value))
        return await self._call(self._platform.update(key, value, replaces))

    async def _call(self, call: Coroutine[Any, Any, T]) -> T:
        """Gives a call up in time for another one before the margin."""
        try:
            async with asyncio.timeout(self._term_s / RENEWALS_PER_TERM):
                return await call
        except TimeoutError as error:
            raise exceptions.PlatformUnavailableError(
                f'the call for lease {self._name} took too long',
                remedy='read the lease to learn whether it took effect',
                outcome_known=False,
            ) from error

    async def _write_released(self) -> None:
        if self._must_read:
            await self._observe()
        observation = self._observation
        lease = observation.lease
        if lease is None or lease.write_id not in self._writes_by_id:
            return
        await self._put(
            attrs.evolve(lease, deadline=RELEASED, write_id=uuid.uuid4().hex),
            observation.version,
        )
        logger.info(
            'event=lease_released lease={} epoch={}', self._name, lease.epoch
        )

    def _note(self, lease: Lease | None, version: int) -> None:
        """Keeps what was seen, and forgets writes that can no longer win."""
        seen = self._observation
        unchanged = seen.version == version
        self._observation = Observation(
            lease=lease,
            version=version,
            since=seen.since if unchanged else self._monotonic(),
        )
        self._must_read = False
        own_id = lease.write_id if lease else ''
        self._writes_by_id = {
            write_id: write
            for write_id, write in self._writes_by_id.items()
            if write.replaces >= version or write_id == own_id
        }

    def _grant(self, write: _Write) -> None:
        deadline = holding_deadline(write.started_at, self._term_s)
        if self._released.is_set() or self._monotonic() >= deadline:
            return
        # A timer that is late, as after a pause, has not ended the old epoch.
        self._lapse()
        if not self._machine.regrantable(write.epoch):
            return
        self._machine.grant(Holding(epoch=write.epoch, deadline=deadline))
        self._stop_timer()
        self._lapse_timer = asyncio.get_running_loop().call_later(
            deadline - self._monotonic(), self._lapse
        )

    def _lapse(self) -> None:
        if self.holding is None:
            self._machine.lapse()

    def _stop_timer(self) -> None:
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()

    def _wait_s(self) -> float:
        """Returns the seconds until the observed lease may be taken."""
        lease = self._observation.lease
        if lease is not None and lease.write_id in self._writes_by_id:
            return 0.0
        return acquirable_in_s(
            self._observation, self._clock(), self._monotonic(), self._term_s
        )

    def _retry_delay_s(self) -> float:
        """Returns the delay after a failed call; short while acting."""
        if self.holding is not None:
            return self._jitter_s()
        return self._jitter_s() + self._term_s / RENEWALS_PER_TERM

    def _jitter_s(self) -> float:
        """Spreads the attempts of processes that failed together."""
        return self._term_s * RETRY * self._random.uniform(0.5, 1.5)

    def _acquired(self, holding: Holding) -> None:
        logger.info(
            'event=lease_acquired lease={} epoch={}', self._name, holding.epoch
        )
        self._on_acquired(holding)

    def _lost(self) -> None:
        logger.info('event=lease_lost lease={}', self._name)
        self._on_lost()

    def _log_failure(
        self, action: str, error: exceptions.PlatformUnavailableError
    ) -> None:
        logger.info(
            'event=lease_call_failed lease={} action={} outcome_known={}',
            self._name,
            action,
            error.outcome_known,
        )
