"""HTTP API of a daemon for its peers."""

from collections.abc import Callable
import math
import urllib.parse

import attrs
import orjson

from hemlockgrade import admission as admission_module
from hemlockgrade import evidence as evidence_module
from hemlockgrade import http_codec
from hemlockgrade import in_flight as in_flight_module
from hemlockgrade import peer_protocol
from hemlockgrade import state_sync


@attrs.define(eq=False, kw_only=True)
class PeerApi:
    """Handles peers' requests to the local server and to this daemon.

    Requests to this daemon ask for its versions, its state or the response
    statistics of the local server, or fence an attempt.

    Attributes:
        admission: Admission to the local server.
        sync: Returns the versions and the state of this daemon, and handles
            the versions of peers.
        evidence: Response statistics of the local server.
        in_flight: Counts requests until their response is complete.
        handle_usage: Handles the usage of caps that a peer tells.
    """

    admission: admission_module.AdmissionController
    sync: state_sync.StateSync
    evidence: evidence_module.ServerEvidence
    in_flight: in_flight_module.InFlightCounter
    handle_usage: Callable[[bytes], http_codec.Response] = lambda body: (
        http_codec.Response(status=404)
    )

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Handles a request of a peer.

        A forwarded request goes to the local server whatever its path is: the
        path was chosen by a caller.
        """
        self.sync.handle_headers(request.headers)
        if not peer_protocol.is_forwarded(request):
            response = self._handle_own(request)
            if response is not None:
                return response
        return await self._handle_forwarded(request)

    def _handle_own(
        self, request: http_codec.Request
    ) -> http_codec.Response | None:
        """Handles a request that a peer sends for itself.

        Returns:
            The response; None if the peer protocol has no such path.
        """
        if request.path == peer_protocol.VERSIONS_PATH:
            return http_codec.Response(
                status=200,
                headers=[
                    *self.sync.version_headers(),
                    *self.sync.confirmation_headers(),
                ],
            )
        if request.path == peer_protocol.STATE_PATH:
            known = peer_protocol.decode_versions(request.headers)
            part = request.target.partition('?')[2]
            return http_codec.Response(
                status=200, body=self.sync.encode_state(known, part)
            )
        if request.path == peer_protocol.EVIDENCE_PATH:
            return self._encode_evidence(request)
        if request.path == peer_protocol.FENCE_PATH:
            return self.admission.fence(request.headers)
        if request.path == peer_protocol.USAGE_PATH:
            return self.handle_usage(request.body)
        return None

    async def _handle_forwarded(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        """Runs a request at the local server, or refuses it."""
        response = await self.in_flight.track(
            admission_module.handle_peer_request(self.admission, request)
        )
        response.headers.append(
            (
                peer_protocol.LOAD_HEADER,
                peer_protocol.encode_load(*self.admission.load),
            )
        )
        link_wait_s = self.admission.link_load.wait_s(self.admission.clock())
        if link_wait_s >= 0.001:
            response.headers.append(
                (peer_protocol.LINK_WAIT_HEADER, b'%d' % (link_wait_s * 1000))
            )
        limit = self.admission.limit.max_requests_per_s
        if math.isfinite(limit):
            response.headers.append(
                (peer_protocol.LIMIT_HEADER, peer_protocol.encode_limit(limit))
            )
        response.headers.append(
            (peer_protocol.VERSIONS_HEADER, self.sync.versions().encode())
        )
        return response

    def _encode_evidence(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        # The query of the request is the name of the service.
        service = urllib.parse.unquote(request.target.partition('?')[2])
        data = self.evidence.encode(service)
        data['busy'], _ = self.admission.load
        data['table'] = self.sync.versions().table_revision
        return http_codec.Response(status=200, body=orjson.dumps(data))
