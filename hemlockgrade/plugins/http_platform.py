"""The platform's object API over HTTP, as its stand-in speaks it.

Versions travel as entity tags: `If-None-Match: *` creates, `If-Match`
updates and deletes. The platform's real protocol is not known yet; only this
module depends on it.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import Any
import urllib.parse

from loguru import logger
import orjson
import treq.client
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as internet_error
from twisted.web import client
from twisted.web import error as web_error
from twisted.web import iweb
import zope.interface

from hemlockgrade import exceptions
from hemlockgrade import platform_api

CONNECT_TIMEOUT_S = 1.0
# Long enough for a platform that is slow; callers in a hurry cancel earlier.
CALL_TIMEOUT_S = 3.0
# A watch whose answer is lost in a partition ends this long after its start,
# so that changes arrive within 6 s of the link's return. 33 root relays that
# renew their watches every 2 s cost 16.5 reads a second of 2,000.
WATCH_WAIT_S = 2.0
WATCH_TIMEOUT_S = 3.5
MAX_CONNECTIONS = 8

_CONNECT_ERRORS = (
    internet_error.ConnectError,
    internet_error.ConnectingCancelledError,
    client.RequestNotSent,
)
_EXCHANGE_ERRORS = (
    client.ResponseFailed,
    client.PartialDownloadError,
    client.RequestTransmissionFailed,
    internet_error.ConnectionLost,
    internet_error.ConnectionDone,
    defer.CancelledError,
    web_error.Error,
    TimeoutError,
    # An entity tag or a list that cannot be decoded.
    ValueError,
)


class HttpPlatform:
    """A client of the platform; implements `platform_api.Platform`.

    Args:
        base_url: Scheme, IP address and port, for example
            `http://127.0.0.1:7000`.
        budget: Call budget of the daemon, shared by all its callers.
        client_name: Name that the platform sees as the caller.
        call_timeout_s: Time after which a call counts as lost, in seconds.
    """

    def __init__(
        self,
        base_url: str,
        budget: platform_api.CallBudget | None = None,
        client_name: str = '',
        call_timeout_s: float = CALL_TIMEOUT_S,
    ):
        # The daemon installs the asyncio reactor before the first import.
        from twisted.internet import reactor

        self._base_url = base_url.rstrip('/')
        self._budget = budget or platform_api.CallBudget()
        self._call_timeout_s = call_timeout_s
        self._headers = {'x-hemlock-client': client_name}
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
        # A repeated delete could be answered as a conflict with itself.
        self._pool.retryAutomatically = False
        self._client = treq.client.HTTPClient(
            client.Agent.usingEndpointFactory(
                reactor, _EndpointFactory(reactor), self._pool
            )
        )

    async def get(self, key: str) -> platform_api.StoredObject | None:
        """Reads an object, or returns None if there is none.

        Raises:
            exceptions.PlatformUnavailableError: No usable answer came.
        """
        await self._budget.acquire_read()
        status, tag, body = await self._exchange('GET', _object_path(key))
        if status == 404:
            return None
        return platform_api.StoredObject(key=key, value=body, version=tag)

    async def list(self, prefix: str) -> list[platform_api.StoredObject]:
        """Reads all objects below a prefix, in the order of their keys.

        Raises:
            exceptions.PlatformUnavailableError: No usable answer came.
        """
        await self._budget.acquire_read()
        _, _, body = await self._exchange(
            'GET', '/v1/objects?' + urllib.parse.urlencode({'prefix': prefix})
        )
        return _decode(body)

    async def create(self, key: str, value: bytes) -> platform_api.StoredObject:
        """Writes an object only if there is none.

        Raises:
            exceptions.ConflictError: The key exists.
            exceptions.InvalidFieldError: The value is too large.
            exceptions.PlatformUnavailableError: No usable answer came.
        """
        return await self._put(key, value, {'if-none-match': '*'})

    async def update(
        self, key: str, value: bytes, version: int
    ) -> platform_api.StoredObject:
        """Replaces an object only if it still has the given version.

        Raises:
            exceptions.ConflictError: The object has another version.
            exceptions.InvalidFieldError: The value is too large.
            exceptions.PlatformUnavailableError: No usable answer came.
        """
        return await self._put(key, value, {'if-match': f'"{version}"'})

    async def delete(self, key: str, version: int) -> None:
        """Removes an object only if it still has the given version.

        Raises:
            exceptions.ConflictError: The object has another version.
            exceptions.PlatformUnavailableError: No usable answer came.
        """
        await self._budget.acquire_write()
        await self._exchange(
            'DELETE',
            _object_path(key),
            write=True,
            headers={'if-match': f'"{version}"'},
        )

    async def watch(
        self, prefix: str, after: str
    ) -> AsyncIterator[Sequence[platform_api.StoredObject]]:
        """Yields objects below a prefix whose key sorts after a key.

        Raises:
            exceptions.PlatformUnavailableError: No usable answer came.
        """
        # The first call does not wait: it shows at once that the platform
        # answers, and succeeds even if that takes nearly the time-out.
        wait_s = 0.0
        timeout_s = self._call_timeout_s
        while True:
            await self._budget.acquire_read()
            query = {'prefix': prefix, 'after': after, 'wait_s': wait_s}
            _, _, body = await self._exchange(
                'GET',
                '/v1/watch?' + urllib.parse.urlencode(query),
                timeout_s=timeout_s,
            )
            wait_s, timeout_s = WATCH_WAIT_S, WATCH_TIMEOUT_S
            if found := _decode(body):
                after = found[-1].key
                yield found

    async def close(self) -> None:
        """Closes all connections."""
        await _wait(self._pool.closeCachedConnections())

    async def _put(
        self, key: str, value: bytes, condition: dict[str, str]
    ) -> platform_api.StoredObject:
        await self._budget.acquire_write()
        _, tag, _ = await self._exchange(
            'PUT', _object_path(key), write=True, data=value, headers=condition
        )
        return platform_api.StoredObject(key=key, value=value, version=tag)

    async def _exchange(
        self,
        method: str,
        path: str,
        *,
        write: bool = False,
        data: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, int, bytes]:
        """Sends one request and returns status, object version and body."""
        sent = self._send(method, path, data, headers or {})
        try:
            async with asyncio.timeout(timeout_s or self._call_timeout_s):
                status, tag, body = await sent
        except _CONNECT_ERRORS as error:
            raise self._unavailable(method, path, error, True) from error
        except _EXCHANGE_ERRORS as error:
            raise self._unavailable(method, path, error, not write) from error
        if status in (200, 201) or (status == 404 and method == 'GET'):
            return status, tag, body
        raise self._refusal(method, path, status, body, write)

    async def _send(
        self,
        method: str,
        path: str,
        data: bytes | None,
        headers: dict[str, str],
    ) -> tuple[int, int, bytes]:
        response = await _wait(
            self._client.request(
                method,
                self._base_url + path,
                headers={**self._headers, **headers},
                data=data,
                unbuffered=True,
            )
        )
        tags = response.headers.getRawHeaders('etag', ['"0"'])
        # Cancelling `readBody` closes the connection, unlike `treq.content`.
        body = await _wait(client.readBody(response))
        return response.code, int(tags[0].strip('"')), body

    def _unavailable(
        self, method: str, path: str, error: Exception, outcome_known: bool
    ) -> exceptions.PlatformUnavailableError:
        logger.info(
            'event=platform_call_failed method={} path={} error={} '
            'outcome_known={}',
            method,
            path,
            type(error).__name__,
            outcome_known,
        )
        remedy = (
            'retry when the platform answers again'
            if outcome_known
            else 'read the object to learn whether the write took effect'
        )
        return exceptions.PlatformUnavailableError(
            f'{method} {path}: no answer from {self._base_url}',
            remedy=remedy,
            outcome_known=outcome_known,
        )

    def _refusal(
        self, method: str, path: str, status: int, body: bytes, write: bool
    ) -> exceptions.HemlockError:
        text = body.decode(errors='replace')
        if status == 412:
            return exceptions.ConflictError(
                text or f'{path} has another version',
                remedy='read the object again',
            )
        if status == 413:
            return exceptions.InvalidFieldError(
                'value',
                f'{path} is larger than the platform accepts',
                remedy='split the object',
            )
        # A gateway may answer 5xx after the write has reached the store.
        return exceptions.PlatformUnavailableError(
            f'{method} {path}: status {status}',
            remedy='send fewer calls a second'
            if status == 429
            else 'retry when the platform answers again',
            outcome_known=not write or status < 500,
        )


@zope.interface.implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    """Connects by IP address, without a name look-up in a thread."""

    def __init__(self, reactor):
        self._reactor = reactor

    def endpointForURI(self, uri):  # noqa: N802
        """Returns the endpoint of a URL."""
        host = uri.host.decode().strip('[]')
        kind = _Tcp6Endpoint if ':' in host else _Tcp4Endpoint
        return kind(self._reactor, host, uri.port, timeout=CONNECT_TIMEOUT_S)


class _Tcp4Endpoint(endpoints.TCP4ClientEndpoint):
    """An endpoint without Nagle's delay of a body behind its header."""

    def connect(self, factory):
        """Connects and switches Nagle's algorithm off."""
        return super().connect(factory).addCallback(_send_at_once)


class _Tcp6Endpoint(endpoints.TCP6ClientEndpoint):
    """An endpoint without Nagle's delay of a body behind its header."""

    def connect(self, factory):
        """Connects and switches Nagle's algorithm off."""
        return super().connect(factory).addCallback(_send_at_once)


def _send_at_once(protocol):
    protocol.transport.setTcpNoDelay(True)
    return protocol


async def _wait(deferred: defer.Deferred) -> Any:
    return await deferred.asFuture(asyncio.get_running_loop())


def _object_path(key: str) -> str:
    return '/v1/objects/' + urllib.parse.quote(key)


def _decode(body: bytes) -> list[platform_api.StoredObject]:
    try:
        return [
            platform_api.StoredObject(
                key=entry['key'],
                value=entry['value'].encode(),
                version=entry['version'],
            )
            for entry in orjson.loads(body)
        ]
    except (ValueError, KeyError, TypeError) as error:
        raise exceptions.PlatformUnavailableError(
            'the platform answered a list that cannot be decoded',
            remedy='check the address of the platform',
        ) from error
