"""Jobs whose tasks take room on executors.

A batch is submitted once by a caller that waits for its end.  It has
one or more steps; the tasks of a step are alike.
"""

from __future__ import annotations

from typing import NamedTuple

from cardamompath_core import executors

__all__ = [
    "CANCELLED",
    "COMPLETE",
    "FAILED",
    "GIVEN_UP",
    "REFUSED",
    "UNKNOWN",
    "Batch",
    "Outcome",
    "Step",
    "Terms",
]

CANCELLED = "cancelled"
COMPLETE = "complete"
FAILED = "failed"
REFUSED = "refused"
"""No task has started and none will."""
GIVEN_UP = "given up"
"""Time ran out; some tasks may have run."""
UNKNOWN = "unknown route"


class Step(NamedTuple):
    """Tasks that are alike."""

    count: int
    room: executors.Room
    """What each task takes."""
    estimate: float = 0.0
    """Seconds that the caller expects a task to take; 0 when unknown."""
    after: tuple[int, ...] = ()
    """Numbers of the steps that have to be complete before."""
    label: str = ""
    """Label that the executor must have, if any."""
    rack: str = ""
    """Label of the rack where the tasks' data is, if any."""
    most_per_executor: int = 0
    """Most tasks of the step on one executor at a time; 0: no limit."""


class Terms(NamedTuple):
    """What the route of a batch promises."""

    route: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    """The objective in multiples of the longest chain of work."""
    slack: float = 0.0
    """Seconds that the objective allows beyond that."""


class Batch(NamedTuple):
    """A job as it was submitted."""

    name: str
    spec: str
    steps: tuple[Step, ...]
    terms: Terms


class Outcome(NamedTuple):
    """How a batch ended."""

    state: str
    reason: str
    retry_after: float = 0.0
    """Seconds until another try may be worth it; 0: not said."""
