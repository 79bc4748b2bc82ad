"""Steps on membership, run on daemons joined by a simulated network."""

import asyncio
import os
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hemlockgrade import configuration
from hemlockgrade import membership
from hemlockgrade import membership_task
from hemlockgrade import model
from hemlockgrade import routing
from hemlockgrade.plugins import least_loaded

HISTORIES = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=int(os.environ.get('HEMLOCK_SEEDS', '25')),
    suppress_health_check=list(hypothesis.HealthCheck),
)
WALL = 1_700_000_000.0


def target(target_id, domain='a', version='v1', **fields):
    return model.Target(
        target_id=target_id,
        service='booking',
        version=version,
        failure_domain=domain,
        admission_address='127.0.0.1:1',
        slots=18,
        **fields,
    )


def selector(shares, prefixes=('/booking',)):
    return model.Selector(
        name='booking',
        proxies='proxy',
        targets='target',
        service='booking',
        routes=tuple(model.Route(path_prefix=p) for p in prefixes),
        shares_by_version=shares,
    )


def booking_configuration(shares, prefixes=('/booking',), hosts='*'):
    patterns = {'proxy': 'edge-*', 'target': hosts}
    return configuration.Configuration(
        labels_by_name={
            n: model.Label(name=n, kind=model.LabelKind(n), members=(p,))
            for n, p in patterns.items()
        },
        selectors_by_name={'booking': selector(shares, prefixes)},
    )


class Network:
    """Daemons that send every change to every other one."""

    def __init__(self, domains):
        self.now = 0.0
        self.queue = []
        self.cut = set()
        self.domains = list(domains)
        self.tasks = {}
        self.renewing = set()
        self.highest = {}
        for index in range(len(domains)):
            self.start(index)
        for index in range(len(domains)):
            self.announce(index)
        self.deliver_all()

    def start(self, index, clock_offset=0.0):
        task = membership_task.MemberTask(
            self.domains[index],
            f'd{index}',
            f'boot{self.now}',
            clock=lambda: self.now,
            wall_clock=lambda: WALL + self.now + clock_offset,
        )
        self.tasks[index] = task
        for key in [k for k in self.highest if k[0] == index]:
            del self.highest[key]
        task.subscribe(lambda changed: self.send(index, changed))

    def stop(self, index):
        del self.tasks[index]
        self.renewing.discard(index)

    def send(self, sender, entries):
        for entry in entries:
            key = (sender, entry.target_id)
            assert entry.incarnation >= self.highest.get(key, 0), entry
            self.highest[key] = entry.incarnation
        self.queue += [(sender, i, entries) for i in self.tasks if i != sender]

    def joined(self, one, other):
        ends = {self.domains[one], self.domains[other]}
        return len(ends) == 1 or not ends & self.cut

    def deliver(self, position=0, keep=False):
        position %= len(self.queue)
        sender, receiver, entries = self.queue[position]
        if not keep:
            del self.queue[position]
        if receiver in self.tasks and self.joined(sender, receiver):
            self.tasks[receiver].handle(
                membership_task.MembersReceived(targets=entries)
            )

    def deliver_all(self):
        while self.queue:
            self.deliver()

    def announce(self, index):
        if index in self.tasks:
            self.renewing.add(index)
            self.tasks[index].handle(
                membership_task.Announced(
                    target=target(f't{index}', self.domains[index])
                )
            )

    def suspect(self, observer, suspected, observer_id=None):
        if observer not in self.tasks:
            return
        task = self.tasks[observer]
        entry = task.targets_by_id.get(f't{suspected}')
        if entry is None:
            return
        suspicion = membership.Suspicion(
            target_id=entry.target_id,
            incarnation=entry.incarnation,
            observer_id=observer_id or f'd{observer}',
        )
        task.handle(membership_task.SuspicionsReceived(suspicions=[suspicion]))

    def pass_time(self, seconds, step=1.0, deliver=True):
        until = self.now + seconds
        while self.now < until:
            self.now = min(self.now + step, until)
            for index in list(self.renewing):
                self.announce(index)
            for task in list(self.tasks.values()):
                task.handle(membership_task._Tick())
            if deliver:
                self.deliver_all()

    def set_link(self, domain, lost):
        (self.cut.add if lost else self.cut.discard)(domain)
        kind = membership_task.LinkRestored
        if lost:
            kind = membership_task.LinkLost
        for index, task in self.tasks.items():
            mine = self.domains[index]
            others = {domain} if mine != domain else set(self.domains)
            for other in others - {mine}:
                task.handle(kind(failure_domain=other))
        if not lost:
            self.exchange()

    def exchange(self):
        """Sends full tables, as to new subscribers."""
        for sender, task in list(self.tasks.items()):
            self.send(sender, task.snapshot())
        self.deliver_all()

    def settle(self):
        for domain in sorted(self.cut):
            self.set_link(domain, False)
        for _ in range(3):
            for index in list(self.renewing):
                self.announce(index)
            self.exchange()

    def states(self, target_id):
        return {
            task.targets_by_id[target_id].state.name.lower()
            if target_id in task.targets_by_id
            else 'unknown'
            for task in self.tasks.values()
        }


def changing(index):
    return membership_task.DrainRequested(target_id=f't{index}')


@given('three daemons in domains a, a and b with one target each')
def three_daemons(context):
    context.network = Network('aab')
    context.old = context.network.tasks[1].targets_by_id['t0']


def replay(context):
    network = context.network
    network.deliver_all()
    for index in network.tasks:
        network.queue.append((1, index, [context.old]))
    network.deliver_all()


@when('target t0 starts to drain and its older announcement arrives again')
def start_drain(context):
    context.network.tasks[0].handle(changing(0))
    replay(context)


@when('the drain of t0 ends and its older announcement arrives again')
def end_drain(context):
    context.network.renewing.discard(0)
    context.network.tasks[0].handle(
        membership_task.DrainFinished(target_id='t0')
    )
    replay(context)


@when(
    'target t0 is gone for {seconds:d} seconds and its older announcement arrives again'
)
def gone_for(context, seconds):
    start_drain(context)
    end_drain(context)
    context.network.pass_time(seconds)
    assert context.network.states('t0') == {'unknown'}
    replay(context)


@then('no more than the bounded number of incarnations is kept')
def bounded_floors(context):
    table = membership.MemberTable('a', max_floors=10)
    for number in range(100):
        gone = target(f'x{number}', 'a', state=model.MemberState.GONE)
        table.merge([gone], 0.0)
    table.expire(membership.GONE_RETENTION_S + 1)
    assert not table.targets_by_id
    assert len(table._floors_by_id) == 10


@then('every daemon lists {target_id} as {state}')
def every_daemon_lists(context, target_id, state):
    states = context.network.states(target_id)
    assert states == {state}, states


@then('d{index:d} lists {target_id} as {state}')
def daemon_lists(context, index, target_id, state):
    entry = context.network.tasks[index].targets_by_id[target_id]
    assert entry.state.name.lower() == state, entry


@when('d1 suspects t0 and the message reaches all but d0')
def one_suspects(context):
    network = context.network
    network.suspect(1, 0)
    held = [message for message in network.queue if message[1] == 0]
    network.queue = [m for m in network.queue if m[1] != 0]
    network.deliver()
    network.queue += held


@when('all messages arrive')
def all_arrive(context):
    context.network.settle()


@then('t0 has a higher incarnation than before')
def higher_incarnation(context):
    for task in context.network.tasks.values():
        entry = task.targets_by_id['t0']
        assert entry.incarnation > context.old.incarnation


@when('d0 and its target die and d1 suspects t0')
def die_and_suspect(context):
    context.network.stop(0)
    context.network.suspect(1, 0)
    context.network.deliver_all()


@when("t0 {verb} its daemon's probe and d1 suspects it")
def probe(context, verb):
    context.network.tasks[0].handle(
        membership_task.TargetProbed(
            target_id='t0', answering=verb == 'answers'
        )
    )
    context.network.suspect(1, 0)


@when('the observer {observer_id} suspects t{index:d}')
def observer_suspects(context, observer_id, index):
    context.network.suspect(1, index, observer_id)
    context.network.deliver_all()


@when('{seconds:d} seconds pass')
def seconds_pass(context, seconds):
    context.network.pass_time(seconds, step=max(1.0, seconds / 1000))


@when('d1 is cut off, suspects t0 and returns after {seconds:d} seconds')
def cut_off(context, seconds):
    network = context.network
    network.suspect(1, 0)
    network.queue.clear()
    network.tasks[1].handle(membership_task.LinkLost(failure_domain='a'))
    # Without this, t0 would refute the removal before it is looked for.
    network.pass_time(seconds, deliver=False)
    assert 'gone' not in network.states('t0')
    network.tasks[1].handle(membership_task.LinkRestored(failure_domain='a'))
    network.settle()


@given('a table of {count:d} targets in one domain')
def one_table(context, count):
    context.members = membership.MemberTable('a')
    context.members.merge([target(f't{i}', 'a') for i in range(count)], 0.0)


@when('the observers x and y suspect {count:d} of them each')
def observers_suspect(context, count):
    for observer_id, offset in (('x', 0), ('y', 1)):
        for index in range(count):
            target_id = f't{(index + offset * 3) % 6}'
            context.members.suspect(target_id, 0, observer_id, 'refused', 1.0)


@then('no target is gone after {seconds:d} seconds')
def none_gone(context, seconds):
    context.members.expire(float(seconds))
    states = {t.state for t in context.members.snapshot()}
    assert membership.GONE not in states, context.members.snapshot()


@then('tables that hear of two hosts in either order keep the same entry')
def same_entry(context):
    entries = [target('t0', 'a', daemon_id=i) for i in ('d0', 'd1')]
    tables = [membership.MemberTable('a') for _ in range(2)]
    tables[0].merge(entries, 0.0)
    tables[1].merge(reversed(entries), 0.0)
    assert tables[0].targets_by_id == tables[1].targets_by_id


@when('t0 stops renewing for {seconds:d} seconds')
def stops_renewing(context, seconds):
    context.network.renewing.discard(0)
    context.network.pass_time(seconds)


@then('an entry is announced anew after 6 hours')
def refreshed(context):
    own = membership.SelfEntries('d0', 'boot')
    times = (0.0, 1.0, membership.REFRESH_S)
    entries = [own.announce(target('t0'), None, t, WALL + t) for t in times]
    assert entries[1] is None
    assert entries[2].incarnation > entries[0].incarnation


@when('t0 renews again')
def renews(context):
    context.network.announce(0)
    context.network.deliver_all()


@when('d0 restarts with a clock that went back by {seconds:d} seconds')
def restart_with_clock_back(context, seconds):
    context.network.start(0, clock_offset=-float(seconds))
    context.network.announce(0)


@when('d2 and its target die behind a cut of domain b')
def cut_and_die(context):
    context.network.set_link('b', True)
    context.network.stop(2)
    context.network.pass_time(120, step=5.0)


@then('d0 routes to t2 last')
def routes_last(context):
    task = context.network.tasks[0]
    loads = routing.LoadTable()
    loads.unreachable_domains = task.unreachable_domains
    balancer = least_loaded.LeastLoaded('a')
    candidates = [task.targets_by_id[i] for i in ('t0', 't1', 't2')]
    generator = random.Random(1)
    for tried in [candidates] * 100 + [candidates[2:]]:
        chosen = balancer.choose(tried, loads, 0.0, generator)
        assert (chosen.target_id == 't2') == (len(tried) == 1)


@when('a new daemon d3 of domain b joins without t2 and the cut ends')
def replacement_joins(context):
    context.network.domains.append('b')
    context.network.start(3)
    context.network.announce(3)
    context.network.set_link('b', False)


@given('a proxy in domain a that tried {count:d} targets in domain {domain}')
def proxy_tried(context, count, domain):
    context.observer = membership.ConnectionObserver('p', 'a')
    context.targets = [target(f't{i}', domain) for i in range(count)]
    for tried in context.targets:
        context.observer.succeeded(tried, 0.0)


@when('its connections to {count:d} of them fail')
def connections_fail(context, count):
    reports = [
        context.observer.failed(failed, 'refused', 10.0)
        for _ in range(membership.FAILURES_TO_SUSPECT)
        for failed in context.targets[:count]
    ]
    context.reports = [r for r in reports if r is not None]


@then('it reports {count:d} of them')
def reports_suspicions(context, count):
    assert len(context.reports) == count, context.reports


@when('a target is announced and drained by messages')
def messages_posted(context):
    context.now = 0.0
    context.task = membership_task.MemberTask(
        'a', 'd0', 'boot', lambda: context.now, lambda: WALL + context.now
    )
    context.seen = []
    context.task.subscribe(
        lambda changed: context.seen.extend(t.state for t in changed)
    )
    context.task.post(membership_task.Announced(target=target('t0', 'a')))
    context.task.post(changing(0))


@then('the subscriber sees it alive, draining and, in time, gone')
def sees_states(context):
    async def run():
        running = asyncio.ensure_future(context.task.run())
        for count in (2, 3):
            while len(context.seen) < count:
                await asyncio.sleep(0.01)
            context.now += membership.RENEWAL_S + 1
        context.task.close()
        await running

    asyncio.run(asyncio.wait_for(run(), timeout=5))
    expected = [membership.ALIVE, membership.DRAINING, membership.GONE]
    assert context.seen == expected, context.seen


INDEXES = strategies.integers(0, 4)
POSITIONS = strategies.integers(0, 1000)
NAMES = 'deliver repeat lose renew drain suspect restart silence pass cut join'
OPERATIONS = strategies.lists(
    strategies.tuples(strategies.sampled_from(NAMES.split()), POSITIONS),
    min_size=60,
    max_size=120,
)


def run_operation(network, name, number):
    index = number % len(network.domains)
    if name in ('deliver', 'repeat', 'lose'):
        if not network.queue:
            return
        if name == 'lose':
            del network.queue[number % len(network.queue)]
        else:
            network.deliver(number, keep=name == 'repeat')
    elif name == 'renew':
        network.announce(index)
    elif name == 'drain':
        network.tasks[index].handle(changing(index))
    elif name == 'suspect':
        network.suspect(index, number // 5 % len(network.domains))
    elif name == 'restart':
        network.start(index, clock_offset=float(number - 500))
        network.announce(index)
    elif name == 'silence':
        network.renewing.discard(index)
    elif name == 'pass':
        network.pass_time(number % 12 + 1, deliver=False)
    else:
        network.set_link(network.domains[index], name == 'cut')


@then('the tables of generated histories converge and incarnations never fall')
def histories_converge(context):
    @HISTORIES
    @hypothesis.given(OPERATIONS)
    def check(operations):
        network = Network('aabbc')
        for operation in operations:
            run_operation(network, *operation)
        network.settle()
        tables = [dict(t.targets_by_id) for t in network.tasks.values()]
        for table in tables[1:]:
            assert table == tables[0], (table, tables[0])

    check()


@then('a single observer never removes a living target')
def single_observer(context):
    @HISTORIES
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(INDEXES, strategies.floats(0.1, 8.0)),
            min_size=10,
            max_size=40,
        )
    )
    def check(steps):
        network = Network('aaabb')
        for observer, seconds in steps:
            # Repeats of one observer, before its message spreads and after.
            for _ in range(3):
                network.suspect(observer, 0, 'x')
            network.pass_time(seconds, step=0.5, deliver=False)
            assert 'gone' not in network.states('t0')
            network.deliver_all()
            assert network.states('t0') == {'alive'}

    check()


@then('a cut empties no service that still runs')
def cut_empties_nothing(context):
    @HISTORIES
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(INDEXES, INDEXES, strategies.integers(1, 60)),
            min_size=10,
            max_size=40,
        ),
        strategies.booleans(),
    )
    def check(steps, told):
        network = Network('aabbc')
        if told:
            network.set_link('b', True)
        network.cut.add('b')
        for observer, suspected, seconds in steps:
            if network.domains[observer] != network.domains[suspected]:
                network.suspect(observer, suspected)
                network.suspect(observer, suspected, f'd{observer}x')
            network.pass_time(seconds)
            for index in range(5):
                assert 'gone' not in network.states(f't{index}')
        network.settle()
        for index in range(5):
            assert network.states(f't{index}') == {'alive'}

    check()


@then('a leaving target gets no new work 3 seconds after its drain')
def no_work_after_drain(context):
    @HISTORIES
    @hypothesis.given(
        strategies.lists(strategies.floats(0.0, 2.9), min_size=5, max_size=5)
    )
    def check(delays):
        network = Network('aabbc')
        old = [network.tasks[0].targets_by_id['t0']]
        network.tasks[0].handle(changing(0))
        entries = network.queue[0][2]
        network.queue.clear()
        for network.now, index in sorted(zip(delays, range(5), strict=True)):
            # An older announcement follows the drain on every path.
            network.queue += [(0, index, entries), (0, index, old)]
            network.deliver_all()
        network.now = 3.0
        settings = booking_configuration({'v1': 100})
        for task in network.tasks.values():
            table = routing.RoutingTable.build(
                settings, task.targets_by_id, 'edge-1', None
            )
            routed = table.match('/booking').targets_by_version['v1']
            assert {t.target_id for t in routed} == {'t1', 't2', 't3', 't4'}

    check()
