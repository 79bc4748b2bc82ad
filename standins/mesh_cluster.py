"""Starts a small mesh of separate processes on loopback, for trials."""

import http.client
import itertools
import json
import pathlib
import time

from standins import cluster

HOST_NAME = 'shop.example'
_ids = itertools.count(1)


def build_route(
    name, prefix, kind='idempotent', service='booking', timeout_ms=1000
):
    """Returns a route of a configuration."""
    return {
        'EntryType': 'Routes',
        'Metadata': {'Name': name},
        'Spec': {
            'Hostname': HOST_NAME,
            'PathPrefix': prefix,
            'RouteType': kind,
            'TimeoutMs': timeout_ms,
            'TargetLatencyMs': timeout_ms // 2,
            'Priority': 1,
            'Service': service,
            'Attempts': 2,
        },
    }


class MeshCluster(cluster.Cluster):
    """The store, daemons and servers of one trial."""

    def __init__(self, directory: pathlib.Path):
        super().__init__(directory)
        self.servers_by_name: dict[str, cluster.Process] = {}

    def configure(self, version: int, *routes) -> None:
        """Writes a configuration as the operator."""
        spec = {
            'Version': f'{version:08x}',
            'Resources': [
                *routes,
                {
                    'EntryType': 'Services',
                    'Metadata': {'Name': 'booking'},
                    'Spec': {
                        'MaxConnections': 110,
                        'HealthCheckPath': '/health',
                    },
                },
            ],
        }
        current = self.call_store('GET', 'config/main')
        body = {'Metadata': {'Name': 'main'}, 'Spec': spec}
        if current is None:
            assert self.call_store('POST', 'config', body)
        else:
            assert self.call_store('PUT', 'config/main', body)

    def start_host(self, name: str, zone: str, version: str = 'v1') -> None:
        """Starts a daemon and the server beside it."""
        self.start_mesh_daemon(name, zone)
        self.start_server(name, zone, version)

    def start_mesh_daemon(self, name: str, zone: str) -> None:
        """Starts a daemon; restarts one of the same name."""
        before = self.daemons_by_name.get(name)
        addresses = (
            before.addresses
            if before
            else {
                key: cluster.free_address()
                for key in (
                    'peer',
                    'caller',
                    'ready',
                    'control',
                    'server',
                    'metrics',
                )
            }
        )
        self.write_settings(name, zone, addresses)
        self.daemons_by_name[name] = self._start(
            name,
            ['-m', 'hemlockgrade'],
            addresses,
            HEMLOCKGRADE_NODE_FILE=str(self.directory / f'{name}.json'),
        )

    def write_settings(self, name: str, zone: str, addresses, **changes):
        """Writes a daemon's settings as the platform fills them in."""
        settings = {
            'daemon_id': name,
            'failure_domain': zone,
            'proxy_address': addresses['caller'],
            'admission_address': addresses['peer'],
            'local_address': addresses['control'],
            'store_address': self.store_address(zone),
            'service': 'booking',
            'server_address': addresses['server'],
            'readiness_address': addresses['ready'],
            'metrics_address': addresses['metrics'],
            'signed_answers': True,
            'retry_ratio': 0.2,
            'retry_slack': 56,
            'exposed_share': 0.1,
            'drain_timeout_s': 6,
            **changes,
        }
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings))

    def start_server(self, name: str, zone: str, version: str = 'v1') -> None:
        """Starts a server beside a daemon, as a new incarnation."""
        addresses = self.daemons_by_name[name].addresses
        facts = {
            'server_id': f'i-{name}',
            'service': 'booking',
            'version': version,
            'zone': zone,
            'slots': 4,
            'address': addresses['server'],
            'control': addresses['control'],
        }
        self.servers_by_name[name] = self._start(
            f'server-{name}',
            ['-m', 'standins.mesh_server', json.dumps(facts)],
            {},
        )

    def set_server(self, name: str, **facts) -> None:
        """Changes facts or faults of a server."""
        address = self.daemons_by_name[name].addresses['server']
        send_request(
            address, 'POST', '/.control/set', json.dumps(facts).encode()
        )

    def executed_request_ids(self, name: str) -> list[str]:
        """Returns the ids of the requests that a server ran."""
        address = self.daemons_by_name[name].addresses['server']
        return json.loads(send_request(address, 'GET', '/.control/runs')[1])

    def is_ready(self, name: str) -> bool:
        """Tells whether a daemon says that callers may come."""
        address = self.daemons_by_name[name].addresses['ready']
        return send_request(address, 'GET', '/-/readiness')[0] == 200

    def call(self, name: str, path: str, method: str = 'GET', **headers):
        """Sends a request; returns status, body, headers and its id."""
        request_id = f'{next(_ids):016x}'
        status, body, answered = send_request(
            self.daemons_by_name[name].addresses['caller'],
            method,
            path,
            headers={
                'Host': HOST_NAME,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': '2000',
                **headers,
            },
        )
        return status, body, answered, request_id

    def is_serving(self, name: str, path: str = '/shop/x') -> bool:
        """Tells whether a request at a daemon succeeds."""
        return self.call(name, path)[0] == 200

    def read_log(self, name: str) -> str:
        """Returns what a daemon has logged."""
        return (self.directory / f'{name}.log').read_text()

    def _all(self):
        return [*self.servers_by_name.values(), *super()._all()]


def send_request(address, method, path, body=b'', headers=None, timeout_s=4.0):
    """Makes a call; the status is 0 if no answer came."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        data = response.read()
        return response.status, data, dict(response.headers)
    except (OSError, http.client.HTTPException):
        # The caller counts a call without an answer as status 0.
        return 0, b'', {}
    finally:
        connection.close()


def measure_wait_s(condition, what: str) -> float:
    """Returns how long it took until a condition held."""
    started = time.monotonic()
    cluster.wait_until(condition, what)
    return time.monotonic() - started
