"""Steps on the distribution of configuration and membership."""

import asyncio
import collections
import contextlib
import os
import random
import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hemlockgrade import configuration_task
from hemlockgrade import control_stream
from hemlockgrade import distribution
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import platform_api
from hemlockgrade import root_election
from hemlockgrade import root_relay
from hemlockgrade import serialization
from hemlockgrade import tree
from hemlockgrade.wire import control_pb2
from standins import relay_nodes

SEEDS = int(os.environ.get('HEMLOCK_SEEDS', '25'))
LAST_VERSION = 24


def generated(**arguments):
    """Runs a check on generated histories, the same ones each time."""

    def decorate(check):
        settings = hypothesis.settings(
            max_examples=SEEDS,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        return settings(hypothesis.given(**arguments)(check))

    return decorate


def check_steps(steps, first=0):
    """Checks that steps only go forward and skip nothing but by a snapshot."""
    version = first
    for after, numbers in steps:
        assert after > version, (after, version)
        if numbers:
            assert numbers == list(range(version + 1, after + 1)), steps
        version = after


# Changes in any order.


DELIVERIES = strategies.lists(
    strategies.one_of(
        strategies.lists(strategies.integers(1, LAST_VERSION), max_size=6),
        strategies.tuples(
            strategies.just('snapshot'), strategies.integers(0, LAST_VERSION)
        ),
    ),
    max_size=40,
)


@given('generated deliveries of a change log with losses and snapshots')
def deliveries(context):
    context.gaps = []

    @generated(history=DELIVERIES)
    def check(history):
        task = configuration_task.ConfigurationTask()
        steps, gaps = [], []
        task.subscribe(
            lambda c, changes: steps.append(
                (c.version, [change.number for change in changes])
            )
        )
        task.subscribe_gaps(gaps.append)
        for item in history:
            deliver(task, item)
            version = task.configuration.version
            assert task.configuration == relay_nodes.configuration_at(version)
            kept = task.changes_after(max(0, version - 1))
            assert kept is None or len(kept) <= 1
        check_steps(steps)
        context.gaps.append((history, gaps, task))

    context.check = check


def deliver(task, item):
    if isinstance(item, tuple):
        snapshot = relay_nodes.configuration_at(item[1])
        task.handle(configuration_task.SnapshotReceived(snapshot))
        return
    changes = [relay_nodes.label_change(number) for number in item]
    task.handle(configuration_task.ChangesReceived(changes))


@then('the version never falls and every change is applied in order and whole')
def version_never_falls(context):
    context.check()


@then('a gap is reported until the missing changes arrive')
def gap_reported(context):
    task = configuration_task.ConfigurationTask()
    gaps = []
    task.subscribe_gaps(gaps.append)
    deliver(task, [1])
    deliver(task, [4, 3])
    deliver(task, [6])
    assert gaps == [1, 1], gaps
    deliver(task, [2])
    assert task.configuration.version == 4
    assert gaps == [1, 1, 4], gaps
    deliver(task, [5])
    # A repeated change is no gap, or it would be asked for again and again.
    deliver(task, [6])
    assert (task.configuration.version, len(gaps)) == (6, 3), gaps
    assert [c.number for c in task.changes_after(3)] == [4, 5, 6]


# A tree in lock step.


class SimulatedNode:
    """A daemon whose streams are queues that the history delivers."""

    def __init__(self, address, parent_choice):
        self.address = address
        self.task = configuration_task.ConfigurationTask()
        self.children = distribution.ChildTable(2)
        self.search = distribution.ParentSearch(parent_choice)
        self.parent = None
        self.stream = collections.deque()
        self.sent_version = 0
        self.steps = []
        self.alive = True
        self.task.subscribe(
            lambda c, changes: self.steps.append(
                (c.version, [change.number for change in changes])
            )
        )
        self.task.subscribe_gaps(self.resync)

    @property
    def version(self):
        return self.task.configuration.version

    def resync(self, version):
        self.sent_version = min(self.sent_version, version)

    def ancestors(self):
        node, path = self.parent, []
        while node is not None and node not in path:
            path.append(node)
            node = node.parent
        return path


class SimulatedTree:
    """Two roots and ten daemons; the first addresses are the roots."""

    def __init__(self):
        choice = random.Random(1)
        self.nodes = [SimulatedNode(f'n{i}', choice) for i in range(12)]
        self.by_address = {n.address: n for n in self.nodes}
        self.log = 0

    def append(self):
        self.log += 1
        for root in self.nodes[:2]:
            deliver(root.task, range(root.version + 1, self.log + 1))

    def connect(self, node):
        """Runs one round of subscriptions."""
        if not node.alive or node.parent or node in self.nodes[:2]:
            return
        node.search.begin_round(n.address for n in self.nodes[:2])
        tried = []
        while (address := node.search.next_address()) is not None:
            assert address not in tried, tried
            tried.append(address)
            relay = self.by_address[address]
            if not relay.alive:
                continue
            if node is relay or node in relay.ancestors():
                node.search.redirected((), 0.0)
                continue
            admission = relay.children.admit(
                node.address, node.address, False, len(tried)
            )
            if admission.admitted:
                node.parent, node.sent_version = relay, node.version
                node.stream.clear()
                return
            node.search.redirected(admission.addresses, 0.0)

    def send(self, node):
        relay = node.parent
        if relay is None or relay.version <= node.sent_version:
            return
        changes = relay.task.changes_after(node.sent_version)
        node.sent_version = relay.version
        if changes is None:
            node.stream.append(('snapshot', relay.version))
        else:
            node.stream.append([c.number for c in changes])

    def deliver(self, node, how):
        self.send(node)
        if not node.stream:
            return
        if how == 'reorder':
            node.stream.rotate(1)
        item = node.stream[0] if how == 'repeat' else node.stream.popleft()
        deliver(node.task, item)

    def break_stream(self, node):
        if node.parent is not None:
            node.parent.children.remove(node.address)
        node.parent = None
        node.stream.clear()

    def kill(self, node):
        # One root is left, or nothing could reach the others.
        if node is self.nodes[0]:
            return
        self.break_stream(node)
        node.alive = False
        for child in self.nodes:
            if child.parent is node:
                self.break_stream(child)

    def settle(self):
        """Lets all streams run, without further faults."""
        for _ in range(20):
            for node in self.nodes:
                self.connect(node)
                for _ in range(3):
                    self.deliver(node, 'in order')


HISTORY = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['append', 'append', 'connect', 'connect', 'connect', 'kill']
            + ['in order', 'in order', 'in order', 'reorder', 'repeat', 'break']
        ),
        strategies.integers(0, 11),
    ),
    min_size=20,
    max_size=120,
)


@given('generated histories of a tree in which relays die and streams break')
def tree_histories(context):
    @generated(history=HISTORY)
    def check(history):
        tree = SimulatedTree()
        for step, index in history:
            node = tree.nodes[index]
            match step:
                case 'append':
                    tree.append()
                case 'connect':
                    tree.connect(node)
                case 'kill':
                    tree.kill(node)
                case 'break':
                    tree.break_stream(node)
                case _:
                    tree.deliver(node, step)
        tree.settle()
        for node in tree.nodes:
            check_steps(node.steps)
            if node.alive:
                assert node.version == tree.log, (node.address, node.version)

    context.check = check


@then('every daemon that is left reaches the last version in order')
def histories_converge(context):
    context.check()


# Redirects, admission and delays.


# Few addresses, so that redirects often close circles.
ADDRESSES = [f'n{i}' for i in range(8)]


@given('generated relays that redirect to each other in circles')
def redirecting_relays(context):
    addresses = strategies.lists(strategies.sampled_from(ADDRESSES), max_size=4)

    @generated(
        candidates=addresses,
        redirects=strategies.dictionaries(
            strategies.sampled_from(ADDRESSES), addresses
        ),
    )
    def check(candidates, redirects):
        search = distribution.ParentSearch(random.Random(1))
        for _ in range(3):
            search.begin_round(candidates)
            tried = []
            while (address := search.next_address()) is not None:
                tried.append(address)
                if address in redirects:
                    search.redirected(redirects[address], 0.1)
            assert len(tried) == len(set(tried)), tried
            assert len(tried) <= (
                distribution.MAX_TRIES_PER_ROUND
                + distribution.MAX_REDIRECTS_PER_ROUND
            )
            # A relay at the end of a chain of redirects is reached.
            for address in tried[:5]:
                for following in redirects.get(address, []):
                    assert following in tried

    context.check = check


@then('a round of subscriptions tries each address at most once')
def redirects_end(context):
    context.check()


@given('generated subscriptions to one relay')
def generated_subscriptions(context):
    @generated(
        requests=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 9),
                strategies.booleans(),
                strategies.floats(0, 0.05),
                strategies.sampled_from([False, False, False, True]),
            ),
            min_size=60,
            max_size=120,
        )
    )
    def check(requests):
        children = distribution.ChildTable(3, full_copies_per_s=5.0)
        now, copies = 0.0, []
        for number, full_copy, pause, leaves in requests:
            now += pause
            name = f'd{number}'
            if leaves:
                children.remove(name)
                continue
            known = set(children.addresses_by_id.values())
            answer = children.admit(name, f'{name}:1', full_copy, now)
            assert len(children.addresses_by_id) <= 3
            assert set(answer.addresses) <= known
            if answer.admitted:
                copies += [now] if full_copy else []
            else:
                assert answer.retry_after_s > 0
                assert answer.retry_after_s <= 8.0
        for start in copies:
            within = [at for at in copies if start <= at < start + 1.0]
            # A second holds the saved burst and what is gained in it.
            assert len(within) <= 10, within

    context.check = check


@then('children, redirects and full copies keep their bounds')
def admission_bounds(context):
    context.check()


@given('generated failures in a row')
def failures(context):
    @generated(
        attempt=strategies.integers(1, 10_000), seed=strategies.integers()
    )
    def check(attempt, seed):
        delay = distribution.reconnect_delay(attempt, random.Random(seed))
        assert 0 <= delay <= min(8.0, 2.0 ** min(attempt - 1, 10))

    context.check = check


@then('the delay is up to 1 second first and never above 8 seconds')
def delay_bounds(context):
    context.check()
    source = random.Random(3)
    first = [distribution.reconnect_delay(1, source) for _ in range(200)]
    late = [distribution.reconnect_delay(9, source) for _ in range(200)]
    assert max(first) - min(first) > 0.9
    assert max(late) - min(late) > 7.0


# Membership.


ENTRIES = strategies.dictionaries(
    strategies.sampled_from([f't{i}' for i in range(120)]),
    strategies.tuples(strategies.integers(1, 3), strategies.integers(0, 3)),
    min_size=0,
    max_size=120,
)


def filled(entries):
    members = relay_nodes.Members()
    digest = distribution.MemberDigest()
    members.subscribe(digest.update)
    for target_id, (incarnation, state) in entries.items():
        for rank in range(1, incarnation + 1):
            entry = relay_nodes.target(
                target_id,
                incarnation=rank,
                state=model.MemberState(state if rank == incarnation else 0),
            )
            members.merge([entry])
    return members, digest


@given('generated pairs of member tables')
def member_tables(context):
    @generated(common=ENTRIES, left=ENTRIES, right=ENTRIES)
    def check(common, left, right):
        one, one_digest = filled({**common, **left})
        two, two_digest = filled({**common, **right})
        to_two = one_digest.differing(two_digest.values(), one.targets_by_id)
        to_one = two_digest.differing(one_digest.values(), two.targets_by_id)
        entries_to_one = [two.targets_by_id[i] for i in to_one]
        two.merge([one.targets_by_id[i] for i in to_two])
        one.merge(entries_to_one)
        gone = model.MemberState.GONE
        tables = [
            {
                t.target_id: (t.incarnation, t.state)
                for t in side.targets_by_id.values()
                if t.state is not gone
            }
            for side in (one, two)
        ]
        assert tables[0] == tables[1]

    context.check = check


@then('both tables are equal after one exchange')
def tables_equal(context):
    context.check()
    entries = {f't{i}': (1, 0) for i in range(1000)}
    one, one_digest = filled(entries)
    _, two_digest = filled({**entries, 't5': (2, 0)})
    differing = one_digest.differing(two_digest.values(), one.targets_by_id)
    assert 't5' in differing
    assert len(differing) < 20, len(differing)


@given('generated bursts of member changes')
def member_bursts(context):
    @generated(
        bursts=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 400), strategies.floats(0, 3)
            ),
            min_size=1,
            max_size=20,
        )
    )
    def check(bursts):
        members = relay_nodes.Members()
        outbox = distribution.MemberOutbox()
        members.subscribe(outbox.offer)
        sent, received, now = 0, {}, 0.0
        for incarnation, (count, pause) in enumerate(bursts, 1):
            members.merge(
                [
                    relay_nodes.target(f't{i}', incarnation=incarnation)
                    for i in range(count)
                ]
            )
            now += pause
            for entry in outbox.take_deltas(
                members.targets_by_id, lambda _: 100, now
            ):
                received[entry.target_id] = entry
                sent += 100
            assert sent <= 16_000 + 2_000 * now + 100, (sent, now)
        while outbox.has_deltas:
            now += 1.0
            for entry in outbox.take_deltas(
                members.targets_by_id, lambda _: 100, now
            ):
                received[entry.target_id] = entry
        assert received == members.targets_by_id

    context.check = check


@then('the bytes sent stay below the rate and the last state of each is sent')
def member_rate(context):
    context.check()
    # No echo of what the other side sent, but what has overridden it goes out.
    members = relay_nodes.Members()
    outbox = distribution.MemberOutbox()
    members.subscribe(outbox.offer)
    received = [relay_nodes.target('t1'), relay_nodes.target('t2')]
    outbox.note_received(received)
    newer = relay_nodes.target('t2', incarnation=2)
    members.merge([newer])
    members.merge(received)
    sent = outbox.take_deltas(members.targets_by_id, lambda _: 100, 0.0)
    assert sent == [newer], sent


@given('generated evidence')
def generated_evidence(context):
    item = strategies.builds(
        evidence_item,
        selector=strategies.sampled_from(['booking', 'fees']),
        version=strategies.sampled_from(['v1', 'v2']),
        window=strategies.integers(1, 3),
        errors=strategies.integers(0, 5),
        latency_buckets=strategies.lists(strategies.integers(0, 9), max_size=4),
    )

    @generated(batches=strategies.lists(strategies.lists(item, max_size=8)))
    def check(batches):
        outbox = control_stream.ReportOutbox(wall_clock=lambda: 4.0)
        sent = []
        for turn, batch in enumerate(batches):
            message = control_pb2.EvidenceBatch(
                reporter=f'child-{turn}', first_sequence=1, evidence=batch
            )
            # A batch that arrives twice is counted once.
            outbox.add_evidence([message, message])
            if turn % 3 == 1:
                for message in outbox.take():
                    outbox.put_back(message)
            elif turn % 3 == 2:
                sent += outbox.take()
        sent += outbox.take()
        reports = [e for message in sent for e in message.evidence.evidence]
        given_items = [e for batch in batches for e in batch]
        assert sums(reports) == sums(given_items)

    context.check = check


def evidence_item(errors, latency_buckets, **fields):
    requests = sum(latency_buckets)
    return control_pb2.Evidence(
        route='/',
        requests=requests,
        errors=min(errors, requests),
        latency_buckets=latency_buckets,
        **fields,
    )


def sums(items):
    counts = collections.Counter()
    for item in items:
        key = (item.selector, item.version, item.route, item.window)
        counts[key, 'requests'] += item.requests
        counts[key, 'errors'] += item.errors
        for index, count in enumerate(item.latency_buckets):
            counts[key, index] += count
    return +counts


@then('the sums of the reports equal the sums of the evidence')
def evidence_sums(context):
    context.check()


# Real streams on loopback. One event loop serves all scenarios, because grpc
# still calls into a loop shortly after its last stream has ended.
RUNNER = asyncio.Runner()


def run(context, coroutine):
    if not hasattr(context, 'stack'):
        context.stack = contextlib.AsyncExitStack()
        context.add_cleanup(lambda: RUNNER.run(context.stack.aclose()))
    return RUNNER.run(coroutine)


async def on_loop(function, *arguments):
    """Calls a function inside the event loop."""
    return function(*arguments)


def lives(context):
    return [node for node in context.nodes if node not in context.dead]


@given(
    'a tree of {size:d} daemons on loopback with {roots:d} roots and '
    '{children:d} children a relay'
)
def loopback_tree(context, size, roots, children):
    async def start():
        context.log = relay_nodes.MemoryLog()
        context.dead = []
        context.nodes = await relay_nodes.start_tree(
            context.stack, size, roots, context.log, children
        )

    run(context, start())
    for node in context.nodes:
        assert len(node.server.children) <= children


@when('changes {first:d} to {last:d} are appended')
def append_changes(context, first, last):
    async def append():
        for _ in range(first, last + 1):
            context.log.append()
        await relay_nodes.until(
            lambda: all(n.version == last for n in context.nodes[:1])
        )

    run(context, append())


@then('every daemon has applied changes {first:d} to {last:d} in order')
@then(
    'every daemon of both domains has applied changes {first:d} to {last:d} '
    'in order'
)
def all_applied(context, first, last):
    nodes = lives(context)
    run(
        context,
        relay_nodes.until(lambda: all(n.version == last for n in nodes)),
    )
    for node in nodes:
        check_steps(node.steps)
        applied = [number for _, numbers in node.steps for number in numbers]
        if node not in context.nodes[:1]:
            assert applied == list(range(first, last + 1)), node
        expected = relay_nodes.configuration_at(last)
        assert node.configuration.configuration == expected


def inner_relay(context):
    return next(n for n in lives(context) if n.uplink and n.server.children)


@when(
    'a relay with children is killed and changes {first:d} to {last:d} '
    'are appended'
)
def kill_relay(context, first, last):
    context.killed = inner_relay(context)
    end(context, context.killed, context.killed.kill())
    append_changes(context, first, last)


@when(
    'a relay with children closes in good order and changes {first:d} to '
    '{last:d} are appended'
)
def close_relay(context, first, last):
    context.closed = inner_relay(context)
    end(context, context.closed, context.closed.close())
    append_changes(context, first, last)


@when('a root is killed and changes {first:d} to {last:d} are appended')
def kill_root(context, first, last):
    end(context, context.nodes[1], context.nodes[1].kill())
    append_changes(context, first, last)


def end(context, node, coroutine):
    context.dead.append(node)
    run(context, coroutine)


@then('the parent of the killed relay has noticed its loss')
def loss_noticed(context):
    name = context.killed.name
    run(
        context,
        relay_nodes.until(
            lambda: any(name in n.lost_children for n in context.nodes)
        ),
    )


@then('nobody suspects the relay that closed')
def no_suspicion(context):
    name = context.closed.name
    assert not any(name in n.lost_children for n in context.nodes)


@when('a daemon joins')
def daemon_joins(context):
    async def join():
        node = relay_nodes.Node('newcomer')
        await node.start()
        context.stack.push_async_callback(node.kill)
        node.subscribe(lambda backups: [context.nodes[0].address])
        await relay_nodes.until(lambda: node.version == context.log.version)
        return node

    context.newcomer = run(context, join())


@then('the daemon that joined has taken one snapshot and no other step')
def one_snapshot(context):
    assert context.newcomer.steps == [(700, [])], context.newcomer.steps[:3]


@given(
    'two domains on loopback with {roots:d} roots and {subscribers:d} '
    'subscribers each'
)
def two_domains(context, roots, subscribers):
    async def start():
        context.log = relay_nodes.MemoryLog()
        context.dead, context.nodes, context.roots = [], [], []
        for domain in ('a', 'b'):
            tops = [
                await started(context, f'{domain}-root-{i}', domain)
                for i in range(roots)
            ]
            leaves = [
                await started(context, f'{domain}-{i}', domain)
                for i in range(subscribers)
            ]
            seeds = [node.address for node in tops]
            for node in leaves:
                node.subscribe(lambda backups, seeds=seeds: seeds)
            context.roots += tops
            context.nodes += tops + leaves
        context.outage = relay_nodes.MemoryLog()
        for node in context.roots:
            cut_off = node.name == 'b-root-1'
            node.follow(context.outage if cut_off else context.log)
            node.root_relay.set_roots(map(relay_nodes.relay_of, context.roots))
        await relay_nodes.until(
            lambda: all(
                n.uplink is None or relay_nodes.is_attached(n)
                for n in context.nodes
            )
        )
        await relay_nodes.until(
            lambda: all(
                link.connected
                for n in context.roots
                for link in n.root_relay.links
            )
        )

    run(context, start())


async def started(context, name, domain):
    node = relay_nodes.Node(name, domain)
    await node.start()
    context.stack.push_async_callback(node.kill)
    return node


@when('a subscriber of the first domain announces target {target_id}')
def announce(context, target_id):
    entry = relay_nodes.target(target_id, daemon_id=context.nodes[2].name)
    run(context, on_loop(context.nodes[2].members.merge, [entry]))


@then('every daemon of both domains knows target {target_id}')
def target_known(context, target_id):
    run(
        context,
        relay_nodes.until(
            lambda: all(
                target_id in n.members.targets_by_id for n in lives(context)
            )
        ),
    )


@when('the first root is killed')
def kill_first_root(context):
    end(context, context.nodes[0], context.nodes[0].kill())


@then('no root has received the target more often than there are streams to it')
def no_echo(context):
    # An echo would go round with every batch, so 3 batches show it.
    run(context, asyncio.sleep(0.7))
    for node in context.roots:
        assert node.members.received <= 3, (node.name, node.members.received)


@when('a subscriber of the first domain reports a suspicion and evidence')
def report(context):
    uplink = context.nodes[2].uplink
    suspicion = control_pb2.Suspicion(target_id='t1', observer_id='a-0')
    item = control_pb2.Evidence(
        selector='s',
        version='v',
        window=int(time.time()),
        requests=7,
        latency_buckets=[7],
    )
    evidence = control_pb2.EvidenceBatch(
        reporter='proxy', first_sequence=1, evidence=[item]
    )
    run(context, on_loop(uplink.post_suspicions, [suspicion]))
    run(context, on_loop(uplink.post_evidence, [evidence]))


@then('every root has the suspicion and has the evidence once')
def reports_at_roots(context):
    run(
        context,
        relay_nodes.until(
            lambda: all(n.suspicions and n.evidence for n in context.roots)
        ),
    )
    run(context, asyncio.sleep(0.7))
    for node in context.roots:
        items = [e for batch in node.evidence for e in batch.evidence]
        assert [e.requests for e in items] == [7], node.name
        assert [s.target_id for s in node.suspicions] == ['t1'], node.name


@when(
    'the log is unavailable to one root and changes {first:d} to {last:d} '
    'are appended'
)
def log_unavailable(context, first, last):
    context.outage.available = False
    append_changes(context, first, last)


@given('two daemons on loopback that name each other as parents')
def cycle(context):
    async def start():
        context.dead = []
        context.log = relay_nodes.MemoryLog()
        one = await started(context, 'one', 'a')
        two = await started(context, 'two', 'a')
        context.addresses = []
        for node, other in ((one, two), (two, one)):
            node.subscribe(
                lambda backups, other=other: [other.address, *context.addresses]
            )
        context.nodes = [one, two]
        await relay_nodes.until(
            lambda: any(n.uplink.parent_address for n in context.nodes)
        )

    run(context, start())


@given(
    'a daemon on loopback whose first parent sends nothing after its welcome'
)
def silent_parent(context):
    async def start():
        context.log = relay_nodes.MemoryLog()
        context.nodes, context.dead = [], []
        context.silent = relay_nodes.SilentRelay()
        context.addresses = [await context.silent.start()]
        context.stack.push_async_callback(context.silent.close)
        context.child = await started(context, 'child', 'a')
        context.child.subscribe(lambda backups: context.addresses)
        await relay_nodes.until(lambda: context.silent.admitted)

    run(context, start())


@then('the daemon has left the silent parent and applied changes 1 to {last:d}')
def silent_parent_left(context, last):
    child = context.child
    run(context, relay_nodes.until(lambda: child.version == last))
    assert child.uplink.parent_address == context.addresses[1]
    assert context.silent.admitted == 1, context.silent.admitted
    check_steps(child.steps)


@when('a root appears')
def root_appears(context):
    async def start():
        root = await started(context, 'root', 'a')
        root.follow(context.log)
        context.addresses.append(root.address)
        context.nodes.append(root)

    run(context, start())


@then('both daemons have a way to the root')
def cycle_dissolved(context):
    run(
        context,
        relay_nodes.until(
            lambda: all(
                relay_nodes.is_attached(n) for n in context.nodes if n.uplink
            )
        ),
    )
    nodes = [n for n in context.nodes if n.uplink]
    paths = [n.uplink.position.ancestors for n in nodes]
    assert all(path[0] == 'root' for path in paths), paths


# Elections.


class LeaseTable:
    """The leases of a platform in memory, read as the platform's list."""

    def __init__(self):
        self.available = True
        self.holders_by_name = {}

    async def list(self, prefix):
        if not self.available:
            raise exceptions.PlatformUnavailableError('outage', remedy='wait')
        return [
            platform_api.StoredObject(
                key=f'leases/{name}',
                value=serialization.to_json(
                    {'holder': holder, 'address': address, 'deadline': 4e9}
                ),
                version=1,
            )
            for name, (holder, address) in self.holders_by_name.items()
        ]


class TableKeeper:
    """Takes a lease of the table if it is free."""

    def __init__(self, table, name, node):
        self._table, self._name = table, name
        self._value = (node.name, node.address)

    @property
    def holding(self):
        held = self._table.holders_by_name.get(self._name) == self._value
        return self._value if held and self._table.available else None

    async def run(self):
        while True:
            if self._table.available:
                self._table.holders_by_name.setdefault(self._name, self._value)
            await asyncio.sleep(0.1)

    async def release(self):
        if self.holding:
            del self._table.holders_by_name[self._name]


async def start_elections(context, size):
    context.log = relay_nodes.MemoryLog()
    context.dead = []
    context.nodes = [await started(context, f'e{i}', 'a') for i in range(size)]
    known = [relay_nodes.relay_of(n) for n in context.nodes]
    context.switches = {}
    for node in context.nodes:
        join_election(context, node, known)


def join_election(context, node, known):
    elections = []
    uplink = node.make_uplink(lambda backups: elections[0].candidates(backups))
    root_relay = node.make_root_relay(context.log)
    switch = root_election.RoleSwitch(node.server, uplink, root_relay)
    election = root_election.RootElection(
        identity=uplink._identity,
        platform=context.leases,
        keeper_factory=lambda name: TableKeeper(context.leases, name, node),
        parent=uplink,
        known_relays=lambda: known,
        first_read_spread_s=0.5,
        on_role=switch.set_role,
        on_roots=root_relay.set_roots,
        random=random.Random(node.name),
    )
    elections.append(election)
    context.switches[node.name] = switch
    node.run(election.run())
    node.run(switch.run())


@given('{size:d} daemons in an election for 3 slots')
def election(context, size):
    context.leases = LeaseTable()
    run(context, start_elections(context, size))


@given('{size:d} daemons in an election while the platform is unreachable')
def election_in_outage(context, size):
    context.leases = LeaseTable()
    context.leases.available = False
    run(context, start_elections(context, size))


def with_role(context, role):
    return [n for n in lives(context) if context.switches[n.name].role == role]


def settled(context, role, count):
    tops = [n.name for n in with_role(context, role)]
    others = [n for n in lives(context) if n.name not in tops]
    return len(tops) == count and all(
        n.uplink.position.ancestors[:1]
        and n.uplink.position.ancestors[0] in tops
        for n in others
    )


@then('{count:d} daemons are roots and the others reach them')
def roots_elected(context, count):
    run(
        context,
        relay_nodes.until(
            lambda: settled(context, root_election.Role.ROOT, count)
        ),
    )


@when('a root of the election is killed')
def kill_elected(context):
    node = with_role(context, root_election.Role.ROOT)[0]
    end(context, node, node.kill())
    # Its lease runs out.
    holders = context.leases.holders_by_name
    for name in [
        n for n, (holder, _) in holders.items() if holder == node.name
    ]:
        del holders[name]


@then('one daemon serves as provisional root and the others reach it')
def provisional_root(context):
    role = root_election.Role.PROVISIONAL_ROOT
    run(context, relay_nodes.until(lambda: settled(context, role, 1)))


@when('the platform is reachable again')
def platform_back(context):
    context.leases.available = True


class SlowSource:
    """A change log whose follower takes a moment to end."""

    async def load(self):
        return relay_nodes.configuration_at(0)

    async def follow(self, configuration):
        try:
            await asyncio.Event().wait()
            yield
        finally:
            await asyncio.sleep(0.1)


@given('a root whose streams take a moment to end')
def slow_root(context):
    async def start():
        root = root_relay.RootRelay(
            identity=tree.Identity(daemon_id='r', failure_domain='a'),
            change_source=SlowSource(),
            configuration_task=configuration_task.ConfigurationTask(),
            member_task=relay_nodes.Members(),
            random=random.Random(1),
        )
        return root, asyncio.create_task(root.run())

    context.root, context.root_task = run(context, start())
    run(context, asyncio.sleep(0.05))


@when('it stops being a root and learns of another root meanwhile')
def step_down(context):
    other = distribution.KnownRelay(
        daemon_id='s', failure_domain='b', control_address='127.0.0.1:1'
    )

    async def step():
        context.root_task.cancel()
        await asyncio.sleep(0.02)
        context.root.set_roots([other])
        await asyncio.gather(context.root_task, return_exceptions=True)

    run(context, step())


@then('it has stopped without an error')
def stopped_without_error(context):
    assert context.root_task.cancelled(), context.root_task


@given('two roots of two domains of which only the first knows the other')
def one_sided_roots(context):
    async def start():
        context.log = relay_nodes.MemoryLog()
        context.outage = relay_nodes.MemoryLog()
        context.dead = []
        first = await started(context, 'a-root', 'a')
        second = await started(context, 'b-root', 'b')
        context.nodes = context.roots = [first, second]
        first.follow(context.log)
        second.follow(context.outage)
        first.root_relay.set_roots(map(relay_nodes.relay_of, context.roots))
        second.root_relay.set_roots([relay_nodes.relay_of(second)])

    run(context, start())
