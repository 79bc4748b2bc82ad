"""Settings of the daemon beside one server."""

import attrs


@attrs.frozen(kw_only=True)
class Bounds:
    """What the users allow at most.

    Attributes:
        grace_s: From SIGTERM to the end of the process.
        retry_ratio: Repeated requests of a service, as a part of the first
            ones, over all daemons.
        retry_slack: Repeated requests allowed beyond the ratio.
        exposed_share: Part of a service's requests that a bad version gets.
    """

    grace_s: float
    retry_ratio: float
    retry_slack: float
    exposed_share: float


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of one daemon; all addresses are `ip:port`.

    Attributes:
        name: Name of the host.
        ip: Address of the host.
        zone: Failure domain of the host.
        service: Service of the server beside the daemon.
        server_address: Address of that server.
        caller_address: Where callers on this host send requests.
        peer_address: Where other daemons send requests.
        readiness_address: Where the platform asks whether callers may come.
        heartbeat_address: Where the server beside the daemon reports.
        metrics_address: Where the metrics are read.
        store_address: Address of the store.
        bounds: What the users allow at most.
    """

    name: str
    ip: str
    zone: str
    service: str
    server_address: str
    caller_address: str
    peer_address: str
    readiness_address: str
    heartbeat_address: str
    metrics_address: str
    store_address: str
    bounds: Bounds
