"""Measures processor time, memory and store calls per daemon.

Usage: `python bench/daemon_cost.py [--sizes 3 10 30] [--seconds 10]`.

For each number of daemons, starts the stand-in of the store, the daemons, and
one target per daemon that sends heartbeats. Measures the daemons first idle,
then while a label changes at a fixed rate. Prints one line of JSON per number
of daemons and phase. docs/CAPACITY.md is based on the slopes over the numbers
of daemons.
"""

import argparse
import json
import pathlib
import tempfile
import time
import urllib.request

import psutil

from standins import cluster

# Label changes per second in the phase `changes`.
CHANGES_PER_S = 1.0
# Wait after the start, in seconds, so that starting is not measured.
SETTLE_S = 3.0


def start(system: cluster.Cluster, daemon_count: int):
    """Starts the store, the daemons and one target per daemon."""
    system.start_store()
    names = [f'h{number}' for number in range(daemon_count)]
    for name in names:
        system.start_daemon(name, 'a')
    system.wait_for_daemons()
    for name in names:
        system.start_target(f't-{name}', 'booking', 'v1', name)
    cluster.wait_until(
        lambda: len(list_targets(system)) == daemon_count,
        'all targets are known to the first daemon',
        90.0,
    )
    time.sleep(SETTLE_S)


def list_targets(system: cluster.Cluster) -> list:
    """Returns the targets that the first daemon knows."""
    return system.get_administration('h0', '/v1/targets')['targets']


def change_label(system: cluster.Cluster, number: int):
    """Changes the members of a label that no selector uses."""
    address = system.daemon_by_name['h0'].addresses['administration_address']
    body = {'name': 'extra', 'kind': 'proxy', 'members': [f'none-{number}']}
    request = urllib.request.Request(
        f'http://{address}/v1/labels/extra',
        data=json.dumps(body).encode(),
        method='PUT',
        headers={'authorization': f'Bearer {cluster.TOKEN}'},
    )
    urllib.request.urlopen(request, timeout=10).close()


def read_usage(system: cluster.Cluster) -> tuple[float, float, int]:
    """Returns processor seconds, MB and store calls of all daemons together."""
    cpu_s = memory_mb = 0.0
    for daemon in system.daemon_by_name.values():
        process = psutil.Process(daemon.popen.pid)
        times = process.cpu_times()
        cpu_s += times.user + times.system
        memory_mb += process.memory_info().rss / 1e6
    address = system.store_process.addresses['http']
    with urllib.request.urlopen(f'http://{address}/.control/calls') as response:
        calls = sum(json.load(response).values())
    return cpu_s, memory_mb, calls


def measure(system: cluster.Cluster, phase: str, seconds: float):
    """Measures one phase and prints the results per daemon."""
    daemon_count = len(system.daemon_by_name)
    before = read_usage(system)
    started_at = time.monotonic()
    number = 0
    while time.monotonic() - started_at < seconds:
        if phase == 'changes':
            change_label(system, number)
            number += 1
        time.sleep(1 / CHANGES_PER_S)
    elapsed_s = time.monotonic() - started_at
    after = read_usage(system)
    line = {
        'daemons': daemon_count,
        'phase': phase,
        'changes': number,
        'core_share': round(
            (after[0] - before[0]) / elapsed_s / daemon_count, 5
        ),
        'mb': round(after[1] / daemon_count, 1),
        'store_calls_a_s': round(
            (after[2] - before[2]) / elapsed_s / daemon_count, 3
        ),
    }
    print(json.dumps(line), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='*', default=[3, 10, 30])
    parser.add_argument('--seconds', type=float, default=10.0)
    options = parser.parse_args()
    for daemon_count in options.sizes:
        with (
            tempfile.TemporaryDirectory() as directory,
            cluster.Cluster(pathlib.Path(directory)) as system,
        ):
            start(system, daemon_count)
            for phase in ('idle', 'changes'):
                measure(system, phase, options.seconds)


if __name__ == '__main__':
    main()
