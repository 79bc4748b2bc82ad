"""Bodies of responses on their way to a connection, at the pace of the link."""

import asyncio
from collections.abc import Callable
import math

from hemlockgrade import http_codec
from hemlockgrade import link as link_module
from hemlockgrade import sockets

# A stream is paused while more of its bytes than this wait for the link.
MAX_WAITING_BYTES = 64 * 1024


class Link:
    """Sends the bodies of all connections that share a network link.

    Attributes:
        schedule: Decides which body is sent next.
    """

    def __init__(self, bytes_per_s: float = math.inf):
        """Creates a link.

        Args:
            bytes_per_s: Rate of the link, in bytes a second.
        """
        self.schedule = link_module.LinkSchedule(bytes_per_s)
        self._body_by_transfer: dict[link_module.Transfer, OutgoingBody] = {}
        self._timer: asyncio.TimerHandle | None = None

    def record_write(self, size: int) -> None:
        """Records bytes that a connection wrote by itself."""
        if self.schedule.is_limited:
            now = asyncio.get_running_loop().time()
            self.schedule.record_write(size, now)

    def add(self, transfer: link_module.Transfer, body: 'OutgoingBody') -> None:
        """Adds a body, or continues one that has more bytes to send."""
        self._body_by_transfer[transfer] = body
        self.schedule.add(transfer)
        if self._timer is None:
            self._send()

    def remove(self, transfer: link_module.Transfer) -> None:
        """Removes a body whose connection is closed or that is complete."""
        self._body_by_transfer.pop(transfer, None)
        self.schedule.remove(transfer)

    def _send(self):
        self._timer = None
        loop = asyncio.get_running_loop()
        while (transfer := self.schedule.next_transfer()) is not None:
            size = self.schedule.segment_bytes(loop.time())
            if not size:
                delay_s = self.schedule.next_segment_s(loop.time())
                self._timer = loop.call_later(delay_s, self._send)
                return
            self._body_by_transfer[transfer].write_segment(size)


class OutgoingBody:
    """Passes the body of a response on to a connection.

    It is the sink of a streamed body.
    """

    def __init__(
        self,
        writer: sockets.DirectWriter,
        link: Link,
        framing: http_codec.Framing,
        on_end: Callable[[bool], None],
    ):
        """Creates a body without any bytes.

        Args:
            writer: Writes to the connection.
            link: Link over which the connection sends.
            framing: How the body is delimited.
            on_end: Called once the whole body is written, with True, or once
                it has ended before it was complete, with False.
        """
        self._writer = writer
        self._link = link
        self._framing = framing
        self._on_end = on_end
        self._stream: http_codec.BodyStream | None = None
        self._is_stream_paused = False
        self._transfer = link_module.Transfer()
        self._waiting = bytearray()
        self._input_ended = False
        self._is_closed = False

    @property
    def waiting_bytes(self) -> int:
        """Returns how many bytes wait for the link."""
        return len(self._waiting)

    def send(self, response: http_codec.Response) -> None:
        """Takes the body from a response whose head has been written."""
        if response.body:
            self.body_received(response.body)
        if response.stream is None:
            self.body_ended(True)
            return
        if self._is_closed:
            response.stream.abort()
            return
        self._stream = response.stream
        response.stream.attach(self)
        # The stream was resumed when it was attached.
        self._is_stream_paused = False
        self._throttle_stream()

    def body_received(self, data: bytes) -> None:
        """Accepts a piece of the body."""
        if self._framing.chunked:
            data = http_codec.encode_chunk(data)
        self._send(data)

    def body_ended(self, complete: bool) -> None:
        """Accepts the end of the body."""
        if self._is_closed:
            return
        self._stream = None
        if not complete:
            self._end(complete=False)
            return
        self._input_ended = True
        if self._framing.chunked:
            self._send(http_codec.LAST_CHUNK)
        self._end_if_written()

    def write_segment(self, size: int) -> None:
        """Writes the next bytes, at most a number of them."""
        data = bytes(self._waiting[:size])
        del self._waiting[:size]
        self._transfer.remaining_bytes = len(self._waiting)
        self._writer.write(data)
        if not self._is_closed:
            self._throttle_stream()
            self._end_if_written()

    def pause(self) -> None:
        """Stops writing, because the receiver accepts no data."""
        self._transfer.is_paused = True
        self._throttle_stream()

    def resume(self) -> None:
        """Continues writing."""
        self._transfer.is_paused = False
        self._throttle_stream()
        if self._waiting and not self._is_closed:
            self._link.add(self._transfer, self)

    def abort(self) -> None:
        """Discards the rest of the body."""
        stream, self._stream = self._stream, None
        self._close()
        if stream is not None:
            stream.abort()

    def _send(self, data: bytes):
        if self._is_closed:
            return
        is_paced = self._link.schedule.is_limited
        if not is_paced and not self._waiting:
            self._writer.write(data)
            return
        self._waiting += data
        self._transfer.remaining_bytes = len(self._waiting)
        self._link.add(self._transfer, self)
        if not self._is_closed:
            self._throttle_stream()

    def _throttle_stream(self):
        if self._stream is None:
            return
        must_pause = (
            self._transfer.is_paused or len(self._waiting) > MAX_WAITING_BYTES
        )
        if must_pause == self._is_stream_paused:
            return
        self._is_stream_paused = must_pause
        if must_pause:
            self._stream.pause()
        else:
            self._stream.resume()

    def _end_if_written(self):
        if self._input_ended and not self._waiting and not self._is_closed:
            self._end(complete=True)

    def _end(self, *, complete: bool):
        self._close()
        self._on_end(complete)

    def _close(self):
        self._is_closed = True
        self._waiting.clear()
        self._link.remove(self._transfer)
