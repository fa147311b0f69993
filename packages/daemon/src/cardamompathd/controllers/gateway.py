"""Routes in force, and batches whose callers wait at this instance.

Each batch is handed over to a planner.  If the planner fails or no longer
plans, the batch is handed over to its successor, which adopts the runs
that are still going on.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from cardamompath_core import batches
from cardamompath_core import executor_digests
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import gateway_drops
from cardamompathd.controllers import gateway_planners
from cardamompathd.controllers import gateway_queries
from cardamompathd.controllers import gateway_state

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
NO_ROUTES_RETRY_AFTER = 1.0
"""Seconds after which a caller may retry if no configuration has been read
yet."""
LATE_RETRY_AFTER = 0.1
"""Seconds after which a caller may retry whose request was read too late, as
after a pause of this process."""
STOPPING_RETRY_AFTER = 0.1
"""Seconds after which a caller may retry at another instance."""
OFFER_INTERVAL = 0.5
"""Minimum number of seconds between two offers of the configuration to a
member."""


_UNCONFIGURED = batches.Outcome(
    batches.REFUSED, "no configuration yet", NO_ROUTES_RETRY_AFTER
)
_ARRIVED_LATE = batches.Outcome(
    batches.REFUSED, "read after its time limit", LATE_RETRY_AFTER
)
_NO_ROUTE = batches.Outcome(batches.UNKNOWN_ROUTE, "no such route")
_INVALID_NAME = batches.Outcome(
    batches.INVALID, "the path has no valid identifier of a job"
)
_CANCELLED = batches.Outcome(batches.CANCELLED, "cancelled")
_STOPPING = batches.Outcome(
    batches.REFUSED, "shutting down", STOPPING_RETRY_AFTER
)


def make_controller(
    name: str, domain: str = "", is_batch_name: Callable[[str], bool] = bool
) -> messages.Controller:
    """Make the controller of the batches whose callers wait here.

    Parameters
    ----------
    name, domain : str
        Name of this instance and of its failure domain.
    is_batch_name : callable
        Returns whether a text is a valid name of a batch.
    """
    state = gateway_state.GatewayState(name, domain, is_batch_name)

    def receive(msg, now):
        handler = _HANDLERS.get(type(msg))
        return handler(state, msg, now) if handler else ()

    return messages.Controller(pool_messages.GATEWAY, receive)


def _submit(state, msg, now):
    if state.route_table is None:
        return _refuse(msg, _UNCONFIGURED)
    route = state.route_table.find(msg.host, msg.path)
    if route is None or len(route.prefix) == len(msg.path):
        return _refuse(msg, _NO_ROUTE)
    deadline = msg.arrived_at + msg.timeout
    if now >= deadline:
        return _refuse(msg, _ARRIVED_LATE)
    if now >= state.answer_by:
        return _refuse(msg, _STOPPING)
    name = msg.path[len(route.prefix) :]
    if not state.is_batch_name(name):
        return _refuse(msg, _INVALID_NAME)
    cancelled = state.cancellations.find(name, now)
    if cancelled is not None and cancelled.existed:
        # Otherwise the planner tells whether it had ended before.
        return _refuse(msg, _CANCELLED)
    state.batch_by_waiter[msg.reply_to] = name
    existing = state.pending.get(name)
    if existing is not None:
        existing.waiters[msg.reply_to] = msg.seen_at
        return ()
    batch = batches.Batch(name, msg.spec, msg.steps, route.policy)
    pending = state.pending[name] = gateway_state.PendingBatch(
        batch, msg, min(deadline, state.answer_by), now
    )
    sends = gateway_planners.hand_over(state, pending, now)
    sends += gateway_drops.cancel(state, name, pending.planner)
    sends.append(_log_submitted(state, pending))
    sends.append(_make_timer(pending.deadline, name))
    if not state.timer_set:
        state.timer_set = True
        sends.append(_make_timer(now + gateway_planners.RESEND_INTERVAL, None))
    return sends


def _refuse(msg, outcome):
    reply = messages.Reply(msg.reply_to, outcome)
    fields = {"path": msg.path, "reason": outcome.reason}
    return [
        messages.Send(messages.CALLERS, reply),
        _log(outcome.state, "", fields),
    ]


def _log_submitted(state, pending):
    backlog = gateway_planners.backlog_of(state, pending.planner)
    fields = {
        "route": pending.batch.policy.route,
        "version": state.route_table.version,
        "wait_ms": round((pending.deadline - pending.submitted_at) * 1000.0),
        "planner": _planner_name(pending.planner),
        "backlog_ms": round(backlog * 1000.0),
    }
    return _log("submitted", pending.batch.name, fields)


def _count_waiting(state, msg, _):
    if state.route_table is None:
        return _refuse(msg, _UNCONFIGURED)
    route = state.route_table.find(msg.host, msg.path)
    reply = messages.Reply(msg.reply_to, None if route is None else 0)
    return [messages.Send(messages.CALLERS, reply)]


def _cancel(state, msg, now):
    return _look_up(state, msg, True, now)


def _find_batch(state, msg, now):
    return _look_up(state, msg, False, now)


def _look_up(state, msg, cancel, now):
    """Ask all instances for a batch by its name.

    Its route may have been removed since it was submitted.
    """
    if state.route_table is None:
        return _refuse(msg, _UNCONFIGURED)
    route = state.route_table.find(msg.host, msg.path)
    if route is None:
        name = msg.path.rpartition("/")[2]
    else:
        name = msg.path[len(route.prefix) :]
    if not state.is_batch_name(name):
        outcome = _INVALID_NAME if route else _NO_ROUTE
        return _refuse(msg, outcome)
    return gateway_queries.ask(
        state, name, cancel, msg.reply_to, route is not None, now
    )


def _handle_query(state, msg, now):
    """Look for a batch here; the planner of this instance does so next."""
    found = ""
    known = state.cancellations.find(msg.name, now)
    if msg.name in state.pending:
        found = batches.ACTIVE
    elif known is not None and known.existed:
        found = batches.CANCELLED
    sends = _cancel_here(state, msg.name, now, now) if msg.cancel else []
    query = msg._replace(state=found)
    return [*sends, messages.Send(pool_messages.PLANNER, query)]


def _cancel_here(state, name, cancelled_at, now):
    """Cancel a batch at this instance, and remember that."""
    pending = state.pending.get(name)
    state.cancellations.add(name, cancelled_at, pending is not None)
    if pending is None:
        return []
    return [
        *_drop_batch(state, pending, "cancelled", now),
        *_answer(state, pending, _CANCELLED, now),
    ]


def _note_cancellations(state, msg, now):
    """Process cancellations of which this instance did not know."""
    sends = []
    for name, age in zip(msg.names, msg.ages, strict=True):
        sends += _cancel_here(state, name, now - age, now)
    return [*sends, messages.Send(pool_messages.PLANNER, msg)]


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
        _log("configuration in force", "", fields),
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
            sends.append(_make_timer(pending.deadline, name))
    return sends


def _planner_name(planner):
    return planner.name if planner else ""


def _withdraw_caller(state, msg, now):
    pending = state.pending.get(state.batch_by_waiter.pop(msg.reply_to, ""))
    if pending is None or msg.reply_to not in pending.waiters:
        return ()
    del pending.waiters[msg.reply_to]
    outcome = batches.Outcome(batches.TIMED_OUT, "the caller disconnected")
    reply = messages.Reply(msg.reply_to, outcome)
    sends = [messages.Send(messages.CALLERS, reply)]
    if not pending.waiters:
        sends += _drop_batch(state, pending, "caller left", now)
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


def _note_planner_heard(state, msg, now):
    state.planners_heard[msg.name, msg.started] = (msg.sent_at, now)
    return ()


def _drop_batch(state, pending, reason, now):
    del state.pending[pending.batch.name]
    fields = {"reason": reason, "planner": _planner_name(pending.planner)}
    fields["age_ms"] = round((now - pending.submitted_at) * 1000.0)
    sends = [_log("withdrawn", pending.batch.name, fields)]
    return sends + _drop_at_planner(state, pending, now)


def _drop_at_planner(state, pending, now):
    """Drop a batch at its planner, unless that lost its role."""
    if not any(
        gateway_planners.is_same_incarnation(planner, pending.planner)
        for planner in state.assignment.planners
    ):
        return []
    return gateway_drops.drop(
        state, pending.planner, pending.batch.name, pending.handover, now
    )


def _handle_end(state, msg, now):
    outcome = msg.outcome
    if outcome.state == batches.CANCELLED:
        if msg.handover:
            return gateway_drops.acknowledge(state, msg)
        return _cancel_here(state, msg.name, now, now)
    pending = state.pending.get(msg.name)
    if pending is None:
        return ()
    refused = outcome.state == batches.REFUSED
    if refused and msg.planner != _planner_name(pending.planner):
        # A planner repeats its refusal if the batch is sent to it again.
        # The planner that got the batch since may have started tasks.
        return ()
    if refused and gateway_planners.can_retry_elsewhere(state, pending):
        return _retry_elsewhere(state, pending, now)
    if refused and pending.round > 0:
        # An earlier planner may have started tasks of it.
        outcome = outcome._replace(state=batches.TIMED_OUT)
    del state.pending[msg.name]
    sends = _answer(state, pending, outcome, now)
    if pending.round > 0:
        # The outcome may be that of an earlier planner.
        sends += _drop_at_planner(state, pending, now)
    return sends


def _retry_elsewhere(state, pending, now):
    fields = {"planner": _planner_name(pending.planner)}
    fields["age_ms"] = round((now - pending.submitted_at) * 1000.0)
    # The batch may have been sent to that planner once more meanwhile.
    dropped = gateway_drops.drop(
        state, pending.planner, pending.batch.name, pending.handover, now
    )
    pending.refused_by.add(pending.planner.name)
    pending.planner = None
    pending.shard = None
    pending.handed_over = False
    decision = _log("asks another planner", pending.batch.name, fields)
    sends = gateway_planners.hand_over(state, pending, now)
    return [decision, *dropped, *sends]


def _answer(state, pending, outcome, now):
    for waiter in pending.waiters:
        state.batch_by_waiter.pop(waiter, None)
    fields = {
        "state": outcome.state,
        "reason": outcome.reason,
        "planner": _planner_name(pending.planner),
        "route": pending.batch.policy.route,
        "age_ms": round((now - pending.submitted_at) * 1000.0),
    }
    sends = [
        messages.Send(messages.CALLERS, messages.Reply(waiter, outcome))
        for waiter in pending.waiters
    ]
    return [*sends, _log("answered", pending.batch.name, fields)]


def _update_fleet(state, msg, now):
    state.started = msg.own_member.started
    state.address = msg.own_member.address
    if state.viewed_since is None:
        state.viewed_since = now
    reports = _report_to_new_members(state, msg, now)
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
            sends += gateway_planners.hand_over(state, pending, now)
    _forget_former_members(state)
    return sends + gateway_queries.update_members(state, now)


def _report_to_new_members(state, msg, now):
    """Tell instances that are new of recent crashes and cancellations.

    Only the planners do so; all of them know of all.
    """
    is_planner = any(
        planner.name == state.name for planner in state.assignment.planners
    )
    known = {(member.name, member.started) for member in state.alive}
    addresses = tuple(
        member.address
        for member in msg.alive
        if (member.name, member.started) not in known
        and member.name != state.name
    )
    if not is_planner or not addresses:
        return []
    reports = [
        pool_messages.LossesReported(batch, losses)
        for batch, losses in state.losses.recent_crashes().items()
    ]
    recent = state.cancellations.recent(now)
    if recent:
        names = tuple(each.name for each in recent)
        ages = tuple(now - each.cancelled_at for each in recent)
        reports.append(pool_messages.CancellationsReported(names, ages))
    return [
        messages.Send(
            pool_messages.LINKS, pool_messages.SendToMembers(addresses, report)
        )
        for report in reports
    ]


def _note_executors(state, msg, _):
    key = (msg.name, msg.started)
    if msg.digest == executor_digests.UNKNOWN:
        state.executors_held.pop(key, None)
    else:
        state.executors_held[key] = msg.digest
    return ()


def _forget_former_members(state):
    """Forget what is known of processes neither alive nor missing."""
    members = {
        (member.name, member.started)
        for member in (*state.alive, *state.missing)
    }
    for facts in (state.executors_held, state.planners_heard):
        for key in facts.keys() - members:
            del facts[key]


def _note_losses(state, msg, _):
    state.losses.add(msg.batch, msg.losses)
    return ()


def _update_backlog(state, msg, _):
    state.backlogs[msg.name] = msg.backlog
    return ()


def _handle_timer(state, msg, now):
    if msg.key == gateway_drops.TIMER_KEY:
        return gateway_drops.resend(state, now)
    if msg.key == gateway_queries.TIMER_KEY:
        return gateway_queries.resend(state, now)
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
            sends += gateway_planners.hand_over(state, pending, now)
    state.timer_set = bool(state.pending)
    if state.timer_set:
        sends.append(_make_timer(now + gateway_planners.RESEND_INTERVAL, None))
    return sends


def _handle_deadline(state, pending, now):
    if pending is None or now < pending.deadline:
        return ()
    if not pending.handed_over:
        return _refuse_unassigned(state, pending, now)
    sends = _drop_batch(state, pending, "time limit", now)
    outcome = batches.Outcome(batches.TIMED_OUT, "time limit reached")
    return sends + _answer(state, pending, outcome, now)


def _refuse_unassigned(state, pending, now):
    sends = _drop_batch(state, pending, "no planner", now)
    outcome = batches.Outcome(
        batches.REFUSED, "no planner is known", NO_PLANNER_RETRY_AFTER
    )
    return sends + _answer(state, pending, outcome, now)


def _make_timer(at, name):
    due = messages.SetTimer(at, pool_messages.GATEWAY, name)
    return messages.Send(messages.TIMERS, due)


def _log(event, name, fields):
    decision = pool_messages.Decision("gateway", event, name, fields)
    return messages.Send(pool_messages.DECISION_LOG, decision)


_HANDLERS = {
    pool_messages.SubmitBatch: _submit,
    pool_messages.CancelBatch: _cancel,
    pool_messages.FindBatch: _find_batch,
    pool_messages.BatchQuery: _handle_query,
    pool_messages.BatchQueryAnswered: gateway_queries.handle_answer,
    pool_messages.CancellationsReported: _note_cancellations,
    pool_messages.CountWaiting: _count_waiting,
    pool_messages.GetReadiness: _report_readiness,
    pool_messages.RoutesConfigured: _set_routes,
    pool_messages.OfferConfiguration: _offer_configuration,
    pool_messages.Leave: _leave,
    pool_messages.WithdrawBatch: _withdraw_caller,
    pool_messages.CallersChecked: _note_callers,
    pool_messages.BatchEnded: _handle_end,
    pool_messages.FleetChanged: _update_fleet,
    pool_messages.BacklogChanged: _update_backlog,
    pool_messages.PlannerHeard: _note_planner_heard,
    pool_messages.ExecutorsHeld: _note_executors,
    pool_messages.LossesReported: _note_losses,
    messages.TimerFired: _handle_timer,
}
