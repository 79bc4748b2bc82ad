"""Addresses of the form `host:port`."""


def split(address: str) -> tuple[str, int]:
    """Splits `host:port`.

    Raises:
        ValueError: The text has no valid port.
    """
    host, _, port = address.rpartition(':')
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f'{address!r} is not host:port')
    return host, int(port)
