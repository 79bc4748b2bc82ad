"""Expected time that responses take on the link of a host.

Load pattern: more downloads are sent to a host than its link carries, while its
server has free slots. They would all be run and delivered late.
"""

import attrs

from hemlockgrade import link

# Weight of the latest body in the moving mean of a route, as a fraction of 1.
SIZE_SMOOTHING_WEIGHT = 0.1
# Largest number of routes whose bodies are measured.
MAX_MEASURED_ROUTES = 1000


@attrs.define
class BodySizes:
    """Mean sizes of the response bodies of routes."""

    _mean_bytes_by_route: dict[str, float] = attrs.field(factory=dict)

    def record(self, route: str, size: int) -> None:
        """Records the body of a response.

        Args:
            route: Name of the route.
            size: Size of the body in bytes.
        """
        mean = self._mean_bytes_by_route.get(route)
        if mean is not None:
            size_change = size - mean
            mean += SIZE_SMOOTHING_WEIGHT * size_change
            self._mean_bytes_by_route[route] = mean
            return
        if len(self._mean_bytes_by_route) >= MAX_MEASURED_ROUTES:
            oldest = next(iter(self._mean_bytes_by_route))
            del self._mean_bytes_by_route[oldest]
        self._mean_bytes_by_route[route] = size

    def mean_bytes(self, route: str) -> float:
        """Returns the mean size of the bodies of a route, in bytes.

        Args:
            route: Name of the route.

        Returns:
            0 if the bodies of the route have not been measured.
        """
        return self._mean_bytes_by_route.get(route, 0.0)

    def paced_bytes(self, route: str) -> float:
        """Returns the mean size of the bodies of a route that are paced.

        Args:
            route: Name of the route.

        Returns:
            Size in bytes; 0 if the bodies are so small that they are not paced,
            or have not been measured.
        """
        mean = self.mean_bytes(route)
        return mean if mean > link.MAX_UNPACED_BYTES else 0.0


@attrs.define
class LinkLoad:
    """Bodies that wait for the link, and those that will after their run.

    Attributes:
        schedule: Bodies that are being sent.
        sizes: Mean sizes of the bodies of each route.
    """

    schedule: link.LinkSchedule = attrs.field(factory=link.LinkSchedule)
    sizes: BodySizes = attrs.field(factory=BodySizes)
    _running_bytes: float = 0.0

    def wait_s(self, now: float) -> float:
        """Returns how long a further body would wait for the link, in seconds.

        Args:
            now: Monotonic time in seconds.
        """
        running_s = self.schedule.duration_s(self._running_bytes)
        return self.schedule.queued_s(now) + running_s

    def send_s(self, route: str) -> float:
        """Returns how long the body of a route takes on the link, in seconds.

        Args:
            route: Name of the route.
        """
        return self.schedule.duration_s(self.sizes.paced_bytes(route))

    def start_run(self, route: str) -> float:
        """Counts a request whose body will be sent over the link.

        Args:
            route: Name of the route.

        Returns:
            Expected size of the body in bytes, for `end_run`.
        """
        expected_bytes = self.sizes.paced_bytes(route)
        self._running_bytes += expected_bytes
        return expected_bytes

    def end_run(self, expected_bytes: float) -> None:
        """Ends the count of a request.

        Args:
            expected_bytes: The result of `start_run`.
        """
        self._running_bytes = max(0.0, self._running_bytes - expected_bytes)
