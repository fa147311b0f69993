"""Failure detection by heartbeats between the instances of a fleet.

Each instance sends heartbeats to every other one; a heartbeat says when
the next one is due.  A member whose heartbeat is overdue no longer counts
as alive; one whose port refuses connections is known to be dead.
"""

from __future__ import annotations

import collections
import math

from cardamompath_core import evacuation
from cardamompath_core import planner_election
from cardamompath_core import room_reports
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_rates
from cardamompathd.controllers.fleet import fleet_state
from cardamompathd.controllers.fleet import fleet_views

__all__ = [
    "make_controller",
]

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
MAX_FORMER_STARTS = 16
"""Former processes of a member that are remembered."""
TIMER_TOLERANCE = 0.02
"""Seconds by which a heartbeat may be early.  Timers fire a little late, and
a heartbeat that is almost due must not wait for the next one."""


def make_controller(
    own_member: planner_election.Member,
    known_evacuation: evacuation.Evacuation = evacuation.OFF,
) -> messages.Controller:
    """Make the controller of the fleet; a fired timer starts it."""
    state = fleet_state.FleetState(own_member, known_evacuation)

    def receive(msg, now):
        handler = _HANDLERS.get(type(msg))
        return handler(state, msg, now) if handler else ()

    return messages.Controller(pool_messages.FLEET, receive)


def _tick(state, _, now):
    due = messages.SetTimer(
        now + fleet_state.HEARTBEAT_INTERVAL, pool_messages.FLEET, "heartbeat"
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
            state.room_sent_at.pop(peer.member.address, None)
            link = pool_messages.SetLink(peer.member.address, False)
            sends.append(messages.Send(pool_messages.LINKS, link))
            changed = True
    for name, until in list(state.remote_peers.items()):
        if now > until:
            del state.remote_peers[name]
            state.intervals.clear()
    changed |= state.published is not None and (
        fleet_views.has_quorum(state, now) != state.published.has_quorum
    )
    sends += _send_due_heartbeats(state, now)
    return sends + (fleet_views.publish(state, now) if changed else [])


def _send_due_heartbeats(state, now):
    """Send the heartbeats that are due."""
    if not state.intervals:
        state.intervals = {
            peer.member.address: fleet_rates.interval_to(state, peer.member)
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
        interval = state.intervals.get(address, fleet_state.HEARTBEAT_INTERVAL)
        if now >= sent_at + interval - TIMER_TOLERANCE:
            state.addresses[address] = now
            permission = permissions.get(address, ())
            lists = lists_all or address in new_addresses
            has_room = _is_room_due(state, address, now)
            groups[interval, permission, lists, has_room].append(address)
    return [
        _make_heartbeat(state, tuple(group), *key, now)
        for key, group in groups.items()
    ]


def _is_room_due(state, address, now):
    """Return whether a heartbeat to an address carries a report.

    One that was made long ago, as before a pause, is not sent.
    """
    if state.room is None or (
        now > state.room.made_at + room_reports.STALE_TIME
    ):
        return False
    sent_at = state.room_sent_at.get(address, -math.inf)
    if now < sent_at + fleet_rates.ROOM_INTERVAL - TIMER_TOLERANCE:
        return False
    state.room_sent_at[address] = now
    return True


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
    """Return until when batches stay with each planner, and on what ground.

    Each permission has the time at which this instance takes the planner for
    failed unless it hears of it again, the term, when the callers of the
    batches were seen, the time of the planner's last heartbeat, and the number
    of the last hand-over.  As long as the planner has not acknowledged a drop,
    the callers count as seen before that.  Times are in seconds of the
    planner's clock.
    """
    seen_at, handover = state.batches_confirmed
    permissions = {}
    for planner in state.assignment.planners:
        peer = state.peers.get(planner.name)
        term = state.planner_terms.get((planner.name, planner.started))
        if peer is None or not peer.alive or term is None:
            continue
        if peer.sent_at > 0.0 and peer.member.started == planner.started:
            until = peer.sent_at + peer.timeout
            confirmed_at = min(
                state.drops_pending.get(planner.name, peer.sent_at),
                peer.sent_at + seen_at - peer.heard_at,
            )
            permissions[peer.member.address] = (
                until,
                term,
                max(0.0, confirmed_at),
                peer.sent_at,
                handover,
            )
    return permissions


def _make_heartbeat(
    state, addresses, interval, permission, lists_addresses, has_room, now
):
    known_addresses: tuple[tuple[str, int], ...] = ()
    if lists_addresses:
        known_addresses = tuple(
            peer.member.address for peer in state.peers.values() if peer.alive
        )
    heartbeat = fleet_state.Heartbeat(
        state.own_member,
        state.config_version,
        known_addresses,
        interval,
        state.backlog,
        now if state.own_member.shard_number >= 0 else 0.0,
        *permission,
    )._replace(
        executors_digest=state.executors_digest,
        evacuation_offset=state.evacuation.offset,
        evacuation_digest=state.evacuation_digest,
        store_state=state.store_state,
        room=state.room if has_room else None,
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
    peer = _find_peer(state, msg, now)
    if peer is None:
        return ()
    changed = not peer.alive or peer.member != member
    peer.member = member
    peer.heard_at = now
    peer.alive = True
    peer.dead = False
    peer.timeout = fleet_rates.timeout_of(msg.interval)
    peer.sent_at = msg.sent_at
    sends = _report_planner(peer, msg, now)
    if changed or msg.known_addresses:
        found = pool_messages.AddressesFound(
            (member.address, *msg.known_addresses), member.name
        )
        sends += _add_addresses(state, found, now)
    if msg.config_version < state.config_version:
        offer = pool_messages.OfferConfiguration(member.address)
        sends.append(messages.Send(pool_messages.GATEWAY, offer))
    if evacuation.is_behind(
        msg.evacuation_offset, msg.evacuation_digest, state.evacuation
    ):
        offer = pool_messages.OfferEvacuation(member.address)
        sends.append(messages.Send(pool_messages.GATEWAY, offer))
    if changed:
        sends += fleet_views.publish(state, now)
    sends += _report_room(state, msg)
    return sends + _report_executors(peer, msg) + _report_store(peer, msg)


def _find_peer(state, msg, now):
    """Return the member that sent a heartbeat, None if it does not count."""
    member = msg.member
    peer = state.peers.get(member.name)
    if peer is None or _is_successor(peer, member):
        state.last_found_at = now
        if peer is None:
            state.last_new_member_at = now
        successor = state.peers[member.name] = fleet_state.Peer(member, now)
        successor.alive = False
        if peer is not None:
            former = [*peer.former_starts, peer.member.started]
            successor.former_starts = tuple(former[-MAX_FORMER_STARTS:])
        return successor
    if peer.member.started != member.started:
        return None
    if 0.0 < msg.sent_at < peer.sent_at:
        # It was on its way on a link that has been opened again since.
        return None
    return peer


def _report_planner(peer, msg, now):
    """Tell what a heartbeat says of the planners at both ends."""
    member = msg.member
    sends = []
    if msg.sent_at > 0.0:
        heard = pool_messages.PlannerHeard(
            member.name, member.started, msg.sent_at
        )
        sends.append(messages.Send(pool_messages.GATEWAY, heard))
    if msg.planner_until > now:
        permitted = pool_messages.PlanningPermitted(
            member.name,
            member.started,
            msg.planner_term,
            msg.planner_until,
            msg.planner_confirmed_at,
            msg.planner_heard_at,
            msg.planner_handover,
        )
        sends.append(messages.Send(pool_messages.PLANNER, permitted))
    if peer.reported_backlog != msg.backlog:
        peer.reported_backlog = msg.backlog
        report = pool_messages.BacklogChanged(member.name, msg.backlog)
        sends.append(messages.Send(pool_messages.GATEWAY, report))
    return sends


def _report_room(state, msg):
    """Tell what a heartbeat says of the capacity of a planner."""
    if msg.room is None and not msg.room_fault:
        return []
    reported = pool_messages.RoomReported(
        msg.member.name,
        msg.member.started,
        msg.sent_at,
        msg.room,
        msg.room_fault,
    )
    sends = [messages.Send(pool_messages.GATEWAY, reported)]
    if state.room is not None and msg.room is not None:
        sends.append(messages.Send(pool_messages.PLANNER, reported))
    return sends


def _is_successor(peer, member):
    """Return whether a heartbeat is of a later process of a member.

    The time of day may have gone back meanwhile.  Then the known process has
    to be silent, and a late heartbeat of one before it does not count.
    """
    if member.started == peer.member.started:
        return False
    if member.started in peer.former_starts:
        return False
    return member.started > peer.member.started or not peer.alive


def _report_executors(peer, msg):
    """Tell the gateway which executors a planner holds, if that changed.

    A planner that ends is handed no more batches before what it held is
    forgotten.
    """
    if peer.executors_digest == msg.executors_digest:
        return []
    peer.executors_digest = msg.executors_digest
    held = pool_messages.ExecutorsHeld(
        peer.member.name, peer.member.started, msg.executors_digest
    )
    return [messages.Send(pool_messages.GATEWAY, held)]


def _report_store(peer, msg):
    """Tell the planner whether a member can read the store, if it changed."""
    if peer.store_state == msg.store_state:
        return []
    peer.store_state = msg.store_state
    changed = pool_messages.StoreStateChanged(
        peer.member.name, peer.member.started, msg.store_state
    )
    return [messages.Send(pool_messages.PLANNER, changed)]


def _handle_link_failure(state, msg, now):
    if not msg.refused:
        return ()
    changed = False
    for peer in state.peers.values():
        if peer.member.address == msg.address and not peer.dead:
            changed = True
            peer.alive = False
            peer.dead = True
    return fleet_views.publish(state, now) if changed else ()


def _leave(state, _, now):
    leaving = state.own_member._replace(leaving=True)
    if leaving.shard_number < 0:
        return _update_own_member(state, leaving, now)
    # The planner learns of it first.  As it ends, both changes are sent at
    # once, so that its successor need not wait for what it may still do.
    state.own_member = leaving
    return fleet_views.publish(state, now)


def _set_config_version(state, msg, _):
    state.config_version = msg.version
    return ()


def _set_evacuation(state, msg, _):
    state.evacuation = msg.evacuation
    state.evacuation_digest = evacuation.digest_of(msg.evacuation)
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
    sends = fleet_views.publish(state, now)
    state.addresses = dict.fromkeys(state.addresses, 0.0)
    return [*sends, *_send_due_heartbeats(state, now)]


def _set_backlog(state, msg, _):
    state.backlog = msg.backlog
    return ()


def _set_executors(state, msg, _):
    state.executors_digest = msg.digest
    return ()


def _set_store_state(state, msg, _):
    state.store_state = msg.state
    return ()


def _set_room(state, msg, _):
    state.room = msg.report
    return ()


def _confirm_batches(state, msg, _):
    state.batches_confirmed = msg
    return ()


def _note_pending_drops(state, msg, _):
    if not msg.pending:
        state.drops_pending.pop(msg.planner, None)
    elif msg.planner not in state.drops_pending:
        peer = state.peers.get(msg.planner)
        state.drops_pending[msg.planner] = peer.sent_at if peer else 0.0
    return ()


def _add_remote_peer(state, msg, _):
    until = max(state.remote_peers.get(msg.name, 0.0), msg.until)
    if msg.name not in state.remote_peers:
        state.intervals.clear()
    state.remote_peers[msg.name] = until
    return ()


_HANDLERS = {
    messages.TimerFired: _tick,
    pool_messages.AddressesFound: _add_addresses,
    pool_messages.HeartbeatReceived: _handle_heartbeat,
    pool_messages.LinkFailed: _handle_link_failure,
    pool_messages.Leave: _leave,
    pool_messages.ConfigurationInForce: _set_config_version,
    pool_messages.EvacuationInForce: _set_evacuation,
    pool_messages.BacklogMeasured: _set_backlog,
    pool_messages.ExecutorsHeld: _set_executors,
    pool_messages.RoomMeasured: _set_room,
    pool_messages.BatchesConfirmed: _confirm_batches,
    pool_messages.DropsPending: _note_pending_drops,
    pool_messages.RemotePeerUsed: _add_remote_peer,
    pool_messages.ShardChanged: _set_shard,
    pool_messages.StoreStateChanged: _set_store_state,
}
