"""hemlockgraded: the daemon of one host."""

import asyncio
import signal
import sys

import fire
from loguru import logger

from hemlockgrade import event_loop
from hemlockgrade import exceptions
from hemlockgrade import logs
from hemlockgrade.config import base
from hemlockgrade.config import daemon as daemon_settings


class Commands:
    """The daemon of one host: configuration, membership and requests."""

    def run(self, settings):
        """Runs the daemon until SIGTERM or SIGINT.

        Example: hemlockgraded run /etc/hemlockgraded.json
        """
        loaded = base.load(str(settings), daemon_settings.DaemonSettings)
        logs.configure(
            loaded.daemon_id,
            loaded.log_level,
            secrets=(loaded.administration_token,),
        )
        _run(loaded)

    def check(self, settings):
        """Lists everything that is wrong in a settings file.

        Example: hemlockgraded check /etc/hemlockgraded.json
        """
        base.load(str(settings), daemon_settings.DaemonSettings)
        print('no errors')


def _run(settings: daemon_settings.DaemonSettings):
    async def serve():
        # Imported here, because the reactor has to be installed first.
        from twisted.internet import reactor

        from hemlockgrade import daemon

        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        try:
            await daemon.Daemon(settings, reactor).run(stopping)
        except Exception as error:
            logger.error('event=daemon_failed problem={!r}', str(error))
            raise

    event_loop.run(serve)


def main():
    """Entry point of the console script."""
    try:
        fire.Fire(Commands, name='hemlockgraded')
    except exceptions.HemlockError as error:
        for part in error.parts():
            print(f'error: {part}', file=sys.stderr)
        sys.exit(error.exit_code)
