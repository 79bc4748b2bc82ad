"""A small platform: objects over HTTP, with rate limits and faults on demand.

Run it with `python -m standins.platform_server --port N`; port 0 takes a free
one. The first line of its output is `port=N`.
"""

import argparse

from twisted.internet import asyncioreactor


def main() -> None:
    """Serves until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    options = parser.parse_args()
    # Klein imports the reactor, so it is chosen before that.
    asyncioreactor.install()
    from twisted.internet import reactor
    from twisted.web import server

    from standins import platform_service

    service = platform_service.PlatformService(reactor)
    site = server.Site(service.app.resource())
    port = reactor.listenTCP(options.port, site, interface='127.0.0.1')
    print(f'port={port.getHost().port}', flush=True)
    reactor.run()


if __name__ == '__main__':
    main()
