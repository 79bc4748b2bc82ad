"""Caller side of the request path: route, send, retry, account."""

from collections.abc import Callable
from collections.abc import Sequence
import itertools
import random as random_module
import time
from typing import Any
from typing import Protocol
import uuid

import attrs
from loguru import logger
import orjson

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import in_flight
from hemlockgrade import ledger
from hemlockgrade import model
from hemlockgrade import retries
from hemlockgrade import routing as routing_module
from hemlockgrade import upstream

# Longest time a caller may ask for; the ledgers' retention is twice this.
MAX_TIMEOUT_S = 60.0
# The admission side is told a little less than what remains, so that its
# refusal arrives before the proxy gives up and has to call it unknown.
HOP_MARGIN_S = 0.005
HOP_MARGIN_SHARE = 0.1
# Limit of a fence call, in seconds.
FENCE_TIMEOUT_S = 0.5
# Statuses with which a target or what is before it sheds load.
SHEDDING_STATUSES = frozenset({502, 503, 504})
RESERVED_PREFIX = '/.hemlock/'

OK = routing_module.Outcome.OK
ERROR = routing_module.Outcome.ERROR
REJECTED = routing_module.Outcome.REJECTED
UNREACHABLE = routing_module.Outcome.UNREACHABLE
TIMEOUT = routing_module.Outcome.TIMEOUT


class RoutingView(Protocol):
    """What the proxy knows of the configuration and the targets."""

    def match(self, path: str) -> routing_module.RouteEntry | None:
        """Finds the route of a path."""


class EvidenceRecorder(Protocol):
    """Collects evidence on versions."""

    def record(
        self,
        entry: routing_module.RouteEntry,
        version: str,
        ok: bool,
        latency_s: float,
        now: float,
    ) -> Any:
        """Counts one answered or failed request of a route."""


@attrs.define
class _Call:
    """A caller's request on its way through the attempts."""

    request: http_codec.Request
    entry: routing_module.RouteEntry
    version: str
    deadline: float
    idempotent: bool
    request_id: str
    count: int = 0
    maybe_run: bool = False
    tried: set[str] = attrs.field(factory=set)
    answer: http_codec.Response | None = None

    def facts(self) -> retries.Attempts:
        return retries.Attempts(
            idempotent=self.idempotent,
            count=self.count,
            maybe_run=self.maybe_run,
            deadline=self.deadline,
        )


@attrs.frozen
class _Result:
    """How an attempt ended.

    Attributes:
        outcome: For the load table; None if it says nothing on the target.
        ok: For the evidence on the version; None if it says nothing.
        failure: Why it needs a decision; None for an answer.
        stream: The rest of the answer's body.
    """

    outcome: routing_module.Outcome | None
    ok: bool | None = None
    failure: retries.Failure | None = None
    stream: http_codec.BodyStream | None = None


@attrs.define(kw_only=True)
class Proxy:
    """Sends each caller's request to a target and returns its answer.

    Attributes:
        proxy_id: Identifier of this proxy.
        pool: Connections to the admission sides.
        loads: Live evidence on targets.
        evidence: Evidence on versions.
        balancer: Chooses among targets.
        random: Source of random numbers.
        routing: Current routing view; None before the first configuration.
        stopped_versions: Versions of a route stopped by this proxy.
        on_finished: Called with the route, the version, the answer and the
            seconds it took.
        budget: Budget for retries.
    """

    proxy_id: str
    pool: upstream.ConnectionPool
    loads: routing_module.LoadTable
    evidence: EvidenceRecorder
    balancer: routing_module.Balancer
    random: random_module.Random
    routing: RoutingView | None = None
    stopped_versions: Callable[[routing_module.RouteEntry], frozenset[str]] = (
        lambda _: frozenset()
    )
    on_finished: Callable[
        [routing_module.RouteEntry, str, http_codec.Response, float], None
    ] = lambda *_: None
    budget: retries.RetryBudget = attrs.field(factory=retries.RetryBudget)
    clock: Callable[[], float] = time.monotonic
    draining: bool = False
    _in_flight: in_flight.InFlight = attrs.field(init=False)
    _id_prefix: str = attrs.field(init=False)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        # A restarted proxy must not repeat identifiers of its predecessor.
        self._in_flight = in_flight.InFlight(self.clock)
        self._id_prefix = f'{self.proxy_id}.{uuid.uuid4().hex[:12]}'

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Answers a caller's request.

        Returns:
            The target's answer, or 404, 502 or 503 of the proxy's own.
        """
        if self.draining:
            return refused('this proxy is draining')
        if self.routing is None:
            return refused('this proxy has no configuration yet')
        if request.path.startswith(RESERVED_PREFIX):
            return plain(404, 'no route for this path', b'not-run')
        entry = self.routing.match(request.path)
        if entry is None:
            return plain(404, 'no route for this path', b'not-run')
        version = entry.choose_version(
            self.random, self.stopped_versions(entry)
        )
        if version is None:
            return refused('no version of the service may be used')
        call = self._start(request, entry, version)
        started = self.clock()
        response = await self._in_flight.track(self._run(call))
        self.on_finished(entry, version, response, self.clock() - started)
        return response

    async def drain(self, deadline: float) -> None:
        """Refuses new requests and waits for those in flight.

        Args:
            deadline: Gives up waiting at this time, in monotonic seconds.
        """
        self.draining = True
        if not await self._in_flight.wait_until_idle(deadline):
            logger.warning(
                'event=proxy_drain_cut in_flight={}', self._in_flight.count
            )

    def _start(
        self,
        request: http_codec.Request,
        entry: routing_module.RouteEntry,
        version: str,
    ) -> _Call:
        timeout_s = _timeout_s(request.headers, entry.route.timeout_ms / 1000)
        request.headers = http_codec.without_internal(request.headers)
        self.budget.count_request()
        return _Call(
            request=request,
            entry=entry,
            version=version,
            deadline=self.clock() + timeout_s,
            idempotent=retries.is_idempotent(request.method),
            request_id=self._new_id(),
        )

    def _new_id(self) -> str:
        return f'{self._id_prefix}-{next(self._numbers)}'

    async def _run(self, call: _Call) -> http_codec.Response:
        while True:
            if self.clock() >= call.deadline:
                return self._finish(call, 'its deadline has passed')
            target = self._choose(call)
            if target is None:
                return self._finish(call, 'no target can be used')
            failure = await self._attempt(call, target)
            if failure is None:
                assert call.answer is not None
                return self._pass_on(call, call.answer)
            decision = retries.decide(
                call.facts(), failure, self.budget, self.clock()
            )
            if decision is retries.RetryDecision.FENCE_FIRST:
                decision = await self._fence_and_decide(call, target)
            if decision is not retries.RetryDecision.RETRY_ELSEWHERE:
                return self._finish(call, 'the request was refused')

    def _choose(self, call: _Call) -> model.Target | None:
        targets = call.entry.targets_by_version.get(call.version, ())
        fresh: Sequence[model.Target] = targets
        if call.tried:
            fresh = [t for t in targets if t.target_id not in call.tried]
        return self.balancer.choose(
            fresh or targets, self.loads, self.clock(), self.random
        )

    async def _attempt(
        self, call: _Call, target: model.Target
    ) -> retries.Failure | None:
        call.count += 1
        call.tried.add(target.target_id)
        started = self.clock()
        self.loads.started(target.target_id, started)
        # A caller that went away says nothing about the target.
        result = _Result(None)
        try:
            result = self._classify(call, await self._send(call, target))
        except exceptions.ConnectFailedError:
            result = _Result(UNREACHABLE, failure=retries.Failure.NOT_RUN)
        except exceptions.DeadlineExceededError:
            result = _Result(TIMEOUT, False, retries.Failure.TIMEOUT)
        except exceptions.ConnectionClosedError:
            result = _Result(ERROR, False, retries.Failure.NO_ANSWER)
        finally:
            self._account(call, target, started, result)
        if result.failure not in (None, retries.Failure.NOT_RUN):
            call.maybe_run = True
        return result.failure

    def _account(
        self, call: _Call, target: model.Target, started: float, result: _Result
    ):
        """Counts an attempt when its answer has ended."""
        latency_s = self.clock() - started

        def count(complete: bool):
            now = self.clock()
            outcome = result.outcome if complete else ERROR
            if outcome is None:
                self.loads.cancelled(target.target_id)
                return
            self.loads.finished(target.target_id, latency_s, outcome, now)
            if result.ok is not None:
                ok = result.ok and complete
                self._record(call, ok, latency_s, now)

        if result.stream is not None:
            result.stream.when_done(count)
            return
        count(True)

    def _record(self, call: _Call, ok: bool, latency_s: float, now: float):
        self.evidence.record(call.entry, call.version, ok, latency_s, now)

    async def _send(
        self, call: _Call, target: model.Target
    ) -> http_codec.Response:
        remaining = call.deadline - self.clock()
        told_s = remaining - min(HOP_MARGIN_S, remaining * HOP_MARGIN_SHARE)
        headers = [
            *call.request.headers,
            (b'x-hemlock-request-id', call.request_id.encode()),
            (b'x-hemlock-timeout-ms', b'%d' % max(told_s * 1000, 0)),
            (b'x-hemlock-version', call.version.encode()),
            (b'x-hemlock-target-id', target.target_id.encode()),
        ]
        if target.boot_id:
            headers.append((b'x-hemlock-boot-id', target.boot_id.encode()))
        request = call.request.with_headers(headers)
        return await self.pool.send(
            target.admission_address,
            request,
            call.deadline,
            request_id=call.request_id,
        )

    def _classify(self, call: _Call, response: http_codec.Response) -> _Result:
        reason = http_codec.header(response.headers, b'x-hemlock-reason')
        if http_codec.header(response.headers, b'x-hemlock-not-run') == '1':
            if reason == 'unreachable':
                # The target's host answers and the target does not, which
                # is evidence on its version; an overload or a drain is not.
                return _Result(UNREACHABLE, False, retries.Failure.NOT_RUN)
            return _Result(REJECTED, None, retries.Failure.NOT_RUN)
        outcome = http_codec.header(response.headers, b'x-hemlock-outcome')
        if outcome == 'unknown':
            kind = TIMEOUT if reason == 'timeout' else ERROR
            return _Result(kind, False, retries.Failure.UNKNOWN)
        call.answer = response
        if (
            response.status in SHEDDING_STATUSES
            and call.idempotent
            and response.stream is None
        ):
            return _Result(REJECTED, False, retries.Failure.SHED)
        ok = response.status < 500
        return _Result(OK if ok else ERROR, ok, stream=response.stream)

    async def _fence_and_decide(
        self, call: _Call, target: model.Target
    ) -> retries.RetryDecision:
        result = await self._fence(call, target)
        logger.info(
            'event=request_fenced request={} target={} result={}',
            call.request_id,
            target.target_id,
            result,
        )
        if result is not ledger.FenceResult.NEVER_SEEN:
            return retries.RetryDecision.GIVE_UP_UNKNOWN
        call.maybe_run = False
        call.request_id = self._new_id()
        return retries.decide(
            call.facts(), retries.Failure.NOT_RUN, self.budget, self.clock()
        )

    async def _fence(
        self, call: _Call, target: model.Target
    ) -> ledger.FenceResult:
        request = http_codec.Request(
            method='POST',
            target=f'{RESERVED_PREFIX}fence',
            headers=[
                (b'x-hemlock-request-id', call.request_id.encode()),
                (b'x-hemlock-boot-id', target.boot_id.encode()),
            ],
        )
        deadline = min(call.deadline, self.clock() + FENCE_TIMEOUT_S)
        try:
            response = await self.pool.send(
                target.admission_address, request, deadline
            )
            return ledger.FenceResult(orjson.loads(response.body)['result'])
        except (exceptions.HemlockError, ValueError, KeyError, TypeError):
            return ledger.FenceResult.UNKNOWN

    def _finish(self, call: _Call, reason: str) -> http_codec.Response:
        if call.answer is not None:
            return self._pass_on(call, call.answer)
        if not call.maybe_run:
            return refused(reason)
        return unknown('the request may or may not have been run')

    def _pass_on(
        self, call: _Call, response: http_codec.Response
    ) -> http_codec.Response:
        response.headers = [
            *http_codec.without_internal(response.headers),
            (b'x-hemlock-request-id', call.request_id.encode()),
            (b'x-hemlock-version', call.version.encode()),
        ]
        return response


def plain(status: int, message: str, outcome: bytes) -> http_codec.Response:
    """Makes an answer of the daemon's own."""
    return http_codec.Response(
        status=status,
        headers=[
            (b'content-type', b'text/plain; charset=utf-8'),
            (b'x-hemlock-outcome', outcome),
        ],
        body=message.encode(),
    )


def refused(reason: str) -> http_codec.Response:
    """Makes the answer to a request that was not run."""
    return plain(503, f'not run: {reason}', b'not-run')


def unknown(reason: str) -> http_codec.Response:
    """Makes the answer to a request that may or may not have been run."""
    return plain(502, reason, b'unknown')


def _timeout_s(headers: http_codec.Headers, route_s: float) -> float:
    text = http_codec.header(headers, b'x-request-timeout-ms')
    if text is None or not (text.isascii() and text.isdecimal()):
        return min(route_s, MAX_TIMEOUT_S)
    return min(int(text[:9]) / 1000, route_s, MAX_TIMEOUT_S)
