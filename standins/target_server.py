"""Stand-in for a target, with slots, cold start, drain, faults and a log.

Run as `python -m standins.target_server --port N --service booking ...`.

`POST /.control/faults` replaces all faults by those of a JSON list.
`GET /.control/log` returns the requests that the target ran, and
`GET /.control/stats` returns its counters. `GET /health` responds with 200 in
every state. The query of a request may set `?ms=` (service time), `?bytes=`
(length of the response body), `?status=`, `?forge=` (adds internal headers of
the daemons to the response), `?limit=` (names a limit in the response) and
`?body=chunked|close|length` (how the end of the body is marked).
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

from hemlockgrade import http_codec

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCED_FIELDS = {'target_id', 'service', 'version', 'slots', 'keep_alive_s'}
# Factor by which service times are longer during the cold start.
COLD_START_FACTOR = 10
# Deadline of a request without the header x-deadline-ms.
DEFAULT_TIMEOUT_MS = 60_000
# Time after the deregistration in which a target accepts requests, because
# daemons may not have processed the deregistration when they sent them.
DRAIN_GRACE_S = 0.3


@attrs.define
class Fault:
    """A fault that a target injects into matching requests.

    The kinds are:
        error: Responds with status 500.
        slow: Delays the response, at most until the deadline of the request;
            a later response is replaced by one with status 504.
        late: Delays the response, even beyond the deadline of the request.
        cut: Writes only the first bytes of the response.
        double: Writes the response a second time after a delay.
        close: Closes the connection after the request was read.
        reset: Resets the connection after the request was read.
    """

    kind: str  # error, slow, late, cut, double, close or reset
    version: str | None = None  # only on targets of this version; None for all
    route: str = ''  # only for paths with this prefix
    load: int = 0  # only while at least this many requests run
    after: int = 0  # only after this many requests were run
    ms: float = 0  # delay of slow, late and double, in milliseconds
    at: int = 0  # bytes of the response that are written before a cut
    limit: float = float('inf')  # number of requests left to be affected

    def applies(self, server: 'TargetServer', path: str) -> bool:
        """Returns whether the fault affects a request for a path now."""
        return (
            self.version in (None, server.version)
            and path.startswith(self.route)
            and server.running >= self.load
            and len(server.log) > self.after
            and self.limit > 0
        )


@attrs.define(eq=False)
class TargetServer:
    """A target on the running event loop.

    Attributes:
        service: Service that the target runs.
        version: Version of the service.
        target_id: Identifier of the target.
        slots: Maximum number of requests that run at once.
        port: Listening port; 0 for any free port.
        keep_alive_s: Time after which an idle connection is closed.
        service_ms: Default service time of a request.
        answer_bytes: Default length of a response body, which is longer if the
            fields of the response need more space.
        cold_start_s: Duration of the cold start.
        faults: Active faults; the first matching one applies.
        log: Requests that were run.
        counts: Counters by name.
        draining: True once new requests are refused.
        running: Number of requests that run now.
        connections: Open connections.
    """

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
        """Listening address in the form `host:port`."""
        return f'127.0.0.1:{self.port}'

    async def start(self):
        """Starts listening; sets the port if it was 0."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Closes the listener and aborts all connections."""
        self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def drain(self):
        """Shuts down gracefully.

        Accepts requests for `DRAIN_GRACE_S`, then refuses new ones, finishes
        the running ones, and closes the listener and all connections.
        """
        await asyncio.sleep(DRAIN_GRACE_S)
        self.draining = True
        while self.running:
            await asyncio.sleep(0.01)
        self._server.close()
        for connection in list(self.connections):
            connection.transport.close()

    def announcement(self) -> dict:
        """Returns the fields of the announcement to the daemon."""
        message = attrs.asdict(
            self, filter=lambda a, _: a.name in ANNOUNCED_FIELDS
        )
        return {**message, 'address': self.address}

    def record_maximum(self, name: str, value: int):
        """Raises a counter to a value if the value is higher."""
        self.counts[name] = max(self.counts[name], value)

    def matching_fault(self, path: str) -> Fault:
        """Returns the fault for a request; one with an empty kind if none."""
        for fault in self.faults:
            if fault.applies(self, path):
                fault.limit -= 1
                return fault
        return Fault('')

    def service_s(self, query: dict) -> float:
        """Returns the service time of a request in seconds."""
        is_cold = time.monotonic() - self._started_at < self.cold_start_s
        ms = float(query.get('ms', self.service_ms))
        return (ms * COLD_START_FACTOR if is_cold else ms) / 1000

    def handle_control(self, path: str, body: bytes) -> Any:
        """Handles a control request and returns the response body."""
        if path == '/.control/faults':
            self.faults = [Fault(**item) for item in json.loads(body)]
        if path == '/.control/log':
            return self.log
        return dict(self.counts, running=self.running)


class _Connection(asyncio.Protocol):
    def __init__(self, server: TargetServer):
        self.server = server
        self.parser = http_codec.RequestParser()
        self.queue: asyncio.Queue = asyncio.Queue()

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)
        self.server.record_maximum('connections', len(self.server.connections))
        self.task = asyncio.ensure_future(self.handle_requests())

    def connection_lost(self, exc):
        self.server.connections.discard(self)
        self.task.cancel()

    def data_received(self, data):
        for item in self.parser.feed(data):
            self.queue.put_nowait(item)

    async def handle_requests(self):
        while True:
            try:
                async with asyncio.timeout(self.server.keep_alive_s):
                    request = await self.queue.get()
            except TimeoutError:
                self.transport.close()
                return
            if not isinstance(request, http_codec.Request):
                self.transport.abort()
            elif request.path.startswith(('/.control/', '/health')):
                control_result = self.server.handle_control(
                    request.path, request.body
                )
                self.respond(
                    request, 200, json.dumps(control_result).encode(), {}
                )
            else:
                await self.admit_request(request)

    async def admit_request(self, request):
        server = self.server
        if server.draining or server.running >= server.slots:
            server.counts['shed'] += 1
            self.respond(request, 503, b'shed', {})
            return
        request_id = http_codec.header(request.headers, b'x-request-id')
        entry = {
            'id': request_id,
            'method': request.method,
            'path': request.path,
        }
        server.log.append(entry)
        server.running += 1
        server.record_maximum('most_running', server.running)
        try:
            await self.run_request(request, server.matching_fault(request.path))
        except asyncio.CancelledError:
            server.counts['cancelled'] += 1
            raise
        finally:
            server.running -= 1

    async def run_request(self, request, fault):
        if fault.kind in ('close', 'reset'):
            self.transport.close()
            if fault.kind == 'reset':
                self.transport.abort()
            return
        query = dict(urllib.parse.parse_qsl(request.target.partition('?')[2]))
        headers = request.headers
        timeout_ms = http_codec.header(headers, b'x-deadline-ms')
        timeout_s = float(timeout_ms or DEFAULT_TIMEOUT_MS) / 1000
        delay_s = self.server.service_s(query)
        delay_s += fault.ms / 1000 if fault.kind in ('slow', 'late') else 0
        ends_in_time = fault.kind == 'late' or delay_s <= timeout_s
        await asyncio.sleep(delay_s if ends_in_time else timeout_s)
        if not ends_in_time:
            self.respond(request, 504, b'deadline passed', {})
            return
        echo_header = http_codec.header(headers, b'x-echo')
        echo = {
            'target': self.server.target_id,
            'version': self.server.version,
            'path': request.path,
            'echo': echo_header or request.body[:100].decode('latin-1'),
        }
        body = json.dumps(echo).encode()
        body = body.ljust(int(query.get('bytes', self.server.answer_bytes)))
        status = int(query.get('status', 200))
        status = 500 if fault.kind == 'error' else status
        cut_at = fault.at if fault.kind == 'cut' else None
        self.respond(request, status, body, query, cut_at)
        if fault.kind == 'double':
            await asyncio.sleep(fault.ms / 1000)
            self.respond(request, status, body, query)

    def respond(self, request, status, body, query, cut_at=None):
        mode = query.get('body', 'length')
        head = [f'HTTP/1.1 {status} Status', 'content-type: application/json']
        request_id = http_codec.header(request.headers, b'x-request-id')
        head += [f'x-request-id: {request_id}'] if request_id else []
        if 'limit' in query:
            head.append(f'server-limit: {query["limit"]}')
        if 'forge' in query:
            head += ['x-hemlock-refused: full', 'x-hemlock-outcome: not-run']
        if mode == 'chunked':
            head.append('transfer-encoding: chunked')
            parts = (body[: len(body) // 2], body[len(body) // 2 :], b'')
            body = b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in parts)
        elif mode == 'length' and status != 204:
            head.append(f'content-length: {len(body)}')
        if request.method == 'HEAD' or status in (204, 304):
            body = b''
        data = '\r\n'.join([*head, '', '']).encode() + body
        self.transport.write(data[:cut_at])
        if mode == 'close' or cut_at is not None:
            self.transport.close()


def _announce(url: str, message: dict):
    body = json.dumps(message).encode()
    headers = {'content-type': 'application/json'}
    request = urllib.request.Request(url, body, headers)
    # The daemon may not be running yet; the next announcement follows.
    with contextlib.suppress(OSError):
        urllib.request.urlopen(request, timeout=1).close()


async def main(server: TargetServer, url: str):
    """Runs a target until SIGTERM, then shuts it down gracefully.

    Args:
        server: The target.
        url: URL for announcements; empty for none.
    """
    await server.start()
    print(json.dumps({'port': server.port, 'pid': os.getpid()}), flush=True)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    message = server.announcement()
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
