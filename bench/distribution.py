"""Convergence time and cost of a change in trees of daemons on loopback.

Prints one line of JSON a case. All daemons of a tree share one process, so
the times include waiting for its one processor core; processor time and
bytes a change are sums over all daemons. Bytes are those of the messages,
without the framing of HTTP/2 and TCP.

Usage: python bench/distribution.py [--changes N] [--sizes 30,100,300]
"""

import argparse
import asyncio
import contextlib
import json
import resource
import sys
import time

import attrs
from loguru import logger

from hemlockgrade import serialization
from standins import relay_nodes

ROOTS = 3
LIMIT_S = 60.0
CHANGE_BYTES = 400


def change(number):
    """A change of about the size that the design assumes."""
    return relay_nodes.label_change(number, ['h' * (CHANGE_BYTES - 130)])


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def milliseconds(values):
    return {
        'p50_ms': round(percentile(values, 0.5) * 1000, 1),
        'p99_ms': round(percentile(values, 0.99) * 1000, 1),
        'max_ms': round(max(values) * 1000, 1),
    }


def processor_s():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class Arrivals:
    """Notes when each daemon has reached each version."""

    def __init__(self, nodes):
        self.at_by_key = {}
        for node in nodes:
            node.configuration.subscribe(
                lambda c, changes, name=node.name: self._note(name, c.version)
            )

    def _note(self, name, version):
        now = time.perf_counter()
        while version and (name, version) not in self.at_by_key:
            self.at_by_key[name, version] = now
            version -= 1

    def latencies(self, names, version, since):
        return [self.at_by_key[name, version] - since for name in names]


async def append(log, nodes):
    log.append(change(log.version + 1))
    since = time.perf_counter()
    version = log.version
    await relay_nodes.until(
        lambda: all(node.version >= version for node in nodes), LIMIT_S
    )
    return version, since


async def run_case(size, fan_out, changes):
    """Measures a tree at rest, a tree with changes and one with a loss."""
    async with contextlib.AsyncExitStack() as stack:
        log = relay_nodes.MemoryLog()
        started = time.perf_counter()
        nodes = await relay_nodes.start_tree(stack, size, ROOTS, log, fan_out)
        joined_s = time.perf_counter() - started
        arrivals = Arrivals(nodes)
        await append(log, nodes)
        idle = await measure_idle(nodes)
        case = {'daemons': size, 'fan_out': fan_out}
        print_case(
            'idle',
            case,
            joined_s=round(joined_s, 2),
            depth=max(
                len(n.uplink.position.ancestors) for n in nodes if n.uplink
            ),
            bytes_per_s_per_daemon=round(idle['bytes'] / size, 1),
            core_share_per_daemon=round(idle['processor_s'] / size, 5),
        )
        await measure_changes(case, log, nodes, arrivals, changes, idle)
        await measure_burst(case, log, nodes, arrivals)
        await measure_loss(case, log, nodes, arrivals)


async def measure_idle(nodes, duration_s=5.0):
    sent, used = bytes_sent(nodes), processor_s()
    await asyncio.sleep(duration_s)
    return {
        'bytes': (bytes_sent(nodes) - sent) / duration_s,
        'processor_s': (processor_s() - used) / duration_s,
    }


def bytes_sent(nodes):
    return sum(
        node.server.bytes_sent + (node.uplink.bytes_sent if node.uplink else 0)
        for node in nodes
    )


async def measure_changes(case, log, nodes, arrivals, changes, idle):
    sent, used = bytes_sent(nodes), processor_s()
    started = time.perf_counter()
    latencies = []
    names = [node.name for node in nodes]
    for _ in range(changes):
        version, since = await append(log, nodes)
        latencies += arrivals.latencies(names, version, since)
        await asyncio.sleep(0.05)
    took = time.perf_counter() - started
    sent = bytes_sent(nodes) - sent - idle['bytes'] * took
    used = processor_s() - used - idle['processor_s'] * took
    print_case(
        'change',
        case,
        changes=changes,
        **milliseconds(latencies),
        bytes_per_change=round(sent / changes),
        bytes_per_change_per_daemon=round(sent / changes / case['daemons']),
        processor_ms_per_change=round(used / changes * 1000, 2),
        processor_ms_per_change_per_daemon=round(
            used / changes / case['daemons'] * 1000, 3
        ),
    )


async def measure_burst(case, log, nodes, arrivals, changes=100, rate=10.0):
    """Ten changes a second, the largest burst planned for."""
    sent, used = bytes_sent(nodes), processor_s()
    sent_by_name = {node.name: bytes_sent([node]) for node in nodes}
    started = time.perf_counter()
    appended = []
    for number in range(changes):
        due = started + number / rate
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        log.append(change(log.version + 1))
        appended.append((log.version, time.perf_counter()))
    last = log.version
    await relay_nodes.until(
        lambda: all(node.version >= last for node in nodes), LIMIT_S
    )
    took = time.perf_counter() - started
    names = [node.name for node in nodes]
    latencies = [
        latency
        for version, since in appended
        for latency in arrivals.latencies(names, version, since)
    ]
    per_daemon = (bytes_sent(nodes) - sent) / took / case['daemons']
    busiest = max(bytes_sent([n]) - sent_by_name[n.name] for n in nodes)
    share = (processor_s() - used) / took
    print_case(
        'burst',
        case,
        changes_per_s=rate,
        **milliseconds(latencies),
        bytes_per_s_per_daemon=round(per_daemon),
        bytes_per_s_busiest=round(busiest / took),
        core_share_per_daemon=round(share / case['daemons'], 5),
    )


async def measure_loss(case, log, nodes, arrivals):
    """Kills an inner relay at the moment of a change."""
    inner = [n for n in nodes if n.uplink and n.server.children]
    if not inner:
        return
    relay = max(inner, key=lambda node: len(node.server.children))
    children = relay.server.children
    rest = [node for node in nodes if node is not relay]
    task = asyncio.create_task(append(log, rest))
    await asyncio.sleep(0)
    await relay.kill()
    version, since = await task
    names = [node.name for node in rest]
    print_case(
        'relay_killed',
        case,
        children_lost=len(children),
        **milliseconds(arrivals.latencies(names, version, since)),
        children_max_ms=milliseconds(
            arrivals.latencies(children, version, since)
        )['max_ms'],
    )
    # The change may have passed the relay before it was killed, so a second
    # one is appended while its children are without a parent.
    inner = [n for n in rest if n.uplink and n.server.children]
    relay = max(inner, key=lambda node: len(node.server.children))
    children = relay.server.children
    rest = [node for node in rest if node is not relay]
    await relay.kill()
    version, since = await append(log, rest)
    names = [node.name for node in rest]
    print_case(
        'change_after_kill',
        case,
        children_lost=len(children),
        **milliseconds(arrivals.latencies(names, version, since)),
        children_max_ms=milliseconds(
            arrivals.latencies(children, version, since)
        )['max_ms'],
    )


async def run_cold_start(size, fan_out, selectors=700, targets=2000):
    """Starts a tree whose daemons need a whole copy of everything."""
    async with contextlib.AsyncExitStack() as stack:
        log = relay_nodes.MemoryLog()
        for number in range(1, selectors + 1):
            log.append(selector_like_change(number))
        started = time.perf_counter()
        used = processor_s()
        nodes = await relay_nodes.start_tree(
            stack,
            size,
            ROOTS,
            log,
            fan_out,
            [relay_nodes.target(f'target-{i}') for i in range(targets)],
        )
        await relay_nodes.until(
            lambda: all(n.version == log.version for n in nodes), LIMIT_S
        )
        configured_s = time.perf_counter() - started
        await relay_nodes.until(
            lambda: all(len(n.members.targets_by_id) == targets for n in nodes),
            LIMIT_S,
        )
        snapshot = nodes[0].configuration.configuration
        print_case(
            'cold_start',
            {'daemons': size, 'fan_out': fan_out},
            snapshot_bytes=len(serialization.to_json(snapshot)),
            targets=targets,
            configured_s=round(configured_s, 2),
            members_s=round(time.perf_counter() - started, 2),
            processor_ms_per_daemon=round(
                (processor_s() - used) / size * 1000, 1
            ),
        )


def selector_like_change(number):
    """A change of its own name, so that the snapshot grows with each one."""
    name = f'label-{number}'
    body = {'name': name, 'kind': 'target', 'members': ['h' * 300]}
    return attrs.evolve(relay_nodes.label_change(number), name=name, body=body)


def print_case(name, case, **fields):
    print(json.dumps({'case': name, **case, **fields}), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=50)
    parser.add_argument('--sizes', default='30,100,300')
    parser.add_argument('--fan-outs', default='8,32')
    options = parser.parse_args()
    logger.remove()
    logger.add(sys.stderr, level='ERROR')
    for size in map(int, options.sizes.split(',')):
        for fan_out in map(int, options.fan_outs.split(',')):
            asyncio.run(run_case(size, fan_out, options.changes))
            asyncio.run(run_cold_start(size, fan_out))


if __name__ == '__main__':
    main()
