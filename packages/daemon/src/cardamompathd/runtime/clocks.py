"""The clocks that the runtime hands to the decisions."""

from __future__ import annotations

import time

__all__ = [
    "boottime",
]


def boottime() -> float:
    """Return the seconds since boot, time in suspend included.

    A lease has to lapse while the machine is suspended, which
    ``time.monotonic`` does not see.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
