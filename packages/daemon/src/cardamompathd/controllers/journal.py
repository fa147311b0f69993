"""Leases of this process's incarnations, and its journal on the log.

One append is in flight at a time.  When its answer is lost, the stream
is read back for the records' identifiers before anything else is
appended.  A lease is extended only once the renewal was read in log
order, so that a death before it is seen first.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from cardamompath_core import identity
from cardamompath_core import journal_fold
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers import journal_leases
from cardamompathd.controllers import journal_store

__all__ = [
    "COMMIT_TIMER",
    "STREAM",
    "make_controller",
]

STREAM = "journal"

COMMIT_TIMER = ("commit",)
"""Key of the timer that commits; it is told once to begin with."""

MAX_JOBS_A_RECORD = 1000
"""Most jobs in one progress record."""

MAX_ASKED = 10_000
"""Most jobs of other instances of which is kept when they were asked
for first; the oldest go first."""

MAX_PENDING = 20_000
"""Most jobs whose progress waits for an append; the oldest are left
out, and are settled as unknown if their owner dies."""


def make_controller(
    owner: identity.Incarnation,
    draw: Callable[[], str],
    settings: journal_store.JournalSettings | None = None,
) -> messages.Controller:
    """Make the controller of leases and journal.

    Parameters
    ----------
    owner : Incarnation
        The first incarnation of this process.
    draw : callable
        Draws the nonce of a further incarnation.
    settings : journal_store.JournalSettings, optional
        Times and budget.
    """
    state = journal_store.JournalState(
        owner, draw, settings or journal_store.JournalSettings()
    )

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.JOURNAL, receive)


def _commit(state, msg, now):
    interval = _interval(state)
    timer = messages.SetTimer(now + interval, messages.JOURNAL, COMMIT_TIMER)
    sends = [messages.Send(messages.TIMERS, timer)]
    sends += journal_leases.check_leases(state, now)
    _forget(state, now)
    if state.batch is None:
        collect = messages.CollectProgress(now - interval)
        sends.append(messages.Send(messages.JOBS, collect))
    elif state.reading_back and not state.read_asked:
        sends.append(_read_back(state))
    return sends


def _interval(state):
    live = len(journal_fold.live_owners(state.ledger))
    return max(
        state.settings.commit_interval, live / state.settings.append_budget
    )


def _forget(state, now):
    state.marks.append((now, state.ledger.offset + 1))
    while state.marks[0][0] < now - state.settings.settlement_ttl:
        journal_fold.prune(state.ledger, state.marks.popleft()[1])
    replaced = now - state.settings.incarnation_ttl
    state.own = {
        owner: own
        for owner, own in state.own.items()
        if own.replaced > replaced
    }
    live = journal_fold.live_owners(state.ledger)
    state.heard = {owner: state.heard[owner] for owner in live}
    horizon = now - state.settings.lease.duration
    state.sent = {
        record: sent for record, sent in state.sent.items() if sent > horizon
    }


def _collected(state, msg, now):
    for job, one in msg.jobs.items():
        state.progress.pop(job, None)
        state.progress[job] = one
    while len(state.progress) > MAX_PENDING:
        del state.progress[next(iter(state.progress))]
    if state.batch is not None:
        return []
    return _append(state, now)


def _append(state, now):
    renewals, first_announced = journal_leases.lease_records(state, now)
    jobs = _take_progress(state)
    records = [
        *renewals,
        *journal_leases.death_records(state, now),
        *_claim_records(state),
        *_progress_records(state, jobs),
    ]
    if not records:
        return []
    sends = journal_leases.begin_leases(state, first_announced, now)
    state.batch = journal_store.Batch(
        tuple(records), now, state.ledger.offset + 1, jobs, first_announced
    )
    append = messages.Append(STREAM, state.batch.records)
    return [*sends, messages.Send(messages.APPENDER, append)]


def _claim_records(state):
    claims, state.claims = state.claims, {}
    state.claiming |= claims
    return [
        journal_fold.make_claim(
            one.name,
            journal_fold.Claim(one.job, one.digest),
            journal_store.record_id(state),
        )
        for one in claims.values()
    ]


def _take_progress(state):
    jobs = dict(list(state.progress.items())[:MAX_JOBS_A_RECORD])
    for job in jobs:
        del state.progress[job]
    return jobs


def _progress_records(state, jobs):
    by_owner: dict[str, dict[str, journal_fold.Progress]] = {}
    for job, one in jobs.items():
        owner = job.rpartition(".")[0]
        by_owner.setdefault(owner, {})[job] = one
    return [
        journal_fold.make_progress(owner, some, journal_store.record_id(state))
        for owner, some in by_owner.items()
    ]


def _append_ended(state, msg, now):
    if msg.outcome == "done":
        state.batch = None
        return []
    if msg.outcome == "unknown":
        state.reading_back = True
        return [_read_back(state)]
    return [*journal_leases.take_back(state), *_give_back(state)]


def _read_back(state):
    state.read_asked = True
    read = messages.ReadBack(STREAM, state.batch.offset)
    return messages.Send(messages.APPENDER, read)


def _read_back_ended(state, msg, now):
    state.read_asked = False
    if msg.records is None or not state.reading_back:
        return []
    state.reading_back = False
    found = {record.get("id") for record in msg.records}
    if all(record["id"] in found for record in state.batch.records):
        state.batch = None
        return []
    return _give_back(state)


def _give_back(state):
    """Let everything of a batch that is not in the log be sent again."""
    state.progress = state.batch.jobs | state.progress
    state.batch = None
    return _refuse_claims(state)


def _refuse_claims(state):
    sends = []
    refused = state.claims | state.claiming
    state.claims = {}
    state.claiming = {}
    for name in refused:
        claimed = messages.ClaimDecided(name, "")
        sends.append(messages.Send(messages.JOBS, claimed))
    return sends


def _read(state, msg, now):
    if now - state.read_at > state.settings.lease.duration / 2.0:
        # The log or this process was away: peers get their time anew.
        state.heard = dict.fromkeys(state.heard, now)
    sends = []
    if msg.records and 0 <= state.ledger.offset < msg.records[0][0] - 1:
        sends += journal_leases.miss_records(state)
        sends += _refuse_claims(state)
    for offset, record in msg.records:
        if not journal_fold.apply_record(state.ledger, offset, record):
            continue
        if record.get("kind") in ("announce", "renew"):
            sends += journal_leases.renewal_read(state, record, now)
        if record.get("kind") == "claim":
            sends += _claim_read(state, record)
    state.read_at = now
    state.at_head = not msg.records or msg.records[-1][0] + 1 >= msg.head
    return [*sends, *journal_leases.check_deaths(state)]


def _claim(state, msg, now):
    won = state.ledger.claims.get(msg.name)
    if won is not None:
        claimed = messages.ClaimDecided(msg.name, *won)
        return [messages.Send(messages.JOBS, claimed)]
    if msg.lookup or state.reading_back:
        claimed = messages.ClaimDecided(msg.name, "")
        return [messages.Send(messages.JOBS, claimed)]
    state.claims.setdefault(msg.name, msg)
    return []


def _claim_read(state, record):
    name = record["name"]
    state.claims.pop(name, None)
    state.claiming.pop(name, None)
    won = state.ledger.claims[name]
    return [messages.Send(messages.JOBS, messages.ClaimDecided(name, *won))]


def _ask_owner(state, msg, now):
    owner = msg.job.rpartition(".")[0]
    answer = journal_fold.settle(state.ledger, owner, msg.job, msg.total)
    if answer is None:
        answer = _ask_elsewhere(state, msg, now)
    return [
        messages.Send(messages.CALLERS, messages.Reply(msg.reply_to, answer))
    ]


def _ask_elsewhere(state, msg, now):
    """Answer for a job whose owner is not known to be dead.

    An owner that died before it was announced is never declared dead.
    After the time in which it could have run the job and kept its
    answer, nobody else can answer any more.
    """
    first = state.asked.setdefault(msg.job, now)
    if len(state.asked) > MAX_ASKED:
        del state.asked[next(iter(state.asked))]
    if now - first < state.settings.incarnation_ttl:
        return messages.NotOwner(msg.job, msg.address)
    results = (types.TaskResult("unknown"),) * msg.total
    reason = "the owner was not reached in time; the job may have run"
    return types.Failed("owner_unreachable", reason, results)


def _status(state, msg, now):
    status = {
        "owner": state.owner,
        "own": sorted(state.own),
        "live": journal_fold.live_owners(state.ledger),
        "offset": state.ledger.offset,
        "unjournalled": len(state.progress),
        "appending": state.batch is not None,
        "at_head": state.at_head,
    }
    return [
        messages.Send(messages.CALLERS, messages.Reply(msg.reply_to, status))
    ]


_HANDLERS = {
    messages.AppendEnded: _append_ended,
    messages.ResolveForeignJob: _ask_owner,
    messages.Claim: _claim,
    messages.GetStatus: _status,
    messages.LeaseChanged: journal_leases.lapse,
    messages.ProgressCollected: _collected,
    messages.ReadBackEnded: _read_back_ended,
    messages.RecordsRead: _read,
    messages.TimerFired: _commit,
}
