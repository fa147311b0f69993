"""Which planner a batch goes to, and how it is told."""

from __future__ import annotations

from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "REFRESH",
    "backlog_of",
    "hand_over",
    "has_room_elsewhere",
    "is_same",
    "send_to",
]

REFRESH = 0.4
"""Seconds after which a planner is told again of a batch, in case that
the message or its answer was lost; doubled each time."""
IDLE_BACKLOG = 0.06
"""Seconds of waiting work up to which a planner gets a batch at once;
as long as a short task takes, and the usual objective allows."""
FAR_COST = 0.04
"""Seconds by which the backlog of a planner in another failure domain
has to be shorter: two ways there and back, and bytes that are paid."""
MOST_PLANNERS = 2
"""Planners that are asked for one batch while none of it has started."""


def hand_over(state, one, now):
    """Hand a batch to its planner, or to the next one."""
    planner = _choose(state, one)
    if planner is None:
        return []
    sends = []
    if not is_same(planner, one.planner):
        sends += _take_back(state, one)
        place = planner_election.place_of(planner.name, state.planning)
        if one.handed:
            one.round += 1
            one.moved |= place is None or place != one.place
        one.place = place
        one.refresh_at = now + REFRESH
    one.planner = planner
    one.handed = True
    sends += _engage(state, one)
    msg = pool_messages.PlanBatch(
        one.batch,
        state.own,
        now - one.submitted,
        one.until - now,
        one.round,
        one.moved,
    )
    return [*sends, send_to(state, planner, msg)]


def _engage(state, one):
    """Let a planner elsewhere notice soon when this instance is gone."""
    if one.planner.domain == state.domain:
        return []
    msg = pool_messages.RemotePlannerUsed(one.planner.name, one.until)
    return [messages.Send(pool_messages.FLEET, msg)]


def is_same(member, other):
    """Return whether two members are the same life of one instance."""
    if member is None or other is None:
        return False
    return (member.name, member.started) == (other.name, other.started)


def _take_back(state, one):
    """Tell a planner that is alive but no longer plans to stop a batch."""
    if not any(is_same(member, one.planner) for member in state.alive):
        return []
    drop = pool_messages.DropBatch(one.batch.name, state.own)
    return [send_to(state, one.planner, drop)]


def _choose(state, one):
    """Return the planner for a batch: its own one, or who took its place."""
    for planner in state.planning.planners:
        if is_same(planner, one.planner):
            return planner
    if one.place is not None:
        successor = planner_election.planner_at(one.place, state.planning)
        if successor is not None:
            return successor
    ordered = planner_election.order_planners(
        one.batch.name, state.domain, state.planning
    )
    ordered = [it for it in ordered if it.name not in one.tried] or ordered
    for planner in ordered:
        if backlog_of(state, planner) <= IDLE_BACKLOG:
            return planner
    return min(ordered, key=lambda it: _cost(state, it), default=None)


def backlog_of(state, planner):
    """Return the backlog that a planner told, in seconds."""
    return state.backlogs.get(planner.name, 0.0) if planner else 0.0


def _cost(state, planner):
    """Return about how long a batch waits at a planner, in seconds."""
    far = state.planning.by_domain and planner.domain != state.domain
    return backlog_of(state, planner) + (FAR_COST if far else 0.0)


def send_to(state, planner, msg):
    """Return the message to a planner, this instance's own one included."""
    if planner.name == state.own:
        return messages.Send(pool_messages.PLANNER, msg)
    to_member = pool_messages.SendToMember(planner.address, msg)
    return messages.Send(pool_messages.LINKS, to_member)


def has_room_elsewhere(state, one):
    """Return whether another planner may run what one has refused.

    Only what went to a single planner so far: then none of it started.
    """
    if one.round > 0 or len(one.tried) + 1 >= MOST_PLANNERS:
        return False
    return any(
        planner.name not in one.tried
        and not is_same(planner, one.planner)
        and backlog_of(state, planner) <= IDLE_BACKLOG
        for planner in state.planning.planners
    )
