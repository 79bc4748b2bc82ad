"""Administration API of a daemon: JSON over HTTP with a bearer token.

For labels and selectors, a configuration version in a field, a header or a
message is the table revision, the highest revision of the mesh objects. It is
not the version of the configuration document that the operators write.
"""

import asyncio
from collections.abc import Coroutine
import hmac
import re
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
# Start of a request line: a method, a space and what follows. The method is a
# token (RFC 9110, section 5.6.2).
_START_OF_REQUEST_LINE = re.compile(
    rb"[-!#$%&'*+.^_`|~0-9A-Za-z]*(?: [^\x00-\x1f\x7f]*)?\r?"
)
_STATUS_BY_ERROR_CLASS = {
    exceptions.InvalidChangeError: http.BAD_REQUEST,
    exceptions.InvalidFieldError: http.BAD_REQUEST,
    exceptions.UnauthorizedError: http.UNAUTHORIZED,
    exceptions.NotFoundError: http.NOT_FOUND,
    exceptions.ConflictError: http.CONFLICT,
    exceptions.PlatformUnavailableError: http.SERVICE_UNAVAILABLE,
}


class AdministeredDaemon(overview.ObservableDaemon, Protocol):
    """Attributes of a daemon that the administration API uses.

    Attributes:
        time_line: Events of this process.
        definitions: Writes labels and selectors to the store.
    """

    time_line: timeline.Timeline
    definitions: definition_store.DefinitionStore


def build_resource(daemon: AdministeredDaemon, token: str) -> Any:
    """Builds the web resource of the administration API.

    Args:
        daemon: The daemon that the API describes and changes.
        token: Bearer token that every call has to carry, except calls of
            `/v1/health`.
    """
    return _Api(daemon, token).app.resource()


class _Api:
    app = klein.Klein()

    def __init__(self, daemon: AdministeredDaemon, token: str):
        self._daemon = daemon
        self._token = token.encode()

    @app.handle_errors(exceptions.HemlockError)
    def _handle_expected_error(self, request, failure):
        error = failure.value
        status = next(
            (
                error_status
                for error_class, error_status in _STATUS_BY_ERROR_CLASS.items()
                if isinstance(error, error_class)
            ),
            http.INTERNAL_SERVER_ERROR,
        )
        logger.info(
            'event=administration_refused path={} status={} problem={!r}',
            request.path.decode('latin-1'),
            status,
            str(error),
        )
        return _json_response(request, _describe_error(error), status)

    @app.route('/v1/health')
    def _health(self, request):
        return _json_response(request, {'ok': True})

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
        return _json_response(request, overview.status(self._daemon))

    @app.route('/v1/targets')
    def _targets(self, request):
        self._authorize(request)
        listed = overview.targets(self._daemon.directory)
        return _json_response(request, {'targets': listed})

    @app.route('/v1/explain')
    def _explain(self, request):
        self._authorize(request)
        path = _query_argument(request, 'path')
        if path is None:
            raise exceptions.InvalidFieldError(
                'path', 'is missing', remedy='add ?path=/...'
            )
        host = _query_argument(request, 'host') or ''
        explanation = overview.explain(self._daemon.directory, host, path)
        return _json_response(request, explanation)

    @app.route('/v1/events')
    def _events(self, request):
        self._authorize(request)
        events = self._daemon.time_line.events(
            _query_argument(request, 'about')
        )
        return _json_response(
            request, {'events': serialization.to_plain(events)}
        )

    @app.route('/v1/rollouts')
    def _rollouts(self, request):
        self._authorize(request)
        listed = overview.rollouts(self._daemon.directory)
        return self._list_response(request, 'rollouts', listed)

    @app.route('/v1/labels', methods=['GET'])
    def _list_labels(self, request):
        self._authorize(request)
        by_name = self._daemon.directory.label_by_name
        listed = [serialization.to_plain(d.value) for d in by_name.values()]
        return self._list_response(request, 'labels', listed)

    @app.route('/v1/selectors', methods=['GET'])
    def _list_selectors(self, request):
        self._authorize(request)
        by_name = self._daemon.directory.selector_by_name
        listed = [serialization.to_plain(d.value) for d in by_name.values()]
        return self._list_response(request, 'selectors', listed)

    def _list_response(self, request, name: str, listed: list[Any]):
        version = self._daemon.directory.table_revision
        return _json_response(request, {'version': version, name: listed})

    @app.route('/v1/labels/<path:name>', methods=['PUT'])
    def _put_label(self, request, name):
        return self._put_definition(request, 'label', name)

    @app.route('/v1/labels/<path:name>', methods=['DELETE'])
    def _delete_label(self, request, name):
        return self._remove_definition(request, 'label', name)

    @app.route('/v1/selectors/<path:name>', methods=['PUT'])
    def _put_selector(self, request, name):
        return self._put_definition(request, 'selector', name)

    @app.route('/v1/selectors/<path:name>', methods=['DELETE'])
    def _delete_selector(self, request, name):
        return self._remove_definition(request, 'selector', name)

    def _put_definition(self, request, kind: str, name: str):
        self._authorize(request)
        author = request.getHeader('x-operator') or 'operator'
        change = self._daemon.definitions.put(
            kind, name, _json_body(request), author, _expected_version(request)
        )
        return defer.ensureDeferred(self._respond_when_stored(request, change))

    def _remove_definition(self, request, kind: str, name: str):
        self._authorize(request)
        change = self._daemon.definitions.remove(
            kind, name, _expected_version(request)
        )
        return defer.ensureDeferred(self._respond_when_stored(request, change))

    async def _respond_when_stored(
        self, request, change: Coroutine[Any, Any, int]
    ):
        # Klein awaits Deferreds, but the change is a coroutine of asyncio.
        change_task = asyncio.ensure_future(change)
        revision = await defer.Deferred.fromFuture(change_task)
        return _json_response(request, {'accepted': revision})

    def _authorize(self, request):
        authorization_header = request.getHeader(b'authorization') or b''
        if isinstance(authorization_header, str):
            authorization_header = authorization_header.encode('latin-1')
        if not hmac.compare_digest(
            authorization_header, b'Bearer ' + self._token
        ):
            raise exceptions.UnauthorizedError(
                'the bearer token is missing or wrong',
                remedy='send the header Authorization: Bearer with the '
                'administration_token of the settings',
            )


def _expected_version(request) -> int | None:
    """Returns the configuration version that a change is based on.

    Returns:
        The version in the header if-match; None without that header.
    """
    expected = request.getHeader('if-match')
    if expected is None:
        return None
    if not expected.isdigit():
        raise exceptions.InvalidFieldError(
            'if-match',
            f'{expected!r} is not a version number',
            remedy='send a configuration version, a decimal number',
        )
    return int(expected)


def _json_body(request) -> dict[str, Any]:
    content = request.content.read(MAX_REQUEST_BODY_BYTES + 1)
    if len(content) > MAX_REQUEST_BODY_BYTES:
        raise exceptions.InvalidFieldError(
            'body',
            f'is larger than {MAX_REQUEST_BODY_BYTES} bytes',
            remedy='use patterns for members or split the object',
        )
    try:
        body = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise exceptions.InvalidFieldError(
            'body', f'is not JSON: {error}', remedy='send a JSON object'
        ) from error
    if not isinstance(body, dict):
        raise exceptions.InvalidFieldError(
            'body', 'is not a JSON object', remedy='send a JSON object'
        )
    return body


def _query_argument(request, name: str) -> str | None:
    values = request.args.get(name.encode())
    return values[0].decode('utf-8', 'replace') if values else None


def _describe_error(error: exceptions.HemlockError) -> dict[str, Any]:
    return {
        'error': type(error).__name__,
        'problems': [
            {
                'field': getattr(single_error, 'field', None),
                'problem': getattr(
                    single_error, 'problem', single_error.args[0]
                ),
                'remedy': single_error.remedy,
            }
            for single_error in error.single_errors()
        ],
        'remedy': error.remedy,
    }


def _json_response(request, value: Any, status: int = http.OK) -> bytes:
    request.setResponseCode(status)
    request.setHeader('content-type', 'application/json')
    return orjson.dumps(value)


class _Channel(http.HTTPChannel):
    """A connection that answers malformed requests with 400 and closes."""

    def dataReceived(self, data):  # noqa: N802
        """Refuses bytes that cannot be the start of a request line.

        Without that, they would wait for the end of the line.
        """
        super().dataReceived(data)
        if self.requests or self.transport.disconnecting:
            return
        start_of_line = self.clearLineBuffer()
        if not _START_OF_REQUEST_LINE.fullmatch(start_of_line):
            self._respondToBadRequestAndDisconnect()
        elif start_of_line:
            super().dataReceived(start_of_line)

    def lineReceived(self, line):  # noqa: N802
        """Refuses a folded header (RFC 9112, section 5.2)."""
        if line.startswith((b' ', b'\t')):
            self._respondToBadRequestAndDisconnect()
            return
        super().lineReceived(line)

    def allHeadersReceived(self):  # noqa: N802
        """Refuses a request without one Host (RFC 9112, section 3.2)."""
        request = self.requests[-1]
        hosts = request.requestHeaders.getRawHeaders(b'host') or []
        if len(hosts) > 1 or (not hosts and self._version == b'HTTP/1.1'):
            # With an unknown length the request is not run.
            self.length = None
            self._respondToBadRequestAndDisconnect()
            return
        super().allHeadersReceived()

    def rawDataReceived(self, data):  # noqa: N802
        """Refuses a chunk that is too large for any call."""
        super().rawDataReceived(data)
        # Only a decoder of chunks whose size line has been read has a length.
        chunk_bytes = getattr(self._transferDecoder, 'length', 0)
        if (
            chunk_bytes > MAX_REQUEST_BODY_BYTES
            and not self.transport.disconnecting
        ):
            self._respondToBadRequestAndDisconnect()


class SizeLimitedSite(server.Site):
    """A web site that closes connections whose request body is too large.

    The limit is `MAX_REQUEST_BODY_BYTES`. The declared length is checked before
    the body is read. A chunked body declares none; its length is checked by the
    calls that use the body.
    """

    noisy = False
    protocol = _Channel

    def __init__(self, resource):
        super().__init__(resource, requestFactory=_SizeLimitedRequest)


class _SizeLimitedRequest(server.Request):
    def gotLength(self, length):  # noqa: N802
        if length is not None and length > MAX_REQUEST_BODY_BYTES:
            self.channel.forceAbortClient()
            return
        super().gotLength(length)
