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
        proxy_address: Listening address for requests of callers on this host.
        admission_address: Listening address for requests of other daemons to
            the local server, the server on this host.
        local_address: Listening address for heartbeats and announcements of
            the local server.
        store_address: Address of the platform's metadata store.
        service: Service of the local server; empty if any service is accepted.
        server_address: Address of the local server; empty if any address is
            accepted.
        readiness_address: Listening address for the platform's readiness
            checks; empty to disable them.
        metrics_address: Listening address for the metrics, which are served
            without a token; empty to disable it.
        administration_address: Listening address of the administration API;
            empty to disable the API.
        administration_token: Bearer token that every call of the
            administration API has to carry, except calls of `/v1/health`.
        signed_answers: Whether a response counts as one of the local server
            only if it carries the server's signature.
        retry_ratio: Maximum number of retries of a service as a fraction of
            its first attempts, over all daemons.
        retry_slack: Number of retries of a service allowed in addition to that
            fraction, over all daemons.
        exposed_share: Maximum fraction of a service's requests that a faulty
            new version may receive.
        link_mbps: Rate at which the host can send, in megabits a second; 0 if
            it is not known, so that large responses are not paced.
        evacuation_limit_ms: Longest time from an operator's order to evacuate a
            failure domain to the last request to its servers, in milliseconds;
            0 if operators give no such orders, which are then not read.
        revocation_limit_ms: Longest time from the withdrawal of a key of an
            organisation to the last request with it, in milliseconds; 0 if a
            daemon that is out of touch may go on with the keys that it knows.
        cap_slack: Number of requests beyond the usage cap of an organisation
            that is allowed in some seconds, over all daemons.
        memory_mb: Memory that the process may use, in megabytes.
        max_descriptors: Number of descriptors that the process may open.
        drain_timeout_s: Time from SIGTERM to the end of the process, in
            seconds.
        balancer: Name of the plug-in that chooses the server of an attempt.
        judge: Name of the plug-in that decides whether a new version is
            faulty.
        limiter: Name of the plug-in that admits requests to the local server.
        plugins: Plug-in modules to import; the event plug-ins receive events
            in this order.
        log_level: Lowest level that is logged.
    """

    daemon_id: str = base.identifier()
    failure_domain: str = base.identifier()
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
    link_mbps: float = base.not_negative(default=0.0)
    evacuation_limit_ms: float = base.not_negative(default=0.0)
    revocation_limit_ms: float = base.not_negative(default=0.0)
    cap_slack: float = base.not_negative(default=0.0)
    memory_mb: float = base.positive(default=256.0)
    max_descriptors: float = base.positive(default=4096.0)
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
                'add a secret or remove administration_address',
            )
