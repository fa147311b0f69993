"""Earliest times at which requests can have arrived.

A process may be paused at any moment.  A request that it reads then may have
waited in its connection since the connection was last known to be empty.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

__all__ = [
    "ArrivalClock",
]


class ArrivalClock:
    """Notes when connections were known to be empty.

    The task that selects connections calls `note_selected`; those that answer
    requests call `register` as they give a connection back to it.

    Parameters
    ----------
    listener : object
        Stands for the listener among the selected objects.
    now : float
        A time before which nothing can have arrived, in seconds.
    """

    def __init__(self, listener: Any, now: float):
        self._listener = listener
        self._lock = threading.Lock()
        self._began_at = now
        """When the last selection began."""
        self._empty_at = now
        """When all that it did not report was empty."""
        self._listener_reported = False
        self.accepted_after = now
        """When no connection waited to be accepted."""

    def register(
        self, conn: Any, put: Callable[[Any], None], clock: Callable[[], float]
    ) -> None:
        """Give a connection to the selecting task by a function."""
        with self._lock:
            put(conn)
            conn.registered_at = clock()

    def note_selected(
        self, selected: Sequence[Any], began_at: float, waited: float
    ) -> None:
        """Note which objects were reported, and which were thus empty.

        Parameters
        ----------
        selected : sequence
            Connections with data, and the listener if one can be accepted.
        began_at : float
            When the selection began, in seconds.
        waited : float
            Seconds that it surely waited.
        """
        with self._lock:
            for conn in selected:
                if conn is self._listener:
                    continue
                if conn.registered_at < self._began_at:
                    conn.empty_at = max(conn.empty_at, self._empty_at)
                conn.registered_at = math.inf
        if not self._listener_reported:
            self.accepted_after = self._empty_at
        self._listener_reported = self._listener in selected
        self._began_at = began_at
        self._empty_at = began_at + waited
