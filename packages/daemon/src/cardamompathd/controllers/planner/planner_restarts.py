"""Executors that were restarted under their names."""

from __future__ import annotations

from cardamompath_core import executors
from cardamompathd.controllers.planner import planner_crashes
from cardamompathd.controllers.planner import planner_listings
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_runs

__all__ = [
    "handle",
    "handle_unlisted",
]


def handle_unlisted(state, executor, incarnation, now):
    """Handle a restart of which there is no entry yet; read the list.

    It gets no tasks until then, as the entry of the former process says
    nothing of it.
    """
    spec = executor.spec._replace(incarnation=incarnation)
    sends = handle(state, executor, spec, now)
    executor.described = False
    return sends + planner_listings.request(state, now)


def handle(state, executor, spec, now):
    """Claim a restarted executor anew; return the messages.

    It has seen no token and carries out what was sent to the former process,
    also runs that were confirmed lately.  Therefore all runs are tracked
    until it answers a hold with a higher token.
    """
    before = executor.spec
    sends = planner_crashes.record_losses(state, executor, now)
    sends += planner_crashes.record_restart(state, executor)
    executor.spec = spec
    executor.described = True
    executor.restarted = True
    executor.forget_results(now)
    executor.acknowledged = 0
    executor.lease_end = 0.0
    executor.orphans.clear()
    executor.free_resources = spec.capacity
    for run, (plan, task) in executor.runs.items():
        executor.free_resources = executors.subtract(
            executor.free_resources, planner_runs.resources_of(plan, task)
        )
        if task.run == run:
            task.status = "unknown"
    planner_runs.doubt_claim(state, executor, now)
    decision = planner_log.decision(
        "executor restarted",
        executor=spec.name,
        incarnation=spec.incarnation,
        before=before.incarnation,
        runs=len(executor.runs),
    )
    return [*sends, decision]
