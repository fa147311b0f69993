"""The simulated clock and the event queue of a run."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

__all__ = [
    "EventQueue",
]


class EventQueue:
    """Events by time; events at the same time run in insertion order."""

    def __init__(self):
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` in `delay` seconds."""
        event = (self.now + delay, next(self._sequence), callback)
        heapq.heappush(self._events, event)

    def advance(self, seconds: float) -> None:
        """Advance the clock and run all events that come due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end
