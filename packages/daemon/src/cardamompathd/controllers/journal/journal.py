"""The controller of this process's leases and its journal on the log.

One append is in flight at a time.  If its answer is lost, the stream is
read back for the identifiers of its records before anything else is
appended.  A lease is extended only when the renewal is read in log
order, so that a death record before it is seen first.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from cardamompath_core import identity
from cardamompath_core import journal_fold
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers.journal import journal_leases
from cardamompathd.controllers.journal import journal_store

__all__ = [
    "COMMIT_TIMER",
    "STREAM",
    "make_controller",
]

STREAM = "journal"

COMMIT_TIMER = ("commit",)
"""Key of the timer for commits.  The runtime sends the first one."""

MAX_JOBS_PER_APPEND = 1000
"""Maximum number of jobs whose progress goes into one append."""

MAX_REQUESTED_JOBS = 10_000
"""Maximum number of jobs of other instances for which the time of the
first request is kept; the oldest are dropped first."""

MAX_PENDING_JOBS = 20_000
"""Maximum number of jobs whose progress waits for an append.  The oldest
are dropped; they are settled as unknown if their owner dies."""


def make_controller(
    owner: identity.Incarnation,
    draw_nonce: Callable[[], str],
    settings: journal_store.JournalSettings | None = None,
) -> messages.Controller:
    """Make the controller of the leases and the journal.

    Parameters
    ----------
    owner : Incarnation
        The first incarnation of this process.
    draw_nonce : callable
        Returns the nonce for a further incarnation.
    settings : journal_store.JournalSettings, optional
        Times and append budget.
    """
    state = journal_store.JournalState(
        owner, draw_nonce, settings or journal_store.JournalSettings()
    )

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.JOURNAL, receive)


def _commit(state, msg, now):
    interval = _commit_interval(state)
    timer = messages.SetTimer(now + interval, messages.JOURNAL, COMMIT_TIMER)
    sends = [messages.Send(messages.TIMERS, timer)]
    sends += journal_leases.check_leases(state, now)
    _prune(state, now)
    if state.pending_append is None:
        collect = messages.CollectProgress(now - interval)
        sends.append(messages.Send(messages.JOBS, collect))
    elif state.outcome_unknown and not state.read_back_in_flight:
        sends.append(_make_read_back(state))
    return sends


def _commit_interval(state):
    live_count = len(journal_fold.live_owners(state.ledger))
    return max(
        state.settings.commit_interval,
        live_count / state.settings.append_budget,
    )


def _prune(state, now):
    state.offset_history.append((now, state.ledger.offset + 1))
    while state.offset_history[0][0] < now - state.settings.settlement_ttl:
        journal_fold.prune(state.ledger, state.offset_history.popleft()[1])
    oldest_replaced = now - state.settings.incarnation_ttl
    state.own_leases = {
        owner: lease
        for owner, lease in state.own_leases.items()
        if lease.replaced_at > oldest_replaced
    }
    live_owners = journal_fold.live_owners(state.ledger)
    state.renewal_read_times = {
        owner: state.renewal_read_times[owner] for owner in live_owners
    }
    oldest_sent = now - state.settings.lease.duration
    state.renewal_send_times = {
        record_id: sent_at
        for record_id, sent_at in state.renewal_send_times.items()
        if sent_at > oldest_sent
    }


def _add_progress(state, msg, now):
    for job_id, progress in msg.jobs.items():
        state.progress.pop(job_id, None)
        state.progress[job_id] = progress
    while len(state.progress) > MAX_PENDING_JOBS:
        del state.progress[next(iter(state.progress))]
    if state.pending_append is not None:
        return []
    return _begin_append(state, now)


def _begin_append(state, now):
    renewals, newly_announced = journal_leases.make_renewals(state, now)
    progress = _pop_progress(state)
    records = [
        *renewals,
        *journal_leases.make_deaths(state, now),
        *_make_claim_records(state),
        *_make_progress_records(state, progress),
    ]
    if not records:
        return []
    sends = journal_leases.begin_leases(state, newly_announced, now)
    state.pending_append = journal_store.PendingAppend(
        tuple(records), now, state.ledger.offset + 1, progress, newly_announced
    )
    append = messages.Append(STREAM, state.pending_append.records)
    return [*sends, messages.Send(messages.APPENDER, append)]


def _make_claim_records(state):
    claims, state.queued_claims = state.queued_claims, {}
    state.sent_claims |= claims
    return [
        journal_fold.make_claim(
            claim.name,
            journal_fold.Claim(claim.job, claim.digest),
            journal_store.make_record_id(state),
        )
        for claim in claims.values()
    ]


def _pop_progress(state):
    progress = dict(list(state.progress.items())[:MAX_JOBS_PER_APPEND])
    for job_id in progress:
        del state.progress[job_id]
    return progress


def _make_progress_records(state, progress_by_job):
    by_owner: dict[str, dict[str, journal_fold.Progress]] = {}
    for job_id, progress in progress_by_job.items():
        owner = job_id.rpartition(".")[0]
        by_owner.setdefault(owner, {})[job_id] = progress
    return [
        journal_fold.make_progress(
            owner, jobs, journal_store.make_record_id(state)
        )
        for owner, jobs in by_owner.items()
    ]


def _end_append(state, msg, now):
    if msg.outcome == "done":
        state.pending_append = None
        return []
    if msg.outcome == "unknown":
        state.outcome_unknown = True
        return [_make_read_back(state)]
    return [
        *journal_leases.undo_announcements(state),
        *_requeue_progress(state),
    ]


def _make_read_back(state):
    state.read_back_in_flight = True
    read_back = messages.ReadBack(STREAM, state.pending_append.offset)
    return messages.Send(messages.APPENDER, read_back)


def _end_read_back(state, msg, now):
    state.read_back_in_flight = False
    if msg.records is None or not state.outcome_unknown:
        return []
    state.outcome_unknown = False
    found_ids = {record.get("id") for record in msg.records}
    if all(
        record["id"] in found_ids for record in state.pending_append.records
    ):
        state.pending_append = None
        return []
    return _requeue_progress(state)


def _requeue_progress(state):
    """Requeue the progress of an append that is not in the log.

    All claims are refused; renewals and deaths are made again when they
    are due.
    """
    state.progress = state.pending_append.progress | state.progress
    state.pending_append = None
    return _refuse_claims(state)


def _refuse_claims(state):
    sends = []
    refused = state.queued_claims | state.sent_claims
    state.queued_claims = {}
    state.sent_claims = {}
    for name in refused:
        decided = messages.ClaimDecided(name, "")
        sends.append(messages.Send(messages.JOBS, decided))
    return sends


def _apply_records(state, msg, now):
    if now - state.last_read > state.settings.lease.duration / 2.0:
        # The log or this process was unavailable, so that renewals may not
        # have been read in time: restart the time of every peer.
        state.renewal_read_times = dict.fromkeys(state.renewal_read_times, now)
    sends = []
    if msg.records and 0 <= state.ledger.offset < msg.records[0][0] - 1:
        sends += journal_leases.end_leases_after_gap(state)
        sends += _refuse_claims(state)
    for offset, record in msg.records:
        if not journal_fold.apply_record(state.ledger, offset, record):
            continue
        if record.get("kind") in ("announce", "renew"):
            sends += journal_leases.apply_renewal(state, record, now)
        if record.get("kind") == "claim":
            sends += _apply_claim(state, record)
    state.last_read = now
    state.at_head = not msg.records or msg.records[-1][0] + 1 >= msg.head
    return [*sends, *journal_leases.end_dead_leases(state)]


def _claim(state, msg, now):
    first_claim = state.ledger.claims.get(msg.name)
    if first_claim is not None:
        decided = messages.ClaimDecided(msg.name, *first_claim)
        return [messages.Send(messages.JOBS, decided)]
    if msg.lookup or state.outcome_unknown:
        decided = messages.ClaimDecided(msg.name, "")
        return [messages.Send(messages.JOBS, decided)]
    state.queued_claims.setdefault(msg.name, msg)
    return []


def _apply_claim(state, record):
    name = record["name"]
    state.queued_claims.pop(name, None)
    state.sent_claims.pop(name, None)
    first_claim = state.ledger.claims[name]
    return [
        messages.Send(messages.JOBS, messages.ClaimDecided(name, *first_claim))
    ]


def _resolve_foreign_job(state, msg, now):
    owner = msg.job.rpartition(".")[0]
    answer = journal_fold.settle(state.ledger, owner, msg.job, msg.total)
    if answer is None:
        answer = _refer_to_owner(state, msg, now)
    return [
        messages.Send(messages.CALLERS, messages.Reply(msg.reply_to, answer))
    ]


def _refer_to_owner(state, msg, now):
    """Answer a request for a job whose owner is not known to be dead.

    An owner that died before its announcement is never declared dead.
    After the time in which it could have run the job and kept the answer,
    no instance can give a better answer than a failure.
    """
    first_request = state.first_request_times.setdefault(msg.job, now)
    if len(state.first_request_times) > MAX_REQUESTED_JOBS:
        del state.first_request_times[next(iter(state.first_request_times))]
    if now - first_request < state.settings.incarnation_ttl:
        return messages.NotOwner(msg.job, msg.address)
    results = (types.TaskResult("unknown"),) * msg.total
    reason = "the owner was not reached in time; the job may have run"
    return types.Failed("owner_unreachable", reason, results)


def _status(state, msg, now):
    status = {
        "owner": state.owner,
        "own": sorted(state.own_leases),
        "live": journal_fold.live_owners(state.ledger),
        "offset": state.ledger.offset,
        "unjournalled": len(state.progress),
        "appending": state.pending_append is not None,
        "at_head": state.at_head,
    }
    return [
        messages.Send(messages.CALLERS, messages.Reply(msg.reply_to, status))
    ]


_HANDLERS = {
    messages.AppendEnded: _end_append,
    messages.ResolveForeignJob: _resolve_foreign_job,
    messages.Claim: _claim,
    messages.GetStatus: _status,
    messages.LeaseChanged: journal_leases.mark_lapsed,
    messages.ProgressCollected: _add_progress,
    messages.ReadBackEnded: _end_read_back,
    messages.RecordsRead: _apply_records,
    messages.TimerFired: _commit,
}
