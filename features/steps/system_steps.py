"""Steps on a system of separate processes."""

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
        lambda: all(knows(system, h, 'v1', total) for h in living(system)),
        'every proxy knows every target',
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


def living(system):
    return [p.name for p in system.running_daemons()]


def knows(system, host, version, count):
    try:
        found = system.get_administration(host, '/v1/explain?path=/booking')
    except OSError:
        return False
    return len(found.get('targets', {}).get(version, ())) == count


def status(system):
    return system.ctl_json('status')


def holder(system):
    """Returns the daemon that holds the rollout of booking, if one does."""
    for daemon in status(system)['daemons']:
        if daemon.get('leases'):
            return daemon['daemon_id']
    return None


def start_callers(context, path, interval_s):
    load = callers.Callers(
        [
            p.addresses['proxy_address']
            for p in context.system.running_daemons()
        ],
        [path],
        per_address=6,
        interval_s=interval_s,
    )
    context.load = load
    context.add_cleanup(load.stop)
    load.start()


@given('callers send requests to every proxy')
def send_requests(context):
    start_callers(context, '/booking', 0.03)
    cluster.wait_until(lambda: len(context.load.results) >= 100, 'requests')


@given('callers send slow requests to every proxy')
def send_slow_requests(context):
    for target in context.system.target_by_id.values():
        cluster.post_json(
            f'http://{target.addresses["http"]}/.control/faults',
            [{'kind': 'slow', 'ms': 500}],
        )
    start_callers(context, '/booking', 0.1)
    cluster.wait_until(lambda: len(context.load.results) >= 20, 'requests')


@when('{count:d} more requests have ended')
@then('{count:d} more requests have ended')
def more_requests(context, count):
    enough = len(context.load.results) + count
    cluster.wait_until(
        lambda: len(context.load.results) >= enough, 'more requests', WAIT_S
    )


@when('the daemon {name} is killed and started again')
def kill_and_restart(context, name):
    context.killed = name
    daemon = context.system.daemon_by_name[name]
    daemon.kill()
    more_requests(context, 100)
    context.system.start_daemon(name, daemon.failure_domain)
    context.system.wait_for_daemons()


@when('all daemons of domain {domain} are killed')
def kill_domain(context, domain):
    context.killed_domain = [
        p
        for p in context.system.daemon_by_name.values()
        if p.failure_domain == domain
    ]
    for daemon in context.killed_domain:
        daemon.signal(signal.SIGKILL)
    for daemon in context.killed_domain:
        daemon.kill()


@when('all daemons of domain {domain} are started again')
def restart_domain(context, domain):
    for daemon in context.killed_domain:
        context.system.start_daemon(daemon.name, domain)
    context.system.wait_for_daemons()


@when('an operator sets the label {name}')
def set_label(context, name):
    context.system.ctl_json(
        *('labels', 'set', name, '--kind', 'proxy', '--members', 'none')
    )


@then("an operator's change is accepted")
def change_accepted(context):
    cluster.wait_until(
        lambda: not try_change(context.system).returncode, 'change accepted'
    )


@then("an operator's change is refused as unavailable")
def change_refused(context):
    result = try_change(context.system)
    assert result.returncode == 6, result


def try_change(system):
    return system.ctl(
        *('labels', 'set', 'later', '--kind', 'proxy', '--members', 'none')
    )


@when(
    'version v2 of booking is named with {seconds:d} seconds to the agreed time'
)
def name_version(context, seconds):
    system = context.system
    # A host has one target, so the new version comes on hosts of its own.
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
def rollout_reached(context, percent):
    cluster.wait_until(
        lambda: (
            (rollout(context.system) or {}).get('progress_permille', 0)
            >= percent * 10
        ),
        'rollout progress',
    )


@when('the holder of the rollout lease is killed')
def kill_holder(context):
    context.killed = holder(context.system)
    context.system.daemon_by_name[context.killed].kill()


@when('the holder of the rollout lease is frozen until another holds it')
def freeze_holder(context):
    system = context.system
    frozen = holder(system)
    process = system.daemon_by_name[frozen]
    epoch = checks.read_booking_rollout(system)['epoch']
    process.signal(signal.SIGSTOP)
    try:
        cluster.wait_until(
            lambda: checks.read_booking_rollout(system)['epoch'] > epoch,
            'another epoch',
        )
    finally:
        process.signal(signal.SIGCONT)


@then('the rollout of booking ends as {state}')
def rollout_ends(context, state):
    cluster.wait_until(
        lambda: rollout(context.system)['state'] != 'running',
        'end of the rollout',
        WAIT_S,
    )
    ended = rollout(context.system)
    assert ended['state'] == state, ended


@then('the steps are of {count:d} epochs, none stale')
def steps_of_epochs(context, count):
    steps = checks.rollout_steps(context.system)
    epochs = {step['epoch'] for step in steps}
    assert len(epochs) == count, steps
    assert not checks.find_stale_steps(steps), steps


@then('the configuration version never fell on any daemon')
def versions_never_fell(context):
    events = context.system.ctl_json('timeline')
    assert not checks.find_version_regressions(events), events


@when('the platform has an outage')
def platform_outage(context):
    context.system.set_store_faults(down=True)


@when('the platform answers again')
def platform_back(context):
    context.system.set_store_faults()


@when('domain {domain} is cut from the platform')
def cut_from_platform(context, domain):
    address = context.system.store_address(domain)
    port = int(address.rpartition(':')[2])
    context.system.set_store_faults(refuse_ports=[port])


@when('the answers of the next {count:d} writes to the store are lost')
def lose_answers(context, count):
    context.system.set_store_faults(lose_answers=count)


@then('the store has written the label {name} once')
def label_once(context, name):
    item = checks.read_mesh_object(context.system, f'label.{name}')
    metadata = item['Metadata']
    assert metadata['Rev'] == metadata['CreateRev'], metadata


@then('every daemon is on the newest version')
def all_newest(context):
    system = context.system

    def newest():
        found = status(system)
        last = checks.newest_revision(system)
        return not found['unreachable'] and found['lowest_version'] >= last

    cluster.wait_until(newest, 'every daemon on the newest version')
    delays = checks.convergence_delays(system.ctl_json('timeline'))
    assert max(delays, default=0.0) <= 6.0, max(delays)


@when(
    '{count:d} operators change the selector booking {rounds:d} times from the same version'
)
def race(context, count, rounds):
    system = context.system
    context.races = []
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        for number in range(rounds):
            address = f'{living(system)[number % 2]}'
            found = system.get_administration(address, '/v1/selectors')
            body = found['selectors'][0]
            calls = [
                pool.submit(
                    put_selector,
                    system,
                    living(system)[index % 2],
                    {**body, 'routes': routes(number, index)},
                    found['version'],
                )
                for index in range(count)
            ]
            context.races.append([call.result() for call in calls])
            all_newest(context)


def routes(number, index):
    prefixes = ['/booking', f'/race-{number}-{index}']
    return [{'path_prefix': p, 'timeout_ms': 5000} for p in prefixes]


def put_selector(system, host, body, version):
    address = system.daemon_by_name[host].addresses['administration_address']
    call = urllib.request.Request(
        f'http://{address}/v1/selectors/booking',
        data=json.dumps(body).encode(),
        method='PUT',
        headers={
            'authorization': f'Bearer {cluster.TOKEN}',
            'if-match': str(version),
        },
    )
    try:
        with urllib.request.urlopen(call, timeout=10) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


@then('each race has one winner and the loser is told the winning version')
def one_winner(context):
    for results in context.races:
        codes = sorted(code for code, _ in results)
        assert codes == [200, 409], results
        winner = next(json.loads(text) for code, text in results if code == 200)
        loser = next(text for code, text in results if code == 409)
        assert str(winner['accepted']) in loser, results


@when('the target {target_id} is asked to stop')
def stop_target(context, target_id):
    context.stopping = context.system.target_by_id[target_id]
    context.stopping.signal(signal.SIGTERM)


@when('the daemon {name} is asked to stop')
def stop_daemon(context, name):
    context.stopping = context.system.daemon_by_name[name]
    context.stopping.signal(signal.SIGTERM)


@then('it ends by itself')
def ends(context):
    context.stopping.popen.wait(WAIT_S)


@then('it ends by itself with exit code {code:d}')
def ends_with(context, code):
    assert context.stopping.popen.wait(WAIT_S) == code


@then('no request was refused or unknown')
def none_refused(context):
    counts = context.load.count_by_outcome()
    assert not counts['refused'] and not counts['unknown'], counts


@then('no request has an unknown outcome')
def none_unknown(context):
    context.load.stop()
    counts = context.load.count_by_outcome()
    assert not counts['unknown'], counts


@then('every answer of the other proxies is a whole one or a true refusal')
def others_unharmed(context):
    killed = context.system.daemon_by_name[context.killed]
    address = killed.addresses['proxy_address']
    others = [r for r in context.load.results if r.proxy != address]
    posts = [r for r in others if r.outcome == 'unknown' and r.method == 'GET']
    assert not posts, posts


@then("the callers' promises hold")
def promises_hold(context):
    context.load.stop()
    results = context.load.results
    log = checks.read_target_logs(context.system)
    counts = context.load.count_by_outcome()
    assert counts['answered'] > 0 and not counts['wrong'], counts
    assert not checks.find_repeated_runs(log)
    assert not checks.find_refused_but_run(log, results)


@when('a label is sent without the token')
def send_without_token(context):
    system = context.system
    context.before = checks.newest_revision(system, 'label.', 'selector.')
    address = system.daemon_by_name['a-1'].addresses['administration_address']
    body = {'name': 'x', 'kind': 'proxy', 'members': ['*']}
    call = urllib.request.Request(
        f'http://{address}/v1/labels/x',
        data=json.dumps(body).encode(),
        method='PUT',
    )
    try:
        urllib.request.urlopen(call, timeout=10).close()
    except urllib.error.HTTPError as error:
        context.code = error.code


@then('the answer is 401 and nothing is written')
def refused_without_token(context):
    assert context.code == 401
    after = checks.newest_revision(context.system, 'label.', 'selector.')
    assert after == context.before, after
