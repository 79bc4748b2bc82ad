"""Steps for a store that comes back from an older copy of its data."""

import asyncio
import collections
import concurrent.futures
import math
import time

import attrs
from behave import given
from behave import then
from behave import when
import orjson

from hemlockgrade import directory
from hemlockgrade import exceptions
from hemlockgrade import freshness
from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade import object_codec
from hemlockgrade import object_store
from hemlockgrade import publisher
from hemlockgrade import revisions
from hemlockgrade import rollout_task
from hemlockgrade import store_feed
from hemlockgrade.platform import store
from hemlockgrade.plugins import binomial_judge
from standins import cluster
from standins import metadata_store
from standins import virtual_time

SHARE_KEY = 'share.booking'
ORDER = {'Service': 'booking', 'TargetVersion': 'v2', 'DurationS': 60}
# Requests that are sent at once; a server has 4 slots.
CONCURRENT_REQUESTS = 12
STATE_BY_STATUS = {'completed': 'done'}


@when('a host starts whose server runs a version that is good so far')
def start_good_host(context):
    context.mesh.start_host('n1', 'a', 'v2')
    wait_for_ready_member(context, 'n1')


def wait_for_ready_member(context, name):
    cluster.wait_until(
        lambda: any(
            f'event=member_updated member={name} ' in line
            and 'state=ready' in line
            for line in context.mesh.read_log('h1').splitlines()
        ),
        'the first daemon has the new server as ready',
    )


@when('the operator orders a rollout to that version with {seconds:d} seconds')
def order_rollout(context, seconds):
    spec = {**ORDER, 'DurationS': seconds}
    body = {'Metadata': {'Name': 'booking'}, 'Spec': spec}
    assert context.mesh.call_store('POST', 'rollouts', body)
    send_until(context, lambda: stored_share(context).get('permille', 0) > 0)


def stored_share(context):
    item = context.mesh.call_store('GET', f'mesh/{SHARE_KEY}')
    return item['Spec'] if item else {}


def send_until(context, condition, limit_s=6.0):
    """Sends requests until a condition holds, and returns the time."""
    started_at = time.monotonic()
    while not condition():
        assert time.monotonic() < started_at + limit_s, 'it took too long'
        for name in context.host_names:
            context.mesh.call(name, '/shop/x')
    return time.monotonic() - started_at


@when('the store comes back from a copy of {seconds:g} seconds ago')
def restore_store(context, seconds):
    # So long that the copy has the rollout.
    started_at = time.monotonic()
    send_until(context, lambda: time.monotonic() > started_at + seconds)
    context.mesh.set_store_faults(restore_s=seconds)


@when('that version turns bad')
def turn_bad(context):
    context.mesh.set_server('n1', fail=True)


@then('the rollout is rolled back within {seconds:d} seconds')
def check_rolled_back(context, seconds):
    def is_rolled_back():
        status = context.mesh.call_store('GET', 'rollouts/booking')['Status']
        return bool(status) and status['State'] == 'rolled_back'

    send_until(context, is_rolled_back, seconds)
    assert stored_share(context)['permille'] == 0


@when('another host joins')
def join_host(context):
    time.sleep(1.0)
    context.joining_at = time.monotonic()
    context.mesh.start_host('further', 'a')
    wait_for_ready_member(context, 'further')


@when('the store comes back from a copy without it, and open connections {are}')
def restore_store_without_host(context, are):
    age_s = time.monotonic() - context.joining_at
    context.mesh.set_store_faults(
        restore_s=age_s, keep_connections=are == 'stay open'
    )
    context.restored_at = time.monotonic()


@then(
    'its member is stored again within {seconds:d} seconds and its server gets requests'
)
def check_stored_again(context, seconds):
    mesh = context.mesh
    cluster.wait_until(
        lambda: mesh.call_store('GET', 'mesh/member.further') is not None,
        'the member is stored again',
    )
    elapsed_s = time.monotonic() - context.restored_at
    assert elapsed_s < seconds, elapsed_s
    # Those that miss it at the end of that time have removed it.
    time.sleep(store_feed.REWRITE_LIMIT_S)
    # So many at once that the other servers have no slots for all of them.
    with concurrent.futures.ThreadPoolExecutor(CONCURRENT_REQUESTS) as pool:
        responses = list(
            pool.map(
                lambda name: mesh.call(name, '/shop/x', **{'X-Work-Ms': '300'}),
                context.host_names * (CONCURRENT_REQUESTS // 2),
            )
        )
    assert {status for status, *_ in responses} == {200}, responses
    ids = {request_id for *_, request_id in responses}
    runs = ids.intersection(mesh.executed_request_ids('further'))
    assert runs, mesh.read_log('h1')[-900:]


class EraPool:
    """Responds to each call with the next body and values of the era header."""

    def __init__(self, responses):
        self.responses = collections.deque(responses)

    async def fetch(self, address, request, deadline, **limits):
        """Returns the next response."""
        eras, body = self.responses.popleft()
        return http_codec.Response(
            status=200,
            headers=[(b'store-era', era.encode()) for era in eras],
            body=orjson.dumps(body),
        )


@when('a list names the era {listed} and the watch after it the era {watched}')
def watch_after_list(context, listed, watched):
    def eras(text):
        return [] if text == '-' else text.split(', ')

    event = {'Object': {'Metadata': {'Name': 'a', 'Rev': 8}}}
    pool = EraPool(
        [
            (eras(listed), {'items': [], 'CurrentRev': 7}),
            (eras(watched), {'events': [event], 'CurrentRev': 8}),
        ]
    )

    async def run():
        client = store.MetadataStore('10.0.0.1:1', pool)
        listing = await client.list('mesh')
        try:
            changes = await client.watch('mesh', listing.revision, 1.0)
        except object_store.HistoryLostError:
            return 'history lost'
        except exceptions.PlatformUnavailableError:
            return 'unavailable'
        assert listing.revision < changes.changes[0].item.revision
        return 'changes'

    context.watch_result = asyncio.run(run())


@then('the watch ends with {result}')
def check_watch_result(context, result):
    assert context.watch_result == result, context.watch_result


def put(stored, kind, name, spec, section='Spec'):
    """Writes an object to the stand-in of the store as an operator would."""
    create = name not in stored.objects[kind]
    status, _ = stored.put(kind, name, spec, section, None, create=create)
    assert status == 200, status


@when('the store comes back from a copy between two pages of a list')
def restore_between_pages(context):
    stored = metadata_store.Store()
    for name in ('a', 'b', 'c'):
        put(stored, 'mesh', name, {})
    pool = metadata_store.InProcessPool(stored)
    pool.before_responses = [
        lambda: None,
        lambda: stored.restore(stored.revision),
    ]
    context.client = store.MetadataStore('10.0.0.1:1', pool)


@then('the list is not used')
def check_list_not_used(context):
    try:
        asyncio.run(context.client.list('mesh'))
    except exceptions.PlatformUnavailableError:
        return
    raise AssertionError('the list was used')


@when(
    'a daemon writes over the revision that it read before the store came back, {knowing} that'
)
def write_over_earlier_era(context, knowing):
    stored = metadata_store.Store()
    put(stored, 'mesh', 'a', 'first')
    copied = stored.revision
    put(stored, 'mesh', 'a', 'read')
    client = store.MetadataStore(
        '10.0.0.1:1', metadata_store.InProcessPool(stored)
    )

    async def run():
        read = await client.get('mesh', 'a')
        stored.restore(copied)
        put(stored, 'mesh', 'a', 'written by another')
        same_number = stored.objects['mesh']['a']['Metadata']['Rev']
        assert revisions.number_of(read.revision) == same_number
        if knowing == 'knowing':
            await client.get('mesh', 'b')
        await client.replace('mesh', 'a', 'written', read.revision)

    try:
        asyncio.run(run())
    except object_store.RevisionConflictError as error:
        context.conflict = error.current
    context.stored = stored
    context.changes = stored.revision - copied


@then('the write is a conflict with the state that the store has')
def check_conflict(context):
    item = context.stored.objects['mesh']['a']
    assert context.conflict.spec == item['Spec']
    assert context.conflict.revision == revisions.revision_of(
        2, item['Metadata']['Rev']
    )


@then('{count:d} writes took effect since the store came back')
def check_write_count(context, count):
    assert context.changes == count, context.changes


def build_member(name):
    return model.Member(name=name, address='10.0.0.2:90', zone='a', boot_id='x')


class UnreachablePool:
    """Connections to peers, of which none responds."""

    async def fetch(self, address, request, deadline, **limits):
        """Fails like a connection that is refused."""
        raise exceptions.ConnectFailedError(address, remedy='retry later')


@attrs.define(eq=False)
class RolloutDaemon:
    """A daemon's rollout task with what it reads of the store.

    Attributes:
        name: Name of its host.
        client: Client of the store.
        known: Known objects.
        task: The rollout task.
        feed: Reads the store.
        now: Time of the clock of the task, in seconds.
    """

    name: str
    client: store.MetadataStore
    known: directory.Directory = None
    task: rollout_task.RolloutTask = None
    feed: store_feed.StoreFeed = None
    now: float = 100.0

    def __attrs_post_init__(self):
        self.known = directory.Directory(self.name)
        self.task = rollout_task.RolloutTask(
            host_name=self.name,
            store=self.client,
            directory=self.known,
            pool=UnreachablePool(),
            clock=lambda: self.now,
            judge=binomial_judge.BinomialJudge(),
            exposed_share=0.1,
        )
        self.feed = store_feed.StoreFeed(
            store=self.client,
            directory=self.known,
            publisher=publisher.Publisher(
                store=self.client,
                directory=self.known,
                build_member=lambda: build_member(self.name),
                restore_server=lambda member: None,
            ),
            rollouts=self.task,
            restore_server=lambda member: None,
            freshness=freshness.Freshness(
                directory=self.known, clock=lambda: self.now
            ),
        )
        for coroutine in self.feed.watch_coroutines():
            coroutine.close()

    async def read(self):
        """Lists all objects."""
        for each in self.feed._watchers:
            await each.read_list()

    async def step(self, seconds=0.4):
        """Takes the steps of all open rollouts."""
        self.now += seconds
        for order in list(self.task._order_by_key.values()):
            if not self.task._is_complete(order):
                try:
                    await self.task._step(order)
                except exceptions.HemlockError:
                    # Like the task itself, which takes the step again.
                    continue

    @property
    def share(self):
        """Returns the known state of the rollout."""
        return self.known.share_by_key['booking']

    async def write(self, **changes):
        """Writes the share with changes, as the holder."""
        await self.task._write_share(attrs.evolve(self.share, **changes))


def start_rollout(context):
    """Lets the first of two daemons hold a new rollout."""
    context.stored = metadata_store.Store()
    context.revision_before = context.stored.revision
    put(context.stored, 'rollouts', 'booking', ORDER)
    context.ordered_revision = context.stored.revision
    context.daemons = [build_daemon(context, name) for name in ('a', 'b')]
    first = context.daemons[0]

    async def run():
        await first.read()
        await first.step()
        await first.write(permille=60)

    asyncio.run(run())
    context.running_revision = context.stored.revision


def build_daemon(context, name):
    pool = metadata_store.InProcessPool(context.stored)
    return RolloutDaemon(name, store.MetadataStore('10.0.0.1:1', pool))


@given('a rollout that the first of two daemons has decided as {state}')
def decide_rollout(context, state):
    start_rollout(context)
    first = context.daemons[0]

    async def run():
        await first.write(permille=500)
        await first.task._finish(
            first.share, model.RolloutState(state), 'as found'
        )
        for each in context.daemons:
            await each.read()

    asyncio.run(run())
    context.decided = first.share


@given(
    'a rollout that the first of two daemons has raised to {permille:d} permille'
)
def raise_rollout(context, permille):
    start_rollout(context)

    async def run():
        await context.daemons[0].write(permille=permille)
        for each in context.daemons:
            await each.read()

    asyncio.run(run())
    context.raised = context.daemons[0].share


@when('the store comes back from a copy with {what}')
def restore_rollout(context, what):
    stored = context.stored
    has_order = not what.startswith('no order')
    has_share = has_order and what != 'its order only'
    stored.restore(
        context.running_revision
        if has_share
        else context.ordered_revision
        if has_order
        else context.revision_before
    )
    if what == 'the running rollout, which another daemon goes on':
        asyncio.run(go_on_elsewhere(context))
    for each in context.daemons:
        asyncio.run(each.read())
    if what == 'no order, which is written again':
        # Another object gets the number that the order had.
        put(stored, 'mesh', 'label.x', {})
        put(stored, 'rollouts', 'booking', ORDER)
        for each in context.daemons:
            asyncio.run(each.read())


async def go_on_elsewhere(context):
    """Lets a daemon that has just started take the rollout over."""
    newcomer = build_daemon(context, 'c')
    await newcomer.read()
    for _ in range(20):
        await newcomer.step()
    assert newcomer.share.holder == 'c'
    await newcomer.write(permille=800)
    context.daemons.append(newcomer)


@when('the {which} daemon goes on with it')
def take_steps(context, which):
    daemon = context.daemons[0 if which == 'first' else 1]

    async def run():
        for _ in range(20):
            await daemon.step()
        for each in context.daemons:
            await each.read()
            await each.step()

    asyncio.run(run())


def read_stored(context):
    """Returns the share and the status of the order in the store."""
    share = object_codec.decode(
        SHARE_KEY, context.stored.objects['mesh'][SHARE_KEY]['Spec'], 0
    )
    return share, context.stored.objects['rollouts']['booking']['Status']


@then(
    'the store has it as {state} in a later epoch or the same, and its order, too'
)
def check_stored_decision(context, state):
    share, status = read_stored(context)
    assert share.state == state, share
    assert share.permille == context.decided.permille, share
    assert share.epoch >= context.decided.epoch, share
    reported = status['State']
    assert STATE_BY_STATUS.get(reported, reported) == state, status


@then('no daemon knows it as anything else')
def check_known_decision(context):
    for each in context.daemons:
        assert each.share.state is context.decided.state, each.share


@then(
    'the store has it with {permille:d} permille, the same deadline and the same holder'
)
def check_running(context, permille):
    share, status = read_stored(context)
    before = context.raised
    assert share.state is model.RolloutState.RUNNING, share
    assert (share.permille, share.finish_by, share.holder) == (
        permille,
        before.finish_by,
        before.holder,
    ), share
    assert share.epoch >= before.epoch, share
    assert status['State'] == 'running', status


@when('the first daemon finds the version bad')
def find_bad(context):
    first = context.daemons[0]

    async def run():
        await first.step()
        await first.task._finish(
            first.share, model.RolloutState.ROLLED_BACK, 'fails'
        )

    asyncio.run(run())


@then(
    'the store has the decision, and its order has it once it is written again'
)
def check_decision_without_order(context):
    share = context.stored.objects['mesh'][SHARE_KEY]['Spec']
    assert share['state'] == 'rolled_back', share
    put(context.stored, 'mesh', 'label.x', {})
    put(context.stored, 'rollouts', 'booking', ORDER)

    async def run():
        await context.daemons[0].read()
        await context.daemons[0].step()

    asyncio.run(run())
    share, status = read_stored(context)
    assert status['State'] == 'rolled_back', status
    assert share.state is model.RolloutState.ROLLED_BACK, share


@when(
    'the store comes back from a copy without its order, and another version is ordered'
)
def order_other_version(context):
    context.stored.restore(context.revision_before)
    put(context.stored, 'rollouts', 'booking', {**ORDER, 'TargetVersion': 'v3'})

    async def run():
        await context.daemons[0].read()
        for _ in range(20):
            await context.daemons[0].step()

    asyncio.run(run())


@then('the rollout of that version begins with {permille:d} permille')
def check_new_rollout(context, permille):
    share, status = read_stored(context)
    assert (share.version, share.permille) == ('v3', permille), share
    assert share.state is model.RolloutState.RUNNING, share
    assert status['TargetVersion'] == 'v3', status


@when(
    'a daemon reads a list of the next era without its own member and two others, of which one is written again'
)
def read_list_without_members(context):
    stored = metadata_store.Store()
    copied = stored.revision

    def put_member(name):
        member = object_codec.encode(build_member(name))
        put(stored, 'mesh', f'member.{name}', member)

    async def run():
        context.stored = stored
        daemon = build_daemon(context, 'a')
        for name in ('a', 'kept', 'gone'):
            put_member(name)
        await daemon.read()
        stored.restore(copied)
        await daemon.read()
        put_member('kept')
        members = daemon.known.member_by_name
        await asyncio.sleep(store_feed.REWRITE_LIMIT_S - 0.1)
        context.before = set(members)
        await daemon.read()
        await asyncio.sleep(0.2)
        context.after = set(members)

    virtual_time.run(run())


@then('only the third one is removed, 2 seconds later and not before')
def check_removed_members(context):
    assert store_feed.REWRITE_LIMIT_S == 2.0
    assert context.before == {'a', 'kept', 'gone'}, context.before
    assert context.after == {'a', 'kept'}, context.after


@when(
    'the first daemon restarts while the store comes back from a copy with the key'
)
def restart_in_return(context):
    mesh, name = context.mesh, context.names[0]
    for each in context.names:
        cluster.wait_until(
            lambda each=each: call_with_key(context, each, 'k-first') == 401,
            'the key is withdrawn',
        )
    age_s = time.monotonic() - context.withdrawn_at + 0.3
    mesh.daemon_by_name[name].kill()
    mesh.set_store_faults(restore_s=age_s)
    # The links to the store are those of the former process.
    mesh.start_mesh_daemon(
        name,
        'a',
        store_address=context.links.address_by_domain['a'],
        revocation_limit_ms=5000,
    )
    cluster.wait_until(
        lambda: mesh.is_serving(name, '/open/x'), 'the daemon serves'
    )


def call_with_key(context, name, key):
    """Returns the status of a request with a key."""
    return context.mesh.call(name, '/shop/x', Authorization=f'Bearer {key}')[0]


@then(
    'for {seconds:d} seconds no request with k-first is served at it, and those with k-second are within {limit_s:d} seconds'
)
def check_key_withdrawn(context, seconds, limit_s):
    name = context.names[0]
    started_at = time.monotonic()
    served_after_s = None
    while (elapsed_s := time.monotonic() - started_at) < seconds:
        assert call_with_key(context, name, 'k-first') != 200, elapsed_s
        if call_with_key(context, name, 'k-second') == 200:
            served_after_s = served_after_s or elapsed_s
    assert served_after_s is not None and served_after_s < limit_s, (
        served_after_s
    )


@when(
    'a peer tells of version {version:d} and {seconds:g} seconds later the store is read'
)
def confirm_after_peer(context, version, seconds):
    context.freshness.hear_version(version)
    context.now += max(0.0, seconds)
    context.freshness.confirm(
        freshness.Confirmation(
            version=context.freshness.directory.configuration_version,
            revision=1,
            confirmed_at=100.0 + seconds,
        )
    )


@then('the read {confirms} the configuration')
def check_confirmed(context, confirms):
    is_confirmed = math.isfinite(context.freshness.confirmed_at)
    assert is_confirmed == (confirms == 'confirms')


@when('a daemon that waits for its peers lists the configuration')
def list_while_waiting(context):
    context.stored = metadata_store.Store()
    daemon = build_daemon(context, 'a')
    freshness_of_daemon = daemon.feed.freshness
    freshness_of_daemon.waits_for_peers = True
    asyncio.run(daemon.read())
    context.before = freshness_of_daemon.confirmed_at
    freshness_of_daemon.waits_for_peers = False
    asyncio.run(daemon.read())
    context.after = freshness_of_daemon.confirmed_at


@then('it is not confirmed until its peers were asked')
def check_waits_for_peers(context):
    assert not math.isfinite(context.before)
    assert math.isfinite(context.after)
