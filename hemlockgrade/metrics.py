"""Metrics of a daemon in the text format of Prometheus."""

import aioprometheus
from aioprometheus import renderer

# Upper bounds of the buckets of the latency histograms. The latency targets of
# the users are between 0.06 and 1.5 s.
LATENCY_BUCKET_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


class Metrics:
    """Counters, histograms and gauges of one daemon."""

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self.requests = self._add(
            aioprometheus.Counter,
            'hemlock_requests_total',
            'Finished requests by outcome, selector and version.',
        )
        self.request_seconds = self._add(
            aioprometheus.Histogram,
            'hemlock_request_seconds',
            'Time from a request to its whole answer.',
            buckets=list(LATENCY_BUCKET_BOUNDS_S),
        )
        self.repeats = self._add(
            aioprometheus.Counter,
            'hemlock_repeats_total',
            'Attempts at servers that count as retries, by service and cause.',
        )
        self.server_seconds = self._add(
            aioprometheus.Histogram,
            'hemlock_server_seconds',
            'Time that the local server took for a request.',
            buckets=list(LATENCY_BUCKET_BOUNDS_S),
        )
        self.convergence_seconds = self._add(
            aioprometheus.Histogram,
            'hemlock_convergence_seconds',
            'Time from the acceptance of a change until it is in force here.',
            buckets=[0.01, 0.05, 0.1, 0.5, 1.0, 2.0, 4.0, 6.0, 10.0],
        )
        self.server_requests = self._add(
            aioprometheus.Gauge,
            'hemlock_server_requests',
            'Requests at the local server or waiting for it.',
        )
        self.configuration_version = self._add(
            aioprometheus.Gauge,
            'hemlock_configuration_version',
            'Version of the configuration in force.',
        )
        self.configuration_age_seconds = self._add(
            aioprometheus.Gauge,
            'hemlock_configuration_age_seconds',
            'Time since the configuration was confirmed to be the newest one.',
        )
        self.cap_demand = self._add(
            aioprometheus.Gauge,
            'hemlock_cap_demand',
            'Requests a second of an organisation with a cap, on all hosts.',
        )
        self.cap_level = self._add(
            aioprometheus.Gauge,
            'hemlock_cap_level',
            'Requests that the cap of an organisation has saved.',
        )
        self.cap_refused = self._add(
            aioprometheus.Gauge,
            'hemlock_cap_refused',
            'Requests beyond the cap of an organisation, since it is in use.',
        )
        self.table_revision = self._add(
            aioprometheus.Gauge,
            'hemlock_table_revision',
            'Newest revision of the mesh objects that is known.',
        )
        self.targets = self._add(
            aioprometheus.Gauge, 'hemlock_targets', 'Known targets by state.'
        )
        self.store_calls = self._add(
            aioprometheus.Counter,
            'hemlock_store_calls_total',
            'Calls to the store by method.',
        )
        self.ended_store_calls = self._add(
            aioprometheus.Counter,
            'hemlock_store_calls_ended_total',
            'Ended calls to the store by kind, purpose and result.',
        )

    def _add(self, metric_class, name: str, help_text: str, **options):
        return metric_class(name, help_text, registry=self._registry, **options)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics page and its HTTP headers."""
        return renderer.render(self._registry, ['text/plain'])
