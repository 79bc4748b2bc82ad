"""Address at which the server beside this daemon reports."""

from collections.abc import Awaitable
from collections.abc import Callable
import urllib.parse

import attrs
from loguru import logger

from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade.mesh import model
from hemlockgrade.mesh import registrar as registrar_module
from hemlockgrade.platform import codec as platform_codec

# A leaving server's word is stored before it is acknowledged, for as long as
# this, in seconds; the server gives up after one second.
STORE_WAIT_S = 0.5


@attrs.define(eq=False, kw_only=True)
class HeartbeatApi:
    """Takes heartbeats and the word that a server leaves.

    Attributes:
        registrar: Knows the local server.
        wait_stored: Waits until the store holds the own entry as it is.
    """

    registrar: registrar_module.Registrar
    wait_stored: Callable[[float], Awaitable[bool]]

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Answers a call of the server."""
        prefix = platform_codec.HEARTBEAT_PREFIX
        if not request.path.startswith(prefix):
            return http_codec.Response(status=404)
        server_id = urllib.parse.unquote(request.path[len(prefix) :])
        if request.method == 'PUT':
            return await self._beat(server_id, request.body)
        if request.method == 'DELETE':
            return await self._leave(server_id)
        return http_codec.Response(status=405)

    async def _beat(self, server_id: str, body: bytes) -> http_codec.Response:
        try:
            server = platform_codec.decode_heartbeat(server_id, body)
        except exceptions.InvalidFieldError as error:
            logger.warning(
                'event=heartbeat_refused server={} problem={!r}',
                server_id,
                str(error),
            )
            return http_codec.Response(status=400)
        before = self.registrar.server
        heard = self.registrar.hear(server)
        if heard is not registrar_module.Heard.TAKEN:
            logger.info(
                'event=heartbeat_ignored server={} reason={} sequence={} '
                'born_ms={} address={}',
                server_id,
                heard.value,
                server.sequence,
                server.born_ms,
                server.address,
            )
            foreign = heard is registrar_module.Heard.FOREIGN
            return http_codec.Response(status=400 if foreign else 200)
        if server.state is not model.ServerState.READY and (
            before is None or before.state is model.ServerState.READY
        ):
            await self._store_first(server_id)
        return _acknowledged()

    async def _leave(self, server_id: str) -> http_codec.Response:
        if self.registrar.leave(server_id):
            await self._store_first(server_id)
        return _acknowledged()

    async def _store_first(self, server_id: str):
        stored = await self.wait_stored(STORE_WAIT_S)
        logger.info(
            'event=leave_acknowledged server={} stored={}', server_id, stored
        )


def _acknowledged() -> http_codec.Response:
    return http_codec.Response(
        status=200,
        headers=[(b'content-type', b'application/json')],
        body=b'{}',
    )
