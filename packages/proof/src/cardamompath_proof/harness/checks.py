"""Properties that must hold in every run, whatever fails."""

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

CODES_AFTER_COMPLETE = ("forgotten", "owner_died")
"""Codes with which a job may be answered failed after it was answered
complete: the owner forgot the answer or died."""

LEAVING_GRACE = 3.0
"""Seconds after which a leaving backend server may get no new tasks."""


class Violation(AssertionError):
    """A promise to callers or operators was broken."""

    def __init__(self, promise: str, text: str):
        super().__init__(f"{promise}: {text}")
        self.promise = promise


def check_answer(sim, submission, answer: types.Answer) -> None:
    """Check one answer against the task starts on the backend servers.

    Raises
    ------
    Violation
        If the answer is false.
    """
    if isinstance(answer, types.Pending):
        return
    if isinstance(answer, types.Refused):
        _check_refused(sim, submission, answer)
        return
    if not isinstance(answer, types.Complete | types.Failed):
        raise Violation(
            "whole", f"{submission.label} got an unknown answer: {answer!r}"
        )
    if len(answer.results) != len(submission.spec.tasks):
        if answer.results:
            text = (
                f"{submission.label} got {len(answer.results)} results, "
                "not one for each task"
            )
            raise Violation("whole", text)
        return
    for index, result in enumerate(answer.results):
        _check_result(sim, submission, index, result)
    if isinstance(answer, types.Complete):
        _check_complete(submission, answer)


def _check_refused(sim, submission, answer):
    for task in submission.spec.tasks:
        if sim.find_starts(task.payload):
            text = (
                f"{submission.label} started but was refused "
                f"as {answer.code!r}"
            )
            raise Violation("not-run", text)


def _check_result(sim, submission, index, result):
    payload = submission.spec.tasks[index].payload
    starts = sim.find_starts(payload)
    name = f"{submission.label} task {index}"
    if result.state == "finished":
        if not starts:
            raise Violation("whole", f"{name} is finished but never started")
        expected = backends.expected_answer(payload)
        # A peer that settles the job from the journal knows the states of
        # the tasks, but not their payloads.
        if result.payload and result.payload != expected:
            raise Violation("own", f"{name} got the result {result.payload!r}")
    if result.state == "failed" and not starts:
        raise Violation("whole", f"{name} is failed but never started")
    if result.state == "not_started" and starts:
        raise Violation(
            "not-run", f"{name} started but is answered as not_started"
        )


def _check_complete(submission, answer):
    for index, result in enumerate(answer.results):
        name = f"{submission.label} task {index}"
        if result.state != "finished":
            raise Violation(
                "whole", f"{name} of a complete job is {result.state}"
            )
        expected = backends.expected_answer(
            submission.spec.tasks[index].payload
        )
        if result.payload != expected:
            raise Violation("own", f"{name} got the result {result.payload!r}")


def check_always(sim) -> None:
    """Check the properties that hold at any time.

    Raises
    ------
    Violation
        If a task started twice, a leaving backend server got a task
        after the grace period, or a revision went back.
    """
    _check_starts(sim)
    _check_leaving(sim)
    _check_revisions(sim)


def _check_starts(sim):
    counts = collections.Counter(
        start.payload
        for backend in sim.backends.values()
        for start in backend.starts
    )
    for submission in sim.callers.submissions.values():
        if submission.spec.idempotent:
            continue
        promise = "non-idempotent" if submission.spec.single else "once"
        for index, task in enumerate(submission.spec.tasks):
            if counts[task.payload] > 1:
                text = f"{submission.label} task {index} started twice"
                raise Violation(promise, text)


def _check_leaving(sim):
    for backend in sim.backends.values():
        if backend.leaving_since is None:
            continue
        for start in backend.starts:
            visible_since = max(
                backend.leaving_since, start.platform_reachable_since
            )
            if start.time > visible_since + LEAVING_GRACE:
                text = (
                    f"{backend.spec.name} has been leaving since "
                    f"{backend.leaving_since:.3f} but "
                )
                text += f"got a task at {start.time:.3f}"
                raise Violation("leaving", text)


def _check_revisions(sim):
    highest: dict[str, int] = {}
    for seen in sim.operators.seen_revisions:
        # Revision 0 means that the instance is not ready.
        if 0 < seen.revision < highest.get(seen.instance, 0):
            text = f"{seen.instance} went back to revision {seen.revision}"
            raise Violation("configuration", text)
        highest[seen.instance] = max(
            seen.revision, highest.get(seen.instance, 0)
        )


def check_end(sim) -> None:
    """Check at the end of a run that every answer is still true.

    Raises
    ------
    Violation
        If an answer became false, two answers contradict each other, or
        a controller raised.
    """
    check_always(sim)
    if sim.faults:
        raise Violation("controllers", sim.faults[0])
    for submission in sim.callers.submissions.values():
        for received in submission.answers:
            check_answer(sim, submission, received.answer)
        _check_contradiction(submission)


def _check_contradiction(submission):
    """Check that no later answer contradicts an earlier one.

    After a complete answer the owner may die or forget the answer; a
    later request is then answered failed, and the first answer stands.
    """
    kinds: set[type] = set()
    for answer in submission.final_answers:
        kind = type(answer)
        explained = getattr(answer, "code", "") in CODES_AFTER_COMPLETE
        follows_complete = types.Complete in kinds and explained
        if kinds - {kind} and not follows_complete and kind not in kinds:
            text = (
                f"{submission.label} is {kind.__name__} after another answer"
            )
            raise Violation("whole", text)
        kinds.add(kind)


def check_stop(sim, instance) -> None:
    """Check that no request is open when an instance has drained.

    Raises
    ------
    Violation
        If a caller still waits for this instance.
    """
    for request in sim.callers.open_requests_at(instance.name):
        text = (
            f"{instance.name} ends while {request.label} waits for an answer"
        )
        raise Violation("graceful", text)
