"""Starts a small mesh of store, daemons and servers on loopback, for tests."""

from collections.abc import Callable
import http.client
import itertools
import json
import pathlib
import tempfile
import time

from standins import cluster

HOST_NAME = 'shop.example'
_request_numbers = itertools.count(1)


def build_route(
    name,
    prefix,
    kind='idempotent',
    service='booking',
    timeout_ms=1000,
    **fields,
):
    """Builds a route of a configuration.

    Args:
        name: Name of the route.
        prefix: Path prefix that the route matches.
        kind: `idempotent` or `non_idempotent`.
        service: Service that receives the requests.
        timeout_ms: Timeout of a request; half of it is the target latency.
        fields: Further fields of the route.
    """
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
            **fields,
        },
    }


def build_organisation(name, *keys, **fields):
    """Builds an organisation of a configuration.

    Args:
        name: Name of the organisation.
        keys: Its keys.
        fields: Further fields of the organisation.
    """
    return {
        'EntryType': 'Tenants',
        'Metadata': {'Name': name},
        'Spec': {'ApiKeys': list(keys), **fields},
    }


class MeshCluster(cluster.Cluster):
    """Processes of one test: the store, daemons and servers."""

    def __init__(self, directory: pathlib.Path):
        super().__init__(directory)
        self.server_by_name: dict[str, cluster.Process] = {}

    def configure(self, version: int, *resources) -> None:
        """Writes the mesh configuration to the store, as an operator would.

        Args:
            version: Version of the configuration.
            resources: Routes built by `build_route`, and organisations built by
                `build_organisation`.
        """
        spec = {
            'Version': f'{version:08x}',
            'Resources': [
                *resources,
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

    def start_host(
        self,
        name: str,
        zone: str,
        version: str = 'v1',
        service: str = 'booking',
        **changes,
    ) -> None:
        """Starts the daemon and the server of a host.

        Args:
            name: Name of the daemon.
            zone: Failure domain of the daemon.
            version: Version of the service.
            service: Service that the server runs.
            changes: Settings of the daemon that differ from the defaults of the
                tests.
        """
        self.start_mesh_daemon(name, zone, service=service, **changes)
        self.start_server(name, zone, version, service=service)

    def start_mesh_daemon(self, name: str, zone: str, **changes) -> None:
        """Starts the daemon of a host; a restart keeps its addresses.

        Args:
            name: Name of the daemon.
            zone: Failure domain of the daemon.
            changes: Settings that differ from the defaults of the tests.
        """
        previous_process = self.daemon_by_name.get(name)
        addresses = (
            previous_process.addresses
            if previous_process
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
        self.write_settings(name, zone, addresses, **changes)
        self.daemon_by_name[name] = self._start(
            name,
            ['-m', 'hemlockgrade'],
            addresses,
            HEMLOCKGRADE_NODE_FILE=str(self.directory / f'{name}.json'),
        )

    def write_settings(self, name: str, zone: str, addresses, **changes):
        """Writes the settings of a daemon as the platform would.

        Args:
            name: Name of the daemon.
            zone: Failure domain of the daemon.
            addresses: Addresses of the daemon by their purpose.
            changes: Settings that differ from the defaults of the tests.
        """
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

    def start_server(
        self, name: str, zone: str, version: str = 'v1', **changes
    ) -> None:
        """Starts a new incarnation of the server on the host of a daemon.

        Args:
            name: Name of the daemon.
            zone: Failure domain of the daemon.
            version: Version of the service.
            changes: Options that differ from the defaults of the tests.
        """
        addresses = self.daemon_by_name[name].addresses
        options = {
            'server_id': f'i-{name}',
            'service': 'booking',
            'version': version,
            'zone': zone,
            'slots': 4,
            'address': addresses['server'],
            'control': addresses['control'],
            'proxy': addresses['caller'],
            **changes,
        }
        self.server_by_name[name] = self._start(
            f'server-{name}',
            ['-m', 'standins.mesh_server', json.dumps(options)],
            {},
        )

    def set_server(self, name: str, **options) -> None:
        """Changes options of a server; see `standins.mesh_server`."""
        address = self.daemon_by_name[name].addresses['server']
        send_request(
            address, 'POST', '/.control/set', json.dumps(options).encode()
        )

    def executed_request_ids(self, name: str) -> list[str]:
        """Returns the identifiers of the requests that a server ran."""
        return self._control(name, 'runs')

    def arrivals(self, name: str) -> list[list]:
        """Returns identifier and monotonic time of each request at a server.

        Refused requests are included.
        """
        return self._control(name, 'arrivals')

    def headers_by_id(self, name: str) -> dict[str, dict[str, str]]:
        """Returns the headers of the requests that a server ran."""
        return self._control(name, 'headers')

    def calls(self, name: str) -> list[str]:
        """Returns the identifiers of the requests that a server has sent."""
        return self._control(name, 'calls')

    def _control(self, name: str, what: str):
        address = self.daemon_by_name[name].addresses['server']
        return json.loads(send_request(address, 'GET', f'/.control/{what}')[1])

    def is_ready(self, name: str) -> bool:
        """Returns whether the readiness check of a daemon succeeds."""
        address = self.daemon_by_name[name].addresses['ready']
        return send_request(address, 'GET', '/-/readiness')[0] == 200

    def call(self, name: str, path: str, method: str = 'GET', **headers):
        """Sends a request to the proxy of a daemon.

        Returns:
            Status, body and headers of the response, and the request
            identifier.
        """
        request_id = f'{next(_request_numbers):016x}'
        status, body, response_headers = send_request(
            self.daemon_by_name[name].addresses['caller'],
            method,
            path,
            headers={
                'Host': HOST_NAME,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': '2000',
                **headers,
            },
        )
        return status, body, response_headers, request_id

    def is_serving(self, name: str, path: str = '/shop/x') -> bool:
        """Returns whether a request to the proxy of a daemon succeeds."""
        return self.call(name, path)[0] == 200

    def read_log(self, name: str) -> str:
        """Returns the log of a daemon."""
        return (self.directory / f'{name}.log').read_text()

    def _processes(self):
        return [*self.server_by_name.values(), *super()._processes()]


def create_temporary(add_cleanup: Callable[..., None]) -> MeshCluster:
    """Creates a mesh without processes, in a temporary directory.

    Args:
        add_cleanup: Registers a function, with its arguments, that is called
            after the test.
    """
    directory = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
    add_cleanup(directory.cleanup)
    mesh = MeshCluster(pathlib.Path(directory.name))
    add_cleanup(mesh.__exit__, None, None, None)
    return mesh


def send_request(address, method, path, body=b'', headers=None, timeout_s=4.0):
    """Sends a request.

    Returns:
        Status, body and headers of the response; the status is 0 without a
        response.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        data = response.read()
        return response.status, data, dict(response.headers)
    except (OSError, http.client.HTTPException):
        # Status 0 stands for a request without a response.
        return 0, b'', {}
    finally:
        connection.close()


def measure_wait_s(condition, what: str) -> float:
    """Waits for a condition and returns the time waited in seconds.

    Args:
        condition: Function that returns whether the condition holds.
        what: Describes the condition in the error message.
    """
    started = time.monotonic()
    cluster.wait_until(condition, what)
    return time.monotonic() - started
