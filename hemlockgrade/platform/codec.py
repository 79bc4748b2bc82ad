"""Conversion of the platform's documents; names of its headers and paths."""

import math
import sys
from typing import Any

import orjson

from hemlockgrade import addresses
from hemlockgrade import exceptions
from hemlockgrade import identifiers
from hemlockgrade import model
from hemlockgrade import object_checks

# Kinds and names of the objects in the store that operators write.
CONFIGURATION_KIND = 'config'
CONFIGURATION_NAME = 'main'
ROLLOUT_KIND = 'rollouts'
# An object of this kind has the name of the evacuated failure domain.
EVACUATION_KIND = 'evacuations'

# Headers of requests and responses, in lower case.
REQUEST_ID_HEADER = b'x-request-id'
# Remaining time for which the caller waits for a response, in milliseconds.
TIME_LEFT_MS_HEADER = b'x-deadline-ms'
# Identifier of the only server that may run the request.
EXPECTED_SERVER_HEADER = b'x-target-instance'
# Service that runs on the host on which the request was made.
CALLER_SERVICE_HEADER = b'x-caller-service'
# Set by a server on each response that the server itself has built.
SERVER_SIGNATURE_HEADER = b'x-server-stamp'
# Set by a server that did not run the request.
NOT_RUN_HEADER = b'x-not-executed'
# Key of the organisation that sends the request, as `Bearer <key>`.
KEY_HEADER = b'authorization'
# Name of the organisation that sent the request, for the server.
ORGANISATION_HEADER = b'x-tenant'
# In a response with status 401: how a key is sent.
KEY_SCHEME_HEADER = b'www-authenticate'
KEY_SCHEME = b'Bearer'
RETRY_AFTER_HEADER = b'retry-after'
# Identifier of the server that responded to a health check.
RESPONDING_SERVER_HEADER = b'x-instance-id'

# In the response to a health check: time for which the server stays cold, in
# milliseconds.
WARMUP_HEADER = b'x-warmup-ms'
# Requests a second that the server takes from all hosts together.
SERVER_LIMIT_HEADER = b'server-limit'
# Set by a server that leaves.
SERVER_LEAVING_HEADER = b'server-leaving'

READINESS_PATH = '/-/readiness'
HEARTBEAT_PREFIX = '/-/instances/'

_ROLLOUT_STATES = {
    'running': model.RolloutState.RUNNING,
    'completed': model.RolloutState.DONE,
    'rolled_back': model.RolloutState.ROLLED_BACK,
}
_SERVER_STATES = {
    'ready': model.ServerState.READY,
    'draining': model.ServerState.DRAINING,
}
# Types of routes whose requests may run more than once.
IDEMPOTENT_ROUTE_TYPES = ('idempotent', 'download')
# A configuration's version is a string of this many hexadecimal digits.
_VERSION_DIGITS = 8


def decode_configuration(spec: Any) -> model.MeshConfiguration:
    """Decodes the operators' configuration.

    Args:
        spec: Spec of the configuration's object in the store.

    Raises:
        exceptions.InvalidFieldError: A field is missing or malformed.
    """
    spec = _mapping('configuration', spec)
    routes = []
    service_names = set()
    check_path_by_service = {}
    warmup_rate_by_service = {}
    organisation_by_name: dict[str, model.Organisation] = {}
    organisation_by_key: dict[bytes, model.Organisation] = {}
    limits = model.CallerLimits()
    for resource in _list('Resources', spec.get('Resources')):
        resource = _mapping('Resources', resource)
        kind = resource.get('EntryType')
        body = _mapping('Spec', resource.get('Spec'))
        name = _mapping('Metadata', resource.get('Metadata') or {}).get(
            'Name', ''
        )
        if kind == 'Routes':
            routes.append(_decode_route(name, body))
        elif kind == 'Services':
            if isinstance(name, str):
                service_names.add(name)
            path = body.get('HealthCheckPath')
            if path:
                check_path_by_service[_text('Name', name)] = _text(
                    'HealthCheckPath', path
                )
            rate = body.get('WarmupPerS')
            if rate is not None:
                warmup_rate_by_service[_text('Name', name)] = _number(
                    'WarmupPerS', rate
                )
        elif kind == 'Tenants':
            organisation = _decode_organisation(name, body)
            if organisation.name in organisation_by_name:
                raise _invalid('Tenants', name)
            organisation_by_name[organisation.name] = organisation
            for key in _decode_keys(organisation.name, body):
                if key in organisation_by_key:
                    raise _invalid_key(organisation.name, 'is held twice')
                organisation_by_key[key] = organisation
        elif kind == 'Limits':
            limits = _decode_limits(body)
    _check_services(routes, service_names)
    return model.MeshConfiguration(
        version=_decode_version(spec.get('Version')),
        routes=tuple(routes),
        check_path_by_service=check_path_by_service,
        warmup_rate_by_service=warmup_rate_by_service,
        organisation_by_name=organisation_by_name,
        organisation_by_key=organisation_by_key,
        limits=limits,
        document=spec,
    )


def _decode_route(name: Any, body: dict[str, Any]) -> model.Route:
    split = body.get('TrafficSplit')
    if split is not None:
        shares = _decode_split(split)
    else:
        service = _text('Service', body.get('Service'))
        shares = (model.ServiceShare(service=service, weight=1.0),)
    return model.Route(
        name=_text('Name', name),
        host=_text('Hostname', body.get('Hostname')).lower(),
        prefix=_text('PathPrefix', body.get('PathPrefix')),
        idempotent=body.get('RouteType') in IDEMPOTENT_ROUTE_TYPES,
        attempts=max(1, _integer('Attempts', body.get('Attempts', 1))),
        timeout_s=_number('TimeoutMs', body.get('TimeoutMs')) / 1000,
        target_latency_s=_number('TargetLatencyMs', body.get('TargetLatencyMs'))
        / 1000,
        priority=_integer('Priority', body.get('Priority', 0)),
        shares=shares,
        open_to_all=body.get('AuthExempt') is True,
    )


def _decode_organisation(name: Any, body: dict[str, Any]) -> model.Organisation:
    """Decodes an organisation without its keys.

    A rate that is missing or 0 means that there is no limit.
    """
    name = _identifier('Tenants.Name', name)
    field = f'Tenants {name!r} '
    rate_per_s = _number(f'{field}RatePerS', body.get('RatePerS') or 0)
    priority = body.get('Priority')
    return model.Organisation(
        name=name,
        priority=None
        if priority is None
        else _integer(f'{field}Priority', priority),
        rate_per_s=rate_per_s or math.inf,
        burst=_number(f'{field}Burst', body.get('Burst') or 0),
    )


def _decode_keys(name: str, body: dict[str, Any]) -> list[bytes]:
    """Decodes the keys of an organisation, which may have none.

    No message contains a key.
    """
    keys = body.get('ApiKeys')
    if keys is None:
        return []
    if not isinstance(keys, list):
        raise _invalid_key(name, 'is not in a list')
    for key in keys:
        if not isinstance(key, str) or not _is_sendable_key(key):
            raise _invalid_key(name, 'is empty or cannot be sent in a header')
    return [key.encode() for key in keys]


def _is_sendable_key(key: str) -> bool:
    return bool(key) and key.isprintable() and not any(map(str.isspace, key))


def _invalid_key(name: str, problem: str) -> exceptions.InvalidFieldError:
    return exceptions.InvalidFieldError(
        f'Tenants {name!r} ApiKeys',
        f'a key {problem}',
        remedy='give each organisation its own keys, without spaces',
    )


def _decode_split(value: Any) -> tuple[model.ServiceShare, ...]:
    shares = tuple(
        model.ServiceShare(
            service=_text('TrafficSplit.Service', share.get('Service')),
            weight=_number('TrafficSplit.Weight', share.get('Weight')),
        )
        for share in (
            _mapping('TrafficSplit', share)
            for share in _list('TrafficSplit', value)
        )
    )
    if not any(share.weight for share in shares):
        raise _invalid('TrafficSplit', value)
    return shares


def _check_services(routes: list[model.Route], names: set[str]):
    """Checks that the services of split routes are defined.

    A route of one service may name one that is not defined: its requests find
    no server. In a split such a service would take its share of the requests.
    """
    for route in routes:
        if len(route.shares) == 1:
            continue
        for share in route.shares:
            if share.service not in names:
                raise _invalid('TrafficSplit.Service', share.service)


def _decode_limits(body: dict[str, Any]) -> model.CallerLimits:
    return model.CallerLimits(
        header_bytes=_integer('MaxHeaderBytes', body.get('MaxHeaderBytes')),
        body_bytes=_integer('MaxBodyBytes', body.get('MaxBodyBytes')),
        header_s=_number('HeaderTimeoutMs', body.get('HeaderTimeoutMs')) / 1000,
        idle_s=_number('IdleTimeoutMs', body.get('IdleTimeoutMs')) / 1000,
    )


def _decode_version(value: Any) -> int:
    text = _text('Version', value)
    try:
        if len(text) != _VERSION_DIGITS:
            raise ValueError
        return int(text, 16)
    except ValueError:
        raise _invalid('Version', value) from None


def decode_heartbeat(server_id: str, body: bytes) -> model.Server:
    """Decodes a heartbeat of a server.

    Args:
        server_id: Identifier of the server, from the path of the request.
        body: Body of the request.

    Raises:
        exceptions.InvalidFieldError: A field is missing or malformed.
    """
    try:
        data = _mapping('heartbeat', orjson.loads(body))
    except orjson.JSONDecodeError:
        raise _invalid('heartbeat', body[:64]) from None
    state = _SERVER_STATES.get(_text('State', data.get('State')))
    if state is None:
        raise _invalid('State', data.get('State'))
    slots = _integer('Slots', data.get('Slots'))
    if slots < 1:
        raise _invalid('Slots', slots)
    return model.Server(
        server_id=_identifier('ID', server_id),
        service=_identifier('Service', data.get('Service')),
        address=_address('Address', data.get('Address')),
        zone=_identifier('Zone', data.get('Zone')),
        version=_identifier('Version', data.get('Version')),
        slots=slots,
        state=state,
        warmup_left_s=_number('WarmupLeftMs', data.get('WarmupLeftMs', 0))
        / 1000,
        sequence=_integer('Seq', data.get('Seq')),
        # Start of the server, in milliseconds of Unix time.
        born_ms=_integer('born', data.get('born', 0)),
    )


def decode_server_notice(
    headers: list[tuple[bytes, bytes]],
) -> model.ServerNotice:
    """Decodes what a server says of itself in a response.

    Args:
        headers: Lower-case names and values of the headers.
    """
    max_requests_per_s: float | None = math.inf
    leaving = False
    for name, value in headers:
        if name == SERVER_LIMIT_HEADER:
            max_requests_per_s = _decode_non_negative(value)
        elif name == SERVER_LEAVING_HEADER:
            leaving = value.strip() == b'1'
    return model.ServerNotice(
        max_requests_per_s=max_requests_per_s, leaving=leaving
    )


def decode_warmup_left_s(headers: list[tuple[bytes, bytes]]) -> float:
    """Decodes for how long the server that responded to a check stays cold.

    Args:
        headers: Lower-case names and values of the headers.

    Returns:
        Time in seconds; 0 if the header is missing, infinite if it is
        malformed.
    """
    for name, value in headers:
        if name == WARMUP_HEADER:
            left_ms = _decode_non_negative(value)
            return math.inf if left_ms is None else left_ms / 1000
    return 0.0


def _decode_non_negative(value: bytes) -> float | None:
    """Decodes a number; returns None if it is not a non-negative one."""
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if rate >= 0 else None


def decode_rollout_order(
    name: str, spec: Any, status: Any, revision: int, created_number: int
) -> model.RolloutOrder:
    """Decodes an operator's rollout order.

    Args:
        name: Name of the order's object in the store, which is the service.
        spec: Spec of the order's object in the store.
        status: Status of the object; None before the first report.
        revision: Revision of the object's last change.
        created_number: Number of the revision at which the object was created.

    Raises:
        exceptions.InvalidFieldError: A field is missing or malformed, or the
            order is for another service than its name says.
    """
    spec = _mapping('rollout', spec)
    status = status if isinstance(status, dict) else {}
    service = _identifier('Service', spec.get('Service'))
    if service != name:
        raise _invalid('Service', service)
    return model.RolloutOrder(
        key=service,
        service=service,
        version=_identifier('TargetVersion', spec.get('TargetVersion')),
        duration_s=_number('DurationS', spec.get('DurationS')),
        revision=revision,
        created_number=created_number,
        state=_ROLLOUT_STATES.get(str(status.get('State'))),
        reported_version=str(status.get('TargetVersion') or ''),
    )


def encode_rollout_status(
    state: model.RolloutState, version: str
) -> dict[str, Any]:
    """Encodes the status of a rollout order.

    Args:
        state: State of the rollout.
        version: New version of the rollout.
    """
    name = next(n for n, each in _ROLLOUT_STATES.items() if each is state)
    return {'State': name, 'TargetVersion': version}


def _invalid(field: str, value: Any) -> exceptions.InvalidFieldError:
    return exceptions.InvalidFieldError(
        field,
        f'{value!r} is not a valid value',
        remedy='write a value in the documented format',
    )


def _invalid_form(field: str, value: Any) -> exceptions.InvalidFieldError:
    """Returns an error without the value, which may hold keys."""
    return exceptions.InvalidFieldError(
        field,
        f'a {type(value).__name__} is not a valid value',
        remedy='write a value in the documented format',
    )


def _mapping(field: str, value: Any) -> dict[str, Any]:
    """Checks that a value is a mapping, and returns it."""
    if not isinstance(value, dict):
        raise _invalid_form(field, value)
    return value


def _list(field: str, value: Any) -> list[Any]:
    """Checks that a value is a list, and returns it."""
    if not isinstance(value, list):
        raise _invalid_form(field, value)
    return value


def _text(field: str, value: Any) -> str:
    """Checks that a value is a non-empty string, and returns it."""
    if not isinstance(value, str) or not value:
        raise _invalid(field, value)
    return value


def _identifier(field: str, value: Any) -> str:
    """Checks that a value is a usable identifier, and returns it."""
    if not isinstance(value, str) or not identifiers.is_identifier(value):
        raise _invalid(field, value)
    return value


def _address(field: str, value: Any) -> str:
    """Checks that a value is an IP address with a port, and returns it."""
    try:
        addresses.check_ip(_text(field, value))
    except ValueError:
        raise _invalid(field, value) from None
    return value


def _number(field: str, value: Any) -> float:
    """Checks that a value is a finite non-negative number, and returns it."""
    if (
        not isinstance(value, (int, float))
        or isinstance(value, bool)
        or not 0 <= value <= sys.float_info.max
    ):
        raise _invalid(field, value)
    return float(value)


def _integer(field: str, value: Any) -> int:
    """Checks that a value is a non-negative integer, and returns it."""
    number = _number(field, value)
    if number != int(number) or number > object_checks.MAX_INTEGER:
        raise _invalid(field, value)
    return int(number)
