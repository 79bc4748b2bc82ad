"""Operators' changes of labels and selectors, checked and stored."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import attrs
from loguru import logger

from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import object_codec
from hemlockgrade import object_store
from hemlockgrade import selectors

# Attempts at a change while the store does not answer, or while other
# operators write the same object, and the pause between them, in seconds:
# 3 s in all, below the time that a call of hemlockctl may take.
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.3


@attrs.define(eq=False, kw_only=True)
class DefinitionStore:
    """Writes labels and selectors as objects of the mesh.

    Each change is checked against what the store holds now, and written over
    the revision that it was checked against.

    Attributes:
        store: Where the objects are.
        on_written: Called with each written definition.
        on_removed: Called with the key and the revision of each removal.
    """

    store: object_store.ObjectStore
    on_written: Callable[[model.Definition], object]
    on_removed: Callable[[str, int], None]

    async def load(self) -> tuple[selectors.Definitions, int]:
        """Reads all labels, selectors and rollouts.

        Returns:
            The definitions and the store's revision.

        Raises:
            exceptions.PlatformUnavailableError: The store did not answer.
        """
        listing = await self.store.list(object_codec.MESH_KIND)
        defined: dict[str, dict[str, model.Definition]] = {
            'label': {},
            'selector': {},
        }
        shares: dict[str, model.VersionShare] = {}
        for item in listing.items:
            value = object_codec.decode_or_log(item)
            if isinstance(value, model.VersionShare):
                shares[value.key] = value
            elif isinstance(value, model.Definition):
                defined[value.kind][value.value.name] = value
        definitions = selectors.Definitions(
            label_by_name=defined['label'],
            selector_by_name=defined['selector'],
            share_by_key=shares,
        )
        return definitions, listing.revision

    async def put(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        author: str,
        base_revision: int | None,
    ) -> int:
        """Creates or replaces a label or a selector.

        Args:
            kind: `label` or `selector`.
            name: Its name.
            body: Its fields.
            author: Who changes it.
            base_revision: Revision that the change was prepared on; the change
                is refused if the object has a later one.

        Returns:
            The revision of the change.

        Raises:
            exceptions.InvalidChangeError: It was refused by its fields.
            exceptions.ConflictError: Another change was first.
            exceptions.PlatformUnavailableError: The store did not answer.
        """

        def make(known: selectors.Definitions) -> model.Definition:
            return _make(known, kind, name, body, author)

        return await self._repeat(
            lambda: self._put(make, f'{kind}.{name}', base_revision),
            base_revision,
        )

    async def remove(
        self, kind: str, name: str, base_revision: int | None
    ) -> int:
        """Removes a label or a selector; see `put`."""
        return await self._repeat(
            lambda: self._remove(kind, name, base_revision), base_revision
        )

    async def _repeat(self, attempt, base_revision: int | None) -> int:
        """Repeats an attempt that may have been lost, or lost a race.

        A write that took effect without an answer is found by the next
        attempt, since both are conditional on the same revision.
        """
        for number in range(1, MAX_ATTEMPTS + 1):
            try:
                return await attempt()
            except object_store.RevisionConflictError as error:
                if base_revision is not None or number == MAX_ATTEMPTS:
                    found = error.current
                    version = 'a later one' if found is None else found.revision
                    raise _outdated('the object', version) from error
            except exceptions.PlatformUnavailableError as error:
                logger.info(
                    'event=change_not_stored attempt={} problem={!r}',
                    number,
                    str(error),
                )
                if number == MAX_ATTEMPTS:
                    raise
            await asyncio.sleep(RETRY_DELAY_S)
        raise AssertionError('unreachable')

    async def _put(self, make, key: str, base_revision: int | None) -> int:
        known, _ = await self.load()
        current = _current(known, key)
        new = make(known)
        if current is not None and _same(current, new):
            # An earlier attempt took effect, or nothing changes.
            return current.revision
        _check_precondition(current, base_revision)
        spec = object_codec.encode(new)
        if current is None:
            item = await self.store.create(object_codec.MESH_KIND, key, spec)
        else:
            item = await self.store.replace(
                object_codec.MESH_KIND, key, spec, current.revision
            )
        self.on_written(attrs.evolve(new, revision=item.revision))
        return item.revision

    async def _remove(
        self, kind: str, name: str, base_revision: int | None
    ) -> int:
        known, revision = await self.load()
        selectors.check_removal(known, kind, name)
        key = f'{kind}.{name}'
        current = _current(known, key)
        _check_precondition(current, base_revision)
        assert current is not None
        await self.store.delete(object_codec.MESH_KIND, key, current.revision)
        removed_at = max(revision, current.revision) + 1
        self.on_removed(key, removed_at)
        return removed_at


def _make(
    known: selectors.Definitions,
    kind: str,
    name: str,
    body: dict[str, Any],
    author: str,
) -> model.Definition:
    now = time.time()
    if kind == 'label':
        return model.Definition(
            value=selectors.check_label(known, name, body),
            author=author,
            written_at=now,
        )
    selector = selectors.check_selector(known, name, body, now)
    version = selectors.new_version(known, selector)
    former: dict[str, int] = {}
    if version is not None:
        former = known.stable_shares(name)
    return model.Definition(
        value=selector,
        author=author,
        written_at=now,
        former_shares_by_version=former,
        new_version=version,
    )


def _current(known: selectors.Definitions, key: str) -> model.Definition | None:
    kind, _, name = key.partition('.')
    return known.of_kind(kind).get(name)


def _same(current: model.Definition, new: model.Definition) -> bool:
    return current.value == new.value and current.author == new.author


def _check_precondition(
    current: model.Definition | None, base_revision: int | None
):
    """Refuses a change that was prepared on an older state of its object."""
    if (
        base_revision is None
        or current is None
        or current.revision <= base_revision
    ):
        return
    raise _outdated(current.value.name, current.revision)


def _outdated(name: str, version: int | str) -> exceptions.ConflictError:
    return exceptions.ConflictError(
        f'{name} was changed by configuration version {version}',
        remedy='show the object again and repeat your change on it',
    )
