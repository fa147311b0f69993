"""Team quotas, with borrowing of idle capacity.

A team that has fewer tasks in flight than its share takes precedence over
one that has reached its share.  A team at its share still gets the slots
that no team below its share wants, so no slot stays idle.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import fair_shares
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
"""Team that is charged if no teams are configured."""


class TeamShares(NamedTuple):
    """Share of each team's quota that this instance grants."""

    teams: dict[str, float]
    """Tasks in flight for each team; empty if no teams are configured."""
    services: dict[str, tuple[str, ...]]
    """Services to which a team's share applies; no entry means all."""
    cut_off: bool = False
    """Whether a peer is silent.  Teams at their share then use only the
    instance's own slots."""


def divide_shares(
    teams: Sequence[types.TeamSpec], instances: int, cut_off: bool
) -> TeamShares:
    """Divide the quotas of the teams evenly among the instances."""
    return TeamShares(
        {team.name: team.share / max(1, instances) for team in teams},
        {team.name: team.services for team in teams if team.services},
        cut_off,
    )


def check_team(
    teams: Sequence[types.TeamSpec], name: str
) -> types.Refused | None:
    """Return a refusal for an unknown team if any teams are configured."""
    if not teams or any(team.name == name for team in teams):
        return None
    choices = ", ".join(sorted(team.name for team in teams))
    reason = f"unknown team {name!r}; there are: {choices}; nothing ran"
    return types.Refused("unknown_team", reason)


class Quotas:
    """Tasks in flight of each team, compared with the team's share."""

    def __init__(self):
        self.shares = TeamShares({}, {})
        self.in_flight: collections.Counter = collections.Counter()
        self._teams: dict[types.TaskRef, str] = {}
        """Team of each task in flight."""

    def charged_team(self, name: str) -> str:
        """Return the team to charge, `DEFAULT_TEAM` for unknown teams."""
        return name if name in self.shares.teams else DEFAULT_TEAM

    def record_start(self, ref: types.TaskRef, team: str) -> None:
        """Count a task as in flight."""
        self._teams[ref] = team
        self.in_flight[team] += 1

    def is_in_flight(self, ref: types.TaskRef) -> bool:
        """Return whether a task has started and not ended."""
        return ref in self._teams

    def record_end(self, ref: types.TaskRef) -> None:
        """Stop counting a task as in flight."""
        team = self._teams.pop(ref, None)
        if team is None:
            return
        self.in_flight[team] -= 1
        if not self.in_flight[team]:
            del self.in_flight[team]

    def is_at_share(self, team: str, service: str) -> bool:
        """Return whether a team has no share left for a service."""
        if not self.shares.teams:
            return False
        services = self.shares.services.get(team)
        if services and service not in services:
            return True
        share = self.shares.teams.get(team, 0.0)
        return fair_shares.is_at_share(self.in_flight[team], share)

    def may_borrow(self, team: str, service: str) -> bool:
        """Return whether a team may use slots of other instances."""
        return not (self.shares.cut_off and self.is_at_share(team, service))


class TeamQueues:
    """Queues of one service, one for each team with work.

    Offers the methods of a `queueing.TaskQueue` over all teams.

    Parameters
    ----------
    service : str
        Name of the service.
    quotas : Quotas
        Quotas shared by all services of the instance.
    """

    def __init__(self, service: str, quotas: Quotas):
        self._service = service
        self._quotas = quotas
        self._queues: dict[str, queueing.TaskQueue] = {}

    def __len__(self):
        """Return the number of queued tasks."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def work(self) -> float:
        """Queued work in expected seconds."""
        return sum(queue.work for queue in self._queues.values())

    def work_ahead(self, priority: float) -> float:
        """Estimate the work of all teams ahead of a priority."""
        return sum(
            queue.work_ahead(priority) for queue in self._queues.values()
        )

    def length(self, lane: int) -> int:
        """Return the number of queued tasks in a lane."""
        return sum(queue.length(lane) for queue in self._queues.values())

    def add(
        self,
        queued: queueing.QueuedJob,
        tasks: Iterable[queueing.QueuedTask],
        parallelism: float,
    ) -> None:
        """Add tasks of a job; see `queueing.TaskQueue.add`."""
        queue = self._queues.get(queued.team)
        if queue is None:
            queue = self._queues[queued.team] = queueing.TaskQueue()
        queue.add(queued, tasks, parallelism)

    def head(self, lane: int) -> tuple[float, queueing.QueuedJob] | None:
        """Return the first job of a lane with its priority, if any.

        Jobs of teams below their share come first.
        """
        best = None
        best_key = (True, float("inf"))
        for team, queue in self._queues.items():
            head = queue.head(lane)
            if head is None:
                continue
            if len(self._queues) == 1:
                return head
            at_share = self._quotas.is_at_share(team, self._service)
            key = (at_share, head[0])
            if best is None or key < best_key:
                best, best_key = head, key
        return best

    def pop(
        self, queued: queueing.QueuedJob, lane: int, parallelism: float
    ) -> queueing.QueuedTask:
        """Remove and return the first task of a lane's first job.

        `queued` must be the job that `head` returned for the lane.
        """
        queue = self._queues[queued.team]
        task = queue.pop(lane, parallelism)
        self._drop_empty(queued.team, queue)
        return task

    def withdraw(self, queued: queueing.QueuedJob) -> list[int]:
        """Remove the remaining tasks of a job and return their indexes."""
        queue = self._queues.get(queued.team)
        if queue is None:
            return []
        remaining = queue.withdraw(queued)
        self._drop_empty(queued.team, queue)
        return remaining

    def _drop_empty(self, team, queue):
        if not len(queue) and len(self._queues) > 1:
            del self._queues[team]
