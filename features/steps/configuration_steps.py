"""Steps for labels and selectors: their checks, shares and routes."""

import attrs
from behave import given
from behave import then
from behave import when

from hemlockgrade import directory
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import selectors

# Time of each change in Unix seconds.
NOW = 1_000_000.0


def add_definition(context, value, **attributes):
    """Adds a definition with the next revision of the store."""
    context.revision += 1
    definition = model.Definition(
        value=value, written_at=NOW, revision=context.revision, **attributes
    )
    definitions = context.definitions
    by_name = (
        definitions.label_by_name
        if isinstance(value, model.Label)
        else definitions.selector_by_name
    )
    by_name[value.name] = definition


def selector_body(shares, agreed_by=None):
    return {
        'name': 'booking',
        'proxies': 'edge',
        'targets': 'booking-hosts',
        'service': 'booking',
        'routes': [{'path_prefix': '/booking'}],
        'shares_by_version': shares,
        'agreed_by': agreed_by,
    }


@given('no definitions')
def start_without_definitions(context):
    context.revision = 0
    context.definitions = selectors.Definitions()


@given('labels and a selector booking that gives version v1 all traffic')
def add_booking_selector(context):
    start_without_definitions(context)
    definitions = context.definitions
    for name, kind, member in (
        ('edge', 'proxy', 'host-*'),
        ('booking-hosts', 'target', 'booking-*'),
    ):
        body = {'name': name, 'kind': kind, 'members': [member]}
        add_definition(context, selectors.check_label(definitions, name, body))
    body = selector_body({'v1': 100})
    add_definition(
        context, selectors.check_selector(definitions, 'booking', body, NOW)
    )


@when(
    'a selector with unknown labels and shares of {share:d} percent is checked'
)
def check_bad_selector(context, share):
    check_refused(context, selector_body({'v1': share}))


@when('a selector with a version that has a line break is checked')
def check_selector_with_line_break(context):
    check_refused(context, selector_body({'v\n1': 100}, agreed_by=NOW + 60))


def check_refused(context, body):
    """Checks a selector and keeps the names of the fields that are refused."""
    try:
        selectors.check_selector(context.definitions, 'booking', body, NOW)
    except exceptions.InvalidChangeError as error:
        context.refused_fields = [e.field for e in error.exceptions]


@then('the fields {names} are refused')
def check_refused_fields(context, names):
    assert context.refused_fields == names.split(', '), context.refused_fields


@when('the selector booking gives version {version} all traffic')
def give_all_traffic(context, version):
    definitions = context.definitions
    body = selector_body({version: 100}, agreed_by=NOW + 60)
    selector = selectors.check_selector(definitions, 'booking', body, NOW)
    add_definition(
        context,
        selector,
        new_version=selectors.new_version(definitions, selector),
        former_shares_by_version=definitions.stable_shares('booking'),
    )


def set_rollout(context, **attributes):
    definition = context.definitions.selector_by_name['booking']
    share = model.VersionShare(
        **{
            'key': 'selector.booking',
            'service': 'booking',
            'version': 'v2',
            'permille': 0,
            'state': model.RolloutState.RUNNING,
            'order_revision': definition.revision,
            **attributes,
        }
    )
    context.definitions.share_by_key[share.key] = share


@when('the rollout of booking progresses to {permille:d} permille')
def set_progress(context, permille):
    set_rollout(context, permille=permille)


@when('the rollout of booking is {state}')
def end_rollout(context, state):
    set_rollout(context, state=model.RolloutState(state))


@then('booking is served by {shares}')
def check_shares(context, shares):
    expected = {}
    for share in shares.split(' and '):
        version, _, percent, _ = share.split()
        expected[version] = int(percent) / 100
    actual = context.definitions.traffic_fractions('booking')
    assert actual == expected, actual


@then(
    'the removal of label {name} is refused with an error in the field {field}'
)
def check_removal_refused(context, name, field):
    try:
        selectors.check_removal(context.definitions, 'label', name)
    except exceptions.InvalidChangeError as error:
        assert [e.field for e in error.exceptions] == [field]
        return
    raise AssertionError('the removal was allowed')


@then('the proxy {proxy_id} has the route {prefix} to targets {pattern}')
def check_route(context, proxy_id, prefix, pattern):
    (route,) = context.definitions.routes_for(proxy_id)
    assert (route.prefix, route.targets.members) == (prefix, (pattern,)), route


@then('the proxy {proxy_id} has no route')
def check_no_route(context, proxy_id):
    assert not context.definitions.routes_for(proxy_id)


@given('a route table of selectors with prefixes {first}, {second} and {third}')
def build_route_table(context, first, second, third):
    context.directory = directory.Directory('host-1')
    label = model.Label(name='all', kind=model.LabelKind.PROXY, members=('*',))
    targets = attrs.evolve(label, name='t', kind=model.LabelKind.TARGET)
    prefixes = (first, second, third)
    selector = model.Selector(
        name='booking',
        proxies='all',
        targets='t',
        service='booking',
        routes=tuple(model.SelectorRoute(path_prefix=p) for p in prefixes),
        shares_by_version={'v1': 100},
    )
    for number, value in enumerate((label, targets, selector), 1):
        context.directory.apply_definition(
            model.Definition(value=value, revision=number), 'test'
        )


@then('the path {path} selects the prefix {prefix}')
def check_selected_prefix(context, path, prefix):
    found = context.directory.match('any.example', path).route.prefix
    assert found == prefix, found


@when('the configuration routes {prefix} of {host}')
def add_configured_route(context, prefix, host):
    route = model.Route(
        name='configured',
        host=host,
        prefix=prefix,
        idempotent=True,
        attempts=1,
        timeout_s=1.0,
        target_latency_s=1.0,
        priority=0,
        shares=(model.ServiceShare(service='other', weight=1.0),),
    )
    new = model.MeshConfiguration(
        version=1,
        routes=(route,),
        check_path_by_service={},
        limits=model.CallerLimits(),
        document=None,
    )
    context.directory.apply_configuration(new, 'test')


@then('a request for {path} of {host} uses the {origin}')
def check_route_origin(context, path, host, origin):
    route = context.directory.match(host, path).route
    expected = '' if origin == 'configuration' else 'booking'
    assert route.selector == expected, route
