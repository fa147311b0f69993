"""Refusal of batches that cannot be in time."""

from __future__ import annotations

from cardamompath_core import admission_forecast
from cardamompath_core import batch_order
from cardamompath_core import batches
from cardamompathd.controllers.planner import planner_estimates
from cardamompathd.controllers.planner import planner_forecast
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_order
from cardamompathd.controllers.planner import planner_placement
from cardamompathd.controllers.planner import planner_runs
from cardamompathd.controllers.planner import planner_shares

__all__ = [
    "refuse_batch",
    "refuse_late",
    "would_be_late",
]


def would_be_late(state, plan, now):
    """Return whether a new batch has to be refused, as it would be late."""
    urgency = planner_order.urgency_of(plan)
    if planner_placement.has_room(state, plan, now):
        # Whatever waits did not fit there.
        return batch_order.is_too_late(urgency, now, False)
    if state.policy.admission.forecast:
        predicted = planner_forecast.forecast(state, plan, now)
        if predicted is not None:
            planner_forecast.note(state, plan, predicted, now)
            return admission_forecast.is_late(urgency, predicted.start)
    start = planner_estimates.expected_start(state, plan, now)
    return batch_order.is_too_late(urgency, start, True)


def refuse_late(state, now):
    """Refuse batches that would be too late and have not started."""
    if state.policy.admission.forecast:
        return _refuse_by_forecast(state, now)
    sends = []
    for plan in list(state.plans.values()):
        urgency = planner_order.urgency_of(plan)
        is_late = batch_order.is_too_late(urgency, now, True)
        if is_late and batch_order.is_too_late(
            urgency, now, not planner_placement.has_room(state, plan, now)
        ):
            sends += refuse_batch(state, plan, now)
    return sends


def _refuse_by_forecast(state, now):
    """Refuse admitted batches that cannot be in time by the present forecast.

    It takes no account of work that is still to arrive, so that a batch is
    only refused for capacity that was expected and does not come.
    """
    sends = planner_forecast.compare(state, now)
    starts = planner_forecast.forecast_waiting(state, now)
    for plan in list(state.plans.values()):
        urgency = planner_order.urgency_of(plan)
        start = starts.get(plan.name)
        if start is None:
            is_late = batch_order.is_too_late(urgency, now, True)
        else:
            is_late = admission_forecast.is_late(urgency, start)
        if is_late and (
            not planner_placement.has_room(state, plan, now)
            or batch_order.is_too_late(urgency, now, False)
        ):
            sends += refuse_batch(state, plan, now)
    return sends


def refuse_batch(state, plan, now):
    """Refuse a batch that has not started; return the messages."""
    reason = "no executor is free before the answer would be too late"
    event = "refusal"
    predicted = None
    if state.policy.admission.forecast:
        predicted = planner_forecast.take(state, plan, now)
        if plan.name in state.plans:
            event = "refusal after admission"
    decision = planner_log.decision(
        event,
        plan.name,
        waiting_batches=len(state.plans),
        work_ms=round(plan.expected_time * 1000.0),
        waited_ms=round((now - plan.received_at) * 1000.0),
        left_ms=round((plan.deadline - now) * 1000.0),
        executors=sum(state.pool.values()),
        **planner_shares.decision_fields(state, plan, now),
        **planner_forecast.log_fields(predicted, now),
    )
    if predicted is not None:
        delay = planner_forecast.book_return(state, plan, predicted.start, now)
    else:
        delay = batch_order.retry_delay(
            planner_order.urgency_of(plan),
            planner_estimates.expected_start(state, plan, now),
        )
    outcome = batches.Outcome(batches.REFUSED, reason, delay)
    return [decision, *planner_runs.finish_batch(state, plan, outcome, now)]
