"""Checks of a soak, from what callers and servers saw and daemons logged.

All times are monotonic, in seconds; all processes of a host have one clock.
"""

from collections.abc import Iterator
import json
import math
import pathlib
import re

import attrs

from standins import soak_callers

# Time from SIGTERM until the platform kills the process.
GRACE_S = 6.0
# A request may be cut if it was sent up to `EARLY_S` after SIGTERM and its
# server was still at work in the last sixth of the grace period.
EARLY_S = 3.0
LATE_WORK_S = GRACE_S * 5 / 6
# A request that was not run may end without a response up to this time after
# it was sent, because it may cross the close of its connection.
CROSSING_S = 0.2
# Checks of planned work leave out requests up to this time after a fault.
CALM_S = 3.0
# Longest time from a change of the configuration until it is in force.
APPLY_S = 2.5
# A timeout may be reported this much before the deadline.
TIMEOUT_MARGIN_S = 0.25
BODY_BYTES = 3000
UNCONFIRMED_LINE = re.compile(
    r"event=request_finished request=(\S+) .*outcome='unconfirmed'"
)


@attrs.define
class Span:
    """A time in which something happened; its end is infinite until it ends."""

    kind: str
    host: str
    start: float
    end: float = math.inf

    def overlaps(self, start: float, end: float) -> bool:
        """Returns whether the span has a moment in common with another one."""
        return self.start <= end and start <= self.end


@attrs.define
class Run:
    """A run of a request, as its server printed it.

    Attributes:
        server: Identifier of the server.
        started_at: Start of the run.
        ended_at: End of the run; infinite if the server was killed.
        result: Status of the response; `dropped` if the connection ended.
    """

    server: str
    started_at: float
    ended_at: float = math.inf
    result: int | str = 'dropped'


@attrs.define
class History:
    """What happened in a run of the soak.

    Attributes:
        attempts: Requests of all callers.
        faults: Unplanned faults.
        waits: Spans in which a daemon, or with no host the soak itself, was
            ready to run and got no processor. They excuse a late answer.
        terms: SIGTERM of daemons, until their end.
        extra_route_spans: Spans in which the route `extra` may be missing
            (`missing`) or present (`present`), from the order of one change
            until `APPLY_S` after the acknowledgement of the next.
        runs_by_request_id: Runs of each request.
        unconfirmed_request_ids: Requests that a daemon refused because its
            configuration was not confirmed.
    """

    attempts: list[soak_callers.Attempt] = attrs.field(factory=list)
    faults: list[Span] = attrs.field(factory=list)
    waits: list[Span] = attrs.field(factory=list)
    terms: list[Span] = attrs.field(factory=list)
    extra_route_spans: list[Span] = attrs.field(factory=list)
    runs_by_request_id: dict[str, list[Run]] = attrs.field(factory=dict)
    unconfirmed_request_ids: set[str] = attrs.field(factory=set)

    def is_calm(self, attempt: soak_callers.Attempt) -> bool:
        """Returns whether there was no fault before and during a request."""
        return not any(
            span.overlaps(attempt.sent_at - CALM_S, attempt.ended_at)
            for span in self.faults
        )

    def could_run(self, host: str, start: float, end: float) -> bool:
        """Returns whether a daemon was neither paused nor without processor."""
        pauses = [s for s in self.faults if s.kind == 'pause']
        return not any(
            span.host in (host, '') and span.overlaps(start, end)
            for span in (*pauses, *self.waits)
        )

    def read_refusals(self, directory: pathlib.Path) -> None:
        """Reads the refusals from the logs of the daemons."""
        for path in directory.glob('*.log'):
            self.unconfirmed_request_ids.update(
                UNCONFIRMED_LINE.findall(path.read_text(errors='replace'))
            )

    def read_runs(self, directory: pathlib.Path) -> None:
        """Reads the runs from the logs of the servers."""
        for path in directory.glob('server-*.log'):
            for line in path.read_text().splitlines():
                if not line.startswith('{"run"'):
                    continue
                entry = json.loads(line)
                runs = self.runs_by_request_id.setdefault(entry['run'], [])
                if entry['result'] == 'started':
                    runs.append(Run(entry['server'], entry['at']))
                    continue
                run = next(
                    run
                    for run in runs
                    if run.server == entry['server']
                    and math.isinf(run.ended_at)
                )
                run.ended_at, run.result = entry['at'], entry['result']


@attrs.frozen
class Violation:
    """A broken promise.

    Attributes:
        kind: The promise.
        text: What was seen.
        allowed: Whether the rules allow the case.
    """

    kind: str
    text: str
    allowed: bool = False


def find_violations(history: History) -> Iterator[Violation]:
    """Checks every request of a run."""
    for attempt in history.attempts:
        if attempt.outcome == 'unsent' or not attempt.ended_at:
            continue
        runs = history.runs_by_request_id.get(attempt.request_id, [])
        kind = _check_always(attempt, runs)
        if kind == 'no answer':
            allowed = not history.could_run(
                attempt.host, attempt.sent_at, attempt.ended_at
            )
        elif not kind and history.is_calm(attempt):
            kind = _check_calm(attempt, runs, history)
            allowed = kind == 'cut' and _may_be_cut(attempt, runs, history)
        else:
            allowed = False
        if kind:
            yield Violation(kind, f'{attempt} runs={runs}', allowed)


def _check_always(attempt: soak_callers.Attempt, runs: list[Run]) -> str:
    """Returns the promise that a request broke, whatever the faults were."""
    if len(runs) > 1 and not attempt.route.idempotent:
        return 'run twice'
    if attempt.outcome != 'answered':
        return 'no answer' if attempt.outcome == 'late' else ''
    if attempt.status == 404 and attempt.route != soak_callers.EXTRA_ROUTE:
        return 'not found'
    if attempt.signature or attempt.status < 300:
        return '' if _is_answer_of_server(attempt, runs) else 'wrong answer'
    if attempt.status in soak_callers.NOT_RUN_STATUSES and runs:
        return 'refused but run'
    return ''


def _is_answer_of_server(
    attempt: soak_callers.Attempt, runs: list[Run]
) -> bool:
    body = f' ran {attempt.request_id} for booking'
    return (
        attempt.signature == f's.{attempt.request_id}'
        and attempt.body.rstrip().endswith(body)
        and len(attempt.body) == BODY_BYTES
        and any(run.result == attempt.status for run in runs)
    )


def _check_calm(
    attempt: soak_callers.Attempt, runs: list[Run], history: History
) -> str:
    """Returns the promise that a request broke beside planned work only."""
    if any(math.isinf(run.ended_at) for run in runs):
        # The server ended while it worked.
        return ''
    if attempt.outcome == 'closed':
        crossed = attempt.ended_at - attempt.sent_at <= CROSSING_S
        was_read = not crossed and history.could_run(
            attempt.host, attempt.sent_at, attempt.ended_at
        )
        return 'cut' if runs or was_read else ''
    # A daemon that refuses it as unconfirmed doesn't have the route either.
    is_missing = (
        attempt.status == 404
        or attempt.request_id in history.unconfirmed_request_ids
    )
    if attempt.route == soak_callers.EXTRA_ROUTE and (
        is_missing or attempt.status == 200
    ):
        state = 'missing' if is_missing else 'present'
        possible = any(
            span.kind == state
            and span.overlaps(attempt.sent_at, attempt.ended_at)
            for span in history.extra_route_spans
        )
        return '' if possible else 'outdated configuration'
    if attempt.signature or attempt.status < 500 or attempt.status == 503:
        return ''
    if attempt.status == 504:
        early = attempt.ended_at < attempt.deadline - TIMEOUT_MARGIN_S
        return 'cut' if early else ''
    return 'cut'


def _may_be_cut(
    attempt: soak_callers.Attempt, runs: list[Run], history: History
) -> bool:
    """Returns whether the server still worked at the end of a shutdown."""
    hosts = {attempt.host, *(run.server.removeprefix('i-') for run in runs)}
    return any(
        span.host in hosts
        and attempt.sent_at <= span.start + EARLY_S
        and span.start + LATE_WORK_S <= attempt.ended_at <= span.end + 1
        for span in history.terms
    )
