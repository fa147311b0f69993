"""Refusal of submissions that cannot make their deadline."""

from __future__ import annotations

from typing import NamedTuple

from cardamompath_core import types

__all__ = [
    "Load",
    "check_deadline",
    "refuse_no_backend",
]

LEAST_RETRY = 0.1
"""Shortest time after which another attempt is suggested, in seconds."""


class Load(NamedTuple):
    """What a submission finds at one service, and what it brings."""

    queued_work: float
    """Expected seconds of work that goes first, at speed 1."""
    throughput: float
    """Seconds of such work that are done in a second."""
    size: float
    """Expected seconds of the submission's own work."""


def check_deadline(
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
    idle = load.queued_work <= 0.0 and not waited
    if idle or load.throughput <= 0.0:
        return None
    expected = (load.queued_work + load.size) / load.throughput
    if expected <= timeout:
        return None
    reason = (
        f"what goes first and this take {expected:.2f} s, the deadline is in "
        f"{timeout:.2f} s; nothing ran"
    )
    later = max(LEAST_RETRY, expected - timeout)
    return types.Refused("overloaded", reason, later)


def refuse_no_backend(service: str) -> types.Refused:
    """Make the refusal of a task that fits no backend server."""
    reason = f"service {service!r} has no backend server; nothing ran"
    return types.Refused("no_backend", reason)
