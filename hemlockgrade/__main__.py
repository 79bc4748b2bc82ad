"""Runs the daemon with `python -m hemlockgrade`."""

from hemlockgrade import early_signals

# The imports below take long enough for a signal to arrive.
early_signals.catch_reload()

from hemlockgrade import daemon_cli  # noqa: E402

daemon_cli.main()
