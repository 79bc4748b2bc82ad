"""Runs a coroutine on an event loop whose clock does not wait."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any

# Time at the start of each run, in seconds.
START_S = 1000.0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when nothing is ready.

    The coroutines must wait for timers and each other only, not for sockets or
    threads.
    """

    def __init__(self):
        self.now = START_S
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.now


class _JumpingSelector(selectors.DefaultSelector):
    """Lets the clock of a loop jump instead of waiting."""

    def __init__(self, loop: VirtualTimeLoop):
        super().__init__()
        self._virtual_loop = loop

    def select(self, timeout=None):
        """Returns the ready files, without a wait."""
        if timeout is None:
            raise RuntimeError('all tasks wait for something that has no timer')
        self._virtual_loop.now += max(0.0, timeout)
        return super().select(0)


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
