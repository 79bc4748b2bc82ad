"""Decisions on which targets exist: merging, suspicion, drain and removal."""

from collections.abc import Iterable
import heapq

import attrs
from loguru import logger

from hemlockgrade import model

ALIVE = model.MemberState.ALIVE
SUSPECT = model.MemberState.SUSPECT
DRAINING = model.MemberState.DRAINING
GONE = model.MemberState.GONE

SUSPICION_S = 10.0
# Two observers rule out that one observer's own fault removes a target.
OBSERVERS_TO_REMOVE = 2
# A drain that its daemon did not end, because the daemon died meanwhile.
DRAIN_S = 60.0
# Longer than a batch of announcements can be delayed by the rate limits.
GONE_RETENTION_S = 600.0
# A failure domain that never returns is forgotten after a day.
UNREACHABLE_RETENTION_S = 86_400.0
# Time for a returned failure domain to announce its targets again.
CONFIRMATION_S = 60.0
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
    receive the result, so that a cut between domains removes nothing.

    Attributes:
        targets_by_id: All entries, those that are gone included.
        unreachable_domains: Failure domains behind a lost link; this is local
            knowledge.
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
        self._reports: dict[tuple[str, str], dict[str, float]] = {}
        self._unconfirmed_ids: set[str] = set()
        self._confirm_at_by_domain: dict[str, float] = {}

    def snapshot(self) -> list[model.Target]:
        """Returns all entries, for a new subscriber."""
        return list(self.targets_by_id.values())

    def is_reachable(self, target: model.Target) -> bool:
        """Tells whether a target's failure domain can be reached."""
        return target.failure_domain not in self.unreachable_domains

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
            self._unconfirmed_ids.discard(target.target_id)
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
            return [self._change_state(target, GONE, now, reason)]
        if target.state is ALIVE:
            return [self._change_state(target, SUSPECT, now, reason)]
        if target.state is SUSPECT and target_id not in self._deadlines_by_id:
            self._set_deadline(target_id, now + SUSPICION_S)
        return []

    def set_reachable(
        self, failure_domain: str, reachable: bool, now: float
    ) -> None:
        """Marks a failure domain as behind a lost or a restored link.

        Suspicions in the domain start anew when the link is back, because no
        refutation could pass meanwhile. Entries that the returned domain does
        not announce again are suspected after `CONFIRMATION_S`.
        """
        if failure_domain == self._failure_domain:
            return
        if reachable == (failure_domain not in self.unreachable_domains):
            return
        in_domain = [
            target
            for target in self.targets_by_id.values()
            if target.failure_domain == failure_domain
        ]
        if reachable:
            self.unreachable_domains -= {failure_domain}
            self._confirm_at_by_domain[failure_domain] = now + CONFIRMATION_S
            self._unconfirmed_ids.update(
                t.target_id for t in in_domain if t.state <= SUSPECT
            )
        else:
            self.unreachable_domains |= {failure_domain}
            self._confirm_at_by_domain.pop(failure_domain, None)
        for target in in_domain:
            self._schedule(target, now)

    def expire(self, now: float) -> list[model.Target]:
        """Applies all deadlines that have passed.

        Returns:
            The entries that changed state; forgotten ones are not among them.
        """
        changed = self._expire_confirmations(now)
        while self._heap and self._heap[0][0] <= now:
            deadline, target_id = heapq.heappop(self._heap)
            if self._deadlines_by_id.get(target_id) != deadline:
                continue
            del self._deadlines_by_id[target_id]
            target = self.targets_by_id[target_id]
            if target.state is GONE or not self.is_reachable(target):
                self._forget(target)
            else:
                changed.append(
                    self._change_state(target, GONE, now, 'deadline passed')
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
        """Sets the deadline of an entry's state, or none."""
        seconds = None
        if target.state is GONE:
            seconds = self._gone_retention_s
        elif target.state is DRAINING:
            seconds = DRAIN_S
        elif not self.is_reachable(target):
            seconds = UNREACHABLE_RETENTION_S
        elif target.state is SUSPECT and self._decides_on(target):
            seconds = SUSPICION_S
        if seconds is None:
            self._deadlines_by_id.pop(target.target_id, None)
        else:
            self._set_deadline(target.target_id, now + seconds)

    def _set_deadline(self, target_id: str, deadline: float) -> None:
        target = self.targets_by_id[target_id]
        if target.state is SUSPECT and not (
            self._decides_on(target) or not self.is_reachable(target)
        ):
            return
        self._deadlines_by_id[target_id] = deadline
        heapq.heappush(self._heap, (deadline, target_id))

    def _decides_on(self, target: model.Target) -> bool:
        return target.failure_domain == self._failure_domain

    def _change_state(
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
        reports = self._reports.setdefault((observer_id, domain), {})
        reports[target.target_id] = now
        recent = {i: at for i, at in reports.items() if now - at <= EVIDENCE_S}
        self._reports[observer_id, domain] = recent
        if len(recent) < 2:
            return True
        if 2 * len(recent) <= self._live_counts_by_domain.get(domain, 0):
            return True
        for target_id in recent:
            self._withdraw(target_id, observer_id)
        return False

    def _withdraw(self, target_id: str, observer_id: str) -> None:
        evidence = self._evidence_by_id.get(target_id)
        if evidence is None or observer_id not in evidence.observer_ids:
            return
        evidence.observer_ids.discard(observer_id)
        target = self.targets_by_id[target_id]
        if not evidence.observer_ids and target.state is SUSPECT:
            self._deadlines_by_id.pop(target_id, None)

    def _withdraw_reports(self, target: model.Target) -> None:
        """Drops reports about an incarnation that is over."""
        for (_, domain), reports in self._reports.items():
            if domain == target.failure_domain:
                reports.pop(target.target_id, None)

    def _expire_confirmations(self, now: float) -> list[model.Target]:
        changed = []
        due = [d for d, at in self._confirm_at_by_domain.items() if at <= now]
        for domain in due:
            del self._confirm_at_by_domain[domain]
            for target_id in sorted(self._unconfirmed_ids):
                target = self.targets_by_id.get(target_id)
                if target is None:
                    self._unconfirmed_ids.discard(target_id)
                elif target.failure_domain == domain:
                    self._unconfirmed_ids.discard(target_id)
                    if target.state is ALIVE:
                        changed.append(
                            self._change_state(
                                target, SUSPECT, now, 'not announced again'
                            )
                        )
        return changed


@attrs.define(kw_only=True)
class _Own:
    """A daemon's knowledge of one target on its own host."""

    entry: model.Target
    instance_id: str
    renew_by: float
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
            if own.entry.state is not SUSPECT:
                return None
            return self._raise(own, own.entry, wall_now)
        fresh = attrs.evolve(
            target,
            incarnation=0,
            state=ALIVE,
            daemon_id=self._daemon_id,
            boot_id=self._boot_id,
        )
        previous = own.entry if own is not None else None
        own = _Own(
            entry=fresh, instance_id=instance_id, renew_by=now + RENEWAL_S
        )
        self._own_by_id[target.target_id] = own
        highest = max(
            (e.incarnation for e in (known, previous) if e is not None),
            default=0,
        )
        return self._raise(
            own, attrs.evolve(fresh, incarnation=highest), wall_now
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
            refuted.append(self._raise(own, target, wall_now))
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
        self, own: _Own, seen: model.Target, wall_now: float
    ) -> model.Target:
        """Sets an incarnation above the seen one and makes it alive."""
        incarnation = max(int(wall_now * MS_PER_S), seen.incarnation + 1)
        own.entry = attrs.evolve(
            own.entry, incarnation=incarnation, state=ALIVE
        )
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
