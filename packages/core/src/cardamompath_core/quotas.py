"""Shares of the slots by team, with borrowing of what is idle.

A team that has fewer tasks in flight than its part goes before one that
has more.  A team above its part gets the slots that no team below its
part wants, so nothing idle is held back.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import queueing
from cardamompath_core import types

__all__ = [
    "Quotas",
    "TeamQueues",
    "TeamShares",
    "check_team",
    "divide_shares",
]


DEFAULT_TEAM = ""
"""Team that is charged while no teams are configured."""


class TeamShares(NamedTuple):
    """Part of this instance in what each team is entitled to."""

    teams: dict[str, float]
    """Tasks in flight by team; empty if no teams are configured."""
    services: dict[str, tuple[str, ...]]
    """Services that a team's part is for; empty for all."""
    cut_off: bool = False
    """Whether a peer is not heard: only own slots may be borrowed."""


def divide_shares(
    teams: Sequence[types.TeamSpec], instances: int, cut_off: bool
) -> TeamShares:
    """Divide the teams' shares by the number of instances."""
    return TeamShares(
        {one.name: one.share / max(1, instances) for one in teams},
        {one.name: one.services for one in teams if one.services},
        cut_off,
    )


def check_team(
    teams: Sequence[types.TeamSpec], name: str
) -> types.Refused | None:
    """Refuse a team that is not among the configured ones, if any are."""
    if not teams or any(one.name == name for one in teams):
        return None
    choices = ", ".join(sorted(one.name for one in teams))
    reason = f"unknown team {name!r}; there are: {choices}; nothing ran"
    return types.Refused("unknown_team", reason)


class Quotas:
    """Tasks in flight by team, against the teams' parts."""

    def __init__(self):
        self.shares = TeamShares({}, {})
        self.in_flight: collections.Counter = collections.Counter()
        self._teams: dict[types.TaskRef, str] = {}
        """Team of each task in flight."""

    def charged_team(self, name: str) -> str:
        """Return the team to charge: the default one if none are known."""
        return name if name in self.shares.teams else DEFAULT_TEAM

    def record_start(self, ref: types.TaskRef, team: str) -> None:
        """Count a task in."""
        self._teams[ref] = team
        self.in_flight[team] += 1

    def is_in_flight(self, ref: types.TaskRef) -> bool:
        """Return whether a task was started and has not ended."""
        return ref in self._teams

    def record_end(self, ref: types.TaskRef) -> None:
        """Count a task out."""
        team = self._teams.pop(ref, None)
        if team is None:
            return
        self.in_flight[team] -= 1
        if not self.in_flight[team]:
            del self.in_flight[team]

    def is_at_share(self, team: str, service: str) -> bool:
        """Return whether a team has its whole part in flight."""
        if not self.shares.teams:
            return False
        services = self.shares.services.get(team)
        if services and service not in services:
            return True
        return self.in_flight[team] >= self.shares.teams.get(team, 0.0)

    def may_borrow(self, team: str, service: str) -> bool:
        """Return whether a team may use slots lent by other instances."""
        return not (self.shares.cut_off and self.is_at_share(team, service))


class TeamQueues:
    """The queues of one service, one for each team with work.

    It stands for a `queueing.TaskQueue` of all of them.

    Parameters
    ----------
    service : str
        Name of the service.
    quotas : Quotas
        What all services of the instance share.
    """

    def __init__(self, service: str, quotas: Quotas):
        self._service = service
        self._quotas = quotas
        self._queues: dict[str, queueing.TaskQueue] = {}

    def __len__(self):
        """Return the number of tasks that wait."""
        return sum(len(one) for one in self._queues.values())

    @property
    def work(self) -> float:
        """Expected seconds of work that wait."""
        return sum(one.work for one in self._queues.values())

    def work_ahead(self, place: float) -> float:
        """Estimate the work of all teams that goes before a place."""
        return sum(one.work_ahead(place) for one in self._queues.values())

    def length(self, lane: int) -> int:
        """Return the number of tasks that wait in a lane."""
        return sum(one.length(lane) for one in self._queues.values())

    def add(
        self,
        queued: queueing.QueuedJob,
        tasks: Iterable[queueing.QueuedTask],
        width: float,
    ) -> None:
        """Add tasks of a job; see `queueing.TaskQueue.add`."""
        queue = self._queues.get(queued.team)
        if queue is None:
            queue = self._queues[queued.team] = queueing.TaskQueue()
        queue.add(queued, tasks, width)

    def head(self, lane: int) -> tuple[float, queueing.QueuedJob] | None:
        """Return the place and the job that goes first in a lane."""
        best = None
        best_key = (True, float("inf"))
        for team, queue in self._queues.items():
            head = queue.head(lane)
            if head is None:
                continue
            if len(self._queues) == 1:
                return head
            above = self._quotas.is_at_share(team, self._service)
            key = (above, head[0])
            if best is None or key < best_key:
                best, best_key = head, key
        return best

    def pop(
        self, queued: queueing.QueuedJob, lane: int, width: float
    ) -> queueing.QueuedTask:
        """Take the first task of the job that goes first in a lane."""
        queue = self._queues[queued.team]
        task = queue.pop(lane, width)
        self._drop_empty(queued.team, queue)
        return task

    def withdraw(self, queued: queueing.QueuedJob) -> list[int]:
        """Take out what is left of a job; return its indexes."""
        queue = self._queues.get(queued.team)
        if queue is None:
            return []
        left = queue.withdraw(queued)
        self._drop_empty(queued.team, queue)
        return left

    def _drop_empty(self, team, queue):
        if not len(queue) and len(self._queues) > 1:
            del self._queues[team]
