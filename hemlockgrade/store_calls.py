"""Counts the calls of a daemon to the store by what they are for."""

import asyncio
import collections

import attrs
from loguru import logger

# Time between two log lines with the calls since the line before, in seconds.
LOG_INTERVAL_S = 10.0


@attrs.frozen(kw_only=True, order=True)
class StoreCall:
    """What a call to the store is for, and how it ended.

    Attributes:
        kind: Kind of the objects.
        call: Name of the method of `object_store.ObjectStore`.
        may_lag: True for a read that the store may serve from a lagging
            replica, which costs less.
        result: `changed` for a watch that returned changes and for any other
            call that succeeded, `unchanged` for a watch without changes,
            `refused` for a conflict or an object that does not exist, `failed`
            if the store is unavailable, and `cancelled`.
    """

    kind: str
    call: str
    may_lag: bool
    result: str

    def __str__(self) -> str:
        """Returns the key of the call in a log line."""
        lagging = '.lagging' if self.may_lag else ''
        return f'{self.kind}.{self.call}{lagging}.{self.result}'


@attrs.define(eq=False)
class StoreCallCounter:
    """Counts calls to the store that have ended.

    Attributes:
        count_by_call: Number of calls since the start of the daemon.
    """

    count_by_call: collections.Counter[StoreCall] = attrs.field(
        factory=collections.Counter
    )
    _logged_by_call: collections.Counter[StoreCall] = attrs.field(
        factory=collections.Counter
    )

    def count(self, call: StoreCall) -> None:
        """Counts a call that has ended."""
        self.count_by_call[call] += 1

    @property
    def total(self) -> int:
        """Returns the number of all calls."""
        return self.count_by_call.total()

    async def run(self) -> None:
        """Logs the calls again and again until it is cancelled."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_S)
            self.log()

    def log(self) -> None:
        """Logs the calls since the previous line."""
        new = self.count_by_call - self._logged_by_call
        self._logged_by_call = self.count_by_call.copy()
        if new:
            logger.info(
                'event=store_calls total={} {}',
                self.total,
                ' '.join(f'{call}={new[call]}' for call in sorted(new)),
            )
