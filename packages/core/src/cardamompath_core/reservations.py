"""Memory reserved for the answers of jobs before they start.

Results of a job are held until its last one is there.  Jobs that each
hold a part of the memory could fill it so that none finishes; so a job
starts only when there is room for its whole answer.
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
"""Expected size of an answer of an unknown kind."""
RESULT_OVERHEAD_BYTES = 256
"""Memory of a result beside its payload."""
SIZE_GAIN = 0.05
"""Weight of one more answer of a well-known kind."""
SECONDS_PER_TASK = 0.1
"""Seconds of waiting that make up for one task more."""
MAX_KINDS = 4096
"""Kinds whose sizes are kept; more are treated as unknown."""


class _Kind:
    __slots__ = ("count", "size")

    def __init__(self):
        self.count = 0
        self.size = 0.0


class AnswerSizes:
    """Learned sizes of answers by service and kind."""

    def __init__(self):
        self._kinds: dict[tuple[str, str], _Kind] = {}

    def expected(self, tasks: Sequence[types.TaskSpec]) -> int:
        """Return the bytes that the answers of tasks are expected to take."""
        counts = collections.Counter((one.service, one.kind) for one in tasks)
        total = 0.0
        for key, count in counts.items():
            known = self._kinds.get(key)
            size = DEFAULT_ANSWER_BYTES if known is None else known.size
            total += count * (RESULT_OVERHEAD_BYTES + size)
        return int(total)

    def observe(self, task: types.TaskSpec, size: int) -> None:
        """Learn from an answer of so many bytes."""
        key = task.service, task.kind
        known = self._kinds.get(key)
        if known is None:
            if len(self._kinds) >= MAX_KINDS:
                return
            known = self._kinds[key] = _Kind()
        known.count += 1
        gain = max(1.0 / known.count, SIZE_GAIN)
        known.size += gain * (size - known.size)


def priority(now: float, tasks: int) -> float:
    """Return the place of a job among those that wait.

    Small jobs go ahead, and what waits long enough goes first.
    """
    return now + SECONDS_PER_TASK * tasks


class Reservations:
    """Who holds how much of a share of the memory, and who waits.

    Parameters
    ----------
    share : int
        Bytes that may be reserved at a time.
    """

    def __init__(self, share: int):
        self.share = share
        self.granted: dict[str, int] = {}
        self.used_bytes = 0
        self.waiting: dict[str, int] = {}
        """Bytes wanted by the jobs that wait."""
        self._order: list[tuple[float, str]] = []

    def reserve(self, job: str, size: int, priority: float) -> bool:
        """Reserve for a job, or let it wait for its turn.

        Parameters
        ----------
        job : str
            Identifier of the job.
        size : int
            Bytes wanted.
        place : float
            Among those that wait the least goes first, and none of the
            others goes before it.

        Returns
        -------
        bool
            Whether the job may start now.
        """
        first = self._first()
        if (first is None or priority < first[0]) and self._fits(size):
            self._hold(job, size)
            return True
        self.waiting[job] = size
        heapq.heappush(self._order, (priority, job))
        return False

    def release(self, job: str) -> list[str]:
        """Give back what a job held or waited for.

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
            self._hold(first[1], self.waiting.pop(first[1]))
            granted.append(first[1])

    def _first(self):
        """Return the place and the name of the job whose turn is next."""
        order = self._order
        while order and order[0][1] not in self.waiting:
            heapq.heappop(order)
        return order[0] if order else None

    def _fits(self, size):
        """Return whether a job fits; one above the share goes alone."""
        return self.used_bytes + size <= self.share or not self.granted

    def _hold(self, job, size):
        self.granted[job] = size
        self.used_bytes += size
