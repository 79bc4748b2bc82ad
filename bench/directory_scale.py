"""Measures time and memory of one daemon's directory by number of members.

Usage: `python bench/directory_scale.py [--sizes 820 2460 8200]`.

For each number of members, fills a directory, builds a balancer on it, then
applies single changes. Prints one line of JSON per number: time to add all
members to the balancer, time per change, time per choice of a server, memory,
and size of the complete state as a peer fetches it.
"""

import argparse
import json
import statistics
import time

import attrs
from loguru import logger
import psutil

from hemlockgrade import directory as directory_module
from hemlockgrade import model
from hemlockgrade import peers
from hemlockgrade import state_sync
from hemlockgrade.plugins import zone_balancer

# 8,200 servers belong to 700 services.
SERVERS_PER_SERVICE = 8200 / 700
CHANGE_COUNT = 50
CHOICE_COUNT = 500


def create_member(number: int, service_count: int) -> model.Member:
    server = model.Server(
        server_id=f'server-{number}',
        service=f'service-{number % service_count}',
        address=f'10.0.{number // 250}.{number % 250}:8000',
        zone=f'zone-{number % 11}',
        version='v1',
        slots=18,
        state=model.ServerState.READY,
        sequence=1,
        born_ms=number,
    )
    return model.Member(
        name=f'host-{number}',
        address=f'10.0.{number // 250}.{number % 250}:7000',
        zone=server.zone,
        boot_id='0123456789ab',
        server=server,
        revision=number + 1,
    )


def measure(member_count: int) -> dict:
    """Measures a directory with a number of members."""
    rss_before = psutil.Process().memory_info().rss
    service_count = max(1, round(member_count / SERVERS_PER_SERVICE))
    directory = directory_module.Directory('host-0')
    members = [
        create_member(number, service_count) for number in range(member_count)
    ]
    for member in members:
        directory.apply_member(member, 'bench')
    started_at = time.perf_counter()
    balancer = zone_balancer.ZoneBalancer(
        directory=directory, zone='zone-0', clock=time.monotonic
    )
    directory.apply_member(
        attrs.evolve(members[0], revision=member_count + 1), 'bench'
    )
    fill_s = time.perf_counter() - started_at
    changes_s = []
    for number in range(CHANGE_COUNT):
        changed = attrs.evolve(
            members[number], revision=member_count + 2 + number
        )
        started_at = time.perf_counter()
        directory.apply_member(changed, 'bench')
        changes_s.append(time.perf_counter() - started_at)
    started_at = time.perf_counter()
    for number in range(CHOICE_COUNT):
        balancer.choose(
            peers.RequestNeeds(service=f'service-{number % service_count}'), ()
        )
    choice_s = (time.perf_counter() - started_at) / CHOICE_COUNT
    sync = state_sync.StateSync(
        directory=directory, pool=None, address='', zone='zone-0'
    )
    return {
        'members': member_count,
        'first_table_ms': round(fill_s * 1000, 2),
        'change_ms': round(statistics.median(changes_s) * 1000, 2),
        'choice_us': round(choice_s * 1e6, 1),
        'memory_mb': round(
            (psutil.Process().memory_info().rss - rss_before) / 1e6
        ),
        'state_kb': round(len(sync.encode_state()) / 1000),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--sizes', type=int, nargs='*', default=[820, 2460, 8200]
    )
    options = parser.parse_args()
    logger.remove()
    for member_count in options.sizes:
        print(json.dumps(measure(member_count)), flush=True)


if __name__ == '__main__':
    main()
