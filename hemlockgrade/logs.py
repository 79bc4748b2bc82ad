"""Set-up of the log: one line of key=value pairs for each event."""

import sys

from loguru import logger

_FORMAT = (
    'time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level.name} '
    'process={extra[process]} {message}'
)
HIDDEN = '(hidden)'


def configure(process: str, level: str, secrets: tuple[str, ...] = ()):
    """Sends the log to standard error.

    Args:
        process: Identifier of the process, in every line.
        level: Least level that is logged.
        secrets: Texts that are replaced wherever they would appear.
    """

    def hide_secrets(record):
        for secret in secrets:
            record['message'] = record['message'].replace(secret, HIDDEN)

    logger.remove()
    logger.configure(extra={'process': process}, patcher=hide_secrets)
    logger.add(
        sys.stderr,
        format=_FORMAT,
        level=level.upper(),
        backtrace=False,
        diagnose=False,
    )
