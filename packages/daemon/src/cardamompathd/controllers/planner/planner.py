"""Plans batches on the executors that this instance claims.

An instance plans while it is one of the planners of the fleet
(`planner_election`).  It claims its executors with a higher fencing token
than any earlier planner; an executor refuses requests with a lower token
than the highest one it has seen.
"""

from __future__ import annotations

from collections.abc import Callable

from cardamompath_core import batches
from cardamompath_core import evacuation
from cardamompath_core import executor_digests
from cardamompath_core import executors
from cardamompath_core import offers
from cardamompath_core import pool_policy
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.planner import planner_admission
from cardamompathd.controllers.planner import planner_cancellations
from cardamompathd.controllers.planner import planner_crashes
from cardamompathd.controllers.planner import planner_dispatch
from cardamompathd.controllers.planner import planner_estimates
from cardamompathd.controllers.planner import planner_evacuation
from cardamompathd.controllers.planner import planner_forecast
from cardamompathd.controllers.planner import planner_health
from cardamompathd.controllers.planner import planner_leases
from cardamompathd.controllers.planner import planner_listings
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_outcomes
from cardamompathd.controllers.planner import planner_permissions
from cardamompathd.controllers.planner import planner_placement
from cardamompathd.controllers.planner import planner_plans
from cardamompathd.controllers.planner import planner_readings
from cardamompathd.controllers.planner import planner_roles
from cardamompathd.controllers.planner import planner_room
from cardamompathd.controllers.planner import planner_runs
from cardamompathd.controllers.planner import planner_shares
from cardamompathd.controllers.planner import planner_state

__all__ = [
    "make_controller",
]

TICK_INTERVAL = 0.05
"""Seconds between checks of leases, silent executors and late batches."""
REVIEW_INTERVAL = 0.2
"""Seconds between reviews of the executors' health and of the estimates;
several times shorter than an ejection."""
ROLE_TICK_INTERVAL = 0.1
"""Seconds between checks whether this instance has to plan, while that
depends on the time."""
IDLE_TICK_INTERVAL = 0.5
"""Seconds between these checks otherwise; a change of the fleet is checked at
once."""
EARLY_BATCH_TTL = 2.0
"""Seconds for which a batch is kept that arrives before this instance plans;
the sender may learn earlier that it is a planner."""


def make_controller(
    name: str,
    make_token: Callable[[], int],
    started_at: float,
    remote_rack_factor: float = 1.0,
    resubmit_delay: float = planner_state.RESUBMIT_DELAY,
    policy: pool_policy.PoolPolicy | None = None,
    known_evacuation: evacuation.Evacuation = evacuation.OFF,
) -> messages.Controller:
    """Make the controller that plans batches at this instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    make_token : callable
        Returns a fencing token above those of earlier planners.
    started_at : float
        Start of the instance, in seconds of its clock.
    remote_rack_factor : float
        Factor on the run time of a task on a rack without its data.
    resubmit_delay : float
        Seconds after which a caller without an answer submits a batch again.
    policy : PoolPolicy, optional
        How batches share the executors; by default, all choices are off.
    known_evacuation : Evacuation
        `evacuation.UNKNOWN` if evacuations are followed, or `evacuation.OFF`.
    """
    state = planner_state.PlannerState(
        name,
        make_token,
        remote_rack_factor,
        resubmit_delay,
        policy or pool_policy.PoolPolicy(),
        known_evacuation,
    )

    def receive(msg, now):
        handler = _HANDLERS.get(type(msg))
        if handler is None:
            return ()
        sends = [*handler(state, msg, now)]
        if type(msg) in _CONFIRMATIONS or type(msg) in _EXCHANGES:
            # So frequent that tasks that may start now wait for the tick.
            return sends
        if type(msg) in (messages.TimerFired, pool_messages.FleetChanged):
            sends += planner_roles.update_role(state, started_at, now)
            if state.active_since is None:
                sends += planner_room.withdraw_report(state)
            sends += _accept_early_batches(state, now)
        if state.active_since is not None:
            sends += planner_dispatch.dispatch(state, now)
        return sends

    return messages.Controller(pool_messages.PLANNER, receive)


def _handle_timer(state, msg, now):
    if msg.key != planner_readings.TIMER_KEY:
        return _tick(state, now)
    if state.active_since is None:
        return []
    return planner_readings.ask(state, now)


def _tick(state, now):
    due = messages.SetTimer(
        now + _tick_interval(state), pool_messages.PLANNER, "tick"
    )
    sends = [messages.Send(messages.TIMERS, due)]
    if state.active_since is None:
        return sends
    sends += planner_readings.ask(state, now)
    sends += planner_permissions.drop_unpermitted(state, now)
    planner_permissions.update_common_lease(state, now)
    sends += planner_leases.check_leases(state, now)
    sends += planner_roles.announce_executors(state)
    sends += _give_up_batches(state, now)
    if now >= state.reviewed_at + REVIEW_INTERVAL:
        state.reviewed_at = now
        sends += planner_outcomes.report(state)
        sends += planner_health.eject_unhealthy(state, now)
        planner_estimates.refresh_estimates(state, now)
    sends += planner_estimates.report_backlog(state)
    sends += planner_evacuation.refuse_shut_out(state, now)
    sends += planner_shares.review(state, now)
    sends += planner_room.report_room(state, now)
    return sends + planner_admission.refuse_late(state, now)


def _give_up_batches(state, now):
    """Give up batches with a task that crashes its executors."""
    sends = []
    for plan in list(state.plans.values()):
        if not planner_crashes.has_losses(state, plan):
            continue
        reason = planner_crashes.find_reason(state, plan)
        if reason:
            outcome = batches.Outcome(batches.FAILED, reason)
            sends += planner_runs.finish_batch(state, plan, outcome, now)
    return sends


def _tick_interval(state):
    if state.active_since is not None:
        return TICK_INTERVAL
    if planner_roles.is_undecided(state):
        return ROLE_TICK_INTERVAL
    return IDLE_TICK_INTERVAL


def _update_fleet(state, msg, now):
    if state.fleet is not None:
        missing = {member.name for member in state.fleet.missing}
        if any(member.name in missing for member in msg.alive):
            state.healed_at = now
    state.fleet = msg
    state.idle_members &= planner_roles.idle_members(msg)
    alive = {
        pool_messages.Origin(member.name, member.started)
        for member in msg.alive
    }
    for name, given in list(state.permissions.items()):
        if (name, given.started) not in alive:
            del state.permissions[name]
    state.assignment = msg.assignment
    if state.active_since is None:
        return []
    sends = []
    for plan in list(state.plans.values()):
        for origin in plan.origins.keys() - alive:
            del plan.origins[origin]
        if not plan.origins:
            decision = planner_log.decision("origin is gone", plan.name)
            sends += [decision, *planner_runs.drop_plan(state, plan)]
    return sends + planner_roles.claim_assigned(state, now)


def _update_listing(state, msg, now):
    state.listed = {entry.name: entry for entry in msg.executors}
    for spec in msg.executors:
        known = state.largest_capacities[spec.service]
        if not any(executors.fits(spec.capacity, each) for each in known):
            known.append(spec.capacity)
    state.listed_at = now
    state.listing_complete = msg.is_complete
    if state.active_since is None:
        return []
    return [
        *planner_crashes.record_listing(state),
        *planner_roles.claim_assigned(state, now),
        *_fail_unfit_batches(state, now),
    ]


def _fail_unfit_batches(state, now):
    """End the batches that turn out to fit no executor."""
    sends = []
    for plan in list(state.plans.values()):
        reason = _unfit_reason(state, plan)
        if reason:
            outcome = batches.Outcome(batches.FAILED, reason)
            sends += planner_runs.finish_batch(state, plan, outcome, now)
    return sends


def _is_revoked(state, msg):
    """Return whether a drop has revoked a hand-over, or a later one."""
    key = (state.origin_of(msg), msg.batch.name)
    return offers.is_revoked(
        msg.handover, state.revoked_handovers.get(key, -1)
    )


def _plan_batch(state, msg, now):
    name = msg.batch.name
    if msg.handover and _is_revoked(state, msg):
        # It was under way on a broken link, and the drop on the next one.
        return []
    rejected = planner_room.repeat_rejection(state, msg)
    if rejected is not None:
        return [rejected]
    if state.fleet is None:
        # How to reach the origin is told by the first view.
        state.early_batches[name] = (msg, now)
        return []
    planner_crashes.note_losses(state, name, msg.losses, now)
    ended_outcome = state.ended_outcomes.get(name)
    origin = state.origin_of(msg)
    if ended_outcome is not None and planner_room.is_new_offer(
        state, msg, ended_outcome
    ):
        del state.ended_outcomes[name]
    elif ended_outcome is not None:
        return [
            planner_runs.report_outcome(state, name, origin, ended_outcome)
        ]
    if msg.cancelled or state.cancellations.find(name, now):
        outcome = batches.Outcome(batches.CANCELLED, "cancelled")
        return [planner_runs.report_outcome(state, name, origin, outcome)]
    plan = state.plans.get(name)
    sends = []
    if plan is not None:
        if plan.origins.get(origin, msg.term) >= msg.term:
            _add_origin(state, plan, origin, msg, now)
            return []
        # The sender gave this planner up meanwhile; another one may have run
        # tasks of the batch since.
        sends = planner_runs.drop_plan(state, plan)
    if state.active_since is not None:
        return sends + _accept_batch(state, msg, now)
    may_have_started = msg.round > 0 or name in state.dropped_counts
    if planner_roles.is_passive(state, now) and not may_have_started:
        # It may have arrived before, while this instance was not passive.
        state.early_batches.pop(name, None)
        outcome = batches.Outcome(
            batches.REFUSED,
            "this instance is cut off from the others",
            planner_roles.PASSIVE_TIME,
        )
        handover = state.remember_rejection(
            origin, name, msg.handover, outcome
        )
        return [
            planner_runs.report_outcome(state, name, origin, outcome, handover)
        ]
    state.early_batches[name] = (msg, now)
    return []


def _add_origin(state, plan, origin, msg, now):
    """Add an instance that also answers a caller of a batch."""
    plan.handovers[origin] = max(plan.handovers.get(origin, 0), msg.handover)
    plan.seen_at[origin] = max(plan.seen_at.get(origin, 0.0), msg.seen_at)
    if origin not in plan.origins:
        plan.origins[origin] = msg.term
        plan.round = max(plan.round, msg.round)
        # Its former planner may run tasks, of which no other origin knows.
        plan.may_have_started |= msg.round > 0
        plan.shard_changed |= msg.shard_changed
        plan.former_executors.update(_former_digests(state, msg))
        plan.permitted_until = max(
            plan.permitted_until, now + msg.permitted_time
        )
        plan.claims_since = plan.permitted_until


def _accept_early_batches(state, now):
    """Accept the batches that arrived before this instance planned."""
    if state.active_since is None or not state.early_batches:
        return []
    sends = []
    early, state.early_batches = state.early_batches, {}
    for msg, received_at in early.values():
        waited = now - received_at
        if waited < EARLY_BATCH_TTL:
            updated = msg._replace(
                age=msg.age + waited, time_left=msg.time_left - waited
            )
            sends += _plan_batch(state, updated, now)
    return sends


def _accept_batch(state, msg, now):
    # Runs that this planner started and dropped count like those of others.
    msg = msg._replace(
        former_executors=_former_digests(state, msg),
        round=msg.round + state.dropped_counts.get(msg.batch.name, 0),
    )
    first_attempt = msg.round * planner_runs.ATTEMPT_SKIP
    plan = planner_plans.Plan(msg, state.origin_of(msg), first_attempt, now)
    if msg.ended_planner in state.idle_members:
        plan.claims_since = state.began_at
    reason = _unfit_reason(state, plan)
    if reason:
        outcome = batches.Outcome(batches.FAILED, reason)
        return planner_runs.finish_batch(state, plan, outcome, now)
    planner_estimates.estimate_plan(state, plan, now)
    planner_estimates.record_demand(state, plan, now)
    if planner_evacuation.is_shut_out(state, plan, now):
        return planner_evacuation.refuse(state, plan, now)
    planner_shares.record_arrival(state, plan, now)
    planner_placement.record_demand(state, plan, now)
    planner_room.note_sizes(state, plan, now)
    if not plan.may_have_started and planner_admission.would_be_late(
        state, plan, now
    ):
        return planner_admission.refuse_batch(state, plan, now)
    state.plans[plan.name] = plan
    _reattach_runs(state, plan, now)
    listing = []
    if planner_leases.former_executors(state, plan) is None:
        listing = planner_listings.request(state, now)
    return [
        *listing,
        *_report_remote_origin(state, msg, plan),
        planner_log.decision(
            "batch planned",
            plan.name,
            origin=msg.origin,
            route=plan.batch.policy.route,
            tasks=len(plan.tasks),
            round=msg.round,
            age_ms=round(msg.age * 1000.0),
            **planner_forecast.admission_fields(state, plan, now),
        ),
    ]


def _former_digests(state, msg):
    """Return the digests of the executors of all earlier planners.

    What this planner held in an earlier term is not known any more.
    """
    known = msg.former_executors
    if msg.batch.name in state.dropped_in_former_terms or (
        msg.round > 0 and not known
    ):
        return (*known, executor_digests.UNKNOWN)
    return known


def _report_remote_origin(state, msg, plan):
    """Have heartbeats sent often to an origin in another failure domain."""
    if not state.assignment.by_domain:
        return []
    own_domain = state.fleet.own_member.domain
    if any(
        member.name == msg.origin and member.domain != own_domain
        for member in state.fleet.alive
    ):
        used = pool_messages.RemotePeerUsed(msg.origin, plan.deadline)
        return [messages.Send(pool_messages.FLEET, used)]
    return []


def _reattach_runs(state, plan, now):
    """Attach runs of an earlier submission of a batch to the new one."""
    for executor in state.executors.values():
        for run in [
            orphan for orphan in executor.orphans if orphan.batch == plan.name
        ]:
            task = plan.find_task(run.step, run.index)
            if task is not None and task.status == "waiting":
                del executor.orphans[run]
                plan.may_have_started = True
                planner_runs.adopt_run(executor, plan, task, run, now)
        for run in [
            tracked for tracked in executor.runs if tracked.batch == plan.name
        ]:
            old = executor.runs[run][1]
            task = plan.find_task(run.step, run.index)
            if task is None or task.status != "waiting":
                continue
            if task in plan.waiting:
                plan.waiting.remove(task)
            plan.may_have_started = True
            task.status = old.status
            task.attempt = max(task.attempt, run.attempt)
            task.executor_name = old.executor_name
            task.run = run
            task.started_at = old.started_at
            task.start_deadline = old.start_deadline
            task.token = old.token
            task.stopping = True
            executor.runs[run] = (plan, task)


def _unfit_reason(state, plan):
    """Return why no executor can ever run a batch.

    The result is empty if one can, or may be registered but not listed.
    """
    capacities = state.largest_capacities[plan.batch.policy.service]
    if not capacities or not state.listing_complete:
        return ""
    for number, step in enumerate(plan.batch.steps):
        has_fitting = any(
            executors.fits(step.resources, each) for each in capacities
        )
        if not has_fitting:
            return (
                f"step {number} needs {step.resources!r}; no executor has that"
            )
    return ""


def _handle_drop(state, msg, now):
    sends = _drop_batch(state, msg, now)
    # An origin that sends no number takes this for the end of the batch.
    if state.fleet is None or not msg.handover:
        return sends
    outcome = batches.Outcome(batches.CANCELLED, "dropped by its origin")
    origin = state.origin_of(msg)
    ended = planner_runs.report_outcome(
        state, msg.name, origin, outcome, msg.handover
    )
    return [*sends, ended]


def _drop_batch(state, msg, now):
    origin = state.origin_of(msg)
    state.remember_drop(origin, msg.name, msg.handover)
    early = state.early_batches.get(msg.name)
    if early is not None and _is_revoked(state, early[0]):
        del state.early_batches[msg.name]
    plan = state.plans.get(msg.name)
    if plan is None or plan.handovers.get(origin, 0) > msg.handover:
        return []
    plan.origins.pop(origin, None)
    if plan.origins:
        return []
    decision = planner_log.decision(
        "batch dropped",
        plan.name,
        done=plan.done_count,
        tasks=len(plan.tasks),
        age_ms=round((now - plan.submitted_at) * 1000.0),
    )
    return [decision, *planner_runs.drop_plan(state, plan)]


_CONFIRMATIONS = (
    pool_messages.BatchesConfirmed,
    pool_messages.PlanningPermitted,
    pool_messages.RoomReported,
)
_EXCHANGES = (
    pool_messages.ExecutorsAsked,
    pool_messages.SendToMember,
    pool_messages.StoreStateChanged,
)
_HANDLERS = {
    messages.TimerFired: _handle_timer,
    pool_messages.FleetChanged: _update_fleet,
    pool_messages.ExecutorsListed: _update_listing,
    pool_messages.OwnListRead: planner_readings.note_own_reading,
    pool_messages.ExecutorsRead: planner_readings.note_reading,
    pool_messages.StoreStateChanged: planner_readings.note_store_state,
    pool_messages.ExecutorsAsked: planner_readings.forward_question,
    pool_messages.ExecutorsAnswered: planner_readings.handle_answer,
    pool_messages.SendToMember: planner_readings.forward_answer,
    pool_messages.EvacuationInForce: planner_evacuation.handle_change,
    pool_messages.PlanBatch: _plan_batch,
    pool_messages.PlanningPermitted: planner_permissions.handle_permission,
    pool_messages.BatchesConfirmed: planner_permissions.note_confirmation,
    pool_messages.RoomReported: planner_room.note_report,
    pool_messages.DropBatch: _handle_drop,
    pool_messages.BatchQuery: planner_cancellations.handle_query,
    pool_messages.CancellationsReported: (
        planner_cancellations.note_cancellations
    ),
    pool_messages.OutcomesReported: planner_outcomes.note_report,
    pool_messages.StartAnswered: planner_runs.handle_start_answer,
    pool_messages.StopAnswered: planner_runs.handle_stop_answer,
    pool_messages.HoldAnswered: planner_leases.handle_hold_answer,
    pool_messages.HoldFailed: planner_leases.handle_hold_failure,
    pool_messages.ProbeAnswered: planner_roles.handle_probe_answer,
}
