"""Order in which the batches of a planner start."""

from __future__ import annotations

from cardamompath_core import batch_order
from cardamompathd.controllers.planner import planner_plans
from cardamompathd.controllers.planner import planner_shares

__all__ = [
    "rank",
    "urgency_of",
]


def rank(state, plan, now):
    """Return the sort key of a batch; the one to start next comes first."""
    urgency = urgency_of(plan)
    if state.policy.shares.enabled:
        return planner_shares.rank(state, plan, urgency, now)
    return batch_order.sort_key(urgency, now)


def urgency_of(plan):
    """Return what decides when a batch starts."""
    return planner_plans.urgency_of(plan)
