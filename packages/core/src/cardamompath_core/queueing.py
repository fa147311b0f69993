"""Order of the tasks that wait for a backend server.

A job's place is the time of its arrival plus a multiple of the work that
it has left: short work goes ahead, and what waits long enough goes first
whatever its size.  Within a job the longest tasks go first, because the
last one decides when the job ends.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    "LONG",
    "SHORT",
    "QueuedJob",
    "QueuedTask",
    "TaskQueue",
    "lane",
    "priority",
]

SHORT = 0
LONG = 1

LONG_FACTOR = 2.5
"""A kind is long from this multiple of the usual size on."""
LONG_SHARE = 0.75
"""Share of the home slots that long kinds may take."""
LONG_BORROWED_SHARE = 0.25
"""Share of the borrowed slots that they may take besides."""
AGEING_FACTOR = 10.0
"""Seconds of waiting that make up for one second of work."""
SAMPLE_SIZE = 64
"""Entries of a lane, at least, from which work ahead is estimated."""
MAX_STALE_ENTRIES = 64
"""Dead entries that a lane may hold beyond the live ones."""


def lane(size: float, typical: float, known: bool) -> int:
    """Return the lane of a task.

    Parameters
    ----------
    size, typical : float
        Expected size of the task, and the usual size, in seconds.
    known : bool
        Whether the kind was seen; what is only declared may be wrong.
    """
    return LONG if known and size > LONG_FACTOR * typical else SHORT


class QueuedTask(NamedTuple):
    """A task in the queue of its job."""

    size: float
    """Expected seconds of work on a backend server of speed 1."""
    index: int
    lane: int


class QueuedJob:
    """The tasks of one job that have not started.

    Parameters
    ----------
    job : str
        Identifier of the job.
    arrived, deadline : float
        Times in seconds.
    team : str
        The team that is charged.
    """

    __slots__ = (
        "arrived",
        "deadline",
        "job",
        "lanes",
        "started",
        "team",
        "withdrawn",
        "work",
    )

    def __init__(
        self, job: str, arrived: float, deadline: float, team: str = ""
    ):
        self.job = job
        self.team = team
        self.arrived = arrived
        self.deadline = deadline
        self.lanes: tuple[list[QueuedTask], list[QueuedTask]] = ([], [])
        self.work = 0.0
        self.started = False
        self.withdrawn = False

    def indexes(self) -> list[int]:
        """Return the indexes of the tasks that are left."""
        return [task.index for lane in self.lanes for task in lane]


class TaskQueue:
    """All tasks of one service that wait, in two lanes.

    Kinds known to be long wait in a lane of their own, so that they can
    be held back without holding up the rest.
    """

    def __init__(self):
        self._heaps = ([], [])
        self._order = itertools.count()
        self._lengths = [0, 0]
        self.work = 0.0
        """Expected seconds of work that wait."""

    def __len__(self):
        """Return the number of tasks that wait."""
        return self._lengths[SHORT] + self._lengths[LONG]

    def length(self, lane: int) -> int:
        """Return the number of tasks that wait in a lane."""
        return self._lengths[lane]

    def add(
        self, queued: QueuedJob, tasks: Iterable[QueuedTask], width: float
    ) -> None:
        """Add tasks of a job.

        Parameters
        ----------
        queued : QueuedJob
            The job.
        tasks : iterable of QueuedTask
            Its tasks.
        width : float
            Tasks that can run at once: a job's work is spread over them.
        """
        for task in tasks:
            queued.lanes[task.lane].append(task)
            self._lengths[task.lane] += 1
            queued.work += task.size
            self.work += task.size
        for lane, left in enumerate(queued.lanes):
            if left:
                left.sort()
                self._push(queued, lane, width)

    def head(self, lane: int) -> tuple[float, QueuedJob] | None:
        """Return the place and the job that goes first in a lane."""
        heap = self._heaps[lane]
        while heap:
            first, _, queued = heap[0]
            if queued.lanes[lane] and not queued.withdrawn:
                return first, queued
            heapq.heappop(heap)
        return None

    def pop(self, lane: int, width: float) -> QueuedTask:
        """Take the first task of the first job in a lane."""
        _, queued = self.head(lane)
        task = queued.lanes[lane].pop()
        self._lengths[lane] -= 1
        queued.work -= task.size
        self.work = self.work - task.size if len(self) else 0.0
        heap = self._heaps[lane]
        if queued.lanes[lane]:
            # Its place only moved forward, so it stays at the front.
            entry = (_place(queued, lane, width), next(self._order), queued)
            heapq.heapreplace(heap, entry)
        else:
            heapq.heappop(heap)
        return task

    def withdraw(self, queued: QueuedJob) -> list[int]:
        """Take out what is left of a job; return its indexes."""
        queued.withdrawn = True
        left = queued.indexes()
        if not left:
            return left
        for lane, tasks in enumerate(queued.lanes):
            self._lengths[lane] -= len(tasks)
            tasks.clear()
        self.work = self.work - queued.work if len(self) else 0.0
        queued.work = 0.0
        self._compact()
        return left

    def work_ahead(self, priority: float) -> float:
        """Estimate the work that goes before a place, from a sample."""
        sampled = ahead = 0.0
        for heap in self._heaps:
            step = max(1, len(heap) // SAMPLE_SIZE)
            for other, _, queued in heap[::step]:
                if queued.withdrawn:
                    continue
                sampled += queued.work
                if other <= priority:
                    ahead += queued.work
        return self.work * ahead / sampled if sampled else self.work

    def _push(self, queued, lane, width):
        entry = (_place(queued, lane, width), next(self._order), queued)
        heapq.heappush(self._heaps[lane], entry)

    def _compact(self):
        """Drop the entries of withdrawn jobs once they are the most."""
        for lane, heap in enumerate(self._heaps):
            if len(heap) <= 2 * self._lengths[lane] + MAX_STALE_ENTRIES:
                continue
            live = [entry for entry in heap if entry[2].lanes[lane]]
            heap[:] = live
            heapq.heapify(heap)


def priority(
    arrived: float, longest: float, work: float, width: float
) -> float:
    """Return the place of a job: the least goes first.

    Parameters
    ----------
    arrived : float
        Time of its arrival in seconds.
    longest, work : float
        Expected seconds of its longest task, and of all that is left.
    width : float
        Tasks that can run at once.
    """
    return arrived + AGEING_FACTOR * max(longest, work / width)


def _place(queued, lane, width):
    longest = queued.lanes[lane][-1].size
    return priority(queued.arrived, longest, queued.work, width)
