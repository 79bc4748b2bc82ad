"""Steps on validation and application of changes."""

from behave import given
from behave import then
from behave import when

from hemlockgrade import configuration
from hemlockgrade import exceptions
from hemlockgrade import model

NOW = 1_000_000.0


def change(context, kind, name, body=None, epoch=0):
    return model.Change(
        number=context.configuration.version + 1,
        change_id=f'c{context.configuration.version + 1}',
        kind=model.ChangeKind(kind),
        name=name,
        body=body or {},
        epoch=epoch,
        written_at=NOW,
    )


def accept(context, *arguments, **options):
    entry = change(context, *arguments, **options)
    configuration.validate(context.configuration, entry, NOW)
    context.configuration = configuration.apply(context.configuration, entry)


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


@given('an empty configuration')
def empty_configuration(context):
    context.configuration = configuration.Configuration()


@given('a configuration in which version v1 serves all of booking')
def configuration_with_booking(context):
    empty_configuration(context)
    for name, kind in (('edge', 'proxy'), ('booking-hosts', 'target')):
        accept(
            context,
            'put_label',
            name,
            {'name': name, 'kind': kind, 'members': ['*']},
        )
    accept(context, 'put_selector', 'booking', selector_body({'v1': 100}))


@when(
    'a selector with unknown labels and shares of {share:d} percent is checked'
)
def check_bad_selector(context, share):
    entry = change(
        context, 'put_selector', 'booking', selector_body({'v1': share})
    )
    try:
        configuration.validate(context.configuration, entry, NOW)
    except exceptions.InvalidChangeError as error:
        context.refused = [e.field for e in error.exceptions]


@then('the fields {names} are refused')
def fields_refused(context, names):
    assert context.refused == names.split(', '), context.refused


@when('version v2 is named for all of booking')
def name_v2(context):
    accept(
        context,
        'put_selector',
        'booking',
        selector_body({'v2': 100}, agreed_by=NOW + 60),
    )


@when('epoch {epoch:d} of the rollout lease begins')
def begin_epoch(context, epoch):
    accept(context, 'epoch', 'rollout', epoch=epoch)


@when(
    'the rollout of booking progresses to {permille:d} permille in epoch {epoch:d}'
)
def set_progress(context, permille, epoch):
    rollout = context.configuration.rollouts_by_selector['booking']
    accept(
        context,
        'set_progress',
        'booking',
        {
            'started_by': rollout.started_by,
            'progress_permille': permille,
        },
        epoch=epoch,
    )


@then('booking is served by {shares}')
def served_by(context, shares):
    expected = {}
    for part in shares.split(' and '):
        version, _, percent, _ = part.split()
        expected[version] = int(percent) / 100
    actual = context.configuration.shares('booking')
    assert actual == expected, actual
