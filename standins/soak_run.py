"""One run of the soak: processes, signals, changes and faults."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import pathlib
import random
import signal
from typing import Any

import attrs

from standins import cluster
from standins import fault_link
from standins import mesh_cluster
from standins import soak_callers
from standins import soak_checks
from standins import soak_schedule

# The platform starts an ended process again after this time.
RESTART_DELAY_S = 1.0
# A killed process counts as a fault until this time after its restart.
START_S = 2.0
# Time after the return of the store from a copy until the operator writes the
# configuration again.
REWRITE_DELAY_S = 1.0
SLOTS = 8
READINESS_INTERVAL_S = 1.0
FAILED_CHECKS_BEFORE_REMOVAL = 2
# Longest time from the end of the faults until every request is served.
RECOVERY_S = 15.0
# Requests of this time have to succeed for the end of the recovery.
SERVED_WINDOW_S = 2.0
# A process that waits for a processor for longer than `MAX_WAIT_S` of
# `SAMPLE_INTERVAL_S` cannot answer in time.
MAX_WAIT_S = 0.05
SAMPLE_INTERVAL_S = 0.1


class SoakCluster(mesh_cluster.MeshCluster):
    """A mesh some of whose daemons and servers are reached through relays.

    Args:
        directory: Directory for settings and logs.
        linked_hosts: Names of the hosts with relays.
    """

    def __init__(self, directory: pathlib.Path, linked_hosts: frozenset[str]):
        super().__init__(directory)
        self.link_by_address: dict[str, str] = {}
        self.store_address_by_host: dict[str, str] = {}
        self._linked_hosts = linked_hosts

    def write_settings(self, name, zone, addresses, **changes):
        """Writes the settings of a daemon; its server may have a relay."""
        if name in self._linked_hosts:
            for key in ('peer', 'server'):
                self.link_by_address.setdefault(
                    addresses[key], cluster.free_address()
                )
        if name in self.store_address_by_host:
            changes['store_address'] = self.store_address_by_host[name]
        changes['server_address'] = self.announced_address(addresses['server'])
        super().write_settings(name, zone, addresses, **changes)

    def start_server(self, name, zone, version='v1', **changes):
        """Starts the server of a host with the options of the soak."""
        address = self.daemon_by_name[name].addresses['server']
        options = {
            'announced_address': self.announced_address(address),
            'slots': SLOTS,
            'body_bytes': soak_checks.BODY_BYTES,
            'log_runs': True,
        }
        super().start_server(name, zone, version, **options, **changes)

    def announced_address(self, address: str) -> str:
        """Returns the address of the relay, if there is one."""
        return self.link_by_address.get(address, address)


@attrs.define(eq=False)
class Host:
    """A host of the soak.

    Attributes:
        name: Name of the host.
        domain: Failure domain of the host.
        links: Relays in front of the daemon and of the server.
        misses: Number of failed readiness checks in a row.
        term: SIGTERM that the running daemon got; None before it.
        signalled_early: Whether the running daemon got a signal before it
            answered a readiness check. It may not handle signals yet.
        drains: Whether the server drains.
    """

    name: str
    domain: str
    links: list[fault_link.FaultLink] = attrs.field(factory=list)
    misses: int = 0
    term: soak_checks.Span | None = None
    signalled_early: bool = False
    drains: bool = False


class Soak:
    """One run of a schedule.

    Args:
        schedule: Hosts and events.
        directory: Directory for settings and logs.
    """

    def __init__(
        self, schedule: soak_schedule.Schedule, directory: pathlib.Path
    ):
        self.schedule = schedule
        self.mesh = SoakCluster(directory, schedule.linked_hosts)
        self.history = soak_checks.History()
        self.operations: list[soak_callers.Operation] = []
        self.violations: list[soak_checks.Violation] = []
        self.host_by_name = {
            name: Host(name, domain)
            for name, domain in schedule.domain_by_host.items()
        }
        self._links = contextlib.AsyncExitStack()
        self._settling = False
        self._version = 1
        self._has_extra_route = False

    async def run(self) -> None:
        """Starts the processes, plays the schedule and waits for recovery."""
        loop = asyncio.get_running_loop()
        async with self._links:
            await self._start()
            background = [
                asyncio.create_task(task)
                for task in (self._record_waits(), *self._host_tasks())
            ]
            started_at = loop.time()
            async with asyncio.TaskGroup() as group:
                for event in self.schedule.events:
                    await asyncio.sleep(started_at + event.at_s - loop.time())
                    self._log(event)
                    play = getattr(self, f'_play_{event.kind}')
                    group.create_task(play(event))
            await self._check_recovery()
            for task in background:
                task.cancel()
            for result in await asyncio.gather(
                *background, return_exceptions=True
            ):
                if not isinstance(result, asyncio.CancelledError):
                    raise result

    def check_requests(self) -> None:
        """Adds what the requests broke to `violations`."""
        self.history.read_runs(self.mesh.directory)
        self.history.read_refusals(self.mesh.directory)
        self.violations += soak_checks.find_violations(self.history)

    async def _start(self):
        """Starts all processes and waits until every host serves."""
        mesh = self.mesh
        await asyncio.to_thread(mesh.start_store)
        await self._add_small_link()
        for host in self.host_by_name.values():
            await asyncio.to_thread(
                mesh.start_mesh_daemon, host.name, host.domain
            )
        for name in sorted(self.schedule.linked_hosts):
            await self._add_links(self.host_by_name[name])
        await self._set_store_faults()
        await self._configure()
        for host in self.host_by_name.values():
            await asyncio.to_thread(mesh.start_server, host.name, host.domain)
        for name in self.host_by_name:
            await asyncio.to_thread(
                cluster.wait_until,
                lambda n=name: mesh.is_serving(n, '/read/x'),
                f'{name} serves',
            )

    async def _add_small_link(self):
        """Starts the relay between a host with a small link and the store."""
        name = self.schedule.small_link_host
        if not name:
            return
        link = fault_link.FaultLink(
            self.mesh.store_address(self.host_by_name[name].domain),
            lambda: None,
            bytes_per_s=self.schedule.small_link_mbps * 1e6 / 8,
        )
        address = cluster.free_address()
        server = await link.start(address)
        self._links.callback(server.close)
        self.mesh.store_address_by_host[name] = address

    async def _add_links(self, host: Host):
        """Starts the relays in front of a daemon and of its server."""
        addresses = self.mesh.daemon_by_name[host.name].addresses
        for key in ('peer', 'server'):
            link = fault_link.FaultLink(
                addresses[key], lambda: self._add_refused_connection(host)
            )
            server = await link.start(
                self.mesh.announced_address(addresses[key])
            )
            self._links.callback(server.close)
            host.links.append(link)

    def _host_tasks(self) -> Iterator[Coroutine[Any, Any, None]]:
        for host in self.host_by_name.values():
            yield self._keep_running(host)
            yield self._probe(host)
            for number in range(soak_callers.CALLERS_PER_HOST):
                addresses = self.mesh.daemon_by_name[host.name].addresses
                yield soak_callers.Caller(
                    host=host.name,
                    number=number,
                    address=addresses['caller'],
                    rng=random.Random(
                        f'{self.schedule.seed}/{host.name}/{number}'
                    ),
                    gets_work=lambda host=host: self._gets_work(host),
                    is_settling=lambda: self._settling,
                    keeps_sending=number == 0,
                    attempts=self.history.attempts,
                    operations=self.operations,
                ).run()

    def _gets_work(self, host: Host) -> bool:
        """Returns whether the platform sends callers to a host.

        It does so despite failed readiness checks if fewer than half of the
        hosts of the failure domain are ready.
        """
        members = [
            h for h in self.host_by_name.values() if h.domain == host.domain
        ]
        ready = [h for h in members if h.misses < FAILED_CHECKS_BEFORE_REMOVAL]
        return host in ready or len(ready) < len(members) / 2

    async def _probe(self, host: Host):
        address = self.mesh.daemon_by_name[host.name].addresses['ready']
        while True:
            status = await soak_callers.read_readiness(address)
            host.misses = 0 if status == 200 else host.misses + 1
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _keep_running(self, host: Host):
        """Restarts the daemon of a host whenever it has ended."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.02)
            code = self.mesh.daemon_by_name[host.name].popen.poll()
            if code is None:
                continue
            ended_at = loop.time()
            term, host.term = host.term, None
            if term is not None:
                term.end = ended_at
            faults = [
                span
                for span in self.history.faults
                if span.host == host.name
                and span.overlaps(term.start if term else ended_at, ended_at)
            ]
            killed = any(span.kind == 'kill' for span in faults)
            if code != 0 and not (killed or host.signalled_early):
                self._add_violation('exit', f'{host.name} ended with {code}')
            host.signalled_early = False
            await asyncio.sleep(RESTART_DELAY_S)
            await asyncio.to_thread(
                self.mesh.start_mesh_daemon, host.name, host.domain
            )
            for span in faults:
                if span.kind == 'kill':
                    span.end = loop.time() + START_S

    async def _play_term(self, event: soak_schedule.Event):
        host = self.host_by_name[event.host]
        process = self.mesh.daemon_by_name[event.host]
        if host.term is not None or process.popen.poll() is not None:
            return
        loop = asyncio.get_running_loop()
        term = soak_checks.Span('term', event.host, loop.time())
        host.term = term
        self.history.terms.append(term)
        await self._send_signal(host, process, signal.SIGTERM)
        term.start = loop.time()
        while process.popen.poll() is None:
            if loop.time() >= term.start + soak_checks.GRACE_S:
                self._kill_after_grace(host, process, term)
                return
            await asyncio.sleep(0.02)

    def _kill_after_grace(self, host, process, term):
        now = asyncio.get_running_loop().time()
        if self.history.could_run(host.name, term.start, now):
            self._add_violation('exit', f'{host.name} runs after the grace')
        self.history.faults.append(
            soak_checks.Span('kill', host.name, now, now + START_S)
        )
        process.signal(signal.SIGKILL)

    async def _play_kill(self, event: soak_schedule.Event):
        process = self.mesh.daemon_by_name[event.host]
        if process.popen.poll() is None:
            self._add_fault(event)
            process.signal(signal.SIGKILL)

    async def _play_pause(self, event: soak_schedule.Event):
        span = self._add_fault(event)
        process = self.mesh.daemon_by_name[event.host]
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(event.duration_s)
        process.signal(signal.SIGCONT)
        span.end = asyncio.get_running_loop().time()

    async def _play_reload(self, event: soak_schedule.Event):
        host = self.host_by_name[event.host]
        process = self.mesh.daemon_by_name[event.host]
        self.mesh.write_settings(
            event.host,
            host.domain,
            process.addresses,
            retry_ratio=round(0.2 + event.at_s % 0.1, 3),
        )
        await self._send_signal(host, process, signal.SIGHUP)

    async def _send_signal(self, host, process, number):
        status = await soak_callers.read_readiness(process.addresses['ready'])
        host.signalled_early = host.signalled_early or not status
        process.signal(number)

    async def _play_configure(self, event: soak_schedule.Event):
        self._has_extra_route = not self._has_extra_route
        await self._configure()

    def _routes(self):
        """Returns the routes of the latest configuration that callers use."""
        routes = list(soak_callers.ROUTES)
        if self._has_extra_route:
            routes.append(soak_callers.EXTRA_ROUTE)
        return routes

    async def _configure(self):
        """Writes a new version of the configuration."""
        self._version += 1
        routes = self._routes()
        now = asyncio.get_running_loop().time
        spans = self.history.extra_route_spans
        state = 'present' if self._has_extra_route else 'missing'
        spans.append(soak_checks.Span(state, '', now()))
        if not await self._write_configuration(routes):
            # The configuration may be in force or not.
            return
        for span in spans[:-1]:
            span.end = min(span.end, now() + soak_checks.APPLY_S)

    async def _write_configuration(self, routes) -> bool:
        """Writes the latest version; returns False if the store is down."""
        try:
            await asyncio.to_thread(
                self.mesh.configure,
                self._version,
                *(
                    mesh_cluster.build_route(
                        route.name,
                        f'/{route.name}/',
                        'idempotent' if route.idempotent else 'non_idempotent',
                        # The timeout changes, and is never below that of the
                        # callers.
                        timeout_ms=int(route.timeout_s * 1000)
                        + self._version % 2 * 100,
                    )
                    for route in routes
                ),
                *(
                    mesh_cluster.build_route(
                        f'further{number}', f'/further{number}/'
                    )
                    for number in range(self.schedule.further_routes)
                ),
            )
        except AssertionError:
            return False
        return True

    async def _play_restore(self, event: soak_schedule.Event):
        """Takes the store away and lets it come back from a copy.

        The operator writes the latest configuration again.
        """
        span = self._add_fault(event)
        await self._set_store_faults(down=True)
        await asyncio.sleep(event.duration_s)
        await self._set_store_faults(**event.detail)
        await asyncio.sleep(REWRITE_DELAY_S)
        while not await self._write_configuration(self._routes()):
            await asyncio.sleep(REWRITE_DELAY_S)
        span.end = asyncio.get_running_loop().time()

    async def _play_drain_server(self, event: soak_schedule.Event):
        """Drains a server, which then ends and starts again."""
        host = self.host_by_name[event.host]
        if host.drains:
            return
        host.drains = True
        await asyncio.to_thread(
            self.mesh.set_server, event.host, state='draining'
        )
        await asyncio.sleep(event.duration_s)
        self.mesh.server_by_name[event.host].kill()
        await asyncio.to_thread(self.mesh.start_server, event.host, host.domain)
        host.drains = False

    async def _play_store(self, event: soak_schedule.Event):
        span = self._add_fault(event)
        await self._set_store_faults(**event.detail)
        await asyncio.sleep(event.duration_s)
        await self._set_store_faults()
        span.end = asyncio.get_running_loop().time()

    async def _set_store_faults(self, **faults):
        await asyncio.to_thread(
            self.mesh.set_store_faults,
            replace=self.mesh.link_by_address,
            **self.schedule.lag,
            **faults,
        )

    async def _play_link(self, event: soak_schedule.Event):
        span = self._add_fault(event)
        for link in self.host_by_name[event.host].links:
            if event.detail == 'delay':
                link.delay_s = event.duration_s / 10
            elif event.detail == 'reset':
                link.reset()
            elif event.detail == 'silence':
                link.silence('request', 'response')
            else:
                link.silence('response')
        await asyncio.sleep(event.duration_s)
        for link in self.host_by_name[event.host].links:
            link.heal()
        # Silenced connections stay silent until a timeout of the daemon.
        span.end = asyncio.get_running_loop().time() + soak_checks.CALM_S

    async def _check_recovery(self):
        """Checks that every request is served soon after the last fault."""
        now = asyncio.get_running_loop().time
        self._settling = True
        while any(
            span.end > now()
            for span in (*self.history.terms, *self.history.faults)
        ):
            await asyncio.sleep(0.1)
        ends_at = now() + RECOVERY_S
        failing = set(self.host_by_name)
        while failing and now() < ends_at:
            await asyncio.sleep(0.5)
            recent = [
                operation
                for operation in self.operations
                if operation.started_at > now() - SERVED_WINDOW_S
            ]
            failing = {o.host for o in recent if not o.succeeded} | (
                set(self.host_by_name) - {o.host for o in recent}
            )
        if failing:
            self._add_violation('recovery', f'not served at {failing}')

    async def _record_waits(self):
        """Records when a daemon or this process waits for a processor."""
        now = asyncio.get_running_loop().time
        before_by_pid: dict[int, _ProcessorUse] = {}
        while True:
            began_at = now()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            late_s = now() - began_at - SAMPLE_INTERVAL_S
            if late_s > MAX_WAIT_S:
                self._add_wait('', late_s)
            for name, process in self.mesh.daemon_by_name.items():
                use = _read_processor_use(process.popen.pid)
                before = before_by_pid.get(process.popen.pid, use)
                waited_s = use.waited_s - before.waited_s
                waits_now = use.runnable and use.ran_s == before.ran_s
                if waited_s > MAX_WAIT_S or (waits_now and before is not use):
                    self._add_wait(name, waited_s)
                before_by_pid[process.popen.pid] = use

    def _add_wait(self, host: str, waited_s: float):
        """Records a wait; the system counts one when the process runs again."""
        end = asyncio.get_running_loop().time()
        start = end - max(waited_s, SAMPLE_INTERVAL_S)
        self.history.waits.append(soak_checks.Span('wait', host, start, end))

    def _add_fault(self, event: soak_schedule.Event) -> soak_checks.Span:
        span = soak_checks.Span(
            event.kind, event.host, asyncio.get_running_loop().time()
        )
        self.history.faults.append(span)
        return span

    def _add_refused_connection(self, host: Host):
        """Records that a relay accepted what its target refused."""
        now = asyncio.get_running_loop().time()
        self.history.faults.append(
            soak_checks.Span('refused', host.name, now, now)
        )

    def _add_violation(self, kind: str, text: str):
        at = asyncio.get_running_loop().time()
        self.violations.append(
            soak_checks.Violation(kind, f'at {at:.3f}: {text}')
        )

    def _log(self, event: soak_schedule.Event):
        with (self.mesh.directory / 'events.txt').open('a') as log:
            log.write(f'{asyncio.get_running_loop().time():.3f} {event}\n')


@attrs.frozen
class _ProcessorUse:
    """How long a process has run and waited for a processor, in seconds."""

    runnable: bool = False
    ran_s: float = 0.0
    waited_s: float = 0.0


def _read_processor_use(pid: int) -> _ProcessorUse:
    directory = pathlib.Path(f'/proc/{pid}')
    try:
        ran_ns, waited_ns, _ = (directory / 'schedstat').read_text().split()
        # The state follows the name of the program in parentheses.
        state = (directory / 'stat').read_text().rpartition(')')[2].split()[0]
    except (OSError, ValueError, IndexError):
        # The process has ended.
        return _ProcessorUse()
    return _ProcessorUse(state == 'R', int(ran_ns) / 1e9, int(waited_ns) / 1e9)
