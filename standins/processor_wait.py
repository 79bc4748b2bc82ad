"""Time for which processes waited for a processor, for tests with limits."""

from collections.abc import Iterable
import pathlib


def total_s(pids: Iterable[int | str] = ()) -> float:
    """Returns how long this and other processes waited for a processor.

    Source: Linux, "Scheduler Statistics" (`/proc/<pid>/schedstat`). A wait is
    counted when the process runs again.

    Args:
        pids: Other processes.

    Returns:
        Sum over the processes since their start, in seconds; without those that
        have ended.
    """
    total_ns = 0
    for pid in ('self', *pids):
        try:
            text = pathlib.Path(f'/proc/{pid}/schedstat').read_text()
        except OSError:
            continue
        total_ns += int(text.split()[1])
    return total_ns / 1e9
