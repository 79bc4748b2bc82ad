"""Steps for entries of the store that another program has written."""

import asyncio
import copy
import json
import time
import urllib.parse

import attrs
from behave import given
from behave import then
from behave import when
from loguru import logger
import orjson

from hemlockgrade import directory
from hemlockgrade import exceptions
from hemlockgrade import freshness
from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade import object_codec
from hemlockgrade import object_store
from hemlockgrade import publisher
from hemlockgrade import rollout_task
from hemlockgrade import state_sync
from hemlockgrade import store_feed
from hemlockgrade.platform import store
from standins import cluster
from standins import loopback

SERVER = model.Server(
    server_id='i-9',
    service='booking',
    address='10.0.0.2:80',
    zone='a',
    version='v1',
    slots=3,
    state=model.ServerState.READY,
    sequence=4,
    born_ms=5,
)
MEMBER = model.Member(
    name='h-9', address='10.0.0.2:81', zone='a', boot_id='b', server=SERVER
)
SHARE = model.VersionShare(
    key='s',
    service='s',
    version='v2',
    permille=60,
    state=model.RolloutState.RUNNING,
    finish_by=12.5,
)
LABEL = model.Definition(
    value=model.Label(
        name='l', kind=model.LabelKind.TARGET, members=('i-*', 'ł?')
    ),
    author='Jo\tDoe',
)
SELECTOR = model.Definition(
    value=model.Selector(
        name='s',
        proxies='p',
        targets='l',
        service='booking',
        routes=(model.SelectorRoute(path_prefix='/b'),),
        shares_by_version={'v1': 90, 'v2': 10},
        agreed_by=20.0,
    ),
    former_shares_by_version={'v1': 100},
    new_version='v2',
)
SOUND_BY_NAME = {
    object_codec.key_of(value): value
    for value in (MEMBER, SHARE, LABEL, SELECTOR)
}


def encode_as_json(value):
    """Returns an object as the store returns it."""
    return orjson.loads(orjson.dumps(object_codec.encode(value)))


def build_entry(name, field, value):
    """Returns an encoded object in which one field has another value.

    Args:
        name: Name under which the sound object is stored.
        field: Path of the field, with dots.
        value: The other value as JSON.
    """
    spec = encode_as_json(SOUND_BY_NAME[name])
    *path, last = field.split('.')
    target = spec
    for key in path:
        target = target[int(key) if key.isdecimal() else key]
    assert last in target, target
    target[last] = json.loads(value)
    return spec


def capture_log(context):
    """Adds the lines that are logged from now on to `context.log_lines`."""
    context.log_lines = []
    handler = logger.add(
        lambda line: context.log_lines.append(str(line)), format='{message}'
    )
    context.add_cleanup(logger.remove, handler)


def has_refusal(context, event, name):
    """Returns whether the refusal of an object is logged with its name."""
    return any(
        f'event={event} ' in line and name in line for line in context.log_lines
    )


@given('a store feed with a sound member')
def create_feed(context):
    capture_log(context)
    context.directory = directory.Directory('h-0')
    context.feed = store_feed.StoreFeed(
        store=None,
        directory=context.directory,
        publisher=publisher.Publisher(
            store=None,
            directory=context.directory,
            build_member=lambda: MEMBER,
            restore_server=lambda member: None,
        ),
        rollouts=None,
        restore_server=lambda member: None,
        freshness=freshness.Freshness(
            directory=context.directory, clock=time.monotonic
        ),
    )
    sound = attrs.evolve(MEMBER, name='h-1')
    deliver(context, 'member.h-1', encode_as_json(sound), 1)
    assert 'h-1' in context.directory.member_by_name


def deliver(context, name, spec, revision):
    """Passes an object to the feed as a watch of the store does."""
    context.name = name
    context.feed._object_changed(
        object_store.StoredItem(
            kind='mesh', name=name, revision=revision, spec=spec
        )
    )


@when('a member arrives whose {field} is {value}')
def deliver_member(context, field, value):
    deliver(context, 'member.h-9', build_entry('member.h-9', field, value), 2)


@when('the entry {name} arrives with {field} set to {value}')
def deliver_entry(context, name, field, value):
    deliver(context, name, build_entry(name, field, value), 2)


@then('it is refused in the log with its name and the sound member stays')
def check_refused(context):
    assert has_refusal(context, 'entry_refused', context.name), (
        context.log_lines
    )
    applied = [object_codec.key_of(v) for v in context.directory.objects()]
    assert applied == ['member.h-1'], applied


@then('members, rollout states, labels and selectors survive encoding')
def check_round_trip(context):
    for name, value in SOUND_BY_NAME.items():
        spec = encode_as_json(value)
        assert object_codec.decode(name, spec, 0) == value, spec
    bare = model.Member(name='h', address='10.0.0.1:1', zone='z', boot_id='b')
    spec = encode_as_json(bare)
    assert object_codec.decode('member.h', spec, 0) == bare, spec


@when('a peer sends its state with a malformed member before a sound one')
def merge_state(context):
    context.directory = directory.Directory('h-0')
    sync = state_sync.StateSync(
        directory=context.directory, pool=None, address='', zone='a'
    )
    malformed = build_entry('member.h-9', 'address', '8145')
    sound = encode_as_json(attrs.evolve(MEMBER, name='h-1'))
    sync._merge(
        {
            'configuration': None,
            'objects': [
                ['member.h-9', 3, malformed],
                ['member.h-8', 'x', malformed],
                ['member.h-1', 4, sound],
            ],
            'removed': {},
        },
        'a peer',
    )


@then('the sound member of that state is applied')
def check_merged(context):
    assert list(context.directory.member_by_name) == ['h-1']


@when('the order {name} arrives with {field} set to {value}')
def deliver_order(context, name, field, value):
    capture_log(context)
    context.name = name
    context.rollouts = rollout_task.RolloutTask(
        host_name='h-0',
        store=None,
        directory=directory.Directory('h-0'),
        pool=None,
        clock=time.monotonic,
        judge=None,
        exposed_share=0.1,
    )
    spec = {'Service': name, 'TargetVersion': 'v2', 'DurationS': 12}
    spec[field] = json.loads(value)
    context.rollouts.apply_order_object(
        object_store.StoredItem(
            kind='rollouts', name=name, revision=2, spec=spec
        )
    )


@then('the order is refused with its name in the log')
def check_order_refused(context):
    assert has_refusal(context, 'order_refused', context.name)
    assert not context.rollouts._order_by_key


LISTED_BY_PROBLEM = {
    'a lone surrogate': b'{"Metadata":{"Name":"x","Rev":1},"Spec":"\\ud800"}',
    'bytes that are no text': b'{"Metadata":{"Name":"x","Rev":1},'
    b'"Spec":"\xff"}',
    'finalizers of another type': b'{"Metadata":{"Name":"x","Rev":1,'
    b'"Finalizers":7},"Spec":1}',
}


@attrs.define
class FixedPool:
    """Responds to each request with the same body."""

    body: bytes

    async def fetch(self, address, request, deadline, **limits):
        """Returns the response."""
        return http_codec.Response(status=200, body=self.body)


@when('the store lists a sound object beside one with {problem}')
def list_objects(context, problem):
    body = (
        b'{"items":['
        + LISTED_BY_PROBLEM[problem]
        + b',{"Metadata":{"Name":"y","Rev":2},"Spec":1}],"CurrentRev":3}'
    )
    metadata_store = store.MetadataStore('10.0.0.1:1', FixedPool(body))
    context.listing = asyncio.run(metadata_store.list('mesh'))


@then('the sound object is returned')
def check_listed(context):
    [sound] = [i for i in context.listing.items if i.name == 'y']
    assert (sound.spec, context.listing.revision) == (1, 3)


@then('encoding a request for the target {target} raises an expected error')
def check_target(context, target):
    request = http_codec.Request(method='GET', target=target)
    try:
        http_codec.encode_request_head(request, 'h')
    except exceptions.HemlockError:
        return
    raise AssertionError('the target was encoded')


@when(
    'a request is sent to a server whose identifier has letters outside Latin-1'
)
def send_to_foreign_letters(context):
    async def run():
        async with loopback.LoopbackSystem() as system:
            configuration = system.directory.configuration
            [route] = configuration.routes
            system.directory.apply_configuration(
                attrs.evolve(
                    configuration,
                    version=configuration.version + 1,
                    routes=(attrs.evolve(route, name='wysyłka/%41'),),
                ),
                'test',
            )
            member = system.directory.member_by_name['target-0']
            server = attrs.evolve(
                member.server, server_id='i-łódź', born_ms=1, sequence=2
            )
            system.hosts[0].registrar.apply_heartbeat(server)
            system.directory.apply_member(
                attrs.evolve(
                    member, server=server, revision=member.revision + 1
                ),
                'test',
            )
            routes = []
            system.hosts[0].admission.on_response = lambda record: (
                routes.append(record.route)
            )
            response = await system.send_request('POST', '/x')
            return response.status, routes

    context.result = loopback.run(run())


@then('it is served, and counted under the name of its route')
def check_foreign_letters(context):
    assert context.result == (200, ['wysyłka/%41']), context.result


def malformed_entries():
    """Returns malformed mesh objects by their name."""
    specs = {
        'address': ('address', '8145'),
        'slots': ('server.slots', 'false'),
        'name': ('boot_id', '"\\ud800"'),
        'born': ('server.born_ms', '1e30'),
    }
    entries = {}
    for name, (field, value) in specs.items():
        spec = build_entry('member.h-9', field, value)
        entries[f'member.{name}'] = {**copy.deepcopy(spec), 'name': name}
    entries['member.text'] = 'text'
    entries['share.booking'] = None
    entries['label.x'] = {'value': []}
    return entries


@when('another writer stores malformed entries')
def store_malformed_entries(context):
    mesh = context.mesh
    for name, spec in malformed_entries().items():
        body = {'Metadata': {'Name': name}, 'Spec': spec}
        assert mesh.call_store('POST', 'mesh', body), name


@when('another writer orders a rollout of the unknown service {service}')
def order_unknown_service(context, service):
    spec = {'Service': service, 'TargetVersion': 'v2', 'DurationS': 3}
    body = {'Metadata': {'Name': service}, 'Spec': spec}
    assert context.mesh.call_store('POST', 'rollouts', body)
    context.order_path = f'rollouts/{urllib.parse.quote(service, "")}'


@then('the status of the order says that it was rolled back')
def check_order_ended(context):
    item = context.mesh.call_store('GET', context.order_path)
    assert item['Status']['State'] == 'rolled_back', item


@then(
    'requests at both hosts succeed for {seconds:d} seconds and no daemon has ended'
)
def check_daemons_run(context, seconds):
    mesh = context.mesh
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name in context.host_names:
            status, body, _, _ = mesh.call(name, '/shop/x')
            assert status == 200, (status, body, mesh.read_log(name)[-900:])
        time.sleep(0.05)
    for name in context.host_names:
        assert mesh.read_log(name).count('event=daemon_started') == 1
        assert mesh.is_ready(name)


@then('each malformed entry is named in the log of each daemon')
def check_entries_logged(context):
    for host in context.host_names:
        lines = [
            line
            for line in context.mesh.read_log(host).splitlines()
            if 'event=entry_refused' in line
        ]
        for name in malformed_entries():
            assert any(name in line for line in lines), (name, lines)


@when('another writer overwrites the member of the first daemon')
def overwrite_member(context):
    body = {'Metadata': {'Name': 'member.h1'}, 'Spec': {'name': 3}}
    assert context.mesh.call_store('PUT', 'mesh/member.h1', body)


@then('the member is stored again within {limit_s:d} seconds')
def check_member_stored(context, limit_s):
    started = time.monotonic()

    def is_stored():
        item = context.mesh.call_store('GET', 'mesh/member.h1')
        return item is not None and item['Spec'].get('name') == 'h1'

    cluster.wait_until(is_stored, 'the member is stored again')
    assert time.monotonic() - started < limit_s
