"""Tells other daemons what the callers of this host use of usage caps."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import enum
import math
import random as random_module
from typing import Any

import attrs
from loguru import logger
import orjson

from hemlockgrade import backoff
from hemlockgrade import directory as directory_module
from hemlockgrade import exceptions
from hemlockgrade import freshness
from hemlockgrade import http_codec
from hemlockgrade import peer_protocol
from hemlockgrade import upstream
from hemlockgrade import usage_cap
from hemlockgrade import usage_caps

# Mean time between two exchanges, and its jitter as a fraction.
INTERVAL_S = 0.3
JITTER = 0.2
# Shortest time between two exchanges, in seconds. Demand that has grown much is
# told after it.
MIN_INTERVAL_S = 0.1
# Longest time for a peer to respond, in seconds.
TIMEOUT_S = 0.25
# A peer that did not respond so many times in a row is set aside for this time,
# in seconds. It doubles with each further failure, up to the longest one.
MAX_FAILURES = 2
SET_ASIDE_S = 5.0
MAX_SET_ASIDE_S = 60.0
# Largest number of organisations in a message, those with the largest demand.
MAX_ORGANISATIONS = 2000
# Time between two log lines about a cap that binds, in seconds.
LOG_INTERVAL_S = 5.0


class Kind(enum.StrEnum):
    """How a peer is related to this daemon.

    Attributes:
        PARENT: It sums up the usage of its failure domain.
        DOMAIN: It is the first daemon of another failure domain.
        FORMER_PARENT: It was the parent until the latest exchange.
    """

    PARENT = 'parent'
    DOMAIN = 'domain'
    FORMER_PARENT = 'former-parent'


@attrs.define(eq=False)
class Partners:
    """Chooses the daemons to which a daemon tells its usage.

    A peer that fails repeatedly is set aside for some time.

    Attributes:
        own_name: Name of the daemon.
    """

    own_name: str
    _parent: str | None = None
    _failures_by_name: dict[str, int] = attrs.field(factory=dict)
    _not_before_by_name: dict[str, float] = attrs.field(factory=dict)

    def choose(
        self, domain_by_name: Mapping[str, str], now: float
    ) -> list[tuple[Kind, str]]:
        """Returns the peers of the next exchange.

        Args:
            domain_by_name: Failure domain of each daemon.
            now: Monotonic time in seconds.
        """
        own_domain = domain_by_name.get(self.own_name)
        if own_domain is None:
            return []
        names_by_domain: dict[str, list[str]] = {}
        for name, domain in domain_by_name.items():
            if self._not_before_by_name.get(name, now) <= now:
                names_by_domain.setdefault(domain, []).append(name)
        parent = freshness.choose_source(
            names_by_domain.get(own_domain, []), self.own_name
        )
        former, self._parent = self._parent, parent
        chosen = [
            (Kind.DOMAIN, min(names))
            for domain, names in names_by_domain.items()
            if domain != own_domain
        ]
        if parent is not None:
            chosen = [(Kind.PARENT, parent)]
        if former not in (None, parent) and former in domain_by_name:
            # It would count this daemon's usage for some time.
            chosen.insert(0, (Kind.FORMER_PARENT, former))
        return chosen

    def record(self, name: str, *, succeeded: bool, now: float) -> None:
        """Records the result of an exchange with a peer."""
        if succeeded:
            self._failures_by_name.pop(name, None)
            return
        failures = self._failures_by_name.get(name, 0) + 1
        self._failures_by_name[name] = failures
        if failures >= MAX_FAILURES:
            self._not_before_by_name[name] = now + backoff.delay_s(
                failures - MAX_FAILURES + 1, SET_ASIDE_S, MAX_SET_ASIDE_S
            )


@attrs.define(eq=False, kw_only=True)
class UsageExchange:
    """Exchanges the usage of caps with other daemons.

    Attributes:
        caps: The usage caps of this daemon.
        directory: Holds the configuration and the members.
        pool: Connections to peers.
        zone: Failure domain of this daemon's host.
        clock: Returns the monotonic time in seconds.
        random: Source of the jitter.
    """

    caps: usage_caps.UsageCaps
    directory: directory_module.Directory
    pool: upstream.ConnectionPool
    zone: str
    clock: Callable[[], float]
    random: random_module.Random = attrs.field(factory=random_module.Random)
    _partners: Partners = attrs.field(init=False)
    _needed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _rising: asyncio.Event = attrs.field(factory=asyncio.Event)
    _logged_at_by_name: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self._partners = Partners(self.directory.name)

    def handle_configuration(self) -> None:
        """Handles a new configuration."""
        configuration = self.directory.configuration
        assert configuration is not None
        self.caps.apply_organisations(
            configuration.organisation_by_name, self.clock()
        )
        if self.caps.is_needed:
            self._needed.set()
        else:
            self._needed.clear()

    async def run(self) -> None:
        """Exchanges the usage again and again while there are caps."""
        while True:
            await self._needed.wait()
            self._rising.clear()
            await self._exchange()
            self._log_binding_caps()
            await asyncio.sleep(MIN_INTERVAL_S)
            jitter = self.random.uniform(1 - JITTER, 1 + JITTER)
            try:
                async with asyncio.timeout(
                    INTERVAL_S * jitter - MIN_INTERVAL_S
                ):
                    await self._rising.wait()
            except TimeoutError:
                continue

    async def _exchange(self):
        self.caps.sample(self.clock())
        self.caps.daemons = max(1, len(self.directory.member_by_name))
        domain_by_name = {
            name: member.zone
            for name, member in self.directory.member_by_name.items()
            if not member.leaving or name == self.directory.name
        }
        self.caps.forget_other_children(domain_by_name)
        partners = self._partners.choose(domain_by_name, self.clock())
        if not any(kind is Kind.PARENT for kind, _ in partners):
            self.caps.become_first()
        await asyncio.gather(
            *[self._tell(kind, name) for kind, name in partners]
        )
        self.caps.update_caps(self.clock())

    async def _tell(self, kind: Kind, name: str):
        """Tells a peer the own usage, and hears of the others from a parent."""
        now = self.clock()
        body = {
            'name': self.directory.name,
            'domain': self.zone,
            'kind': kind.value,
            'usage': _encode_usage(self.caps.tell(now)),
        }
        request = http_codec.Request(
            method='POST',
            target=peer_protocol.USAGE_PATH,
            body=orjson.dumps(body),
        )
        address = self.directory.member_by_name[name].address
        try:
            response = await self.pool.fetch(address, request, now + TIMEOUT_S)
            if kind is Kind.PARENT:
                data = orjson.loads(response.body)
                self.caps.hear_parent(
                    _decode_usage(data['usage']), bool(data['recent']), now
                )
            succeeded = response.status == 200
        except (
            exceptions.HemlockError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            succeeded = False
            logger.debug(
                'event=usage_not_told peer={} problem={!r}', name, str(error)
            )
        self._partners.record(name, succeeded=succeeded, now=self.clock())

    def handle(self, body: bytes) -> http_codec.Response:
        """Handles the usage that a peer tells.

        Args:
            body: Body of the request.

        Returns:
            A response with the usage of all others if the peer is a child, or
            with status 400 if the body is malformed.
        """
        now = self.clock()
        try:
            data = orjson.loads(body)
            name, domain = str(data['name']), str(data['domain'])
            usage = _decode_usage(data['usage'])
            kind = Kind(data['kind'])
        except (ValueError, KeyError, TypeError) as error:
            return http_codec.Response(status=400, body=str(error).encode())
        if kind is Kind.DOMAIN:
            self.caps.hear_domain(domain, name, usage, now)
            return http_codec.Response(status=200)
        if kind is Kind.FORMER_PARENT:
            self.caps.forget_child(name)
            return http_codec.Response(status=200)
        self.caps.hear_child(name, usage, now)
        if self.caps.is_rising(now):
            self._rising.set()
        others, is_recent = self.caps.usage_beside(name, now)
        return http_codec.Response(
            status=200,
            body=orjson.dumps(
                {'usage': _encode_usage(others), 'recent': is_recent}
            ),
        )

    def _log_binding_caps(self):
        now = self.clock()
        for name, cap in self.caps.cap_by_name.items():
            logged_at = self._logged_at_by_name.get(name, -math.inf)
            if not cap.binds or now - logged_at < LOG_INTERVAL_S:
                continue
            self._logged_at_by_name[name] = now
            logger.info(
                'event=cap_binds organisation={} rate_per_s={} level={:.1f} '
                'demand_per_s={:.1f} refused_here={}',
                name,
                cap.organisation.rate_per_s,
                cap.level,
                cap.demand_per_s,
                cap.refused,
            )


def _encode_usage(usage_by_name: usage_cap.UsageByName) -> dict[str, Any]:
    """Encodes the usage of the organisations with the largest demand."""
    largest = sorted(
        usage_by_name.items(), key=lambda item: -item[1].asked_per_s
    )[:MAX_ORGANISATIONS]
    return {
        name: [round(usage.asked_per_s, 3), round(usage.admitted_per_s, 3)]
        for name, usage in largest
        if usage.asked_per_s or usage.admitted_per_s
    }


def _decode_usage(data: Any) -> dict[str, usage_cap.Usage]:
    """Decodes usage by organisation.

    Raises:
        ValueError: A rate is not a finite non-negative number.
        TypeError: The data has another form.
    """
    result = {}
    for name, (asked, admitted) in dict(data).items():
        usage = usage_cap.Usage(float(asked), float(admitted))
        if not (
            0 <= usage.asked_per_s < math.inf
            and 0 <= usage.admitted_per_s < math.inf
        ):
            raise ValueError(f'the usage of {name!r} is not a rate')
        result[str(name)] = usage
    return result
