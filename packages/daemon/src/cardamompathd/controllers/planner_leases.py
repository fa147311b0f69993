"""Executors that a planner holds: claims, leases, listings."""

from __future__ import annotations

from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import planner_log
from cardamompathd.controllers import planner_runs
from cardamompathd.controllers import planner_state

__all__ = [
    "all_claimed",
    "claim",
    "expire",
    "forget",
    "hold_answered",
    "hold_failed",
    "update_listing",
]

HOLD_WAIT = 0.4
"""Seconds for which an executor waits for an end.  A lost answer then
leaves time for another try within a lease."""
RETRY = 0.1
"""Seconds between tries to hold an executor that does not answer."""
FENCE_RETRY = 0.3
"""Seconds until a fenced planner claims again, longer by as much after
each further fence.  After a partition its view of the fleet becomes
whole within that time, and it learns whether it still plans."""
MOST_FENCE_RETRY = 2.0
FENCED_REST = 5.0
"""Seconds for which a planner that was fenced while cut off from most
members claims nothing."""
TOKEN_STEP = 1_000_000
"""Least step of a token after a fence, a second of the clock that makes
tokens; doubled each time, as the clocks of instances may differ."""
ORPHAN_GRACE = 0.3
"""Seconds for which a run of an unknown batch may go on.  Instances
hand their batches to a new planner within that time.  A planner that is
cut off from most members gives none: the other side counts such a run as
lapsed soon, and holds for the runs adopted here would keep it alive."""
UNLISTED_TIME = 20.0
"""Seconds for which an executor that is no longer registered may be
behind a partition; longer than partitions that the users plan for."""
VANISHED = 1.0
"""Seconds after its start at which a run has to be listed."""


def claim(state, held, now):
    """Hold an executor for the first time under the present token."""
    held.claimed = False
    return _hold(state, held, 0.0, now)


def _hold(state, held, wait, now):
    held.holding = True
    held.asked_at = now
    expires = None
    # One that does not answer keeps its leases as they are: otherwise
    # they would never surely lapse.
    if held.claimed and not held.suspect and held.runs:
        expires = held.executor_clock(now) + planner_runs.LEASE
        lapse = planner_runs.LEASE * (1.0 + planner_runs.CLOCK_ERROR)
        lapse += planner_runs.LEASE_MARGIN
        held.lease_until = max(held.lease_until, now + lapse)
    order = pool_messages.HoldExecutor(
        held.spec, held.token, held.seen, expires, wait
    )
    return [messages.Send(pool_messages.EXECUTORS, order)]


def hold_answered(state, msg, now):
    """Take in what runs on an executor and what ended there."""
    held = state.held.get(msg.executor)
    if held is None or msg.token != held.token:
        return []
    sends = []
    held.holding = False
    if msg.incarnation and held.spec.incarnation != msg.incarnation:
        sends += _reborn(state, held, msg.incarnation, now)
    if not held.claimed or held.suspect:
        sends.append(
            planner_log.note(
                "executor held",
                executor=msg.executor,
                token=held.token,
                running=len(msg.running),
                ended=len(msg.ended),
            )
        )
    held.claimed = True
    held.fences = 0
    held.heard_at = now
    held.clock = msg.clock
    held.clock_at = now
    for ended in msg.ended:
        if ended.number > held.seen:
            held.seen = ended.number
            sends += planner_runs.end_run(state, held, ended, now)
    sends += _compare(state, held, msg.running, now)
    held.suspect = False
    if state.active_since is None or (held.gone and not held.runs):
        return sends
    return sends + _hold(state, held, HOLD_WAIT, now)


def _reborn(state, held, incarnation, now):
    sends = planner_runs.lose(state, held, "it was restarted", now)
    held.spec = held.spec._replace(incarnation=incarnation)
    held.seen = 0
    return sends


def _compare(state, held, running, now):
    """Match the listed runs with those on the books."""
    sends = []
    listed = set(running)
    for run, (plan, task) in list(held.runs.items()):
        if run in listed:
            if task.status in ("sent", "unknown") and task.run == run:
                task.status = "running"
            continue
        if _surely_absent(held, task, run):
            planner_runs.release(held, run)
            sends.append(
                planner_log.note(
                    "run is not there",
                    plan.name,
                    executor=held.spec.name,
                    status=task.status,
                    age_ms=round((now - task.since) * 1000.0),
                )
            )
            if task.run == run and state.plans.get(plan.name) is plan:
                planner_runs.requeue(plan, task)
    return sends + _find_orphans(state, held, listed, now)


def _surely_absent(held, task, run):
    if task.run != run:
        return True
    if task.status == "unknown":
        return held.asked_at > task.expires
    if task.status == "running":
        return held.asked_at > task.since + VANISHED
    return held.asked_at > task.expires + VANISHED


def _find_orphans(state, held, listed, now):
    sends = []
    for run in list(held.orphans):
        if run not in listed:
            del held.orphans[run]
    for run in listed:
        if run in held.runs:
            continue
        plan = state.plans.get(run.batch)
        task = plan.find(run.step, run.index) if plan else None
        if task is not None and task.status == "waiting":
            held.orphans.pop(run, None)
            planner_runs.adopt(held, plan, task, run, now)
            sends.append(
                planner_log.note(
                    "run adopted", plan.name, executor=held.spec.name
                )
            )
            continue
        first = held.orphans.setdefault(run, now)
        cut_off = state.minority_since is not None
        if task is not None or cut_off or now - first > ORPHAN_GRACE:
            sends.append(
                planner_log.note(
                    "stray run stopped",
                    run.batch,
                    executor=held.spec.name,
                    age_ms=round((now - first) * 1000.0),
                )
            )
            sends += planner_runs.send_stop(held, run)
    return sends


def hold_failed(state, msg, now):
    """Deal with an executor that could not be held."""
    held = state.held.get(msg.executor)
    if held is None or msg.token != held.token:
        return []
    held.holding = False
    if msg.fenced:
        return _fenced(state, held, now)
    sends = []
    if msg.restarted:
        sends += planner_runs.lose(state, held, "it was restarted", now)
        held.spec = held.spec._replace(incarnation=0)
        held.seen = 0
    if not held.suspect:
        sends.append(
            planner_log.note(
                "executor does not answer",
                executor=msg.executor,
                detail=msg.detail,
                runs=len(held.runs),
                heard_ms=round((now - held.heard_at) * 1000.0),
            )
        )
    held.suspect = True
    held.try_at = now + RETRY
    return sends


def _fenced(state, held, now):
    note = planner_log.note(
        "fenced",
        executor=held.spec.name,
        token=held.token,
        fences=held.fences,
    )
    held.claimed = False
    if state.minority_since is not None:
        # The others are alive behind the cut and hold the executor.
        state.passive_until = now + FENCED_REST
        return [note]
    step = TOKEN_STEP * 2**held.fences
    held.token = max(state.make_token(), held.token + step)
    held.fences += 1
    held.try_at = now + min(FENCE_RETRY * held.fences, MOST_FENCE_RETRY)
    return [note]


def expire(state, now):
    """Give up runs whose leases lapsed, and hold what is not held."""
    sends = []
    for name, held in list(state.held.items()):
        if held.suspect and held.runs and now > held.lease_until:
            sends += planner_runs.lose(state, held, "its leases lapsed", now)
        if held.gone and not held.runs and not held.holding:
            del state.held[name]
            sends.append(forget(held))
            continue
        if not held.holding and now >= held.try_at:
            wait = HOLD_WAIT if held.claimed else 0.0
            sends += _hold(state, held, wait, now)
    return sends


def forget(held):
    """Let the connections to an executor be closed."""
    msg = pool_messages.DisconnectExecutor(held.spec)
    return messages.Send(pool_messages.EXECUTORS, msg)


def all_claimed(state, is_mine, now):
    """Return whether every executor answers under the present token.

    One that is no longer registered counts for a while: it may be behind
    a partition, held by another planner.  A planner that claims its own
    failure domains only never has all of them.  `is_mine` tells which
    executors are this planner's.
    """
    if state.minority_since is not None:
        return False
    for name, (seen_at, _) in list(state.unlisted.items()):
        if now - seen_at > UNLISTED_TIME or name in state.listed:
            del state.unlisted[name]
    if any(is_mine(spec) for _, spec in state.unlisted.values()):
        return False
    return all(one.claimed and not one.suspect for one in state.held.values())


def update_listing(state, mine, now):
    """Take in which executors are registered and are this planner's."""
    sends = []
    for name, spec in mine.items():
        held = state.held.get(name)
        if held is None:
            state.held[name] = held = planner_state.Held(
                spec, state.make_token(), now
            )
            sends += claim(state, held, now)
            continue
        held.gone = False
        sends += _update(state, held, spec, now)
    for name, held in state.held.items():
        if name not in mine and not held.gone:
            held.gone = True
            sends.append(
                planner_log.note("executor unregistered", executor=name)
            )
    return sends


def _update(state, held, spec, now):
    known = held.spec
    sends = []
    if spec.incarnation < known.incarnation:
        # The listing is older than what the executor said itself.
        return sends
    if spec.incarnation > known.incarnation or spec.address != known.address:
        sends += planner_runs.lose(state, held, "it was replaced", now)
        held.seen = 0
        held.free = spec.capacity
        held.claimed = False
        held.holding = False
        held.try_at = now
    if spec.state != known.state:
        sends.append(
            planner_log.note(
                "executor state",
                executor=spec.name,
                state=spec.state,
                before=known.state,
            )
        )
    held.spec = spec
    return sends
