"""Types that every package shares.

Payloads are opaque bytes to the decisions: front ends decode and encode
them.
"""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

__all__ = [
    "MAX_TASKS",
    "Answer",
    "BackendAnswer",
    "BackendSpec",
    "Complete",
    "Configuration",
    "Failed",
    "InstanceEntry",
    "JobSpec",
    "LoadHint",
    "PeerStatus",
    "PeerView",
    "Pending",
    "Refused",
    "ServiceSpec",
    "TaskRef",
    "TaskResult",
    "TaskSpec",
    "TaskState",
    "TeamSpec",
]

MAX_TASKS = 840
"""Most tasks that one job may have."""

TaskState = Literal["finished", "failed", "not_started", "unknown"]
"""What is known of a task: ``failed`` ran and failed, ``unknown`` may
have run."""

Phase = Literal["connect", "send", "answer", "done"]
"""How far an exchange with a backend server came."""


class TaskSpec(NamedTuple):
    """One task as the caller declared it."""

    service: str
    kind: str
    payload: bytes
    declared: float | None = None
    """Run time the caller expects, in seconds; a hint only."""


class JobSpec(NamedTuple):
    """A submission: a bundle of tasks, or a single request."""

    team: str
    tasks: tuple[TaskSpec, ...]
    timeout: float
    """Seconds from acceptance until the answer is due."""
    digest: str
    """Tells a repeated submission from another one."""
    idempotent: bool = False
    """Only for a single request: it may be retried."""
    single: bool = False
    """Whether this is a single request and not a job."""


class TaskRef(NamedTuple):
    """One task of one job."""

    job: str
    index: int


class TaskResult(NamedTuple):
    """What is known of one task at the end of its job."""

    state: TaskState
    status: int = 0
    """HTTP status of the backend server, 0 without one."""
    payload: bytes = b""
    backend: str = ""


class Complete(NamedTuple):
    """Every task ran and succeeded."""

    results: tuple[TaskResult, ...]


class Refused(NamedTuple):
    """Nothing of the submission ran, and nothing of it will."""

    code: str
    reason: str
    retry_after: float | None = None
    """Seconds after which another attempt makes sense, if ever."""


class Failed(NamedTuple):
    """The job ended without a complete answer; parts may have run."""

    code: str
    reason: str
    results: tuple[TaskResult, ...]


class Pending(NamedTuple):
    """The job has no answer yet, or its owner cannot be reached."""

    finished: int
    total: int
    reason: str = ""


Answer = Complete | Refused | Failed | Pending


class BackendAnswer(NamedTuple):
    """How one exchange with a backend server ended."""

    phase: Phase
    """The phase that the exchange reached; ``done`` has a status."""
    status: int = 0
    payload: bytes = b""
    not_run: bool = False
    """The backend server said itself that it did not run the task."""
    elapsed: float = 0.0
    """Seconds from the start of the exchange until its end."""
    error: str = ""
    leaving: bool = False
    """The backend server said that it takes no more work."""


class BackendSpec(NamedTuple):
    """A backend server as the configuration declares it."""

    name: str
    service: str
    domain: str
    host: str
    port: int
    slots: int = 8
    connections: int = 64
    leaving: bool = False
    """Whether the configuration itself says that it gets no new work."""
    since: int = 0
    """Revision that last added or changed it; set by the fold."""


class ServiceSpec(NamedTuple):
    """A service as the configuration declares it."""

    name: str
    timeout: float = 30.0
    """Longest time a backend server may take for a task, in seconds."""
    objective: float = 0.999
    """Share of work to be answered within its deadline."""


class TeamSpec(NamedTuple):
    """A team and its quota."""

    name: str
    share: float
    """Tasks in flight over all instances that the team is entitled to."""
    services: tuple[str, ...] = ()
    """Services that the quota is for; empty for all."""


class InstanceEntry(NamedTuple):
    """One line of the platform's list of instances."""

    name: str
    role: Literal["entry", "backend"]
    domain: str
    host: str
    port: int
    state: Literal["live", "leaving"]


class LoadHint(NamedTuple):
    """What an instance tells its peers of its load."""

    queued: int = 0
    in_flight: int = 0
    limit: int = 0
    """Tasks that may be in flight within its present limits."""


PeerStatus = Literal["alive", "suspect", "leaving", "dead"]


class PeerView(NamedTuple):
    """What an instance knows of a peer."""

    incarnation: str
    """Text form; see `cardamompath_core.identity`."""
    host: str
    port: int
    status: PeerStatus
    load: LoadHint = LoadHint()
    revision: int = 0


class Configuration(NamedTuple):
    """The configuration in force at one revision."""

    revision: int = 0
    offset: int = -1
    """Offset in the log up to which the fold went, inclusive."""
    services: tuple[ServiceSpec, ...] = ()
    backends: tuple[BackendSpec, ...] = ()
    teams: tuple[TeamSpec, ...] = ()
