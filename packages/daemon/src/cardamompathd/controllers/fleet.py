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

HEARTBEAT_INTERVAL = 0.1
"""Seconds between signs of life of planners, and to them; four may be
lost before `SILENCE`."""
HEARTBEAT_TIMEOUT = 0.45
"""Seconds without a sign after which a planner is not alive.  Below the
lease of a run, so that a successor can adopt what still runs."""
HEARTBEAT_TIMEOUT_FACTOR = HEARTBEAT_TIMEOUT / HEARTBEAT_INTERVAL
"""Multiple of the announced interval after which a member is overdue."""
REMOTE_PLANNER_INTERVAL = 0.2
"""Seconds between signs of life to a planner elsewhere that has batches of
ours; overdue in 0.9 s, before a client whose instance is gone asks
another."""
REMOTE_DOMAIN_INTERVAL = 0.25
"""Seconds between signs of life of a planner to other failure domains."""
BACKGROUND_INTERVAL = 0.5
"""Seconds between signs of life where nobody waits for them."""
SMALL_FLEET = 12
"""Other members up to which all speak often to all, so that an instance
that is cut off hears the silence of all at once."""
MAX_LEAD_RATE = 200.0
MAX_TO_LEADS_RATE = 50.0
MAX_REMOTE_DOMAIN_RATE = 128.0
MAX_BACKGROUND_RATE = 20.0
"""Most signs of life of each sort that an instance sends; the intervals
grow with the fleet instead."""
SUCCESSOR_COUNT = 1
"""Members after the planners that speak as often as these do."""
QUORUM_AGE_FACTOR = 3.5
"""Multiple of the interval of signs of life to planners in which a member
has to be heard for a successor to count on it."""
FORGET_TIME = 20.0
"""Seconds for which a silent member may be behind a partition."""
MIN_ADDRESS_ROUNDS = 5
"""One in so many signs of life names the members that are known, at
least."""
MEMBERS_PER_ADDRESS_ROUND = 8
"""Members for each of which a sign of life more comes without the names,
so that the bytes for them stay the same when the fleet grows."""
NEW_MEMBER_TIME = 1.0
"""Seconds after a new member in which each sign of life names them."""
DISCOVERY_TIME = 0.2
"""Seconds after its start in which an instance looks for others before
it says who they are: one try to open a link, and a sign of life."""
DISCOVERY_QUIET_TIME = 0.25
"""Seconds without a new member that this has to last; two signs of life
to a planner, which name the members that are known."""
MAX_DISCOVERY_TIME = 2.0
"""Seconds after which it says so in any case."""
TIMER_TOLERANCE = 0.02
"""Seconds by which a sign of life may be early; timers are a little
late, and it must not wait for the next look."""


class Heartbeat(NamedTuple):
    """A sign of life on a link."""

    member: planner_election.Member
    config_version: int
    known_addresses: tuple[tuple[str, int], ...]
    interval: float = HEARTBEAT_INTERVAL
    """Seconds until the next one on this link."""
    backlog: float = 0.0
    """Seconds that the work which waits takes the planner's executors."""


class _Peer:
    __slots__ = (
        "alive",
        "dead",
        "heard_at",
        "interval",
        "member",
        "reported_backlog",
    )

    def __init__(self, member, now):
        self.member = member
        self.heard_at = now
        self.alive = True
        self.dead = False
        self.interval = HEARTBEAT_INTERVAL
        self.reported_backlog: float | None = None
        """The last one that the gateway was told."""


class FleetState:
    """Members that were heard, and addresses that may have one."""

    def __init__(self, own_member: planner_election.Member):
        self.own_member = own_member
        self.config_version = 0
        self.backlog = 0.0
        self.peers: dict[str, _Peer] = {}
        self.addresses: dict[tuple[str, int], float] = {}
        """When the last sign of life went to each address."""
        self.started_at: float | None = None
        self.last_new_member_at = 0.0
        """When the last new member was heard."""
        self.published: tuple | None = None
        self.heartbeat_rounds = 0
        self.planning = planner_election.PlannerAssignment()
        self.lead_members: frozenset[str] = frozenset()
        """Planners that this instance hands its batches to first, and
        their successors."""
        self.domain_members: frozenset[str] = frozenset()
        """Members that these plan for, those that fell silent included."""
        self.intervals: dict[tuple[str, int], float] = {}
        """Seconds between signs of life to each address; empty when they
        have to be worked out anew."""
        self.remote_planners: dict[str, float] = {}
        """Other planners that have batches of ours, and until when."""


def make_controller(
    own_member: planner_election.Member,
) -> messages.Controller:
    """Make the controller of the fleet; tell it a timer to begin."""
    state = FleetState(own_member)

    def receive(msg, now):
        handler = _HANDLERS.get(type(msg))
        return handler(state, msg, now) if handler else ()

    return messages.Controller(pool_messages.FLEET, receive)


def _tick(state, _, now):
    due = messages.SetTimer(
        now + HEARTBEAT_INTERVAL, pool_messages.FLEET, "heartbeat"
    )
    sends = [messages.Send(messages.TIMERS, due)]
    if state.started_at is None:
        state.started_at = now
    changed = state.published is None
    for name, peer in list(state.peers.items()):
        silence = max(
            HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_FACTOR * peer.interval
        )
        silent = now - peer.heard_at
        if peer.alive and silent > silence:
            peer.alive = False
            changed = True
        if silent > max(FORGET_TIME, 2.0 * silence):
            del state.peers[name]
            state.addresses.pop(peer.member.address, None)
            link = pool_messages.SetLink(peer.member.address, False)
            sends.append(messages.Send(pool_messages.LINKS, link))
            changed = True
    for name, until in list(state.remote_planners.items()):
        if now > until:
            del state.remote_planners[name]
            state.intervals.clear()
    changed |= state.published is not None and (
        _has_quorum(state, now) != state.published.has_quorum
    )
    sends += _send_due_heartbeats(state, now)
    return sends + (_publish_view(state, now) if changed else [])


def _send_due_heartbeats(state, now):
    """Say to those whose turn it is that this instance is alive."""
    if not state.intervals:
        state.intervals = {
            peer.member.address: _heartbeat_interval_to(state, peer.member)
            for peer in state.peers.values()
        }
    groups = collections.defaultdict(list)
    for address, sent_at in state.addresses.items():
        interval = state.intervals.get(address, HEARTBEAT_INTERVAL)
        if now >= sent_at + interval - TIMER_TOLERANCE:
            state.addresses[address] = now
            groups[interval].append(address)
    state.heartbeat_rounds += 1
    return [
        _make_heartbeat(state, tuple(some), interval, now)
        for interval, some in groups.items()
    ]


def _heartbeat_interval_to(state, member):
    near = not state.planning.by_domain or (
        member.domain == state.own_member.domain
    )
    if near and state.own_member.name in state.lead_members:
        return max(
            HEARTBEAT_INTERVAL, len(state.domain_members) / MAX_LEAD_RATE
        )
    if near and member.name in state.lead_members:
        return _lead_interval(state)
    if member.name in state.remote_planners:
        return REMOTE_PLANNER_INTERVAL
    count = len(state.peers)
    if count <= SMALL_FLEET:
        return HEARTBEAT_INTERVAL
    if state.own_member.name in {one.name for one in state.planning.planners}:
        return max(REMOTE_DOMAIN_INTERVAL, count / MAX_REMOTE_DOMAIN_RATE)
    return max(BACKGROUND_INTERVAL, count / MAX_BACKGROUND_RATE)


def _lead_interval(state):
    return max(HEARTBEAT_INTERVAL, len(state.lead_members) / MAX_TO_LEADS_RATE)


def _make_heartbeat(state, addresses, interval, now):
    known: tuple[tuple[str, int], ...] = ()
    is_new = now < state.last_new_member_at + NEW_MEMBER_TIME
    rounds = max(
        MIN_ADDRESS_ROUNDS, len(state.peers) // MEMBERS_PER_ADDRESS_ROUND
    )
    if is_new or state.heartbeat_rounds % rounds == 0:
        known = tuple(
            one.member.address for one in state.peers.values() if one.alive
        )
    heartbeat = Heartbeat(
        state.own_member, state.config_version, known, interval, state.backlog
    )
    msg = pool_messages.SendToMembers(addresses, heartbeat)
    return messages.Send(pool_messages.LINKS, msg)


def _add_addresses(state, msg, now):
    sends = []
    for address in msg.addresses:
        if address == state.own_member.address or address in state.addresses:
            continue
        state.addresses[address] = 0.0
        link = pool_messages.SetLink(address, True)
        sends.append(messages.Send(pool_messages.LINKS, link))
    return sends


def _handle_heartbeat(state, msg, now):
    member = msg.member
    peer = state.peers.get(member.name)
    if peer is None or peer.member.started < member.started:
        if peer is None:
            state.last_new_member_at = now
        peer = state.peers[member.name] = _Peer(member, now)
        peer.alive = False
    elif peer.member.started > member.started:
        return ()
    changed = not peer.alive or peer.member != member
    peer.member = member
    peer.heard_at = now
    peer.alive = True
    peer.dead = False
    peer.interval = msg.interval
    sends = []
    if peer.reported_backlog != msg.backlog:
        peer.reported_backlog = msg.backlog
        load = pool_messages.BacklogChanged(member.name, msg.backlog)
        sends.append(messages.Send(pool_messages.GATEWAY, load))
    if changed or msg.known_addresses:
        found = pool_messages.AddressesFound(
            (member.address, *msg.known_addresses), member.name
        )
        sends += _add_addresses(state, found, now)
    if msg.config_version < state.config_version:
        offer = pool_messages.OfferConfiguration(member.address)
        sends.append(messages.Send(pool_messages.GATEWAY, offer))
    return sends + (_publish_view(state, now) if changed else [])


def _handle_link_failure(state, msg, now):
    if not msg.refused:
        return ()
    changed = False
    for peer in state.peers.values():
        if peer.member.address == msg.address and not peer.dead:
            changed = True
            peer.alive = False
            peer.dead = True
    return _publish_view(state, now) if changed else ()


def _leave(state, _, now):
    return _update_own_member(
        state, state.own_member._replace(leaving=True), now
    )


def _set_config_version(state, msg, _):
    state.config_version = msg.version
    return ()


def _set_shard(state, msg, now):
    if state.own_member.shard_number == msg.shard_number:
        return ()
    return _update_own_member(
        state, state.own_member._replace(shard_number=msg.shard_number), now
    )


def _update_own_member(state, own_member, now):
    """Tell everybody at once what changed about this instance."""
    state.own_member = own_member
    sends = _publish_view(state, now)
    state.addresses = dict.fromkeys(state.addresses, 0.0)
    return [*sends, *_send_due_heartbeats(state, now)]


def _set_backlog(state, msg, _):
    state.backlog = msg.backlog
    return ()


def _add_remote_planner(state, msg, _):
    until = max(state.remote_planners.get(msg.name, 0.0), msg.until)
    if msg.name not in state.remote_planners:
        state.intervals.clear()
    state.remote_planners[msg.name] = until
    return ()


def _is_discovery_done(state, now):
    """Return whether the members found so far are likely to be all."""
    if state.published is not None:
        return True
    if state.started_at is None or now < state.started_at + DISCOVERY_TIME:
        return False
    quiet = now >= state.last_new_member_at + DISCOVERY_QUIET_TIME
    return quiet or now >= state.started_at + MAX_DISCOVERY_TIME


def _has_quorum(state, now):
    """Return whether this instance may take a free place.

    One that is cut off may hear the silence of the planners before that
    of others; most of those that it would plan for have to be heard.
    """
    planners = {one.name for one in state.planning.planners}
    if (
        state.own_member.shard_number >= 0
        or state.own_member.name not in planners
    ):
        return True
    oldest = now - QUORUM_AGE_FACTOR * _lead_interval(state)
    fresh = sum(
        name in state.domain_members and peer.heard_at >= oldest
        for name, peer in state.peers.items()
    )
    return 2 * (fresh + 1) > len(state.domain_members)


def _publish_view(state, now):
    if not _is_discovery_done(state, now):
        return []
    alive = [one.member for one in state.peers.values() if one.alive]
    missing = [
        one.member
        for one in state.peers.values()
        if not one.alive and not one.dead and not one.member.leaving
    ]
    domain_sizes = collections.Counter(
        one.member.domain for one in state.peers.values()
    )
    domain_sizes[state.own_member.domain] += 1
    view = pool_messages.FleetChanged(
        state.own_member,
        (state.own_member, *sorted(alive, key=lambda one: one.name)),
        tuple(sorted(missing, key=lambda one: one.name)),
        tuple(sorted(domain_sizes.items())),
    )
    _update_planners(state, view)
    view = view._replace(has_quorum=_has_quorum(state, now))
    if view == state.published:
        return []
    state.published = view
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


def _update_planners(state, view):
    """Note who plans for this instance, and who would come next."""
    planning = planner_election.assign_planners(
        view.alive, view.missing, dict(view.domain_sizes)
    )
    domain = state.own_member.domain
    alive = planner_election.members_for_domain(view.alive, domain, planning)
    missing = planner_election.members_for_domain(
        view.missing, domain, planning
    )
    planners = planner_election.members_for_domain(
        planning.planners, domain, planning
    )
    ranked = planner_election.rank_candidates(alive)[
        : len(planners) + SUCCESSOR_COUNT
    ]
    state.planning = planning
    state.lead_members = frozenset(one.name for one in ranked)
    state.domain_members = frozenset(one.name for one in (*alive, *missing))
    state.intervals.clear()


_HANDLERS = {
    messages.TimerFired: _tick,
    pool_messages.AddressesFound: _add_addresses,
    pool_messages.HeartbeatReceived: _handle_heartbeat,
    pool_messages.LinkFailed: _handle_link_failure,
    pool_messages.Leave: _leave,
    pool_messages.ConfigurationInForce: _set_config_version,
    pool_messages.BacklogMeasured: _set_backlog,
    pool_messages.RemotePlannerUsed: _add_remote_planner,
    pool_messages.ShardChanged: _set_shard,
}
