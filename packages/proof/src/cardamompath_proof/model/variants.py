"""Deliberately broken protocols, for each of which a property fails."""

from __future__ import annotations

from typing import NamedTuple

import minicheck

from cardamompath_core import config_fold
from cardamompath_core import outcomes
from cardamompath_core import types
from cardamompath_proof.model import job_rules
from cardamompath_proof.model import jobs
from cardamompath_proof.model import notes
from cardamompath_proof.model import offers

__all__ = [
    "VARIANTS",
    "Variant",
]


class Variant(NamedTuple):
    """A broken protocol and the property that it violates."""

    name: str
    property: str
    protocol: minicheck.Protocol


def _classify_sent_as_not_run(answer):
    if answer.phase in ("send", "answer"):
        return "not_run"
    return outcomes.classify(answer)


def _settle_without_death(ledger, total, lease_expired):
    answer = job_rules.settle(ledger, total, lease_expired)
    if answer is None and lease_expired:
        unknown = types.TaskResult("unknown")
        return types.Failed("owner_died", "", (unknown,) * total)
    return answer


def _reopen_when_forgotten(submitted, forgotten):
    if forgotten:
        return "open"
    return job_rules.own_identifier_state(submitted, forgotten)


def _ignore_gaps(state, records, oldest, head):
    result = config_fold.read_records(state, records, 0, head)
    return result._replace(state=result.state._replace(lost_through=-1))


def _apply_stale_update(state, update):
    if update.snapshot is None:
        return config_fold.apply_update(state, update)
    applied = config_fold.apply_update(config_fold.FoldState(), update).state
    new_state = state._replace(cfg=applied.cfg, recent=(), recent_after=-1)
    return config_fold.FoldResult(new_state)


def _make_snapshot_update(state, after):
    return config_fold.make_update(state._replace(recent_after=1 << 30), after)


_NO_JOURNAL = jobs.Bounds(ticks=4, renewals=0, progress=0, crash=False)
_WITH_RENEWAL = jobs.Bounds(
    ticks=4, renewals=1, progress=0, crash=False, pause=False
)
_WITH_PROGRESS = jobs.Bounds(ticks=4, renewals=0, progress=1, pause=False)
_ONE_OPERATOR = notes.Bounds(operators=1, snapshots=0, restarts=0, expired=0)


def _make_job_variant(name, broken_property, bounds, **rules):
    protocol = jobs.make_protocol(
        job_rules.RULES._replace(**rules), bounds, name
    )
    return Variant(name, broken_property, protocol)


def _make_note_variant(name, broken_property, bounds, **rules):
    protocol = notes.make_protocol(notes.RULES._replace(**rules), bounds, name)
    return Variant(name, broken_property, protocol)


def _make_offer_variant(name, broken_property, **rules):
    protocol = offers.make_protocol(
        offers.RULES._replace(**rules), offers.Bounds(), name
    )
    return Variant(name, broken_property, protocol)


VARIANTS = (
    _make_job_variant(
        "no fence before a start",
        "a dead owner starts nothing",
        _NO_JOURNAL,
        may_start=lambda lease_end, now, dead: True,
    ),
    _make_job_variant(
        "owner by a hash over the live list",
        "no task starts twice",
        _NO_JOURNAL,
        foreign_identifier_state=lambda: "open",
    ),
    _make_job_variant(
        "not run after a byte has left",
        "no task starts twice",
        _NO_JOURNAL,
        classify=_classify_sent_as_not_run,
    ),
    _make_job_variant(
        "settlement without the lease",
        "no complete answer after a settlement",
        _WITH_RENEWAL,
        settle=_settle_without_death,
    ),
    _make_job_variant(
        "complete after the lease lapsed",
        "no complete answer after a settlement",
        _NO_JOURNAL,
        may_complete=lambda lease_end, now: True,
    ),
    _make_job_variant(
        "renewal taken without reading the log",
        "a dead owner starts nothing",
        _WITH_RENEWAL,
        extends_lease=lambda ledger, offset: True,
    ),
    _make_job_variant(
        "death without compare-and-set",
        "a dead owner starts nothing",
        _WITH_RENEWAL,
        records_seen=lambda read_count: 1 << 30,
    ),
    _make_job_variant(
        "waiting tasks journalled as not started",
        "not run and not started are true",
        _WITH_PROGRESS,
        journal_states=job_rules.JOURNAL_STATES | {"w": "not_started"},
    ),
    _make_job_variant(
        "forgotten job taken again",
        "no task starts twice",
        _NO_JOURNAL,
        own_identifier_state=_reopen_when_forgotten,
    ),
    _make_note_variant(
        "blind re-append",
        "operators are told the truth",
        _ONE_OPERATOR._replace(updates=0),
        reads_back=False,
    ),
    _make_note_variant(
        "revert on a stale peer",
        "no reader goes back",
        _ONE_OPERATOR,
        make_update=_make_snapshot_update,
        apply_update=_apply_stale_update,
    ),
    _make_note_variant(
        "fold over a gap",
        "a configuration is the fold of the log",
        _ONE_OPERATOR._replace(expired=2, updates=0, restarts=1),
        read_records=_ignore_gaps,
    ),
    _make_note_variant(
        "snapshot that claims the head",
        "a configuration is the fold of the log",
        _ONE_OPERATOR._replace(snapshots=1, restarts=1, expired=3, updates=0),
        snapshot_offset=max,
    ),
    _make_offer_variant(
        "offer while the former planner may have started",
        "a task runs at one planner",
        concerns_offer=lambda number, present: True,
    ),
    _make_offer_variant(
        "offer after a planner was given up",
        "a rejected batch has not run",
        may_offer=lambda planners_left: True,
    ),
    _make_offer_variant(
        "rejection after a start",
        "a rejected batch has not run",
        may_reject=lambda is_started: True,
    ),
    _make_offer_variant(
        "rejected offer accepted when it arrives again",
        "a task runs at one planner",
        is_rejected=lambda number, last_rejected: False,
    ),
)
"""All broken variants."""
