"""Requests that wait for jobs, and the drain of the instance."""

from __future__ import annotations

from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers.jobs import job_store

__all__ = [
    "HOLD_TIMER",
    "check_drained",
    "drain",
    "end_hold",
    "release_waiters",
    "stop_waiting",
]

HOLD_TIMER = ("drained", "")
"""Key of the timer after which a drain ignores unfetched answers."""


def _reply(reply_to, answer):
    return messages.Send(messages.CALLERS, messages.Reply(reply_to, answer))


def _make_pending(job):
    total = len(job.results)
    return types.Pending(total - job.open_tasks, total, "not answered yet")


def stop_waiting(
    state: job_store.JobsState, msg: messages.StopWaiting, now: float
) -> list[messages.Send]:
    """Answer a request that stops waiting with the present task counts."""
    job = state.jobs.get(msg.job)
    if job is None or msg.reply_to not in job.waiters:
        return []
    job.waiters.remove(msg.reply_to)
    return [_reply(msg.reply_to, _make_pending(job))]


def release_waiters(
    state: job_store.JobsState, msg: messages.ReleaseWaiters, now: float
) -> list[messages.Send]:
    """Answer every waiting request with the present task counts."""
    sends = []
    for job in state.jobs.values():
        sends += [
            _reply(reply_to, _make_pending(job)) for reply_to in job.waiters
        ]
        job.waiters.clear()
    return sends


def drain(
    state: job_store.JobsState, msg: messages.Drain, now: float
) -> list[messages.Send]:
    """Accept no more jobs; reply once all of them are answered."""
    state.drain = msg
    timer = messages.SetTimer(now + msg.answer_hold, messages.JOBS, HOLD_TIMER)
    return [messages.Send(messages.TIMERS, timer), *check_drained(state)]


def check_drained(state: job_store.JobsState) -> list[messages.Send]:
    """Reply to the drain if every job is answered.

    Until the hold ends, every answer must have been fetched as well.
    """
    msg = state.drain
    if msg is None or state.drained:
        return []
    for job in state.jobs.values():
        if job.answer is None or (msg.answer_hold and not job.fetched):
            return []
    state.drained = True
    return [_reply(msg.reply_to, messages.Drained())]


def end_hold(state: job_store.JobsState) -> list[messages.Send]:
    """Stop waiting for answers to be fetched."""
    state.drain = state.drain._replace(answer_hold=0.0)
    return check_drained(state)
