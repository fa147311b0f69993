"""Who waits for jobs: waits that are given up, and the end of a process."""

from __future__ import annotations

from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers import job_store

__all__ = [
    "DRAINED",
    "check_drained",
    "drain",
    "end_hold",
    "release",
    "stop_waiting",
]

DRAINED = ("drained", "")
"""Key of the timer that ends the hold of unfetched answers."""


def _reply(reply_to, answer):
    return messages.Send(messages.CALLERS, messages.Reply(reply_to, answer))


def _pending(job):
    total = len(job.results)
    return types.Pending(total - job.open, total, "not answered yet")


def stop_waiting(
    state: job_store.JobsState, msg: messages.StopWaiting, now: float
) -> list[messages.Send]:
    """Answer a caller that waits no longer with the counts."""
    known = state.jobs.get(msg.job)
    if known is None or msg.reply_to not in known.waiters:
        return []
    known.waiters.remove(msg.reply_to)
    return [_reply(msg.reply_to, _pending(known))]


def release(
    state: job_store.JobsState, msg: messages.ReleaseWaiters, now: float
) -> list[messages.Send]:
    """Answer everyone who waits with the counts."""
    sends = []
    for job in state.jobs.values():
        sends += [_reply(reply_to, _pending(job)) for reply_to in job.waiters]
        job.waiters.clear()
    return sends


def drain(
    state: job_store.JobsState, msg: messages.Drain, now: float
) -> list[messages.Send]:
    """Take no more work, and reply when nothing is left to answer."""
    state.draining = msg
    timer = messages.SetTimer(now + msg.answer_hold, messages.JOBS, DRAINED)
    return [messages.Send(messages.TIMERS, timer), *check_drained(state)]


def check_drained(state: job_store.JobsState) -> list[messages.Send]:
    """Reply to the drain when everything is answered and fetched."""
    msg = state.draining
    if msg is None or state.drained:
        return []
    for job in state.jobs.values():
        if job.answer is None or (msg.answer_hold and not job.fetched):
            return []
    state.drained = True
    return [_reply(msg.reply_to, messages.Drained())]


def end_hold(state: job_store.JobsState) -> list[messages.Send]:
    """Wait no longer for answers to be fetched."""
    state.draining = state.draining._replace(answer_hold=0.0)
    return check_drained(state)
