"""Keeps the state of the local server."""

from collections.abc import Callable
import enum
import math
import time

import attrs
from loguru import logger

from hemlockgrade import model


class HeartbeatResult(enum.Enum):
    """What the registrar did with a heartbeat.

    Attributes:
        APPLIED: The heartbeat is the newest of the local server.
        DEREGISTERED: Ignored, since this incarnation has deregistered.
        OUTDATED: Ignored, since it is not newer than the current state.
        OTHER_SERVER: Refused, since its service or address is not the one in
            the settings.
    """

    APPLIED = 'taken'
    DEREGISTERED = 'left'
    OUTDATED = 'outdated'
    OTHER_SERVER = 'foreign'


@attrs.define(eq=False, kw_only=True)
class Registrar:
    """Keeps the newest state that the local server has reported.

    Heartbeats may arrive late, and after a restart the server is a new
    incarnation. Older heartbeats and those of other servers are not applied.

    Attributes:
        service: Service of the local server, from the settings; empty if the
            settings do not name it.
        address: Address of the local server, from the settings; empty if the
            settings do not name it.
        server: State of the newest incarnation; None until a heartbeat or a
            state from the store is applied.
        confirmed: True once this process has received a heartbeat of the
            server or the server has passed a check. Until then `server` comes
            from the store, and no requests are sent to it.
        on_change: Called when the server has been confirmed, and when its state
            has changed in other fields than those that change with each
            heartbeat.
        time_ms: Returns the time of day in milliseconds of Unix time.
        clock: Returns the monotonic time in seconds.
        cold_until: Monotonic time until which the server is cold, as its latest
            heartbeat or check says; `math.inf` if it may have become cold since
            then.
    """

    service: str
    address: str
    server: model.Server | None = None
    confirmed: bool = False
    on_change: list[Callable[[], None]] = attrs.field(factory=list)
    time_ms: Callable[[], int] = lambda: int(time.time() * 1000)
    clock: Callable[[], float] = time.monotonic
    cold_until: float = -math.inf
    _unknown_left_id: str = ''
    _unknown_left_ms: int = 0

    @property
    def local_service(self) -> str:
        """Returns the service of the local server; empty if unknown."""
        if self.service or self.server is None:
            return self.service
        return self.server.service

    @property
    def ready_server(self) -> model.Server | None:
        """Returns the local server if it is confirmed and ready."""
        server = self.server
        if (
            server is None
            or not self.confirmed
            or server.state is not model.ServerState.READY
        ):
            return None
        return server

    def restore_server(self, server: model.Server) -> None:
        """Applies a state from the store to the current one.

        Args:
            server: State that an earlier daemon process on this host stored.
                A leave that it has seen is kept, also if this process has
                received a later heartbeat.
        """
        server = self._marked_if_left(server)
        if self.server is not None:
            server = self.server.merged_with(server)
        if server != self.server:
            self._set_server(server, 'store')

    def confirm(self, server: model.Server) -> None:
        """Allows requests to a server from the store that passed a check.

        Args:
            server: The server as it was when the check was sent; ignored if
                the state has changed since.
        """
        if self.server != server or self.confirmed:
            return
        self.confirmed = True
        logger.info('event=server_confirmed server={}', server.server_id)
        for callback in self.on_change:
            callback()

    def apply_check(self, server: model.Server, warmup_left_s: float) -> None:
        """Applies what the response to a health check says of the warm-up.

        Args:
            server: The server that was checked; ignored if it is no longer the
                local one.
            warmup_left_s: Time for which the server stays cold, in seconds.
        """
        if (
            self.server is not None
            and self.server.incarnation == server.incarnation
        ):
            self.cold_until = self.clock() + warmup_left_s

    def suspect_cold(self) -> None:
        """Takes the server for cold until its next heartbeat or check."""
        self.cold_until = math.inf

    def apply_heartbeat(self, new: model.Server) -> HeartbeatResult:
        """Applies a heartbeat unless it is outdated or of another server."""
        if self.address and new.address != self.address:
            return HeartbeatResult.OTHER_SERVER
        if self.service and new.service != self.service:
            return HeartbeatResult.OTHER_SERVER
        new = self._marked_if_left(new)
        old = self.server
        if old is not None:
            is_later = new.age_order > old.age_order
            if (
                is_later
                and old.incarnation == new.incarnation
                and old.state is model.ServerState.GONE
            ):
                return HeartbeatResult.DEREGISTERED
            new = old.merged_with(new)
            if new == old:
                return HeartbeatResult.OUTDATED
            if not is_later:
                # An outdated heartbeat that says that the server leaves.
                self._set_server(new, 'heartbeat')
                return HeartbeatResult.APPLIED
        newly_confirmed = not self.confirmed
        self.confirmed = True
        self.cold_until = self.clock() + new.warmup_left_s
        self._set_server(new, 'heartbeat', newly_confirmed=newly_confirmed)
        return HeartbeatResult.APPLIED

    def deregister(self, server_id: str) -> bool:
        """Marks the local server as gone.

        A process that has just started may not know the server yet. It then
        marks the server when the state from the store or a late heartbeat
        arrives.

        Args:
            server_id: Identifier of the server that deregisters.

        Returns:
            False if the identifier is not that of the known local server.
        """
        old = self.server
        if old is None or old.server_id != server_id:
            self._unknown_left_id = server_id
            self._unknown_left_ms = self.time_ms()
            logger.info('event=unknown_server_left server={}', server_id)
            return False
        self._set_server(
            attrs.evolve(old, state=model.ServerState.GONE), 'deregistration'
        )
        return True

    def start_draining(self, server: model.Server) -> None:
        """Marks the local server as draining.

        Args:
            server: The incarnation that says that it leaves; ignored if the
                local server is another one or is draining already.
        """
        old = self.server
        if (
            old is not None
            and old.incarnation == server.incarnation
            and old.state is model.ServerState.READY
        ):
            self._set_server(
                attrs.evolve(old, state=model.ServerState.DRAINING), 'notice'
            )

    def _marked_if_left(self, server: model.Server) -> model.Server:
        """Returns a server as gone if it left while it was not known.

        A server that started after that is a new incarnation.
        """
        if (
            server.server_id != self._unknown_left_id
            or server.born_ms > self._unknown_left_ms
        ):
            return server
        return attrs.evolve(server, state=model.ServerState.GONE)

    def _set_server(
        self, new: model.Server, source: str, *, newly_confirmed: bool = False
    ):
        """Sets the state, and logs it and calls `on_change` if it changed.

        Args:
            new: The new state.
            source: Origin of the state, for the log.
            newly_confirmed: True if the server was not confirmed before, which
                counts as a change.
        """
        old, self.server = self.server, new
        if (
            old is not None
            and not newly_confirmed
            and old.without_heartbeat_fields == new.without_heartbeat_fields
        ):
            return
        logger.info(
            'event=server_changed server={} version={} state={} before={} '
            'sequence={} born_ms={} source={}',
            new.server_id,
            new.version,
            new.state,
            old.state if old is not None else '-',
            new.sequence,
            new.born_ms,
            source,
        )
        for callback in self.on_change:
            callback()
