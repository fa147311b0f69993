"""A fake clock and the one queue of events of a run."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

__all__ = [
    "EventQueue",
]


class EventQueue:
    """Events in order of time, and of their making at equal times."""

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, delay: float, run: Callable[[], None]) -> None:
        """Run a function `delay` seconds from now."""
        entry = (self.now + delay, next(self._order), run)
        heapq.heappush(self._heap, entry)

    def advance(self, seconds: float) -> None:
        """Run all events of the next seconds."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, run = heapq.heappop(self._heap)
            run()
        self.now = end
