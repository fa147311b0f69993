"""Plans batches on the executors that this instance holds.

An instance plans while the fleet says that it is one of the planners
(`planner_election`).  It claims its executors with a higher token than any
planner before; an executor that sees a higher token refuses the orders
of the others.
"""

from __future__ import annotations

from collections.abc import Callable

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import planner_dispatch
from cardamompathd.controllers import planner_health
from cardamompathd.controllers import planner_leases
from cardamompathd.controllers import planner_log
from cardamompathd.controllers import planner_roles
from cardamompathd.controllers import planner_runs
from cardamompathd.controllers import planner_state

__all__ = [
    "make_controller",
]

TICK = 0.05
"""Seconds between looks at leases, hopeless batches and silent ones."""
IDLE_TICK = 0.1
"""Seconds between looks whether this instance is to plan."""
EARLY_TIME = 2.0
"""Seconds for which a batch waits that was handed over by an instance
which knew earlier than this one that it is to plan."""


def make_controller(
    own: str,
    make_token: Callable[[], int],
    started_at: float,
    far_rack: float = 1.0,
) -> messages.Controller:
    """Make the controller that plans at instance `own`.

    Parameters
    ----------
    own : str
        Name of the instance.
    make_token : callable
        Returns a token above those of earlier planners.
    started_at : float
        Start of the instance, in seconds of its clock.
    far_rack : float
        How many times longer a task takes on another rack than the one
        where its data is.
    """
    state = planner_state.PlannerState(own, make_token, far_rack)

    def receive(msg, now):
        handler = _HANDLERS.get(type(msg))
        if handler is None:
            return ()
        sends = [*handler(state, msg, now)]
        if type(msg) in (messages.TimerFired, pool_messages.FleetChanged):
            sends += planner_roles.change(state, started_at, now)
            sends += _take_early(state, now)
        if state.active_since is not None:
            sends += planner_dispatch.dispatch(state, now)
        return sends

    return messages.Controller(pool_messages.PLANNER, receive)


def _tick(state, _, now):
    pause = IDLE_TICK if state.active_since is None else TICK
    due = messages.SetTimer(now + pause, pool_messages.PLANNER, "tick")
    sends = [messages.Send(messages.TIMERS, due)]
    if state.active_since is None:
        return sends
    sends += planner_leases.expire(state, now)
    sends += planner_health.look(state, now)
    planner_dispatch.survey(state, now)
    sends += planner_dispatch.tell_backlog(state)
    return sends + planner_dispatch.refuse_hopeless(state, now)


def _fleet(state, msg, now):
    if state.fleet is not None:
        missing = {one.name for one in state.fleet.missing}
        if any(one.name in missing for one in msg.alive):
            state.healed_at = now
    state.fleet = msg
    state.planning = planner_election.arrange(
        msg.alive, msg.missing, dict(msg.domain_sizes)
    )
    if state.active_since is None:
        return []
    sends = []
    alive = {one.name for one in msg.alive}
    for plan in list(state.plans.values()):
        plan.origins &= alive
        if not plan.origins:
            note = planner_log.note("origin is gone", plan.name)
            sends += [note, *planner_runs.drop_plan(state, plan)]
    return sends + planner_roles.assign(state, now)


def _listed(state, msg, now):
    before = state.listed
    state.listed = {one.name: one for one in msg.executors}
    for name, spec in before.items():
        if name not in state.listed and spec.state == executors.READY:
            state.unlisted[name] = (now, spec)
    state.listed_at = now
    if state.active_since is None:
        return []
    return planner_roles.assign(state, now)


def _plan(state, msg, now):
    name = msg.batch.name
    ended = state.ended.get(name)
    if ended is not None:
        again = pool_messages.BatchEnded(name, msg.origin, ended, state.own)
        return [planner_runs.to_member(state, msg.origin, again)]
    known = state.plans.get(name)
    if known is not None:
        known.origins.add(msg.origin)
        return []
    if state.active_since is not None:
        return _take_up(state, msg, now)
    started = msg.round > 0 or name in state.dropped
    if planner_roles.is_passive(state, now) and not started:
        # It may have come before, when this instance was not passive yet.
        state.early.pop(name, None)
        outcome = batches.Outcome(
            batches.REFUSED,
            "this instance is cut off from the others",
            planner_roles.CAUTION,
        )
        refused = pool_messages.BatchEnded(
            name, msg.origin, outcome, state.own
        )
        return [planner_runs.to_member(state, msg.origin, refused)]
    state.early[name] = (msg, now)
    return []


def _take_early(state, now):
    """Take up what was handed over before this instance planned."""
    if state.active_since is None or not state.early:
        return []
    sends = []
    early, state.early = state.early, {}
    for msg, at in early.values():
        waited = now - at
        if waited < EARLY_TIME:
            later = msg._replace(
                age=msg.age + waited, time_left=msg.time_left - waited
            )
            sends += _plan(state, later, now)
    return sends


def _take_up(state, msg, now):
    # Runs of an earlier time here count like those of another planner.
    msg = msg._replace(round=msg.round + state.dropped.get(msg.batch.name, 0))
    first = msg.round * planner_runs.OLD_STEP
    plan = planner_state.Plan(msg, first, now)
    reason = _why_unfit(state, plan)
    if reason:
        outcome = batches.Outcome(batches.FAILED, reason)
        return planner_runs.finish(state, plan, outcome, now)
    planner_dispatch.estimate(state, plan)
    if not plan.started and planner_dispatch.comes_too_late(state, plan, now):
        return planner_dispatch.refuse(state, plan, now)
    state.plans[plan.name] = plan
    _rebind(state, plan, now)
    return [
        planner_log.note(
            "batch planned",
            plan.name,
            origin=msg.origin,
            route=plan.batch.terms.route,
            tasks=len(plan.tasks),
            round=msg.round,
            age_ms=round(msg.age * 1000.0),
        )
    ]


def _rebind(state, plan, now):
    """Tie runs of an earlier submission of a batch to the new one."""
    for held in state.held.values():
        for run in [one for one in held.orphans if one.batch == plan.name]:
            task = plan.find(run.step, run.index)
            if task is not None and task.status == "waiting":
                del held.orphans[run]
                plan.started = True
                planner_runs.adopt(held, plan, task, run, now)
        for run in [one for one in held.runs if one.batch == plan.name]:
            old = held.runs[run][1]
            task = plan.find(run.step, run.index)
            if task is None or task.status != "waiting":
                continue
            plan.waiting.remove(task)
            plan.started = True
            task.status = old.status
            task.attempt = max(task.attempt, run.attempt)
            task.executor = old.executor
            task.run = run
            task.since = old.since
            task.expires = old.expires
            task.stopping = True
            held.runs[run] = (plan, task)


def _why_unfit(state, plan):
    """Return why no executor could ever run a batch, or nothing."""
    specs = [
        one
        for one in state.listed.values()
        if one.service == plan.batch.terms.service
    ]
    if not specs:
        return ""
    for number, step in enumerate(plan.batch.steps):
        room = any(executors.fits(step.room, one.capacity) for one in specs)
        if not room:
            return f"step {number} takes {step.room!r}; no executor has that"
    return ""


def _drop(state, msg, now):
    state.early.pop(msg.name, None)
    plan = state.plans.get(msg.name)
    if plan is None:
        return []
    plan.origins.discard(msg.origin)
    if plan.origins:
        return []
    note = planner_log.note(
        "batch dropped",
        plan.name,
        done=plan.done,
        tasks=len(plan.tasks),
        age_ms=round((now - plan.submitted) * 1000.0),
    )
    return [note, *planner_runs.drop_plan(state, plan)]


_HANDLERS = {
    messages.TimerFired: _tick,
    pool_messages.FleetChanged: _fleet,
    pool_messages.ExecutorsListed: _listed,
    pool_messages.PlanBatch: _plan,
    pool_messages.DropBatch: _drop,
    pool_messages.StartAnswered: planner_runs.start_answered,
    pool_messages.StopAnswered: planner_runs.stop_answered,
    pool_messages.HoldAnswered: planner_leases.hold_answered,
    pool_messages.HoldFailed: planner_leases.hold_failed,
    pool_messages.ProbeAnswered: planner_roles.probed,
}
