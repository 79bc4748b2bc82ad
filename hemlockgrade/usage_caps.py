"""Follows the caps of all organisations by the news of other daemons.

The daemons of a failure domain form a tree. Each one sums up the usage of its
children, and its parent tells it what all others use. What a daemon no longer
hears of is assumed, so that a cut does not raise what is admitted.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Mapping
import math
import random as random_module

import attrs

from hemlockgrade import model
from hemlockgrade import usage_cap

# Age of the news of other daemons up to which they are recent, in seconds.
MAX_NEWS_AGE_S = 2.0
# Time for which the demand of a child that is not heard of is still counted, in
# seconds: it may only be cut off, and admit its usual part.
MAX_CHILD_AGE_S = 5.0
# Time after which a daemon of another failure domain no longer speaks for it,
# if another one has spoken since, in seconds: two exchanges.
MAX_OVERLAP_S = 0.6
# Demand that is told at once: so many times the demand that was told, and so
# many requests a second more.
RISING_FACTOR = 1.5
RISING_PER_S = 10.0


@attrs.frozen
class _News:
    """What a peer told of other daemons.

    Attributes:
        usage_by_name: Their usage by organisation.
        is_recent: False if the peer only assumes some of it.
        heard_at: Monotonic time in seconds.
        inside: Usage of the daemons on this side at that time.
    """

    usage_by_name: usage_cap.UsageByName
    is_recent: bool
    heard_at: float
    inside: usage_cap.UsageByName


@attrs.define(eq=False, kw_only=True)
class UsageCaps:
    """The caps of all organisations at one daemon, and the news of peers.

    Attributes:
        slack: Number of requests beyond a cap in a window that the users
            allow, over all daemons.
        daemons: Number of all daemons.
        random: Returns a random number from 0 to 1.
        cap_by_name: The caps that are in use, by organisation.
    """

    slack: float = 0.0
    daemons: int = 1
    random: Callable[[], float] = random_module.random
    cap_by_name: dict[str, usage_cap.Cap] = attrs.field(factory=dict)
    _organisation_by_name: dict[str, model.Organisation] = attrs.field(
        factory=dict
    )
    # Usage of the subtrees of children, by the name of the child.
    _news_by_child: dict[str, _News] = attrs.field(factory=dict)
    # Usage of other failure domains, by their name and that of the daemon that
    # told it. For some time after a failure there may be several.
    _news_by_domain: dict[str, dict[str, _News]] = attrs.field(factory=dict)
    _told_by_name: dict[str, float] = attrs.field(factory=dict)
    _news_of_parent: _News | None = None
    _own: dict[str, usage_cap.Usage] = attrs.field(factory=dict)
    _sampled_at: float | None = None
    _others: dict[str, usage_cap.Usage] = attrs.field(factory=dict)
    _standing: usage_cap.Standing = usage_cap.Standing(
        is_recent=False, is_isolated=True
    )
    # Since when this daemon has had recent news.
    _recent_since: float = math.inf

    def apply_organisations(
        self, organisation_by_name: Mapping[str, model.Organisation], now: float
    ) -> None:
        """Applies the organisations of a new configuration.

        Args:
            organisation_by_name: The organisations.
            now: Monotonic time in seconds.
        """
        self._organisation_by_name = {
            name: organisation
            for name, organisation in organisation_by_name.items()
            if math.isfinite(organisation.rate_per_s)
        }
        for name, cap in list(self.cap_by_name.items()):
            if name not in self._organisation_by_name:
                del self.cap_by_name[name]
            elif organisation_by_name[name] != cap.organisation:
                cap.change(organisation_by_name[name], now)

    @property
    def is_needed(self) -> bool:
        """Returns whether an organisation has a cap."""
        return bool(self._organisation_by_name)

    def cap_of(
        self, organisation: model.Organisation, now: float
    ) -> usage_cap.Cap | None:
        """Returns the cap of an organisation; None if it has none.

        A daemon that has just started has nothing saved, because an earlier
        process on its host may have used the cap.

        Args:
            organisation: The organisation.
            now: Monotonic time in seconds.
        """
        if organisation.name not in self._organisation_by_name:
            return None
        cap = self.cap_by_name.get(organisation.name)
        if cap is None:
            cap = usage_cap.Cap(
                organisation=organisation,
                slack=self.slack,
                random=self.random,
            )
            cap.start(
                self._others.get(organisation.name, usage_cap.Usage()),
                standing=self._standing,
                saved=now - self._recent_since >= MAX_NEWS_AGE_S,
                sampled_at=now
                if self._sampled_at is None
                else self._sampled_at,
                now=now,
            )
            self.cap_by_name[organisation.name] = cap
        return cap

    def sample(self, now: float) -> None:
        """Measures what the own callers have used since the last sample."""
        self._sampled_at = now
        self._own = {
            name: cap.sample(now) for name, cap in self.cap_by_name.items()
        }

    def subtree_usage(self, now: float) -> dict[str, usage_cap.Usage]:
        """Returns the usage of this daemon and of its children."""
        self._forget_old_children(now)
        children = [
            self._usage_of_child(name, now) for name in self._news_by_child
        ]
        return usage_cap.total([self._own, *children])

    def usage_beside(
        self, child: str, now: float
    ) -> tuple[dict[str, usage_cap.Usage], bool]:
        """Returns the usage of all daemons except for a child's subtree.

        Args:
            child: Name of the child.
            now: Monotonic time in seconds.

        Returns:
            The usage, and whether all of it is recent.
        """
        inside = self.subtree_usage(now)
        outside, is_recent = self._outside(inside, now)
        siblings = [
            self._usage_of_child(name, now)
            for name in self._news_by_child
            if name != child
        ]
        return usage_cap.total([self._own, *siblings, outside]), is_recent

    def hear_child(
        self, name: str, usage: usage_cap.UsageByName, now: float
    ) -> None:
        """Applies the usage of the subtree of a child."""
        self._news_by_child[name] = _News(usage, True, now, {})

    def forget_child(self, name: str) -> None:
        """Forgets a child that has another parent now."""
        self._news_by_child.pop(name, None)

    def forget_other_children(self, names: Container[str]) -> None:
        """Forgets the children that have left.

        Args:
            names: Names of the daemons that have not left.
        """
        for name in list(self._news_by_child):
            if name not in names:
                del self._news_by_child[name]

    def hear_domain(
        self, domain: str, name: str, usage: usage_cap.UsageByName, now: float
    ) -> None:
        """Applies the usage of daemons of another failure domain.

        Args:
            domain: Name of the failure domain.
            name: Name of the daemon that told it.
            usage: Usage of that daemon and its children.
            now: Monotonic time in seconds.
        """
        inside = self.subtree_usage(now)
        news_by_name = self._news_by_domain.setdefault(domain, {})
        for other, news in list(news_by_name.items()):
            if now - news.heard_at > MAX_OVERLAP_S:
                del news_by_name[other]
        news_by_name[name] = _News(usage, True, now, inside)

    def tell(self, now: float) -> dict[str, usage_cap.Usage]:
        """Returns the usage of this daemon and its children for its parent."""
        usage = self.subtree_usage(now)
        self._told_by_name = {n: u.asked_per_s for n, u in usage.items()}
        return usage

    def is_rising(self, now: float) -> bool:
        """Returns whether the demand has grown much since it was told."""
        return any(
            usage.asked_per_s
            > RISING_FACTOR * self._told_by_name.get(name, 0.0) + RISING_PER_S
            for name, usage in self.subtree_usage(now).items()
            if name in self._organisation_by_name
        )

    def hear_parent(
        self, usage: usage_cap.UsageByName, is_recent: bool, now: float
    ) -> None:
        """Applies the usage of all daemons outside of the own subtree.

        Args:
            usage: The usage.
            is_recent: False if the parent only assumes some of it.
            now: Monotonic time in seconds.
        """
        inside = self.subtree_usage(now)
        self._news_of_parent = _News(usage, is_recent, now, inside)
        self._news_by_domain.clear()

    def become_first(self) -> None:
        """Forgets the parent of a daemon that has none any more."""
        if self._news_by_domain:
            self._news_of_parent = None

    def update_caps(self, now: float) -> None:
        """Applies the news to all caps.

        Args:
            now: Monotonic time in seconds.
        """
        inside = self.subtree_usage(now)
        outside, is_recent = self._outside(inside, now)
        children = [
            self._usage_of_child(name, now) for name in self._news_by_child
        ]
        self._others = usage_cap.total([*children, outside])
        if not is_recent:
            self._recent_since = math.inf
        elif math.isinf(self._recent_since):
            self._recent_since = now
        self._standing = usage_cap.Standing(
            is_recent=is_recent,
            is_isolated=self._hears_nobody(now),
            daemons=self.daemons,
        )
        for name in self._others:
            # The level is followed from the first use on, wherever it is.
            organisation = self._organisation_by_name.get(name)
            if organisation is not None:
                self.cap_of(organisation, now)
        for name, cap in list(self.cap_by_name.items()):
            cap.update(
                self._others.get(name, usage_cap.Usage()), self._standing, now
            )
            if cap.is_idle and not cap.binds:
                del self.cap_by_name[name]

    def _hears_nobody(self, now: float) -> bool:
        if self.daemons == 1:
            return False
        news = [
            self._news_of_parent,
            *self._news_of_domains(),
            *self._news_by_child.values(),
        ]
        return not any(
            each is not None and now - each.heard_at <= MAX_NEWS_AGE_S
            for each in news
        )

    def _outside(
        self, inside: usage_cap.UsageByName, now: float
    ) -> tuple[dict[str, usage_cap.Usage], bool]:
        """Returns the usage of the daemons that are not in the own subtree."""
        news = (
            [self._news_of_parent]
            if self._news_of_parent is not None
            else self._news_of_domains()
        )
        usages = []
        is_recent = True
        for each in news:
            if now - each.heard_at <= MAX_NEWS_AGE_S:
                usages.append(each.usage_by_name)
                is_recent &= each.is_recent
            else:
                usages.append(self._assumed(each, inside))
                is_recent = False
        return usage_cap.total(usages), is_recent

    def _rate_of(self, name: str) -> float:
        organisation = self._organisation_by_name.get(name)
        return math.inf if organisation is None else organisation.rate_per_s

    def _news_of_domains(self) -> list[_News]:
        return [
            news
            for news_by_name in self._news_by_domain.values()
            for news in news_by_name.values()
        ]

    def _assumed(
        self, news: _News, inside: usage_cap.UsageByName
    ) -> dict[str, usage_cap.Usage]:
        """Returns the usage of daemons that this one no longer hears of.

        Their demand is assumed to have grown as the demand on this side has,
        so that each side keeps the part of the cap that it had.
        """
        assumed = {}
        for name, usage in news.usage_by_name.items():
            then = news.inside.get(name, usage_cap.Usage()).asked_per_s
            present = inside.get(name, usage_cap.Usage()).asked_per_s
            growth = max(1.0, present / then) if then else 1.0
            asked = usage.asked_per_s * growth
            demand = asked + present
            assumed[name] = usage_cap.Usage(
                asked, asked * self._admitted_fraction(name, demand)
            )
        return assumed

    def _forget_old_children(self, now: float):
        for name, news in list(self._news_by_child.items()):
            if now - news.heard_at > MAX_CHILD_AGE_S:
                del self._news_by_child[name]

    def _usage_of_child(self, name: str, now: float) -> usage_cap.UsageByName:
        """Returns the usage of a child's subtree, which may be assumed.

        A child that is not heard of admits the same part of what it is asked
        as all others, wherever it hears of the cap. It may have another parent
        meanwhile and be counted there, too: if all that it asks counted as
        admitted, a few such children would use up the cap for everybody.
        """
        news = self._news_by_child[name]
        if now - news.heard_at <= MAX_NEWS_AGE_S:
            return news.usage_by_name
        assumed = {}
        for organisation, usage in news.usage_by_name.items():
            asked = usage.asked_per_s
            known = sum(
                each.get(organisation, usage_cap.Usage()).asked_per_s
                for each in (self._own, self._others)
            )
            fraction = self._admitted_fraction(organisation, max(asked, known))
            assumed[organisation] = usage_cap.Usage(asked, asked * fraction)
        return assumed

    def _admitted_fraction(self, name: str, demand_per_s: float) -> float:
        """Returns the fraction of a demand of all daemons that a cap admits."""
        if not demand_per_s:
            return 1.0
        return min(1.0, self._rate_of(name) / demand_per_s)
