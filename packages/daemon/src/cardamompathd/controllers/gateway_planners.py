"""Which planner a batch goes to, and how it is told."""

from __future__ import annotations

from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "RESEND_INTERVAL",
    "backlog_of",
    "hand_over",
    "can_retry_elsewhere",
    "is_same_incarnation",
    "send_to",
]

RESEND_INTERVAL = 0.4
"""Seconds after which a planner is told again of a batch, in case that
the message or its answer was lost; doubled each time."""
IDLE_BACKLOG = 0.06
"""Seconds of waiting work up to which a planner gets a batch at once;
as long as a short task takes, and the usual objective allows."""
REMOTE_DOMAIN_COST = 0.04
"""Seconds by which the backlog of a planner in another failure domain
has to be shorter: two ways there and back, and bytes that are paid."""
MAX_PLANNERS_TRIED = 2
"""Planners that are asked for one batch while none of it has started."""


def hand_over(state, pending, now):
    """Hand a batch to its planner, or to the next one."""
    planner = _choose_planner(state, pending)
    if planner is None:
        return []
    sends = []
    if not is_same_incarnation(planner, pending.planner):
        sends += _drop_at_former_planner(state, pending)
        shard = planner_election.shard_of(planner.name, state.planning)
        if pending.handed_over:
            pending.round += 1
            pending.shard_changed |= shard is None or shard != pending.shard
        pending.shard = shard
        pending.resend_at = now + RESEND_INTERVAL
    pending.planner = planner
    pending.handed_over = True
    sends += _report_remote_planner(state, pending)
    msg = pool_messages.PlanBatch(
        pending.batch,
        state.name,
        now - pending.submitted_at,
        pending.deadline - now,
        pending.round,
        pending.shard_changed,
    )
    return [*sends, send_to(state, planner, msg)]


def _report_remote_planner(state, pending):
    """Let a planner elsewhere notice soon when this instance is gone."""
    if pending.planner.domain == state.domain:
        return []
    msg = pool_messages.RemotePlannerUsed(
        pending.planner.name, pending.deadline
    )
    return [messages.Send(pool_messages.FLEET, msg)]


def is_same_incarnation(member, other):
    """Return whether two members are the same life of one instance."""
    if member is None or other is None:
        return False
    return (member.name, member.started) == (other.name, other.started)


def _drop_at_former_planner(state, pending):
    """Tell a planner that is alive but no longer plans to stop a batch."""
    if not any(
        is_same_incarnation(member, pending.planner) for member in state.alive
    ):
        return []
    drop = pool_messages.DropBatch(pending.batch.name, state.name)
    return [send_to(state, pending.planner, drop)]


def _choose_planner(state, pending):
    """Return the planner for a batch: its own one, or who took its place."""
    for planner in state.planning.planners:
        if is_same_incarnation(planner, pending.planner):
            return planner
    if pending.shard is not None:
        successor = planner_election.planner_of_shard(
            pending.shard, state.planning
        )
        if successor is not None:
            return successor
    ordered = planner_election.order_planners(
        pending.batch.name, state.domain, state.planning
    )
    ordered = [
        member for member in ordered if member.name not in pending.refused_by
    ] or ordered
    for planner in ordered:
        if backlog_of(state, planner) <= IDLE_BACKLOG:
            return planner
    return min(ordered, key=lambda member: _cost(state, member), default=None)


def backlog_of(state, planner):
    """Return the backlog that a planner told, in seconds."""
    return state.backlogs.get(planner.name, 0.0) if planner else 0.0


def _cost(state, planner):
    """Return about how long a batch waits at a planner, in seconds."""
    far = state.planning.by_domain and planner.domain != state.domain
    return backlog_of(state, planner) + (REMOTE_DOMAIN_COST if far else 0.0)


def send_to(state, planner, msg):
    """Return the message to a planner, this instance's own one included."""
    if planner.name == state.name:
        return messages.Send(pool_messages.PLANNER, msg)
    to_member = pool_messages.SendToMember(planner.address, msg)
    return messages.Send(pool_messages.LINKS, to_member)


def can_retry_elsewhere(state, pending):
    """Return whether another planner may run what one has refused.

    Only what went to a single planner so far: then none of it started.
    """
    if pending.round > 0 or len(pending.refused_by) + 1 >= MAX_PLANNERS_TRIED:
        return False
    return any(
        planner.name not in pending.refused_by
        and not is_same_incarnation(planner, pending.planner)
        and backlog_of(state, planner) <= IDLE_BACKLOG
        for planner in state.planning.planners
    )
