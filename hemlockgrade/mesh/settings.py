"""Settings of the daemon beside one server."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class Bounds:
    """What the users allow at most.

    Attributes:
        drain_s: From a server's acknowledged leave to its last new request.
        grace_s: From SIGTERM to the end of the process.
        configuration_s: From an accepted configuration to its effect.
        retry_ratio: Repeated requests of a service, as a part of the first
            ones, over all daemons.
        retry_window_s: Time over which they are counted.
        retry_slack: Repeated requests allowed beyond the ratio.
        exposed_share: Part of a service's requests that a bad version gets.
        exposed_slack: Requests of a bad version beyond that share.
        rollback_s: From shown failures of a version to its last request.
    """

    drain_s: float
    grace_s: float
    configuration_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    exposed_share: float
    exposed_slack: float
    rollback_s: float


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of one daemon; all addresses are `ip:port`.

    Attributes:
        name: Name of the host.
        ip: Address of the host.
        zone: Failure domain of the host.
        regions_by_zone: Region of each failure domain.
        service: Service of the server beside the daemon.
        server_address: Address of that server.
        caller_address: Where callers on this host send requests.
        peer_address: Where other daemons send requests.
        readiness_address: Where the platform asks whether callers may come.
        heartbeat_address: Where the server beside the daemon reports.
        metrics_address: Where the metrics are read.
        heartbeat_interval_s: Usual time between two heartbeats.
        store_address: Address of the store.
        bounds: What the users allow at most.
    """

    name: str
    ip: str
    zone: str
    regions_by_zone: Mapping[str, str]
    service: str
    server_address: str
    caller_address: str
    peer_address: str
    readiness_address: str
    heartbeat_address: str
    metrics_address: str
    heartbeat_interval_s: float
    store_address: str
    bounds: Bounds
