"""Which instances are alive, by what they say over links of their own.

Each instance says to every other one that it is alive, and when it will
say so again.  Planners and their successors speak often to those that
hand them batches; most others speak seldom, so that what an instance
spends on the fleet stays the same when the fleet grows.  A member that
is overdue no longer counts as alive; one whose port refuses connections
is known to be gone.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "FleetState",
    "Heartbeat",
    "make_controller",
]

HELLO_INTERVAL = 0.1
"""Seconds between signs of life of planners, and to them; four may be
lost before `SILENCE`."""
SILENCE = 0.45
"""Seconds without a sign after which a planner is not alive.  Below the
lease of a run, so that a successor can adopt what still runs."""
SILENCE_FACTOR = SILENCE / HELLO_INTERVAL
"""Multiple of the announced interval after which a member is overdue."""
FAR_PLANNER_INTERVAL = 0.2
"""Seconds between signs of life to a planner elsewhere that has batches of
ours; overdue in 0.9 s, before a client whose instance is gone asks
another."""
FAR_INTERVAL = 0.25
"""Seconds between signs of life of a planner to other failure domains."""
SELDOM_INTERVAL = 0.5
"""Seconds between signs of life where nobody waits for them."""
SMALL_FLEET = 12
"""Other members up to which all speak often to all, so that an instance
that is cut off hears the silence of all at once."""
OFTEN_PER_SECOND = 200.0
TO_PLANNERS_PER_SECOND = 50.0
FAR_PER_SECOND = 128.0
SELDOM_PER_SECOND = 20.0
"""Most signs of life of each sort that an instance sends; the intervals
grow with the fleet instead."""
SUCCESSORS = 1
"""Members after the planners that speak as often as these do."""
FRESH_FACTOR = 3.5
"""Multiple of the interval of signs of life to planners in which a member
has to be heard for a successor to count on it."""
FORGET = 20.0
"""Seconds for which a silent member may be behind a partition."""
KNOWN_EACH = 5
"""One in so many signs of life names the members that are known, at
least."""
KNOWN_MEMBERS = 8
"""Members for each of which a sign of life more comes without the names,
so that the bytes for them stay the same when the fleet grows."""
NEWS_TIME = 1.0
"""Seconds after a new member in which each sign of life names them."""
SETTLE = 0.2
"""Seconds after its start in which an instance looks for others before
it says who they are: one try to open a link, and a sign of life."""
QUIET = 0.25
"""Seconds without a new member that this has to last; two signs of life
to a planner, which name the members that are known."""
MOST_SETTLE = 2.0
"""Seconds after which it says so in any case."""
DUE_EARLY = 0.02
"""Seconds by which a sign of life may be early; timers are a little
late, and it must not wait for the next look."""


class Heartbeat(NamedTuple):
    """A sign of life on a link."""

    member: planner_election.Member
    config_version: int
    known_addresses: tuple[tuple[str, int], ...]
    interval: float = HELLO_INTERVAL
    """Seconds until the next one on this link."""
    backlog: float = 0.0
    """Seconds that the work which waits takes the planner's executors."""


class _Peer:
    __slots__ = ("alive", "backlog", "gone", "heard_at", "interval", "member")

    def __init__(self, member, now):
        self.member = member
        self.heard_at = now
        self.alive = True
        self.gone = False
        self.interval = HELLO_INTERVAL
        self.backlog: float | None = None
        """The last one that the gateway was told."""


class FleetState:
    """Members that were heard, and addresses that may have one."""

    def __init__(self, own: planner_election.Member):
        self.own = own
        self.config_version = 0
        self.backlog = 0.0
        self.peers: dict[str, _Peer] = {}
        self.addresses: dict[tuple[str, int], float] = {}
        """When the last sign of life went to each address."""
        self.began: float | None = None
        self.found_at = 0.0
        """When the last new member was heard."""
        self.told: tuple | None = None
        self.hellos = 0
        self.planning = planner_election.Planning()
        self.leads: frozenset[str] = frozenset()
        """Planners that this instance hands its batches to first, and
        their successors."""
        self.near: frozenset[str] = frozenset()
        """Members that these plan for, those that fell silent included."""
        self.intervals: dict[tuple[str, int], float] = {}
        """Seconds between signs of life to each address; empty when they
        have to be worked out anew."""
        self.engaged: dict[str, float] = {}
        """Other planners that have batches of ours, and until when."""


def make_controller(own: planner_election.Member) -> messages.Controller:
    """Make the controller of the fleet; tell it a timer to begin."""
    state = FleetState(own)

    def receive(msg, now):
        handler = _HANDLERS.get(type(msg))
        return handler(state, msg, now) if handler else ()

    return messages.Controller(pool_messages.FLEET, receive)


def _tick(state, _, now):
    due = messages.SetTimer(now + HELLO_INTERVAL, pool_messages.FLEET, "hello")
    sends = [messages.Send(messages.TIMERS, due)]
    if state.began is None:
        state.began = now
    changed = state.told is None
    for name, peer in list(state.peers.items()):
        silence = max(SILENCE, SILENCE_FACTOR * peer.interval)
        silent = now - peer.heard_at
        if peer.alive and silent > silence:
            peer.alive = False
            changed = True
        if silent > max(FORGET, 2.0 * silence):
            del state.peers[name]
            state.addresses.pop(peer.member.address, None)
            link = pool_messages.SetLink(peer.member.address, False)
            sends.append(messages.Send(pool_messages.LINKS, link))
            changed = True
    for name, until in list(state.engaged.items()):
        if now > until:
            del state.engaged[name]
            state.intervals.clear()
    changed |= state.told is not None and (
        _is_confirmed(state, now) != state.told.has_quorum
    )
    sends += _greet_due(state, now)
    return sends + (_tell_change(state, now) if changed else [])


def _greet_due(state, now):
    """Say to those whose turn it is that this instance is alive."""
    if not state.intervals:
        state.intervals = {
            peer.member.address: _interval_to(state, peer.member)
            for peer in state.peers.values()
        }
    groups = collections.defaultdict(list)
    for address, sent_at in state.addresses.items():
        interval = state.intervals.get(address, HELLO_INTERVAL)
        if now >= sent_at + interval - DUE_EARLY:
            state.addresses[address] = now
            groups[interval].append(address)
    state.hellos += 1
    return [
        _greet(state, tuple(some), interval, now)
        for interval, some in groups.items()
    ]


def _interval_to(state, member):
    near = not state.planning.by_domain or (member.domain == state.own.domain)
    if near and state.own.name in state.leads:
        return max(HELLO_INTERVAL, len(state.near) / OFTEN_PER_SECOND)
    if near and member.name in state.leads:
        return _interval_to_planners(state)
    if member.name in state.engaged:
        return FAR_PLANNER_INTERVAL
    count = len(state.peers)
    if count <= SMALL_FLEET:
        return HELLO_INTERVAL
    if state.own.name in {one.name for one in state.planning.planners}:
        return max(FAR_INTERVAL, count / FAR_PER_SECOND)
    return max(SELDOM_INTERVAL, count / SELDOM_PER_SECOND)


def _interval_to_planners(state):
    return max(HELLO_INTERVAL, len(state.leads) / TO_PLANNERS_PER_SECOND)


def _greet(state, addresses, interval, now):
    known: tuple[tuple[str, int], ...] = ()
    news = now < state.found_at + NEWS_TIME
    each = max(KNOWN_EACH, len(state.peers) // KNOWN_MEMBERS)
    if news or state.hellos % each == 0:
        known = tuple(
            one.member.address for one in state.peers.values() if one.alive
        )
    hello = Heartbeat(
        state.own, state.config_version, known, interval, state.backlog
    )
    msg = pool_messages.SendToMembers(addresses, hello)
    return messages.Send(pool_messages.LINKS, msg)


def _found(state, msg, now):
    sends = []
    for address in msg.addresses:
        if address == state.own.address or address in state.addresses:
            continue
        state.addresses[address] = 0.0
        link = pool_messages.SetLink(address, True)
        sends.append(messages.Send(pool_messages.LINKS, link))
    return sends


def _heard(state, msg, now):
    member = msg.member
    peer = state.peers.get(member.name)
    if peer is None or peer.member.started < member.started:
        if peer is None:
            state.found_at = now
        peer = state.peers[member.name] = _Peer(member, now)
        peer.alive = False
    elif peer.member.started > member.started:
        return ()
    changed = not peer.alive or peer.member != member
    peer.member = member
    peer.heard_at = now
    peer.alive = True
    peer.gone = False
    peer.interval = msg.interval
    sends = []
    if peer.backlog != msg.backlog:
        peer.backlog = msg.backlog
        load = pool_messages.BacklogChanged(member.name, msg.backlog)
        sends.append(messages.Send(pool_messages.GATEWAY, load))
    if changed or msg.known_addresses:
        found = pool_messages.AddressesFound(
            (member.address, *msg.known_addresses), member.name
        )
        sends += _found(state, found, now)
    if msg.config_version < state.config_version:
        offer = pool_messages.OfferConfiguration(member.address)
        sends.append(messages.Send(pool_messages.GATEWAY, offer))
    return sends + (_tell_change(state, now) if changed else [])


def _failed(state, msg, now):
    if not msg.refused:
        return ()
    changed = False
    for peer in state.peers.values():
        if peer.member.address == msg.address and not peer.gone:
            changed = True
            peer.alive = False
            peer.gone = True
    return _tell_change(state, now) if changed else ()


def _leave(state, _, now):
    return _change_own(state, state.own._replace(leaving=True), now)


def _configured(state, msg, _):
    state.config_version = msg.version
    return ()


def _place_taken(state, msg, now):
    if state.own.slot == msg.slot:
        return ()
    return _change_own(state, state.own._replace(slot=msg.slot), now)


def _change_own(state, own, now):
    """Tell everybody at once what changed about this instance."""
    state.own = own
    sends = _tell_change(state, now)
    state.addresses = dict.fromkeys(state.addresses, 0.0)
    return [*sends, *_greet_due(state, now)]


def _loaded(state, msg, _):
    state.backlog = msg.backlog
    return ()


def _engage(state, msg, _):
    until = max(state.engaged.get(msg.name, 0.0), msg.until)
    if msg.name not in state.engaged:
        state.intervals.clear()
    state.engaged[msg.name] = until
    return ()


def _is_settled(state, now):
    """Return whether the members found so far are likely to be all."""
    if state.told is not None:
        return True
    if state.began is None or now < state.began + SETTLE:
        return False
    quiet = now >= state.found_at + QUIET
    return quiet or now >= state.began + MOST_SETTLE


def _is_confirmed(state, now):
    """Return whether this instance may take a free place.

    One that is cut off may hear the silence of the planners before that
    of others; most of those that it would plan for have to be heard.
    """
    planners = {one.name for one in state.planning.planners}
    if state.own.slot >= 0 or state.own.name not in planners:
        return True
    oldest = now - FRESH_FACTOR * _interval_to_planners(state)
    fresh = sum(
        name in state.near and peer.heard_at >= oldest
        for name, peer in state.peers.items()
    )
    return 2 * (fresh + 1) > len(state.near)


def _tell_change(state, now):
    if not _is_settled(state, now):
        return []
    alive = [one.member for one in state.peers.values() if one.alive]
    missing = [
        one.member
        for one in state.peers.values()
        if not one.alive and not one.gone and not one.member.leaving
    ]
    census = collections.Counter(
        one.member.domain for one in state.peers.values()
    )
    census[state.own.domain] += 1
    view = pool_messages.FleetChanged(
        state.own,
        (state.own, *sorted(alive, key=lambda one: one.name)),
        tuple(sorted(missing, key=lambda one: one.name)),
        tuple(sorted(census.items())),
    )
    _find_leads(state, view)
    view = view._replace(has_quorum=_is_confirmed(state, now))
    if view == state.told:
        return []
    state.told = view
    fields = {
        "alive": [one.name for one in view.alive],
        "missing": [one.name for one in view.missing],
        "leaving": [one.name for one in view.alive if one.leaving],
        "planners": [one.name for one in state.planning.planners],
        "confirmed": view.has_quorum,
    }
    note = pool_messages.Decision("fleet", "members changed", "", fields)
    return [
        messages.Send(pool_messages.GATEWAY, view),
        messages.Send(pool_messages.PLANNER, view),
        messages.Send(pool_messages.DECISION_LOG, note),
    ]


def _find_leads(state, view):
    """Note who plans for this instance, and who would come next."""
    planning = planner_election.arrange(
        view.alive, view.missing, dict(view.domain_sizes)
    )
    domain = state.own.domain
    alive = planner_election.near(view.alive, domain, planning)
    missing = planner_election.near(view.missing, domain, planning)
    planners = planner_election.near(planning.planners, domain, planning)
    ranked = planner_election.rank(alive)[: len(planners) + SUCCESSORS]
    state.planning = planning
    state.leads = frozenset(one.name for one in ranked)
    state.near = frozenset(one.name for one in (*alive, *missing))
    state.intervals.clear()


_HANDLERS = {
    messages.TimerFired: _tick,
    pool_messages.AddressesFound: _found,
    pool_messages.HeartbeatReceived: _heard,
    pool_messages.LinkFailed: _failed,
    pool_messages.Leave: _leave,
    pool_messages.ConfigurationInForce: _configured,
    pool_messages.BacklogMeasured: _loaded,
    pool_messages.RemotePlannerUsed: _engage,
    pool_messages.SlotChanged: _place_taken,
}
