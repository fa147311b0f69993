"""Watches the callers that wait for an outcome.

A caller that disconnects may soon submit its batch again elsewhere.  What
this instance tells planners of its batches is therefore as old as the last
look at their callers, which no pause of the process makes younger.
"""

from __future__ import annotations

from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "CHECK_INTERVAL",
    "make_controller",
]

CHECK_INTERVAL = 0.1
"""Seconds between looks at the callers; as often as heartbeats are sent, which
tell the planners of the result."""


class _WatchState:
    """The callers that wait."""

    def __init__(self):
        self.checks = {}
        """Whether each caller has disconnected, as a function, by its
        `reply_to`."""
        self.timer_set = False


def make_controller() -> messages.Controller:
    """Make the controller that watches callers."""
    state = _WatchState()

    def receive(msg, now):
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(pool_messages.CALLER_WATCH, receive)


def _watch(state, msg, now):
    state.checks[msg.reply_to] = msg.is_disconnected
    return _set_timer(state, now)


def _unwatch(state, msg, _):
    state.checks.pop(msg.reply_to, None)
    return ()


def _check(state, _, now):
    state.timer_set = False
    sends = []
    for reply_to, is_disconnected in list(state.checks.items()):
        if is_disconnected():
            del state.checks[reply_to]
            withdrawal = pool_messages.WithdrawBatch(reply_to)
            sends.append(messages.Send(pool_messages.GATEWAY, withdrawal))
    checked = pool_messages.CallersChecked(now, tuple(state.checks))
    sends.append(messages.Send(pool_messages.GATEWAY, checked))
    return [*sends, *_set_timer(state, now)]


def _set_timer(state, now):
    if state.timer_set or not state.checks:
        return ()
    state.timer_set = True
    due = messages.SetTimer(
        now + CHECK_INTERVAL, pool_messages.CALLER_WATCH, "check"
    )
    return [messages.Send(messages.TIMERS, due)]


_HANDLERS = {
    pool_messages.WatchCaller: _watch,
    pool_messages.UnwatchCaller: _unwatch,
    messages.TimerFired: _check,
}
