"""What a gateway knows of the other members, and tells new ones."""

from __future__ import annotations

from cardamompath_core import cancellation_log
from cardamompath_core import executor_digests
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.gateway import gateway_rooms

__all__ = [
    "TIMER_KEY",
    "forget_former",
    "note_executors",
    "note_losses",
    "note_planner_heard",
    "repeat_reports",
    "report_reading",
    "report_to_new",
    "update_backlog",
]


REPORT_TIME = 2.0
"""Seconds for which a new instance is told; the link to it may have to be
opened again first, which loses what is sent on it."""
REPORT_INTERVAL = 0.4
"""Seconds between two reports to a new instance."""
TIMER_KEY = ("reports",)
"""Key of the timer of these reports; names of batches are strings."""


def report_to_new(state, msg, now):
    """Tell instances that are new of recent crashes and cancellations.

    Only the planners do so; all of them know of all.  If all instances
    started at once, some others do so as well that have read the log of
    cancellations, for those that could not.
    """
    reports = any(
        planner.name == state.name for planner in state.assignment.planners
    ) or _reports_reading(state, msg.alive, now)
    known = {(member.name, member.started) for member in state.alive}
    addresses = tuple(
        member.address
        for member in msg.alive
        if (member.name, member.started) not in known
        and member.name != state.name
    )
    return _start_reports(state, addresses, now) if reports else []


def report_reading(state, now):
    """Tell the other members what was read from the log of cancellations."""
    if not _reports_reading(state, state.alive, now):
        return []
    addresses = tuple(
        member.address for member in state.alive if member.name != state.name
    )
    return _start_reports(state, addresses, now)


def _reports_reading(state, alive, now):
    return now < state.reports_read_until and cancellation_log.is_reporter(
        state.name, alive
    )


def _start_reports(state, addresses, now):
    if not addresses:
        return []
    sends = [] if state.new_addresses else [_make_timer(now)]
    state.new_addresses.update(dict.fromkeys(addresses, now + REPORT_TIME))
    return sends + _report(state, addresses, now)


def repeat_reports(state, now):
    """Tell the instances that are new once more."""
    state.new_addresses = {
        address: until
        for address, until in state.new_addresses.items()
        if now < until
    }
    if not state.new_addresses:
        return []
    reports = _report(state, tuple(state.new_addresses), now)
    return [*reports, _make_timer(now)]


def _make_timer(now):
    due = messages.SetTimer(
        now + REPORT_INTERVAL, pool_messages.GATEWAY, TIMER_KEY
    )
    return messages.Send(messages.TIMERS, due)


def _report(state, addresses, now):
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


def note_executors(state, msg, _):
    """Keep which executors a planner holds."""
    key = (msg.name, msg.started)
    if msg.digest == executor_digests.UNKNOWN:
        state.executors_held.pop(key, None)
    else:
        state.executors_held[key] = msg.digest
    return ()


def forget_former(state, now):
    """Forget what is known of processes neither alive nor missing."""
    members = {
        (member.name, member.started)
        for member in (*state.alive, *state.missing)
    }
    for facts in (state.executors_held, state.planners_heard):
        for key in facts.keys() - members:
            del facts[key]
    gateway_rooms.forget_former(state, members, now)


def note_losses(state, msg, _):
    """Keep losses that a planner reported."""
    state.losses.add(msg.batch, msg.losses)
    return ()


def update_backlog(state, msg, _):
    """Keep the backlog that a planner reported."""
    state.backlogs[msg.name] = msg.backlog
    return ()


def note_planner_heard(state, msg, now):
    """Keep when a planner was last heard."""
    state.planners_heard[msg.name, msg.started] = (msg.sent_at, now)
    return ()
