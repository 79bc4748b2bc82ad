"""Reads files of labels and selectors, and checks them without a daemon."""

import pathlib
import time
from typing import Any

import attrs
import orjson

from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import selectors


@attrs.frozen(kw_only=True)
class FileContent:
    """Objects of a file, not yet checked.

    Attributes:
        labels: Fields of each label.
        selectors: Fields of each selector.
    """

    labels: list[dict[str, Any]]
    selectors: list[dict[str, Any]]


def read_file(path: str) -> FileContent:
    """Reads a file of the form `{"labels": [...], "selectors": [...]}`.

    Raises:
        exceptions.InvalidChangeError: The file cannot be read or does not have
            this form.
    """
    try:
        data = orjson.loads(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise _invalid(path, error.strerror or 'cannot be read') from error
    except orjson.JSONDecodeError as error:
        raise _invalid(path, f'is not JSON: {error}') from error
    if not isinstance(data, dict) or not set(data) <= {'labels', 'selectors'}:
        raise _invalid(path, 'has other keys than labels and selectors')
    content = FileContent(
        labels=data.get('labels', []), selectors=data.get('selectors', [])
    )
    objects = [*content.labels, *content.selectors]
    if not all(isinstance(item, dict) for item in objects):
        raise _invalid(path, 'has an item that is not a JSON object')
    return content


def check_file(path: str) -> int:
    """Checks every object of a file; sends nothing.

    Each selector is checked against the valid labels and the earlier valid
    selectors of the same file.

    Args:
        path: Path of the file.

    Returns:
        The number of objects.

    Raises:
        exceptions.InvalidChangeError: The file or an object of the file is
            invalid. Holds all errors of the file.
    """
    content = read_file(path)
    valid_labels: dict[str, model.Definition] = {}
    valid_selectors: dict[str, model.Definition] = {}
    definitions = selectors.Definitions(
        label_by_name=valid_labels, selector_by_name=valid_selectors
    )
    errors: list[exceptions.InvalidFieldError] = []
    for body in content.labels:
        name = str(body.get('name', ''))
        try:
            label = selectors.check_label(definitions, name, body)
            valid_labels[name] = model.Definition(value=label)
        except exceptions.InvalidChangeError as error:
            errors.extend(_with_object_name(error, name))
    for body in content.selectors:
        name = str(body.get('name', ''))
        try:
            selector = selectors.check_selector(
                definitions, name, body, time.time()
            )
            valid_selectors[name] = model.Definition(value=selector)
        except exceptions.InvalidChangeError as error:
            errors.extend(_with_object_name(error, name))
    if errors:
        raise exceptions.InvalidChangeError(path, errors)
    return len(content.labels) + len(content.selectors)


def _with_object_name(error: exceptions.InvalidChangeError, name: str):
    """Yields the field errors, with the object name before the field name."""
    for single_error in error.single_errors():
        if isinstance(single_error, exceptions.InvalidFieldError):
            yield exceptions.InvalidFieldError(
                f'{name}.{single_error.field}',
                single_error.problem,
                remedy=single_error.remedy,
            )


def _invalid(path: str, problem: str) -> exceptions.InvalidChangeError:
    return exceptions.InvalidChangeError(
        'not sent',
        [
            exceptions.InvalidFieldError(
                path,
                problem,
                remedy='write {"labels": [...], "selectors": [...]}',
            )
        ],
    )
