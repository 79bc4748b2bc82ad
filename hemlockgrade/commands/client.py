"""Client of the administration API.

The configuration version of labels and selectors is the table revision, the
highest revision of the mesh objects. It is not the version of the configuration
document that the operators write.
"""

import asyncio
from typing import Any
from urllib import parse

import attrs
import orjson
import treq
from twisted.internet import error as internet_error
from twisted.web import client as web_client

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade.config import client as client_settings

# Concurrent calls of one command that calls all daemons; bounds the sockets and
# the memory of the command.
MAX_CONCURRENT_CALLS = 50

_UNREACHABLE_ERRORS = (
    internet_error.ConnectError,
    internet_error.ConnectionLost,
    web_client.ResponseFailed,
    web_client.RequestNotSent,
    TimeoutError,
    OSError,
)
_ERROR_CLASS_BY_NAME = {
    error_class.__name__: error_class
    for error_class in (
        exceptions.ConflictError,
        exceptions.NotFoundError,
        exceptions.PlatformUnavailableError,
        exceptions.UnauthorizedError,
    )
}


@attrs.define
class AdministrationClient:
    """Calls the administration API of the daemons.

    Attributes:
        settings: Addresses of the daemons, token and timeout.
    """

    settings: client_settings.ClientSettings

    async def get(
        self, path: str, query: dict[str, str] | None = None
    ) -> dict[str, Any]:
        """Reads from the first daemon that responds.

        Args:
            path: Path of the resource.
            query: Query parameters.

        Raises:
            exceptions.DaemonUnavailableError: No daemon responded.
            exceptions.HemlockError: The daemon refused the call.
        """
        return await self._call_first_available(
            'GET', _with_query(path, query), None, {}
        )

    async def put(
        self,
        path: str,
        body: dict[str, Any],
        expected_version: int | None = None,
    ) -> dict[str, Any]:
        """Writes an object through the first daemon that responds.

        A write that a daemon may have received is not sent to another daemon.

        Args:
            path: Path of the object.
            body: Fields of the object.
            expected_version: Configuration version that the body is based on.
                The call fails if the object has changed since that version.

        Raises:
            exceptions.DaemonUnavailableError: No daemon responded.
            exceptions.HemlockError: The daemon refused the call or the change.
        """
        headers = (
            {}
            if expected_version is None
            else {'if-match': str(expected_version)}
        )
        return await self._call_first_available('PUT', path, body, headers)

    async def delete(self, path: str) -> dict[str, Any]:
        """Removes an object through the first daemon that responds.

        Args:
            path: Path of the object.

        Raises:
            exceptions.DaemonUnavailableError: No daemon responded.
            exceptions.HemlockError: The daemon refused the call or the change.
        """
        return await self._call_first_available('DELETE', path, None, {})

    async def get_from_all(
        self, path: str, query: dict[str, str] | None = None
    ) -> dict[str, dict[str, Any] | exceptions.HemlockError]:
        """Reads from every daemon with an administration address.

        The addresses are those of the settings, and those of all targets that
        the first daemon that responds lists.

        Args:
            path: Path of the resource.
            query: Query parameters.

        Returns:
            The response or the error of each daemon by its address.

        Raises:
            exceptions.DaemonUnavailableError: No daemon of the settings
                responded.
        """
        listing = await self.get('/v1/targets')
        addresses = {
            target['administration_address'] for target in listing['targets']
        }
        addresses.update(self.settings.daemon_addresses)
        addresses.discard('')
        target = _with_query(path, query)
        concurrency_limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def read(address: str):
            async with concurrency_limit:
                try:
                    return await self._call('GET', address, target, None, {})
                except exceptions.HemlockError as error:
                    return error

        ordered_addresses = sorted(addresses)
        responses = await asyncio.gather(*map(read, ordered_addresses))
        return dict(zip(ordered_addresses, responses, strict=True))

    async def _call_first_available(
        self, method, path, body, headers
    ) -> dict[str, Any]:
        for address in self.settings.daemon_addresses:
            try:
                return await self._call(method, address, path, body, headers)
            except exceptions.DaemonUnavailableError as error:
                last_error = error
                if method != 'GET' and not error.not_received:
                    raise
        raise last_error

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
        except _UNREACHABLE_ERRORS as error:
            raise exceptions.DaemonUnavailableError(
                f'daemon {address} does not answer',
                remedy='check that hemlockgraded runs there, or add another '
                'daemon to daemon_addresses',
                not_received=isinstance(error, internet_error.ConnectError),
            ) from error
        if not (response.code // 100 == 2 or 400 <= response.code <= 599):
            raise exceptions.DaemonUnavailableError(
                f'{address} answers with status {response.code}, which no '
                'daemon sends',
                remedy='check daemon_addresses',
            )
        result = orjson.loads(content)
        if response.code >= 400:
            raise _error_from(result)
        return result


def object_path(collection: str, name: str) -> str:
    """Returns the path of a label or selector, whatever its name.

    Args:
        collection: `labels` or `selectors`.
        name: Name of the object, which the daemon has not checked yet.
    """
    return f'/v1/{collection}/{http_codec.quote(name)}'


def _with_query(path: str, query: dict[str, str] | None) -> str:
    return f'{path}?{parse.urlencode(query)}' if query else path


def _error_from(result: dict[str, Any]) -> exceptions.HemlockError:
    problems = result['problems']
    name = result['error']
    if name in ('InvalidChangeError', 'InvalidFieldError'):
        return exceptions.InvalidChangeError(
            'refused, nothing was applied',
            [
                exceptions.InvalidFieldError(
                    item['field'] or '',
                    item['problem'],
                    remedy=item['remedy'],
                )
                for item in problems
            ],
        )
    error_class = _ERROR_CLASS_BY_NAME.get(name, exceptions.HemlockError)
    return error_class(problems[0]['problem'], remedy=result['remedy'])
