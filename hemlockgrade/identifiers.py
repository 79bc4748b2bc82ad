"""Identifiers of hosts, failure domains, servers, services and versions."""

# Longest identifier, in characters. Identifiers are sent in headers.
MAX_LENGTH = 255


def is_identifier(text: str) -> bool:
    """Returns whether a text is usable in headers, logs and names.

    It has 1 to `MAX_LENGTH` printable characters, so that it has neither
    control characters nor lone surrogates.
    """
    return 0 < len(text) <= MAX_LENGTH and text.isprintable()
