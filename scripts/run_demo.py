"""Demonstrates two rollouts and the failure of a daemon under load.

Each host has one daemon and one target, so the targets of a new version start
on new hosts.
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

FAILURE_DOMAINS = ('county-east', 'county-north', 'county-west')
HOSTS_PER_DOMAIN = 2
TARGET_OPTIONS = ('--service-ms', '3', '--slots', '18')
# Longest time from the acceptance of a change until a daemon has applied it.
MAX_CONVERGENCE_S = 6.0
# Largest allowed value of `bad_version_fraction`.
MAX_BAD_VERSION_FRACTION = 0.05
# Time from the order of a rollout until it has to end.
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
    """Runs the demonstration and returns the exit code.

    The exit code is 1 if an expectation is not met.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix='hemlockgrade-demo-'))
    print_progress(f'settings and logs are in {directory}')
    with cluster.Cluster(directory) as system:
        booking_hosts = start(system)
        load = callers.Callers(
            [
                daemon.addresses['proxy_address']
                for daemon in system.running_daemons()
            ],
            ['/booking', '/booking', '/permits'],
            per_address=4,
        )
        load.start()
        time.sleep(2)
        rollout_started_at = roll_out_good_version(system)
        killed_host = booking_hosts[0]
        kill_daemon(system, killed_host)
        time.sleep(3)
        restart_daemon(system, killed_host)
        bad_since = time.monotonic()
        bad = roll_out_bad_version(system)
        print_progress(f'permits v2: {bad["state"]}: {bad["reason"]}')
        good = wait_for_end(system, 'booking')
        print_progress(f'booking v2: {good["state"]}: {good["reason"]}')
        time.sleep(2)
        load.stop()
        report = build_report(system, load, bad_since, good, bad)
        report['seconds'] = round(time.monotonic() - rollout_started_at, 1)
        problems = list(unmet_expectations(report, load.results, bad_since))
        stop(system)
    for problem in problems:
        print_progress(f'expectation not met: {problem}')
    print(json.dumps(report))
    return 1 if problems else 0


def start(system: cluster.Cluster) -> list[str]:
    """Starts the store, daemons and targets, and writes the configuration.

    Returns:
        The names of the hosts of booking v1.
    """
    system.start_store()
    booking = start_hosts(system, 'booking', 'v1', HOSTS_PER_DOMAIN)
    permits = start_hosts(system, 'permits', 'v1', 1)
    print_progress(
        f'{len(booking + permits)} daemons in {len(FAILURE_DOMAINS)} '
        'failure domains, each with one target on its host'
    )
    path = system.directory / 'configuration.json'
    path.write_text(json.dumps(CONFIGURATION))
    for accepted in system.ctl_json('selectors', 'apply', str(path)):
        print_progress(
            f'accepted {accepted["object"]} as version {accepted["version"]}'
        )
    cluster.wait_until(
        lambda: serves_everywhere(system), 'all proxies have targets'
    )
    print_progress('all proxies have targets of booking and permits')
    return booking


def start_hosts(
    system: cluster.Cluster, service: str, version: str, per_domain: int
) -> list[str]:
    """Starts hosts with one daemon and one target in every failure domain.

    Args:
        system: The running system.
        service: Service of the targets.
        version: Version of the targets.
        per_domain: Number of hosts per failure domain.

    Returns:
        The names of the hosts.
    """
    domain_by_host = {
        f'{domain}-{service}-{version}-{number}': domain
        for number in range(1, per_domain + 1)
        for domain in FAILURE_DOMAINS
    }
    for host, domain in domain_by_host.items():
        system.start_daemon(host, domain)
    system.wait_for_daemons()
    for host in domain_by_host:
        target_id = f'{service}-{version}-{host}'
        system.start_target(target_id, service, version, host, *TARGET_OPTIONS)
    return list(domain_by_host)


def serves_everywhere(system: cluster.Cluster) -> bool:
    """Returns whether every proxy has targets of both services."""
    return all(
        system.get_administration(host, f'/v1/explain?path=/{service}').get(
            'targets', {}
        )
        for host in system.daemon_by_name
        for service in ('booking', 'permits')
    )


def roll_out_good_version(system: cluster.Cluster) -> float:
    """Starts targets of booking v2 and the rollout of that version.

    Returns:
        The start of the rollout in monotonic seconds.
    """
    start_hosts(system, 'booking', 'v2', HOSTS_PER_DOMAIN)
    response = system.ctl_json(
        *('selectors', 'shares', 'booking', 'v2=100'),
        *('--agreed-by', f'+{GOOD_ROLLOUT_S}s'),
    )
    print_progress(
        f'rollout of booking v2 ends within {GOOD_ROLLOUT_S} s: {response}'
    )
    return time.monotonic()


def roll_out_bad_version(system: cluster.Cluster) -> dict:
    """Starts targets of permits v2 that fail, and the rollout of that version.

    Returns:
        The last state of the rollout.
    """
    start_hosts(system, 'permits', 'v2', 1)
    for target_id, target in system.target_by_id.items():
        if target_id.startswith('permits-v2'):
            address = target.addresses['http']
            cluster.wait_until(
                lambda a=address: set_error_fault(a), f'{target_id} listens'
            )
    system.ctl_json(
        *('selectors', 'shares', 'permits', 'v2=100'),
        *('--agreed-by', f'+{BAD_ROLLOUT_S}s'),
    )
    print_progress('permits v2 responds with errors; its rollout has started')
    return wait_for_end(system, 'permits')


def set_error_fault(address: str) -> bool:
    """Makes a target respond with errors.

    Returns:
        False if the target does not listen yet.
    """
    try:
        cluster.post_json(
            f'http://{address}/.control/faults', [{'kind': 'error'}]
        )
    except OSError:
        return False
    return True


def wait_for_end(system: cluster.Cluster, selector: str) -> dict[str, Any]:
    """Prints the progress of a rollout until it ends.

    Returns:
        The last state of the rollout.
    """
    shown = None
    while True:
        for rollout in system.ctl_json('rollouts', 'list'):
            if rollout['selector'] != selector:
                continue
            progress = (rollout['progress_permille'], rollout['reason'])
            if progress != shown:
                print_progress(
                    f'{selector} at {progress[0] / 10}%: {progress[1]}'
                )
            shown = progress
            if rollout['state'] != 'running':
                return rollout
        time.sleep(0.5)


def kill_daemon(system: cluster.Cluster, host: str) -> None:
    """Kills a daemon with SIGKILL."""
    time.sleep(2)
    system.daemon_by_name[host].kill()
    print_progress(f'killed the daemon {host}')


def restart_daemon(system: cluster.Cluster, host: str) -> None:
    """Restarts a killed daemon; the new process has no state."""
    system.start_daemon(host, system.daemon_by_name[host].failure_domain)
    system.wait_for_daemons()
    print_progress(f'restarted the daemon {host}')


def stop(system: cluster.Cluster) -> None:
    """Shuts down targets and daemons gracefully."""
    for processes in (system.target_by_id, system.daemon_by_name):
        for process in processes.values():
            process.signal(signal.SIGTERM)
        for process in processes.values():
            process.stop()
    print_progress('stopped all processes')


def build_report(system, load, bad_since, good, bad) -> dict[str, Any]:
    """Returns the report of the demonstration.

    Args:
        system: The running system.
        load: The callers, already stopped.
        bad_since: Start of the rollout of the bad version, in monotonic
            seconds.
        good: Last state of the rollout of the good version.
        bad: Last state of the rollout of the bad version.
    """
    counts = load.count_by_outcome()
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
        'store_calls': sum(
            daemon.get('store_calls', 0) for daemon in status['daemons']
        ),
        'bad_version_share_max': round(
            bad_version_fraction(load.results, bad_since), 4
        ),
    }


def bad_version_fraction(results, since: float) -> float:
    """Returns the fraction of permits requests that the bad version received.

    Counts the requests that ended between the start of its rollout and the end
    of its last request.

    Args:
        results: Results of all requests.
        since: Start of the rollout in monotonic seconds.
    """
    permits = [
        r for r in results if r.service == 'permits' and r.ended_at >= since
    ]
    bad = [r for r in permits if r.version == 'v2']
    if not bad:
        return 0.0
    last = max(r.ended_at for r in bad)
    during = [r for r in permits if r.ended_at <= last]
    return len(bad) / len(during)


def unmet_expectations(report, results, bad_since):
    """Yields a description of each expectation that is not met."""
    for name in ('wrong_answers', 'run_twice', 'refused_but_run'):
        if report[name]:
            yield f'{name} is {report[name]}'
    if report['good_version'] != 'done':
        yield 'the rollout of the good version is not done'
    if report['bad_version'] != 'rolled_back':
        yield 'the bad version was not rolled back'
    if not report['changes_applied']:
        yield 'no change was applied'
    if report['convergence_seconds_max'] > MAX_CONVERGENCE_S:
        yield f'a change took more than {MAX_CONVERGENCE_S} s to be applied'
    if report['bad_version_share_max'] > MAX_BAD_VERSION_FRACTION:
        yield (
            f'the bad version received more than '
            f'{MAX_BAD_VERSION_FRACTION:.0%} of the requests'
        )


def print_progress(text: str) -> None:
    """Prints a line of progress with the time since the start."""
    print(f'{time.monotonic() - STARTED_AT:6.1f} s  {text}', flush=True)


if __name__ == '__main__':
    sys.exit(main())
