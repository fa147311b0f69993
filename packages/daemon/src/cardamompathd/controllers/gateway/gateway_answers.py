"""Answers to callers, and what is dropped or logged with them."""

from __future__ import annotations

from cardamompath_core import batches
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.gateway import gateway_drops
from cardamompathd.controllers.gateway import gateway_planners

__all__ = [
    "CANCELLED",
    "INVALID_NAME",
    "NO_ROUTE",
    "UNCONFIGURED",
    "answer",
    "drop_at_planner",
    "drop_batch",
    "log",
    "make_timer",
    "planner_name",
    "refuse",
]

NO_ROUTES_RETRY_AFTER = 1.0
"""Seconds after which a caller may retry if no configuration has been read
yet."""

UNCONFIGURED = batches.Outcome(
    batches.REFUSED, "no configuration yet", NO_ROUTES_RETRY_AFTER
)
NO_ROUTE = batches.Outcome(batches.UNKNOWN_ROUTE, "no such route")
INVALID_NAME = batches.Outcome(
    batches.INVALID, "the path has no valid identifier of a job"
)
CANCELLED = batches.Outcome(batches.CANCELLED, "cancelled")


def refuse(msg, outcome):
    """Answer a request without keeping anything of it."""
    reply = messages.Reply(msg.reply_to, outcome)
    fields = {"path": msg.path, "reason": outcome.reason}
    return [
        messages.Send(messages.CALLERS, reply),
        log(outcome.state, "", fields),
    ]


def planner_name(planner):
    """Return the name of a planner; empty if there is none."""
    return planner.name if planner else ""


def drop_batch(state, pending, reason, now):
    """Remove a batch and drop it at its planner; return the messages."""
    del state.pending[pending.batch.name]
    fields = {"reason": reason, "planner": planner_name(pending.planner)}
    fields["age_ms"] = round((now - pending.submitted_at) * 1000.0)
    sends = [log("withdrawn", pending.batch.name, fields)]
    return sends + drop_at_planner(state, pending, now)


def drop_at_planner(state, pending, now):
    """Drop a batch at its planner, unless that lost its role."""
    if not any(
        gateway_planners.is_same_incarnation(planner, pending.planner)
        for planner in state.assignment.planners
    ):
        return []
    return gateway_drops.drop(
        state, pending.planner, pending.batch.name, pending.handover, now
    )


def answer(state, pending, outcome, now):
    """Answer every caller that waits for a batch."""
    for waiter in pending.waiters:
        state.batch_by_waiter.pop(waiter, None)
    fields = {
        "state": outcome.state,
        "reason": outcome.reason,
        "planner": planner_name(pending.planner),
        "route": pending.batch.policy.route,
        "age_ms": round((now - pending.submitted_at) * 1000.0),
    }
    sends = [
        messages.Send(messages.CALLERS, messages.Reply(waiter, outcome))
        for waiter in pending.waiters
    ]
    return [*sends, log("answered", pending.batch.name, fields)]


def make_timer(at, name):
    """Return the message that sets a timer of the gateway."""
    due = messages.SetTimer(at, pool_messages.GATEWAY, name)
    return messages.Send(messages.TIMERS, due)


def log(event, name, fields):
    """Return the message that logs a decision of the gateway."""
    decision = pool_messages.Decision("gateway", event, name, fields)
    return messages.Send(pool_messages.DECISION_LOG, decision)
