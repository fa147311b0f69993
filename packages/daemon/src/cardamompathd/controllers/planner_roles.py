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
    "CAUTION",
    "assign",
    "change",
    "is_mine",
    "is_passive",
    "probed",
    "tell_backlog",
]

CONFIRM_TIME = 0.4
"""Seconds for most of the others to be heard before this instance takes a
free place; they speak to it ten times a second once they see it free."""
SETTLE = 0.5
"""Seconds after its start in which an instance looks for others before
it plans; two tries to open a link, and signs of life on it."""
CAUTION = 4.0
"""Seconds for which an instance that is cut off leaves executors alone
that others may hold; twice what it takes others to be replaced."""
PROBE_TIME = 0.3
"""Seconds for probes of executors to be answered; they time out after
a quarter of a second."""
PROBES = 3
"""Executors of other failure domains that are probed."""


def change(state, started_at, now):
    """Begin or end to plan, as the fleet asks."""
    if state.fleet is None or now < started_at + SETTLE:
        return []
    wanted = state.own in {one.name for one in state.planning.planners}
    careful = state.minority_since is not None
    sends = []
    if not wanted:
        state.unconfirmed_since = None
    elif _is_unconfirmed(state, now):
        return []
    if wanted and _is_minority(state):
        if state.minority_since is None:
            sends += _begin_caution(state, now)
        wanted = _may_act(state, now)
    else:
        state.minority_since = None
        state.passive_until = 0.0
    if wanted and state.active_since is None:
        return [*sends, *_begin(state, now), *_take_place(state)]
    if not wanted and state.active_since is not None:
        return [*sends, *_end(state, now), *_take_place(state)]
    if wanted:
        sends += _take_place(state)
    if wanted and careful != (state.minority_since is not None):
        sends += assign(state, now)
    return sends


def _take_place(state):
    """Tell the fleet the place at which this instance plans."""
    slot = -1
    if state.active_since is not None:
        place = planner_election.place_of(state.own, state.planning)
        slot = place.slot if place else 0
    if slot == state.slot:
        return []
    state.slot = slot
    taken = pool_messages.SlotChanged(slot)
    return [messages.Send(pool_messages.FLEET, taken)]


def is_passive(state, now):
    """Return whether this instance leaves all executors alone."""
    return state.active_since is None and now < state.passive_until


def _is_unconfirmed(state, now):
    """Return whether to wait for signs of those to be planned for."""
    if state.fleet.has_quorum or state.active_since is not None:
        state.unconfirmed_since = None
        return False
    if state.unconfirmed_since is None:
        state.unconfirmed_since = now
    return now < state.unconfirmed_since + CONFIRM_TIME


def _is_minority(state):
    """Return whether this instance may be the one that is cut off."""
    if state.unconfirmed_since is not None:
        return True
    domain = state.fleet.own.domain
    missing = planner_election.near(
        state.fleet.missing, domain, state.planning
    )
    alive = planner_election.near(state.fleet.alive, domain, state.planning)
    return len(missing) >= len(alive)


def _begin_caution(state, now):
    state.minority_since = now
    near = _own_domains(state)
    far = [one for one in state.listed.values() if one.domain not in near]
    fields = {
        "alive": len(state.fleet.alive),
        "missing": len(state.fleet.missing),
        "probes": len(far[:PROBES]),
    }
    sends = [planner_log.note("most members are missing", **fields)]
    for spec in far[:PROBES]:
        probe = pool_messages.ProbeExecutor(spec)
        sends.append(messages.Send(pool_messages.EXECUTORS, probe))
    return sends


def _may_act(state, now):
    if now < state.passive_until:
        return False
    # Who planned before goes on; others first wait for the probes.
    waited = now >= state.minority_since + PROBE_TIME
    return state.active_since is not None or waited


def probed(state, msg, now):
    """Take in whether an executor of another domain can be reached."""
    if not msg.reached or state.minority_since is None:
        return []
    if state.active_since is not None or now < state.passive_until:
        return []
    state.passive_until = now + CAUTION
    return [
        planner_log.note(
            "cut off from the others", executor=msg.executor, wait_s=CAUTION
        )
    ]


def _own_domains(state):
    domain = state.fleet.own.domain
    alive = planner_election.near(state.fleet.alive, domain, state.planning)
    return {one.domain for one in alive}


def _begin(state, now):
    state.active_since = now
    state.began = now
    fields = {
        "listed": len(state.listed),
        "alive": len(state.fleet.alive),
        "missing": len(state.fleet.missing),
    }
    begun = planner_log.note("began to plan", **fields)
    return [begun, _follow(True), *assign(state, now)]


def _follow(planning):
    msg = pool_messages.SetListingRate(planning)
    return messages.Send(pool_messages.LISTINGS, msg)


def _end(state, now):
    state.active_since = None
    sends = [planner_leases.forget(held) for held in state.held.values()]
    state.held.clear()
    dropped = len(state.plans)
    for plan in state.plans.values():
        if plan.started:
            state.remember_dropped(plan.name)
    state.plans.clear()
    sends += tell_backlog(state, 0.0)
    ended = planner_log.note("ended to plan", batches=dropped)
    return [*sends, ended, _follow(False)]


def tell_backlog(state, backlog):
    """Tell the other instances, and the gateway of this one, a backlog."""
    if backlog == state.backlog:
        return []
    state.backlog = backlog
    measured = pool_messages.BacklogMeasured(backlog)
    own = pool_messages.BacklogChanged(state.own, backlog)
    return [
        messages.Send(pool_messages.FLEET, measured),
        messages.Send(pool_messages.GATEWAY, own),
    ]


def assign(state, now):
    """Hold the executors that are this planner's."""
    domains = None
    if state.minority_since is not None:
        domains = _own_domains(state)
    mine = {
        name: spec
        for name, spec in state.listed.items()
        if is_mine(state, spec) and (domains is None or spec.domain in domains)
    }
    return planner_leases.update_listing(state, mine, now)


def is_mine(state, spec):
    """Return whether this planner is to hold an executor."""
    planner = planner_election.planner_of_executor(
        spec.name, spec.domain, state.planning
    )
    return planner is not None and planner.name == state.own
