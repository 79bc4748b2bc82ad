"""Command line of hemlockgraded, the daemon that runs on each host."""

import asyncio
import os
import signal
import sys

from hemlockgrade import early_signals
from hemlockgrade import event_loop
from hemlockgrade import exceptions
from hemlockgrade import logs
from hemlockgrade.config import base
from hemlockgrade.config import daemon as daemon_settings
from hemlockgrade.platform import settings_path

# The platform passes the path of the settings only in an environment variable.
# This path is used if neither that variable nor an argument is given.
DEFAULT_SETTINGS_PATH = 'hemlockgraded.json'


class Commands:
    """Runs the daemon of a host, or checks its settings."""

    def run(self, settings=None):
        """Runs the daemon until SIGTERM or SIGINT.

        Example: hemlockgraded run /etc/hemlockgraded.json
        """
        run_daemon(_settings_path(settings))
        _end_process()

    def check(self, settings=None):
        """Lists all errors in a settings file.

        Example: hemlockgraded check /etc/hemlockgraded.json
        """
        base.load(_settings_path(settings), daemon_settings.DaemonSettings)
        print('no errors')


def _settings_path(settings: object) -> str:
    if settings is not None:
        return str(settings)
    return os.environ.get(
        settings_path.SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH
    )


def run_daemon(path: str) -> None:
    """Runs the daemon until SIGTERM or SIGINT; SIGHUP reloads its settings.

    Args:
        path: Path of the settings file.

    Raises:
        exceptions.HemlockError: The daemon cannot start.
    """
    settings = base.load(path, daemon_settings.DaemonSettings)
    secrets = (settings.administration_token,)
    logs.configure(
        settings.daemon_id, settings.log_level, tuple(filter(None, secrets))
    )

    async def serve():
        # The import has to follow the installation of the asyncio reactor.
        from twisted.internet import reactor

        from hemlockgrade import daemon
        from hemlockgrade import settings_watch

        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        running_daemon = daemon.Daemon(settings, reactor)
        watch = settings_watch.SettingsWatch(
            path, settings, running_daemon.reload
        )
        loop.add_signal_handler(signal.SIGHUP, watch.request_reload)
        if early_signals.reload_requested():
            watch.request_reload()
        await running_daemon.run(stop_requested, watch.run())

    event_loop.run(serve)


def _end_process() -> None:
    """Ends the process of a daemon that has closed all that it owns.

    The clean-up of the interpreter is left out: on a busy machine it takes up
    to a second, and the process has to end within its grace period.
    """
    sys.stdout.flush()
    os._exit(0)


def main() -> None:
    """Entry point of the console script."""
    try:
        if len(sys.argv) == 1:
            # The platform starts the daemon without arguments. Importing fire
            # only for arguments makes that start faster.
            run_daemon(_settings_path(None))
            _end_process()
        import fire

        fire.Fire(Commands, name='hemlockgraded')
    except exceptions.HemlockError as error:
        for single_error in error.single_errors():
            print(f'error: {single_error}', file=sys.stderr)
        sys.exit(error.exit_code)
