"""Messages between the tasks of one instance.

Controllers receive messages and return `Send` items; the runtime
delivers them.  ``reply_to`` fields are opaque to the controllers: what
they get back is passed on in a `Reply`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Literal
from typing import NamedTuple

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
    "ConfigurationFetched",
    "Controller",
    "DigestExchangeEnded",
    "DigestReceived",
    "Drain",
    "Drained",
    "Enqueue",
    "ExchangeDigest",
    "FetchConfiguration",
    "GetBody",
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
    "PartsChanged",
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

JOBS = "jobs"
BACKENDS = "backends"
CONFIGURATION = "configuration"
CONNECTIONS = "connections"
CALLERS = "callers"
TIMERS = "timers"
APPENDER = "appender"
JOURNAL = "journal"
MEMBERSHIP = "membership"
PEERS = "peers"
QUOTAS = "quotas"
TELEMETRY = "telemetry"
SNAPSHOTS = "snapshots"
INSTANCES = "instances"
LOGS = "logs"


class Send(NamedTuple):
    """A message and the name of the task that it is for."""

    to: str
    msg: Any


class Controller(NamedTuple):
    """State of one kind and the function that receives its messages."""

    name: str
    receive: Callable[[Any, float], Sequence[Send]]
    """Called with a message and the present time."""


class IssueJobId(NamedTuple):
    """Ask for a job identifier; nothing runs."""

    reply_to: Any


class Submit(NamedTuple):
    """Submit a job, or a single request when `job` is empty."""

    job: str
    spec: types.JobSpec
    reply_to: Any


class AwaitJob(NamedTuple):
    """Ask for the answer of a job as soon as there is one."""

    job: str
    reply_to: Any


class StopWaiting(NamedTuple):
    """Give up waiting with a `reply_to` sent before.

    A reply that still waits gets a `Pending` answer with the present
    counts; one that was answered gets nothing more.
    """

    job: str
    reply_to: Any


class ListJobs(NamedTuple):
    """Ask for the oldest jobs, at most `limit`."""

    reply_to: Any
    limit: int
    stuck: bool = False
    """Only those that are unanswered past their deadline."""


class CancelJob(NamedTuple):
    """Stop a job; tasks that already started are awaited."""

    job: str
    reply_to: Any


class SubmitNamed(NamedTuple):
    """Submit a job under an identifier of the caller's own."""

    name: str
    spec: types.JobSpec
    reply_to: Any


class NotOwner(NamedTuple):
    """The job belongs to another incarnation."""

    job: str
    address: tuple[str, int] | None = None
    """Where the owner's instance listens for peers, if that is known."""


class Reply(NamedTuple):
    """An answer for whoever waits on `reply_to`."""

    reply_to: Any
    answer: Any


class Enqueue(NamedTuple):
    """Put the tasks of an accepted job in the queue."""

    job: str
    spec: types.JobSpec
    deadline: float
    waited_for_memory: bool = False
    """Whether a part of its time is gone already."""


class Withdraw(NamedTuple):
    """Take the queued tasks of a job out of the queue."""

    job: str


class TasksWithdrawn(NamedTuple):
    """The tasks that were taken out before they started."""

    job: str
    indexes: tuple[int, ...]
    wasted_attempts: int = 0
    """Wasted exchanges of the tasks that did not start."""


class JobRefused(NamedTuple):
    """An accepted job was refused before any of it started."""

    job: str
    refusal: types.Refused


class JobEnded(NamedTuple):
    """A job has its answer and holds nothing any more."""

    job: str
    tasks: tuple[types.TaskSpec, ...]
    results: tuple[types.TaskResult | None, ...]


class PartsChanged(NamedTuple):
    """What this instance may have in flight for each team."""

    parts: quotas.Parts


class StartTask(NamedTuple):
    """Send a task to a backend server."""

    backend: types.BackendSpec
    task: types.TaskRef
    service: str
    kind: str
    payload: bytes
    timeout: float
    """Seconds until the exchange is given up."""
    start_by: float = math.inf
    """When the lease ends under which the task may start."""


class AttemptEnded(NamedTuple):
    """An exchange with a backend server ended."""

    backend: str
    task: types.TaskRef
    answer: types.BackendAnswer


class TaskSettled(NamedTuple):
    """The final result of a task."""

    task: types.TaskRef
    result: types.TaskResult
    ideal_time: float = 0.0
    """Learned seconds of the task at usual speed, 0 when not known."""
    wasted_attempts: int = 0
    """Exchanges of the task that were sent but did not run it."""


class SetTimer(NamedTuple):
    """Ask for `TimerFired` at a time."""

    at: float
    to: str
    key: Any


class TimerFired(NamedTuple):
    """A timer that was set came due."""

    key: Any


class RecordsRead(NamedTuple):
    """Records of a stream in log order."""

    stream: str
    records: tuple[tuple[int, dict[str, Any]], ...]
    """Offsets and records."""
    oldest: int
    """Oldest offset that the log still keeps."""
    head: int
    """Offset that the next append will get."""


class ConfigurationChanged(NamedTuple):
    """A newer configuration is in force."""

    cfg: types.Configuration


class InstancesListed(NamedTuple):
    """The platform's list of instances, as last read."""

    entries: tuple[types.InstanceEntry, ...]


class PeerListenerStarted(NamedTuple):
    """Peers can reach this instance; exchanges may begin."""

    address: tuple[str, int]


class ReadInstances(NamedTuple):
    """Read the platform's list of instances now."""


class BackendsLeaving(NamedTuple):
    """Backend servers that must get no new work, by name.

    From the membership this is the whole set, which replaces the
    earlier one; to the membership it is what the sender saw itself.
    """

    names: frozenset[str]


class PeersChanged(NamedTuple):
    """What is known of the peers now."""

    peers: tuple[types.PeerView, ...]


class ExchangeDigest(NamedTuple):
    """Send a digest to a peer and get the one of the peer."""

    address: tuple[str, int]
    digest: membership.Digest


class DigestExchangeEnded(NamedTuple):
    """An exchange of digests ended, without a digest when it failed."""

    address: tuple[str, int]
    digest: membership.Digest | None


class DigestReceived(NamedTuple):
    """A peer sent its digest and waits for the one of this instance."""

    digest: membership.Digest
    reply_to: Any


class PeerConfiguration(NamedTuple):
    """What a peer says that it has in force."""

    address: tuple[str, int]
    revision: int
    offset: int
    fingerprint: str


class FetchConfiguration(NamedTuple):
    """Ask a peer for what it folded after an offset."""

    address: tuple[str, int]
    after: int


class ConfigurationFetched(NamedTuple):
    """What a peer handed over; None when it did not answer."""

    body: config_fold.Body | None


class GetBody(NamedTuple):
    """A peer asks for what was folded after an offset."""

    after: int
    reply_to: Any


class AppendSnapshot(NamedTuple):
    """Append a snapshot to the configuration's stream, once."""

    record: Any


class InstanceLeaving(NamedTuple):
    """The instance drains and will not come back."""


class LogLine(NamedTuple):
    """Something for the log of the process."""

    level: str
    text: str


class LoadReport(NamedTuple):
    """Load of this instance, for its peers."""

    load: types.LoadHint


class SubmissionEnded(NamedTuple):
    """A submission ended; for metrics and the burn report."""

    service: str
    """Service of the first task."""
    team: str
    outcome: str
    """``complete``, ``refused`` or ``failed``."""
    code: str
    response_time: float
    """From the acceptance until the answer."""
    in_time: bool
    """Whether the answer was there before the deadline."""
    task_counts: dict[str, int]
    """Number of tasks by what is known of them."""
    ideal_time: float = 0.0
    """Learned seconds of the longest task, 0 when not known."""
    wasted_attempts: int = 0
    """Exchanges that were sent but did not run their task."""


class PeerCallEnded(NamedTuple):
    """A call of or by a peer ended; for metrics."""

    sent_bytes: int
    """Bytes of frames that were sent."""
    received_bytes: int


class GetBurnCounts(NamedTuple):
    """Ask for the counts of ended submissions by time."""

    reply_to: Any


class LeaseChanged(NamedTuple):
    """An incarnation of this process may start tasks until a time."""

    owner: str
    until: float


class OwnerChanged(NamedTuple):
    """Identifiers are issued under another incarnation from now on."""

    owner: str


class ResolveForeignJob(NamedTuple):
    """Answer for a job of another instance: settled, or not our own."""

    job: str
    total: int
    """Number of tasks, 0 when it is not known."""
    address: tuple[str, int] | None
    """Where the owner's instance listens for peers, if that is known."""
    reply_to: Any


class Claim(NamedTuple):
    """Claim a caller's own identifier in the log."""

    name: str
    job: str
    digest: str
    lookup: bool = False
    """Only tell who won the name, if anyone did."""


class ClaimDecided(NamedTuple):
    """How a claim ended."""

    name: str
    job: str
    """The job that won the name; empty if the log did not take it."""
    digest: str = ""


class CollectProgress(NamedTuple):
    """Ask the jobs controller for what is to be journalled.

    Jobs accepted before a time are told, and those that ended.
    """

    accepted_before: float


class ProgressCollected(NamedTuple):
    """What is new of the jobs since the last time."""

    jobs: dict[str, journal_fold.Progress]


class Append(NamedTuple):
    """Append records to a stream."""

    stream: str
    records: tuple[dict[str, Any], ...]


class AppendEnded(NamedTuple):
    """How the last append ended."""

    outcome: Literal["done", "refused", "unknown"]


class ReadBack(NamedTuple):
    """Read a stream from an offset to its head."""

    stream: str
    offset: int


class ReadBackEnded(NamedTuple):
    """What was read back; None while the log cannot be read."""

    records: tuple[dict[str, Any], ...] | None


class GetConfiguration(NamedTuple):
    """Ask for the configuration in force."""

    reply_to: Any


class GetStatus(NamedTuple):
    """Ask a controller for a summary of its state."""

    reply_to: Any


class Drain(NamedTuple):
    """Take no new work; reply when every job is answered.

    Answers that nobody waited for are kept for `answer_hold` seconds more, so
    that their callers can still fetch them.
    """

    reply_to: Any
    answer_hold: float = 0.0


class ReleaseWaiters(NamedTuple):
    """Answer everyone who waits with what is known now."""


class Drained(NamedTuple):
    """Nothing is in flight any more."""
