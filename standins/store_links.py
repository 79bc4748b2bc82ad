"""Relays between the daemons of each failure domain and the store."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import threading

from standins import cluster
from standins import fault_link

# Longest time for the reset connections to end, in seconds.
STOP_TIMEOUT_S = 2.0


class StoreLinks:
    """One relay per failure domain, which a thread runs.

    Args:
        target_by_domain: Address of the store by failure domain.

    Attributes:
        address_by_domain: Address of the relay by failure domain.
    """

    def __init__(self, target_by_domain: dict[str, str]):
        self.address_by_domain = {
            domain: cluster.free_address() for domain in target_by_domain
        }
        self._link_by_domain = {
            domain: fault_link.FaultLink(target, lambda: None)
            for domain, target in target_by_domain.items()
        }
        self._servers: list[asyncio.Server] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def start(self) -> None:
        """Starts the relays."""
        self._thread.start()
        self._run(self._start_links())

    def silence_open(self, domain: str) -> None:
        """Loses all further bytes of the connections that are open now."""
        self._run(self._silence_open(self._link_by_domain[domain]))

    def silence(self, domain: str) -> None:
        """Loses all further bytes of the open and of new connections."""
        link = self._link_by_domain[domain]
        self._run(_call(link.silence, 'request', 'response'))

    def end_silence(self, domain: str) -> None:
        """Relays new connections again; the open ones stay silent."""
        self._run(_call(self._link_by_domain[domain].heal))

    def heal(self, domain: str) -> None:
        """Ends the faults of a failure domain and resets its connections."""
        link = self._link_by_domain[domain]
        self._run(_call(link.heal))
        self._run(_call(link.reset))

    def delay(self, delay_s: float) -> None:
        """Delays the bytes of each direction, in all failure domains."""
        for link in self._link_by_domain.values():
            link.delay_s = delay_s

    def limit_rate(self, domain: str, mbit_per_s: float) -> None:
        """Limits the rate of the responses to a failure domain."""
        self._link_by_domain[domain].bytes_per_s = mbit_per_s * 1e6 / 8

    def reset(self, domain: str) -> None:
        """Resets all open connections."""
        self._run(self._reset(self._link_by_domain[domain]))

    def stop(self) -> None:
        """Ends the relays and the thread."""
        self._run(self._stop_links())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine: Coroutine) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _start_links(self):
        for domain, address in self.address_by_domain.items():
            server = await self._link_by_domain[domain].start(address)
            self._servers.append(server)

    async def _silence_open(self, link: fault_link.FaultLink):
        link.silence('request', 'response')
        link.heal()

    async def _reset(self, link: fault_link.FaultLink):
        link.reset()

    async def _stop_links(self):
        for server in self._servers:
            server.close()
        for link in self._link_by_domain.values():
            link.reset()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        if tasks:
            await asyncio.wait(tasks, timeout=STOP_TIMEOUT_S)


async def _call(function: Callable[..., None], *arguments: str) -> None:
    function(*arguments)
