"""Opening of TCP listeners that an exit stack closes."""

import asyncio
import contextlib
from typing import Any

from twisted.internet import error as internet_error

from hemlockgrade import addresses
from hemlockgrade import exceptions

# Callers that reconnect together exceed Twisted's default of 50.
LISTEN_BACKLOG = 1024


async def listen(
    stack: contextlib.AsyncExitStack,
    reactor: Any,
    setting: str,
    address: str,
    factory: Any,
) -> None:
    """Listens until the exit stack closes.

    Args:
        stack: Owns the listener.
        reactor: The Twisted reactor.
        setting: Name of the setting that holds the address.
        address: `ip:port`.
        factory: Makes the protocol of each connection.

    Raises:
        exceptions.SettingsError: The address cannot be used.
    """
    host, port = addresses.split(address)
    try:
        listener = reactor.listenTCP(
            port, factory, backlog=LISTEN_BACKLOG, interface=host
        )
    except internet_error.CannotListenError as error:
        raise exceptions.SettingsError(
            f'{setting} {address} cannot be used: {error.socketError}',
            remedy='free the port or change the setting',
        ) from error

    async def close():
        stopped = listener.stopListening()
        if stopped is not None:
            await stopped.asFuture(asyncio.get_running_loop())

    stack.push_async_callback(close)
