"""State of a planner: executors that it holds and batches that it runs."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any
from typing import Literal

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompath_core import run_times
from cardamompathd import pool_messages

__all__ = [
    "ExecutorState",
    "Plan",
    "PlannerState",
    "Task",
]

TaskStatus = Literal["waiting", "sent", "running", "unknown", "done"]
"""``unknown``: an order to start it was not answered."""

MAX_REMEMBERED = 4096
"""Outcomes kept for instances that missed them."""


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
    )

    def __init__(self, step: int, index: int, attempt: int):
        self.step = step
        self.index = index
        self.attempt = attempt
        """Number of the last run."""
        self.status: TaskStatus = "waiting"
        self.executor_name = ""
        self.run: pool_messages.Run | None = None
        self.started_at = 0.0
        """When the last run was sent."""
        self.start_deadline = 0.0
        """When the start of the last run can no longer be carried out."""
        self.failures = 0
        self.stopping = False
        self.adopted = False
        """Found running after another planner; its start is not known."""


class Plan:
    """One batch and its tasks."""

    __slots__ = (
        "batch",
        "deadline",
        "done_count",
        "expected_time",
        "log_size",
        "may_have_started",
        "min_cpu",
        "shard_changed",
        "origins",
        "pool_time",
        "ready_at",
        "received_at",
        "round",
        "size_samples",
        "step_remaining",
        "submitted_at",
        "tasks",
        "waiting",
    )

    def __init__(self, msg: pool_messages.PlanBatch, first: int, now: float):
        self.batch = msg.batch
        self.origins = {msg.origin}
        self.received_at = now
        self.submitted_at = now - msg.age
        self.deadline = now + msg.time_left
        self.ready_at = now
        self.round = msg.round
        self.shard_changed = msg.shard_changed
        self.may_have_started = msg.round > 0
        """Whether an order to start any of it may have been carried out."""
        self.tasks = [
            Task(step, index, first)
            for step, one in enumerate(msg.batch.steps)
            for index in range(one.count)
        ]
        self.waiting = collections.deque()
        self.step_remaining = [one.count for one in msg.batch.steps]
        """Tasks of each step that are not done."""
        self.done_count = 0
        self.expected_time = 0.0
        """Seconds that a task is expected to run where it is fastest."""
        self.pool_time = 0.0
        """Seconds of the whole pool that a task takes."""
        self.size_samples = 0
        """Runs that `log_size` was learned from."""
        self.log_size = 0.0
        """Logarithm of how much longer its tasks take than usual."""
        self.min_cpu = min(one.resources.cpu for one in msg.batch.steps)
        """Least processor room of a task."""
        for step, one in enumerate(msg.batch.steps):
            if not one.after:
                self.enqueue_step(step)

    @property
    def name(self) -> str:
        """Return the identifier of the batch."""
        return self.batch.name

    def enqueue_step(self, step: int) -> None:
        """Let the tasks of a step start."""
        self.waiting.extend(one for one in self.tasks if one.step == step)

    def steps_unblocked_by(self, step: int) -> list[int]:
        """Return the steps that could not start before this one ended."""
        return [
            number
            for number, one in enumerate(self.batch.steps)
            if step in one.after
            and all(self.step_remaining[before] == 0 for before in one.after)
        ]

    def find_task(self, step: int, index: int) -> Task | None:
        """Return a task by its numbers."""
        for task in self.tasks:
            if task.step == step and task.index == index:
                return task
        return None


class ExecutorState:
    """One life of an executor that this planner orders about."""

    __slots__ = (
        "acknowledged",
        "answered_at",
        "claimed",
        "clock",
        "clock_read_at",
        "ejected_until",
        "ejections",
        "failure_rate",
        "fence_count",
        "free",
        "hold_pending",
        "hold_sent_at",
        "last_end_at",
        "lease_until",
        "log_slowdown",
        "orphans",
        "retry_at",
        "runs",
        "spec",
        "suspect",
        "token",
        "unregistered",
    )

    def __init__(self, spec: executors.Executor, token: int, now: float):
        self.spec = spec
        self.token = token
        self.fence_count = 0
        """Times that a higher token was met since the last answer."""
        self.claimed = False
        self.clock = 0.0
        """Seconds on the executor's clock at `clock_at`."""
        self.clock_read_at = now
        self.free = spec.capacity
        self.runs: dict[pool_messages.Run, tuple[Plan, Task]] = {}
        self.orphans: dict[pool_messages.Run, float] = {}
        """Runs of unknown batches, and when each was first listed."""
        self.acknowledged = 0
        self.hold_pending = False
        self.hold_sent_at = now
        self.answered_at = now
        self.lease_until = 0.0
        """When every lease given here has surely lapsed."""
        self.retry_at = now
        self.suspect = False
        self.unregistered = False
        """No longer registered; takes no new run."""
        self.failure_rate = 0.0
        """Recent share of runs that failed here without cause."""
        self.log_slowdown = 0.0
        """Logarithm of how many times longer runs take than usual."""
        self.last_end_at = now
        """When a run ended here last."""
        self.ejections = 0
        self.ejected_until = 0.0

    def executor_clock(self, now: float) -> float:
        """Return a lower estimate of the executor's clock, in seconds."""
        return self.clock + (now - self.clock_read_at)


class PlannerState:
    """All that a planner knows."""

    def __init__(
        self,
        name: str,
        make_token: Callable[[], int],
        remote_rack_factor: float = 1.0,
    ):
        self.name = name
        self.remote_rack_factor = remote_rack_factor
        """How many times longer a task takes away from its data."""
        self.make_token = make_token
        """Draws a token above those of earlier planners."""
        self.fleet: pool_messages.FleetChanged | None = None
        self.planning = planner_election.PlannerAssignment()
        self.announced_shard = -1
        """The place that the fleet was told of."""
        self.announced_backlog = 0.0
        """The last one that was told, in seconds."""
        self.active_since: float | None = None
        self.began_at = 0.0
        self.listed: dict[str, executors.Executor] = {}
        self.listed_at: float | None = None
        self.unlisted: dict[str, tuple[float, executors.Executor]] = {}
        """Executors that are no longer listed, and since when; not those
        that said before that they leave."""
        self.executors: dict[str, ExecutorState] = {}
        self.plans: dict[str, Plan] = {}
        self.early_batches: dict[
            str, tuple[pool_messages.PlanBatch, float]
        ] = {}
        """Batches handed over before this instance plans, and when."""
        self.ended_outcomes: collections.OrderedDict[str, Any] = (
            collections.OrderedDict()
        )
        self.dropped_counts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        """Batches that were dropped after they had started, how often."""
        self.run_times = run_times.RunTimes()
        self.pool: collections.Counter = collections.Counter()
        """Executors in use by service, kind and capacity."""
        self.no_quorum_since: float | None = None
        """Since when it waits for signs of life before it takes a place."""
        self.minority_since: float | None = None
        """Since when no more than half of the members are seen."""
        self.passive_until = 0.0
        self.healed_at: float | None = None
        """When a member that was missing was last seen again."""

    def remember_dropped_batch(self, name: str) -> None:
        """Keep that a batch has started, should it come again."""
        self.dropped_counts[name] = self.dropped_counts.get(name, 0) + 1
        while len(self.dropped_counts) > MAX_REMEMBERED:
            self.dropped_counts.popitem(last=False)

    def remember_outcome(self, name: str, outcome: batches.Outcome) -> None:
        """Keep an outcome for instances that missed it."""
        self.ended_outcomes[name] = outcome
        while len(self.ended_outcomes) > MAX_REMEMBERED:
            self.ended_outcomes.popitem(last=False)
