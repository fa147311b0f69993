"""Addresses of the tasks, and the messages that any of them may send."""

from __future__ import annotations

import math
from typing import Any
from typing import NamedTuple

__all__ = [
    "CALLER_WATCH",
    "CANCELLATION_LOG",
    "CONFIGURATIONS",
    "DECISION_LOG",
    "Decision",
    "EXECUTORS",
    "FLEET",
    "GATEWAY",
    "LINKS",
    "LISTINGS",
    "Leave",
    "LinkFailed",
    "PLANNER",
    "SendToMember",
    "SendToMembers",
    "SetLink",
]

FLEET = "fleet"
GATEWAY = "gateway"
PLANNER = "planner"
LINKS = "links"
EXECUTORS = "executors"
CONFIGURATIONS = "configurations"
"""Reads configurations that other instances send."""
LISTINGS = "listings"
"""Polls the list of registered executors."""
CANCELLATION_LOG = "cancellation_log"
"""Appends cancellations to the store, and reads them at the start."""
CALLER_WATCH = "caller_watch"
"""Notices callers that disconnect."""
DECISION_LOG = "decisions"
"""Writes the decision log."""


class Decision(NamedTuple):
    """An entry of the decision log."""

    part: str
    """Name of the controller that decided."""
    event: str
    request: str
    """Identifier of the batch; empty if no batch is concerned."""
    fields: dict[str, Any]


class LinkFailed(NamedTuple):
    """A link to an address broke or could not be opened."""

    address: tuple[str, int]
    refused: bool
    """Whether the connection was refused: the process is gone, while the
    network path to it works."""


class Leave(NamedTuple):
    """The instance shuts down; hand over its work."""

    time_left: float = math.inf
    """Seconds within which its callers have to be answered."""


class SetLink(NamedTuple):
    """Open and keep a link to an address, or close it."""

    address: tuple[str, int]
    keep: bool


class SendToMember(NamedTuple):
    """Send a message to the member at an address."""

    address: tuple[str, int]
    msg: Any


class SendToMembers(NamedTuple):
    """Send one message to the members at several addresses."""

    addresses: tuple[tuple[str, int], ...]
    msg: Any
