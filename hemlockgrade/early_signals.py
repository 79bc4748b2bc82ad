"""Remembers a request to reload that arrives while the daemon starts."""

import signal

_reload_requested = False


def catch_reload() -> None:
    """Keeps SIGHUP from ending the process until its handler is installed."""
    signal.signal(signal.SIGHUP, _remember_reload)


def reload_requested() -> bool:
    """Returns whether SIGHUP has arrived since `catch_reload`."""
    return _reload_requested


def _remember_reload(signal_number, frame) -> None:
    global _reload_requested
    _reload_requested = True
