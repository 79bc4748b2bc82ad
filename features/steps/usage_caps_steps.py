"""Steps for usage caps, with daemons in virtual time."""

import collections
import math
import random
import threading
import time

from behave import given
from behave import then
from behave import when

from hemlockgrade import model
from hemlockgrade import usage_cap
from hemlockgrade import usage_caps
from hemlockgrade import usage_exchange
from standins import cluster
from standins import mesh_cluster

WINDOW_S = 5.0
OVER_FRACTION = 0.1
SLACK = 20.0
STEP_S = 0.02
CUT_S = 6.0


class Daemon:
    """One daemon of the simulation."""

    def __init__(self, name, domain, organisation, generator):
        self.name, self.domain = name, domain
        self.random = generator
        self.organisation = organisation
        self.start()

    def start(self):
        self.caps = usage_caps.UsageCaps(slack=SLACK, random=self.random.random)
        self.caps.apply_organisations({'acme': self.organisation}, 0.0)
        self.partners = usage_exchange.Partners(self.name)
        self.next_exchange_at = None
        self.alive = True


class Mesh:
    """Daemons that exchange their usage as `usage_exchange` does.

    Attributes:
        admitted: Times of the admitted requests.
        asked_by_second: Numbers of requests.
        admitted_by_second: Numbers of admitted requests.
        is_cut: Returns whether two daemons cannot reach each other.
    """

    def __init__(self, count, rate, burst, seed=7):
        self.random = random.Random(seed)
        self.organisation = model.Organisation(
            name='acme', rate_per_s=rate, burst=burst
        )
        self.daemons = [
            Daemon(
                f'd{n:03}', f'domain-{n % 3}', self.organisation, self.random
            )
            for n in range(count)
        ]
        for daemon in self.daemons:
            daemon.next_exchange_at = self.random.uniform(0, 0.4)
        self.now = 0.0
        self.admitted = []
        self.asked_by_second = collections.Counter()
        self.admitted_by_second = collections.Counter()
        self.is_cut = lambda a, b: False

    def reaches(self, a, b):
        return a.alive and b.alive and not self.is_cut(a, b)

    def exchange(self, daemon):
        """Does what `UsageExchange` does, without connections."""
        peer_by_name = {d.name: d for d in self.daemons}
        domain_by_name = {d.name: d.domain for d in self.daemons}
        daemon.caps.sample(self.now)
        daemon.caps.forget_other_children(domain_by_name)
        chosen = daemon.partners.choose(domain_by_name, self.now)
        if not any(kind is usage_exchange.Kind.PARENT for kind, _ in chosen):
            daemon.caps.become_first()
        for kind, name in chosen:
            peer = peer_by_name[name]
            succeeded = self.reaches(daemon, peer)
            daemon.partners.record(name, succeeded=succeeded, now=self.now)
            if not succeeded:
                continue
            if kind is usage_exchange.Kind.FORMER_PARENT:
                peer.caps.forget_child(daemon.name)
                continue
            usage = daemon.caps.tell(self.now)
            if kind is usage_exchange.Kind.PARENT:
                peer.caps.hear_child(daemon.name, usage, self.now)
                if peer.caps.is_rising(self.now):
                    peer.next_exchange_at = min(
                        peer.next_exchange_at,
                        self.now + usage_exchange.MIN_INTERVAL_S,
                    )
                daemon.caps.hear_parent(
                    *peer.caps.usage_beside(daemon.name, self.now), self.now
                )
            else:
                peer.caps.hear_domain(
                    daemon.domain, daemon.name, usage, self.now
                )
        daemon.caps.daemons = len(self.daemons)
        daemon.caps.update_caps(self.now)

    def run(self, seconds, rate, domain=None):
        """Lets callers ask at a rate, at all daemons or at those of a domain."""
        ends_at = self.now + seconds
        while self.now < ends_at - 1e-9:
            for daemon in self.daemons:
                if daemon.alive and self.now >= daemon.next_exchange_at:
                    interval_s = usage_exchange.INTERVAL_S
                    daemon.next_exchange_at = (
                        self.now + interval_s * self.random.uniform(0.8, 1.2)
                    )
                    self.exchange(daemon)
            candidates = [
                d
                for d in self.daemons
                if d.alive and domain in (None, d.domain)
            ]
            for _ in range(poisson(self.random, rate * STEP_S)):
                self.ask(self.random.choice(candidates))
            self.now += STEP_S

    def ask(self, daemon):
        self.asked_by_second[int(self.now)] += 1
        cap = daemon.caps.cap_of(daemon.organisation, self.now)
        if not cap.admit(self.now):
            self.admitted.append(self.now)
            self.admitted_by_second[int(self.now)] += 1

    def set_cap(self, rate, burst):
        self.organisation = model.Organisation(
            name='acme', rate_per_s=rate, burst=burst
        )
        for daemon in self.daemons:
            daemon.organisation = self.organisation
            daemon.caps.apply_organisations(
                {'acme': self.organisation}, self.now
            )

    def largest_window(self, since=0.0):
        """Returns the largest number of admitted requests in a window."""
        largest, first = 0, 0
        times = [at for at in self.admitted if at >= since]
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_S:
                first += 1
            largest = max(largest, last - first + 1)
        return largest


def poisson(generator, mean):
    """Returns a number of arrivals."""
    limit, count, product = math.exp(-mean), 0, generator.random()
    while product > limit:
        count += 1
        product *= generator.random()
    return count


def allowed(rate, burst):
    return (rate * WINDOW_S + burst) * (1 + OVER_FRACTION) + SLACK


@given(
    '{count:d} daemons in 3 failure domains and a cap of {rate:g} a second with a burst of {burst:g}'
)
def build_mesh(context, count, rate, burst):
    context.system = Mesh(count, rate, burst)
    context.rate, context.burst = rate, burst


@when(
    'its callers ask {usual:g} a second for {calm:d} seconds and {hot:g} a second for {long:d} more'
)
def press(context, usual, calm, hot, long):
    context.system.run(calm, usual)
    context.system.run(long, hot)
    context.calm_s, context.hot_s = (3, calm), (calm, calm + long)


@when(
    'its callers ask {usual:g} a second in one domain and after {calm:d} seconds in another'
)
def move(context, usual, calm):
    context.system.run(calm, usual, 'domain-0')
    context.system.run(calm, usual, 'domain-1')
    context.calm_s = (3, 2 * calm)


@then('no 5 seconds have more than the cap and a tenth and 20 requests')
def check_window(context):
    largest = context.system.largest_window()
    assert largest <= allowed(context.rate, context.burst), largest


def sum_between(counter, seconds):
    return sum(counter[second] for second in range(*seconds))


@then('at least {percent:d}% of what is asked below the cap is admitted')
def check_calm(context, percent):
    asked = sum_between(context.system.asked_by_second, context.calm_s)
    admitted = sum_between(context.system.admitted_by_second, context.calm_s)
    assert admitted >= asked * percent / 100, (admitted, asked)


@then('at least {percent:d}% of the cap is admitted in the hot time')
def check_hot(context, percent):
    admitted = sum_between(context.system.admitted_by_second, context.hot_s)
    due = context.rate * (context.hot_s[1] - context.hot_s[0])
    assert admitted >= due * percent / 100, (admitted, due)


@when(
    '{fault} while its callers ask {usual:g} a second for 10 seconds and {hot:g} for 15 more'
)
def press_with_fault(context, fault, usual, hot):
    system = context.system
    system.run(8, usual)
    start_fault(system, fault)
    system.run(2, usual)
    system.run(4, hot)
    if fault.startswith('half'):
        for daemon in system.daemons:
            if not daemon.alive:
                daemon.start()
                daemon.next_exchange_at = system.now
    system.run(11, hot)


@when(
    '{percent:d}% of the exchanges fail while its callers ask {usual:g} a second for {calm:d} seconds and {hot:g} for {long:d} more'
)
def press_with_lost_exchanges(context, percent, usual, calm, hot, long):
    system = context.system
    system.run(calm, usual)
    losses = random.Random(percent)
    system.is_cut = lambda a, b: losses.random() < percent / 100
    system.run(long, hot)
    context.hot_s = (calm, calm + long)


def start_fault(system, fault):
    if fault == 'a failure domain is cut off':
        system.is_cut = lambda a, b: (
            (a.domain == 'domain-0') != (b.domain == 'domain-0')
        )
    elif fault == 'a third of the daemons is cut off each':
        cut = {d.name for d in system.daemons[::3]}
        system.is_cut = lambda a, b: a.name in cut or b.name in cut
    elif fault == 'the first daemon of each domain is killed':
        for daemon in system.daemons[:3]:
            daemon.alive = False
    else:
        for daemon in system.daemons[::2]:
            daemon.alive = False


@when(
    'a third of the daemons is replaced in steps while its callers ask {usual:g} a second'
)
def replace_daemons(context, usual):
    system = context.system
    system.run(8, usual)
    for step in range(6):
        for daemon in system.daemons[step * 4 : step * 4 + 4]:
            daemon.alive = False
            system.daemons.remove(daemon)
            # The name decides on the place in the tree.
            name = f'd{system.random.random():.6f}'
            new = Daemon(
                name, daemon.domain, system.organisation, system.random
            )
            new.next_exchange_at = system.now
            system.daemons.append(new)
        system.run(1, usual)
    system.run(6, usual)
    context.calm_s = (8, 20)


@when(
    'its callers ask {usual:g} a second and the cap falls to {rate:g} with a burst of {burst:g}'
)
def lower_cap(context, usual, rate, burst):
    context.system.run(8, usual)
    context.system.set_cap(rate, burst)
    context.changed_at = context.system.now
    context.rate, context.burst = rate, burst
    context.system.run(12, usual)


@then(
    'from one window after that no 5 seconds have more than the new cap and a tenth and 20 requests'
)
def check_lowered(context):
    largest = context.system.largest_window(context.changed_at + WINDOW_S)
    assert largest <= allowed(context.rate, context.burst), largest


@given('a cap of {rate:g} a second with a burst of {burst:g} at one daemon')
def build_cap(context, rate, burst):
    context.cap = usage_cap.Cap(
        organisation=model.Organisation(
            name='acme', rate_per_s=rate, burst=burst
        ),
        slack=0.0,
    )
    context.now = 100.0
    context.cap.start(
        usage_cap.Usage(),
        standing=usage_cap.Standing(),
        saved=True,
        sampled_at=context.now,
        now=context.now,
    )


@when('{count:d} requests are admitted and given back {times:d} times')
def give_back(context, count, times):
    context.waits = []
    for _ in range(times):
        context.waits += [context.cap.admit(context.now) for _ in range(count)]
        for _ in range(count):
            context.cap.give_back()


@then('each of them was admitted')
def check_given_back(context):
    assert not any(context.waits), context.waits


@when('requests are sent until one is refused')
def send_until_refused(context):
    for _ in range(100):
        context.wait_s = context.cap.admit(context.now)
        if context.wait_s:
            return
    raise AssertionError('no request was refused')


@then('a request at the time that the refusal names is admitted')
def check_return(context):
    assert not context.cap.admit(context.now + context.wait_s)


@given(
    'a mesh of {count:d} hosts in each of 2 failure domains with caps of {rate:d} a second and a burst of {burst:d}'
)
def start_mesh(context, count, rate, burst):
    mesh = context.mesh = mesh_cluster.create_temporary(context.add_cleanup)
    mesh.start_store()
    caps = {'RatePerS': rate, 'Burst': burst}
    mesh.configure(
        5,
        mesh_cluster.build_route('shop', '/shop/'),
        mesh_cluster.build_organisation('hot', 'k-hot', **caps),
        mesh_cluster.build_organisation('calm', 'k-calm', **caps),
    )
    context.names = [
        f'{domain}{number}' for domain in 'ab' for number in range(count)
    ]
    for name in context.names:
        mesh.start_host(name, name[0], cap_slack=SLACK)
    for name in context.names:
        cluster.wait_until(
            lambda name=name: call(context, name, 'k-calm')[0] == 200,
            f'{name} serves',
        )
    # Until then a daemon that has just started has saved nothing.
    time.sleep(usage_caps.MAX_NEWS_AGE_S + 1.0)


def call(context, name, key):
    status, _, headers, request_id = context.mesh.call(
        name, '/shop/x', Authorization=f'Bearer {key}'
    )
    return status, headers, request_id


@when(
    'callers of all hosts send {hot:d} requests a second of one organisation and {calm:d} of the other for {seconds:d} seconds'
)
def send_to_mesh(context, hot, calm, seconds):
    context.results = {'k-hot': [], 'k-calm': []}
    ends_at = time.monotonic() + seconds

    def send(name, key, rate):
        while time.monotonic() < ends_at:
            context.results[key].append(call(context, name, key))
            time.sleep(len(context.names) / rate)

    threads = [
        threading.Thread(target=send, args=(name, key, rate))
        for name in context.names
        for key, rate in (('k-hot', hot), ('k-calm', calm))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then(
    'no 5 seconds of the servers have more than {count:d} requests of the first one'
)
def check_mesh_window(context, count):
    ids = {request_id for _, _, request_id in context.results['k-hot']}
    times = sorted(
        at
        for name in context.names
        for request_id, at in context.mesh.arrivals(name)
        if request_id in ids
    )
    largest = max(
        sum(start <= at < start + WINDOW_S for at in times) for start in times
    )
    assert largest <= count, largest


@then(
    'at least {count:d} of its requests were served, and the others got 429 with a time to return'
)
def check_mesh_hot(context, count):
    results = context.results['k-hot']
    served = [r for r in results if r[0] == 200]
    assert len(served) >= count, len(served)
    refused = [r for r in results if r[0] != 200]
    assert refused
    for status, headers, _ in refused:
        assert status == 429, status
        assert float(headers['retry-after']) > 0, headers


@then('all requests of the other one were served')
def check_mesh_calm(context):
    statuses = {status for status, _, _ in context.results['k-calm']}
    assert statuses == {200}, statuses
