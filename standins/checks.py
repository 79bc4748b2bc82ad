"""Reads results of a running cluster and finds violations of guarantees."""

import collections
import re
from typing import Any

from standins import callers
from standins import cluster

# Decoded JSON objects, for example events or stored objects.
Records = list[dict[str, Any]]
_ROLLOUT_STEP_LINE = re.compile(
    r'event=rollout_step key=(\S+) .*?epoch=(\d+) revision=(\d+)'
)


def read_target_logs(system: cluster.Cluster) -> Records:
    """Returns the requests that all running targets have run."""
    return [
        entry
        for target in system.target_by_id.values()
        if target.popen.poll() is None
        for entry in cluster.get_json(
            f'http://{target.addresses["http"]}/.control/log'
        )
    ]


def find_repeated_runs(log: Records) -> list[str]:
    """Returns the paths of POST requests that targets ran more than once."""
    runs = collections.Counter(
        entry['path'] for entry in log if entry['method'] == 'POST'
    )
    return [path for path, count in runs.items() if count > 1]


def find_refused_but_run(
    log: Records, results: list[callers.Result]
) -> list[str]:
    """Returns the paths of requests reported as refused that a target ran."""
    ran = {entry['path'] for entry in log}
    return [r.path for r in results if r.outcome == 'refused' and r.path in ran]


def read_mesh_objects(system: cluster.Cluster, *prefixes: str) -> Records:
    """Returns the stored objects of the mesh, all pages of the list.

    Args:
        system: The running cluster.
        prefixes: Prefixes of object names; without any, all objects.
    """
    items: Records = []
    while True:
        after = f'?after={items[-1]["Metadata"]["Name"]}' if items else ''
        page = system.call_store('GET', f'mesh{after}')
        items += page['items']
        if not page['HasMore']:
            break
    return [
        item
        for item in items
        if not prefixes or item['Metadata']['Name'].startswith(prefixes)
    ]


def read_mesh_object(system: cluster.Cluster, name: str) -> dict[str, Any]:
    """Returns one stored object of the mesh by its name."""
    return system.call_store('GET', f'mesh/{name}')


def newest_revision(system: cluster.Cluster, *prefixes: str) -> int:
    """Returns the highest revision of the stored objects with the prefixes."""
    return max(
        item['Metadata']['Rev'] for item in read_mesh_objects(system, *prefixes)
    )


def read_booking_rollout(system: cluster.Cluster) -> dict[str, Any]:
    """Returns the stored state of the rollout of the selector booking."""
    return read_mesh_object(system, 'share.selector.booking')['Spec']


def rollout_steps(system: cluster.Cluster) -> Records:
    """Returns the rollout steps in the logs of all daemons, by revision."""
    steps = [
        {'key': key, 'epoch': int(epoch), 'revision': int(revision)}
        for name in system.daemon_by_name
        for key, epoch, revision in _ROLLOUT_STEP_LINE.findall(
            (system.directory / f'{name}.log').read_text()
        )
    ]
    return sorted(steps, key=lambda step: step['revision'])


def find_stale_steps(steps: Records) -> Records:
    """Returns the steps that were written after a step of a higher epoch.

    Args:
        steps: Rollout steps in the order of their revision.
    """
    highest_epoch_by_key: dict[str, int] = {}
    stale_steps = []
    for step in steps:
        if step['epoch'] < highest_epoch_by_key.get(step['key'], 0):
            stale_steps.append(step)
        highest_epoch_by_key[step['key']] = max(
            step['epoch'], highest_epoch_by_key.get(step['key'], 0)
        )
    return stale_steps


def find_version_regressions(events: Records) -> Records:
    """Returns changes that a process applied after the same or a newer version.

    Args:
        events: Merged time line of all daemons.
    """
    newest_version_by_key: dict[tuple[str, str], int] = {}
    regressions = []
    for event in events:
        if event['kind'] != 'change_applied':
            continue
        key = event['process'], event['fields']['name']
        version = event['fields']['version']
        if version <= newest_version_by_key.get(key, 0):
            regressions.append(event)
        newest_version_by_key[key] = version
    return regressions


def convergence_delays(events: Records) -> list[float]:
    """Returns the seconds from each change until each daemon applied it.

    Changes made before a daemon started are left out for that daemon, because
    it could not apply them earlier.

    Args:
        events: Merged time line of all daemons.
    """
    start_time_by_process = {
        event['process']: event['time']
        for event in events
        if event['kind'] == 'startup'
    }
    # The time of an event is in milliseconds, followed by a 16-bit counter in
    # the lowest bits; see `hemlockgrade.timeline`.
    return [
        event['fields']['delay_s']
        for event in events
        if event['kind'] == 'change_applied'
        and (event['time'] >> 16) / 1000 - event['fields']['delay_s']
        > (start_time_by_process.get(event['process'], 0) >> 16) / 1000
    ]
