"""Starts a small cluster of separate processes on loopback, for tests."""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from typing import Any
from urllib import request

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = 'a-token-for-loopback-trials'
START_TIMEOUT_S = 30.0
FAILURE_DOMAINS = ('a', 'b', 'c')
# Range of ports, without its end. It is below the range from which Linux by
# default assigns ports to outgoing connections.
FIRST_PORT = 12_000
PORT_RANGE_END = 32_000

_random = random.SystemRandom()
_reservations: list[socket.socket] = []


@attrs.define
class Process:
    """A started process.

    Attributes:
        name: Name of the process, for example of its daemon.
        popen: Handle of the process.
        addresses: Addresses on which the process listens, by their purpose.
        failure_domain: Failure domain of a daemon; empty for other processes.
    """

    name: str
    popen: subprocess.Popen
    addresses: dict[str, str] = attrs.field(factory=dict)
    failure_domain: str = ''

    def signal(self, number: signal.Signals):
        """Sends a signal, unless the process has ended."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout_s: float = 20.0) -> int:
        """Shuts the process down gracefully and returns the exit code.

        Args:
            timeout_s: Longest wait for the end of the process, in seconds.
        """
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)


class Cluster:
    """Processes of one test, which are killed at the end of the test.

    Processes that were not started here are not signalled.

    Args:
        directory: Directory for settings and logs.
    """

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self.daemon_by_name: dict[str, Process] = {}
        self.target_by_id: dict[str, Process] = {}
        self.store_process: Process | None = None
        directory.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> 'Cluster':
        return self

    def __exit__(self, *_):
        for process in self._processes():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self._processes():
            process.popen.wait()

    def start_store(self) -> Process:
        """Starts the stand-in for the metadata store.

        Another call starts a new, empty store on the same addresses. Each
        failure domain uses a separate address of the store, so that a fault
        can be limited to one failure domain.
        """
        addresses = (
            self.store_process.addresses
            if self.store_process
            else {
                domain: free_address() for domain in ('http', *FAILURE_DOMAINS)
            }
        )
        ports = [_port(address) for address in addresses.values()]
        self.store_process = self._start(
            'store', ['-m', 'standins.metadata_store', *ports], addresses
        )
        wait_until(lambda: _listens(addresses['http']), 'the store listens')
        return self.store_process

    def store_address(self, failure_domain: str) -> str:
        """Returns the address of the store for a failure domain.

        Domains other than `FAILURE_DOMAINS` share the address `http`.
        """
        addresses = self.store_process.addresses
        return addresses.get(failure_domain, addresses['http'])

    def call_store(self, method: str, path: str, body: Any = None) -> Any:
        """Calls the store as an operator would.

        Args:
            method: HTTP method.
            path: Path below the path of the objects.
            body: Body of the request, which is sent as JSON.

        Returns:
            The decoded response; None if the store refused the call or did
            not respond.
        """
        url = f'http://{self.store_process.addresses["http"]}/-/objects/{path}'
        data = None if body is None else json.dumps(body).encode()
        http_request = request.Request(url, data=data, method=method)
        try:
            with request.urlopen(http_request, timeout=4) as response:
                return json.load(response)
        except OSError:
            # The store refused the call or did not respond.
            return None

    def set_store_faults(self, **faults: Any) -> None:
        """Replaces the faults of the store; see `standins.metadata_store`."""
        address = self.store_process.addresses['http']
        post_json(f'http://{address}/.control/faults', faults)

    def start_daemon(
        self, name: str, failure_domain: str, **settings: Any
    ) -> Process:
        """Starts a daemon; a restart keeps its addresses.

        Args:
            name: Identifier of the daemon.
            failure_domain: Failure domain of the daemon.
            settings: Settings that differ from the defaults of the tests.
        """
        previous_process = self.daemon_by_name.get(name)
        addresses = (
            previous_process.addresses
            if previous_process
            else {
                key: free_address()
                for key in (
                    'proxy_address',
                    'admission_address',
                    'administration_address',
                    'local_address',
                )
            }
        )
        path = self.directory / f'{name}.json'
        path.write_text(
            json.dumps(
                {
                    'daemon_id': name,
                    'failure_domain': failure_domain,
                    'administration_token': TOKEN,
                    'store_address': self.store_address(failure_domain),
                    **addresses,
                    **settings,
                }
            )
        )
        process = self._start(
            name, ['-m', 'hemlockgrade', 'run', str(path)], addresses
        )
        process.failure_domain = failure_domain
        self.daemon_by_name[name] = process
        return process

    def start_target(
        self, target_id: str, service: str, version: str, daemon: str, *options
    ) -> Process:
        """Starts a target on the host of a daemon.

        Args:
            target_id: Identifier of the target.
            service: Service of the target.
            version: Version of the target.
            daemon: Name of the daemon that receives the announcements.
            options: Further options of `standins.target_server`.
        """
        address = free_address()
        announce = self.daemon_by_name[daemon].addresses['local_address']
        process = self._start(
            target_id,
            ['-m', 'standins.target_server', '--port', _port(address)]
            + ['--target-id', target_id, '--service', service]
            + ['--version', version]
            + ['--announce', f'http://{announce}/v1/announcements']
            + list(options),
            {'http': address},
        )
        self.target_by_id[target_id] = process
        return process

    def wait_for_daemons(self):
        """Waits until every running daemon accepts connections."""
        for process in self.running_daemons():
            address = process.addresses['administration_address']
            wait_until(lambda a=address: _listens(a), f'{process.name} listens')

    def running_daemons(self) -> list[Process]:
        """Returns the daemons whose process has not ended."""
        return [
            p for p in self.daemon_by_name.values() if p.popen.poll() is None
        ]

    def ctl(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs hemlockctl with JSON output and returns the ended process."""
        path = self.directory / 'hemlockctl.json'
        path.write_text(
            json.dumps(
                {
                    'daemon_addresses': [
                        p.addresses['administration_address']
                        for p in self.running_daemons()
                    ],
                    'administration_token': TOKEN,
                }
            )
        )
        return subprocess.run(
            [sys.executable, '-m', 'hemlockgrade.ctl', '--json']
            + ['--settings', str(path), *arguments],
            cwd=ROOT,
            env=_child_environment(),
            capture_output=True,
            text=True,
            timeout=60,
        )

    def ctl_json(self, *arguments: str) -> Any:
        """Runs hemlockctl and returns its result.

        Raises:
            RuntimeError: The exit code is not 0.
        """
        result = self.ctl(*arguments)
        if result.returncode:
            raise RuntimeError(
                f'hemlockctl {arguments}: {result.stdout} {result.stderr}'
            )
        return json.loads(result.stdout.splitlines()[-1])

    def get_administration(self, daemon: str, path: str) -> Any:
        """Returns a resource of the administration API of a daemon."""
        address = self.daemon_by_name[daemon].addresses[
            'administration_address'
        ]
        return get_json(f'http://{address}{path}')

    def _start(self, name, arguments, addresses, **variables) -> Process:
        with (self.directory / f'{name}.log').open('ab') as log:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env={**_child_environment(), **variables},
                stdout=log,
                stderr=log,
            )
        return Process(name, popen, addresses)

    def _processes(self) -> list[Process]:
        processes: list[Process] = [
            *self.target_by_id.values(),
            *self.daemon_by_name.values(),
        ]
        if self.store_process is not None:
            processes.append(self.store_process)
        return processes


def free_address() -> str:
    """Returns a loopback address that stays reserved for this process.

    The port is below the range that the system assigns to outgoing
    connections, so that no connection of another test uses the port. A UDP
    socket bound to the same port number keeps other test processes from
    reserving the port.
    """
    while True:
        port = _random.randrange(FIRST_PORT, PORT_RANGE_END)
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind(('127.0.0.1', port))
            with socket.socket() as probe:
                probe.bind(('127.0.0.1', port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return f'127.0.0.1:{port}'


def get_json(url: str) -> Any:
    """Reads a JSON resource with the token of the tests."""
    http_request = request.Request(
        url, headers={'authorization': f'Bearer {TOKEN}'}
    )
    with request.urlopen(http_request, timeout=10) as response:
        return json.load(response)


def post_json(url: str, body: Any) -> Any:
    """Posts JSON and returns the JSON response; None if the body is empty."""
    http_request = request.Request(
        url, data=json.dumps(body).encode(), method='POST'
    )
    with request.urlopen(http_request, timeout=10) as response:
        content = response.read()
    return json.loads(content) if content else None


def wait_until(condition, what: str, timeout_s: float = START_TIMEOUT_S):
    """Waits for a condition.

    Args:
        condition: Function that returns whether the condition holds.
        what: Describes the condition in the error message.
        timeout_s: Longest wait in seconds.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f'condition did not hold within {timeout_s} s: {what}')


def _listens(address: str) -> bool:
    host, _, port = address.partition(':')
    try:
        with socket.create_connection((host, int(port)), timeout=1):
            return True
    except OSError:
        return False


def _port(address: str) -> str:
    return address.rpartition(':')[2]


def _child_environment() -> dict[str, str]:
    return {**os.environ, 'PYTHONPATH': str(ROOT), 'PYTHONUNBUFFERED': '1'}
