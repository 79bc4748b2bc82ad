"""hemlockgraded: the daemon of one host."""

import asyncio
import os
import signal
import sys

from hemlockgrade import event_loop
from hemlockgrade import exceptions
from hemlockgrade import logs
from hemlockgrade.config import base
from hemlockgrade.config import daemon as daemon_settings
from hemlockgrade.platform import settings_path

# Beside a server the platform names the settings, and nothing else.
DEFAULT_SETTINGS_PATH = 'hemlockgraded.json'


class Commands:
    """The daemon of one host: configuration, membership and requests."""

    def run(self, settings=None):
        """Runs the daemon until SIGTERM or SIGINT.

        Example: hemlockgraded run /etc/hemlockgraded.json
        """
        run_daemon(_path(settings))

    def check(self, settings=None):
        """Lists everything that is wrong in a settings file.

        Example: hemlockgraded check /etc/hemlockgraded.json
        """
        base.load(_path(settings), daemon_settings.DaemonSettings)
        print('no errors')


def _path(settings: object) -> str:
    if settings is not None:
        return str(settings)
    return os.environ.get(settings_path.VARIABLE, DEFAULT_SETTINGS_PATH)


def run_daemon(path: str) -> None:
    """Runs the daemon until SIGTERM or SIGINT; SIGHUP reads its settings.

    Args:
        path: The settings file.

    Raises:
        exceptions.HemlockError: The daemon cannot start.
    """
    settings = base.load(path, daemon_settings.DaemonSettings)
    secrets = (settings.administration_token,)
    logs.configure(
        settings.daemon_id, settings.log_level, tuple(filter(None, secrets))
    )

    async def serve():
        # Imported here, because the reactor has to be installed first.
        from twisted.internet import reactor

        from hemlockgrade import daemon
        from hemlockgrade import settings_watch

        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        running = daemon.Daemon(settings, reactor)
        watch = settings_watch.SettingsWatch(path, settings, running.reload)
        loop.add_signal_handler(signal.SIGHUP, watch.request_reload)
        await running.run(stopping, watch.run())

    event_loop.run(serve)


def main() -> None:
    """Entry point of the console script."""
    try:
        if len(sys.argv) == 1:
            # Beside a server; the command-line library takes start-up time.
            run_daemon(_path(None))
            return
        import fire

        fire.Fire(Commands, name='hemlockgraded')
    except exceptions.HemlockError as error:
        for part in error.single_errors():
            print(f'error: {part}', file=sys.stderr)
        sys.exit(error.exit_code)
