"""Requests that the local server runs, by which nested requests are known.

A server that sends a request while it runs another one, its parent, uses the
identifier `<parent id>.<own id>`.
"""

import attrs


@attrs.define(eq=False, kw_only=True)
class RunningRequest:
    """A request that the local server runs.

    Attributes:
        priority: Priority of the request; 0 is the most urgent.
        is_repeat: True if an earlier attempt of the request, or of a request
            for which it was sent, may have reached a server.
        ends_by: Monotonic time until which the caller of the request waits,
            in seconds.
        abandoned: True if the attempt ended without a response, so that the
            server may still run the request.
        lacked_capacity: True if a nested request was refused because the
            service that it was sent to has too little capacity.
    """

    priority: int
    is_repeat: bool
    ends_by: float
    abandoned: bool = False
    lacked_capacity: bool = False


@attrs.define(eq=False)
class RunningRequests:
    """Finds the parent of a request of the local server."""

    _by_id: dict[str, RunningRequest] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, request_id: str, running: RunningRequest) -> None:
        """Adds a request that is about to be sent to the server."""
        self._by_id[request_id] = running

    def remove(self, request_id: str, running: RunningRequest) -> None:
        """Removes a request that has ended.

        Another attempt of the same request that was added meanwhile stays.
        """
        if self._by_id.get(request_id) is running:
            del self._by_id[request_id]

    def abandon(self, running: RunningRequest, now: float) -> None:
        """Keeps a request without a response until its deadline.

        Args:
            running: The request.
            now: Monotonic time in seconds.
        """
        running.abandoned = True
        for request_id, other in list(self._by_id.items()):
            if other.abandoned and other.ends_by <= now:
                del self._by_id[request_id]

    def find_parent(self, request_id: str) -> RunningRequest | None:
        """Returns the parent of a request.

        Args:
            request_id: Identifier of the request. An identifier without a dot
                is its own parent's, because a server may pass it on.

        Returns:
            The running request whose identifier is the longest prefix; None
            if the server runs no such request.
        """
        prefix = request_id
        while prefix:
            running = self._by_id.get(prefix)
            if running is not None:
                return running
            prefix = prefix.rpartition('.')[0]
        return None
