"""Instances that break one promise on purpose, for the soak to catch.

``python -m cardamompath_proof.soak.broken VARIANT`` runs one, as
``python -m cardamompathd.platform`` runs a sound one.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable

from cardamompath_core import batches
from cardamompathd.controllers import gateway
from cardamompathd.controllers import planner
from cardamompathd.controllers import planner_leases
from cardamompathd.controllers import planner_runs
from cardamompathd.platform import program

__all__ = [
    "VARIANTS",
    "main",
]


def _ignore_leases() -> None:
    """Start a task again as soon as its executor does not answer."""
    handle_hold_failure = planner_leases.handle_hold_failure

    def fail(state, msg, now):
        sends = handle_hold_failure(state, msg, now)
        held = state.executors.get(msg.executor)
        if held is not None and held.suspect:
            sends += planner_runs.lose_runs(state, held, "broken", now)
        return sends

    _replace_handler(handle_hold_failure, fail)


def _answer_early() -> None:
    """Call a batch complete when its first task is done."""

    def complete(state, plan, task, now):
        task.status = "done"
        plan.done_count += 1
        outcome = batches.Outcome(batches.COMPLETE, "broken")
        return planner_runs.finish_batch(state, plan, outcome, now)

    planner_runs._complete_task = complete


def _keep_first_configuration() -> None:
    """Take no version of the configuration but the first."""
    handlers = gateway._HANDLERS
    for kind, configure in list(handlers.items()):
        if configure is gateway._set_routes:
            handlers[kind] = lambda state, msg, now: (
                ()
                if state.route_table
                else gateway._set_routes(state, msg, now)
            )


def _cut_at_shutdown() -> None:
    """End at once on SIGTERM."""
    program._stop = lambda running: None


def _deny_starts() -> None:
    """Say of each third batch that it did not run, when it has."""
    finish = planner_runs.finish_batch

    def deny(state, plan, outcome, now):
        if outcome.state == batches.COMPLETE and plan.name[0] in "01234":
            outcome = batches.Outcome(batches.REFUSED, "broken", 1.0)
        return finish(state, plan, outcome, now)

    planner_runs.finish_batch = deny


def _replace_handler(old, new):
    for kind, handler in planner._HANDLERS.items():
        if handler is old:
            planner._HANDLERS[kind] = new


VARIANTS: dict[str, Callable[[], None]] = {
    "ignore leases": _ignore_leases,
    "answer early": _answer_early,
    "keep first configuration": _keep_first_configuration,
    "cut at shutdown": _cut_at_shutdown,
    "deny starts": _deny_starts,
}


def main() -> int:
    """Break the promise that is named, and run an instance."""
    VARIANTS[sys.argv[1]]()
    return program.main()


if __name__ == "__main__":
    os._exit(main())
