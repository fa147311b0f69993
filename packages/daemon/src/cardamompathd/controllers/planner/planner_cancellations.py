"""Batches that are cancelled or looked for at a planner."""

from __future__ import annotations

from cardamompath_core import batches
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_runs

__all__ = [
    "handle_query",
    "note_cancellations",
]


def handle_query(state, msg, now):
    """Look for a batch here, drop it if it is cancelled, and answer."""
    if state.fleet is None:
        return []
    plan = state.plans.get(msg.name)
    is_early = msg.name in state.early_batches
    found = msg.state
    if plan is not None or is_early:
        found = found or batches.ACTIVE
    ended = state.ended_outcomes.get(msg.name)
    if not found and ended is not None and ended.state != batches.REFUSED:
        found = ended.state
    sends = []
    if msg.cancel:
        sends += _cancel_batch(state, msg.name, now, now)
    answer = pool_messages.BatchQueryAnswered(
        msg.name,
        msg.number,
        state.name,
        state.fleet.own_member.started,
        found,
    )
    if msg.origin == state.name:
        return [*sends, messages.Send(pool_messages.GATEWAY, answer)]
    to_member = pool_messages.SendToMember(msg.address, answer)
    return [*sends, messages.Send(pool_messages.LINKS, to_member)]


def _cancel_batch(state, name, cancelled_at, now):
    """Drop a batch, remember that, and tell its origins."""
    state.cancellations.add(name, cancelled_at, False)
    state.early_batches.pop(name, None)
    plan = state.plans.get(name)
    if plan is None:
        return []
    outcome = batches.Outcome(batches.CANCELLED, "cancelled")
    sends = [
        planner_log.decision(
            "batch cancelled",
            plan.name,
            done=plan.done_count,
            tasks=len(plan.tasks),
            age_ms=round((now - plan.submitted_at) * 1000.0),
        )
    ]
    for origin in plan.origins:
        sends.append(
            planner_runs.report_outcome(state, plan.name, origin, outcome)
        )
    return sends + planner_runs.drop_plan(state, plan)


def note_cancellations(state, msg, now):
    """Process cancellations of which this instance did not know."""
    sends = []
    for name, age in zip(msg.names, msg.ages, strict=True):
        sends += _cancel_batch(state, name, now - age, now)
    return sends
