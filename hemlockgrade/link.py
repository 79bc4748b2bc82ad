"""Order and pace of the bytes that a host sends over its network link.

Load pattern: the servers of a download service send bodies of 100 KB over links
of a few Mbit/s, and the same links carry the short responses of these servers
and the requests of the callers on their hosts. Without pacing, all bodies go
into the queue of the link at once, and every short message waits behind them.
"""

import math

import attrs

# Bytes are handed to the link while its queue is shorter than this, in seconds.
# A short message waits no longer than that behind the bodies.
MAX_BACKLOG_S = 0.01
# Smallest piece of a body that is worth a wake-up of the process, in bytes.
MIN_SEGMENT_BYTES = 2048
# Bodies up to this size are not paced, in bytes.
MAX_UNPACED_BYTES = 8 * 1024
# Bytes on the link for each byte that a process writes: with segments of 1,448
# bytes, 52 bytes of headers and half an acknowledgement.
PACKET_OVERHEAD_FACTOR = 1.06


@attrs.define(eq=False)
class Transfer:
    """A body that is sent over the link piece by piece.

    Attributes:
        remaining_bytes: Bytes that are ready and not yet written.
        is_paused: True while the receiver accepts no data.
    """

    remaining_bytes: int = 0
    is_paused: bool = False


@attrs.define
class LinkSchedule:
    """Decides which body is sent next, and how much of it.

    The body with the fewest bytes left goes first, which gives the shortest
    mean time (Schrage and Miller, "The Queue M/G/1 with the Shortest Remaining
    Processing Time Discipline", Operations Research 14(4), 1966).

    Attributes:
        bytes_per_s: Rate of the link, in bytes a second; `math.inf` if it is
            not known, so that nothing is paced.
    """

    bytes_per_s: float = math.inf
    _transfers: list[Transfer] = attrs.field(factory=list)
    _backlog_ends_at: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Returns whether the rate of the link is known."""
        return math.isfinite(self.bytes_per_s)

    def backlog_s(self, now: float) -> float:
        """Returns how long the link needs for the bytes that were written.

        Args:
            now: Monotonic time in seconds.
        """
        return max(0.0, self._backlog_ends_at - now)

    def queued_s(self, now: float) -> float:
        """Returns how long the link needs for all that it has to send.

        Args:
            now: Monotonic time in seconds.
        """
        queued_bytes = sum(t.remaining_bytes for t in self._transfers)
        return self.backlog_s(now) + self.duration_s(queued_bytes)

    def record_write(self, size: int, now: float) -> None:
        """Records bytes that were written.

        Args:
            size: Number of bytes.
            now: Monotonic time in seconds.
        """
        self._backlog_ends_at = (
            now + self.backlog_s(now) + self.duration_s(size)
        )

    def add(self, transfer: Transfer) -> None:
        """Adds a body; it has no effect for one that was added before."""
        if transfer not in self._transfers:
            self._transfers.append(transfer)

    def remove(self, transfer: Transfer) -> None:
        """Removes a body if it is there."""
        if transfer in self._transfers:
            self._transfers.remove(transfer)

    def next_transfer(self) -> Transfer | None:
        """Returns the body that is sent next; None if none can be sent."""
        return min(
            (
                t
                for t in self._transfers
                if t.remaining_bytes and not t.is_paused
            ),
            key=lambda t: t.remaining_bytes,
            default=None,
        )

    def segment_bytes(self, now: float) -> int:
        """Returns how many bytes of a body may be written now.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Number of bytes; 0 if the queue of the link is too long.
        """
        free_s = MAX_BACKLOG_S - self.backlog_s(now)
        size = int(free_s * self.bytes_per_s / PACKET_OVERHEAD_FACTOR)
        return size if size >= self._min_segment_bytes else 0

    def next_segment_s(self, now: float) -> float:
        """Returns the time until a further piece may be written, in seconds.

        Args:
            now: Monotonic time in seconds.
        """
        room_s = self.duration_s(self._min_segment_bytes)
        return max(0.0, self.backlog_s(now) + room_s - MAX_BACKLOG_S)

    @property
    def _min_segment_bytes(self) -> float:
        """Returns the smallest piece; half of the queue on a slow link."""
        half_queue = MAX_BACKLOG_S / 2 * self.bytes_per_s
        return min(MIN_SEGMENT_BYTES, half_queue / PACKET_OVERHEAD_FACTOR)

    def duration_s(self, size: float) -> float:
        """Returns how long the link needs for a number of bytes, in seconds."""
        return size * PACKET_OVERHEAD_FACTOR / self.bytes_per_s
