"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors


class JumpingSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('nothing is scheduled that could end the wait')
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now


def run(coroutine_function, *arguments):
    """Runs a coroutine function; no real time passes while it sleeps."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine_function(*arguments))


def monotonic():
    return asyncio.get_running_loop().time()


def unix_time():
    return 1_000_000.0 + monotonic()
