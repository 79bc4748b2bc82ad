"""A stand-in of an application server beside a daemon.

Run as `python -m standins.mesh_server JSON` with `server_id`, `service`,
`version`, `zone`, `slots`, `address`, `control` and `work_ms`. It sends
heartbeats to `control`, signs its answers and counts its runs.
`POST /.control/set` takes a JSON table: `state`, `work_ms`, `fail`,
`heartbeat_s`, `extra` (a second answer to an earlier request) or `silent`.
`GET /.control/runs` gives the ids that it ran.
"""

import asyncio
import json
import sys
import time
import urllib.request

from hemlockgrade import http_codec
from standins import http_connection


class Server:
    """Its facts, its faults and what it ran."""

    def __init__(self, facts):
        self.facts = {
            'work_ms': 5,
            'fail': False,
            'state': 'ready',
            'heartbeat_s': 0.3,
            **facts,
        }
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.running = 0

    def beat(self):
        """Sends a heartbeat; returns the status of its answer."""
        self.sequence += 1
        facts = self.facts
        body = {
            'Service': facts['service'],
            'Address': facts['address'],
            'Zone': facts['zone'],
            'Version': facts['version'],
            'Slots': facts['slots'],
            'State': facts['state'],
            'WarmupLeftMs': 0,
            'Seq': self.sequence,
            'born': self.born,
        }
        url = f'http://{facts["control"]}/-/instances/{facts["server_id"]}'
        request = urllib.request.Request(
            url, json.dumps(body).encode(), method='PUT'
        )
        try:
            with urllib.request.urlopen(request, timeout=1) as answer:
                return answer.status
        except OSError:
            # The daemon may start later; the next heartbeat follows.
            return 0


class Connection(http_connection.HttpConnection):
    """Runs one request at a time."""

    def __init__(self, server):
        super().__init__()
        self.server = server
        self.earlier = b''

    async def handle(self, request):
        """Runs a request, or obeys the test."""
        if request.path.startswith('/.control/'):
            self.control(request)
            return
        if request.path == '/health':
            ready = self.server.facts['state'] == 'ready'
            named = [('x-instance-id', self.server.facts['server_id'])]
            self.send(200 if ready else 503, b'', named)
            return
        await self.work(request)

    def control(self, request):
        """Changes facts, or tells what ran."""
        server = self.server
        if request.path == '/.control/set':
            server.facts.update(json.loads(request.body))
        self.send(200, json.dumps(server.runs).encode())

    async def work(self, request):
        """Runs a request."""
        server, facts = self.server, self.server.facts
        request_id = http_codec.header(request.headers, b'x-request-id')
        expected = http_codec.header(request.headers, b'x-target-instance')
        if expected != facts['server_id']:
            self.send(421, b'', [('x-not-executed', '1')])
            return
        if server.running >= facts['slots']:
            self.send(503, b'', [('x-not-executed', '1')])
            return
        server.runs.append(request_id)
        server.running += 1
        try:
            await asyncio.sleep(facts['work_ms'] / 1000)
        finally:
            server.running -= 1
        if facts.get('silent'):
            return
        if facts.get('extra') and self.earlier:
            self.transport.write(self.earlier)
        caller = http_codec.header(request.headers, b'x-caller-service')
        body = f'{facts["server_id"]} ran {request_id} for {caller}'
        status = 500 if facts['fail'] else 200
        self.earlier = self.send(
            status,
            body.encode(),
            [
                ('x-request-id', request_id),
                ('x-server-stamp', f's.{request_id}'),
            ],
        )


async def main(facts):
    """Serves and sends heartbeats until it is killed."""
    server = Server(facts)
    host, _, port = facts['address'].partition(':')
    listening = await asyncio.get_running_loop().create_server(
        lambda: Connection(server), host, int(port)
    )
    print(json.dumps({'ready': True}), flush=True)
    async with listening:
        while True:
            await asyncio.to_thread(server.beat)
            await asyncio.sleep(server.facts['heartbeat_s'])


if __name__ == '__main__':
    asyncio.run(main(json.loads(sys.argv[1])))
