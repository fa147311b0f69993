"""Messages about executors, to them and from them."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

from cardamompath_core import executors

__all__ = [
    "DisconnectExecutor",
    "EndedRun",
    "ExecutorsListed",
    "HoldAnswered",
    "HoldExecutor",
    "HoldFailed",
    "ProbeAnswered",
    "ProbeExecutor",
    "Run",
    "StartAnswered",
    "StartResult",
    "StartRun",
    "StopAnswered",
    "StopRun",
]


class Run(NamedTuple):
    """One attempt to run a task on an executor."""

    batch: str
    step: int
    index: int
    attempt: int


class ExecutorsListed(NamedTuple):
    """The current list of registered executors."""

    executors: tuple[executors.Executor, ...]
    is_complete: bool = True
    """Whether every live executor is listed.  After an outage of the store
    some have yet to register again."""


StartResult = Literal[
    "started", "room", "old", "late", "fenced", "unhealthy", "reborn",
    "invalid", "unsent", "unknown",
]  # fmt: skip
"""``room``: too few free resources; ``old``: a later attempt was seen;
``late``: the lease has ended; ``fenced``: a higher token was seen;
``unhealthy``: the executor takes no requests now; ``reborn``: it was
restarted; ``invalid``: it rejects the task; ``unsent``: no connection opened;
``unknown``: the executor may have started the run, but did not confirm it."""


class StartRun(NamedTuple):
    """Start a run on an executor."""

    executor: executors.Executor
    token: int
    """Fencing token of the planner."""
    run: Run
    spec: str
    expires: float
    """End of the lease, in seconds of the executor's clock."""


class StartAnswered(NamedTuple):
    """The result of a `StartRun`."""

    executor: str
    run: Run
    result: StartResult
    detail: str
    clock: float | None
    """The executor's clock in seconds, if the answer has it."""


class StopRun(NamedTuple):
    """Stop a run on an executor, or keep it from starting later."""

    executor: executors.Executor
    token: int
    run: Run


class StopAnswered(NamedTuple):
    """The result of a `StopRun`."""

    executor: str
    run: Run
    stopped: bool
    """Whether the executor accepted the request."""
    detail: str


class HoldExecutor(NamedTuple):
    """Claim an executor, renew the leases there and wait for ends of runs."""

    executor: executors.Executor
    token: int
    acknowledged: int
    """Number of the last `EndedRun` that was processed."""
    expires: float | None
    """New end of the leases, in seconds of the executor's clock; None keeps
    the ends that they have."""
    wait: float
    """Seconds after which the executor answers even if no run has ended."""


class EndedRun(NamedTuple):
    """A run that ended, as reported by its executor."""

    number: int
    """Sequence number of the end at its executor."""
    run: Run
    state: str
    """``done``, ``failed``, ``stopped``, ``lapsed`` or another reason."""


class HoldAnswered(NamedTuple):
    """An executor answered a `HoldExecutor` with its runs."""

    executor: str
    token: int
    incarnation: int
    clock: float
    """The executor's clock in seconds."""
    running: tuple[Run, ...]
    ended: tuple[EndedRun, ...]


class HoldFailed(NamedTuple):
    """A `HoldExecutor` failed."""

    executor: str
    token: int
    fenced: bool
    """Whether the executor has seen a higher fencing token."""
    restarted: bool
    """Whether the executor was restarted since it was claimed."""
    detail: str
    aborted: bool = False
    """Whether the executor ended or refused the connection."""


class DisconnectExecutor(NamedTuple):
    """Close the connections to an executor that is no longer claimed."""

    executor: executors.Executor


class ProbeExecutor(NamedTuple):
    """Check whether an executor can be reached, without claiming it."""

    executor: executors.Executor


class ProbeAnswered(NamedTuple):
    """The result of a `ProbeExecutor`."""

    executor: str
    reached: bool
