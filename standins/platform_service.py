"""The HTTP service of the stand-in platform, with limits and faults."""

import collections
import fnmatch
import time

import attrs
import klein
import orjson
from twisted.internet import defer
from twisted.internet import task

from hemlockgrade import exceptions
from standins import object_store

MAX_WATCH_S = 60.0
JSON = b'application/json'


@attrs.define(kw_only=True)
class Faults:
    """What goes wrong; set through `POST /control/faults`.

    Attributes:
        outage: Each call is answered with 503 and has no effect.
        refuse: Each connection is closed and the call has no effect.
        delay_s: Time that each call waits before its effect, in seconds.
        answer_delay_s: Time that each answer waits, in seconds.
        lose_answers: Number of writes whose answer is lost after the effect.
        loss: `requests` or `answers` are lost in that direction.
        clients: Patterns of client names that the faults are limited to.
    """

    outage: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    lose_answers: int = 0
    loss: str = ''
    clients: list[str] = attrs.field(factory=lambda: ['*'])


@attrs.define
class RateLimit:
    """A token bucket that holds one second's worth of calls."""

    per_s: float
    _tokens: float = attrs.field(init=False)
    _filled_at: float = attrs.field(factory=time.monotonic)

    def __attrs_post_init__(self):
        self._tokens = self.per_s

    def take(self) -> bool:
        """Takes a token if there is one."""
        now = time.monotonic()
        self._tokens += (now - self._filled_at) * self.per_s
        self._tokens = min(self._tokens, self.per_s)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlatformService:
    """The object API and its control path."""

    app = klein.Klein()

    def __init__(self, reactor):
        self._reactor = reactor
        self._store = object_store.ObjectStore()
        self._faults = Faults()
        self._limits = {'read': RateLimit(2000), 'write': RateLimit(400)}
        self._counts: collections.Counter[str] = collections.Counter()
        self._counts_by_client: collections.Counter[str] = collections.Counter()
        self._waiting_by_prefix: dict[str, set[defer.Deferred]] = (
            collections.defaultdict(set)
        )

    @app.route('/v1/objects/<path:key>', methods=['GET'])
    async def get(self, request, key):
        """Answers one object."""

        def read():
            stored = self._store.get(key)
            if stored is None:
                request.setResponseCode(404)
                return b''
            request.setHeader(b'ETag', b'"%d"' % stored.version)
            return stored.value

        return await self._call(request, 'get', 'read', read)

    @app.route('/v1/objects', methods=['GET'])
    async def list(self, request):
        """Answers the objects below a prefix."""
        prefix = _argument(request, b'prefix')

        def read():
            return _encode(request, self._store.select(prefix))

        return await self._call(request, 'list', 'read', read)

    @app.route('/v1/watch', methods=['GET'])
    async def watch(self, request):
        """Answers objects after a key, as soon as there are some."""
        prefix = _argument(request, b'prefix')
        after = _argument(request, b'after')
        wait_s = min(float(_argument(request, b'wait_s')), MAX_WATCH_S)
        deadline = self._reactor.seconds() + wait_s

        async def read():
            while not (found := self._store.select(prefix, after)):
                left_s = deadline - self._reactor.seconds()
                if left_s <= 0:
                    break
                await self._write_below(prefix, left_s)
            return _encode(request, found)

        return await self._call(request, 'watch', 'read', read)

    @app.route('/v1/objects/<path:key>', methods=['PUT'])
    async def put(self, request, key):
        """Creates or replaces one object."""
        value = request.content.read()
        version = _condition(request)

        def write():
            if len(value) > object_store.MAX_VALUE_BYTES:
                request.setResponseCode(413)
                return b'value too large'
            stored = self._store.put(key, value, version)
            request.setHeader(b'ETag', b'"%d"' % stored.version)
            request.setResponseCode(201 if version is None else 200)
            self._wake(key)
            return b''

        kind = 'create' if version is None else 'update'
        return await self._call(request, kind, 'write', write)

    @app.route('/v1/objects/<path:key>', methods=['DELETE'])
    async def delete(self, request, key):
        """Removes one object."""

        def write():
            self._store.delete(key, _condition(request))
            return b''

        return await self._call(request, 'delete', 'write', write)

    @app.route('/control/faults', methods=['POST'])
    def set_faults(self, request):
        """Replaces the faults in force."""
        self._faults = Faults(**orjson.loads(request.content.read()))
        return b''

    @app.route('/control/limits', methods=['POST'])
    def set_limits(self, request):
        """Replaces the calls allowed a second, by `read` and `write`."""
        for kind, per_s in orjson.loads(request.content.read()).items():
            self._limits[kind] = RateLimit(per_s)
        return b''

    @app.route('/control/statistics', methods=['GET'])
    def statistics(self, request):
        """Answers the number of calls by kind and by client."""
        request.setHeader(b'Content-Type', JSON)
        waiting = sum(map(len, self._waiting_by_prefix.values()))
        return orjson.dumps(
            {
                'calls': self._counts,
                'calls_by_client': self._counts_by_client,
                'waiting_watches': waiting,
            }
        )

    def _call(self, request, kind: str, limit: str, action):
        """Runs a call to its end, even if its caller gives up before."""
        answer: defer.Deferred = defer.Deferred()
        call = defer.ensureDeferred(self._run(request, kind, limit, action))
        call.addBoth(_fire, answer)
        return answer

    async def _run(self, request, kind: str, limit: str, action):
        client = (request.getHeader('x-hemlock-client') or '').strip()
        self._counts[kind] += 1
        self._counts_by_client[client] += 1
        if not self._limits[limit].take():
            self._counts['refused'] += 1
            request.setResponseCode(429)
            request.setHeader(b'Retry-After', b'1')
            return b''
        faults = self._faults
        if not any(fnmatch.fnmatchcase(client, p) for p in faults.clients):
            faults = Faults()
        if faults.refuse:
            request.transport.abortConnection()
        if faults.refuse or faults.loss == 'requests':
            await defer.Deferred()
        if faults.outage:
            request.setResponseCode(503)
            return b''
        if faults.delay_s:
            await task.deferLater(self._reactor, faults.delay_s)
        try:
            answer = action()
            if not isinstance(answer, bytes):
                answer = await answer
        except exceptions.ConflictError as error:
            request.setResponseCode(412)
            answer = str(error.args[0]).encode()
        if faults.answer_delay_s:
            await task.deferLater(self._reactor, faults.answer_delay_s)
        if faults.loss == 'answers':
            await defer.Deferred()
        if limit == 'write' and faults.lose_answers > 0:
            faults.lose_answers -= 1
            request.transport.abortConnection()
            await defer.Deferred()
        return answer

    async def _write_below(self, prefix: str, wait_s: float) -> None:
        """Waits for a write below a prefix, no longer than a time."""
        woken: defer.Deferred = defer.Deferred()
        waiting = self._waiting_by_prefix[prefix]
        waiting.add(woken)
        timer = self._reactor.callLater(wait_s, _fire, None, woken)
        try:
            await woken
        finally:
            waiting.discard(woken)
            if timer.active():
                timer.cancel()

    def _wake(self, key: str) -> None:
        for prefix, waiting in self._waiting_by_prefix.items():
            if key.startswith(prefix):
                for woken in list(waiting):
                    _fire(None, woken)


def _fire(result, waiter: defer.Deferred) -> None:
    if not waiter.called:
        waiter.callback(result)


def _argument(request, name: bytes) -> str:
    return request.args.get(name, [b''])[0].decode()


def _condition(request) -> int | None:
    if request.getHeader('if-none-match') == '*':
        return None
    return int((request.getHeader('if-match') or '"0"').strip('"'))


def _encode(request, objects) -> bytes:
    request.setHeader(b'Content-Type', JSON)
    return orjson.dumps(
        [
            {'key': o.key, 'version': o.version, 'value': o.value.decode()}
            for o in objects
        ]
    )
