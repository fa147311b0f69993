"""State of a gateway: routes in force, and batches whose callers wait."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from cardamompath_core import batches
from cardamompath_core import cancellations
from cardamompath_core import evacuation
from cardamompath_core import executor_digests
from cardamompath_core import planner_election
from cardamompath_core import pool_policy
from cardamompath_core import room_reports
from cardamompath_core import routes
from cardamompathd.controllers.gateway import gateway_drops
from cardamompathd.controllers.gateway import gateway_planners
from cardamompathd.controllers.gateway import gateway_queries
from cardamompathd.controllers.gateway import gateway_rooms
from cardamompathd.controllers.planner import run_losses

__all__ = [
    "GatewayState",
    "PendingBatch",
]


class PendingBatch:
    """A batch whose callers wait at this instance."""

    __slots__ = (
        "batch",
        "choice",
        "deadline",
        "ended_planner",
        "former_executors",
        "handed_at",
        "handed_over",
        "handover",
        "held",
        "need",
        "permitted_until",
        "planner",
        "refused_by",
        "rejected_reports",
        "resend_at",
        "round",
        "shard",
        "shard_changed",
        "submitted_at",
        "waiters",
    )

    def __init__(self, batch, msg, deadline, now):
        self.batch: batches.Batch = batch
        self.waiters: dict[Any, float] = {msg.reply_to: msg.seen_at}
        """When each caller that waits for the outcome was last seen, by its
        `reply_to`."""
        self.submitted_at = msg.arrived_at
        self.deadline = deadline
        self.planner: planner_election.Member | None = None
        self.shard: planner_election.Shard | None = None
        self.shard_changed = False
        """Whether its planners had different shards."""
        self.refused_by: set[str] = set()
        """Names of the planners that refused the batch."""
        self.rejected_reports: dict[tuple[str, int], float] = {}
        """When the report was made on which a planner last rejected the
        batch, in seconds of its clock, by its name and start time; infinity
        if it is not to be asked again."""
        self.choice: room_reports.Choice | None = None
        """Why it was sent to its planner, if that was chosen by reports."""
        self.need: room_reports.Need | None = None
        """What it needs to start, once that was asked for; each choice of a
        planner adds up the needs of all pending batches."""
        self.handed_at = now
        """When it was sent to its planner for the first time."""
        self.round = 0
        """Number of earlier planners that may have started tasks of it."""
        self.handed_over = False
        self.held = False
        """Whether it waited for the cancellations of before the start."""
        self.handover = 0
        """Number of its last hand-over to another planner."""
        self.former_executors: set[int] = set()
        """Digests of the executors of the planners that it was taken from."""
        self.permitted_until = 0.0
        """Until when one of its former planners may start tasks of it."""
        self.ended_planner = ""
        """Name of the only one of these, if it told that it does not plan."""
        self.resend_at = now + gateway_planners.RESEND_INTERVAL

    @property
    def seen_at(self) -> float:
        """Return when a caller was last there and had time left."""
        return min(self.deadline, max(self.waiters.values()))


class GatewayState:
    """The routes, the pending batches and the known planners."""

    def __init__(
        self,
        name: str,
        domain: str,
        is_batch_name: Callable[[str], bool],
        policy: pool_policy.PoolPolicy,
        known_evacuation: evacuation.Evacuation = evacuation.OFF,
        logs_cancellations: bool = False,
    ):
        self.name = name
        self.policy = policy
        self.domain = domain
        self.is_batch_name = is_batch_name
        """Returns whether a text is a valid name of a batch."""
        self.address = ("", 0)
        """Address on which this instance listens for the others."""
        self.viewed_since: float | None = None
        """When the first view of the fleet was published."""
        self.queries: dict[int, gateway_queries.Query] = {}
        """Questions that not every instance has answered, by number."""
        self.last_query = 0
        """Number of the last question."""
        self.new_addresses: dict[tuple[str, int], float] = {}
        """Instances that are new, and until when they are told of crashes and
        cancellations."""
        self.query_timer_set = False
        """Whether a timer is set that repeats questions."""
        self.cancellations = cancellations.CancellationMemory()
        self.logs_cancellations = logs_cancellations
        """Whether cancellations are kept in a log that outlasts all
        instances."""
        self.cancellations_known = not logs_cancellations
        """Whether those of before the start were read, or are no longer waited
        for."""
        self.reports_read_until = -math.inf
        """Until when this instance reports those that it has read to members
        that are new."""
        self.started = 0
        """Start time of this process, in milliseconds since 1970."""
        self.route_table: routes.RouteTable | None = None
        self.document = b""
        """The configuration in force, as it was published."""
        self.offered_at: dict[tuple[str, int], float] = {}
        """When the configuration was last offered to each address."""
        self.evacuation = known_evacuation
        """The evacuated failure domains."""
        self.evacuation_offered_at: dict[tuple[str, int], float] = {}
        """When they were lately offered to an address."""
        self.invalid_evacuations = 0
        """Number of malformed offers of them that were dropped."""
        self.invalid_evacuation_logged_at = -math.inf
        self.pending: dict[str, PendingBatch] = {}
        self.batch_by_waiter: dict[Any, str] = {}
        self.alive: tuple[planner_election.Member, ...] = ()
        self.missing: tuple[planner_election.Member, ...] = ()
        self.had_remote_planners = False
        """Whether the fleet has ever planned by failure domain."""
        self.assignment = planner_election.PlannerAssignment()
        self.planner_terms: dict[tuple[str, int], int] = {}
        """Number of the term of each planner, by its name and start time."""
        self.backlogs: dict[str, float] = {}
        """Backlog in seconds by the name of the planner."""
        self.rooms: dict[tuple[str, int], room_reports.HeardReport] = {}
        """The last report of the capacity of a planner, by its name and start
        time."""
        self.clock_offsets: dict[tuple[str, int], tuple[float, float]] = {}
        """How far the clock here is ahead of that of a planner, by its name
        and start time; see `room_reports.estimate_offset`."""
        self.send_rates = room_reports.SendRates()
        self.room_faults: dict[tuple[str, int], gateway_rooms.Fault] = {}
        """Reports of a planner that were dropped."""
        self.executors_held: dict[tuple[str, int], int] = {}
        """Digest of the executors that a planner holds, by its name and start
        time; see `ExecutorsHeld`."""
        self.planners_heard: dict[tuple[str, int], tuple[float, float]] = {}
        """When a planner sent its last heartbeat, in seconds of its clock, and
        when that arrived, by the planner's name and start time."""
        self.last_handover = 0
        """Number of the last hand-over of any batch."""
        self.drops: dict[tuple[str, str, int], gateway_drops.PendingDrop] = {}
        """Drops that were not acknowledged, by the batch and by the name and
        the start time of the planner."""
        self.losses = run_losses.LossMemory()
        """Losses that planners reported, also of batches of other instances,
        which may be submitted here next."""
        self.leaving = False
        self.answer_by = math.inf
        """When every caller has to have an answer, as the instance stops."""
        self.timer_set = False
        """Whether a timer is set that sends batches again."""

    def is_evacuated(self, planner: planner_election.Member) -> bool:
        """Return whether all executors of a planner are evacuated."""
        return (
            self.assignment.by_domain
            and planner.domain in self.evacuation.domains
        )

    def executors_of(self, planner: planner_election.Member) -> int:
        """Return the digest of the executors that a planner holds."""
        return self.executors_held.get(
            (planner.name, planner.started), executor_digests.UNKNOWN
        )
