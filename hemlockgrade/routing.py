"""Decisions on a request's route, version and target."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import math
import random as random_module
from typing import Protocol

import attrs
from loguru import logger

from hemlockgrade import configuration as configuration_module
from hemlockgrade import model

ALIVE = model.MemberState.ALIVE
SUSPECT = model.MemberState.SUSPECT
GONE = model.MemberState.GONE

# Before the first response of a target, its latency is taken as this.
INITIAL_LATENCY_S = 0.005
# Weight of the newest response in the moving average of latencies.
LATENCY_WEIGHT = 0.2
# Refusals and failures lose half of their weight in this time.
HALF_LIFE_S = 2.0
# A target that was slow is tried again within about 30 seconds.
SLOWNESS_HALF_LIFE_S = 3.0
# A new target reaches its full share after this time.
COLD_S = 10.0
# Share of its full part that a target receives as soon as it is known.
COLD_SHARE_AT_START = 0.05
FAILURES_TO_EJECT = 5
# A refused connection says more than an error response.
UNREACHABLES_TO_EJECT = 2
# A target that answers some requests is ejected above this share of failures.
FAILURE_SHARE_TO_EJECT = 0.5
MIN_OUTCOMES_TO_EJECT = 10
EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Full slots are seen again within a queue's drain time, not after seconds.
REFUSAL_PENALTY = 8.0
FAILURE_PENALTY = 20.0


class Outcome(enum.Enum):
    """How a request to a target ended."""

    OK = 'ok'
    ERROR = 'error'
    REJECTED = 'rejected'
    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'


@attrs.define(slots=True, eq=False)
class Load:
    """What this proxy saw of one target.

    Attributes:
        in_flight: Requests sent and not yet ended.
        latency_s: Moving average of the latency of responses.
        refusals: Decayed share of rejected requests, 0 to 1.
        failures: Decayed share of failed requests, 0 to 1.
        known_at: Monotonic time from which the target warms up, or minus
            infinity for a warm one.
        ejected_until: Monotonic time until which it gets no requests.
        probing: True from an ejection until a request succeeds.
        unreachable: True if the ejection was for failed connections.
    """

    in_flight: int = 0
    latency_s: float = 0.0
    refusals: float = 0.0
    failures: float = 0.0
    decayed_at: float = 0.0
    known_at: float = -math.inf
    ejected_until: float = -math.inf
    probing: bool = False
    unreachable: bool = False
    failures_in_row: int = 0
    outcomes: int = 0
    ejections: int = 0


class LoadTable:
    """Live evidence of one proxy on the targets it sends requests to.

    Attributes:
        loads_by_id: Evidence by target identifier.
        unreachable_domains: Failure domains behind a lost link.
        typical_latency_s: Moving average over all targets, the assumption for
            a target without responses.
    """

    def __init__(self):
        self.loads_by_id: dict[str, Load] = {}
        self.unreachable_domains: frozenset[str] = frozenset()
        self.typical_latency_s = INITIAL_LATENCY_S
        self._targets_by_id: dict[str, model.Target] = {}
        self._filled = False

    def load(self, target_id: str) -> Load:
        """Returns the evidence on a target, empty for a new one."""
        load = self.loads_by_id.get(target_id)
        if load is None:
            load = self.loads_by_id[target_id] = Load()
        return load

    def members_changed(
        self, targets: Iterable[model.Target], now: float
    ) -> None:
        """Notes changed entries, so that new targets warm up.

        The entries of the first call are taken as warm, because the proxy is
        the one that is new.

        Args:
            targets: Changed entries of the member table.
            now: Monotonic time in seconds.
        """
        for target in targets:
            target_id = target.target_id
            previous = self._targets_by_id.get(target_id)
            if target.state is GONE:
                self._targets_by_id.pop(target_id, None)
                load = self.loads_by_id.get(target_id)
                if load is not None and not load.in_flight:
                    del self.loads_by_id[target_id]
                continue
            self._targets_by_id[target_id] = target
            if self._filled and _is_new_process(previous, target):
                in_flight = self.load(target_id).in_flight
                self.loads_by_id[target_id] = Load(
                    in_flight=in_flight, known_at=now
                )
        self._filled = True

    def started(self, target_id: str, now: float) -> None:
        """Notes that a request is being sent to a target."""
        self.load(target_id).in_flight += 1

    def cancelled(self, target_id: str) -> None:
        """Notes that a request ended without evidence on the target."""
        load = self.loads_by_id.get(target_id)
        if load is not None:
            load.in_flight = max(0, load.in_flight - 1)

    def finished(
        self, target_id: str, latency_s: float, outcome: Outcome, now: float
    ) -> None:
        """Notes how a request ended.

        Args:
            target_id: The target.
            latency_s: Seconds from sending to the complete response.
            outcome: How it ended.
            now: Monotonic time in seconds.
        """
        load = self.loads_by_id.get(target_id)
        if load is None:
            return
        load.in_flight = max(0, load.in_flight - 1)
        _decay(load, now)
        if outcome is Outcome.REJECTED:
            load.refusals += (1 - load.refusals) * LATENCY_WEIGHT
            return
        load.refusals *= 1 - LATENCY_WEIGHT
        load.outcomes += 1
        if outcome is Outcome.OK:
            self._succeeded(load, latency_s, now)
            return
        load.failures += (1 - load.failures) * LATENCY_WEIGHT
        load.failures_in_row += 1
        if outcome is Outcome.TIMEOUT:
            self._add_latency(load, latency_s)
        if _is_failing(load, outcome):
            _eject(load, outcome, now)

    def _succeeded(self, load: Load, latency_s: float, now: float) -> None:
        load.failures *= 1 - LATENCY_WEIGHT
        load.failures_in_row = 0
        self._add_latency(load, latency_s)
        if load.probing:
            load.probing = False
            load.unreachable = False
            load.failures = 0.0
            load.outcomes = 0
            load.known_at = now
        elif load.ejections and now >= load.ejected_until + MAX_EJECTION_S:
            load.ejections = 0

    def _add_latency(self, load: Load, latency_s: float) -> None:
        if not load.latency_s:
            load.latency_s = latency_s
        load.latency_s += (latency_s - load.latency_s) * LATENCY_WEIGHT
        self.typical_latency_s += (latency_s - self.typical_latency_s) * (
            LATENCY_WEIGHT / 10
        )


def _is_new_process(
    previous: model.Target | None, target: model.Target
) -> bool:
    """Tells a started target from one that only refuted a suspicion."""
    if previous is None or previous.state > SUSPECT:
        return target.state <= SUSPECT
    return (previous.version, previous.boot_id) != (
        target.version,
        target.boot_id,
    )


def _decay(load: Load, now: float) -> None:
    elapsed = now - load.decayed_at
    load.decayed_at = now
    if load.failures or load.refusals:
        factor = 0.5 ** (elapsed / HALF_LIFE_S)
        load.failures *= factor
        load.refusals *= factor


def _is_failing(load: Load, outcome: Outcome) -> bool:
    if load.probing:
        return True
    if outcome is Outcome.UNREACHABLE:
        return load.failures_in_row >= UNREACHABLES_TO_EJECT
    return load.failures_in_row >= FAILURES_TO_EJECT or (
        load.outcomes >= MIN_OUTCOMES_TO_EJECT
        and load.failures > FAILURE_SHARE_TO_EJECT
    )


def _eject(load: Load, outcome: Outcome, now: float) -> None:
    if now < load.ejected_until:
        return
    load.ejections += 1
    seconds = EJECTION_S * 2 ** min(load.ejections - 1, 10)
    load.ejected_until = now + min(seconds, MAX_EJECTION_S)
    load.probing = True
    load.unreachable = outcome is Outcome.UNREACHABLE


class Balancer(Protocol):
    """Chooses the target of a request."""

    def choose(
        self,
        candidates: Sequence[model.Target],
        loads: LoadTable,
        now: float,
        random: random_module.Random,
    ) -> model.Target | None:
        """Chooses among the targets of one version.

        Args:
            candidates: Targets of a version: the tuple of the route entry,
                or for a retry a list without those already tried.
            loads: Live evidence of this proxy.
            now: Monotonic time in seconds.
            random: Source of random numbers.

        Returns:
            A target, or None if there is none that may get new work.
        """


@attrs.define(eq=False)
class VersionSplit:
    """Spreads requests over versions by share, evenly in short windows.

    Each version but the largest owns the requests at which its accumulated
    share passes a whole number, smallest share first, among those that no
    smaller version owns. A window of n requests holds floor or ceiling of
    n times the smallest share. The start is random, so that the first request
    after a change does not go to the new version on all proxies at once.
    """

    shares_by_version: dict[str, float]
    _positions_by_version: dict[str, float] = attrs.field(
        factory=dict, init=False
    )
    _steps: list[tuple[str, float]] = attrs.field(factory=list, init=False)
    _stepped: tuple[str, ...] = attrs.field(default=(), init=False)

    def choose(
        self, versions: Sequence[str], random: random_module.Random
    ) -> str:
        """Chooses one of some versions with a share, at least one."""
        if len(versions) == 1:
            return versions[0]
        if tuple(versions) != self._stepped:
            self._prepare(versions)
        positions = self._positions_by_version
        for version, step in self._steps[:-1]:
            position = positions.get(version)
            if position is None:
                position = random.random()
            position += step
            if position >= 1.0:
                positions[version] = position - 1.0
                return version
            positions[version] = position
        return self._steps[-1][0]

    def _prepare(self, versions: Sequence[str]) -> None:
        shares = _fill_up({v: self.shares_by_version[v] for v in versions})
        ordered = sorted(versions, key=lambda v: (shares[v], v))
        rest = 1.0
        self._steps = []
        for version in ordered:
            self._steps.append((version, shares[version] / rest))
            rest -= shares[version]
        self._stepped = tuple(versions)


@attrs.define(eq=False, kw_only=True)
class RouteEntry:
    """One route of a selector with the versions and targets behind it.

    Attributes:
        selector: Name of the selector.
        route: Path prefix and timeout.
        shares_by_version: Traffic shares in use, fractions that add up to 1.
        targets_by_version: Known targets that may get work, by version.
        new_version: The version that a running rollout introduces, if any.
    """

    selector: str
    route: model.Route
    shares_by_version: dict[str, float]
    targets_by_version: dict[str, tuple[model.Target, ...]]
    new_version: str | None
    _split: VersionSplit
    _versions: tuple[str, ...] = attrs.field(init=False)
    _largest: str | None = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        shares = self.shares_by_version
        self._largest = max(shares, key=lambda v: (shares[v], v), default=None)
        present = tuple(v for v in shares if self.targets_by_version.get(v))
        new_share = shares.get(self.new_version or '', 0.0)
        # Traffic of an older version that has no target must not move to a
        # new one that is not yet judged.
        if any(shares[v] > new_share for v in shares if v not in present):
            present = tuple(v for v in present if v != self.new_version)
        self._versions = present

    def choose_version(
        self,
        random: random_module.Random,
        stopped_versions: frozenset[str] | set[str] = frozenset(),
    ) -> str | None:
        """Chooses a version by share.

        Args:
            random: Source of random numbers.
            stopped_versions: Versions that this proxy stopped locally; the
                version with the largest share is never left out.

        Returns:
            A version with targets, or None if there is none.
        """
        versions = self._versions
        if not versions:
            return None
        if stopped_versions:
            versions = tuple(
                v
                for v in versions
                if v not in stopped_versions or v == self.reference_version
            )
        return self._split.choose(versions, random)

    @property
    def reference_version(self) -> str | None:
        """The version that serves when others are stopped."""
        others = [v for v in self._versions if v != self.new_version]
        if not others:
            return self._largest
        return max(others, key=lambda v: (self.shares_by_version[v], v))


@attrs.frozen(kw_only=True)
class _Group:
    """The entries of one selector and what they were built from."""

    selector: model.Selector
    target_label: model.Label
    shares_by_version: dict[str, float]
    entries: tuple[RouteEntry, ...]
    current: bool


class RoutingTable:
    """The routes of one proxy; each change makes a new table.

    Attributes:
        version: Configuration version that it was built from.
        entries_by_prefix: Routes by normalised path prefix.
    """

    def __init__(
        self,
        version: int,
        groups_by_selector: dict[str, _Group],
        index: '_Index | None' = None,
    ):
        self.version = version
        self._index = index
        self._groups_by_selector = groups_by_selector
        self.entries_by_prefix: dict[str, RouteEntry] = {}
        # A kept group gives way to a current one that took over its prefix.
        ordered = sorted(
            groups_by_selector.items(), key=lambda g: (not g[1].current, g[0])
        )
        for name, group in ordered:
            for entry in group.entries:
                prefix = entry.route.path_prefix.rstrip('/')
                other = self.entries_by_prefix.setdefault(prefix, entry)
                if other is not entry:
                    logger.warning(
                        'event=route_shadowed prefix={} selector={} by={}',
                        prefix or '/',
                        name,
                        other.selector,
                    )

    @classmethod
    def empty(cls) -> 'RoutingTable':
        """Returns the table of a proxy without a configuration."""
        return cls(0, {})

    @classmethod
    def build(
        cls,
        configuration: configuration_module.Configuration,
        targets_by_id: Mapping[str, model.Target],
        proxy_id: str,
        previous: 'RoutingTable | None',
        changed: Iterable[model.Target] | None = None,
    ) -> 'RoutingTable':
        """Builds the routes of a proxy.

        New shares and routes of a selector are used once a usable target of
        each version with a share is known; until then the previous entries
        serve, without versions whose share was reduced to zero. A proxy
        without previous entries uses the versions that have targets, if the
        one with the largest share is among them.

        Args:
            configuration: Labels, selectors and rollouts.
            targets_by_id: All known targets.
            proxy_id: Identifier that proxy labels match.
            previous: The table in use so far, if any.
            changed: The entries of `targets_by_id` that changed since
                `previous` was built; without them all targets are compared.
                Only the selectors of their services are built anew, and
                those whose own objects in the configuration changed.
        """
        old_groups = previous._groups_by_selector if previous else {}
        old_index = previous._index if previous else None
        services: set[str] | None = None
        if old_index is None or changed is None:
            index = _Index.of(configuration, targets_by_id.values())
        else:
            index, services = old_index.updated(configuration, changed)
        groups = {}
        for name, selector in configuration.selectors_by_name.items():
            old = old_groups.get(name)
            if (
                old_index is not None
                and services is not None
                and not _is_affected(selector, old, services)
                and _is_unchanged(name, configuration, old_index.configuration)
            ):
                if old is not None:
                    groups[name] = old
                continue
            proxies = configuration.labels_by_name[selector.proxies]
            if not proxies.matches(proxy_id):
                continue
            group = _build_group(configuration, selector, index, old)
            if group is not None:
                groups[name] = group
        return cls(configuration.version, groups, index)

    def match(self, path: str) -> RouteEntry | None:
        """Finds the entry with the longest prefix of whole path segments.

        Args:
            path: Request path, with or without a query.
        """
        entries = self.entries_by_prefix
        prefix = path.partition('?')[0].rstrip('/')
        while prefix:
            entry = entries.get(prefix)
            if entry is not None:
                return entry
            prefix = prefix.rpartition('/')[0]
        return entries.get('')

    def waiting_selectors(self) -> list[str]:
        """Names selectors whose newest shares or routes are not in use yet."""
        return [
            name
            for name, group in self._groups_by_selector.items()
            if not group.current
        ]

    def entries(self) -> Iterator[RouteEntry]:
        """Iterates over all routes."""
        return iter(self.entries_by_prefix.values())


TargetsByVersion = dict[str, list[model.Target]]


@attrs.frozen
class _Index:
    """The targets that may get new work, for building groups.

    Attributes:
        configuration: The configuration that the table was built from.
        targets_by_id: Usable targets.
        ids_by_service: Identifiers of usable targets by service.
    """

    configuration: configuration_module.Configuration
    targets_by_id: dict[str, model.Target]
    ids_by_service: dict[str, frozenset[str]]

    @classmethod
    def of(
        cls,
        configuration: configuration_module.Configuration,
        targets: Iterable[model.Target],
    ) -> '_Index':
        usable = {t.target_id: t for t in targets if t.state <= SUSPECT}
        ids: dict[str, set[str]] = {}
        for target in usable.values():
            ids.setdefault(target.service, set()).add(target.target_id)
        frozen = {service: frozenset(i) for service, i in ids.items()}
        return cls(configuration, usable, frozen)

    def updated(
        self,
        configuration: configuration_module.Configuration,
        changed: Iterable[model.Target],
    ) -> 'tuple[_Index, set[str]]':
        """Returns the index with changed entries and their services."""
        usable = dict(self.targets_by_id)
        ids = dict(self.ids_by_service)
        services = set()
        for target in changed:
            target_id = target.target_id
            old = usable.pop(target_id, None)
            if old is not None:
                services.add(old.service)
                ids[old.service] -= {target_id}
            services.add(target.service)
            if target.state <= SUSPECT:
                usable[target_id] = target
                known = ids.get(target.service, frozenset())
                ids[target.service] = known | {target_id}
        return _Index(configuration, usable, ids), services

    def versions(self, service: str) -> TargetsByVersion:
        """Returns a service's usable targets by version."""
        versions: TargetsByVersion = {}
        for target_id in self.ids_by_service.get(service, ()):
            target = self.targets_by_id[target_id]
            versions.setdefault(target.version, []).append(target)
        return versions


def _is_affected(
    selector: model.Selector, old: _Group | None, services: set[str]
) -> bool:
    """Tells whether changed targets can change a selector's entries."""
    if selector.service in services:
        return True
    return old is not None and old.selector.service in services


def _is_unchanged(
    name: str,
    new: configuration_module.Configuration,
    old: configuration_module.Configuration,
) -> bool:
    """Tells whether all that a selector's entries are made of is the same.

    Objects are compared by identity, because a configuration shares every
    object that a change left alone with the one before it.
    """
    selector = new.selectors_by_name[name]
    return (
        selector is old.selectors_by_name.get(name)
        and new.rollouts_by_selector.get(name)
        is old.rollouts_by_selector.get(name)
        and all(
            new.labels_by_name[label] is old.labels_by_name.get(label)
            for label in (selector.proxies, selector.targets)
        )
    )


def _build_group(
    configuration: configuration_module.Configuration,
    selector: model.Selector,
    index: _Index,
    old: _Group | None,
) -> _Group | None:
    shares = configuration.shares(selector.name)
    label = configuration.labels_by_name[selector.targets]
    targets = _labelled(index.versions(selector.service), shares, label)
    rollout = configuration.rollouts_by_selector.get(selector.name)
    new_version = None
    if rollout is not None and rollout.state is model.RolloutState.RUNNING:
        new_version = rollout.new_version
    if all(targets.values()):
        return _make_group(selector, label, shares, targets, new_version, old)
    if old is not None:
        kept = _kept_shares(old.shares_by_version, shares)
        if kept:
            known = index.versions(old.selector.service)
            return attrs.evolve(
                _make_group(
                    old.selector,
                    old.target_label,
                    kept,
                    _labelled(known, kept, old.target_label),
                    new_version,
                    old,
                ),
                current=False,
            )
    largest = max(shares, key=lambda v: (shares[v], v))
    if not targets[largest]:
        return None
    present = {v: s for v, s in shares.items() if targets[v]}
    found = {v: targets[v] for v in present}
    return attrs.evolve(
        _make_group(selector, label, present, found, new_version, old),
        current=False,
    )


def _labelled(
    usable: TargetsByVersion, shares: Iterable[str], label: model.Label
) -> dict[str, tuple[model.Target, ...]]:
    return {
        version: tuple(
            sorted(
                (
                    target
                    for target in usable.get(version, ())
                    if label.matches(target.target_id)
                ),
                key=lambda t: t.target_id,
            )
        )
        for version in shares
    }


def _kept_shares(
    old: dict[str, float], new: dict[str, float]
) -> dict[str, float]:
    """Limits kept shares to the new ones where those are smaller."""
    kept = {v: min(share, new[v]) for v, share in old.items() if new.get(v)}
    return _fill_up(kept) if kept else {}


def _fill_up(shares: dict[str, float]) -> dict[str, float]:
    """Adds what is missing to 1 to the largest share."""
    largest = max(shares, key=lambda v: (shares[v], v))
    rest = sum(share for v, share in shares.items() if v != largest)
    return {**shares, largest: 1.0 - rest}


def _make_group(
    selector: model.Selector,
    label: model.Label,
    shares: dict[str, float],
    targets: dict[str, tuple[model.Target, ...]],
    new_version: str | None,
    old: _Group | None,
) -> _Group:
    old_entries = {e.route.path_prefix: e for e in old.entries} if old else {}
    shares = _fill_up(shares)
    entries = tuple(
        RouteEntry(
            selector=selector.name,
            route=route,
            shares_by_version=shares,
            targets_by_version=targets,
            new_version=new_version,
            split=_split(shares, old_entries.get(route.path_prefix)),
        )
        for route in selector.routes
    )
    return _Group(
        selector=selector,
        target_label=label,
        shares_by_version=shares,
        entries=entries,
        current=True,
    )


def _split(shares: dict[str, float], old: RouteEntry | None) -> VersionSplit:
    """Keeps the position within a split that did not change."""
    if old is not None and old.shares_by_version == shares:
        return old._split
    return VersionSplit(shares)


# A stopped version is tested anew after this time, unless its share changed.
STOP_S = 60.0
# Evidence is compared within windows, so that a long good time does not hide
# a version that fails later.
GUARD_WINDOW_S = 60.0
GUARD_FALSE_ALARM_RATE = 0.001
# Ratio of the failure odds at which a version counts as clearly worse.
GUARD_ODDS_RATIO = 5.0


class VersionGuard:
    """Stops a new version in this proxy when it fails more than the old one.

    Each failure is attributed to the new or to the old version. If both fail
    equally often, a failure belongs to the new version with probability equal
    to its share of the requests. The likelihood ratio against failure odds
    that are `GUARD_ODDS_RATIO` times as high is a martingale then, so by
    Ville's inequality it ever reaches 1 / `GUARD_FALSE_ALARM_RATE` in a
    window with at most that probability (Wald, Sequential Analysis, 1947).
    """

    def __init__(self, new_version: str, old_version: str):
        self.new_version = new_version
        self.old_version = old_version
        self._stopped_until = -math.inf
        self._window_until = -math.inf
        self._log_ratio = 0.0

    def record(
        self, version: str, failed: bool, new_share: float, now: float
    ) -> bool:
        """Counts one request.

        Args:
            version: Version that ran it.
            failed: True for an error or a timeout; rejections do not count.
            new_share: Share of the requests that went to the new version when
                this one was sent, as a fraction between 0 and 1.
            now: Monotonic time in seconds.

        Returns:
            True if this request stopped the version.
        """
        if now >= self._window_until:
            self._window_until = now + GUARD_WINDOW_S
            self._log_ratio = 0.0
        if not failed or not 0.0 < new_share < 1.0:
            return False
        if version not in (self.new_version, self.old_version):
            return False
        ratio = GUARD_ODDS_RATIO if version == self.new_version else 1.0
        mean = new_share * GUARD_ODDS_RATIO + 1.0 - new_share
        self._log_ratio += math.log(ratio / mean)
        if self._log_ratio < -math.log(GUARD_FALSE_ALARM_RATE):
            return False
        if now < self._stopped_until:
            return False
        self._stopped_until = now + STOP_S
        logger.warning(
            'event=version_stopped version={} old={}',
            self.new_version,
            self.old_version,
        )
        return True

    def stopped_versions(self, now: float) -> frozenset[str]:
        """Returns the new version while it is stopped."""
        if now < self._stopped_until:
            return frozenset((self.new_version,))
        return frozenset()


class VersionGuards:
    """The guards of one proxy, one for each route with a rollout."""

    def __init__(self):
        self._guards: dict[tuple[str, str], VersionGuard] = {}

    def record(
        self, entry: RouteEntry, version: str, failed: bool, now: float
    ) -> bool:
        """Counts one request of a route; see `VersionGuard.record`."""
        guard = self._guard(entry)
        if guard is None:
            return False
        new_share = entry.shares_by_version.get(guard.new_version, 0.0)
        return guard.record(version, failed, new_share, now)

    def stopped_versions(self, entry: RouteEntry, now: float) -> frozenset[str]:
        """Returns the versions that this proxy stopped on a route."""
        guard = self._guard(entry)
        return frozenset() if guard is None else guard.stopped_versions(now)

    def _guard(self, entry: RouteEntry) -> VersionGuard | None:
        """Returns the guard of a route's rollout, a new one for another."""
        key = (entry.selector, entry.route.path_prefix)
        old, new = entry.reference_version, entry.new_version
        if new is None or old is None or old == new:
            self._guards.pop(key, None)
            return None
        guard = self._guards.get(key)
        if guard is None or (guard.new_version, guard.old_version) != (
            new,
            old,
        ):
            guard = self._guards[key] = VersionGuard(new, old)
        return guard
