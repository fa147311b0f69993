"""Queue of the tasks that wait for a backend server.

The priority of a job is its arrival time plus a multiple of its remaining
work, and the lowest value goes first: short jobs overtake long ones, but
ageing prevents starvation.  Within a job the longest tasks go first,
because the last task to end determines when the job ends.
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
    "choose_lane",
    "priority",
]

SHORT = 0
LONG = 1

LONG_FACTOR = 2.5
"""Multiple of the typical size above which a kind counts as long."""
LONG_SHARE = 0.75
"""Share of the home slots that long kinds may occupy."""
LONG_BORROWED_SHARE = 0.25
"""Share of the borrowed slots that they may occupy in addition."""
AGEING_FACTOR = 10.0
"""Seconds of waiting that outweigh one second of work."""
SAMPLE_SIZE = 64
"""Minimum number of heap entries sampled to estimate the work ahead."""
MAX_STALE_ENTRIES = 64
"""Number of stale entries tolerated in a heap beyond twice its tasks."""


def choose_lane(size: float, typical: float, known: bool) -> int:
    """Return the lane of a task, `SHORT` or `LONG`.

    Parameters
    ----------
    size, typical : float
        Expected size of the task, and the typical size, in seconds.
    known : bool
        Whether tasks of the kind have been observed.  A size that is only
        declared may be wrong and never makes a task long.
    """
    return LONG if known and size > LONG_FACTOR * typical else SHORT


class QueuedTask(NamedTuple):
    """A queued task."""

    size: float
    """Expected run time in seconds on a backend server of speed 1."""
    index: int
    lane: int


class QueuedJob:
    """The queued tasks of one job.

    Parameters
    ----------
    job : str
        Identifier of the job.
    arrived, deadline : float
        Times in seconds.
    team : str
        Team whose quota is charged.
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
        """Return the indexes of the tasks still queued."""
        return [task.index for lane in self.lanes for task in lane]


class TaskQueue:
    """Queued tasks of one service and team, in two lanes.

    Kinds known to be long have a lane of their own, so that limiting them
    does not block the others.
    """

    def __init__(self):
        self._heaps = ([], [])
        self._order = itertools.count()
        self._lengths = [0, 0]
        self.work = 0.0
        """Queued work in expected seconds."""

    def __len__(self):
        """Return the number of queued tasks."""
        return self._lengths[SHORT] + self._lengths[LONG]

    def length(self, lane: int) -> int:
        """Return the number of queued tasks in a lane."""
        return self._lengths[lane]

    def add(
        self,
        queued: QueuedJob,
        tasks: Iterable[QueuedTask],
        parallelism: float,
    ) -> None:
        """Add tasks of a job.

        Parameters
        ----------
        queued : QueuedJob
            The job.
        tasks : iterable of QueuedTask
            The tasks to add.
        parallelism : float
            Number of tasks that can run at once, over which the work of
            the job is spread.
        """
        for task in tasks:
            queued.lanes[task.lane].append(task)
            self._lengths[task.lane] += 1
            queued.work += task.size
            self.work += task.size
        for lane, lane_tasks in enumerate(queued.lanes):
            if lane_tasks:
                lane_tasks.sort()
                self._push(queued, lane, parallelism)

    def head(self, lane: int) -> tuple[float, QueuedJob] | None:
        """Return the first job of a lane with its priority, if any."""
        heap = self._heaps[lane]
        while heap:
            lowest, _, queued = heap[0]
            if queued.lanes[lane] and not queued.withdrawn:
                return lowest, queued
            heapq.heappop(heap)
        return None

    def pop(self, lane: int, parallelism: float) -> QueuedTask:
        """Remove and return the first task of the first job in a lane."""
        _, queued = self.head(lane)
        task = queued.lanes[lane].pop()
        self._lengths[lane] -= 1
        queued.work -= task.size
        self.work = self.work - task.size if len(self) else 0.0
        heap = self._heaps[lane]
        if queued.lanes[lane]:
            # The remaining work shrank, so the job stays at the front.
            entry = (
                _priority(queued, lane, parallelism),
                next(self._order),
                queued,
            )
            heapq.heapreplace(heap, entry)
        else:
            heapq.heappop(heap)
        return task

    def withdraw(self, queued: QueuedJob) -> list[int]:
        """Remove the remaining tasks of a job and return their indexes."""
        queued.withdrawn = True
        remaining = queued.indexes()
        if not remaining:
            return remaining
        for lane, tasks in enumerate(queued.lanes):
            self._lengths[lane] -= len(tasks)
            tasks.clear()
        self.work = self.work - queued.work if len(self) else 0.0
        queued.work = 0.0
        self._compact()
        return remaining

    def work_ahead(self, priority: float) -> float:
        """Estimate the work ahead of a priority, from a sample of jobs."""
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

    def _push(self, queued, lane, parallelism):
        entry = (
            _priority(queued, lane, parallelism),
            next(self._order),
            queued,
        )
        heapq.heappush(self._heaps[lane], entry)

    def _compact(self):
        """Remove stale entries once they outnumber the live ones."""
        for lane, heap in enumerate(self._heaps):
            if len(heap) <= 2 * self._lengths[lane] + MAX_STALE_ENTRIES:
                continue
            live = [entry for entry in heap if entry[2].lanes[lane]]
            heap[:] = live
            heapq.heapify(heap)


def priority(
    arrived: float, longest: float, work: float, parallelism: float
) -> float:
    """Return the priority of a job; the lowest goes first.

    Parameters
    ----------
    arrived : float
        Arrival time in seconds.
    longest, work : float
        Expected seconds of the longest remaining task, and of all of them.
    parallelism : float
        Number of tasks that can run at once.
    """
    return arrived + AGEING_FACTOR * max(longest, work / parallelism)


def _priority(queued, lane, parallelism):
    longest = queued.lanes[lane][-1].size
    return priority(queued.arrived, longest, queued.work, parallelism)
