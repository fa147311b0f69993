"""Backend servers removed from the configuration with tasks in flight.

They are kept until these tasks end, so that the counts of tasks in
flight of their service stay right.
"""

from __future__ import annotations

from typing import Any

from cardamompathd import messages
from cardamompathd.controllers.backends import service_state

__all__ = [
    "find_backend",
    "keep_removed",
]


def find_backend(
    state: Any, msg: messages.AttemptEnded
) -> service_state.Backend | None:
    """Return the backend server on which an ended task was in flight.

    Parameters
    ----------
    state : BackendsState
        State of the backend servers.
    msg : AttemptEnded
        The end of the attempt.
    """
    for backend in state.removed.get(msg.backend, ()):
        if msg.task in backend.attempts:
            return backend
    return state.backends.get(msg.backend)


def keep_removed(
    state: Any, previous: dict[str, service_state.Backend]
) -> None:
    """Keep the removed backend servers that have tasks in flight.

    Parameters
    ----------
    state : BackendsState
        State of the backend servers.
    previous : dict of str to Backend
        Backend servers of the previous configuration, by name.
    """
    removed = [item for items in state.removed.values() for item in items]
    for name, backend in previous.items():
        if state.backends.get(name) is not backend:
            removed.append(backend)
    state.removed = {}
    for backend in removed:
        if backend.attempts:
            name = backend.spec.name
            state.removed.setdefault(name, []).append(backend)
