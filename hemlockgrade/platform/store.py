"""Client of the platform's metadata store.

Every response of the store names its era; see `revisions`. This client reads
the era and gives out revisions that contain it, so that all that compares
revisions orders by it.
"""

import asyncio
import collections
from collections.abc import Callable
import json
import re
from typing import Any
from typing import Literal

import attrs
from loguru import logger
import orjson

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import object_store
from hemlockgrade import revisions
from hemlockgrade import store_calls
from hemlockgrade import upstream

OBJECTS_PATH = '/-/objects/'
# Number that rises by one each time the store comes back from a copy.
ERA_HEADER = b'store-era'
# Digits only: `int` accepts signs, spaces and underscores as well.
ERA_PATTERN = re.compile('[0-9]{1,9}')
# Timeout of calls other than watches, in seconds. The store usually responds in
# 4 ms, and when it is slow, in half a second.
CALL_TIMEOUT_S = 1.5
# A watch has failed if there is no response this long after the end of its
# wait, in seconds.
WATCH_TIMEOUT_MARGIN_S = 0.5
# Largest response with changes of a kind of which only the newest versions
# count, as a multiple of the latest one with the newest version only, and the
# size up to which every response is read, in bytes.
MAX_CHANGES_FACTOR = 1.5
SMALL_CHANGES_BYTES = 65_536
# Shortest wait of a watch, in milliseconds.
MIN_WAIT_MS = 1

_Method = Literal['GET', 'POST', 'PUT', 'DELETE']


@attrs.frozen
class _Reply:
    """Decoded response of the store.

    Attributes:
        data: The decoded body.
        era: Era of the store that sent it.
    """

    data: Any
    era: int


@attrs.define(eq=False)
class MetadataStore:
    """Implements `object_store.ObjectStore` with pooled HTTP connections.

    Attributes:
        address: `ip:port` of the store.
        pool: Connections to the store.
        newest_only_kinds: Kinds of which only the newest versions count. A
            response with several versions of a large object of these is not
            read: a list is smaller.
        calls_by_method: Number of calls by HTTP method, for the metrics.
        ended_calls: Counts the calls that have ended, for the metrics and the
            log.
        era: Highest era of the responses; 0 before the first one, and if the
            store names none.
        on_era: Called with each higher era.
    """

    address: str
    pool: upstream.ConnectionPool
    newest_only_kinds: frozenset[str] = frozenset()
    calls_by_method: dict[str, int] = attrs.field(factory=dict)
    ended_calls: store_calls.StoreCallCounter = attrs.field(
        factory=store_calls.StoreCallCounter
    )
    era: int = 0
    on_era: list[Callable[[int], None]] = attrs.field(factory=list)
    # The latest value of the header that names no era.
    _unusable_era: str | None = None
    # Size of the latest response with the newest versions only, by kind.
    _newest_bytes_by_kind: dict[str, int] = attrs.field(factory=dict)
    # Number of responses that have begun, by kind.
    _receiving_by_kind: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def is_receiving(self, kind: str) -> bool:
        """Returns whether a response with objects of a kind has begun."""
        return self._receiving_by_kind[kind] > 0

    async def get(self, kind: str, name: str) -> object_store.StoredItem | None:
        """Returns one object, or None if it does not exist."""
        try:
            reply = await self._call(
                'GET', _object_path(kind, name), purpose='get'
            )
        except exceptions.NotFoundError:
            return None
        return _decode_item(kind, reply.data, reply.era)

    async def list(
        self,
        kind: str,
        *,
        may_lag: bool = False,
        limits: object_store.ReadLimits | None = None,
    ) -> object_store.Listing:
        """Returns all objects of a kind, which are read page by page.

        The revision is that of the first page, so that a watch from there
        returns what changed on this page while the later ones were read.
        """
        items: list[object_store.StoredItem] = []
        first_reply: _Reply | None = None
        first = f'{kind}?Serializable=1' if may_lag else kind
        path = first
        while True:
            reply = await self._read(path, limits=limits, purpose='list')
            data = reply.data
            items.extend(_decode_items(kind, data['items'], reply.era))
            if first_reply is None:
                first_reply = reply
            elif first_reply.era != reply.era:
                raise _unavailable('GET', path, 'the pages are of two eras')
            if not data.get('HasMore') or not data['items']:
                break
            separator = '&' if may_lag else '?'
            last_name = data['items'][-1]['Metadata']['Name']
            path = f'{first}{separator}after={http_codec.quote(last_name)}'
        return object_store.Listing(
            items=tuple(items), revision=_current_revision(first_reply)
        )

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        *,
        may_lag: bool = True,
    ) -> object_store.Changes:
        """Waits for changes after a revision.

        A read that may lag costs a tenth of other reads and does not count
        toward the rate limit.
        """
        wait_ms = max(MIN_WAIT_MS, int(wait_s * 1000))
        path = _watch_path(kind, revision, wait_ms)
        return await self._read_changes(
            f'{path}&Serializable=1' if may_lag else path,
            revision,
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
            purpose='watch',
        )

    async def changes_since(
        self, kind: str, revision: int, limits: object_store.ReadLimits
    ) -> object_store.Changes:
        """Returns all changes after a revision up to now, without a wait."""
        return await self._read_changes(
            _watch_path(kind, revision, MIN_WAIT_MS),
            revision,
            limits=limits,
            purpose='changes_since',
        )

    async def _read_changes(
        self, path: str, revision: int, **options: Any
    ) -> object_store.Changes:
        """Reads the changes after a revision, which must be of the same era."""
        if revisions.era_of(revision) < self.era:
            raise _history_lost(path)
        reply = await self._read(
            path, min_era=revisions.era_of(revision), **options
        )
        if reply.era > revisions.era_of(revision):
            raise _history_lost(path)
        return _decode_changes(_kind(path), reply)

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> object_store.StoredItem:
        """Creates an object if it does not exist."""
        body = {'Metadata': {'Name': name}, 'Spec': spec}
        reply = await self._call('POST', kind, body, purpose='create')
        return _decode_item(kind, reply.data, reply.era)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> object_store.StoredItem:
        """Replaces the spec of an object if it has the given revision."""
        number = revisions.number_of(revision)
        body = {'Metadata': {'Name': name, 'Rev': number}, 'Spec': spec}
        path = _object_path(kind, name)
        reply = await self._write_if(
            kind, name, revision, 'PUT', path, body, purpose='replace'
        )
        return _decode_item(kind, reply.data, reply.era)

    async def replace_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> object_store.StoredItem:
        """Replaces the status of an object if it has the given revision."""
        number = revisions.number_of(revision)
        body = {'Metadata': {'Name': name, 'Rev': number}, 'Status': status}
        path = f'{_object_path(kind, name)}/status'
        reply = await self._write_if(
            kind, name, revision, 'PUT', path, body, purpose='replace_status'
        )
        return _decode_item(kind, reply.data, reply.era)

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Deletes an object if it has the given revision."""
        number = revisions.number_of(revision)
        path = f'{_object_path(kind, name)}?Rev={number}'
        await self._write_if(
            kind, name, revision, 'DELETE', path, purpose='delete'
        )

    async def _write_if(
        self,
        kind: str,
        name: str,
        revision: int,
        method: _Method,
        path: str,
        body: Any = None,
        **options: Any,
    ) -> _Reply:
        """Sends a write whose condition is the revision of the object.

        The number of a revision of an earlier era may be that of another state
        of the object, which the caller has not seen.
        """
        era = revisions.era_of(revision)
        if era < self.era:
            current = await self.get(kind, name)
            if current is None:
                raise _not_found(path)
            raise _conflict(path, current)
        reply = await self._call(method, path, body, min_era=era, **options)
        if reply.era == era:
            return reply
        # The store came back from a copy in between and took the write.
        logger.warning(
            'event=write_in_later_era call={} name={!r} revision={} era={}',
            options['purpose'],
            name,
            revision,
            reply.era,
        )
        current = None
        if method != 'DELETE':
            current = _decode_item(kind, reply.data, reply.era)
        raise _conflict(path, current)

    async def _read(self, path: str, **options: Any) -> _Reply:
        """Reads a list or a watch; a malformed response is a failed read."""
        try:
            reply = await self._call('GET', path, **options)
        except exceptions.NotFoundError as error:
            raise _unavailable('GET', path, str(error)) from error
        data = reply.data
        if (
            not isinstance(data, dict)
            or not isinstance(data.get('CurrentRev'), int)
            or not 0 <= data['CurrentRev'] < revisions.ERA_FACTOR
            or not isinstance(data.get('items', data.get('events')), list)
        ):
            raise _unavailable('GET', path, 'malformed response')
        return reply

    async def _call(
        self, method: _Method, path: str, body: Any = None, **options: Any
    ) -> _Reply:
        """Sends a call, counts it, and returns the decoded response.

        Args:
            method: HTTP method.
            path: Kind, and name if it is a call of one object, with the query.
            body: Body of the request; None if there is none.
            options: Keyword arguments of `_send`, and `purpose`, the name of
                the method of `object_store.ObjectStore`.
        """
        self.calls_by_method[method] = self.calls_by_method.get(method, 0) + 1
        purpose = options.pop('purpose')
        result = 'failed'
        try:
            reply = await self._send(method, path, body, **options)
            data = reply.data
            is_empty_watch = isinstance(data, dict) and data.get('events') == []
            result = 'unchanged' if is_empty_watch else 'changed'
            return reply
        except (
            exceptions.NotFoundError,
            object_store.RevisionConflictError,
            object_store.HistoryLostError,
        ):
            result = 'refused'
            raise
        except asyncio.CancelledError:
            result = 'cancelled'
            raise
        finally:
            self.ended_calls.count(
                store_calls.StoreCall(
                    kind=_kind(path),
                    call=purpose,
                    may_lag='Serializable=1' in path,
                    result=result,
                )
            )

    async def _send(
        self,
        method: _Method,
        path: str,
        body: Any,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        limits: object_store.ReadLimits | None = None,
        min_era: int = 0,
    ) -> _Reply:
        request = http_codec.Request(
            method=method, target=f'{OBJECTS_PATH}{path}'
        )
        if body is not None:
            request.headers.append((b'content-type', b'application/json'))
            request.body = orjson.dumps(body)
        if limits is None:
            answers_by = asyncio.get_running_loop().time() + timeout_s
            limits = (
                object_store.ReadLimits.for_transfer(answers_by)
                if method == 'GET'
                else object_store.ReadLimits(deadline=answers_by)
            )
        kind = _kind(path)
        max_bytes = self._max_bytes(path)
        started: list[str] = []

        def count_started():
            started.append(kind)
            self._receiving_by_kind[kind] += 1

        try:
            response = await self.pool.fetch(
                self.address,
                request,
                limits.deadline,
                pauses=upstream.PauseLimits(
                    starts_by=limits.starts_by,
                    max_pause_s=object_store.MAX_PAUSE_S,
                    on_started=count_started,
                ),
                max_idle_s=0.0
                if limits.new_connection
                else upstream.MAX_IDLE_S,
                max_bytes=max_bytes,
            )
        except exceptions.ResponseTooLargeError as error:
            if max_bytes is None:
                raise _unavailable(method, path, str(error)) from error
            raise object_store.ChangesTooLargeError(
                f'the changes of {kind} have several versions',
                remedy='list the kind again',
            ) from error
        except exceptions.RequestNotRunError as error:
            raise _unavailable(method, path, str(error)) from error
        except (
            exceptions.OutcomeUnknownError,
            exceptions.MalformedRequestError,
        ) as error:
            raise _unavailable(
                method, path, str(error), outcome_known=method == 'GET'
            ) from error
        finally:
            self._receiving_by_kind.subtract(started)
        era = self._read_era(response)
        if era < max(self.era, min_era):
            # A late response, or one of a replica that is behind.
            raise _unavailable(
                method,
                path,
                f'the response is of the earlier era {era}',
                outcome_known=method == 'GET',
            )
        self._raise_era(era)
        data = _decode_response(method, path, response, era)
        if method == 'GET' and kind in self.newest_only_kinds:
            is_list = 'items' in data
            if is_list or len(data.get('events', ())) == 1:
                self._newest_bytes_by_kind[kind] = len(response.body)
        return _Reply(data, era)

    def _read_era(self, response: http_codec.Response) -> int:
        """Returns the era of a response.

        Of several values the highest one counts: to read again what is known
        does less harm than to miss that the store has lost changes. A response
        without a usable value is taken to be of the era of the former one.
        """
        eras = []
        for name, value in response.headers:
            if name != ERA_HEADER:
                continue
            text = value.decode('latin-1')
            if ERA_PATTERN.fullmatch(text) and int(text) <= revisions.MAX_ERA:
                eras.append(int(text))
            elif text != self._unusable_era:
                self._unusable_era = text
                logger.error(
                    'event=store_era_unusable value={!r:.100} era={}',
                    text,
                    self.era,
                )
        return max(eras, default=self.era)

    def _raise_era(self, era: int):
        if era <= self.era:
            return
        logger.info('event=store_era_risen era={} before={}', era, self.era)
        self.era = era
        for callback in self.on_era:
            callback(era)

    def _max_bytes(self, path: str) -> int | None:
        newest_bytes = self._newest_bytes_by_kind.get(_kind(path))
        if newest_bytes is None or 'Watch=' not in path:
            return None
        return max(SMALL_CHANGES_BYTES, int(newest_bytes * MAX_CHANGES_FACTOR))


def _kind(path: str) -> str:
    return re.split('[/?]', path, maxsplit=1)[0]


def _object_path(kind: str, name: str) -> str:
    """Returns the path of an object, whose name may have any letters."""
    return f'{kind}/{http_codec.quote(name)}'


def _watch_path(kind: str, revision: int, wait_ms: int) -> str:
    """Returns the path of a watch of the changes after a revision."""
    return f'{kind}?Watch={revisions.number_of(revision)}&WaitMs={wait_ms}'


def _current_revision(reply: _Reply) -> int:
    return revisions.revision_of(reply.era, reply.data['CurrentRev'])


def _decode_json(body: bytes) -> Any:
    """Decodes a body, of which another program may have written a part.

    Bytes and escapes that are no valid text become lone surrogates, so that
    only the objects that contain them cannot be used.

    Raises:
        ValueError: The body is not JSON.
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        text = body.decode('utf-8', 'surrogateescape')
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError('the body is nested too deeply') from error


def _decode_response(
    method: str, path: str, response: http_codec.Response, era: int
) -> Any:
    """Returns the decoded body of a response, or raises an error."""
    status = response.status
    if status in (200, 201, 204):
        try:
            return _decode_json(response.body) if response.body else {}
        except ValueError as error:
            raise _unavailable(
                method,
                path,
                'malformed response',
                outcome_known=method == 'GET',
            ) from error
    if status == 404:
        raise _not_found(path)
    if status == 410:
        raise _history_lost(path)
    if status == 409:
        raise _conflict(path, _decode_conflict(path, response, era))
    raise _unavailable(method, path, f'status {status}')


def _decode_conflict(
    path: str, response: http_codec.Response, era: int
) -> object_store.StoredItem | None:
    kind = path.partition('/')[0]
    try:
        return _decode_item(kind, _decode_json(response.body), era)
    except (ValueError, exceptions.HemlockError):
        return None


def _decode_changes(kind: str, reply: _Reply) -> object_store.Changes:
    changes = tuple(
        object_store.ItemChange(item=item, deleted=bool(event.get('Deleted')))
        for event in reply.data['events']
        if isinstance(event, dict)
        for item in _decode_items(kind, [event.get('Object')], reply.era)
    )
    return object_store.Changes(
        changes=changes, revision=_current_revision(reply)
    )


def _decode_items(
    kind: str, data: list[Any], era: int
) -> list[object_store.StoredItem]:
    """Decodes objects; leaves out those that cannot be decoded."""
    items = []
    for each in data:
        try:
            items.append(_decode_item(kind, each, era))
        except exceptions.PlatformUnavailableError as error:
            logger.error(
                'event=entry_refused name={!r} source=store problem={!r}',
                _name_of(each),
                str(error),
            )
    return items


def _name_of(data: Any) -> Any:
    """Returns the name of an object that cannot be decoded, if it has one."""
    metadata = data.get('Metadata') if isinstance(data, dict) else None
    return metadata.get('Name') if isinstance(metadata, dict) else None


def _decode_item(kind: str, data: Any, era: int) -> object_store.StoredItem:
    try:
        metadata = data['Metadata']
        return object_store.StoredItem(
            kind=kind,
            name=metadata['Name'],
            revision=revisions.revision_of(era, metadata['Rev']),
            created_number=metadata.get('CreateRev', 0),
            deleting=bool(metadata.get('Deleting')),
            finalizers=tuple(metadata.get('Finalizers') or ()),
            spec=data.get('Spec'),
            status=data.get('Status'),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise _unavailable('GET', kind, f'malformed object: {error}') from error


def _not_found(path: str) -> exceptions.NotFoundError:
    return exceptions.NotFoundError(
        f'{path} does not exist in the store', remedy='create it first'
    )


def _history_lost(path: str) -> object_store.HistoryLostError:
    return object_store.HistoryLostError(
        f'the store no longer has the changes of {path}',
        remedy='list the kind again',
    )


def _conflict(
    path: str, current: object_store.StoredItem | None
) -> object_store.RevisionConflictError:
    return object_store.RevisionConflictError(
        f'{path} has another revision', current
    )


def _unavailable(
    method: str, path: str, problem: str, *, outcome_known: bool = True
) -> exceptions.PlatformUnavailableError:
    return exceptions.PlatformUnavailableError(
        f'{method} {path}: {problem}',
        remedy='retry later',
        outcome_known=outcome_known,
    )
