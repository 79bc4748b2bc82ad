"""Members and shares as they are kept in the store and sent to peers."""

from typing import Any

import attrs
import cattrs

from hemlockgrade import exceptions
from hemlockgrade.mesh import model
from hemlockgrade.mesh import objects

# The one kind of objects that the daemons write for each other.
MESH_KIND = 'mesh'
MEMBER_PREFIX = 'member.'
SHARE_PREFIX = 'share.'

_converter = cattrs.Converter(forbid_extra_keys=False)


def member_key(name: str) -> str:
    """Returns the name of a member's object."""
    return MEMBER_PREFIX + name


def share_key(service: str) -> str:
    """Returns the name of a share's object."""
    return SHARE_PREFIX + service


def encode(value: model.Member | model.VersionShare) -> dict[str, Any]:
    """Encodes a member or a share, without its revision."""
    data = _converter.unstructure(value)
    del data['revision']
    return data


def decode_item(
    item: objects.StoredItem,
) -> model.Member | model.VersionShare | None:
    """Decodes an object of the mesh's kind.

    Returns:
        The member or share; None for an object of another name.

    Raises:
        exceptions.InvalidFieldError: Its content cannot be used.
    """
    if item.name.startswith(MEMBER_PREFIX):
        return _structure(item.spec, model.Member, item.revision)
    if item.name.startswith(SHARE_PREFIX):
        return _structure(item.spec, model.VersionShare, item.revision)
    return None


def decode_member(data: Any, revision: int) -> model.Member:
    """Decodes a member that a peer sent.

    Raises:
        exceptions.InvalidFieldError: It cannot be used.
    """
    return _structure(data, model.Member, revision)


def decode_share(data: Any, revision: int) -> model.VersionShare:
    """Decodes a share that a peer sent.

    Raises:
        exceptions.InvalidFieldError: It cannot be used.
    """
    return _structure(data, model.VersionShare, revision)


def _structure(data: Any, kind: Any, revision: int) -> Any:
    try:
        value = _converter.structure(data, kind)
    except Exception as error:  # noqa: BLE001
        raise exceptions.InvalidFieldError(
            kind.__name__,
            f'cannot be decoded: {error!r}',
            remedy='delete the object, its owner writes it again',
        ) from error
    return attrs.evolve(value, revision=revision)
