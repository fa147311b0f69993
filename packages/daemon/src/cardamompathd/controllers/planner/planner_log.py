"""Entries of a planner in the decision log."""

from __future__ import annotations

from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "decision",
]


def decision(event: str, request: str = "", **fields) -> messages.Send:
    """Return the message that logs a decision of the planner."""
    entry = pool_messages.Decision("planner", event, request, fields)
    return messages.Send(pool_messages.DECISION_LOG, entry)
