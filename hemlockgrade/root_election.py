"""Decides whether a daemon serves as a root relay, and finds the roots."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import enum
import random as random_module
import time
from typing import Any
from typing import Protocol

import attrs
from loguru import logger
import orjson

from hemlockgrade import backoff
from hemlockgrade import distribution
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import platform_api
from hemlockgrade import relay
from hemlockgrade import root_relay as root_relay_module
from hemlockgrade import tree
from hemlockgrade import uplink as uplink_module
from hemlockgrade.wire import control_pb2

LEASE_PREFIX = 'leases/relay.'
SLOTS = 3
TICK_S = 0.25
# Spreads the first reads of daemons that start together: 8,200 daemons in
# 4 s make about the 2,000 reads per second that the platform sustains.
FIRST_READ_SPREAD_S = 4.0
# Roots look for peers this often: 33 roots make 6.6 reads per second.
ROOT_READ_INTERVAL_S = 5.0
# Other daemons rarely read while their parent names all roots.
SETTLED_READ_INTERVAL_S = 120.0
VACANT_READ_INTERVAL_S = 1.0
# Each place in the domain's order adds this share of the interval, so that
# 745 daemons read 43 times per second while a slot is vacant.
RANK_SHARE = 0.1
MAX_VACANT_READ_INTERVAL_S = 10.0
FIRST_OUTAGE_READ_INTERVAL_S = 2.0
MAX_OUTAGE_READ_INTERVAL_S = 8.0
# A slot counts as vacant only so long after its deadline, because the clocks
# of hosts differ; the lease itself is decided by conditional writes.
VACANT_AFTER_S = 1.0
ACQUIRE_TIMEOUT_S = 1.5
READ_TIMEOUT_S = 2.0
# How long a daemon looks for a root before it serves as a provisional one.
PROVISIONAL_AFTER_S = 2.0


class Role(enum.StrEnum):
    """Part that a daemon plays in the tree."""

    SUBSCRIBER = 'subscriber'
    PROVISIONAL_ROOT = 'provisional_root'
    ROOT = 'root'


class LeaseKeeper(Protocol):
    """What the election needs of a lease."""

    @property
    def holding(self) -> Any | None:
        """The lease while it is held, or None."""

    async def run(self) -> None:
        """Acquires and renews the lease until cancelled."""

    async def release(self) -> None:
        """Gives the lease up."""


class ParentView(Protocol):
    """What the election needs of the uplink."""

    @property
    def position(self) -> tree.Position:
        """The place in the tree."""

    def is_unreachable(self, address: str) -> bool:
        """Tells whether an address did not answer a short while ago."""


@attrs.frozen(kw_only=True)
class RootRecord:
    """A root relay's lease as the platform holds it.

    Attributes:
        slot: Name of the lease.
        relay: The holder.
        deadline: Seconds of Unix time on the holder's clock.
    """

    slot: str
    relay: distribution.KnownRelay
    deadline: float


@attrs.frozen(kw_only=True)
class Facts:
    """What the choice of a role depends on.

    Attributes:
        holding: True while a slot's lease is held.
        platform_reachable: True if the last read was answered.
        slot_vacant: True if the last read showed a vacant slot.
        has_root: True if a parent leads to a root.
        searched_s: Time without such a parent, in seconds.
        first_in_order: True if no reachable daemon precedes this one.
    """

    holding: bool
    platform_reachable: bool
    slot_vacant: bool
    has_root: bool
    searched_s: float
    first_in_order: bool


def decide_role(role: Role, facts: Facts) -> Role:
    """Returns the next role.

    A root whose lease lapsed in an outage of the platform goes on, because
    roots write nothing and versions order what they send; it gives up only
    when others are known to hold every slot.
    """
    if facts.holding:
        return Role.ROOT
    if role is Role.ROOT and (
        not facts.platform_reachable or facts.slot_vacant
    ):
        return Role.ROOT
    if facts.platform_reachable or facts.has_root:
        return Role.SUBSCRIBER
    if role is Role.PROVISIONAL_ROOT:
        return role
    if facts.first_in_order and facts.searched_s >= PROVISIONAL_AFTER_S:
        return Role.PROVISIONAL_ROOT
    return Role.SUBSCRIBER


def parse_record(stored: platform_api.StoredObject) -> RootRecord | None:
    """Reads a root's lease; returns None if it is not one or malformed."""
    name = stored.key.removeprefix('leases/')
    domain = name.removeprefix('relay.').rpartition('.')[0]
    try:
        fields = orjson.loads(stored.value)
        return RootRecord(
            slot=name,
            relay=distribution.KnownRelay(
                daemon_id=str(fields['holder']),
                failure_domain=domain,
                control_address=str(fields['address']),
            ),
            deadline=float(fields['deadline']),
        )
    except (KeyError, TypeError, ValueError) as error:
        logger.warning(
            'event=lease_malformed key={} error={!r}', stored.key, error
        )
        return None


class RootElection:
    """Takes a root slot of the failure domain when one is vacant."""

    def __init__(
        self,
        *,
        identity: tree.Identity,
        platform: platform_api.Platform,
        keeper_factory: Callable[[str], LeaseKeeper],
        parent: ParentView,
        known_relays: Callable[[], Iterable[distribution.KnownRelay]],
        seeds: Sequence[str] = (),
        slots: int = SLOTS,
        first_read_spread_s: float = FIRST_READ_SPREAD_S,
        on_role: Callable[[Role], None],
        on_roots: Callable[[list[distribution.KnownRelay]], None],
        random: random_module.Random,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        """Prepares the election; `run` takes part in it.

        Args:
            identity: The daemon, with its control address.
            platform: Holds the leases.
            keeper_factory: Makes the keeper of a lease, given its name.
            parent: Tells whether the daemon has a way to a root.
            known_relays: Returns the daemons known from membership.
            seeds: Control addresses of daemons of the own failure domain.
            slots: Number of root slots of the domain.
            first_read_spread_s: Bound of the delay before the first read.
            on_role: Called with each new role.
            on_roots: Called with the roots of all domains after each read.
            random: Source of the jitter.
            clock: Monotonic time in seconds.
            wall_clock: Unix time in seconds, to compare with deadlines.
        """
        self._identity = identity
        self._platform = platform
        self._keeper_factory = keeper_factory
        self._parent = parent
        self._known_relays = known_relays
        self._seeds = tuple(seeds)
        domain = identity.failure_domain
        self._slot_names = [f'relay.{domain}.{slot}' for slot in range(slots)]
        self._on_role = on_role
        self._on_roots = on_roots
        self._random = random
        self._clock = clock
        self._wall_clock = wall_clock
        self._records: tuple[RootRecord, ...] = ()
        # Unknown counts as reachable, so that nobody becomes a provisional
        # root before the first read.
        self._platform_reachable = True
        self._failed_reads = 0
        self._keeper: LeaseKeeper | None = None
        self._keeper_task: asyncio.Task | None = None
        self._searching_since: float | None = None
        self._read_at = clock() + random.uniform(0, first_read_spread_s)
        self._interval_s = 0.0
        self.role = Role.SUBSCRIBER

    def candidates(self, backups: Sequence[str]) -> list[str]:
        """Returns the addresses to subscribe to, in order.

        Args:
            backups: Addresses that the last parent named.
        """
        domain = self._identity.failure_domain
        roots = [
            record.relay.control_address
            for record in self._records
            if record.relay.failure_domain == domain
        ]
        return distribution.parent_order(
            [*backups, *roots, *self._seeds],
            self._known_relays(),
            self._identity.control_address,
            domain,
        )

    async def run(self) -> None:
        """Takes part until cancelled; a task of its own keeps the lease."""
        try:
            while True:
                if self._clock() >= self._read_at:
                    await self._read()
                    await self._take_vacant_slot()
                    self._interval_s = self._read_interval()
                    self._schedule_read()
                self._choose_role()
                if self._read_interval() < self._interval_s:
                    # A root was lost since the last read.
                    self._interval_s = self._read_interval()
                    self._schedule_read()
                await asyncio.sleep(TICK_S)
        finally:
            if self._keeper_task is not None:
                self._keeper_task.cancel()

    async def release(self) -> None:
        """Gives the slot up, so that another daemon takes it at once."""
        keeper, task = self._keeper, self._keeper_task
        self._keeper = self._keeper_task = None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        if keeper is not None:
            with contextlib.suppress(exceptions.HemlockError):
                await keeper.release()

    @property
    def _holding(self) -> bool:
        return self._keeper is not None and self._keeper.holding is not None

    async def _read(self) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                stored = await self._platform.list(LEASE_PREFIX)
        except (exceptions.PlatformUnavailableError, TimeoutError) as error:
            self._platform_reachable = False
            self._failed_reads += 1
            logger.info('event=roots_not_read error={!r}', error)
            return
        self._platform_reachable = True
        self._failed_reads = 0
        records = [parse_record(item) for item in stored]
        self._records = tuple(r for r in records if r is not None)
        now = self._wall_clock()
        live = [r.relay for r in self._records if r.deadline > now]
        self._on_roots(list({r.control_address: r for r in live}.values()))

    def _vacant_slots(self) -> list[str]:
        limit = self._wall_clock() - VACANT_AFTER_S
        held = {r.slot for r in self._records if r.deadline > limit}
        return [name for name in self._slot_names if name not in held]

    async def _take_vacant_slot(self) -> None:
        if not self._platform_reachable or self._holding:
            return
        vacant = self._vacant_slots()
        if not vacant:
            return
        # A keeper that lost its slot would wait for it while others are free.
        await self.release()
        self._keeper = self._keeper_factory(self._random.choice(vacant))
        self._keeper_task = asyncio.create_task(self._keeper.run())
        deadline = self._clock() + ACQUIRE_TIMEOUT_S
        while not self._holding and self._clock() < deadline:
            if self._keeper_task.done():
                break
            await asyncio.sleep(TICK_S / 5)
        if not self._holding:
            await self.release()

    def _choose_role(self) -> None:
        role = decide_role(self.role, self._facts())
        if role is not Role.ROOT and self._keeper_task is not None:
            self._keeper_task.cancel()
            self._keeper = self._keeper_task = None
        if role is self.role:
            return
        logger.info(
            'event=role_changed daemon={} role={} previous={}',
            self._identity.daemon_id,
            role,
            self.role,
        )
        self.role = role
        self._on_role(role)

    def _facts(self) -> Facts:
        position = self._parent.position
        has_root = position.rooted and not position.root
        now = self._clock()
        if has_root:
            self._searching_since = None
        elif self._searching_since is None:
            self._searching_since = now
        since = self._searching_since
        return Facts(
            holding=self._holding,
            platform_reachable=self._platform_reachable,
            slot_vacant=bool(self._vacant_slots()),
            has_root=has_root,
            searched_s=0.0 if since is None else now - since,
            first_in_order=self._rank() == 0,
        )

    def _rank(self) -> int:
        """Counts the reachable daemons that precede this one in the order."""
        domain = self._identity.failure_domain
        own = self._identity.control_address
        known = [
            r.control_address
            for r in self._known_relays()
            if r.failure_domain == domain
        ]
        order = distribution.rendezvous_order(
            domain, {own, *known, *self._seeds}
        )
        before = order[: order.index(own)]
        return sum(not self._parent.is_unreachable(a) for a in before)

    def _schedule_read(self) -> None:
        jitter = self._random.uniform(0.5, 1.5)
        self._read_at = self._clock() + jitter * self._interval_s

    def _read_interval(self) -> float:
        """Returns the mean time between two reads, in seconds."""
        if not self._platform_reachable:
            return backoff.delay_s(
                self._failed_reads,
                FIRST_OUTAGE_READ_INTERVAL_S,
                MAX_OUTAGE_READ_INTERVAL_S,
            )
        if self._holding or self.role is Role.ROOT:
            return ROOT_READ_INTERVAL_S
        position = self._parent.position
        roots = len(position.root_addresses)
        if position.rooted and roots >= len(self._slot_names):
            return SETTLED_READ_INTERVAL_S
        interval = VACANT_READ_INTERVAL_S * (1 + RANK_SHARE * self._rank())
        return min(interval, MAX_VACANT_READ_INTERVAL_S)


class RoleSwitch:
    """Runs the uplink or the root relay, as the election decides.

    Takes reports of the daemon itself and of its children and hands them to
    the one of both that runs.
    """

    def __init__(
        self,
        server: relay.RelayServer,
        uplink: uplink_module.Uplink,
        root_relay: root_relay_module.RootRelay,
    ):
        self._server = server
        self._uplink = uplink
        self._root_relay = root_relay
        self._role = Role.SUBSCRIBER
        self._changed = asyncio.Event()
        server.set_upstream(self)

    @property
    def role(self) -> Role:
        """The role set last."""
        return self._role

    def set_role(self, role: Role) -> None:
        """Changes the role; `run` follows."""
        self._role = role
        self._changed.set()

    def post_suspicions(
        self,
        suspicions: Iterable[control_pb2.Suspicion],
        origin: tree.Origin = tree.Origin.SUBTREE,
    ) -> None:
        """Sends suspicions on."""
        self._active.post_suspicions(suspicions, origin)

    def post_evidence(
        self,
        evidence: Iterable[control_pb2.EvidenceBatch],
        origin: tree.Origin = tree.Origin.SUBTREE,
    ) -> None:
        """Sends evidence on."""
        self._active.post_evidence(evidence, origin)

    def members_received(
        self, targets: Sequence[model.Target], origin: tree.Origin
    ) -> None:
        """Notes entries that arrived."""
        self._active.members_received(targets, origin)

    @property
    def _active(self) -> tree.Upstream:
        return self._root_relay if self._is_root else self._uplink

    @property
    def _is_root(self) -> bool:
        return self._role is Role.ROOT

    async def run(self) -> None:
        """Runs the link that the role asks for until cancelled."""
        while True:
            is_root = self._is_root
            link = self._root_relay if is_root else self._uplink
            self._server.set_position(
                tree.Position(root=True, rooted=True)
                if is_root
                else self._uplink.position
            )
            task = asyncio.create_task(link.run())
            try:
                while is_root == self._is_root and not task.done():
                    self._changed.clear()
                    self._uplink.claim_root(self._role is Role.PROVISIONAL_ROOT)
                    await self._change_or_end(task)
                if task.done():
                    task.result()
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def _change_or_end(self, task: asyncio.Task) -> None:
        waiter = asyncio.create_task(self._changed.wait())
        try:
            await asyncio.wait(
                {task, waiter}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            waiter.cancel()
