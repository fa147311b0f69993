"""How often instances of a fleet send heartbeats, and when one is overdue.

Planners and their successors exchange heartbeats often with the members that
send them batches.  Most other intervals are long and grow with the fleet, so
that the cost of heartbeats at one instance is bounded.
"""

from __future__ import annotations

from cardamompath_core import planner_election
from cardamompathd.controllers.fleet import fleet_state

__all__ = [
    "ROOM_INTERVAL",
    "interval_to",
    "lead_interval",
    "longest_planner_timeout",
    "timeout_of",
]

HEARTBEAT_TIMEOUT_FACTOR = (
    fleet_state.HEARTBEAT_TIMEOUT / fleet_state.HEARTBEAT_INTERVAL
)
"""Multiple of the announced interval after which a heartbeat is overdue."""
REMOTE_PEER_INTERVAL = 0.2
"""Seconds between heartbeats to a planner in another failure domain that has
batches of this instance, and from that planner; short beside the lease that
they allow."""
REMOTE_DOMAIN_INTERVAL = 0.25
"""Seconds between heartbeats of a planner to other failure domains, and of a
successor to the members of its own."""
BACKGROUND_INTERVAL = 0.5
"""Seconds between all other heartbeats, on which no work depends."""
SMALL_FLEET = 12
"""Number of other members up to which all heartbeats are frequent, so that
an instance that is cut off finds all others overdue at the same time."""
ROOM_INTERVAL = 0.2
"""Minimum number of seconds between two reports of a planner's capacity to a
member.  One may be lost before the last one is stale, and an own heartbeat in
two or three carries none."""
MAX_LEAD_RATE = 200.0
MAX_TO_LEADS_RATE = 25.0
MAX_REMOTE_DOMAIN_RATE = 128.0
MAX_BACKGROUND_RATE = 8.0
"""Maximum heartbeats of each kind that an instance sends per second: of a
planner or successor to the members of its domain, of a member to these,
of a planner to other domains, and all others.  In a large fleet the
intervals are longer instead."""


def longest_planner_timeout(is_remote: bool, members: int) -> float:
    """Return the longest silence after which a planner counts as failed.

    Parameters
    ----------
    is_remote : bool
        Whether it plans for another failure domain.
    members : int
        Number of members of the fleet, or of those that it plans for if it is
        not remote.

    Returns
    -------
    float
        In seconds; also the time for which a permission that it was given
        lasts at most.
    """
    interval = max(fleet_state.HEARTBEAT_INTERVAL, members / MAX_LEAD_RATE)
    if is_remote:
        interval = max(
            REMOTE_DOMAIN_INTERVAL, members / MAX_REMOTE_DOMAIN_RATE
        )
    return timeout_of(interval)


def timeout_of(interval: float) -> float:
    """Return the seconds of silence after which a peer counts as failed."""
    return max(
        fleet_state.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_FACTOR * interval
    )


def interval_to(
    state: fleet_state.FleetState, member: planner_election.Member
) -> float:
    """Return the seconds between heartbeats to a member."""
    same_group = not state.assignment.by_domain or (
        member.domain == state.own_member.domain
    )
    is_planner = state.own_member.name in state.planner_names
    if same_group and is_planner:
        return max(
            fleet_state.HEARTBEAT_INTERVAL,
            len(state.domain_members) / MAX_LEAD_RATE,
        )
    if same_group and member.name in state.lead_members:
        return lead_interval(state)
    if member.name in state.remote_peers:
        return REMOTE_PEER_INTERVAL
    count = len(state.peers)
    if count <= SMALL_FLEET:
        return fleet_state.HEARTBEAT_INTERVAL
    is_successor = state.own_member.name in state.lead_members
    if is_planner or (same_group and is_successor):
        return max(REMOTE_DOMAIN_INTERVAL, count / MAX_REMOTE_DOMAIN_RATE)
    return max(BACKGROUND_INTERVAL, count / MAX_BACKGROUND_RATE)


def lead_interval(state: fleet_state.FleetState) -> float:
    """Return the seconds between heartbeats to planners and successors."""
    return max(
        fleet_state.HEARTBEAT_INTERVAL,
        len(state.lead_members) / MAX_TO_LEADS_RATE,
    )
