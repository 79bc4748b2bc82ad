"""Processor time, memory and control bytes of daemons at several sizes.

Starts the platform stand-in, one root and subscribers as processes, fills
the configuration with selectors and the member table with targets, and
measures each daemon idle, under changes of configuration and under churn of
targets. Prints one line of JSON a case.

Run as `python bench/daemon_cost.py [--sizes 70:820,230:2460,700:8200]`.
"""

import argparse
import json
import pathlib
import queue
import tempfile
import threading
import time
import urllib.request

import grpc
import psutil

from hemlockgrade import changelog
from hemlockgrade import configuration
from hemlockgrade import model
from hemlockgrade import serialization
from hemlockgrade.wire import control_pb2
from hemlockgrade.wire import control_pb2_grpc
from standins import cluster

DOMAIN = 'a'
SUBSCRIBERS = 3
WINDOW_S = 10.0
HEARTBEAT_S = 0.5
ROUTES_PER_SELECTOR = 2
MEMBERS_PER_BATCH = 200


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='70:820,230:2460,700:8200')
    options = parser.parse_args()
    for size in options.sizes.split(','):
        selectors, targets = map(int, size.split(':'))
        with (
            tempfile.TemporaryDirectory() as directory,
            cluster.Cluster(pathlib.Path(directory)) as system,
        ):
            measure(system, selectors, targets)


def measure(system, selectors, targets):
    system.start_platform()
    fill_platform(system, selectors)
    # One slot, so that exactly one daemon is the root.
    system.start_daemon('root', DOMAIN, root_slots=1, log_level='warning')
    wait_for_role(system, 'root')
    address = system.daemons_by_name['root'].addresses['control_address']
    feeder = Feeder(address)
    feeder.send([make_target(n, selectors) for n in range(targets)])
    wait_for_targets(system, ['root'], targets)
    # Deltas are sent at 2 KB per second, so leaves start with a whole table.
    for number in range(SUBSCRIBERS):
        system.start_daemon(
            f'leaf-{number}',
            DOMAIN,
            root_slots=1,
            seed_addresses=[address],
            log_level='warning',
        )
    system.wait_for_daemons()
    wait_for_targets(system, daemons(), targets)
    time.sleep(3)
    size = {'selectors': selectors, 'targets': targets}
    report(system, 'idle', size, 0, lambda n: None)
    for rate in (1, 10):
        report(system, 'changes', size, rate, lambda n: put_label(system, n))
    for rate in (1, 10):
        report(
            system,
            'target churn',
            size,
            rate,
            lambda n: feeder.send([make_target(n, selectors, time.time())]),
        )
    feeder.close()


def daemons():
    return ['root', *(f'leaf-{n}' for n in range(SUBSCRIBERS))]


def report(system, case, size, rate, act):
    """Acts at a rate for a window and prints what each role spent."""
    before = sample(system)
    started = time.monotonic()
    for number in range(int(rate * WINDOW_S)):
        act(number)
        time.sleep(max(0, started + (number + 1) / rate - time.monotonic()))
    time.sleep(max(0, started + WINDOW_S - time.monotonic()))
    elapsed = time.monotonic() - started
    after = sample(system)
    for role, name in (('root', 'root'), ('leaf', 'leaf-0')):
        then, now = before[name], after[name]
        print(
            json.dumps(
                {
                    'case': case,
                    **size,
                    'role': role,
                    'children': SUBSCRIBERS + 1 if role == 'root' else 0,
                    'rate_per_s': rate,
                    'core_percent': round(
                        100 * (now['cpu_s'] - then['cpu_s']) / elapsed, 2
                    ),
                    'rss_mb': round(now['rss_mb'], 1),
                    'sent_bytes_per_s': round(
                        (now['sent'] - then['sent']) / elapsed
                    ),
                    'received_bytes_per_s': round(
                        (now['received'] - then['received']) / elapsed
                    ),
                    'platform_calls_per_s': round(
                        (now['calls'] - then['calls']) / elapsed, 2
                    ),
                }
            ),
            flush=True,
        )


def sample(system):
    address = system.platform.addresses['http']
    statistics = cluster.get_json(f'http://{address}/control/statistics')
    found = {}
    for name in daemons():
        process = psutil.Process(system.daemons_by_name[name].popen.pid)
        times = process.cpu_times()
        status = system.administration(name, '/v1/status')
        found[name] = {
            'cpu_s': times.user + times.system,
            'rss_mb': process.memory_info().rss / 1e6,
            'sent': status['control_bytes_sent'],
            'received': status['control_bytes_received'],
            'calls': statistics['calls_by_client'].get(name, 0),
        }
    return found


def fill_platform(system, selectors):
    """Writes a snapshot, as the rollout lease holder would."""
    labels = {
        'edge': model.Label(
            name='edge', kind=model.LabelKind.PROXY, members=('*',)
        )
    }
    all_selectors = {}
    for number in range(selectors):
        name = f'service-{number}'
        labels[name] = model.Label(
            name=name,
            kind=model.LabelKind.TARGET,
            members=(f'{name}-*',),
        )
        all_selectors[name] = model.Selector(
            name=name,
            proxies='edge',
            targets=name,
            service=name,
            routes=tuple(
                model.Route(path_prefix=f'/{name}/{route}')
                for route in range(ROUTES_PER_SELECTOR)
            ),
            shares_by_version={'v1': 100},
        )
    whole = configuration.Configuration(
        version=1000, labels_by_name=labels, selectors_by_name=all_selectors
    )
    parts = changelog._split(whole)
    for index, part in enumerate(parts):
        put(system, changelog._part_key(whole.version, index), part)
    put(
        system,
        changelog.LATEST_SNAPSHOT,
        serialization.to_json(
            changelog.SnapshotIndex(version=1000, parts=len(parts))
        ),
    )


def put(system, key, value):
    address = system.platform.addresses['http']
    call = urllib.request.Request(
        f'http://{address}/v1/objects/{key}',
        data=value,
        method='PUT',
        headers={'if-none-match': '*'},
    )
    urllib.request.urlopen(call, timeout=10).close()


def put_label(system, number):
    address = system.daemons_by_name['root'].addresses['administration_address']
    body = {'name': 'extra', 'kind': 'proxy', 'members': [f'none-{number}']}
    call = urllib.request.Request(
        f'http://{address}/v1/labels/extra',
        data=json.dumps(body).encode(),
        method='PUT',
        headers={'authorization': f'Bearer {cluster.TOKEN}'},
    )
    urllib.request.urlopen(call, timeout=10).close()


def make_target(number, selectors, incarnation=1.0):
    service = f'service-{number % selectors}'
    return control_pb2.Member(
        target_id=f'{service}-{number}',
        service=service,
        version='v1',
        failure_domain=DOMAIN,
        admission_address=f'127.0.0.1:{1024 + number % 60000}',
        slots=18,
        incarnation=int(incarnation * 1000),
        daemon_id=f'host-{number}',
        boot_id=f'{number:016x}',
    )


def wait_for_targets(system, names, targets):
    cluster.wait_until(
        lambda: all(count_targets(system, n) == targets for n in names),
        'all targets known',
        120,
    )


def count_targets(system, daemon):
    return len(system.administration(daemon, '/v1/targets')['targets'])


def wait_for_role(system, name):
    def is_root():
        try:
            return system.administration(name, '/v1/status')['role'] == 'root'
        except OSError:
            return False

    cluster.wait_until(is_root, f'{name} is the root')


class Feeder:
    """A subscriber of the root that announces many targets."""

    def __init__(self, address):
        self._queue = queue.Queue()
        self._channel = grpc.insecure_channel(f'ipv4:{address}')
        stub = control_pb2_grpc.ControlStub(self._channel)
        self._replies = stub.Subscribe(self._messages())
        threading.Thread(target=self._drain, daemon=True).start()

    def send(self, targets):
        for start in range(0, len(targets), MEMBERS_PER_BATCH):
            batch = control_pb2.MemberBatch(
                members=targets[start : start + MEMBERS_PER_BATCH]
            )
            self._queue.put(control_pb2.Upward(members=batch))

    def close(self):
        self._queue.put(None)
        self._channel.close()

    def _messages(self):
        yield control_pb2.Upward(
            hello=control_pb2.Hello(
                daemon_id='feeder', failure_domain=DOMAIN, control_address=''
            )
        )
        while True:
            try:
                message = self._queue.get(timeout=HEARTBEAT_S)
            except queue.Empty:
                message = control_pb2.Upward(heartbeat=control_pb2.Heartbeat())
            if message is None:
                return
            yield message

    def _drain(self):
        try:
            for _ in self._replies:
                pass
        except grpc.RpcError:
            return


if __name__ == '__main__':
    main()
