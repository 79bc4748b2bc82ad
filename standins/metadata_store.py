"""Stand-in for the platform's metadata store, with faults.

Run as `python -m standins.metadata_store PORT ...`; the same objects are
available on all ports. `POST /.control/faults` replaces the faults by a JSON
object with these optional keys:

    down: True if all calls are refused with status 503, on all ports.
    silent: True if no call gets a response.
    refuse_ports: Ports on which all calls are refused with status 503.
    lose_answers: Number of writes that take effect without a response.
    forget: True to drop the history of changes once.
    replace: Texts that are replaced in the bodies of writes, for example the
        address of a daemon by the address of a relay.

`GET /.control/calls` returns the number of calls by method.
"""

import asyncio
import collections
import json
import sys
import urllib.parse

from standins import http_connection

OBJECTS_PATH = '/-/objects/'


class Store:
    """Stores objects by kind and name, with a history of changes for watches.

    Attributes:
        revision: Revision of the last change of any object.
        objects: Objects by kind and name.
        history: Revision, kind and watch event of each change.
        forgotten: Revision up to which the history was dropped.
        changed: Set at the next change, then replaced.
        faults: Active faults by name.
        calls: Number of calls by method.
    """

    def __init__(self):
        self.revision = 1
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
        created_revision = (
            old['Metadata']['CreateRev'] if old else self.revision
        )
        new = {
            'Metadata': {
                'Name': name,
                'Rev': self.revision,
                'CreateRev': created_revision,
                'Finalizers': [],
                'Deleting': False,
            },
            'Spec': old['Spec'] if old else None,
            'Status': old['Status'] if old else None,
        }
        new[section] = data
        self.objects[kind][name] = new
        self._record_change(kind, new, deleted=False)
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
        self._record_change(kind, removed, deleted=True)
        return 200, removed

    def forget(self):
        """Drops the history; watches of older revisions have to list again."""
        self.forgotten = self.revision
        self.history.clear()
        self._notify_watches()

    def events_after(self, kind, revision):
        """Returns the watch events of a kind after a revision."""
        return [e for r, k, e in self.history if k == kind and r > revision]

    def _record_change(self, kind, item, *, deleted):
        event = {'Deleted': deleted, 'Object': item}
        self.history.append((self.revision, kind, event))
        self._notify_watches()

    def _notify_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Connection(http_connection.HttpConnection):
    """Handles the calls of one connection in sequence."""

    def __init__(self, store):
        super().__init__()
        self.store = store

    async def handle(self, request):
        """Handles one call; some faults suppress the response."""
        response = await self.respond(request)
        if response is not None:
            status, data = response
            self.send(status, json.dumps(data).encode())

    async def respond(self, request):
        """Returns the status and body of the response; None for no response."""
        store = self.store
        url = urllib.parse.urlsplit(request.target)
        if url.path == '/.control/faults':
            store.faults = json.loads(request.body)
            if store.faults.pop('forget', False):
                store.forget()
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
        if len(path) > 1:
            item = store.objects[kind].get(path[1])
            return (200, item) if item else (404, {})
        if 'Watch' in query:
            return await self.watch(kind, query)
        items = [store.objects[kind][n] for n in sorted(store.objects[kind])]
        after = query.get('after', '')
        items = [i for i in items if i['Metadata']['Name'] > after]
        # Pages of 2 objects make clients request further pages.
        page = items[:2]
        return 200, {
            'items': page,
            'HasMore': len(items) > len(page),
            'CurrentRev': store.revision,
        }

    async def watch(self, kind, query):
        """Waits for changes of a kind, for at most `WaitMs` of the query.

        Returns:
            An HTTP status and the body of the response.
        """
        store, revision = self.store, int(query['Watch'])
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query['WaitMs']) / 1000
        while True:
            if revision < store.forgotten:
                return 410, {}
            events = store.events_after(kind, revision)
            if events or loop.time() >= ends_at:
                return 200, {'events': events, 'CurrentRev': store.revision}
            try:
                async with asyncio.timeout_at(ends_at):
                    await store.changed.wait()
            except TimeoutError:
                continue

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
