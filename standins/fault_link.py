"""TCP relay on loopback that delays, resets or silences connections."""

import asyncio
from collections.abc import Callable
import math
import socket
import struct

import attrs

CHUNK_BYTES = 65_536
# The same on a link with a limited rate, which the connections share.
SLOW_CHUNK_BYTES = 2_048
# With this option, a closed connection is reset.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.define(eq=False)
class FaultLink:
    """Relays connections to an address.

    Attributes:
        target: Address to which connections are relayed.
        on_refused: Called when the target does not accept a connection. The
            other side has then already connected to the relay.
        delay_s: Delay of the bytes of each direction, in seconds.
        bytes_per_s: Rate of all responses together, in bytes a second.
        silenced: Directions (`request`, `response`) of which new connections
            lose all bytes.
    """

    target: str
    on_refused: Callable[[], None]
    delay_s: float = 0.0
    bytes_per_s: float = math.inf
    silenced: frozenset[str] = frozenset()
    _relays: set['_Relay'] = attrs.field(factory=set)
    _free_at: float = 0.0

    @property
    def chunk_bytes(self) -> int:
        """Returns the largest number of bytes that are relayed at once."""
        return CHUNK_BYTES if math.isinf(self.bytes_per_s) else SLOW_CHUNK_BYTES

    async def start(self, address: str) -> asyncio.Server:
        """Starts to listen on an address."""
        host, _, port = address.partition(':')
        return await asyncio.start_server(self._relay, host, int(port))

    async def wait_for_rate(self, size: int) -> None:
        """Waits until the link has carried some bytes of a response."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        await asyncio.sleep(self._free_at - now)

    def silence(self, *directions: str) -> None:
        """Loses all further bytes of the open and of new connections.

        A connection that has lost bytes stays silent after the fault.
        """
        self.silenced = frozenset(directions)
        for relay in self._relays:
            relay.silenced |= self.silenced

    def reset(self) -> None:
        """Resets all open connections."""
        for relay in self._relays:
            relay.reset()

    def heal(self) -> None:
        """Ends the faults for new connections."""
        self.delay_s = 0.0
        self.silenced = frozenset()

    async def _relay(self, reader, writer):
        relay = _Relay(self, [writer], self.silenced)
        self._relays.add(relay)
        host, _, port = self.target.partition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            self.on_refused()
            relay.reset()
            self._relays.discard(relay)
            return
        relay.writers.append(target_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(relay.copy('request', reader, target_writer))
                group.create_task(relay.copy('response', target_reader, writer))
        except* OSError:
            # One side has reset its connection; `finally` resets the other.
            pass
        finally:
            relay.reset()
            self._relays.discard(relay)


@attrs.define(eq=False)
class _Relay:
    """One relayed connection."""

    link: FaultLink
    writers: list[asyncio.StreamWriter]
    silenced: frozenset[str]

    async def copy(self, direction, reader, writer):
        while data := await reader.read(self.link.chunk_bytes):
            if self.link.delay_s:
                await asyncio.sleep(self.link.delay_s)
            if direction == 'response' and self.link.bytes_per_s < math.inf:
                await self.link.wait_for_rate(len(data))
            if direction not in self.silenced:
                writer.write(data)
                await writer.drain()
        if direction not in self.silenced:
            writer.write_eof()

    def reset(self):
        for writer in self.writers:
            sock = writer.get_extra_info('socket')
            if not writer.is_closing() and sock is not None:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            writer.transport.abort()
