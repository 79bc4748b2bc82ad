"""The routing state of a proxy, kept up to date and fed with outcomes."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import time
from typing import Any

from hemlockgrade import configuration as configuration_module
from hemlockgrade import evidence
from hemlockgrade import membership
from hemlockgrade import model
from hemlockgrade import routing

# Announcements come in batches every 200 ms; one rebuild serves a batch.
MEMBER_REBUILD_DELAY_S = 0.05


class ObservedLoads(routing.LoadTable):
    """A load table that also observes which targets can be reached."""

    def __init__(
        self,
        observer: membership.ConnectionObserver,
        targets_by_id: Mapping[str, model.Target],
        suspect: Callable[[membership.Suspicion], None],
    ):
        """Starts empty.

        Args:
            observer: Turns failed connections into suspicions.
            targets_by_id: All known targets.
            suspect: Called with each suspicion.
        """
        super().__init__()
        self._observer = observer
        self._all_targets_by_id = targets_by_id
        self._suspect = suspect

    def finished(
        self,
        target_id: str,
        latency_s: float,
        outcome: routing.Outcome,
        now: float,
    ) -> None:
        """Notes how a request ended; see `routing.LoadTable.finished`."""
        super().finished(target_id, latency_s, outcome, now)
        target = self._all_targets_by_id.get(target_id)
        if target is None:
            return
        if outcome is not routing.Outcome.UNREACHABLE:
            self._observer.succeeded(target, now)
            return
        suspicion = self._observer.failed(target, 'connection failed', now)
        if suspicion is not None:
            self._suspect(suspicion)


class TrafficState:
    """Owns the routing table, the load table and the version guards.

    Attributes:
        table: Routes in use; None before the first configuration.
        loads: Live evidence on targets.
        recorder: Evidence on versions with a running rollout.
    """

    def __init__(
        self,
        proxy_id: str,
        failure_domain: str,
        recorder: evidence.EvidenceRecorder,
        suspect: Callable[[membership.Suspicion], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        """Starts without a configuration.

        Args:
            proxy_id: Identifier that proxy labels match.
            failure_domain: Failure domain of the proxy.
            recorder: Counts what the proxy sees of new versions.
            suspect: Called when a target cannot be reached.
            clock: Monotonic time in seconds.
        """
        self.table: routing.RoutingTable | None = None
        self.recorder = recorder
        self._proxy_id = proxy_id
        self._failure_domain = failure_domain
        self._clock = clock
        self._configuration = configuration_module.Configuration()
        self._targets_by_id: dict[str, model.Target] = {}
        self._changed_by_id: dict[str, model.Target] = {}
        self._guards = routing.VersionGuards()
        self._rebuild_timer: asyncio.TimerHandle | None = None
        self._observer = membership.ConnectionObserver(proxy_id, failure_domain)
        self.loads = ObservedLoads(self._observer, self._targets_by_id, suspect)

    def configuration_changed(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Puts a configuration into force in one step."""
        self._configuration = configuration
        self.recorder.set_selectors(
            name
            for name, rollout in configuration.rollouts_by_selector.items()
            if rollout.state is model.RolloutState.RUNNING
        )
        self._rebuild()

    def members_changed(self, targets: Sequence[model.Target]) -> None:
        """Takes changed entries of the member table."""
        self.loads.members_changed(targets, self._clock())
        for target in targets:
            self._targets_by_id[target.target_id] = target
            self._changed_by_id[target.target_id] = target
        if self._rebuild_timer is None:
            loop = asyncio.get_running_loop()
            self._rebuild_timer = loop.call_later(
                MEMBER_REBUILD_DELAY_S, self._rebuild
            )

    def set_unreachable_domains(self, domains: frozenset[str]) -> None:
        """Routes to targets of these failure domains last.

        Args:
            domains: Domains behind a lost link; connections that fail to
                most targets of a domain add to them.
        """
        failing = self._observer.failing_domains(self._clock())
        own = {self._failure_domain}
        self.loads.unreachable_domains = frozenset(domains | failing) - own

    def close(self) -> None:
        """Stops the pending rebuild."""
        if self._rebuild_timer is not None:
            self._rebuild_timer.cancel()
            self._rebuild_timer = None

    def match(self, path: str) -> routing.RouteEntry | None:
        """Finds the route of a path in the table in use."""
        return self.table.match(path) if self.table is not None else None

    def waiting_selectors(self) -> list[str]:
        """Names selectors whose newest routes wait for a target."""
        return self.table.waiting_selectors() if self.table is not None else []

    def stopped_versions(self, entry: routing.RouteEntry) -> frozenset[str]:
        """Returns the versions that this proxy stopped on a route."""
        return self._guards.stopped_versions(entry, self._clock())

    def record(
        self,
        entry: routing.RouteEntry,
        version: str,
        ok: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Counts a request's end for the judgement of its version."""
        self.recorder.record(
            entry.selector, version, entry.route.path_prefix, ok, latency_s, now
        )
        self._guards.record(entry, version, not ok, now)

    def _rebuild(self) -> None:
        self.close()
        if not self._configuration.version:
            return
        changed = list(self._changed_by_id.values())
        self._changed_by_id.clear()
        self.table = routing.RoutingTable.build(
            self._configuration,
            self._targets_by_id,
            self._proxy_id,
            self.table,
            changed,
        )
        for target in changed:
            if target.state is model.MemberState.GONE:
                self._targets_by_id.pop(target.target_id, None)


def explain(state: TrafficState, path: str) -> dict[str, Any]:
    """Describes how a request for a path would be served."""
    entry = state.match(path)
    if entry is None:
        return {'path': path, 'route': None, 'why': 'no route matches'}
    return {
        'path': path,
        'route': entry.route.path_prefix,
        'selector': entry.selector,
        'why': f'{entry.route.path_prefix} is the longest prefix of the path'
        f' on this proxy, and selector {entry.selector} has it',
        'timeout_ms': entry.route.timeout_ms,
        'shares': entry.shares_by_version,
        'stopped_here': sorted(state.stopped_versions(entry)),
        'targets': {
            version: [target.target_id for target in targets]
            for version, targets in entry.targets_by_version.items()
        },
    }
