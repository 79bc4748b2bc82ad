"""The demonstration: two rollouts and a killed daemon under load.

Each host has one daemon and one target, so a new version comes on new hosts.
"""

import json
import pathlib
import signal
import sys
import tempfile
import time
from typing import Any

from standins import callers
from standins import checks
from standins import cluster

DOMAINS = ('county-east', 'county-north', 'county-west')
HOSTS_PER_DOMAIN = 2
TARGET_OPTIONS = ('--service-ms', '3', '--slots', '18')
MAX_CONVERGENCE_S = 6.0
MAX_BAD_SHARE = 0.05
GOOD_ROLLOUT_S = 35
BAD_ROLLOUT_S = 35
STARTED_AT = time.monotonic()

CONFIGURATION = {
    'labels': [
        {'name': 'edge', 'kind': 'proxy', 'members': ['county-*']},
        {'name': 'booking', 'kind': 'target', 'members': ['booking-*']},
        {'name': 'permits', 'kind': 'target', 'members': ['permits-*']},
    ],
    'selectors': [
        {
            'name': service,
            'proxies': 'edge',
            'targets': service,
            'service': service,
            'routes': [{'path_prefix': f'/{service}', 'timeout_ms': 3000}],
            'shares_by_version': {'v1': 100},
        }
        for service in ('booking', 'permits')
    ],
}


def main() -> int:
    """Runs the demonstration and returns the exit code."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix='hemlockgrade-demo-'))
    say(f'settings and logs are in {directory}')
    with cluster.Cluster(directory) as system:
        hosts = start(system)
        load = callers.Callers(
            [d.addresses['proxy_address'] for d in system.running_daemons()],
            ['/booking', '/booking', '/permits'],
            per_address=4,
        )
        load.start()
        time.sleep(2)
        started = move_good_version(system)
        killed = hosts[0]
        kill(system, killed)
        time.sleep(3)
        restart(system, killed)
        bad_since = time.monotonic()
        bad = move_bad_version(system)
        say(f'permits v2: {bad["state"]}: {bad["reason"]}')
        outcome = wait_for_end(system, 'booking')
        say(f'booking v2: {outcome["state"]}: {outcome["reason"]}')
        time.sleep(2)
        load.stop()
        report = measure(system, load, bad_since, outcome, bad)
        report['seconds'] = round(time.monotonic() - started, 1)
        problems = list(broken_promises(report, load.results, bad_since))
        stop(system)
    for problem in problems:
        say(f'broken: {problem}')
    print(json.dumps(report))
    return 1 if problems else 0


def start(system: cluster.Cluster) -> list[str]:
    """Starts store, daemons and targets, and sets the configuration."""
    system.start_store()
    booking = start_hosts(system, 'booking', 'v1', HOSTS_PER_DOMAIN)
    permits = start_hosts(system, 'permits', 'v1', 1)
    say(
        f'{len(booking + permits)} daemons in {len(DOMAINS)} failure domains, '
        'each beside one target'
    )
    path = system.directory / 'configuration.json'
    path.write_text(json.dumps(CONFIGURATION))
    for accepted in system.ctl_json('selectors', 'apply', str(path)):
        say(f'accepted {accepted["object"]} as version {accepted["version"]}')
    cluster.wait_until(lambda: serves_everywhere(system), 'routes serve')
    say('all proxies serve booking and permits')
    return booking


def start_hosts(
    system: cluster.Cluster, service: str, version: str, per_domain: int
) -> list[str]:
    """Starts hosts with a target of a service in every failure domain."""
    domain_by_host = {
        f'{domain}-{service}-{version}-{number}': domain
        for number in range(1, per_domain + 1)
        for domain in DOMAINS
    }
    for host, domain in domain_by_host.items():
        system.start_daemon(host, domain)
    system.wait_for_daemons()
    for host in domain_by_host:
        target_id = f'{service}-{version}-{host}'
        system.start_target(target_id, service, version, host, *TARGET_OPTIONS)
    return list(domain_by_host)


def serves_everywhere(system: cluster.Cluster) -> bool:
    """Tells whether every proxy knows targets of both services."""
    return all(
        system.get_administration(host, f'/v1/explain?path=/{service}').get(
            'targets', {}
        )
        for host in system.daemons_by_name
        for service in ('booking', 'permits')
    )


def move_good_version(system: cluster.Cluster) -> float:
    """Starts booking v2 and its rollout; returns the start time."""
    start_hosts(system, 'booking', 'v2', HOSTS_PER_DOMAIN)
    answer = system.ctl_json(
        *('selectors', 'shares', 'booking', 'v2=100'),
        *('--agreed-by', f'+{GOOD_ROLLOUT_S}s'),
    )
    say(f'booking v2 agreed within {GOOD_ROLLOUT_S} s: {answer}')
    return time.monotonic()


def move_bad_version(system: cluster.Cluster) -> dict:
    """Starts a permits v2 that fails often; returns its rollout's end."""
    start_hosts(system, 'permits', 'v2', 1)
    for target_id, target in system.targets_by_id.items():
        if target_id.startswith('permits-v2'):
            address = target.addresses['http']
            cluster.wait_until(
                lambda a=address: set_error_fault(a), f'{target_id} listens'
            )
    system.ctl_json(
        *('selectors', 'shares', 'permits', 'v2=100'),
        *('--agreed-by', f'+{BAD_ROLLOUT_S}s'),
    )
    say('permits v2 answers with errors; its rollout has started')
    return wait_for_end(system, 'permits')


def set_error_fault(address: str) -> bool:
    """Makes a target fail; returns False while it does not listen."""
    try:
        cluster.post_json(
            f'http://{address}/.control/faults', [{'kind': 'error'}]
        )
    except OSError:
        return False
    return True


def wait_for_end(system: cluster.Cluster, selector: str) -> dict[str, Any]:
    """Prints a rollout's progress and returns its last state."""
    shown = None
    while True:
        for rollout in system.ctl_json('rollouts', 'list'):
            if rollout['selector'] != selector:
                continue
            progress = (rollout['progress_permille'], rollout['reason'])
            if progress != shown:
                say(f'{selector} at {progress[0] / 10}%: {progress[1]}')
            shown = progress
            if rollout['state'] != 'running':
                return rollout
        time.sleep(0.5)


def kill(system: cluster.Cluster, host: str) -> None:
    """Ends a daemon without warning."""
    time.sleep(2)
    system.daemons_by_name[host].kill()
    say(f'killed the daemon {host}')


def restart(system: cluster.Cluster, host: str) -> None:
    """Starts a killed daemon again, with empty memory."""
    system.start_daemon(host, system.daemons_by_name[host].failure_domain)
    system.wait_for_daemons()
    say(f'restarted the daemon {host}')


def stop(system: cluster.Cluster) -> None:
    """Stops targets and daemons gracefully."""
    for processes in (system.targets_by_id, system.daemons_by_name):
        for process in processes.values():
            process.signal(signal.SIGTERM)
        for process in processes.values():
            process.stop()
    say('stopped all processes')


def measure(system, load, bad_since, good, bad) -> dict[str, Any]:
    """Counts what the demonstration promises to report."""
    counts = load.counts()
    events = system.ctl_json('timeline')
    status = system.ctl_json('status')
    ends = [good['state'], bad['state']]
    delays = checks.convergence_delays(events)
    log = checks.read_target_logs(system)
    return {
        'requests': len(load.results),
        'answered': counts['answered'] + counts['failed'],
        'error_answers': counts['failed'],
        'wrong_answers': counts['wrong'],
        'refused': counts['refused'],
        'outcome_unknown': counts['unknown'],
        'run_twice': len(checks.find_repeated_runs(log)),
        'refused_but_run': len(checks.find_refused_but_run(log, load.results)),
        'good_version': good['state'],
        'bad_version': bad['state'],
        'versions_done': ends.count('done'),
        'versions_taken_back': ends.count('rolled_back'),
        'changes_applied': len(delays),
        'convergence_seconds_max': max(delays, default=0.0),
        'store_calls': sum(d.get('store_calls', 0) for d in status['daemons']),
        'bad_version_share_max': round(bad_share(load.results, bad_since), 4),
    }


def bad_share(results, since: float) -> float:
    """Returns the bad version's share of the permits requests in its time."""
    permits = [
        r for r in results if r.service == 'permits' and r.ended_at >= since
    ]
    bad = [r for r in permits if r.version == 'v2']
    if not bad:
        return 0.0
    last = max(r.ended_at for r in bad)
    during = [r for r in permits if r.ended_at <= last]
    return len(bad) / len(during)


def broken_promises(report, results, bad_since):
    """Yields a text for each promise that does not hold."""
    for name in ('wrong_answers', 'run_twice', 'refused_but_run'):
        if report[name]:
            yield f'{name} is {report[name]}'
    if report['good_version'] != 'done':
        yield 'the good version is not done'
    if report['bad_version'] != 'rolled_back':
        yield 'the bad version was not taken back'
    if not report['changes_applied']:
        yield 'no change was applied'
    if report['convergence_seconds_max'] > MAX_CONVERGENCE_S:
        yield f'a change took more than {MAX_CONVERGENCE_S} s'
    if report['bad_version_share_max'] > MAX_BAD_SHARE:
        yield f'the bad version had more than {MAX_BAD_SHARE:.0%}'


def say(text: str) -> None:
    """Prints a line of progress."""
    print(f'{time.monotonic() - STARTED_AT:6.1f} s  {text}', flush=True)


if __name__ == '__main__':
    sys.exit(main())
