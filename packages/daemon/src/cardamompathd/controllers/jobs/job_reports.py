"""Reports on jobs for operators and telemetry.

The functions read jobs and do not change them.
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
    "JobSummary",
    "list_jobs",
    "report_answer",
    "report_refusal",
]


class JobSummary(TypedDict):
    """An entry of the operators' list of jobs."""

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
    """Number of tasks whose result is known."""
    reason: str
    """Reason of the answer, or what the job waits for."""


def list_jobs(
    jobs: Iterable[Any], now: float, limit: int, stuck: bool
) -> list[JobSummary]:
    """List jobs, oldest first.

    Parameters
    ----------
    jobs : iterable of Job
        The jobs, in the order in which they were accepted.
    now : float
        The present time in seconds.
    limit : int
        Maximum number of entries.
    stuck : bool
        Whether to list only jobs unanswered past their deadline.
    """
    summaries = (_summarize(job, now) for job in jobs)
    selected = (
        summary for summary in summaries if not stuck or _is_stuck(summary)
    )
    return list(itertools.islice(selected, limit))


def _is_stuck(summary):
    return summary["state"] == "pending" and summary["overdue"] > 0


def _summarize(job, now) -> JobSummary:
    total = len(job.results)
    return {
        "job": job.job_id,
        "team": job.spec.team,
        "age": now - _accepted_at(job),
        "overdue": now - job.deadline,
        "state": _state(job.answer),
        "tasks": total,
        "settled": total - job.open_tasks,
        "reason": _reason(job),
    }


def _accepted_at(job):
    return job.deadline - job.spec.timeout


def _state(answer):
    return "pending" if answer is None else type(answer).__name__.lower()


def _reason(job):
    if job.answer is not None:
        return getattr(job.answer, "reason", "")
    if job.stop_code:
        return f"{job.stop_code}; waits for {job.open_tasks} tasks to settle"
    return f"waits for {job.open_tasks} tasks"


def report_answer(job: Any, now: float) -> messages.Send:
    """Return the message that reports an answered job to telemetry."""
    counts = collections.Counter(
        "unknown" if result is None else result.state for result in job.results
    )
    ended = messages.SubmissionEnded(
        job.spec.tasks[0].service,
        job.spec.team,
        _state(job.answer),
        getattr(job.answer, "code", ""),
        now - _accepted_at(job),
        now <= job.deadline,
        dict(counts),
        job.ideal_time,
        job.wasted_attempts,
    )
    return messages.Send(messages.TELEMETRY, ended)


def report_refusal(
    spec: types.JobSpec, refusal: types.Refused
) -> messages.Send:
    """Return the message that reports a refused submission to telemetry.

    The service is omitted if it is unknown: the caller chose its name,
    and each such name would add a metric series.
    """
    is_service_known = refusal.code != "unknown_service"
    ended = messages.SubmissionEnded(
        spec.tasks[0].service if is_service_known else "",
        spec.team,
        "refused",
        refusal.code,
        0.0,
        True,
        {"not_started": len(spec.tasks)},
    )
    return messages.Send(messages.TELEMETRY, ended)
