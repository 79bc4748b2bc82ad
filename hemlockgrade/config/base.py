"""Loads JSON settings and reports all errors of a file at once."""

import pathlib
from typing import Any
from typing import cast
from typing import TypeVar

import attrs
import cattrs
import orjson

from hemlockgrade import addresses
from hemlockgrade import exceptions
from hemlockgrade import identifiers
from hemlockgrade import serialization

T = TypeVar('T')


def load(path: str | pathlib.Path, settings_class: type[T]) -> T:
    """Reads and checks a settings file.

    Args:
        path: Path of the JSON file.
        settings_class: The attrs class of the settings.

    Raises:
        exceptions.InvalidSettingsError: The file cannot be read, or keys are
            missing, unknown or invalid. Holds one error per key.
    """
    try:
        data = orjson.loads(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise _group(
            path,
            [key_error('file', error.strerror or str(error), 'check the path')],
        ) from error
    except orjson.JSONDecodeError as error:
        raise _group(
            path,
            [key_error('file', f'is not JSON: {error}', 'correct the text')],
        ) from error
    if not isinstance(data, dict):
        raise _group(
            path, [key_error('file', 'is not a JSON object', 'write {...}')]
        )
    return structure(data, settings_class, path)


def structure(
    data: dict[str, Any], settings_class: type[T], source: Any = ''
) -> T:
    """Builds settings from decoded JSON and checks every key.

    Args:
        data: The decoded JSON object.
        settings_class: The attrs class of the settings.
        source: Path of the file, for error messages.

    Raises:
        exceptions.InvalidSettingsError: Keys are missing, unknown or invalid.
            Holds one error per key.
    """
    fields_by_name = {
        field.name: field for field in attrs.fields(cast(Any, settings_class))
    }
    errors = [
        key_error(
            name,
            'is not a known key',
            f'use one of {", ".join(fields_by_name)}',
        )
        for name in data
        if name not in fields_by_name
    ]
    values = {}
    for name, field in fields_by_name.items():
        if name not in data:
            if field.default is attrs.NOTHING:
                errors.append(key_error(name, 'is missing', 'add the key'))
            continue
        try:
            values[name] = _structure_value(data[name], field)
        except (ValueError, TypeError, cattrs.BaseValidationError) as error:
            shown = '(hidden)' if 'token' in name else repr(data[name])
            errors.append(
                key_error(name, f'has the value {shown}', _remedy(field, error))
            )
    if errors:
        raise _group(source, errors)
    try:
        return settings_class(**values)
    except exceptions.SettingsError as problem:
        raise _group(source, [problem]) from problem


def _structure_value(value: Any, field: attrs.Attribute) -> Any:
    # cattrs converts values of other types, for example the number 1 to a text.
    if field.type in (str, int, bool) and type(value) is not field.type:
        raise TypeError(f'must be {field.type.__name__}')
    structured: Any = serialization.from_plain(value, cast(type, field.type))
    if field.validator is not None:
        field.validator(None, field, structured)
    return structured


def _remedy(field: attrs.Attribute, error: Exception) -> str:
    return field.metadata.get('remedy') or str(error)


def key_error(key: str, problem: str, remedy: str) -> exceptions.SettingsError:
    """Builds the error of one key.

    Args:
        key: Name of the key.
        problem: Describes what is wrong; follows the name in the message.
        remedy: Tells how to correct the key.
    """
    return exceptions.SettingsError(f'{key} {problem}', remedy=remedy)


def _group(
    source: Any, errors: list[exceptions.SettingsError]
) -> exceptions.InvalidSettingsError:
    return exceptions.InvalidSettingsError(f'settings {source}', errors)


def address(**options) -> Any:
    """Declares a setting of the form `ip:port`."""
    return attrs.field(
        validator=_check_address,
        metadata={'remedy': 'use ip:port, for example 10.0.0.7:7001'},
        **options,
    )


def optional_address() -> Any:
    """Declares a setting of the form `ip:port` that is empty by default."""
    return attrs.field(
        default='',
        validator=attrs.validators.or_(
            attrs.validators.in_(('',)), _check_address
        ),
        metadata={'remedy': 'use ip:port, for example 10.0.0.7:7001'},
    )


def address_list(**options) -> Any:
    """Declares a setting that is a list of addresses of the form `ip:port`."""
    return attrs.field(
        validator=attrs.validators.deep_iterable(_check_address),
        metadata={'remedy': 'use a list of ip:port'},
        **options,
    )


def positive(**options) -> Any:
    """Declares a setting that is a number above zero."""
    return attrs.field(
        validator=attrs.validators.gt(0),
        metadata={'remedy': 'use a number above 0'},
        **options,
    )


def not_negative(**options) -> Any:
    """Declares a setting that is a number of 0 or above."""
    return attrs.field(
        validator=attrs.validators.ge(0),
        metadata={'remedy': 'use 0 or a number above 0'},
        **options,
    )


def text(**options) -> Any:
    """Declares a setting that is a non-empty text."""
    return attrs.field(
        validator=attrs.validators.min_len(1),
        metadata={'remedy': 'use a text that is not empty'},
        **options,
    )


def identifier(**options) -> Any:
    """Declares a setting that other daemons get as an identifier."""
    return attrs.field(
        validator=_check_identifier,
        metadata={
            'remedy': 'use a text of 1 to '
            f'{identifiers.MAX_LENGTH} printable characters'
        },
        **options,
    )


def token(**options) -> Any:
    """Declares a secret of at least 16 characters that `repr` omits."""
    return attrs.field(
        validator=attrs.validators.min_len(16),
        metadata={'remedy': 'use a secret of at least 16 characters'},
        repr=False,
        **options,
    )


def optional_token() -> Any:
    """Declares a secret that is empty by default.

    A secret that is not empty has at least 16 characters; `repr` omits it.
    """
    return attrs.field(
        default='',
        validator=attrs.validators.or_(
            attrs.validators.in_(('',)), attrs.validators.min_len(16)
        ),
        metadata={'remedy': 'use a secret of at least 16 characters'},
        repr=False,
    )


def _check_identifier(instance, attribute, value: str):
    if not identifiers.is_identifier(value):
        raise ValueError(f'{value!r} is not an identifier')


def _check_address(instance, attribute, value: str):
    addresses.check_ip(value)
