"""Stand-in for an application server on the host of a daemon.

Run as `python -m standins.mesh_server JSON`. The JSON object has the keys
`server_id`, `service`, `version`, `zone`, `slots`, `address`, `control` (the
address of the daemon that receives the heartbeats) and optionally `work_ms`
(the time that each request takes), `announced_address` (the address in the
heartbeats, if it is not `address`) and `log_runs` (prints the start and the end
of each run). The header `X-Work-Ms` of a request replaces `work_ms`. Responses
are signed. A request that would take longer than its `X-Deadline-Ms` gets 504
at that time.

`POST /.control/set` changes these keys, and the following ones, while the
server runs (null removes a key): `state`, `fail` (responds with status 500),
`healthy` (result of the health check), `heartbeat_s`, `extra` (writes the
response to an earlier request once more before each response),
`silent` (writes no response), `body_bytes` (smallest size of a body),
`refused_share` (fraction of the requests that are refused), `limit` and
`leaving` (named in the headers of each response) and `calls` (paths
of the requests that each run sends to the proxy of its host; a run whose
request fails responds with status 500). `GET /.control/runs` returns the
identifiers of the requests that the server ran, `/.control/calls` those of the
requests that it sent, `/.control/headers` the headers of each request that it
ran by its identifier, and `/.control/arrivals` identifier and monotonic time of
each request, refused ones included.

A request with `?endless=NAME` in its query gets the endless response of that
name in `standins.endless`, at the pace of `&pace=`. With `?then=NAME` it
follows the normal response. If the option `endless` is such a name, every
request gets this response. `GET /.control/endless` returns the endless
responses.
"""

import asyncio
import json
import math
import sys
import time
import urllib.parse
import urllib.request

import attrs

from hemlockgrade import http_codec
from standins import endless
from standins import http_connection
from standins import mesh_cluster


class Server:
    """State of the server.

    Attributes:
        options: Values of the start-up JSON and of `/.control/set`.
        born: Start of this incarnation, in milliseconds of Unix time.
        sequence: Number of the last heartbeat.
        runs: Identifiers of the requests that were run.
        calls: Identifiers of the requests that the runs have sent.
        arrivals: Identifier and monotonic time of each request.
        headers_by_id: Headers of the requests that were run.
        refusals_due: Sum of `refused_share` over the requests, less the number
            of refused requests.
        running: Number of requests that run now.
        endless_responses: Endless responses in the order of their start.
    """

    def __init__(self, options):
        self.options = {
            'work_ms': 5,
            'fail': False,
            'state': 'ready',
            'heartbeat_s': 0.3,
            'healthy': True,
            **options,
        }
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.calls = []
        self.arrivals = []
        self.headers_by_id = {}
        self.refusals_due = 0.0
        self.running = 0
        self.endless_responses = []

    def takes_refusal(self):
        """Returns whether the next request is one that is refused."""
        self.refusals_due += self.options.get('refused_share', 0.0)
        is_due = self.refusals_due >= 1.0
        self.refusals_due -= is_due
        return is_due

    async def call(self, request_id, path, left_ms):
        """Sends a request for a run and returns whether it succeeded.

        Args:
            request_id: Identifier of the request that the run belongs to.
            path: Path of the request to send.
            left_ms: Time left for the run, in milliseconds.
        """
        call_id = f'{request_id}.{self.options["server_id"]}-{len(self.calls)}'
        self.calls.append(call_id)
        status, _, _ = await asyncio.to_thread(
            mesh_cluster.send_request,
            self.options['proxy'],
            'GET',
            path,
            headers={
                'Host': mesh_cluster.HOST_NAME,
                'X-Request-Id': call_id,
                'X-Deadline-Ms': f'{left_ms:.0f}',
            },
        )
        return status == 200

    def send_heartbeat(self):
        """Sends a heartbeat.

        Returns:
            The status of the response; 0 without a response.
        """
        self.sequence += 1
        options = self.options
        body = {
            'Service': options['service'],
            'Address': options.get('announced_address', options['address']),
            'Zone': options['zone'],
            'Version': options['version'],
            'Slots': options['slots'],
            'State': options['state'],
            'WarmupLeftMs': 0,
            'Seq': self.sequence,
            'born': self.born,
        }
        url = f'http://{options["control"]}/-/instances/{options["server_id"]}'
        request = urllib.request.Request(
            url, json.dumps(body).encode(), method='PUT'
        )
        try:
            with urllib.request.urlopen(request, timeout=1) as response:
                return response.status
        except OSError:
            # The daemon may not be running yet; the next heartbeat follows.
            return 0


class Connection(http_connection.HttpConnection):
    """Handles the requests of one connection in sequence."""

    def __init__(self, server):
        super().__init__()
        self.server = server
        self.previous_response = b''
        self.drained = asyncio.Event()
        self.drained.set()

    def pause_writing(self):
        """Makes an endless response wait for the reader."""
        self.drained.clear()

    def resume_writing(self):
        """Continues an endless response."""
        self.drained.set()

    async def handle(self, request):
        """Handles a control request, a health check or a request to run."""
        if request.path.startswith('/.control/'):
            self.handle_control(request)
            return
        options = self.server.options
        if options.get('endless'):
            await self.send_endless(options['endless'], options['server_id'])
        if request.path == '/health':
            ready = options['state'] == 'ready' and options['healthy']
            headers = [('x-instance-id', self.server.options['server_id'])]
            self.send(200 if ready else 503, b'', headers)
            return
        await self.run_request(request)

    def send(self, status, body, headers=()):
        """Writes a response with the notices of the server."""
        headers = list(headers)
        if 'limit' in self.server.options:
            headers.append(('server-limit', self.server.options['limit']))
        if self.server.options.get('leaving'):
            headers.append(('server-leaving', '1'))
        return super().send(status, body, headers)

    def handle_control(self, request):
        """Changes options if asked to; returns the requests that were run."""
        server = self.server
        if request.path == '/.control/set':
            server.options.update(json.loads(request.body))
            for name, value in list(server.options.items()):
                if value is None:
                    del server.options[name]
        if request.path == '/.control/endless':
            responses = [attrs.asdict(r) for r in server.endless_responses]
            self.send(200, json.dumps(responses).encode())
            return
        recorded = {
            '/.control/calls': server.calls,
            '/.control/arrivals': server.arrivals,
            '/.control/headers': server.headers_by_id,
        }
        result = recorded.get(request.path, server.runs)
        self.send(200, json.dumps(result).encode())

    async def send_endless(self, name, request_id, pace='full'):
        """Sends an endless response until the connection is closed."""
        response = endless.EndlessResponse(
            name=name, request_id=request_id, pace=pace
        )
        self.server.endless_responses.append(response)
        await response.send(self.transport, self.drained)

    def log_run(self, request_id, result):
        """Prints the start or the result of a run, if the options say so."""
        if self.server.options.get('log_runs'):
            entry = {
                'run': request_id,
                'server': self.server.options['server_id'],
                'at': time.monotonic(),
                'result': result,
            }
            print(json.dumps(entry), flush=True)

    async def run_request(self, request):
        """Runs a request, or refuses a request it cannot run now."""
        server, options = self.server, self.server.options
        request_id = http_codec.header(request.headers, b'x-request-id')
        server.arrivals.append((request_id, time.monotonic()))
        expected_server_id = http_codec.header(
            request.headers, b'x-target-instance'
        )
        if expected_server_id != options['server_id']:
            self.send(421, b'', [('x-not-executed', '1')])
            return
        if server.running >= options['slots'] or server.takes_refusal():
            self.send(503, b'', [('x-not-executed', '1')])
            return
        query = dict(urllib.parse.parse_qsl(request.target.partition('?')[2]))
        work_ms = float(
            http_codec.header(request.headers, b'x-work-ms')
            or options['work_ms']
        )
        left_ms = float(
            http_codec.header(request.headers, b'x-deadline-ms') or math.inf
        )
        status = 500 if options['fail'] else 504 if left_ms < work_ms else 200
        server.runs.append(request_id)
        server.headers_by_id[request_id] = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in request.headers
        }
        server.running += 1
        self.log_run(request_id, 'started')
        result = 'dropped'
        try:
            if 'endless' in query:
                await self.send_endless(
                    query['endless'], request_id, query.get('pace', 'full')
                )
            await asyncio.sleep(min(work_ms, left_ms) / 1000)
            for path in options.get('calls', ()):
                if not await server.call(request_id, path, left_ms):
                    status = 500
            result = status
        finally:
            server.running -= 1
            self.log_run(request_id, result)
        if options.get('silent'):
            return
        if options.get('extra') and self.previous_response:
            self.transport.write(self.previous_response)
        caller_service = http_codec.header(request.headers, b'x-caller-service')
        body = f'{options["server_id"]} ran {request_id} for {caller_service}'
        body = body.ljust(options.get('body_bytes', 0))
        self.previous_response = self.send(
            status,
            body.encode(),
            [
                ('x-request-id', request_id),
                ('x-server-stamp', f's.{request_id}'),
            ],
        )
        if 'then' in query:
            await asyncio.sleep(endless.FOLLOW_DELAY_S)
            await self.send_endless(query['then'], request_id)


async def main(options):
    """Handles requests and sends heartbeats until the process is killed."""
    server = Server(options)
    host, _, port = options['address'].partition(':')
    listener = await asyncio.get_running_loop().create_server(
        lambda: Connection(server), host, int(port)
    )
    print(json.dumps({'ready': True}), flush=True)
    async with listener:
        while True:
            await asyncio.to_thread(server.send_heartbeat)
            await asyncio.sleep(server.options['heartbeat_s'])


if __name__ == '__main__':
    asyncio.run(main(json.loads(sys.argv[1])))
