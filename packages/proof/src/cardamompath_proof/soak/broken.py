"""Faulty instances that the soak has to detect.

Each variant breaks one promise on purpose.  ``python -m
cardamompath_proof.soak.broken VARIANT`` runs one in place of ``python -m
cardamompathd.platform``.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable

from cardamompath_core import batches
from cardamompath_core import evacuation
from cardamompath_core import executors
from cardamompathd.controllers.gateway import gateway
from cardamompathd.controllers.planner import planner
from cardamompathd.controllers.planner import planner_crashes
from cardamompathd.controllers.planner import planner_leases
from cardamompathd.controllers.planner import planner_runs
from cardamompathd.platform import program

__all__ = [
    "VARIANTS",
    "main",
]


def _ignore_leases() -> None:
    """Restart tasks as soon as their executor does not answer."""
    handle_hold_failure = planner_leases.handle_hold_failure

    def lose_runs_early(state, msg, now):
        sends = handle_hold_failure(state, msg, now)
        executor = state.executors.get(msg.executor)
        if executor is not None and executor.suspect:
            sends += planner_runs.lose_runs(state, executor, "broken", now)
        return sends

    _replace_handler(handle_hold_failure, lose_runs_early)


def _answer_early() -> None:
    """Report a batch as complete when its first task is done."""

    def complete_batch(state, plan, task, now):
        task.status = "done"
        plan.done_count += 1
        outcome = batches.Outcome(batches.COMPLETE, "broken")
        return planner_runs.finish_batch(state, plan, outcome, now)

    planner_runs._complete_task = complete_batch


def _keep_first_configuration() -> None:
    """Ignore every version of the configuration after the first."""
    handlers = gateway._HANDLERS
    for msg_type, handler in list(handlers.items()):
        if handler is gateway._set_routes:
            handlers[msg_type] = lambda state, msg, now: (
                ()
                if state.route_table
                else gateway._set_routes(state, msg, now)
            )


def _cut_at_shutdown() -> None:
    """Exit at once on SIGTERM, without answering open requests."""
    program._stop = lambda running: None


def _deny_starts() -> None:
    """Refuse about a third of the batches although they ran."""
    finish_batch = planner_runs.finish_batch

    def refuse_batch(state, plan, outcome, now):
        if outcome.state == batches.COMPLETE and plan.name[0] in "01234":
            outcome = batches.Outcome(batches.REFUSED, "broken", 1.0)
        return finish_batch(state, plan, outcome, now)

    planner_runs.finish_batch = refuse_batch


def _ignore_capacity() -> None:
    """Take any executor with free resources for a task of any size."""
    executors.fits = lambda needed, free: free.cpu > 0


def _forget_crashes() -> None:
    """Start a task again however many executors crashed under it."""
    planner_crashes.note_losses = lambda state, name, losses, now: None


def _ignore_evacuations() -> None:
    """Start tasks in evacuated failure domains."""
    evacuation.may_start_in = lambda known, domain: True


def _replace_handler(old, new):
    for msg_type, handler in planner._HANDLERS.items():
        if handler is old:
            planner._HANDLERS[msg_type] = new


VARIANTS: dict[str, Callable[[], None]] = {
    "ignore leases": _ignore_leases,
    "answer early": _answer_early,
    "keep first configuration": _keep_first_configuration,
    "cut at shutdown": _cut_at_shutdown,
    "deny starts": _deny_starts,
    "ignore capacity": _ignore_capacity,
    "forget crashes": _forget_crashes,
    "ignore evacuations": _ignore_evacuations,
}


def main() -> int:
    """Apply the variant given as the first argument; run an instance.

    The other arguments are those of the instance.
    """
    VARIANTS[sys.argv[1]]()
    return program.main(sys.argv[2:])


if __name__ == "__main__":
    os._exit(main())
