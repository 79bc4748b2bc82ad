"""Processor time and memory of what one daemon knows, by members.

Usage: `python bench/directory_scale.py [--sizes 820 2460 8200]`. For each size
it fills a directory with a balancer, then applies single changes. Prints one
JSON line a size: time to learn all members, time a change, time a choice,
memory, and the bytes of a whole state as a peer fetches it.
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
from hemlockgrade import state_sync
from hemlockgrade.plugins import zone_balancer

# 8,200 servers are in 700 services.
SERVERS_A_SERVICE = 8200 / 700
CHANGES = 50
CHOICES = 500


def make_member(number: int, services: int) -> model.Member:
    server = model.Server(
        server_id=f'server-{number}',
        service=f'service-{number % services}',
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


def measure(size: int) -> dict:
    before = psutil.Process().memory_info().rss
    services = max(1, round(size / SERVERS_A_SERVICE))
    directory = directory_module.Directory('host-0')
    members = [make_member(number, services) for number in range(size)]
    for member in members:
        directory.apply_member(member, 'bench')
    began = time.perf_counter()
    balancer = zone_balancer.ZoneBalancer(
        directory=directory, zone='zone-0', clock=time.monotonic
    )
    directory.apply_member(attrs.evolve(members[0], revision=size + 1), 'bench')
    first_s = time.perf_counter() - began
    changes_s = []
    for number in range(CHANGES):
        changed = attrs.evolve(members[number], revision=size + 2 + number)
        began = time.perf_counter()
        directory.apply_member(changed, 'bench')
        changes_s.append(time.perf_counter() - began)
    began = time.perf_counter()
    for number in range(CHOICES):
        balancer.choose(f'service-{number % services}', ())
    choice_s = (time.perf_counter() - began) / CHOICES
    sync = state_sync.StateSync(
        directory=directory, pool=None, address='', zone='zone-0'
    )
    return {
        'members': size,
        'first_table_ms': round(first_s * 1000, 2),
        'change_ms': round(statistics.median(changes_s) * 1000, 2),
        'choice_us': round(choice_s * 1e6, 1),
        'memory_mb': round((psutil.Process().memory_info().rss - before) / 1e6),
        'state_kb': round(len(sync.encode_state()) / 1000),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--sizes', type=int, nargs='*', default=[820, 2460, 8200]
    )
    options = parser.parse_args()
    logger.remove()
    for size in options.sizes:
        print(json.dumps(measure(size)), flush=True)


if __name__ == '__main__':
    main()
