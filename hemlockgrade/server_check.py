"""Asks the server beside a restarted daemon whether it is the stored one."""

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

# A full server refuses the check as it refuses requests; its next heartbeat
# comes soon after the last attempt.
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.25
# Longest time for an answer, in seconds: several service times.
CHECK_TIMEOUT_S = 0.5


@attrs.define(eq=False, kw_only=True)
class ServerCheck:
    """Makes a stored server usable before its next heartbeat.

    A daemon that restarts beside a living server would otherwise take it out
    of service for up to the time between two heartbeats.

    Attributes:
        registrar: Knows the server.
        directory: Knows the path of the check.
        pool: Connections to the server.
        clock: Monotonic time in seconds.
    """

    registrar: registrar_module.Registrar
    directory: directory_module.Directory
    pool: upstream.ConnectionPool
    clock: Callable[[], float]
    _wanted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def trigger(self) -> None:
        """Has the stored server checked soon."""
        self._wanted.set()

    async def run(self) -> None:
        """Checks the stored server until a daemon's first confirmation."""
        while not self.registrar.confirmed:
            await self._wanted.wait()
            self._wanted.clear()
            for _ in range(MAX_ATTEMPTS):
                server = self.registrar.server
                path = self._path(server)
                if server is None or path is None or self.registrar.confirmed:
                    break
                if await self._answers(server, path):
                    self.registrar.confirm(server)
                    break
                await asyncio.sleep(RETRY_DELAY_S)

    def _path(self, server: model.Server | None) -> str | None:
        configuration = self.directory.configuration
        if server is None or configuration is None:
            return None
        if server.state is not model.ServerState.READY:
            return None
        return configuration.check_path_by_service.get(server.service)

    async def _answers(self, server: model.Server, path: str) -> bool:
        """Tells whether the server is healthy and is the one expected."""
        request = http_codec.Request(method='GET', target=path)
        deadline = self.clock() + CHECK_TIMEOUT_S
        try:
            response = await self.pool.send(server.address, request, deadline)
        except exceptions.HemlockError as error:
            self._log(server, str(error))
            return False
        if response.stream is not None:
            response.stream.abort()
        named = http_codec.header(
            response.headers, platform_codec.RESPONDING_SERVER_HEADER
        )
        sound = response.status == 200 and named == server.server_id
        if not sound:
            self._log(server, f'status {response.status} of {named}')
        return sound

    def _log(self, server: model.Server, problem: str):
        logger.info(
            'event=server_not_confirmed server={} problem={!r}',
            server.server_id,
            problem,
        )
