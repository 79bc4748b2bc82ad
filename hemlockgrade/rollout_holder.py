"""The task of the rollout lease holder: decides and writes rollout steps.

Three things keep a holder that lost its lease from moving a share: it checks
the lease right before each write, a write uses the next number of the log,
and a change with an older epoch has no effect. A new holder writes its epoch
before anything else, which puts the second and third into force.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Protocol
import uuid

import attrs
from loguru import logger

from hemlockgrade import configuration as configuration_module
from hemlockgrade import evidence
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import rollout as rollout_module

LEASE_NAME = 'rollout'
TICK_S = 0.5
# An outage may last long; the holder asks more and more seldom up to this.
MAX_RETRY_S = 4.0
CHANGES_PER_SNAPSHOT = 64


class Holding(Protocol):
    """A lease in force."""

    @property
    def epoch(self) -> int:
        """Grows with each holder."""


class LeaseKeeper(Protocol):
    """The task that keeps the rollout lease."""

    @property
    def holding(self) -> Holding | None:
        """The lease, or None if it is not safely held."""


class ChangeLog(Protocol):
    """Writer of the change log."""

    async def load(self) -> configuration_module.Configuration:
        """Reads the newest configuration from the platform."""

    async def append(
        self,
        configuration: configuration_module.Configuration,
        draft: model.Change,
    ) -> configuration_module.Configuration:
        """Writes a change as the next one and returns the result."""

    async def write_snapshot(
        self, configuration: configuration_module.Configuration
    ) -> Any:
        """Stores a whole configuration."""

    async def trim(
        self, configuration: configuration_module.Configuration
    ) -> Any:
        """Deletes changes that the snapshot makes needless."""


class ConfigurationTask(Protocol):
    """Owner of the daemon's configuration."""

    @property
    def configuration(self) -> configuration_module.Configuration:
        """The configuration in force."""

    def subscribe(
        self,
        callback: Callable[
            [configuration_module.Configuration, tuple[model.Change, ...]],
            None,
        ],
    ) -> Any:
        """Calls back with each new configuration and its changes."""


class TargetsView(Protocol):
    """The member table, for reading."""

    @property
    def targets_by_id(self) -> Mapping[str, model.Target]:
        """All known targets."""


@attrs.frozen
class _StageStart:
    started_by: int
    progress_permille: int
    started_at: float


class StageClock:
    """Remembers when each running rollout entered its stage.

    The log names the time in `written_at`; a daemon that did not see the
    change itself counts from when it first saw the stage, which judges the
    stage anew.
    """

    def __init__(self):
        self._starts_by_selector: dict[str, _StageStart] = {}

    def note(self, rollout: model.Rollout, started_at: float) -> None:
        """Sets the start of a stage unless it is already known.

        Args:
            rollout: The rollout in its current stage.
            started_at: Seconds of Unix time.
        """
        known = self._starts_by_selector.get(rollout.selector)
        stage = (rollout.started_by, rollout.progress_permille)
        if known and (known.started_by, known.progress_permille) == stage:
            return
        self._starts_by_selector[rollout.selector] = _StageStart(
            *stage, started_at
        )

    def started_at(self, rollout: model.Rollout, now: float) -> float:
        """Returns the start of the current stage, in seconds of Unix time."""
        self.note(rollout, now)
        return self._starts_by_selector[rollout.selector].started_at

    def forget_others(self, selectors: set[str]) -> set[str]:
        """Drops all but the given selectors, and returns the dropped ones."""
        dropped = set(self._starts_by_selector) - selectors
        for selector in dropped:
            del self._starts_by_selector[selector]
        return dropped


class RolloutHolder:
    """Advances all running rollouts while its daemon holds the lease."""

    def __init__(
        self,
        lease_keeper: LeaseKeeper,
        change_log: ChangeLog,
        configuration_task: ConfigurationTask,
        evidence_store: evidence.EvidenceStore,
        judge: rollout_module.Judge,
        clock: Callable[[], float],
        targets: TargetsView,
        *,
        author: str = '',
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ):
        """Joins the parts; nothing is read or written before `run`.

        Args:
            lease_keeper: Keeps the lease `rollout`.
            change_log: Writes the steps.
            configuration_task: Tells of new configurations.
            evidence_store: Holds what proxies reported.
            judge: Finds versions good or bad.
            clock: Returns seconds of Unix time.
            targets: The member table.
            author: Identifier of the daemon, for the log.
            sleep: Waits a number of seconds.
            new_id: Returns a unique identifier for a change.
        """
        self._lease_keeper = lease_keeper
        self._change_log = change_log
        self._configuration_task = configuration_task
        self._evidence_store = evidence_store
        self._judge = judge
        self._clock = clock
        self._targets = targets
        self._author = author
        self._sleep = sleep
        self._new_id = new_id
        self._stages = StageClock()
        self._noted_version = -1
        self._epoch: int | None = None
        self._configuration: configuration_module.Configuration | None = None
        self._snapshot_version: int | None = None
        self._failures = 0
        configuration_task.subscribe(self._on_configuration)

    async def run(self) -> None:
        """Decides twice a second until it is cancelled."""
        while True:
            await self._sleep(await self.step())

    async def step(self) -> float:
        """Does one round, and returns the seconds to wait for the next."""
        holding = self._lease_keeper.holding
        if holding is None:
            self._epoch = None
            self._configuration = None
            return TICK_S
        try:
            await self._hold(holding.epoch)
        except exceptions.PlatformUnavailableError as error:
            self._configuration = None
            delay = min(TICK_S * 2**self._failures, MAX_RETRY_S)
            self._failures = min(self._failures + 1, 10)
            logger.warning(
                'event=rollout_waits_for_platform delay_s={} error={!r}',
                delay,
                str(error),
            )
            return delay
        except exceptions.HemlockError as error:
            # Another writer was first, or a newer holder has begun to act;
            # what they wrote may change the decision.
            logger.info('event=rollout_step_refused error={!r}', str(error))
            self._configuration = None
            return TICK_S
        self._failures = 0
        return TICK_S

    async def _hold(self, epoch: int) -> None:
        configuration = await self._current()
        if self._epoch != epoch:
            if not await self._append(
                epoch, configuration, model.ChangeKind.EPOCH, LEASE_NAME, {}
            ):
                return
            self._epoch = epoch
            logger.info('event=rollout_lease_in_force epoch={}', epoch)
        for selector in sorted(
            r.selector for r in running(await self._current())
        ):
            await self._advance(epoch, selector)
            # A verdict takes about 2 ms; requests must not wait for several.
            await asyncio.sleep(0)
        await self._keep_snapshot(epoch)

    async def _current(self) -> configuration_module.Configuration:
        """Returns the newest configuration known here."""
        if self._configuration is None:
            self._configuration = await self._change_log.load()
        followed = self._configuration_task.configuration
        if followed.version > self._configuration.version:
            self._configuration = followed
        return self._configuration

    async def _advance(self, epoch: int, selector: str) -> None:
        configuration = await self._current()
        rollout = configuration.rollouts_by_selector.get(selector)
        if rollout is None or rollout.state is not model.RolloutState.RUNNING:
            return
        step = self._decide(configuration, rollout)
        if step is None:
            return
        body: dict[str, Any] = {
            'started_by': rollout.started_by,
            'reason': step.reason,
        }
        if step.state is model.RolloutState.RUNNING:
            kind = model.ChangeKind.SET_PROGRESS
            body['progress_permille'] = step.progress_permille
        else:
            kind = model.ChangeKind.END_ROLLOUT
            body['state'] = step.state.value
        if await self._append(epoch, configuration, kind, selector, body):
            logger.info(
                'event=rollout_step selector={} version={} state={}'
                ' progress_permille={} reason={!r}',
                selector,
                rollout.new_version,
                step.state.value,
                step.progress_permille,
                step.reason,
            )

    def _decide(
        self,
        configuration: configuration_module.Configuration,
        rollout: model.Rollout,
    ) -> rollout_module.Step | None:
        now = self._clock()
        stage_started_at = self._stages.started_at(rollout, now)
        verdict = self._judge.judge(
            self._evidence_store.compare(
                rollout.selector,
                rollout.new_version,
                old_versions(rollout),
                stage_started_at,
            ),
            rollout_module.tolerance(rollout),
        )
        return rollout_module.decide(
            rollout,
            verdict,
            now,
            stage_started_at=stage_started_at,
            ready_targets=count_ready_targets(
                configuration, rollout, self._targets.targets_by_id
            ),
        )

    async def _append(
        self,
        epoch: int,
        configuration: configuration_module.Configuration,
        kind: model.ChangeKind,
        name: str,
        body: dict[str, Any],
    ) -> bool:
        """Writes a change, unless the lease was lost in the meantime."""
        holding = self._lease_keeper.holding
        if holding is None or holding.epoch != epoch:
            return False
        draft = model.Change(
            number=configuration.version + 1,
            change_id=self._new_id(),
            kind=kind,
            name=name,
            body=body,
            epoch=epoch,
            author=self._author,
            written_at=self._clock(),
        )
        result = await self._change_log.append(configuration, draft)
        self._configuration = result
        self._note_stages(result, (draft,))
        return True

    async def _keep_snapshot(self, epoch: int) -> None:
        configuration = await self._current()
        since = configuration.version - (self._snapshot_version or 0)
        if since < CHANGES_PER_SNAPSHOT:
            return
        holding = self._lease_keeper.holding
        if holding is None or holding.epoch != epoch:
            return
        await self._change_log.write_snapshot(configuration)
        self._snapshot_version = configuration.version
        await self._change_log.trim(configuration)
        logger.info('event=snapshot_written version={}', configuration.version)

    def _on_configuration(
        self,
        configuration: configuration_module.Configuration,
        changes: tuple[model.Change, ...],
    ) -> None:
        self._note_stages(configuration, tuple(changes))

    def _note_stages(
        self,
        configuration: configuration_module.Configuration,
        changes: tuple[model.Change, ...],
    ) -> None:
        if configuration.version <= self._noted_version:
            # The log is followed later than this task's own writes return.
            return
        self._noted_version = configuration.version
        written_at_by_selector = {
            c.name: c.written_at
            for c in changes
            if c.kind is model.ChangeKind.SET_PROGRESS
        }
        now = self._clock()
        rollouts = running(configuration)
        for rollout in rollouts:
            written_at = written_at_by_selector.get(rollout.selector, now)
            # A writer's clock may be ahead; a stage never starts later.
            self._stages.note(rollout, min(written_at, now))
        for selector in self._stages.forget_others(
            {r.selector for r in rollouts}
        ):
            self._evidence_store.forget(selector)


def running(
    configuration: configuration_module.Configuration,
) -> list[model.Rollout]:
    """Lists the rollouts that are not finished."""
    return [
        r
        for r in configuration.rollouts_by_selector.values()
        if r.state is model.RolloutState.RUNNING
    ]


def old_versions(rollout: model.Rollout) -> tuple[str, ...]:
    """Lists the versions that a rollout's new version is judged by."""
    return tuple(
        version
        for version, share in sorted(rollout.old_shares_by_version.items())
        if share and version != rollout.new_version
    )


def count_ready_targets(
    configuration: configuration_module.Configuration,
    rollout: model.Rollout,
    targets_by_id: Mapping[str, model.Target],
) -> int:
    """Counts the targets of a rollout's new version that take work."""
    selector = configuration.selectors_by_name[rollout.selector]
    label = configuration.labels_by_name.get(selector.targets)
    if label is None:
        return 0
    return sum(
        target.service == selector.service
        and target.version == rollout.new_version
        and target.state is model.MemberState.ALIVE
        and label.matches(target.target_id)
        for target in targets_by_id.values()
    )
