"""Reservation of memory for the answers of jobs before they start.

The results of a job are buffered until the last one arrives.  Without
reservations, several incomplete jobs could fill the memory so that none
of them finishes; a job therefore starts only when its whole answer fits.
"""

from __future__ import annotations

import collections
import heapq
from collections.abc import Sequence

from cardamompath_core import types

__all__ = [
    "AnswerSizes",
    "Reservations",
    "priority",
]

DEFAULT_ANSWER_BYTES = 4096.0
"""Expected payload size of an answer of an unknown kind."""
RESULT_OVERHEAD_BYTES = 256
"""Memory that a result takes in addition to its payload."""
MIN_SIZE_GAIN = 0.05
"""Minimum weight of a new answer in the average size of its kind."""
SECONDS_PER_TASK = 0.1
"""Seconds of waiting that outweigh one task."""
MAX_KINDS = 4096
"""Maximum number of kinds kept; others are treated as unknown."""


class _KindSize:
    __slots__ = ("count", "size")

    def __init__(self):
        self.count = 0
        self.size = 0.0


class AnswerSizes:
    """Average sizes of answers by service and kind."""

    def __init__(self):
        self._kinds: dict[tuple[str, str], _KindSize] = {}

    def expected(self, tasks: Sequence[types.TaskSpec]) -> int:
        """Return the expected size of the answers of tasks in bytes."""
        counts = collections.Counter(
            (task.service, task.kind) for task in tasks
        )
        total = 0.0
        for key, count in counts.items():
            kind_size = self._kinds.get(key)
            size = (
                DEFAULT_ANSWER_BYTES if kind_size is None else kind_size.size
            )
            total += count * (RESULT_OVERHEAD_BYTES + size)
        return int(total)

    def observe(self, task: types.TaskSpec, size: int) -> None:
        """Add the size of an answer in bytes to the average."""
        key = task.service, task.kind
        kind_size = self._kinds.get(key)
        if kind_size is None:
            if len(self._kinds) >= MAX_KINDS:
                return
            kind_size = self._kinds[key] = _KindSize()
        kind_size.count += 1
        gain = max(1.0 / kind_size.count, MIN_SIZE_GAIN)
        kind_size.size += gain * (size - kind_size.size)


def priority(now: float, tasks: int) -> float:
    """Return the priority of a waiting job; the lowest goes first.

    Small jobs overtake large ones, but no job is overtaken forever.
    """
    return now + SECONDS_PER_TASK * tasks


class Reservations:
    """Memory reserved by jobs, and the jobs that wait for a reservation.

    Parameters
    ----------
    limit : int
        Maximum number of bytes reserved at a time.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.granted: dict[str, int] = {}
        """Bytes reserved by each job."""
        self.used_bytes = 0
        self.waiting: dict[str, int] = {}
        """Bytes requested by each waiting job."""
        self._order: list[tuple[float, str]] = []

    def reserve(self, job: str, size: int, priority: float) -> bool:
        """Reserve memory for a job, or put it in the waiting queue.

        Parameters
        ----------
        job : str
            Identifier of the job.
        size : int
            Bytes to reserve.
        priority : float
            Priority of the job.  The waiting job with the lowest value is
            granted first; others wait behind it even if they would fit.

        Returns
        -------
        bool
            Whether the job may start now.
        """
        first = self._first()
        if (first is None or priority < first[0]) and self._fits(size):
            self._grant(job, size)
            return True
        self.waiting[job] = size
        heapq.heappush(self._order, (priority, job))
        return False

    def release(self, job: str) -> list[str]:
        """Release the reservation or the waiting entry of a job.

        Returns
        -------
        list of str
            Jobs that waited and may start now, in order.
        """
        self.waiting.pop(job, None)
        self.used_bytes -= self.granted.pop(job, 0)
        granted = []
        while True:
            first = self._first()
            if first is None or not self._fits(self.waiting[first[1]]):
                return granted
            heapq.heappop(self._order)
            self._grant(first[1], self.waiting.pop(first[1]))
            granted.append(first[1])

    def _first(self):
        """Return priority and identifier of the first waiting job."""
        order = self._order
        while order and order[0][1] not in self.waiting:
            heapq.heappop(order)
        return order[0] if order else None

    def _fits(self, size):
        """Return whether a size fits; one above the limit fits alone."""
        return self.used_bytes + size <= self.limit or not self.granted

    def _grant(self, job, size):
        self.granted[job] = size
        self.used_bytes += size
