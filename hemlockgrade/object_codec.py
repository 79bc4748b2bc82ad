"""Encoding of the mesh objects for the store and for peers.

Mesh objects are the objects that the daemons write themselves: members, states
of rollouts, labels and selectors.
"""

from typing import Any

import attrs
import cattrs
from loguru import logger

from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import object_checks
from hemlockgrade import object_store

# Kind of all mesh objects in the store.
MESH_KIND = 'mesh'
MEMBER_PREFIX = 'member.'
SHARE_PREFIX = 'share.'
LABEL_PREFIX = 'label.'
SELECTOR_PREFIX = 'selector.'

MeshObject = model.Member | model.VersionShare | model.Definition

_converter = cattrs.Converter(forbid_extra_keys=False)
_CLASS_BY_PREFIX: dict[str, Any] = {
    MEMBER_PREFIX: model.Member,
    SHARE_PREFIX: model.VersionShare,
    LABEL_PREFIX: model.Definition,
    SELECTOR_PREFIX: model.Definition,
}


def _structure_definition(data: Any, _) -> model.Label | model.Selector:
    # Labels have the field `kind`, selectors do not.
    if 'kind' in data:
        return _converter.structure(data, model.Label)
    return _converter.structure(data, model.Selector)


_converter.register_structure_hook(
    model.Label | model.Selector, _structure_definition
)


def key_of(value: MeshObject) -> str:
    """Returns the name under which an object is stored."""
    if isinstance(value, model.Member):
        return MEMBER_PREFIX + value.name
    if isinstance(value, model.VersionShare):
        return SHARE_PREFIX + value.key
    return f'{value.kind}.{value.value.name}'


def encode(value: MeshObject) -> dict[str, Any]:
    """Encodes an object without its revision, which the store assigns."""
    data = _converter.unstructure(value)
    del data['revision']
    return data


def decode(name: str, data: Any, revision: int) -> MeshObject | None:
    """Decodes an object, which another program may have written.

    Args:
        name: Name under which the object is stored.
        data: Encoded content of the object.
        revision: Revision of the object's last change.

    Returns:
        The object, or None if its name has no known prefix.

    Raises:
        exceptions.InvalidFieldError: The content cannot be decoded, a field
            has another type or an unusable value, or the name is not that of
            the content.
    """
    prefix = name[: name.find('.') + 1]
    model_class = _CLASS_BY_PREFIX.get(prefix)
    if model_class is None:
        return None
    try:
        value = _converter.structure(data, model_class)
        object_checks.check_types(revision, 0, 'revision')
        object_checks.check_types(data, encode(value))
        object_checks.CHECK_BY_CLASS[model_class](value)
        if key_of(value) != name:
            raise ValueError(f'the content is that of {key_of(value)!r}')
    except Exception as error:  # noqa: BLE001
        raise exceptions.InvalidFieldError(
            name,
            f'cannot be decoded: {error!r:.300}',
            remedy='delete the object; its owner then writes it again',
        ) from error
    return attrs.evolve(value, revision=revision)


def decode_or_log(
    name: str, data: Any, revision: int, source: str
) -> MeshObject | None:
    """Decodes an object; logs an error and returns None if that fails.

    An object that cannot be decoded must not affect any other one.

    Args:
        name: Name under which the object is stored.
        data: Encoded content of the object.
        revision: Revision of the object's last change.
        source: Origin of the object, for the log: `store` or the address of a
            peer.
    """
    try:
        return decode(name, data, revision)
    except exceptions.InvalidFieldError as error:
        logger.error(
            'event=entry_refused name={!r} revision={} source={} problem={!r}',
            name,
            revision,
            source,
            str(error),
        )
        return None


def decode_item_or_log(item: object_store.StoredItem) -> MeshObject | None:
    """Decodes an object as the store returned it; see `decode_or_log`."""
    return decode_or_log(item.name, item.spec, item.revision, 'store')
