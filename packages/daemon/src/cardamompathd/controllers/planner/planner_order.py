"""Order in which the batches of a planner start."""

from __future__ import annotations

from cardamompath_core import batch_order

__all__ = [
    "rank",
    "urgency_of",
]


def rank(state, plan, now):
    """Return the sort key of a batch; the one to start next comes first."""
    return batch_order.sort_key(urgency_of(plan), now)


def urgency_of(plan):
    """Return what decides when a batch starts."""
    policy = plan.batch.policy
    return batch_order.Urgency(
        policy.priority,
        plan.submitted_at,
        policy.stretch * plan.expected_time + policy.slack,
        plan.expected_time,
        plan.deadline,
        plan.may_have_started,
    )
