"""Runs a coroutine on Twisted's asyncio reactor."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from twisted.internet import asyncioreactor

from hemlockgrade import exceptions

T = TypeVar('T')


def run(main: Callable[[], Awaitable[T]]) -> T:
    """Installs the reactor, runs a coroutine to its end, and stops.

    Modules that import the reactor have to be imported by the coroutine or
    later, because the first import would install another reactor.

    Args:
        main: Called once the reactor runs.

    Raises:
        exceptions.RunInterruptedError: The reactor was stopped from outside.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    async def until_done() -> T:
        try:
            return await main()
        finally:
            reactor.stop()

    task = loop.create_task(until_done())
    reactor.run(installSignalHandlers=False)
    if not task.done():
        raise exceptions.RunInterruptedError(
            'interrupted', remedy='run the command again'
        )
    return task.result()
