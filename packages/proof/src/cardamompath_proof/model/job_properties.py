"""What has to hold in every state of the model of a job."""

from __future__ import annotations

from cardamompath_proof.model import job_rules

__all__ = [
    "INVARIANTS",
    "WITNESSES",
]


def _starts_once(state):
    return max(state["starts"]) <= 1


def _complete_is_whole(state):
    return state["told"] != "complete" or set(state["starts"]) == {1}


def _not_run_is_true(state):
    settled = state["settled"] or ("", ())
    if "refused" in (state["told"], settled[0]) and max(state["starts"]):
        return False
    said = state["owner_said"] if state["told"] == "failed" else ""
    return not any(
        start and denied
        for start, denied in [
            *zip(state["starts"], (one == "n" for one in said), strict=False),
            *zip(
                state["starts"],
                (one == "not_started" for one in settled[1]),
                strict=False,
            ),
        ]
    )


def _finished_is_true(state):
    said = (state["settled"] or ("", ()))[1]
    return all(
        start or one != "finished"
        for start, one in zip(state["starts"], said, strict=False)
    )


def _dead_starts_nothing(state):
    return not state["late"]


def _settlement_is_final(state):
    return not state["crossed"]


def _settlement_is_one(state):
    log = state["log"]
    answers = set()
    for end in range(len(log) + 1):
        answer = job_rules.settle(job_rules.ledger(log[:end]), 1, False)
        if answer is not None:
            answers.add(job_rules.said(answer))
    return len(answers) <= 1


INVARIANTS = {
    "no task starts twice": _starts_once,
    "complete means that every task ran once": _complete_is_whole,
    "not run and not started are true": _not_run_is_true,
    "finished is true": _finished_is_true,
    "a dead owner starts nothing": _dead_starts_nothing,
    "no complete answer after a settlement": _settlement_is_final,
    "every reader settles alike": _settlement_is_one,
}
"""Properties of every reachable state."""

WITNESSES = {
    "complete": lambda state: state["told"] == "complete",
    "failed": lambda state: state["told"] == "failed",
    "refused": lambda state: state["told"] == "refused",
    "given up, and ran": lambda state: (
        "u" in state["tasks"] and max(state["starts"]) == 1
    ),
    "settled": lambda state: state["settled"] is not None,
    "declared dead": lambda state: any(
        kind == "death" for kind, _ in state["log"]
    ),
}
"""What has to be reachable, so that the properties are not empty."""
