"""Routes in force, and batches whose callers wait at this instance.

Each batch is handed over to a planner.  If the planner fails or no longer
plans, the batch is handed over to its successor, which adopts the runs
that are still going on.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from cardamompath_core import batches
from cardamompath_core import evacuation
from cardamompath_core import offers
from cardamompath_core import pool_policy
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.gateway import gateway_answers
from cardamompathd.controllers.gateway import gateway_cancellations
from cardamompathd.controllers.gateway import gateway_drops
from cardamompathd.controllers.gateway import gateway_evacuation
from cardamompathd.controllers.gateway import gateway_lookups
from cardamompathd.controllers.gateway import gateway_members
from cardamompathd.controllers.gateway import gateway_planners
from cardamompathd.controllers.gateway import gateway_queries
from cardamompathd.controllers.gateway import gateway_rooms
from cardamompathd.controllers.gateway import gateway_state

__all__ = [
    "make_controller",
]

NO_PLANNER_TIMEOUT = 1.5
"""Seconds for which a batch waits until a planner is known.  After a failure
a successor is known within `fleet_state.HEARTBEAT_TIMEOUT` and the time of its
first heartbeats."""
NO_PLANNER_RETRY_AFTER = 1.0
"""Seconds after which a caller may retry if no planner is known; a successor
takes over in about that time."""
LATE_RETRY_AFTER = 0.1
"""Seconds after which a caller may retry whose request was read too late, as
after a pause of this process."""
STOPPING_RETRY_AFTER = 0.1
"""Seconds after which a caller may retry at another instance."""
OFFER_INTERVAL = 0.5
"""Minimum number of seconds between two offers of the configuration to a
member."""


_ARRIVED_LATE = batches.Outcome(
    batches.REFUSED, "read after its time limit", LATE_RETRY_AFTER
)
_STOPPING = batches.Outcome(
    batches.REFUSED, "shutting down", STOPPING_RETRY_AFTER
)


def make_controller(
    name: str,
    domain: str = "",
    is_batch_name: Callable[[str], bool] = bool,
    policy: pool_policy.PoolPolicy | None = None,
    known_evacuation: evacuation.Evacuation = evacuation.OFF,
    logs_cancellations: bool = False,
) -> messages.Controller:
    """Make the controller of the batches whose callers wait here.

    Parameters
    ----------
    name, domain : str
        Name of this instance and of its failure domain.
    is_batch_name : callable
        Returns whether a text is a valid name of a batch.
    policy : PoolPolicy, optional
        How batches share the executors; by default, all choices are off.
    known_evacuation : Evacuation
        `evacuation.UNKNOWN` if evacuations are followed, or `evacuation.OFF`.
    logs_cancellations : bool
        Whether a task at `CANCELLATION_LOG` keeps the cancellations.
    """
    state = gateway_state.GatewayState(
        name,
        domain,
        is_batch_name,
        policy or pool_policy.PoolPolicy(),
        known_evacuation,
        logs_cancellations,
    )

    def receive(msg, now):
        handler = _HANDLERS.get(type(msg))
        return handler(state, msg, now) if handler else ()

    return messages.Controller(pool_messages.GATEWAY, receive)


def _submit(state, msg, now):
    if state.route_table is None:
        return gateway_answers.refuse(msg, gateway_answers.UNCONFIGURED)
    route = state.route_table.find(msg.host, msg.path)
    if route is None or len(route.prefix) == len(msg.path):
        return gateway_answers.refuse(msg, gateway_answers.NO_ROUTE)
    deadline = msg.arrived_at + msg.timeout
    if now >= deadline:
        return gateway_answers.refuse(msg, _ARRIVED_LATE)
    if now >= state.answer_by:
        return gateway_answers.refuse(msg, _STOPPING)
    name = msg.path[len(route.prefix) :]
    if not state.is_batch_name(name):
        return gateway_answers.refuse(msg, gateway_answers.INVALID_NAME)
    cancelled = state.cancellations.find(name, now)
    if cancelled is not None and cancelled.existed:
        # Otherwise the planner tells whether it had ended before.
        return gateway_answers.refuse(msg, gateway_answers.CANCELLED)
    state.batch_by_waiter[msg.reply_to] = name
    existing = state.pending.get(name)
    if existing is not None:
        existing.waiters[msg.reply_to] = msg.seen_at
        return ()
    batch = batches.Batch(name, msg.spec, msg.steps, route.policy)
    pending = state.pending[name] = gateway_state.PendingBatch(
        batch, msg, min(deadline, state.answer_by), now
    )
    sends = gateway_cancellations.hand_over(state, pending, now)
    sends += gateway_drops.cancel(state, name, pending.planner)
    sends.append(_log_submitted(state, pending))
    sends.append(gateway_answers.make_timer(pending.deadline, name))
    if not state.timer_set:
        state.timer_set = True
        sends.append(
            gateway_answers.make_timer(
                now + gateway_planners.RESEND_INTERVAL, None
            )
        )
    return sends


def _log_submitted(state, pending):
    backlog = gateway_planners.backlog_of(state, pending.planner)
    fields = {
        "route": pending.batch.policy.route,
        "version": state.route_table.version,
        "wait_ms": round((pending.deadline - pending.submitted_at) * 1000.0),
        "planner": gateway_answers.planner_name(pending.planner),
        "backlog_ms": round(backlog * 1000.0),
    }
    return gateway_answers.log("submitted", pending.batch.name, fields)


def _count_waiting(state, msg, _):
    if state.route_table is None:
        return gateway_answers.refuse(msg, gateway_answers.UNCONFIGURED)
    route = state.route_table.find(msg.host, msg.path)
    reply = messages.Reply(msg.reply_to, None if route is None else 0)
    return [messages.Send(messages.CALLERS, reply)]


def _set_routes(state, msg, _):
    table = msg.table
    if (
        state.route_table is not None
        and table.version <= state.route_table.version
    ):
        return ()
    fields = {
        "version": table.version,
        "before": state.route_table.version if state.route_table else None,
        "routes": sum(
            len(host_routes) for host_routes in table.by_host.values()
        ),
        "source": msg.source,
    }
    state.route_table = table
    state.document = msg.document
    in_force = pool_messages.ConfigurationInForce(table.version)
    return [
        messages.Send(pool_messages.FLEET, in_force),
        gateway_answers.log("configuration in force", "", fields),
    ]


def _offer_configuration(state, msg, now):
    if state.route_table is None or (
        now - state.offered_at.get(msg.address, -math.inf) < OFFER_INTERVAL
    ):
        return ()
    state.offered_at[msg.address] = now
    offer = pool_messages.ConfigurationOffered(
        state.route_table.version, state.document
    )
    to_member = pool_messages.SendToMember(msg.address, offer)
    return [messages.Send(pool_messages.LINKS, to_member)]


def _report_readiness(state, msg, _):
    reason = ""
    if state.leaving:
        reason = "shutting down"
    elif state.route_table is None:
        reason = "no configuration yet"
    elif not state.assignment.planners:
        reason = "no planner is known"
    reply = messages.Reply(msg.reply_to, reason)
    return [messages.Send(messages.CALLERS, reply)]


def _leave(state, msg, now):
    state.leaving = True
    state.answer_by = now + msg.time_left
    sends = []
    for name, pending in state.pending.items():
        if pending.deadline > state.answer_by:
            pending.deadline = state.answer_by
            sends.append(gateway_answers.make_timer(pending.deadline, name))
    return sends


def _withdraw_caller(state, msg, now):
    pending = state.pending.get(state.batch_by_waiter.pop(msg.reply_to, ""))
    if pending is None or msg.reply_to not in pending.waiters:
        return ()
    del pending.waiters[msg.reply_to]
    outcome = batches.Outcome(batches.TIMED_OUT, "the caller disconnected")
    reply = messages.Reply(msg.reply_to, outcome)
    sends = [messages.Send(messages.CALLERS, reply)]
    if not pending.waiters:
        sends += gateway_answers.drop_batch(state, pending, "caller left", now)
    return sends


def _note_callers(state, msg, _):
    """Process which callers were there, and tell what follows from it."""
    for waiter in msg.waiting:
        pending = state.pending.get(state.batch_by_waiter.get(waiter, ""))
        if pending is not None and waiter in pending.waiters:
            pending.waiters[waiter] = max(pending.waiters[waiter], msg.as_of)
    seen_at = min(
        (pending.seen_at for pending in state.pending.values()),
        default=msg.as_of,
    )
    confirmed = pool_messages.BatchesConfirmed(seen_at, state.last_handover)
    return [
        messages.Send(pool_messages.FLEET, confirmed),
        messages.Send(pool_messages.PLANNER, confirmed),
    ]


def _handle_end(state, msg, now):
    outcome = msg.outcome
    if outcome.state == batches.CANCELLED:
        if msg.handover:
            return gateway_drops.acknowledge(state, msg)
        return gateway_lookups.cancel_here(state, msg.name, now, now)
    pending = state.pending.get(msg.name)
    if pending is None:
        return ()
    refused = outcome.state == batches.REFUSED
    if refused and msg.planner != gateway_answers.planner_name(
        pending.planner
    ):
        # A planner repeats its refusal if the batch is sent to it again.
        # The planner that got the batch since may have started tasks.
        return ()
    if refused and not offers.concerns_offer(msg.handover, pending.handover):
        # It is about an earlier offer to the same planner, which may have
        # started tasks since it got the present one.
        return ()
    if refused and state.policy.room.reports:
        gateway_rooms.note_rejection(state, pending, msg)
    if refused and gateway_planners.can_retry_elsewhere(state, pending, now):
        return _retry_elsewhere(state, pending, now)
    if refused and pending.round > 0:
        # An earlier planner may have started tasks of it.
        outcome = outcome._replace(state=batches.TIMED_OUT)
    del state.pending[msg.name]
    sends = gateway_answers.answer(state, pending, outcome, now)
    if pending.round > 0:
        # The outcome may be that of an earlier planner.
        sends += gateway_answers.drop_at_planner(state, pending, now)
    return sends


def _retry_elsewhere(state, pending, now):
    fields = {"planner": gateway_answers.planner_name(pending.planner)}
    fields["age_ms"] = round((now - pending.submitted_at) * 1000.0)
    # The batch may have been sent to that planner once more meanwhile.
    dropped = gateway_drops.drop(
        state, pending.planner, pending.batch.name, pending.handover, now
    )
    pending.refused_by.add(pending.planner.name)
    pending.planner = None
    pending.shard = None
    pending.handed_over = False
    decision = gateway_answers.log(
        "asks another planner", pending.batch.name, fields
    )
    sends = gateway_planners.hand_over(state, pending, now)
    return [decision, *dropped, *sends]


def _update_fleet(state, msg, now):
    state.started = msg.own_member.started
    state.address = msg.own_member.address
    is_first_view = state.viewed_since is None
    if is_first_view:
        state.viewed_since = now
    reports = gateway_members.report_to_new(state, msg, now)
    state.alive = msg.alive
    state.missing = msg.missing
    state.assignment = msg.assignment
    state.had_remote_planners |= msg.assignment.by_domain
    state.planner_terms = dict(msg.planner_terms)
    planners = state.assignment.planners
    sends = reports + gateway_drops.forget_former_planners(state)
    for pending in state.pending.values():
        if now < pending.deadline and not any(
            gateway_planners.is_same_incarnation(planner, pending.planner)
            for planner in planners
        ):
            sends += gateway_cancellations.hand_over(state, pending, now)
    gateway_members.forget_former(state, now)
    sends += gateway_cancellations.limit_hold(state, is_first_view)
    return sends + gateway_queries.update_members(state, now)


def _handle_timer(state, msg, now):
    if msg.key == gateway_drops.TIMER_KEY:
        return gateway_drops.resend(state, now)
    if msg.key == gateway_members.TIMER_KEY:
        return gateway_members.repeat_reports(state, now)
    if msg.key == gateway_queries.TIMER_KEY:
        return gateway_queries.resend(state, now)
    if msg.key == gateway_queries.APPEND_TIMER_KEY:
        return gateway_queries.finish_answered(state, now)
    if msg.key == gateway_cancellations.TIMER_KEY:
        return gateway_cancellations.end_hold(state, now)
    if msg.key is not None:
        return _handle_deadline(state, state.pending.get(msg.key), now)
    sends = []
    for pending in list(state.pending.values()):
        if (
            not pending.handed_over
            and now >= pending.submitted_at + NO_PLANNER_TIMEOUT
        ):
            sends += _refuse_unassigned(state, pending, now)
        elif pending.resend_at <= now < pending.deadline:
            pending.resend_at = (
                now
                + gateway_planners.RESEND_INTERVAL
                + (now - pending.submitted_at)
            )
            sends += gateway_cancellations.hand_over(state, pending, now)
    state.timer_set = bool(state.pending)
    if state.timer_set:
        sends.append(
            gateway_answers.make_timer(
                now + gateway_planners.RESEND_INTERVAL, None
            )
        )
    return sends


def _handle_deadline(state, pending, now):
    if pending is None or now < pending.deadline:
        return ()
    if not pending.handed_over:
        return _refuse_unassigned(state, pending, now)
    sends = gateway_answers.drop_batch(state, pending, "time limit", now)
    outcome = batches.Outcome(batches.TIMED_OUT, "time limit reached")
    return sends + gateway_answers.answer(state, pending, outcome, now)


def _refuse_unassigned(state, pending, now):
    sends = gateway_answers.drop_batch(state, pending, "no planner", now)
    reason = "no planner is known"
    if state.assignment.planners and not state.cancellations_known:
        reason = "the cancellations of before the start are not known"
    outcome = batches.Outcome(batches.REFUSED, reason, NO_PLANNER_RETRY_AFTER)
    return sends + gateway_answers.answer(state, pending, outcome, now)


_HANDLERS = {
    pool_messages.SubmitBatch: _submit,
    pool_messages.CancelBatch: gateway_lookups.cancel,
    pool_messages.FindBatch: gateway_lookups.find,
    pool_messages.BatchQuery: gateway_lookups.handle_query,
    pool_messages.BatchQueryAnswered: gateway_queries.handle_answer,
    pool_messages.CancellationsReported: gateway_lookups.note_cancellations,
    pool_messages.CancellationsRead: gateway_cancellations.handle_read,
    pool_messages.CancellationsLogged: gateway_cancellations.handle_logged,
    pool_messages.CountWaiting: _count_waiting,
    pool_messages.GetReadiness: _report_readiness,
    pool_messages.RoutesConfigured: _set_routes,
    pool_messages.OfferConfiguration: _offer_configuration,
    pool_messages.EvacuationRead: gateway_evacuation.handle_read,
    pool_messages.OfferEvacuation: gateway_evacuation.offer,
    pool_messages.Leave: _leave,
    pool_messages.WithdrawBatch: _withdraw_caller,
    pool_messages.CallersChecked: _note_callers,
    pool_messages.BatchEnded: _handle_end,
    pool_messages.FleetChanged: _update_fleet,
    pool_messages.BacklogChanged: gateway_members.update_backlog,
    pool_messages.RoomReported: gateway_rooms.note_report,
    pool_messages.PlannerHeard: gateway_members.note_planner_heard,
    pool_messages.ExecutorsHeld: gateway_members.note_executors,
    pool_messages.LossesReported: gateway_members.note_losses,
    messages.TimerFired: _handle_timer,
}
