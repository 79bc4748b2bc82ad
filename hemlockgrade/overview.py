"""Describes a daemon: its status, targets, routes, rollouts and metrics."""

from typing import Any
from typing import Protocol

from hemlockgrade import admission as admission_module
from hemlockgrade import directory as directory_module
from hemlockgrade import freshness as freshness_module
from hemlockgrade import metrics as metrics_module
from hemlockgrade import model
from hemlockgrade import usage_caps
from hemlockgrade.config import daemon as daemon_settings
from hemlockgrade.platform import store as store_module

# Largest number of organisations whose usage the metrics show: those with the
# largest demand.
MAX_SHOWN_ORGANISATIONS = 50
# State that is shown for a target whose daemon refuses requests of its peers,
# in place of the state of the server.
_LEAVING_STATE = 'leaving'


class ObservableDaemon(Protocol):
    """Attributes of a daemon that its description is built from.

    Attributes:
        settings: Settings in force.
        boot_id: Identifier of the process.
        metrics: Counters, histograms and gauges.
        directory: State that the daemon has received.
        freshness: How recent the configuration in force is.
        admission: Admission of requests to the local server.
        store: Client of the platform's metadata store.
        caps: Usage caps of the organisations.
    """

    settings: daemon_settings.DaemonSettings
    boot_id: str
    metrics: metrics_module.Metrics
    directory: directory_module.Directory
    freshness: freshness_module.Freshness
    admission: admission_module.AdmissionController
    store: store_module.MetadataStore
    caps: usage_caps.UsageCaps


def status(daemon: ObservableDaemon) -> dict[str, Any]:
    """Returns the identity, state and load of a daemon."""
    requests, service_s = daemon.admission.load
    return {
        'daemon_id': daemon.settings.daemon_id,
        'failure_domain': daemon.settings.failure_domain,
        'boot_id': daemon.boot_id,
        'version': daemon.directory.table_revision,
        'configuration': daemon.directory.configuration_version,
        'leaving': daemon.admission.leaving,
        'leases': sorted(
            share.key
            for share in daemon.directory.share_by_key.values()
            if share.holder == daemon.settings.daemon_id
            and share.state is model.RolloutState.RUNNING
        ),
        'requests_at_server': requests,
        'server_s': round(service_s, 4),
        'store_calls': sum(daemon.store.calls_by_method.values()),
    }


def targets(directory: directory_module.Directory) -> list[dict[str, Any]]:
    """Returns all targets in the directory of a daemon."""
    return [
        {
            'target_id': member.server.server_id,
            'daemon_id': member.name,
            'service': member.server.service,
            'version': member.server.version,
            'failure_domain': member.zone,
            'slots': member.server.slots,
            'state': _LEAVING_STATE
            if member.leaving
            else str(member.server.state),
            'administration_address': member.administration_address,
        }
        for member in directory.member_by_name.values()
        if member.server is not None
    ]


def explain(
    directory: directory_module.Directory, host: str, path: str
) -> dict[str, Any]:
    """Returns the route, services and targets that match a request.

    Args:
        directory: State that the daemon has received.
        host: Host name of the request.
        path: Path of the request.
    """
    route_entry = directory.match(host, path)
    if route_entry is None:
        return {'path': path, 'route': None, 'why': 'no route matches'}
    route = route_entry.route
    origin = (
        f'selector {route.selector}'
        if route.selector
        else f'configuration {directory.configuration_version}'
    )
    target_ids_by_version: dict[str, list[str]] = {}
    for share in route.shares:
        for member in directory.serving_members(share.service):
            server = member.required_server
            if route.targets is None or route.targets.matches(server.server_id):
                target_ids_by_version.setdefault(server.version, []).append(
                    server.server_id
                )
    return {
        'path': path,
        'route': route.prefix,
        'selector': route.selector,
        'why': f'{route.prefix} is the longest prefix of the path on this '
        f'proxy, and {origin} has it',
        'timeout_ms': round(route.timeout_s * 1000),
        'services': {share.service: share.weight for share in route.shares},
        'shares': {
            version_weight.version: version_weight.weight
            for version_weight in route.versions
        },
        'targets': target_ids_by_version,
    }


def rollouts(directory: directory_module.Directory) -> list[dict[str, Any]]:
    """Returns the latest rollout of each selector that had one."""
    definitions = directory.definitions
    rollout_list = []
    for name, definition in directory.selector_by_name.items():
        if definition.new_version is None:
            continue
        share = definitions.rollout_share(definition)
        rollout_list.append(
            {
                'selector': name,
                'new_version': definition.new_version,
                'state': 'running' if share is None else str(share.state),
                'progress_permille': 0 if share is None else share.permille,
                'reason': '' if share is None else share.reason,
                'holder': '' if share is None else share.holder,
                'epoch': 0 if share is None else share.epoch,
                'old_shares_by_version': definition.former_shares_by_version,
            }
        )
    return rollout_list


def render_metrics(daemon: ObservableDaemon) -> tuple[bytes, dict[str, str]]:
    """Returns the metrics page and its HTTP headers."""
    metrics, directory = daemon.metrics, daemon.directory
    metrics.server_requests.set({}, daemon.admission.load[0])
    metrics.configuration_version.set({}, directory.configuration_version)
    metrics.configuration_age_seconds.set({}, daemon.freshness.age_s)
    metrics.table_revision.set({}, directory.table_revision)
    _set_cap_metrics(daemon)
    count_by_state: dict[str, int] = {
        str(state): 0 for state in model.ServerState
    }
    for target in targets(directory):
        state = target['state']
        count_by_state[state] = count_by_state.get(state, 0) + 1
    for state, count in count_by_state.items():
        metrics.targets.set({'state': state}, count)
    for method, calls in daemon.store.calls_by_method.items():
        metrics.store_calls.set({'method': method}, calls)
    for call, count in daemon.store.ended_calls.count_by_call.items():
        metrics.ended_store_calls.set(
            {
                'kind': call.kind,
                'call': call.call,
                'may_lag': str(call.may_lag).lower(),
                'result': call.result,
            },
            count,
        )
    return metrics.render()


def _set_cap_metrics(daemon: ObservableDaemon):
    """Sets the metrics of the caps with the largest demand."""
    caps = sorted(
        daemon.caps.cap_by_name.items(),
        key=lambda item: -item[1].demand_per_s,
    )[:MAX_SHOWN_ORGANISATIONS]
    for name, cap in caps:
        labels = {'organisation': name}
        daemon.metrics.cap_demand.set(labels, cap.demand_per_s)
        daemon.metrics.cap_level.set(labels, cap.level)
        daemon.metrics.cap_refused.set(labels, cap.refused)
