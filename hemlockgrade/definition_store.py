"""Checks and stores operators' changes of labels and selectors."""

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

# A change is attempted again if the store does not respond, or if another
# operator has written the same object. With the delays between them, all
# attempts take 0.9 s if the store refuses connections, and 6.9 s if it accepts
# them but never responds. Both are less than the default timeout of hemlockctl.
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.3


@attrs.define(eq=False, kw_only=True)
class DefinitionStore:
    """Writes labels and selectors as mesh objects.

    Each change is checked against the current objects in the store. It is
    written only if its object still has the revision used for the check.

    Attributes:
        store: Store of the mesh objects.
        on_written: Called with each written definition.
        on_removed: Called with the key and the revision of each removal.
    """

    store: object_store.ObjectStore
    on_written: Callable[[model.Definition], object]
    on_removed: Callable[[str, int], None]

    async def load(self) -> tuple[selectors.Definitions, int]:
        """Reads all labels, selectors and rollouts.

        Returns:
            The definitions and the revision of the store.

        Raises:
            exceptions.PlatformUnavailableError: The store is unavailable.
        """
        listing = await self.store.list(object_codec.MESH_KIND)
        definitions_by_kind: dict[str, dict[str, model.Definition]] = {
            'label': {},
            'selector': {},
        }
        share_by_key: dict[str, model.VersionShare] = {}
        for item in listing.items:
            value = object_codec.decode_item_or_log(item)
            if isinstance(value, model.VersionShare):
                share_by_key[value.key] = value
            elif isinstance(value, model.Definition):
                definitions_by_kind[value.kind][value.value.name] = value
        definitions = selectors.Definitions(
            label_by_name=definitions_by_kind['label'],
            selector_by_name=definitions_by_kind['selector'],
            share_by_key=share_by_key,
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
            name: Name of the label or selector.
            body: Fields of the label or selector.
            author: Operator who makes the change.
            base_revision: Revision that the change was prepared on; the change
                is refused if the object has a later one. With None, any
                revision is replaced.

        Returns:
            The revision of the change.

        Raises:
            exceptions.InvalidChangeError: A field was refused.
            exceptions.ConflictError: Another change of the object came first.
            exceptions.PlatformUnavailableError: The store is unavailable.
        """

        def build(definitions: selectors.Definitions) -> model.Definition:
            return _build_definition(definitions, kind, name, body, author)

        return await self._retry(
            lambda: self._put(build, f'{kind}.{name}', base_revision),
            base_revision,
        )

    async def remove(
        self, kind: str, name: str, base_revision: int | None
    ) -> int:
        """Removes a label or a selector; see `put`.

        Returns:
            A revision that is not lower than that of any state read before the
            removal. The store does not return the revision of the deletion.
        """
        removal = _Removal(kind=kind, name=name, base_revision=base_revision)
        return await self._retry(lambda: self._remove(removal), base_revision)

    async def _retry(self, attempt, base_revision: int | None) -> int:
        """Retries an attempt if the store fails or the object has changed.

        If a write took effect but its response was lost, the next attempt finds
        its result in the store and does not write again. If the write takes
        effect only later, one of the two writes fails, since both are
        conditional on the same revision.
        """
        for number in range(1, MAX_ATTEMPTS + 1):
            try:
                return await attempt()
            except object_store.RevisionConflictError as error:
                if base_revision is not None or number == MAX_ATTEMPTS:
                    found = error.current
                    revision = (
                        '(number unknown)' if found is None else found.revision
                    )
                    raise _conflict('the object', revision) from error
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

    async def _put(self, build, key: str, base_revision: int | None) -> int:
        definitions, _ = await self.load()
        current = _current(definitions, key)
        new = build(definitions)
        if current is not None and _is_same_change(current, new):
            # An earlier attempt took effect, or the change is empty.
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

    async def _remove(self, removal: '_Removal') -> int:
        definitions, revision = await self.load()
        current = _current(definitions, removal.key)
        if current is None and removal.may_be_done:
            self.on_removed(removal.key, revision)
            return revision
        selectors.check_removal(definitions, removal.kind, removal.name)
        _check_precondition(current, removal.base_revision)
        assert current is not None
        try:
            await self.store.delete(
                object_codec.MESH_KIND, removal.key, current.revision
            )
        except exceptions.PlatformUnavailableError as error:
            removal.may_be_done |= not error.outcome_known
            raise
        except exceptions.NotFoundError:
            if not removal.may_be_done:
                raise
        deletion_revision = max(revision, current.revision) + 1
        self.on_removed(removal.key, deletion_revision)
        return deletion_revision


@attrs.define(kw_only=True)
class _Removal:
    """A removal, which may take several attempts.

    Attributes:
        kind: `label` or `selector`.
        name: Name of the label or selector.
        base_revision: Revision that the removal was prepared on; None if any
            revision is removed.
        may_be_done: True once the response to a deletion was lost, so that the
            object may be gone because of it.
    """

    kind: str
    name: str
    base_revision: int | None
    may_be_done: bool = False

    @property
    def key(self) -> str:
        """Returns the key of the object."""
        return f'{self.kind}.{self.name}'


def _build_definition(
    definitions: selectors.Definitions,
    kind: str,
    name: str,
    body: dict[str, Any],
    author: str,
) -> model.Definition:
    now = time.time()
    if kind == 'label':
        return model.Definition(
            value=selectors.check_label(definitions, name, body),
            author=author,
            written_at=now,
        )
    selector = selectors.check_selector(definitions, name, body, now)
    version = selectors.new_version(definitions, selector)
    former: dict[str, int] = {}
    if version is not None:
        former = definitions.stable_shares(name)
    return model.Definition(
        value=selector,
        author=author,
        written_at=now,
        former_shares_by_version=former,
        new_version=version,
    )


def _current(
    definitions: selectors.Definitions, key: str
) -> model.Definition | None:
    kind, _, name = key.partition('.')
    return definitions.of_kind(kind).get(name)


def _is_same_change(current: model.Definition, new: model.Definition) -> bool:
    return current.value == new.value and current.author == new.author


def _check_precondition(
    current: model.Definition | None, base_revision: int | None
):
    """Raises an error if the object has changed since the base revision."""
    if (
        base_revision is None
        or current is None
        or current.revision <= base_revision
    ):
        return
    raise _conflict(current.value.name, current.revision)


def _conflict(name: str, revision: int | str) -> exceptions.ConflictError:
    # For operators, a revision of the mesh objects is a configuration version.
    return exceptions.ConflictError(
        f'{name} was changed by configuration version {revision}',
        remedy='show the object again and apply your change to it',
    )
