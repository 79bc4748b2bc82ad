"""Removes one guard at a time in a scratch copy and runs its scenarios.

A scenario that still passes without the guard proves nothing about it. Each
mutation has to make at least one scenario of its feature fail; the last line
is `N passed, N failed`, where a passed mutation is one that was noticed.
"""

import argparse
import concurrent.futures
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
PARALLEL = 4
TIMEOUT_S = 240
COPIED = ('hemlockgrade', 'features', 'standins', 'docs')
FAILING = re.compile(r'^  features/\S+  (.*)$', re.MULTILINE)


@attrs.frozen(kw_only=True)
class Mutation:
    """A guard that is taken out.

    Attributes:
        invariant: What the guard protects, I1 to I10 of docs/design.md.
        guard: What is removed, in words.
        module: File below `hemlockgrade/`.
        old: Its text.
        new: What replaces the text.
        feature: Scenarios that have to notice.
    """

    invariant: str
    guard: str
    module: str
    old: str
    new: str
    feature: str


MUTATIONS = (
    Mutation(
        invariant='I1',
        guard='a full copy of an older version is ignored',
        module='configuration_task.py',
        old='if snapshot.version <= self._configuration.version:',
        new='if False:',
        feature='distribution',
    ),
    Mutation(
        invariant='I2',
        guard='new shares wait for a target of each version',
        module='routing.py',
        old='if all(targets.values()):',
        new='if True:',
        feature='routing',
    ),
    Mutation(
        invariant='I3',
        guard='a change is checked whole again after a lost race',
        module='changelog.py',
        old='            configuration_module.validate(current, change, '
        'self._clock())\n',
        new='',
        feature='changelog',
    ),
    Mutation(
        invariant='I4',
        guard='a version judged bad is rolled back',
        module='rollout.py',
        old='if verdict.outcome is Outcome.BAD:',
        new='if False:',
        feature='rollout',
    ),
    Mutation(
        invariant='I5',
        guard='a connection is closed after a failed exchange',
        module='upstream.py',
        old='            connection.abort()\n            raise',
        new='            raise',
        feature='request_path',
    ),
    Mutation(
        invariant='I6',
        guard='an answer lost after a byte was sent is not called a refusal',
        module='admission.py',
        old='            return proxy.unknown(str(error))',
        new="            return not_run('lost', str(error))",
        feature='request_path',
    ),
    Mutation(
        invariant='I7',
        guard='a non-idempotent request is fenced before it is sent again',
        module='proxy.py',
        old='if result is not ledger.FenceResult.NEVER_SEEN:',
        new='if False:',
        feature='request_path',
    ),
    Mutation(
        invariant='I7',
        guard='a non-idempotent request is not sent again when it may have run',
        module='retries.py',
        old='if not not_run and not attempts.idempotent:',
        new='if False:',
        feature='retries',
    ),
    Mutation(
        invariant='I8',
        guard='a draining target takes no new work',
        module='limits.py',
        old="        if self.draining:\n            raise refusal('the target",
        new="        if False:\n            raise refusal('the target",
        feature='limits',
    ),
    Mutation(
        invariant='I8',
        guard='a proxy sends a draining target no new work',
        module='routing.py',
        old='if target.state <= SUSPECT',
        new='if target.state <= 2',
        feature='routing',
    ),
    Mutation(
        invariant='I9',
        guard='a stop waits for the requests in flight',
        module='in_flight.py',
        old='        while self.count:',
        new='        while False:',
        feature='request_path',
    ),
    Mutation(
        invariant='I10',
        guard='a lost answer is read back',
        module='changelog.py',
        old='                if not error.outcome_known:\n',
        new='                if False:\n',
        feature='changelog',
    ),
    Mutation(
        invariant='I10',
        guard='a writer checks that its number was not deleted before',
        module='changelog.py',
        old='return number > index.trimmed_to',
        new='return True',
        feature='changelog',
    ),
    Mutation(
        invariant='I10',
        guard='a silent parent is left',
        module='control_stream.py',
        old='            if left <= 0:\n                return self._end',
        new='            if False:\n                return self._end',
        feature='distribution',
    ),
    Mutation(
        invariant='leases',
        guard='a holder stops before its lease ends',
        module='lease.py',
        old='return started_at + term_s * (1 - MARGIN)',
        new='return started_at + term_s * 3',
        feature='lease',
    ),
    Mutation(
        invariant='leases',
        guard='a step of an older epoch has no effect',
        module='configuration.py',
        old='if change.epoch < configuration.epochs_by_lease.get('
        "'rollout', 0):",
        new='if False:',
        feature='configuration',
    ),
    Mutation(
        invariant='membership',
        guard='one observer does not remove a target at once',
        module='membership.py',
        old='len(evidence.observer_ids) >= OBSERVERS_TO_REMOVE',
        new='True',
        feature='membership',
    ),
)


def main() -> int:
    """Runs all mutations and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', default='', help='an invariant, as I7')
    options = parser.parse_args()
    chosen = [m for m in MUTATIONS if options.only in ('', m.invariant)]
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        noticed = list(pool.map(_run, chosen))
    print(f'{sum(noticed)} passed, {len(noticed) - sum(noticed)} failed')
    return 0 if all(noticed) else 1


def _run(mutation: Mutation) -> bool:
    with tempfile.TemporaryDirectory() as directory:
        copy = pathlib.Path(directory)
        for name in COPIED:
            shutil.copytree(ROOT / name, copy / name)
        module = copy / 'hemlockgrade' / mutation.module
        text = module.read_text()
        if text.count(mutation.old) != 1:
            print(f'{mutation.module}: the text of the guard has changed')
            return False
        module.write_text(text.replace(mutation.old, mutation.new))
        failing = _failing_scenarios(copy, mutation.feature)
    print(
        f'{mutation.invariant}: without "{mutation.guard}": '
        + ('; '.join(failing) or 'NOTHING FAILS'),
        flush=True,
    )
    return bool(failing)


def _failing_scenarios(copy: pathlib.Path, feature: str) -> list[str]:
    command = ['-m', 'behave', '--format=progress', '--stop']
    try:
        process = subprocess.run(
            [sys.executable, *command, f'features/{feature}.feature'],
            cwd=copy,
            env={**os.environ, 'PYTHONPATH': str(copy)},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            timeout=TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return [f'{feature}.feature does not end in {TIMEOUT_S} s']
    return FAILING.findall(process.stdout)


if __name__ == '__main__':
    sys.exit(main())
