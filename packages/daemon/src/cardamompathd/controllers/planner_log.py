"""Lines of a planner in the log of decisions."""

from __future__ import annotations

from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "decision",
]


def decision(event: str, request: str = "", **fields) -> messages.Send:
    """Return a line for the log of decisions."""
    one = pool_messages.Decision("planner", event, request, fields)
    return messages.Send(pool_messages.DECISION_LOG, one)
