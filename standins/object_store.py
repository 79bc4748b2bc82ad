"""The objects of a stand-in platform, without transport or faults."""

import bisect

import attrs

from hemlockgrade import exceptions
from hemlockgrade import platform_api

MAX_VALUE_BYTES = 1_000_000


@attrs.define
class ObjectStore:
    """Objects with versions and conditional writes, in key order."""

    _objects_by_key: dict[str, platform_api.StoredObject] = attrs.field(
        factory=dict
    )
    _keys: list[str] = attrs.field(factory=list)

    def get(self, key: str) -> platform_api.StoredObject | None:
        """Returns an object or None."""
        return self._objects_by_key.get(key)

    def select(
        self, prefix: str, after: str = ''
    ) -> list[platform_api.StoredObject]:
        """Returns the objects below a prefix whose key sorts after a key."""
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        found = []
        for key in self._keys[start:]:
            if not key.startswith(prefix):
                break
            found.append(self._objects_by_key[key])
        return found

    def put(
        self, key: str, value: bytes, version: int | None
    ) -> platform_api.StoredObject:
        """Writes an object if it has the version; None: if there is none."""
        self._check(key, version)
        if version is None:
            bisect.insort(self._keys, key)
        stored = platform_api.StoredObject(
            key=key, value=value, version=(version or 0) + 1
        )
        self._objects_by_key[key] = stored
        return stored

    def delete(self, key: str, version: int) -> None:
        """Removes an object if it has the version."""
        self._check(key, version)
        del self._objects_by_key[key]
        self._keys.remove(key)

    def _check(self, key: str, version: int | None) -> None:
        stored = self._objects_by_key.get(key)
        if (stored.version if stored else None) == version:
            return
        raise exceptions.ConflictError(
            f'{key} is at version {stored.version if stored else None}',
            remedy='read the object again',
        )
