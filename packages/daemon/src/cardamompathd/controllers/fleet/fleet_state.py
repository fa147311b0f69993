"""State of the fleet: members that were heard, and addresses to try."""

from __future__ import annotations

import math
from typing import NamedTuple

from cardamompath_core import evacuation
from cardamompath_core import executor_digests
from cardamompath_core import executor_readings
from cardamompath_core import planner_election
from cardamompath_core import room_reports
from cardamompathd import pool_messages

__all__ = [
    "HEARTBEAT_INTERVAL",
    "HEARTBEAT_TIMEOUT",
    "FleetState",
    "Heartbeat",
    "Peer",
]

HEARTBEAT_INTERVAL = 0.1
"""Seconds between heartbeats from and to planners; four may be lost before
`HEARTBEAT_TIMEOUT`."""
HEARTBEAT_TIMEOUT = 0.45
"""Seconds without a heartbeat after which a planner does not count as
alive.  Shorter than the lease of a run, so that a successor can adopt runs
before their leases lapse."""


class Heartbeat(NamedTuple):
    """A heartbeat, as it is sent on a link."""

    member: planner_election.Member
    config_version: int
    known_addresses: tuple[tuple[str, int], ...]
    interval: float = HEARTBEAT_INTERVAL
    """Seconds until the next heartbeat on this link."""
    backlog: float = 0.0
    """Seconds that the executors of the sender need for its waiting tasks."""
    sent_at: float = 0.0
    """When it was sent, in seconds of the sender's clock."""
    planner_until: float = 0.0
    """Until when the sender leaves its batches with the receiver as their
    planner, in seconds of the receiver's clock.  A receiver that reads an old
    heartbeat late can thereby tell."""
    planner_term: int = 0
    """Number of the term that this extends, see `FleetChanged`."""
    planner_confirmed_at: float = 0.0
    planner_heard_at: float = 0.0
    planner_handover: int = -1
    """See `PlanningPermitted`."""
    executors_digest: int = executor_digests.UNKNOWN
    """See `ExecutorsHeld`."""
    evacuation_offset: int = evacuation.OFF.offset
    evacuation_digest: int = executor_digests.UNKNOWN
    """Offset and digest of the evacuated domains that the sender knows."""
    store_state: int = executor_readings.UNSUPPORTED
    """Whether the sender can read the list of executors from the store."""
    room: room_reports.Report | None = None
    """What the planner of the sender can start; None if it does not tell."""


class Peer:
    """A member that was heard, and when."""

    __slots__ = (
        "alive",
        "dead",
        "executors_digest",
        "former_starts",
        "found_at",
        "heard_at",
        "member",
        "reported_backlog",
        "sent_at",
        "store_state",
        "timeout",
    )

    def __init__(self, member, now):
        self.member = member
        self.former_starts: tuple[int, ...] = ()
        """Start times of its former processes."""
        self.found_at = now
        self.heard_at = now
        self.alive = True
        self.dead = False
        self.timeout = HEARTBEAT_TIMEOUT
        """Seconds of silence after which it counts as failed."""
        self.sent_at = 0.0
        """When its last heartbeat was sent, in seconds of its clock."""
        self.reported_backlog: float | None = None
        """The backlog that was last reported to the gateway, in seconds."""
        self.executors_digest = executor_digests.UNKNOWN
        """Of the executors that it holds, as last reported to the gateway."""
        self.store_state = executor_readings.UNSUPPORTED
        """Whether it can read the store, as last reported to the planner."""


class FleetState:
    """Members that were heard, and addresses at which one may listen."""

    def __init__(
        self,
        own_member: planner_election.Member,
        known_evacuation: evacuation.Evacuation = evacuation.OFF,
    ):
        self.own_member = own_member
        self.evacuation = known_evacuation
        self.evacuation_digest = evacuation.digest_of(known_evacuation)
        self.config_version = 0
        self.backlog = 0.0
        self.executors_digest = executor_digests.UNKNOWN
        """Of the executors that the planner of this instance holds."""
        self.store_state = executor_readings.UNSUPPORTED
        """Whether this instance can read the list of executors."""
        self.room: room_reports.Report | None = None
        """What the planner of this instance can start, as last reported."""
        self.room_sent_at: dict[tuple[str, int], float] = {}
        """When a report was last sent to each address."""
        self.batches_confirmed = pool_messages.BatchesConfirmed(-math.inf, 0)
        """When the callers of the batches of this instance were seen."""
        self.peers: dict[str, Peer] = {}
        self.addresses: dict[tuple[str, int], float] = {}
        """When the last heartbeat was sent to each address."""
        self.started_at: float | None = None
        self.last_found_at = 0.0
        """When a member was last heard that is new or was restarted."""
        self.last_new_member_at = 0.0
        """When a new member was last heard."""
        self.published: tuple | None = None
        """The view of the fleet that was last published."""
        self.heartbeat_rounds = 0
        self.assignment = planner_election.PlannerAssignment()
        self.planner_names: frozenset[str] = frozenset()
        self.planner_terms: dict[tuple[str, int], int] = {}
        """Number of the term of each planner, by its name and start time."""
        self.last_term = 0
        self.lead_members: frozenset[str] = frozenset()
        """Names of the planners to which this instance sends its batches
        first, and of their successors."""
        self.domain_members: frozenset[str] = frozenset()
        """Names of the members that these plan for, missing ones
        included."""
        self.intervals: dict[tuple[str, int], float] = {}
        """Seconds between heartbeats to each address; empty if they have to
        be computed again."""
        self.drops_pending: dict[str, float] = {}
        """Planners that have yet to acknowledge a drop, and the time of the
        last heartbeat that each had sent before, in seconds of its clock."""
        self.remote_peers: dict[str, float] = {}
        """Planners in other failure domains that have batches of this
        instance, and members there of which it has batches, and until
        when."""
