"""What a daemon answers to the others."""

import attrs
import orjson

from hemlockgrade import evidence as evidence_module
from hemlockgrade import exchange
from hemlockgrade import gate as gate_module
from hemlockgrade import http_codec
from hemlockgrade import in_flight as in_flight_module
from hemlockgrade import state_sync


@attrs.define(eq=False, kw_only=True)
class PeerApi:
    """Takes requests for the local server, fences, and questions.

    Attributes:
        gate: Admission to the server on this host.
        sync: Knows the versions of this daemon and learns those of others.
        evidence: Sums over the answers of the local server.
        in_flight: Counts requests until they are answered.
    """

    gate: gate_module.Gate
    sync: state_sync.StateSync
    evidence: evidence_module.ServerEvidence
    in_flight: in_flight_module.InFlight

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Answers another daemon."""
        self.sync.handle_headers(request.headers)
        if request.path == exchange.VERSIONS_PATH:
            return http_codec.Response(
                status=200, headers=self.sync.version_headers()
            )
        if request.path == exchange.STATE_PATH:
            return http_codec.Response(
                status=200, body=self.sync.encode_state()
            )
        if request.path == exchange.EVIDENCE_PATH:
            return self._encode_evidence(request)
        if request.path == exchange.FENCE_PATH:
            return self.gate.fence(request.headers)
        response = await self.in_flight.track(
            gate_module.handle_peer(self.gate, request)
        )
        response.headers.append(
            (exchange.LOAD, exchange.encode_load(*self.gate.load))
        )
        response.headers.append(
            (exchange.VERSIONS, self.sync.versions().encode())
        )
        return response

    def _encode_evidence(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        service = request.target.partition('?')[2]
        data = self.evidence.encode(service)
        data['busy'], _ = self.gate.load
        data['table'] = self.sync.versions().table
        return http_codec.Response(status=200, body=orjson.dumps(data))
