"""When an instance plans, and for which executors.

The most senior members of the fleet plan.  An instance that sees no
more than half of the members it knew may be cut off itself.  It then
claims the executors of its own failure domains, if those of the others
cannot be reached either; otherwise it leaves them alone for a while, as
another planner probably holds them.
"""

from __future__ import annotations

from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import planner_leases
from cardamompathd.controllers import planner_log

__all__ = [
    "PASSIVE_TIME",
    "claim_assigned",
    "handle_probe_answer",
    "is_assigned",
    "is_passive",
    "report_backlog",
    "update_role",
]

QUORUM_TIMEOUT = 0.4
"""Seconds for most of the others to be heard before this instance takes a
free place; they speak to it ten times a second once they see it free."""
DISCOVERY_TIME = 0.5
"""Seconds after its start in which an instance looks for others before
it plans; two tries to open a link, and signs of life on it."""
PASSIVE_TIME = 4.0
"""Seconds for which an instance that is cut off leaves executors alone
that others may hold; twice what it takes others to be replaced."""
PROBE_TIMEOUT = 0.3
"""Seconds for probes of executors to be answered; they time out after
a quarter of a second."""
MAX_PROBES = 3
"""Executors of other failure domains that are probed."""


def update_role(state, started_at, now):
    """Begin or end to plan, as the fleet asks."""
    if state.fleet is None or now < started_at + DISCOVERY_TIME:
        return []
    wanted = state.name in {one.name for one in state.planning.planners}
    careful = state.minority_since is not None
    sends = []
    if not wanted:
        state.no_quorum_since = None
    elif _awaits_quorum(state, now):
        return []
    if wanted and _is_minority(state):
        if state.minority_since is None:
            sends += _enter_minority(state, now)
        wanted = _may_plan_in_minority(state, now)
    else:
        state.minority_since = None
        state.passive_until = 0.0
    if wanted and state.active_since is None:
        return [*sends, *_begin_planning(state, now), *_announce_shard(state)]
    if not wanted and state.active_since is not None:
        return [*sends, *_end_planning(state, now), *_announce_shard(state)]
    if wanted:
        sends += _announce_shard(state)
    if wanted and careful != (state.minority_since is not None):
        sends += claim_assigned(state, now)
    return sends


def _announce_shard(state):
    """Tell the fleet the place at which this instance plans."""
    shard_number = -1
    if state.active_since is not None:
        place = planner_election.shard_of(state.name, state.planning)
        shard_number = place.number if place else 0
    if shard_number == state.announced_shard:
        return []
    state.announced_shard = shard_number
    changed = pool_messages.ShardChanged(shard_number)
    return [messages.Send(pool_messages.FLEET, changed)]


def is_passive(state, now):
    """Return whether this instance leaves all executors alone."""
    return state.active_since is None and now < state.passive_until


def _awaits_quorum(state, now):
    """Return whether to wait for signs of those to be planned for."""
    if state.fleet.has_quorum or state.active_since is not None:
        state.no_quorum_since = None
        return False
    if state.no_quorum_since is None:
        state.no_quorum_since = now
    return now < state.no_quorum_since + QUORUM_TIMEOUT


def _is_minority(state):
    """Return whether this instance may be the one that is cut off."""
    if state.no_quorum_since is not None:
        return True
    domain = state.fleet.own_member.domain
    missing = planner_election.members_for_domain(
        state.fleet.missing, domain, state.planning
    )
    alive = planner_election.members_for_domain(
        state.fleet.alive, domain, state.planning
    )
    return len(missing) >= len(alive)


def _enter_minority(state, now):
    state.minority_since = now
    near = _own_domains(state)
    far = [one for one in state.listed.values() if one.domain not in near]
    fields = {
        "alive": len(state.fleet.alive),
        "missing": len(state.fleet.missing),
        "probes": len(far[:MAX_PROBES]),
    }
    sends = [planner_log.decision("most members are missing", **fields)]
    for spec in far[:MAX_PROBES]:
        probe = pool_messages.ProbeExecutor(spec)
        sends.append(messages.Send(pool_messages.EXECUTORS, probe))
    return sends


def _may_plan_in_minority(state, now):
    if now < state.passive_until:
        return False
    # Who planned before goes on; others first wait for the probes.
    waited = now >= state.minority_since + PROBE_TIMEOUT
    return state.active_since is not None or waited


def handle_probe_answer(state, msg, now):
    """Take in whether an executor of another domain can be reached."""
    if not msg.reached or state.minority_since is None:
        return []
    if state.active_since is not None or now < state.passive_until:
        return []
    state.passive_until = now + PASSIVE_TIME
    return [
        planner_log.decision(
            "cut off from the others",
            executor=msg.executor,
            wait_s=PASSIVE_TIME,
        )
    ]


def _own_domains(state):
    domain = state.fleet.own_member.domain
    alive = planner_election.members_for_domain(
        state.fleet.alive, domain, state.planning
    )
    return {one.domain for one in alive}


def _begin_planning(state, now):
    state.active_since = now
    state.began_at = now
    fields = {
        "listed": len(state.listed),
        "alive": len(state.fleet.alive),
        "missing": len(state.fleet.missing),
    }
    begun = planner_log.decision("began to plan", **fields)
    return [begun, _set_listing_rate(True), *claim_assigned(state, now)]


def _set_listing_rate(planning):
    msg = pool_messages.SetListingRate(planning)
    return messages.Send(pool_messages.LISTINGS, msg)


def _end_planning(state, now):
    state.active_since = None
    sends = [
        planner_leases.disconnect(executor)
        for executor in state.executors.values()
    ]
    state.executors.clear()
    dropped = len(state.plans)
    for plan in state.plans.values():
        if plan.may_have_started:
            state.remember_dropped_batch(plan.name)
    state.plans.clear()
    sends += report_backlog(state, 0.0)
    ended = planner_log.decision("ended to plan", batches=dropped)
    return [*sends, ended, _set_listing_rate(False)]


def report_backlog(state, backlog):
    """Tell the other instances, and the gateway of this one, a backlog."""
    if backlog == state.announced_backlog:
        return []
    state.announced_backlog = backlog
    measured = pool_messages.BacklogMeasured(backlog)
    changed = pool_messages.BacklogChanged(state.name, backlog)
    return [
        messages.Send(pool_messages.FLEET, measured),
        messages.Send(pool_messages.GATEWAY, changed),
    ]


def claim_assigned(state, now):
    """Hold the executors that are this planner's."""
    domains = None
    if state.minority_since is not None:
        domains = _own_domains(state)
    mine = {
        name: spec
        for name, spec in state.listed.items()
        if is_assigned(state, spec)
        and (domains is None or spec.domain in domains)
    }
    return planner_leases.update_listing(state, mine, now)


def is_assigned(state, spec):
    """Return whether this planner is to hold an executor."""
    planner = planner_election.planner_of_executor(
        spec.name, spec.domain, state.planning
    )
    return planner is not None and planner.name == state.name
