"""Checks of the drill on answers and starts of tasks."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

__all__ = [
    "check_answers",
    "check_states",
    "count_starts",
]


def count_starts(
    job: str, pages: Iterable[Mapping[str, int]]
) -> collections.Counter[int]:
    """Count the starts of each task of a job, by index.

    Parameters
    ----------
    job : str
        Identifier of the job.
    pages : iterable of dict
        Answer of each backend server to ``/v1/starts``.
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
    """Compare the states of tasks with their starts at backend servers.

    Returns
    -------
    list of str
        One line for each fault.
    """
    faults = [
        f"task {index} started {count} times"
        for index, count in sorted(starts.items())
        if count > 1
    ]
    for index, task in enumerate(tasks):
        state = task["state"]
        if state == "not_started" and starts.get(index):
            faults.append(f"task {index} is 'not_started', but was started")
        if state in ("finished", "failed") and not starts.get(index):
            faults.append(f"task {index} is {state!r}, but was never started")
    return faults


def check_answers(
    answers: Mapping[str, tuple[int, Mapping[str, Any]]], total: int
) -> list[str]:
    """Check that all instances return the same complete, failed answer.

    Parameters
    ----------
    answers : dict
        Status and body by name of the instance.
    total : int
        Number of tasks of the job.

    Returns
    -------
    list of str
        One line for each fault.
    """
    faults = []
    first = next(iter(answers.values()))
    for name, (status, body) in answers.items():
        if (status, body) != first:
            faults.append(
                f"{name} returns another answer than the first instance"
            )
        if status != 502 or body.get("outcome") != "failed":
            faults.append(f"{name} returns {status}, {body.get('outcome')!r}")
        if len(body.get("tasks", ())) != total:
            faults.append(
                f"{name}: number of tasks is {len(body.get('tasks', ()))}"
            )
    return faults
