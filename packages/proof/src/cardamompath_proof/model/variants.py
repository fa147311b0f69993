"""Protocols that are broken on purpose; each has a counterexample."""

from __future__ import annotations

from typing import NamedTuple

import minicheck

from cardamompath_core import config_fold
from cardamompath_core import outcomes
from cardamompath_core import types
from cardamompath_proof.model import job_rules
from cardamompath_proof.model import jobs
from cardamompath_proof.model import notes

__all__ = [
    "VARIANTS",
    "Variant",
]


class Variant(NamedTuple):
    """A broken protocol and the property that it breaks."""

    name: str
    property: str
    protocol: minicheck.Protocol


def _judge_sent_as_not_run(answer):
    if answer.phase in ("send", "answer"):
        return "not_run"
    return outcomes.classify(answer)


def _settle_when_silent(ledger, total, silent):
    answer = job_rules.settle(ledger, total, silent)
    if answer is None and silent:
        unknown = types.TaskResult("unknown")
        return types.Failed("owner_died", "", (unknown,) * total)
    return answer


def _forget_standing(submitted, forgotten):
    if forgotten:
        return "open"
    return job_rules.own_standing(submitted, forgotten)


def _read_over_gaps(state, records, oldest, head):
    folded = config_fold.read_records(state, records, 0, head)
    return folded._replace(state=folded.state._replace(lost_through=-1))


def _take_any_body(state, body):
    if body.snapshot is None:
        return config_fold.apply_update(state, body)
    taken = config_fold.apply_update(config_fold.FoldState(), body).state
    kept = state._replace(cfg=taken.cfg, recent=(), recent_after=-1)
    return config_fold.FoldResult(kept)


def _whole_body(state, after):
    return config_fold.make_update(state._replace(recent_after=1 << 30), after)


_QUIET = jobs.Bounds(ticks=4, renewals=0, progress=0, crash=False)
_RENEWING = jobs.Bounds(
    ticks=4, renewals=1, progress=0, crash=False, pause=False
)
_JOURNAL = jobs.Bounds(ticks=4, renewals=0, progress=1, pause=False)
_ONE = notes.Bounds(operators=1, snapshots=0, restarts=0, forgotten=0)


def _job(name, broken, bounds, **rules):
    protocol = jobs.make_protocol(
        job_rules.RULES._replace(**rules), bounds, name
    )
    return Variant(name, broken, protocol)


def _note(name, broken, bounds, **rules):
    protocol = notes.make_protocol(notes.RULES._replace(**rules), bounds, name)
    return Variant(name, broken, protocol)


VARIANTS = (
    _job(
        "no fence before a start",
        "a dead owner starts nothing",
        _QUIET,
        may_start=lambda until, now, dead: True,
    ),
    _job(
        "owner by a hash over the live list",
        "no task starts twice",
        _QUIET,
        other_standing=lambda: "open",
    ),
    _job(
        "not run after a byte has left",
        "no task starts twice",
        _QUIET,
        judge=_judge_sent_as_not_run,
    ),
    _job(
        "settlement without the lease",
        "no complete answer after a settlement",
        _RENEWING,
        settle=_settle_when_silent,
    ),
    _job(
        "complete after the lease lapsed",
        "no complete answer after a settlement",
        _QUIET,
        may_complete=lambda until, now: True,
    ),
    _job(
        "renewal taken without reading the log",
        "a dead owner starts nothing",
        _RENEWING,
        confirms=lambda ledger, offset: True,
    ),
    _job(
        "death without compare-and-set",
        "a dead owner starts nothing",
        _RENEWING,
        seen=lambda read: 1 << 30,
    ),
    _job(
        "waiting tasks journalled as not started",
        "not run and not started are true",
        _JOURNAL,
        letters=job_rules.LETTERS | {"w": "not_started"},
    ),
    _job(
        "forgotten job taken again",
        "no task starts twice",
        _QUIET,
        own_standing=_forget_standing,
    ),
    _note(
        "blind re-append",
        "operators are told the truth",
        _ONE._replace(bodies=0),
        reads_back=False,
    ),
    _note(
        "revert on a stale peer",
        "no reader goes back",
        _ONE,
        make_body=_whole_body,
        take_body=_take_any_body,
    ),
    _note(
        "fold over a gap",
        "a configuration is the fold of the log",
        _ONE._replace(forgotten=2, bodies=0, restarts=1),
        read=_read_over_gaps,
    ),
    _note(
        "snapshot that claims the head",
        "a configuration is the fold of the log",
        _ONE._replace(snapshots=1, restarts=1, forgotten=3, bodies=0),
        snapshot_offset=max,
    ),
)
"""Every broken variant."""
