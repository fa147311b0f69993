"""Leases of incarnations: when to renew, start, give up and declare.

An owner counts its lease from the time before the renewal was sent; its
peers count from the time at which they read it, and add a margin.  So a
lease has lapsed at its owner before any peer may declare it dead, as
long as two clocks differ by less than the margin over one lease.
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
"""End of the lease of an incarnation that was never announced: no peer
can declare it dead."""

NEVER = -math.inf
"""End of the lease of an incarnation that lapsed or died."""


class LeaseTimes(NamedTuple):
    """Times that all instances agree on, in seconds."""

    duration: float = 9.0
    """From the renewal until the lease lapses."""
    margin: float = 3.0
    """What peers wait beyond the length."""


def lease_end(sent: float, terms: LeaseTimes) -> float:
    """Return the end of a lease whose renewal was sent at a time."""
    return sent + terms.duration


def may_start(until: float, now: float) -> bool:
    """Return whether an owner may start tasks under a lease."""
    return now < until


def is_renewal_due(renewed: float, terms: LeaseTimes, now: float) -> bool:
    """Return whether a renewal is to be sent."""
    return now - renewed >= terms.duration / 3.0


def is_renewal_overdue(renewed: float, terms: LeaseTimes, now: float) -> bool:
    """Return whether a renewal is overdue by a third of the lease.

    Parameters
    ----------
    renewed : float
        When the last renewal that is known to be in the log was sent.
    """
    return now - renewed >= terms.duration * 2.0 / 3.0


def may_declare_dead(heard: float, terms: LeaseTimes, now: float) -> bool:
    """Return whether a peer may be declared dead.

    Parameters
    ----------
    heard : float
        When the peer's last renewal was read.
    """
    return now - heard > terms.duration + terms.margin
