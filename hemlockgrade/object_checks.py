"""Checks of mesh objects, which other programs may write to the store, too."""

from collections.abc import Callable
import math
from typing import Any

from hemlockgrade import addresses
from hemlockgrade import identifiers
from hemlockgrade import model
from hemlockgrade import selectors

# Largest whole number that JSON encoders and stores keep exactly.
MAX_INTEGER = 2**63 - 1
MAX_PERMILLE = 1000


def check_types(data: Any, encoded: Any, path: str = '') -> None:
    """Checks that the values of an object have the types of their fields.

    A converter turns values of other types into those of the fields, for
    example `false` into 0 and a number into a text.

    Args:
        data: Content of the object as it is stored.
        encoded: The decoded object, encoded again. Keys that it lacks are not
            checked, and keys that `data` lacks have defaults.
        path: Path of the value within the object, for the message.

    Raises:
        ValueError: A value has another type or is out of range.
    """
    if isinstance(encoded, dict):
        _require(isinstance(data, dict), path, data)
        for key in encoded.keys() & data.keys():
            check_types(data[key], encoded[key], f'{path}.{key}')
    elif isinstance(encoded, (list, tuple)):
        _require(
            isinstance(data, list) and len(data) == len(encoded), path, data
        )
        for index, item in enumerate(encoded):
            check_types(data[index], item, f'{path}.{index}')
    else:
        _require(_is_same_scalar(data, encoded), path, data)


def _is_same_scalar(data: Any, encoded: Any) -> bool:
    if isinstance(encoded, float):
        return type(data) in (int, float) and math.isfinite(encoded)
    if isinstance(encoded, str):
        # Lone surrogates cannot be encoded.
        return type(data) is str and not any(
            '\ud800' <= character <= '\udfff' for character in data
        )
    if type(data) is not type(encoded):
        return False
    if type(encoded) is int:
        return 0 <= data <= MAX_INTEGER
    return True


def check_member(member: model.Member) -> None:
    """Checks that a member can be contacted and its server can be chosen.

    Raises:
        ValueError: A field has an unusable value.
    """
    _check_identifiers(
        name=member.name, zone=member.zone, boot_id=member.boot_id
    )
    addresses.check_ip(member.address)
    if member.administration_address:
        addresses.check_ip(member.administration_address)
    if member.server is not None:
        check_server(member.server)


def check_server(server: model.Server) -> None:
    """Checks that a server can be chosen and gets requests.

    Raises:
        ValueError: A field has an unusable value.
    """
    _check_identifiers(
        server_id=server.server_id,
        service=server.service,
        zone=server.zone,
        version=server.version,
    )
    addresses.check_ip(server.address)
    _require(1 <= server.slots <= MAX_INTEGER, 'slots', server.slots)
    _require(0 <= server.sequence <= MAX_INTEGER, 'sequence', server.sequence)
    _require(0 <= server.born_ms <= MAX_INTEGER, 'born_ms', server.born_ms)


def check_share(share: model.VersionShare) -> None:
    """Checks that the state of a rollout can be applied.

    Raises:
        ValueError: A field has an unusable value.
    """
    _check_identifiers(
        key=share.key, service=share.service, version=share.version
    )
    _require(share.permille <= MAX_PERMILLE, 'permille', share.permille)


def check_definition(definition: model.Definition) -> None:
    """Checks that the routes of a label or a selector can be built.

    Raises:
        ValueError: A field has an unusable value.
    """
    value = definition.value
    _check_identifiers(name=value.name)
    if isinstance(value, model.Label):
        return
    _check_identifiers(service=value.service)
    for route in value.routes:
        _require(
            route.path_prefix.startswith('/'), 'path_prefix', route.path_prefix
        )
        _require(
            0 < route.timeout_ms <= selectors.MAX_TIMEOUT_MS,
            'timeout_ms',
            route.timeout_ms,
        )
    shares = value.shares_by_version
    _require(sum(shares.values()) == 100, 'shares_by_version', shares)


CHECK_BY_CLASS: dict[type, Callable[[Any], None]] = {
    model.Member: check_member,
    model.VersionShare: check_share,
    model.Definition: check_definition,
}


def _check_identifiers(**text_by_field: str):
    for field, text in text_by_field.items():
        _require(identifiers.is_identifier(text), field, text)


def _require(holds: bool, field: str, value: Any):
    if not holds:
        raise ValueError(
            f'{field.lstrip(".") or "the content"} has the unusable value '
            f'{value!r:.80}'
        )
