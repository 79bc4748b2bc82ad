"""Commands that set, remove and list labels."""

from typing import Any

from hemlockgrade.commands import client


async def set_label(
    api: client.AdministrationClient, name: str, kind: str, members: list[str]
) -> dict[str, Any]:
    """Creates or replaces a label.

    Args:
        api: Client of the administration API.
        name: Name of the label.
        kind: `target` or `proxy`.
        members: Patterns of identifiers.
    """
    body = {'name': name, 'kind': kind, 'members': members}
    return await api.put(client.object_path('labels', name), body)


async def remove_label(
    api: client.AdministrationClient, name: str
) -> dict[str, Any]:
    """Removes a label; no selector may use the label."""
    return await api.delete(client.object_path('labels', name))


async def list_labels(
    api: client.AdministrationClient,
) -> list[dict[str, Any]]:
    """Returns all labels."""
    return (await api.get('/v1/labels'))['labels']
