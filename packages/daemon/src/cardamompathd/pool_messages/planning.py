"""Messages between gateways and planners."""

from __future__ import annotations

from typing import NamedTuple

from cardamompath_core import batches
from cardamompath_core import room_reports

__all__ = [
    "BacklogChanged",
    "BacklogMeasured",
    "BatchEnded",
    "DropBatch",
    "DropsPending",
    "ExecutorsHeld",
    "LossesReported",
    "Origin",
    "OutcomesReported",
    "PlanBatch",
    "PlannerHeard",
    "PlanningPermitted",
    "RoomMeasured",
    "RoomReported",
    "RunLoss",
    "ShardChanged",
]


class RunLoss(NamedTuple):
    """A run of a task that was lost with its executor."""

    step: int
    index: int
    executor: str
    incarnation: int
    """That of the executor."""
    address: tuple[str, int]
    """That of the executor; another one that has it is its successor."""
    aborted: bool
    """Whether the executor ended or refused connections, as after a crash."""
    last_started: bool
    """Whether the executor started no other run after it."""
    alone: bool
    """Whether no run of another batch was on the executor."""
    crashed: bool = False
    """Whether the executor is known to have been restarted."""


class Origin(NamedTuple):
    """The process of an instance at which the caller of a batch waits."""

    name: str
    """Name of the instance."""
    started: int
    """Start time of the process, in milliseconds since 1970."""


class PlanBatch(NamedTuple):
    """Ask a planner to run a batch."""

    batch: batches.Batch
    origin: str
    """Name of the instance that answers the caller."""
    age: float
    """Seconds since the caller submitted the batch."""
    time_left: float
    """Seconds for which the caller still waits."""
    round: int
    """Number of earlier planners that may have started tasks of it."""
    shard_changed: bool = True
    """Whether an earlier planner had another shard, and with it executors
    that this planner does not claim."""
    permitted_time: float = 0.0
    """Seconds for which an earlier planner may still start its tasks."""
    term: int = 0
    """Number of the planner's term at the sender, see `FleetChanged`."""
    ended_planner: str = ""
    """Name of the only earlier planner, if it told that it no longer plans;
    otherwise empty."""
    losses: tuple[RunLoss, ...] = ()
    """Its runs that were lost with their executors, as far as known."""
    origin_started: int = 0
    """Start time of the origin's process, in milliseconds since 1970; 0 if
    the origin does not tell."""
    handover: int = 0
    """Number of the hand-over at the origin; it grows with each change of the
    planner.  0 if the origin does not tell."""
    seen_at: float = 0.0
    """When the caller was still there, in seconds of the planner's clock, or
    earlier; 0 if the origin does not tell."""
    cancelled: bool = False
    """Whether the batch was cancelled before its request arrived.  The planner
    tells whether it had ended by then."""
    former_executors: tuple[int, ...] = ()
    """Digest of the executors of each earlier planner, see
    `executor_digests`; one of them may still run tasks there."""


class DropBatch(NamedTuple):
    """Tell a planner that its origin no longer needs a batch.

    The planner acknowledges it with a `BatchEnded` that says ``cancelled``,
    and starts nothing for an earlier hand-over that arrives later.
    """

    name: str
    origin: str
    origin_started: int = 0
    """Start time of the origin's process, in milliseconds since 1970; 0 if
    the origin does not tell."""
    handover: int = 0
    """The hand-over that it revokes, with all earlier ones of the batch."""


class BatchEnded(NamedTuple):
    """A batch ended; sent by its planner to its origin."""

    name: str
    origin: str
    outcome: batches.Outcome
    planner: str
    """Name of the instance that planned the batch."""
    handover: int = 0
    """The hand-over whose drop it acknowledges, or that it rejects; 0 if it
    does not tell."""


class OutcomesReported(NamedTuple):
    """Batches that ended at another planner."""

    names: tuple[str, ...]
    states: tuple[str, ...]
    """The state of the outcome of each."""


class LossesReported(NamedTuple):
    """Runs of a batch were lost with their executors."""

    batch: str
    losses: tuple[RunLoss, ...]


class PlanningPermitted(NamedTuple):
    """An instance leaves its batches with the planner of this one.

    Until the time that it names it lets no other planner start their tasks.
    """

    origin: str
    started: int
    """Start time of its process, in milliseconds since 1970."""
    term: int
    """Number of the term that this extends, see `FleetChanged`."""
    until: float
    """In seconds of the clock of this instance."""
    confirmed_at: float
    """When the other instance surely left its batches here and their callers
    were there, in the same seconds."""
    heard_at: float = 0.0
    """When this instance sent the last heartbeat that the other one had
    received, in the same seconds; 0 if it does not tell."""
    handover: int = -1
    """Number of the last hand-over that `confirmed_at` is true of; -1 for
    all of them."""


class PlannerHeard(NamedTuple):
    """A heartbeat of a planner arrived."""

    name: str
    """Name of the planner."""
    started: int
    """Start time of its process, in milliseconds since 1970."""
    sent_at: float
    """When it was sent, in seconds of the planner's clock."""


class BacklogMeasured(NamedTuple):
    """The backlog of the planner of this instance changed."""

    backlog: float
    """Seconds that its executors need for the waiting tasks."""


class BacklogChanged(NamedTuple):
    """The backlog of a planner changed."""

    name: str
    """Name of the planner."""
    backlog: float
    """Seconds that its executors need for the waiting tasks."""


class RoomMeasured(NamedTuple):
    """The planner of this instance has made a report of its capacity."""

    report: room_reports.Report | None
    """None once it no longer plans."""


class RoomReported(NamedTuple):
    """A planner reported its capacity."""

    name: str
    """Name of the planner."""
    started: int
    """Start time of its process, in milliseconds since 1970."""
    sent_at: float
    """When the report was sent, in seconds of the planner's clock."""
    report: room_reports.Report | None
    """None if it was dropped."""
    fault: str = ""
    """Why it was dropped; empty if it was not."""


class ExecutorsHeld(NamedTuple):
    """The executors that a planner holds changed.

    A planner starts tasks of an instance only where that instance knows it to
    hold the executor, or on one that it has held since it began to plan.
    """

    name: str
    """Name of the planner."""
    started: int
    """Start time of its process, in milliseconds since 1970."""
    digest: int
    """See `executor_digests`; `UNKNOWN` once it no longer plans."""


class DropsPending(NamedTuple):
    """Whether a planner has yet to acknowledge a drop of this instance."""

    planner: str
    """Name of the planner."""
    pending: bool


class ShardChanged(NamedTuple):
    """The planner of this instance took over or gave up a shard."""

    shard_number: int
    """Number of its shard of the executors; -1 if it has none."""
