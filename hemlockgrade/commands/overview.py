"""Commands that show the state of all daemons: status, explain, time line."""

from typing import Any

from hemlockgrade import exceptions
from hemlockgrade import serialization
from hemlockgrade import timeline
from hemlockgrade.commands import client


async def status(api: client.AdministrationClient) -> dict[str, Any]:
    """Returns the state of every daemon, target and rollout lease."""
    results = await api.get_from_all('/v1/status')
    daemons = [
        {'address': address, 'error': str(result)}
        if isinstance(result, exceptions.HemlockError)
        else {'address': address, **result}
        for address, result in results.items()
    ]
    versions = [d['version'] for d in daemons if 'version' in d]
    targets = (await api.get('/v1/targets'))['targets']
    return {
        'daemons': daemons,
        'targets': targets,
        'lowest_version': min(versions, default=0),
        'highest_version': max(versions, default=0),
        'unreachable': [d['address'] for d in daemons if 'error' in d],
    }


async def explain(
    api: client.AdministrationClient, path: str
) -> dict[str, Any]:
    """Returns the route, selector and versions that match a path."""
    return await api.get('/v1/explain', {'path': path})


async def merged_timeline(
    api: client.AdministrationClient, about: str | None
) -> list[timeline.Event]:
    """Returns the events of all daemons in causal order.

    Args:
        api: Client of the administration API.
        about: If given, only events with this value in a field.
    """
    query = None if about is None else {'about': about}
    results = await api.get_from_all('/v1/events', query)
    events = [
        serialization.from_plain(event, timeline.Event)
        for result in results.values()
        if isinstance(result, dict)
        for event in result['events']
    ]
    return timeline.merge_events(events)
