"""Steps that look whether something came about."""

from __future__ import annotations

import collections

from cardamompath_core import types
from cardamompath_proof.scenarios import errors

__all__ = [
    "EXPECTATIONS",
]

LOOK = 0.05
"""Seconds between two looks while an expectation may still be met."""

_OUTCOMES = {
    "complete": types.Complete,
    "failed": types.Failed,
    "pending": types.Pending,
    "refused": types.Refused,
}


def _expect_answer(sim, label, outcome, code=None):
    last = _last(sim, label)
    if outcome == "unanswered":
        met = last is None
    elif outcome == "lost":
        met = any(one[1] == label for one in sim.callers.lost_requests)
    elif outcome == "answered":
        met = last is not None and not isinstance(last, types.Pending)
    else:
        met = isinstance(last, _OUTCOMES[outcome])
        met = met and code in (None, getattr(last, "code", None))
    wanted = outcome if code is None else f"{outcome} as {code}"
    _require(met, f"{label} is {_describe(last)}, not {wanted}")


def _last(sim, label):
    """Return the answer that stands, or the last that is pending."""
    known = sim.callers.submissions[label]
    if known.final_answers:
        return known.final_answers[-1]
    return known.answers[-1].answer if known.answers else None


def _describe(answer):
    if answer is None:
        return "unanswered"
    text = type(answer).__name__.lower()
    code = getattr(answer, "code", "")
    return f"{text} as {code}" if code else text


def _expect_tasks(sim, label, *counts):
    last = _last(sim, label)
    results = getattr(last, "results", ())
    seen = collections.Counter(one.state for one in results)
    text = ", ".join(f"{seen[one]} {one}" for one in sorted(seen))
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
    def missing():
        running = [
            one.name
            for one in sim.instances.values()
            if one.state == "running" and one.name in (names or [one.name])
        ]
        for name in running:
            sim.operators.request_revision(sim.instances[name])
        seen = {one: sim.operators.last_revision(one) for one in running}
        return {one: at for one, at in seen.items() if at != revision}

    _await(sim, missing, within)


def _expect_note(sim, label, state):
    if label in sim.operators.offsets:
        accepted = label in sim.operators.accepted_notes()
        found = "accepted" if accepted else "rejected"
    else:
        found = "unpublished"
    _require(found == state, f"note {label} is {found}, not {state}")


def _expect_drained(sim, names, within=0.0):
    def missing():
        return {
            name: "not drained"
            for name in names
            if sim.instances[name].drained_at is None
        }

    _await(sim, missing, within)


def _await(sim, missing, within):
    end = sim.queue.now + within
    left = missing()
    while left and sim.queue.now < end:
        sim.advance(LOOK)
        left = missing()
    text = ", ".join(f"{one}: {at}" for one, at in left.items())
    _require(not left, f"after {within:g} s {text}")


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
"""From the name of a rule of the grammar to what it looks for."""
