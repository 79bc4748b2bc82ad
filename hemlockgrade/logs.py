"""Set-up of the log: one line of key=value pairs for each event."""

from collections.abc import Callable
import os
import sys
import time
from typing import Any

import attrs
from loguru import logger

from hemlockgrade import token_bucket

_FORMAT = (
    'time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level.name} '
    'process={extra[process]} {message}'
)
REDACTED_TEXT = '(hidden)'
# Lines a second above which lines are dropped and counted; a daemon writes
# about one a request, and 122 requests a second are planned for.
MAX_LINES_PER_S = 400
MAX_BURST_LINES = 1000
# Bytes that wait for a reader that is slow.
MAX_BUFFERED_LOG_BYTES = 256 * 1024


@attrs.define(eq=False)
class NonBlockingWriter:
    """Writes log lines without ever waiting for their reader.

    Attributes:
        descriptor: File descriptor, which is set not to block.
        dropped_lines: Lines dropped so far.
    """

    descriptor: int
    dropped_lines: int = 0
    _reported: int = 0
    _waiting: bytearray = attrs.field(factory=bytearray)
    _bucket: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(
            MAX_LINES_PER_S, MAX_BURST_LINES
        )
    )

    def __attrs_post_init__(self):
        os.set_blocking(self.descriptor, False)

    def write(self, line: str) -> None:
        """Writes a line, or drops and counts it."""
        now = time.monotonic()
        full = len(self._waiting) > MAX_BUFFERED_LOG_BYTES
        if full or self._bucket.available(now) < 1:
            self.dropped_lines += 1
            self._flush()
            return
        self._bucket.spend(1, now)
        if self.dropped_lines > self._reported:
            count = self.dropped_lines - self._reported
            self._waiting += f'event=log_lines_dropped count={count}\n'.encode()
            self._reported = self.dropped_lines
        self._waiting += line.encode('utf-8', 'replace')
        self._flush()

    def _flush(self):
        try:
            written = os.write(self.descriptor, self._waiting)
        except BlockingIOError:
            # The reader is slow; the next line tries again.
            return
        except OSError:
            # Nobody reads any more, so there is nowhere to tell it.
            self._waiting.clear()
            return
        del self._waiting[:written]


def configure(
    process: str,
    level: str,
    secrets: tuple[str, ...] = (),
    write: Callable[[str], Any] | None = None,
) -> None:
    """Sends the log to standard output, bounded and without waiting.

    Args:
        process: Identifier of the process, in every line.
        level: Least level that is logged.
        secrets: Texts that are replaced wherever they would appear.
        write: Takes each line instead of standard output.
    """

    def hide_secrets(record):
        for secret in secrets:
            record['message'] = record['message'].replace(secret, REDACTED_TEXT)

    logger.remove()
    logger.configure(extra={'process': process}, patcher=hide_secrets)
    logger.add(
        write or NonBlockingWriter(sys.stdout.fileno()).write,
        format=_FORMAT,
        level=level.upper(),
        backtrace=False,
        diagnose=False,
    )
