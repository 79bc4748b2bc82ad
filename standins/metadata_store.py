"""Stand-in for the platform's metadata store, with faults.

Run as `python -m standins.metadata_store PORT ...`; the same objects are
available on all ports. `POST /.control/faults` replaces the faults by a JSON
object with these optional keys:

    down: True if all calls are refused with status 503, on all ports.
    silent: True if no call gets a response.
    refuse_ports: Ports on which all calls are refused with status 503.
    lose_answers: Number of writes that take effect without a response.
    forget: True to drop the history of changes once.
    restore_s: Age in seconds of a copy of the data from which the store comes
        back once, without anything that was written since.
    keep_connections: True if connections stay open then, and watches of
        revisions that the copy has go on.
    replace: Texts that are replaced in the bodies of writes, for example the
        address of a daemon by the address of a relay.
    lag_s: Age in seconds of the data of reads with `Serializable=1`. Changes
        younger than that are missing in lists and are not yet returned by
        watches. Other reads are always current.
    lag_lists_only: True if watches do not lag.
    lag_counter: True if `CurrentRev` in lagging responses is the newest
        revision of the store, instead of that of the data.

`GET /.control/calls` returns the number of calls by method.

Each response has the header `Store-Era`, which rises by one with each return
from a copy.
"""

import asyncio
import collections
import json
import sys
import time
from typing import Any
import urllib.parse

import attrs

from hemlockgrade import http_codec
from standins import http_connection

OBJECTS_PATH = '/-/objects/'
# Time between two looks of a lagging watch for changes that have become old
# enough, in seconds.
LAG_CHECK_INTERVAL_S = 0.02


@attrs.frozen(kw_only=True)
class Change:
    """A change of one object.

    Attributes:
        revision: Revision of the store after the change.
        kind: Kind of the object.
        name: Name of the object.
        changed_at: Monotonic time of the change, in seconds.
        event: Watch event of the change.
        previous: The object before the change; None if it did not exist.
    """

    revision: int
    kind: str
    name: str
    changed_at: float
    event: dict[str, Any]
    previous: dict[str, Any] | None


class Store:
    """Stores objects by kind and name, with a history of changes for watches.

    Attributes:
        revision: Revision of the last change of any object.
        objects: Objects by kind and name.
        history: All changes.
        forgotten: Revision up to which watches do not get the history.
        changed: Set at the next change, then replaced.
        faults: Active faults by name.
        calls: Number of calls by method.
        era: Number of the latest return from a copy, counted from 1.
        transports: Transports of the open connections.
    """

    def __init__(self):
        self.revision = 1
        self.era = 1
        self.transports = set()
        self.objects = collections.defaultdict(dict)
        self.history = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.faults = {}
        self.calls = collections.Counter()

    def put(self, kind, name, data, section, revision, *, create):
        """Writes one section of an object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            data: New value of the section.
            section: `Spec` or `Status`.
            revision: Expected revision of the object, or None for any.
            create: True if the object must not exist yet.

        Returns:
            An HTTP status and the stored object, empty if there is none.
        """
        old = self.objects[kind].get(name)
        if create and old is not None:
            return 409, old
        if not create and old is None:
            return 404, {}
        if revision is not None and old['Metadata']['Rev'] != revision:
            return 409, old
        if old is not None and old.get(section) == data:
            return 200, old
        self.revision += 1
        created_number = old['Metadata']['CreateRev'] if old else self.revision
        new = {
            'Metadata': {
                'Name': name,
                'Rev': self.revision,
                'CreateRev': created_number,
                'Finalizers': [],
                'Deleting': False,
            },
            'Spec': old['Spec'] if old else None,
            'Status': old['Status'] if old else None,
        }
        new[section] = data
        self.objects[kind][name] = new
        self._record_change(kind, new, old, deleted=False)
        return 200, new

    def delete(self, kind, name, revision):
        """Removes an object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            revision: Expected revision of the object, or None for any.

        Returns:
            An HTTP status and the removed or conflicting object, empty if
            there is none.
        """
        old = self.objects[kind].get(name)
        if old is None:
            return 404, {}
        if revision is not None and old['Metadata']['Rev'] != revision:
            return 409, old
        del self.objects[kind][name]
        self.revision += 1
        removed = {**old, 'Metadata': {**old['Metadata'], 'Rev': self.revision}}
        self._record_change(kind, removed, old, deleted=True)
        return 200, removed

    def forget(self):
        """Hides the history; watches of older revisions have to list again."""
        self.forgotten = self.revision
        self.notify_watches()

    def restore(self, revision, *, keeps_connections=False):
        """Comes back from a copy of the data, without anything written since.

        Args:
            revision: Revision of the store when the copy was made.
            keeps_connections: False to cut all connections.
        """
        for kind in list(self.objects):
            self.objects[kind] = self.objects_at(kind, revision)
        self.history = [c for c in self.history if c.revision <= revision]
        self.revision = revision
        self.forgotten = min(self.forgotten, revision)
        self.era += 1
        if not keeps_connections:
            for transport in list(self.transports):
                transport.abort()
        self.notify_watches()

    def revision_before(self, lag_s):
        """Returns the revision that the store had some seconds ago."""
        revision = self.revision
        newest_at = time.monotonic() - lag_s
        for change in reversed(self.history):
            if change.changed_at <= newest_at:
                break
            revision = change.revision - 1
        return revision

    def objects_at(self, kind, revision):
        """Returns the objects of a kind by name, as of a revision."""
        objects = dict(self.objects[kind])
        for change in reversed(self.history):
            if change.revision <= revision:
                break
            if change.kind != kind:
                continue
            if change.previous is None:
                del objects[change.name]
            else:
                objects[change.name] = change.previous
        return objects

    def events_between(self, kind, after, until):
        """Returns the watch events of a kind after and until a revision."""
        return [
            change.event
            for change in self.history
            if change.kind == kind and after < change.revision <= until
        ]

    def notify_watches(self):
        """Lets waiting watches look for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _record_change(self, kind, item, previous, *, deleted):
        self.history.append(
            Change(
                revision=self.revision,
                kind=kind,
                name=item['Metadata']['Name'],
                changed_at=time.monotonic(),
                event={'Deleted': deleted, 'Object': item},
                previous=previous,
            )
        )
        self.notify_watches()


class Connection(http_connection.HttpConnection):
    """Handles the calls of one connection in sequence."""

    def __init__(self, store):
        super().__init__()
        self.store = store

    def connection_made(self, transport):
        """Makes the connection known to the store."""
        super().connection_made(transport)
        self.store.transports.add(transport)

    def connection_lost(self, exc):
        """Removes the connection from those of the store."""
        super().connection_lost(exc)
        self.store.transports.discard(self.transport)

    async def handle(self, request):
        """Handles one call; some faults suppress the response."""
        response = await self.respond(request)
        if response is not None:
            status, data = response
            headers = [('Store-Era', self.store.era)]
            self.send(status, json.dumps(data).encode(), headers)

    async def respond(self, request):
        """Returns the status and body of the response; None for no response."""
        store = self.store
        url = urllib.parse.urlsplit(request.target)
        if url.path == '/.control/faults':
            store.faults = json.loads(request.body)
            if store.faults.pop('forget', False):
                store.forget()
            restore_s = store.faults.pop('restore_s', None)
            keeps_connections = store.faults.pop('keep_connections', False)
            if restore_s is not None:
                # The response to this call is sent before connections are cut.
                asyncio.get_running_loop().call_soon(
                    lambda: store.restore(
                        store.revision_before(restore_s),
                        keeps_connections=keeps_connections,
                    )
                )
            store.notify_watches()
            return 200, {}
        if url.path == '/.control/calls':
            return 200, dict(store.calls)
        store.calls[request.method] += 1
        if store.faults.get('silent'):
            return None
        port = self.transport.get_extra_info('sockname')[1]
        if store.faults.get('down') or port in store.faults.get(
            'refuse_ports', ()
        ):
            return 503, {}
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        path = [
            urllib.parse.unquote(part)
            for part in url.path.removeprefix(OBJECTS_PATH).split('/')
        ]
        if request.method == 'GET':
            return await self.read(path, query)
        result = self.write(request, path, query)
        if store.faults.get('lose_answers', 0) > 0:
            store.faults['lose_answers'] -= 1
            return None
        return result

    async def read(self, path, query):
        """Returns the response to a read, a list or a watch."""
        store, kind = self.store, path[0]
        if 'Watch' in query:
            return await self.watch(kind, query)
        revision = store.revision_before(self._lag_s(query))
        objects = store.objects_at(kind, revision)
        if len(path) > 1:
            item = objects.get(path[1])
            return (200, item) if item else (404, {})
        after = query.get('after', '')
        items = [objects[name] for name in sorted(objects) if name > after]
        # Pages of 2 objects make clients request further pages.
        page = items[:2]
        return 200, {
            'items': page,
            'HasMore': len(items) > len(page),
            'CurrentRev': self._counter(revision),
        }

    async def watch(self, kind, query):
        """Waits for changes of a kind, for at most `WaitMs` of the query.

        Returns:
            An HTTP status and the body of the response.
        """
        store, after = self.store, int(query['Watch'])
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query['WaitMs']) / 1000
        if after > store.revision:
            return 410, {}
        while True:
            if after < store.forgotten:
                return 410, {}
            lag_s = self._lag_s(query)
            revision = store.revision_before(lag_s)
            events = store.events_between(kind, after, revision)
            if events or loop.time() >= ends_at:
                return 200, {
                    'events': events,
                    'CurrentRev': self._counter(revision),
                }
            look_at = loop.time() + LAG_CHECK_INTERVAL_S if lag_s else ends_at
            try:
                async with asyncio.timeout_at(min(look_at, ends_at)):
                    await store.changed.wait()
            except TimeoutError:
                continue

    def _lag_s(self, query):
        """Returns the age of the data that a read gets, in seconds."""
        faults = self.store.faults
        if query.get('Serializable') != '1' or (
            'Watch' in query and faults.get('lag_lists_only')
        ):
            return 0.0
        return faults.get('lag_s', 0.0)

    def _counter(self, revision):
        """Returns `CurrentRev` of a response with data of a revision."""
        if self.store.faults.get('lag_counter'):
            return self.store.revision
        return revision

    def write(self, request, path, query):
        """Performs a write and returns the status and body of the response."""
        store, kind = self.store, path[0]
        if request.method == 'DELETE':
            revision = int(query['Rev']) if 'Rev' in query else None
            return store.delete(kind, path[1], revision)
        body = request.body.decode()
        for old, new in store.faults.get('replace', {}).items():
            body = body.replace(old, new)
        data = json.loads(body)
        revision = data['Metadata'].get('Rev')
        if request.method == 'POST':
            name = data['Metadata']['Name']
            return store.put(
                kind, name, data['Spec'], 'Spec', None, create=True
            )
        section = 'Status' if path[2:] == ['status'] else 'Spec'
        return store.put(
            kind, path[1], data[section], section, revision, create=False
        )


class InProcessPool:
    """Stands in for the connections of a client in the process of the store.

    Attributes:
        store: Responds to the calls.
        before_responses: Functions of which the next one is called before the
            store handles the next call.
    """

    def __init__(self, store):
        self.store = store
        self.before_responses = []

    async def fetch(self, address, request, deadline, **limits):
        """Returns the response of the store to a call."""
        if self.before_responses:
            self.before_responses.pop(0)()
        connection = Connection(self.store)
        connection.transport = self
        status, data = await connection.respond(request)
        return http_codec.Response(
            status=status,
            headers=[(b'store-era', b'%d' % self.store.era)],
            body=json.dumps(data).encode(),
        )

    def get_extra_info(self, name):
        """Returns an address for a connection that has none."""
        return '', 0


async def main(ports):
    """Handles calls on the ports until the process is killed."""
    store = Store()
    loop = asyncio.get_running_loop()
    for port in ports:
        await loop.create_server(lambda: Connection(store), '127.0.0.1', port)
    print(json.dumps({'ports': ports}), flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main([int(port) for port in sys.argv[1:]]))
