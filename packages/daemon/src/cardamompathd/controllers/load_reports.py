"""What the peers are told of the load of this instance."""

from __future__ import annotations

from typing import Any

from cardamompath_core import types
from cardamompathd import messages

__all__ = [
    "report",
]


def report(state: Any) -> list[messages.Send]:
    """Tell the peers when work begins or ceases to wait here.

    Parameters
    ----------
    state : BackendsState
        State of the backend servers; what was told is kept in it.
    """
    queued = sum(len(one.queue) for one in state.services.values())
    if bool(queued) == bool(state.reported.queued):
        return []
    in_flight = sum(one.server.in_flight for one in state.backends.values())
    limit = sum(one.server.home_slots for one in state.backends.values())
    state.reported = types.LoadHint(queued, in_flight, limit)
    told = messages.LoadReport(state.reported)
    return [messages.Send(messages.MEMBERSHIP, told)]
