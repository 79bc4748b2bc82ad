"""Measures the member table at scale; prints one JSON line a case.

Processor time is that of this process. The messages of a domain's return are
counted in a simulated relay tree in virtual time, without a network.
"""

import argparse
import gc
import json
import random
import time
import tracemalloc

import attrs

from hemlockgrade import configuration
from hemlockgrade import membership
from hemlockgrade import model
from hemlockgrade import routing
from hemlockgrade.wire import control_pb2

DOMAINS = 11
FAN_OUT = 8
ROOTS = 3
BATCH_S = 0.2
CHANGES_PER_S = 50


def make_target(number, domain=None, incarnation=1_700_000_000_000):
    host = f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}'
    return model.Target(
        target_id=f'target-{number:05d}',
        service=f'service-{number % 700}',
        version='v1',
        failure_domain=domain or f'domain-{number % DOMAINS}',
        admission_address=f'{host}:1',
        slots=18,
        incarnation=incarnation,
        daemon_id=f'daemon-{number:05d}',
        boot_id=f'{number:032x}',
    )


def measure_table(size, seconds):
    """Restarts, drains and suspicions at 50 changes per second."""
    generator = random.Random(1)
    gc.collect()
    tracemalloc.start()
    table = membership.MemberTable('domain-0')
    targets = [make_target(i) for i in range(size)]
    table.merge(targets, 0.0)
    table_bytes = tracemalloc.get_traced_memory()[0]
    for second in range(60):
        churn(table, generator, size, float(second), CHANGES_PER_S)
    after_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    begun = time.process_time()
    other = membership.MemberTable('domain-0')
    other.merge(targets, 0.0)
    full_s = time.process_time() - begun
    begun = time.process_time()
    other.merge(targets, 0.0)
    repeated_s = time.process_time() - begun
    begun = time.process_time()
    changes = sum(
        churn(table, generator, size, 60.0 + second, CHANGES_PER_S)
        for second in range(seconds)
    )
    churn_s = time.process_time() - begun
    routes_full_s, routes_changed_s = measure_routes(table)
    return {
        'bench': 'membership_table',
        'targets': size,
        'table_mb': round(table_bytes / 2**20, 2),
        'table_mb_after_60_s_of_churn': round(after_bytes / 2**20, 2),
        'first_full_merge_ms': round(full_s * 1000, 2),
        'repeated_full_merge_ms': round(repeated_s * 1000, 2),
        'changes_per_s': round(changes / seconds, 1),
        'core_share_percent': round(churn_s / seconds * 100, 3),
        'routes_full_ms': round(routes_full_s * 1000, 2),
        'routes_after_10_changes_ms': round(routes_changed_s * 1000, 2),
    }


def measure_routes(table):
    """Builds the routes to 20 services, wholly and after ten changes."""
    labels = {
        kind.value: model.Label(name=kind.value, kind=kind, members=('*',))
        for kind in model.LabelKind
    }
    selectors = {
        f's{i}': model.Selector(
            name=f's{i}',
            proxies='proxy',
            targets='target',
            service=f'service-{i}',
            routes=(model.Route(path_prefix=f'/s{i}'),),
            shares_by_version={'v1': 100},
        )
        for i in range(20)
    }
    settings = configuration.Configuration(
        labels_by_name=labels, selectors_by_name=selectors
    )
    targets = table.targets_by_id
    begun = time.process_time()
    routes = routing.RoutingTable.build(settings, targets, 'p', None)
    full_s = time.process_time() - begun
    changed = list(targets.values())[:10]
    begun = time.process_time()
    for _ in range(20):
        routing.RoutingTable.build(settings, targets, 'p', routes, changed)
    return full_s, (time.process_time() - begun) / 20


def churn(table, generator, size, now, count):
    """Applies one second of changes and four ticks; returns the changes."""
    changed = 0
    for number in range(count):
        target = table.targets_by_id.get(
            f'target-{generator.randrange(size):05d}'
        )
        if target is None:
            continue
        kind = number % 3
        incarnation = target.incarnation + 1
        if kind == 0:
            entry = attrs.evolve(
                target, incarnation=incarnation, state=membership.ALIVE
            )
            changed += len(table.merge([entry], now))
        elif kind == 1:
            entry = attrs.evolve(target, state=membership.DRAINING)
            changed += len(table.merge([entry], now))
        else:
            changed += len(
                table.suspect(
                    target.target_id,
                    target.incarnation,
                    f'd{generator.randrange(100)}',
                    'refused',
                    now,
                )
            )
    for tick in range(4):
        changed += len(table.expire(now + tick / 4))
    return changed


def wire_bytes(target):
    """Returns the size of an entry in a batch of the wire protocol."""
    member = control_pb2.Member(
        target_id=target.target_id,
        service=target.service,
        version=target.version,
        failure_domain=target.failure_domain,
        admission_address=target.admission_address,
        slots=target.slots,
        incarnation=target.incarnation,
        state=int(target.state),
        daemon_id=target.daemon_id,
        boot_id=target.boot_id,
    )
    return control_pb2.MemberBatch(members=[member]).ByteSize()


ENTRY_BYTES = wire_bytes(make_target(5000))


@attrs.define(eq=False)
class Node:
    """A daemon in the relay tree, with its batches to neighbours."""

    table: membership.MemberTable
    neighbours: list['Node'] = attrs.field(factory=list)
    pending: dict['Node', dict[str, model.Target]] = attrs.field(factory=dict)
    received: int = 0
    sent: int = 0
    sent_entries: int = 0
    received_entries: int = 0
    sent_in_second: dict[int, int] = attrs.field(factory=dict)

    def learn(self, entries, now, sender=None):
        for entry in self.table.merge(entries, now):
            for neighbour in self.neighbours:
                if neighbour is not sender:
                    batch = self.pending.setdefault(neighbour, {})
                    batch[entry.target_id] = entry

    def flush(self, now):
        pending, self.pending = self.pending, {}
        for neighbour, batch in pending.items():
            self.sent += 1
            self.sent_entries += len(batch)
            second = int(now)
            self.sent_in_second[second] = (
                self.sent_in_second.get(second, 0) + len(batch) * ENTRY_BYTES
            )
            yield neighbour, list(batch.values())


def build_domain(count):
    """Returns the nodes of one domain, its roots first."""
    nodes = [Node(membership.MemberTable('domain-0')) for _ in range(count)]
    roots = nodes[:ROOTS]
    for root in roots:
        root.neighbours += [r for r in roots if r is not root]
    for index, node in enumerate(nodes[ROOTS:]):
        parent = nodes[index // FAN_OUT]
        parent.neighbours.append(node)
        node.neighbours.append(parent)
    return nodes


def measure_return(count, spread_s):
    """Counts the messages until all daemons of a domain know each other."""
    generator = random.Random(1)
    nodes = build_domain(count)
    outside = Node(membership.MemberTable('domain-1'))
    nodes[0].neighbours.append(outside)
    announcements = sorted(
        (generator.uniform(0.0, spread_s), i) for i in range(count)
    )
    begun = time.process_time()
    now = 0.0
    complete_at = None
    while complete_at is None:
        now += BATCH_S
        while announcements and announcements[0][0] <= now:
            _, index = announcements.pop(0)
            nodes[index].learn([make_target(index, 'domain-0')], now)
        moved = [
            (node, neighbour, batch)
            for node in nodes
            for neighbour, batch in node.flush(now)
        ]
        for sender, receiver, batch in moved:
            receiver.received += 1
            receiver.received_entries += len(batch)
            receiver.learn(batch, now, sender)
        known = min(len(n.table.targets_by_id) for n in [*nodes, outside])
        if known == count:
            complete_at = now
    elapsed_s = time.process_time() - begun
    return {
        'bench': 'domain_return',
        'announcements': count,
        'entry_bytes': ENTRY_BYTES,
        'spread_s': spread_s,
        'complete_after_s': round(complete_at, 1),
        'messages': sum(n.sent for n in nodes),
        'entries': sum(n.sent_entries for n in nodes),
        'most_messages_sent_by_a_node': max(n.sent for n in nodes),
        'most_kb_sent_by_a_node_in_a_second': round(
            max(max(n.sent_in_second.values(), default=0) for n in nodes)
            / 1000,
            1,
        ),
        'kb_received_by_a_leaf': nodes[-1].received_entries
        * ENTRY_BYTES
        / 1000,
        'messages_to_one_other_domain': outside.received,
        'seconds_at_2_kb_per_s_a_child': round(
            max(0, count * ENTRY_BYTES - 16_000) / 2000, 1
        ),
        'processor_ms_per_daemon': round(elapsed_s * 1000 / count, 2),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=int, default=60)
    options = parser.parse_args()
    for size in (820, 2460, 8200):
        result = measure_table(size, options.seconds)
        print(json.dumps(result), flush=True)
    for spread_s in (1.0, 8.0):
        print(json.dumps(measure_return(745, spread_s)), flush=True)


if __name__ == '__main__':
    main()
