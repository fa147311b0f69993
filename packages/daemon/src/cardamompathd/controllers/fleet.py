"""Which instances are alive, by what they say over links of their own.

Each instance keeps a link to every other one and says on it that it is
alive.  A member that was not heard for `SILENCE` no longer counts as
alive; one whose port refuses connections is known to be gone.
"""

from __future__ import annotations

from typing import NamedTuple

from cardamompath_core import seniority
from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "FleetState",
    "Hello",
    "make_controller",
]

HELLO_INTERVAL = 0.1
"""Seconds between signs of life; four may be lost before `SILENCE`."""
SILENCE = 0.45
"""Seconds without a sign after which a member is not alive.  Below the
lease of a run, so that a successor can adopt what still runs."""
FORGET = 20.0
"""Seconds for which a silent member may be behind a partition."""
KNOWN_EACH = 5
"""One in so many signs of life names the members that are known."""
HELLOS_PER_SECOND = 150.0
"""Most signs of life that an instance sends, so that their cost stays
the same when the fleet grows; the interval grows instead."""


class Hello(NamedTuple):
    """A sign of life on a link."""

    member: seniority.Member
    config_version: int
    known: tuple[tuple[str, int], ...]


class _Peer:
    __slots__ = ("alive", "gone", "heard_at", "member")

    def __init__(self, member, now):
        self.member = member
        self.heard_at = now
        self.alive = True
        self.gone = False


class FleetState:
    """Members that were heard, and addresses that may have one."""

    def __init__(self, own: seniority.Member):
        self.own = own
        self.config_version = 0
        self.peers: dict[str, _Peer] = {}
        self.addresses: set[tuple[str, int]] = set()
        self.told: tuple | None = None
        self.hellos = 0


def make_controller(own: seniority.Member) -> messages.Controller:
    """Make the controller of the fleet; tell it a timer to begin."""
    state = FleetState(own)

    def receive(msg, now):
        handler = _HANDLERS.get(type(msg))
        return handler(state, msg, now) if handler else ()

    return messages.Controller(pool_messages.FLEET, receive)


def _tick(state, _, now):
    due = messages.SetTimer(
        now + _interval(state), pool_messages.FLEET, "hello"
    )
    sends = [messages.Send(messages.TIMERS, due)]
    for peer in state.peers.values():
        if peer.alive and now - peer.heard_at > _silence(state):
            peer.alive = False
    for name, peer in list(state.peers.items()):
        if now - peer.heard_at > FORGET:
            del state.peers[name]
            state.addresses.discard(peer.member.address)
            link = pool_messages.LinkTo(peer.member.address, False)
            sends.append(messages.Send(pool_messages.LINKS, link))
    sends += _greet(state)
    return sends + _tell_change(state)


def _interval(state):
    return max(HELLO_INTERVAL, len(state.addresses) / HELLOS_PER_SECOND)


def _silence(state):
    return max(SILENCE, 4.0 * _interval(state))


def _greet(state):
    state.hellos += 1
    known: tuple[tuple[str, int], ...] = ()
    if state.hellos % KNOWN_EACH == 0:
        known = tuple(
            one.member.address for one in state.peers.values() if one.alive
        )
    hello = Hello(state.own, state.config_version, known)
    return [
        messages.Send(
            pool_messages.LINKS, pool_messages.SendToMember(address, hello)
        )
        for address in state.addresses
    ]


def _found(state, msg, _):
    sends = []
    for address in msg.addresses:
        if address == state.own.address or address in state.addresses:
            continue
        state.addresses.add(address)
        link = pool_messages.LinkTo(address, True)
        sends.append(messages.Send(pool_messages.LINKS, link))
    return sends


def _heard(state, msg, now):
    member = msg.member
    peer = state.peers.get(member.name)
    if peer is None or peer.member.started < member.started:
        peer = state.peers[member.name] = _Peer(member, now)
    elif peer.member.started > member.started:
        return ()
    peer.member = member
    peer.heard_at = now
    peer.alive = True
    peer.gone = False
    found = pool_messages.AddressesFound(
        (member.address, *msg.known), member.name
    )
    sends = _found(state, found, now)
    if msg.config_version < state.config_version:
        offer = pool_messages.OfferConfiguration(member.address)
        sends.append(messages.Send(pool_messages.GATEWAY, offer))
    return sends + _tell_change(state)


def _failed(state, msg, _):
    if not msg.refused:
        return ()
    for peer in state.peers.values():
        if peer.member.address == msg.address:
            peer.alive = False
            peer.gone = True
    return _tell_change(state)


def _leave(state, _, now):
    state.own = state.own._replace(leaving=True)
    return _greet(state) + _tell_change(state)


def _configured(state, msg, _):
    state.config_version = msg.version
    return ()


def _tell_change(state):
    alive = [one.member for one in state.peers.values() if one.alive]
    missing = [
        one.member
        for one in state.peers.values()
        if not one.alive and not one.gone and not one.member.leaving
    ]
    view = pool_messages.FleetChanged(
        state.own,
        (state.own, *sorted(alive, key=lambda one: one.name)),
        tuple(sorted(missing, key=lambda one: one.name)),
    )
    if view == state.told:
        return []
    state.told = view
    fields = {
        "alive": [one.name for one in view.alive],
        "missing": [one.name for one in view.missing],
        "leaving": [one.name for one in view.alive if one.leaving],
    }
    note = pool_messages.Note("fleet", "members changed", "", fields)
    return [
        messages.Send(pool_messages.GATEWAY, view),
        messages.Send(pool_messages.PLANNER, view),
        messages.Send(pool_messages.JOURNAL, note),
    ]


_HANDLERS = {
    messages.TimerFired: _tick,
    pool_messages.AddressesFound: _found,
    pool_messages.MemberHeard: _heard,
    pool_messages.AddressFailed: _failed,
    pool_messages.Leave: _leave,
    pool_messages.ConfigurationInForce: _configured,
}
