"""The stand-in platform as a process, and a client on the reactor's loop."""

import asyncio
import contextlib
import subprocess
import sys
import urllib.request

import orjson
from twisted.internet import asyncioreactor

if 'twisted.internet.reactor' not in sys.modules:
    asyncioreactor.install(asyncio.new_event_loop())

from hemlockgrade import platform_api  # noqa: E402
from hemlockgrade.plugins import http_platform  # noqa: E402

TEST_TIMEOUT_S = 20


def run(coroutine):
    """Runs a coroutine on the loop of the Twisted reactor."""
    from twisted.internet import reactor

    return reactor._asyncioEventloop.run_until_complete(
        asyncio.wait_for(coroutine, TEST_TIMEOUT_S)
    )


class PlatformProcess:
    """A running stand-in; `client` talks to it, `control` sets its faults."""

    def __init__(self):
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'standins.platform_server'],
            stdout=subprocess.PIPE,
            text=True,
        )
        port = self._process.stdout.readline().strip().removeprefix('port=')
        self._url = f'http://127.0.0.1:{port}'
        self.client = http_platform.HttpPlatform(
            self._url,
            platform_api.CallBudget(1000, 1000),
            'domain-a.host-1',
            call_timeout_s=0.3,
        )

    def control(self, path, body=None):
        """Calls the control path; a body changes something."""
        data = None if body is None else orjson.dumps(body)
        url = f'{self._url}/control/{path}'
        with urllib.request.urlopen(url, data, TEST_TIMEOUT_S) as answer:
            return orjson.loads(answer.read() or 'null')

    def close(self):
        with contextlib.suppress(TimeoutError):
            run(self.client.close())
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()
