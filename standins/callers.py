"""Callers that send requests at a steady rate and check every response."""

import collections
import http.client
import itertools
import json
import threading
import time

import attrs

# Timeout of each operation on a connection.
TIMEOUT_S = 10.0


@attrs.frozen
class Result:
    """Result of one request.

    Attributes:
        path: Path of the request; unique among all requests.
        method: HTTP method.
        service: First segment of the path.
        ended_at: End of the request, in monotonic seconds.
        latency_s: Seconds from sending until the whole response was read.
        outcome: `answered` (status 200), `failed` (another status), `wrong`
            (the response belongs to another request or is malformed),
            `refused` (certainly not run) or `unknown`.
        version: Version of the server that responded; empty if unknown.
        proxy: Address of the proxy that was called.
    """

    path: str
    method: str
    service: str
    ended_at: float
    latency_s: float
    outcome: str
    version: str = ''
    proxy: str = ''


class Callers:
    """Threads that each call one proxy over one connection at a time.

    Every fourth request is a POST, all others are GET.

    Args:
        addresses: Proxy addresses.
        paths: Path prefixes that are called in rotation.
        per_address: Number of threads for each address.
        interval_s: Seconds between the starts of two requests of a thread.
    """

    def __init__(
        self,
        addresses: list[str],
        paths: list[str],
        per_address: int = 2,
        interval_s: float = 0.05,
    ):
        self.results: list[Result] = []
        self._path_prefixes = paths
        self._interval_s = interval_s
        self._request_numbers = itertools.count()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(address,), daemon=True)
            for address in addresses
            for _ in range(per_address)
        ]

    def start(self) -> None:
        """Starts all threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the threads and waits until their last requests end."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S * 2)

    def count_by_outcome(self) -> collections.Counter:
        """Returns the number of results of each outcome."""
        return collections.Counter(r.outcome for r in list(self.results))

    def _run(self, address: str) -> None:
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
        due_at = time.monotonic()
        while not self._stopping.is_set():
            number = next(self._request_numbers)
            method = 'POST' if number % 4 == 0 else 'GET'
            prefix = self._path_prefixes[number % len(self._path_prefixes)]
            self._call(connection, address, method, f'{prefix}/{number}')
            due_at = max(due_at + self._interval_s, time.monotonic())
            self._stopping.wait(due_at - time.monotonic())
        connection.close()

    def _call(self, connection, address: str, method: str, path: str) -> None:
        started_at = time.monotonic()
        outcome, version = 'unknown', ''
        try:
            if connection.sock is None:
                connection.connect()
        except OSError:
            outcome = 'refused'
        else:
            outcome, version = self._send(connection, method, path)
        ended_at = time.monotonic()
        self.results.append(
            Result(
                path=path,
                method=method,
                service=path.split('/')[1],
                ended_at=ended_at,
                latency_s=ended_at - started_at,
                outcome=outcome,
                version=version,
                proxy=address,
            )
        )
        if outcome == 'refused':
            self._stopping.wait(0.1)

    def _send(self, connection, method: str, path: str) -> tuple[str, str]:
        try:
            connection.request(method, path, headers={'x-echo': path})
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return 'unknown', ''
        version = response.headers.get('x-hemlock-version', '')
        outcome = response.headers.get('x-hemlock-outcome')
        if outcome == 'not-run':
            return 'refused', version
        if outcome == 'unknown':
            return 'unknown', version
        return _check_response(response.status, body, path), version


def _check_response(status: int, body: bytes, path: str) -> str:
    try:
        echo = json.loads(body)
    except ValueError:
        return 'wrong'
    if echo.get('path') != path or echo.get('echo') != path:
        return 'wrong'
    return 'answered' if status == 200 else 'failed'
