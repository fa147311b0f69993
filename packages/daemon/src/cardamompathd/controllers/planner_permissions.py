"""Permission of a planner to run the batches of other instances.

The instance whose caller waits leaves a batch with a planner as long as it
hears of it, and says until when in heartbeats, in seconds of the planner's
own clock.  A planner that is slow, was paused or is cut off thereby knows,
whatever it reads late, from when on another one may run the batch.  From
then on it starts no task of it and renews no lease.

Once the other instance has given the planner up, a later permission is for
the batches of a new term.  Those of the earlier term are with others.
"""

from __future__ import annotations

from cardamompathd.controllers import planner_log
from cardamompathd.controllers import planner_runs
from cardamompathd.controllers import planner_state

__all__ = [
    "drop_unpermitted",
    "handle_permission",
    "is_permitted",
    "may_renew",
    "may_start",
]

UNPERMITTED_TIME = 0.6
"""Seconds without a permission after which the runs of a batch are stopped.
A lease that was renewed 0.4 s before outlasts it, so that a permission that
is only late costs nothing."""
MIN_START_LEASE = 0.75
"""Minimum number of seconds of a lease with which a run starts beside others
that must not be renewed.  Those that are being stopped end sooner than in the
rest of a lease."""


def handle_permission(state, msg, now):
    """Keep until when an instance leaves its batches with this planner."""
    given = planner_state.Permission(msg.started, msg.term, msg.until)
    last = state.permissions.get(msg.origin, given)
    # A message that was under way on a broken link may arrive late.
    state.permissions[msg.origin] = max(last, given)
    return []


def is_permitted(state, plan, now):
    """Return whether no other planner may run a batch at present."""
    return any(
        _leaves_batch(state, origin, term, now)
        for origin, term in plan.origins.items()
    )


def _leaves_batch(state, origin, term, now):
    if origin.name == state.name:
        return True
    given = state.permissions.get(origin.name)
    return (
        given is not None
        and (given.started, given.term) == (origin.started, term)
        and given.until > now
    )


def may_renew(state, executor, now):
    """Return whether the leases of all runs on an executor may be renewed.

    A renewal extends all of them.  None may outlast the permission of its
    batch, and none that was stopped may live on if the stop was lost.
    """
    return not executor.orphans and all(
        not task.stopping
        and state.plans.get(plan.name) is plan
        and is_permitted(state, plan, now)
        for plan, task in executor.runs.values()
    )


def may_start(state, executor, now):
    """Return whether a run on an executor can get a lease of some length."""
    if executor.orphans:
        return False
    time_left = executor.lease_end - executor.executor_clock(now)
    return time_left >= MIN_START_LEASE or may_renew(state, executor, now)


def drop_unpermitted(state, now):
    """Drop the batches that other planners may run by now."""
    sends = []
    for plan in list(state.plans.values()):
        if is_permitted(state, plan, now):
            plan.unpermitted_since = None
        elif plan.unpermitted_since is None:
            plan.unpermitted_since = now
        elif now > plan.unpermitted_since + UNPERMITTED_TIME:
            decision = planner_log.decision(
                "permission lapsed",
                plan.name,
                origins=sorted(origin.name for origin in plan.origins),
                lapsed_ms=round((now - plan.unpermitted_since) * 1000.0),
            )
            sends += [decision, *planner_runs.drop_plan(state, plan)]
    return sends
