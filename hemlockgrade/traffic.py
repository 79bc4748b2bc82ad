"""The routing state of a proxy, kept up to date and fed with outcomes."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import time
from typing import Any

from loguru import logger

from hemlockgrade import configuration as configuration_module
from hemlockgrade import evidence
from hemlockgrade import membership
from hemlockgrade import model
from hemlockgrade import routing

# Announcements come in batches every 200 ms; one rebuild serves a batch.
MEMBER_REBUILD_DELAY_S = 0.05


class ObservedLoads(routing.LoadTable):
    """A load table that reports targets whose host cannot be reached."""

    def __init__(self, unreachable: Callable[[str], None]):
        """Starts empty.

        Args:
            unreachable: Called with the identifier of such a target.
        """
        super().__init__()
        self._unreachable = unreachable

    def finished(
        self,
        target_id: str,
        latency_s: float,
        outcome: routing.Outcome | str,
        now: float,
    ) -> None:
        """Notes how a request ended; see `routing.LoadTable.finished`."""
        kind = routing.Outcome(outcome)
        super().finished(target_id, latency_s, kind, now)
        if kind is routing.Outcome.UNREACHABLE:
            self._unreachable(target_id)


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
        recorder: evidence.EvidenceRecorder,
        suspect: Callable[[membership.Suspicion], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        """Starts without a configuration.

        Args:
            proxy_id: Identifier that proxy labels match.
            recorder: Counts what the proxy sees of new versions.
            suspect: Called when the host of a target cannot be reached.
            clock: Monotonic time in seconds.
        """
        self.table: routing.RoutingTable | None = None
        self.loads = ObservedLoads(self._raise_suspicion)
        self.recorder = recorder
        self._proxy_id = proxy_id
        self._suspect = suspect
        self._clock = clock
        self._configuration = configuration_module.Configuration()
        self._targets_by_id: dict[str, model.Target] = {}
        self._guards_by_selector: dict[str, routing.VersionGuard] = {}
        self._rebuild_timer: asyncio.TimerHandle | None = None

    def configuration_changed(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Puts a configuration into force in one step."""
        self._configuration = configuration
        running = {
            name: rollout
            for name, rollout in configuration.rollouts_by_selector.items()
            if rollout.state is model.RolloutState.RUNNING
        }
        self.recorder.set_selectors(running)
        self._set_guards(running)
        self._rebuild()

    def members_changed(self, targets: Sequence[model.Target]) -> None:
        """Takes changed entries of the member table."""
        self.loads.members_changed(targets, self._clock())
        for target in targets:
            self._targets_by_id[target.target_id] = target
            if target.state is model.MemberState.GONE:
                del self._targets_by_id[target.target_id]
        if self._rebuild_timer is None:
            loop = asyncio.get_running_loop()
            self._rebuild_timer = loop.call_later(
                MEMBER_REBUILD_DELAY_S, self._rebuild
            )

    def close(self) -> None:
        """Stops the pending rebuild."""
        if self._rebuild_timer is not None:
            self._rebuild_timer.cancel()
            self._rebuild_timer = None

    def match(self, path: str) -> Any | None:
        """Finds the route of a path in the table in use."""
        return self.table.match(path) if self.table is not None else None

    def stopped_versions(self, selector: str) -> frozenset[str]:
        """Returns the versions of a selector that this proxy stopped."""
        guard = self._guards_by_selector.get(selector)
        if guard is None:
            return frozenset()
        return guard.stopped_versions(self._clock())

    def record(
        self,
        selector: str,
        version: str,
        route: str,
        ok: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Counts a request's end for the judgement of its version."""
        self.recorder.record(selector, version, route, ok, latency_s, now)
        guard = self._guards_by_selector.get(selector)
        if guard is None or self.table is None:
            return
        shares = self._configuration.shares(selector)
        share = shares.get(guard.new_version, 0.0)
        if guard.record(version, not ok, share, now):
            logger.warning(
                'event=version_stopped_locally selector={} version={}',
                selector,
                guard.new_version,
            )

    def _raise_suspicion(self, target_id: str) -> None:
        target = self._targets_by_id.get(target_id)
        if target is None:
            return
        self._suspect(
            membership.Suspicion(
                target_id=target_id,
                incarnation=target.incarnation,
                observer_id=self._proxy_id,
                reason='connection refused or timed out',
            )
        )

    def _set_guards(self, running: dict[str, model.Rollout]) -> None:
        guards = {}
        for name, rollout in running.items():
            guard = self._guards_by_selector.get(name)
            if guard is None or guard.new_version != rollout.new_version:
                old = rollout.old_shares_by_version
                guard = routing.VersionGuard(
                    rollout.new_version, max(old, key=lambda v: (old[v], v))
                )
            guards[name] = guard
        self._guards_by_selector = guards

    def _rebuild(self) -> None:
        self.close()
        if not self._configuration.version:
            return
        self.table = routing.RoutingTable.build(
            self._configuration,
            self._targets_by_id,
            self._proxy_id,
            self.table,
        )


def explain(state: TrafficState, path: str) -> dict[str, Any]:
    """Describes how a request for a path would be served."""
    entry = state.match(path)
    if entry is None:
        return {'path': path, 'route': None, 'why': 'no route matches'}
    return {
        'path': path,
        'route': entry.route.path_prefix,
        'selector': entry.selector,
        'timeout_ms': entry.route.timeout_ms,
        'shares': entry.shares_by_version,
        'stopped_here': sorted(state.stopped_versions(entry.selector)),
        'targets': {
            version: [target.target_id for target in targets]
            for version, targets in entry.targets_by_version.items()
        },
    }
