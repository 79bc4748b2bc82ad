"""Steps on labels and selectors: their checks and the routes they give."""

import attrs
from behave import given
from behave import then
from behave import when

from hemlockgrade import directory
from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import selectors

NOW = 1_000_000.0


def define(context, value, **facts):
    """Adds a definition as the store would hold it."""
    context.revision += 1
    definition = model.Definition(
        value=value, written_at=NOW, revision=context.revision, **facts
    )
    known = context.definitions
    by_name = (
        known.label_by_name
        if isinstance(value, model.Label)
        else known.selector_by_name
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


@given('nothing is defined')
def nothing_defined(context):
    context.revision = 0
    context.definitions = selectors.Definitions()


@given('labels and a selector by which version v1 serves all of booking')
def with_booking(context):
    nothing_defined(context)
    known = context.definitions
    for name, kind, member in (
        ('edge', 'proxy', 'host-*'),
        ('booking-hosts', 'target', 'booking-*'),
    ):
        body = {'name': name, 'kind': kind, 'members': [member]}
        define(context, selectors.check_label(known, name, body))
    body = selector_body({'v1': 100})
    define(context, selectors.check_selector(known, 'booking', body, NOW))


@when(
    'a selector with unknown labels and shares of {share:d} percent is checked'
)
def check_bad_selector(context, share):
    body = selector_body({'v1': share})
    try:
        selectors.check_selector(context.definitions, 'booking', body, NOW)
    except exceptions.InvalidChangeError as error:
        context.refused = [e.field for e in error.exceptions]


@then('the fields {names} are refused')
def fields_refused(context, names):
    assert context.refused == names.split(', '), context.refused


@when('version {version} is named for all of booking')
def name_version(context, version):
    known = context.definitions
    body = selector_body({version: 100}, agreed_by=NOW + 60)
    selector = selectors.check_selector(known, 'booking', body, NOW)
    define(
        context,
        selector,
        new_version=selectors.new_version(known, selector),
        former_shares_by_version=known.stable_shares('booking'),
    )


def set_rollout(context, **facts):
    definition = context.definitions.selector_by_name['booking']
    share = model.VersionShare(
        **{
            'key': 'selector.booking',
            'service': 'booking',
            'version': 'v2',
            'permille': 0,
            'state': model.RolloutState.RUNNING,
            'order_revision': definition.revision,
            **facts,
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
def served_by(context, shares):
    expected = {}
    for part in shares.split(' and '):
        version, _, percent, _ = part.split()
        expected[version] = int(percent) / 100
    actual = context.definitions.current_shares('booking')
    assert actual == expected, actual


@then('the removal of label {name} is refused by the field {field}')
def removal_refused(context, name, field):
    try:
        selectors.check_removal(context.definitions, 'label', name)
    except exceptions.InvalidChangeError as error:
        assert [e.field for e in error.exceptions] == [field]
        return
    raise AssertionError('the removal was allowed')


@then('the proxy {proxy_id} has the route {prefix} to targets {pattern}')
def has_route(context, proxy_id, prefix, pattern):
    (route,) = context.definitions.routes_for(proxy_id)
    assert (route.prefix, route.targets.members) == (prefix, (pattern,)), route


@then('the proxy {proxy_id} has no route')
def has_no_route(context, proxy_id):
    assert not context.definitions.routes_for(proxy_id)


@given('a route table of selectors with prefixes {first}, {second} and {third}')
def selectors_with_prefixes(context, first, second, third):
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


@then('the path {path} leads to {prefix}')
def leads_to(context, path, prefix):
    found = context.directory.match('any.example', path).route.prefix
    assert found == prefix, found


@when('the configuration routes {prefix} of {host}')
def configuration_routes(context, prefix, host):
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


@then("a request for {path} of {host} takes the {origin}'s")
def takes(context, path, host, origin):
    route = context.directory.match(host, path).route
    expected = '' if origin == 'configuration' else 'booking'
    assert route.selector == expected, route
