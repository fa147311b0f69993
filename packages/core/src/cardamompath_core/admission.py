"""Admission control: refusal of submissions that would miss the deadline."""

from __future__ import annotations

from typing import NamedTuple

from cardamompath_core import types

__all__ = [
    "Load",
    "check_deadline",
    "refuse_no_backend",
]

MIN_RETRY_AFTER = 0.1
"""Minimum delay suggested for a retry, in seconds."""


class Load(NamedTuple):
    """Load of one service, and the work that a submission adds to it."""

    queued_work: float
    """Work ahead of the submission, in expected seconds at speed 1."""
    throughput: float
    """Work completed per second, in the same unit."""
    size: float
    """Work of the submission itself, in the same unit."""


def check_deadline(
    load: Load, timeout: float, waited: bool = False
) -> types.Refused | None:
    """Return a refusal if a submission is expected to miss its deadline.

    A new submission is not refused because of its own size alone, while
    no other work is queued: that size may be an estimate.

    Parameters
    ----------
    load : Load
        Load of the service.
    timeout : float
        Seconds until the deadline.
    waited : bool
        Whether the submission waited for memory before.  It may then be
        refused because of its own size alone.

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
        f"this and the work queued before it take {expected:.2f} s, but the "
        f"deadline is in {timeout:.2f} s; nothing ran"
    )
    retry_after = max(MIN_RETRY_AFTER, expected - timeout)
    return types.Refused("overloaded", reason, retry_after)


def refuse_no_backend(service: str) -> types.Refused:
    """Return the refusal of a task whose service has no backend server."""
    reason = f"service {service!r} has no backend server; nothing ran"
    return types.Refused("no_backend", reason)
