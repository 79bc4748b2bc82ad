"""Plan and steps of a rollout, as pure functions of its record and evidence.

The state of a rollout lives in the change log, so that any lease holder can
go on with it. The steps are therefore plain functions of that record, the
verdict and the time; an `automat` machine would keep the state in an object
that a new holder does not have.
"""

import enum
from typing import Protocol

import attrs

from hemlockgrade import evidence
from hemlockgrade import model

# A version that is not judged good gets at most 5% of the requests.
MAX_UNJUDGED_PERMILLE = 50
# Before a share is raised, the evidence has to exclude that this part of all
# requests would fail additionally at the new share.
MAX_HARM = 0.02
# An accepted change is in effect on every proxy within this time (I10).
CONVERGENCE_S = 6.0
# Longer rollouts tie up evidence and the old version's hosts for little gain.
MAX_PLANNED_S = 1800.0
# Share of the time that the plan uses; the rest makes up for outages, a
# change of the lease holder and low traffic.
PLANNED_SHARE = 0.8


class Outcome(enum.StrEnum):
    """What the evidence says about a version."""

    GOOD = 'good'
    BAD = 'bad'
    UNDECIDED = 'undecided'


@attrs.frozen(kw_only=True)
class Verdict:
    """A judge's finding on a version.

    Attributes:
        outcome: Good, bad or undecided.
        reason: The evidence in words, for operators.
        requests: Requests of the new version that were judged.
        errors: How many of them failed.
        old_requests: Requests of the old versions in the same time.
        suspect: True if the evidence so far speaks against the version.
    """

    outcome: Outcome
    reason: str = ''
    requests: int = 0
    errors: int = 0
    old_requests: int = 0
    suspect: bool = False


class Judge(Protocol):
    """Decides from a comparison whether a version is good or bad."""

    def judge(
        self, comparison: evidence.Comparison, tolerance: float = MAX_HARM
    ) -> Verdict:
        """Returns the finding; the same comparison gives the same one.

        Args:
            comparison: Evidence on both versions.
            tolerance: Difference of the failure rate that a good finding
                has to exclude.
        """


@attrs.frozen(kw_only=True)
class Stage:
    """One step of the new version's share.

    Attributes:
        progress_permille: Progress of the rollout in this stage.
        min_s: Seconds that it lasts at least.
        weight: Its part of the planned time, relative to the other stages.
        ends_by: Latest end, in seconds of Unix time, that leaves the later
            stages their least time.
    """

    progress_permille: int
    min_s: float
    weight: float
    ends_by: float = 0.0


@attrs.frozen(kw_only=True)
class Schedule:
    """The stages of a rollout, planned backward from its agreed time.

    Attributes:
        stages: In the order in which they are run.
        starts_by: Latest start of the first stage, in seconds of Unix time.
        finish_by: Latest decision that is in effect at the agreed time, in
            seconds of Unix time.
        paced_until: Planned end, in seconds of Unix time.
    """

    stages: tuple[Stage, ...]
    starts_by: float
    finish_by: float
    paced_until: float

    def index_of(self, progress_permille: int) -> int:
        """Returns the index of the stage in force, or -1 before the first."""
        reached = [
            index
            for index, stage in enumerate(self.stages)
            if stage.progress_permille <= progress_permille
        ]
        return reached[-1] if reached else -1


@attrs.frozen(kw_only=True)
class Step:
    """A change of a rollout that its holder appends to the log.

    Attributes:
        progress_permille: Progress after the step.
        state: State after the step.
        reason: Share and evidence, for operators.
    """

    progress_permille: int
    state: model.RolloutState
    reason: str


# The stage before the last keeps 10% of the requests at the old version. They
# show whether a fault hits both versions, so most of the observation is there.
# The stage at 5% lasts longest: what fails late should fail at a small share.
STAGES = (
    Stage(progress_permille=10, min_s=3.0, weight=0.04),
    Stage(progress_permille=50, min_s=4.0, weight=0.55),
    Stage(progress_permille=200, min_s=4.0, weight=0.12),
    Stage(progress_permille=500, min_s=4.0, weight=0.11),
    Stage(progress_permille=900, min_s=5.0, weight=0.15),
    Stage(progress_permille=1000, min_s=2.0, weight=0.03),
)
# Wald's expected number of requests for a good verdict, times the tolerance,
# is 3 to 4 with 0.2% of failures, and up to 6.5 with 1%.
REQUESTS_PER_VERDICT = 6.5
# Requests of the new version that the last stage has to see without suspicion;
# the stage before it has found the version good.
MIN_FINAL_REQUESTS = 20
# Spare factor on the time that later stages need for their requests.
EVIDENCE_MARGIN = 1.3


def plan(rollout: model.Rollout, now: float) -> Schedule:
    """Plans the stages backward from the agreed time.

    Args:
        rollout: The rollout.
        now: Seconds of Unix time.
    """
    finish_by = rollout.agreed_by - CONVERGENCE_S
    stages: list[Stage] = []
    ends_by = finish_by
    for stage in reversed(STAGES):
        stages.insert(0, attrs.evolve(stage, ends_by=ends_by))
        ends_by -= stage.min_s
    available = max(finish_by - rollout.started_at, 0.0)
    return Schedule(
        stages=tuple(stages),
        starts_by=ends_by,
        finish_by=finish_by,
        paced_until=rollout.started_at
        + min(available * PLANNED_SHARE, MAX_PLANNED_S),
    )


def tolerance(rollout: model.Rollout) -> float:
    """Returns the difference of the failure rate to exclude before a step.

    A small share does little harm, so little evidence suffices to raise it;
    the larger the next share, the smaller the difference that counts.
    """
    following = [
        stage.progress_permille
        for stage in STAGES
        if stage.progress_permille > rollout.progress_permille
    ]
    return MAX_HARM / (min(following, default=1000) / 1000)


def decide(
    rollout: model.Rollout,
    verdict: Verdict,
    now: float,
    *,
    stage_started_at: float,
    ready_targets: int,
) -> Step | None:
    """Decides the next step of a rollout, if one is due.

    Args:
        rollout: The rollout as the log has it.
        verdict: The judge's finding on the evidence of the current stage.
        now: Seconds of Unix time.
        stage_started_at: Start of the current stage, in seconds of Unix time.
        ready_targets: Targets of the new version that take work.
    """
    if rollout.state is not model.RolloutState.RUNNING:
        return None
    schedule = plan(rollout, now)
    index = schedule.index_of(rollout.progress_permille)
    if index < 0:
        return _start(rollout, schedule, now, ready_targets)
    if verdict.outcome is Outcome.BAD:
        return _roll_back(rollout, verdict, 'judged bad')
    stage = schedule.stages[index]
    last = index + 1 == len(schedule.stages)
    following = stage if last else schedule.stages[index + 1]
    missing = _missing(ready_targets)
    rate = _rate(verdict, now - stage_started_at)
    paced_end = _paced_end(schedule, index, stage_started_at, rate)
    if now >= paced_end and not missing:
        if last and _may_finish(verdict):
            return _finish(rollout, verdict)
        if not last and _may_raise(following, verdict):
            return _raise(rollout, following, verdict)
    if now >= stage.ends_by:
        return _roll_back(
            rollout, verdict, missing or 'not judged good in time'
        )
    return None


def _start(rollout, schedule, now, ready_targets) -> Step | None:
    first = schedule.stages[0]
    missing = _missing(ready_targets)
    if now > schedule.starts_by:
        needed = schedule.finish_by - schedule.starts_by + CONVERGENCE_S
        left = max(rollout.agreed_by - now, 0.0)
        return _end(
            model.RolloutState.ROLLED_BACK,
            f'version {rollout.new_version} got no requests: '
            + (missing or 'too little time')
            + f'; {left:.0f} s are left until the agreed time and a judged'
            f' rollout needs {needed:.0f} s',
        )
    if missing:
        return None
    return Step(
        progress_permille=first.progress_permille,
        state=model.RolloutState.RUNNING,
        reason=f'start at {_percent(first.progress_permille)}; '
        f'{ready_targets} targets of version {rollout.new_version}'
        ' are ready',
    )


def _may_finish(verdict: Verdict) -> bool:
    if verdict.outcome is Outcome.GOOD:
        return True
    return not verdict.suspect and verdict.requests >= MIN_FINAL_REQUESTS


def _rate(verdict: Verdict, elapsed_s: float) -> float:
    requests = verdict.requests + verdict.old_requests
    return requests / max(elapsed_s, 1.0)


def _may_raise(following: Stage, verdict: Verdict) -> bool:
    if verdict.outcome is Outcome.GOOD:
        return True
    # Low traffic may not suffice to judge a small stage in its time.
    unjudged = following.progress_permille <= MAX_UNJUDGED_PERMILLE
    return unjudged and not verdict.suspect


def _paced_end(
    schedule: Schedule, index: int, stage_started_at: float, rate: float
) -> float:
    """Returns the time until which a stage goes on although it is good.

    The stage gets its weighted part of the time that is left, unless the
    later stages then lack the time for enough requests.
    """
    stage = schedule.stages[index]
    left = max(schedule.paced_until - stage_started_at, 0.0)
    weight = sum(s.weight for s in schedule.stages[index:])
    weighted = stage_started_at + left * stage.weight / weight
    later = sum(
        _evidence_s(schedule, following, rate)
        for following in range(index + 1, len(schedule.stages))
    )
    latest = schedule.finish_by - later * EVIDENCE_MARGIN
    return max(stage_started_at + stage.min_s, min(weighted, latest))


def _evidence_s(schedule: Schedule, index: int, rate: float) -> float:
    """Estimates the seconds that a stage needs for a good verdict.

    Args:
        schedule: The schedule.
        index: Index of the stage.
        rate: Requests of all versions a second.
    """
    stage = schedule.stages[index]
    if not rate:
        return stage.min_s
    following = schedule.stages[min(index + 1, len(schedule.stages) - 1)]
    tolerated = MAX_HARM / (following.progress_permille / 1000)
    requests = REQUESTS_PER_VERDICT / tolerated
    return max(requests / (rate * stage.progress_permille / 1000), stage.min_s)


def _missing(ready_targets: int) -> str:
    """Says that no target can take work, or returns an empty text.

    How many targets suffice is not known here; too few show as slowness.
    """
    return '' if ready_targets else 'no target of the new version is ready'


def _raise(rollout, stage: Stage, verdict: Verdict) -> Step:
    return Step(
        progress_permille=stage.progress_permille,
        state=model.RolloutState.RUNNING,
        reason=f'{verdict.outcome} at {_percent(rollout.progress_permille)},'
        f' raised to {_percent(stage.progress_permille)}: {verdict.reason}',
    )


def _finish(rollout, verdict: Verdict) -> Step:
    return _end(
        model.RolloutState.DONE,
        f'version {rollout.new_version} has taken over: {verdict.reason}',
    )


def _roll_back(rollout, verdict: Verdict, why: str) -> Step:
    return _end(
        model.RolloutState.ROLLED_BACK,
        f'version {rollout.new_version} {why} at'
        f' {_percent(rollout.progress_permille)}: {verdict.reason}',
    )


def _end(state: model.RolloutState, reason: str) -> Step:
    done = state is model.RolloutState.DONE
    return Step(
        progress_permille=1000 if done else 0, state=state, reason=reason
    )


def _percent(permille: int) -> str:
    return f'{permille / 10:g}%'
