"""The configuration in force on this instance.

It is adopted from the log, from snapshots in the log and from peers;
whatever has folded further goes before, so that it never goes back.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Sequence
from typing import Any

from cardamompath_core import config_fold
from cardamompath_core import release_notes
from cardamompath_core import snapshots
from cardamompathd import messages

__all__ = [
    "ConfigurationState",
    "make_controller",
]

LISTENERS = (messages.JOBS, messages.BACKENDS, messages.MEMBERSHIP)

FETCH_DELAY = 0.2
"""Seconds that the log has to bring what a peer has already."""

FETCH_HEDGE = 0.5
"""Seconds after which another peer is asked as well."""

MAX_AHEAD = 4
"""Peers known to be ahead that may be asked."""

MAX_ASKS = 2
"""Fetches from one peer for what it said once."""

SNAPSHOT_CHECK = 30.0
"""Seconds between looks at the age of the newest snapshot."""

SNAPSHOT_SPREAD = 10.0
"""Seconds over which instances spread a snapshot that is due."""

MAX_OUTCOMES = 64
"""Notes whose outcome is remembered for operators."""

MAX_FAULTS = 16
"""Faults that are remembered for operators."""

_CHECK = "check-snapshot"
_APPEND = "append-snapshot"
_FETCH = "fetch"


class ConfigurationState:
    """The fold so far, and what is under way to bring it on.

    Parameters
    ----------
    rng : random.Random
        Spreads fetches and snapshots.
    retention : float
        Seconds for which the log keeps records.
    listeners : sequence of str
        Tasks that are told of each revision.
    """

    def __init__(self, rng, retention, listeners):
        self.rng = rng
        self.retention = retention
        self.listeners = listeners
        self.fold = config_fold.FoldState()
        self.fingerprint = release_notes.fingerprint(self.fold.cfg)
        self.outcomes = collections.deque(maxlen=MAX_OUTCOMES)
        self.faults = collections.deque(maxlen=MAX_FAULTS)
        self.snapshot: snapshots.SnapshotSeen | None = None
        self.began_at: float | None = None
        self.append_set = False
        self.oldest = 0
        self.head = 0
        self.ahead: dict[messages.PeerConfiguration, int] = {}
        """Fetches from each peer that is ahead, the next to ask first."""
        self.fetch_set = False
        self.hedge_at = 0.0
        self.log_behind = False
        """Whether a peer brought what the log did not."""


def make_controller(
    rng: random.Random | None = None,
    retention: float = 21600.0,
    listeners: Sequence[str] = LISTENERS,
) -> messages.Controller:
    """Make the controller that folds release notes.

    Parameters
    ----------
    rng : random.Random, optional
        Spreads fetches and snapshots.
    retention : float, default 21600.0
        Seconds for which the log keeps records.
    listeners : sequence of str, optional
        Tasks that are told of each revision.
    """
    state = ConfigurationState(
        rng or random.Random(), retention, tuple(listeners)
    )

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.CONFIGURATION, receive)


def _read(state, msg, now):
    state.log_behind = False
    state.oldest = msg.oldest
    state.head = msg.head
    folded = config_fold.read_records(
        state.fold, msg.records, msg.oldest, msg.head
    )
    if folded.snapshot is not None:
        _note_snapshot(state, folded.snapshot, now)
    sends = _take(state, folded)
    if state.began_at is None:
        state.began_at = now
        sends.append(_timer(now + SNAPSHOT_CHECK, _CHECK))
    return sends + _plan_snapshot(state, now)


def _take(state, folded):
    before = state.fold.cfg
    state.fold = folded.state
    cfg = folded.state.cfg
    state.outcomes.extend(folded.outcomes)
    sends = [_log("INFO", _describe(one)) for one in folded.outcomes]
    for fault in folded.faults:
        if fault not in state.faults:
            state.faults.append(fault)
            sends.append(_log("ERROR", f"configuration: {fault}"))
    changed = messages.ConfigurationChanged(cfg)
    if cfg.revision > before.revision:
        state.fingerprint = release_notes.fingerprint(cfg)
        sends += [messages.Send(name, changed) for name in state.listeners]
    elif cfg.offset > before.offset:
        sends.append(messages.Send(messages.MEMBERSHIP, changed))
    return sends


def _describe(outcome):
    place = f"configuration: note {outcome.id!r} of {outcome.operator!r}"
    if outcome.revision:
        return f"{place} made revision {outcome.revision}"
    return f"{place} was refused: {'; '.join(outcome.errors)}"


def _log(level, text):
    return messages.Send(messages.LOGS, messages.LogLine(level, text))


def _timer(at, key):
    timer = messages.SetTimer(at, messages.CONFIGURATION, key)
    return messages.Send(messages.TIMERS, timer)


def _note_snapshot(state, through, now):
    known = state.snapshot
    if known is None or through >= known.through:
        state.snapshot = snapshots.SnapshotSeen(through, now)


def _is_due(state, now):
    if state.fold.cfg.revision == 0 or config_fold.has_gap(state.fold):
        return False
    since = state.snapshot.at if state.snapshot else state.began_at
    return snapshots.is_due(
        state.snapshot,
        state.oldest,
        state.head,
        now - since,
        state.retention,
    )


def _plan_snapshot(state, now):
    if state.append_set or not _is_due(state, now):
        return []
    state.append_set = True
    delay = state.rng.uniform(0.0, SNAPSHOT_SPREAD)
    return [_timer(now + delay, _APPEND)]


def _append_snapshot(state, now):
    state.append_set = False
    if not _is_due(state, now):
        return []
    record = snapshots.make_record(state.fold.cfg)
    append = messages.AppendSnapshot(record)
    return [messages.Send(messages.SNAPSHOTS, append)]


def _check_snapshot(state, now):
    return [
        _timer(now + SNAPSHOT_CHECK, _CHECK),
        *_plan_snapshot(state, now),
    ]


def _peer(state, msg, now):
    cfg = state.fold.cfg
    if msg.revision == cfg.revision and msg.fingerprint != state.fingerprint:
        fault = (
            f"revision {msg.revision} is {state.fingerprint} here and "
            f"{msg.fingerprint} at {msg.address}"
        )
        return _take(state, config_fold.Folded(state.fold, faults=(fault,)))
    if not _is_ahead(state, msg):
        return []
    state.ahead.setdefault(msg, 0)
    if len(state.ahead) > MAX_AHEAD:
        del state.ahead[next(iter(state.ahead))]
    if state.fetch_set:
        return []
    return _plan_fetch(state, now)


def _plan_fetch(state, now):
    delay = 0.0
    if not state.log_behind and state.fold.cfg.revision > 0:
        delay = FETCH_DELAY * state.rng.uniform(0.5, 1.5)
    at = max(now + delay, state.hedge_at)
    if at <= now:
        return _fetch(state, now)
    state.fetch_set = True
    return [_timer(at, _FETCH)]


def _is_ahead(state, peer):
    cfg = state.fold.cfg
    if peer.offset <= cfg.offset:
        return False
    return peer.revision > cfg.revision or config_fold.has_gap(state.fold)


def _fetch(state, now):
    state.fetch_set = False
    state.ahead = {
        peer: asks
        for peer, asks in state.ahead.items()
        if asks < MAX_ASKS and _is_ahead(state, peer)
    }
    if not state.ahead:
        return []
    peer = next(iter(state.ahead))
    state.ahead[peer] = state.ahead.pop(peer) + 1
    state.hedge_at = now + FETCH_HEDGE
    state.fetch_set = True
    fetch = messages.FetchConfiguration(peer.address, state.fold.cfg.offset)
    return [
        messages.Send(messages.PEERS, fetch),
        _timer(state.hedge_at, _FETCH),
    ]


def _fetched(state, msg, now):
    if msg.body is None:
        return []
    state.hedge_at = 0.0
    before = state.fold.cfg.revision
    sends = _take(state, config_fold.take_body(state.fold, msg.body))
    if state.fold.cfg.revision > before:
        state.log_behind = True
    return sends


_TIMERS = {
    _APPEND: _append_snapshot,
    _CHECK: _check_snapshot,
    _FETCH: _fetch,
}


def _fired(state, msg, now):
    return _TIMERS[msg.key](state, now)


def _body(state, msg, now):
    body = config_fold.make_body(state.fold, msg.after)
    return [_reply(msg, body)]


def _get(state, msg, now):
    return [_reply(msg, state.fold.cfg)]


def _status(state, msg, now):
    cfg = state.fold.cfg
    status = {
        "revision": cfg.revision,
        "offset": cfg.offset,
        "fingerprint": state.fingerprint,
        "ready": cfg.revision > 0,
        "records_missing": config_fold.has_gap(state.fold),
        "peers_ahead_of_log": state.log_behind,
        "faults": list(state.faults),
        "notes": [one._asdict() for one in state.outcomes],
    }
    return [_reply(msg, status)]


def _reply(msg, answer):
    reply = messages.Reply(msg.reply_to, answer)
    return messages.Send(messages.CALLERS, reply)


_HANDLERS = {
    messages.ConfigurationFetched: _fetched,
    messages.GetBody: _body,
    messages.GetConfiguration: _get,
    messages.GetStatus: _status,
    messages.PeerConfiguration: _peer,
    messages.RecordsRead: _read,
    messages.TimerFired: _fired,
}
