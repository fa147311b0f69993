"""The actors that own the connections to the backend servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cardamompathd.backends import connections

__all__ = [
    "Pool",
    "make_pool",
]


class Pool:
    """Starts and keeps one actor for each backend server with requests.

    Only the actor that owns the state of the backend servers uses it.

    Parameters
    ----------
    open_backend : callable
        Starts the actor of a backend server and returns its reference.
    """

    def __init__(self, open_backend: Callable):
        self._open_backend = open_backend
        self._actors: dict[tuple[str, str, int], object] = {}

    def send(self, msg: Any) -> None:
        """Send a message to the actor of its backend server.

        The actor is started if there is none yet.
        """
        spec = msg.backend
        key = (spec.name, spec.host, spec.port)
        actor = self._actors.get(key)
        if actor is None:
            actor = self._actors[key] = self._open_backend()
        actor.tell(msg)

    def disconnect(self, name: str, host: str, port: int) -> None:
        """Stop the actor of a removed backend server, if there is one."""
        actor = self._actors.pop((name, host, port), None)
        if actor is not None:
            actor.stop(block=False)

    def close(self) -> None:
        """Stop the actors, which close their connections."""
        for actor in self._actors.values():
            actor.stop(block=False)
        self._actors.clear()


def make_pool(limits, tell, clock) -> Pool:
    """Make a pool whose actors send `AttemptEnded` with `tell`."""

    def open_backend():
        return connections.start(limits, tell, clock)

    return Pool(open_backend)
