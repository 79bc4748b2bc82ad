"""Platform calls and control bytes at full size, by counting decisions.

No process is started: the constants of the package are multiplied out for a
number of daemons, beside two baselines that every daemon would follow on its
own. Prints one line of JSON a case.
"""

import json
import math

from hemlockgrade import control_plane
from hemlockgrade import distribution
from hemlockgrade import lease
from hemlockgrade import model
from hemlockgrade import root_duties
from hemlockgrade import root_election
from hemlockgrade import wire_messages
from hemlockgrade.plugins import http_platform

SIZES = (100, 1_000, 8_200)
FAILURE_DOMAINS = 11
CHANGES_PER_DAY = 8_300
BURST_PER_S = 10
SECONDS_PER_DAY = 86_400
RESTARTS_PER_DAY = 1_200
# Renewal of each daemon's own lease, as in the arithmetic of the design.
BASELINE_RENEWAL_S = 10.0
BASELINE_WATCH_S = 30.0
HEARTBEAT_BYTES = 12


def main():
    for daemons in SIZES:
        for policy, calls in (
            ('shipped', shipped),
            ('watch by every daemon', watch_by_all),
            ('renewal by every daemon', renewal_by_all),
        ):
            for name, changes in (
                ('mean', CHANGES_PER_DAY / SECONDS_PER_DAY),
                ('burst', BURST_PER_S),
            ):
                reads, writes = calls(daemons, changes)
                print(
                    json.dumps(
                        {
                            'policy': policy,
                            'daemons': daemons,
                            'changes': name,
                            'reads_per_s': round(reads, 1),
                            'writes_per_s': round(writes, 1),
                        }
                    )
                )
        for role, children in (
            ('leaf', 0),
            ('relay', distribution.MAX_CHILDREN),
        ):
            print(json.dumps(control_bytes(daemons, role, children)))


def shipped(daemons, changes_per_s):
    """Roots watch and renew; an append is a create and a read."""
    roots = min(daemons, FAILURE_DOMAINS * root_election.SLOTS)
    watches = roots * (1 / http_platform.WATCH_WAIT_S + changes_per_s)
    elections = roots / root_election.ROOT_READ_INTERVAL_S
    others = (daemons - roots) / root_election.SETTLED_READ_INTERVAL_S
    waiting = (roots - 1) / root_duties.LEASE_TERM_S
    renewals = (
        roots * lease.RENEWALS_PER_TERM / control_plane.ROOT_LEASE_TERM_S
        + lease.RENEWALS_PER_TERM / root_duties.LEASE_TERM_S
    )
    reads = watches + elections + others + waiting + changes_per_s
    return reads, renewals + changes_per_s


def watch_by_all(daemons, changes_per_s):
    """Every daemon keeps a watch, which each change answers."""
    return daemons * (1 / BASELINE_WATCH_S + changes_per_s), changes_per_s


def renewal_by_all(daemons, changes_per_s):
    """Every daemon keeps an object of its own; roots watch as shipped."""
    reads, writes = shipped(daemons, changes_per_s)
    return reads, writes + daemons / BASELINE_RENEWAL_S


def control_bytes(daemons, role, children):
    """Counts the mean bytes a second that a daemon sends and receives."""
    change = 400
    member = wire_messages.member_size(
        model.Target(
            target_id='booking-v1-county-east-1',
            service='booking',
            version='v1',
            failure_domain='county-east',
            admission_address='10.0.0.17:7002',
            slots=18,
            incarnation=1_796_381_834_186,
            daemon_id='county-east-1',
            boot_id='e6f6aad7a76342a5',
            control_address='10.0.0.17:7003',
            administration_address='10.0.0.17:7004',
        )
    )
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY * change
    # A restart is drained, gone and alive again; half of them are replaced
    # hosts, so that the sum holds for both.
    moves = 3 * RESTARTS_PER_DAY * daemons / SIZES[-1] / SECONDS_PER_DAY
    members = moves * member
    refresh = daemons * member / (4.5 * 3600)
    beats = 2 * HEARTBEAT_BYTES
    received = changes + members + refresh + beats
    return {
        'role': role,
        'daemons': daemons,
        'depth': math.ceil(
            math.log(max(daemons / FAILURE_DOMAINS / 3, 1), 8) + 1
        ),
        'member_bytes': member,
        'received_bytes_per_s': round(received + children * beats, 1),
        'sent_bytes_per_s': round(children * received + beats, 1),
        'burst_sent_bytes_per_s': round(
            children * (received - changes + BURST_PER_S * change) + beats, 1
        ),
    }


if __name__ == '__main__':
    main()
