"""The metrics of a daemon, for the page that Prometheus reads."""

import aioprometheus
from aioprometheus import renderer


class Metrics:
    """Counters and gauges of one daemon."""

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self.requests = self._add(
            aioprometheus.Counter,
            'hemlock_requests_total',
            'Requests by selector, version and outcome.',
        )
        self.request_seconds = self._add(
            aioprometheus.Histogram,
            'hemlock_request_seconds',
            'Time from a request to its whole answer.',
            buckets=[0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1, 5],
        )
        self.configuration_version = self._add(
            aioprometheus.Gauge,
            'hemlock_configuration_version',
            'Version of the configuration in force.',
        )
        self.convergence_seconds = self._add(
            aioprometheus.Histogram,
            'hemlock_convergence_seconds',
            'Time from the acceptance of a change until it is in force here.',
            buckets=[0.01, 0.05, 0.1, 0.5, 1, 2, 4, 6, 10],
        )
        self.targets = self._add(
            aioprometheus.Gauge, 'hemlock_targets', 'Known targets by state.'
        )
        self.control_bytes = self._add(
            aioprometheus.Gauge,
            'hemlock_control_bytes',
            'Bytes of control messages by direction.',
        )

    def _add(self, kind, name: str, doc: str, **options):
        return kind(name, doc, registry=self._registry, **options)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the page and its HTTP headers."""
        return renderer.render(self._registry, ['text/plain'])
