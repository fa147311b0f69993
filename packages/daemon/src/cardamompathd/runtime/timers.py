"""The task that owns all timers of the instance."""

from __future__ import annotations

import heapq
import itertools
import queue
import threading
from collections.abc import Callable

from cardamompathd import messages

__all__ = [
    "TimerTask",
    "start",
]


class TimerTask(threading.Thread):
    """Delivers `TimerFired` when a timer comes due.

    Parameters
    ----------
    deliver : callable
        Called with a `Send`.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        deliver: Callable[[messages.Send], None],
        clock: Callable[[], float],
    ):
        super().__init__(name="timers", daemon=True)
        self._deliver = deliver
        self._clock = clock
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._heap: list[tuple[float, int, messages.SetTimer]] = []
        self._order = itertools.count()

    def tell(self, msg: messages.SetTimer | None) -> None:
        """Set a timer; None ends the task."""
        self._inbox.put(msg)

    def run(self) -> None:
        """Wait for the next message or the next due timer."""
        while True:
            try:
                msg = self._inbox.get(timeout=self._wait())
            except queue.Empty:
                self._fire()
                continue
            if msg is None:
                return
            entry = (msg.at, next(self._order), msg)
            heapq.heappush(self._heap, entry)

    def _wait(self):
        if not self._heap:
            return None
        return max(0.0, self._heap[0][0] - self._clock())

    def _fire(self):
        now = self._clock()
        while self._heap and self._heap[0][0] <= now:
            msg = heapq.heappop(self._heap)[2]
            fired = messages.TimerFired(msg.key)
            self._deliver(messages.Send(msg.to, fired))


def start(
    deliver: Callable[[messages.Send], None], clock: Callable[[], float]
) -> TimerTask:
    """Start the task of the timers."""
    task = TimerTask(deliver, clock)
    task.start()
    return task
