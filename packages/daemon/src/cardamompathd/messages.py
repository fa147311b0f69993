"""Messages between the tasks of one instance.

Controllers receive messages and return `Send` items; the runtime
delivers them.  A ``reply_to`` field is opaque to the controllers: they
copy it into the `Reply` that answers the message.  A ``job`` field holds
a job identifier, an ``owner`` field the incarnation that issues and runs
jobs, in its text form.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Sequence
from typing import TYPE_CHECKING
from typing import Any
from typing import Literal
from typing import NamedTuple

if TYPE_CHECKING:
    from cardamompath_core import config_fold
    from cardamompath_core import journal_fold
    from cardamompath_core import membership
    from cardamompath_core import quotas
    from cardamompath_core import types

__all__ = [
    "APPENDER",
    "Append",
    "AppendEnded",
    "AppendSnapshot",
    "AttemptEnded",
    "AwaitJob",
    "BACKENDS",
    "BackendsLeaving",
    "CALLERS",
    "CONFIGURATION",
    "CONNECTIONS",
    "CancelJob",
    "Claim",
    "ClaimDecided",
    "CollectProgress",
    "ConfigurationChanged",
    "ConfigUpdateFetched",
    "Controller",
    "DigestExchangeEnded",
    "DigestReceived",
    "Drain",
    "Drained",
    "Enqueue",
    "ExchangeDigest",
    "FetchConfigUpdate",
    "GetConfigUpdate",
    "GetBurnCounts",
    "GetConfiguration",
    "GetStatus",
    "INSTANCES",
    "InstanceLeaving",
    "InstancesListed",
    "IssueJobId",
    "JOBS",
    "JOURNAL",
    "JobEnded",
    "JobRefused",
    "LOGS",
    "LeaseChanged",
    "ListJobs",
    "LoadReport",
    "LogLine",
    "MEMBERSHIP",
    "NotOwner",
    "OwnerChanged",
    "PEERS",
    "TeamSharesChanged",
    "PeerCallEnded",
    "PeerConfiguration",
    "PeerListenerStarted",
    "PeersChanged",
    "ProgressCollected",
    "QUOTAS",
    "ReadBack",
    "ReadBackEnded",
    "ReadInstances",
    "RecordsRead",
    "ReleaseWaiters",
    "Reply",
    "ResolveForeignJob",
    "SNAPSHOTS",
    "Send",
    "SetTimer",
    "StartTask",
    "StopWaiting",
    "SubmissionEnded",
    "Submit",
    "SubmitNamed",
    "TELEMETRY",
    "TIMERS",
    "TaskSettled",
    "TasksWithdrawn",
    "TimerFired",
    "Withdraw",
]

# Names of the tasks that receive messages.  Those without a comment are
# controllers.
JOBS = "jobs"
BACKENDS = "backends"
CONFIGURATION = "configuration"
CONNECTIONS = "connections"
"""The tasks that send requests to backend servers."""
CALLERS = "callers"
"""Passes each `Reply` to the thread that waits for it."""
TIMERS = "timers"
"""The timers of the actor that runs the controller."""
APPENDER = "appender"
"""The task that appends to the log's streams and reads them back."""
JOURNAL = "journal"
MEMBERSHIP = "membership"
PEERS = "peers"
"""The task that calls peers."""
QUOTAS = "quotas"
TELEMETRY = "telemetry"
SNAPSHOTS = "snapshots"
"""The task that appends configuration snapshots."""
INSTANCES = "instances"
"""The task that reads the platform's list of instances."""
LOGS = "logs"
"""Writes to the log of the process."""


class Send(NamedTuple):
    """A message and the name of the task that receives it."""

    to: str
    msg: Any


class Controller(NamedTuple):
    """The name of a controller and the function that runs it.

    The function is a closure over the controller's state.
    """

    name: str
    receive: Callable[[Any, float], Sequence[Send]]
    """Handles a message, given the present time in seconds on the
    instance's clock."""


class IssueJobId(NamedTuple):
    """Issue a job identifier; nothing runs."""

    reply_to: Any


class Submit(NamedTuple):
    """Submit a job, or a single request if `job` is empty."""

    job: str
    spec: types.JobSpec
    reply_to: Any


class AwaitJob(NamedTuple):
    """Request the answer of a job, as soon as there is one."""

    job: str
    reply_to: Any


class StopWaiting(NamedTuple):
    """End the wait of a `reply_to` that was sent earlier.

    If it is still unanswered it gets a `Pending` answer with the present
    task counts, otherwise nothing.
    """

    job: str
    reply_to: Any


class ListJobs(NamedTuple):
    """Request a list of the oldest jobs, at most `limit`."""

    reply_to: Any
    limit: int
    stuck: bool = False
    """Whether to list only jobs that are unanswered past their deadline."""


class CancelJob(NamedTuple):
    """Cancel a job; it ends with the attempts that are in flight."""

    job: str
    reply_to: Any


class SubmitNamed(NamedTuple):
    """Submit a job under a name that the caller chose."""

    name: str
    spec: types.JobSpec
    reply_to: Any


class NotOwner(NamedTuple):
    """The job belongs to an incarnation of another instance."""

    job: str
    address: tuple[str, int] | None = None
    """Peer address of the owner's instance; None if unknown."""


class Reply(NamedTuple):
    """The answer to a message that carried `reply_to`."""

    reply_to: Any
    answer: Any


class Enqueue(NamedTuple):
    """Add the tasks of an accepted job to the queue."""

    job: str
    spec: types.JobSpec
    deadline: float
    waited_for_memory: bool = False
    """Whether the job waited for memory, which used up a part of its
    timeout."""


class Withdraw(NamedTuple):
    """Remove those tasks of a job from the queue that did not start."""

    job: str


class TasksWithdrawn(NamedTuple):
    """The tasks of a job that were removed before they started."""

    job: str
    indexes: tuple[int, ...]
    wasted_attempts: int = 0
    """Attempts for these tasks that were sent but did not run them."""


class JobRefused(NamedTuple):
    """An accepted job was refused before any of its tasks started."""

    job: str
    refusal: types.Refused


class JobEnded(NamedTuple):
    """A job was answered, so that its memory reservation ends."""

    job: str
    tasks: tuple[types.TaskSpec, ...]
    results: tuple[types.TaskResult | None, ...]


class TeamSharesChanged(NamedTuple):
    """The share of this instance in each team's quota changed."""

    shares: quotas.TeamShares


class StartTask(NamedTuple):
    """Start an attempt to run a task on a backend server."""

    backend: types.BackendSpec
    task: types.TaskRef
    service: str
    kind: str
    payload: bytes
    timeout: float
    """Seconds after which the attempt is abandoned."""
    start_by: float = math.inf
    """End of the lease of the job's owner: the task must not start at or
    after this time."""


class AttemptEnded(NamedTuple):
    """An attempt to run a task on a backend server ended."""

    backend: str
    task: types.TaskRef
    answer: types.BackendAnswer


class TaskSettled(NamedTuple):
    """The final result of a task."""

    task: types.TaskRef
    result: types.TaskResult
    ideal_time: float = 0.0
    """Estimated run time of the task at the usual speed, in seconds; 0 if
    unknown."""
    wasted_attempts: int = 0
    """Attempts that were sent to a backend server but did not run the
    task."""


class SetTimer(NamedTuple):
    """Request a `TimerFired` with `key` at a time."""

    at: float
    to: str
    key: Any


class TimerFired(NamedTuple):
    """A timer expired."""

    key: Any


class RecordsRead(NamedTuple):
    """Records were read from a stream of the log."""

    stream: str
    records: tuple[tuple[int, dict[str, Any]], ...]
    """Offsets and records, in log order."""
    oldest: int
    """Oldest offset that the log retains."""
    head: int
    """Offset of the next record to be appended."""


class ConfigurationChanged(NamedTuple):
    """A newer configuration came into force."""

    cfg: types.Configuration


class InstancesListed(NamedTuple):
    """The platform's list of instances was read."""

    entries: tuple[types.InstanceEntry, ...]


class PeerListenerStarted(NamedTuple):
    """The listener for peers is open; digest exchanges may begin."""

    address: tuple[str, int]


class ReadInstances(NamedTuple):
    """Read the platform's list of instances now."""


class BackendsLeaving(NamedTuple):
    """Names of the backend servers that are leaving: they get no new work.

    From the membership controller it is the whole set and replaces the
    earlier one; to the membership controller it is what the sender
    observed itself.
    """

    names: frozenset[str]


class PeersChanged(NamedTuple):
    """The membership view of the peers changed."""

    peers: tuple[types.PeerView, ...]


class ExchangeDigest(NamedTuple):
    """Send a digest to a peer and receive the peer's digest."""

    address: tuple[str, int]
    digest: membership.Digest


class DigestExchangeEnded(NamedTuple):
    """A digest exchange ended; `digest` is None if it failed."""

    address: tuple[str, int]
    digest: membership.Digest | None


class DigestReceived(NamedTuple):
    """A peer sent its digest and waits for this instance's digest."""

    digest: membership.Digest
    reply_to: Any


class PeerConfiguration(NamedTuple):
    """A peer reported which configuration it has in force."""

    address: tuple[str, int]
    revision: int
    offset: int
    fingerprint: str


class FetchConfigUpdate(NamedTuple):
    """Request the configuration changes after an offset from a peer."""

    address: tuple[str, int]
    after: int


class ConfigUpdateFetched(NamedTuple):
    """A peer sent configuration changes, or did not answer.

    `update` is None if the peer did not answer.
    """

    update: config_fold.ConfigUpdate | None


class GetConfigUpdate(NamedTuple):
    """A peer requests the configuration changes after an offset."""

    after: int
    reply_to: Any


class AppendSnapshot(NamedTuple):
    """Append a snapshot to the configuration stream, without a retry."""

    record: Any


class InstanceLeaving(NamedTuple):
    """The instance drains and then shuts down."""


class LogLine(NamedTuple):
    """A line for the log of this process."""

    level: str
    text: str


class LoadReport(NamedTuple):
    """The load of this instance, to be sent to its peers."""

    load: types.LoadHint


class SubmissionEnded(NamedTuple):
    """A submission was answered; for metrics and the burn report."""

    service: str
    """Service of the first task; empty if the service is unknown."""
    team: str
    outcome: str
    """``complete``, ``refused`` or ``failed``."""
    code: str
    response_time: float
    """Seconds from the acceptance to the answer."""
    in_time: bool
    """Whether the answer came by the deadline."""
    task_counts: dict[str, int]
    """Number of tasks by state."""
    ideal_time: float = 0.0
    """Estimated run time of the longest task at the usual speed, in
    seconds; 0 if unknown."""
    wasted_attempts: int = 0
    """Attempts that were sent to a backend server but did not run their
    task."""


class PeerCallEnded(NamedTuple):
    """A call to or from a peer ended; for metrics."""

    sent_bytes: int
    """Bytes of the frame that this instance sent."""
    received_bytes: int
    """Bytes of the frame that this instance received."""


class GetBurnCounts(NamedTuple):
    """Request the counts of answered submissions by time."""

    reply_to: Any


class LeaseChanged(NamedTuple):
    """The lease of an incarnation of this process changed.

    The incarnation may start tasks before `until`.
    """

    owner: str
    until: float


class OwnerChanged(NamedTuple):
    """Identifiers are issued under another incarnation from now on."""

    owner: str


class ResolveForeignJob(NamedTuple):
    """Answer a request for a job that another instance owns.

    The answer is the settlement if the owner is dead, a failure if the
    owner stayed out of reach for too long, else `NotOwner`.
    """

    job: str
    total: int
    """Number of tasks; 0 if unknown."""
    address: tuple[str, int] | None
    """Peer address of the owner's instance; None if unknown."""
    reply_to: Any


class Claim(NamedTuple):
    """Claim a caller's name for a job in the log."""

    name: str
    job: str
    digest: str
    lookup: bool = False
    """Whether to look up an earlier claim only, and to make none."""


class ClaimDecided(NamedTuple):
    """The journal decided which job holds a claimed name."""

    name: str
    job: str
    """The job whose claim is the first in the log; empty if none was read."""
    digest: str = ""
    """Digest of the submission that made this claim."""


class CollectProgress(NamedTuple):
    """Request the job progress that is to be journalled.

    It includes changed jobs that ended, or that were accepted before a
    time.
    """

    accepted_before: float


class ProgressCollected(NamedTuple):
    """The progress of the jobs that changed since the last request."""

    jobs: dict[str, journal_fold.Progress]


class Append(NamedTuple):
    """Append records to a stream."""

    stream: str
    records: tuple[dict[str, Any], ...]


class AppendEnded(NamedTuple):
    """The append in flight ended."""

    outcome: Literal["done", "refused", "unknown"]
    """``refused`` means that nothing was appended."""


class ReadBack(NamedTuple):
    """Read a stream from an offset to its head."""

    stream: str
    offset: int


class ReadBackEnded(NamedTuple):
    """A stream was read back; `records` is None if the read failed."""

    records: tuple[dict[str, Any], ...] | None


class GetConfiguration(NamedTuple):
    """Request the configuration in force."""

    reply_to: Any


class GetStatus(NamedTuple):
    """Request a summary of a controller's state."""

    reply_to: Any


class Drain(NamedTuple):
    """Accept no new work; reply once every job is answered.

    For `answer_hold` seconds the reply also waits until every answer was
    fetched, so that callers can still get them.
    """

    reply_to: Any
    answer_hold: float = 0.0


class ReleaseWaiters(NamedTuple):
    """Answer every waiting request with `Pending` now."""


class Drained(NamedTuple):
    """Every job is answered; the instance may stop."""
