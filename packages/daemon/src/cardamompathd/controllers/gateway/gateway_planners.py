"""Choice of the planner for a batch, and messages to it."""

from __future__ import annotations

from cardamompath_core import offers
from cardamompath_core import planner_election
from cardamompath_core import room_reports
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_rates
from cardamompathd.controllers.gateway import gateway_rooms
from cardamompathd.controllers.planner import planner_estimates

__all__ = [
    "RESEND_INTERVAL",
    "backlog_of",
    "can_retry_elsewhere",
    "hand_over",
    "is_same_incarnation",
    "send_drop",
    "send_to",
]

RESEND_INTERVAL = 0.4
"""Seconds after which a batch is sent to its planner again, in case the
message or its answer was lost; doubled each time."""
IDLE_BACKLOG = 0.06
"""Backlog in seconds up to which a planner counts as idle and gets a batch at
once; about as long as a short task takes and the usual objective allows."""
REMOTE_DOMAIN_COST = 0.04
"""Seconds by which the backlog of a planner in another failure domain has to
be shorter: two round trips, and the cost of traffic between domains."""
MAX_PLANNERS_TRIED = 2
"""Maximum number of planners that a batch is offered to while none of its
tasks has started, if they do not report their capacity."""
WAIT_STEP = 0.02
"""Seconds up to which expected waits count as equal; the step to which
planners round their backlog."""


def hand_over(state, pending, now):
    """Send a batch to its planner, or to a new one if that is gone."""
    pending.choice = None
    planner = _choose_planner(state, pending, now)
    if planner is None:
        return []
    sends = []
    if not is_same_incarnation(planner, pending.planner):
        sends += _drop_at_former_planner(state, pending)
        shard = planner_election.shard_of(planner.name, state.assignment)
        if pending.handed_over:
            _leave_planner(state, pending, now)
            pending.shard_changed |= shard is None or shard != pending.shard
        pending.shard = shard
        pending.resend_at = now + RESEND_INTERVAL
        state.last_handover += 1
        pending.handover = state.last_handover
        pending.handed_at = now
        pending.planner = planner
        gateway_rooms.note_sent(state, pending, now)
    pending.planner = planner
    pending.handed_over = True
    sends += _log_choice(pending)
    sends += _report_remote_planner(state, pending)
    msg = pool_messages.PlanBatch(
        pending.batch,
        state.name,
        now - pending.submitted_at,
        pending.deadline - now,
        pending.round,
        pending.shard_changed,
        max(0.0, pending.permitted_until - now),
        state.planner_terms.get((planner.name, planner.started), 0),
        pending.ended_planner,
        state.losses.of_batch(pending.batch.name),
        state.started,
        pending.handover,
        _to_planner_clock(state, planner, pending.seen_at),
        state.cancellations.find(pending.batch.name, now) is not None,
        tuple(sorted(pending.former_executors)),
    )
    return [*sends, send_to(state, planner, msg)]


def _to_planner_clock(state, planner, at):
    """Return a time in seconds of a planner's clock, or an earlier one.

    The planner's last heartbeat was sent before it arrived here.
    """
    if planner.name == state.name:
        return at
    heard = state.planners_heard.get((planner.name, planner.started))
    if heard is None:
        return 0.0
    sent_at, heard_at = heard
    return max(0.0, sent_at + at - heard_at)


def _leave_planner(state, pending, now):
    """Note what the former planner of a batch may still do."""
    former = pending.planner
    pending.ended_planner = ""
    pending.former_executors.add(state.executors_of(former))
    if not _has_ended(state, former):
        pending.permitted_until = max(
            pending.permitted_until, now + _permitted_time(state, former)
        )
    elif pending.round == 0:
        pending.ended_planner = former.name
    pending.round += 1


def _report_remote_planner(state, pending):
    """Have heartbeats sent often to a planner in another failure domain."""
    if pending.planner.domain == state.domain:
        return []
    msg = pool_messages.RemotePeerUsed(pending.planner.name, pending.deadline)
    return [messages.Send(pool_messages.FLEET, msg)]


def is_same_incarnation(member, other):
    """Return whether two members are the same incarnation of an instance."""
    if member is None or other is None:
        return False
    return (member.name, member.started) == (other.name, other.started)


def _has_ended(state, former):
    """Return whether a planner has told that it no longer plans.

    The planner of this instance ends as this one learns of the change.
    """
    return former.name == state.name or any(
        is_same_incarnation(member, former) and member.shard_number < 0
        for member in state.alive
    )


def _permitted_time(state, former):
    """Return for how long the former planner of a batch may still run it.

    One that fell silent has no permission left.  One that lost its role is
    told, but may read that late.
    """
    if not any(is_same_incarnation(member, former) for member in state.alive):
        return 0.0
    members = (*state.alive, *state.missing)
    is_remote = state.had_remote_planners and former.domain != state.domain
    if not is_remote:
        members = planner_election.members_for_domain(
            members, former.domain, state.assignment
        )
    return fleet_rates.longest_planner_timeout(is_remote, len(members))


def _drop_at_former_planner(state, pending):
    """Drop a batch at its planner if that is alive but no longer plans."""
    if not any(
        is_same_incarnation(member, pending.planner) for member in state.alive
    ):
        return []
    name = pending.batch.name
    return [send_drop(state, pending.planner, name, pending.handover)]


def send_drop(state, planner, name, handover):
    """Return the message that drops a batch at a planner."""
    drop = pool_messages.DropBatch(name, state.name, state.started, handover)
    return send_to(state, planner, drop)


def _choose_planner(state, pending, now):
    """Return the planner of a batch, or the one that took over its shard."""
    for planner in state.assignment.planners:
        if is_same_incarnation(planner, pending.planner):
            return planner
    if pending.shard is not None:
        successor = planner_election.planner_of_shard(
            pending.shard, state.assignment
        )
        if successor is not None:
            return successor
    ordered = planner_election.order_planners(
        pending.batch.name, state.domain, state.assignment
    )
    if state.policy.room.reports:
        pending.choice = room_reports.choose(
            _find_candidates(state, pending, ordered, now),
            pending.batch.name,
            WAIT_STEP,
        )
        for planner in ordered if pending.choice else ():
            if planner.name == pending.choice.candidate.name:
                return planner
    ordered = [
        member for member in ordered if member.name not in pending.refused_by
    ] or ordered
    for planner in ordered:
        if backlog_of(state, planner) <= IDLE_BACKLOG:
            return planner
    return min(ordered, key=lambda member: _cost(state, member), default=None)


def _find_candidates(state, pending, planners, now):
    waits = {
        planner.name: (_distance(state, planner), backlog_of(state, planner))
        for planner in planners
    }
    return gateway_rooms.make_candidates(state, pending, planners, waits, now)


def _log_choice(pending):
    """Log why a batch goes to its planner, if reports decided that."""
    if pending.choice is None:
        return []
    candidate, reason = pending.choice
    fields = {
        "planner": candidate.name,
        "why": reason,
        "room": candidate.room,
        "needed": candidate.needed,
        "booked": round(candidate.taken, 1),
        "wait_ms": round(candidate.wait * 1000.0),
        "report_ms": None,
    }
    if candidate.age is not None:
        fields["room"] = round(candidate.room, 1)
        fields["report_ms"] = round(candidate.age * 1000.0)
    decision = pool_messages.Decision(
        "gateway", "planner chosen", pending.batch.name, fields
    )
    return [messages.Send(pool_messages.DECISION_LOG, decision)]


def backlog_of(state, planner):
    """Return the backlog that a planner reported, in seconds.

    One whose failure domain is evacuated has none of its executors left,
    which its next heartbeats will tell.
    """
    if planner and state.is_evacuated(planner):
        return planner_estimates.EMPTY_POOL_BACKLOG
    return state.backlogs.get(planner.name, 0.0) if planner else 0.0


def _cost(state, planner):
    """Return the estimated wait of a batch at a planner, in seconds."""
    return backlog_of(state, planner) + _distance(state, planner)


def _distance(state, planner):
    """Return the seconds by which a planner is further away than others."""
    is_remote = state.assignment.by_domain and planner.domain != state.domain
    return REMOTE_DOMAIN_COST if is_remote else 0.0


def send_to(state, planner, msg):
    """Return a message to a planner, which may be that of this instance."""
    if planner.name == state.name:
        return messages.Send(pool_messages.PLANNER, msg)
    to_member = pool_messages.SendToMember(planner.address, msg)
    return messages.Send(pool_messages.LINKS, to_member)


def can_retry_elsewhere(state, pending, now):
    """Return whether a refused batch may be offered to another planner.

    No planner that had the batch may have been given up without its word, as
    only then none of its tasks has started.
    """
    if state.policy.room.reports:
        return _can_offer(state, pending, now)
    if pending.round > 0 or len(pending.refused_by) + 1 >= MAX_PLANNERS_TRIED:
        return False
    return any(
        planner.name not in pending.refused_by
        and not is_same_incarnation(planner, pending.planner)
        and backlog_of(state, planner) <= IDLE_BACKLOG
        for planner in state.assignment.planners
    )


def _can_offer(state, pending, now):
    """Return whether a planner reports capacity for a batch in time."""
    if not offers.may_offer(pending.round):
        return False
    urgency = gateway_rooms.urgency_of(pending)
    planners = state.assignment.planners
    distances = {
        planner.name: _distance(state, planner) for planner in planners
    }
    return any(
        room_reports.can_serve(
            candidate, urgency, distances[candidate.name], now
        )
        for candidate in _find_candidates(state, pending, planners, now)
    )
