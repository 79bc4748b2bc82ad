"""Sends a request to one server, through the daemon beside it."""

from collections.abc import Callable
import itertools

import attrs
from loguru import logger

from hemlockgrade import admission as admission_module
from hemlockgrade import call as call_module
from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import ledger
from hemlockgrade import peer_protocol
from hemlockgrade import peers
from hemlockgrade import retries
from hemlockgrade import state_sync
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# Limit of a fence, in seconds: a connection and an answer within a region.
FENCE_TIMEOUT_S = 0.5
# Tells the caller of a selector's route which version answered.
VERSION_HEADER = b'x-hemlock-version'


@attrs.define(eq=False, kw_only=True)
class Sender:
    """Makes the attempts of the requests of this host.

    Attributes:
        host_name: Name of this host.
        boot_id: Identifier of this process.
        admission: Admission to the server on this host.
        pool: Connections to other daemons.
        clock: Monotonic time in seconds.
        sync: Learns from answers what peers know.
    """

    host_name: str
    boot_id: str
    admission: admission_module.AdmissionController
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    sync: state_sync.StateSync
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    async def send(
        self, call: call_module.Call, peer: peers.Peer
    ) -> call_module.AttemptResult:
        """Sends a request to a server once.

        Args:
            call: The request.
            peer: The server, with the daemon beside it.

        Returns:
            How the attempt ended, after a fence where that tells more.
        """
        attempt_id = f'{self.host_name}.{self.boot_id}-{next(self._numbers)}'
        result = await self._attempt(call, peer, attempt_id)
        if result.failure is not retries.Failure.NO_ANSWER or call.idempotent:
            return result
        if await self._is_fenced(call, peer, attempt_id):
            return _refused(peer_protocol.Refusal.FENCED)
        return result

    async def _attempt(
        self, call: call_module.Call, peer: peers.Peer, attempt_id: str
    ) -> call_module.AttemptResult:
        peer.in_flight += 1
        try:
            response = await self._send(call, peer, attempt_id)
        except exceptions.ConnectFailedError as error:
            peer.record_connect_failure(self.clock())
            return _refused(
                peer_protocol.Refusal.UNREACHABLE,
                f'unreachable: {error.args[0]}',
            )
        except exceptions.DeadlineExceededError:
            return call_module.AttemptResult(
                reason='timeout', failure=retries.Failure.TIMEOUT
            )
        except (
            exceptions.OutcomeUnknownError,
            exceptions.MalformedRequestError,
        ) as error:
            return call_module.AttemptResult(
                reason=str(error.args[0]), failure=retries.Failure.NO_ANSWER
            )
        finally:
            peer.in_flight -= 1
        return self._read(call, peer, response)

    async def _is_fenced(
        self, call: call_module.Call, peer: peers.Peer, attempt_id: str
    ) -> bool:
        """Tells whether an attempt was not run and never will be.

        A connection to another daemon may break before or after the server
        got the request; the daemon knows, and bars what has not arrived yet.
        """
        request = http_codec.Request(
            method='POST',
            target=peer_protocol.FENCE_PATH,
            headers=[
                (peer_protocol.ATTEMPT_HEADER, attempt_id.encode()),
                (peer_protocol.BOOT_ID_HEADER, peer.member.boot_id.encode()),
            ],
        )
        deadline = min(call.deadline, self.clock() + FENCE_TIMEOUT_S)
        try:
            response = await self.pool.send(
                peer.member.address, request, deadline
            )
            result = peer_protocol.decode_fence_response(response)
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
        self, call: call_module.Call, peer: peers.Peer, attempt_id: str
    ) -> http_codec.Response:
        server = peer.member.required_server
        if peer.member.name == self.host_name:
            response = await self.admission.run(
                call.request,
                server_id=server.server_id,
                attempt_id=attempt_id,
                deadline=call.deadline,
                priority=call.priority,
                idempotent=call.idempotent,
                route=call.route.name,
                on_time_until=call.on_time_until,
            )
            peer.record_load(*self.admission.load)
            return response
        now = self.clock()
        left_ms = max(1, int((call.deadline - now) * 1000))
        on_time_ms = max(0, int((call.on_time_until - now) * 1000))
        headers = [
            item
            for item in call.request.headers
            if item[0] != platform_codec.TIME_LEFT_MS_HEADER
        ]
        headers += [
            (platform_codec.TIME_LEFT_MS_HEADER, b'%d' % left_ms),
            (peer_protocol.SERVER_HEADER, server.server_id.encode()),
            (peer_protocol.ATTEMPT_HEADER, attempt_id.encode()),
            (peer_protocol.PRIORITY_HEADER, b'%d' % call.priority),
            (peer_protocol.ON_TIME_HEADER, b'%d' % on_time_ms),
            (peer_protocol.ROUTE_HEADER, call.route.name.encode()),
            *self.sync.version_headers(),
        ]
        if call.idempotent:
            headers.append((peer_protocol.IDEMPOTENT_HEADER, b'1'))
        return await self.pool.send(
            peer.member.address,
            call.request.with_headers(headers),
            call.deadline,
            request_id=call.request_id,
        )

    def _read(
        self,
        call: call_module.Call,
        peer: peers.Peer,
        response: http_codec.Response,
    ) -> call_module.AttemptResult:
        """Tells what a daemon's answer says of the attempt."""
        load = peer_protocol.decode_load(response.headers)
        if load is not None:
            peer.record_load(*load)
        versions = peer_protocol.decode_versions(response.headers)
        if versions is not None:
            self.sync.handle_versions(peer.member.address, versions)
        refusal = peer_protocol.decode_refusal(response.headers)
        if refusal is not None:
            peer.record_refusal(refusal.server_unavailable, self.clock())
            return _refused(refusal)
        reason = http_codec.header(
            response.headers, peer_protocol.UNKNOWN_HEADER
        )
        if reason is not None:
            peer.record_response(failed=True, now=self.clock())
            return call_module.AttemptResult(
                reason=reason,
                failure=retries.Failure.TIMEOUT
                if reason == 'timeout'
                else retries.Failure.UNKNOWN,
            )
        failed = response.status >= admission_module.MIN_SERVER_ERROR_STATUS
        peer.record_response(failed=failed, now=self.clock())
        response.headers = http_codec.without_internal_headers(response.headers)
        if call.route.selector:
            response.headers.append((VERSION_HEADER, call.version.encode()))
        return call_module.AttemptResult(
            reason=f'status {response.status}',
            failure=retries.Failure.FAILED if failed else None,
            response=response,
        )


def _refused(
    refusal: peer_protocol.Refusal, reason: str = ''
) -> call_module.AttemptResult:
    shed = refusal is peer_protocol.Refusal.SHED
    return call_module.AttemptResult(
        reason=reason or refusal.value,
        failure=retries.Failure.SHED if shed else retries.Failure.NOT_RUN,
        refusal=refusal,
    )
