"""Gossip about the other instances and the leaving backend servers.

In each round this instance exchanges digests of bounded size with a few
others.  A new revision or a newly leaving backend server starts rapid
rounds, which end once enough of the peers called know of it already.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

from cardamompath_core import identity
from cardamompath_core import leaving_marks
from cardamompath_core import membership
from cardamompath_core import release_notes
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers.fleet import membership_updates

__all__ = [
    "MembershipState",
    "make_controller",
]

ROUND_INTERVAL = 2.0
"""Mean seconds between regular rounds."""

FANOUT = 1
"""Number of instances that a regular round calls."""

RAPID_INTERVAL = 0.15
"""Mean seconds between rapid rounds."""

RAPID_FANOUT = 2
"""Number of instances that a rapid round calls."""

MAX_RAPID_ROUNDS = 12
"""Maximum number of rapid rounds for one update."""

MAX_INFORMED_PEERS = 6
"""Rapid rounds end after this many peers knew the update already."""

LIST_INTERVAL = 2.0
"""Maximum time between reads of the platform's list, in seconds."""

_ROUND = "round"
_RAPID_ROUND = "rapid-round"
_LIST = "list"


class MembershipState:
    """State of the membership controller.

    Parameters
    ----------
    own : Entry
        This instance.
    seeds : sequence of (str, int)
        Addresses of the instances to call first.
    rng : random.Random
        Draws targets, rumours and timer jitter.
    listeners : sequence of str
        Tasks that are notified when the peers change.
    """

    def __init__(self, own, seeds, rng, listeners):
        self.own = own
        self.seeds = tuple(seeds)
        self.listed: tuple[tuple[str, int], ...] = ()
        """Addresses of live instances in the platform's list."""
        self.unreachable: dict[tuple[str, int], float] = {}
        """Times from which to call seed and listed addresses again that
        did not answer."""
        self.rng = rng
        self.listeners = listeners
        self.members: dict[str, membership.Member] = {}
        self.leaving = leaving_marks.LeavingState()
        self.offset = -1
        self.rapid_rounds_left = 0
        self.informed_peers = 0
        self.reported_peers: tuple[types.PeerView, ...] = ()


def make_controller(
    owner: identity.Incarnation,
    seeds: Sequence[tuple[str, int]],
    rng: random.Random,
    listeners: Sequence[str] = (messages.BACKENDS, messages.JOBS),
) -> messages.Controller:
    """Make the controller of the membership.

    Its rounds begin with `PeerListenerStarted`, which the runtime sends once.

    Parameters
    ----------
    owner : Incarnation
        This instance.
    seeds : sequence of (str, int)
        Addresses of the instances to call first.
    rng : random.Random
        Draws targets, rumours and timer jitter.
    listeners : sequence of str, optional
        Tasks that are notified when the peers change.
    """
    own = membership.Entry(identity.format_incarnation(owner), "0.0.0.0", 0)
    state = MembershipState(own, seeds, rng, tuple(listeners))

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.MEMBERSHIP, receive)


def _start_rounds(state, msg, now):
    host, port = msg.address
    state.own = state.own._replace(host=host, port=port)
    at = now + ROUND_INTERVAL * state.rng.uniform(0.0, 0.2)
    return [_set_timer(at, _ROUND), *_read_instances(state, now)]


def _regular_round(state, now):
    membership_updates.increment_heartbeat(state)
    membership_updates.expire_members(state, now)
    sends = _exchange_with_targets(state, FANOUT, now) + _probe_suspect(
        state, now
    )
    at = now + ROUND_INTERVAL * state.rng.uniform(0.8, 1.2)
    return [*sends, _set_timer(at, _ROUND), *_report_peers(state)]


def _exchange_with_targets(state, count, now):
    if state.own.port == 0:
        return []
    members = list(state.members.values())
    unknown = _unknown_addresses(state, now)
    targets = membership.choose_targets(
        members, unknown, count, now, state.rng
    )
    return [_exchange(state, address) for address in targets]


def _unknown_addresses(state, now):
    own = (state.own.host, state.own.port)
    return [
        address
        for address in (*state.seeds, *state.listed)
        if address != own and state.unreachable.get(address, now) <= now
    ]


def _probe_suspect(state, now):
    member = membership.choose_probe(state.members.values(), now)
    if member is None:
        return []
    return [_exchange(state, (member.entry.host, member.entry.port))]


def _exchange(state, address):
    msg = messages.ExchangeDigest(address, _make_digest(state))
    return messages.Send(messages.PEERS, msg)


def _make_digest(state):
    rumours = membership.choose_rumours(
        state.members.values(), membership.RUMOURS_PER_DIGEST, state.rng
    )
    for member in rumours:
        key = member.entry.incarnation
        state.members[key] = member._replace(sends=member.sends + 1)
    return membership.Digest(
        state.own,
        state.offset,
        state.leaving.fingerprint,
        leaving_marks.make_bitmap(state.leaving),
        tuple(member.entry for member in rumours),
    )


def _set_timer(at, key):
    timer = messages.SetTimer(at, messages.MEMBERSHIP, key)
    return messages.Send(messages.TIMERS, timer)


def _report_peers(state):
    views = tuple(
        types.PeerView(
            entry.incarnation,
            entry.host,
            entry.port,
            entry.status,
            entry.load,
            entry.revision,
        )
        for entry in (member.entry for member in state.members.values())
    )
    if views == state.reported_peers:
        return []
    state.reported_peers = views
    changed = messages.PeersChanged(views)
    return [messages.Send(name, changed) for name in state.listeners]


def _answer_digest(state, msg, now):
    answer = _make_digest(state)
    reply = messages.Reply(msg.reply_to, answer)
    sends = [messages.Send(messages.CALLERS, reply)]
    return sends + _merge_digest(state, msg.digest, now)


def _end_exchange(state, msg, now):
    if msg.digest is None:
        membership_updates.record_failure(state, msg.address, now)
        return []
    if not _lacks_updates(state, msg.digest):
        state.informed_peers += 1
    return _merge_digest(state, msg.digest, now)


def _lacks_updates(state, digest):
    if digest.own.revision < state.own.revision:
        return True
    peer_marks = leaving_marks.read_bitmap(
        state.leaving, digest.fingerprint, digest.leaving
    )
    return not state.leaving.marks <= peer_marks


def _merge_digest(state, digest, now):
    own = digest.own
    membership_updates.mark_predecessors_dead(state, own, now)
    membership_updates.merge_entry(state, own, now)
    if own.incarnation in state.members:
        member = state.members[own.incarnation]
        state.members[own.incarnation] = member._replace(
            failures=0, retry_at=0.0
        )
    for entry in digest.rumours:
        membership_updates.merge_entry(state, entry, now)
    peer = messages.PeerConfiguration(
        (own.host, own.port), own.revision, digest.offset, digest.fingerprint
    )
    sends = []
    if _has_other_configuration(state, digest):
        sends.append(messages.Send(messages.CONFIGURATION, peer))
    marks = leaving_marks.read_bitmap(
        state.leaving, digest.fingerprint, digest.leaving
    )
    return sends + _add_marks(state, marks, now)


def _has_other_configuration(state, digest):
    if digest.offset > state.offset:
        return True
    same_revision = digest.own.revision == state.own.revision
    return same_revision and digest.fingerprint != state.leaving.fingerprint


def _add_marks(state, marks, now):
    before = state.leaving.marks
    state.leaving = leaving_marks.add_marks(state.leaving, marks)
    if state.leaving.marks == before:
        return []
    return _report_leaving(state) + _start_rapid_rounds(state, now)


def _report_leaving(state):
    names = frozenset(name for name, _ in state.leaving.marks)
    msg = messages.BackendsLeaving(names)
    return [messages.Send(messages.BACKENDS, msg)]


def _start_rapid_rounds(state, now):
    already_scheduled = state.rapid_rounds_left > 0
    state.rapid_rounds_left = MAX_RAPID_ROUNDS
    state.informed_peers = 0
    if already_scheduled:
        return []
    at = now + RAPID_INTERVAL * state.rng.uniform(0.0, 1.0)
    return [_set_timer(at, _RAPID_ROUND)]


def _rapid_round(state, now):
    state.rapid_rounds_left -= 1
    if state.informed_peers >= MAX_INFORMED_PEERS:
        state.rapid_rounds_left = 0
    if state.rapid_rounds_left <= 0:
        return []
    at = now + RAPID_INTERVAL * state.rng.uniform(0.8, 1.2)
    return [
        *_exchange_with_targets(state, RAPID_FANOUT, now),
        _set_timer(at, _RAPID_ROUND),
    ]


def _read_instances(state, now):
    at = now + LIST_INTERVAL * state.rng.uniform(0.8, 1.0)
    read = messages.Send(messages.INSTANCES, messages.ReadInstances())
    return [read, _set_timer(at, _LIST)]


_TIMERS = {
    _LIST: _read_instances,
    _RAPID_ROUND: _rapid_round,
    _ROUND: _regular_round,
}


def _handle_timer(state, msg, now):
    return _TIMERS[msg.key](state, now)


def _configure(state, msg, now):
    cfg = msg.cfg
    state.offset = cfg.offset
    if cfg.revision <= state.own.revision:
        return []
    state.own = state.own._replace(revision=cfg.revision)
    before = state.leaving.marks
    fingerprint = release_notes.fingerprint(cfg)
    state.leaving = leaving_marks.apply_configuration(
        state.leaving, cfg, fingerprint
    )
    sends = _start_rapid_rounds(state, now)
    if state.leaving.marks != before:
        sends += _report_leaving(state)
    return sends


def _update_listed(state, msg, now):
    state.listed = tuple(
        (entry.host, entry.port)
        for entry in msg.entries
        if entry.role == "entry" and entry.state == "live"
    )
    state.unreachable = {
        address: retry_at
        for address, retry_at in state.unreachable.items()
        if address in (*state.seeds, *state.listed)
    }
    state.leaving, marks = leaving_marks.apply_instance_list(
        state.leaving, msg.entries
    )
    return _add_marks(state, marks, now)


def _mark_leaving(state, msg, now):
    return _add_marks(
        state, leaving_marks.marks_for(state.leaving, msg.names), now
    )


def _update_load(state, msg, now):
    state.own = state.own._replace(load=msg.load)
    return []


def _announce_leaving(state, msg, now):
    state.own = state.own._replace(status="leaving")
    membership_updates.increment_heartbeat(state)
    return _start_rapid_rounds(state, now)


def _report_status(state, msg, now):
    instances = [
        member.entry._asdict()
        | {
            "load": member.entry.load._asdict(),
            "since": round(now - member.changed_at, 1),
        }
        for member in state.members.values()
    ]
    status = {
        "own": state.own._asdict() | {"load": state.own.load._asdict()},
        "instances": instances,
        "leaving": sorted(name for name, _ in state.leaving.marks),
    }
    reply = messages.Reply(msg.reply_to, status)
    return [messages.Send(messages.CALLERS, reply)]


_HANDLERS = {
    messages.BackendsLeaving: _mark_leaving,
    messages.ConfigurationChanged: _configure,
    messages.DigestReceived: _answer_digest,
    messages.DigestExchangeEnded: _end_exchange,
    messages.GetStatus: _report_status,
    messages.InstanceLeaving: _announce_leaving,
    messages.InstancesListed: _update_listed,
    messages.LoadReport: _update_load,
    messages.PeerListenerStarted: _start_rounds,
    messages.TimerFired: _handle_timer,
}
