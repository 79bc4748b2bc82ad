"""Steps on the change log."""

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
from hemlockgrade import model
from hemlockgrade import platform_api
from hemlockgrade import serialization
from standins import object_store

Kind = model.ChangeKind
AGREED_BY = 2_000_000.0


def put_label(name, change_id='draft', member='*', kind='target'):
    body = {'name': name, 'kind': kind, 'members': [member]}
    return change(Kind.PUT_LABEL, name, body, change_id=change_id)


def put_selector(change_id='draft', version='v1', agreed_by=None):
    body = {
        'name': 'booking',
        'proxies': 'edge',
        'targets': 'label-1',
        'service': 'booking',
        'routes': [{'path_prefix': '/booking'}],
        'shares_by_version': {version: 100},
        'agreed_by': agreed_by,
    }
    return change(Kind.PUT_SELECTOR, 'booking', body, change_id=change_id)


def change(kind, name, body=None, epoch=0, change_id='draft'):
    return model.Change(
        number=0,
        change_id=change_id,
        kind=kind,
        name=name,
        body=body or {},
        epoch=epoch,
        author=f'author of {change_id}',
    )


def write_log(store, drafts):
    """Puts changes into a store without the code under test."""
    current = configuration.Configuration()
    for number, draft in enumerate(drafts, 1):
        entry = attrs.evolve(draft, number=number)
        store.put(
            changelog.change_key(number), serialization.to_json(entry), None
        )
        current = configuration.apply(current, entry)
    return current


def make_log(store, faults=(), rate=0.0, seed=0):
    chance = random.Random(seed)
    platform = fake_platform.FakePlatform(store, chance, rate, faults)
    return changelog.ChangeLog(
        platform, virtual_time.unix_time, virtual_time.monotonic, chance
    )


def append(context, draft, faults=(), known=None):
    """Appends a draft against a known configuration."""
    context.error = None

    async def run():
        log = make_log(context.store, faults)
        await log.append(known or context.configuration, draft)

    try:
        virtual_time.run(run)
    except exceptions.HemlockError as error:
        context.error = error


def append_both(context, first, second):
    """Appends two drafts made against the same configuration."""
    append(context, first)
    assert context.error is None, context.error
    append(context, second)


def ids_in_log(context):
    return [c.change_id for c in histories.stored_changes(context.store)]


@given('a log of {count:d} changes')
def log_of(context, count):
    context.store = object_store.ObjectStore()
    drafts = [put_label(f'label-{i}', f'old-{i}') for i in range(1, count + 1)]
    context.configuration = write_log(context.store, drafts)


@given('a log of 600 changes, trimmed')
def trimmed_log(context):
    log_of(context, 600)
    snapshot_and_trim(context)


@given('a rollout that is running')
def running_rollout(context):
    context.store = object_store.ObjectStore()
    context.configuration = write_log(
        context.store,
        [
            put_label('label-1', 'targets'),
            put_label('edge', 'proxies', kind='proxy'),
            put_selector('first'),
            put_selector('second', 'v2', AGREED_BY),
        ],
    )


@given('a configuration of 3 MB')
def large_configuration(context):
    log_of(context, 1)
    drafts = [
        put_label(f'label-{i}', f'old-{i}', f'{"ä" * 1500}-{i}')
        for i in range(1000)
    ]
    context.configuration = write_log(object_store.ObjectStore(), drafts)


@given(
    'an entry {number:d} written by a paused writer that ended before its check'
)
def misplaced_entry(context, number):
    entry = attrs.evolve(put_label('label-1', 'misplaced'), number=number)
    context.store.put(
        changelog.change_key(number), serialization.to_json(entry), None
    )


@when('an operator appends a change and the calls end {faults}')
def append_with_faults(context, faults):
    append(context, put_label('new'), faults.split(', '))


@when(
    'an operator appends a change, its answer is lost and the platform stays down'
)
def append_while_down(context):
    append(context, put_label('new'), ['lost', *['down'] * 100])


@when('two operators change the same label at once')
def same_label(context):
    append_both(
        context, put_label('label-1', 'winner'), put_label('label-1', 'draft')
    )


@when('two operators change different labels at once')
def different_labels(context):
    append_both(
        context, put_label('label-1', 'winner'), put_label('label-2', 'draft')
    )


@when('one operator deletes a label while another one makes a selector of it')
def delete_used_label(context):
    append(context, put_label('edge', 'proxies', kind='proxy'))
    log = make_log(context.store)
    context.configuration = virtual_time.run(log.load)
    append_both(
        context, change(Kind.DELETE_LABEL, 'label-1'), put_selector('late')
    )


@when('a holder of epoch 1 appends {kind} after epoch 2 has begun')
def stale_holder(context, kind):
    name = 'rollout' if kind == 'epoch' else 'booking'
    append_both(
        context,
        change(Kind.EPOCH, 'rollout', epoch=2, change_id='newer'),
        change(Kind(kind), name, {'state': 'done'}, epoch=1),
    )


@when('a holder of epoch 1 appends after its daemon has applied epoch 2')
def informed_holder(context):
    append(
        context,
        change(Kind.END_ROLLOUT, 'booking', {'state': 'done'}, epoch=1),
        known=attrs.evolve(
            context.configuration, epochs_by_lease={'rollout': 2}
        ),
    )


@when('the holder takes a step while an operator stops the rollout')
def step_and_stop(context):
    body = {'started_by': 4, 'progress_permille': 50}
    append_both(
        context,
        change(Kind.SET_PROGRESS, 'booking', body, 1, 'winner'),
        put_selector(),
    )


@when('the holder ends it while an operator stops the rollout')
def end_and_stop(context):
    body = {'started_by': 4, 'state': 'done'}
    append_both(
        context,
        change(Kind.END_ROLLOUT, 'booking', body, 1, 'winner'),
        put_selector(),
    )


@when('a snapshot is written and the log is trimmed')
def snapshot_and_trim(context):
    async def run():
        log = make_log(context.store)
        await log.write_snapshot(context.configuration)
        await log.trim(context.configuration)

    virtual_time.run(run)


@when(
    'a writer that knows version 100 appends a change and its create is {speed}'
)
def append_behind(context, speed):
    known = attrs.evolve(context.configuration, version=100)
    append(context, put_label('new'), [speed], known)


@when('a writer that knows version {version:d} reads on')
def append_behind_misplaced(context, version):
    known = attrs.evolve(context.configuration, version=version)
    append(context, put_label('new'), known=known)


@when('a follower that knows version {version:d} reads on')
def follow_behind(context, version):
    async def run():
        known = attrs.evolve(context.configuration, version=version)
        async for entry in make_log(context.store).follow(known):
            raise AssertionError(entry)

    try:
        virtual_time.run(run)
    except exceptions.NotFoundError as error:
        context.error = error


@then('the change is accepted')
def accepted(context):
    assert context.error is None, context.error


@then('the change is in the log exactly once')
def once_in_log(context):
    assert ids_in_log(context).count('draft') == 1, ids_in_log(context)
    histories.check_numbers(histories.stored_changes(context.store))


@then('the change is not in the log')
def not_in_log(context):
    assert 'draft' not in ids_in_log(context)


@then('both are in the log')
def both_in_log(context):
    accepted(context)
    assert ids_in_log(context)[-2:] == ['winner', 'draft']


@then('the outcome is reported as {state}')
def outcome_reported(context, state):
    assert isinstance(context.error, exceptions.PlatformUnavailableError)
    assert context.error.outcome_known is (state == 'known')


@then('one is refused with the number that won and what to do')
def refused_with_winner(context):
    assert isinstance(context.error, exceptions.ConflictError), context.error
    number = len(ids_in_log(context))
    for part in ('author of winner', f'version {number}', 'make the change'):
        assert part in str(context.error), str(context.error)
    not_in_log(context)


@then('the selector is refused for its field targets')
def refused_for_targets(context):
    assert isinstance(context.error, exceptions.InvalidChangeError)
    assert [e.field for e in context.error.exceptions] == ['targets']


@then('the holder is told that its epoch is stale')
def told_stale(context):
    assert isinstance(context.error, exceptions.StaleEpochError), context.error


@then('the log keeps the numbers {first:d} to {last:d} and loads as before')
def log_keeps(context, first, last):
    numbers = [c.number for c in histories.stored_changes(context.store)]
    assert numbers == list(range(first, last + 1)), numbers
    loads_as_before(context)


@then('the log loads as before')
def loads_as_before(context):
    loaded = virtual_time.run(make_log(context.store).load)
    assert loaded == context.configuration


@then('the writer is told that its version is too old')
def told_too_old(context):
    assert isinstance(context.error, exceptions.ConflictError), context.error
    assert 'older than the log keeps' in str(context.error)
    not_in_log(context)


@then('the writer is told that the outcome is unknown')
def told_unknown(context):
    outcome_reported(context, 'unknown')


@then('it is told to load the log again')
def told_to_load(context):
    remedies = ('load the log again', 'load the log and make the change')
    assert any(r in str(context.error) for r in remedies), context.error


@then('no reader takes the change into its configuration')
def not_taken(context):
    loads_as_before(context)
    snapshot_and_trim(context)
    not_in_log(context)
    assert 'misplaced' not in ids_in_log(context)


@given('a budget of 10 writes a second')
def budget_of_ten(context):
    context.budget = platform_api.CallBudget(
        10, 10, monotonic=virtual_time.monotonic
    )


@when('60 writes are asked for at once')
def ask_for_writes(context):
    async def ask():
        await context.budget.acquire_write()
        return virtual_time.monotonic()

    async def run():
        asked = (ask() for _ in range(60))
        return await asyncio.gather(*asked, return_exceptions=True)

    context.results = virtual_time.run(run)


@then('10 start at once, 20 within 2 seconds and 30 are refused')
def writes_paced(context):
    started = [r for r in context.results if isinstance(r, float)]
    assert started.count(0.0) == 10, started
    assert len(started) == 30 and max(started) <= 2.0 + 1e-6, started
    refused = [r for r in context.results if not isinstance(r, float)]
    assert all(e.outcome_known and e.remedy for e in refused)


@attrs.define
class WriterHistory:
    """What the writers of one history were told, by change identifier."""

    store: object_store.ObjectStore = attrs.field(
        factory=object_store.ObjectStore
    )
    numbers_by_accepted: dict = attrs.field(factory=dict)
    refused: set = attrs.field(factory=set)
    unknown: set = attrs.field(factory=set)
    followed: list = attrs.field(factory=list)

    async def write(self, name, seed, rate, plan):
        log = make_log(self.store, rate=rate, seed=seed)
        current = configuration.Configuration()
        for step, (label, delay_s) in enumerate(plan):
            await asyncio.sleep(delay_s)
            draft = put_label(f'label-{label}', f'{name}-{step}')
            try:
                current = await log.append(current, draft)
                self.numbers_by_accepted[draft.change_id] = current.version
            except exceptions.PlatformUnavailableError as error:
                told = self.refused if error.outcome_known else self.unknown
                told.add(draft.change_id)
            except exceptions.ConflictError:
                self.refused.add(draft.change_id)
                current = await until_answered(log.load)

    async def follow(self, seed, rate):
        log = make_log(self.store, rate=rate, seed=seed)
        async for entry in log.follow(configuration.Configuration()):
            self.followed.append(entry)

    async def run(self, seed, rate, plans):
        follower = asyncio.create_task(self.follow(seed, rate))
        async with asyncio.TaskGroup() as group:
            for name, plan in enumerate(plans):
                writer = self.write(f'w{name}', seed + name, rate, plan)
                group.create_task(writer)
        await asyncio.sleep(2 * fake_platform.LONGEST_DELAY_S)
        async with asyncio.timeout(300):
            while len(self.followed) < len(self.store.select('changes/')):
                await asyncio.sleep(1)
        follower.cancel()

    def check(self):
        log = histories.stored_changes(self.store)
        histories.check_numbers(log)
        numbers = {entry.change_id: entry.number for entry in log}
        for change_id, number in self.numbers_by_accepted.items():
            assert numbers.get(change_id) == number, change_id
        assert not self.refused & set(numbers), self.refused & set(numbers)
        told = {*self.numbers_by_accepted, *self.unknown}
        assert set(numbers) <= told, set(numbers) - told
        assert self.followed == log


async def until_answered(call):
    while True:
        try:
            return await call()
        except exceptions.PlatformUnavailableError:
            await asyncio.sleep(1.0)


@when('generated histories of concurrent writers run')
def run_writer_histories(context):
    context.checked = 0
    step = strategies.tuples(
        strategies.integers(1, 4), strategies.sampled_from([0, 0.001, 0.5, 5])
    )
    plans = strategies.lists(
        strategies.lists(step, min_size=1, max_size=8), min_size=2, max_size=5
    )

    @histories.SETTINGS
    @hypothesis.given(
        seed=histories.SEEDS, rate=histories.FAULT_RATES, plans=plans
    )
    def check(seed, rate, plans):
        history = WriterHistory()
        virtual_time.run(history.run, seed, rate, plans)
        history.check()
        context.checked += 1

    histories.run(check)


@then('each held to one writer a number and to exactly one entry a change')
def histories_held(context):
    assert context.checked >= 1
