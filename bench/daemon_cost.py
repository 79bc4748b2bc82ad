"""Processor time, memory and calls to the store of one daemon, by their number.

Usage: `python bench/daemon_cost.py [--sizes 3 10 30] [--seconds 10]`. For each
size it starts the store's stand-in and that many daemons, each with a target
that announces itself, and measures them idle and then under changes of a label
at a fixed rate. Prints one JSON line a size and phase. The slopes over the
sizes are what docs/CAPACITY.md works with.
"""

import argparse
import json
import pathlib
import tempfile
import time
import urllib.request

import psutil

from standins import cluster

CHANGES_PER_S = 1.0
SETTLE_S = 3.0


def start(system: cluster.Cluster, size: int):
    """Starts the store, daemons and targets."""
    system.start_store()
    names = [f'h{number}' for number in range(size)]
    for name in names:
        system.start_daemon(name, 'a')
    system.wait_for_daemons()
    for name in names:
        system.start_target(f't-{name}', 'booking', 'v1', name)
    cluster.wait_until(
        lambda: len(targets(system)) == size, 'all targets are known', 90.0
    )
    time.sleep(SETTLE_S)


def targets(system: cluster.Cluster) -> list:
    return system.get_administration('h0', '/v1/targets')['targets']


def put_label(system: cluster.Cluster, number: int):
    address = system.daemon_by_name['h0'].addresses['administration_address']
    body = {'name': 'extra', 'kind': 'proxy', 'members': [f'none-{number}']}
    call = urllib.request.Request(
        f'http://{address}/v1/labels/extra',
        data=json.dumps(body).encode(),
        method='PUT',
        headers={'authorization': f'Bearer {cluster.TOKEN}'},
    )
    urllib.request.urlopen(call, timeout=10).close()


def usage(system: cluster.Cluster) -> tuple[float, float, int]:
    """Returns processor seconds and MB of all daemons, and calls made."""
    seconds = memory = 0.0
    for daemon in system.daemon_by_name.values():
        process = psutil.Process(daemon.popen.pid)
        times = process.cpu_times()
        seconds += times.user + times.system
        memory += process.memory_info().rss / 1e6
    address = system.store_process.addresses['http']
    with urllib.request.urlopen(f'http://{address}/.control/calls') as answer:
        calls = sum(json.load(answer).values())
    return seconds, memory, calls


def measure(system: cluster.Cluster, phase: str, seconds: float):
    size = len(system.daemon_by_name)
    before = usage(system)
    began = time.monotonic()
    number = 0
    while time.monotonic() - began < seconds:
        if phase == 'changes':
            put_label(system, number)
            number += 1
        time.sleep(1 / CHANGES_PER_S)
    took = time.monotonic() - began
    after = usage(system)
    line = {
        'daemons': size,
        'phase': phase,
        'changes': number,
        'core_share': round((after[0] - before[0]) / took / size, 5),
        'mb': round(after[1] / size, 1),
        'store_calls_a_s': round((after[2] - before[2]) / took / size, 3),
    }
    print(json.dumps(line), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='*', default=[3, 10, 30])
    parser.add_argument('--seconds', type=float, default=10.0)
    options = parser.parse_args()
    for size in options.sizes:
        with (
            tempfile.TemporaryDirectory() as directory,
            cluster.Cluster(pathlib.Path(directory)) as system,
        ):
            start(system, size)
            for phase in ('idle', 'changes'):
                measure(system, phase, options.seconds)


if __name__ == '__main__':
    main()
