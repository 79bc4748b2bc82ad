"""Checks, after a restart of the daemon, that the stored server still runs."""

import asyncio
from collections.abc import Callable

import attrs
from loguru import logger

from hemlockgrade import directory as directory_module
from hemlockgrade import exceptions
from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade import registrar as registrar_module
from hemlockgrade import upstream
from hemlockgrade.platform import codec as platform_codec

# Largest number of checks after a trigger, and delay between two of them, in
# seconds. A server without a free slot refuses the check like a request. The
# next heartbeat of the server arrives soon after the last check.
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.25
# Timeout of a check, in seconds: several times the time that a server needs for
# a request.
CHECK_TIMEOUT_S = 0.5


@attrs.define(eq=False, kw_only=True)
class ServerCheck:
    """Confirms the stored server before its next heartbeat.

    Otherwise a restart of the daemon would take a running server out of service
    for up to the time between two heartbeats.

    Attributes:
        registrar: Holds the state of the local server.
        directory: Holds the path of the health check of each service.
        pool: Connections to the local server.
        clock: Returns the monotonic time in seconds.
        on_response: Called with the server and the headers of its response.
    """

    registrar: registrar_module.Registrar
    directory: directory_module.Directory
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    on_response: Callable[[model.Server, http_codec.Headers], None] = (
        lambda server, headers: None
    )
    _triggered: asyncio.Event = attrs.field(factory=asyncio.Event)

    def trigger(self) -> None:
        """Triggers a check of the stored server."""
        self._triggered.set()

    async def run(self) -> None:
        """Runs the triggered checks until the local server is confirmed."""
        while not self.registrar.confirmed:
            await self._triggered.wait()
            self._triggered.clear()
            for _ in range(MAX_ATTEMPTS):
                server = self.registrar.server
                path = self._check_path(server)
                if server is None or path is None or self.registrar.confirmed:
                    break
                if await self._is_confirmed_by_check(server, path):
                    self.registrar.confirm(server)
                    break
                await asyncio.sleep(RETRY_DELAY_S)

    def _check_path(self, server: model.Server | None) -> str | None:
        configuration = self.directory.configuration
        if server is None or configuration is None:
            return None
        if server.state is not model.ServerState.READY:
            return None
        return configuration.check_path_by_service.get(server.service)

    async def _is_confirmed_by_check(
        self, server: model.Server, path: str
    ) -> bool:
        """Returns whether the server is healthy and is the stored one."""
        request = http_codec.Request(
            method='GET', target=http_codec.quote_target(path)
        )
        deadline = self.clock() + CHECK_TIMEOUT_S
        try:
            response = await self.pool.fetch(server.address, request, deadline)
        except exceptions.HemlockError as error:
            self._log_not_confirmed(server, str(error))
            return False
        server_id = http_codec.header(
            response.headers, platform_codec.RESPONDING_SERVER_HEADER
        )
        if server_id == server.server_id:
            self.on_response(server, response.headers)
            self.registrar.apply_check(
                server, platform_codec.decode_warmup_left_s(response.headers)
            )
        is_confirmed = response.status == 200 and server_id == server.server_id
        if not is_confirmed:
            self._log_not_confirmed(
                server, f'status {response.status} of {server_id}'
            )
        return is_confirmed

    def _log_not_confirmed(self, server: model.Server, problem: str):
        logger.info(
            'event=server_not_confirmed server={} problem={!r}',
            server.server_id,
            problem,
        )
