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
    "Held",
    "Plan",
    "PlannerState",
    "Task",
]

TaskStatus = Literal["waiting", "sent", "running", "unknown", "done"]
"""``unknown``: an order to start it was not answered."""

MOST_ENDED = 4096
"""Outcomes kept for instances that missed them."""


class Task:
    """One task of a batch."""

    __slots__ = (
        "adopted", "attempt", "executor", "expires", "failures", "index",
        "run", "since", "status", "step", "stopping",
    )  # fmt: skip

    def __init__(self, step: int, index: int, attempt: int):
        self.step = step
        self.index = index
        self.attempt = attempt
        """Number of the last run."""
        self.status: TaskStatus = "waiting"
        self.executor = ""
        self.run: pool_messages.Run | None = None
        self.since = 0.0
        """When the last run was sent."""
        self.expires = 0.0
        """When the start of the last run can no longer be carried out."""
        self.failures = 0
        self.stopping = False
        self.adopted = False
        """Found running after another planner; its start is not known."""


class Plan:
    """One batch and its tasks."""

    __slots__ = (
        "arrived",
        "batch",
        "done",
        "drain",
        "least",
        "left_until",
        "log_size",
        "moved",
        "origins",
        "ready_at",
        "round",
        "sized",
        "started",
        "step_left",
        "submitted",
        "tasks",
        "waiting",
        "work",
    )  # fmt: skip

    def __init__(self, msg: pool_messages.PlanBatch, first: int, now: float):
        self.batch = msg.batch
        self.origins = {msg.origin}
        self.arrived = now
        self.submitted = now - msg.age
        self.left_until = now + msg.time_left
        self.ready_at = now
        self.round = msg.round
        self.moved = msg.moved
        self.started = msg.round > 0
        """Whether an order to start any of it may have been carried out."""
        self.tasks = [
            Task(step, index, first)
            for step, one in enumerate(msg.batch.steps)
            for index in range(one.count)
        ]
        self.waiting = collections.deque()
        self.step_left = [one.count for one in msg.batch.steps]
        """Tasks of each step that are not done."""
        self.done = 0
        self.work = 0.0
        """Seconds that a task is expected to run where it is fastest."""
        self.drain = 0.0
        """Seconds of the whole pool that a task takes."""
        self.sized = 0
        """Runs that `log_size` was learned from."""
        self.log_size = 0.0
        """Logarithm of how much longer its tasks take than usual."""
        self.least = min(one.room.cpu for one in msg.batch.steps)
        """Least processor room of a task."""
        for step, one in enumerate(msg.batch.steps):
            if not one.after:
                self.release_step(step)

    @property
    def name(self) -> str:
        """Return the identifier of the batch."""
        return self.batch.name

    def release_step(self, step: int) -> None:
        """Let the tasks of a step start."""
        self.waiting.extend(one for one in self.tasks if one.step == step)

    def unlocked_by(self, step: int) -> list[int]:
        """Return the steps that could not start before this one ended."""
        return [
            number
            for number, one in enumerate(self.batch.steps)
            if step in one.after
            and all(self.step_left[before] == 0 for before in one.after)
        ]

    def find(self, step: int, index: int) -> Task | None:
        """Return a task by its numbers."""
        for task in self.tasks:
            if task.step == step and task.index == index:
                return task
        return None


class Held:
    """One life of an executor that this planner orders about."""

    __slots__ = (
        "asked_at",
        "claimed",
        "clock",
        "clock_at",
        "ended_at",
        "fences",
        "free",
        "gone",
        "heard_at",
        "holding",
        "lease_until",
        "log_pace",
        "orphans",
        "rest_until",
        "rests",
        "runs",
        "score",
        "seen",
        "spec",
        "suspect",
        "token",
        "try_at",
    )  # fmt: skip

    def __init__(self, spec: executors.Executor, token: int, now: float):
        self.spec = spec
        self.token = token
        self.fences = 0
        """Times that a higher token was met since the last answer."""
        self.claimed = False
        self.clock = 0.0
        """Seconds on the executor's clock at `clock_at`."""
        self.clock_at = now
        self.free = spec.capacity
        self.runs: dict[pool_messages.Run, tuple[Plan, Task]] = {}
        self.orphans: dict[pool_messages.Run, float] = {}
        """Runs of unknown batches, and when each was first listed."""
        self.seen = 0
        self.holding = False
        self.asked_at = now
        self.heard_at = now
        self.lease_until = 0.0
        """When every lease given here has surely lapsed."""
        self.try_at = now
        self.suspect = False
        self.gone = False
        """No longer registered; takes no new run."""
        self.score = 0.0
        """Recent share of runs that failed here without cause."""
        self.log_pace = 0.0
        """Logarithm of how many times longer runs take than usual."""
        self.ended_at = now
        """When a run ended here last."""
        self.rests = 0
        self.rest_until = 0.0

    def executor_clock(self, now: float) -> float:
        """Return a lower estimate of the executor's clock, in seconds."""
        return self.clock + (now - self.clock_at)


class PlannerState:
    """All that a planner knows."""

    def __init__(
        self, own: str, make_token: Callable[[], int], far_rack: float = 1.0
    ):
        self.own = own
        self.far_rack = far_rack
        """How many times longer a task takes away from its data."""
        self.make_token = make_token
        """Draws a token above those of earlier planners."""
        self.fleet: pool_messages.FleetChanged | None = None
        self.planning = planner_election.Planning()
        self.slot = -1
        """The place that the fleet was told of."""
        self.backlog = 0.0
        """The last one that was told, in seconds."""
        self.active_since: float | None = None
        self.began = 0.0
        self.listed: dict[str, executors.Executor] = {}
        self.listed_at: float | None = None
        self.unlisted: dict[str, tuple[float, executors.Executor]] = {}
        """Executors that are no longer listed, and since when; not those
        that said before that they leave."""
        self.held: dict[str, Held] = {}
        self.plans: dict[str, Plan] = {}
        self.early: dict[str, tuple[pool_messages.PlanBatch, float]] = {}
        """Batches handed over before this instance plans, and when."""
        self.ended: collections.OrderedDict[str, Any] = (
            collections.OrderedDict()
        )
        self.dropped: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        """Batches that were dropped after they had started, how often."""
        self.times = run_times.RunTimes()
        self.pool: collections.Counter = collections.Counter()
        """Executors in use by service, kind and capacity."""
        self.unconfirmed_since: float | None = None
        """Since when it waits for signs of life before it takes a place."""
        self.minority_since: float | None = None
        """Since when no more than half of the members are seen."""
        self.passive_until = 0.0
        self.healed_at: float | None = None
        """When a member that was missing was last seen again."""

    def remember_dropped(self, name: str) -> None:
        """Keep that a batch has started, should it come again."""
        self.dropped[name] = self.dropped.get(name, 0) + 1
        while len(self.dropped) > MOST_ENDED:
            self.dropped.popitem(last=False)

    def remember(self, name: str, outcome: batches.Outcome) -> None:
        """Keep an outcome for instances that missed it."""
        self.ended[name] = outcome
        while len(self.ended) > MOST_ENDED:
            self.ended.popitem(last=False)
