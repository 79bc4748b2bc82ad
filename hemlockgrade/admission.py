"""Target side of the request path: slots, ledger, drain, local targets."""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import time

import attrs
from loguru import logger
import orjson

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import in_flight
from hemlockgrade import ledger
from hemlockgrade import limits
from hemlockgrade import proxy
from hemlockgrade import retries
from hemlockgrade import upstream

FENCE_PATH = '/.hemlock/fence'
DEFAULT_TIMEOUT_S = 5.0


@attrs.frozen(kw_only=True)
class LocalTarget:
    """A target on this host, as it announced itself.

    Attributes:
        target_id: Unique among the targets.
        address: `host:port` of the target.
        slots: Requests that it runs at once.
        keep_alive_s: Time for which it keeps an idle connection open.
    """

    target_id: str
    address: str
    slots: int
    keep_alive_s: float = 5.0


@attrs.define
class _Place:
    target: LocalTarget
    limiter: limits.Limiter


@attrs.define(kw_only=True)
class Admission:
    """Admits requests of proxies to the targets of this host.

    Attributes:
        boot_id: Identifier of this process.
        pool: Connections to the targets.
        limiter: Makes a limiter for a number of slots.
        ledger: Requests that went to a target.
        draining: True once new work is refused.
    """

    boot_id: str
    pool: upstream.ConnectionPool
    limiter: Callable[[int], limits.Limiter]
    ledger: ledger.RequestLedger
    clock: Callable[[], float] = time.monotonic
    draining: bool = False
    _place_by_target: dict[str, _Place] = attrs.field(factory=dict)
    _in_flight: in_flight.InFlight = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._in_flight = in_flight.InFlight(self.clock)

    @property
    def in_flight(self) -> int:
        """Requests that are being answered."""
        return self._in_flight.count

    def set_targets(self, targets: Iterable[LocalTarget]) -> None:
        """Replaces the local targets; a missing one gets no new work."""
        new: dict[str, _Place] = {}
        for target in targets:
            place = self._place_by_target.pop(target.target_id, None)
            if place is None or place.target != target:
                if place is not None:
                    place.limiter.drain()
                place = _Place(target, self.limiter(target.slots))
            new[target.target_id] = place
        for place in self._place_by_target.values():
            place.limiter.drain()
        self._place_by_target = new

    def loads(self) -> dict[str, tuple[int, int]]:
        """Returns slots in use and queue length by target."""
        return {
            target_id: (place.limiter.in_use, place.limiter.queued)
            for target_id, place in self._place_by_target.items()
        }

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Answers a proxy's request.

        Returns:
            The target's answer; a refusal with `x-hemlock-not-run: 1`, sent
            only when no byte went to the target; or 502 when the outcome is
            unknown.
        """
        if request.path == FENCE_PATH:
            return self._fence(request)
        return await self._in_flight.track(self._admit(request))

    async def drain(self, deadline: float) -> None:
        """Refuses new work, waits for work in flight and then stops it.

        Args:
            deadline: Time on the monotonic clock, in seconds.
        """
        self.draining = True
        for place in self._place_by_target.values():
            place.limiter.drain()
        if not await self._in_flight.wait_until_idle(deadline):
            logger.warning(
                'event=admission_drain_cut in_flight={}', self.in_flight
            )
        self.pool.close()

    def _fence(self, request: http_codec.Request) -> http_codec.Response:
        if request.method != 'POST':
            return http_codec.Response(
                status=405, headers=[(b'allow', b'POST')]
            )
        request_id = http_codec.header(request.headers, b'x-hemlock-request-id')
        boot_id = http_codec.header(request.headers, b'x-hemlock-boot-id')
        now = self.clock()
        self.ledger.expire(now)
        try:
            result = self.ledger.fence(request_id or '', boot_id or '', now)
        except exceptions.MalformedRequestError as error:
            return proxy.plain(400, str(error), b'not-run')
        return http_codec.Response(
            status=200,
            headers=[(b'content-type', b'application/json')],
            body=orjson.dumps({'result': result}),
        )

    async def _admit(self, request: http_codec.Request) -> http_codec.Response:
        now = self.clock()
        boot_id = http_codec.header(request.headers, b'x-hemlock-boot-id')
        if boot_id is not None and boot_id != self.boot_id:
            return not_run('boot', 'this daemon was restarted')
        if self.draining:
            return not_run('draining', 'this host is draining')
        target_id = http_codec.header(request.headers, b'x-hemlock-target-id')
        place = self._place_by_target.get(target_id or '')
        if place is None:
            return not_run('no-target', f'no target {target_id!r} here')
        deadline = now + _timeout_s(request.headers)
        try:
            await place.limiter.acquire(deadline, _caller(request.headers))
        except exceptions.RequestNotRunError as error:
            return not_run('refused', str(error))
        return await self._run(request, place, deadline)

    async def _run(
        self, request: http_codec.Request, place: _Place, deadline: float
    ) -> http_codec.Response:
        started = self.clock()
        service_s: float | None = None
        stream: http_codec.BodyStream | None = None
        try:
            response = await self._send(request, place.target, deadline)
            stream = response.stream
            service_s = self.clock() - started
        except exceptions.ConnectFailedError as error:
            return not_run('unreachable', str(error))
        except exceptions.RequestNotRunError as error:
            return not_run('fenced', str(error))
        except exceptions.MalformedRequestError as error:
            return not_run('malformed', str(error))
        except exceptions.DeadlineExceededError as error:
            service_s = self.clock() - started
            return with_reason(proxy.unknown(str(error)), 'timeout')
        except exceptions.OutcomeUnknownError as error:
            return proxy.unknown(str(error))
        finally:
            if stream is None:
                place.limiter.release(service_s)
            else:
                stream.when_done(lambda _: place.limiter.release(service_s))
        response.headers = http_codec.without_internal(response.headers)
        # Lets the proxy tell answers apart; see `upstream`.
        request_id = http_codec.header(request.headers, upstream.REQUEST_ID)
        if request_id is not None:
            response.headers.append((upstream.REQUEST_ID, request_id.encode()))
        return response

    async def _send(
        self,
        request: http_codec.Request,
        target: LocalTarget,
        deadline: float,
    ) -> http_codec.Response:
        request_id = http_codec.header(request.headers, b'x-hemlock-request-id')
        now = self.clock()
        headers = http_codec.without_internal(request.headers)
        headers.append(
            (b'x-hemlock-timeout-ms', b'%d' % max((deadline - now) * 1000, 0))
        )
        if request_id is not None:
            headers.append((b'x-hemlock-request-id', request_id.encode()))
        before_write = None
        if not retries.is_idempotent(request.method):
            before_write = functools.partial(self._enter, request_id or '')
        return await self.pool.send(
            target.address,
            request.with_headers(headers),
            deadline,
            max_idle_s=target.keep_alive_s / 2,
            before_write=before_write,
            request_id=request_id or '',
        )

    def _enter(self, request_id: str):
        now = self.clock()
        self.ledger.expire(now)
        self.ledger.admit(request_id, now)


def not_run(reason: str, message: str) -> http_codec.Response:
    """Makes the refusal of a request of which the target got no byte.

    Args:
        reason: One word for the proxy.
        message: For the reader.
    """
    response = proxy.refused(message)
    response.headers.append((b'x-hemlock-not-run', b'1'))
    return with_reason(response, reason)


def with_reason(
    response: http_codec.Response, reason: str
) -> http_codec.Response:
    """Adds a word by which the proxy accounts for a failure."""
    response.headers.append((b'x-hemlock-reason', reason.encode()))
    return response


def _caller(headers: http_codec.Headers) -> str:
    """Returns the sending proxy, which is the prefix of its identifiers."""
    text = http_codec.header(headers, b'x-hemlock-request-id') or ''
    return text.rpartition('-')[0]


def _timeout_s(headers: http_codec.Headers) -> float:
    text = http_codec.header(headers, b'x-hemlock-timeout-ms')
    if text is None or not (text.isascii() and text.isdecimal()):
        return DEFAULT_TIMEOUT_S
    return min(int(text[:9]) / 1000, proxy.MAX_TIMEOUT_S)
