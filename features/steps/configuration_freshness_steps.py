"""Steps for the time until a new configuration is in force."""

import asyncio
import collections
from concurrent import futures
import contextlib
import itertools
import math
import random
import threading
import time
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when
import orjson

from hemlockgrade import configuration_check
from hemlockgrade import directory
from hemlockgrade import exceptions
from hemlockgrade import freshness
from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade import object_store
from hemlockgrade import peer_api
from hemlockgrade import peer_protocol
from hemlockgrade import state_sync
from hemlockgrade import upstream
from hemlockgrade import watcher
from hemlockgrade.platform import store
from standins import cluster
from standins import loopback
from standins import mesh_cluster
from standins import piecewise
from standins import store_links
from standins import virtual_time

# Longest time for which a route is requested, in seconds.
MEASURE_S = 7.0
# Time between two requests for a new route to a daemon, in seconds.
PROBE_INTERVAL_S = 0.1
# Time between two other requests to a daemon, in seconds.
CALL_INTERVAL_S = 0.25
# Time for daemons to watch again after a change or a reset, in seconds.
SETTLE_S = 1.5
# Time for a watcher to get a change that any read would return, in seconds.
WATCHER_TIMEOUT_S = 2.0
SHOP_ROUTE = mesh_cluster.build_route('shop', '/shop/')


@attrs.define(eq=False)
class Operator:
    """Writes configurations with more and more routes.

    Attributes:
        mesh: The mesh.
        routes: Routes of the last version.
        version_numbers: Numbers of the next versions.
    """

    mesh: mesh_cluster.MeshCluster
    routes: list[dict] = attrs.field(factory=lambda: [SHOP_ROUTE])
    version_numbers: itertools.count = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def write_version(self):
        """Writes a version with the same routes."""
        self.mesh.configure(next(self.version_numbers), *self.routes)

    def add_route(self) -> str:
        """Writes a version with another route and returns a path of it."""
        prefix = f'/new{len(self.routes)}/'
        self.routes.append(mesh_cluster.build_route(prefix, prefix))
        self.write_version()
        return f'{prefix}x'


@given('a mesh with hosts in {domains:d} failure domains, {count:d} in each')
def start_mesh(context, domains, count):
    mesh = context.mesh = mesh_cluster.create_temporary(context.add_cleanup)
    mesh.start_store()
    context.domains = cluster.FAILURE_DOMAINS[:domains]
    context.links = store_links.StoreLinks(
        {domain: mesh.store_address(domain) for domain in context.domains}
    )
    context.links.start()
    context.add_cleanup(context.links.stop)
    context.operator = Operator(mesh)
    context.operator.write_version()
    context.host_names = []
    for domain in context.domains:
        for number in range(count):
            name = f'{domain}{number}'
            mesh.start_host(
                name,
                domain,
                store_address=context.links.address_by_domain[domain],
            )
            context.host_names.append(name)
    for name in context.host_names:
        cluster.wait_until(lambda n=name: mesh.is_serving(n), f'{name} serves')
    start_callers(context)
    time.sleep(SETTLE_S)
    # Seconds until each daemon served the added route, of each change.
    context.delays_s_by_host = []


def start_callers(context):
    """Calls each daemon a few times a second until the end of the test."""
    ended = threading.Event()

    def call(name):
        while not ended.wait(CALL_INTERVAL_S):
            context.mesh.call(name, '/shop/x')

    threads = [
        threading.Thread(target=call, args=(name,))
        for name in context.host_names
    ]
    for thread in threads:
        thread.start()
        context.add_cleanup(thread.join)
    # Cleanups run in reverse order.
    context.add_cleanup(ended.set)


def measure_delays_s(context, path):
    """Returns when each daemon served a path, by host.

    The times are seconds from now to the request, and infinite for a daemon
    that did not serve the path.
    """
    acknowledged_at = time.monotonic()

    def measure(name):
        while True:
            delay_s = time.monotonic() - acknowledged_at
            if context.mesh.is_serving(name, path):
                return delay_s
            if delay_s > MEASURE_S:
                return math.inf
            time.sleep(PROBE_INTERVAL_S)

    with futures.ThreadPoolExecutor(len(context.host_names)) as pool:
        delays_s = pool.map(measure, context.host_names)
        return dict(zip(context.host_names, delays_s, strict=True))


def add_route(context):
    """Adds a route and records when each daemon served it."""
    path = context.operator.add_route()
    context.delays_s_by_host.append(measure_delays_s(context, path))


@when('cheap reads of the store are {seconds:g} seconds behind')
def delay_reads(context, seconds):
    context.faults = {'lag_s': seconds}
    context.mesh.set_store_faults(**context.faults)


@when('cheap reads of the store are {seconds:g} seconds behind its counter')
def delay_reads_with_counter(context, seconds):
    context.faults = {'lag_s': seconds, 'lag_counter': True}
    context.mesh.set_store_faults(**context.faults)


@when('cheap lists of the store are {seconds:g} seconds behind its counter')
def delay_lists(context, seconds):
    context.faults = {
        'lag_s': seconds,
        'lag_counter': True,
        'lag_lists_only': True,
    }
    context.mesh.set_store_faults(**context.faults)


@when('a route is added {times:d} times')
def add_routes(context, times):
    for _ in range(times):
        add_route(context)
        time.sleep(SETTLE_S)


@when(
    'a route is added {times:d} times, each time as the last of {versions:d} versions within {seconds:g} seconds'
)
def add_routes_after_changes(context, times, versions, seconds):
    for _ in range(times):
        for _ in range(versions - 1):
            context.operator.write_version()
            time.sleep(seconds / (versions - 1))
        add_route(context)
        time.sleep(SETTLE_S)


@when(
    'a route is added {times:d} times, each time right after the store has dropped its history'
)
def add_routes_after_forgetting(context, times):
    for _ in range(times):
        context.mesh.set_store_faults(**context.faults, forget=True)
        add_route(context)
        time.sleep(SETTLE_S)


@when(
    'a route is added while the open connections of one failure domain to the store are silent, for each domain in turn'
)
def add_routes_beside_silence(context):
    for domain in context.domains:
        context.links.silence_open(domain)
        add_route(context)
        context.links.reset(domain)
        time.sleep(SETTLE_S)


@when(
    'a route is added right after the first daemon of each failure domain is killed'
)
def add_route_after_kill(context):
    for domain in context.domains:
        name = f'{domain}0'
        context.mesh.daemon_by_name[name].kill()
        context.host_names.remove(name)
    add_route(context)


@when('each call to the store takes {seconds:g} seconds longer')
def delay_calls(context, seconds):
    context.links.delay(seconds / 2)
    time.sleep(SETTLE_S)


@when('nothing changes for {seconds:g} seconds')
def count_calls(context, seconds):
    address = context.mesh.store_process.addresses['http']
    url = f'http://{address}/.control/calls'
    before = sum(cluster.get_json(url).values())
    time.sleep(seconds)
    calls = sum(cluster.get_json(url).values()) - before
    context.calls_per_s = calls / seconds


@then('the store has got at most {most:g} calls a second')
def check_calls(context, most):
    assert context.calls_per_s <= most, context.calls_per_s


@when(
    'a route is added {seconds:g} seconds after the store has fallen silent for one failure domain, for each domain in turn'
)
def add_routes_without_store(context, seconds):
    for domain in context.domains:
        context.links.silence(domain)
        time.sleep(seconds)
        add_route(context)
        context.links.heal(domain)
        time.sleep(SETTLE_S)


@then('each running daemon served each route within {limit_s:g} seconds')
@then('each daemon served each route within {limit_s:g} seconds')
def check_delays(context, limit_s):
    worst = [max(delays.values()) for delays in context.delays_s_by_host]
    print('seconds of the last daemon:', [round(each, 2) for each in worst])
    assert max(worst) <= limit_s, [
        {name: round(delay_s, 2) for name, delay_s in delays.items()}
        for delays in context.delays_s_by_host
    ]


@attrs.frozen(kw_only=True)
class Step:
    """What a store does before it responds to one call.

    Attributes:
        visible: Number of versions written that every read returns.
        hidden: Number of versions written after them that the response to a
            cheap read lacks, although its counter includes them.
        error: Error in place of the response.
    """

    visible: int = 0
    hidden: int = 0
    error: Exception | None = None


@attrs.define(eq=False)
class LaggingStore:
    """A store of one object, whose cheap reads lag.

    Each version of the object increases the revision of the store by one.

    Attributes:
        steps: Steps of the next calls; later responses are current.
        revision: Revision of the newest version.
    """

    steps: list[Step]
    revision: int = 1

    async def list(self, kind, *, may_lag=False, limits=None):
        """Returns the object."""
        visible = self._take_step()
        return object_store.Listing(
            items=(self._item(kind, visible if may_lag else self.revision),),
            revision=self.revision,
        )

    async def watch(self, kind, revision, wait_s, *, may_lag=True):
        """Returns the visible versions after a revision."""
        visible = self._take_step()
        if not may_lag:
            visible = self.revision
        if visible <= revision:
            await asyncio.sleep(wait_s)
        return object_store.Changes(
            changes=tuple(
                object_store.ItemChange(
                    item=self._item(kind, number), deleted=False
                )
                for number in range(revision + 1, visible + 1)
            ),
            revision=self.revision,
        )

    def _take_step(self):
        """Takes the next step and returns the revision of cheap reads."""
        step = self.steps.pop(0) if self.steps else Step()
        self.revision += step.visible + step.hidden
        if step.error is not None:
            raise step.error
        return self.revision - step.hidden

    def _item(self, kind, revision):
        return object_store.StoredItem(
            kind=kind, name='main', revision=revision
        )


# Steps by the response that lags. The first call of a watcher is a list.
STEPS_BY_RESPONSE = {
    'an empty watch response': [Step(), Step(hidden=1)],
    'a watch response': [Step(), Step(visible=1, hidden=1)],
    'the list after quick changes': [Step(), Step(visible=2), Step(hidden=1)],
    'the list after a failure': [
        Step(),
        Step(
            error=exceptions.PlatformUnavailableError(
                'cut off', remedy='retry later'
            )
        ),
        Step(hidden=1),
    ],
    'the list after a lost history': [
        Step(),
        Step(
            error=object_store.HistoryLostError(
                'the history is lost', remedy='list again'
            )
        ),
        Step(hidden=1),
    ],
}


@when('{response} of the kind {kind} has a counter that is newer than its data')
def read_lagging_response(context, response, kind):
    steps = STEPS_BY_RESPONSE[response]
    context.newest_revision = 1 + sum(s.visible + s.hidden for s in steps)
    context.revisions = []

    async def run():
        has_newest = asyncio.Event()

        def handle(item):
            context.revisions.append(item.revision)
            if item.revision == context.newest_revision:
                has_newest.set()

        store_watcher = watcher.Watcher(
            store=LaggingStore(list(steps)),
            kind=kind,
            wait_s=0.02,
            on_item=handle,
            on_deleted=lambda item: None,
            batch_delay_s=0.01,
            skips_versions=kind == 'config',
        )
        task = asyncio.create_task(store_watcher.run())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WATCHER_TIMEOUT_S):
                await has_newest.wait()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(run())


@then('the watcher gets the change between the two')
def check_revisions(context):
    assert context.newest_revision in context.revisions, context.revisions


@given('a failure domain of {count:d} daemons')
def build_names(context, count):
    names = [f'h-{number}' for number in range(count)]
    context.source_by_name = {
        name: freshness.choose_source(names, name) for name in names
    }


@then(
    'one of them asks the store, and each is asked by at most {most:d} others'
)
def check_sources(context, most):
    asked = collections.Counter(context.source_by_name.values())
    assert asked.pop(None) == 1
    assert all(count <= most for count in asked.values()), asked


@then('the longest way to the store has {steps:d} steps')
def check_steps(context, steps):
    def count(name):
        source = context.source_by_name[name]
        return 0 if source is None else 1 + count(source)

    longest = max(map(count, context.source_by_name))
    assert longest == steps, longest


@given('a daemon with version {version:d} of the configuration')
def build_freshness(context, version):
    context.now = 100.0
    context.directory = directory.Directory('h-1')
    context.freshness = freshness.Freshness(
        directory=context.directory, clock=lambda: context.now
    )
    context.directory.on_configuration.append(
        context.freshness.handle_configuration
    )
    apply_version(context, version)


@when('version {version:d} comes into force')
def apply_version(context, version):
    context.directory.apply_configuration(build_configuration(version), 'test')


@when('a peer confirms version {version:d} of {age_s:g} seconds ago')
def confirm(context, version, age_s):
    context.freshness.confirm(
        freshness.Confirmation(
            version=version, revision=9, confirmed_at=context.now - age_s
        )
    )


@then('the configuration of the daemon is not confirmed')
def check_unconfirmed(context):
    assert context.freshness.age_s == math.inf, context.freshness.age_s


@then('the configuration of the daemon was confirmed {age_s:g} seconds ago')
def check_age(context, age_s):
    assert math.isclose(context.freshness.age_s, age_s, abs_tol=1e-6), (
        context.freshness.age_s
    )


@when(
    'a peer responds after {delay_s:g} seconds that its configuration is {age_s:g} seconds old'
)
def respond_late(context, delay_s, age_s):
    sent_at = 100.0
    confirmation = peer_protocol.decode_confirmation(
        [
            (
                peer_protocol.CONFIRMED_HEADER,
                peer_protocol.encode_confirmation(age_s, 9, 0.004),
            )
        ],
        peer_protocol.Versions(configuration_version=5, table_revision=7),
        sent_at,
    )
    context.age_s = sent_at + delay_s - confirmation.confirmed_at


@then('the confirmation is at least {age_s:g} seconds old')
def check_confirmation_age(context, age_s):
    assert context.age_s >= age_s - 1e-6, context.age_s


def build_configuration(version):
    return model.MeshConfiguration(
        version=version,
        routes=(),
        check_path_by_service={},
        limits=model.CallerLimits(),
        document=None,
    )


@attrs.define(eq=False)
class CheckedFeed:
    """The store as a configuration check reads it, with a lagging watch.

    Attributes:
        directory: Gets the newest version by each read.
        newest: Newest version in the store.
        reads: Whether each read was one of the newest version only.
        is_receiving_configuration: Whether the watch receives one.
    """

    directory: directory.Directory
    newest: int
    gets_configurations: bool = True
    is_receiving_configuration: bool = False
    reads: list[bool] = attrs.field(factory=list)

    async def read_configuration(self, limits, *, newest_only):
        """Returns the newest version."""
        self.reads.append(newest_only)
        self.directory.apply_configuration(
            build_configuration(self.newest), 'store'
        )

    def restart_watches(self):
        """Ignores the call."""


class SilentSync:
    """Peers that tell nothing new."""

    async def compare(self, address, timeout_s):
        """Learns nothing."""

    async def compare_with_random_peer(self):
        """Learns nothing."""


def build_check(context, loop, newest):
    """Builds the check of a daemon with version 1 and a peer."""
    own = directory.Directory('h-1')
    own.apply_configuration(build_configuration(1), 'store')
    # Without a peer, the daemon would read the store twice a second.
    own.apply_member(
        model.Member(
            name='h-0',
            address='10.0.0.1:80',
            zone='a',
            boot_id='boot',
            revision=2,
        ),
        'store',
    )
    own_freshness = freshness.Freshness(directory=own, clock=loop.time)
    own_freshness.confirmed_at = loop.time()
    context.feed = CheckedFeed(own, newest)
    return configuration_check.ConfigurationCheck(
        freshness=own_freshness,
        feed=context.feed,
        sync=SilentSync(),
        zone='a',
        random=random.Random(1),
    )


async def end(task):
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@when(
    'a daemon hears of {count:d} versions {interval_s:g} seconds apart, which its watch returns {delay_s:g} seconds later'
)
def hear_of_quick_versions(context, count, interval_s, delay_s):
    async def run():
        loop = asyncio.get_running_loop()
        check = build_check(context, loop, 1)
        own = context.feed.directory

        def apply(version, heard_at):
            own.apply_configuration(build_configuration(version), 'store')
            check.freshness.confirm(
                freshness.Confirmation(
                    version=version, revision=version, confirmed_at=heard_at
                )
            )

        task = asyncio.create_task(check.run())
        for version in range(2, 2 + count):
            check.want(version)
            loop.call_later(delay_s, apply, version, loop.time())
            await asyncio.sleep(interval_s)
        await asyncio.sleep(delay_s)
        assert own.configuration_version == 1 + count
        await end(task)

    asyncio.run(run())


@then('it does not read the store')
def check_no_reads(context):
    assert not context.feed.reads, context.feed.reads


@when(
    'a daemon with a lagging watch hears of the last of {count:d} quick versions'
)
def hear_of_last_version(context, count):
    async def run():
        loop = asyncio.get_running_loop()
        check = build_check(context, loop, 1 + count)
        check.want(1 + count)
        started_at = loop.time()
        task = asyncio.create_task(check.run())
        while context.feed.directory.configuration_version <= count:
            await asyncio.sleep(0.01)
        context.took_s = loop.time() - started_at
        await end(task)

    asyncio.run(run())


@then('it reads the newest one only, within {limit_s:g} seconds')
def check_newest_read(context, limit_s):
    assert context.feed.reads == [True], context.feed.reads
    assert context.took_s <= limit_s, context.took_s


@when('{count:d} watchers have got the same change')
def run_watchers(context, count):
    """Runs watchers of a store without changes, at a tenth of their times."""
    context.reads_at = []

    class Store:
        async def list(self, kind, *, may_lag=False, limits=None):
            return object_store.Listing(items=(), revision=1)

        async def watch(self, kind, revision, wait_s, *, may_lag=True):
            if not may_lag:
                context.reads_at.append(time.monotonic())
            await asyncio.sleep(wait_s if may_lag else 60)
            return object_store.Changes(changes=(), revision=revision)

    async def run():
        watchers = [
            watcher.Watcher(
                store=Store(),
                kind='mesh',
                wait_s=2.0,
                on_item=lambda item: None,
                on_deleted=lambda item: None,
                random=random.Random(seed),
            )
            for seed in range(count)
        ]
        tasks = [asyncio.create_task(each.run()) for each in watchers]
        while len(context.reads_at) < count:
            await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    with mock.patch.multiple(
        watcher, MAX_LAGGING_WAIT_S=1.0, CONFIRM_AGE_S=1.0, MAX_PLACE_AGE_S=1.8
    ):
        asyncio.run(run())


@then('at most a quarter of their next reads without lag fall into one second')
def check_spread(context):
    reads_at = sorted(context.reads_at)
    # The times of the watchers are a tenth of the usual ones.
    most = max(
        sum(at <= other < at + 0.1 for other in reads_at) for at in reads_at
    )
    assert most <= len(reads_at) / 4, most


@when(
    'a watch returns the deletion of an object with the revision of its last change'
)
def watch_deletion(context):
    context.deletions = 0
    item = object_store.StoredItem(kind='mesh', name='x', revision=1)

    class Store:
        async def list(self, kind, *, may_lag=False, limits=None):
            return object_store.Listing(items=(item,), revision=1)

        async def watch(self, kind, revision, wait_s, *, may_lag=True):
            if revision > 1:
                await asyncio.sleep(60)
            change = object_store.ItemChange(item=item, deleted=True)
            return object_store.Changes(changes=(change,), revision=2)

    def count(item):
        context.deletions += 1

    async def run():
        task = asyncio.create_task(
            watcher.Watcher(
                store=Store(),
                kind='mesh',
                wait_s=1.0,
                on_item=lambda item: None,
                on_deleted=count,
                batch_delay_s=0.01,
            ).run()
        )
        await asyncio.sleep(0.5)
        await end(task)

    asyncio.run(run())


@then('the change is handled {least:d} to {most:d} times')
def check_deletions(context, least, most):
    assert least <= context.deletions <= most, context.deletions


@attrs.define(eq=False, kw_only=True)
class RecordingSync(state_sync.StateSync):
    """Has peers whose state is the configuration of their number.

    Attributes:
        fetched: Addresses of the peers whose state was asked for.
    """

    fetched: list[str] = attrs.field(factory=list)

    async def fetch_state(self, address, part=''):
        """Applies the version that the address names; `silent` fails."""
        self.fetched.append(address)
        if address == 'silent':
            await asyncio.sleep(state_sync.STATE_TIMEOUT_S)
            raise exceptions.DeadlineExceededError('silent', remedy='wait')
        self.directory.apply_configuration(
            build_configuration(int(address)), address
        )


def hear(sync, address, configuration_version, table_revision):
    sync.handle_versions(
        address,
        peer_protocol.Versions(
            configuration_version=configuration_version,
            table_revision=table_revision,
        ),
    )


@given('a daemon that fetches mesh objects from a silent peer')
def build_fetching_daemon(context):
    own = directory.Directory('h-1')
    own.apply_configuration(build_configuration(1), 'store')
    context.sync = RecordingSync(
        directory=own, pool=None, address='10.0.0.1:80', zone='a'
    )


@when(
    'it hears of version {first:d} of the configuration and then of version {second:d}'
)
def hear_versions(context, first, second):
    async def run():
        sync = context.sync
        hear(sync, 'silent', 1, 9)
        hear(sync, str(first), first, 0)
        hear(sync, str(second), second, 0)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while (
            sync.directory.configuration_version < first
            and loop.time() < started_at + MEASURE_S
        ):
            await asyncio.sleep(0.01)
        context.took_s = loop.time() - started_at

    asyncio.run(run())


@then('it has version {version:d} within {limit_s:g} seconds')
def check_heard_version(context, version, limit_s):
    assert context.sync.directory.configuration_version == version
    assert context.took_s <= limit_s, context.took_s


@given(
    'a daemon whose watch is at revision {watched:d} and that has written revision {written:d}'
)
def build_writing_daemon(context, watched, written):
    own = directory.Directory('h-1')
    own.apply_configuration(build_configuration(1), 'store')
    own.apply_member(
        model.Member(
            name='h-1',
            address='10.0.0.1:80',
            zone='a',
            boot_id='boot',
            revision=written,
        ),
        'own',
    )
    context.sync = RecordingSync(
        directory=own,
        pool=None,
        address='10.0.0.1:80',
        zone='a',
        complete_revision=lambda: watched,
    )


@when('a peer with revision {revision:d} of the mesh objects is heard')
def hear_of_objects(context, revision):
    async def run():
        hear(context.sync, '1', 1, revision)
        await asyncio.sleep(1.5 * state_sync.TABLE_FETCH_DELAY_S)

    asyncio.run(run())


@then('the daemon fetches the state of that peer')
def check_fetched(context):
    assert context.sync.fetched == ['1'], context.sync.fetched


BODY_BY_NAME = {
    'no body': b'',
    'a list': b'[]',
    'no counter': b'{"events":[]}',
}


@when('the store responds to a {call} with {status:d} and {body}')
def read_malformed_response(context, call, status, body):
    class Pool:
        async def fetch(self, address, request, deadline, **limits):
            return http_codec.Response(status=status, body=BODY_BY_NAME[body])

    client = store.MetadataStore('10.0.0.1:1', Pool())
    limits = object_store.ReadLimits(deadline=time.monotonic() + 1.0)
    read = {
        'list': lambda: client.list('mesh'),
        'watch': lambda: client.watch('mesh', 1, 1.0),
        'changes': lambda: client.changes_since('mesh', 1, limits),
    }[call]
    context.error = None
    try:
        asyncio.run(read())
    except Exception as error:
        context.error = error


@then('the read has failed as unavailable')
def check_unavailable(context):
    assert isinstance(context.error, exceptions.PlatformUnavailableError), repr(
        context.error
    )


@attrs.define(eq=False)
class SilencedFeed:
    """The store as a configuration check reads it; its watch stays silent.

    Attributes:
        freshness: Is confirmed by each read that gets a response.
        silent_reads: Number of further reads that get no response.
        silence_ended_at: Time at which the last of these began, in seconds.
    """

    freshness: freshness.Freshness
    silent_reads: int
    gets_configurations: bool = True
    is_receiving_configuration: bool = False
    silence_ended_at: float = 0.0

    async def read_configuration(self, limits, *, newest_only):
        """Confirms the configuration, or fails at the limit on the time."""
        loop = asyncio.get_running_loop()
        if self.silent_reads:
            self.silent_reads -= 1
            self.silence_ended_at = loop.time()
            await asyncio.sleep(
                (limits.starts_by or limits.deadline) - loop.time()
            )
            raise exceptions.PlatformUnavailableError('silent', remedy='wait')
        self.freshness.confirm(
            freshness.Confirmation(
                version=1, revision=1, confirmed_at=loop.time()
            )
        )

    def restart_watches(self):
        """Ignores the call."""


@attrs.define
class FailingSync:
    """Peers that do not respond.

    Attributes:
        takes_s: Time after which a comparison with a random peer fails, in
            seconds.
    """

    takes_s: float

    async def compare(self, address, timeout_s):
        """Fails when the time is over."""
        await asyncio.sleep(min(timeout_s, self.takes_s))
        raise exceptions.DeadlineExceededError('silent', remedy='wait')

    async def compare_with_random_peer(self):
        """Returns without a result."""
        await asyncio.sleep(self.takes_s)


async def measure_confirmation_s(silent_reads, seed, peers_take_s):
    """Returns the time from the end of a silence to the next confirmation."""
    loop = asyncio.get_running_loop()
    own = directory.Directory('h-1')
    own.apply_configuration(build_configuration(1), 'store')
    own_freshness = freshness.Freshness(directory=own, clock=loop.time)
    own_freshness.confirmed_at = loop.time()
    for number in (0, 2, 3):
        own.apply_member(
            model.Member(
                name=f'h-{number}',
                address=f'10.0.0.{number}:80',
                zone='a',
                boot_id='boot',
                revision=2 + number,
            ),
            'store',
        )
    feed = SilencedFeed(own_freshness, silent_reads)
    check = configuration_check.ConfigurationCheck(
        freshness=own_freshness,
        feed=feed,
        sync=FailingSync(peers_take_s),
        zone='a',
        random=random.Random(seed),
    )
    task = asyncio.create_task(check.run())
    while own_freshness.confirmed_at <= max(
        feed.silence_ended_at, virtual_time.START_S
    ):
        await asyncio.sleep(0.01)
    await end(task)
    return own_freshness.confirmed_at - feed.silence_ended_at


def measure_confirmations_s(times, peers_take_s):
    return [
        virtual_time.run(
            measure_confirmation_s(1 + number % 8, number, peers_take_s)
        )
        for number in range(times)
    ]


@when(
    'the store falls silent, and its silence ends right after the start of a read, {times:d} times'
)
def end_silences(context, times):
    context.delays_s = measure_confirmations_s(times, 0.0)


@when(
    'the store and the peers fall silent, and its silence ends right after the start of a read, {times:d} times'
)
def end_silences_beside_silent_peers(context, times):
    context.delays_s = measure_confirmations_s(times, state_sync.PEER_TIMEOUT_S)


@then('the configuration was confirmed within {limit_s:g} seconds each time')
def check_confirmations(context, limit_s):
    print('seconds until confirmed, longest:', round(max(context.delays_s), 2))
    assert max(context.delays_s) <= limit_s, sorted(context.delays_s)[-8:]


@when(
    'a route is added after the store has fallen silent, and {seconds:g} seconds pass'
)
def add_route_in_silence(context, seconds):
    for domain in context.domains:
        context.links.silence(domain)
    context.path = context.operator.add_route()
    time.sleep(seconds)


@then('a request for the added route gets 503 and a time to return')
def check_unconfirmed_refusal(context):
    for name in context.host_names:
        status, _, headers, _ = context.mesh.call(name, context.path)
        assert status == 503, status
        assert 0 < float(headers['retry-after']) <= 0.5, headers


@when('the store is no longer silent')
def end_silence(context):
    for domain in context.domains:
        context.links.end_silence(domain)


@then('each daemon serves the route within {limit_s:g} seconds')
def check_served_route(context, limit_s):
    delays_s = measure_delays_s(context, context.path)
    print('seconds until served:', delays_s)
    assert max(delays_s.values()) <= limit_s, delays_s


@then('a request without a route gets 404')
def check_denied_route(context):
    for name in context.host_names:
        status, *_ = context.mesh.call(name, '/none/x')
        assert status == 404, status


@given('the links of the first failure domain carry {rate:g} Mbit/s')
def limit_links(context, rate):
    small, *others = context.domains
    context.links.limit_rate(small, rate)
    # Responses of the peers are limited by the peers' own links.
    for name in context.host_names:
        if not name.startswith(small):
            addresses = context.mesh.daemon_by_name[name].addresses
            context.mesh.daemon_by_name[name].stop()
            context.mesh.start_mesh_daemon(
                name,
                name[0],
                store_address=context.links.address_by_domain[name[0]],
                link_mbps=rate,
            )
            assert context.mesh.daemon_by_name[name].addresses == addresses
            cluster.wait_until(
                lambda n=name: context.mesh.is_serving(n), f'{name} serves'
            )


@when(
    '{versions:d} versions of a configuration of {routes:d} routes follow {interval_s:g} seconds apart, and a route is added by the last one'
)
def write_large_versions(context, versions, routes, interval_s):
    operator = context.operator
    operator.routes.extend(
        mesh_cluster.build_route(f'large{number}', f'/large{number}/')
        for number in range(routes)
    )
    for _ in range(versions - 1):
        operator.write_version()
        time.sleep(interval_s)
    add_route(context)


@when(
    'a daemon hears of a version while the store sends it one for {seconds:g} seconds'
)
def hear_of_version_beside_transfer(context, seconds):
    async def run():
        loop = asyncio.get_running_loop()
        check = build_check(context, loop, 2)
        # Only the wanted version is a reason to read.
        check.freshness.confirmed_at = math.inf
        context.feed.is_receiving_configuration = True
        sync = RecordingSync(
            directory=context.feed.directory,
            pool=None,
            address='10.0.0.1:80',
            zone='a',
            is_watching=lambda: True,
            on_newer_configuration=check.want,
            is_receiving_configuration=lambda: (
                context.feed.is_receiving_configuration
            ),
        )
        task = asyncio.create_task(check.run())
        hear(sync, '2', 2, 0)
        await asyncio.sleep(seconds)
        context.asked_before = [*context.feed.reads, *sync.fetched]
        context.feed.is_receiving_configuration = False
        await asyncio.sleep(1.5)
        context.asked = [*context.feed.reads, *sync.fetched]
        await end(task)

    virtual_time.run(run())


@then('it asks neither the store nor a peer for a configuration before the end')
def check_not_asked(context):
    assert not context.asked_before, context.asked_before
    # One read of the newest version, and no fetch.
    assert context.asked == [True], context.asked


class StatePool:
    """A peer whose state has a newer version and a newer mesh object."""

    def __init__(self):
        self.directory = directory.Directory('h-2')
        self.directory.apply_configuration(
            attrs.evolve(build_configuration(2), document={'Version': 2}),
            'store',
        )
        self.directory.apply_member(
            model.Member(
                name='h-2',
                address='10.0.0.2:80',
                zone='a',
                boot_id='boot',
                revision=9,
            ),
            'store',
        )
        self.states = []

    async def fetch(self, address, request, deadline, **limits):
        """Handles a request as the API of the peer."""
        api = peer_api.PeerApi(
            admission=None,
            sync=state_sync.StateSync(
                directory=self.directory,
                pool=None,
                address='10.0.0.2:80',
                zone='a',
            ),
            evidence=None,
            in_flight=None,
        )
        response = await api.handle(request)
        self.states.append(orjson.loads(response.body))
        return response


@when('a daemon that lacks a version and a mesh object fetches the object')
def fetch_objects(context):
    context.pool = StatePool()

    async def run():
        own = directory.Directory('h-1')
        own.apply_configuration(build_configuration(1), 'store')
        sync = state_sync.StateSync(
            directory=own, pool=context.pool, address='10.0.0.1:80', zone='a'
        )
        hear(sync, '10.0.0.2:80', 1, 9)
        await asyncio.sleep(2 * state_sync.TABLE_FETCH_DELAY_S)
        context.members = list(own.member_by_name)

    virtual_time.run(run())


@then('the state that the peer sends has the object and no configuration')
def check_objects(context):
    [state] = context.pool.states
    assert state['configuration'] is None, state
    assert context.members == ['h-2'], context.members


@when('a peer sends its state in {pieces:d} pieces, {pause_s:g} seconds apart')
def fetch_in_pieces(context, pieces, pause_s):
    async def run():
        from twisted.internet import reactor

        body = b'{"configuration":null,"objects":[],"removed":{}}'
        async with piecewise.serve(body, pieces, pause_s) as address:
            pool = upstream.ConnectionPool(reactor)
            sync = state_sync.StateSync(
                directory=directory.Directory('h-1'),
                pool=pool,
                address='10.0.0.1:80',
                zone='a',
            )
            started_at = time.monotonic()
            context.result = 'succeeded'
            try:
                await sync.fetch_state(address)
            except exceptions.DeadlineExceededError:
                context.result = 'failed'
            finally:
                context.took_s = time.monotonic() - started_at
                pool.close()

    loopback.run(run())


@then('the fetch has {result} after {least_s:g} to {most_s:g} seconds')
def check_fetch(context, result, least_s, most_s):
    assert context.result == result, context.result
    assert least_s <= context.took_s <= most_s, context.took_s
