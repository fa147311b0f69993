"""State of a planner: the executors that it claims and its batches."""

from __future__ import annotations

import collections
import math
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cardamompath_core import batch_order
from cardamompath_core import batches
from cardamompath_core import cancellations
from cardamompath_core import evacuation
from cardamompath_core import executor_digests
from cardamompath_core import executor_readings
from cardamompath_core import executors
from cardamompath_core import placement
from cardamompath_core import planner_election
from cardamompath_core import pool_policy
from cardamompath_core import room_reports
from cardamompath_core import run_times
from cardamompathd import pool_messages
from cardamompathd.controllers.planner import planner_ends
from cardamompathd.controllers.planner import planner_executors
from cardamompathd.controllers.planner import planner_forecast
from cardamompathd.controllers.planner import planner_plans
from cardamompathd.controllers.planner import planner_shares
from cardamompathd.controllers.planner import run_losses

__all__ = [
    "RESUBMIT_DELAY",
    "Permission",
    "PlannerState",
    "Rejection",
]


RESUBMIT_DELAY = 1.3
"""Default of the seconds after which callers submit a batch again."""
MAX_REMEMBERED = 4096
"""Maximum number of outcomes kept for instances that missed them, of dropped
batches that are remembered, and of executors whose last token is."""
DEFAULT_POLICY = pool_policy.PoolPolicy()


class Permission(NamedTuple):
    """Until when an instance leaves its batches with this planner.

    Of two from one process the greater one is newer.
    """

    started: int
    """Start time of the instance, in milliseconds since 1970."""
    term: int
    """Number of this planner's term there."""
    until: float
    """In seconds of the clock of this planner."""
    confirmed_at: float
    """When the instance lived, left its batches here and saw their callers,
    or earlier, in the same seconds."""
    heard_at: float = 0.0
    """When this planner sent the last heartbeat that the instance had received
    by then, in the same seconds; 0 if it does not tell."""
    handover: int = -1
    """Number of the last hand-over that `confirmed_at` is true of; -1 for
    all of them."""


class Rejection(NamedTuple):
    """A hand-over that this planner has rejected."""

    handover: int
    """Number of the hand-over at its origin."""
    outcome: batches.Outcome


class PlannerState:
    """The state of the planner of an instance."""

    def __init__(
        self,
        name: str,
        make_token: Callable[[], int],
        remote_rack_factor: float = 1.0,
        resubmit_delay: float = RESUBMIT_DELAY,
        policy: pool_policy.PoolPolicy = DEFAULT_POLICY,
        known_evacuation: evacuation.Evacuation = evacuation.OFF,
    ):
        self.name = name
        self.policy = policy
        self.resubmit_delay = resubmit_delay
        """Seconds after which a caller whose instance was lost submits its
        batch again; another planner may then start it."""
        self.remote_rack_factor = remote_rack_factor
        """Factor on the run time of a task on a rack without its data."""
        self.make_token = make_token
        """Returns a fencing token above those of earlier planners."""
        self.tokens: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        """The last token used for each executor, by its name."""
        self.fleet: pool_messages.FleetChanged | None = None
        self.assignment = planner_election.PlannerAssignment()
        self.announced_shard = -1
        """Number of the shard that was last reported to the fleet."""
        self.announced_executors = executor_digests.UNKNOWN
        """Digest of the executors that was last reported."""
        self.announced_backlog = 0.0
        """The backlog that was last reported, in seconds."""
        self.active_since: float | None = None
        """Since when this instance plans; None if it does not."""
        self.began_at = 0.0
        """When this instance last began to plan."""
        self.idle_members: set[str] = set()
        """Names of the members that have not planned since then."""
        self.reviewed_at = -math.inf
        """When the executors and the estimates were last reviewed."""
        self.listed: dict[str, executors.Executor] = {}
        self.largest_capacities: dict[str, list[executors.Resources]] = (
            collections.defaultdict(list)
        )
        """Capacities that executors of each service have had, but for those
        within another.  One that has shrunk may grow again, and entries may
        be missing for a while."""
        self.listed_at: float | None = None
        """When the executors were last listed."""
        self.listing_complete = False
        """Whether every live executor is listed."""
        self.listing_requested_at = -math.inf
        """When a reading of the list was last asked for."""
        self.readings = executor_readings.Knowledge()
        """How recent the list is, and what other instances know of it."""
        self.asked_at = -math.inf
        """When other instances were last asked for the list."""
        self.list_source = "own"
        """By which reading tasks are started, see `planner_readings`."""
        self.question_times: dict[str, float] = {}
        """When instances lately asked this one for the list, by name."""
        self.invalid_answers = 0
        """Number of answers of other instances that were dropped."""
        self.invalid_answer_logged_at = -math.inf
        self.executors: dict[str, planner_executors.ExecutorState] = {}
        """The executors that this planner claims, by name."""
        self.evacuation = known_evacuation
        """The failure domains in which nothing may be started."""
        self.evacuation_changed_at: float | None = None
        """When that last changed here."""
        self.plans: dict[str, planner_plans.Plan] = {}
        self.common_lease = math.inf
        """Seconds of the longest lease that is given or renewed at present."""
        self.batches_confirmed = pool_messages.BatchesConfirmed(-math.inf, 0)
        """When the callers of the batches of this instance were seen."""
        self.permissions: dict[str, Permission] = {}
        """The last permission of each instance to run its batches."""
        self.early_batches: dict[
            str, tuple[pool_messages.PlanBatch, float]
        ] = {}
        """Batches that arrived before this instance planned, and when."""
        self.ended_outcomes: collections.OrderedDict[str, Any] = (
            collections.OrderedDict()
        )
        """Outcomes of the last batches that ended, by name."""
        self.unreported_outcomes: dict[str, batches.Outcome] = {}
        """Those that other planners have yet to be told."""
        self.dropped_counts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        """How often each batch was dropped after it may have started."""
        self.dropped_in_former_terms: set[str] = set()
        """Those of them that were dropped before this instance last began to
        plan."""
        self.revoked_handovers: collections.OrderedDict[
            tuple[pool_messages.Origin, str], int
        ] = collections.OrderedDict()
        """The last hand-over of a batch that each origin has revoked."""
        self.rejections: collections.OrderedDict[
            tuple[pool_messages.Origin, str], Rejection
        ] = collections.OrderedDict()
        """The last hand-over of a batch by each origin that was rejected, if
        planners report their capacity."""
        self.recent_sizes = room_reports.RecentSizes()
        self.room_measured_at = -math.inf
        """When the capacity was last reported; minus infinity if it is not
        reported at present."""
        self.forecast_ends: dict[planner_plans.Task, Any] = {}
        """When the run of each task may end soon; see
        `planner_room.ForecastEnd`."""
        self.cancellations = cancellations.CancellationMemory()
        self.losses = run_losses.LossMemory()
        self.lost_boots: dict[tuple[str, int], Any] = {}
        """Executors that were lost with runs and of which it is not known
        whether they crashed, by name and incarnation."""
        self.isolated: dict[str, str] = {}
        """Executors that are kept for suspect tasks, and their batches."""
        self.run_times = run_times.RunTimes()
        self.demand = batch_order.Demand()
        self.shares = planner_shares.ShareState(policy.shares)
        self.end_forecasts = planner_ends.EndForecasts()
        self.fast_demand = placement.FastDemand()
        self.reservations: dict[str, placement.Reservation] = {}
        """Room that is kept for batches, by the name of the executor."""
        self.reserve_after: dict[str, float] = {}
        """From when on a batch may get a reservation, by its name."""
        self.forecast = planner_forecast.ForecastState()
        self.pool: collections.Counter = collections.Counter()
        """Number of usable executors by service, model and capacity."""
        self.no_quorum_since: float | None = None
        """Since when it lacks a quorum to take over a shard."""
        self.minority_since: float | None = None
        """Since when no more than half of the known members are seen."""
        self.passive_until = 0.0
        """Until when it claims no executors, as it may be cut off."""
        self.healed_at: float | None = None
        """When a missing member was last heard again."""

    def origin_of(
        self, msg: pool_messages.PlanBatch | pool_messages.DropBatch
    ) -> pool_messages.Origin:
        """Return the process that sent a message about a batch.

        If it does not tell its start time, it is the one heard last.
        """
        started = msg.origin_started
        if not started and msg.origin in self.permissions:
            started = self.permissions[msg.origin].started
        elif not started and self.fleet is not None:
            for member in self.fleet.alive:
                if member.name == msg.origin:
                    started = member.started
        return pool_messages.Origin(msg.origin, started)

    def new_token(self, executor: str, step: int) -> int:
        """Return a new token for an executor.

        It is above those of earlier planners, and by a step above all that
        this planner used there.
        """
        token = max(self.make_token(), self.tokens.get(executor, 0) + step)
        return self.remember_token(executor, token)

    def remember_token(self, executor: str, token: int) -> int:
        """Keep the last token used for an executor, and return it.

        A restarted executor has seen none, and would take requests that were
        sent before with a higher token than that of a new claim.
        """
        self.tokens[executor] = token
        self.tokens.move_to_end(executor)
        while len(self.tokens) > MAX_REMEMBERED:
            self.tokens.popitem(last=False)
        return token

    def remember_drop(
        self, origin: pool_messages.Origin, name: str, handover: int
    ) -> None:
        """Keep that an origin revoked its hand-overs of a batch so far."""
        key = (origin, name)
        last = self.revoked_handovers.pop(key, -1)
        self.revoked_handovers[key] = max(last, handover)
        while len(self.revoked_handovers) > MAX_REMEMBERED:
            self.revoked_handovers.popitem(last=False)

    def remember_rejection(
        self,
        origin: pool_messages.Origin,
        name: str,
        handover: int,
        outcome: batches.Outcome,
    ) -> int:
        """Keep that a hand-over was rejected.

        Returns
        -------
        int
            The number by which the rejection names it; 0 if planners do not
            report their capacity, as a batch then never comes back.
        """
        if not self.policy.room.reports or not handover:
            return 0
        self.rejections.pop((origin, name), None)
        self.rejections[origin, name] = Rejection(handover, outcome)
        while len(self.rejections) > MAX_REMEMBERED:
            self.rejections.popitem(last=False)
        return handover

    def remember_dropped_batch(self, name: str) -> None:
        """Count that a batch was dropped, in case it comes again."""
        self.dropped_counts[name] = self.dropped_counts.get(name, 0) + 1
        while len(self.dropped_counts) > MAX_REMEMBERED:
            self.dropped_counts.popitem(last=False)

    def remember_outcome(self, name: str, outcome: batches.Outcome) -> None:
        """Keep an outcome for instances that missed it."""
        self.ended_outcomes[name] = outcome
        while len(self.ended_outcomes) > MAX_REMEMBERED:
            self.ended_outcomes.popitem(last=False)
