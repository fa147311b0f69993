"""Cancellations of before the start, and those that the log has now.

An instance hands over its first batches once it has read the cancellations of
before its start from the log that outlasts all instances, or has waited for
that long enough.
"""

from __future__ import annotations

from cardamompath_core import cancellation_log
from cardamompath_core import cancellations
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.gateway import gateway_answers
from cardamompathd.controllers.gateway import gateway_lookups
from cardamompathd.controllers.gateway import gateway_members
from cardamompathd.controllers.gateway import gateway_planners
from cardamompathd.controllers.gateway import gateway_queries

__all__ = [
    "TIMER_KEY",
    "end_hold",
    "hand_over",
    "handle_logged",
    "handle_read",
    "limit_hold",
]

TIMER_KEY = ("cancellations",)
"""Key of the timer that ends the wait; names of batches are strings."""
MAX_REASON_LENGTH = 200
"""Characters of an error that are logged; it may quote a whole record."""


def hand_over(state, pending, now):
    """Hand a batch over, unless it has to wait for the cancellations."""
    hold_end = cancellation_log.hold_end(
        state.cancellations_known, state.viewed_since
    )
    if now < hold_end:
        # Before the first view no planner is known, so that nothing is new.
        pending.held = state.viewed_since is not None
        return []
    return gateway_planners.hand_over(state, pending, now)


def limit_hold(state, is_first_view):
    """Set the timer that ends the wait at the first view of the fleet."""
    if not is_first_view or state.cancellations_known:
        return []
    hold_end = cancellation_log.hold_end(False, state.viewed_since)
    due = messages.SetTimer(hold_end, pool_messages.GATEWAY, TIMER_KEY)
    return [messages.Send(messages.TIMERS, due)]


def end_hold(state, now):
    """Hand over the batches, though the log could not be read so far."""
    if state.cancellations_known:
        return []
    fields = {
        "waited_ms": round((now - state.viewed_since) * 1000.0),
        "remembered": len(state.cancellations),
    }
    return [
        gateway_answers.log("cancellations not read", "", fields),
        *_release(state, now),
    ]


def _release(state, now):
    state.cancellations_known = True
    sends = []
    for name, pending in list(state.pending.items()):
        if pending.handed_over or now >= pending.deadline:
            continue
        if pending.held:
            pending.held = False
            fields = {
                "age_ms": round((now - pending.submitted_at) * 1000.0),
                "cancelled": state.cancellations.find(name, now) is not None,
            }
            sends.append(
                gateway_answers.log("waited for cancellations", name, fields)
            )
        sends += gateway_planners.hand_over(state, pending, now)
    return sends


def handle_read(state, msg, now):
    """Process what was read from the log, and end the wait for it."""
    reading = msg.reading
    fields = {
        "count": len(reading.names),
        "expired": reading.expired,
        "unreadable": reading.unreadable,
        "took_ms": round(msg.duration * 1000.0),
        "youngest_ms": round(min(reading.ages, default=0.0) * 1000.0),
    }
    sends = [gateway_answers.log("cancellations read", "", fields)]
    if reading.unreadable:
        fields = {
            "count": reading.unreadable,
            "reason": reading.reason[:MAX_REASON_LENGTH],
        }
        sends.append(
            gateway_answers.log("unreadable cancellation", "", fields)
        )
    if reading.names:
        sends += _note_reading(state, reading, now)
    return sends if state.cancellations_known else sends + _release(state, now)


def _note_reading(state, reading, now):
    sends = []
    for name, age in zip(reading.names, reading.ages, strict=True):
        pending = state.pending.get(name)
        if pending is None or pending.handed_over:
            sends += gateway_lookups.cancel_here(state, name, now - age, now)
        else:
            # Its planner tells whether it had ended before.
            state.cancellations.add(name, now - age, False)
    report = pool_messages.CancellationsReported(reading.names, reading.ages)
    state.reports_read_until = now + cancellations.MEMORY_TIME
    return [
        *sends,
        messages.Send(pool_messages.PLANNER, report),
        *gateway_members.report_reading(state, now),
    ]


def handle_logged(state, msg, now):
    """Answer the callers whose cancellations were appended."""
    sends = []
    for event, names in (
        ("cancellations appended", msg.appended),
        ("cancellations not appended", msg.dropped),
    ):
        if names:
            fields = {"count": len(names), "first": names[0]}
            sends.append(gateway_answers.log(event, "", fields))
    return sends + gateway_queries.note_appended(state, set(msg.appended), now)
