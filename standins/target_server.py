"""A small target: slots, cold start, drain, faults, and a log of its work.

Run as `python -m standins.target_server --port N --service booking ...`.
Paths of the control side:
  POST /.control/faults  a JSON list of faults, replaces the previous ones;
                         `{"kind": ..., "version", "route", "load", "after",
                         "ms", "at", "limit"}`, all but `kind` optional
  GET  /.control/log     requests it ran: `[{"id", "method", "path"}]`
  GET  /.control/stats   counters
  GET  /health           always 200, whatever the target's state is
A request may set `?ms=`, `?bytes=` and `?body=chunked|close|length`.
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
COLD_FACTOR = 10


@attrs.define
class Fault:
    """A fault that applies to one version or route, or to all.

    Attributes:
        kind: error, slow, close, late, cut or reset.
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
    limit: int | None = None


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
    faults: list[Fault] = attrs.field(factory=list)
    log: list[dict] = attrs.field(factory=list)
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    draining: bool = False
    running: int = 0
    connections: set = attrs.field(factory=set)
    _server: Any = None
    _started_at: float = 0.0

    @property
    def address(self) -> str:
        """Returns `host:port`."""
        return f'127.0.0.1:{self.port}'

    async def start(self):
        """Listens; sets the port if it was 0."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._started_at = time.monotonic()

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

    def fault(self, path: str) -> Fault | None:
        """Returns the fault that applies to a request now."""
        for fault in self.faults:
            if fault.version not in (None, self.version):
                continue
            if not path.startswith(fault.route) or fault.limit == 0:
                continue
            if self.running < fault.load or len(self.log) <= fault.after:
                continue
            if fault.limit is not None:
                fault.limit -= 1
            return fault
        return None

    def service_s(self, query: dict) -> float:
        """Returns the time one request takes, in seconds."""
        ms = float(query.get('ms', self.service_ms))
        cold = time.monotonic() - self._started_at < self.cold_start_s
        return (ms * COLD_FACTOR if cold else ms) / 1000

    def control(self, method: str, path: str, body: bytes) -> Any:
        """Answers a request of the control side."""
        if path == '/.control/faults' and method == 'POST':
            self.faults = [Fault(**item) for item in json.loads(body)]
            return []
        if path == '/.control/log':
            return self.log
        return dict(self.counts, running=self.running)


class _Connection(asyncio.Protocol):
    def __init__(self, server: TargetServer):
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.queue: asyncio.Queue = asyncio.Queue()
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)
        self.server.counts['connections'] += 1
        self.task = asyncio.ensure_future(self.serve())
        self.restart_idle_timer()

    def connection_lost(self, exc):
        self.server.connections.discard(self)
        self.task.cancel()

    def restart_idle_timer(self):
        if self.idle_timer:
            self.idle_timer.cancel()
        self.idle_timer = asyncio.get_running_loop().call_later(
            self.server.keep_alive_s, self.close_if_idle
        )

    def close_if_idle(self):
        if not self.server.running:
            self.transport.close()

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
            method, url, headers, body = await self.queue.get()
            path, _, query = url.decode('latin-1').partition('?')
            if path.startswith('/.control/') or path == '/health':
                answer = self.server.control(method, path, body)
                self.answer(200, json.dumps(answer).encode(), method, {})
            else:
                query = dict(urllib.parse.parse_qsl(query))
                await self.work(method, path, query, headers, body)
            self.restart_idle_timer()

    async def work(self, method, path, query, headers, body):
        server = self.server
        if server.draining or server.running >= server.slots:
            server.counts['shed'] += 1
            self.answer(503, b'shed', method, {})
            return
        request_id = headers.get('x-hemlock-request-id', '')
        server.log.append({'id': request_id, 'method': method, 'path': path})
        server.running += 1
        server.counts['most_running'] = max(
            server.counts['most_running'], server.running
        )
        try:
            await self.run(method, path, query, headers, body)
        except asyncio.CancelledError:
            server.counts['cancelled'] += 1
            raise
        finally:
            server.running -= 1

    async def run(self, method, path, query, headers, body):
        fault = self.server.fault(path)
        kind = fault.kind if fault else ''
        if kind in ('close', 'reset'):
            (
                self.transport.close
                if kind == 'close'
                else self.transport.abort
            )()
            return
        delay_s = self.server.service_s(query)
        delay_s += fault.ms / 1000 if kind in ('slow', 'late') else 0
        limit_s = float(headers.get('x-hemlock-timeout-ms', 60_000)) / 1000
        # A late target answers after the deadline instead of giving up.
        await asyncio.sleep(
            delay_s if kind == 'late' else min(delay_s, limit_s)
        )
        if kind != 'late' and delay_s > limit_s:
            self.answer(504, b'deadline passed', method, {})
            return
        echo = {
            'target': self.server.target_id,
            'version': self.server.version,
            'method': method,
            'path': path,
            'echo': headers.get('x-echo', body[:100].decode('latin-1')),
            'size': len(body),
        }
        size = int(query.get('bytes', self.server.answer_bytes))
        answer = json.dumps(echo).encode().ljust(size)
        status = 500 if kind == 'error' else int(query.get('status', 200))
        at = fault.at if fault and kind == 'cut' else None
        self.answer(status, answer, method, query, at)

    def answer(self, status, body, method, query, cut_at=None):
        mode = query.get('body', 'length')
        head = f'HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\n'
        head += 'x-hemlock-not-run: 1\r\n' if 'forge' in query else ''
        if mode == 'chunked':
            head += 'transfer-encoding: chunked\r\n'
            half = len(body) // 2
            parts = [
                b'%x\r\n%b\r\n' % (len(p), p)
                for p in (body[:half], body[half:])
                if p
            ]
            body = b''.join([*parts, b'0\r\n\r\n'])
        elif mode == 'length' and status not in (204, 304):
            head += f'content-length: {len(body)}\r\n'
        if method == 'HEAD' or status in (204, 304):
            body = b''
        data = head.encode() + b'\r\n' + body
        self.transport.write(data if cut_at is None else data[:cut_at])
        if mode == 'close' or cut_at is not None:
            self.transport.close()


def _announce(url: str, message: dict):
    request = urllib.request.Request(
        url,
        json.dumps(message).encode(),
        {'content-type': 'application/json'},
        method='POST',
    )
    # The daemon may start later; the next announcement follows.
    with contextlib.suppress(OSError):
        urllib.request.urlopen(request, timeout=1).close()


async def main(options: argparse.Namespace):
    """Runs the target until SIGTERM and a drain."""
    server = TargetServer(
        **{k: v for k, v in vars(options).items() if k != 'announce'}
    )
    await server.start()
    print(json.dumps({'port': server.port, 'pid': os.getpid()}), flush=True)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    names = (
        'target_id',
        'service',
        'version',
        'address',
        'slots',
        'keep_alive_s',
    )
    message = {name: getattr(server, name) for name in names}
    while not stopping.is_set():
        if options.announce:
            await asyncio.to_thread(_announce, options.announce, message)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopping.wait(), ANNOUNCE_INTERVAL_S)
    if options.announce:
        leaving = {'target_id': server.target_id, 'leaving': True}
        await asyncio.to_thread(_announce, options.announce, leaving)
    await server.drain()


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    for field in attrs.fields(TargetServer):
        if field.name in (
            'faults',
            'log',
            'counts',
            'draining',
            'running',
            'connections',
        ) or field.name.startswith('_'):
            continue
        parser.add_argument(
            '--' + field.name.replace('_', '-'),
            type=field.type,
            default=field.default,
        )
    parser.add_argument('--announce', default='')
    asyncio.run(main(parser.parse_args()))
