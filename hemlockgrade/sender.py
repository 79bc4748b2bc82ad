"""Sends a request to one server, through the daemon on its host."""

from collections.abc import Callable
import itertools
import math

import attrs
from loguru import logger

from hemlockgrade import admission as admission_module
from hemlockgrade import call as call_module
from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import ledger
from hemlockgrade import link_load
from hemlockgrade import peer_protocol
from hemlockgrade import peers
from hemlockgrade import retries
from hemlockgrade import state_sync
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# Timeout of a fence request, in seconds; it allows for opening a connection and
# for a response from another failure domain.
FENCE_TIMEOUT_S = 0.5
# Header that tells the caller which version sent the response; it is set on
# routes that a selector defines.
VERSION_HEADER = b'x-hemlock-version'


@attrs.define(eq=False, kw_only=True)
class Sender:
    """Sends the attempts of the requests of this host.

    Attributes:
        host_name: Name of this host, which is also the name of its member.
        boot_id: Identifier of this daemon process.
        admission: Admission to the local server.
        pool: Connections to peers.
        clock: Returns the monotonic time in seconds.
        sync: Provides the versions of this daemon, which are sent to peers,
            and processes those in the responses of peers.
        sizes: Mean sizes of the response bodies of each route.
    """

    host_name: str
    boot_id: str
    admission: admission_module.AdmissionController
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    sync: state_sync.StateSync
    sizes: link_load.BodySizes = attrs.field(factory=link_load.BodySizes)
    _attempt_numbers: itertools.count = attrs.field(factory=itertools.count)

    async def send(
        self, call: call_module.Call, peer: peers.Peer
    ) -> call_module.AttemptResult:
        """Sends a request to a server once.

        If a request that is not idempotent gets no response, the peer is asked
        to fence the attempt. If the peer has not seen the attempt, the request
        was not run and may be sent to another server.

        Args:
            call: The request.
            peer: The daemon on the host of the chosen server.

        Returns:
            The result of the attempt.
        """
        attempt_id = (
            f'{self.host_name}.{self.boot_id}-{next(self._attempt_numbers)}'
        )
        # The member is replaced when the peer's daemon has restarted, and the
        # new process does not know what the earlier one sent to the server.
        boot_id = peer.member.boot_id
        result = await self._attempt(call, peer, attempt_id)
        if result.failure is not retries.Failure.NO_ANSWER or call.idempotent:
            return result
        if await self._fence_attempt(call, peer, attempt_id, boot_id):
            return _refused_result(peer_protocol.Refusal.FENCED)
        return result

    async def _attempt(
        self, call: call_module.Call, peer: peers.Peer, attempt_id: str
    ) -> call_module.AttemptResult:
        peer.in_flight += 1
        left_s = call.deadline - self.clock()
        try:
            response = await self._send(call, peer, attempt_id)
        except exceptions.ConnectFailedError as error:
            peer.record_connect_failure(self.clock())
            return _refused_result(
                peer_protocol.Refusal.UNREACHABLE,
                f'unreachable: {error.args[0]}',
            )
        except exceptions.DeadlineExceededError:
            # With less time, the peer does not send the attempt to its server.
            if left_s > admission_module.RESPONSE_MARGIN_S:
                peer.record_timeout(self.clock())
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
        return self._process_response(call, peer, response)

    async def _fence_attempt(
        self,
        call: call_module.Call,
        peer: peers.Peer,
        attempt_id: str,
        boot_id: str,
    ) -> bool:
        """Fences an attempt and returns whether it was not run.

        The connection to a peer may have failed before or after the server
        received the request. The ledger of the peer shows which is the case.
        After the fence the peer refuses the attempt if it arrives late.

        Args:
            call: The request.
            peer: The daemon to which the attempt was sent.
            attempt_id: Identifier of the attempt.
            boot_id: Boot identifier of that daemon when the attempt was sent.

        Returns:
            False if the attempt may have run or the fence failed.
        """
        request = http_codec.Request(
            method='POST',
            target=peer_protocol.FENCE_PATH,
            headers=[
                (peer_protocol.ATTEMPT_HEADER, attempt_id.encode()),
                (peer_protocol.BOOT_ID_HEADER, boot_id.encode()),
            ],
        )
        deadline = min(call.deadline, self.clock() + FENCE_TIMEOUT_S)
        try:
            response = await self.pool.fetch(
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
                is_repeat=call.is_repeat,
                is_nested=call.parent is not None,
                max_wait_s=call.max_wait_s,
            )
            peer.record_load(*self.admission.load, self.clock())
            peer.max_requests_per_s = self.admission.limit.max_requests_per_s
            return response
        headers = [
            item
            for item in call.request.headers
            if item[0] != platform_codec.TIME_LEFT_MS_HEADER
        ]
        headers += [
            (
                peer_protocol.SERVER_HEADER,
                peer_protocol.encode_name(server.server_id),
            ),
            (peer_protocol.ATTEMPT_HEADER, attempt_id.encode()),
            (peer_protocol.PRIORITY_HEADER, b'%d' % call.priority),
            (
                peer_protocol.ROUTE_HEADER,
                peer_protocol.encode_name(call.route.name),
            ),
            *self.sync.version_headers(),
        ]
        if call.idempotent:
            headers.append((peer_protocol.IDEMPOTENT_HEADER, b'1'))
        if math.isfinite(peer.max_requests_per_s):
            headers.append(
                (
                    peer_protocol.LIMIT_HEADER,
                    peer_protocol.encode_limit(peer.max_requests_per_s),
                )
            )
        if call.is_repeat:
            headers.append((peer_protocol.REPEAT_HEADER, b'1'))
        if call.parent is not None:
            headers.append((peer_protocol.NESTED_HEADER, b'1'))
        if math.isfinite(call.max_wait_s):
            max_wait_ms = int(call.max_wait_s * 1000)
            headers.append((peer_protocol.MAX_WAIT_HEADER, b'%d' % max_wait_ms))
        response = await self.pool.send(
            peer.member.address,
            call.request.with_headers(headers),
            call.deadline,
            request_id=call.request_id,
            time_by_header={
                platform_codec.TIME_LEFT_MS_HEADER: call.deadline,
                peer_protocol.ON_TIME_HEADER: call.on_time_until,
            },
        )
        if not peer_protocol.is_answer_to_forwarded(response):
            _reject_answer(call, peer, response)
        return response

    def _process_response(
        self,
        call: call_module.Call,
        peer: peers.Peer,
        response: http_codec.Response,
    ) -> call_module.AttemptResult:
        """Processes the response of a daemon to an attempt.

        Updates the load, the failures and the cooldown of the peer, and passes
        its versions to `sync`.

        Returns:
            The result of the attempt.
        """
        load = peer_protocol.decode_load(response.headers)
        if load is not None:
            peer.record_load(*load, self.clock())
            peer.link_free_at = self.clock() + peer_protocol.decode_link_wait_s(
                response.headers
            )
            peer.max_requests_per_s = peer_protocol.decode_limit(
                response.headers
            )
        versions = peer_protocol.decode_versions(response.headers)
        if versions is not None:
            self.sync.handle_versions(peer.member.address, versions)
        refusal = peer_protocol.decode_refusal(response.headers)
        if refusal is not None:
            if refusal is peer_protocol.Refusal.LIMITED:
                peer.limited_until = self.clock() + peer_protocol.decode_turn_s(
                    response.headers
                )
            elif refusal is not peer_protocol.Refusal.BUSY:
                peer.record_refusal(refusal.server_unavailable, self.clock())
            return _refused_result(refusal)
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
        if not failed:
            self.sizes.record(call.route.name, response.body_bytes)
        peer.record_response(failed=failed, now=self.clock())
        if platform_codec.decode_server_notice(response.headers).leaving:
            peer.server_leaves = True
        nested_refused = failed and (
            http_codec.header(
                response.headers, peer_protocol.NESTED_REFUSED_HEADER
            )
            is not None
        )
        response.headers = http_codec.without_internal_headers(response.headers)
        if call.route.selector:
            response.headers.append((VERSION_HEADER, call.version.encode()))
        return call_module.AttemptResult(
            reason=f'status {response.status}'
            + (' after a refused call' if nested_refused else ''),
            failure=retries.Failure.FAILED if failed else None,
            response=response,
            nested_refused=nested_refused,
        )


def _reject_answer(
    call: call_module.Call, peer: peers.Peer, response: http_codec.Response
):
    """Rejects what a daemon sent in place of its server's response.

    Raises:
        exceptions.OutcomeUnknownError: Always.
    """
    if response.stream is not None:
        response.stream.abort()
    logger.warning(
        'event=answer_of_daemon_rejected request={} member={} status={}',
        call.request_id,
        peer.member.name,
        response.status,
    )
    raise exceptions.OutcomeUnknownError(
        f'status {response.status} without the load of a server',
        remedy='update the daemon that sent it',
    )


def _refused_result(
    refusal: peer_protocol.Refusal, reason: str = ''
) -> call_module.AttemptResult:
    return call_module.AttemptResult(
        reason=reason or refusal.value,
        failure=retries.Failure.SHED
        if refusal.reached_server
        else retries.Failure.NOT_RUN,
        refusal=refusal,
    )
