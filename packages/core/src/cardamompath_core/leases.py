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
    "Terms",
    "is_late",
    "is_silent",
    "lasts_until",
    "may_start",
    "renewal_due",
]

FOREVER = math.inf
"""End of the lease of an incarnation that was never announced: no peer
can declare it dead."""

NEVER = -math.inf
"""End of the lease of an incarnation that lapsed or died."""


class Terms(NamedTuple):
    """Times that all instances agree on, in seconds."""

    length: float = 9.0
    """From the renewal until the lease lapses."""
    margin: float = 3.0
    """What peers wait beyond the length."""


def lasts_until(sent: float, terms: Terms) -> float:
    """Return the end of a lease whose renewal was sent at a time."""
    return sent + terms.length


def may_start(until: float, now: float) -> bool:
    """Return whether an owner may start tasks under a lease."""
    return now < until


def renewal_due(renewed: float, terms: Terms, now: float) -> bool:
    """Return whether a renewal is to be sent."""
    return now - renewed >= terms.length / 3.0


def is_late(renewed: float, terms: Terms, now: float) -> bool:
    """Return whether a renewal is overdue by a third of the lease.

    Parameters
    ----------
    renewed : float
        When the last renewal that is known to be in the log was sent.
    """
    return now - renewed >= terms.length * 2.0 / 3.0


def is_silent(heard: float, terms: Terms, now: float) -> bool:
    """Return whether a peer may be declared dead.

    Parameters
    ----------
    heard : float
        When the peer's last renewal was read.
    """
    return now - heard > terms.length + terms.margin
