"""Drops of batches that their planners have not acknowledged.

A link that is reset or reopened loses what was sent on it.  Therefore a drop
is repeated.  Until the planner acknowledges it, the fleet confirms no later
heartbeat to that planner, so that the leases there run out in time also if
no drop arrives.
"""

from __future__ import annotations

from typing import NamedTuple

from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import gateway_planners

__all__ = [
    "TIMER_KEY",
    "PendingDrop",
    "acknowledge",
    "cancel",
    "drop",
    "forget_former_planners",
    "resend",
]

RESEND_INTERVAL = 0.1
"""Seconds after which a drop is repeated; a broken link is open again by
then."""
TIMER_KEY = ("drops",)
"""Key of the timer of the next repetition; names of batches are strings."""


class PendingDrop(NamedTuple):
    """A drop that was not acknowledged."""

    planner: planner_election.Member
    sent_at: float
    """When it was last sent."""


def drop(state, planner, name, now):
    """Drop a batch at its planner; return the messages."""
    sends = [gateway_planners.send_drop(state, planner, name)]
    if planner.name == state.name:
        return sends
    if not _has_pending(state, planner.name):
        sends.append(_report(planner.name, True))
    if not state.drops:
        sends.append(_make_timer(now))
    state.drops[name] = PendingDrop(planner, now)
    return sends


def acknowledge(state, name, planner_name):
    """Process that a planner no longer runs a batch."""
    pending = state.drops.get(name)
    if pending is None or pending.planner.name != planner_name:
        return []
    return _remove(state, name)


def cancel(state, name, planner):
    """Forget the drop of a batch that is handed to the same planner again."""
    pending = state.drops.get(name)
    if pending is None or not gateway_planners.is_same_incarnation(
        pending.planner, planner
    ):
        return []
    return _remove(state, name)


def forget_former_planners(state):
    """Forget the drops at planners that lost their role or were lost.

    Their permissions are not extended any more.
    """
    sends = []
    for name, pending in list(state.drops.items()):
        if not any(
            gateway_planners.is_same_incarnation(planner, pending.planner)
            for planner in state.assignment.planners
        ):
            sends += _remove(state, name)
    return sends


def resend(state, now):
    """Repeat the drops that were not acknowledged."""
    sends = []
    for name, pending in state.drops.items():
        if now >= pending.sent_at + RESEND_INTERVAL:
            sends.append(
                gateway_planners.send_drop(state, pending.planner, name)
            )
            state.drops[name] = pending._replace(sent_at=now)
    if state.drops:
        sends.append(_make_timer(now))
    return sends


def _remove(state, name):
    planner = state.drops.pop(name).planner
    if _has_pending(state, planner.name):
        return []
    return [_report(planner.name, False)]


def _has_pending(state, planner_name):
    return any(
        pending.planner.name == planner_name
        for pending in state.drops.values()
    )


def _report(planner_name, pending):
    msg = pool_messages.DropsPending(planner_name, pending)
    return messages.Send(pool_messages.FLEET, msg)


def _make_timer(now):
    due = messages.SetTimer(
        now + RESEND_INTERVAL, pool_messages.GATEWAY, TIMER_KEY
    )
    return messages.Send(messages.TIMERS, due)
