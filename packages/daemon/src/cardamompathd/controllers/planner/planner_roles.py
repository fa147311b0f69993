"""Decision when an instance plans, and for which executors.

The members that `planner_election` ranks first plan.  An instance that sees
no more than half of the members it knew may be cut off itself.  It then
claims only the executors of its own failure domains, and only if those of
other domains cannot be reached either.  Otherwise it claims none for a
while, as another planner probably holds them.
"""

from __future__ import annotations

from cardamompath_core import executor_digests
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.planner import planner_ends
from cardamompathd.controllers.planner import planner_forecast
from cardamompathd.controllers.planner import planner_leases
from cardamompathd.controllers.planner import planner_listings
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_readings
from cardamompathd.controllers.planner import planner_shares

__all__ = [
    "PASSIVE_TIME",
    "announce_executors",
    "claim_assigned",
    "handle_probe_answer",
    "idle_members",
    "is_assigned",
    "is_passive",
    "is_undecided",
    "report_backlog",
    "update_role",
]

QUORUM_TIMEOUT = 0.4
"""Seconds for which an instance waits for a quorum before it takes over a free
shard; the others send it ten heartbeats a second once they see it free."""
DISCOVERY_TIME = 0.5
"""Seconds after its start for which an instance looks for others before it
plans: long enough to try twice to open a link, and to get heartbeats."""
PASSIVE_TIME = 4.0
"""Seconds for which an instance that is cut off claims no executors, as others
may hold them; twice the time in which a failed planner is replaced."""
PROBE_TIMEOUT = 0.3
"""Seconds until the results of all probes are known; a probe times out after
0.25 s."""
MAX_PROBES = 3
"""Maximum number of executors of other failure domains that are probed."""


def update_role(state, started_at, now):
    """Begin or stop planning, by the present view of the fleet."""
    if state.fleet is None or now < started_at + DISCOVERY_TIME:
        return []
    should_plan = state.name in {
        member.name for member in state.assignment.planners
    }
    was_minority = state.minority_since is not None
    sends = []
    if not should_plan:
        state.no_quorum_since = None
    elif _awaits_quorum(state, now):
        return []
    if should_plan and _is_minority(state):
        if state.minority_since is None:
            sends += _enter_minority(state, now)
        should_plan = _may_plan_in_minority(state, now)
    else:
        state.minority_since = None
        state.passive_until = 0.0
    if should_plan and state.active_since is None:
        return [*sends, *_begin_planning(state, now), *_announce_shard(state)]
    if not should_plan and state.active_since is not None:
        return [*sends, *_end_planning(state, now), *_announce_shard(state)]
    if should_plan:
        sends += _announce_shard(state)
    if should_plan and was_minority != (state.minority_since is not None):
        sends += claim_assigned(state, now)
    return sends


def _announce_shard(state):
    """Report a change of the shard of this instance to the fleet."""
    shard_number = -1
    if state.active_since is not None:
        shard = planner_election.shard_of(state.name, state.assignment)
        shard_number = shard.number if shard else 0
    if shard_number == state.announced_shard:
        return []
    state.announced_shard = shard_number
    changed = pool_messages.ShardChanged(shard_number)
    return [messages.Send(pool_messages.FLEET, changed)]


def is_passive(state, now):
    """Return whether this instance claims no executors for a while."""
    return state.active_since is None and now < state.passive_until


def is_undecided(state):
    """Return whether it depends on the time if this instance plans.

    It does until its first view of the fleet, and while it waits for a quorum
    or for the results of probes.  Batches that arrived early may also wait
    for its role.
    """
    return (
        state.fleet is None
        or state.no_quorum_since is not None
        or state.minority_since is not None
        or bool(state.early_batches)
        or state.name in {each.name for each in state.assignment.planners}
    )


def _awaits_quorum(state, now):
    """Return whether to wait for heartbeats of most of the members."""
    if state.fleet.has_quorum or state.active_since is not None:
        state.no_quorum_since = None
        return False
    if state.no_quorum_since is None:
        state.no_quorum_since = now
    return now < state.no_quorum_since + QUORUM_TIMEOUT


def _is_minority(state):
    """Return whether this instance may be cut off from most members."""
    if state.no_quorum_since is not None:
        return True
    domain = state.fleet.own_member.domain
    missing = planner_election.members_for_domain(
        state.fleet.missing, domain, state.assignment
    )
    alive = planner_election.members_for_domain(
        state.fleet.alive, domain, state.assignment
    )
    return len(missing) >= len(alive)


def _enter_minority(state, now):
    """Probe some executors of other failure domains."""
    state.minority_since = now
    own_domains = _own_domains(state)
    remote_executors = [
        entry
        for entry in state.listed.values()
        if entry.domain not in own_domains
    ]
    fields = {
        "alive": len(state.fleet.alive),
        "missing": len(state.fleet.missing),
        "probes": len(remote_executors[:MAX_PROBES]),
    }
    sends = [planner_log.decision("most members are missing", **fields)]
    for spec in remote_executors[:MAX_PROBES]:
        probe = pool_messages.ProbeExecutor(spec)
        sends.append(messages.Send(pool_messages.EXECUTORS, probe))
    return sends


def _may_plan_in_minority(state, now):
    """Return whether this instance may plan while it may be cut off."""
    if now < state.passive_until:
        return False
    # A planner goes on; another instance waits for the probes first.
    has_waited = now >= state.minority_since + PROBE_TIMEOUT
    return state.active_since is not None or has_waited


def handle_probe_answer(state, msg, now):
    """Stay passive if an executor of another domain can be reached."""
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
    """Return the failure domains of the live members planned with this one."""
    domain = state.fleet.own_member.domain
    alive = planner_election.members_for_domain(
        state.fleet.alive, domain, state.assignment
    )
    return {member.domain for member in alive}


def _begin_planning(state, now):
    state.active_since = now
    state.began_at = now
    planner_readings.begin(state)
    state.idle_members = idle_members(state.fleet)
    fields = {
        "listed": len(state.listed),
        "alive": len(state.fleet.alive),
        "missing": len(state.fleet.missing),
    }
    decision = planner_log.decision("began to plan", **fields)
    rate = planner_listings.set_rate(True)
    first_question = planner_readings.make_timer(now)
    return [decision, rate, first_question, *claim_assigned(state, now)]


def idle_members(view):
    """Return the names of the members that told that they do not plan."""
    return {member.name for member in view.alive if member.shard_number < 0}


def _end_planning(state, now):
    state.active_since = None
    sends = [
        planner_leases.disconnect(executor)
        for executor in state.executors.values()
    ]
    state.executors.clear()
    state.isolated.clear()
    state.reservations.clear()
    state.reserve_after.clear()
    state.end_forecasts = planner_ends.EndForecasts()
    dropped_count = len(state.plans)
    for plan in state.plans.values():
        if plan.may_have_started:
            state.remember_dropped_batch(plan.name)
    state.plans.clear()
    planner_shares.reset(state)
    planner_forecast.reset(state)
    state.dropped_in_former_terms = set(state.dropped_counts)
    sends += report_backlog(state, 0.0)
    sends += announce_executors(state)
    decision = planner_log.decision("ended to plan", batches=dropped_count)
    return [*sends, decision, planner_listings.set_rate(False)]


def report_backlog(state, backlog):
    """Report a changed backlog to the fleet and to the gateway."""
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
    """Claim the executors that are assigned to this planner."""
    domains = None
    if state.minority_since is not None:
        domains = _own_domains(state)
    assigned = {
        name: spec
        for name, spec in state.listed.items()
        if is_assigned(state, spec)
        and (domains is None or spec.domain in domains)
    }
    sends = planner_leases.update_listing(state, assigned, now)
    return [*announce_executors(state), *sends]


def announce_executors(state):
    """Report a change of the executors that this planner holds.

    The gateways of all instances learn of it.
    """
    digest = executor_digests.UNKNOWN
    if state.active_since is not None:
        digest = executor_digests.digest_of(
            executor.hash for executor in state.executors.values()
        )
    if digest == state.announced_executors or state.fleet is None:
        return []
    state.announced_executors = digest
    started = state.fleet.own_member.started
    held = pool_messages.ExecutorsHeld(state.name, started, digest)
    return [
        messages.Send(pool_messages.FLEET, held),
        messages.Send(pool_messages.GATEWAY, held),
    ]


def is_assigned(state, spec):
    """Return whether an executor is assigned to this planner."""
    planner = planner_election.planner_of_executor(
        spec.name, spec.domain, state.assignment
    )
    return planner is not None and planner.name == state.name
