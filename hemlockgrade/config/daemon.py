"""Settings of hemlockgraded."""

import attrs

from hemlockgrade.config import base

LOG_LEVELS = ('debug', 'info', 'warning', 'error')


@attrs.frozen(kw_only=True)
class DaemonSettings:
    """Settings of one daemon.

    Attributes:
        daemon_id: Identifier of this daemon and of its proxy.
        failure_domain: Failure domain of the host.
        proxy_address: Where callers on this host send requests.
        admission_address: Where other daemons send requests for the targets
            of this host.
        control_address: Where other daemons subscribe.
        administration_address: Where the administration API listens.
        local_address: Where the targets of this host announce themselves.
        administration_token: Secret that every call of the administration
            API carries.
        platform_url: Base URL of the platform's object API.
        platform: Plug-in that speaks to the platform.
        seed_addresses: Control addresses to try before any other is known.
        balancer: Plug-in that chooses a target.
        judge: Plug-in that judges new versions.
        limiter: Plug-in that admits work.
        plugins: Further plug-ins, in the order in which they get events.
        fan_out: Subscribers that a relay accepts.
        root_slots: Root relays of a failure domain.
        drain_timeout_s: Time allowed for requests in flight at a stop.
        log_level: Least level that is logged.
    """

    daemon_id: str = base.text()
    failure_domain: str = base.text()
    proxy_address: str = base.address()
    admission_address: str = base.address()
    control_address: str = base.address()
    administration_address: str = base.address()
    local_address: str = base.address()
    administration_token: str = base.token()
    platform_url: str = attrs.field(
        validator=attrs.validators.matches_re(r'https?://.+'),
        metadata={'remedy': 'use a URL, for example http://10.0.0.2:7000'},
    )
    platform: str = base.text(default='http')
    seed_addresses: tuple[str, ...] = base.address_list(default=())
    balancer: str = base.text(default='least_loaded')
    judge: str = base.text(default='sequential')
    limiter: str = base.text(default='slots')
    plugins: tuple[str, ...] = ('timeline',)
    fan_out: int = base.positive(default=8)
    root_slots: int = base.positive(default=3)
    drain_timeout_s: float = base.positive(default=30.0)
    log_level: str = attrs.field(
        default='info',
        validator=attrs.validators.in_(LOG_LEVELS),
        metadata={'remedy': f'use one of {", ".join(LOG_LEVELS)}'},
    )
