"""Steps for the client of the platform's store."""

import asyncio
import contextlib
import random
import time

import attrs
from behave import given
from behave import then
from behave import when
import orjson

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import object_store
from hemlockgrade import upstream
from hemlockgrade import watcher
from hemlockgrade.platform import store
from standins import cluster
from standins import http_connection
from standins import loopback
from standins import piecewise
from standins import virtual_time

# Time after which an attempt to connect during a cut fails, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Time that one version of the configuration takes on the link, in seconds.
TRANSFER_S = 0.1


@attrs.define
class PagePool:
    """Responds to each request with the next page."""

    pages: list[dict]

    async def fetch(self, address, request, deadline, **limits):
        """Returns the next page as a response."""
        return http_codec.Response(
            status=200, body=orjson.dumps(self.pages.pop(0))
        )


def build_page(name, revision, current_revision, has_more):
    """Returns a page of a list with one object."""
    return {
        'items': [{'Metadata': {'Name': name, 'Rev': revision}, 'Spec': 1}],
        'HasMore': has_more,
        'CurrentRev': current_revision,
    }


@when('a list has two pages and an object of the first one changes in between')
def list_pages(context):
    pool = PagePool([build_page('a', 3, 7, True), build_page('b', 4, 9, False)])
    context.changed_revision = 8
    context.listing = asyncio.run(
        store.MetadataStore('10.0.0.1:1', pool).list('mesh')
    )


@then('the watch after the list begins before that change')
def check_revision(context):
    assert [item.name for item in context.listing.items] == ['a', 'b']
    assert context.listing.revision < context.changed_revision


@attrs.define(eq=False)
class CutStore:
    """The store as a daemon sees it that is cut off for some time.

    Attributes:
        cut_from: Time of the event loop at which the cut begins.
        cut_until: Time of the event loop at which it ends.
        versions: Number of versions that are written during the cut.
        reads: Number of versions that were read after the cut.
    """

    cut_from: float
    cut_until: float
    versions: int
    reads: int = 0

    async def list(self, kind, *, may_lag=False, limits=None):
        """Returns the newest version."""
        revision = await self._reach(1)
        return object_store.Listing(
            items=(self._item(revision),), revision=revision
        )

    async def watch(self, kind, revision, wait_s, *, may_lag=True):
        """Returns each version after a revision, or waits."""
        newest = await self._reach(0)
        if newest == revision:
            remaining_s = self.cut_from - asyncio.get_running_loop().time()
            await asyncio.sleep(remaining_s if remaining_s > 0 else wait_s)
            newest = await self._reach(0)
        await self._reach(newest - revision)
        return object_store.Changes(
            changes=tuple(
                object_store.ItemChange(item=self._item(number), deleted=False)
                for number in range(revision + 1, newest + 1)
            ),
            revision=newest,
        )

    async def _reach(self, count):
        """Transfers a number of versions and returns the newest one.

        An attempt that begins during the cut fails, even if the cut ends
        before.
        """
        now = asyncio.get_running_loop().time()
        if self.cut_from <= now < self.cut_until:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise exceptions.PlatformUnavailableError(
                'cut off', remedy='retry later'
            )
        if now < self.cut_from:
            return 1
        self.reads += count
        await asyncio.sleep(count * TRANSFER_S)
        return 1 + self.versions

    def _item(self, revision):
        return object_store.StoredItem(
            kind='config', name='main', revision=revision
        )


@when(
    '{daemons:d} daemons are cut off for {seconds:g} seconds while {versions:d} versions are written'
)
def cut_daemons_off(context, daemons, seconds, versions):
    async def run_daemon(seed, cut_from, cut_until):
        cut_store = CutStore(cut_from, cut_until, versions)
        has_newest = asyncio.Event()

        def handle(item):
            if item.revision == 1 + versions:
                has_newest.set()

        store_watcher = watcher.Watcher(
            store=cut_store,
            kind='config',
            wait_s=10.0,
            on_item=handle,
            on_deleted=lambda item: None,
            skips_versions=True,
            random=random.Random(seed),
        )
        task = asyncio.create_task(store_watcher.run())
        await has_newest.wait()
        delay_s = asyncio.get_running_loop().time() - cut_until
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return delay_s, cut_store.reads

    async def run():
        cut_from = asyncio.get_running_loop().time() + 0.2
        return await asyncio.gather(
            *(
                run_daemon(seed, cut_from, cut_from + seconds)
                for seed in range(daemons)
            )
        )

    context.delays_and_reads = asyncio.run(run())


@then(
    'each of them has the newest version within {limit_s:g} seconds of the end'
)
def check_delays(context, limit_s):
    delays = sorted(delay_s for delay_s, _ in context.delays_and_reads)
    assert delays[-1] <= limit_s, delays


@then('none of them has read more than {most:d} versions since then')
def check_reads(context, most):
    reads = [reads for _, reads in context.delays_and_reads]
    assert max(reads) <= most, reads


@attrs.define(eq=False)
class SilencedStore:
    """Responds on new connections; those open at a moment can be silenced.

    Attributes:
        connections: The open connections.
        silent: Connections that get no response any more.
        waiting: Silent connections with a request.
    """

    connections: set['StoreConnection'] = attrs.field(factory=set)
    silent: set['StoreConnection'] = attrs.field(factory=set)
    waiting: set['StoreConnection'] = attrs.field(factory=set)


class StoreConnection(http_connection.HttpConnection):
    """A connection to the store."""

    def __init__(self, silenced_store):
        super().__init__()
        self.store = silenced_store

    def connection_made(self, transport):
        """Counts the connection."""
        super().connection_made(transport)
        self.store.connections.add(self)

    def connection_lost(self, exc):
        """Counts the connection no more."""
        super().connection_lost(exc)
        self.store.connections.discard(self)

    async def handle(self, request):
        """Responds without changes, at once or to several requests at once."""
        await asyncio.sleep(0.05)
        if self in self.store.silent:
            self.store.waiting.add(self)
        else:
            self.send(200, b'{"items":[],"events":[],"CurrentRev":7}')


def build_limits(**options):
    return object_store.ReadLimits(deadline=time.monotonic() + 1.0, **options)


async def open_connections(client, silenced, count):
    """Opens connections, which are then silent."""
    await asyncio.gather(
        *(
            client.changes_since('config', 1, build_limits())
            for _ in range(count)
        )
    )
    silenced.silent = set(silenced.connections)
    assert len(silenced.silent) == count


def run_with_silenced_store(function):
    """Returns the result of a coroutine function.

    Args:
        function: Called with a client and the store.
    """

    async def run():
        from twisted.internet import reactor

        silenced = SilencedStore()
        address = cluster.free_address()
        host, _, port = address.partition(':')
        server = await asyncio.get_running_loop().create_server(
            lambda: StoreConnection(silenced), host, int(port)
        )
        pool = upstream.ConnectionPool(reactor)
        try:
            return await function(store.MetadataStore(address, pool), silenced)
        finally:
            pool.close()
            server.close()

    return loopback.run(run())


@given('{count:d} connections to the store that were open before are silent')
def silence_connections(context, count):
    context.connection_count = count


@when('the changes are read on a new connection')
def read_on_new_connection(context):
    async def run(client, silenced):
        await open_connections(client, silenced, context.connection_count)
        started_at = time.monotonic()
        context.changes = await client.changes_since(
            'config', 1, build_limits(new_connection=True)
        )
        context.took_s = time.monotonic() - started_at
        await asyncio.sleep(0.05)
        context.kept = silenced.connections & silenced.silent

    run_with_silenced_store(run)


@then('they come within {limit_s:g} seconds and no open connection is kept')
def check_new_connection(context, limit_s):
    assert context.changes.revision == 7, context.changes
    assert context.took_s < limit_s, context.took_s
    assert not context.kept, context.kept


@attrs.define(eq=False)
class ScriptedPool:
    """Responds to the requests one after the other.

    Attributes:
        responses: Responses, errors to raise, or None for no response.
    """

    responses: list[http_codec.Response | Exception | None]

    async def fetch(self, address, request, deadline, **limits):
        """Returns the next response."""
        response = self.responses.pop(0)
        if response is None:
            await asyncio.Event().wait()
        if isinstance(response, Exception):
            raise response
        return response


def build_response(**data):
    return http_codec.Response(status=200, body=orjson.dumps(data))


@when(
    'a client lists a kind and watches a change, nothing and a closed connection'
)
def build_responses(context):
    change = {'Object': {'Metadata': {'Name': 'main', 'Rev': 4}}}
    context.responses = [
        build_response(items=[], CurrentRev=3),
        build_response(events=[change], CurrentRev=4),
        build_response(events=[], CurrentRev=4),
        exceptions.ConnectionClosedError(
            'closed', remedy='try again', response_started=False
        ),
    ]


@when('it gets a missing object and ends a watch that waits')
def send_calls(context):
    missing = http_codec.Response(status=404, body=b'')
    client = store.MetadataStore(
        '10.0.0.1:1', ScriptedPool([*context.responses, missing, None])
    )

    async def run():
        await client.list('config')
        await client.watch('config', 3, 1.0)
        await client.watch('config', 4, 1.0)
        with contextlib.suppress(exceptions.PlatformUnavailableError):
            await client.watch('config', 4, 1.0, may_lag=False)
        await client.get('mesh', 'member.h-1')
        waiting = asyncio.create_task(client.watch('mesh', 1, 1.0))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    asyncio.run(run())
    context.ended_calls = client.ended_calls


@then('the calls are counted as')
def check_counted_calls(context):
    counted = {
        str(call): count
        for call, count in context.ended_calls.count_by_call.items()
    }
    assert counted == dict.fromkeys(context.text.split(), 1), counted


@when('a call gets no response')
def miss_response(context):
    context.is_closed = False


@when('a call loses its connection')
def lose_connection(context):
    context.is_closed = True


@then('the next one gets its response within {limit_s:g} seconds')
def check_next_call(context, limit_s):
    async def run(client, silenced):
        await open_connections(client, silenced, context.connection_count)
        failing = asyncio.create_task(
            client.changes_since('config', 1, build_limits())
        )
        if context.is_closed:
            while not silenced.waiting:
                await asyncio.sleep(0.01)
            silenced.waiting.pop().transport.abort()
        try:
            await failing
        except exceptions.PlatformUnavailableError:
            started_at = time.monotonic()
            await client.list('config')
            return time.monotonic() - started_at
        raise AssertionError('the silent connections are not used')

    took_s = run_with_silenced_store(run)
    assert took_s < limit_s, took_s


@when('the store sends a list in {pieces:d} pieces, {pause_s:g} seconds apart')
def list_in_pieces(context, pieces, pause_s):
    async def run():
        from twisted.internet import reactor

        body = b'{"items":[],"CurrentRev":7}'
        async with piecewise.serve(body, pieces, pause_s) as address:
            pool = upstream.ConnectionPool(reactor)
            started_at = time.monotonic()
            context.result = 'read'
            try:
                await store.MetadataStore(address, pool).list('config')
            except exceptions.PlatformUnavailableError:
                context.result = 'unavailable'
            finally:
                context.took_s = time.monotonic() - started_at
                pool.close()

    loopback.run(run())


@then('the list is {result} after {least_s:g} to {most_s:g} seconds')
def check_list(context, result, least_s, most_s):
    assert context.result == result, context.result
    assert least_s <= context.took_s <= most_s, context.took_s


# Size of a configuration that takes a second on a link of 3 Mbit/s, in bytes.
LARGE_BYTES = 400_000


@attrs.define(eq=False)
class LargeVersionsPool:
    """A store of one large object, which a watch returns in 4 versions.

    Attributes:
        targets: Targets of all requests.
        refused: Number of responses that were larger than allowed.
    """

    targets: list[str] = attrs.field(factory=list)
    refused: int = 0

    async def fetch(
        self, address, request, deadline, *, max_bytes=None, **limits
    ):
        """Returns the object, or its versions for a watch."""
        self.targets.append(request.target)
        if 'Watch=6' in request.target:
            await asyncio.Event().wait()
        newest = 2 if len(self.targets) == 1 else 6
        items = [
            {
                'Metadata': {'Name': 'main', 'Rev': rev},
                'Spec': 'x' * LARGE_BYTES,
            }
            for rev in range(3, 7)
        ]
        if 'Watch=' in request.target:
            data = {'events': [{'Object': item} for item in items]}
        else:
            data = {'items': items[-1:]}
            items[-1]['Metadata']['Rev'] = newest
        body = orjson.dumps({**data, 'CurrentRev': newest})
        if max_bytes is not None and len(body) > max_bytes:
            self.refused += 1
            raise exceptions.ResponseTooLargeError(
                'too large', remedy='list', response_started=True
            )
        return http_codec.Response(status=200, body=body)


@when(
    'a watch follows a list of a large configuration, of which it has 4 versions'
)
def watch_large_versions(context):
    context.pool = LargeVersionsPool()
    context.revisions = []
    client = store.MetadataStore(
        '10.0.0.1:1', context.pool, newest_only_kinds=frozenset({'config'})
    )

    async def run():
        has_newest = asyncio.Event()

        def handle(item):
            context.revisions.append(item.revision)
            if item.revision == 6:
                has_newest.set()

        task = asyncio.create_task(
            watcher.Watcher(
                store=client,
                kind='config',
                wait_s=1.0,
                on_item=handle,
                on_deleted=lambda item: None,
                skips_versions=True,
            ).run()
        )
        async with asyncio.timeout(5.0):
            await has_newest.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())


@then('it is given up and the list that follows has the newest version')
def check_large_versions(context):
    assert context.pool.refused == 1, context.pool.refused
    assert context.revisions == [2, 6], context.revisions


@when('a watch would be sent while a read of {seconds:g} seconds runs')
def watch_beside_read(context, seconds):
    context.calls = []

    class Store:
        async def list(self, kind, *, may_lag=False, limits=None):
            if limits is None:
                return object_store.Listing(items=(), revision=1)
            context.calls.append(('list', 1))
            await asyncio.sleep(seconds)
            context.calls.append(('listed', 5))
            return object_store.Listing(items=(), revision=5)

        async def watch(self, kind, revision, wait_s, *, may_lag=True):
            context.calls.append(('watch', revision))
            await asyncio.sleep(0.5 if revision == 1 else 60)
            return object_store.Changes(changes=(), revision=revision)

    async def run():
        store_watcher = watcher.Watcher(
            store=Store(),
            kind='config',
            wait_s=60.0,
            on_item=lambda item: None,
            on_deleted=lambda item: None,
        )
        task = asyncio.create_task(store_watcher.run())
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        await store_watcher.read_list(
            object_store.ReadLimits(deadline=loop.time() + 9.0)
        )
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    virtual_time.run(run())


@then('it is sent after the read, from the revision of that read')
def check_watch_after_read(context):
    assert context.calls == [
        ('watch', 1),
        ('list', 1),
        ('listed', 5),
        ('watch', 5),
    ], context.calls


@when('the store responds to a list with more than the largest body')
def list_too_large(context):
    error = exceptions.ResponseTooLargeError(
        'too large', remedy='check', response_started=True
    )
    client = store.MetadataStore('10.0.0.1:1', ScriptedPool([error]))
    try:
        asyncio.run(client.list('config'))
    except exceptions.HemlockError as failure:
        context.failure = failure


@then('the list is unavailable')
def check_list_unavailable(context):
    assert isinstance(context.failure, exceptions.PlatformUnavailableError), (
        repr(context.failure)
    )
