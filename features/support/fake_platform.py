"""An in-memory platform that fails, loses answers, delays and reorders."""

import asyncio
import contextlib
import functools

from hemlockgrade import exceptions

CALL_S = 0.002
WATCH_POLL_S = 0.05
# Late requests arrive, and paused processes resume, within this time.
LONGEST_DELAY_S = 8.0

FAULTS = ('down', 'refused', 'dropped', 'lost', 'late', 'slow', 'paused')


class FakePlatform:
    """One client's view of a store.

    `faults` names what happens to the next calls; a number is the time that
    an answer takes, `late:` with a number the time until a lost request takes
    effect. `rate` is the probability of a random fault for each call
    after them. A pause holds up all calls of the client, as one that hits the
    whole process does.
    """

    def __init__(self, store, random, rate=0.0, faults=()):
        self.store = store
        self.rate = rate
        self.faults = list(faults)
        self.down_until = 0.0
        self.paused_until = 0.0
        self._random = random

    async def get(self, key):
        return await self._call(lambda: self.store.get(key), False)

    async def list(self, prefix):
        return await self._call(lambda: self.store.select(prefix), False)

    async def create(self, key, value):
        return await self._call(lambda: self.store.put(key, value, None), True)

    async def update(self, key, value, version):
        return await self._call(
            lambda: self.store.put(key, value, version), True
        )

    async def delete(self, key, version):
        return await self._call(lambda: self.store.delete(key, version), True)

    async def watch(self, prefix, after):
        while True:
            select = functools.partial(self.store.select, prefix, after)
            found = await self._call(select, False)
            if found:
                after = found[-1].key
                self._random.shuffle(found)
                yield found
            await asyncio.sleep(WATCH_POLL_S)

    async def close(self):
        pass

    async def _call(self, effect, write):
        loop = asyncio.get_running_loop()
        fault = self._next_fault(write)
        if fault == 'down':
            self.down_until = loop.time() + 3.0
        if fault == 'paused':
            pause_s = self._random.uniform(0, LONGEST_DELAY_S)
            self.paused_until = loop.time() + pause_s
        await self._sleep(2 * CALL_S)
        if loop.time() < self.down_until:
            raise unavailable(not write or self._random.random() < 0.5)
        if fault == 'refused':
            raise unavailable(True)
        if fault == 'dropped':
            raise unavailable(not write)
        if fault.startswith('late'):
            late_s = fault.removeprefix('late').strip(':')
            delay_s = self._random.uniform(0, LONGEST_DELAY_S)
            loop.call_later(float(late_s or delay_s), apply_late, effect)
            raise unavailable(False)
        result = effect()
        if fault.replace('.', '').isdecimal():
            await asyncio.sleep(float(fault))
        await self._sleep(LONGEST_DELAY_S if fault == 'slow' else 2 * CALL_S)
        if fault == 'lost':
            raise unavailable(not write)
        return result

    def _next_fault(self, write):
        if self.faults:
            return self.faults.pop(0)
        if self._random.random() >= self.rate:
            return 'ok'
        fault = self._random.choice(FAULTS)
        return 'ok' if fault == 'late' and not write else fault

    async def _sleep(self, longest_s):
        await asyncio.sleep(self._random.uniform(0, longest_s))
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, self.paused_until - now))


def apply_late(effect):
    with contextlib.suppress(exceptions.ConflictError):
        effect()


def unavailable(outcome_known):
    return exceptions.PlatformUnavailableError(
        'no answer', remedy='retry', outcome_known=outcome_known
    )
