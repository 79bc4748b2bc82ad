"""A small target: slots, cold start, drain, faults, and a log of its work.

Run as `python -m standins.target_server --port N --service booking ...`.
`POST /.control/faults` takes a JSON list of faults and replaces the earlier
ones, `GET /.control/log` gives the requests it ran, `GET /.control/stats`
its counters, `GET /health` says 200 whatever the state is. A request may set
`?ms=`, `?bytes=`, `?status=`, `?forge=` and `?body=chunked|close|length`.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import os
import signal
import time
from typing import Any
import urllib.parse
import urllib.request

import attrs
import httptools

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCED = (
    'target_id',
    'service',
    'version',
    'address',
    'slots',
    'keep_alive_s',
)
# A cold target is slower by this factor.
COLD_FACTOR = 10
DEFAULT_TIMEOUT_MS = 60_000


@attrs.define
class Fault:
    """A fault that applies to one version or route, or to all.

    Attributes:
        kind: error, slow, late (slow beyond the deadline), cut, double (the
            answer comes again after `ms`), close or reset (both after the
            request was read).
        version: Only for a target of this version.
        route: Only for paths that begin with this.
        load: Only while at least this many requests run.
        after: Only after this many requests.
        ms: Delay of slow and late, in milliseconds.
        at: Bytes of the answer that are sent before a cut.
        limit: Applies at most this many times.
    """

    kind: str
    version: str | None = None
    route: str = ''
    load: int = 0
    after: int = 0
    ms: float = 0
    at: int = 0
    limit: float = float('inf')


@attrs.define(eq=False)
class TargetServer:
    """The target; `start` it on a loop and `stop` it."""

    service: str = 'booking'
    version: str = 'v1'
    target_id: str = 'target-1'
    slots: int = 18
    port: int = 0
    keep_alive_s: float = 5.0
    service_ms: float = 0.0
    answer_bytes: int = 200
    cold_start_s: float = 0.0
    faults: list[Fault] = attrs.field(init=False, factory=list)
    log: list[dict] = attrs.field(init=False, factory=list)
    counts: Any = attrs.field(init=False, factory=collections.Counter)
    draining: bool = attrs.field(init=False, default=False)
    running: int = attrs.field(init=False, default=0)
    connections: set = attrs.field(init=False, factory=set)
    _server: Any = attrs.field(init=False, default=None)
    _started_at: float = attrs.field(init=False, factory=time.monotonic)

    @property
    def address(self) -> str:
        """Returns `host:port`."""
        return f'127.0.0.1:{self.port}'

    async def start(self):
        """Listens; sets the port if it was 0."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Closes the listener and all connections."""
        self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def drain(self):
        """Refuses new work and waits for the work in flight."""
        self.draining = True
        while self.running:
            await asyncio.sleep(0.01)
        await self.stop()

    def fault(self, path: str) -> Fault:
        """Returns the fault that applies to a request now."""
        for fault in self.faults:
            if (
                fault.version in (None, self.version)
                and path.startswith(fault.route)
                and self.running >= fault.load
                and len(self.log) > fault.after
                and fault.limit > 0
            ):
                fault.limit -= 1
                return fault
        return Fault('')

    def service_s(self, query: dict) -> float:
        """Returns the time one request takes, in seconds."""
        cold = time.monotonic() - self._started_at < self.cold_start_s
        ms = float(query.get('ms', self.service_ms))
        return (ms * COLD_FACTOR if cold else ms) / 1000

    def control(self, path: str, body: bytes) -> Any:
        """Answers a request of the control side."""
        if path == '/.control/faults':
            self.faults = [Fault(**item) for item in json.loads(body)]
        if path == '/.control/log':
            return self.log
        return dict(self.counts, running=self.running)


class _Connection(asyncio.Protocol):
    def __init__(self, server: TargetServer):
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.queue: asyncio.Queue = asyncio.Queue()

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)
        most = max(
            self.server.counts['connections'], len(self.server.connections)
        )
        self.server.counts['connections'] = most
        self.task = asyncio.ensure_future(self.serve())

    def connection_lost(self, exc):
        self.server.connections.discard(self)
        self.task.cancel()

    def data_received(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.server.counts['malformed'] += 1
            self.transport.abort()

    def on_message_begin(self):
        self.url, self.headers, self.body = b'', {}, b''

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers[name.lower().decode()] = value.decode('latin-1')

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        method = self.parser.get_method().decode()
        self.queue.put_nowait((method, self.url, self.headers, self.body))

    async def serve(self):
        while True:
            try:
                async with asyncio.timeout(self.server.keep_alive_s):
                    item = await self.queue.get()
            except TimeoutError:
                self.transport.close()
                return
            method, url, headers, body = item
            path, _, query = url.decode('latin-1').partition('?')
            query = dict(urllib.parse.parse_qsl(query))
            if path.startswith('/.control/') or path == '/health':
                answer = self.server.control(path, body)
                self.answer(200, json.dumps(answer).encode(), method, {})
            else:
                await self.work(method, path, query, headers, body)

    async def work(self, method, path, query, headers, body):
        server = self.server
        if server.draining or server.running >= server.slots:
            server.counts['shed'] += 1
            self.answer(503, b'shed', method, {})
            return
        request_id = headers.get('x-hemlock-request-id', '')
        server.log.append({'id': request_id, 'method': method, 'path': path})
        server.running += 1
        most = max(server.counts['most_running'], server.running)
        server.counts['most_running'] = most
        try:
            await self.run(method, path, query, headers, body)
        except asyncio.CancelledError:
            server.counts['cancelled'] += 1
            raise
        finally:
            server.running -= 1

    async def run(self, method, path, query, headers, body):
        fault = self.server.fault(path)
        if fault.kind in ('close', 'reset'):
            end = self.transport
            (end.close if fault.kind == 'close' else end.abort)()
            return
        limit_ms = headers.get('x-hemlock-timeout-ms', DEFAULT_TIMEOUT_MS)
        limit_s = float(limit_ms) / 1000
        extra_s = fault.ms / 1000
        delay_s = self.server.service_s(query)
        delay_s += 0 if fault.kind == 'double' else extra_s
        in_time = fault.kind == 'late' or delay_s <= limit_s
        await asyncio.sleep(delay_s if in_time else limit_s)
        if not in_time:
            self.answer(504, b'deadline passed', method, {})
            return
        echo = {
            'target': self.server.target_id,
            'version': self.server.version,
            'path': path,
            'echo': headers.get('x-echo', body[:100].decode('latin-1')),
            'size': len(body),
        }
        size = int(query.get('bytes', self.server.answer_bytes))
        status = int(query.get('status', 200))
        status = 500 if fault.kind == 'error' else status
        cut_at = fault.at if fault.kind == 'cut' else None
        answer = json.dumps(echo).encode().ljust(size)
        self.answer(status, answer, method, query, cut_at)
        if fault.kind == 'double':
            await asyncio.sleep(extra_s)
            self.answer(status, answer, method, query)

    def answer(self, status, body, method, query, cut_at=None):
        mode = query.get('body', 'length')
        head = [f'HTTP/1.1 {status} Status', 'content-type: application/json']
        if 'forge' in query:
            head += ['x-hemlock-not-run: 1', 'x-hemlock-outcome: not-run']
        if mode == 'chunked':
            head.append('transfer-encoding: chunked')
            half = len(body) // 2
            parts = (body[:half], body[half:], b'')
            body = b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in parts)
        elif mode == 'length' and status != 204:
            head.append(f'content-length: {len(body)}')
        if method == 'HEAD' or status in (204, 304):
            body = b''
        data = '\r\n'.join([*head, '', '']).encode() + body
        self.transport.write(data[:cut_at])
        if mode == 'close' or cut_at is not None:
            self.transport.close()


def _announce(url: str, message: dict):
    body = json.dumps(message).encode()
    headers = {'content-type': 'application/json'}
    request = urllib.request.Request(url, body, headers)
    # The daemon may start later; the next announcement follows.
    with contextlib.suppress(OSError):
        urllib.request.urlopen(request, timeout=1).close()


async def main(server: TargetServer, url: str):
    """Runs a target until SIGTERM, then drains it."""
    await server.start()
    print(json.dumps({'port': server.port, 'pid': os.getpid()}), flush=True)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    message = {name: getattr(server, name) for name in ANNOUNCED}
    while not stopping.is_set():
        if url:
            await asyncio.to_thread(_announce, url, message)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopping.wait(), ANNOUNCE_INTERVAL_S)
    if url:
        leaving = {'target_id': server.target_id, 'leaving': True}
        await asyncio.to_thread(_announce, url, leaving)
    await server.drain()


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--announce', default='')
    for field in attrs.fields(TargetServer):
        if field.init:
            flag = '--' + field.name.replace('_', '-')
            parser.add_argument(flag, type=field.type, default=field.default)
    options = vars(parser.parse_args())
    announce_url = options.pop('announce')
    asyncio.run(main(TargetServer(**options), announce_url))
