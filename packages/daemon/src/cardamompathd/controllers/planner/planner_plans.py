"""Batches in progress at a planner, and their tasks."""

from __future__ import annotations

import collections
from typing import Literal

from cardamompath_core import batch_order
from cardamompathd import pool_messages

__all__ = [
    "Plan",
    "Task",
    "urgency_of",
]

TaskStatus = Literal["waiting", "sent", "running", "unknown", "done"]
"""``unknown``: a start was sent, but whether the run is there is not known."""


class Task:
    """One task of a batch."""

    __slots__ = (
        "adopted",
        "attempt",
        "executor_name",
        "failures",
        "index",
        "run",
        "start_deadline",
        "started_at",
        "status",
        "step",
        "stopping",
        "token",
    )

    def __init__(self, step: int, index: int, attempt: int):
        self.step = step
        self.index = index
        self.attempt = attempt
        """Number of the last run."""
        self.status: TaskStatus = "waiting"
        self.executor_name = ""
        self.run: pool_messages.Run | None = None
        self.token = 0
        """Fencing token with which the last run was sent or adopted."""
        self.started_at = 0.0
        """When the last run was sent or adopted."""
        self.start_deadline = 0.0
        """When the executor can no longer start the last run."""
        self.failures = 0
        self.stopping = False
        """Whether a stop was sent for the last run."""
        self.adopted = False
        """Whether another planner started the last run; when is not known."""


class Plan:
    """A batch in progress and its tasks."""

    __slots__ = (
        "batch",
        "claims_since",
        "deadline",
        "done_count",
        "expected_time",
        "former_executors",
        "groups",
        "handovers",
        "is_guaranteed",
        "log_size",
        "may_have_started",
        "min_cpu",
        "origins",
        "permitted_until",
        "pool_share",
        "pool_time",
        "ranked_groups",
        "received_at",
        "round",
        "seen_at",
        "shard_changed",
        "size_samples",
        "step_remaining",
        "submitted_at",
        "tasks",
        "unpermitted_since",
        "waiting",
    )

    def __init__(
        self,
        msg: pool_messages.PlanBatch,
        origin: pool_messages.Origin,
        first_attempt: int,
        now: float,
    ):
        self.batch = msg.batch
        self.origins = {origin: msg.term}
        """The instances that answer the callers, and the term of this planner
        in which each sent the batch."""
        self.handovers = {origin: msg.handover}
        """Number of the last hand-over by each origin."""
        self.seen_at = {origin: msg.seen_at}
        """When the caller was there, by the last hand-over of each origin."""
        self.received_at = now
        self.submitted_at = now - msg.age
        self.deadline = now + msg.time_left
        """When the caller stops waiting."""
        self.round = msg.round
        self.permitted_until = now + msg.permitted_time
        """Until when an earlier planner may still start tasks of it."""
        self.claims_since = self.permitted_until
        """From when on a claim shows that no earlier planner holds an
        executor; one that was only slow may have claimed it again before."""
        self.unpermitted_since: float | None = None
        """Since when this planner may not run it; None if it may."""
        self.former_executors = set(msg.former_executors)
        """Digests of the executors that earlier planners held."""
        self.shard_changed = msg.shard_changed
        self.may_have_started = msg.round > 0
        """Whether an executor may have started any of its tasks."""
        self.tasks = [
            Task(number, index, first_attempt)
            for number, step in enumerate(msg.batch.steps)
            for index in range(step.count)
        ]
        self.waiting = collections.deque()
        """Tasks that can start."""
        self.step_remaining = [step.count for step in msg.batch.steps]
        """Number of tasks of each step that are not done."""
        self.done_count = 0
        self.expected_time = 0.0
        """Expected run time of a task where it is fastest, in seconds."""
        self.pool_time = 0.0
        """Seconds that the whole pool takes for a task, on average."""
        self.pool_share = 0.0
        """Share of the pool that a task of it takes while it runs."""
        self.groups = ()
        """Groups that have shares, see `planner_shares`."""
        self.ranked_groups = ()
        """Those that have shares within its priority, with that."""
        self.is_guaranteed = False
        """Whether it is within the minimum share of one of its groups."""
        self.size_samples = 0
        """Number of runs from which `log_size` was learned."""
        self.log_size = 0.0
        """Logarithm of the run time of its tasks relative to the usual one."""
        self.min_cpu = min(step.resources.cpu for step in msg.batch.steps)
        """Minimum CPU that a task needs, in thousandths of a core."""
        for number, step in enumerate(msg.batch.steps):
            if not step.after:
                self.enqueue_step(number)

    @property
    def name(self) -> str:
        """Return the identifier of the batch."""
        return self.batch.name

    def enqueue_step(self, number: int) -> None:
        """Let the tasks of a step start, unless they run or are done.

        A run that an earlier planner started may have been adopted.
        """
        self.waiting.extend(
            task
            for task in self.tasks
            if task.step == number and task.status == "waiting"
        )

    def is_blocked(self, number: int) -> bool:
        """Return whether a step waits for the end of another one."""
        after = self.batch.steps[number].after
        return any(self.step_remaining[before] > 0 for before in after)

    def steps_unblocked_by(self, ended: int) -> list[int]:
        """Return the numbers of the steps that can start once one ended."""
        return [
            number
            for number, step in enumerate(self.batch.steps)
            if ended in step.after
            and all(self.step_remaining[before] == 0 for before in step.after)
        ]

    def find_task(self, step: int, index: int) -> Task | None:
        """Return a task by its step and its index there, None if unknown."""
        for task in self.tasks:
            if task.step == step and task.index == index:
                return task
        return None


def urgency_of(plan: Plan) -> batch_order.Urgency:
    """Return what decides when a batch starts."""
    policy = plan.batch.policy
    return batch_order.Urgency(
        policy.priority,
        plan.submitted_at,
        policy.stretch * plan.expected_time + policy.slack,
        plan.expected_time,
        plan.deadline,
        plan.may_have_started,
    )
