"""Administration API of a daemon: JSON over HTTP with a bearer token."""

import asyncio
from collections.abc import Coroutine
import hmac
from typing import Any
from typing import Protocol

import klein
from loguru import logger
import orjson
from twisted.internet import defer
from twisted.web import http
from twisted.web import server

from hemlockgrade import definition_store
from hemlockgrade import exceptions
from hemlockgrade import overview
from hemlockgrade import serialization
from hemlockgrade import timeline

MAX_REQUEST_BODY_BYTES = 64 * 1024
_STATUS_BY_ERROR = {
    exceptions.InvalidChangeError: http.BAD_REQUEST,
    exceptions.InvalidFieldError: http.BAD_REQUEST,
    exceptions.UnauthorizedError: http.UNAUTHORIZED,
    exceptions.NotFoundError: http.NOT_FOUND,
    exceptions.ConflictError: http.CONFLICT,
    exceptions.PlatformUnavailableError: http.SERVICE_UNAVAILABLE,
}


class AdministeredDaemon(overview.ObservableDaemon, Protocol):
    """What the administration API needs of the daemon."""

    time_line: timeline.Timeline
    definitions: definition_store.DefinitionStore


def build_resource(daemon: AdministeredDaemon, token: str) -> Any:
    """Builds the web resource of the administration API."""
    return _Api(daemon, token).app.resource()


class _Api:
    app = klein.Klein()

    def __init__(self, daemon: AdministeredDaemon, token: str):
        self._daemon = daemon
        self._token = token.encode()

    @app.handle_errors(exceptions.HemlockError)
    def _expected_error(self, request, failure):
        error = failure.value
        status = next(
            (
                s
                for kind, s in _STATUS_BY_ERROR.items()
                if isinstance(error, kind)
            ),
            http.INTERNAL_SERVER_ERROR,
        )
        logger.info(
            'event=administration_refused path={} status={} problem={!r}',
            request.path.decode('latin-1'),
            status,
            str(error),
        )
        return _json(request, _describe(error), status)

    @app.route('/v1/health')
    def _health(self, request):
        return _json(request, {'ok': True})

    @app.route('/metrics')
    def _metrics(self, request):
        self._authorize(request)
        page, headers = overview.render_metrics(self._daemon)
        for name, value in headers.items():
            request.setHeader(name, value)
        return page

    @app.route('/v1/status')
    def _status(self, request):
        self._authorize(request)
        return _json(request, overview.status(self._daemon))

    @app.route('/v1/targets')
    def _targets(self, request):
        self._authorize(request)
        listed = overview.targets(self._daemon.directory)
        return _json(request, {'targets': listed})

    @app.route('/v1/explain')
    def _explain(self, request):
        self._authorize(request)
        path = _argument(request, 'path')
        if path is None:
            raise exceptions.InvalidFieldError(
                'path', 'is missing', remedy='add ?path=/...'
            )
        host = _argument(request, 'host') or ''
        found = overview.explain(self._daemon.directory, host, path)
        return _json(request, found)

    @app.route('/v1/events')
    def _events(self, request):
        self._authorize(request)
        events = self._daemon.time_line.events(_argument(request, 'about'))
        return _json(request, {'events': serialization.to_plain(events)})

    @app.route('/v1/rollouts')
    def _rollouts(self, request):
        self._authorize(request)
        listed = overview.rollouts(self._daemon.directory)
        return self._list(request, 'rollouts', listed)

    @app.route('/v1/labels', methods=['GET'])
    def _list_labels(self, request):
        self._authorize(request)
        by_name = self._daemon.directory.label_by_name
        listed = [serialization.to_plain(d.value) for d in by_name.values()]
        return self._list(request, 'labels', listed)

    @app.route('/v1/selectors', methods=['GET'])
    def _list_selectors(self, request):
        self._authorize(request)
        by_name = self._daemon.directory.selector_by_name
        listed = [serialization.to_plain(d.value) for d in by_name.values()]
        return self._list(request, 'selectors', listed)

    def _list(self, request, name: str, listed: list[Any]):
        version = self._daemon.directory.table_revision
        return _json(request, {'version': version, name: listed})

    @app.route('/v1/labels/<name>', methods=['PUT'])
    def _put_label(self, request, name):
        return self._put(request, 'label', name)

    @app.route('/v1/labels/<name>', methods=['DELETE'])
    def _delete_label(self, request, name):
        return self._remove(request, 'label', name)

    @app.route('/v1/selectors/<name>', methods=['PUT'])
    def _put_selector(self, request, name):
        return self._put(request, 'selector', name)

    @app.route('/v1/selectors/<name>', methods=['DELETE'])
    def _delete_selector(self, request, name):
        return self._remove(request, 'selector', name)

    def _put(self, request, kind: str, name: str):
        self._authorize(request)
        author = request.getHeader('x-operator') or 'operator'
        change = self._daemon.definitions.put(
            kind, name, _body(request), author, _precondition(request)
        )
        return defer.ensureDeferred(self._accept(request, change))

    def _remove(self, request, kind: str, name: str):
        self._authorize(request)
        change = self._daemon.definitions.remove(
            kind, name, _precondition(request)
        )
        return defer.ensureDeferred(self._accept(request, change))

    async def _accept(self, request, change: Coroutine[Any, Any, int]):
        # Klein awaits Deferreds and the store's client runs on asyncio.
        changing = asyncio.ensure_future(change)
        revision = await defer.Deferred.fromFuture(changing)
        return _json(request, {'accepted': revision})

    def _authorize(self, request):
        given = request.getHeader(b'authorization') or b''
        if isinstance(given, str):
            given = given.encode('latin-1')
        if not hmac.compare_digest(given, b'Bearer ' + self._token):
            raise exceptions.UnauthorizedError(
                'the token is missing or wrong',
                remedy='send Authorization: Bearer with the token of the '
                'settings',
            )


def _precondition(request) -> int | None:
    """Returns the version on which a change was prepared, if it says so."""
    expected = request.getHeader('if-match')
    if expected is None:
        return None
    if not expected.isdigit():
        raise exceptions.InvalidFieldError(
            'if-match', f'{expected!r} is no version', remedy='send a number'
        )
    return int(expected)


def _body(request) -> dict[str, Any]:
    data = request.content.read(MAX_REQUEST_BODY_BYTES + 1)
    if len(data) > MAX_REQUEST_BODY_BYTES:
        raise exceptions.InvalidFieldError(
            'body',
            f'larger than {MAX_REQUEST_BODY_BYTES} bytes',
            remedy='use patterns for members or split the object',
        )
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise exceptions.InvalidFieldError(
            'body', f'is not JSON: {error}', remedy='send a JSON object'
        ) from error
    if not isinstance(body, dict):
        raise exceptions.InvalidFieldError(
            'body', 'is not a JSON object', remedy='send a JSON object'
        )
    return body


def _argument(request, name: str) -> str | None:
    values = request.args.get(name.encode())
    return values[0].decode('utf-8', 'replace') if values else None


def _describe(error: exceptions.HemlockError) -> dict[str, Any]:
    return {
        'error': type(error).__name__,
        'problems': [
            {
                'field': getattr(part, 'field', None),
                'problem': getattr(part, 'problem', part.args[0]),
                'remedy': part.remedy,
            }
            for part in error.single_errors()
        ],
        'remedy': error.remedy,
    }


def _json(request, value: Any, status: int = http.OK) -> bytes:
    request.setResponseCode(status)
    request.setHeader('content-type', 'application/json')
    return orjson.dumps(value)


class SizeLimitedSite(server.Site):
    """A site that refuses bodies above the bound before reading them."""

    noisy = False

    def __init__(self, resource):
        super().__init__(resource, requestFactory=_SizeLimitedRequest)


class _SizeLimitedRequest(server.Request):
    def gotLength(self, length):  # noqa: N802
        if length is not None and length > MAX_REQUEST_BODY_BYTES:
            self.channel.forceAbortClient()
            return
        super().gotLength(length)
