"""Address at which the server beside this daemon reports.

A server of the platform sends heartbeats in the platform's form; any other
target announces itself once a second in the product's own.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import time
import urllib.parse

import attrs
import cattrs
from loguru import logger

from hemlockgrade import addresses
from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade import registrar as registrar_module
from hemlockgrade import serialization
from hemlockgrade.platform import codec as platform_codec

# A leaving server's word is stored before it is acknowledged, for as long as
# this, in seconds; the server gives up after one second.
STORE_WAIT_S = 0.5
ANNOUNCEMENTS_PATH = '/v1/announcements'


@attrs.frozen(kw_only=True)
class Announcement:
    """What a target says of itself.

    Attributes:
        target_id: Unique among the targets.
        service: Service that it runs.
        version: Version of the service.
        address: `host:port` at which it takes requests.
        slots: Requests that it runs at once.
        keep_alive_s: Time for which it keeps an idle connection open.
        instance_id: Changes when its process restarts; may be empty.
        leaving: True if it is to get no new work.
    """

    target_id: str = attrs.field(validator=attrs.validators.min_len(1))
    service: str = ''
    version: str = ''
    address: str = ''
    slots: int = 1
    keep_alive_s: float = 5.0
    instance_id: str = ''
    leaving: bool = False


@attrs.define(eq=False, kw_only=True)
class HeartbeatApi:
    """Takes heartbeats and the word that a server leaves.

    Attributes:
        registrar: Knows the local server.
        zone: Failure domain of the host.
        wait_stored: Waits until the store holds the own entry as it is.
    """

    registrar: registrar_module.Registrar
    zone: str
    wait_stored: Callable[[float], Awaitable[bool]]
    _instance_id: str = ''

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Answers a call of the server."""
        if request.path == ANNOUNCEMENTS_PATH:
            return await self._announced(request)
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
        heard = self.registrar.apply_heartbeat(server)
        if heard is not registrar_module.HeartbeatResult.APPLIED:
            logger.info(
                'event=heartbeat_ignored server={} reason={} sequence={} '
                'born_ms={} address={}',
                server_id,
                heard.value,
                server.sequence,
                server.born_ms,
                server.address,
            )
            foreign = heard is registrar_module.HeartbeatResult.OTHER_SERVER
            return http_codec.Response(status=400 if foreign else 200)
        if server.state is not model.ServerState.READY and (
            before is None or before.state is model.ServerState.READY
        ):
            await self._store_first(server_id)
        return _acknowledged()

    async def _leave(self, server_id: str) -> http_codec.Response:
        if self.registrar.deregister(server_id):
            await self._store_first(server_id)
        return _acknowledged()

    async def _announced(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        if request.method != 'POST':
            return http_codec.Response(status=405)
        try:
            said = serialization.from_json(request.body, Announcement)
            if not said.leaving:
                _check(said)
        except cattrs.BaseValidationError as error:
            return _refused(said='; '.join(serialization.field_errors(error)))
        except ValueError as error:
            return _refused(said=str(error))
        if said.leaving:
            return await self._leave(said.target_id)
        self.registrar.apply_heartbeat(self._server_of(said))
        self._instance_id = said.instance_id
        return _acknowledged()

    def _server_of(self, said: Announcement) -> model.Server:
        """Orders announcements, which carry no sequence of their own."""
        known = self.registrar.server
        if (
            known is not None
            and known.server_id == said.target_id
            and known.state is model.ServerState.READY
            and self._instance_id in ('', said.instance_id)
        ):
            sequence, born_ms = known.sequence + 1, known.born_ms
        else:
            sequence, born_ms = 1, int(time.time() * 1000)
        return model.Server(
            server_id=said.target_id,
            service=said.service,
            address=said.address,
            zone=self.zone,
            version=said.version,
            slots=said.slots,
            state=model.ServerState.READY,
            sequence=sequence,
            born_ms=born_ms,
        )

    async def _store_first(self, server_id: str):
        stored = await self.wait_stored(STORE_WAIT_S)
        logger.info(
            'event=leave_acknowledged server={} stored={}', server_id, stored
        )


def _check(said: Announcement) -> None:
    for name in ('service', 'version'):
        if not getattr(said, name):
            raise ValueError(f'{name} is empty; name the {name}')
    addresses.split(said.address)
    if said.slots < 1:
        raise ValueError('slots is below 1; give the requests run at once')


def _refused(said: str) -> http_codec.Response:
    logger.warning('event=announcement_refused problem={!r}', said)
    return http_codec.Response(
        status=400,
        headers=[(b'content-type', b'application/json')],
        body=serialization.to_json({'error': said}),
    )


def _acknowledged() -> http_codec.Response:
    return http_codec.Response(
        status=200,
        headers=[(b'content-type', b'application/json')],
        body=b'{}',
    )
