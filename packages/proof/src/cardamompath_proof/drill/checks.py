"""What the drill checks, as functions of what it saw."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

__all__ = [
    "check_answers",
    "check_states",
    "starts_of",
]


def starts_of(
    job: str, pages: Iterable[Mapping[str, int]]
) -> collections.Counter[int]:
    """Count the starts of each task of a job, by index.

    Parameters
    ----------
    job : str
        Identifier of the job.
    pages : iterable of dict
        What each backend server answers to ``/v1/starts``.
    """
    counts: collections.Counter[int] = collections.Counter()
    for page in pages:
        for task, count in page.items():
            owner, _, index = task.rpartition("/")
            if owner == job:
                counts[int(index)] += count
    return counts


def check_states(
    tasks: Sequence[Mapping[str, Any]], starts: Mapping[int, int]
) -> list[str]:
    """Compare an answer with the starts at the backend servers.

    Returns
    -------
    list of str
        A line for each fault; none when all is right.
    """
    faults = [
        f"task {index} started {count} times"
        for index, count in sorted(starts.items())
        if count > 1
    ]
    for index, task in enumerate(tasks):
        state = task["state"]
        if state == "not_started" and starts.get(index):
            faults.append(f"task {index} is 'not_started', but started")
        if state in ("finished", "failed") and not starts.get(index):
            faults.append(f"task {index} is {state!r}, but never started")
    return faults


def check_answers(
    answers: Mapping[str, tuple[int, Mapping[str, Any]]], total: int
) -> list[str]:
    """Check that all instances give the same whole, failed answer.

    Parameters
    ----------
    answers : dict
        From the name of an instance to status and body.
    total : int
        Tasks of the job.

    Returns
    -------
    list of str
        A line for each fault; none when all is right.
    """
    faults = []
    first = next(iter(answers.values()))
    for name, (status, body) in answers.items():
        if (status, body) != first:
            faults.append(f"{name} answers otherwise than the first")
        if status != 502 or body.get("outcome") != "failed":
            faults.append(f"{name} answers {status}, {body.get('outcome')!r}")
        if len(body.get("tasks", ())) != total:
            faults.append(f"{name} tells of {len(body.get('tasks', ()))}")
    return faults
