"""Steps on rollouts, against a log, a lease and traffic in virtual time."""

import asyncio
import itertools
import os
import random
import types

import attrs
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hemlockgrade import configuration as configuration_module
from hemlockgrade import evidence
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import rollout_holder
from hemlockgrade.plugins import sequential_judge

NOW = 1_000_000.0
SEEDS = int(os.environ.get('HEMLOCK_SEEDS', '25'))
STEP_S = 0.25
UP_DELAY_S = 1.0
DOWN_DELAY_S = 0.5
LEASE_S = 3.0
WEIGHTS_BY_ROUTE = {'/booking': 0.7, '/fees': 0.3}
STEP_KINDS = (model.ChangeKind.SET_PROGRESS, model.ChangeKind.END_ROLLOUT)


class Log:
    """The change log of one holder, over the world's changes."""

    def __init__(self, world):
        self.world = world
        self.before_append = []

    async def load(self):
        self.world.call_platform()
        return self.world.configuration

    async def append(self, configuration, draft):
        while self.before_append:
            await self.before_append.pop()(draft)
        self.world.call_platform()
        if draft.name in self.world.names_after(configuration.version):
            raise exceptions.ConflictError('changed', remedy='read it again')
        self.world.write(draft)
        self.world.lose_response()
        return self.world.configuration

    async def write_snapshot(self, configuration):
        self.world.call_platform()
        self.world.snapshots.append(configuration.version)

    async def trim(self, configuration):
        self.world.trims.append(configuration.version)


class Followed:
    """The configuration task; it follows the log with a delay."""

    def __init__(self):
        self.configuration = configuration_module.Configuration()
        self.callbacks = []

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def follow(self, configuration, changes):
        self.configuration = configuration
        for callback in self.callbacks:
            callback(configuration, changes)


class Member:
    """One daemon that may hold the lease."""

    def __init__(self, world, name):
        self.lease = types.SimpleNamespace(holding=None)
        self.log = Log(world)
        self.followed = Followed()
        self.store = evidence.EvidenceStore()
        self.next_round = 0.0
        self.alive = True
        self.holder = rollout_holder.RolloutHolder(
            self.lease,
            self.log,
            self.followed,
            self.store,
            sequential_judge.SequentialJudge(),
            lambda: world.now,
            world,
            author=name,
            new_id=lambda: f'{name}-{len(world.changes)}',
        )


class World:
    """Traffic, platform and two candidates for the lease."""

    def __init__(self, rate=500, base_error_rate=0.0, seed=1):
        self.now = NOW
        self.rate = rate
        self.base_error_rate = base_error_rate
        self.random = random.Random(seed)
        self.faults = []
        self.ready_after_s = 0.0
        self.outages = []
        self.calls_in_outage = 0
        self.lost_responses = itertools.repeat(False)
        self.changes = []
        self.versions = [configuration_module.Configuration()]
        self.snapshots = []
        self.trims = []
        self.in_flight = []
        self.sequence = 0
        self.shares = [(NOW, 0.0)]
        self.failures_at = []
        self.epoch = 0
        self.members = [Member(self, 'h1'), Member(self, 'h2')]
        for name, kind in (('edge', 'proxy'), ('hosts', 'target')):
            body = {'name': name, 'kind': kind, 'members': ['*']}
            self.operator(model.ChangeKind.PUT_LABEL, name, body)
        self.put_selector({'v1': 100})
        self.acquire(self.members[0])

    @property
    def configuration(self):
        return self.versions[-1]

    @property
    def rollout(self):
        return self.configuration.rollouts_by_selector['booking']

    def is_running(self):
        entry = self.configuration.rollouts_by_selector.get('booking')
        return entry is not None and entry.state is model.RolloutState.RUNNING

    @property
    def targets_by_id(self):
        versions = ['v1']
        if self.now >= NOW + self.ready_after_s:
            versions.append('v2')
        return {
            f'{version}-{index}': model.Target(
                target_id=f'{version}-{index}',
                service='booking',
                version=version,
                failure_domain='a',
                admission_address='127.0.0.1:1',
                slots=18,
            )
            for version in versions
            for index in range(3)
        }

    def put_selector(self, shares, agreed_by=None):
        routes = [{'path_prefix': route} for route in WEIGHTS_BY_ROUTE]
        body = {
            'name': 'booking',
            'proxies': 'edge',
            'targets': 'hosts',
            'service': 'booking',
            'routes': routes,
            'shares_by_version': shares,
            'agreed_by': agreed_by,
        }
        self.operator(model.ChangeKind.PUT_SELECTOR, 'booking', body)

    def operator(self, kind, name, body):
        self.write(
            model.Change(
                number=0,
                change_id=f'operator-{len(self.changes)}',
                kind=kind,
                name=name,
                body=body,
                author='operator',
                written_at=self.now,
            )
        )

    def write(self, draft):
        change = attrs.evolve(draft, number=self.configuration.version + 1)
        configuration_module.validate(self.configuration, change, self.now)
        self.changes.append(change)
        self.versions.append(
            configuration_module.apply(self.configuration, change)
        )
        effect = (self.now + DOWN_DELAY_S, self.configuration, change)
        self.in_flight.append(effect)

    def names_after(self, version):
        return {c.name for c in self.changes if c.number > version}

    def call_platform(self):
        if any(start <= self.now - NOW < end for start, end in self.outages):
            self.calls_in_outage += 1
            raise exceptions.PlatformUnavailableError('down', remedy='wait')

    def lose_response(self):
        if next(self.lost_responses):
            raise exceptions.PlatformUnavailableError(
                'no response', remedy='read back', outcome_known=False
            )

    def acquire(self, member):
        self.epoch += 1
        for other in self.members:
            other.lease.holding = None
        member.lease.holding = types.SimpleNamespace(epoch=self.epoch)

    def share(self):
        return (
            self.members[0]
            .followed.configuration.shares('booking')
            .get('v2', 0.0)
        )

    def steps(self):
        return [c for c in self.changes if c.kind in STEP_KINDS]

    async def pass_time(self, until):
        while self.now < NOW + until:
            self.now += STEP_S
            self.deliver()
            self.traffic()
            for member in self.members:
                if member.alive and self.now >= member.next_round:
                    member.next_round = self.now + await member.holder.step()

    def deliver(self):
        while self.in_flight and self.in_flight[0][0] <= self.now:
            _, configuration, change = self.in_flight.pop(0)
            for member in self.members:
                member.followed.follow(configuration, (change,))
        if (
            'booking'
            in self.members[0].followed.configuration.selectors_by_name
        ):
            self.shares.append((self.now, self.share()))

    def traffic(self):
        share = self.shares[-1][1]
        records = []
        for route, weight in WEIGHTS_BY_ROUTE.items():
            for version, part in (('v1', 1 - share), ('v2', share)):
                mean = self.rate * STEP_S * weight * part
                requests = int(mean + self.random.random())
                if requests:
                    records.append(self.record(version, route, requests, share))
        for member in self.members:
            # The evidence was on its way for this long.
            member.store.merge(records, self.now + UP_DELAY_S)

    def record(self, version, route, requests, share):
        elapsed = self.now - NOW
        error_rate, bucket_shift = self.base_error_rate, 0
        for fault in self.faults:
            rate, shift = fault(version, route, elapsed, share)
            error_rate = max(error_rate, rate)
            bucket_shift = max(bucket_shift, shift)
        outcomes = [self.random.random() < error_rate for _ in range(requests)]
        buckets = [0] * evidence.BUCKET_COUNT
        for _ in outcomes:
            buckets[round(self.random.gauss(11, 1.5)) + bucket_shift] += 1
        harm = sum(outcomes) + bool(bucket_shift) * requests
        if version == 'v2' and error_rate + bucket_shift > 0.1:
            self.failures_at += [self.now] * harm
        self.sequence += 1
        return evidence.Evidence(
            selector='booking',
            version=version,
            route=route,
            window=int(self.now - UP_DELAY_S),
            requests=requests,
            errors=sum(outcomes),
            latency_buckets=tuple(buckets),
            reporter='proxies',
            sequence=self.sequence,
        )


def run(context, until):
    asyncio.run(context.world.pass_time(until))


@given(
    'booking at {rate:d} requests a second, of which {percent:g} percent fail'
)
def booking_traffic(context, rate, percent):
    context.world = World(rate, percent / 100)


def add_fault(context, applies, rate=0.0, shift=0):
    context.world.faults.append(
        lambda version, *facts: (
            (rate, shift) if version == 'v2' and applies(*facts) else (0, 0)
        )
    )


@given('v2 fails {percent:d} percent from the first request')
@given('v2 fails {percent:d} percent on {name}')
def fails_at_once(context, percent, name=''):
    rate = percent / 100
    add_fault(context, lambda route, e, s: route.startswith(name), rate)


@given('v2 fails {percent:d} percent after {seconds:d} seconds')
def fails_late(context, percent, seconds):
    add_fault(context, lambda r, elapsed, s: elapsed >= seconds, percent / 100)


@given('v2 fails {percent:d} percent above a share of {bound:d}')
def fails_under_load(context, percent, bound):
    add_fault(context, lambda r, e, share: share > bound / 100, percent / 100)


@given('v2 is 4 times slower')
@given('v2 is 4 times slower on {name}')
def slower(context, name=''):
    # Bounds grow by the square root of 2.
    add_fault(context, lambda route, e, s: route.startswith(name), shift=4)


@given(
    'both versions fail {percent:d} percent from {start:d} to {end:d} seconds'
)
def both_fail(context, percent, start, end):
    context.world.faults.append(
        lambda v, r, elapsed, s: (percent / 100 * (start <= elapsed < end), 0)
    )


def merge_counts(context, version, window, requests, errors):
    context.sequence += 1
    entry = evidence.Evidence(
        selector='booking',
        version=version,
        route='/booking',
        window=window,
        requests=requests,
        errors=errors,
        latency_buckets=(0, 0, requests),
        reporter='proxies',
        sequence=context.sequence,
    )
    context.store.merge([entry], NOW)


@given('an old version that served {requests:d} requests without a failure')
def old_history(context, requests):
    context.store, context.sequence = evidence.EvidenceStore(), 0
    merge_counts(context, 'v1', int(NOW) - 20, requests, 0)


@when(
    'in one second {new:d} of {part:d} requests of v2 fail, and {old:d} of {requests:d} of v1'
)
def one_second(context, new, part, old, requests):
    window = int(NOW) + context.sequence // 2
    merge_counts(context, 'v2', window, part, new)
    merge_counts(context, 'v1', window, requests, old)


@then('the judge finds v2 {finding}')
def judge_finds(context, finding):
    comparison = context.store.compare('booking', 'v2', ('v1',), NOW)
    verdict = sequential_judge.SequentialJudge().judge(comparison)
    assert verdict.outcome == finding, verdict


@given('the targets of v2 come after {seconds:d} seconds')
def late_targets(context, seconds):
    context.world.ready_after_s = seconds


@when('v2 is agreed within {seconds:d} seconds')
def agree(context, seconds):
    context.seconds = seconds
    context.world.put_selector({'v2': 100}, NOW + seconds)


@when('the agreed time passes')
@when('the rollout clock advances by {seconds:d} s')
def seconds_pass(context, seconds=None):
    run(context, seconds or context.seconds)


@when('the holder is killed after {seconds:d} seconds')
def kill_holder(context, seconds):
    run(context, seconds)
    first, second = context.world.members
    first.alive = False
    first.lease.holding = None
    run(context, seconds + LEASE_S)
    context.world.acquire(second)


def pause_before_next_write(context, until):
    world = context.world
    first, second = world.members

    async def pause(draft):
        context.late_id = draft.change_id
        first.alive = False
        world.epoch += 1
        second.lease.holding = types.SimpleNamespace(epoch=world.epoch)
        await until(second)
        first.lease.holding = None
        first.alive = True

    run(context, 40)
    first.log.before_append.append(pause)
    run(context, 140)


@when('the holder is paused before its next write, until v2 is rolled back')
def pause_until_rollback(context):
    async def until(_):
        await context.world.pass_time(130)
        assert context.world.rollout.state is model.RolloutState.ROLLED_BACK

    pause_before_next_write(context, until)


@when(
    'the holder is paused before its next write, until the next one wrote its epoch'
)
def pause_until_epoch(context):
    async def until(next_holder):
        # Without evidence it writes nothing but its epoch.
        next_holder.store.forget('booking')
        await next_holder.holder.step()

    pause_before_next_write(context, until)


@then('every change of the paused holder was written before the next epoch')
def nothing_late(context):
    changes = context.world.changes
    assert context.late_id not in {c.change_id for c in changes}
    check_epochs(context.world)


@then('the late write is in the log and changes nothing')
def late_write(context):
    versions = context.world.versions
    [late] = [
        c for c in context.world.changes if c.change_id == context.late_id
    ]
    assert late.kind in STEP_KINDS, late
    before, after = versions[late.number - 1], versions[late.number]
    assert attrs.evolve(after, version=before.version) == before


@when('nobody holds the lease until the agreed time')
def no_lease(context):
    context.world.members[0].lease.holding = None
    seconds_pass(context)


@when('the lease is lost right after the epoch is written')
def lose_lease(context):
    world = context.world

    async def lose(draft):
        assert draft.kind is model.ChangeKind.EPOCH, draft
        world.members[0].lease.holding = None

    world.members[0].log.before_append.append(lose)
    run(context, context.seconds)


@when('the log refuses the next step for its epoch')
def refuse_epoch(context):
    async def refuse(draft):
        raise exceptions.StaleEpochError('old epoch', remedy='stop acting')

    run(context, 10)
    context.world.members[0].log.before_append.append(refuse)


@when('the platform fails from {start:d} to {end:d} seconds')
def outage(context, start, end):
    context.world.outages.append((start, end))


@when('every second response of the platform is lost')
def lose_responses(context):
    context.world.lost_responses = itertools.cycle([False, True])


@when('an operator names v1 again after {seconds:d} seconds')
def operator_stops(context, seconds):
    run(context, seconds)
    context.stopped_at = context.world.configuration.version + 1
    context.world.put_selector({'v1': 100})


@when('an operator names v1 again right before a step is written')
def operator_races(context):
    world = context.world

    async def stop(draft):
        world.put_selector({'v1': 100})

    run(context, 20)
    world.members[0].log.before_append.append(stop)


@when('operators write {count:d} changes in {seconds:d} seconds')
def many_changes(context, count, seconds):
    world = context.world
    for index in range(count):
        body = {'name': 'spare', 'kind': 'target', 'members': [f'x{index}']}
        world.operator(model.ChangeKind.PUT_LABEL, 'spare', body)
        run(context, seconds * (index + 1) / count)


@then('{count:d} snapshots were written, and the log was trimmed after each')
def snapshots_written(context, count):
    world = context.world
    assert len(world.snapshots) == count, world.snapshots
    assert world.trims == world.snapshots


@then('the rollout is done, and v2 serves all of booking')
def is_done(context):
    entry = context.world.rollout
    assert entry.state is model.RolloutState.DONE, entry
    assert context.world.configuration.shares('booking') == {'v2': 1.0}


@then('the rollout is rolled back, because {reason}')
def is_rolled_back(context, reason):
    entry = context.world.rollout
    assert entry.state is model.RolloutState.ROLLED_BACK, entry
    expected = reason.replace('v2 was ', 'version v2 ')
    assert expected in entry.reason, entry.reason
    assert context.world.configuration.shares('booking') == {'v1': 1.0}


@then('v1 serves all of booking')
def old_serves(context):
    assert context.world.configuration.shares('booking') == {'v1': 1.0}


@then('v2 had no share {seconds:d} seconds after its tenth failure')
def no_share_soon(context, seconds):
    world = context.world
    assert world.shares[-1][1] == 0, world.shares[-1]
    if len(world.failures_at) < 10:
        # Fewer failures than that sufficed.
        return
    last_share_at = max(at for at, share in world.shares if share)
    took = last_share_at - world.failures_at[9]
    assert took <= seconds, took


@then('v2 had more than 5 percent only after it was judged good')
def judged_first(context):
    for change in context.world.steps():
        if change.body.get('progress_permille', 0) > 50:
            assert change.body['reason'].startswith('good at'), change


@then('v2 never had more than {percent:d} percent')
def share_bound(context, percent):
    most = max(share for _, share in context.world.shares)
    assert most <= percent / 100, most


@then('the reasons name the share and the evidence')
def reasons(context):
    for change in context.world.steps()[1:]:
        assert 'requests failed, against' in change.body['reason'], change
        assert (
            '%' in change.body['reason'] or change is context.world.steps()[-1]
        )


def check_epochs(world):
    epoch = 0
    for change, after in zip(world.changes, world.versions[1:], strict=True):
        if change.kind is model.ChangeKind.EPOCH:
            epoch = max(epoch, change.epoch)
        before = world.versions[change.number - 1]
        if change.kind in STEP_KINDS and change.epoch < epoch:
            assert after.rollouts_by_selector == before.rollouts_by_selector


@then('every step carries the epoch in force')
def steps_carry_epoch(context):
    check_epochs(context.world)
    assert context.world.configuration.epochs_by_lease == {'rollout': 2}
    assert {c.epoch for c in context.world.steps()} == {1, 2}


@then('the holder asked the platform at most {count:d} times in the outage')
def calls_bound(context, count):
    assert 0 < context.world.calls_in_outage <= count


@then('no step stands twice in the log')
def no_step_twice(context):
    progress = [
        (c.name, c.body.get('progress_permille'), c.body.get('state'))
        for c in context.world.steps()
    ]
    assert len(progress) == len(set(progress)), progress


@then('the log has no step')
@then("the log has no step after the operator's change")
def no_step(context):
    stopped_at = getattr(context, 'stopped_at', 0)
    assert all(c.number < stopped_at for c in context.world.steps())


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 100),
        strategies.sampled_from(
            ['outage', 'kill', 'pause', 'stop', 'lost responses', 'late']
        ),
    ),
    max_size=5,
)


async def play(world, events):
    """Lets the events happen, each at its second."""
    for second, event in sorted(events):
        await world.pass_time(second)
        holder, other = world.members
        if holder.lease.holding is None:
            holder, other = other, holder
        if event == 'outage':
            world.outages.append((second, second + 20))
        elif event == 'kill':
            holder.lease.holding = None
            await world.pass_time(second + LEASE_S)
            world.acquire(other)
        elif event == 'pause':
            # The lease passes on between the check and the write.
            async def pass_on(draft, other=other):
                world.acquire(other)
                await other.holder.step()

            holder.log.before_append.append(pass_on)
        elif event == 'stop':
            # Once a rollout is done, naming v1 again is a new rollout.
            if world.is_running():
                world.put_selector({'v1': 100})
        elif event == 'lost responses':
            world.lost_responses = itertools.cycle([False, True])
        else:
            start = second
            world.faults.append(
                lambda version, r, elapsed, s, start=start: (
                    0.4 * (version == 'v2' and elapsed >= start),
                    0,
                )
            )


def check_rules(world):
    check_epochs(world)
    entry = world.configuration.rollouts_by_selector.get('booking')
    shares = world.configuration.shares('booking')
    if entry is None:
        # An operator stopped it.
        assert shares == {'v1': 1.0}, shares
        return
    assert entry.state is not model.RolloutState.RUNNING, entry
    done = entry.state is model.RolloutState.DONE
    assert shares == {'v2' if done else 'v1': 1.0}, shares
    for change in world.steps():
        if change.body.get('progress_permille', 0) > 50:
            assert change.body['reason'].startswith('good at'), change


@then('in generated histories of faults, every rollout ends by the rules')
def generated_histories(context):
    @hypothesis.settings(
        max_examples=SEEDS, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(EVENTS, strategies.integers(0, 1000))
    def check(events, seed):
        world = World(rate=200, base_error_rate=0.005, seed=seed)
        world.put_selector({'v2': 100}, NOW + 120)

        async def history():
            await play(world, events)
            # Outages last at most 20 s; the log can be written afterwards.
            await world.pass_time(150)

        asyncio.run(history())
        check_rules(world)

    check()
