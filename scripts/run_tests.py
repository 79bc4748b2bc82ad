"""Runs formatter, linter, type checker and scenarios, and counts them."""

import argparse
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
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
        print('== known failures, not run:')
        print(KNOWN_RED.read_text())
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not ok else 0


def _run_scenarios(seeds: int) -> tuple[int, int]:
    print('== scenarios', flush=True)
    command = ['behave', '--tags=not @known_red', '--format=progress']
    process = subprocess.run(
        _module(command),
        cwd=ROOT,
        env={**os.environ, 'HEMLOCK_SEEDS': str(seeds)},
        stdout=subprocess.PIPE,
        text=True,
    )
    print(process.stdout)
    match = SCENARIOS_LINE.search(process.stdout)
    if match is None:
        return 0, 1
    ok, bad = int(match[1]), int(match[2]) + int(match[3] or 0)
    if process.returncode and not bad:
        bad = 1
    return ok, bad


def _module(command: list[str]) -> list[str]:
    return [sys.executable, '-m', *command]


if __name__ == '__main__':
    sys.exit(main())
