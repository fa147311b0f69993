"""Whether a scenario put to use what it says that it shows."""

from __future__ import annotations

from cardamompath_core import types
from cardamompath_proof.scenarios import errors

__all__ = [
    "check",
]


def check(sim, scenario) -> None:
    """Check that declared promises and failures occurred in the run.

    Raises
    ------
    ExpectationError
        If a promise was not put to use or a failure did not happen.
    """
    seen = sim.observed | _promises(sim)
    for name in scenario.promises + scenario.failures:
        if name not in seen:
            text = f"the scenario declares {name!r} and does not touch it"
            raise errors.ExpectationError(text)
    undeclared = (seen & _ALL_FAILURES) - set(scenario.failures)
    if undeclared:
        names = ", ".join(sorted(undeclared))
        raise errors.ExpectationError(f"failures not declared: {names}")


_ALL_FAILURES = frozenset(
    ("process-death", "pause", "partition", "retention", "lost-answer")
)
"""Failures that a scenario has to declare when it causes them."""


def _promises(sim):
    seen = set()
    for known in sim.callers.submissions.values():
        seen |= _shown_by(sim, known)
    for one in sim.backends.values():
        if one.leaving_since is not None:
            seen.add("leaving")
    if any(one.revision for one in sim.operators.seen_revisions):
        seen.add("configuration")
    return seen


def _shown_by(sim, known):
    seen = set()
    started = any(sim.find_starts(task.payload) for task in known.spec.tasks)
    if started and not known.spec.single:
        seen.add("once")
    for answer in known.final_answers:
        if not known.spec.single:
            seen.add("whole")
        if isinstance(answer, types.Refused):
            seen.add("not-run")
            continue
        states = {one.state for one in answer.results}
        if "not_started" in states:
            seen.add("not-run")
        if "finished" in states:
            seen.add("own")
    return seen
