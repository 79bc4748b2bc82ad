"""Client of the administration API."""

import asyncio
from typing import Any
from urllib import parse

import attrs
import orjson
import treq
from twisted.internet import error as internet_error
from twisted.web import client as web_client

from hemlockgrade import exceptions
from hemlockgrade.config import client as client_settings

# Fan-out of one command over the daemons; bounds sockets and memory.
MAX_CONCURRENT_CALLS = 50

_UNREACHABLE = (
    internet_error.ConnectError,
    internet_error.ConnectionLost,
    web_client.ResponseFailed,
    web_client.RequestNotSent,
    TimeoutError,
    OSError,
)
_ERRORS_BY_NAME = {
    kind.__name__: kind
    for kind in (
        exceptions.ConflictError,
        exceptions.NotFoundError,
        exceptions.PlatformUnavailableError,
        exceptions.UnauthorizedError,
    )
}


@attrs.define
class AdministrationClient:
    """Calls the administration API of the daemons in the settings.

    Attributes:
        settings: Addresses and token.
    """

    settings: client_settings.ClientSettings

    async def get(
        self, path: str, query: dict[str, str] | None = None
    ) -> dict[str, Any]:
        """Reads from the first daemon that answers.

        Raises:
            exceptions.DaemonUnavailableError: No daemon answered.
            exceptions.HemlockError: The daemon refused the call.
        """
        if query:
            path = f'{path}?{parse.urlencode(query)}'
        return await self._first('GET', path, None, {})

    async def put(
        self,
        path: str,
        body: dict[str, Any],
        expected_version: int | None = None,
    ) -> dict[str, Any]:
        """Writes an object through the first daemon that answers.

        Args:
            path: Path of the object.
            body: Its fields.
            expected_version: Configuration version that the body is based on;
                a later change of the object makes the call fail.

        Raises:
            exceptions.HemlockError: As for `get`, or the change was refused.
        """
        headers = (
            {}
            if expected_version is None
            else {'if-match': str(expected_version)}
        )
        return await self._first('PUT', path, body, headers)

    async def delete(self, path: str) -> dict[str, Any]:
        """Removes an object through the first daemon that answers.

        Raises:
            exceptions.HemlockError: As for `get`, or the change was refused.
        """
        return await self._first('DELETE', path, None, {})

    async def get_from_all(
        self, path: str
    ) -> dict[str, dict[str, Any] | exceptions.HemlockError]:
        """Reads from every daemon that one of them knows, by address.

        Raises:
            exceptions.DaemonUnavailableError: No daemon answered at all.
        """
        known = await self.get('/v1/targets')
        addresses = {
            target['administration_address'] for target in known['targets']
        }
        addresses.update(self.settings.daemon_addresses)
        addresses.discard('')
        limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def read(address: str):
            async with limit:
                try:
                    return await self._call('GET', address, path, None, {})
                except exceptions.HemlockError as error:
                    return error

        ordered = sorted(addresses)
        answers = await asyncio.gather(*map(read, ordered))
        return dict(zip(ordered, answers, strict=True))

    async def _first(self, method, path, body, headers) -> dict[str, Any]:
        for address in self.settings.daemon_addresses:
            try:
                return await self._call(method, address, path, body, headers)
            except exceptions.DaemonUnavailableError as error:
                last = error
                if method != 'GET' and not error.not_received:
                    raise
        raise last

    async def _call(self, method, address, path, body, headers):
        headers = {
            'authorization': f'Bearer {self.settings.administration_token}',
            'content-type': 'application/json',
            **headers,
        }
        data = None if body is None else orjson.dumps(body)
        loop = asyncio.get_running_loop()
        try:
            response = await treq.request(
                method,
                f'http://{address}{path}',
                headers=headers,
                data=data,
                timeout=self.settings.timeout_s,
                persistent=False,
            ).asFuture(loop)
            content = await treq.content(response).asFuture(loop)
        except _UNREACHABLE as error:
            raise exceptions.DaemonUnavailableError(
                f'daemon {address} does not answer',
                remedy='check that hemlockgraded runs there, or name another '
                'daemon in daemon_addresses',
                not_received=isinstance(error, internet_error.ConnectError),
            ) from error
        answer = orjson.loads(content)
        if response.code >= 400:
            raise _error_from(answer)
        return answer


def _error_from(answer: dict[str, Any]) -> exceptions.HemlockError:
    problems = answer['problems']
    name = answer['error']
    if name in ('InvalidChangeError', 'InvalidFieldError'):
        return exceptions.InvalidChangeError(
            'refused, nothing was applied',
            [
                exceptions.InvalidFieldError(
                    p['field'] or '',
                    p['problem'],
                    remedy=p['remedy'],
                )
                for p in problems
            ],
        )
    kind = _ERRORS_BY_NAME.get(name, exceptions.HemlockError)
    return kind(problems[0]['problem'], remedy=answer['remedy'])
