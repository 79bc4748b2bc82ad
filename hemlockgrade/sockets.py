"""Writes to Twisted transports at once and sets options of their sockets."""

from collections.abc import Callable
import socket
from typing import Any

# Size of the buffer in which the operating system keeps received bytes that
# this process has not read, in bytes. It allows 1 Gbit/s at a round trip of
# 8 ms. Without a limit, the operating system lets the buffer grow to tens of
# megabytes a connection.
RECEIVE_BUFFER_BYTES = 1_048_576


def limit_receive_buffer(handle: Any) -> None:
    """Limits the received bytes that the operating system keeps for a socket.

    Bytes of a sender that this process has stopped to read stay at the sender.

    Args:
        handle: Handle of a transport; ignored if it is not a socket.
    """
    if isinstance(handle, socket.socket):
        handle.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )


def _ignore_size(size: int) -> None:
    """Ignores the number of written bytes."""


class DirectWriter:
    """Writes to the socket at once and leaves only the rest to Twisted.

    `transport.write` only buffers the data. Twisted writes the buffer to the
    socket in the next iteration of the event loop and changes the poll set
    twice for it, which takes a third of the processor time of a request.
    """

    def __init__(
        self,
        transport: Any,
        on_write: Callable[[int], None] = _ignore_size,
    ):
        """Creates a writer.

        Args:
            transport: The transport of the connection.
            on_write: Called with the number of bytes of each write.
        """
        self._transport = transport
        self._on_write = on_write
        self._buffered = False

    def write(self, data: bytes) -> None:
        """Writes data after all data that was written before."""
        self._on_write(len(data))
        if self._buffered:
            self._transport.write(data)
            return
        sent = self._transport.writeSomeData(data)
        if not isinstance(sent, int):
            # The connection is lost; the buffered write below reports the
            # loss.
            sent = 0
        if sent < len(data):
            self._buffered = True
            self._transport.write(data[sent:])

    def buffer_emptied(self) -> None:
        """Records that Twisted has sent all buffered data."""
        self._buffered = False
