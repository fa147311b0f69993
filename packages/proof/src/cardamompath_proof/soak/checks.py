"""Checks of a soak on the records of its clients and executors.

Each check returns one line for each violation of a promise.
"""

from __future__ import annotations

import collections
import json
import math
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from cardamompath_proof.soak import clients

__all__ = [
    "Counts",
    "Run",
    "check_all",
    "read_runs",
]

PUBLICATION_TIME = 2.0
"""Seconds after which a published version has to be in force everywhere, by
the requirements."""
RECOVERY_TIME = 3.0
"""Seconds from the end of a disturbance until `PUBLICATION_TIME` applies to
the instance again."""
CLOCK_TOLERANCE = 0.02
"""Seconds by which the times recorded by two processes may differ."""
ANSWER_TOLERANCE = 1.0
"""Seconds after its timeout in which a client still has to get an answer."""
MIN_REQUEST_TIME = 0.2
"""Seconds after which a request counts as read by the instance."""
SHUTDOWN_TIME = 6.0
"""Seconds from SIGTERM to the exit of a process."""


class Run(NamedTuple):
    """One run of a task, as its executor recorded it."""

    task: str
    attempt: int
    executor: str
    began: float
    ended: float
    state: str
    """Empty if the executor was killed before the run ended."""


class Counts(NamedTuple):
    """What was checked."""

    jobs: int
    submissions: int
    complete: int
    refused: int
    starts: int
    route_queries: int


def read_runs(executors: Iterable[Any], end: float) -> list[Run]:
    """Read the runs that executors recorded, in all their incarnations.

    Parameters
    ----------
    executors : iterable of Executor
        With the logs and end times of their incarnations.
    end : float
        End of the soak; ends runs of incarnations that are still alive.
    """
    runs = []
    for executor in executors:
        for number, incarnation in enumerate(executor.incarnations):
            ended = (
                executor.end_times[number]
                if number < len(executor.end_times)
                else end
            )
            runs += _read_log(executor.name, incarnation.log, ended)
    return runs


def _read_log(name, path, ended):
    open_runs = {}
    runs = []
    for line in path.read_text().splitlines():
        if not line.startswith("{"):
            continue
        doc = json.loads(line)
        key = (doc["task"], doc["attempt"])
        if doc["event"] == "start":
            open_runs[key] = doc["at"]
        elif key in open_runs:
            began = open_runs.pop(key)
            runs.append(Run(*key, name, began, doc["at"], doc["how"]))
    for key, began in open_runs.items():
        runs.append(Run(*key, name, began, ended, ""))
    return runs


def check_all(
    submissions: Sequence[clients.Submission],
    queries: Sequence[clients.RouteQuery],
    runs: Sequence[Run],
    rig: Any,
) -> list[str]:
    """Return the violations that all checks found."""
    return [
        *check_concurrent_runs(runs),
        *check_submitted(submissions, runs),
        *check_answers(submissions, runs),
        *check_refusals(submissions, runs),
        *check_timeouts(submissions, rig),
        *check_shutdown(submissions, rig),
        *check_routes(queries, rig),
    ]


def check_concurrent_runs(runs: Sequence[Run]) -> list[str]:
    """Find tasks that ran on two executors at the same time."""
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    violations = []
    for task_runs in by_task.values():
        task_runs.sort(key=lambda run: run.began)
        for first, second in zip(task_runs, task_runs[1:], strict=False):
            if second.began < first.ended - CLOCK_TOLERANCE:
                violations.append(
                    f"two runs of a task at once: {first!r} {second!r}"
                )
    return violations


def check_submitted(
    submissions: Sequence[clients.Submission], runs: Sequence[Run]
) -> list[str]:
    """Find runs of tasks that no client submitted."""
    task_counts = {sub.job: sub.tasks for sub in submissions}
    violations = []
    for run in runs:
        job, _, _, index = run.task.rsplit(".", 3)
        if int(index) >= task_counts.get(job, 0):
            violations.append(f"run of a task that was not submitted: {run!r}")
    return violations


def check_answers(
    submissions: Sequence[clients.Submission], runs: Sequence[Run]
) -> list[str]:
    """Find jobs reported complete before all their tasks were done."""
    done_times = collections.defaultdict(dict)
    for run in runs:
        if run.state == "done":
            job, _, _, index = run.task.rsplit(".", 3)
            times = done_times[job]
            times[index] = min(run.ended, times.get(index, math.inf))
    violations = []
    for sub in submissions:
        if sub.state != "complete":
            continue
        times = done_times[sub.job]
        if len(times) < sub.tasks:
            violations.append(
                f"complete with {len(times)} tasks done: {sub!r}"
            )
        elif max(times.values()) > sub.ended + CLOCK_TOLERANCE:
            violations.append(f"complete before its last task ended: {sub!r}")
    return violations


def check_refusals(
    submissions: Sequence[clients.Submission], runs: Sequence[Run]
) -> list[str]:
    """Find jobs that ran although every submission was refused."""
    started = {run.task.rsplit(".", 3)[0] for run in runs}
    by_job = collections.defaultdict(list)
    for sub in submissions:
        by_job[sub.job].append(sub)
    return [
        f"refused, but started: {subs!r}"
        for job, subs in by_job.items()
        if job in started and all(sub.status in (429, 503) for sub in subs)
    ]


def check_timeouts(
    submissions: Sequence[clients.Submission], rig: Any
) -> list[str]:
    """Find answers that came after the client's timeout.

    Instances that were frozen during the request are exempt.
    """
    limit = clients.CLIENT_TIMEOUT_MS / 1000.0 + ANSWER_TOLERANCE
    freezes = {inst.name: inst.freezes for inst in rig.instances}
    return [
        f"answered late: {sub!r}"
        for sub in submissions
        if sub.status
        and sub.ended - sub.began > limit
        and not any(
            began < sub.ended and until > sub.began
            for began, until in freezes[sub.instance]
        )
    ]


def check_shutdown(
    submissions: Sequence[clients.Submission], rig: Any
) -> list[str]:
    """Find requests that an instance dropped when it shut down.

    Instances that another fault disturbed before their exit are exempt.
    """
    violations = []
    disturbances = {inst.name: inst.disturbances for inst in rig.instances}
    for sub in submissions:
        if sub.status or sub.ended - sub.began < MIN_REQUEST_TIME:
            continue
        terminations = rig.terminations.get(sub.instance, [])
        other_disturbances = disturbances[sub.instance]
        if any(
            at <= sub.ended <= at + SHUTDOWN_TIME
            and sub.began >= undisturbed_since
            and not any(
                at < began <= sub.ended for began, _ in other_disturbances
            )
            for at, undisturbed_since in terminations
        ):
            violations.append(f"dropped by a shutdown: {sub!r}")
    return violations


def check_routes(queries: Sequence[clients.RouteQuery], rig: Any) -> list[str]:
    """Find answers that no version in force at that time explains."""
    violations = []
    disturbances = {inst.name: inst.disturbances for inst in rig.instances}
    for query in queries:
        if query.status not in (200, 404):
            continue
        if _is_disturbed(disturbances[query.instance], query.began):
            continue
        allowed = _allowed_answers(rig.published, query)
        if (query.status == 200) not in allowed:
            violations.append(f"answer of a version not in force: {query!r}")
    return violations


def _is_disturbed(disturbances, at):
    return any(
        began <= at <= ended + RECOVERY_TIME + PUBLICATION_TIME
        for began, ended in disturbances
    )


def _allowed_answers(published, query):
    """Return whether the route may exist: a set of True, False or both."""
    allowed = set()
    following_times = [each.confirmed_at for each in published[1:]]
    for publication, replaced_at in zip(
        published, [*following_times, math.inf], strict=True
    ):
        if (
            publication.effective_from <= query.ended
            and query.began <= replaced_at + PUBLICATION_TIME
        ):
            allowed.add(query.route in publication.routes)
    return allowed
