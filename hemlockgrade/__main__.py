"""Runs the daemon with `python -m hemlockgrade`."""

from hemlockgrade import daemon_cli

daemon_cli.main()
