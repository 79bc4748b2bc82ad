"""Decisions on which targets exist: merging, suspicion, drain and removal."""

from collections.abc import Iterable
import heapq
import zlib

import attrs
from loguru import logger

from hemlockgrade import model

ALIVE = model.MemberState.ALIVE
SUSPECT = model.MemberState.SUSPECT
DRAINING = model.MemberState.DRAINING
GONE = model.MemberState.GONE

SUSPICION_S = 10.0
# Deadline of a suspicion whose observers turned out to be cut off themselves.
WITHDRAWN_SUSPICION_S = 60.0
# Two observers rule out that one observer's own fault removes a target.
OBSERVERS_TO_REMOVE = 2
# A drain that its daemon did not end, because the daemon died meanwhile.
DRAIN_S = 60.0
# Longer than a batch of announcements can be delayed by the rate limits.
GONE_RETENTION_S = 600.0
# Each target's daemon announces it anew within this time. 8,200 entries of 115
# bytes every 4.5 hours in the mean are 58 bytes per second for each daemon.
REFRESH_S = 21_600.0
# Two missed refreshes.
STALE_S = 2 * REFRESH_S
# Entries of a failure domain that never returns are forgotten.
FORGET_S = 4 * REFRESH_S
# About ten days of 1,200 restarts each, if every one had a new identifier.
MAX_FLOORS = 16_384
# An observer's evidence counts together within this time.
EVIDENCE_S = 30.0
# Three missed renewals of one a second.
RENEWAL_S = 3.0
# Limits the announcements of two hosts that claim the same target.
CONTEST_S = 10.0
MS_PER_S = 1000
# A connection can fail once by chance, for example in a full accept queue.
FAILURES_TO_SUSPECT = 2
REPEAT_SUSPICION_S = 2.0


@attrs.frozen(kw_only=True)
class Suspicion:
    """One observer's evidence against one incarnation of a target.

    Attributes:
        target_id: The suspected target.
        incarnation: Incarnation that the observer knew.
        observer_id: Identifier of the observing daemon.
        reason: What was observed, for logs.
    """

    target_id: str
    incarnation: int
    observer_id: str
    reason: str = ''


def precedence(target: model.Target) -> tuple[int, int, str]:
    """Returns the key by which one entry of a target overrides another.

    The remaining fields decide between two hosts that claimed a target in the
    same millisecond, so that all tables keep the same one.
    """
    return (
        target.incarnation,
        target.state,
        f'{target.daemon_id}\n{target.boot_id}\n{target.admission_address}'
        f'\n{target.service}\n{target.version}\n{target.failure_domain}'
        f'\n{target.slots}',
    )


def overrides(new: model.Target, old: model.Target) -> bool:
    """Tells whether a received entry replaces the one that is held."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.state != old.state:
        return new.state > old.state
    return new != old and precedence(new) > precedence(old)


@attrs.define
class _Evidence:
    """Observers against the current incarnation of one target."""

    incarnation: int
    observer_ids: set[str] = attrs.field(factory=set)


class MemberTable:
    """The targets that a daemon knows.

    Entries that are gone stay in the table for a while as protection against
    older announcements, then only their incarnations are kept. A target is
    removed on evidence only by tables of its own failure domain; the others
    receive the result, so that a cut between domains removes nothing. An entry
    that is not refreshed is suspected in its own domain and forgotten in the
    others.

    Attributes:
        targets_by_id: All entries, those that are gone included.
        unreachable_domains: Failure domains behind a lost link; the own one
            if this daemon is cut off. This is local knowledge.
    """

    def __init__(
        self,
        failure_domain: str,
        gone_retention_s: float = GONE_RETENTION_S,
        max_floors: int = MAX_FLOORS,
    ):
        """Makes an empty table.

        Args:
            failure_domain: Failure domain of this daemon.
            gone_retention_s: Time that a gone entry is kept, in seconds.
            max_floors: Incarnations kept of forgotten targets.
        """
        self.targets_by_id: dict[str, model.Target] = {}
        self.unreachable_domains: frozenset[str] = frozenset()
        self._failure_domain = failure_domain
        self._gone_retention_s = gone_retention_s
        self._max_floors = max_floors
        self._floors_by_id: dict[str, int] = {}
        self._deadlines_by_id: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []
        self._evidence_by_id: dict[str, _Evidence] = {}
        self._live_counts_by_domain: dict[str, int] = {}
        # Times of reports by failure domain, observer and target.
        self._reports: dict[str, dict[str, dict[str, float]]] = {}
        self._prune_reports_at = 0.0

    def snapshot(self) -> list[model.Target]:
        """Returns all entries, for a new subscriber."""
        return list(self.targets_by_id.values())

    def merge(
        self, targets: Iterable[model.Target], now: float
    ) -> list[model.Target]:
        """Takes over the entries that override the ones held.

        Args:
            targets: Received entries, in any order, repeated or old.
            now: Monotonic time in seconds.

        Returns:
            The entries that changed, to be passed on.
        """
        changed = []
        for target in targets:
            accepted = self._accept(target)
            if accepted is not None:
                self._store(accepted, now)
                changed.append(accepted)
        return changed

    def corrections(
        self, targets: Iterable[model.Target]
    ) -> list[model.Target]:
        """Returns the entries held that override the given ones.

        They are the reply to a sender whose table is older in these entries.
        """
        held = self.targets_by_id
        return [
            held[target.target_id]
            for target in targets
            if target.target_id in held
            and overrides(held[target.target_id], target)
        ]

    def suspect(
        self,
        target_id: str,
        incarnation: int,
        observer_id: str,
        reason: str,
        now: float,
    ) -> list[model.Target]:
        """Counts one observer's evidence against a target.

        Evidence against another incarnation than the one held, or from an
        observer that fails to reach most of the failure domain, is dropped.

        Returns:
            The entry if it changed.
        """
        target = self.targets_by_id.get(target_id)
        if target is None or target.incarnation != incarnation:
            return []
        if target.state is GONE:
            return []
        if not self._is_counted(target, observer_id, now):
            return []
        evidence = self._evidence_by_id.get(target_id)
        if evidence is None or evidence.incarnation != incarnation:
            evidence = _Evidence(incarnation)
            self._evidence_by_id[target_id] = evidence
        evidence.observer_ids.add(observer_id)
        enough = len(evidence.observer_ids) >= OBSERVERS_TO_REMOVE
        if enough and self._decides_on(target):
            return [self._set_state(target, GONE, now, reason)]
        if target.state is ALIVE:
            return [self._set_state(target, SUSPECT, now, reason)]
        if target.state is SUSPECT and self._decides_on(target):
            deadline = self._deadlines_by_id[target_id]
            self._set_deadline(target_id, min(deadline, now + SUSPICION_S))
        return []

    def set_reachable(
        self, failure_domain: str, reachable: bool, now: float
    ) -> None:
        """Marks a failure domain as behind a lost or a restored link.

        The daemon's own failure domain is meant when it has no connection to
        any other daemon; suspicions start anew when it is back, because no
        refutation could arrive meanwhile.
        """
        if reachable == (failure_domain not in self.unreachable_domains):
            return
        self.unreachable_domains ^= {failure_domain}
        if failure_domain != self._failure_domain:
            return
        for target in self.snapshot():
            if target.state is SUSPECT:
                self._schedule(target, now)

    def expire(self, now: float) -> list[model.Target]:
        """Applies all deadlines that have passed.

        Returns:
            The entries that changed state; forgotten ones are not among them.
        """
        if now >= self._prune_reports_at:
            self._prune_reports(now)
        changed = []
        while self._heap and self._heap[0][0] <= now:
            deadline, target_id = heapq.heappop(self._heap)
            if self._deadlines_by_id.get(target_id) != deadline:
                continue
            del self._deadlines_by_id[target_id]
            target = self.targets_by_id[target_id]
            if target.state is DRAINING:
                changed.append(self._set_state(target, GONE, now, 'drained'))
            elif target.state is GONE or not self._decides_on(target):
                self._forget(target)
            elif target.state is ALIVE:
                changed.append(self._set_state(target, SUSPECT, now, 'stale'))
            else:
                changed.append(
                    self._set_state(target, GONE, now, 'not refuted')
                )
        return changed

    def _accept(self, target: model.Target) -> model.Target | None:
        """Returns the entry to store for a received one, if any."""
        held = self.targets_by_id.get(target.target_id)
        if held is not None:
            return target if overrides(target, held) else None
        floor = self._floors_by_id.get(target.target_id, -1)
        if target.incarnation > floor:
            return target
        if target.state is GONE:
            return None
        # The sender missed the removal; the gone entry tells it.
        return attrs.evolve(target, incarnation=floor, state=GONE)

    def _store(self, target: model.Target, now: float) -> None:
        target_id = target.target_id
        held = self.targets_by_id.get(target_id)
        if held is not None and held.state is not GONE:
            self._count_live(held.failure_domain, -1)
        if target.state is not GONE:
            self._count_live(target.failure_domain, 1)
        evidence = self._evidence_by_id.get(target_id)
        if evidence is not None and (
            target.state is GONE or evidence.incarnation != target.incarnation
        ):
            del self._evidence_by_id[target_id]
            self._withdraw_reports(target)
        self.targets_by_id[target_id] = target
        self._schedule(target, now)

    def _schedule(self, target: model.Target, now: float) -> None:
        """Sets the deadline of an entry's state."""
        if target.state is GONE:
            seconds = self._gone_retention_s
        elif target.state is DRAINING:
            seconds = DRAIN_S
        elif not self._decides_on(target):
            seconds = FORGET_S
        elif target.state is SUSPECT:
            seconds = SUSPICION_S
        else:
            seconds = STALE_S
        self._set_deadline(target.target_id, now + seconds)

    def _set_deadline(self, target_id: str, deadline: float) -> None:
        if self._deadlines_by_id.get(target_id) == deadline:
            return
        self._deadlines_by_id[target_id] = deadline
        heapq.heappush(self._heap, (deadline, target_id))
        # Replaced deadlines stay in the heap until they come up.
        if len(self._heap) > 64 + 4 * len(self._deadlines_by_id):
            self._heap = [(at, i) for i, at in self._deadlines_by_id.items()]
            heapq.heapify(self._heap)

    def _decides_on(self, target: model.Target) -> bool:
        """Tells whether this table may remove a target on evidence."""
        return (
            target.failure_domain == self._failure_domain
            and self._failure_domain not in self.unreachable_domains
        )

    def _set_state(
        self,
        target: model.Target,
        state: model.MemberState,
        now: float,
        reason: str,
    ) -> model.Target:
        changed = attrs.evolve(target, state=state)
        self._store(changed, now)
        logger.info(
            'event=member_state target={} state={} incarnation={} reason={!r}',
            target.target_id,
            state.name.lower(),
            target.incarnation,
            reason,
        )
        return changed

    def _forget(self, target: model.Target) -> None:
        target_id = target.target_id
        del self.targets_by_id[target_id]
        self._deadlines_by_id.pop(target_id, None)
        self._evidence_by_id.pop(target_id, None)
        if target.state is not GONE:
            self._count_live(target.failure_domain, -1)
        self._floors_by_id.pop(target_id, None)
        self._floors_by_id[target_id] = target.incarnation
        while len(self._floors_by_id) > self._max_floors:
            del self._floors_by_id[next(iter(self._floors_by_id))]

    def _count_live(self, failure_domain: str, change: int) -> None:
        counts = self._live_counts_by_domain
        counts[failure_domain] = counts.get(failure_domain, 0) + change

    def _is_counted(
        self, target: model.Target, observer_id: str, now: float
    ) -> bool:
        """Tells whether an observer's evidence is about the target.

        It is about the observer's link if the observer reports most targets
        of the failure domain; its earlier evidence is then withdrawn as well.
        """
        domain = target.failure_domain
        if domain in self.unreachable_domains:
            return False
        reports = self._reports.setdefault(domain, {})
        times_by_id = reports.setdefault(observer_id, {})
        times_by_id[target.target_id] = now
        live = self._live_counts_by_domain.get(domain, 0)
        if len(times_by_id) < 2 or 2 * len(times_by_id) <= live:
            return True
        _drop_old(times_by_id, now)
        if len(times_by_id) < 2 or 2 * len(times_by_id) <= live:
            return True
        for target_id in times_by_id:
            self._withdraw(target_id, observer_id, now)
        return False

    def _withdraw(self, target_id: str, observer_id: str, now: float) -> None:
        evidence = self._evidence_by_id.get(target_id)
        if evidence is None or observer_id not in evidence.observer_ids:
            return
        evidence.observer_ids.discard(observer_id)
        target = self.targets_by_id[target_id]
        if evidence.observer_ids or target.state is not SUSPECT:
            return
        if self._decides_on(target):
            self._set_deadline(target_id, now + WITHDRAWN_SUSPICION_S)

    def _withdraw_reports(self, target: model.Target) -> None:
        """Drops reports about an incarnation that is over."""
        for times_by_id in self._reports.get(
            target.failure_domain, {}
        ).values():
            times_by_id.pop(target.target_id, None)

    def _prune_reports(self, now: float) -> None:
        """Drops old reports, so that they do not add up over months."""
        self._prune_reports_at = now + EVIDENCE_S
        for reports in self._reports.values():
            for observer_id, times_by_id in list(reports.items()):
                _drop_old(times_by_id, now)
                if not times_by_id:
                    del reports[observer_id]


def _drop_old(times_by_id: dict[str, float], now: float) -> None:
    for target_id, at in list(times_by_id.items()):
        if now - at > EVIDENCE_S:
            del times_by_id[target_id]


@attrs.define(kw_only=True)
class _Own:
    """A daemon's knowledge of one target on its own host."""

    entry: model.Target
    instance_id: str
    renew_by: float
    refresh_at: float
    answering: bool = True
    contest_at: float = 0.0


class SelfEntries:
    """The entries of the targets on this daemon's own host.

    Incarnations are wall-clock milliseconds at least, so that a host without
    a disk comes back with a higher one; if its clock went back, it goes above
    the highest incarnation that the member table knows of its target.
    """

    def __init__(self, daemon_id: str, boot_id: str):
        self._daemon_id = daemon_id
        self._boot_id = boot_id
        self._own_by_id: dict[str, _Own] = {}

    @property
    def target_ids(self) -> list[str]:
        """Identifiers of the targets that were announced here."""
        return list(self._own_by_id)

    def announce(
        self,
        target: model.Target,
        known: model.Target | None,
        now: float,
        wall_now: float,
        instance_id: str = '',
    ) -> model.Target | None:
        """Takes an announcement or renewal of a target.

        Args:
            target: What the target says of itself; incarnation, state,
                daemon and boot identifiers are filled in here.
            known: The entry in the member table, if any.
            now: Monotonic time in seconds.
            wall_now: Seconds of Unix time.
            instance_id: Changes when the target's process restarts.

        Returns:
            The entry to spread, or None if it is only renewed.
        """
        own = self._own_by_id.get(target.target_id)
        if own is not None and not self._is_restart(
            own, target, now, instance_id
        ):
            own.renew_by = now + RENEWAL_S
            if own.entry.state is SUSPECT or (
                own.entry.state is ALIVE and now >= own.refresh_at
            ):
                return self._raise(own, own.entry, now, wall_now)
            return None
        fresh = attrs.evolve(
            target,
            incarnation=0,
            state=ALIVE,
            daemon_id=self._daemon_id,
            boot_id=self._boot_id,
        )
        previous = own.entry if own is not None else None
        own = _Own(
            entry=fresh,
            instance_id=instance_id,
            renew_by=now + RENEWAL_S,
            refresh_at=now,
        )
        self._own_by_id[target.target_id] = own
        highest = max(
            (e.incarnation for e in (known, previous) if e is not None),
            default=0,
        )
        return self._raise(
            own, attrs.evolve(fresh, incarnation=highest), now, wall_now
        )

    def refute(
        self, targets: Iterable[model.Target], now: float, wall_now: float
    ) -> list[model.Target]:
        """Answers changed entries that contradict this daemon's own.

        Returns:
            Entries with a higher incarnation, for targets that live here and
            are suspected, removed, or known with a higher incarnation.
        """
        refuted = []
        for target in targets:
            own = self._own_by_id.get(target.target_id)
            if own is None or not overrides(target, own.entry):
                continue
            if own.entry.state >= DRAINING:
                refuted += self._insist(own, target)
                continue
            if now >= own.renew_by or not own.answering:
                continue
            if target.daemon_id != self._daemon_id:
                if now < own.contest_at:
                    continue
                own.contest_at = now + CONTEST_S
                logger.warning(
                    'event=target_contested target={} daemon={} other={}',
                    target.target_id,
                    self._daemon_id,
                    target.daemon_id,
                )
            refuted.append(self._raise(own, target, now, wall_now))
        return refuted

    def probed(self, target_id: str, answering: bool) -> None:
        """Notes whether a target answered its daemon; used in refutation."""
        own = self._own_by_id.get(target_id)
        if own is not None:
            own.answering = answering

    def drain(self, target_id: str) -> model.Target | None:
        """Starts a target's drain; returns the entry to spread, if any."""
        own = self._own_by_id.get(target_id)
        if own is None or own.entry.state >= DRAINING:
            return None
        return self._set_state(own, DRAINING)

    def left(self, target_id: str) -> model.Target | None:
        """Ends a target's drain; returns the entry to spread, if any."""
        own = self._own_by_id.get(target_id)
        if own is None or own.entry.state is GONE:
            return None
        return self._set_state(own, GONE)

    def expire(self, now: float) -> list[model.Target]:
        """Handles targets that no longer renew their announcement.

        Returns:
            Entries to spread: an alive target becomes suspect, a draining one
            is gone, a suspect one is gone after the suspicion's deadline.
        """
        changed = []
        for target_id, own in list(self._own_by_id.items()):
            if now < own.renew_by:
                continue
            if own.entry.state is ALIVE:
                changed.append(self._set_state(own, SUSPECT))
                continue
            if own.entry.state is DRAINING:
                changed.append(self._set_state(own, GONE))
                continue
            if now >= own.renew_by + SUSPICION_S:
                if own.entry.state is SUSPECT:
                    changed.append(self._set_state(own, GONE))
                del self._own_by_id[target_id]
        return changed

    def _is_restart(
        self, own: _Own, target: model.Target, now: float, instance_id: str
    ) -> bool:
        entry = own.entry
        described = attrs.evolve(
            target,
            incarnation=entry.incarnation,
            state=entry.state,
            daemon_id=entry.daemon_id,
            boot_id=entry.boot_id,
        )
        if described != entry or instance_id != own.instance_id:
            return True
        return entry.state is GONE and now >= own.renew_by

    def _raise(
        self, own: _Own, seen: model.Target, now: float, wall_now: float
    ) -> model.Target:
        """Sets an incarnation above the seen one and makes it alive."""
        incarnation = max(int(wall_now * MS_PER_S), seen.incarnation + 1)
        own.entry = attrs.evolve(
            own.entry, incarnation=incarnation, state=ALIVE
        )
        # Spreads the refreshes of targets that were started together.
        spread = zlib.crc32(own.entry.target_id.encode()) / 2**32
        own.refresh_at = now + REFRESH_S * (1.0 + spread) / 2
        return own.entry

    def _insist(self, own: _Own, target: model.Target) -> list[model.Target]:
        """Keeps a leaving target leaving if the table has a higher entry."""
        if target.state >= own.entry.state:
            own.entry = attrs.evolve(
                own.entry, incarnation=target.incarnation, state=target.state
            )
            return []
        own.entry = attrs.evolve(own.entry, incarnation=target.incarnation)
        return [own.entry]

    def _set_state(self, own: _Own, state: model.MemberState) -> model.Target:
        own.entry = attrs.evolve(own.entry, state=state)
        return own.entry


@attrs.define
class _Connections:
    """What one observer saw of its connections to one target."""

    failure_domain: str
    at: float
    failures: int = 0
    reported_at: float = float('-inf')


class ConnectionObserver:
    """Turns failed connections of one proxy into suspicions.

    Failures towards most tried targets of a failure domain are evidence about
    the link to that domain and raise no suspicion.
    """

    def __init__(self, observer_id: str, failure_domain: str):
        self._observer_id = observer_id
        self._failure_domain = failure_domain
        self._connections_by_id: dict[str, _Connections] = {}

    def succeeded(self, target: model.Target, now: float) -> None:
        """Notes an established connection or a response of a target."""
        seen = self._connections_by_id.get(target.target_id)
        if seen is None:
            self._connections_by_id[target.target_id] = _Connections(
                target.failure_domain, now
            )
            return
        seen.at = now
        seen.failures = 0

    def failed(
        self, target: model.Target, reason: str, now: float
    ) -> Suspicion | None:
        """Notes a refused or timed-out connection.

        Returns:
            The suspicion to report, or None if the failure is not enough, was
            reported just before, or is evidence about the link.
        """
        seen = self._connections_by_id.setdefault(
            target.target_id, _Connections(target.failure_domain, now)
        )
        seen.at = now
        seen.failures += 1
        if seen.failures < FAILURES_TO_SUSPECT:
            return None
        if now < seen.reported_at + REPEAT_SUSPICION_S:
            return None
        if target.failure_domain in self.failing_domains(now):
            return None
        seen.reported_at = now
        return Suspicion(
            target_id=target.target_id,
            incarnation=target.incarnation,
            observer_id=self._observer_id,
            reason=reason,
        )

    def failing_domains(self, now: float) -> frozenset[str]:
        """Returns the domains to most of whose tried targets this one fails.

        One failing target alone counts as its domain only if it is in another
        failure domain, since no link between domains leads to it otherwise.
        """
        tried: dict[str, int] = {}
        failing: dict[str, int] = {}
        for target_id, seen in list(self._connections_by_id.items()):
            if now - seen.at > EVIDENCE_S:
                del self._connections_by_id[target_id]
                continue
            domain = seen.failure_domain
            tried[domain] = tried.get(domain, 0) + 1
            if seen.failures:
                failing[domain] = failing.get(domain, 0) + 1
        return frozenset(
            domain
            for domain, count in failing.items()
            if 2 * count > tried[domain]
            and (tried[domain] > 1 or domain != self._failure_domain)
        )
