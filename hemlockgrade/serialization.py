"""Conversion of model objects from and to JSON and plain data."""

from typing import Any
from typing import TypeVar

import attrs
import cattrs
import cattrs.preconf.orjson
import orjson

T = TypeVar('T')

_converter = cattrs.preconf.orjson.make_converter(forbid_extra_keys=True)


def to_json(value: Any) -> bytes:
    """Encodes a model object or plain data as JSON."""
    return orjson.dumps(_converter.unstructure(value))


def to_plain(value: Any) -> Any:
    """Converts a model object to dictionaries, lists and scalars."""
    return _converter.unstructure(value)


def from_json(data: bytes, model_class: type[T]) -> T:
    """Decodes JSON into an object of a model class.

    Args:
        data: The JSON text.
        model_class: The attrs class.

    Raises:
        cattrs.BaseValidationError: A field is missing, unknown or mistyped.
        orjson.JSONDecodeError: The text is not JSON.
    """
    return _converter.structure(orjson.loads(data), model_class)


def from_plain(data: Any, model_class: type[T]) -> T:
    """Converts plain data to an object of a model class.

    Args:
        data: Dictionaries, lists and scalars.
        model_class: The attrs class.

    Raises:
        cattrs.BaseValidationError: A field is missing, unknown or mistyped.
    """
    return _converter.structure(data, model_class)


def field_errors(error: cattrs.BaseValidationError) -> list[str]:
    """Returns the problems of a validation error, one line each."""
    return cattrs.transform_error(error, path='')


def field_names(model_class: type) -> list[str]:
    """Returns the names of the fields of an attrs class in their order."""
    return [field.name for field in attrs.fields(model_class)]
