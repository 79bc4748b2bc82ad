"""Runs formatter, linter, type checker and scenarios, and counts them."""

import argparse
import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
# The scenarios over processes start about ten each; the machine has 10 cores.
PARALLEL_FEATURES = 4
CHECKS = (
    ('format', ['ruff', 'format', '--check', '.']),
    ('lint', ['ruff', 'check', '.']),
    ('types', ['mypy', '-p', 'hemlockgrade']),
)
SCENARIOS_LINE = re.compile(
    r'^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?', re.MULTILINE
)


def main() -> int:
    """Runs everything and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--seeds', type=int, default=25, help='generated histories a property'
    )
    options = parser.parse_args()
    passed = failed = 0
    for name, command in CHECKS:
        print(f'== {name}', flush=True)
        if subprocess.run(_module(command), cwd=ROOT).returncode:
            failed += 1
        else:
            passed += 1
    ok, bad = _run_scenarios(options.seeds)
    passed += ok
    failed += bad
    if KNOWN_RED.exists():
        print('== known failures:')
        print(KNOWN_RED.read_text())
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not ok else 0


def _run_scenarios(seeds: int) -> tuple[int, int]:
    """Runs each feature in a process of its own, a few at a time."""
    print('== scenarios', flush=True)
    features = sorted((ROOT / 'features').glob('*.feature'))
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        counts = list(pool.map(lambda f: _run_feature(f, seeds), features))
    return sum(ok for ok, _ in counts), sum(bad for _, bad in counts)


def _run_feature(feature: pathlib.Path, seeds: int) -> tuple[int, int]:
    command = ['behave', '--tags=not @known_red', '--format=plain']
    process = subprocess.run(
        _module([*command, str(feature.relative_to(ROOT))]),
        cwd=ROOT,
        env={**os.environ, 'HEMLOCK_SEEDS': str(seeds)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    match = SCENARIOS_LINE.search(process.stdout)
    if match is None:
        print(process.stdout)
        return 0, 1
    ok, bad = int(match[1]), int(match[2]) + int(match[3] or 0)
    if process.returncode and not bad:
        bad = 1
    print(f'{feature.name}: {ok} passed, {bad} failed or in error', flush=True)
    if bad:
        print(process.stdout)
    return ok, bad


def _module(command: list[str]) -> list[str]:
    return [sys.executable, '-m', *command]


if __name__ == '__main__':
    sys.exit(main())
