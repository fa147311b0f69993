"""Journal progress and lease changes in the jobs controller."""

from __future__ import annotations

from collections.abc import Sequence

from cardamompath_core import journal_fold
from cardamompath_core import leases
from cardamompathd import messages
from cardamompathd.controllers.jobs import fence
from cardamompathd.controllers.jobs import job_store

__all__ = [
    "change_owner",
    "collect_progress",
    "update_lease",
]


def collect_progress(
    state: job_store.JobsState, msg: messages.CollectProgress, now: float
) -> Sequence[messages.Send]:
    """Send the journal the progress of the changed jobs.

    An unanswered job that was accepted after `accepted_before` is left
    for a later commit, so that a short job needs one record only.
    """
    progress = {}
    for job_id in list(state.changed_jobs):
        job = state.jobs.get(job_id)
        if job is not None:
            accepted = job.deadline - job.spec.timeout
            if job.answer is None and accepted >= msg.accepted_before:
                continue
            states = (
                result.state if result else "unknown" for result in job.results
            )
            packed = journal_fold.pack_states(states)
            progress[job_id] = journal_fold.Progress(
                packed, job.answer is not None
            )
        del state.changed_jobs[job_id]
    collected = messages.ProgressCollected(progress)
    return [messages.Send(messages.JOURNAL, collected)]


def update_lease(
    state: job_store.JobsState, msg: messages.LeaseChanged, now: float
) -> Sequence[messages.Send]:
    """Record a lease; stop its unanswered jobs at once if it lapsed."""
    fence.update_lease(state.leases, msg)
    if msg.until != leases.NEVER:
        return []
    sends = []
    for job_id, job in state.jobs.items():
        if job.answer is None and job_id.rpartition(".")[0] == msg.owner:
            job.stop_code = "lease_lapsed"
            sends.append(job_store.make_withdrawal(state, job_id))
    return sends


def change_owner(
    state: job_store.JobsState, msg: messages.OwnerChanged, now: float
) -> Sequence[messages.Send]:
    """Issue identifiers under another incarnation from now on."""
    state.identifiers.owner = msg.owner
    state.identifiers.counters[msg.owner] = 0
    return []
