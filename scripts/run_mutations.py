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
        guard: What is removed, in words.
        module: File below `hemlockgrade/`.
        old: Its text.
        new: What replaces the text.
        feature: Scenarios that have to notice.
    """

    guard: str
    module: str
    old: str
    new: str
    feature: str


MUTATIONS = (
    Mutation(
        guard='a configuration is not replaced by an older one',
        module='directory.py',
        old='        if new.version <= before:\n            return False\n',
        new='',
        feature='mesh_decisions',
    ),
    Mutation(
        guard='an outcome of an earlier rollout does not count for a later one',
        module='selectors.py',
        old='share.order_revision != definition.revision',
        new='False',
        feature='configuration',
    ),
    Mutation(
        guard='a route of a host goes before those of selectors',
        module='directory.py',
        old='            if entry is not None:\n                return entry\n'
        '        # Prefixes',
        new='        # Prefixes',
        feature='configuration',
    ),
    Mutation(
        guard='a late heartbeat does not undo a leave',
        module='registrar.py',
        old='if old.state is model.ServerState.GONE:',
        new='if False:',
        feature='mesh_decisions',
    ),
    Mutation(
        guard='a check is about the server that was asked',
        module='registrar.py',
        old='if self.server != server or self.confirmed:',
        new='if self.confirmed:',
        feature='mesh_decisions',
    ),
    Mutation(
        guard='an answer that names another request is dropped',
        module='upstream.py',
        old='not self._request_id or named in (None, self._request_id)',
        new='True',
        feature='mesh_processes',
    ),
    Mutation(
        guard='a connection is closed after a failed request',
        module='upstream.py',
        old='            connection.abort()\n            raise',
        new='            raise',
        feature='request_path',
    ),
    Mutation(
        guard='an answer lost after a byte was sent is not called a refusal',
        module='admission.py',
        old='            return peer_protocol.unknown_outcome_response('
        'str(error.args[0]))',
        new='            return peer_protocol.refusal_response('
        'peer_protocol.Refusal.SHED)',
        feature='request_path',
    ),
    Mutation(
        guard='a request that may run once is entered before it is sent',
        module='admission.py',
        old='before_write=(lambda: self._enter(work)) if once else None',
        new='before_write=None',
        feature='request_path',
    ),
    Mutation(
        guard='a request that may run once is fenced before it is sent again',
        module='sender.py',
        old='return result is ledger.FenceResult.NEVER_SEEN',
        new='return True',
        feature='request_path',
    ),
    Mutation(
        guard='headers of a server cannot forge an outcome',
        module='admission.py',
        old='response.headers = '
        'http_codec.without_internal_headers(response.headers)',
        new='pass',
        feature='request_path',
    ),
    Mutation(
        guard='a draining limiter takes no new work',
        module='limits.py',
        old="        if self.draining:\n            raise refusal_error('the",
        new="        if False:\n            raise refusal_error('the",
        feature='limits',
    ),
    Mutation(
        guard='a waiting request is refused once it cannot be served in time',
        module='plugins/slot_limiter.py',
        old='refuse_at = self._queue.latest_start(request)',
        new='refuse_at = deadline',
        feature='limits',
    ),
    Mutation(
        guard='a stop waits for the requests in flight',
        module='in_flight.py',
        old='        while self.count:',
        new='        while False:',
        feature='mesh_processes',
    ),
    Mutation(
        guard='a lost answer of the store is read back',
        module='definition_store.py',
        old='        if current is not None and _is_same_change(current, new):',
        new='        if False:',
        feature='system_platform',
    ),
    Mutation(
        guard='failing servers give way to another failure domain',
        module='plugins/zone_balancer.py',
        old='and not self._is_failing(best_local)',
        new='',
        feature='mesh_decisions',
    ),
)


def main() -> int:
    """Runs all mutations and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--only', default='', help='a part of the name of a guard'
    )
    options = parser.parse_args()
    chosen = [m for m in MUTATIONS if options.only in m.guard]
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
        f'without "{mutation.guard}": '
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
