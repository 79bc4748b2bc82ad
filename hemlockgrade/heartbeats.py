"""HTTP API for the heartbeats and announcements of the local server.

A server of the platform sends heartbeats in the platform's format. Any other
target sends an announcement in the format of this project once a second.
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
from hemlockgrade import identifiers
from hemlockgrade import model
from hemlockgrade import object_checks
from hemlockgrade import registrar as registrar_module
from hemlockgrade import serialization
from hemlockgrade.platform import codec as platform_codec

# Longest wait for the store before a deregistration or the start of draining
# is acknowledged, in seconds. It is shorter than the one second after which the
# server stops waiting for the acknowledgement.
STORE_WAIT_S = 0.5
ANNOUNCEMENTS_PATH = '/v1/announcements'


@attrs.frozen(kw_only=True)
class Announcement:
    """Announcement of a target.

    Attributes:
        target_id: Identifier of the target, unique among the targets.
        service: Service that the target runs.
        version: Version of the service.
        address: `host:port` at which the target takes requests.
        slots: Number of requests that the target may run at once.
        keep_alive_s: Time for which the target keeps an idle connection open,
            in seconds.
        instance_id: Identifier of the target's process, which changes with
            each restart; may be empty.
        leaving: True if the target deregisters and takes no new requests.
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
    """Handles heartbeats, announcements and deregistrations.

    Attributes:
        registrar: Keeps the state of the local server.
        zone: Failure domain of the host.
        wait_stored: Waits until the store has the current state of this
            daemon's member, for at most the given number of seconds; returns
            False if the wait timed out.
    """

    registrar: registrar_module.Registrar
    zone: str
    wait_stored: Callable[[float], Awaitable[bool]]
    _last_instance_id: str = ''

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Handles a request of the local server."""
        if request.path == ANNOUNCEMENTS_PATH:
            return await self._handle_announcement(request)
        prefix = platform_codec.HEARTBEAT_PREFIX
        if not request.path.startswith(prefix):
            return http_codec.Response(status=404)
        server_id = urllib.parse.unquote(request.path[len(prefix) :])
        if request.method == 'PUT':
            return await self._handle_heartbeat(server_id, request.body)
        if request.method == 'DELETE':
            return await self._deregister(server_id)
        return http_codec.Response(status=405)

    async def _handle_heartbeat(
        self, server_id: str, body: bytes
    ) -> http_codec.Response:
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
        result = self.registrar.apply_heartbeat(server)
        if result is not registrar_module.HeartbeatResult.APPLIED:
            logger.info(
                'event=heartbeat_ignored server={} reason={} sequence={} '
                'born_ms={} address={}',
                server_id,
                result.value,
                server.sequence,
                server.born_ms,
                server.address,
            )
            refused = result is registrar_module.HeartbeatResult.OTHER_SERVER
            return http_codec.Response(status=400 if refused else 200)
        if server.state is not model.ServerState.READY and (
            before is None or before.state is model.ServerState.READY
        ):
            await self._wait_until_stored(server_id)
        return _acknowledgement()

    async def _deregister(self, server_id: str) -> http_codec.Response:
        if self.registrar.deregister(server_id):
            await self._wait_until_stored(server_id)
        return _acknowledgement()

    async def _handle_announcement(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        if request.method != 'POST':
            return http_codec.Response(status=405)
        try:
            announcement = serialization.from_json(request.body, Announcement)
            if not announcement.leaving:
                _check_announcement(announcement)
        except cattrs.BaseValidationError as error:
            return _refusal(
                problem='; '.join(serialization.field_errors(error))
            )
        except ValueError as error:
            return _refusal(problem=str(error))
        if announcement.leaving:
            return await self._deregister(announcement.target_id)
        self.registrar.apply_heartbeat(self._to_server(announcement))
        self._last_instance_id = announcement.instance_id
        return _acknowledgement()

    def _to_server(self, announcement: Announcement) -> model.Server:
        """Converts an announcement to a heartbeat of a server.

        Announcements have no sequence and no start time, so both are assigned
        here: the next sequence of the same incarnation, or a new incarnation.
        """
        last = self.registrar.server
        if (
            last is not None
            and last.server_id == announcement.target_id
            and last.state is model.ServerState.READY
            and self._last_instance_id in ('', announcement.instance_id)
        ):
            sequence, born_ms = last.sequence + 1, last.born_ms
        else:
            sequence, born_ms = 1, int(time.time() * 1000)
        return model.Server(
            server_id=announcement.target_id,
            service=announcement.service,
            address=announcement.address,
            zone=self.zone,
            version=announcement.version,
            slots=announcement.slots,
            state=model.ServerState.READY,
            sequence=sequence,
            born_ms=born_ms,
        )

    async def _wait_until_stored(self, server_id: str):
        """Waits until the store has the state of a draining or gone server.

        Afterwards the heartbeat or deregistration is acknowledged, even if the
        store did not respond in time.
        """
        stored = await self.wait_stored(STORE_WAIT_S)
        logger.info(
            'event=leave_acknowledged server={} stored={}', server_id, stored
        )


def _check_announcement(announcement: Announcement) -> None:
    for name in ('target_id', 'service', 'version'):
        if not getattr(announcement, name):
            raise ValueError(f'{name} is empty; set the {name} of the target')
        if not identifiers.is_identifier(getattr(announcement, name)):
            raise ValueError(
                f'{name} is not printable or longer than '
                f'{identifiers.MAX_LENGTH} characters; change it'
            )
    addresses.check_ip(announcement.address)
    if not 1 <= announcement.slots <= object_checks.MAX_INTEGER:
        raise ValueError(
            'slots is out of range; set the number of requests that the target '
            'may run at once, at least 1'
        )


def _refusal(problem: str) -> http_codec.Response:
    logger.warning('event=announcement_refused problem={!r}', problem)
    return http_codec.Response(
        status=400,
        headers=[(b'content-type', b'application/json')],
        body=serialization.to_json({'error': problem}),
    )


def _acknowledgement() -> http_codec.Response:
    return http_codec.Response(
        status=200,
        headers=[(b'content-type', b'application/json')],
        body=b'{}',
    )
