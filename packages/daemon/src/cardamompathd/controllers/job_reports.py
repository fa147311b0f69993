"""What the jobs controller says of its jobs to operators and telemetry.

The functions read jobs and change nothing.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterable
from typing import Any
from typing import TypedDict

from cardamompath_core import types
from cardamompathd import messages

__all__ = [
    "JobLine",
    "list_jobs",
    "observe",
    "observe_refusal",
]


class JobLine(TypedDict):
    """One job in the operators' list."""

    job: str
    team: str
    age: float
    """Seconds since the job was accepted."""
    overdue: float
    """Seconds past the deadline; negative before it."""
    state: str
    """``complete``, ``refused``, ``failed`` or ``pending``."""
    tasks: int
    settled: int
    """Tasks whose result is known."""
    reason: str


def list_jobs(
    jobs: Iterable[Any], now: float, limit: int, stuck: bool
) -> list[JobLine]:
    """List jobs, oldest first.

    Parameters
    ----------
    jobs : iterable of Job
        The jobs in the order of their acceptance.
    now : float
        The present time in seconds.
    limit : int
        Most lines to list.
    stuck : bool
        Whether to list only jobs unanswered past their deadline.
    """
    lines = (_line(job, now) for job in jobs)
    chosen = (line for line in lines if not stuck or _is_stuck(line))
    return list(itertools.islice(chosen, limit))


def _is_stuck(line):
    return line["state"] == "pending" and line["overdue"] > 0


def _line(job, now) -> JobLine:
    total = len(job.results)
    return {
        "job": job.job,
        "team": job.spec.team,
        "age": now - _accepted(job),
        "overdue": now - job.deadline,
        "state": _state(job.answer),
        "tasks": total,
        "settled": total - job.open,
        "reason": _reason(job),
    }


def _accepted(job):
    return job.deadline - job.spec.timeout


def _state(answer):
    return "pending" if answer is None else type(answer).__name__.lower()


def _reason(job):
    if job.answer is not None:
        return getattr(job.answer, "reason", "")
    if job.cancelled:
        return f"{job.cancelled}; waits for {job.open} tasks to settle"
    return f"waits for {job.open} tasks"


def observe(job: Any, now: float) -> messages.Send:
    """Make the observation of an answered job."""
    counts = collections.Counter(
        "unknown" if one is None else one.state for one in job.results
    )
    observed = messages.SubmissionEnded(
        job.spec.tasks[0].service,
        job.spec.team,
        _state(job.answer),
        getattr(job.answer, "code", ""),
        now - _accepted(job),
        now <= job.deadline,
        dict(counts),
        job.ideal_time,
        job.wasted_attempts,
    )
    return messages.Send(messages.TELEMETRY, observed)


def observe_refusal(
    spec: types.JobSpec, refusal: types.Refused
) -> messages.Send:
    """Make the observation of a submission that was not accepted.

    The service is left out when it is unknown: its name is the
    caller's and would make a series of its own.
    """
    known = refusal.code != "unknown_service"
    observed = messages.SubmissionEnded(
        spec.tasks[0].service if known else "",
        spec.team,
        "refused",
        refusal.code,
        0.0,
        True,
        {"not_started": len(spec.tasks)},
    )
    return messages.Send(messages.TELEMETRY, observed)
