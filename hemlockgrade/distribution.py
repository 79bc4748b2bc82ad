"""Decisions of subscribers and relays; time and randomness are passed in."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import hashlib
import random as random_module
import zlib

import attrs

from hemlockgrade import backoff
from hemlockgrade import model
from hemlockgrade import token_bucket

MAX_CHILDREN = 8
FULL_COPIES_PER_S = 50.0
MAX_REDIRECT_ADDRESSES = 4
# Changes that arrived before their predecessors; more are asked for again.
MAX_HELD_CHANGES = 512
FIRST_RECONNECT_DELAY_S = 1.0
MAX_RECONNECT_DELAY_S = 8.0
# Member deltas share 8 KB per second with everything else that a relay sends.
MEMBER_BYTES_PER_S = 2_000.0
MEMBER_BURST_BYTES = 16_000.0
# Entries of the full table go out in chunks, so that a change can pass them.
# 512 compress no better and take the receiver 6 ms at a time instead of 1.5.
TABLE_CHUNK_ENTRIES = 128
MAX_REMEMBERED_ENTRIES = 4096
# 8,200 targets make 32 entries a bucket and 2 KB of digests a subscription.
DIGEST_BUCKETS = 256
# Below this size the whole table costs no more than the digests.
MIN_DIGEST_ENTRIES = 32
# A longer run of changes costs as much as a full copy.
MAX_CHEAP_CHANGES = 64
# Candidates tried one after the other before the next delay.
MAX_TRIES_PER_ROUND = 4
MAX_REDIRECTS_PER_ROUND = 24


@attrs.frozen(kw_only=True)
class Intake:
    """What to do with changes that arrived.

    Attributes:
        apply: Changes to apply now, in order, without a gap.
        resync_after: Version after which changes are missing, or None.
    """

    apply: tuple[model.Change, ...]
    resync_after: int | None


@attrs.define
class ChangeBuffer:
    """Puts changes in order, drops duplicates and notices gaps.

    Attributes:
        version: Number of the last change handed out for application.
    """

    version: int = 0
    _held_by_number: dict[int, model.Change] = attrs.field(factory=dict)

    def offer(self, changes: Iterable[model.Change]) -> Intake:
        """Takes changes in any order and returns those that can be applied."""
        for change in changes:
            if change.number <= self.version:
                continue
            if len(self._held_by_number) < MAX_HELD_CHANGES:
                self._held_by_number[change.number] = change
            elif change.number == self.version + 1:
                # The next change always fits, or a full buffer would block.
                del self._held_by_number[max(self._held_by_number)]
                self._held_by_number[change.number] = change
        return self._take()

    def reset(self, version: int) -> Intake:
        """Continues after a snapshot and returns held changes that follow."""
        self.version = version
        for number in [n for n in self._held_by_number if n <= version]:
            del self._held_by_number[number]
        return self._take()

    def _take(self) -> Intake:
        ready = []
        while self.version + 1 in self._held_by_number:
            self.version += 1
            ready.append(self._held_by_number.pop(self.version))
        return Intake(
            apply=tuple(ready),
            resync_after=self.version if self._held_by_number else None,
        )


@attrs.frozen(kw_only=True)
class Admission:
    """The answer to a subscription.

    Attributes:
        admitted: True if the subscriber has become a child.
        addresses: Relays to try instead, if it was not admitted.
        retry_after_s: Time to wait before asking this relay again.
    """

    admitted: bool
    addresses: tuple[str, ...] = ()
    retry_after_s: float = 0.0


@attrs.define
class ChildTable:
    """The children of a relay, at most a fixed number.

    Attributes:
        max_children: Most children that are admitted.
        full_copies_per_s: Most subscriptions with a full copy per second.
        addresses_by_id: Control address of each child.
    """

    max_children: int = MAX_CHILDREN
    full_copies_per_s: float = FULL_COPIES_PER_S
    addresses_by_id: dict[str, str] = attrs.field(factory=dict)
    _copies: token_bucket.TokenBucket = attrs.field(init=False)
    _retry_at: float = attrs.field(default=0.0, init=False)
    _turn: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self):
        self._copies = token_bucket.TokenBucket(
            self.full_copies_per_s, self.full_copies_per_s
        )

    def admit(
        self, daemon_id: str, address: str, full_copy: bool, now: float
    ) -> Admission:
        """Admits a subscriber, or says where or when to try again.

        Args:
            daemon_id: Identifier of the subscriber; a known one is admitted
                again in its own place.
            address: Its control address, for redirects.
            full_copy: True if it needs a whole configuration.
            now: Monotonic time in seconds.
        """
        known = daemon_id in self.addresses_by_id
        if not known and len(self.addresses_by_id) >= self.max_children:
            return Admission(
                admitted=False,
                addresses=self._next_addresses(),
                retry_after_s=self._next_retry_delay(now),
            )
        if full_copy and self._copies.available(now) < 1:
            return Admission(
                admitted=False, retry_after_s=self._next_retry_delay(now)
            )
        if full_copy:
            self._copies.spend(1, now)
        self.addresses_by_id[daemon_id] = address
        return Admission(admitted=True)

    def remove(self, daemon_id: str) -> None:
        """Frees the place of a child."""
        self.addresses_by_id.pop(daemon_id, None)

    def _next_addresses(self) -> tuple[str, ...]:
        """Names children in turn, so that newcomers spread over them."""
        addresses = [a for a in self.addresses_by_id.values() if a]
        if not addresses:
            return ()
        start = self._turn % len(addresses)
        self._turn += 1
        turned = addresses[start:] + addresses[:start]
        return tuple(turned[:MAX_REDIRECT_ADDRESSES])

    def _next_retry_delay(self, now: float) -> float:
        """Spaces the retries of refused subscribers at the rate of copies."""
        self._retry_at = max(self._retry_at, now) + 1 / self.full_copies_per_s
        # Refused subscribers may have found another relay by then.
        self._retry_at = min(self._retry_at, now + MAX_RECONNECT_DELAY_S)
        return self._retry_at - now


@attrs.define
class MemberOutbox:
    """Member entries that one stream still has to send.

    Holds identifiers only, so that several changes of one entry are sent
    once, in their last state.

    Attributes:
        bucket: Limits the bytes of deltas.
    """

    bucket: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(
            MEMBER_BYTES_PER_S, MEMBER_BURST_BYTES
        )
    )
    _delta_ids: dict[str, None] = attrs.field(factory=dict)
    _table_ids: dict[str, None] = attrs.field(factory=dict)
    _received_by_id: collections.OrderedDict[str, model.Target] = attrs.field(
        factory=collections.OrderedDict
    )

    @property
    def has_deltas(self) -> bool:
        """True if a delta waits to be sent."""
        return bool(self._delta_ids)

    @property
    def has_table(self) -> bool:
        """True if a part of the full table waits to be sent."""
        return bool(self._table_ids)

    def offer(self, targets: Iterable[model.Target]) -> None:
        """Adds entries that changed, but for those the other side sent."""
        for target in targets:
            received = self._received_by_id.pop(target.target_id, None)
            if received != target:
                self._delta_ids[target.target_id] = None

    def offer_ids(self, target_ids: Iterable[str]) -> None:
        """Adds entries as deltas, at the bounded rate."""
        self._delta_ids.update(dict.fromkeys(target_ids))

    def offer_table(self, target_ids: Iterable[str]) -> None:
        """Adds entries of the full table, which no rate limits."""
        self._table_ids.update(dict.fromkeys(target_ids))

    def note_received(self, targets: Iterable[model.Target]) -> None:
        """Remembers entries of the other side, which need no echo."""
        for target in targets:
            self._received_by_id[target.target_id] = target
            self._received_by_id.move_to_end(target.target_id)
        while len(self._received_by_id) > MAX_REMEMBERED_ENTRIES:
            self._received_by_id.popitem(last=False)

    def take_table(
        self, targets_by_id: Mapping[str, model.Target]
    ) -> list[model.Target]:
        """Removes and returns the next chunk of the full table."""
        ids = list(self._table_ids)[:TABLE_CHUNK_ENTRIES]
        for target_id in ids:
            del self._table_ids[target_id]
            self._delta_ids.pop(target_id, None)
        return [targets_by_id[i] for i in ids if i in targets_by_id]

    def take_deltas(
        self,
        targets_by_id: Mapping[str, model.Target],
        size_of: Callable[[model.Target], int],
        now: float,
    ) -> list[model.Target]:
        """Removes and returns the deltas that the rate allows now."""
        taken = []
        available = self.bucket.available(now)
        for target_id in list(self._delta_ids):
            if available <= 0:
                break
            del self._delta_ids[target_id]
            target = targets_by_id.get(target_id)
            if target is None:
                continue
            size = size_of(target)
            available -= size
            self.bucket.spend(size, now)
            taken.append(target)
        return taken


@attrs.define
class MemberDigest:
    """Digests of a member table, to find the entries that two sides differ in.

    Every bucket holds the exclusive or of the hashes of its entries, so that
    a change of one entry costs the same for any size of the table. Entries
    that are gone are left out, because each side forgets them in its own time.
    """

    _buckets: list[int] = attrs.field(factory=lambda: [0] * DIGEST_BUCKETS)
    _hash_by_id: dict[str, int] = attrs.field(factory=dict)

    def update(self, targets: Iterable[model.Target]) -> None:
        """Takes entries that changed."""
        for target in targets:
            target_id = target.target_id
            index = bucket_of(target_id)
            self._buckets[index] ^= self._hash_by_id.pop(target_id, 0)
            if target.state is model.MemberState.GONE:
                continue
            entry = _entry_hash(target)
            self._hash_by_id[target_id] = entry
            self._buckets[index] ^= entry

    def values(self) -> list[int]:
        """Returns the digests, or nothing for a small table."""
        if len(self._hash_by_id) < MIN_DIGEST_ENTRIES:
            return []
        return list(self._buckets)

    def differing(
        self,
        other: Sequence[int],
        targets_by_id: Mapping[str, model.Target],
    ) -> list[str]:
        """Returns the entries in buckets that differ from another table's.

        Args:
            other: Digests of the other side; none asks for all entries.
            targets_by_id: The own table.
        """
        if len(other) != DIGEST_BUCKETS:
            return list(targets_by_id)
        differs = [a != b for a, b in zip(self._buckets, other, strict=True)]
        if not any(differs):
            return []
        return [i for i in targets_by_id if differs[bucket_of(i)]]


def bucket_of(target_id: str) -> int:
    """Returns the index of the digest that covers a target."""
    return zlib.crc32(target_id.encode()) % DIGEST_BUCKETS


def _entry_hash(target: model.Target) -> int:
    text = f'{target.target_id}\0{target.incarnation}\0{int(target.state)}'
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


@attrs.define
class ParentSearch:
    """Chooses the next address to subscribe to.

    A round tries each address at most once, so that relays that redirect
    to each other cannot keep a subscriber between them.

    Attributes:
        random: Source of the jitter.
        attempt: Failures in a row, the first is 1.
    """

    random: random_module.Random
    attempt: int = 1
    _queue: collections.deque[str] = attrs.field(factory=collections.deque)
    _redirects: collections.deque[str] = attrs.field(factory=collections.deque)
    _visited: set[str] = attrs.field(factory=set)
    _tries: int = 0
    _redirected: int = 0
    _retry_after_s: float = 0.0

    def begin_round(self, candidates: Iterable[str]) -> float:
        """Starts to try candidates in order.

        Returns:
            The delay before the first try, in seconds.
        """
        self._queue = collections.deque(candidates)
        self._redirects.clear()
        self._visited.clear()
        self._tries = self._redirected = 0
        delay = reconnect_delay(self.attempt, self.random)
        delay = max(delay, self._retry_after_s)
        self._retry_after_s = 0.0
        self.attempt += 1
        return delay

    def next_address(self) -> str | None:
        """Returns the next address of the round, or None at its end."""
        while self._redirects and self._redirected < MAX_REDIRECTS_PER_ROUND:
            address = self._redirects.popleft()
            if address not in self._visited:
                self._redirected += 1
                self._visited.add(address)
                return address
        while self._queue and self._tries < MAX_TRIES_PER_ROUND:
            address = self._queue.popleft()
            if address not in self._visited:
                self._tries += 1
                self._visited.add(address)
                return address
        return None

    def redirected(
        self, addresses: Sequence[str], retry_after_s: float
    ) -> None:
        """Notes the answer of a relay that has no place."""
        self._redirects.extendleft(reversed(addresses))
        self._retry_after_s = max(
            self._retry_after_s, min(retry_after_s, MAX_RECONNECT_DELAY_S)
        )

    def subscribed(self) -> None:
        """Notes a stable subscription; the next failure is a first one."""
        self.attempt = 1
        self._retry_after_s = 0.0


def reconnect_delay(attempt: int, random: random_module.Random) -> float:
    """Returns the delay before a subscription, in seconds, with full jitter.

    Args:
        attempt: Failures in a row; the first is 1.
        random: Source of the jitter.
    """
    limit = backoff.delay_s(
        attempt, FIRST_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S
    )
    return random.uniform(0, limit)


@attrs.frozen(kw_only=True)
class KnownRelay:
    """A daemon that can serve as a parent.

    Attributes:
        daemon_id: Identifier of the daemon.
        failure_domain: Its failure domain.
        control_address: `host:port` of its relay.
    """

    daemon_id: str
    failure_domain: str
    control_address: str


def rendezvous_order(key: str, addresses: Iterable[str]) -> list[str]:
    """Orders addresses by the hash of a key with each, highest first.

    Rendezvous hashing after Thaler and Ravishankar, "Using name-based
    mappings to increase hit rates", 1998.
    """
    return sorted(
        set(addresses), key=lambda a: (_weight(key, a), a), reverse=True
    )


def parent_order(
    backups: Sequence[str],
    relays: Iterable[KnownRelay],
    own_address: str,
    failure_domain: str,
) -> list[str]:
    """Returns the addresses to try, without duplicates and the own one.

    Backups come first, in an order of the subscriber's own, so that the
    children of a lost relay spread over them. The known relays of the own
    failure domain follow in their common rendezvous order, so that daemons
    without a root agree on the first one without talking to each other.
    """
    known = [
        r.control_address for r in relays if r.failure_domain == failure_domain
    ]
    addresses = [
        *rendezvous_order(own_address, backups),
        *rendezvous_order(failure_domain, known),
    ]
    return [a for a in dict.fromkeys(addresses) if a and a != own_address]


@attrs.frozen(kw_only=True)
class PeerStream:
    """A stream that a root keeps to another root.

    Attributes:
        name: Address of the peer in the own domain, or the other domain.
        local: True if the peer is in the own failure domain.
        addresses: Roots to try, in order.
    """

    name: str
    local: bool
    addresses: tuple[str, ...]


def peer_streams(
    own: KnownRelay, roots: Iterable[KnownRelay]
) -> list[PeerStream]:
    """Returns the streams that a root keeps to other roots.

    A root keeps one stream to each other root of its failure domain and
    one to each other domain, which moves along the domain's roots when one
    fails: 12 streams for 11 domains of 3 roots, where a full mesh has 32.
    """
    others = [r for r in roots if r.control_address != own.control_address]
    addresses_by_stream: dict[tuple[str, bool], list[str]] = {}
    for root in others:
        local = root.failure_domain == own.failure_domain
        name = root.control_address if local else root.failure_domain
        addresses = addresses_by_stream.setdefault((name, local), [])
        addresses.append(root.control_address)
    return [
        PeerStream(
            name=name,
            local=local,
            addresses=tuple(rendezvous_order(own.control_address, addresses)),
        )
        for (name, local), addresses in addresses_by_stream.items()
    ]


def _weight(key: str, address: str) -> bytes:
    text = f'{key}\0{address}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
