"""What must hold in every run, whatever fails."""

from __future__ import annotations

import collections

from cardamompath_core import types
from cardamompath_proof.harness import backends

__all__ = [
    "Violation",
    "check_always",
    "check_answer",
    "check_end",
    "check_stop",
]

LATER_KNOWLEDGE = ("forgotten", "owner_died")
"""Reasons for which a job is failed after it was answered complete."""

LEAVING_GRACE = 3.0
"""Seconds after which a leaving backend server gets no new work."""


class Violation(AssertionError):
    """A promise was broken."""

    def __init__(self, promise: str, text: str):
        super().__init__(f"{promise}: {text}")
        self.promise = promise


def check_answer(sim, known, answer: types.Answer) -> None:
    """Check one answer against what the backend servers recorded.

    Raises
    ------
    Violation
        If the answer says something false.
    """
    if isinstance(answer, types.Pending):
        return
    if isinstance(answer, types.Refused):
        _check_refused(sim, known, answer)
        return
    if not isinstance(answer, types.Complete | types.Failed):
        raise Violation("whole", f"{known.label} got {answer!r}")
    if len(answer.results) != len(known.spec.tasks):
        if answer.results:
            text = f"{known.label} got {len(answer.results)} results"
            raise Violation("whole", text)
        return
    for index, result in enumerate(answer.results):
        _check_result(sim, known, index, result)
    if isinstance(answer, types.Complete):
        _check_complete(known, answer)


def _check_refused(sim, known, answer):
    for task in known.spec.tasks:
        if sim.starts(task.payload):
            text = f"{known.label} ran but was refused as {answer.code!r}"
            raise Violation("not-run", text)


def _check_result(sim, known, index, result):
    payload = known.spec.tasks[index].payload
    starts = sim.starts(payload)
    name = f"{known.label} task {index}"
    if result.state == "finished":
        if not starts:
            raise Violation("whole", f"{name} finished but never ran")
        expected = backends.expected_answer(payload)
        # A settlement by a peer knows the state without the payload.
        if result.payload and result.payload != expected:
            raise Violation("own", f"{name} got {result.payload!r}")
    if result.state == "failed" and not starts:
        raise Violation("whole", f"{name} failed but never ran")
    if result.state == "not_started" and starts:
        raise Violation("not-run", f"{name} ran, answer says not started")


def _check_complete(known, answer):
    for index, result in enumerate(answer.results):
        name = f"{known.label} task {index}"
        if result.state != "finished":
            raise Violation("whole", f"{name} is {result.state}")
        expected = backends.expected_answer(known.spec.tasks[index].payload)
        if result.payload != expected:
            raise Violation("own", f"{name} got {result.payload!r}")


def check_always(sim) -> None:
    """Check what holds at any moment.

    Raises
    ------
    Violation
        If a task started twice, a leaving backend server got new work
        too late, or a revision went back.
    """
    _check_starts(sim)
    _check_leaving(sim)
    _check_revisions(sim)


def _check_starts(sim):
    counts = collections.Counter(
        start.payload for one in sim.backends.values() for start in one.starts
    )
    for known in sim.callers.submissions.values():
        if known.spec.idempotent:
            continue
        promise = "non-idempotent" if known.spec.single else "once"
        for index, task in enumerate(known.spec.tasks):
            if counts[task.payload] > 1:
                text = f"{known.label} task {index} started twice"
                raise Violation(promise, text)


def _check_leaving(sim):
    for one in sim.backends.values():
        if one.left_at is None:
            continue
        for start in one.starts:
            sign = max(one.left_at, start.path_since)
            if start.at > sign + LEAVING_GRACE:
                text = f"{one.spec.name} left at {one.left_at:.3f} and "
                text += f"got a task at {start.at:.3f}"
                raise Violation("leaving", text)


def _check_revisions(sim):
    highest: dict[str, int] = {}
    for seen in sim.operators.seen:
        # Revision 0 says that the instance is not ready.
        if 0 < seen.revision < highest.get(seen.instance, 0):
            text = f"{seen.instance} went back to {seen.revision}"
            raise Violation("configuration", text)
        highest[seen.instance] = max(
            seen.revision, highest.get(seen.instance, 0)
        )


def check_end(sim) -> None:
    """Check what holds from an answer on until the end of the run.

    Raises
    ------
    Violation
        If an answer became false, or two answers contradict.
    """
    check_always(sim)
    if sim.faults:
        raise Violation("controllers", sim.faults[0])
    for known in sim.callers.submissions.values():
        for given in known.answers:
            check_answer(sim, known, given.answer)
        _check_contradiction(known)


def _check_contradiction(known):
    """Check that no later answer takes back an earlier one.

    After a complete answer the owner may die, or forget it, and a later
    question be answered with less; the first answer stands.
    """
    given: set[type] = set()
    for answer in known.final:
        kind = type(answer)
        less = getattr(answer, "code", "") in LATER_KNOWLEDGE
        known_less = types.Complete in given and less
        if given - {kind} and not known_less and kind not in given:
            text = f"{known.label} is {kind.__name__} after another answer"
            raise Violation("whole", text)
        given.add(kind)


def check_stop(sim, instance) -> None:
    """Check that nothing is open when an instance ends gracefully.

    Raises
    ------
    Violation
        If a caller still waits for this instance.
    """
    for ask in sim.callers.waiting_at(instance.name):
        text = f"{instance.name} ends while {ask.label} waits"
        raise Violation("graceful", text)
