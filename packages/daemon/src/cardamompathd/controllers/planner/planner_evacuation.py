"""Refusal of batches whose executors are all in evacuated failure domains."""

from __future__ import annotations

from cardamompath_core import batches
from cardamompath_core import evacuation
from cardamompath_core import executors
from cardamompathd.controllers.planner import planner_estimates
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_placement
from cardamompathd.controllers.planner import planner_runs

__all__ = [
    "handle_change",
    "is_shut_out",
    "refuse",
    "refuse_shut_out",
]

RETRY_AFTER = 1.0
"""Seconds after which a caller may retry.  An operator ends an evacuation, so
retries that are closer together would only add load."""


def handle_change(state, msg, now):
    """Adopt the evacuated domains, and refuse what cannot start any more."""
    was_unknown = state.evacuation == evacuation.UNKNOWN
    state.evacuation = msg.evacuation
    state.evacuation_changed_at = now
    if state.active_since is None:
        return []
    planner_estimates.refresh_estimates(state, now)
    sends = []
    if was_unknown:
        known = planner_log.decision(
            "evacuations known",
            domains=list(state.evacuation.domains),
            offset=state.evacuation.offset,
            waited_ms=round((now - state.began_at) * 1000.0),
            waiting_batches=len(state.plans),
        )
        sends.append(known)
    return [
        *sends,
        *planner_estimates.report_backlog(state),
        *refuse_shut_out(state, now),
    ]


def refuse_shut_out(state, now):
    """Refuse the batches that cannot start because of an evacuation."""
    sends = []
    results = {}
    for plan in list(state.plans.values()):
        if is_shut_out(state, plan, now, results):
            sends += refuse(state, plan, now)
    return sends


def is_shut_out(state, plan, now, results=None):
    """Return whether a batch has not started and an evacuation prevents it.

    It does if a step fits executors of evacuated domains, and no other one
    that is available, or if no executor is left.

    Parameters
    ----------
    results : dict, optional
        Results of the steps of other batches at the same time; those of this
        one are added.
    """
    if not state.evacuation.domains or plan.may_have_started:
        return False
    results = {} if results is None else results
    service = plan.batch.policy.service
    for step in plan.batch.steps:
        key = (service, step.resources, step.label)
        if key not in results:
            results[key] = _is_step_shut_out(state, service, step, now)
        if results[key]:
            return True
    return False


def _is_step_shut_out(state, service, step, now):
    # The executors of a domain may be gone once it is evacuated.
    evacuated = state.listing_complete and not state.executors
    for executor in state.executors.values():
        if not _fits(service, step, executor.spec):
            continue
        if planner_placement.is_available(state, executor, now):
            return False
        evacuated |= executor.spec.domain in state.evacuation.domains
    return evacuated


def _fits(service, step, spec):
    return (
        spec.service == service
        and executors.fits(step.resources, spec.capacity)
        and (not step.label or step.label in spec.labels)
    )


def refuse(state, plan, now):
    """Refuse a batch that has not started; return the messages."""
    changed_at = state.evacuation_changed_at
    decision = planner_log.decision(
        "refusal by evacuation",
        plan.name,
        domains=list(state.evacuation.domains),
        offset=state.evacuation.offset,
        known_ms=round((now - changed_at) * 1000.0),
        executors=len(state.executors),
        usable=sum(state.pool.values()),
        waited_ms=round((now - plan.received_at) * 1000.0),
    )
    reason = "the failure domains of its executors are evacuated"
    outcome = batches.Outcome(batches.REFUSED, reason, RETRY_AFTER)
    return [decision, *planner_runs.finish_batch(state, plan, outcome, now)]
