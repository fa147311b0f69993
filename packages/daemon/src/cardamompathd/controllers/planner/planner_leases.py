"""Claims on executors, leases of their runs, and changes of the listing.

A planner claims an executor by a ``hold`` request with its fencing token.
Later holds renew the leases of the runs there, and are answered as soon as
a run ends.
"""

from __future__ import annotations

import math

from cardamompath_core import executor_digests
from cardamompath_core import executors
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.planner import planner_crashes
from cardamompathd.controllers.planner import planner_executors
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_permissions
from cardamompathd.controllers.planner import planner_restarts
from cardamompathd.controllers.planner import planner_runs

__all__ = [
    "all_claimed",
    "check_leases",
    "claim",
    "disconnect",
    "former_executors",
    "handle_hold_answer",
    "handle_hold_failure",
    "update_listing",
]

HOLD_POLL_TIME = 0.4
"""Seconds after which an executor answers a hold if no run ends.  After a lost
answer there is still time for another hold within a lease."""
HOLD_RETRY_DELAY = 0.1
"""Seconds after a failed hold until the next one."""
FENCE_RETRY_DELAY = 0.3
"""Seconds until a fenced planner claims again, longer by as much after each
further fence.  After a partition heals, it sees the whole fleet again within
that time and learns whether it still plans."""
MAX_FENCE_RETRY_DELAY = 2.0
"""Maximum number of seconds until a fenced planner claims again."""
FENCED_PASSIVE_TIME = 5.0
"""Seconds for which a planner claims nothing after it was fenced while cut off
from most members."""
MAX_TOKEN_DOUBLINGS = 12
"""Maximum number of doublings of `MIN_TOKEN_STEP`; clocks that are an hour
apart are caught up with."""
MIN_TOKEN_STEP = 1_000_000
"""Minimum increase of the token after a fence: one second of the clock from
which tokens are made.  It doubles with each further fence, as the clocks of
instances may differ."""
ORPHAN_GRACE = 0.3
"""Seconds for which a run of an unknown batch may go on; instances hand over
their batches to a new planner within that time.  A planner that is cut off
from most members stops such runs at once: the other side soon counts them as
lapsed, but holds for runs adopted here would renew their leases."""
LISTED_WITHIN = 1.0
"""Seconds after its start within which an executor lists a run."""


def claim(state, executor, now):
    """Claim an executor with its present token; return the messages."""
    executor.claimed = False
    return _hold(state, executor, 0.0, now)


def _hold(state, executor, wait, now):
    """Send a hold; renew the leases if the executor has answered before."""
    executor.hold_pending = True
    executor.hold_sent_at = now
    expires = None
    # The leases of an executor that does not answer are not renewed.
    # Otherwise it could never be known that they have lapsed.
    if executor.claimed and not executor.suspect and executor.runs:
        lease = planner_permissions.renewal_time(state, executor, now)
        if lease > 0.0:
            expires = executor.executor_clock(now) + lease
            planner_runs.record_lease(executor, expires, now)
    hold = pool_messages.HoldExecutor(
        executor.spec, executor.token, executor.acknowledged, expires, wait
    )
    return [messages.Send(pool_messages.EXECUTORS, hold)]


def handle_hold_answer(state, msg, now):
    """Process the runs and the ended runs that an executor reports."""
    executor = state.executors.get(msg.executor)
    if executor is None or msg.token != executor.token:
        return []
    sends = []
    executor.hold_pending = False
    if msg.incarnation and executor.spec.incarnation != msg.incarnation:
        sends += planner_restarts.handle_unlisted(
            state, executor, msg.incarnation, now
        )
        return sends + _hold(state, executor, 0.0, now)
    planner_crashes.record_answer(state, executor)
    if not executor.claimed or executor.suspect:
        sends.append(
            planner_log.decision(
                "executor held",
                executor=msg.executor,
                token=executor.token,
                running=len(msg.running),
                ended=len(msg.ended),
            )
        )
    if (
        executor.restarted
        or executor.fence_count > 0
        or executor.confirmed_at == -math.inf
    ):
        # Leases that others gave, or late starts to a new process.
        executor.lease_end = max(
            executor.lease_end, msg.clock + planner_runs.LEASE
        )
    executor.claimed = True
    executor.fence_count = 0
    executor.restarted = False
    executor.confirmed_at = executor.hold_sent_at
    executor.answered_at = now
    executor.clock = msg.clock
    executor.clock_read_at = now
    for ended in msg.ended:
        if ended.number > executor.acknowledged:
            executor.acknowledged = ended.number
            sends += planner_runs.handle_run_end(state, executor, ended, now)
    sends += _reconcile_runs(state, executor, msg.running, now)
    executor.suspect = False
    executor.aborted = False
    if state.active_since is None or (
        executor.unregistered and not executor.runs
    ):
        return sends
    return sends + _hold(state, executor, HOLD_POLL_TIME, now)


def _reconcile_runs(state, executor, running, now):
    """Compare the runs that an executor lists with those tracked for it."""
    sends = []
    listed = set(running)
    for run, (plan, task) in list(executor.runs.items()):
        if run in listed:
            if task.status in ("sent", "unknown") and task.run == run:
                task.status = "running"
            if state.plans.get(plan.name) is not plan:
                # The stop may have been lost.
                sends += planner_runs.send_stop(executor, run)
            continue
        if _is_surely_absent(executor, task, run):
            planner_runs.release_run(executor, run)
            sends.append(
                planner_log.decision(
                    "run is not there",
                    plan.name,
                    executor=executor.spec.name,
                    status=task.status,
                    age_ms=round((now - task.started_at) * 1000.0),
                )
            )
            if task.run == run and state.plans.get(plan.name) is plan:
                planner_runs.requeue_task(plan, task)
    return sends + _handle_unknown_runs(state, executor, listed, now)


def _is_surely_absent(executor, task, run):
    """Return whether a run that was not listed cannot be running."""
    if task.run != run:
        return True
    if task.status != "running" and task.token < executor.token:
        # The executor refuses the start from now on.
        return True
    if task.status == "running":
        return executor.hold_sent_at > task.started_at + LISTED_WITHIN
    return executor.hold_sent_at > task.start_deadline + LISTED_WITHIN


def _handle_unknown_runs(state, executor, listed, now):
    """Adopt listed runs that are not tracked, or stop them."""
    sends = []
    for run in list(executor.orphans):
        if run not in listed:
            del executor.orphans[run]
    for run in listed:
        if run in executor.runs:
            continue
        plan = state.plans.get(run.batch)
        task = plan.find_task(run.step, run.index) if plan else None
        if task is not None and task.status == "waiting":
            executor.orphans.pop(run, None)
            planner_runs.adopt_run(executor, plan, task, run, now)
            sends.append(
                planner_log.decision(
                    "run adopted", plan.name, executor=executor.spec.name
                )
            )
            continue
        first_seen_at = executor.orphans.setdefault(run, now)
        cut_off = state.minority_since is not None
        if task is not None or cut_off or now - first_seen_at > ORPHAN_GRACE:
            sends.append(
                planner_log.decision(
                    "stray run stopped",
                    run.batch,
                    executor=executor.spec.name,
                    age_ms=round((now - first_seen_at) * 1000.0),
                )
            )
            sends += planner_runs.send_stop(executor, run)
    return sends


def handle_hold_failure(state, msg, now):
    """Process the failure of a hold: a fence, a restart or no answer."""
    executor = state.executors.get(msg.executor)
    if executor is None or msg.token != executor.token:
        return []
    executor.hold_pending = False
    if msg.fenced:
        return _handle_fence(state, executor, now)
    sends = []
    if msg.restarted and (executor.runs or executor.spec.incarnation):
        sends += planner_runs.lose_runs(
            state, executor, "it was restarted", now
        )
        sends += planner_restarts.handle_unlisted(state, executor, 0, now)
    if not executor.suspect:
        sends.append(
            planner_log.decision(
                "executor does not answer",
                executor=msg.executor,
                detail=msg.detail,
                runs=len(executor.runs),
                heard_ms=round((now - executor.answered_at) * 1000.0),
            )
        )
    # It may have been restarted.  The first hold that it answers has to fence
    # off what was sent before.
    planner_runs.doubt_claim(state, executor, now)
    executor.aborted = msg.aborted
    executor.retry_at = now + HOLD_RETRY_DELAY
    return sends


def _handle_fence(state, executor, now):
    decision = planner_log.decision(
        "fenced",
        executor=executor.spec.name,
        token=executor.token,
        fences=executor.fence_count,
    )
    executor.claimed = False
    if state.minority_since is not None:
        # A planner on the other side of the cut holds the executor.
        state.passive_until = now + FENCED_PASSIVE_TIME
        return [decision]
    doublings = min(executor.fence_count, MAX_TOKEN_DOUBLINGS)
    step = MIN_TOKEN_STEP * 2**doublings
    executor.token = state.new_token(executor.spec.name, step)
    executor.fence_count += 1
    executor.retry_at = now + min(
        FENCE_RETRY_DELAY * executor.fence_count, MAX_FENCE_RETRY_DELAY
    )
    return [decision]


def check_leases(state, now):
    """Give up runs with lapsed leases, and send the holds that are due."""
    sends = []
    for name, executor in list(state.executors.items()):
        if _are_leases_lapsed(executor, now):
            sends += planner_runs.lose_runs(
                state, executor, "its leases lapsed", now
            )
        if (
            executor.unregistered
            and not executor.runs
            and not executor.hold_pending
        ):
            del state.executors[name]
            sends.append(disconnect(executor))
            continue
        if not executor.hold_pending and now >= executor.retry_at:
            wait = HOLD_POLL_TIME if executor.claimed else 0.0
            sends += _hold(state, executor, wait, now)
    return sends


def _are_leases_lapsed(executor, now):
    """Return whether no run can be left on an executor that is silent.

    The end of a lease is a time of the clock of one process, and says nothing
    to the next one.
    """
    if not executor.suspect or not executor.runs:
        return False
    if executor.restarted and not executor.unregistered:
        return False
    return now > executor.lease_until


def disconnect(executor):
    """Return the message that closes the connections to an executor."""
    msg = pool_messages.DisconnectExecutor(executor.spec)
    return messages.Send(pool_messages.EXECUTORS, msg)


def all_claimed(state, plan):
    """Return whether no earlier planner of a batch can hold an executor.

    This planner has to have claimed all that the earlier ones held, since
    they lost the batch.  How complete its own listing is does not matter.
    """
    if state.minority_since is not None:
        return False
    former = former_executors(state, plan)
    return former is not None and all(
        executor.claimed
        and not executor.suspect
        and executor.confirmed_at >= plan.claims_since
        for executor in former
    )


def former_executors(state, plan):
    """Return the executors that earlier planners of a batch held.

    Returns
    -------
    list of ExecutorState or None
        None if this planner does not have all of them.
    """
    hashes = {executor.hash: executor for executor in state.executors.values()}
    common_extra = set(hashes)
    for digest in plan.former_executors:
        extra = executor_digests.find_extra(hashes, digest)
        if extra is None:
            return None
        common_extra.intersection_update(extra)
    if not plan.former_executors:
        common_extra.clear()
    return [
        executor for key, executor in hashes.items() if key not in common_extra
    ]


def update_listing(state, assigned, now):
    """Claim the executors assigned to this planner, and update the others."""
    sends = []
    for name, spec in assigned.items():
        executor = state.executors.get(name)
        if executor is None:
            state.executors[name] = executor = planner_executors.ExecutorState(
                spec, state.new_token(name, planner_runs.TOKEN_STEP), now
            )
            sends += claim(state, executor, now)
            continue
        executor.unregistered = False
        sends += _update_executor(state, executor, spec, now)
    for name, executor in state.executors.items():
        if name not in assigned and not executor.unregistered:
            executor.unregistered = True
            sends.append(
                planner_log.decision("executor unregistered", executor=name)
            )
    return sends


def _update_executor(state, executor, spec, now):
    previous = executor.spec
    sends = []
    if spec.incarnation < previous.incarnation:
        # The listing is older than the last answer of the executor.
        return sends
    if (
        spec.incarnation > previous.incarnation
        or spec.address != previous.address
    ):
        sends += planner_restarts.handle(state, executor, spec, now)
    if spec.state != previous.state:
        sends.append(
            planner_log.decision(
                "executor state",
                executor=spec.name,
                state=spec.state,
                before=previous.state,
            )
        )
    if spec.capacity != previous.capacity:
        sends += _change_capacity(executor, spec)
    executor.spec = spec
    executor.described = True
    return sends


def _change_capacity(executor, spec):
    """Count the resources that its runs leave free anew."""
    executor.free_resources = executors.add(
        executor.free_resources,
        executors.subtract(spec.capacity, executor.spec.capacity),
    )
    return [
        planner_log.decision(
            "executor capacity",
            executor=spec.name,
            cpu=spec.capacity.cpu,
            memory=spec.capacity.memory,
            before=executor.spec.capacity,
            free_cpu=executor.free_resources.cpu,
        )
    ]
