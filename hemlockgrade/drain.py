"""The end of a daemon: callers and peers leave first, then requests end."""

import asyncio
from collections.abc import Callable
import contextlib

import attrs
from loguru import logger

from hemlockgrade import admission as admission_module
from hemlockgrade import http_codec
from hemlockgrade import http_server
from hemlockgrade import in_flight as in_flight_module
from hemlockgrade.platform import codec as platform_codec

# The platform takes a daemon out after this many missed readiness checks,
# which come each second; callers may still come until then.
FAILED_CHECKS_BEFORE_REMOVAL = 2
# Time in which the platform's word reaches the callers, in seconds.
REMOVAL_PROPAGATION_S = 0.2
# Longest wait for these checks, in seconds.
MAX_REMOVAL_WAIT_S = 3.2
# Callers that still come, because most hosts of the zone are leaving too, are
# refused after this part of the grace period; the rest of it is longer than a
# request takes.
ACCEPTING_GRACE_FRACTION = 0.7
# A daemon ends after this time without a request, in seconds.
NO_REQUEST_INTERVAL_S = 0.3
# Kept from the grace period for the end of the process, in seconds.
EXIT_MARGIN_S = 0.7


@attrs.define(eq=False, kw_only=True)
class Drain:
    """Readiness of a daemon and the order of its end.

    Attributes:
        admission: Refuses other daemons once callers have had notice.
        in_flight: Counts requests of callers and of other daemons.
        clock: Monotonic time in seconds.
        is_configured: Tells whether a configuration is known.
        on_leaving: Called when other daemons are refused.
    """

    admission: admission_module.AdmissionController
    in_flight: in_flight_module.InFlightCounter
    clock: Callable[[], float]
    is_configured: Callable[[], bool]
    on_leaving: Callable[[], None]
    _stopping: bool = False
    _missed: int = 0
    _noticed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def ready(self) -> bool:
        """Tells whether callers may come."""
        return not self._stopping and self.is_configured()

    async def handle_readiness_check(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        """Tells the platform whether callers may come."""
        if request.path != platform_codec.READINESS_PATH:
            return http_codec.Response(status=404)
        if self.ready:
            return http_codec.Response(status=200)
        if self._stopping:
            self._missed += 1
            if self._missed >= FAILED_CHECKS_BEFORE_REMOVAL:
                self._noticed.set()
        return http_codec.Response(status=503)

    async def run(
        self,
        callers: http_server.HttpServerFactory,
        accepting: contextlib.AsyncExitStack,
        timeout_s: float,
    ) -> None:
        """Ends with no request cut, within the time allowed.

        Args:
            callers: Where callers connect.
            accepting: Owns the listener for callers.
            timeout_s: Time until the process has to end, in seconds.
        """
        now = self.clock()
        refuse_at = now + timeout_s * ACCEPTING_GRACE_FRACTION
        exit_at = now + timeout_s - EXIT_MARGIN_S
        await self._wait_for_notice(callers)
        await self._wait_for_quiet(refuse_at)
        await accepting.aclose()
        callers.close_idle()
        await self.in_flight.wait_until_idle(exit_at)
        logger.info('event=daemon_drained in_flight={}', self.in_flight.count)

    async def _wait_for_notice(self, callers: http_server.HttpServerFactory):
        """Serves on until no callers are sent here any longer.

        Other daemons are served as well until then: the server beside this
        daemon lives on, and is missed for as long as the daemon is away.

        Args:
            callers: Where callers connect.
        """
        self._stopping = True
        callers.drain()
        logger.info('event=daemon_draining in_flight={}', self.in_flight.count)
        try:
            async with asyncio.timeout(MAX_REMOVAL_WAIT_S):
                await self._noticed.wait()
                await asyncio.sleep(REMOVAL_PROPAGATION_S)
        except TimeoutError:
            logger.info('event=readiness_checks_missing seen={}', self._missed)

    async def _wait_for_quiet(self, refuse_at: float) -> None:
        """Refuses other daemons, and waits until callers stay away.

        Args:
            refuse_at: Gives up then, in monotonic seconds.
        """
        self.admission.leaving = True
        self.on_leaving()
        served = -1
        while served != self.in_flight.total and self.clock() < refuse_at:
            await self.in_flight.wait_until_idle(refuse_at)
            served = self.in_flight.total
            await asyncio.sleep(
                min(NO_REQUEST_INTERVAL_S, max(0, refuse_at - self.clock()))
            )
