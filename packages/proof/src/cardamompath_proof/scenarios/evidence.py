"""Checks that a run exercised what its scenario declares."""

from __future__ import annotations

from cardamompath_core import types
from cardamompath_proof.scenarios import errors

__all__ = [
    "check",
]


def check(sim, scenario) -> None:
    """Check the declared promises and failures against a run.

    Raises
    ------
    ExpectationError
        If a declared promise was not exercised, a declared failure did
        not happen, or an undeclared one did.
    """
    observed = sim.observed | _exercised_promises(sim)
    for name in scenario.promises + scenario.failures:
        if name not in observed:
            text = f"the scenario declares {name!r} but does not exercise it"
            raise errors.ExpectationError(text)
    undeclared = (observed & _FAILURES_TO_DECLARE) - set(scenario.failures)
    if undeclared:
        names = ", ".join(sorted(undeclared))
        raise errors.ExpectationError(f"undeclared failures happened: {names}")


_FAILURES_TO_DECLARE = frozenset(
    ("process-death", "pause", "partition", "retention", "lost-answer")
)
"""Failures that a scenario must declare when it causes them."""


def _exercised_promises(sim):
    exercised = set()
    for submission in sim.callers.submissions.values():
        exercised |= _exercised_by(sim, submission)
    for backend in sim.backends.values():
        if backend.leaving_since is not None:
            exercised.add("leaving")
    if any(seen.revision for seen in sim.operators.seen_revisions):
        exercised.add("configuration")
    return exercised


def _exercised_by(sim, submission):
    exercised = set()
    started = any(
        sim.find_starts(task.payload) for task in submission.spec.tasks
    )
    if started and not submission.spec.single:
        exercised.add("once")
    for answer in submission.final_answers:
        if not submission.spec.single:
            exercised.add("whole")
        if isinstance(answer, types.Refused):
            exercised.add("not-run")
            continue
        states = {result.state for result in answer.results}
        if "not_started" in states:
            exercised.add("not-run")
        if "finished" in states:
            exercised.add("own")
    return exercised
