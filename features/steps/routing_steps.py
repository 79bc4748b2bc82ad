"""Steps on routes, versions by share and the choice of targets."""

import random

import attrs
from behave import given
from behave import step
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import membership_steps as members

from hemlockgrade import model
from hemlockgrade import routing
from hemlockgrade.plugins import least_loaded

STATES = model.MemberState


def rebuild(context, proxy_id='edge-1', changed=None):
    context.routes = routing.RoutingTable.build(
        context.configuration,
        context.targets,
        proxy_id,
        getattr(context, 'routes', None),
        changed,
    )
    return context.routes


def start(context, shares, targets, **options):
    context.configuration = members.booking_configuration(shares, **options)
    context.targets = {t.target_id: t for t in targets}
    context.routes = None
    rebuild(context)


def set_shares(context, shares, prefixes=('/booking',)):
    selectors = {'booking': members.selector(shares, prefixes)}
    context.configuration = attrs.evolve(
        context.configuration, selectors_by_name=selectors
    )
    rebuild(context)


@given('a proxy with the routes /, /booking and /booking/fees')
def proxy_with_routes(context):
    prefixes = ('/', '/booking', '/booking/fees')
    start(context, {'v1': 100}, [members.target('t0')], prefixes=prefixes)


@then('the path {path} is matched by {prefix}')
def matched_by(context, path, prefix):
    entry = context.routes.match(path)
    assert (entry.route.path_prefix if entry else 'nothing') == prefix


@given('version v1 on {count:d} targets, of which the label matches 2')
def labelled_targets(context, count):
    names = [f'{"xy"[i % 2]}{i}' for i in range(count)]
    start(context, {'v1': 100}, map(members.target, names), hosts='x*')


@then('the proxy edge-1 has routes to {count:d} targets of v1')
def routes_to(context, count):
    entry = context.routes.match('/booking')
    assert len(entry.targets_by_version['v1']) == count


@then('the proxy core-1 has no routes')
def no_routes_for(context):
    assert not rebuild(context, 'core-1').entries_by_prefix


@given('version v1 on {count:d} targets with all of the traffic')
def v1_serves(context, count):
    start(context, {'v1': 100}, [members.target(f't{i}') for i in range(count)])


@step('version v2 gets {share:d} percent of the traffic')
def v2_gets(context, share):
    shares = {'v1': 100 - share, 'v2': share}
    set_shares(context, shares, ('/booking', f'/share/{share}'))


@step('a target of v2 becomes known')
def v2_known(context):
    context.targets['n0'] = members.target('n0', version='v2')
    rebuild(context)


@when('version v2 gets no traffic and the unknown v3 gets 5 percent')
def v3_replaces_v2(context):
    set_shares(context, {'v1': 95, 'v2': 0, 'v3': 5})


@when('the selector is removed')
def selector_removed(context):
    context.configuration = attrs.evolve(
        context.configuration, selectors_by_name={}
    )
    rebuild(context)


def chosen_versions(context, count=1000, stopped=frozenset()):
    entry = context.routes.match('/booking')
    generator = random.Random(1)
    return [entry.choose_version(generator, stopped) for _ in range(count)]


@then('the versions in use are {versions}')
def versions_in_use(context, versions):
    used = sorted({str(v) for v in chosen_versions(context)})
    assert used == versions.split(', '), used


@given('a rollout of v2 gives it 5 percent')
def rollout_of_v2(context):
    rollout = model.Rollout(
        selector='booking',
        started_by=1,
        new_version='v2',
        old_shares_by_version={'v1': 100},
        progress_permille=50,
    )
    context.configuration = attrs.evolve(
        context.configuration, rollouts_by_selector={'booking': rollout}
    )
    set_shares(context, {'v2': 100})
    assert set(chosen_versions(context)) == {'v1', 'v2'}


@when('all targets of v1 are gone')
def v1_gone(context):
    context.targets = {
        i: attrs.evolve(t, state=STATES.GONE) if t.version == 'v1' else t
        for i, t in context.targets.items()
    }
    rebuild(context)


@given('a route with {percent:d} percent for v2')
def route_with_v2(context, percent):
    start(
        context,
        {'v1': 100 - percent, 'v2': percent},
        [members.target('t0'), members.target('n0', version='v2')],
    )


@then('about 5 percent of {count:d} proxies start with v2')
def first_requests(context, count):
    generator = random.Random(1)
    first = []
    for _ in range(count):
        table = routing.RoutingTable.build(
            context.configuration, context.targets, 'edge-1', None
        )
        first.append(table.match('/booking').choose_version(generator))
    assert 0.03 * count < first.count('v2') < 0.07 * count, first.count('v2')


@then('{count:d} requests with {versions} stopped all go to v1')
def stopped_versions(context, count, versions):
    stopped = {'v2'} if versions == 'v2' else {'v1', 'v2'}
    used = set(chosen_versions(context, count, frozenset(stopped)))
    assert used == {'v1'}, used


@given('a guard for v2 at 5 percent of the requests')
def guard_for_v2(context):
    context.guard = routing.VersionGuard('v2', 'v1')


def run_guard(guard, generator, count, old, new, share=0.05):
    for number in range(count):
        version = 'v2' if generator.random() < share else 'v1'
        rate = new if version == 'v2' else old
        failed = generator.random() < rate
        if guard.record(version, failed, share, number / 122):
            return True
    return False


@when(
    '{count:d} requests fail at {old:d} percent for v1 and {new:d} percent for v2'
)
def requests_fail(context, count, old, new):
    context.stopped = run_guard(
        context.guard, random.Random(1), count, old / 100, new / 100
    )


@then('the guard {result} v2')
def guard_result(context, result):
    assert context.stopped == (result == 'stops')
    assert bool(context.guard.stopped_versions(0.0)) == context.stopped


@then('at most 0.1 percent of {count:d} guards stop an equally failing version')
def false_alarms(context, count):
    alarms = 0
    for seed in range(count):
        guard = routing.VersionGuard('v2', 'v1')
        alarms += run_guard(guard, random.Random(seed), 600, 0.2, 0.2)
    assert alarms <= 0.001 * count, alarms


@when('every request to v2 fails')
def v2_fails(context):
    context.guards = routing.VersionGuards()
    entry = context.routes.match('/booking')
    generator = random.Random(1)
    for number in range(1000):
        now = number / 122
        stopped = context.guards.stopped_versions(entry, now)
        version = entry.choose_version(generator, stopped)
        context.guards.record(entry, version, version == 'v2', now)


@then('the proxy stops {version} on the route')
def stops_on_route(context, version):
    entry = context.routes.match('/booking')
    stopped = context.guards.stopped_versions(entry, 1000 / 122)
    assert stopped == {version} - {'nothing'}, stopped


@when('the rollout is rolled back')
def rolled_back(context):
    rollouts = context.configuration.rollouts_by_selector
    state = model.RolloutState.ROLLED_BACK
    rollouts['booking'] = attrs.evolve(rollouts['booking'], state=state)
    rebuild(context)


@given('12 warm targets over the domains a, b and c')
def warm_targets(context):
    context.targets = {
        f't{i}': members.target(f't{i}', domain='abc'[i % 3]) for i in range(12)
    }
    context.loads = routing.LoadTable()
    context.loads.members_changed(context.targets.values(), 0.0)
    context.balancer = least_loaded.LeastLoaded('a')
    context.generator = random.Random(1)


def choose(context, now=0.0, only=None):
    candidates = [context.targets[only]] if only else context.targets.values()
    # Routes pass a tuple and retries a list; both ways take turns.
    context.as_tuple = not getattr(context, 'as_tuple', False)
    if context.as_tuple:
        candidates = tuple(candidates)
    chosen = context.balancer.choose(
        candidates if context.as_tuple else list(candidates),
        context.loads,
        now,
        context.generator,
    )
    return chosen.target_id if chosen else None


def share_of(context, wanted, now=0.0, count=1000):
    chosen = [choose(context, now) for _ in range(count)]
    return sum(c in wanted for c in chosen) / count


def local_ids(context):
    targets = context.targets.values()
    return [t.target_id for t in targets if t.failure_domain == 'a']


@then('at {bound} {percent:d} percent of 1000 requests stay in domain a')
def stay_local(context, bound, percent):
    share = share_of(context, local_ids(context))
    least = bound == 'least'
    assert (share >= percent / 100) is least or share == percent / 100, share


@when('the targets in domain a have all slots in use')
def domain_full(context):
    for target_id in local_ids(context):
        for _ in range(18):
            context.loads.started(target_id, 0.0)


@when('connections to {which} fail {count:d} times')
def connections_fail(context, which, count):
    fail(context, ['t0'] if which == 't0' else context.targets, count)


def fail(context, target_ids, count, outcome=routing.Outcome.UNREACHABLE):
    for target_id in [i for i in target_ids for _ in range(count)]:
        context.loads.started(target_id, 0.0)
        context.loads.finished(target_id, 0.01, outcome, 0.0)


@then('targets ejected for errors serve on once they are most of all')
def most_err(context):
    erring = [f't{i}' for i in range(9)]
    fail(context, erring[:6], 5, routing.Outcome.ERROR)
    assert share_of(context, erring[:6]) == 0.0
    fail(context, erring[6:], 5, routing.Outcome.ERROR)
    assert share_of(context, erring) > 0.1


@then('t0 gets no request before 1 second has passed')
def no_request(context):
    assert share_of(context, ['t0'], now=0.99) == 0.0


@then('afterwards it gets one request at a time until one succeeds')
def one_at_a_time(context):
    assert share_of(context, ['t0'], now=1.01) > 0.0
    context.loads.started('t0', 1.01)
    assert share_of(context, ['t0'], now=1.02) == 0.0
    context.loads.finished('t0', 0.005, routing.Outcome.OK, 1.03)
    # Busier than t0 with one request, so that cost alone does not exclude it.
    for target_id in context.targets:
        for _ in range(1 if target_id == 't0' else 3):
            context.loads.started(target_id, 1.1)
    # It warms up again, although it is the least busy one.
    assert 0.0 < share_of(context, ['t0'], now=1.2) < 0.2


@then('a target is chosen at once')
def chosen_at_once(context):
    assert choose(context) is not None


@when('t0 answers 10 times slower than the others')
def answers_slowly(context):
    for target_id in context.targets:
        seconds = 0.1 if target_id == 't0' else 0.01
        for _ in range(50):
            context.loads.started(target_id, 0.0)
            context.loads.finished(target_id, seconds, routing.Outcome.OK, 0.0)


@then('t0 gets fewer than 1 percent of the requests')
def few_requests(context):
    assert share_of(context, ['t0']) < 0.01


@then('t0 is tried again within 30 seconds')
def tried_again(context):
    for number in range(30 * 100):
        now = number / 100
        chosen = choose(context, now)
        context.loads.started(chosen, now)
        if chosen == 't0':
            return
        # Latencies vary by a tenth, as no target is always the fastest.
        seconds = context.generator.uniform(0.009, 0.011)
        context.loads.finished(chosen, seconds, routing.Outcome.OK, now)
    raise AssertionError('never tried again')


@when('t0 was restarted')
def restarted(context):
    context.targets['t0'] = members.target('t0', boot_id='b2', incarnation=9)
    context.loads.members_changed([context.targets['t0']], 0.0)


@then('its share grows over 10 seconds')
def share_grows(context):
    times = (0.0, 3.0, 6.0, 10.0)
    shares = [share_of(context, ['t0'], now, 4000) for now in times]
    assert 0.0 < shares[0] < shares[1] < shares[2] < shares[3], shares
    assert shares[0] < 0.03, shares


@when('t0 becomes {state}')
def becomes(context, state):
    if state == 'unreachable':
        context.targets['t0'] = members.target('t0', domain='d')
        context.loads.unreachable_domains = frozenset('d')
        # The own domain would be preferred if it were reachable.
        context.balancer = least_loaded.LeastLoaded('d')
    else:
        changed = members.target('t0', state=STATES[state.upper()])
        context.targets['t0'] = changed


@then('t0 gets no work')
def gets_no_work(context):
    assert share_of(context, ['t0']) == 0.0
    assert choose(context, only='t0') is None


@then('t0 gets work only as the last')
def gets_work_last(context):
    assert share_of(context, ['t0']) == 0.0
    assert choose(context, only='t0') == 't0'


SHARES = strategies.sampled_from(
    [
        {'v1': 100},
        {'v1': 95, 'v2': 5},
        {'v1': 50, 'v2': 50},
        {'v2': 100},
        {'v1': 90, 'v2': 5, 'v3': 5},
        None,
    ]
)
MEMBERS = strategies.tuples(
    strategies.integers(0, 8), strategies.sampled_from(list(STATES))
)


@then('no generated table routes to an unknown target')
def routes_to_known(context):
    @members.HISTORIES
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(SHARES, MEMBERS), min_size=40, max_size=80
        )
    )
    def check(steps):
        start(context, {'v1': 100}, [])
        for change in steps:
            if isinstance(change, tuple):
                name = f't{change[0]}'
                context.targets[name] = members.target(
                    name, version=f'v{change[0] % 3 + 1}', state=change[1]
                )
                if change[0] > 5 and change[1] is STATES.SUSPECT:
                    context.targets[name] = attrs.evolve(
                        context.targets[name], service='other'
                    )
                rebuild(context, changed=[context.targets[name]])
            elif change is None:
                selector_removed(context)
            else:
                set_shares(context, change)
            check_routes(context)

    check()


def check_routes(context):
    usable = [
        t
        for t in context.targets.values()
        if t.state <= STATES.SUSPECT and t.service == 'booking'
    ]
    for entry in context.routes.entries():
        routed = [t for ts in entry.targets_by_version.values() for t in ts]
        assert all(t in usable for t in routed)
        wanted = context.configuration.shares('booking')
        used = set(chosen_versions(context, 200)) - {None}
        assert used <= set(wanted), (used, wanted)
        known = {t.version for t in usable}
        if set(wanted) <= known:
            assert entry.shares_by_version == wanted
            assert used == set(wanted)
        for version in used:
            assert any(t.version == version for t in routed)
    if not context.configuration.selectors_by_name:
        assert not list(context.routes.entries())
    # A whole build finds the same as the builds by changed targets.
    found = [
        [(e.shares_by_version, e.targets_by_version) for e in table.entries()]
        for table in (context.routes, rebuild(context))
    ]
    assert found[0] == found[1], found


@then(
    'a version never exceeds its share by more than one request in any window'
)
def windows(context):
    @members.HISTORIES
    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(1, 50))
    def check(seed, percent):
        route_with_v2(context, percent)
        generator = random.Random(seed)
        entry = context.routes.match('/booking')
        chosen = []
        for number in range(400):
            if number % 37 == 0:
                # A change of members must not start the split anew.
                context.targets['x'] = members.target('x', incarnation=number)
                entry = rebuild(context).match('/booking')
            chosen.append(entry.choose_version(generator))
        for size in (20, 100):
            for first in range(400 - size):
                count = chosen[first : first + size].count('v2')
                assert abs(count - size * percent / 100) <= 1.0001, count

    check()
