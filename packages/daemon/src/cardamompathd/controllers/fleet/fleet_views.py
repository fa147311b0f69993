"""Views of the fleet: who is alive and who plans, by what was heard."""

from __future__ import annotations

import collections
from collections.abc import Mapping
from collections.abc import Sequence

from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_rates
from cardamompathd.controllers.fleet import fleet_state

__all__ = [
    "has_quorum",
    "make_view",
    "publish",
]

SUCCESSOR_COUNT = 1
"""Members next in line for a shard that send heartbeats as often as
planners do."""
QUORUM_AGE_FACTOR = 3.5
"""Maximum age of a heartbeat that counts for the quorum of a successor, as
a multiple of the interval of heartbeats to planners."""
DISCOVERY_TIME = 0.2
"""Seconds after the start for which an instance looks for other members
before it publishes its view of the fleet: long enough to open a link and
to get a heartbeat."""
DISCOVERY_QUIET_TIME = 0.25
"""Seconds without a new member after which all are taken to be found; in
this time a planner gets two heartbeats, which list the known members."""
MAX_DISCOVERY_TIME = 2.0
"""Seconds after which the view is published in any case."""


def _is_discovery_done(state, now):
    """Return whether all members have probably been found."""
    if state.published is not None:
        return True
    if state.started_at is None or now < state.started_at + DISCOVERY_TIME:
        return False
    is_quiet = now >= state.last_new_member_at + DISCOVERY_QUIET_TIME
    return is_quiet or now >= state.started_at + MAX_DISCOVERY_TIME


def has_quorum(state: fleet_state.FleetState, now: float) -> bool:
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
    heard_since = now - QUORUM_AGE_FACTOR * fleet_rates.lead_interval(state)
    heard = sum(
        name in state.domain_members and peer.heard_at >= heard_since
        for name, peer in state.peers.items()
    )
    return 2 * (heard + 1) > len(state.domain_members)


def publish(state: fleet_state.FleetState, now: float) -> list[messages.Send]:
    """Send the present view to the gateway and the planner, if it is new."""
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
        has_quorum=has_quorum(state, now),
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
