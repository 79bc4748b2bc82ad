"""Administration API of a daemon: JSON over HTTP with a bearer token."""

import asyncio
import hmac
import time
from typing import Any
from typing import Protocol
import uuid

import klein
from loguru import logger
import orjson
from twisted.internet import defer
from twisted.web import http
from twisted.web import server

from hemlockgrade import changelog
from hemlockgrade import configuration
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import serialization
from hemlockgrade import timeline

MAX_BODY_BYTES = 64 * 1024
_STATUS_BY_ERROR = {
    exceptions.InvalidChangeError: http.BAD_REQUEST,
    exceptions.InvalidFieldError: http.BAD_REQUEST,
    exceptions.UnauthorizedError: http.UNAUTHORIZED,
    exceptions.NotFoundError: http.NOT_FOUND,
    exceptions.ConflictError: http.CONFLICT,
    exceptions.PlatformUnavailableError: http.SERVICE_UNAVAILABLE,
}


class DaemonView(Protocol):
    """What the administration API needs of the daemon."""

    time_line: timeline.Timeline
    change_log: changelog.ChangeLog

    @property
    def configuration(self) -> configuration.Configuration:
        """Returns the configuration in force on this daemon."""

    def status(self) -> dict[str, Any]:
        """Describes this daemon."""

    def render_metrics(self) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics page and its HTTP headers."""

    def targets(self) -> list[model.Target]:
        """Returns the targets that this daemon knows."""

    def explain(self, path: str) -> dict[str, Any]:
        """Tells how a request for a path would be served."""


def make_resource(daemon: DaemonView, token: str) -> Any:
    """Builds the web resource of the administration API."""
    return _Api(daemon, token).app.resource()


class _Api:
    app = klein.Klein()

    def __init__(self, daemon: DaemonView, token: str):
        self._daemon = daemon
        self._token = token.encode()
        self._appended = configuration.Configuration()

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
        page, headers = self._daemon.render_metrics()
        for name, value in headers.items():
            request.setHeader(name, value)
        return page

    @app.route('/v1/status')
    def _status(self, request):
        self._authorize(request)
        return _json(request, self._daemon.status())

    @app.route('/v1/targets')
    def _targets(self, request):
        self._authorize(request)
        targets = serialization.to_plain(self._daemon.targets())
        return _json(request, {'targets': targets})

    @app.route('/v1/explain')
    def _explain(self, request):
        self._authorize(request)
        path = _argument(request, 'path')
        if path is None:
            raise exceptions.InvalidFieldError(
                'path', 'is missing', remedy='add ?path=/...'
            )
        return _json(request, self._daemon.explain(path))

    @app.route('/v1/events')
    def _events(self, request):
        self._authorize(request)
        events = self._daemon.time_line.events(_argument(request, 'about'))
        return _json(request, {'events': serialization.to_plain(events)})

    @app.route('/v1/rollouts')
    def _rollouts(self, request):
        return self._list(request, 'rollouts_by_selector', 'rollouts')

    @app.route('/v1/labels', methods=['GET'])
    def _list_labels(self, request):
        return self._list(request, 'labels_by_name', 'labels')

    @app.route('/v1/selectors', methods=['GET'])
    def _list_selectors(self, request):
        return self._list(request, 'selectors_by_name', 'selectors')

    def _list(self, request, field: str, name: str):
        self._authorize(request)
        return defer.ensureDeferred(self._read_list(request, field, name))

    async def _read_list(self, request, field: str, name: str):
        current = self._newest()
        if not current.version:
            # A daemon that has just started knows nothing of its own yet.
            loading = asyncio.ensure_future(self._daemon.change_log.load())
            current = await defer.Deferred.fromFuture(loading)
        objects = list(getattr(current, field).values())
        return _json(
            request,
            {
                'version': current.version,
                name: serialization.to_plain(objects),
            },
        )

    @app.route('/v1/labels/<name>', methods=['PUT'])
    def _put_label(self, request, name):
        return self._change(request, model.ChangeKind.PUT_LABEL, name)

    @app.route('/v1/labels/<name>', methods=['DELETE'])
    def _delete_label(self, request, name):
        return self._change(request, model.ChangeKind.DELETE_LABEL, name)

    @app.route('/v1/selectors/<name>', methods=['PUT'])
    def _put_selector(self, request, name):
        return self._change(request, model.ChangeKind.PUT_SELECTOR, name)

    @app.route('/v1/selectors/<name>', methods=['DELETE'])
    def _delete_selector(self, request, name):
        return self._change(request, model.ChangeKind.DELETE_SELECTOR, name)

    def _change(self, request, kind: model.ChangeKind, name: str):
        self._authorize(request)
        body = _body(request) if request.method == b'PUT' else {}
        draft = model.Change(
            number=0,
            change_id=uuid.uuid4().hex,
            kind=kind,
            name=name,
            body=body,
            author=request.getHeader('x-operator') or 'operator',
            written_at=time.time(),
        )
        return defer.ensureDeferred(self._append(request, draft))

    async def _append(self, request, draft: model.Change):
        # Klein awaits Deferreds and the change log runs on asyncio.
        appending = asyncio.ensure_future(
            self._append_to_newest(request.getHeader('if-match'), draft)
        )
        after = await defer.Deferred.fromFuture(appending)
        return _json(request, {'accepted': after.version})

    async def _append_to_newest(
        self, based_on: str | None, draft: model.Change
    ) -> configuration.Configuration:
        base = self._newest()
        try:
            _check_precondition(based_on, base, draft)
            configuration.validate(base, draft, draft.written_at)
        except exceptions.HemlockError:
            # A label that another daemon has accepted a moment ago may be
            # missing here, so a refusal is checked against the platform.
            base = await self._daemon.change_log.load()
            _check_precondition(based_on, base, draft)
            configuration.validate(base, draft, draft.written_at)
        self._appended = await self._daemon.change_log.append(base, draft)
        return self._appended

    def _newest(self) -> configuration.Configuration:
        """Returns the newer of what is in force and what was appended here."""
        known = (self._daemon.configuration, self._appended)
        return max(known, key=lambda c: c.version)

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


def _check_precondition(
    expected: str | None,
    base: configuration.Configuration,
    draft: model.Change,
):
    """Refuses a change that was prepared on an older state of its object."""
    if expected is None:
        return
    key = configuration.object_key(draft) or ''
    current = base.numbers_by_object.get(key, 0)
    if not expected.isdigit() or int(expected) < current:
        raise exceptions.ConflictError(
            f'{draft.name} was changed by configuration version {current}',
            remedy='show the object again and repeat your change on it',
        )


def _body(request) -> dict[str, Any]:
    data = request.content.read(MAX_BODY_BYTES + 1)
    if len(data) > MAX_BODY_BYTES:
        raise exceptions.InvalidFieldError(
            'body',
            f'larger than {MAX_BODY_BYTES} bytes',
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
            for part in error.parts()
        ],
        'remedy': error.remedy,
    }


def _json(request, value: Any, status: int = http.OK) -> bytes:
    request.setResponseCode(status)
    request.setHeader('content-type', 'application/json')
    return orjson.dumps(value)


class BoundedSite(server.Site):
    """A site that refuses bodies above the bound before reading them."""

    noisy = False

    def __init__(self, resource):
        super().__init__(resource, requestFactory=_BoundedRequest)


class _BoundedRequest(server.Request):
    def gotLength(self, length):  # noqa: N802
        if length is not None and length > MAX_BODY_BYTES:
            self.channel.forceAbortClient()
            return
        super().gotLength(length)
