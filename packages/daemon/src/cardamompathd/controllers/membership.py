"""The other instances, and which backend servers are leaving.

Each round tells a few instances a digest of bounded size and takes
theirs.  News are told in quick rounds until the instances that are met
know them already.
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
from cardamompathd.controllers import membership_updates

__all__ = [
    "MembershipState",
    "make_controller",
]

ROUND = 2.0
"""Mean seconds between rounds."""

FANOUT = 1
"""Instances that a round calls."""

NEWS_INTERVAL = 0.15
"""Mean seconds between quick rounds while there are news."""

NEWS_FANOUT = 2
"""Instances that a quick round calls."""

NEWS_ROUNDS = 12
"""Most quick rounds for one piece of news."""

NEWS_MISSES = 6
"""Instances that knew the news already, after which it is old."""

LIST_INTERVAL = 2.0
"""Most seconds between reads of the platform's list."""

_ROUND = "round"
_NEWS = "news"
_LIST = "list"


class MembershipState:
    """What this instance knows of the others.

    Parameters
    ----------
    own : Entry
        This instance.
    seeds : sequence of (str, int)
        Addresses of instances to begin with.
    rng : random.Random
        Draws targets, rumours and the spread of timers.
    listeners : sequence of str
        Tasks that are told of the peers.
    """

    def __init__(self, own, seeds, rng, listeners):
        self.own = own
        self.seeds = tuple(seeds)
        self.listed: tuple[tuple[str, int], ...] = ()
        self.out_of_reach: dict[tuple[str, int], float] = {}
        """Addresses of no member that failed, and when to call again."""
        self.rng = rng
        self.listeners = listeners
        self.members: dict[str, membership.Member] = {}
        self.leaving = leaving_marks.LeavingState()
        self.offset = -1
        self.news_rounds = 0
        self.news_misses = 0
        self.told: tuple[types.PeerView, ...] = ()


def make_controller(
    owner: identity.Incarnation,
    seeds: Sequence[tuple[str, int]],
    rng: random.Random,
    listeners: Sequence[str] = (messages.BACKENDS, messages.JOBS),
) -> messages.Controller:
    """Make the controller of the membership.

    It begins with `PeerListenerStarted`, which the runtime sends once.

    Parameters
    ----------
    owner : Incarnation
        This instance.
    seeds : sequence of (str, int)
        Addresses of instances to begin with.
    rng : random.Random
        Draws targets, rumours and the spread of timers.
    listeners : sequence of str, optional
        Tasks that are told of the peers.
    """
    own = membership.Entry(identity.format_incarnation(owner), "0.0.0.0", 0)
    state = MembershipState(own, seeds, rng, tuple(listeners))

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.MEMBERSHIP, receive)


def _listening(state, msg, now):
    host, port = msg.address
    state.own = state.own._replace(host=host, port=port)
    at = now + ROUND * state.rng.uniform(0.0, 0.2)
    return [_timer(at, _ROUND), *_list(state, now)]


def _round(state, now):
    membership_updates.beat(state)
    membership_updates.age(state, now)
    sends = _call(state, FANOUT, now) + _check(state, now)
    at = now + ROUND * state.rng.uniform(0.8, 1.2)
    return [*sends, _timer(at, _ROUND), *_tell_peers(state)]


def _call(state, count, now):
    if state.own.port == 0:
        return []
    members = list(state.members.values())
    unknown = _unknown(state, now)
    targets = membership.choose_targets(
        members, unknown, count, now, state.rng
    )
    return [_exchange(state, address) for address in targets]


def _unknown(state, now):
    own = (state.own.host, state.own.port)
    return [
        one
        for one in (*state.seeds, *state.listed)
        if one != own and state.out_of_reach.get(one, now) <= now
    ]


def _check(state, now):
    member = membership.choose_check(state.members.values(), now)
    if member is None:
        return []
    return [_exchange(state, (member.entry.host, member.entry.port))]


def _exchange(state, address):
    msg = messages.ExchangeDigest(address, _make_digest(state))
    return messages.Send(messages.PEERS, msg)


def _make_digest(state):
    chosen = membership.choose_rumours(
        state.members.values(), membership.RUMOURS, state.rng
    )
    for member in chosen:
        key = member.entry.incarnation
        state.members[key] = member._replace(sends=member.sends + 1)
    return membership.Digest(
        state.own,
        state.offset,
        state.leaving.fingerprint,
        leaving_marks.make_bitmap(state.leaving),
        tuple(member.entry for member in chosen),
    )


def _timer(at, key):
    timer = messages.SetTimer(at, messages.MEMBERSHIP, key)
    return messages.Send(messages.TIMERS, timer)


def _tell_peers(state):
    views = tuple(
        types.PeerView(
            entry.incarnation,
            entry.host,
            entry.port,
            entry.status,
            entry.load,
            entry.revision,
        )
        for entry in (one.entry for one in state.members.values())
    )
    if views == state.told:
        return []
    state.told = views
    changed = messages.PeersChanged(views)
    return [messages.Send(name, changed) for name in state.listeners]


def _received(state, msg, now):
    answer = _make_digest(state)
    reply = messages.Reply(msg.reply_to, answer)
    sends = [messages.Send(messages.CALLERS, reply)]
    return sends + _merge(state, msg.digest, now)


def _ended(state, msg, now):
    if msg.digest is None:
        membership_updates.fail(state, msg.address, now)
        return []
    if not _is_news_for(state, msg.digest):
        state.news_misses += 1
    return _merge(state, msg.digest, now)


def _is_news_for(state, digest):
    if digest.own.revision < state.own.revision:
        return True
    theirs = leaving_marks.read_bitmap(
        state.leaving, digest.fingerprint, digest.leaving
    )
    return not state.leaving.marks <= theirs


def _merge(state, digest, now):
    own = digest.own
    membership_updates.replace_predecessors(state, own, now)
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
    if _differs(state, digest):
        sends.append(messages.Send(messages.CONFIGURATION, peer))
    marks = leaving_marks.read_bitmap(
        state.leaving, digest.fingerprint, digest.leaving
    )
    return sends + _mark(state, marks, now)


def _differs(state, digest):
    if digest.offset > state.offset:
        return True
    same = digest.own.revision == state.own.revision
    return same and digest.fingerprint != state.leaving.fingerprint


def _mark(state, marks, now):
    before = state.leaving.marks
    state.leaving = leaving_marks.add_marks(state.leaving, marks)
    if state.leaving.marks == before:
        return []
    return _tell_leaving(state) + _begin_news(state, now)


def _tell_leaving(state):
    names = frozenset(name for name, _ in state.leaving.marks)
    msg = messages.BackendsLeaving(names)
    return [messages.Send(messages.BACKENDS, msg)]


def _begin_news(state, now):
    set_already = state.news_rounds > 0
    state.news_rounds = NEWS_ROUNDS
    state.news_misses = 0
    if set_already:
        return []
    at = now + NEWS_INTERVAL * state.rng.uniform(0.0, 1.0)
    return [_timer(at, _NEWS)]


def _news(state, now):
    state.news_rounds -= 1
    if state.news_misses >= NEWS_MISSES:
        state.news_rounds = 0
    if state.news_rounds <= 0:
        return []
    at = now + NEWS_INTERVAL * state.rng.uniform(0.8, 1.2)
    return [*_call(state, NEWS_FANOUT, now), _timer(at, _NEWS)]


def _list(state, now):
    at = now + LIST_INTERVAL * state.rng.uniform(0.8, 1.0)
    read = messages.Send(messages.INSTANCES, messages.ReadInstances())
    return [read, _timer(at, _LIST)]


_TIMERS = {_LIST: _list, _NEWS: _news, _ROUND: _round}


def _fired(state, msg, now):
    return _TIMERS[msg.key](state, now)


def _configure(state, msg, now):
    cfg = msg.cfg
    state.offset = cfg.offset
    if cfg.revision <= state.own.revision:
        return []
    state.own = state.own._replace(revision=cfg.revision)
    before = state.leaving.marks
    printed = release_notes.fingerprint(cfg)
    state.leaving = leaving_marks.configure(state.leaving, cfg, printed)
    sends = _begin_news(state, now)
    if state.leaving.marks != before:
        sends += _tell_leaving(state)
    return sends


def _instances(state, msg, now):
    state.listed = tuple(
        (one.host, one.port)
        for one in msg.entries
        if one.role == "entry" and one.state == "live"
    )
    state.out_of_reach = {
        address: again
        for address, again in state.out_of_reach.items()
        if address in (*state.seeds, *state.listed)
    }
    state.leaving, marks = leaving_marks.read_list(state.leaving, msg.entries)
    return _mark(state, marks, now)


def _backends_leaving(state, msg, now):
    return _mark(state, leaving_marks.marks_of(state.leaving, msg.names), now)


def _load(state, msg, now):
    state.own = state.own._replace(load=msg.load)
    return []


def _leave(state, msg, now):
    state.own = state.own._replace(status="leaving")
    membership_updates.beat(state)
    return _begin_news(state, now)


def _status(state, msg, now):
    instances = [
        one.entry._asdict()
        | {
            "load": one.entry.load._asdict(),
            "since": round(now - one.changed_at, 1),
        }
        for one in state.members.values()
    ]
    status = {
        "own": state.own._asdict() | {"load": state.own.load._asdict()},
        "instances": instances,
        "leaving": sorted(name for name, _ in state.leaving.marks),
    }
    reply = messages.Reply(msg.reply_to, status)
    return [messages.Send(messages.CALLERS, reply)]


_HANDLERS = {
    messages.BackendsLeaving: _backends_leaving,
    messages.ConfigurationChanged: _configure,
    messages.DigestReceived: _received,
    messages.DigestExchangeEnded: _ended,
    messages.GetStatus: _status,
    messages.InstanceLeaving: _leave,
    messages.InstancesListed: _instances,
    messages.LoadReport: _load,
    messages.PeerListenerStarted: _listening,
    messages.TimerFired: _fired,
}
