"""The clock of the controllers."""

from __future__ import annotations

import time

__all__ = [
    "boottime",
]


def boottime() -> float:
    """Return the seconds since boot, including time in suspend.

    A lease has to lapse while the machine is suspended; the clock of
    ``time.monotonic`` stands still then.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
