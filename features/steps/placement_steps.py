"""Steps for the choice of servers; whole loads are replayed without sockets."""

import heapq
import itertools
import math
import random

import attrs
from behave import given
from behave import then
from behave import when
from limits_steps import send

from hemlockgrade import exceptions
from hemlockgrade import limits
from hemlockgrade import model
from hemlockgrade import peers
from hemlockgrade import placement
from hemlockgrade import retries

SERVICE_S = 0.1


def best_known(candidates, *, random, **_):
    """Chooses the shortest expected time in the own failure domain."""
    if not candidates:
        return None
    local = [c for c in candidates if c.is_local] or candidates
    chosen = min(local, key=lambda c: c.expected_s * (1 + 0.1 * random()))
    return placement.Placement(name=chosen.name)


@attrs.define(eq=False)
class Server:
    """A server with the queue of the daemon beside it."""

    name: str
    zone: str
    slots: int
    speed: float
    queue: limits.SlotQueue = attrs.field(init=False)
    sent_by_request: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.queue = limits.SlotQueue(self.slots)

    def member(self):
        server = model.Server(
            server_id=self.name,
            service='s',
            address='',
            zone=self.zone,
            version='v1',
            slots=self.slots,
            state=model.ServerState.READY,
            sequence=1,
        )
        return model.Member(
            name=self.name,
            address='',
            zone=self.zone,
            boot_id='x',
            server=server,
            revision=1,
        )


class Replay:
    """Replays requests of many daemons to servers.

    Attributes:
        took: Times of the responses in seconds, with the zone of the caller;
            infinite for a request that was given up.
        left_zone: Number of requests whose response came from another zone.
        busy_refusals: Number of refusals because of a long wait.
    """

    def __init__(self, servers, zone_by_daemon, place, aim_s, seed=3):
        self.server_by_name = {s.name: s for s in servers}
        self.zone_by_daemon = zone_by_daemon
        self.place, self.aim_s = place, aim_s
        self.random = random.Random(seed)
        self.peer_by_name = {
            daemon: {s.name: peers.Peer(s.member()) for s in servers}
            for daemon in zone_by_daemon
        }
        self.took, self.left_zone, self.busy_refusals = [], 0, 0
        self._events, self._numbers = [], itertools.count()

    def play(self, requests_per_s_by_zone, seconds):
        for zone, rate in requests_per_s_by_zone.items():
            daemons = [d for d, z in self.zone_by_daemon.items() if z == zone]
            now = 0.0
            while (now := now + self.random.expovariate(rate)) < seconds:
                daemon = self.random.choice(daemons)
                self._schedule(now, self._send, daemon, now, 0, ())
        while self._events:
            now, _, function, arguments = heapq.heappop(self._events)
            function(now, *arguments)

    def _schedule(self, at, function, *arguments):
        event = (at, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def _send(self, now, daemon, started, busy_refusals, tried):
        known = self.peer_by_name[daemon]
        zone = self.zone_by_daemon[daemon]
        mean = peers.MeanServer.of(known.values())
        placed = self.place(
            [
                placement.Candidate(
                    name=peer.member.name,
                    is_local=peer.member.zone == zone,
                    service_s=peer.mean_service_s(now, mean),
                    expected_s=peer.expected_s(now, mean),
                )
                for peer in known.values()
                if peer.member.name not in tried
            ],
            on_time_s=started + self.aim_s - now,
            deadline_s=started + 4 * self.aim_s - now,
            busy_refusals=busy_refusals,
            random=self.random.random,
        )
        if placed is None or len(tried) > retries.MAX_REFUSALS:
            self.took.append((zone, math.inf))
            return
        known[placed.name].in_flight += 1
        self._schedule(
            now + 0.001,
            self._arrive,
            (daemon, started, busy_refusals, tried),
            placed,
        )

    def _arrive(self, now, sent, placed):
        daemon, started, busy_refusals, tried = sent
        server = self.server_by_name[placed.name]
        request = limits.SlotRequest(
            deadline=started + 4 * self.aim_s,
            caller=daemon,
            on_time_until=started + self.aim_s,
            max_wait_s=placed.max_wait_s,
        )
        try:
            result = server.queue.admit(request, now)
        except exceptions.ServerBusyError:
            self.busy_refusals += 1
            self._learn(now, daemon, server)
            self._send(now + 0.001, daemon, started, busy_refusals + 1, tried)
            return
        except exceptions.RequestNotRunError:
            self._refused(now, sent, server)
            return
        server.sent_by_request[request] = sent
        self._apply(now, server, result)

    def _refused(self, now, sent, server):
        daemon, started, busy_refusals, tried = sent
        self._learn(now, daemon, server)
        tried = (*tried, server.name)
        self._send(now + 0.001, daemon, started, busy_refusals, tried)

    def _apply(self, now, server, result):
        for refused in result.refused:
            self._refused(now, server.sent_by_request.pop(refused), server)
        if result.admitted is not None:
            sent = server.sent_by_request.pop(result.admitted)
            service_s = SERVICE_S / server.speed
            service_s *= self.random.lognormvariate(-0.045, 0.3)
            self._schedule(
                now + service_s, self._respond, service_s, sent, server
            )

    def _respond(self, now, service_s, sent, server):
        daemon, started, _, _ = sent
        self._apply(now, server, server.queue.release(service_s, now))
        self._learn(now, daemon, server)
        zone = self.zone_by_daemon[daemon]
        self.left_zone += zone != server.zone
        self.took.append((zone, now + 0.001 - started))

    def _learn(self, now, daemon, server):
        peer = self.peer_by_name[daemon][server.name]
        requests = server.queue.in_use + server.queue.queued
        peer.record_load(requests, server.queue.service_s, now)
        peer.in_flight -= 1

    def late_share(self, limit_s, zone=None):
        took = [t for z, t in self.took if zone in (None, z)]
        return sum(t > limit_s for t in took) / len(took)


def replay_herd(place):
    servers = [Server(f's{n}', 'a', 3, 0.7 + 0.1 * n) for n in range(10)]
    replay = Replay(servers, {f'd{n}': 'a' for n in range(79)}, place, 0.4)
    capacity_per_s = sum(s.slots * s.speed for s in servers) / SERVICE_S
    replay.play({'a': 0.7 * capacity_per_s}, 10)
    return replay


@when('10 seconds of that load are replayed')
def replay_old_knowledge(context):
    context.replay = replay_herd(placement.place)
    context.baseline = replay_herd(best_known)


@then(
    'at most {percent:d}% of the responses are later than {times:d} service times'
)
def check_late_share(context, percent, times):
    share = context.replay.late_share(times * SERVICE_S)
    assert share <= percent / 100, share


@then(
    'a request is refused as too long a wait {times:d} time at most in the mean'
)
def check_busy_refusals(context, times):
    mean = context.replay.busy_refusals / len(context.replay.took)
    assert mean <= times, mean


@then(
    'the choice of the best known server made more than {percent:d}% of them late'
)
def check_baseline_late(context, percent):
    share = context.baseline.late_share(2 * SERVICE_S)
    assert share > percent / 100, share


def replay_domains(place):
    servers = [
        Server(f's{zone}', zone, 9, 0.5 if zone == 'd' else 1.0)
        for zone in 'abcd'
    ]
    daemons = {f'{zone}{n}': zone for zone in 'abcd' for n in range(3)}
    replay = Replay(servers, daemons, place, 4 * SERVICE_S)
    replay.play({'a': 45, 'b': 45, 'c': 45, 'd': 63}, 10)
    return replay


@when('10 seconds of requests with an aim of 4 service times are replayed')
def replay_crowded_domain(context):
    context.replay = replay_domains(placement.place)


@then(
    'at least {percent:d}% of the responses of each failure domain are on time'
)
def check_on_time(context, percent):
    late = {z: context.replay.late_share(4 * SERVICE_S, z) for z in 'abcd'}
    assert max(late.values()) <= 1 - percent / 100, late


@then('at most {percent:d}% of the requests leave their failure domain')
def check_left(context, percent):
    share = context.replay.left_zone / len(context.replay.took)
    assert share <= percent / 100, share


@given(
    'candidates whose expected time is {home:d} ms at home and {away:d} ms away'
)
def set_candidates(context, home, away):
    context.candidates = [
        placement.Candidate(
            name='home', is_local=True, service_s=0.01, expected_s=home / 1000
        ),
        placement.Candidate(
            name='away', is_local=False, service_s=0.01, expected_s=away / 1000
        ),
    ]


def place_request(context, left_ms, busy_refusals=0, **needs):
    context.placed = placement.place(
        context.candidates,
        on_time_s=left_ms / 1000,
        deadline_s=10.0,
        busy_refusals=busy_refusals,
        random=lambda: 0.0,
        **needs,
    )


@when('a request with {left:d} ms left is placed')
def place_one(context, left):
    place_request(context, left)


@when(
    'a request of priority {priority:d} with a message of {kilobytes:d} kB is '
    'placed'
)
def place_message(context, priority, kilobytes):
    place_request(
        context, 400, priority=priority, message_bytes=kilobytes * 1000
    )


@then('it goes {where:w}')
def check_placed(context, where):
    assert context.placed.name == where, context.placed


@when('a request that {count:d} servers refused as busy is placed')
def place_after_refusals(context, count):
    place_request(context, 400, count)


@then('the server accepts it with any wait')
def check_any_wait(context):
    assert math.isinf(context.placed.max_wait_s), context.placed


@when('a request that may wait {wait:d} ms arrives')
def send_with_wait(context, wait):
    context.result = send(context, 10.0, max_wait_s=wait / 1000)


@when('an urgent request waits and then a less urgent call of a running one')
def send_call(context):
    send(context, 10.0, priority=0)
    send(context, 10.0, priority=2, is_nested=True)


@then('the call gets the next slot')
def check_call_first(context):
    result = context.queue.release(0.1, context.now)
    assert result.admitted is context.slot_requests[-1]


@given('a queue that served requests of {long:d} ms and calls of {short:d} ms')
def build_mixed_queue(context, long, short):
    context.queue = limits.SlotQueue(3)
    context.now, context.slot_requests = 10.0, []
    for ms, route in ((long, 'long'), (short, 'call')) * 20:
        send(context, 1e6)
        context.queue.release(ms / 1000, context.now, route)
    # An idle server admits any request.
    send(context, 1e6)


@when('a {route:w} with a deadline in {ms:d} ms arrives')
def send_on_route(context, route, ms):
    context.result = send(context, ms / 1000, route=route)
