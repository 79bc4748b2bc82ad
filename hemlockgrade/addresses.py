"""Parsing of addresses of the form `host:port`."""

import ipaddress


def split(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        ValueError: The address has no host or no valid port.
    """
    host, _, port = address.rpartition(':')
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f'{address!r} is not host:port')
    return host, int(port)


def check_ip(address: str) -> None:
    """Checks that the host of an address is an IP address.

    Raises:
        ValueError: The address has no valid port, or its host is a name.
    """
    host, _ = split(address)
    ipaddress.ip_address(host.strip('[]'))
