"""Messages about the members of the fleet, and what each has to know."""

from __future__ import annotations

from typing import NamedTuple

from cardamompath_core import evacuation
from cardamompath_core import executor_digests
from cardamompath_core import executor_readings
from cardamompath_core import planner_election
from cardamompath_core import room_reports

__all__ = [
    "AddressesFound",
    "EvacuationInForce",
    "EvacuationRead",
    "FleetChanged",
    "HeartbeatReceived",
    "OfferEvacuation",
    "RemotePeerUsed",
]


class HeartbeatReceived(NamedTuple):
    """A heartbeat of a member arrived."""

    member: planner_election.Member
    config_version: int
    known_addresses: tuple[tuple[str, int], ...]
    """Addresses of the members that the sender knows."""
    interval: float = 0.1
    """Seconds until the next heartbeat to this instance."""
    backlog: float = 0.0
    """Seconds that the executors of the sender need for its waiting tasks."""
    sent_at: float = 0.0
    """When it was sent, in seconds of the sender's clock; 0 if the sender does
    not plan."""
    planner_until: float = 0.0
    """Until when the sender leaves its batches with this instance as their
    planner, in seconds of this instance's clock; 0 if they are not."""
    planner_term: int = 0
    """Number of the term that this extends, see `FleetChanged`."""
    planner_confirmed_at: float = 0.0
    planner_heard_at: float = 0.0
    planner_handover: int = -1
    """See `PlanningPermitted`."""
    executors_digest: int = executor_digests.UNKNOWN
    """Digest of the executors that the planner of the sender holds."""
    evacuation_offset: int = evacuation.OFF.offset
    evacuation_digest: int = executor_digests.UNKNOWN
    """Offset and digest of the evacuated domains that the sender knows."""
    store_state: int = executor_readings.UNSUPPORTED
    """Whether the sender can read the list of executors from the store."""
    room: room_reports.Report | None = None
    """What the planner of the sender can start; None if it does not tell."""
    room_fault: str = ""
    """Why the report in the heartbeat was dropped; empty if it was not."""


class AddressesFound(NamedTuple):
    """Addresses at which members may listen."""

    addresses: tuple[tuple[str, int], ...]
    source: str
    """``settings``, ``store`` or the name of the member that sent them."""


class FleetChanged(NamedTuple):
    """The view of the fleet changed."""

    own_member: planner_election.Member
    alive: tuple[planner_election.Member, ...]
    """Members that count as alive, this instance included."""
    missing: tuple[planner_election.Member, ...]
    """Members whose heartbeats are overdue; a partition may hide them."""
    assignment: planner_election.PlannerAssignment
    """Who plans, by these members."""
    has_quorum: bool = True
    """Whether this instance may take over a free shard: it has just heard
    most of the members that it would plan for.  Also true if it plans
    already or has no shard to take."""
    planner_terms: tuple[tuple[tuple[str, int], int], ...] = ()
    """Number of the term of each planner, by its name and start time.  The
    term of a planner ends here once it is lost or no longer plans; its
    batches then go to others, and none of them returns to it unless it is
    sent again, with a later term."""


class RemotePeerUsed(NamedTuple):
    """A batch went to a planner in another failure domain, or came from one.

    Both need frequent heartbeats: the planner may run the batch only until
    shortly after the last sign that the other instance lives.
    """

    name: str
    """Name of the other instance."""
    until: float
    """When the caller of the batch stops waiting."""


class EvacuationRead(NamedTuple):
    """The evacuated failure domains, as read from the store or sent by a peer.

    On a link, only the set is sent.
    """

    evacuation: evacuation.Evacuation
    source: str = "a peer"


class EvacuationInForce(NamedTuple):
    """The evacuated failure domains that this instance knows changed."""

    evacuation: evacuation.Evacuation


class OfferEvacuation(NamedTuple):
    """Send the evacuated failure domains to a member that is behind."""

    address: tuple[str, int]
