"""Settings of hemlockgraded."""

import attrs

from hemlockgrade.config import base

LOG_LEVELS = ('debug', 'info', 'warning', 'error')
DEFAULT_PLUGINS = (
    'hemlockgrade.plugins.zone_balancer',
    'hemlockgrade.plugins.binomial_judge',
    'hemlockgrade.plugins.slot_limiter',
    'hemlockgrade.plugins.timeline_events',
)


@attrs.frozen(kw_only=True)
class DaemonSettings:
    """Settings of one daemon.

    Attributes:
        daemon_id: Identifier of this daemon and of its proxy.
        failure_domain: Failure domain of the host.
        proxy_address: Where callers on this host send requests.
        admission_address: Where other daemons send requests for the server of
            this host.
        local_address: Where the server of this host reports.
        store_address: Address of the platform's store.
        service: Service of the server of this host; empty for any.
        server_address: Address of that server; empty for any.
        readiness_address: Where the platform asks whether callers may come;
            empty for nowhere.
        metrics_address: Where the metrics are read without a token; empty for
            nowhere.
        administration_address: Where the administration API listens; empty
            for nowhere.
        administration_token: Secret that every call of the administration
            API carries.
        signed_answers: Takes only answers that carry the server's signature.
        retry_ratio: Repeated requests of a service as a part of the first
            ones, over all daemons.
        retry_slack: Repeated requests allowed beyond that.
        exposed_share: Part of a service's requests that a bad version gets.
        drain_timeout_s: Time from SIGTERM to the end of the process.
        balancer: Plug-in that chooses a target.
        judge: Plug-in that judges new versions.
        limiter: Plug-in that admits work.
        plugins: Modules of plug-ins, in the order in which they get events.
        log_level: Least level that is logged.
    """

    daemon_id: str = base.text()
    failure_domain: str = base.text()
    proxy_address: str = base.address()
    admission_address: str = base.address()
    local_address: str = base.address()
    store_address: str = base.address()
    service: str = ''
    server_address: str = base.optional_address()
    readiness_address: str = base.optional_address()
    metrics_address: str = base.optional_address()
    administration_address: str = base.optional_address()
    administration_token: str = base.optional_token()
    signed_answers: bool = False
    retry_ratio: float = base.positive(default=0.2)
    retry_slack: float = base.positive(default=50.0)
    exposed_share: float = base.positive(default=0.1)
    drain_timeout_s: float = base.positive(default=6.0)
    balancer: str = base.text(default='zone')
    judge: str = base.text(default='binomial')
    limiter: str = base.text(default='slots')
    plugins: tuple[str, ...] = DEFAULT_PLUGINS
    log_level: str = attrs.field(
        default='info',
        validator=attrs.validators.in_(LOG_LEVELS),
        metadata={'remedy': f'use one of {", ".join(LOG_LEVELS)}'},
    )

    def __attrs_post_init__(self):
        if self.administration_address and not self.administration_token:
            raise base.key_error(
                'administration_token',
                'is missing',
                'give a secret, or no administration_address',
            )
