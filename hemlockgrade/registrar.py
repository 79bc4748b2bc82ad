"""Owner of what is known of the server beside this daemon."""

from collections.abc import Callable
import enum

import attrs
from loguru import logger

from hemlockgrade import model


class HeartbeatResult(enum.Enum):
    """What became of a heartbeat."""

    APPLIED = 'taken'
    DEREGISTERED = 'left'
    OUTDATED = 'outdated'
    OTHER_SERVER = 'foreign'


@attrs.define(eq=False, kw_only=True)
class Registrar:
    """Orders the heartbeats of the local server and its incarnations.

    Attributes:
        service: Service of the local server, by the settings; empty if they
            do not name it.
        address: Address of the local server, by the settings; empty if they
            do not name it.
        server: The newest incarnation; None before its first heartbeat.
        confirmed: True once this process itself heard the server or got an
            answer of it; what the store says of it only forbids requests.
        on_change: Called when anything but the sequence has changed.
    """

    service: str
    address: str
    server: model.Server | None = None
    confirmed: bool = False
    on_change: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def local_service(self) -> str:
        """Returns the local server's service; empty if it is not known."""
        if self.service or self.server is None:
            return self.service
        return self.server.service

    @property
    def ready_server(self) -> model.Server | None:
        """Returns the local server if it takes new requests."""
        server = self.server
        if (
            server is None
            or not self.confirmed
            or server.state is not model.ServerState.READY
        ):
            return None
        return server

    def restore_server(self, server: model.Server) -> None:
        """Takes what a former process of this daemon stored."""
        if self.server is None or _order(server) > _order(self.server):
            self.server = server

    def confirm(self, server: model.Server) -> None:
        """Allows requests to the stored server, which answered a check."""
        if self.server != server or self.confirmed:
            return
        self.confirmed = True
        logger.info('event=server_confirmed server={}', server.server_id)
        for callback in self.on_change:
            callback()

    def apply_heartbeat(self, new: model.Server) -> HeartbeatResult:
        """Takes a heartbeat."""
        if self.address and new.address != self.address:
            return HeartbeatResult.OTHER_SERVER
        if self.service and new.service != self.service:
            return HeartbeatResult.OTHER_SERVER
        old = self.server
        if old is not None and not _replaces(old, new):
            return HeartbeatResult.OUTDATED
        if old is not None and _same_incarnation(old, new):
            if old.state is model.ServerState.GONE:
                return HeartbeatResult.DEREGISTERED
            if old.state is model.ServerState.DRAINING:
                new = attrs.evolve(new, state=old.state)
        fresh = not self.confirmed
        self.confirmed = True
        self._set(new, fresh)
        return HeartbeatResult.APPLIED

    def deregister(self, server_id: str) -> bool:
        """Takes a server's word that it is leaving for good.

        Returns:
            False if it is not the local server.
        """
        old = self.server
        if old is None or old.server_id != server_id:
            return False
        self._set(attrs.evolve(old, state=model.ServerState.GONE), False)
        return True

    def _set(self, new: model.Server, fresh: bool):
        old, self.server = self.server, new
        if (
            old is not None
            and not fresh
            and old.without_heartbeat_fields == new.without_heartbeat_fields
        ):
            return
        logger.info(
            'event=server_changed server={} version={} state={} before={} '
            'sequence={} born_ms={}',
            new.server_id,
            new.version,
            new.state,
            old.state if old is not None else '-',
            new.sequence,
            new.born_ms,
        )
        for callback in self.on_change:
            callback()


def _same_incarnation(old: model.Server, new: model.Server) -> bool:
    return old.server_id == new.server_id and old.born_ms == new.born_ms


def _order(server: model.Server) -> tuple[int, int]:
    return server.born_ms, server.sequence


def _replaces(old: model.Server, new: model.Server) -> bool:
    """Tells whether a heartbeat is newer than the last one.

    A later start replaces an earlier one; within an incarnation the sequence
    tells a late heartbeat from the newest.
    """
    return _order(new) > _order(old)
