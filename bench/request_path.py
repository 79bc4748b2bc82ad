"""Measures latency and processor time that the two daemons of a request add.

Usage: `python bench/request_path.py [--seconds 20] [--rounds 3]`.

The target, the daemon of the callers and the daemon on the target's host are
separate processes. Each round sends requests on three paths in turn, so that
all paths meet the same state of the machine: directly to the target, through
both daemons, and through two processes that only copy bytes. The last path
shows what two more processes cost in any case. Arrivals are open loop (Poisson,
with a seed). A latency starts at the arrival and includes the wait for a free
connection. Half of the requests are POST. Prints one line of JSON per rate and
path.
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

# Request rates at which each path is measured: the planned rates of one daemon.
# It gets 122 requests per second of callers; each request passes two daemons,
# so that one daemon processes 244 per second.
REQUESTS_PER_S = (122, 244)
# Number of connections over which requests are sent on a path.
CONNECTIONS = 16
SLOTS = 18
RESPONSE_BYTES = 200
# Largest latency that both daemons together may add at the 99th percentile, in
# milliseconds.
MAX_ADDED_P99_MS = 1.8
# Time for which each path gets requests before the measurement, in seconds.
WARM_UP_S = 2.0
ROOT = pathlib.Path(__file__).resolve().parent.parent


@attrs.define
class Load:
    """Open-loop load on one address over a fixed number of connections.

    Attributes:
        address: `ip:port` to which requests are sent.
        latencies_s: Latencies of all requests, in seconds.
        failed: Number of responses with a status other than 200.
    """

    address: str
    latencies_s: list[float] = attrs.field(factory=list)
    failed: int = 0
    _idle_connections: collections.deque = attrs.field(
        factory=collections.deque
    )
    _waiting_futures: collections.deque = attrs.field(factory=collections.deque)

    async def run(self, rate: float, seconds: float, source: random.Random):
        """Sends requests and waits for the responses.

        Args:
            rate: Mean number of requests per second.
            seconds: Time for which requests are sent.
            source: Source of random numbers.
        """
        host, port = self.address.split(':')
        for _ in range(CONNECTIONS):
            self._idle_connections.append(
                await asyncio.open_connection(host, int(port))
            )
        tasks = set()
        started_at = due_at = time.perf_counter()
        while due_at < started_at + seconds:
            due_at += source.expovariate(rate)
            await asyncio.sleep(due_at - time.perf_counter())
            task = asyncio.ensure_future(
                self._send_request(source.random() < 0.5)
            )
            tasks.add(task)
        await asyncio.gather(*tasks)
        for _, writer in self._idle_connections:
            writer.close()
        self._idle_connections.clear()

    async def _send_request(self, post: bool):
        arrived_at = time.perf_counter()
        if self._idle_connections:
            connection = self._idle_connections.popleft()
        else:
            future = asyncio.get_running_loop().create_future()
            self._waiting_futures.append(future)
            connection = await future
        reader, writer = connection
        method = 'POST' if post else 'GET'
        length_header = 'content-length: 0\r\n' if post else ''
        head = f'{method} /b HTTP/1.1\r\nhost: x\r\n{length_header}\r\n'
        writer.write(head.encode())
        response = await reader.readuntil(b'\r\n\r\n')
        size = int(
            response.lower().partition(b'content-length: ')[2].split()[0]
        )
        await reader.readexactly(size)
        self.latencies_s.append(time.perf_counter() - arrived_at)
        self.failed += not response.startswith(b'HTTP/1.1 200')
        if self._waiting_futures:
            self._waiting_futures.popleft().set_result(connection)
        else:
            self._idle_connections.append(connection)


def percentile_ms(latencies_s: list[float], fraction: float) -> float:
    """Returns a percentile of latencies, in milliseconds.

    Args:
        latencies_s: The latencies, in seconds.
        fraction: Fraction of the latencies up to the percentile, from 0 to 1.
    """
    ordered = sorted(latencies_s)
    index = min(math.ceil(fraction * len(ordered)), len(ordered)) - 1
    return round(ordered[index] * 1000, 3)


async def relay(address: str):
    """Copies bytes between callers and an address until it is cancelled.

    Prints its port as a line of JSON.

    Args:
        address: `ip:port` to which the bytes are copied.
    """

    class CopyProtocol(asyncio.Protocol):
        """One of the two connections of a relayed connection.

        Attributes:
            other_transport: Transport of the other connection; None until it
                is open.
            buffered: Data received before the other connection was open.
        """

        def __init__(self, other_transport=None):
            self.other_transport, self.buffered = other_transport, []

        def connection_made(self, transport):
            self.transport = transport
            if self.other_transport is None:
                asyncio.ensure_future(self.connect())

        async def connect(self):
            host, port = address.split(':')
            loop = asyncio.get_running_loop()
            other_transport, _ = await loop.create_connection(
                lambda: CopyProtocol(self.transport), host, int(port)
            )
            self.other_transport = other_transport
            other_transport.writelines(self.buffered)

        def data_received(self, data):
            if self.other_transport is None:
                self.buffered.append(data)
            else:
                self.other_transport.write(data)

        def connection_lost(self, exc):
            if self.other_transport is not None:
                self.other_transport.close()

    loop = asyncio.get_running_loop()
    server = await loop.create_server(CopyProtocol, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({'port': port}), flush=True)
    await server.serve_forever()


@contextlib.contextmanager
def start_relay(*arguments: str):
    """Starts a relay process; yields the process and its address."""
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
    """Returns the processor time that a process has used, in seconds."""
    times = child.cpu_times()
    return times.user + times.system


async def measure(
    address_by_path: dict[str, str], process_by_name: dict, options
):
    """Sends requests on all paths at each rate and prints the results.

    Args:
        address_by_path: Addresses to which requests are sent.
        process_by_name: Processes whose processor time is measured while
            requests take the path through the daemons.
        options: Options of the command line.
    """
    for rate in REQUESTS_PER_S:
        load_by_path = {
            path: Load(address) for path, address in address_by_path.items()
        }
        cpu_s_by_name: dict[str, float] = collections.Counter()
        for number in range(options.rounds):
            for path, load in load_by_path.items():
                source = random.Random(rate * 100 + number)
                before = {
                    name: cpu_s(child)
                    for name, child in process_by_name.items()
                }
                await load.run(rate, options.seconds, source)
                if path == 'hops':
                    for name, child in process_by_name.items():
                        cpu_s_by_name[name] += cpu_s(child) - before[name]
        report(rate, load_by_path, cpu_s_by_name)


def report(rate: float, load_by_path: dict, cpu_s_by_name: dict):
    """Prints the results of one rate."""
    percentiles_by_path: dict[str, dict[str, float]] = {}
    for path, load in load_by_path.items():
        percentiles_by_path[path] = {
            f'p{round(fraction * 100)}_ms': percentile_ms(
                load.latencies_s, fraction
            )
            for fraction in (0.5, 0.99)
        }
        line = {'rate': rate, 'path': path, 'requests': len(load.latencies_s)}
        print(
            json.dumps(
                {**line, 'failed': load.failed, **percentiles_by_path[path]}
            )
        )
    added_by_daemons, added_by_copies = (
        {
            name: round(
                percentiles_by_path[path][name]
                - percentiles_by_path['direct'][name],
                3,
            )
            for name in percentiles_by_path['direct']
        }
        for path in ('hops', 'copies')
    )
    requests = len(load_by_path['hops'].latencies_s)
    cpu_ms_by_key = {
        f'{name}_cpu_ms_a_request': round(used_s / requests * 1000, 3)
        for name, used_s in cpu_s_by_name.items()
    }
    is_limit_met = added_by_daemons['p99_ms'] <= MAX_ADDED_P99_MS
    print(
        json.dumps(
            {'rate': rate, 'path': 'added', **added_by_daemons, **cpu_ms_by_key}
        )
    )
    line = {'rate': rate, 'path': 'copies added', **added_by_copies}
    print(json.dumps({**line, 'load_average': os.getloadavg()[0]}))
    print(json.dumps({'rate': rate, 'limit_met': is_limit_met}), flush=True)


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
        *('--answer-bytes', str(RESPONSE_BYTES)),
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
        'the daemon of the callers knows the target',
    )
    return target.addresses['http']


async def main(options):
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        system = stack.enter_context(cluster.Cluster(pathlib.Path(directory)))
        target_address = start_daemons(system)
        script = str(pathlib.Path(__file__).resolve())
        relay_address = target_address
        for _ in range(2):
            _, relay_address = stack.enter_context(
                start_relay(script, '--role', 'relay', '--to', relay_address)
            )
        daemons = system.daemon_by_name
        address_by_path = {
            'direct': target_address,
            'copies': relay_address,
            'hops': daemons['callers'].addresses['proxy_address'],
        }
        for address in address_by_path.values():
            await Load(address).run(
                REQUESTS_PER_S[-1], WARM_UP_S, random.Random(0)
            )
        processes = {
            **daemons,
            'target': system.target_by_id['server-target'],
        }
        process_by_name = {
            name: psutil.Process(process.popen.pid)
            for name, process in processes.items()
        }
        await measure(address_by_path, process_by_name, options)


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
