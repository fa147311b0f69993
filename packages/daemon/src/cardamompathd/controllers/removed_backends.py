"""Backend servers that left the configuration with tasks in flight.

They are kept until these tasks are counted out of their service.
"""

from __future__ import annotations

from typing import Any

from cardamompathd import messages
from cardamompathd.controllers import service_state

__all__ = [
    "find",
    "keep",
]


def find(state: Any, msg: messages.TaskEnded) -> service_state.Backend | None:
    """Return the backend server that a task was in flight to."""
    for backend in state.withdrawn.get(msg.backend, ()):
        if msg.task in backend.flights:
            return backend
    return state.backends.get(msg.backend)


def keep(state: Any, known: dict[str, service_state.Backend]) -> None:
    """Keep what left with tasks in flight until these are counted out."""
    gone = [one for several in state.withdrawn.values() for one in several]
    for name, backend in known.items():
        if state.backends.get(name) is not backend:
            gone.append(backend)
    state.withdrawn = {}
    for backend in gone:
        if backend.flights:
            name = backend.spec.name
            state.withdrawn.setdefault(name, []).append(backend)
