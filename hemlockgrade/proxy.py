"""Caller side of the request path: route, choose, send, retry, answer."""

import asyncio
from collections.abc import Callable
import enum
import itertools
import uuid

import attrs
from loguru import logger

from hemlockgrade import directory as directory_module
from hemlockgrade import exceptions
from hemlockgrade import exchange
from hemlockgrade import gate as gate_module
from hemlockgrade import http_codec
from hemlockgrade import ledger
from hemlockgrade import model
from hemlockgrade import peers
from hemlockgrade import retries
from hemlockgrade import state_sync
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# Longest wait of a caller that states none, in seconds.
DEFAULT_TIMEOUT_S = 30.0
# A refused request may ask this many servers' daemons; being refused costs a
# round trip and reaches no server.
MAX_REFUSALS = 4
# Part of the users' bound on repeated requests that is used.
RETRY_BUDGET_PART = 0.8
# Time below which a further attempt cannot be answered, in seconds.
MIN_REMAINING_S = 0.01
# Limit of a fence, in seconds: a connection and an answer within a region.
FENCE_TIMEOUT_S = 0.5
# The product's own header for the longest wait of a caller.
CALLER_TIMEOUT = b'x-request-timeout-ms'
# Tells the caller of an answer of the daemon's own whether a server ran it.
OUTCOME = b'x-hemlock-outcome'
NOT_RUN = b'not-run'
# Tells the caller of a selector's route which version answered.
VERSION = b'x-hemlock-version'
UNKNOWN = b'unknown'
# When a refused caller may come back, in seconds: about the time in which a
# queue at a server empties, and at most this part of the time it has left.
RETRY_AFTER_S = 0.1
RETRY_AFTER_PART = 0.3


class Kind(enum.Enum):
    """How an attempt ended."""

    ANSWER = 'answer'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    TIMEOUT = 'timeout'


@attrs.frozen(kw_only=True)
class Result:
    """How an attempt ended.

    Attributes:
        kind: The outcome.
        reason: In words, for the log.
        answer: The server's answer.
        refusal: Why it was not run.
    """

    kind: Kind
    reason: str = ''
    answer: http_codec.Response | None = None
    refusal: exchange.Refusal | None = None

    @property
    def broken(self) -> bool:
        """Tells whether the connection broke on the way."""
        return (
            self.kind is Kind.UNKNOWN or self.refusal is exchange.Refusal.FENCED
        )


@attrs.define(kw_only=True)
class Call:
    """A caller's request on its way through the attempts.

    Attributes:
        request: The request, with the headers for the server.
        request_id: The caller's identifier of it.
        route: Its route.
        parent_rank: Rank of the request that the server on this host runs and
            sent this one for; None if it comes from a caller.
        service: Service that runs it.
        started: Monotonic time of its arrival.
        deadline: Monotonic time at which it has to be answered.
        idempotent: True if it may run more than once.
        sent: Servers that it may have reached.
        refusals: Daemons that refused it.
        tried: Names of the members tried.
        version: Version of the server tried last.
        maybe_run: True if a server may have run it.
        failure: The server's answer of failure, if there is one.
        last: How the last attempt ended.
    """

    request: http_codec.Request
    request_id: str
    route: model.Route
    parent_rank: int | None
    service: str
    started: float
    deadline: float
    idempotent: bool
    sent: int = 0
    refusals: int = 0
    tried: list[str] = attrs.field(factory=list)
    version: str = ''
    maybe_run: bool = False
    failure: http_codec.Response | None = None
    last: Result | None = None

    @property
    def priority(self) -> int:
        """Returns its rank; 0 is served first.

        A nested request has the rank of its parent.
        """
        if self.parent_rank is not None:
            return self.parent_rank
        return self.route.priority

    @property
    def on_time_until(self) -> float:
        """Returns the monotonic time until which an answer is on time."""
        return self.started + self.route.target_latency_s


@attrs.define(eq=False, kw_only=True)
class Proxy:
    """Sends each request of this host to a server and returns its answer.

    Attributes:
        name: Name of this host.
        boot_id: Identifier of this process.
        own_service: Returns the service of the server on this host.
        directory: Knows routes and members.
        balancer: Chooses the server.
        gate: Admission to the server on this host.
        pool: Connections to other daemons.
        clock: Monotonic time in seconds.
        retry_ratio: Repeated requests as a part of the first ones.
        retry_slack: Repeated requests beyond that, over all daemons.
        sync: Learns from answers what peers know.
        on_finished: Called with the labels and seconds of each request.
    """

    name: str
    boot_id: str
    own_service: Callable[[], str]
    directory: directory_module.Directory
    balancer: peers.Balancer
    gate: gate_module.Gate
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    retry_ratio: float
    retry_slack: float
    sync: state_sync.StateSync
    on_finished: Callable[[dict[str, str], float], None]
    _numbers: itertools.count = attrs.field(factory=itertools.count)
    _budget_by_service: dict[str, retries.RetryBudget] = attrs.field(
        factory=dict
    )

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Answers a caller's request."""
        started = self.clock()
        request_id = (
            http_codec.header(request.headers, platform_codec.REQUEST_ID) or ''
        )
        if not request_id:
            request_id = uuid.uuid4().hex[:16]
            request.headers.append(
                (platform_codec.REQUEST_ID, request_id.encode())
            )
        if not self.directory.configured:
            self._log_unrouted(request_id, 503, 'no-configuration', started)
            return _refusal(RETRY_AFTER_S)
        host = http_codec.header(request.headers, b'host') or ''
        entry = self.directory.match(host, request.path)
        if entry is None:
            self._log_unrouted(request_id, 404, 'no-route', started)
            return http_codec.Response(status=404, headers=[(OUTCOME, NOT_RUN)])
        call = self._new_call(request, request_id, entry, started)
        try:
            response = await self._attempt_until_done(call)
        except asyncio.CancelledError:
            self._log_call(call, 0, 'caller-gone')
            raise
        outcome = call.last.reason if call.last is not None else 'no-server'
        self._log_call(call, response.status, outcome)
        return response

    def _new_call(
        self,
        request: http_codec.Request,
        request_id: str,
        entry: directory_module.RouteEntry,
        started: float,
    ) -> Call:
        left_s = exchange.time_left_s(request.headers)
        if left_s is None:
            left_s = exchange.milliseconds(request.headers, CALLER_TIMEOUT)
        if left_s is None:
            left_s = DEFAULT_TIMEOUT_S
        headers = [
            item
            for item in http_codec.without_internal(request.headers)
            if item[0] not in (platform_codec.CALLER_SERVICE, CALLER_TIMEOUT)
        ]
        headers.append(
            (platform_codec.CALLER_SERVICE, self.own_service().encode())
        )
        idempotent = entry.route.idempotent
        if idempotent is None:
            idempotent = retries.is_idempotent(request.method)
        return Call(
            request=request.with_headers(headers),
            request_id=request_id,
            route=entry.route,
            parent_rank=self.gate.rank_of(_parent_id(request_id)),
            service=entry.next_service(),
            started=started,
            deadline=started + min(left_s, entry.route.timeout_s),
            idempotent=idempotent,
        )

    async def _attempt_until_done(self, call: Call) -> http_codec.Response:
        self._budget(call.service).count_request()
        while True:
            peer = self._choose(call)
            if peer is None or call.deadline <= self.clock():
                return self._give_up(call)
            call.tried.append(peer.member.name)
            call.version = peer.member.server_facts.version
            result = await self._attempt(call, peer)
            call.last = result
            if result.answer is not None and not self._worth_repeating(
                call, result.answer
            ):
                return result.answer
            if not self._may_repeat(call, result):
                return self._give_up(call)

    def _choose(self, call: Call) -> peers.Peer | None:
        peer = self.balancer.choose(
            call.service, call.tried, call.priority, call.route
        )
        if peer is None and call.last is not None and call.last.broken:
            # A connection that broke says nothing about the server.
            return self.balancer.choose(
                call.service, (), call.priority, call.route
            )
        return peer

    def _worth_repeating(self, call: Call, answer: http_codec.Response) -> bool:
        """Tells whether a server's answer is a failure to try again."""
        if answer.status < gate_module.FIRST_SERVER_ERROR:
            return False
        call.failure = answer
        return (
            call.idempotent
            and answer.stream is None
            and not self.balancer.fails_everywhere(call.service)
        )

    def _may_repeat(self, call: Call, result: Result) -> bool:
        if call.deadline - self.clock() < MIN_REMAINING_S:
            return False
        if result.kind is Kind.REFUSED:
            if result.refusal is not exchange.Refusal.SHED:
                call.refusals += 1
                return call.refusals <= MAX_REFUSALS
        elif not call.idempotent:
            return False
        if call.sent >= call.route.attempts:
            return False
        return self._budget(call.service).take()

    async def _attempt(self, call: Call, peer: peers.Peer) -> Result:
        peer.in_flight += 1
        attempt_id = f'{self.name}.{self.boot_id}-{next(self._numbers)}'
        try:
            response = await self._send(call, peer, attempt_id)
        except exceptions.ConnectFailedError as error:
            peer.report_unreachable(self.clock())
            return Result(
                kind=Kind.REFUSED,
                reason=f'unreachable: {error.args[0]}',
                refusal=exchange.Refusal.UNREACHABLE,
            )
        except exceptions.DeadlineExceededError:
            call.sent += 1
            call.maybe_run = True
            return Result(kind=Kind.TIMEOUT, reason='timeout')
        except (
            exceptions.OutcomeUnknownError,
            exceptions.MalformedRequestError,
        ) as error:
            if await self._is_fenced(call, peer, attempt_id):
                return Result(
                    kind=Kind.REFUSED,
                    reason=exchange.Refusal.FENCED.value,
                    refusal=exchange.Refusal.FENCED,
                )
            call.sent += 1
            call.maybe_run = True
            return Result(kind=Kind.UNKNOWN, reason=str(error.args[0]))
        finally:
            peer.in_flight -= 1
        return self._read(call, peer, response)

    async def _is_fenced(
        self, call: Call, peer: peers.Peer, attempt_id: str
    ) -> bool:
        """Tells whether an attempt was not run and never will be.

        A connection to another daemon may break before or after the server
        got the request; the daemon knows, and bars what has not arrived yet.
        """
        if call.idempotent or peer.member.name == self.name:
            return False
        request = http_codec.Request(
            method='POST',
            target=exchange.FENCE_PATH,
            headers=[
                (exchange.ATTEMPT, attempt_id.encode()),
                (exchange.BOOT, peer.member.boot_id.encode()),
            ],
        )
        deadline = min(call.deadline, self.clock() + FENCE_TIMEOUT_S)
        try:
            response = await self.pool.send(
                peer.member.address, request, deadline
            )
            result = exchange.decode_fenced(response)
        except exceptions.HemlockError as error:
            logger.info(
                'event=fence_failed request={} member={} problem={!r}',
                call.request_id,
                peer.member.name,
                str(error.args[0]),
            )
            return False
        logger.info(
            'event=request_fenced request={} member={} result={}',
            call.request_id,
            peer.member.name,
            result.value,
        )
        return result is ledger.FenceResult.NEVER_SEEN

    async def _send(
        self, call: Call, peer: peers.Peer, attempt_id: str
    ) -> http_codec.Response:
        server = peer.member.server_facts
        if peer.member.name == self.name:
            response = await self.gate.run(
                call.request,
                server_id=server.server_id,
                attempt_id=attempt_id,
                deadline=call.deadline,
                priority=call.priority,
                idempotent=call.idempotent,
                route=call.route.name,
                on_time_until=call.on_time_until,
            )
            peer.report_load(*self.gate.load)
            return response
        now = self.clock()
        left_ms = max(1, int((call.deadline - now) * 1000))
        on_time_ms = max(0, int((call.on_time_until - now) * 1000))
        headers = [
            item
            for item in call.request.headers
            if item[0] != platform_codec.TIME_LEFT
        ]
        headers += [
            (platform_codec.TIME_LEFT, b'%d' % left_ms),
            (exchange.SERVER, server.server_id.encode()),
            (exchange.ATTEMPT, attempt_id.encode()),
            (exchange.PRIORITY, b'%d' % call.priority),
            (exchange.ON_TIME, b'%d' % on_time_ms),
            (exchange.ROUTE, call.route.name.encode()),
            *self.sync.headers(),
        ]
        if call.idempotent:
            headers.append((exchange.IDEMPOTENT, b'1'))
        return await self.pool.send(
            peer.member.address,
            call.request.with_headers(headers),
            call.deadline,
            request_id=call.request_id,
        )

    def _read(
        self,
        call: Call,
        peer: peers.Peer,
        response: http_codec.Response,
    ) -> Result:
        """Tells what a daemon's answer says of the attempt."""
        load = exchange.decode_load(response.headers)
        if load is not None:
            peer.report_load(*load)
        versions = exchange.decode_versions(response.headers)
        if versions is not None:
            self.sync.heard(peer.member.address, versions)
        refusal = exchange.decode_refusal(response.headers)
        if refusal is not None:
            peer.report_refusal(refusal.closed, self.clock())
            if refusal is exchange.Refusal.SHED:
                call.sent += 1
            return Result(
                kind=Kind.REFUSED, reason=refusal.value, refusal=refusal
            )
        call.sent += 1
        call.maybe_run = True
        reason = http_codec.header(response.headers, exchange.UNKNOWN)
        if reason is not None:
            peer.report_result(failed=True, now=self.clock())
            kind = Kind.TIMEOUT if reason == 'timeout' else Kind.UNKNOWN
            return Result(kind=kind, reason=reason)
        failed = response.status >= gate_module.FIRST_SERVER_ERROR
        peer.report_result(failed=failed, now=self.clock())
        response.headers = http_codec.without_internal(response.headers)
        if call.route.selector:
            response.headers.append((VERSION, call.version.encode()))
        return Result(
            kind=Kind.ANSWER,
            reason=f'status {response.status}',
            answer=response,
        )

    def _give_up(self, call: Call) -> http_codec.Response:
        """Makes the final answer of a request that no server answered."""
        if call.failure is not None:
            return call.failure
        left_s = call.deadline - self.clock()
        if not call.maybe_run:
            return _refusal(left_s)
        late = left_s < MIN_REMAINING_S or (
            call.last is not None and call.last.kind is Kind.TIMEOUT
        )
        return http_codec.Response(
            status=504 if late else 502, headers=[(OUTCOME, UNKNOWN)]
        )

    def _budget(self, service: str) -> retries.RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = retries.RetryBudget()
            self._budget_by_service[service] = budget
        daemons = max(1, len(self.directory.member_by_name))
        budget.share = self.retry_ratio * RETRY_BUDGET_PART
        budget.reserve = self.retry_slack * RETRY_BUDGET_PART / daemons
        return budget

    def _log_call(self, call: Call, status: int, outcome: str):
        self._count(call, status)
        now = self.clock()
        logger.info(
            'event=request_finished request={} route={} nested={} service={} '
            'status={} outcome={!r} tried={} sent={} refused={} took_ms={:.0f} '
            'left_ms={:.0f} configuration={} table={}',
            call.request_id,
            call.route.name,
            call.parent_rank is not None,
            call.service,
            status,
            outcome,
            ','.join(call.tried) or '-',
            call.sent,
            call.refusals,
            (now - call.started) * 1000,
            (call.deadline - now) * 1000,
            self.directory.configuration_version,
            self.directory.table_revision,
        )

    def _log_unrouted(
        self, request_id: str, status: int, outcome: str, started: float
    ):
        self.on_finished({'outcome': outcome}, self.clock() - started)
        logger.info(
            'event=request_finished request={} route=- status={} outcome={!r} '
            'configuration={}',
            request_id,
            status,
            outcome,
            self.directory.configuration_version,
        )

    def _count(self, call: Call, status: int):
        """Counts a request by labels of which there are few."""
        last = call.last
        if not status:
            outcome = 'caller-gone'
        elif last is None:
            outcome = 'no-server'
        elif last.answer is not None:
            outcome = f'{status // 100}xx'
        elif last.refusal is not None:
            outcome = last.refusal.value
        else:
            outcome = last.kind.value
        labels = {
            'outcome': outcome,
            'selector': call.route.selector,
            'version': call.version,
        }
        self.on_finished(labels, self.clock() - call.started)


def _parent_id(request_id: str) -> str:
    """Returns the id of the request that a server's own call belongs to.

    A server names its calls by the id of the request that it runs, a dot and
    an id of their own.
    """
    return request_id.partition('.')[0]


def _refusal(left_s: float) -> http_codec.Response:
    """Makes the answer to a request that was not run."""
    wait_s = min(RETRY_AFTER_S, max(0.0, left_s) * RETRY_AFTER_PART)
    return http_codec.Response(
        status=503,
        headers=[
            (platform_codec.RETRY_AFTER, b'%.3f' % wait_s),
            (OUTCOME, NOT_RUN),
        ],
    )
