"""Leases of incarnations.

An owner measures its lease from a time before it sent the renewal.  Its
peers measure from the time at which they read the renewal and add a
margin.  A lease has therefore lapsed at its owner before any peer may
declare the owner dead, provided that two clocks drift apart by less than
the margin during one lease.
"""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = [
    "FOREVER",
    "NEVER",
    "LeaseTimes",
    "is_renewal_due",
    "is_renewal_overdue",
    "lease_end",
    "may_declare_dead",
    "may_start",
]

FOREVER = math.inf
"""End of the lease of an incarnation that was never announced, so that no
peer can declare it dead."""

NEVER = -math.inf
"""End of the lease of an incarnation that lapsed or was declared dead."""


class LeaseTimes(NamedTuple):
    """Durations in seconds, which must be the same on all instances."""

    duration: float = 9.0
    """Time from a renewal until the lease lapses."""
    margin: float = 3.0
    """Time that peers wait in addition before they declare a death."""


def lease_end(sent: float, times: LeaseTimes) -> float:
    """Return the end of a lease whose renewal was sent at `sent`."""
    return sent + times.duration


def may_start(until: float, now: float) -> bool:
    """Return whether the owner of a lease until `until` may start tasks."""
    return now < until


def is_renewal_due(renewed: float, times: LeaseTimes, now: float) -> bool:
    """Return whether the next renewal is to be sent."""
    return now - renewed >= times.duration / 3.0


def is_renewal_overdue(renewed: float, times: LeaseTimes, now: float) -> bool:
    """Return whether a renewal is overdue by a third of the lease.

    Parameters
    ----------
    renewed : float
        Time at which the last renewal known to be in the log was sent.
    """
    return now - renewed >= times.duration * 2.0 / 3.0


def may_declare_dead(heard: float, times: LeaseTimes, now: float) -> bool:
    """Return whether a peer may be declared dead.

    Parameters
    ----------
    heard : float
        Time at which the peer's last renewal was read.
    """
    return now - heard > times.duration + times.margin
