"""Commands that apply, show, list and remove selectors.

The configuration version of labels and selectors is the table revision, the
highest revision of the mesh objects. It is not the version of the configuration
document that the operators write.
"""

import datetime
import re
import time
from typing import Any

from hemlockgrade import exceptions
from hemlockgrade.commands import client
from hemlockgrade.commands import files

_RELATIVE_TIME = re.compile(r'^\+(\d+(?:\.\d+)?)([smh])$')
_SECONDS_BY_UNIT = {'s': 1, 'm': 60, 'h': 3600}


async def apply_file(
    api: client.AdministrationClient, path: str
) -> list[dict[str, Any]]:
    """Writes first the labels and then the selectors of a file.

    Args:
        api: Client of the administration API.
        path: Path of the file.

    Returns:
        The name and the new configuration version of each object.
    """
    content = files.read_file(path)
    results = []
    for collection, objects in (
        ('labels', content.labels),
        ('selectors', content.selectors),
    ):
        for body in objects:
            name = str(body.get('name', ''))
            response = await api.put(client.object_path(collection, name), body)
            results.append(
                {
                    'object': f'{collection}/{name}',
                    'version': response['accepted'],
                }
            )
    return results


async def set_shares(
    api: client.AdministrationClient,
    name: str,
    shares: str,
    agreed_by: str | None,
) -> dict[str, Any]:
    """Changes the traffic shares of a selector.

    Args:
        api: Client of the administration API.
        name: Name of the selector.
        shares: Traffic shares in percent, for example `v1=90,v2=10`.
        agreed_by: Time by which the rollout of a new version has to end; see
            `parse_time`.
    """
    version, body = await _find_selector(api, name)
    body['shares_by_version'] = parse_shares(shares)
    body['agreed_by'] = None if agreed_by is None else parse_time(agreed_by)
    return await api.put(
        client.object_path('selectors', name), body, expected_version=version
    )


async def show_selector(
    api: client.AdministrationClient, name: str
) -> dict[str, Any]:
    """Returns one selector."""
    return (await _find_selector(api, name))[1]


async def remove_selector(
    api: client.AdministrationClient, name: str
) -> dict[str, Any]:
    """Removes a selector and its routes."""
    return await api.delete(client.object_path('selectors', name))


async def list_selectors(
    api: client.AdministrationClient,
) -> list[dict[str, Any]]:
    """Returns all selectors."""
    return (await api.get('/v1/selectors'))['selectors']


def parse_shares(text: str) -> dict[str, int]:
    """Parses traffic shares of the form `v1=90,v2=10`.

    Returns:
        The percentage of each version.

    Raises:
        exceptions.InvalidChangeError: The text does not have this form.
    """
    shares = {}
    for part in text.split(','):
        version, _, share = part.partition('=')
        if not version or not share.isdigit():
            raise _invalid('shares', part, 'use VERSION=PERCENT,...')
        shares[version] = int(share)
    return shares


def parse_time(text: str) -> float:
    """Parses `+90s`, `+10m`, `+2h` or an ISO 8601 time with a time zone.

    Returns:
        Unix time in seconds.

    Raises:
        exceptions.InvalidChangeError: The text has none of these forms.
    """
    match = _RELATIVE_TIME.match(text)
    if match is not None:
        return time.time() + float(match[1]) * _SECONDS_BY_UNIT[match[2]]
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.tzinfo is None:
        raise _invalid(
            'agreed_by', text, 'use +90s, +10m, +2h or 2027-01-31T18:00+01:00'
        )
    return parsed.timestamp()


async def _find_selector(
    api: client.AdministrationClient, name: str
) -> tuple[int, dict[str, Any]]:
    response = await api.get('/v1/selectors')
    for body in response['selectors']:
        if body['name'] == name:
            return response['version'], body
    raise exceptions.NotFoundError(
        f'no selector {name!r}',
        remedy='list all selectors with: hemlockctl selectors list',
    )


def _invalid(
    field: str, value: str, remedy: str
) -> exceptions.InvalidChangeError:
    return exceptions.InvalidChangeError(
        'not sent',
        [
            exceptions.InvalidFieldError(
                field, f'{value!r} cannot be parsed', remedy=remedy
            )
        ],
    )
