"""Checks of what a system of processes did, from its store and time lines."""

import collections
import re
from typing import Any

from standins import callers
from standins import cluster

Log = list[dict[str, Any]]
_STEP = re.compile(
    r'event=rollout_step key=(\S+) .*?epoch=(\d+) revision=(\d+)'
)


def read_target_logs(system: cluster.Cluster) -> Log:
    """Reads what all living targets ran."""
    return [
        entry
        for target in system.targets_by_id.values()
        if target.popen.poll() is None
        for entry in cluster.get_json(
            f'http://{target.addresses["http"]}/.control/log'
        )
    ]


def find_repeated_runs(log: Log) -> list[str]:
    """Lists the non-idempotent requests that targets ran more than once."""
    runs = collections.Counter(
        entry['path'] for entry in log if entry['method'] == 'POST'
    )
    return [path for path, count in runs.items() if count > 1]


def find_refused_but_run(log: Log, results: list[callers.Result]) -> list[str]:
    """Lists the requests called refused that a target ran all the same."""
    ran = {entry['path'] for entry in log}
    return [r.path for r in results if r.outcome == 'refused' and r.path in ran]


def read_mesh_objects(system: cluster.Cluster, *prefixes: str) -> Log:
    """Reads the mesh's objects whose names begin with one of the prefixes."""
    found: Log = []
    while True:
        after = f'?after={found[-1]["Metadata"]["Name"]}' if found else ''
        page = system.call_store('GET', f'mesh{after}')
        found += page['items']
        if not page['HasMore']:
            break
    return [
        item
        for item in found
        if not prefixes or item['Metadata']['Name'].startswith(prefixes)
    ]


def read_mesh_object(system: cluster.Cluster, name: str) -> dict[str, Any]:
    """Reads one of the mesh's objects."""
    return system.call_store('GET', f'mesh/{name}')


def newest_revision(system: cluster.Cluster, *prefixes: str) -> int:
    """Returns the newest revision of the mesh's objects."""
    return max(
        i['Metadata']['Rev'] for i in read_mesh_objects(system, *prefixes)
    )


def read_booking_rollout(system: cluster.Cluster) -> dict[str, Any]:
    """Reads the state of the rollout of booking."""
    return read_mesh_object(system, 'share.selector.booking')['Spec']


def rollout_steps(system: cluster.Cluster) -> Log:
    """Reads the steps of rollouts that daemons wrote, by their revision."""
    steps = [
        {'key': key, 'epoch': int(epoch), 'revision': int(revision)}
        for name in system.daemons_by_name
        for key, epoch, revision in _STEP.findall(
            (system.directory / f'{name}.log').read_text()
        )
    ]
    return sorted(steps, key=lambda step: step['revision'])


def find_stale_steps(steps: Log) -> Log:
    """Lists the steps that were written after one of a later epoch."""
    highest: dict[str, int] = {}
    stale = []
    for step in steps:
        if step['epoch'] < highest.get(step['key'], 0):
            stale.append(step)
        highest[step['key']] = max(step['epoch'], highest.get(step['key'], 0))
    return stale


def find_version_regressions(events: Log) -> Log:
    """Lists the changes that a process applied after a later one."""
    newest: dict[tuple[str, str], int] = {}
    fallen = []
    for event in events:
        if event['kind'] != 'change_applied':
            continue
        key = event['process'], event['fields']['name']
        version = event['fields']['version']
        if version <= newest.get(key, 0):
            fallen.append(event)
        newest[key] = version
    return fallen


def convergence_delays(events: Log) -> list[float]:
    """Returns the seconds from each change to its effect on each daemon.

    A daemon that started after a change learns it late by no fault.
    """
    started = {
        event['process']: event['time']
        for event in events
        if event['kind'] == 'startup'
    }
    return [
        event['fields']['delay_s']
        for event in events
        if event['kind'] == 'change_applied'
        and (event['time'] >> 16) / 1000 - event['fields']['delay_s']
        > (started.get(event['process'], 0) >> 16) / 1000
    ]
