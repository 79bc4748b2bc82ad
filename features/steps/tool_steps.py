"""Steps for hemlockctl and the administration API of a running system."""

import copy
import json
import urllib.error
import urllib.request

from behave import then
from behave import when

from features.steps import system_steps
from standins import checks
from standins import cluster


def ctl_json(context, *arguments):
    return context.system.ctl_json(*arguments)


@then('hemlockctl lists the labels edge, booking and the selector booking')
def check_lists(context):
    labels = [each['name'] for each in ctl_json(context, 'labels', 'list')]
    selectors = [
        each['name'] for each in ctl_json(context, 'selectors', 'list')
    ]
    assert (sorted(labels), selectors) == (['booking', 'edge'], ['booking'])


@then('it explains that {path} is served by selector {name} with {version}')
def check_explanation(context, path, name, version):
    found = ctl_json(context, 'explain', path)
    assert found['selector'] == name and list(found['shares']) == [version]


@then('it explains that {path} has no route')
def check_explains_no_route(context, path):
    assert ctl_json(context, 'explain', path)['route'] is None


@then(
    'its status shows {daemons:d} daemons with one version and {targets:d} ready targets'
)
def check_status(context, daemons, targets):
    found = ctl_json(context, 'status')
    assert len(found['daemons']) == daemons and not found['unreachable']
    assert found['lowest_version'] == found['highest_version'], found
    ready = [t for t in found['targets'] if t['state'] == 'ready']
    assert len(ready) == targets, found['targets']


@then(
    'its time line shows the change of selector {name} on every daemon in order'
)
def check_timeline(context, name):
    events = ctl_json(context, 'timeline')
    assert events == sorted(events, key=lambda e: e['time'])
    applied = {
        e['process']
        for e in events
        if e['kind'] == 'change_applied' and e['fields']['name'] == name
    }
    assert applied == set(context.system.daemon_by_name), events


@then('its time line about "{known}" has events, and about "{unknown}" none')
def check_filtered_timeline(context, known, unknown):
    assert ctl_json(context, 'timeline', '--about', known)
    found = ctl_json(context, 'timeline', '--about', unknown)
    assert not found, found


@when('the label {name} is set with hemlockctl to the members {members}')
def set_label(context, name, members):
    text = members.replace(' and ', ',')
    context.system.ctl_json(
        'labels', 'set', name, '--kind', 'proxy', '--members', text
    )


@then('hemlockctl lists the label {name} with the members {members}')
def check_label_members(context, name, members):
    listed = ctl_json(context, 'labels', 'list')
    members_by_name = {each['name']: each['members'] for each in listed}
    assert members_by_name.get(name) == members.split(' and '), listed


@when('the {kind} {name} is removed with hemlockctl')
def remove(context, kind, name):
    context.result = context.system.ctl(f'{kind}s', 'remove', name)


@then('hemlockctl ends with exit code {code:d}')
def check_exit_code(context, code):
    assert context.result.returncode == code, context.result


@then('hemlockctl ends with exit code {code:d} and names the field {field}')
def check_exit_code_and_field(context, code, field):
    check_exit_code(context, code)
    problems = json.loads(context.result.stdout)['problems']
    assert any(p.startswith(f'{field}: ') for p in problems), problems


@then('no proxy serves {path}')
def check_not_served(context, path):
    def is_route_removed():
        return all(
            fetch_status_code(process, path) == 404
            for process in context.system.running_daemons()
        )

    cluster.wait_until(is_route_removed, f'no proxy has a route for {path}')


def fetch_status_code(process, path):
    address = process.addresses['proxy_address']
    try:
        with urllib.request.urlopen(f'http://{address}{path}') as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code


@when('a selector is applied with {fault}')
def apply_bad_selector(context, fault):
    content = copy.deepcopy(system_steps.CONFIGURATION)
    content['labels'] = []
    selector = content['selectors'][0]
    selector['name'] = 'other'
    selector['routes'] = [{'path_prefix': '/other'}]
    if fault == 'an unknown label':
        selector['targets'] = 'no-such-label'
    elif fault == 'shares of 110 percent':
        selector['shares_by_version'] = {'v1': 100, 'v2': 10}
    elif fault == 'an agreed_by time in the past':
        selector['name'] = 'booking'
        selector['shares_by_version'] = {'v2': 100}
        selector['agreed_by'] = 1.0
    elif fault == 'an unknown field':
        selector['colour'] = 'red'
    else:
        selector['routes'] = [
            {'path_prefix': f'/other/{number}'} for number in range(400)
        ]
    path = context.system.directory / 'bad.json'
    path.write_text(json.dumps(content))
    context.result = context.system.ctl('selectors', 'apply', str(path))


@then('the store has only the {count:d} objects of the operator, all unchanged')
def check_objects_unchanged(context, count):
    objects = checks.read_mesh_objects(context.system, 'label.', 'selector.')
    assert len(objects) == count, objects
    assert all(
        o['Metadata']['Rev'] == o['Metadata']['CreateRev'] for o in objects
    )


@then('the metrics page shows {name}')
def check_metrics(context, name):
    page = read_metrics(context, cluster.TOKEN)[1]
    assert name in page, page


@then('the metrics page without the token has status {code:d}')
def check_metrics_refused(context, code):
    assert read_metrics(context, '')[0] == code


def read_metrics(context, token):
    process = context.system.running_daemons()[0]
    address = process.addresses['administration_address']
    request = urllib.request.Request(
        f'http://{address}/metrics',
        headers={'authorization': f'Bearer {token}'},
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, ''
