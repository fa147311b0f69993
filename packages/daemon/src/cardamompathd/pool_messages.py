"""Messages between the tasks that run batches on a pool of executors."""

from __future__ import annotations

from typing import Any
from typing import Literal
from typing import NamedTuple

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompath_core import routes

__all__ = [
    "AddressesFound",
    "BacklogChanged",
    "BacklogMeasured",
    "BatchEnded",
    "CONFIGURATIONS",
    "CancelBatch",
    "ConfigurationOffered",
    "DECISION_LOG",
    "Decision",
    "DisconnectExecutor",
    "DropBatch",
    "EXECUTORS",
    "EndedRun",
    "ExecutorsListed",
    "FLEET",
    "FleetChanged",
    "GATEWAY",
    "HeartbeatReceived",
    "HoldAnswered",
    "HoldExecutor",
    "HoldFailed",
    "LINKS",
    "LISTINGS",
    "Leave",
    "LinkFailed",
    "OfferConfiguration",
    "PLANNER",
    "PlanBatch",
    "ProbeAnswered",
    "ProbeExecutor",
    "RemotePlannerUsed",
    "RoutesConfigured",
    "Run",
    "SendToMember",
    "SendToMembers",
    "SetLink",
    "SetListingRate",
    "ShardChanged",
    "StartAnswered",
    "StartResult",
    "StartRun",
    "StopAnswered",
    "StopRun",
    "SubmitBatch",
    "WithdrawBatch",
]

FLEET = "fleet"
GATEWAY = "gateway"
PLANNER = "planner"
LINKS = "links"
EXECUTORS = "executors"
CONFIGURATIONS = "configurations"
"""The task that reads published configurations."""
LISTINGS = "listings"
"""The task that reads which executors are registered."""
DECISION_LOG = "decisions"
"""The task that writes the log of decisions."""


class Decision(NamedTuple):
    """A line for the log of decisions."""

    part: str
    event: str
    request: str
    """Identifier of the batch; empty when it concerns none."""
    fields: dict[str, Any]


class Run(NamedTuple):
    """One attempt at a task."""

    batch: str
    step: int
    index: int
    attempt: int


class SubmitBatch(NamedTuple):
    """A caller hands in a batch and waits for a `batches.Outcome`."""

    host: str
    path: str
    """The prefix of a route and the name of the batch."""
    spec: str
    steps: tuple[batches.Step, ...]
    timeout: float
    """Seconds that the caller waits for the outcome."""
    reply_to: Any


class WithdrawBatch(NamedTuple):
    """The caller that waited with `reply_to` is gone."""

    reply_to: Any


class CancelBatch(NamedTuple):
    """A caller cancels a batch; the reply is whether it was known.

    A `batches.Outcome` when the routes are not known yet.
    """

    host: str
    path: str
    reply_to: Any


class CountWaiting(NamedTuple):
    """A caller asks how many batches of a route have not begun.

    The reply is the number, None when there is no such route, or a
    `batches.Outcome` when the routes are not known yet.
    """

    host: str
    path: str
    reply_to: Any


class SetListingRate(NamedTuple):
    """How closely the registered executors have to be followed."""

    planning: bool


class GetReadiness(NamedTuple):
    """Ask whether callers should be sent here.

    The reply is a reason against it, or an empty text.
    """

    reply_to: Any


class PlanBatch(NamedTuple):
    """An instance asks a planner to run a batch."""

    batch: batches.Batch
    origin: str
    """Name of the instance that answers the caller."""
    age: float
    """Seconds since the caller submitted it."""
    time_left: float
    """Seconds that the caller still waits."""
    round: int
    """How many planners were asked before."""
    shard_changed: bool = True
    """Whether these held executors that the one asked now does not."""


class DropBatch(NamedTuple):
    """The instance that answers the caller no longer needs a batch."""

    name: str
    origin: str


class BatchEnded(NamedTuple):
    """A planner tells how a batch ended."""

    name: str
    origin: str
    outcome: batches.Outcome
    planner: str
    """Name of the instance that planned it."""


class HeartbeatReceived(NamedTuple):
    """A member said that it is alive."""

    member: planner_election.Member
    config_version: int
    known_addresses: tuple[tuple[str, int], ...]
    """Addresses of the members that it knows."""
    interval: float = 0.1
    """Seconds until it says so again."""
    backlog: float = 0.0
    """Seconds that the work which waits there takes its executors."""


class AddressesFound(NamedTuple):
    """Addresses where members may listen."""

    addresses: tuple[tuple[str, int], ...]
    source: str


class LinkFailed(NamedTuple):
    """The link to an address broke or could not be opened."""

    address: tuple[str, int]
    refused: bool
    """Nothing listens there: the process is gone, not the path to it."""


class Leave(NamedTuple):
    """The instance shuts down."""


class FleetChanged(NamedTuple):
    """The members that count as alive, this one included."""

    own_member: planner_election.Member
    alive: tuple[planner_election.Member, ...]
    missing: tuple[planner_election.Member, ...]
    """Members that fell silent and may be behind a partition."""
    domain_sizes: tuple[tuple[str, int], ...] = ()
    """Members of each failure domain that were heard lately."""
    has_quorum: bool = True
    """Whether most of those were just heard that this instance would plan
    for, should a place be free for it."""


class BacklogMeasured(NamedTuple):
    """How long the work that waits takes this planner's executors."""

    backlog: float
    """Seconds."""


class BacklogChanged(NamedTuple):
    """How long the work that waits takes a planner's executors."""

    name: str
    backlog: float
    """Seconds."""


class ShardChanged(NamedTuple):
    """Tell at which place this instance plans; -1: at none."""

    shard_number: int


class RemotePlannerUsed(NamedTuple):
    """A planner of another failure domain has a batch of ours.

    It has to notice soon when this instance is gone.
    """

    name: str
    until: float


class SetLink(NamedTuple):
    """Keep a link to an address, or drop it."""

    address: tuple[str, int]
    keep: bool


class SendToMember(NamedTuple):
    """Send a message to the member at an address."""

    address: tuple[str, int]
    msg: Any


class SendToMembers(NamedTuple):
    """Send one message to the members at several addresses."""

    addresses: tuple[tuple[str, int], ...]
    msg: Any


class ExecutorsListed(NamedTuple):
    """The executors that are registered now."""

    executors: tuple[executors.Executor, ...]


class RoutesConfigured(NamedTuple):
    """A version of the desired configuration, from the store or a peer."""

    table: routes.RouteTable
    document: bytes
    """What was published."""
    source: str


class ConfigurationInForce(NamedTuple):
    """A version of the desired configuration is in force here."""

    version: int


class ConfigurationOffered(NamedTuple):
    """A version of the desired configuration, as it was published."""

    version: int
    document: bytes


class OfferConfiguration(NamedTuple):
    """Send the configuration in force to a member that has an older one."""

    address: tuple[str, int]


StartResult = Literal[
    "started", "room", "old", "late", "fenced", "unhealthy", "reborn",
    "invalid", "unsent", "unknown",
]  # fmt: skip
"""``unknown``: the executor may have started the run."""


class StartRun(NamedTuple):
    """Order an executor to start a run."""

    executor: executors.Executor
    token: int
    run: Run
    spec: str
    expires: float
    """Seconds on the executor's clock at which the lease ends."""


class StartAnswered(NamedTuple):
    """What an executor said to an order to start."""

    executor: str
    run: Run
    result: StartResult
    detail: str
    clock: float | None
    """Seconds on the executor's clock, if it said so."""


class StopRun(NamedTuple):
    """Order an executor to stop a run, or never to start it."""

    executor: executors.Executor
    token: int
    run: Run


class StopAnswered(NamedTuple):
    """Whether an order to stop arrived."""

    executor: str
    run: Run
    stopped: bool
    detail: str


class HoldExecutor(NamedTuple):
    """Extend the leases on an executor and wait for ends."""

    executor: executors.Executor
    token: int
    acknowledged: int
    """Number of the last end that was dealt with."""
    expires: float | None
    """Seconds on the executor's clock at which the leases end."""
    wait: float
    """Seconds to wait for an end."""


class EndedRun(NamedTuple):
    """A run that ended, as its executor lists it."""

    number: int
    run: Run
    state: str
    """``done``, ``failed``, ``stopped``, ``lapsed`` or another reason."""


class HoldAnswered(NamedTuple):
    """What runs on an executor and what ended there."""

    executor: str
    token: int
    incarnation: int
    clock: float
    running: tuple[Run, ...]
    ended: tuple[EndedRun, ...]


class HoldFailed(NamedTuple):
    """An executor could not be held."""

    executor: str
    token: int
    fenced: bool
    restarted: bool
    detail: str


class DisconnectExecutor(NamedTuple):
    """Close the connections to an executor that is no longer held."""

    executor: executors.Executor


class ProbeExecutor(NamedTuple):
    """Find out whether an executor can be reached, without a claim."""

    executor: executors.Executor


class ProbeAnswered(NamedTuple):
    """Whether an executor could be reached."""

    executor: str
    reached: bool
