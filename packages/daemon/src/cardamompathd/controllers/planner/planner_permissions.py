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

import math

from cardamompathd.controllers.planner import planner_executors
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_runs
from cardamompathd.controllers.planner import planner_state

__all__ = [
    "drop_unpermitted",
    "handle_permission",
    "is_announced",
    "is_permitted",
    "lease_time",
    "note_confirmation",
    "renewal_time",
    "start_lease_end",
    "update_common_lease",
]

UNPERMITTED_TIME = 0.6
"""Seconds without a permission after which the runs of a batch are stopped.
A lease that was renewed 0.4 s before outlasts it, so that a permission that
is only late costs nothing."""


def handle_permission(state, msg, now):
    """Keep until when an instance leaves its batches with this planner."""
    given = planner_state.Permission(
        msg.started,
        msg.term,
        msg.until,
        msg.confirmed_at,
        msg.heard_at,
        msg.handover,
    )
    last = state.permissions.get(msg.origin, given)
    if last.started == given.started:
        # A message that was under way on a broken link may arrive late.
        given = max(last, given)
    state.permissions[msg.origin] = given
    return []


def note_confirmation(state, msg, _):
    """Keep when the callers of the batches of this instance were seen."""
    state.batches_confirmed = msg
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


def lease_time(state, plan, now):
    """Return for how many seconds a run of a batch may be leased.

    The run ends, also if its executor's clock is slow and no stop arrives,
    before a caller that has left, or whose instance was lost, submits the
    batch again.  The result is not above 0 if the batch is not permitted.
    """
    latest_end = max(
        (
            _confirmed_at(state, plan, origin, now)
            for origin, term in plan.origins.items()
            if _leaves_batch(state, origin, term, now)
        ),
        default=-math.inf,
    ) + (state.resubmit_delay - planner_runs.END_TIME)
    longest = (latest_end - now) * (1.0 - planner_executors.CLOCK_ERROR)
    return min(planner_runs.LEASE, longest)


def _confirmed_at(state, plan, origin, now):
    """Return when the caller of a batch was surely there.

    What an origin says of its callers holds for the batches that it had
    handed over by then, and for none that was still on its way to it.
    """
    number = plan.handovers.get(origin, 0)
    seen_at = plan.seen_at.get(origin, 0.0)
    if origin.name == state.name:
        if not number:
            return now
        confirmed_at, handover = state.batches_confirmed
    else:
        given = state.permissions[origin.name]
        confirmed_at, handover = given.confirmed_at, given.handover
    if handover == -1 or number <= handover:
        return max(seen_at, confirmed_at)
    return seen_at


def is_announced(state, executor, plan):
    """Return whether the origins of a batch know that this planner holds it.

    If this planner is lost, they tell its successor where tasks may run.
    Before its first announcement they know of none, so that the successor
    waits for all leases.
    """
    return executor.added_at <= state.began_at or all(
        origin.name == state.name
        or _has_confirmed(state, origin, executor.added_at)
        for origin in plan.origins
    )


def _has_confirmed(state, origin, since):
    given = state.permissions.get(origin.name)
    return (
        given is not None
        and given.started == origin.started
        and (given.heard_at or given.confirmed_at) > since
    )


def renewal_time(state, executor, now):
    """Return for how many seconds the leases on an executor may be renewed.

    A renewal extends all of them.  None may outlast what its batch allows,
    and none that was stopped may live on if the stop was lost.  The result is
    not above 0 if they must not be renewed.
    """
    if executor.orphans:
        return 0.0
    longest = state.common_lease
    for plan, task in executor.runs.values():
        if task.stopping or state.plans.get(plan.name) is not plan:
            return 0.0
        longest = min(longest, lease_time(state, plan, now))
    return longest


def update_common_lease(state, now):
    """Shorten the leases that are renewed to what every batch allows.

    A run gets the lease that its executor has.  A batch whose permission is
    older, as one from another failure domain, would find only executors with
    longer leases while others start there again and again.
    """
    allowed = [lease_time(state, plan, now) for plan in state.plans.values()]
    shortest = min(allowed, default=planner_runs.LEASE)
    state.common_lease = max(planner_runs.MIN_COMMON_LEASE, shortest)


def start_lease_end(state, executor, plan, now):
    """Return the end of the lease with which a run of a batch may start.

    A start renews the leases of all runs on its executor, and the new run
    gets the longest lease that was ever sent there.

    Returns
    -------
    float or None
        In seconds of the executor's clock; None if that is longer than the
        batch allows, or too short to be renewed in time.
    """
    clock = executor.executor_clock(now)
    allowed = lease_time(state, plan, now)
    lease = min(allowed, renewal_time(state, executor, now))
    lease_end = max(executor.lease_end, clock + lease)
    if clock + planner_runs.MIN_LEASE <= lease_end <= clock + allowed:
        return lease_end
    return None


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
