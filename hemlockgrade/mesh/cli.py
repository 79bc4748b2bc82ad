"""Entry point of the daemon beside one server."""

import asyncio
import signal
import sys

from loguru import logger

from hemlockgrade import event_loop
from hemlockgrade import exceptions
from hemlockgrade import logs
from hemlockgrade.platform import settings as platform_settings


def main() -> None:
    """Runs the daemon until SIGTERM."""
    try:
        path = platform_settings.path()
        settings = platform_settings.load(path)
    except exceptions.HemlockError as error:
        for part in error.parts():
            print(f'error: {part}', file=sys.stderr)
        sys.exit(error.exit_code)
    logs.configure_bounded(settings.name, 'info')

    async def serve():
        # Imported here, because the reactor has to be installed first.
        from twisted.internet import reactor

        from hemlockgrade.mesh import node

        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGINT, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: _reload(path, settings))
        await node.Node(settings, reactor).run(stopping)

    event_loop.run(serve)


def _reload(path: str, current):
    """Checks the changed settings; addresses last as long as the process."""
    try:
        changed = platform_settings.load(path) != current
    except exceptions.HemlockError as error:
        logger.error('event=settings_refused problem={!r}', str(error))
        return
    logger.info('event=settings_reloaded changed={}', changed)


if __name__ == '__main__':
    main()
