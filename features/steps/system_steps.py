"""Steps for a system of separate processes: store, daemons and targets."""

import concurrent.futures
import json
import pathlib
import signal
import tempfile
import urllib.error
import urllib.request

from behave import given
from behave import then
from behave import when

from standins import callers
from standins import checks
from standins import cluster

# Longest wait for requests, the end of a rollout or of a process, in seconds.
WAIT_S = 60.0
CONFIGURATION = {
    'labels': [
        {'name': 'edge', 'kind': 'proxy', 'members': ['*']},
        {'name': 'booking', 'kind': 'target', 'members': ['booking-*']},
    ],
    'selectors': [
        {
            'name': 'booking',
            'proxies': 'edge',
            'targets': 'booking',
            'service': 'booking',
            'routes': [{'path_prefix': '/booking', 'timeout_ms': 5000}],
            'shares_by_version': {'v1': 100},
        }
    ],
}


@given('a system of {domains:d} failure domains with {count:d} daemons each')
def start_system(context, domains, count):
    directory = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
    context.add_cleanup(directory.cleanup)
    system = cluster.Cluster(pathlib.Path(directory.name))
    context.system = system
    context.add_cleanup(system.__exit__, None, None, None)
    system.start_store()
    for domain in 'abc'[:domains]:
        for number in range(1, count + 1):
            system.start_daemon(f'{domain}-{number}', domain)
    system.wait_for_daemons()
    for host in system.daemon_by_name:
        start_target(system, 'v1', host)
    path = system.directory / 'configuration.json'
    path.write_text(json.dumps(CONFIGURATION))
    system.ctl_json('selectors', 'apply', str(path))
    total = len(system.daemon_by_name)
    cluster.wait_until(
        lambda: all(
            has_targets(system, h, 'v1', total)
            for h in running_daemon_names(system)
        ),
        'every proxy routes to every target',
    )


def start_target(system, version, host, *options):
    system.start_target(
        f'booking-{version}-{host}',
        'booking',
        version,
        host,
        '--service-ms',
        '3',
        *options,
    )


def running_daemon_names(system):
    """Returns the names of the daemons that run."""
    return [p.name for p in system.running_daemons()]


def has_targets(system, host, version, count):
    """Tells whether a daemon routes to `count` targets of a version."""
    try:
        found = system.get_administration(host, '/v1/explain?path=/booking')
    except OSError:
        return False
    return len(found.get('targets', {}).get(version, ())) == count


def status(system):
    return system.ctl_json('status')


def lease_holder(system):
    """Returns the daemon with the rollout lease; None if there is none."""
    for daemon in status(system)['daemons']:
        if daemon.get('leases'):
            return daemon['daemon_id']
    return None


def start_callers(context, path, interval_s):
    started_callers = callers.Callers(
        [
            p.addresses['proxy_address']
            for p in context.system.running_daemons()
        ],
        [path],
        per_address=6,
        interval_s=interval_s,
    )
    context.callers = started_callers
    context.add_cleanup(started_callers.stop)
    started_callers.start()


@given('callers send requests to every proxy')
def send_requests(context):
    start_callers(context, '/booking', 0.03)
    cluster.wait_until(
        lambda: len(context.callers.results) >= 100, '100 requests have ended'
    )


@given('callers send slow requests to every proxy')
def send_slow_requests(context):
    for target in context.system.target_by_id.values():
        cluster.post_json(
            f'http://{target.addresses["http"]}/.control/faults',
            [{'kind': 'slow', 'ms': 500}],
        )
    start_callers(context, '/booking', 0.1)
    cluster.wait_until(
        lambda: len(context.callers.results) >= 20, '20 requests have ended'
    )


@when('{count:d} more requests have ended')
@then('{count:d} more requests have ended')
def wait_for_requests(context, count):
    wanted = len(context.callers.results) + count
    cluster.wait_until(
        lambda: len(context.callers.results) >= wanted,
        'more requests have ended',
        WAIT_S,
    )


@when('the daemon {name} is killed and restarted')
def kill_and_restart(context, name):
    context.killed = name
    daemon = context.system.daemon_by_name[name]
    daemon.kill()
    wait_for_requests(context, 100)
    context.system.start_daemon(name, daemon.failure_domain)
    context.system.wait_for_daemons()


@when('all daemons of failure domain {domain} are killed')
def kill_domain(context, domain):
    context.killed_daemons = [
        p
        for p in context.system.daemon_by_name.values()
        if p.failure_domain == domain
    ]
    for daemon in context.killed_daemons:
        daemon.signal(signal.SIGKILL)
    for daemon in context.killed_daemons:
        daemon.kill()


@when('all daemons of failure domain {domain} are restarted')
def restart_domain(context, domain):
    for daemon in context.killed_daemons:
        context.system.start_daemon(daemon.name, domain)
    context.system.wait_for_daemons()


@when('an operator sets the label {name}')
def set_label(context, name):
    context.system.ctl_json(
        *('labels', 'set', name, '--kind', 'proxy', '--members', 'none')
    )


@then("an operator's change is accepted")
def check_change_accepted(context):
    cluster.wait_until(
        lambda: not try_change(context.system).returncode,
        'the change is accepted',
    )


@then("an operator's change is refused as unavailable")
def check_change_refused(context):
    result = try_change(context.system)
    assert result.returncode == 6, result


def try_change(system):
    return system.ctl(
        *('labels', 'set', 'later', '--kind', 'proxy', '--members', 'none')
    )


@when(
    'a rollout of booking to v2 is ordered with agreed_by in {seconds:d} seconds'
)
def order_rollout(context, seconds):
    system = context.system
    # A host has one target, so the new version runs on additional hosts.
    hosts = list(system.daemon_by_name.values())
    for daemon in hosts:
        system.start_daemon(f'{daemon.name}-new', daemon.failure_domain)
    system.wait_for_daemons()
    for daemon in hosts:
        start_target(system, 'v2', f'{daemon.name}-new')
    system.ctl_json(
        *('selectors', 'shares', 'booking', 'v2=100'),
        *('--agreed-by', f'+{seconds}s'),
    )


def rollout(system):
    found = system.ctl_json('rollouts', 'list')
    return next((r for r in found if r['selector'] == 'booking'), None)


@when('the rollout of booking has reached {percent:d} percent')
def wait_for_progress(context, percent):
    cluster.wait_until(
        lambda: (
            (rollout(context.system) or {}).get('progress_permille', 0)
            >= percent * 10
        ),
        'the rollout has made progress',
    )


@when('the holder of the rollout lease is killed')
def kill_holder(context):
    context.killed = lease_holder(context.system)
    context.system.daemon_by_name[context.killed].kill()


@when('the holder of the rollout lease is frozen until another daemon holds it')
def freeze_holder(context):
    system = context.system
    frozen = lease_holder(system)
    process = system.daemon_by_name[frozen]
    epoch = checks.read_booking_rollout(system)['epoch']
    process.signal(signal.SIGSTOP)
    try:
        cluster.wait_until(
            lambda: checks.read_booking_rollout(system)['epoch'] > epoch,
            'the rollout has another epoch',
        )
    finally:
        process.signal(signal.SIGCONT)


@then('the rollout of booking ends as {state}')
def check_rollout_end(context, state):
    cluster.wait_until(
        lambda: rollout(context.system)['state'] != 'running',
        'the rollout has ended',
        WAIT_S,
    )
    ended_rollout = rollout(context.system)
    assert ended_rollout['state'] == state, ended_rollout


@then('its steps belong to {count:d} epochs and none is stale')
def check_epochs(context, count):
    steps = checks.rollout_steps(context.system)
    epochs = {step['epoch'] for step in steps}
    assert len(epochs) == count, steps
    assert not checks.find_stale_steps(steps), steps


@then('the configuration version never decreased on any daemon')
def check_versions_never_decreased(context):
    events = context.system.ctl_json('timeline')
    assert not checks.find_version_regressions(events), events


@when('the platform has an outage')
def start_platform_outage(context):
    context.system.set_store_faults(down=True)


@when('the platform is available again')
def end_platform_outage(context):
    context.system.set_store_faults()


@when('failure domain {domain} is disconnected from the platform')
def disconnect_from_platform(context, domain):
    address = context.system.store_address(domain)
    port = int(address.rpartition(':')[2])
    context.system.set_store_faults(refuse_ports=[port])


@when('the responses of the store to the next {count:d} writes are lost')
def lose_store_responses(context, count):
    context.system.set_store_faults(lose_answers=count)


@then('the store has written the label {name} once')
def check_label_written_once(context, name):
    item = checks.read_mesh_object(context.system, f'label.{name}')
    metadata = item['Metadata']
    assert metadata['Rev'] == metadata['CreateRev'], metadata


@then('every daemon has the newest version')
def check_newest_version(context):
    system = context.system

    def all_newest():
        found = status(system)
        last = checks.newest_revision(system)
        return not found['unreachable'] and found['lowest_version'] >= last

    cluster.wait_until(all_newest, 'every daemon has the newest version')
    delays = checks.convergence_delays(system.ctl_json('timeline'))
    # The users' limit: a change is in force everywhere within 6 s.
    assert max(delays, default=0.0) <= 6.0, max(delays)


@when(
    '{count:d} operators change the selector booking {rounds:d} times from the same version'
)
def change_concurrently(context, count, rounds):
    system = context.system
    context.results_by_round = []
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        for number in range(rounds):
            host = f'{running_daemon_names(system)[number % 2]}'
            found = system.get_administration(host, '/v1/selectors')
            body = found['selectors'][0]
            futures = [
                pool.submit(
                    put_selector,
                    system,
                    running_daemon_names(system)[index % 2],
                    {**body, 'routes': build_routes(number, index)},
                    found['version'],
                )
                for index in range(count)
            ]
            context.results_by_round.append(
                [future.result() for future in futures]
            )
            check_newest_version(context)


def build_routes(number, index):
    prefixes = ['/booking', f'/race-{number}-{index}']
    return [{'path_prefix': p, 'timeout_ms': 5000} for p in prefixes]


def put_selector(system, host, body, version):
    address = system.daemon_by_name[host].addresses['administration_address']
    request = urllib.request.Request(
        f'http://{address}/v1/selectors/booking',
        data=json.dumps(body).encode(),
        method='PUT',
        headers={
            'authorization': f'Bearer {cluster.TOKEN}',
            'if-match': str(version),
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


@then(
    'each time one change is accepted and the error names the accepted version'
)
def check_one_accepted(context):
    for results in context.results_by_round:
        codes = sorted(code for code, _ in results)
        assert codes == [200, 409], results
        accepted = next(
            json.loads(text) for code, text in results if code == 200
        )
        error = next(text for code, text in results if code == 409)
        assert str(accepted['accepted']) in error, results


@when('the target {target_id} gets SIGTERM')
def stop_target(context, target_id):
    context.stopping = context.system.target_by_id[target_id]
    context.stopping.signal(signal.SIGTERM)


@when('the daemon {name} gets SIGTERM')
def stop_daemon(context, name):
    context.stopping = context.system.daemon_by_name[name]
    context.stopping.signal(signal.SIGTERM)


@then('the process ends')
def wait_for_end(context):
    context.stopping.popen.wait(WAIT_S)


@then('the process ends with exit code {code:d}')
def check_exit_code(context, code):
    assert context.stopping.popen.wait(WAIT_S) == code


@then('no request was refused or has an unknown outcome')
def check_none_refused(context):
    counts = context.callers.count_by_outcome()
    assert not counts['refused'] and not counts['unknown'], counts


@then('no request has an unknown outcome')
def check_none_unknown(context):
    context.callers.stop()
    counts = context.callers.count_by_outcome()
    assert not counts['unknown'], counts


@then('no GET request at another proxy has an unknown outcome')
def check_other_proxies(context):
    killed = context.system.daemon_by_name[context.killed]
    address = killed.addresses['proxy_address']
    others = [r for r in context.callers.results if r.proxy != address]
    unknown = [
        r for r in others if r.outcome == 'unknown' and r.method == 'GET'
    ]
    assert not unknown, unknown


@then('responses are correct, no POST ran twice and no refused request ran')
def check_results(context):
    context.callers.stop()
    results = context.callers.results
    log = checks.read_target_logs(context.system)
    counts = context.callers.count_by_outcome()
    assert counts['answered'] > 0 and not counts['wrong'], counts
    assert not checks.find_repeated_runs(log)
    assert not checks.find_refused_but_run(log, results)


@when('a label is sent without the token')
def send_without_token(context):
    system = context.system
    context.before = checks.newest_revision(system, 'label.', 'selector.')
    address = system.daemon_by_name['a-1'].addresses['administration_address']
    body = {'name': 'x', 'kind': 'proxy', 'members': ['*']}
    request = urllib.request.Request(
        f'http://{address}/v1/labels/x',
        data=json.dumps(body).encode(),
        method='PUT',
    )
    try:
        urllib.request.urlopen(request, timeout=10).close()
    except urllib.error.HTTPError as error:
        context.code = error.code


@then('the status is 401 and nothing is written')
def check_refused_without_token(context):
    assert context.code == 401
    after = checks.newest_revision(context.system, 'label.', 'selector.')
    assert after == context.before, after
