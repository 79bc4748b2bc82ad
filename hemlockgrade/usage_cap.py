"""Decides which requests of one organisation are within its cap.

Load pattern: an organisation's callers send several times its usual rate, from
many hosts at once, and move between hosts. A daemon sees only its own callers
and hears of the others about a second late. So all daemons follow one token
bucket and admit the same fraction of what they are asked.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import math
import random as random_module

import attrs

from hemlockgrade import model
from hemlockgrade import token_bucket

# Time in which saved requests of all daemons are used up, in seconds. It is
# longer than the time for news to reach all daemons.
DRAIN_S = 2.0
# Time in which a debt is repaid, in seconds. A debt is a fraction of the window
# in which the cap binds.
REPAY_S = 0.5
# Largest debt, in seconds of the rate. What was admitted longer ago has left
# the window.
MAX_DEBT_S = 5.0
# Weight of the latest interval in the slow means, from which a surge is told,
# as a fraction of 1, the time until they say what is usual, in seconds, and the
# lowest usual rate, in requests a second.
SLOW_SMOOTHING_WEIGHT = 0.1
USUAL_AFTER_S = 4.0
MIN_USUAL_PER_S = 0.2
# The callers of one host surge if they ask more in an interval than this many
# standard deviations (of a Poisson process) above the slow mean. Then those of
# the other hosts are expected to do the same, for the time that news take, in
# seconds.
SURGE_DEVIATIONS = 3.0
MIN_SURGE_REQUESTS = 3.0
SURGE_S = 2.0
# Part of its usual share that an isolated daemon admits: the others count its
# usual demand, but not what it asks beyond that.
ISOLATED_FRACTION = 0.8
# Part of the rate that isolated daemons without usual demand have together, and
# the time whose requests an isolated daemon may admit at once, in seconds.
EVEN_FRACTION = 0.1
ISOLATED_BURST_S = 0.5
# Demand of all daemons in one interval that needs no smoothing, in requests. A
# lower one varies by more than a third by chance.
SMOOTH_REQUESTS = 10.0
MIN_SMOOTHING_WEIGHT = 0.3
# A demand below this is none, in requests a second.
MIN_DEMAND_PER_S = 0.005
# Shortest and longest time after which a refused caller may return, in seconds,
# and the fraction by which it is spread.
MIN_RETURN_S = 0.05
MAX_RETURN_S = 5.0
RETURN_SPREAD = 0.5


@attrs.frozen
class Usage:
    """What some daemons use of a cap.

    Attributes:
        asked_per_s: Rate at which callers ask, in requests a second.
        admitted_per_s: Rate at which requests are admitted.
    """

    asked_per_s: float = 0.0
    admitted_per_s: float = 0.0

    def plus(self, other: 'Usage') -> 'Usage':
        """Returns the sum of two usages."""
        return Usage(
            self.asked_per_s + other.asked_per_s,
            self.admitted_per_s + other.admitted_per_s,
        )


UsageByName = Mapping[str, Usage]


def total(usages: Collection[UsageByName]) -> dict[str, Usage]:
    """Returns the sum of usages by the name of the organisation."""
    result: dict[str, Usage] = {}
    for usage_by_name in usages:
        for name, usage in usage_by_name.items():
            result[name] = result.get(name, Usage()).plus(usage)
    return result


@attrs.define(eq=False)
class _RateMeter:
    """Measures the rate of events between two samples."""

    _count: float = 0.0
    _last_count: float = 0.0
    _last_s: float = 0.0
    _sampled_at: float | None = None

    def count(self, amount: float = 1.0) -> None:
        """Counts events."""
        self._count += amount

    @property
    def interval_s(self) -> float:
        """Returns the length of the last interval, in seconds."""
        return self._last_s

    def latest(self, now: float) -> tuple[float, float]:
        """Returns the events of the last interval and since, and its length."""
        if self._sampled_at is None:
            return 0.0, 0.0
        seconds = self._last_s + now - self._sampled_at
        return self._last_count + self._count, seconds

    def sample(self, now: float) -> float:
        """Ends an interval and returns its rate."""
        per_s = 0.0
        if self._sampled_at is not None and now > self._sampled_at:
            self._last_s = now - self._sampled_at
            per_s = max(0.0, self._count) / self._last_s
        self._last_count, self._count = self._count, 0.0
        self._sampled_at = now
        return per_s


@attrs.frozen
class Standing:
    """How well a daemon hears of the others.

    Attributes:
        is_recent: False if some of the usage of others is only assumed.
        is_isolated: True if the daemon hears of no other one.
        daemons: Number of all daemons.
    """

    is_recent: bool = True
    is_isolated: bool = False
    daemons: int = 1


@attrs.define(eq=False, kw_only=True)
class Cap:
    """The cap of one organisation, as one daemon applies it.

    The level is an estimate of the token bucket of all daemons together: it
    gains the rate of the cap and loses what is admitted anywhere. Each daemon
    admits the same fraction of what it is asked: what the rate and the level
    allow, divided by the demand of all daemons. An isolated daemon admits its
    usual part of the rate.

    Attributes:
        organisation: The organisation, with its rate and burst.
        slack: Number of requests beyond the cap in a window that the users
            allow, over all daemons.
        random: Returns a random number from 0 to 1.
        binds: True if the latest request was refused.
        refused: Number of refused requests.
    """

    organisation: model.Organisation
    slack: float
    random: Callable[[], float] = random_module.random
    binds: bool = False
    refused: int = 0
    _asked: _RateMeter = attrs.field(factory=_RateMeter)
    _admitted: _RateMeter = attrs.field(factory=_RateMeter)
    _own: Usage = Usage()
    _others: Usage = Usage()
    _is_recent: bool = False
    _demand_per_s: float = 0.0
    # Limits an isolated daemon.
    _bucket: token_bucket.TokenBucket | None = None
    _slow_own_per_s: float | None = None
    _slow_demand_per_s: float = 0.0
    _usual_from: float = math.inf
    _surge_until: float = -math.inf
    _level: float = 0.0
    _level_at: float | None = None
    # Sum of the admitted fractions; a request is admitted when it reaches 1.
    _accumulated: float = 0.0

    @property
    def capacity(self) -> float:
        """Returns the size of the bucket of all daemons, in requests."""
        return max(1.0, self.organisation.burst + self.slack / 2)

    @property
    def level(self) -> float:
        """Returns the level of the bucket of all daemons, in requests."""
        return self._level

    @property
    def demand_per_s(self) -> float:
        """Returns the demand of all daemons, in requests a second."""
        return self._demand_per_s

    @property
    def is_idle(self) -> bool:
        """Returns whether nobody has used the cap for some time."""
        return not self._known_demand_per_s and not self._slow_demand_per_s

    @property
    def _known_demand_per_s(self) -> float:
        return self._own.asked_per_s + self._others.asked_per_s

    def start(
        self,
        others: Usage,
        *,
        standing: Standing,
        saved: bool,
        sampled_at: float,
        now: float,
    ) -> None:
        """Starts with what is known of the other daemons.

        Args:
            others: Sum over all other daemons.
            standing: How well this daemon hears of them.
            saved: True if an unused cap counts as saved up.
            sampled_at: Monotonic time of the latest sample of the other caps,
                in seconds, at which the first interval has begun.
            now: Monotonic time in seconds.
        """
        self._others = others
        self._demand_per_s = others.asked_per_s
        self._is_recent = standing.is_recent
        if standing.is_isolated:
            self._bucket = self._build_bucket(standing.daemons, now)
        self._level = self.capacity if saved else 0.0
        self._level_at = now
        self._accumulated = self.random()
        self._usual_from = now + USUAL_AFTER_S
        self._asked.sample(sampled_at)
        self._admitted.sample(sampled_at)

    def change(self, organisation: model.Organisation, now: float) -> None:
        """Applies a changed rate or burst.

        Args:
            organisation: The organisation in the new configuration.
            now: Monotonic time in seconds.
        """
        self._advance(now)
        self.organisation = organisation
        self._level = min(self._level, self.capacity)

    def sample(self, now: float) -> Usage:
        """Returns what this daemon's callers have used since the last sample.

        Args:
            now: Monotonic time in seconds.
        """
        self._own = Usage(self._asked.sample(now), self._admitted.sample(now))
        return self._own

    def update(self, others: Usage, standing: Standing, now: float) -> None:
        """Applies what the other daemons use.

        Args:
            others: Sum over all other daemons.
            standing: How well this daemon hears of them.
            now: Monotonic time in seconds.
        """
        self._advance(now)
        self._others, self._is_recent = others, standing.is_recent
        self._update_demand()
        if not standing.is_isolated:
            self._bucket = None
        elif self._bucket is None:
            self._bucket = self._build_bucket(standing.daemons, now)
        self._update_usual(now)

    def _update_demand(self):
        """Updates the mean demand; a small one is smoothed more."""
        known = self._known_demand_per_s
        requests = known * self._asked.interval_s
        weight = max(MIN_SMOOTHING_WEIGHT, min(1.0, requests / SMOOTH_REQUESTS))
        self._demand_per_s += weight * (known - self._demand_per_s)

    def _update_usual(self, now: float):
        """Updates what is usual, from which a surge is told."""
        if self._slow_own_per_s is None:
            self._slow_own_per_s = self._own.asked_per_s
            self._slow_demand_per_s = self._known_demand_per_s
            return
        if now < self._surge_until:
            return
        weight = SLOW_SMOOTHING_WEIGHT
        self._slow_own_per_s += weight * (
            self._own.asked_per_s - self._slow_own_per_s
        )
        self._slow_demand_per_s += weight * (
            self._known_demand_per_s - self._slow_demand_per_s
        )
        if self._slow_own_per_s < MIN_USUAL_PER_S:
            self._usual_from = now + USUAL_AFTER_S
        if self._slow_demand_per_s < MIN_DEMAND_PER_S:
            self._slow_demand_per_s = 0.0

    def admit(self, now: float) -> float:
        """Decides on a request, which counts once however often it is sent.

        Args:
            now: Monotonic time in seconds.

        Returns:
            0 if the request is admitted, or else the time until there is room,
            in seconds.
        """
        self._asked.count()
        self._advance(now)
        if self._bucket is not None:
            return self._admit_isolated(self._bucket, now)
        fraction = self._admitted_fraction(now)
        self._accumulated += fraction
        self.binds = self._accumulated < 1.0
        if self.binds:
            self.refused += 1
            return self._return_s()
        self._accumulated = min(1.0, self._accumulated - 1.0)
        self._spend(1.0)
        return 0.0

    def _admit_isolated(
        self, bucket: token_bucket.TokenBucket, now: float
    ) -> float:
        missing = 1.0 - bucket.available(now)
        self.binds = missing > 0
        if self.binds:
            self.refused += 1
            return min(MAX_RETURN_S, missing / bucket.rate_per_s)
        bucket.spend(1.0, now)
        self._spend(1.0)
        return 0.0

    def _build_bucket(
        self, daemons: int, now: float
    ) -> token_bucket.TokenBucket:
        """Returns the bucket of an isolated daemon, which is empty."""
        even = 1 / max(1, daemons)
        if self._slow_demand_per_s:
            usual = (self._slow_own_per_s or 0.0) / self._slow_demand_per_s
            share = (usual + EVEN_FRACTION * even) / (1 + EVEN_FRACTION)
        else:
            share = even
        rate_per_s = ISOLATED_FRACTION * share * self.organisation.rate_per_s
        bucket = token_bucket.TokenBucket(
            rate_per_s, max(1.0, rate_per_s * ISOLATED_BURST_S)
        )
        bucket.spend(bucket.burst, now)
        return bucket

    def give_back(self) -> None:
        """Takes back the admission of a request that was not run."""
        self._spend(-1.0)

    def _spend(self, amount: float):
        self._admitted.count(amount)
        self._level = min(self.capacity, self._level - amount)

    def _admitted_fraction(self, now: float) -> float:
        """Returns the fraction of requests to admit, from 0 to 1."""
        allowed_per_s = self.organisation.rate_per_s + self._level / (
            DRAIN_S if self._level > 0 else REPAY_S
        )
        if not self._is_recent:
            # The others may use what is saved, too.
            allowed_per_s = min(allowed_per_s, self.organisation.rate_per_s)
        demand_per_s = max(self._demand_per_s, self._expected_demand_per_s(now))
        if allowed_per_s >= demand_per_s:
            return 1.0
        return max(0.0, allowed_per_s / demand_per_s) if demand_per_s else 0.0

    def _expected_demand_per_s(self, now: float) -> float:
        """Returns the demand of all daemons if the own callers surge, or 0."""
        usual_per_s = self._slow_own_per_s
        counted, seconds = self._asked.latest(now)
        if not usual_per_s or not seconds or now < self._usual_from:
            return 0.0
        usual = usual_per_s * seconds
        surge = usual + SURGE_DEVIATIONS * math.sqrt(usual) + MIN_SURGE_REQUESTS
        if counted > surge and now >= self._surge_until + SURGE_S:
            self._surge_until = now + SURGE_S
        if now >= self._surge_until:
            return 0.0
        return self._slow_demand_per_s * counted / usual

    def _return_s(self) -> float:
        """Returns when a refused caller may return, in seconds."""
        missing = max(1.0, 1.0 - self._level)
        wait_s = missing / self.organisation.rate_per_s
        spread = 1.0 + RETURN_SPREAD * self.random()
        return min(MAX_RETURN_S, max(MIN_RETURN_S, wait_s * spread))

    def _advance(self, now: float):
        """Moves the level of the bucket of all daemons to the present."""
        if self._level_at is not None:
            passed_s = max(0.0, now - self._level_at)
            gained_per_s = (
                self.organisation.rate_per_s - self._others.admitted_per_s
            )
            lowest = -MAX_DEBT_S * self.organisation.rate_per_s
            self._level += passed_s * gained_per_s
            self._level = max(lowest, min(self.capacity, self._level))
        self._level_at = now
