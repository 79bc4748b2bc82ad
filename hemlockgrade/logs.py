"""Configures the log, which has one line of key=value pairs per event."""

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
# Lines above this rate are dropped and counted. A daemon writes about one line
# per request of its callers; the planned rate is 122 of these per second.
MAX_LINES_PER_S = 400
MAX_BURST_LINES = 1000
# Lines are dropped and counted while more bytes than this are buffered, because
# the reader of the log is slow.
MAX_BUFFERED_LOG_BYTES = 256 * 1024


@attrs.define(eq=False)
class NonBlockingWriter:
    """Writes log lines without blocking on a slow reader.

    A line is dropped if more than `MAX_BUFFERED_LOG_BYTES` are buffered or if
    the line rate is exceeded. A later log line reports how many were dropped.

    Attributes:
        descriptor: File descriptor of the log; set to non-blocking mode.
        dropped_lines: Number of lines dropped so far.
    """

    descriptor: int
    dropped_lines: int = 0
    _reported_dropped_lines: int = 0
    _buffer: bytearray = attrs.field(factory=bytearray)
    _rate_limit: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(
            MAX_LINES_PER_S, MAX_BURST_LINES
        )
    )

    def __attrs_post_init__(self):
        os.set_blocking(self.descriptor, False)

    def write(self, line: str) -> None:
        """Writes a line, or drops and counts the line."""
        now = time.monotonic()
        full = len(self._buffer) > MAX_BUFFERED_LOG_BYTES
        if full or self._rate_limit.available(now) < 1:
            self.dropped_lines += 1
            self._flush()
            return
        self._rate_limit.spend(1, now)
        if self.dropped_lines > self._reported_dropped_lines:
            count = self.dropped_lines - self._reported_dropped_lines
            self._buffer += f'event=log_lines_dropped count={count}\n'.encode()
            self._reported_dropped_lines = self.dropped_lines
        self._buffer += line.encode('utf-8', 'replace')
        self._flush()

    def _flush(self):
        try:
            written = os.write(self.descriptor, self._buffer)
        except BlockingIOError:
            # The reader is slow. The next line triggers the next attempt.
            return
        except OSError:
            # The reader is gone, so the failure cannot be reported anywhere.
            self._buffer.clear()
            return
        del self._buffer[:written]


def configure(
    process: str,
    level: str,
    secrets: tuple[str, ...] = (),
    write: Callable[[str], Any] | None = None,
) -> None:
    """Configures the logger; lines go to standard output by default.

    Standard output is written without blocking and with a limited line rate.

    Args:
        process: Identifier of the process; part of every line.
        level: Lowest level that is logged.
        secrets: Texts that are replaced by `REDACTED_TEXT` in every message.
        write: Called with each line instead of writing to standard output.
    """

    def redact_secrets(record):
        for secret in secrets:
            record['message'] = record['message'].replace(secret, REDACTED_TEXT)

    logger.remove()
    logger.configure(extra={'process': process}, patcher=redact_secrets)
    logger.add(
        write or NonBlockingWriter(sys.stdout.fileno()).write,
        format=_FORMAT,
        level=level.upper(),
        backtrace=False,
        diagnose=False,
    )
