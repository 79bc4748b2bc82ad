"""Schedule of a soak, drawn from a seed."""

import random
from typing import Any

import attrs

from standins import cluster

# Kinds of planned work, and of unplanned faults, with their relative frequency.
PLANNED_KINDS = {'term': 5, 'reload': 2, 'configure': 2, 'drain_server': 1}
UNPLANNED_KINDS = {'kill': 2, 'pause': 2, 'store': 2, 'link': 3}
STORE_FAULTS = ({'down': True}, {'silent': True}, {'lose_answers': 2})
# How reads that may lag behave during a whole run. The platform allows this at
# any time, so it is no fault.
LAGS = (
    {},
    {},
    {'lag_s': 1.0},
    {'lag_s': 3.0},
    {'lag_s': 3.0, 'lag_counter': True},
    {'lag_s': 3.0, 'lag_counter': True, 'lag_lists_only': True},
)
# Times in which the store is away before it comes back from a copy, and ages of
# the copy, in seconds.
AWAY_S = (0.0, 3.0)
COPY_AGE_S = (1.0, 10.0)
# Rate of the link between one of the hosts and the store during a whole run, in
# Mbit/s, and the number of further routes of the configuration, which then
# takes a second. The platform has such hosts, so it is no fault.
SMALL_LINKS = ((None, 0), (2.0, 800))
LINK_FAULTS = ('delay', 'reset', 'silence', 'silence_responses')


@attrs.frozen
class Event:
    """One signal, change or fault.

    Attributes:
        at_s: Start, in seconds after the start of the schedule.
        kind: One of `PLANNED_KINDS` or `UNPLANNED_KINDS`, or `restore` for a
            return of the store from a copy.
        host: Host that is concerned; empty if all are.
        duration_s: Duration in seconds; 0 for an event without a duration.
        detail: The fault of the store or of the link, or how the store comes
            back.
    """

    at_s: float
    kind: str
    host: str = ''
    duration_s: float = 0.0
    detail: object = None


@attrs.frozen
class Schedule:
    """Hosts and events of a run.

    Attributes:
        seed: Seed of this schedule and of the callers.
        planned_only: Whether the run has planned work only.
        domain_by_host: Failure domain of each host.
        linked_hosts: Hosts that are reached through relays.
        lag: How reads of the store that may lag behave.
        small_link_host: Host with a small link to the store; empty if none has.
        small_link_mbps: Rate of that link, in Mbit/s.
        further_routes: Number of routes that no caller uses.
        events: Events in the order of their start.
    """

    seed: int
    planned_only: bool
    domain_by_host: dict[str, str]
    linked_hosts: frozenset[str]
    lag: dict[str, Any]
    small_link_host: str
    small_link_mbps: float | None
    further_routes: int
    events: tuple[Event, ...]


def draw_schedule(seed: int, seconds: float, restores: int = 0) -> Schedule:
    """Draws a schedule; that of an odd seed has planned work only.

    Args:
        seed: Seed; the same arguments give the same schedule.
        seconds: Time during which events start, in seconds.
        restores: Number of returns of the store from a copy, beside the other
            events; none with planned work only.
    """
    rng = random.Random(seed)
    planned_only = seed % 2 == 1
    domain_count = rng.choice((2, 3))
    domain_by_host = {
        f'h{number}': cluster.FAILURE_DOMAINS[number % domain_count]
        for number in range(rng.randint(4, 8))
    }
    # A relay accepts connections while its daemon is down, so that runs with
    # planned work only have none.
    linked_hosts = [] if planned_only else sorted(domain_by_host)[::2]
    weight_by_kind = dict(PLANNED_KINDS)
    if not planned_only:
        weight_by_kind.update(UNPLANNED_KINDS)
    events: list[Event] = []
    at_s = rng.uniform(0.5, 1.5)
    while at_s < seconds:
        kind = rng.choices(list(weight_by_kind), list(weight_by_kind.values()))[
            0
        ]
        events += _draw_events(rng, kind, at_s, domain_by_host, linked_hosts)
        at_s += rng.uniform(0.2, 3.0)
    if not planned_only:
        restore_rng = random.Random(f'restore {seed}')
        events += [_draw_restore(restore_rng, seconds) for _ in range(restores)]
    # Drawn by themselves, so that the events of earlier seeds stay the same.
    link_rng = random.Random(f'small link {seed}')
    small_link_mbps, further_routes = link_rng.choice(SMALL_LINKS)
    small_link_host = link_rng.choice(sorted(domain_by_host))
    return Schedule(
        seed=seed,
        planned_only=planned_only,
        domain_by_host=domain_by_host,
        linked_hosts=frozenset(linked_hosts),
        lag=random.Random(f'lag {seed}').choice(LAGS),
        small_link_host=small_link_host if small_link_mbps else '',
        small_link_mbps=small_link_mbps,
        further_routes=further_routes,
        events=tuple(sorted(events, key=lambda event: event.at_s)),
    )


def _draw_restore(rng: random.Random, seconds: float) -> Event:
    detail = {
        'restore_s': rng.uniform(*COPY_AGE_S),
        'keep_connections': rng.random() < 0.5,
    }
    return Event(
        rng.uniform(0.0, seconds), 'restore', '', rng.uniform(*AWAY_S), detail
    )


def _draw_events(rng, kind, at_s, domain_by_host, linked_hosts) -> list[Event]:
    """Draws the events of one kind that begin at a time."""
    hosts = sorted(domain_by_host)
    if kind == 'term':
        domain = rng.choice(sorted(set(domain_by_host.values())))
        members = [h for h in hosts if domain_by_host[h] == domain]
        stopped = rng.sample(members, rng.randint(1, len(members)))
        # At once or in turn.
        gap_s = rng.choice((0.0, 0.0, rng.uniform(0.3, 2.5)))
        return [
            Event(at_s + number * gap_s, kind, host)
            for number, host in enumerate(stopped)
        ]
    if kind == 'configure':
        return [Event(at_s, kind)]
    if kind == 'store':
        fault = rng.choice(STORE_FAULTS)
        return [Event(at_s, kind, '', rng.uniform(1.0, 5.0), fault)]
    if kind == 'link':
        host, fault = rng.choice(linked_hosts), rng.choice(LINK_FAULTS)
        return [Event(at_s, kind, host, rng.uniform(0.5, 4.0), fault)]
    duration_s = {'pause': rng.uniform(0.5, 3.0), 'drain_server': 5.5}.get(
        kind, 0.0
    )
    return [Event(at_s, kind, rng.choice(hosts), duration_s)]
