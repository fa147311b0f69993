"""Batches: jobs whose tasks run on executors with limited resources.

A caller submits a batch once and waits for its end.  A batch has one or
more steps; the tasks of a step are identical.
"""

from __future__ import annotations

from typing import NamedTuple

from cardamompath_core import executors

__all__ = [
    "ACTIVE",
    "CANCELLED",
    "COMPLETE",
    "FAILED",
    "INVALID",
    "REFUSED",
    "TIMED_OUT",
    "UNKNOWN",
    "UNKNOWN_ROUTE",
    "Batch",
    "Outcome",
    "RoutePolicy",
    "Step",
]

ACTIVE = "active"
"""A caller waits for it."""
CANCELLED = "cancelled"
COMPLETE = "complete"
FAILED = "failed"
INVALID = "invalid"
"""The request has no valid identifier of a batch."""
REFUSED = "refused"
"""No task has started, and none will."""
TIMED_OUT = "given up"
"""The time limit was reached; some tasks may have run."""
UNKNOWN = "unknown"
"""No instance has such a batch."""
UNKNOWN_ROUTE = "unknown route"


class Step(NamedTuple):
    """A number of identical tasks."""

    count: int
    resources: executors.Resources
    """Resources that each task needs."""
    estimate: float = 0.0
    """Run time of a task that the caller expects, in seconds; 0 if
    unknown."""
    after: tuple[int, ...] = ()
    """Numbers of the steps that have to complete first."""
    label: str = ""
    """Label that the executor must have; empty if any executor will do."""
    rack: str = ""
    """Label of the rack that holds the tasks' data; empty if none."""
    max_per_executor: int = 0
    """Maximum number of the step's tasks on an executor at a time; 0 for
    no limit."""


class RoutePolicy(NamedTuple):
    """Priority, retry limit and time objective of a route's batches."""

    route: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    """Objective for the duration, as a multiple of the critical path."""
    slack: float = 0.0
    """Seconds that the objective allows on top of that multiple."""


class Batch(NamedTuple):
    """A batch as it was submitted."""

    name: str
    spec: str
    """Specification of the tasks, which the executors interpret."""
    steps: tuple[Step, ...]
    policy: RoutePolicy


class Outcome(NamedTuple):
    """How a batch ended; `state` is one of the constants above."""

    state: str
    reason: str
    retry_after: float = 0.0
    """Seconds after which to retry; 0 if no delay is suggested."""
