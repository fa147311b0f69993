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
from cardamompathd.controllers.gateway import gateway_planners

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
"""Seconds after which a drop is repeated, doubled each time; a broken link is
open again by then."""
MAX_RESEND_INTERVAL = 1.6
"""Maximum number of seconds until a drop is repeated."""
TIMER_KEY = ("drops",)
"""Key of the timer of the next repetition; names of batches are strings."""


class PendingDrop(NamedTuple):
    """A drop that was not acknowledged."""

    planner: planner_election.Member
    handover: int
    """Number of the hand-over that it revokes."""
    resend_at: float
    interval: float
    """Seconds from its last repetition to the next one."""


def drop(state, planner, name, handover, now):
    """Drop a batch at its planner; return the messages."""
    sends = [gateway_planners.send_drop(state, planner, name, handover)]
    if planner.name == state.name:
        return sends
    if not _has_pending(state, planner):
        sends.append(_report(planner, True))
    if not state.drops:
        sends.append(_make_timer(now))
    state.drops[name, planner.name, planner.started] = PendingDrop(
        planner, handover, now + RESEND_INTERVAL, RESEND_INTERVAL
    )
    return sends


def acknowledge(state, msg):
    """Process that a planner no longer runs a batch."""
    return _remove(
        state,
        [
            key
            for key, pending in state.drops.items()
            if key[:2] == (msg.name, msg.planner)
            and pending.handover == msg.handover
        ],
    )


def cancel(state, name, planner):
    """Forget the drop of a batch that is handed to the same planner again."""
    if planner is None:
        return []
    key = (name, planner.name, planner.started)
    return _remove(state, [key] if key in state.drops else [])


def forget_former_planners(state):
    """Forget the drops at planners that lost their role or were lost.

    Their permissions are not extended any more.
    """
    return _remove(
        state,
        [
            key
            for key, pending in state.drops.items()
            if not any(
                gateway_planners.is_same_incarnation(planner, pending.planner)
                for planner in state.assignment.planners
            )
        ],
    )


def resend(state, now):
    """Repeat the drops that were not acknowledged."""
    sends = []
    for key, pending in state.drops.items():
        if now < pending.resend_at:
            continue
        sends.append(
            gateway_planners.send_drop(
                state, pending.planner, key[0], pending.handover
            )
        )
        interval = min(2.0 * pending.interval, MAX_RESEND_INTERVAL)
        state.drops[key] = pending._replace(
            resend_at=now + interval, interval=interval
        )
    if state.drops:
        sends.append(_make_timer(now))
    return sends


def _remove(state, keys):
    sends = []
    for key in keys:
        planner = state.drops.pop(key).planner
        if not _has_pending(state, planner):
            sends.append(_report(planner, False))
    return sends


def _has_pending(state, planner):
    return any(key[1] == planner.name for key in state.drops)


def _report(planner, pending):
    msg = pool_messages.DropsPending(planner.name, pending)
    return messages.Send(pool_messages.FLEET, msg)


def _make_timer(now):
    due = messages.SetTimer(
        now + RESEND_INTERVAL, pool_messages.GATEWAY, TIMER_KEY
    )
    return messages.Send(messages.TIMERS, due)
