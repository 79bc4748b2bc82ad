"""Steps for organisations, their keys and the withdrawal of keys."""

import math
import time

import attrs
from behave import given
from behave import then
from behave import when

from hemlockgrade import access
from hemlockgrade import call
from hemlockgrade import directory
from hemlockgrade import exceptions
from hemlockgrade import freshness
from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade import running_requests
from hemlockgrade.platform import codec
from standins import cluster
from standins import loopback
from standins import mesh_cluster
from standins import store_links

DOMAIN = 'a'
REVOCATION_LIMIT_S = 5.0
SHOP_ROUTE = mesh_cluster.build_route('shop', '/shop/', AuthExempt=False)
OPEN_ROUTE = mesh_cluster.build_route('open', '/open/', AuthExempt=True)
STOCK_ROUTE = mesh_cluster.build_route('stock', '/stock/', service='stock')
# Time between two requests of a caller, in seconds.
CALL_INTERVAL_S = 0.1
KEYS = ('k-first', 'k-second')
SECRET_KEY = 'very-secret'


def decode(*resources):
    """Decodes a configuration."""
    return codec.decode_configuration(
        {'Version': '00000001', 'Resources': list(resources)}
    )


def build_route(configuration, name):
    """Returns a route of a configuration by its name."""
    [route] = [r for r in configuration.routes if r.name == name]
    return route


@given('a configuration with the organisation {name:w} and its key {key:w}')
def set_organisation(context, name, key):
    context.configuration = decode(
        SHOP_ROUTE, OPEN_ROUTE, mesh_cluster.build_organisation(name, key)
    )
    context.knowledge = access.Knowledge(age_s=0.0)


@given('a configuration without organisations')
def set_no_organisation(context):
    context.configuration = decode(SHOP_ROUTE, OPEN_ROUTE)
    context.knowledge = access.Knowledge(age_s=0.0)


def parse_headers(text):
    """Parses headers as the daemon does, from the bytes on the wire."""
    lines = [] if text == 'none' else text.split('; ')
    parser = http_codec.RequestParser()
    head = ''.join(f'{line}\r\n' for line in ['Host: x', *lines])
    head = head.replace('\\xff\\xfe', '\xff\xfe').encode('latin-1')
    [request] = parser.feed(b'GET /shop/x HTTP/1.1\r\n' + head + b'\r\n')
    return request.headers


def decide(context, headers, *, route='shop', is_nested=False):
    """Returns the verdict on a request, with its organisation if known."""
    decision = access.decide(
        context.configuration,
        build_route(context.configuration, route),
        headers,
        is_nested=is_nested,
        knowledge=context.knowledge,
    )
    context.organisation = decision.organisation
    if decision.organisation is None:
        return decision.verdict.value
    return f'{decision.verdict.value} as {decision.organisation.name}'


@when('a request has the headers {text}')
def send_headers(context, text):
    context.headers = parse_headers(text)
    context.verdict = decide(context, context.headers)


@when('a request has a key of {size:d} bytes')
def send_large_key(context, size):
    context.verdict = decide(
        context, parse_headers(f'Authorization: Bearer {"k" * size}')
    )


@then('the access verdict is {verdict}')
def check_verdict(context, verdict):
    expected = verdict.removesuffix(' without an organisation')
    assert context.verdict == expected, context.verdict


@then('its headers reach the server unchanged')
def check_headers(context):
    assert (
        access.headers_for_server(context.configuration, context.headers, None)
        == context.headers
    )


@when(
    'the configuration was confirmed {age:g} seconds ago and keys are withdrawn within {limit:g} seconds'
)
def set_knowledge(context, age, limit):
    context.knowledge = access.Knowledge(age_s=age, revocation_limit_s=limit)


@then('a request with the key {key:w} is {verdict}')
def check_key(context, key, verdict):
    headers = [(b'authorization', f'Bearer {key}'.encode())]
    assert decide(context, headers) == verdict


@then('a request without a key on an open route is served')
def check_open_route(context):
    assert decide(context, [], route='open') == 'served'


@then('a nested request without a key is served')
def check_nested(context):
    assert decide(context, [], is_nested=True) == 'served'


def faulty(name='acme', keys=(SECRET_KEY,), **fields):
    entry = mesh_cluster.build_organisation(name, **fields)
    entry['Spec']['ApiKeys'] = list(keys) if isinstance(keys, tuple) else keys
    return entry


FAULTY_BY_DESCRIPTION = {
    'an empty name': faulty(name=''),
    'an empty key': faulty(keys=(SECRET_KEY, '')),
    'a key with a space': faulty(keys=(f'{SECRET_KEY} x',)),
    'a key with a line break': faulty(keys=(f'{SECRET_KEY}\r\nx',)),
    'a key that is a number': faulty(keys=(7,)),
    'keys that are a text': faulty(keys=SECRET_KEY),
    'a key of another one': faulty(keys=('other-secret',)),
    'the name of another one': faulty(name='other'),
    'a negative rate': faulty(RatePerS=-1),
    'a textual rate': faulty(RatePerS='9'),
    'an infinite rate': faulty(RatePerS=math.inf),
    'a negative burst': faulty(Burst=-1),
    'a textual priority': faulty(Priority='1'),
}


@when('a configuration has an organisation with {fault}')
def decode_organisation(context, fault):
    other = mesh_cluster.build_organisation('other', 'other-secret')
    if fault == 'neither keys nor a limit':
        context.configuration = decode(
            SHOP_ROUTE, mesh_cluster.build_organisation('acme')
        )
        return
    try:
        decode(SHOP_ROUTE, other, FAULTY_BY_DESCRIPTION[fault])
    except exceptions.InvalidFieldError as error:
        context.message = str(error)
        return
    raise AssertionError('the configuration was decoded')


@when('a configuration has {part} in another form around an organisation')
def decode_malformed(context, part):
    entry = faulty()
    resources = {
        'a Spec': [{**entry, 'Spec': [entry['Spec']]}],
        'the Resources': {'acme': entry},
        'an entry': [[entry]],
        'the Metadata': [{**entry, 'Metadata': [SECRET_KEY]}],
    }[part]
    try:
        codec.decode_configuration(
            {'Version': '00000001', 'Resources': resources}
        )
    except exceptions.InvalidFieldError as error:
        context.message = str(error)
        return
    raise AssertionError('the configuration was decoded')


@then('it is refused by a message that names {named:w} and no key')
def check_message(context, named):
    assert named in context.message, context.message
    assert 'secret' not in context.message, context.message


@then('it is decoded and no key is known')
def check_no_key(context):
    [organisation] = context.configuration.organisation_by_name.values()
    assert math.isinf(organisation.rate_per_s)
    assert not context.configuration.organisation_by_key


@when(
    'a route of priority {number:d} gets requests of organisations of priority {first:d} and of none'
)
def build_calls(context, number, first):
    configuration = decode(
        SHOP_ROUTE,
        mesh_cluster.build_organisation('urgent', Priority=first),
        mesh_cluster.build_organisation('usual'),
    )
    route = attrs.evolve(build_route(configuration, 'shop'), priority=number)
    context.priorities = [
        call.Call(
            request=http_codec.Request(method='GET', target='/'),
            request_id='1',
            route=route,
            parent=None,
            service='booking',
            started=0.0,
            deadline=1.0,
            idempotent=True,
            organisation=organisation,
        ).priority
        for organisation in configuration.organisation_by_name.values()
    ]


@then('the requests have the priorities {first:d} and {second:d}')
def check_priorities(context, first, second):
    assert context.priorities == [first, second], context.priorities


@given('a configuration that was confirmed 1 second ago')
def build_freshness(context):
    context.now, context.suspended_s = 100.0, 0.0
    context.freshness = freshness.Freshness(
        directory=directory.Directory('a'),
        clock=lambda: context.now,
        suspended_s=lambda: context.suspended_s,
    )
    confirm(context, 99.0)
    assert context.freshness.age_s == 1.0


def confirm(context, confirmed_at):
    context.freshness.confirm(
        freshness.Confirmation(version=0, revision=1, confirmed_at=confirmed_at)
    )


@when('the host is suspended for {seconds:d} seconds')
def suspend(context, seconds):
    context.suspended_s += seconds


@then('the configuration counts as unconfirmed')
def check_unconfirmed(context):
    assert math.isinf(context.freshness.age_s)


@then('a response to a read from before the suspension confirms nothing')
def check_old_read(context):
    confirm(context, 99.9)
    assert math.isinf(context.freshness.age_s)


@then('a read after it confirms the configuration')
def check_new_read(context):
    confirm(context, 100.0)
    context.now = 100.5
    assert context.freshness.age_s == 0.5


@when(
    'a client of {place} sends a request without a key that names a running request'
)
def send_like_nested(context, place):
    async def run():
        async with loopback.LoopbackSystem() as system:
            system.directory.configuration = attrs.evolve(
                system.directory.configuration,
                organisation_by_name={'acme': model.Organisation(name='acme')},
            )
            is_own = place == 'the own host'
            system.proxy.own_ip = '127.0.0.1' if is_own else '10.0.0.9'
            system.proxy.admission.running.add(
                'parent',
                running_requests.RunningRequest(
                    priority=0, is_repeat=False, ends_by=math.inf
                ),
            )
            response = await system.send_request(
                'GET', '/a', headers='x-request-id: parent.1\r\n'
            )
            context.status = response.status

    loopback.run(run())


@then('it gets the status {status:d}')
def check_status(context, status):
    assert context.status == status, context.status


def write_keys(context, version, *keys):
    context.mesh.configure(
        version,
        SHOP_ROUTE,
        OPEN_ROUTE,
        STOCK_ROUTE,
        mesh_cluster.build_organisation('acme', *keys),
    )
    return time.monotonic()


@given(
    'a mesh of {count:d} hosts with the organisation acme and its keys k-first and k-second'
)
def start_mesh(context, count):
    mesh = context.mesh = mesh_cluster.create_temporary(context.add_cleanup)
    mesh.start_store()
    context.links = store_links.StoreLinks({DOMAIN: mesh.store_address(DOMAIN)})
    context.links.start()
    context.add_cleanup(context.links.stop)
    write_keys(context, 5, *KEYS)
    context.names = [f'h{number}' for number in range(count)]
    for name in context.names:
        start_host(context, name)
    for name in context.names:
        cluster.wait_until(
            lambda name=name: mesh.is_serving(name, '/open/x'), f'{name} serves'
        )


def start_host(context, name, *, with_server=True, **changes):
    start = (
        context.mesh.start_host
        if with_server
        else context.mesh.start_mesh_daemon
    )
    start(
        name,
        DOMAIN,
        store_address=context.links.address_by_domain[DOMAIN],
        revocation_limit_ms=REVOCATION_LIMIT_S * 1000,
        **changes,
    )


def send(context, key=None, path='/shop/x', name=None, **headers):
    """Sends a request; returns status, headers and those at the server."""
    if key is not None:
        headers['Authorization'] = f'Bearer {key}'
    status, _, response_headers, request_id = context.mesh.call(
        name or context.names[0], path, **headers
    )
    request_id = headers.get('X-Request-Id', request_id)
    at_server = None
    for host in context.names:
        at_server = at_server or context.mesh.headers_by_id(host).get(
            request_id
        )
    return status, response_headers, at_server


@then('a request with the key {key} reaches a server as acme without its key')
def check_served(context, key):
    status, _, at_server = send(context, key, **{'X-Tenant': 'rival'})
    assert status == 200, status
    assert at_server['x-tenant'] == 'acme', at_server
    assert 'authorization' not in at_server, at_server
    assert key not in str(at_server), at_server


@then('a request without a key gets 401 with a challenge and reaches no server')
def check_challenge(context):
    status, headers, at_server = send(context)
    assert status == 401, status
    assert headers['www-authenticate'] == 'Bearer', headers
    assert headers['x-hemlock-outcome'] == 'not-run', headers
    assert at_server is None, at_server


@then(
    'a request that claims to be acme on an open route reaches a server as nobody'
)
def check_claim(context):
    status, _, at_server = send(context, path='/open/x', **{'X-Tenant': 'acme'})
    assert status == 200, status
    assert 'x-tenant' not in at_server, at_server


@then(
    'a call of a server needs no key, and a client that looks like one gets 401'
)
def check_nested_call(context):
    start_host(context, 'stock', service='stock')
    for name in context.names:
        cluster.wait_until(
            lambda name=name: (
                send(context, KEYS[0], '/stock/x', name)[0] == 200
            ),
            f'{name} knows the called service',
        )
        context.mesh.set_server(name, calls=['/stock/inner'])
    status, _, _ = send(context, KEYS[0])
    assert status == 200, status
    for name in context.names:
        context.mesh.set_server(name, calls=None)
    # The requests so far may all have run at the other hosts.
    cluster.wait_until(
        lambda: (
            send(context, KEYS[0])[0] == 200
            and context.mesh.executed_request_ids(context.names[0])
        ),
        'a request has run at the first host',
    )
    ended_id = context.mesh.executed_request_ids(context.names[0])[-1]
    status, _, _ = send(context, **{'X-Request-Id': f'{ended_id}.1'})
    assert status == 401, status


@when('the operator withdraws the key {key}')
def withdraw(context, key):
    context.withdrawn_at = write_keys(
        context, 6, *[k for k in KEYS if k != key]
    )


@then(
    '{seconds:g} seconds later requests with {first} get 401 and those with {second} are served'
)
def check_withdrawn(context, seconds, first, second):
    time.sleep(seconds)
    for name in context.names:
        assert send(context, first, name=name)[0] == 401
        assert send(context, second, name=name)[0] == 200


@then('no log, metric or time line contains a key')
def check_no_leak(context):
    texts = [context.mesh.read_log(name) for name in context.names]
    for name in context.names:
        address = context.mesh.daemon_by_name[name].addresses['metrics']
        _, body, _ = mesh_cluster.send_request(address, 'GET', '/metrics')
        texts.append(body.decode())
    assert all(texts)
    assert any('event=keys_withdrawn' in text for text in texts)
    for key in KEYS:
        assert not any(key in text for text in texts)


@when(
    'the store stops responding to the daemons and the operator withdraws {key}'
)
def withdraw_in_cut(context, key):
    context.links.silence(DOMAIN)
    withdraw(context, key)
    context.sent = []
    ends_at = context.withdrawn_at + REVOCATION_LIMIT_S + 2.0
    while time.monotonic() < ends_at:
        for name in context.names:
            for each in KEYS:
                sent_at = time.monotonic() - context.withdrawn_at
                status, headers, at_server = send(context, each, name=name)
                context.sent.append((each, sent_at, status, headers, at_server))
        time.sleep(CALL_INTERVAL_S)


@then('requests with {key} run for {seconds:g} seconds after that')
def check_still_served(context, key, seconds):
    early = [s for s in context.sent if s[0] == key and s[1] < seconds]
    assert early
    assert all(s[2] == 200 for s in early), [s[1:3] for s in early]


@then('none that is sent later than {seconds:g} seconds after that runs')
def check_none_late(context, seconds):
    late = [s for s in context.sent if s[0] == KEYS[0] and s[1] > seconds]
    assert late
    assert not any(s[4] for s in late), late


@then('those with {key} are refused with a time to return')
def check_refused(context, key):
    late = [
        s for s in context.sent if s[0] == key and s[1] > REVOCATION_LIMIT_S
    ]
    for _, _, status, headers, at_server in late:
        assert (status, at_server) == (503, None), (status, at_server)
        assert float(headers['retry-after']) > 0, headers


@when('the daemons reach the store again')
def heal(context):
    context.links.heal(DOMAIN)


@then('requests with {second} are served and those with {first} get 401')
def check_healed(context, second, first):
    for name in context.names:
        cluster.wait_until(
            lambda name=name: send(context, second, name=name)[0] == 200,
            'the key is served',
        )
        assert send(context, first, name=name)[0] == 401


@when(
    'the store stops responding for {seconds:d} seconds and the first daemon restarts'
)
def restart_in_cut(context, seconds):
    context.links.silence(DOMAIN)
    time.sleep(seconds)
    name = context.names[0]
    context.mesh.daemon_by_name[name].kill()
    start_host(context, name, with_server=False)


@then('requests with {key} at the restarted daemon do not run')
def check_not_run(context, key):
    name = context.names[0]
    statuses = set()
    ends_at = time.monotonic() + 3.0
    while time.monotonic() < ends_at:
        status, _, at_server = send(context, key, name=name)
        assert at_server is None, at_server
        statuses.add(status)
        time.sleep(CALL_INTERVAL_S)
    assert 503 in statuses and not statuses - {0, 503}, statuses
