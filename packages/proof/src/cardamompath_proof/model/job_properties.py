"""Invariants and witnesses of the model of a job."""

from __future__ import annotations

from cardamompath_proof.model import job_rules

__all__ = [
    "INVARIANTS",
    "WITNESSES",
]


def _starts_at_most_once(state):
    return max(state["start_counts"]) <= 1


def _complete_means_all_ran(state):
    return state["owner_answer"] != "complete" or set(
        state["start_counts"]
    ) == {1}


def _not_run_is_correct(state):
    peer_answer = state["peer_answer"] or ("", ())
    if "refused" in (state["owner_answer"], peer_answer[0]) and max(
        state["start_counts"]
    ):
        return False
    owner_states = (
        state["owner_task_states"] if state["owner_answer"] == "failed" else ""
    )
    return not any(
        start and denied
        for start, denied in [
            *zip(
                state["start_counts"],
                (letter == "n" for letter in owner_states),
                strict=False,
            ),
            *zip(
                state["start_counts"],
                (name == "not_started" for name in peer_answer[1]),
                strict=False,
            ),
        ]
    )


def _finished_is_correct(state):
    task_states = (state["peer_answer"] or ("", ()))[1]
    return all(
        start or task_state != "finished"
        for start, task_state in zip(
            state["start_counts"], task_states, strict=False
        )
    )


def _dead_owner_starts_nothing(state):
    return not state["started_when_dead"]


def _settlement_is_final(state):
    return not state["completed_after_settlement"]


def _settlement_is_unique(state):
    log = state["log"]
    answers = set()
    for end in range(len(log) + 1):
        answer = job_rules.settle(job_rules.fold_ledger(log[:end]), 1, False)
        if answer is not None:
            answers.add(job_rules.summarize_answer(answer))
    return len(answers) <= 1


INVARIANTS = {
    "no task starts twice": _starts_at_most_once,
    "complete means that every task ran once": _complete_means_all_ran,
    "not run and not started are true": _not_run_is_correct,
    "finished is true": _finished_is_correct,
    "a dead owner starts nothing": _dead_owner_starts_nothing,
    "no complete answer after a settlement": _settlement_is_final,
    "every reader settles alike": _settlement_is_unique,
}
"""Properties that hold in every reachable state."""

WITNESSES = {
    "complete": lambda state: state["owner_answer"] == "complete",
    "failed": lambda state: state["owner_answer"] == "failed",
    "refused": lambda state: state["owner_answer"] == "refused",
    "given up, and ran": lambda state: (
        "u" in state["task_states"] and max(state["start_counts"]) == 1
    ),
    "settled": lambda state: state["peer_answer"] is not None,
    "declared dead": lambda state: any(
        kind == "death" for kind, _ in state["log"]
    ),
}
"""States that have to be reachable, so that no property holds vacuously."""
