"""Graceful shutdown: new requests stop first, then running requests finish."""

import asyncio
from collections.abc import Callable
import contextlib

import attrs
from loguru import logger

from hemlockgrade import admission as admission_module
from hemlockgrade import http_codec
from hemlockgrade import http_server
from hemlockgrade import in_flight as in_flight_module
from hemlockgrade import shutdown as shutdown_module
from hemlockgrade.platform import codec as platform_codec

# The platform stops sending callers to a daemon after this many failed
# readiness checks, one per second. Until then callers may still connect.
FAILED_CHECKS_BEFORE_REMOVAL = 2
# Time that the platform needs after the last of these checks to tell the
# callers that the daemon is not ready, in seconds.
REMOVAL_PROPAGATION_S = 0.2
# Longest total wait for the failed checks and their propagation, in seconds.
# Callers can know of the shutdown after this time.
MAX_REMOVAL_WAIT_S = 2.7
# The same limit as a fraction of the grace period, for short grace periods.
MAX_REMOVAL_WAIT_GRACE_FRACTION = 0.5
# After this fraction of the grace period, the daemon stops listening even if
# callers still send requests, which they do if most hosts of the failure domain
# are draining too.
ACCEPTING_GRACE_FRACTION = 0.7
# A draining daemon stops listening for callers after this time without a
# request, in seconds.
NO_REQUEST_INTERVAL_S = 0.3
# Idle connections of callers are closed this time after the listener, in
# seconds, because the requests of the last ones may still be under way.
LAST_REQUEST_WAIT_S = 0.1
# Time at the end of the grace period that is kept for ending the process, in
# seconds.
EXIT_MARGIN_S = 0.7
# Longest such time as a fraction of the grace period, for short grace periods.
MAX_EXIT_MARGIN_GRACE_FRACTION = 0.125
# Part of that time in which interrupted requests get their responses, in
# seconds.
LAST_RESPONSES_S = 0.2


@attrs.define(eq=False, kw_only=True)
class Drain:
    """Reports the readiness of a daemon and controls its shutdown.

    Attributes:
        admission: Admission to the local server. It refuses requests of other
            daemons once the platform sends no more callers.
        in_flight: Counts the requests of callers and of other daemons.
        shutdown: Schedule of the shutdown, which decides what is accepted.
        clock: Returns the monotonic time in seconds.
        is_configured: Returns whether a configuration, a label or a selector
            was ever applied.
        on_leaving: Called when requests of other daemons begin to be refused.
        on_interrupt: Called when requests that still run have to end, so that
            they get their final responses.
    """

    admission: admission_module.AdmissionController
    in_flight: in_flight_module.InFlightCounter
    shutdown: shutdown_module.Shutdown
    clock: Callable[[], float]
    is_configured: Callable[[], bool]
    on_leaving: Callable[[], None]
    on_interrupt: Callable[[], None]
    _stopping: bool = False
    _failed_checks: int = 0
    _removed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def ready(self) -> bool:
        """Returns whether callers may send requests."""
        return not self._stopping and self.is_configured()

    async def handle_readiness_check(
        self, request: http_codec.Request
    ) -> http_codec.Response:
        """Handles a readiness check of the platform."""
        if request.path != platform_codec.READINESS_PATH:
            return http_codec.Response(status=404)
        if self.ready:
            return http_codec.Response(status=200)
        if self._stopping:
            self._failed_checks += 1
            if self._failed_checks >= FAILED_CHECKS_BEFORE_REMOVAL:
                self._removed.set()
        return http_codec.Response(status=503)

    async def run(
        self,
        callers: http_server.HttpServerFactory,
        peers: http_server.HttpServerFactory,
        listener_stack: contextlib.AsyncExitStack,
        timeout_s: float,
    ) -> None:
        """Drains the daemon, so that the process can end.

        A request is interrupted only if it is still running shortly before the
        end of the grace period. That happens only to requests that arrived
        before callers could know of the shutdown.

        Args:
            callers: Factory of the connections of callers.
            peers: Factory of the connections of other daemons.
            listener_stack: Exit stack that closes the listener for callers.
            timeout_s: Grace period: time until the process has to end, in
                seconds.
        """
        now = self.clock()
        self.shutdown.requested_at = now
        self.shutdown.open_until = now + min(
            MAX_REMOVAL_WAIT_S, timeout_s * MAX_REMOVAL_WAIT_GRACE_FRACTION
        )
        self.shutdown.interrupts_at = (
            now
            + timeout_s
            - min(EXIT_MARGIN_S, timeout_s * MAX_EXIT_MARGIN_GRACE_FRACTION)
        )
        await self._wait_for_removal(callers)
        await self._wait_for_last_request(
            now + timeout_s * ACCEPTING_GRACE_FRACTION
        )
        await listener_stack.aclose()
        self._log('caller_listener_closed')
        await asyncio.sleep(LAST_REQUEST_WAIT_S)
        await self._finish_requests(callers, peers)
        self._log('daemon_drained')

    async def _wait_for_removal(self, callers: http_server.HttpServerFactory):
        """Waits until the platform sends no more callers to this daemon.

        Requests of callers, and those of other daemons that end in time, are
        still admitted during the wait: the local server keeps running, and the
        mesh loses its capacity for as long as its daemon refuses requests or is
        stopped.

        Args:
            callers: Factory of the connections of callers.
        """
        self._stopping = True
        callers.drain()
        self._log('daemon_draining')
        try:
            async with asyncio.timeout(self.shutdown.open_until - self.clock()):
                await self._removed.wait()
                await asyncio.sleep(REMOVAL_PROPAGATION_S)
        except TimeoutError:
            logger.info(
                'event=readiness_checks_missing seen={}', self._failed_checks
            )

    async def _wait_for_last_request(self, stop_listening_at: float) -> None:
        """Refuses peers' requests and waits until callers send no more.

        The listener stays open for requests that are refused, too, because a
        refusal tells a caller when to send the request again.

        Args:
            stop_listening_at: Monotonic time in seconds at which the wait ends
                even if callers still send requests.
        """
        self.admission.leaving = True
        self._log('peers_refused')
        self.on_leaving()
        previous_total = -1
        while (
            previous_total != self.in_flight.total
            and self.clock() < stop_listening_at
        ):
            await self.in_flight.wait_until_idle(stop_listening_at)
            previous_total = self.in_flight.total
            await asyncio.sleep(
                min(
                    NO_REQUEST_INTERVAL_S,
                    max(0, stop_listening_at - self.clock()),
                )
            )

    async def _finish_requests(
        self,
        callers: http_server.HttpServerFactory,
        peers: http_server.HttpServerFactory,
    ) -> None:
        """Waits for the last requests and until their responses are written.

        Requests that take too long are interrupted, but get a response, too.

        Args:
            callers: Factory of the connections of callers.
            peers: Factory of the connections of other daemons.
        """
        interrupts_at = self.shutdown.interrupts_at
        ends_at = interrupts_at + LAST_RESPONSES_S
        await callers.close(interrupts_at)
        if not await self.in_flight.wait_until_idle(interrupts_at):
            self._log('requests_interrupted')
            self.on_interrupt()
            await self.in_flight.wait_until_idle(ends_at)
            await callers.close(ends_at)
        await peers.close(ends_at)

    def _log(self, event: str):
        logger.info(
            'event={} in_flight={} stopping_ms={}',
            event,
            self.in_flight.count,
            self.shutdown.elapsed_ms(self.clock()),
        )
