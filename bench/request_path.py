"""Latency that the two daemons of a call add, and their processor time.

Usage: `python bench/request_path.py [--seconds 20] [--rounds 3]`. Target, the
daemon of the callers and the daemon beside the target are separate processes.
Rounds with the target called directly alternate with rounds through both hops
and through two processes that only copy bytes, so that all meet the same state
of the machine; the copies show what two more processes cost in any case.
Arrivals are open loop (Poisson, seeded); a latency counts from the arrival,
waiting for a free connection included. Half of the requests are POST. Prints
one JSON line a rate and a path.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import math
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time

import attrs
import psutil

from standins import cluster

RATES = (122, 244)
CONNECTIONS = 16
SLOTS = 18
ANSWER_BYTES = 200
TARGET_MS_ADDED_P99 = 1.8
WARM_UP_S = 2.0
ROOT = pathlib.Path(__file__).resolve().parent.parent


@attrs.define
class Load:
    """Open-loop load on one address over a fixed number of connections."""

    address: str
    latencies_s: list[float] = attrs.field(factory=list)
    failed: int = 0
    _idle: collections.deque = attrs.field(factory=collections.deque)
    _waiting: collections.deque = attrs.field(factory=collections.deque)

    async def run(self, rate: float, seconds: float, source: random.Random):
        """Sends requests for some seconds and waits for the answers."""
        host, port = self.address.split(':')
        for _ in range(CONNECTIONS):
            self._idle.append(await asyncio.open_connection(host, int(port)))
        tasks = set()
        began = due = time.perf_counter()
        while due < began + seconds:
            due += source.expovariate(rate)
            await asyncio.sleep(due - time.perf_counter())
            task = asyncio.ensure_future(self._one(source.random() < 0.5))
            tasks.add(task)
        await asyncio.gather(*tasks)
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()

    async def _one(self, post: bool):
        arrived = time.perf_counter()
        if self._idle:
            connection = self._idle.popleft()
        else:
            free = asyncio.get_running_loop().create_future()
            self._waiting.append(free)
            connection = await free
        reader, writer = connection
        method = 'POST' if post else 'GET'
        length = 'content-length: 0\r\n' if post else ''
        head = f'{method} /b HTTP/1.1\r\nhost: x\r\n{length}\r\n'
        writer.write(head.encode())
        answer = await reader.readuntil(b'\r\n\r\n')
        size = int(answer.lower().partition(b'content-length: ')[2].split()[0])
        await reader.readexactly(size)
        self.latencies_s.append(time.perf_counter() - arrived)
        self.failed += not answer.startswith(b'HTTP/1.1 200')
        if self._waiting:
            self._waiting.popleft().set_result(connection)
        else:
            self._idle.append(connection)


def percentile_ms(latencies_s: list[float], share: float) -> float:
    ordered = sorted(latencies_s)
    index = min(math.ceil(share * len(ordered)), len(ordered)) - 1
    return round(ordered[index] * 1000, 3)


async def relay(address: str):
    """Copies bytes between its callers and an address."""

    class Copy(asyncio.Protocol):
        def __init__(self, other=None):
            self.other, self.early = other, []

        def connection_made(self, transport):
            self.transport = transport
            if self.other is None:
                asyncio.ensure_future(self.join())

        async def join(self):
            host, port = address.split(':')
            loop = asyncio.get_running_loop()
            far, _ = await loop.create_connection(
                lambda: Copy(self.transport), host, int(port)
            )
            self.other = far
            far.writelines(self.early)

        def data_received(self, data):
            if self.other is None:
                self.early.append(data)
            else:
                self.other.write(data)

        def connection_lost(self, exc):
            if self.other is not None:
                self.other.close()

    loop = asyncio.get_running_loop()
    server = await loop.create_server(Copy, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({'port': port}), flush=True)
    await server.serve_forever()


@contextlib.contextmanager
def process(*arguments: str):
    """Starts a process of the bench; yields it and its address."""
    child = subprocess.Popen(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
    )
    try:
        assert child.stdout is not None
        port = json.loads(child.stdout.readline())['port']
        yield psutil.Process(child.pid), f'127.0.0.1:{port}'
    finally:
        child.terminate()
        child.wait()


def cpu_s(child: psutil.Process) -> float:
    times = child.cpu_times()
    return times.user + times.system


async def measure(addresses: dict[str, str], hops: dict, options):
    for rate in RATES:
        loads = {path: Load(address) for path, address in addresses.items()}
        used_s: dict[str, float] = collections.Counter()
        for number in range(options.rounds):
            for path, load in loads.items():
                source = random.Random(rate * 100 + number)
                before = {name: cpu_s(child) for name, child in hops.items()}
                await load.run(rate, options.seconds, source)
                if path == 'hops':
                    for name, child in hops.items():
                        used_s[name] += cpu_s(child) - before[name]
        report(rate, loads, used_s)


def report(rate: float, loads: dict, used_s: dict):
    figures: dict[str, dict[str, float]] = {}
    for path, load in loads.items():
        figures[path] = {
            f'p{round(share * 100)}_ms': percentile_ms(load.latencies_s, share)
            for share in (0.5, 0.99)
        }
        line = {'rate': rate, 'path': path, 'requests': len(load.latencies_s)}
        print(json.dumps({**line, 'failed': load.failed, **figures[path]}))
    added, copies_added = (
        {
            name: round(figures[path][name] - figures['direct'][name], 3)
            for name in figures['direct']
        }
        for path in ('hops', 'copies')
    )
    requests = len(loads['hops'].latencies_s)
    cpu = {
        f'{name}_cpu_ms_a_request': round(used / requests * 1000, 3)
        for name, used in used_s.items()
    }
    met = added['p99_ms'] <= TARGET_MS_ADDED_P99
    print(json.dumps({'rate': rate, 'path': 'added', **added, **cpu}))
    line = {'rate': rate, 'path': 'copies added', **copies_added}
    print(json.dumps({**line, 'load_average': os.getloadavg()[0]}))
    print(json.dumps({'rate': rate, 'limit_met': met}), flush=True)


def start_daemons(system: cluster.Cluster) -> str:
    """Starts two daemons and a target; returns the target's address."""
    system.start_store()
    for name in ('callers', 'server'):
        system.start_daemon(name, 'a')
    system.wait_for_daemons()
    target = system.start_target(
        'server-target',
        'booking',
        'v1',
        'server',
        *('--answer-bytes', str(ANSWER_BYTES)),
        *('--keep-alive-s', '60', '--slots', str(SLOTS)),
    )
    content = {
        'labels': [
            {'name': 'all', 'kind': 'proxy', 'members': ['*']},
            {'name': 'targets', 'kind': 'target', 'members': ['*']},
        ],
        'selectors': [
            {
                'name': 'booking',
                'proxies': 'all',
                'targets': 'targets',
                'service': 'booking',
                'routes': [{'path_prefix': '/'}],
                'shares_by_version': {'v1': 100},
            }
        ],
    }
    path = system.directory / 'selectors.json'
    path.write_text(json.dumps(content))
    system.ctl_json('selectors', 'apply', str(path))
    cluster.wait_until(
        lambda: system.get_administration('callers', '/v1/explain?path=/b').get(
            'targets'
        ),
        'the callers know the target',
    )
    return target.addresses['http']


async def main(options):
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        system = stack.enter_context(cluster.Cluster(pathlib.Path(directory)))
        target_address = start_daemons(system)
        script = str(pathlib.Path(__file__).resolve())
        copies = target_address
        for _ in range(2):
            _, copies = stack.enter_context(
                process(script, '--role', 'relay', '--to', copies)
            )
        daemons = system.daemon_by_name
        addresses = {
            'direct': target_address,
            'copies': copies,
            'hops': daemons['callers'].addresses['proxy_address'],
        }
        for address in addresses.values():
            await Load(address).run(RATES[-1], WARM_UP_S, random.Random(0))
        processes = {
            **daemons,
            'target': system.target_by_id['server-target'],
        }
        hops = {
            name: psutil.Process(each.popen.pid)
            for name, each in processes.items()
        }
        await measure(addresses, hops, options)


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--role', default='')
    parser.add_argument('--to', default='')
    chosen = parser.parse_args()
    if chosen.role == 'relay':
        asyncio.run(relay(chosen.to))
    else:
        asyncio.run(main(chosen))
