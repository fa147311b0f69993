"""Checks of the answers and start counts that a drill collected."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

__all__ = [
    "check_answers",
    "check_task_states",
    "count_starts",
]


def count_starts(
    job: str, start_pages: Iterable[Mapping[str, int]]
) -> collections.Counter[int]:
    """Count the starts of each task of a job, by the task's index.

    Parameters
    ----------
    job : str
        Identifier of the job.
    start_pages : iterable of dict
        Answer of each backend server to ``/v1/starts``: starts by task
        identifier.
    """
    counts: collections.Counter[int] = collections.Counter()
    for start_page in start_pages:
        for task, count in start_page.items():
            owner, _, index = task.rpartition("/")
            if owner == job:
                counts[int(index)] += count
    return counts


def check_task_states(
    tasks: Sequence[Mapping[str, Any]], starts: Mapping[int, int]
) -> list[str]:
    """Compare task states with the starts at the backend servers.

    Parameters
    ----------
    tasks : sequence of dict
        Tasks of an answer, in order.
    starts : dict
        Starts by index of the task.

    Returns
    -------
    list of str
        One line per failed check.
    """
    failures = [
        f"task {index} started {count} times"
        for index, count in sorted(starts.items())
        if count > 1
    ]
    for index, task in enumerate(tasks):
        state = task["state"]
        if state == "not_started" and starts.get(index):
            failures.append(f"task {index} is 'not_started', but was started")
        if state in ("finished", "failed") and not starts.get(index):
            failures.append(
                f"task {index} is {state!r}, but was never started"
            )
    return failures


def check_answers(
    answers: Mapping[str, tuple[int, Mapping[str, Any]]], total: int
) -> list[str]:
    """Check that all instances answer the same, failed and with every task.

    Parameters
    ----------
    answers : dict
        HTTP status and body by name of the instance.
    total : int
        Number of tasks of the job.

    Returns
    -------
    list of str
        One line per failed check.
    """
    failures = []
    first = next(iter(answers.values()))
    for name, (status, body) in answers.items():
        if (status, body) != first:
            failures.append(
                f"{name} answers differently from the first instance"
            )
        if status != 502 or body.get("outcome") != "failed":
            failures.append(
                f"{name} answers {status}, {body.get('outcome')!r}"
            )
        if len(body.get("tasks", ())) != total:
            failures.append(
                f"{name}: number of tasks is {len(body.get('tasks', ()))}"
            )
    return failures
