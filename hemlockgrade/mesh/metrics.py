"""Counters and histograms of a daemon, rendered when they are read."""

import bisect
from typing import Any

import attrs

# Upper bounds of the latency histogram, in seconds.
LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


@attrs.define(eq=False)
class MeshMetrics:
    """Counts while the daemon serves; the library is loaded by a reader."""

    _count_by_outcome: dict[str, int] = attrs.field(factory=dict)
    _seconds_by_bucket: list[int] = attrs.field(
        factory=lambda: [0] * (len(LATENCY_BOUNDS_S) + 1)
    )
    _seconds: float = 0.0
    _requests: int = 0

    def count_request(self, outcome: str, took_s: float) -> None:
        """Counts a finished request."""
        word = outcome.split(':')[0]
        counts = self._count_by_outcome
        counts[word] = counts.get(word, 0) + 1
        self._seconds_by_bucket[
            bisect.bisect_left(LATENCY_BOUNDS_S, took_s)
        ] += 1
        self._seconds += took_s
        self._requests += 1

    def render(self, node: Any) -> tuple[bytes, dict[str, str]]:
        """Returns the page and its HTTP headers."""
        import aioprometheus
        from aioprometheus import renderer

        registry = aioprometheus.Registry()

        def gauge(name: str, doc: str, values: dict[str, float]):
            metric = aioprometheus.Gauge(name, doc, registry=registry)
            for label, value in values.items():
                metric.set({'kind': label}, value)

        gauge(
            'hemlock_requests_total',
            'Finished requests by outcome.',
            dict(self._count_by_outcome),
        )
        buckets: dict[str, float] = {}
        total = 0
        bounds = [*map(str, LATENCY_BOUNDS_S), '+Inf']
        for bound, count in zip(bounds, self._seconds_by_bucket, strict=True):
            total += count
            buckets[bound] = total
        gauge(
            'hemlock_request_seconds_bucket',
            'Finished requests by the longest time they took.',
            buckets,
        )
        gauge(
            'hemlock_request_seconds',
            'Sum of the times and number of requests.',
            {'sum': self._seconds, 'count': self._requests},
        )
        queued, service_s = node.gate.load
        gauge(
            'hemlock_server',
            'Requests at the local server and its mean time in seconds.',
            {'requests': queued, 'service_seconds': service_s},
        )
        gauge(
            'hemlock_known',
            'Version of the configuration, members, newest revision.',
            {
                'configuration': node.directory.configuration_version,
                'members': len(node.directory.member_by_name),
                'revision': node.directory.table_revision,
            },
        )
        gauge(
            'hemlock_store_calls_total',
            'Calls to the store by method.',
            dict(node.store.calls_by_method),
        )
        return renderer.render(registry, ['text/plain'])
