"""Free connections to each backend server."""

from __future__ import annotations

from collections.abc import Callable

from cardamompathd import messages
from cardamompathd.backends import connections

__all__ = [
    "Pool",
    "make_pool",
]


class Pool:
    """Connections that are free, by backend server.

    Only the actor that owns the backend servers' state uses it.  The
    in-flight limits of that state bound the number of connections.

    Parameters
    ----------
    open_connection : callable
        Starts a connection actor and returns its reference.
    """

    def __init__(self, open_connection: Callable):
        self._open = open_connection
        self._free: dict[str, list] = {}

    def start(self, msg: messages.StartTask) -> None:
        """Hand a task to a free connection, or to a new one."""
        free = self._free.setdefault(msg.backend.name, [])
        conn = free.pop() if free else self._open()
        conn.tell(msg)

    def release(self, msg: connections.ConnectionEnded) -> None:
        """Take back a connection that finished its exchange."""
        self._free[msg.ended.backend].append(msg.conn)

    def close(self) -> None:
        """Stop the connections that are free."""
        for free in self._free.values():
            for conn in free:
                conn.stop(block=False)
        self._free.clear()


def make_pool(limits, tell, clock) -> Pool:
    """Make a pool whose connections report to `tell`."""

    def open_connection():
        return connections.ConnectionActor.start(limits, tell, clock)

    return Pool(open_connection)
