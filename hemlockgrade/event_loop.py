"""Runs a coroutine on Twisted's asyncio reactor."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from twisted.internet import asyncioreactor

from hemlockgrade import exceptions

T = TypeVar('T')


def run(main: Callable[[], Awaitable[T]]) -> T:
    """Installs the reactor, runs a coroutine to its end and stops the reactor.

    Modules that import the reactor must not be imported before the coroutine
    runs, because the first import would install another reactor.

    Args:
        main: Returns the coroutine; called when the reactor runs.

    Returns:
        The result of the coroutine.

    Raises:
        exceptions.RunInterruptedError: The reactor was stopped before the
            coroutine ended.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    async def run_and_stop() -> T:
        try:
            return await main()
        finally:
            reactor.stop()

    task = loop.create_task(run_and_stop())
    reactor.run(installSignalHandlers=False)
    if not task.done():
        raise exceptions.RunInterruptedError(
            'interrupted', remedy='run the command again'
        )
    return task.result()
