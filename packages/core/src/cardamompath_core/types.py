"""Types shared by all packages.

The decision layer treats payloads as opaque bytes; front ends encode and
decode them.
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
"""Maximum number of tasks in a job."""

TaskState = Literal["finished", "failed", "not_started", "unknown"]
"""Known state of a task: a ``failed`` task ran and failed, an ``unknown``
one may have run."""

Phase = Literal["connect", "send", "answer", "done"]
"""Phases of an HTTP exchange with a backend server, in order."""


class TaskSpec(NamedTuple):
    """A task as the caller submitted it."""

    service: str
    kind: str
    payload: bytes
    declared: float | None = None
    """Run time that the caller expects, in seconds; only a hint."""


class JobSpec(NamedTuple):
    """A submission: either a job of several tasks or a single request."""

    team: str
    tasks: tuple[TaskSpec, ...]
    timeout: float
    """Seconds from acceptance until the answer is due."""
    digest: str
    """Hash of the content, which distinguishes a resubmission from a
    different submission under the same identifier."""
    idempotent: bool = False
    """Whether a single request may be retried; ignored for a job."""
    single: bool = False
    """Whether this is a single request rather than a job."""


class TaskRef(NamedTuple):
    """Reference to a task: the job and the position of the task in it."""

    job: str
    index: int


class TaskResult(NamedTuple):
    """What is known of a task when its job ends."""

    state: TaskState
    status: int = 0
    """HTTP status from the backend server; 0 if there was no response."""
    payload: bytes = b""
    backend: str = ""


class Complete(NamedTuple):
    """Every task ran and succeeded."""

    results: tuple[TaskResult, ...]


class Refused(NamedTuple):
    """No task of the submission has run and none will."""

    code: str
    reason: str
    retry_after: float | None = None
    """Seconds after which to retry; None if no delay is suggested."""


class Failed(NamedTuple):
    """The job ended without a complete answer; some tasks may have run."""

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
    """Result of one exchange with a backend server."""

    phase: Phase
    """Phase in which the exchange ended; `status` is set if ``done``."""
    status: int = 0
    payload: bytes = b""
    not_run: bool = False
    """Whether the backend server reported that it did not run the task."""
    elapsed: float = 0.0
    """Duration of the exchange in seconds."""
    error: str = ""
    leaving: bool = False
    """Whether the backend server reported that it accepts no more work."""
    aborted: bool = False
    """Whether the connection was ended or refused before the answer."""


class BackendSpec(NamedTuple):
    """A backend server in the configuration."""

    name: str
    service: str
    domain: str
    host: str
    port: int
    slots: int = 8
    connections: int = 64
    leaving: bool = False
    """Whether the configuration marks it to receive no new work."""
    since: int = 0
    """Revision that added or last changed the entry; set by the fold."""


class ServiceSpec(NamedTuple):
    """A service in the configuration."""

    name: str
    timeout: float = 30.0
    """Maximum time in seconds that a backend server may take for a task."""
    objective: float = 0.999
    """Target share of submissions answered within their deadline."""


class TeamSpec(NamedTuple):
    """A team and its quota."""

    name: str
    share: float
    """Quota: guaranteed number of tasks in flight over all instances."""
    services: tuple[str, ...] = ()
    """Services to which the quota applies; all if empty."""


class InstanceEntry(NamedTuple):
    """Entry of the platform's list of instances and backend servers."""

    name: str
    role: Literal["entry", "backend"]
    domain: str
    host: str
    port: int
    state: Literal["live", "leaving"]


class LoadHint(NamedTuple):
    """Load of an instance as it reports it to its peers."""

    queued: int = 0
    in_flight: int = 0
    limit: int = 0
    """Number of tasks that its current limits allow in flight."""


PeerStatus = Literal["alive", "suspect", "leaving", "dead"]


class PeerView(NamedTuple):
    """State of a peer as seen by one instance."""

    incarnation: str
    """Text form of the incarnation; see `cardamompath_core.identity`."""
    host: str
    port: int
    status: PeerStatus
    load: LoadHint = LoadHint()
    revision: int = 0


class Configuration(NamedTuple):
    """The configuration in force at one revision."""

    revision: int = 0
    offset: int = -1
    """Log offset of the last record folded in; -1 if none."""
    services: tuple[ServiceSpec, ...] = ()
    backends: tuple[BackendSpec, ...] = ()
    teams: tuple[TeamSpec, ...] = ()
