"""Bounds what the requests of all connections of a listener hold in memory.

Load pattern: many clients send requests of legal size at once, as whole bodies,
in small pieces or as very many header lines, and most of them stop just short
of the end and keep their connection open. Requests that are not complete give
way, those that have stopped first: they have not run and never will.
"""

from collections.abc import Iterable
import math
from typing import Protocol

import attrs
from loguru import logger

# A request of which nothing has arrived for this time has stopped, in seconds.
STALL_S = 0.5
# Part of the limit that is in use after requests had to give way. The rest is
# for the next requests, so that not each of them looks for one to give way.
KEPT_FRACTION = 0.8
# Part of the machine's memory that the incoming requests of one listener may
# hold. A request that is passed on is copied twice on its way.
MEMORY_FRACTION = 0.2
# Parts of the descriptors for connections of callers and of peers. The rest is
# for connections to servers, peers and the store.
CALLER_DESCRIPTOR_FRACTION = 0.5
PEER_DESCRIPTOR_FRACTION = 0.2
# Time between two log lines about requests that gave way, in seconds.
LOG_INTERVAL_S = 5.0


class Holder(Protocol):
    """A connection that holds requests.

    Attributes:
        held_bytes: Memory of its requests that have not been answered.
        received_at: Monotonic time at which bytes last arrived, in seconds.
        is_incomplete: True if a request has begun to arrive.
        is_idle: True if it holds no request.
    """

    held_bytes: int
    received_at: float

    @property
    def is_incomplete(self) -> bool:
        """Returns whether a request has begun to arrive."""

    @property
    def is_idle(self) -> bool:
        """Returns whether no request has begun to arrive or is in progress."""

    def refuse_incomplete(self) -> None:
        """Drops the request that arrives, refuses it and closes."""

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""


@attrs.define(eq=False, kw_only=True)
class Intake:
    """The connections of a listener and what they hold.

    Attributes:
        name: Name of the listener, for the log.
        max_bytes: Largest memory of requests that have not been answered.
        max_connections: Largest number of connections.
        held_bytes: Memory of the requests that have not been answered.
        refused: Number of requests and connections that gave way.
    """

    name: str = ''
    max_bytes: float = math.inf
    max_connections: float = math.inf
    held_bytes: int = 0
    refused: int = 0
    _holders: set[Holder] = attrs.field(factory=set)
    _is_making_room: bool = False
    _logged_at: float = -math.inf

    def add(self, holder: Holder, now: float) -> bool:
        """Adds a new connection.

        Args:
            holder: The connection.
            now: Monotonic time in seconds.

        Returns:
            False if there is no room for it.
        """
        if len(self._holders) >= self.max_connections:
            waiting = [h for h in self._holders if h.is_idle or h.is_incomplete]
            if not waiting:
                self._count_refused('connections', now)
                return False
            oldest = min(waiting, key=lambda h: h.received_at)
            self._count_refused('connections', now)
            if oldest.is_incomplete:
                oldest.refuse_incomplete()
            else:
                oldest.close_if_idle()
        self._holders.add(holder)
        return True

    def remove(self, holder: Holder) -> None:
        """Removes a closed connection."""
        if holder in self._holders:
            self._holders.remove(holder)
            self.held_bytes -= holder.held_bytes
            holder.held_bytes = 0

    def update(self, holder: Holder, held_bytes: int, now: float) -> None:
        """Applies what a connection holds, and makes room if that is too much.

        Args:
            holder: The connection.
            held_bytes: Memory of its requests that have not been answered.
            now: Monotonic time in seconds.
        """
        if holder not in self._holders:
            return
        self.held_bytes += held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        if self.held_bytes > self.max_bytes and not self._is_making_room:
            self._is_making_room = True
            try:
                self._make_room(now)
            finally:
                self._is_making_room = False

    def _make_room(self, now: float):
        """Refuses incomplete requests, first those that have stopped."""
        for holder in _in_order_of_refusal(self._holders, now):
            if self.held_bytes <= self.max_bytes * KEPT_FRACTION:
                return
            self._count_refused('requests', now)
            holder.refuse_incomplete()

    def _count_refused(self, what: str, now: float):
        self.refused += 1
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        logger.warning(
            'event=intake_full listener={} refused={} total_refused={} '
            'held_bytes={} connections={}',
            self.name,
            what,
            self.refused,
            self.held_bytes,
            len(self._holders),
        )


def _in_order_of_refusal(holders: Iterable[Holder], now: float) -> list[Holder]:
    """Returns the connections with an incomplete request.

    Those that have stopped come first, and of them the largest ones.
    """
    return sorted(
        (h for h in holders if h.is_incomplete),
        key=lambda h: (now - h.received_at < STALL_S, -h.held_bytes),
    )
