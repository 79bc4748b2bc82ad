"""A stand-in of the platform's metadata store, with faults.

Run as `python -m standins.metadata_store PORT ...`; all ports serve the same
objects. `POST /.control/faults` takes a JSON table of faults: `down` answers
503, `silent` answers nothing, `refuse_ports` lists the ports that answer 503,
`lose_answers` is a number of writes whose answer is lost, `forget` drops the
history once. `GET /.control/calls` counts the calls by method.
"""

import asyncio
import collections
import json
import sys
import urllib.parse

from standins import http_connection

OBJECTS = '/-/objects/'


class Store:
    """Objects by kind and name, with one revision counter and a history."""

    def __init__(self):
        self.revision = 1
        self.objects = collections.defaultdict(dict)
        self.history = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.faults = {}
        self.calls = collections.Counter()

    def put(self, kind, name, data, part, revision, *, create):
        """Writes `Spec` or `Status`; returns a status and the object."""
        old = self.objects[kind].get(name)
        if create and old is not None:
            return 409, old
        if not create and old is None:
            return 404, {}
        if revision is not None and old['Metadata']['Rev'] != revision:
            return 409, old
        if old is not None and old.get(part) == data:
            return 200, old
        self.revision += 1
        made = old['Metadata']['CreateRev'] if old else self.revision
        new = {
            'Metadata': {
                'Name': name,
                'Rev': self.revision,
                'CreateRev': made,
                'Finalizers': [],
                'Deleting': False,
            },
            'Spec': old['Spec'] if old else None,
            'Status': old['Status'] if old else None,
        }
        new[part] = data
        self.objects[kind][name] = new
        self._record(kind, new, deleted=False)
        return 200, new

    def delete(self, kind, name, revision):
        """Removes an object; returns a status and what is left of it."""
        old = self.objects[kind].get(name)
        if old is None:
            return 404, {}
        if revision is not None and old['Metadata']['Rev'] != revision:
            return 409, old
        del self.objects[kind][name]
        self.revision += 1
        gone = {**old, 'Metadata': {**old['Metadata'], 'Rev': self.revision}}
        self._record(kind, gone, deleted=True)
        return 200, gone

    def forget(self):
        """Drops the history; watches from before have to list again."""
        self.forgotten = self.revision
        self.history.clear()
        self._wake()

    def events_after(self, kind, revision):
        """Returns the changes of a kind after a revision."""
        return [e for r, k, e in self.history if k == kind and r > revision]

    def _record(self, kind, item, *, deleted):
        event = {'Deleted': deleted, 'Object': item}
        self.history.append((self.revision, kind, event))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Connection(http_connection.HttpConnection):
    """Answers the calls of one connection in their order."""

    def __init__(self, store):
        super().__init__()
        self.store = store

    async def handle(self, request):
        """Answers a call, or is silent."""
        answer = await self.answer(request)
        if answer is not None:
            status, data = answer
            self.send(status, json.dumps(data).encode())

    async def answer(self, request):
        """Returns a status and a body, or None for silence."""
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
        path = url.path.removeprefix(OBJECTS).split('/')
        if request.method == 'GET':
            return await self.read(path, query)
        result = self.write(request, path, query)
        if store.faults.get('lose_answers', 0) > 0:
            store.faults['lose_answers'] -= 1
            return None
        return result

    async def read(self, path, query):
        """Answers a read, a list or a watch."""
        store, kind = self.store, path[0]
        if len(path) > 1:
            item = store.objects[kind].get(path[1])
            return (200, item) if item else (404, {})
        if 'Watch' in query:
            return await self.watch(kind, query)
        items = [store.objects[kind][n] for n in sorted(store.objects[kind])]
        after = query.get('after', '')
        items = [i for i in items if i['Metadata']['Name'] > after]
        # Short pages, so that callers have to go on.
        page = items[:2]
        return 200, {
            'items': page,
            'HasMore': len(items) > len(page),
            'CurrentRev': store.revision,
        }

    async def watch(self, kind, query):
        """Answers once something of a kind changes, or the wait ends."""
        store, revision = self.store, int(query['Watch'])
        loop = asyncio.get_running_loop()
        ends = loop.time() + int(query['WaitMs']) / 1000
        while True:
            if revision < store.forgotten:
                return 410, {}
            events = store.events_after(kind, revision)
            if events or loop.time() >= ends:
                return 200, {'events': events, 'CurrentRev': store.revision}
            try:
                async with asyncio.timeout_at(ends):
                    await store.changed.wait()
            except TimeoutError:
                continue

    def write(self, request, path, query):
        """Answers a write."""
        store, kind = self.store, path[0]
        if request.method == 'DELETE':
            revision = int(query['Rev']) if 'Rev' in query else None
            return store.delete(kind, path[1], revision)
        data = json.loads(request.body)
        revision = data['Metadata'].get('Rev')
        if request.method == 'POST':
            name = data['Metadata']['Name']
            return store.put(
                kind, name, data['Spec'], 'Spec', None, create=True
            )
        part = 'Status' if path[2:] == ['status'] else 'Spec'
        return store.put(
            kind, path[1], data[part], part, revision, create=False
        )


async def main(ports):
    """Serves until it is killed."""
    store = Store()
    loop = asyncio.get_running_loop()
    for port in ports:
        await loop.create_server(lambda: Connection(store), '127.0.0.1', port)
    print(json.dumps({'ports': ports}), flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main([int(port) for port in sys.argv[1:]]))
