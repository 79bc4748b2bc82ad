"""Callers that send a stream of requests and check every answer."""

import collections
import http.client
import itertools
import json
import threading
import time

import attrs

TIMEOUT_S = 10.0


@attrs.frozen
class Result:
    """How one request ended.

    Attributes:
        path: Its unique path.
        method: Its method.
        service: First segment of the path.
        ended_at: Monotonic time in seconds.
        latency_s: Seconds from sending to the whole answer.
        outcome: answered, wrong, refused, unknown or failed.
        version: Version that answered, if one did.
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

    Args:
        addresses: Proxy addresses; each gets `per_address` threads.
        paths: Path prefixes that are called in turn.
        per_address: Threads for each address.
        interval_s: Seconds from one request of a thread to its next.
    """

    def __init__(
        self,
        addresses: list[str],
        paths: list[str],
        per_address: int = 2,
        interval_s: float = 0.05,
    ):
        self.results: list[Result] = []
        self._paths = paths
        self._interval_s = interval_s
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(address,), daemon=True)
            for address in addresses
            for _ in range(per_address)
        ]

    def start(self) -> None:
        """Starts sending."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Lets each thread end after its answer."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S * 2)

    def counts(self) -> collections.Counter:
        """Counts the results by outcome."""
        return collections.Counter(r.outcome for r in list(self.results))

    def _run(self, address: str) -> None:
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
        due = time.monotonic()
        while not self._stopping.is_set():
            number = next(self._numbers)
            method = 'POST' if number % 4 == 0 else 'GET'
            prefix = self._paths[number % len(self._paths)]
            self._call(connection, address, method, f'{prefix}/{number}')
            due = max(due + self._interval_s, time.monotonic())
            self._stopping.wait(due - time.monotonic())
        connection.close()

    def _call(self, connection, address: str, method: str, path: str) -> None:
        started = time.monotonic()
        outcome, version = 'unknown', ''
        try:
            if connection.sock is None:
                connection.connect()
        except OSError:
            outcome = 'refused'
        else:
            outcome, version = self._exchange(connection, method, path)
        ended = time.monotonic()
        self.results.append(
            Result(
                path=path,
                method=method,
                service=path.split('/')[1],
                ended_at=ended,
                latency_s=ended - started,
                outcome=outcome,
                version=version,
                proxy=address,
            )
        )
        if outcome == 'refused':
            self._stopping.wait(0.1)

    def _exchange(self, connection, method: str, path: str) -> tuple[str, str]:
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
        return _check(response.status, body, path), version


def _check(status: int, body: bytes, path: str) -> str:
    try:
        answer = json.loads(body)
    except ValueError:
        return 'wrong'
    if answer.get('path') != path or answer.get('echo') != path:
        return 'wrong'
    return 'answered' if status == 200 else 'failed'
