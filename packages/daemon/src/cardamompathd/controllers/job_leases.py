"""What the jobs controller does for the journal and the leases."""

from __future__ import annotations

from collections.abc import Sequence

from cardamompath_core import journal_fold
from cardamompath_core import leases
from cardamompathd import messages
from cardamompathd.controllers import fence
from cardamompathd.controllers import job_store

__all__ = [
    "change_owner",
    "collect",
    "take_lease",
]


def collect(
    state: job_store.JobsState, msg: messages.CollectProgress, now: float
) -> Sequence[messages.Send]:
    """Tell the journal what is new of the jobs."""
    told = {}
    for name in list(state.changed):
        job = state.jobs.get(name)
        if job is not None:
            accepted = job.deadline - job.spec.timeout
            if job.answer is None and accepted >= msg.accepted_before:
                continue
            states = (one.state if one else "unknown" for one in job.results)
            packed = journal_fold.pack_states(states)
            told[name] = journal_fold.Progress(packed, job.answer is not None)
        del state.changed[name]
    collected = messages.ProgressCollected(told)
    return [messages.Send(messages.JOURNAL, collected)]


def take_lease(
    state: job_store.JobsState, msg: messages.LeaseChanged, now: float
) -> Sequence[messages.Send]:
    """Note a lease; the open jobs of one that lapsed end at once."""
    fence.update_lease(state.leases, msg)
    if msg.until != leases.NEVER:
        return []
    sends = []
    for name, job in state.jobs.items():
        if job.answer is None and name.rpartition(".")[0] == msg.owner:
            job.cancelled = "lease_lapsed"
            sends.append(job_store.withdraw(state, name))
    return sends


def change_owner(
    state: job_store.JobsState, msg: messages.OwnerChanged, now: float
) -> Sequence[messages.Send]:
    """Issue identifiers under another incarnation from now on."""
    state.book.owner = msg.owner
    state.book.counters[msg.owner] = 0
    return []
