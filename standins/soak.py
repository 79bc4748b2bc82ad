"""Randomized soak: real processes under signals, changes and faults.

`python -m standins.soak --seeds 1-50` starts a store, daemons and servers for
each seed, sends requests on every host, plays the schedule of the seed and
checks what callers and servers saw. It prints one line a seed. The logs of a
seed with a violation are kept in the directory that is printed.
"""

import argparse
import asyncio
import collections
import concurrent.futures
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile

from standins import cluster
from standins import soak_run
from standins import soak_schedule

# Longest time of a run beyond the time of its events, in seconds.
MAX_RUN_S = 90.0


def run_seed(seed: int, seconds: float, restores: int) -> bool:
    """Runs one seed, prints its line and returns whether it is in order."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f'hemlock-soak-{seed}-'))
    schedule = soak_schedule.draw_schedule(seed, seconds, restores)
    soak = soak_run.Soak(schedule, directory)

    async def run():
        async with asyncio.timeout(MAX_RUN_S + seconds):
            await soak.run()

    # Threads that start processes end with the event loop, before the mesh.
    with soak.mesh:
        asyncio.run(run())
    soak.check_requests()
    broken = [v for v in soak.violations if not v.allowed]
    line = _describe(schedule, soak, broken)
    if not soak.violations:
        print(line, flush=True)
        shutil.rmtree(directory)
        return True
    print(f'{line} logs={directory}', flush=True)
    for name, records in (
        ('violations', soak.violations),
        ('attempts', soak.history.attempts),
        ('faults', soak.history.faults + soak.history.waits),
    ):
        with (directory / f'{name}.txt').open('w') as log:
            log.writelines(f'{record}\n' for record in records)
    return not broken


def _describe(schedule, soak, broken) -> str:
    """Returns the line of a seed.

    In it, `calm` is the number of requests that the checks for planned work
    cover, and `waits` that of the times in which a process had no processor.
    """
    attempts = [a for a in soak.history.attempts if a.ended_at]
    answers = collections.Counter(a.status or a.outcome for a in attempts)
    fields = {
        'seed': schedule.seed,
        'kind': 'planned' if schedule.planned_only else 'mixed',
        'hosts': len(schedule.domain_by_host),
        'events': len(schedule.events),
        'shutdowns': len(soak.history.terms),
        'answers': json.dumps(answers, separators=(',', ':')),
        'calm': sum(soak.history.is_calm(attempt) for attempt in attempts),
        'waits': len(soak.history.waits),
        'allowed': len(soak.violations) - len(broken),
        'violations': json.dumps(
            collections.Counter(v.kind for v in broken), separators=(',', ':')
        ),
    }
    return ' '.join(f'{name}={value}' for name, value in fields.items())


def main() -> int:
    """Runs the seeds and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--seeds',
        default='1-50',
        help='seeds such as 7 or 1-50; odd ones have planned work only',
    )
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument(
        '--seconds',
        type=float,
        default=20.0,
        help='time during which events start',
    )
    parser.add_argument(
        '--restores',
        type=int,
        default=0,
        help='returns of the store from an older copy in each run with faults',
    )
    options = parser.parse_args()
    # Without the handler, SIGTERM would leave the started processes behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    seeds: list[int] = []
    for part in options.seeds.split(','):
        first, _, last = part.partition('-')
        seeds += range(int(first), int(last or first) + 1)
    if len(seeds) == 1:
        succeeded = run_seed(seeds[0], options.seconds, options.restores)
        return 0 if succeeded else 1
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        codes = list(pool.map(lambda seed: _run_process(seed, options), seeds))
    print(f'{codes.count(0)} of {len(codes)} seeds without a violation')
    return 1 if any(codes) else 0


def _run_process(seed: int, options: argparse.Namespace) -> int:
    return subprocess.run(
        [sys.executable, '-m', 'standins.soak', '--seeds', str(seed)]
        + ['--seconds', str(options.seconds)]
        + ['--restores', str(options.restores)],
        cwd=cluster.ROOT,
    ).returncode


if __name__ == '__main__':
    sys.exit(main())
