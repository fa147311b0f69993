"""Steps that check an expectation about the run so far."""

from __future__ import annotations

import collections

from cardamompath_core import types
from cardamompath_proof.scenarios import errors

__all__ = [
    "EXPECTATIONS",
]

POLL_INTERVAL = 0.05
"""Seconds between two checks of an expectation with a time limit."""

_OUTCOMES = {
    "complete": types.Complete,
    "failed": types.Failed,
    "pending": types.Pending,
    "refused": types.Refused,
}


def _expect_answer(sim, label, outcome, code=None):
    answer = _current_answer(sim, label)
    if outcome == "unanswered":
        met = answer is None
    elif outcome == "lost":
        met = any(lost[1] == label for lost in sim.callers.lost_requests)
    elif outcome == "answered":
        met = answer is not None and not isinstance(answer, types.Pending)
    else:
        met = isinstance(answer, _OUTCOMES[outcome])
        met = met and code in (None, getattr(answer, "code", None))
    expected = outcome if code is None else f"{outcome} as {code}"
    _require(met, f"{label} is {_describe(answer)}, not {expected}")


def _current_answer(sim, label):
    """Return the last final answer, else the last pending one, or None."""
    submission = sim.callers.submissions[label]
    if submission.final_answers:
        return submission.final_answers[-1]
    return submission.answers[-1].answer if submission.answers else None


def _describe(answer):
    if answer is None:
        return "unanswered"
    text = type(answer).__name__.lower()
    code = getattr(answer, "code", "")
    return f"{text} as {code}" if code else text


def _expect_tasks(sim, label, *counts):
    answer = _current_answer(sim, label)
    results = getattr(answer, "results", ())
    seen = collections.Counter(result.state for result in results)
    text = ", ".join(f"{seen[found]} {found}" for found in sorted(seen))
    for state, count in counts:
        met = seen[state] == count
        _require(met, f"{label} has {text or 'no tasks'}")


def _expect_starts(sim, label, bound):
    tasks = sim.callers.submissions[label].spec.tasks
    count = sum(len(sim.find_starts(task.payload)) for task in tasks)
    met = bound.low <= count <= bound.high
    _require(met, f"{label} has {count} starts")


def _expect_backend_starts(sim, name, bound):
    count = len(sim.backends[name].starts)
    met = bound.low <= count <= bound.high
    _require(met, f"{name} has {count} starts")


def _expect_revision(sim, revision, names, within=0.0):
    def find_unmet():
        running = [
            instance.name
            for instance in sim.instances.values()
            if instance.state == "running"
            and instance.name in (names or [instance.name])
        ]
        for name in running:
            sim.operators.request_revision(sim.instances[name])
        seen = {key: sim.operators.last_revision(key) for key in running}
        return {key: found for key, found in seen.items() if found != revision}

    _wait_until_met(sim, find_unmet, within)


def _expect_note(sim, label, state):
    if label in sim.operators.offsets:
        accepted = label in sim.operators.accepted_notes()
        found = "accepted" if accepted else "rejected"
    else:
        found = "unpublished"
    _require(found == state, f"note {label} is {found}, not {state}")


def _expect_drained(sim, names, within=0.0):
    def find_unmet():
        return {
            name: "not drained"
            for name in names
            if sim.instances[name].drained_at is None
        }

    _wait_until_met(sim, find_unmet, within)


def _wait_until_met(sim, find_unmet, within):
    deadline = sim.queue.now + within
    unmet = find_unmet()
    while unmet and sim.queue.now < deadline:
        sim.advance(POLL_INTERVAL)
        unmet = find_unmet()
    text = ", ".join(f"{name}: {found}" for name, found in unmet.items())
    _require(not unmet, f"not met after {within:g} s: {text}")


def _require(met, text):
    if not met:
        raise errors.ExpectationError(text)


EXPECTATIONS = {
    "expect_answer": _expect_answer,
    "expect_backend_starts": _expect_backend_starts,
    "expect_drained": _expect_drained,
    "expect_note": _expect_note,
    "expect_revision": _expect_revision,
    "expect_starts": _expect_starts,
    "expect_tasks": _expect_tasks,
}
"""From the name of a grammar rule to the function that checks it."""
