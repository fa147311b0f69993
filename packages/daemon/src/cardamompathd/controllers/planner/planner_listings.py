"""Requests of a planner to read the list of executors."""

from __future__ import annotations

from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "request",
    "set_rate",
]

REQUEST_INTERVAL = 0.1
"""Minimum number of seconds between two requests to read the list of executors
at once."""


def request(state, now):
    """Have the list of executors read at once, unless it was just asked for.

    A planner needs the entries of executors that it has just learned of in
    another way: those that its predecessor held, and new processes.
    """
    if now < state.listing_requested_at + REQUEST_INTERVAL:
        return []
    state.listing_requested_at = now
    return [set_rate(True)]


def set_rate(planning):
    """Return the message that sets how often the list is read."""
    msg = pool_messages.SetListingRate(planning)
    return messages.Send(pool_messages.LISTINGS, msg)
