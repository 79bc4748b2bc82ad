"""Commands that list and watch rollouts."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from hemlockgrade import exceptions
from hemlockgrade.commands import client

POLL_INTERVAL_S = 0.5


async def list_rollouts(
    api: client.AdministrationClient,
) -> list[dict[str, Any]]:
    """Returns the latest rollout of each selector."""
    return (await api.get('/v1/rollouts'))['rollouts']


async def watch_rollout(
    api: client.AdministrationClient, selector: str
) -> AsyncIterator[dict[str, Any]]:
    """Yields each new state of a rollout until the rollout ends.

    Args:
        api: Client of the administration API.
        selector: Name of the selector.

    Raises:
        exceptions.NotFoundError: The selector has no rollout.
        exceptions.RolledBackError: The rollout was rolled back.
    """
    previous = None
    while True:
        rollout = await _find_rollout(api, selector)
        if rollout != previous:
            yield rollout
        previous = rollout
        if rollout['state'] == 'done':
            return
        if rollout['state'] == 'rolled_back':
            raise exceptions.RolledBackError(
                f'version {rollout["new_version"]} was rolled back: '
                f'{rollout["reason"]}',
                remedy='correct the version and set its share again',
            )
        await asyncio.sleep(POLL_INTERVAL_S)


async def _find_rollout(
    api: client.AdministrationClient, selector: str
) -> dict[str, Any]:
    for rollout in await list_rollouts(api):
        if rollout['selector'] == selector:
            return rollout
    raise exceptions.NotFoundError(
        f'selector {selector!r} has no rollout',
        remedy='list all rollouts with: hemlockctl rollouts list',
    )
