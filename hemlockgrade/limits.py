"""Admission control of one server.

A request gets a slot, waits in a short queue ordered by priority and deadline,
or is refused early instead of waiting until it can no longer finish in time.
"""

import bisect
import collections
import math
from typing import Protocol

import attrs

from hemlockgrade import exceptions

# Lowest weight of the latest service time in the moving mean, as a fraction of
# 1. The first measurements have a higher weight.
SERVICE_TIME_SMOOTHING_WEIGHT = 0.05
# Largest number of routes whose service times are measured apart.
MAX_MEASURED_ROUTES = 1000
# Assumed service time before the first measurement, in seconds.
INITIAL_SERVICE_S = 0.005
# The bound of the queue is adapted at this interval, in seconds, or at an
# interval of this many mean service times if that is longer, so that the
# interval of a slow server contains several requests.
BOUND_ADAPT_INTERVAL_S = 0.1
BOUND_ADAPT_SERVICE_TIMES = 4
# Lowest and highest bound of the queue, in waiting requests per slot. The bound
# is never below one request.
MIN_QUEUED_PER_SLOT = 0.5
MAX_QUEUED_PER_SLOT = 8.0


class Limiter(Protocol):
    """Admits requests to one server."""

    async def acquire(self, request: 'SlotRequest') -> None:
        """Waits for a slot.

        Args:
            request: The request that needs a slot.

        Raises:
            exceptions.ServerBusyError: The wait would be longer than the
                request allows.
            exceptions.RequestNotRunError: The request is refused.
        """

    def release(self, service_s: float | None, route: str = '') -> None:
        """Releases a slot.

        Args:
            service_s: Time that the server needed, in seconds; None if it was
                not measured, which leaves the means unchanged.
            route: Route of the request.
        """

    def drain(self) -> None:
        """Refuses all queued requests, and new ones from now on."""

    def refuse_queued(self) -> None:
        """Refuses all queued requests."""

    @property
    def in_use(self) -> int:
        """Number of slots in use."""

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""

    @property
    def service_s(self) -> float:
        """Mean service time of the server, in seconds."""


@attrs.define(eq=False, kw_only=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        deadline: Monotonic time by which the request has to be finished, in
            seconds.
        caller: Identifier of the daemon process that sent the request.
        priority: Priority of the request; 0 is the most urgent.
        on_time_until: Monotonic time until which the response is on time, in
            seconds.
        route: Route of the request; service times differ between routes.
        is_nested: True if a server sent the request while it runs another one,
            which waits for it and keeps a slot.
        max_wait_s: Longest expected wait for a slot that the sender accepts, in
            seconds.
    """

    deadline: float
    caller: str = ''
    priority: int = 0
    on_time_until: float = math.inf
    route: str = ''
    is_nested: bool = False
    max_wait_s: float = math.inf


@attrs.define(kw_only=True)
class AdmissionResult:
    """Slot requests that a change of the queue admitted or refused.

    Attributes:
        admitted: Request that has got a slot; None if there is none.
        refused: Requests that were removed from the queue without a slot.
    """

    admitted: SlotRequest | None = None
    refused: list[SlotRequest] = attrs.field(factory=list)


def refusal_error(reason: str) -> exceptions.RequestNotRunError:
    """Creates the error of a refused request."""
    return exceptions.RequestNotRunError(
        f'request refused and not run: {reason}',
        remedy='send the request again later or to another server',
    )


@attrs.define
class _MeanTime:
    """Moving mean of service times.

    Attributes:
        seconds: The mean, in seconds.
    """

    seconds: float = 0.0
    _count: int = 0

    def add(self, service_s: float):
        self._count += 1
        self.seconds = _smoothed(self.seconds, service_s, self._count)


def _smoothed(mean_s: float, service_s: float, count: int) -> float:
    """Returns a moving mean with its latest service time, the `count`-th."""
    weight = max(SERVICE_TIME_SMOOTHING_WEIGHT, 1 / count)
    return mean_s + weight * (service_s - mean_s)


@attrs.define
class QueueBound:
    """Adapts the maximum length of the queue to the load.

    A queue that absorbs bursts becomes empty now and then; a standing queue
    only adds delay (Nichols and Jacobson, "Controlling Queue Delay", ACM Queue
    10(5), 2012). The shortest queue length within an interval distinguishes
    the two. The shortest waiting time does not: the queue is ordered by
    deadline, so that urgent requests wait only a short time even in a long
    queue.

    Attributes:
        slots: Number of requests that the server runs at once.
        max_length: Number of requests that may wait at present.
    """

    slots: int
    max_length: float = attrs.field(init=False)
    _shortest_length: int | None = None
    _interval_ends_at: float = 0.0

    def __attrs_post_init__(self):
        self.max_length = float(self.slots)

    def observe(self, queued: int, service_s: float, now: float) -> None:
        """Records the length of the queue after a request got a slot.

        Args:
            queued: Number of requests that wait.
            service_s: Mean service time, in seconds.
            now: Monotonic time in seconds.
        """
        if self._shortest_length is None or queued < self._shortest_length:
            self._shortest_length = queued
        if now < self._interval_ends_at:
            return
        self._adapt(is_standing=self._shortest_length > 0)
        self._shortest_length = None
        self._interval_ends_at = now + max(
            BOUND_ADAPT_INTERVAL_S, BOUND_ADAPT_SERVICE_TIMES * service_s
        )

    def _adapt(self, *, is_standing: bool):
        if is_standing:
            self.max_length = max(
                self.max_length / 2, self.slots * MIN_QUEUED_PER_SLOT, 1.0
            )
            return
        increment = max(self.slots / 4, 1.0)
        self.max_length = min(
            self.max_length + increment, self.slots * MAX_QUEUED_PER_SLOT
        )


@attrs.define
class SlotQueue:
    """Decides which requests get a slot, wait or are refused.

    Attributes:
        slots: Number of requests that the server runs at once.
        in_use: Number of slots in use.
        draining: True once new requests are refused.
        service_s: Moving mean of the measured service times, in seconds.
        bound: Bound of the queue's length.
    """

    slots: int
    in_use: int = 0
    draining: bool = False
    service_s: float = INITIAL_SERVICE_S
    bound: QueueBound = attrs.field(init=False)
    _queue: list[SlotRequest] = attrs.field(factory=list)
    _measured_count: int = 0
    _mean_by_route: dict[str, '_MeanTime'] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.bound = QueueBound(self.slots)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def admit(self, request: SlotRequest, now: float) -> AdmissionResult:
        """Gives a request a slot or adds it to the queue.

        Args:
            request: The new request.
            now: Monotonic time in seconds.

        Returns:
            The new request as `admitted` if it has got a slot; as `refused`, a
            queued request that was displaced by it.

        Raises:
            exceptions.ServerBusyError: The wait would be longer than the
                request allows.
            exceptions.RequestNotRunError: The new request is refused.
        """
        if self.draining:
            raise refusal_error('the server is draining')
        if request.deadline <= now:
            raise refusal_error('the deadline of the request has passed')
        if self.in_use < self.slots:
            self._admit_without_queue(request, now)
            return AdmissionResult(admitted=request)
        position = bisect.bisect_right(
            self._queue, _queue_order(request), key=_queue_order
        )
        wait_s = self._wait_s(position)
        if wait_s > request.max_wait_s:
            raise exceptions.ServerBusyError(
                'request refused and not run: no slot is free',
                remedy='send the request to another server',
            )
        if now + wait_s + self.expected_service_s(request) > request.deadline:
            raise refusal_error('the request cannot finish before its deadline')
        result = AdmissionResult()
        if len(self._queue) >= self.bound.max_length:
            result.refused.append(self._displace(request, now))
        bisect.insort_right(self._queue, request, key=_queue_order)
        return result

    def _displace(self, new: SlotRequest, now: float) -> SlotRequest:
        """Removes a request from the full queue to admit a new one.

        The request to remove is, in this order of preference:
        - the last one of a lower rank;
        - the last one of the same or a lower rank that can no longer be on
          time, if the new one can;
        - the last one of the caller with the most requests in the queue.

        The last rule protects callers from each other: during a retry storm of
        one caller, the others keep their places in the full queue. A fixed
        limit per caller protected them less, and setting it would require the
        number of callers.

        Args:
            new: The new request.
            now: Monotonic time in seconds.

        Returns:
            The removed request.

        Raises:
            exceptions.RequestNotRunError: The new request is refused because
                none of the rules applies. The last one applies only to a
                caller with at least two more requests in the queue than the
                caller of the new request.
        """
        if _rank(self._queue[-1]) > _rank(new):
            return self._queue.pop()
        if self._is_on_time(new, now):
            for request in reversed(self._queue):
                if _rank(request) < _rank(new):
                    break
                if not self._is_on_time(request, now):
                    self._queue.remove(request)
                    return request
        queued_by_caller = collections.Counter(r.caller for r in self._queue)
        largest_caller, largest_count = queued_by_caller.most_common(1)[0]
        if largest_count <= queued_by_caller[new.caller] + 1:
            raise refusal_error('the queue is full')
        for request in reversed(self._queue):
            if request.caller == largest_caller:
                break
        self._queue.remove(request)
        return request

    def _admit_without_queue(self, request: SlotRequest, now: float):
        # An idle server always gets the request. If nothing were admitted after
        # a stall, no shorter service time would be measured and the refusals
        # would never end.
        if self.in_use and now > self.latest_start(request):
            raise refusal_error('the request cannot finish before its deadline')
        self.in_use += 1
        self.bound.observe(0, self.service_s, now)

    def latest_start(self, request: SlotRequest) -> float:
        """Returns the latest time at which a request may get a slot.

        This is half of the mean service time before the deadline: service
        times vary, so a request may finish in less than the mean.
        """
        return request.deadline - self.expected_service_s(request) / 2

    def expected_service_s(self, request: SlotRequest) -> float:
        """Returns the mean service time of the request's route, in seconds.

        Before the first measurement of the route, this is the mean of all
        requests.
        """
        mean = self._mean_by_route.get(request.route)
        return self.service_s if mean is None else mean.seconds

    def _wait_s(self, position: int) -> float:
        """Returns the expected wait at a position of the queue, in seconds."""
        return self.service_s * (position + 1) / self.slots

    def release(
        self, service_s: float | None, now: float, route: str = ''
    ) -> AdmissionResult:
        """Releases a slot and gives it to the next request in the queue.

        Args:
            service_s: Time that the server needed, in seconds; None if it was
                not measured, which leaves the means unchanged.
            now: Monotonic time in seconds.
            route: Route of the request.

        Returns:
            The request that has got the slot, and the requests that were
            refused because they waited too long.
        """
        if service_s is not None:
            self._measured_count += 1
            self.service_s = _smoothed(
                self.service_s, service_s, self._measured_count
            )
            mean = self._mean_by_route.get(route)
            if mean is None:
                mean = self._add_route(route)
            mean.add(service_s)
        self.in_use -= 1
        result = AdmissionResult()
        while self._queue and self.in_use < self.slots:
            request = self._queue.pop(self._next_position(now))
            if now > self.latest_start(request):
                result.refused.append(request)
                continue
            self.in_use += 1
            self.bound.observe(len(self._queue), self.service_s, now)
            result.admitted = request
            break
        return result

    def _add_route(self, route: str) -> '_MeanTime':
        """Adds the mean of a route; the oldest one leaves if there are many."""
        if len(self._mean_by_route) >= MAX_MEASURED_ROUTES:
            del self._mean_by_route[next(iter(self._mean_by_route))]
        mean = self._mean_by_route[route] = _MeanTime()
        return mean

    def _next_position(self, now: float) -> int:
        """Returns the position of the request that is served next.

        It is the first request that can still be on time, or the first one of
        the queue if there is none. If the queue were always served in the order
        of deadlines, then under overload every request would be served just
        before its deadline, which is too late to be on time.
        """
        for position, request in enumerate(self._queue):
            if self._is_on_time(request, now):
                return position
        return 0

    def _is_on_time(self, request: SlotRequest, now: float) -> bool:
        ends_at = now + self.expected_service_s(request)
        return ends_at <= request.on_time_until

    def remove(self, request: SlotRequest) -> None:
        """Removes a request from the queue if it is there."""
        if request in self._queue:
            self._queue.remove(request)

    def drain(self) -> list[SlotRequest]:
        """Empties the queue and refuses new requests from now on.

        Returns:
            The requests that were in the queue; they are refused as well.
        """
        self.draining = True
        return self.clear()

    def clear(self) -> list[SlotRequest]:
        """Empties the queue.

        Returns:
            The requests that were in the queue.
        """
        queued, self._queue = self._queue, []
        return queued


def _rank(request: SlotRequest) -> tuple[bool, int]:
    """Returns the rank of a request, the most urgent one first.

    Nested requests go before others, because the runs that sent them keep their
    slots until these requests end.
    """
    return not request.is_nested, request.priority


def _queue_order(request: SlotRequest) -> tuple[tuple[bool, int], float]:
    return _rank(request), request.deadline
