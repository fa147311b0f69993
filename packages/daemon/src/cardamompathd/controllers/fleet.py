"""Failure detection by heartbeats between the instances of a fleet.

Each instance sends heartbeats to every other one; a heartbeat says when
the next one is due.  Planners and their successors exchange heartbeats
often with the members that send them batches.  Most other intervals are
long and grow with the fleet, so that the cost of heartbeats at one
instance is bounded.  A member whose heartbeat is overdue no longer counts
as alive; one whose port refuses connections is known to be dead.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages

__all__ = [
    "FleetState",
    "Heartbeat",
    "longest_planner_timeout",
    "make_controller",
    "make_view",
]

HEARTBEAT_INTERVAL = 0.1
"""Seconds between heartbeats from and to planners; four may be lost before
`HEARTBEAT_TIMEOUT`."""
HEARTBEAT_TIMEOUT = 0.45
"""Seconds without a heartbeat after which a planner does not count as
alive.  Shorter than the lease of a run, so that a successor can adopt runs
before their leases lapse."""
HEARTBEAT_TIMEOUT_FACTOR = HEARTBEAT_TIMEOUT / HEARTBEAT_INTERVAL
"""Multiple of the announced interval after which a heartbeat is overdue."""
REMOTE_PLANNER_INTERVAL = 0.2
"""Seconds between heartbeats to a planner in another failure domain that has
batches of this instance.  It notices a failure in 0.9 s, before the caller
of the dead instance asks another one."""
REMOTE_DOMAIN_INTERVAL = 0.25
"""Seconds between heartbeats of a planner to other failure domains, and of a
successor to the members of its own."""
BACKGROUND_INTERVAL = 0.5
"""Seconds between all other heartbeats, on which no work depends."""
SMALL_FLEET = 12
"""Number of other members up to which all heartbeats are frequent, so that
an instance that is cut off finds all others overdue at the same time."""
MAX_LEAD_RATE = 200.0
MAX_TO_LEADS_RATE = 25.0
MAX_REMOTE_DOMAIN_RATE = 128.0
MAX_BACKGROUND_RATE = 8.0
"""Maximum heartbeats of each kind that an instance sends per second: of a
planner or successor to the members of its domain, of a member to these,
of a planner to other domains, and all others.  In a large fleet the
intervals are longer instead."""
SUCCESSOR_COUNT = 1
"""Members next in line for a shard that send heartbeats as often as
planners do."""
QUORUM_AGE_FACTOR = 3.5
"""Maximum age of a heartbeat that counts for the quorum of a successor, as
a multiple of the interval of heartbeats to planners."""
FORGET_TIME = 20.0
"""Seconds for which a silent member counts as missing, as it may be behind
a partition."""
MIN_ADDRESS_ROUNDS = 5
"""One in this many rounds of heartbeats lists the addresses of the known
members; fewer do in a large fleet."""
MEMBERS_PER_ADDRESS_ROUND = 8
"""Known members in a large fleet for each round without the addresses, so
that the bytes sent for addresses do not grow with the fleet."""
NEW_MEMBER_TIME = 1.0
"""Seconds after a new member was heard in which every heartbeat to it lists
the addresses.  It then makes itself known to the others."""
DISCOVERY_TIME = 0.2
"""Seconds after the start for which an instance looks for other members
before it publishes its view of the fleet: long enough to open a link and
to get a heartbeat."""
DISCOVERY_QUIET_TIME = 0.25
"""Seconds without a new member after which all are taken to be found; in
this time a planner gets two heartbeats, which list the known members."""
MAX_DISCOVERY_TIME = 2.0
"""Seconds after which the view is published in any case."""
TIMER_TOLERANCE = 0.02
"""Seconds by which a heartbeat may be early.  Timers fire a little late, and
a heartbeat that is almost due must not wait for the next one."""


class Heartbeat(NamedTuple):
    """A heartbeat, as it is sent on a link."""

    member: planner_election.Member
    config_version: int
    known_addresses: tuple[tuple[str, int], ...]
    interval: float = HEARTBEAT_INTERVAL
    """Seconds until the next heartbeat on this link."""
    backlog: float = 0.0
    """Seconds that the executors of the sender need for its waiting tasks."""
    sent_at: float = 0.0
    """When it was sent, in seconds of the sender's clock."""
    planner_until: float = 0.0
    """Until when the sender leaves its batches with the receiver as their
    planner, in seconds of the receiver's clock.  A receiver that reads an old
    heartbeat late can thereby tell."""
    planner_term: int = 0
    """Number of the term that this extends, see `FleetChanged`."""


class _Peer:
    __slots__ = (
        "alive",
        "dead",
        "found_at",
        "heard_at",
        "member",
        "reported_backlog",
        "sent_at",
        "timeout",
    )

    def __init__(self, member, now):
        self.member = member
        self.found_at = now
        self.heard_at = now
        self.alive = True
        self.dead = False
        self.timeout = HEARTBEAT_TIMEOUT
        """Seconds of silence after which it counts as failed."""
        self.sent_at = 0.0
        """When its last heartbeat was sent, in seconds of its clock."""
        self.reported_backlog: float | None = None
        """The backlog that was last reported to the gateway, in seconds."""


class FleetState:
    """Members that were heard, and addresses at which one may listen."""

    def __init__(self, own_member: planner_election.Member):
        self.own_member = own_member
        self.config_version = 0
        self.backlog = 0.0
        self.peers: dict[str, _Peer] = {}
        self.addresses: dict[tuple[str, int], float] = {}
        """When the last heartbeat was sent to each address."""
        self.started_at: float | None = None
        self.last_found_at = 0.0
        """When a member was last heard that is new or was restarted."""
        self.last_new_member_at = 0.0
        """When a new member was last heard."""
        self.published: tuple | None = None
        """The view of the fleet that was last published."""
        self.heartbeat_rounds = 0
        self.assignment = planner_election.PlannerAssignment()
        self.planner_names: frozenset[str] = frozenset()
        self.planner_terms: dict[tuple[str, int], int] = {}
        """Number of the term of each planner, by its name and start time."""
        self.last_term = 0
        self.lead_members: frozenset[str] = frozenset()
        """Names of the planners to which this instance sends its batches
        first, and of their successors."""
        self.domain_members: frozenset[str] = frozenset()
        """Names of the members that these plan for, missing ones
        included."""
        self.intervals: dict[tuple[str, int], float] = {}
        """Seconds between heartbeats to each address; empty if they have to
        be computed again."""
        self.remote_planners: dict[str, float] = {}
        """Planners in other failure domains that have batches of this
        instance, and until when."""


def make_controller(
    own_member: planner_election.Member,
) -> messages.Controller:
    """Make the controller of the fleet; a fired timer starts it."""
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
        silence = now - peer.heard_at
        if silence <= peer.timeout:
            continue
        if peer.alive:
            peer.alive = False
            changed = True
        if silence > max(FORGET_TIME, 2.0 * peer.timeout):
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
    """Send the heartbeats that are due."""
    if not state.intervals:
        state.intervals = {
            peer.member.address: _heartbeat_interval_to(state, peer.member)
            for peer in state.peers.values()
        }
    permissions = _planner_permissions(state)
    new_addresses = _addresses_of_new_members(state, now)
    rounds = max(
        MIN_ADDRESS_ROUNDS, len(state.peers) // MEMBERS_PER_ADDRESS_ROUND
    )
    lists_all = state.heartbeat_rounds % rounds == 0
    state.heartbeat_rounds += 1
    groups = collections.defaultdict(list)
    for address, sent_at in state.addresses.items():
        interval = state.intervals.get(address, HEARTBEAT_INTERVAL)
        if now >= sent_at + interval - TIMER_TOLERANCE:
            state.addresses[address] = now
            permission = permissions.get(address, (0.0, 0))
            lists = lists_all or address in new_addresses
            groups[interval, permission, lists].append(address)
    return [
        _make_heartbeat(state, tuple(group), *key, now)
        for key, group in groups.items()
    ]


def _addresses_of_new_members(state, now):
    """Return the addresses that need to learn those of the others."""
    if now >= state.last_found_at + NEW_MEMBER_TIME:
        return frozenset()
    known = {peer.member.address for peer in state.peers.values()}
    new = {
        peer.member.address
        for peer in state.peers.values()
        if now < peer.found_at + NEW_MEMBER_TIME
    }
    return new | (state.addresses.keys() - known)


def _planner_permissions(state):
    """Return until when batches stay with each planner, and its term.

    The time is that at which this instance takes the planner for failed
    unless it hears of it again, in seconds of the planner's clock.
    """
    permissions = {}
    for planner in state.assignment.planners:
        peer = state.peers.get(planner.name)
        term = state.planner_terms.get((planner.name, planner.started))
        if peer is None or not peer.alive or term is None:
            continue
        if peer.sent_at > 0.0 and peer.member.started == planner.started:
            until = peer.sent_at + peer.timeout
            permissions[peer.member.address] = (until, term)
    return permissions


def longest_planner_timeout(is_remote: bool, members: int) -> float:
    """Return the longest silence after which a planner counts as failed.

    Parameters
    ----------
    is_remote : bool
        Whether it plans for another failure domain.
    members : int
        Number of members of the fleet.

    Returns
    -------
    float
        In seconds; also the time for which a permission that it was given
        lasts at most.
    """
    interval = max(HEARTBEAT_INTERVAL, members / MAX_LEAD_RATE)
    if is_remote:
        interval = max(
            REMOTE_DOMAIN_INTERVAL, members / MAX_REMOTE_DOMAIN_RATE
        )
    return _heartbeat_timeout(interval)


def _heartbeat_timeout(interval):
    """Return the seconds of silence after which a peer counts as failed."""
    return max(HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_FACTOR * interval)


def _heartbeat_interval_to(state, member):
    same_group = not state.assignment.by_domain or (
        member.domain == state.own_member.domain
    )
    is_planner = state.own_member.name in state.planner_names
    if same_group and is_planner:
        return max(
            HEARTBEAT_INTERVAL, len(state.domain_members) / MAX_LEAD_RATE
        )
    if same_group and member.name in state.lead_members:
        return _lead_interval(state)
    if member.name in state.remote_planners:
        return REMOTE_PLANNER_INTERVAL
    count = len(state.peers)
    if count <= SMALL_FLEET:
        return HEARTBEAT_INTERVAL
    is_successor = state.own_member.name in state.lead_members
    if is_planner or (same_group and is_successor):
        return max(REMOTE_DOMAIN_INTERVAL, count / MAX_REMOTE_DOMAIN_RATE)
    return max(BACKGROUND_INTERVAL, count / MAX_BACKGROUND_RATE)


def _lead_interval(state):
    return max(HEARTBEAT_INTERVAL, len(state.lead_members) / MAX_TO_LEADS_RATE)


def _make_heartbeat(
    state, addresses, interval, permission, lists_addresses, now
):
    known_addresses: tuple[tuple[str, int], ...] = ()
    if lists_addresses:
        known_addresses = tuple(
            peer.member.address for peer in state.peers.values() if peer.alive
        )
    heartbeat = Heartbeat(
        state.own_member,
        state.config_version,
        known_addresses,
        interval,
        state.backlog,
        now if state.own_member.shard_number >= 0 else 0.0,
        *permission,
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
        state.last_found_at = now
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
    peer.timeout = _heartbeat_timeout(msg.interval)
    peer.sent_at = msg.sent_at
    sends = []
    if msg.planner_until > now:
        permitted = pool_messages.PlanningPermitted(
            member.name, member.started, msg.planner_term, msg.planner_until
        )
        sends.append(messages.Send(pool_messages.PLANNER, permitted))
    if peer.reported_backlog != msg.backlog:
        peer.reported_backlog = msg.backlog
        report = pool_messages.BacklogChanged(member.name, msg.backlog)
        sends.append(messages.Send(pool_messages.GATEWAY, report))
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
    """Publish a change of this instance to every member at once."""
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
    """Return whether all members have probably been found."""
    if state.published is not None:
        return True
    if state.started_at is None or now < state.started_at + DISCOVERY_TIME:
        return False
    is_quiet = now >= state.last_new_member_at + DISCOVERY_QUIET_TIME
    return is_quiet or now >= state.started_at + MAX_DISCOVERY_TIME


def _has_quorum(state, now):
    """Return whether this instance may take over a free shard.

    For an instance that is cut off, the heartbeats of the planners may be
    overdue before those of other members.  Therefore it must have heard
    most of the members lately that it would plan for.
    """
    if (
        state.own_member.shard_number >= 0
        or state.own_member.name not in state.planner_names
    ):
        return True
    heard_since = now - QUORUM_AGE_FACTOR * _lead_interval(state)
    heard = sum(
        name in state.domain_members and peer.heard_at >= heard_since
        for name, peer in state.peers.items()
    )
    return 2 * (heard + 1) > len(state.domain_members)


def _publish_view(state, now):
    if not _is_discovery_done(state, now):
        return []
    alive = [peer.member for peer in state.peers.values() if peer.alive]
    missing = [
        peer.member
        for peer in state.peers.values()
        if not peer.alive and not peer.dead and not peer.member.leaving
    ]
    domain_sizes = collections.Counter(
        peer.member.domain for peer in state.peers.values()
    )
    domain_sizes[state.own_member.domain] += 1
    view = make_view(
        state.own_member,
        (state.own_member, *sorted(alive, key=lambda member: member.name)),
        tuple(sorted(missing, key=lambda member: member.name)),
        domain_sizes,
    )
    _update_planners(state, view)
    view = view._replace(
        has_quorum=_has_quorum(state, now),
        planner_terms=tuple(sorted(state.planner_terms.items())),
    )
    if view == state.published:
        return []
    decision = _log_changes(state.published, view)
    state.published = view
    return [
        messages.Send(pool_messages.GATEWAY, view),
        messages.Send(pool_messages.PLANNER, view),
        messages.Send(pool_messages.DECISION_LOG, decision),
    ]


def make_view(
    own_member: planner_election.Member,
    alive: Sequence[planner_election.Member],
    missing: Sequence[planner_election.Member] = (),
    domain_sizes: Mapping[str, int] | None = None,
    has_quorum: bool = True,
) -> pool_messages.FleetChanged:
    """Make a view of the fleet, with the planners that follow from it.

    Parameters
    ----------
    own_member : Member
        This instance.
    alive, missing : sequence of Member
        Members that count as alive, and those that fell silent.
    domain_sizes : mapping, optional
        Number of members of each failure domain that were heard lately, those
        that died since included.
    has_quorum : bool
        See `FleetChanged`.
    """
    assignment = planner_election.assign_planners(alive, missing, domain_sizes)
    return pool_messages.FleetChanged(
        own_member, tuple(alive), tuple(missing), assignment, has_quorum
    )


def _log_changes(before, view):
    """Return the line that tells what is new in a view.

    A line with every member would be as long as the fleet is large.
    """
    fields = {"alive": len(view.alive), "confirmed": view.has_quorum}
    for name, select in _VIEW_PARTS.items():
        names = select(view)
        earlier = select(before) if before else frozenset()
        if names != earlier:
            fields[f"{name}_added"] = sorted(names - earlier)
            fields[f"{name}_removed"] = sorted(earlier - names)
    return pool_messages.Decision("fleet", "members changed", "", fields)


def _names(members):
    return frozenset(member.name for member in members)


_VIEW_PARTS = {
    "members": lambda view: _names(view.alive),
    "missing": lambda view: _names(view.missing),
    "leaving": lambda view: _names(
        member for member in view.alive if member.leaving
    ),
    "planners": lambda view: _names(view.assignment.planners),
}


def _update_planners(state, view):
    """Update who plans for this instance, and who are the successors."""
    assignment = view.assignment
    domain = state.own_member.domain
    alive = planner_election.members_for_domain(view.alive, domain, assignment)
    missing = planner_election.members_for_domain(
        view.missing, domain, assignment
    )
    planners = planner_election.members_for_domain(
        assignment.planners, domain, assignment
    )
    ranked = planner_election.rank_candidates(alive)[
        : len(planners) + SUCCESSOR_COUNT
    ]
    state.assignment = assignment
    state.planner_names = _names(assignment.planners)
    state.planner_terms = _update_terms(state, assignment.planners)
    state.lead_members = frozenset(member.name for member in ranked)
    state.domain_members = frozenset(
        member.name for member in (*alive, *missing)
    )
    state.intervals.clear()


def _update_terms(state, planners):
    """Return the term of each planner; one that was lost begins a new one."""
    terms = {}
    for planner in planners:
        key = (planner.name, planner.started)
        if key not in state.planner_terms:
            state.last_term += 1
        terms[key] = state.planner_terms.get(key, state.last_term)
    return terms


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
