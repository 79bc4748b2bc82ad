"""Opens TCP listeners that an exit stack closes."""

import asyncio
import contextlib
from typing import Any

from twisted.internet import error as internet_error

from hemlockgrade import addresses
from hemlockgrade import exceptions

# Length of the queue of new connections. Callers that reconnect at the same
# time exceed the default of Twisted, which is 50.
LISTEN_BACKLOG = 1024


async def listen(
    stack: contextlib.AsyncExitStack,
    reactor: Any,
    setting: str,
    address: str,
    factory: Any,
) -> None:
    """Opens a listener that stays open until the exit stack is closed.

    Args:
        stack: Exit stack that closes the listener.
        reactor: The Twisted reactor.
        setting: Name of the setting that holds the address, for the error.
        address: Address to listen at, as `ip:port`.
        factory: Creates the protocol of each connection.

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
        # The listener closes in the next iteration of the event loop, after
        # this call.
        reactor.callLater(0, _accept_waiting, listener)
        stopped = listener.stopListening()
        if stopped is not None:
            await stopped.asFuture(asyncio.get_running_loop())

    stack.push_async_callback(close)


def _accept_waiting(listener: Any) -> None:
    """Accepts all connections that would be reset when the listener closes."""
    accepted = -1
    while listener.sessionno != accepted:
        accepted = listener.sessionno
        listener.doRead()
