"""Steps for bodies that share a network link."""

import asyncio
import math
import random

from behave import given
from behave import then
from behave import when
from mesh_decisions_steps import choose
from request_path_steps import wait_until
from request_path_steps import when_system_runs

from hemlockgrade import http_codec
from hemlockgrade import link as link_module
from hemlockgrade import outgoing_body

MBPS = 1_000_000 / 8
SLOW_LINK_BYTES_PER_S = 5.5 * MBPS
SHORT_BYTES = 400
TEST_LINK = outgoing_body.Link(2 * MBPS)


class LinkReplay:
    """Replays messages on a link that sends in the order of the writes.

    Attributes:
        short_waits: Waits of short messages, in seconds.
        body_times: Times from the arrival of bodies to their last byte, in
            seconds, with their sizes.
        idle_s: Time for which the link had nothing to send although a body
            was waiting, in seconds.
    """

    def __init__(self, *, is_paced):
        self.schedule = link_module.LinkSchedule(SLOW_LINK_BYTES_PER_S)
        self.is_paced = is_paced
        self.short_waits, self.body_times = [], []
        self.idle_s = 0.0
        self._free_at = 0.0
        self._size_by_transfer = {}

    def write(self, size, now):
        waiting = bool(self._size_by_transfer)
        if waiting and self._free_at < now:
            self.idle_s += now - self._free_at
        started = max(now, self._free_at)
        size_on_link = size * link_module.PACKET_OVERHEAD_FACTOR
        self._free_at = started + size_on_link / SLOW_LINK_BYTES_PER_S
        self.schedule.record_write(size, now)
        return started - now

    def send_body(self, size, now):
        if not self.is_paced:
            self.write(size, now)
            self.body_times.append((size, self._free_at - now))
            return
        transfer = link_module.Transfer(remaining_bytes=size)
        self._size_by_transfer[transfer] = (size, now)
        self.schedule.add(transfer)

    def pump(self, now):
        while (transfer := self.schedule.next_transfer()) is not None:
            allowed = self.schedule.segment_bytes(now)
            if not allowed:
                return
            piece = min(allowed, transfer.remaining_bytes)
            self.write(piece, now)
            transfer.remaining_bytes -= piece
            if not transfer.remaining_bytes:
                self.schedule.remove(transfer)
                size, since = self._size_by_transfer.pop(transfer)
                self.body_times.append((size, self._free_at - since))


def replay_downloads(*, is_paced):
    """Replays 30 s of downloads and short messages in steps of 1 ms."""
    rng = random.Random(5)
    replay = LinkReplay(is_paced=is_paced)
    bodies_per_s = 0.6 * SLOW_LINK_BYTES_PER_S / 90_000
    for step in range(30_000):
        now = step / 1000
        if rng.random() < bodies_per_s / 1000:
            size = int(rng.lognormvariate(math.log(75_000), 0.6))
            replay.send_body(size, now)
        if rng.random() < 0.04:
            replay.short_waits.append(replay.write(SHORT_BYTES, now))
        replay.pump(now)
    return replay


@when('30 seconds of downloads and short messages are replayed on a link')
def replay_on_link(context):
    context.paced = replay_downloads(is_paced=True)
    context.unpaced = replay_downloads(is_paced=False)


@then('with pacing a short message waits {limit_ms:d} ms at most')
def check_paced_waits(context, limit_ms):
    longest = max(context.paced.short_waits)
    assert longest <= limit_ms / 1000, longest


@then('without pacing some short messages wait more than {limit_ms:d} ms')
def check_unpaced_waits(context, limit_ms):
    longest = max(context.unpaced.short_waits)
    assert longest > limit_ms / 1000, longest


def mean_body_s(replay):
    return sum(t for _, t in replay.body_times) / len(replay.body_times)


@then('pacing delays the mean download no more than the queue of the link did')
def check_mean_download(context):
    paced, unpaced = mean_body_s(context.paced), mean_body_s(context.unpaced)
    assert paced <= unpaced, (paced, unpaced)


@when('20 bodies of 10 to 200 kB wait for a link of 5.5 Mbit/s')
def replay_backlog(context):
    context.replay = LinkReplay(is_paced=True)
    for number in range(20):
        context.replay.send_body(200_000 - number * 10_000, 0.0)
    now = 0.0
    while len(context.replay.body_times) < 20:
        context.replay.pump(now)
        # A timer fires up to 1 ms late.
        now += max(0.001, context.replay.schedule.next_segment_s(now) + 0.001)


@then('the link is idle for less than 2% of the time that they take')
def check_idle(context):
    total_s = max(t for _, t in context.replay.body_times)
    assert context.replay.idle_s < 0.02 * total_s, context.replay.idle_s


@then('the smaller body ends first')
def check_order(context):
    sizes = [size for size, _ in context.replay.body_times]
    assert sizes == sorted(sizes), sizes


@given('responses of 100 kB with a body by {framing}')
def set_framing(context, framing):
    context.framing = framing


async def send_large_and_short(context, system):
    loop = asyncio.get_running_loop()
    path = f'/large?bytes=100000&body={context.framing}'

    async def fetch(target):
        started = loop.time()
        response = await system.send_request('GET', target)
        return response, loop.time() - started

    large = [asyncio.ensure_future(fetch(path)) for _ in range(2)]
    await asyncio.sleep(0.05)
    context.short = [await fetch('/short') for _ in range(10)]
    context.large = await asyncio.gather(*large)


when_system_runs(
    '2 large responses and short ones are sent over a link of 2 Mbit/s',
    link=TEST_LINK,
)(send_large_and_short)
when_system_runs(
    '2 large responses and short ones are sent over a link of an unknown rate'
)(send_large_and_short)


@then('the large responses arrive whole')
def check_large(context):
    for response, _ in context.large:
        assert response.status == 200
        assert len(response.body) == 100_000


@then('the large responses arrive whole and take {seconds:f} s at least')
def check_large_time(context, seconds):
    check_large(context)
    assert max(took for _, took in context.large) >= seconds, context.large


@then('each short response arrived within {limit_ms:d} ms')
def check_short(context, limit_ms):
    longest = max(took for _, took in context.short)
    assert longest < limit_ms / 1000, longest


@when_system_runs(
    'the server breaks off a body that waits for the link', link=TEST_LINK
)
async def break_off_body(context, system):
    path = f'/large?bytes=3000000&body={context.framing}'
    task = asyncio.ensure_future(system.send_request('GET', path))
    target = system.targets[0]
    await wait_until(lambda: target.log and not target.running)
    await asyncio.sleep(0.1)
    for connection in list(target.connections):
        connection.transport.abort()
    context.response = await task
    context.later = await system.send_request('GET', '/later?bytes=20000')


@then('the caller got a broken response')
def check_broken(context):
    assert context.response is None, context.response.status


@then('a later body is sent over the link')
def check_later(context):
    assert len(context.later.body) == 20_000


@when_system_runs(
    'a caller leaves while its body of 1 MB waits for the link of 2 Mbit/s',
    link=TEST_LINK,
)
async def leave_during_body(context, system):
    loop = asyncio.get_running_loop()
    caller = await system.connect()
    caller.send('GET', '/left?bytes=1000000')
    target = system.targets[0]
    await wait_until(lambda: target.log)
    await asyncio.sleep(0.1)
    caller.close()
    started = loop.time()
    context.large = [
        (await system.send_request('GET', '/next?bytes=100000'), 0)
    ]
    context.took_s = loop.time() - started
    context.slots_in_use = system.hosts[0].limiter_load()[0]


@then('the next large response takes less than {seconds:d} s')
def check_next(context, seconds):
    check_large(context)
    assert context.took_s < seconds, context.took_s


@then('the run of the server that left off was ended')
def check_slot_free(context):
    assert context.slots_in_use == 0, context.slots_in_use


@when_system_runs(
    '50 downloads of 10 MB wait for a link of 2 Mbit/s',
    link=TEST_LINK,
    slots=50,
)
async def hold_downloads(context, system):
    callers = [await system.connect() for _ in range(50)]
    for number, caller in enumerate(callers):
        caller.send('GET', f'/{number}?bytes=10000000')
    await wait_until(lambda: len(system.targets[0].log) == 50)
    await asyncio.sleep(1.0)
    context.waiting_bytes = [
        connection._body.waiting_bytes
        for connection in system.factory.connections
        if connection._body is not None
    ]
    for caller in callers:
        caller.close()


class Source:
    """A source of a stream that records whether it is paused."""

    is_paused = True

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False

    def abort(self):
        self.is_paused = True


class Writer:
    """A connection over a link that accepts all bytes."""

    def __init__(self, link):
        self.link = link

    def write(self, data):
        self.link.record_write(len(data))


@when_system_runs(
    'a stream with 100 kB at its start waits for a link of 2 Mbit/s'
)
async def attach_long_stream(context, system):
    context.source = Source()
    stream = http_codec.BodyStream(context.source)
    stream.push(b'x' * 100_000)
    response = http_codec.Response(status=200, stream=stream)
    request = http_codec.Request(method='GET', target='/')
    link = outgoing_body.Link(2 * MBPS)
    body = outgoing_body.OutgoingBody(
        Writer(link),
        link,
        http_codec.choose_framing(response, request, close=False),
        lambda complete: None,
    )
    body.send(response)
    context.is_paused = context.source.is_paused
    body.abort()


@then('the source of the stream is paused')
def check_source_paused(context):
    assert context.is_paused


@then('the daemon holds at most {kilobytes:d} kB of each')
def check_waiting_bytes(context, kilobytes):
    assert len(context.waiting_bytes) == 50, len(context.waiting_bytes)
    largest = max(context.waiting_bytes)
    assert largest <= kilobytes * 1000, largest


@when_system_runs(
    'a download with 1 s left comes to a host whose link has bodies for 4 s'
)
async def send_download_to_busy_link(context, system):
    loop = asyncio.get_running_loop()
    load = system.hosts[0].admission.link_load
    load.schedule.bytes_per_s = 2 * MBPS
    load.sizes.record('all', 100_000)
    bodies = link_module.Transfer(remaining_bytes=int(4 * 2 * MBPS))
    load.schedule.add(bodies)
    headers = 'x-request-timeout-ms: 1000\r\n'
    started = loop.time()
    context.refused = await system.send_request('GET', '/a', headers=headers)
    context.took_s = loop.time() - started
    context.early_runs = len(system.targets[0].log)
    load.schedule.remove(bodies)
    await asyncio.sleep(0.1)
    context.served = await system.send_request('GET', '/a', headers=headers)


@then('it was refused within {limit_ms:d} ms and not run')
def check_refused(context, limit_ms):
    assert context.refused.status == 503, context.refused.status
    assert context.took_s < limit_ms / 1000, context.took_s
    assert context.early_runs == 0


@then('it was run once the link was free')
def check_served(context):
    assert context.served.status == 200, context.served.status


@when('the link of {name:w} has bodies for {ms:d} ms')
def set_link_wait(context, name, ms):
    context.balancer.peer(name).link_free_at = 100.0 + ms / 1000


@then('the next choice of a large download is {name:w}')
def check_download_choice(context, name):
    assert choose(context, has_large_response=True) == name
