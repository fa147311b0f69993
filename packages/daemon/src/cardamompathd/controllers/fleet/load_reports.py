"""Load reports of this instance to its peers."""

from __future__ import annotations

from typing import Any

from cardamompath_core import types
from cardamompathd import messages

__all__ = [
    "report",
]


def report(state: Any) -> list[messages.Send]:
    """Report the load when a backlog begins or ends here.

    Parameters
    ----------
    state : BackendsState
        State of the backend servers, which keeps the last report.
    """
    queued = sum(len(service.queue) for service in state.services.values())
    if bool(queued) == bool(state.reported_load.queued):
        return []
    in_flight = sum(
        backend.server.in_flight for backend in state.backends.values()
    )
    limit = sum(
        backend.server.home_slots for backend in state.backends.values()
    )
    state.reported_load = types.LoadHint(queued, in_flight, limit)
    load_report = messages.LoadReport(state.reported_load)
    return [messages.Send(messages.MEMBERSHIP, load_report)]
