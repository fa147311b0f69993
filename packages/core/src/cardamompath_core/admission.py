"""Refusal of submissions that cannot make their deadline."""

from __future__ import annotations

from typing import NamedTuple

from cardamompath_core import types

__all__ = [
    "Load",
    "judge",
    "make_no_backend",
]

LEAST_RETRY = 0.1
"""Shortest time after which another attempt is suggested, in seconds."""


class Load(NamedTuple):
    """What a submission finds at one service, and what it brings."""

    queued: float
    """Expected seconds of work that goes first, at speed 1."""
    width: float
    """Seconds of such work that are done in a second."""
    size: float
    """Expected seconds of the submission's own work."""


def judge(
    load: Load, timeout: float, waited: bool = False
) -> types.Refused | None:
    """Refuse a submission that is expected to miss its deadline.

    One that just came is not refused for its own size while nothing
    waits: that size may be a guess.

    Parameters
    ----------
    load : Load
        The service's load.
    timeout : float
        Seconds until the deadline.
    waited : bool
        Whether it waited for memory before: it is refused then also for
        its own size alone.

    Returns
    -------
    Refused or None
        None if the submission is to be accepted.
    """
    idle = load.queued <= 0.0 and not waited
    if idle or load.width <= 0.0:
        return None
    expected = (load.queued + load.size) / load.width
    if expected <= timeout:
        return None
    reason = (
        f"what goes first and this take {expected:.2f} s, the deadline is in "
        f"{timeout:.2f} s; nothing ran"
    )
    later = max(LEAST_RETRY, expected - timeout)
    return types.Refused("overloaded", reason, later)


def make_no_backend(service: str) -> types.Refused:
    """Make the refusal of a task that fits no backend server."""
    reason = f"service {service!r} has no backend server; nothing ran"
    return types.Refused("no_backend", reason)
