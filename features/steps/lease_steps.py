"""Steps on leases."""

import asyncio
import random

import attrs
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from features.support import fake_platform
from features.support import histories
from features.support import virtual_time
from hemlockgrade import changelog
from hemlockgrade import configuration
from hemlockgrade import exceptions
from hemlockgrade import lease
from hemlockgrade import model
from hemlockgrade import serialization
from standins import object_store

TERM_S = 3.0


class Process:
    """A process that keeps the lease, with its own clock."""

    def __init__(self, store, name, seed=0, rate=0.0, faults=()):
        self.name = name
        self.events = []
        self.clock_offset_s = 0.0
        self.platform = fake_platform.FakePlatform(
            store, random.Random(seed), rate, faults
        )
        self.keeper = lease.LeaseKeeper(
            self.platform,
            'rollout',
            name,
            '127.0.0.1:1',
            TERM_S,
            lambda: virtual_time.unix_time() + self.clock_offset_s,
            monotonic=lambda: virtual_time.monotonic() + self.clock_offset_s,
            random=random.Random(seed),
            on_acquired=lambda holding: self.events.append(holding.epoch),
            on_lost=lambda: self.events.append('lost'),
        )
        self.task = asyncio.create_task(self.keeper.run())


def in_loop(context, function, *arguments):
    async def call():
        return function(*arguments)

    return context.runner.run(call())


@given('a keeper {name:w} of a lease with a term of 3 seconds')
def first_keeper(context, name):
    new_world(context)
    second_keeper(context, name)


@given('a keeper {name:w} whose first calls end {faults}')
def keeper_with_faults(context, name, faults):
    new_world(context)
    second_keeper(context, name, faults.split(', '))


@given('a lease left with a deadline in {seconds:d} seconds')
def lease_left(context, seconds):
    new_world(context)
    left = lease.Lease(
        holder='x',
        epoch=1,
        deadline=in_loop(context, virtual_time.unix_time) + seconds,
        address='',
        write_id='x',
    )
    value = serialization.to_json(left)
    context.store.put('leases/rollout', value, None)


def new_world(context):
    context.store = object_store.ObjectStore()
    context.processes_by_name = {}
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualTimeLoop)
    context.add_cleanup(context.runner.close)


@given('a keeper {name:w} of the same lease')
def second_keeper(context, name, faults=()):
    context.processes_by_name[name] = in_loop(
        context, Process, context.store, name, 0, 0.0, faults
    )


@when('the lease clock advances by {seconds:g} s')
def pass_time(context, seconds):
    context.runner.run(asyncio.sleep(seconds))


@when('{name:w} is killed and {seconds:g} seconds pass')
def kill(context, name, seconds):
    context.processes_by_name[name].task.cancel()
    pass_time(context, seconds)


@when('{name:w} releases the lease')
def release(context, name):
    context.runner.run(context.processes_by_name[name].keeper.release())


@when('the clock of {name:w} jumps by {seconds:g} seconds')
def jump(context, name, seconds):
    context.processes_by_name[name].clock_offset_s += seconds


@when('the platform is down for {name:w}, and {seconds:g} seconds pass')
def platform_down(context, name, seconds):
    context.processes_by_name[name].platform.down_until = float('inf')
    pass_time(context, seconds)


@when('the next calls of {name:w} end {faults}, and {seconds:g} seconds pass')
def next_calls(context, name, faults, seconds):
    context.processes_by_name[name].platform.faults = faults.split(', ')
    pass_time(context, seconds)


def holding_epoch(context, name):
    keeper = context.processes_by_name[name].keeper
    holding = in_loop(context, lambda: keeper.holding)
    return holding.epoch if holding else None


@then('{name:w} holds epoch {epoch:d}')
def holds_epoch(context, name, epoch):
    assert holding_epoch(context, name) == epoch, holding_epoch(context, name)


@then('{name:w} holds nothing')
def holds_nothing(context, name):
    assert holding_epoch(context, name) is None


@then('{name:w} holds epoch {epoch:d} and {other:w} holds nothing')
def one_holds(context, name, epoch, other):
    holds_epoch(context, name, epoch)
    holds_nothing(context, other)


@then('{name:w} holds nothing and was told so')
def told_of_loss(context, name):
    holds_nothing(context, name)
    assert context.processes_by_name[name].events == [1, 'lost']


@then('{name:w} holds epoch 2 and was told of each change')
def told_of_changes(context, name):
    holds_epoch(context, name, 2)
    assert context.processes_by_name[name].events == [1, 'lost', 2]


@then('{name:w} holds epoch 1 or 2 and no other epoch was announced')
def one_epoch(context, name):
    events = context.processes_by_name[name].events
    assert events in ([1], [2]), events
    assert holding_epoch(context, name) == events[0]


@then('{name:w} holds epoch 1 after {low:d} to {high:d} writes')
def holds_after_writes(context, name, low, high):
    holds_epoch(context, name, 1)
    writes = context.store.get('leases/rollout').version
    assert low <= writes <= high, writes


@attrs.define
class HolderHistory:
    """Processes that append entries while they hold the lease."""

    store: object_store.ObjectStore = attrs.field(
        factory=object_store.ObjectStore
    )
    holders_by_epoch: dict = attrs.field(factory=dict)
    processes: list = attrs.field(factory=list)

    async def act(self, process, seed):
        """Announces each new epoch, then appends steps under it."""
        log = changelog.ChangeLog(
            process.platform,
            virtual_time.unix_time,
            virtual_time.monotonic,
            random.Random(seed),
        )
        current = configuration.Configuration()
        announced = 0
        for step in range(1000):
            await asyncio.sleep(0.2)
            holding = process.keeper.holding
            if holding is None:
                continue
            self.check_alone(process, holding)
            kind = model.ChangeKind.SET_PROGRESS
            if announced < holding.epoch:
                kind = model.ChangeKind.EPOCH
            draft = model.Change(
                number=0,
                change_id=f'{process.name}-{step}',
                kind=kind,
                name='rollout',
                epoch=holding.epoch,
                author=process.name,
            )
            try:
                current = await log.append(current, draft)
                announced = max(announced, holding.epoch)
            except exceptions.ConflictError:
                current = await self.load(log) or current
            except (
                exceptions.PlatformUnavailableError,
                exceptions.StaleEpochError,
            ):
                continue

    async def load(self, log):
        try:
            return await log.load()
        except exceptions.PlatformUnavailableError:
            return None

    def check_alone(self, process, holding):
        """Checks that no two processes may act at one moment."""
        owner = self.holders_by_epoch.setdefault(holding.epoch, process.name)
        assert owner == process.name, (owner, process.name, holding)
        acting = [p.name for p in self.processes if p.keeper.holding]
        assert acting == [process.name], acting

    async def run(self, seed, rate, count, kills):
        actors = []
        for number in range(count):
            process = Process(self.store, f'p{number}', seed + number, rate)
            self.processes.append(process)
            actors.append(
                asyncio.create_task(self.act(process, -seed - number))
            )
        for number, delay_s in kills:
            await asyncio.sleep(delay_s)
            await self.processes[number % count].keeper.release()
        await asyncio.sleep(60)
        for task in actors:
            if task.done():
                task.result()
            task.cancel()

    def check(self):
        log = histories.stored_changes(self.store)
        histories.check_numbers(log)
        epochs = [entry.epoch for entry in log]
        assert epochs == sorted(epochs), epochs
        for entry in log:
            owner = self.holders_by_epoch[entry.epoch]
            assert entry.author == owner, entry
        firsts = [log[epochs.index(epoch)] for epoch in set(epochs)]
        assert all(e.kind is model.ChangeKind.EPOCH for e in firsts), firsts


@when('generated histories of lease holders run')
def run_holder_histories(context):
    context.entries = 0
    kill = strategies.tuples(
        strategies.integers(0, 3), strategies.sampled_from([0, 1, 7])
    )

    @histories.SETTINGS
    @hypothesis.given(
        seed=histories.SEEDS,
        rate=histories.FAULT_RATES,
        count=strategies.integers(2, 4),
        kills=strategies.lists(kill, max_size=2),
    )
    def check(seed, rate, count, kills):
        history = HolderHistory()
        virtual_time.run(history.run, seed, rate, count, kills)
        history.check()
        context.entries += len(history.store.select(changelog.CHANGES))

    histories.run(check)


@then("in each no holder acted after another one's first action")
def no_overlap(context):
    # Without entries the histories would have checked nothing.
    assert context.entries > 0
