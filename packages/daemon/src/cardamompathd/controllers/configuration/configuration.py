"""Controller of the configuration in force on this instance.

It comes from release notes and snapshots in the log and from peers.
Only a configuration with a larger log offset replaces it, so it never
reverts.
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
"""Mean seconds after which a revision is fetched from a peer.

The log has as long to deliver it first.
"""

HEDGE_DELAY = 0.5
"""Seconds after which a further peer is asked as well."""

MAX_FETCH_PEERS = 4
"""Maximum number of peers that are remembered as ahead."""

MAX_FETCHES = 2
"""Maximum number of fetches from a peer for one configuration that it
offered."""

SNAPSHOT_CHECK_INTERVAL = 30.0
"""Seconds between checks of the age of the newest snapshot."""

SNAPSHOT_JITTER = 10.0
"""Maximum random delay of a due snapshot, in seconds.

Instances draw different delays, so that one appends the snapshot and the
others read it before they would append one too.
"""

MAX_OUTCOMES = 64
"""Number of newest note outcomes that operators can read."""

MAX_FAULTS = 16
"""Number of newest faults that operators can read."""

_CHECK = "check-snapshot"
_APPEND = "append-snapshot"
_FETCH = "fetch"


class ConfigurationState:
    """The fold of the log, and pending fetches and snapshots.

    Parameters
    ----------
    rng : random.Random
        Draws the delays of fetches and snapshots.
    retention : float
        Seconds for which the log keeps records.
    listeners : sequence of str
        Tasks that are notified of each revision.
    """

    def __init__(self, rng, retention, listeners):
        self.rng = rng
        self.retention = retention
        self.listeners = listeners
        self.fold = config_fold.FoldState()
        self.fingerprint = release_notes.fingerprint(self.fold.cfg)
        self.outcomes = collections.deque(maxlen=MAX_OUTCOMES)
        self.faults = collections.deque(maxlen=MAX_FAULTS)
        self.latest_snapshot: snapshots.SnapshotSeen | None = None
        self.first_read_at: float | None = None
        self.append_scheduled = False
        self.oldest = 0
        self.head = 0
        self.peers_ahead: dict[messages.PeerConfiguration, int] = {}
        """Number of fetches by offer of a peer, next peer to ask first."""
        self.fetch_scheduled = False
        self.hedge_at = 0.0
        self.log_behind = False
        """Whether a peer delivered a revision before the log did."""


def make_controller(
    rng: random.Random | None = None,
    retention: float = 21600.0,
    listeners: Sequence[str] = LISTENERS,
) -> messages.Controller:
    """Make the controller of the configuration.

    Parameters
    ----------
    rng : random.Random, optional
        Draws the delays of fetches and snapshots.
    retention : float, default 21600.0
        Seconds for which the log keeps records.
    listeners : sequence of str, optional
        Tasks that are notified of each revision.
    """
    state = ConfigurationState(
        rng or random.Random(), retention, tuple(listeners)
    )

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.CONFIGURATION, receive)


def _fold_records(state, msg, now):
    state.log_behind = False
    state.oldest = msg.oldest
    state.head = msg.head
    result = config_fold.read_records(
        state.fold, msg.records, msg.oldest, msg.head
    )
    if result.snapshot is not None:
        _record_snapshot(state, result.snapshot, now)
    sends = _adopt(state, result)
    if state.first_read_at is None:
        state.first_read_at = now
        sends.append(_set_timer(now + SNAPSHOT_CHECK_INTERVAL, _CHECK))
    return sends + _schedule_append(state, now)


def _adopt(state, result):
    before = state.fold.cfg
    state.fold = result.state
    cfg = result.state.cfg
    state.outcomes.extend(result.outcomes)
    sends = [
        _make_log_line("INFO", _describe(outcome))
        for outcome in result.outcomes
    ]
    for fault in result.faults:
        if fault not in state.faults:
            state.faults.append(fault)
            sends.append(_make_log_line("ERROR", f"configuration: {fault}"))
    changed = messages.ConfigurationChanged(cfg)
    if cfg.revision > before.revision:
        state.fingerprint = release_notes.fingerprint(cfg)
        sends += [messages.Send(name, changed) for name in state.listeners]
    elif cfg.offset > before.offset:
        sends.append(messages.Send(messages.MEMBERSHIP, changed))
    return sends


def _describe(outcome):
    prefix = f"configuration: note {outcome.id!r} of {outcome.operator!r}"
    if outcome.revision:
        return f"{prefix} made revision {outcome.revision}"
    return f"{prefix} was refused: {'; '.join(outcome.errors)}"


def _make_log_line(level, text):
    return messages.Send(messages.LOGS, messages.LogLine(level, text))


def _set_timer(at, key):
    timer = messages.SetTimer(at, messages.CONFIGURATION, key)
    return messages.Send(messages.TIMERS, timer)


def _record_snapshot(state, through, now):
    latest = state.latest_snapshot
    if latest is None or through >= latest.through:
        state.latest_snapshot = snapshots.SnapshotSeen(through, now)


def _is_snapshot_due(state, now):
    if state.fold.cfg.revision == 0 or config_fold.has_gap(state.fold):
        return False
    since = (
        state.latest_snapshot.read_at
        if state.latest_snapshot
        else state.first_read_at
    )
    return snapshots.is_due(
        state.latest_snapshot,
        state.oldest,
        state.head,
        now - since,
        state.retention,
    )


def _schedule_append(state, now):
    if state.append_scheduled or not _is_snapshot_due(state, now):
        return []
    state.append_scheduled = True
    delay = state.rng.uniform(0.0, SNAPSHOT_JITTER)
    return [_set_timer(now + delay, _APPEND)]


def _append_snapshot(state, now):
    state.append_scheduled = False
    if not _is_snapshot_due(state, now):
        return []
    record = snapshots.make_record(state.fold.cfg)
    append = messages.AppendSnapshot(record)
    return [messages.Send(messages.SNAPSHOTS, append)]


def _check_snapshot(state, now):
    return [
        _set_timer(now + SNAPSHOT_CHECK_INTERVAL, _CHECK),
        *_schedule_append(state, now),
    ]


def _compare_peer(state, msg, now):
    cfg = state.fold.cfg
    if msg.revision == cfg.revision and msg.fingerprint != state.fingerprint:
        fault = (
            f"revision {msg.revision} has fingerprint {state.fingerprint} "
            f"here, but {msg.fingerprint} at {msg.address}"
        )
        return _adopt(
            state, config_fold.FoldResult(state.fold, faults=(fault,))
        )
    if not _is_ahead(state, msg):
        return []
    state.peers_ahead.setdefault(msg, 0)
    if len(state.peers_ahead) > MAX_FETCH_PEERS:
        del state.peers_ahead[next(iter(state.peers_ahead))]
    if state.fetch_scheduled:
        return []
    return _schedule_fetch(state, now)


def _schedule_fetch(state, now):
    delay = 0.0
    if not state.log_behind and state.fold.cfg.revision > 0:
        delay = FETCH_DELAY * state.rng.uniform(0.5, 1.5)
    at = max(now + delay, state.hedge_at)
    if at <= now:
        return _fetch(state, now)
    state.fetch_scheduled = True
    return [_set_timer(at, _FETCH)]


def _is_ahead(state, peer):
    cfg = state.fold.cfg
    if peer.offset <= cfg.offset:
        return False
    return peer.revision > cfg.revision or config_fold.has_gap(state.fold)


def _fetch(state, now):
    state.fetch_scheduled = False
    state.peers_ahead = {
        peer: fetches
        for peer, fetches in state.peers_ahead.items()
        if fetches < MAX_FETCHES and _is_ahead(state, peer)
    }
    if not state.peers_ahead:
        return []
    peer = next(iter(state.peers_ahead))
    state.peers_ahead[peer] = state.peers_ahead.pop(peer) + 1
    state.hedge_at = now + HEDGE_DELAY
    state.fetch_scheduled = True
    fetch = messages.FetchConfigUpdate(peer.address, state.fold.cfg.offset)
    return [
        messages.Send(messages.PEERS, fetch),
        _set_timer(state.hedge_at, _FETCH),
    ]


def _adopt_fetched(state, msg, now):
    if msg.update is None:
        return []
    state.hedge_at = 0.0
    before = state.fold.cfg.revision
    sends = _adopt(state, config_fold.apply_update(state.fold, msg.update))
    if state.fold.cfg.revision > before:
        state.log_behind = True
    return sends


_TIMERS = {
    _APPEND: _append_snapshot,
    _CHECK: _check_snapshot,
    _FETCH: _fetch,
}


def _handle_timer(state, msg, now):
    return _TIMERS[msg.key](state, now)


def _send_update(state, msg, now):
    update = config_fold.make_update(state.fold, msg.after)
    return [_reply(msg, update)]


def _get_configuration(state, msg, now):
    return [_reply(msg, state.fold.cfg)]


def _report_status(state, msg, now):
    cfg = state.fold.cfg
    status = {
        "revision": cfg.revision,
        "offset": cfg.offset,
        "fingerprint": state.fingerprint,
        "ready": cfg.revision > 0,
        "records_missing": config_fold.has_gap(state.fold),
        "peers_ahead_of_log": state.log_behind,
        "faults": list(state.faults),
        "notes": [outcome._asdict() for outcome in state.outcomes],
    }
    return [_reply(msg, status)]


def _reply(msg, answer):
    reply = messages.Reply(msg.reply_to, answer)
    return messages.Send(messages.CALLERS, reply)


_HANDLERS = {
    messages.ConfigUpdateFetched: _adopt_fetched,
    messages.GetConfigUpdate: _send_update,
    messages.GetConfiguration: _get_configuration,
    messages.GetStatus: _report_status,
    messages.PeerConfiguration: _compare_peer,
    messages.RecordsRead: _fold_records,
    messages.TimerFired: _handle_timer,
}
