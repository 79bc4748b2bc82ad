"""Checks of what a system of processes did, from its logs and time lines."""

import collections
import json
from typing import Any

from standins import callers
from standins import cluster

Log = list[dict[str, Any]]


def target_log(system: cluster.Cluster) -> Log:
    """Reads what all living targets ran."""
    return [
        entry
        for target in system.targets_by_id.values()
        if target.popen.poll() is None
        for entry in cluster.get_json(
            f'http://{target.addresses["http"]}/.control/log'
        )
    ]


def run_twice(log: Log) -> list[str]:
    """Lists the non-idempotent requests that targets ran more than once."""
    runs = collections.Counter(
        entry['path'] for entry in log if entry['method'] == 'POST'
    )
    return [path for path, count in runs.items() if count > 1]


def refused_but_run(log: Log, results: list[callers.Result]) -> list[str]:
    """Lists the requests called refused that a target ran all the same."""
    ran = {entry['path'] for entry in log}
    return [r.path for r in results if r.outcome == 'refused' and r.path in ran]


def change_log(system: cluster.Cluster) -> list[dict[str, Any]]:
    """Reads the change log from the platform, in its order."""
    assert system.platform is not None
    address = system.platform.addresses['http']
    stored = cluster.get_json(f'http://{address}/v1/objects?prefix=changes/')
    changes = [json.loads(entry['value']) for entry in stored]
    return sorted(changes, key=lambda change: change['number'])


def stale_steps(changes: list[dict[str, Any]]) -> list[int]:
    """Lists the rollout steps that stand behind a newer holder's epoch."""
    stale = []
    newest = 0
    for change in changes:
        if change['kind'] == 'epoch' and change['name'] == 'rollout':
            newest = max(newest, change['epoch'])
        elif change['epoch'] and change['epoch'] < newest:
            stale.append(change['number'])
    return stale


def falling_versions(events: Log) -> list[str]:
    """Lists the processes whose configuration version ever fell."""
    falling = set()
    last_by_life: dict[tuple[str, int], int] = {}
    lives: collections.Counter[str] = collections.Counter()
    for event in sorted(events, key=lambda e: (e['process'], e['time'])):
        process = event['process']
        if event['kind'] == 'startup':
            lives[process] += 1
        if event['kind'] not in ('change_applied', 'snapshot_applied'):
            continue
        life = (process, lives[process])
        version = event['fields']['version']
        if version <= last_by_life.get(life, 0):
            falling.add(process)
        last_by_life[life] = version
    return sorted(falling)


def convergence_delays(events: Log) -> list[float]:
    """Returns the seconds from each change's acceptance to each daemon."""
    return [
        e['fields']['delay_s'] for e in events if e['kind'] == 'change_applied'
    ]
