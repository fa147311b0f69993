"""Tasks under which executors crash.

An executor that ends its connections may have crashed, or the network may
have cut it off.  Only its restart tells which.  Until then its runs are under
suspicion: the one that it started last most of all, as tasks that crash a
process usually do so at once.  Such a task runs again only where no run of
another batch is, so that its next run tells whether it is the cause.

What is known is reported to all instances.  They pass it on with a batch if
another planner gets it, or if it is submitted again.
"""

from __future__ import annotations

import collections
import math
from typing import Literal
from typing import NamedTuple

from cardamompath_core import evacuation
from cardamompath_core import executors
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.planner import planner_log

__all__ = [
    "LostBoot",
    "find_reason",
    "has_losses",
    "note_losses",
    "record_answer",
    "record_listing",
    "record_losses",
    "record_restart",
    "release_isolated",
    "start_mode",
]

StartMode = Literal["shared", "alone", "not yet"]
"""``alone``: only where no run of another batch is."""

MIN_CRASHES = 2
"""Number of executors that crashed under a task before it is given up, if it
ran alone on one of them."""
MAX_CRASHES = 3
"""Number of crashed executors after which a task is given up in any case."""
MAX_BOOTS = 4096
"""Maximum number of incarnations of executors whose end is awaited."""
RESTART_TIME = 10.0
"""Seconds in which a crashed executor is back; a cause that is unknown by then
no longer keeps a task from running."""


class LostBoot(NamedTuple):
    """An incarnation of an executor that may have crashed."""

    lost_at: float
    address: tuple[str, int]


def has_losses(state, plan):
    """Return whether a run of a batch was ever lost with its executor."""
    return plan.name in state.losses


def note_losses(state, name, losses, now):
    """Keep what another instance knows of the losses of a batch."""
    for loss in losses:
        boot = (loss.executor, loss.incarnation)
        if not loss.crashed:
            lost = LostBoot(now, loss.address)
            state.lost_boots.setdefault(boot, lost)
    while len(state.lost_boots) > MAX_BOOTS:
        del state.lost_boots[next(iter(state.lost_boots))]
    state.losses.add(name, losses)


def record_losses(state, executor, now):
    """Record the runs on an executor that are about to be lost with it.

    The runs on an executor that shuts down end with it, which is no crash,
    and none was sent to a process that has not answered since its start.
    """
    spec = executor.spec
    if (
        executor.restarted
        or not spec.incarnation
        or spec.state == executors.DRAINING
    ):
        return []
    entries = [
        (run, task)
        for run, (_, task) in executor.runs.items()
        if task.run == run
    ]
    last_start = max((task.started_at for _, task in entries), default=now)
    names = {run.batch for run in executor.runs}
    lost = collections.defaultdict(list)
    for run, task in entries:
        loss = pool_messages.RunLoss(
            run.step,
            run.index,
            spec.name,
            spec.incarnation,
            spec.address,
            executor.aborted,
            task.started_at >= last_start,
            names == {run.batch},
        )
        lost[run.batch].append(loss)
    sends = []
    for batch, losses in lost.items():
        note_losses(state, batch, losses, now)
        if executor.aborted:
            sends += _report(state, batch, losses)
    return sends


def record_answer(state, executor):
    """Record that an executor that was lost has not crashed."""
    boot = (executor.spec.name, executor.spec.incarnation)
    if state.lost_boots.pop(boot, None) is not None:
        state.losses.forget(*boot)


def record_restart(state, executor):
    """Record that the known incarnation of an executor is gone.

    Its losses are known to come from a crash by that.
    """
    return _record_crash(state, executor.spec.name, executor.spec.incarnation)


def record_listing(state):
    """Record the restarts that the list of executors shows.

    A later incarnation is listed under the same name, or another name at the
    same address.
    """
    names_by_address = {
        spec.address: spec.name for spec in state.listed.values()
    }
    sends = []
    for (name, incarnation), boot in list(state.lost_boots.items()):
        spec = state.listed.get(name)
        is_newer = spec is not None and spec.incarnation > incarnation
        if is_newer or names_by_address.get(boot.address, name) != name:
            sends += _record_crash(state, name, incarnation)
    return sends


def _record_crash(state, name, incarnation):
    if state.lost_boots.pop((name, incarnation), None) is None:
        return []
    sends = []
    for batch, losses in state.losses.mark_crashed(name, incarnation).items():
        sends.append(
            planner_log.decision(
                "executor crashed under a batch",
                batch,
                executor=name,
                tasks=[f"{loss.step}.{loss.index}" for loss in losses],
                alone=losses[0].alone,
            )
        )
        sends += _report(state, batch, losses)
    return sends


def _report(state, batch, losses):
    """Send losses of a batch to all instances."""
    report = pool_messages.LossesReported(batch, tuple(losses))
    sends = [messages.Send(pool_messages.GATEWAY, report)]
    addresses = tuple(
        member.address
        for member in state.fleet.alive
        if member.name != state.name
    )
    if addresses:
        to_members = pool_messages.SendToMembers(addresses, report)
        sends.append(messages.Send(pool_messages.LINKS, to_members))
    return sends


def start_mode(state, plan, task, now) -> StartMode:
    """Return where a task may start."""
    losses = _suspicious_losses(state, plan, task)
    if not losses:
        return "shared"
    if _is_cause(losses):
        return "not yet"
    if len(losses) >= MIN_CRASHES:
        is_open = any(
            not loss.crashed and now < _lost_at(state, loss) + RESTART_TIME
            for loss in losses
        )
        return "not yet" if is_open else "alone"
    return "alone" if losses[0].last_started else "shared"


def find_reason(state, plan):
    """Return why a batch is given up; empty if it is not."""
    for task in plan.tasks:
        losses = _suspicious_losses(state, plan, task)
        if task.status != "done" and _is_cause(losses):
            names = sorted(loss.executor for loss in losses if loss.crashed)
            return (
                f"task {task.step}.{task.index} crashed {len(names)} "
                f"executors: {', '.join(names)}"
            )
    return ""


def _is_cause(losses):
    """Return whether a task with these losses crashes its executors."""
    crashes = [loss for loss in losses if loss.crashed]
    return len(crashes) >= MAX_CRASHES or (
        len(crashes) >= MIN_CRASHES and any(loss.alone for loss in crashes)
    )


def _suspicious_losses(state, plan, task):
    """Return the losses of a task that were or may have been crashes."""
    losses = []
    for loss in state.losses.of_batch(plan.name):
        if (loss.step, loss.index) != (task.step, task.index):
            continue
        executor = state.executors.get(loss.executor)
        incarnation = executor.spec.incarnation if executor else 0
        if incarnation > loss.incarnation > 0:
            losses.append(loss._replace(crashed=True))
        elif loss.crashed or (
            loss.aborted and not _answers(executor, loss.incarnation)
        ):
            losses.append(loss)
    return losses


def _answers(executor, incarnation):
    """Return whether an incarnation of an executor was only cut off."""
    return (
        executor is not None
        and executor.claimed
        and not executor.suspect
        and executor.spec.incarnation == incarnation
    )


def _lost_at(state, loss):
    boot = state.lost_boots.get((loss.executor, loss.incarnation))
    return boot.lost_at if boot else -math.inf


def release_isolated(state, now):
    """Let executors run other batches whose suspect tasks have ended."""
    for name, batch in list(state.isolated.items()):
        executor = state.executors.get(name)
        plan = state.plans.get(batch)
        is_used = executor is not None and (
            any(run.batch == batch for run in executor.runs)
            or (
                plan is not None
                and evacuation.may_start_in(
                    state.evacuation, executor.spec.domain
                )
                and any(
                    start_mode(state, plan, task, now) == "alone"
                    for task in plan.waiting
                )
            )
        )
        if not is_used:
            del state.isolated[name]
