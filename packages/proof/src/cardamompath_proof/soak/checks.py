"""Checks of a soak on the records of its clients and executors.

Each check returns one line for each violation of a promise.
"""

from __future__ import annotations

import collections
import json
import math
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from cardamompath_proof.soak import clients
from cardamompath_proof.soak import rig as rigs

__all__ = [
    "Counts",
    "Run",
    "check_all",
    "evacuated_time",
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
CONTACT_TIME = 3.0
"""Seconds after its start from which time bounds hold for an instance."""
CAPACITY_TIME = CONTACT_TIME + rigs.HEARTBEAT_INTERVAL
"""Seconds for which a capacity counts after it has shrunk."""
MAX_FAILURES = 3
"""Ends as failed after which a job is given up."""
MAX_CRASHES = 2
"""Crashed executors after which a job may be given up."""
COUNTED_CRASHES = 3
"""Crashed executors after which `MAX_STARTS` holds."""
MAX_STARTS = 2
"""Maximum number of starts after so many crashes."""
LONGEST_LEASE = 1.2
"""Seconds that a lease lasts at most, with a tolerance for clocks."""
EVACUATION_TIME = rigs.EVACUATE_MS / 1000.0 + LONGEST_LEASE + CLOCK_TOLERANCE
"""Seconds after a failure domain was evacuated in which its last tasks may
start; an executor carries out an order as long as its lease lasts."""
CANCEL_TIME = 3.0
"""Seconds after a job was cancelled in which its last tasks may start."""
RECOVERY_BOUND = 12.0
"""Seconds after the last fault until jobs are served as usual."""
ERROR_MARK = '"level":"ERROR"'
"""Part of a log line of an error, in the form that instances write."""
REPLY_MARK = '"level":"ERROR","exception":"Timeout('
"""The same of a request for which an instance got no reply of its own."""
REPLY_TIMEOUT = 2.0
"""Seconds after which that is so, as `platform.frontend.REPLY_TIMEOUT`."""
MIN_SERVED_SHARE = 0.25
"""Share of the jobs that has to be served then."""


class Run(NamedTuple):
    """One run of a task, as its executor recorded it."""

    task: str
    attempt: int
    executor: str
    began: float
    ended: float
    state: str
    """As the executor ended it; "crashed" if it crashed the executor, empty
    if the executor ended for another cause."""
    load: int = 0
    """CPU share of all runs on the executor when it began, with its own."""
    capacity: float = math.inf
    """Capacity that counted then."""
    label: str | None = None
    """Label of the incarnation; None if the start was an order to its former
    one that was carried out late, as nothing keeps that out before a hold with
    a later token.  It shows by a lease on the clock of the former one, or as
    no hold was answered yet."""


class Counts(NamedTuple):
    """What was checked."""

    jobs: int
    submissions: int
    complete: int
    refused: int
    starts: int
    route_queries: int
    cancellations: int
    longest_stall: float
    """Longest time in seconds by which a thread of the driver woke late."""
    pressure: float
    """Share of the time in which some process waited for the processor."""
    evacuated: float = 0.0
    """Seconds, summed over failure domains, in which no task may start."""


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
    lines = path.read_text().splitlines()
    docs = [json.loads(line) for line in lines if line.startswith("{")]
    capacities = [(-math.inf, rigs.CAPACITY)]
    open_runs = {}
    runs = []
    booted_as, label = None, None
    for doc in docs:
        at = doc["at"]
        key = (doc.get("task"), doc.get("attempt"))
        if doc["event"] == "boot":
            booted_as = doc["label"]
        elif doc["event"] == "held":
            label = booted_as
        elif doc["event"] == "capacity":
            capacities.append((at, doc["cpu"]))
        elif doc["event"] == "start":
            load = doc["cpu"] + sum(load for _, load, _ in open_runs.values())
            is_late = doc.get("lease", 0.0) > LONGEST_LEASE
            own_label = None if is_late else label
            use = (load, _counted(capacities, at), own_label)
            open_runs[key] = (at, doc["cpu"], use)
        elif doc["event"] == "end" and key in open_runs:
            began, _, use = open_runs.pop(key)
            runs.append(Run(*key, name, began, at, doc["how"], *use))
        elif doc["event"] in ("crash", "exit"):
            ended = at
            if key in open_runs:
                began, _, use = open_runs.pop(key)
                runs.append(Run(*key, name, began, at, "crashed", *use))
            break
    for key, (began, _, use) in open_runs.items():
        runs.append(Run(*key, name, began, ended, "", *use))
    return runs


def _counted(capacities, at):
    """Return the largest capacity of the last `CAPACITY_TIME` seconds."""
    until = [since for since, _ in capacities[1:]] + [math.inf]
    return max(
        cpu
        for (_, cpu), end in zip(capacities, until, strict=True)
        if end > at - CAPACITY_TIME
    )


def check_all(
    submissions: Sequence[clients.Submission],
    queries: Sequence[clients.RouteQuery],
    cancellations: Sequence[clients.Cancellation],
    runs: Sequence[Run],
    rig: Any,
) -> list[str]:
    """Return the violations that all checks found."""
    cancelled = {each.job for each in cancellations}
    return [
        *rig.violations,
        *check_concurrent_runs(runs),
        *check_crashes(runs),
        *check_capacity(runs),
        *check_labels(submissions, runs),
        *check_cancelled(cancellations, runs, rig),
        *check_evacuated(runs, rig),
        *check_logs(rig),
        *check_failed(submissions, runs, cancelled),
        *check_recovery(submissions, rig.last_fault_at, rig.scarcities),
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


def check_crashes(runs: Sequence[Run]) -> list[str]:
    """Find tasks that were started too often after they crashed executors."""
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    violations = []
    for task, task_runs in by_task.items():
        crashes = sorted(
            run.ended for run in task_runs if run.state == "crashed"
        )
        if len(crashes) < COUNTED_CRASHES:
            continue
        counted_from = crashes[COUNTED_CRASHES - 1]
        starts = sum(run.began > counted_from for run in task_runs)
        if starts > MAX_STARTS:
            violations.append(
                f"{starts} starts of {task} after {COUNTED_CRASHES} crashes"
            )
    return violations


def check_capacity(runs: Sequence[Run]) -> list[str]:
    """Find starts that brought an executor over its capacity."""
    return [
        f"started over the capacity: {run!r}"
        for run in runs
        if run.load > run.capacity
    ]


def check_labels(
    submissions: Sequence[clients.Submission], runs: Sequence[Run]
) -> list[str]:
    """Find runs on executors without the label that their task needs."""
    needed = {sub.job: sub.label for sub in submissions}
    return [
        f"started without the label {needed[job]!r}: {run!r}"
        for job, run in ((run.task.rsplit(".", 3)[0], run) for run in runs)
        if needed.get(job) and run.label not in (None, needed[job])
    ]


def check_cancelled(
    cancellations: Sequence[clients.Cancellation],
    runs: Sequence[Run],
    rig: Any,
) -> list[str]:
    """Find tasks that started too late after their job was cancelled.

    Jobs are exempt once every instance that knew of it has ended.
    """
    answered: dict[str, float] = {}
    for each in cancellations:
        if each.status in (200, 410):
            at = answered.get(each.job, math.inf)
            answered[each.job] = min(at, each.ended)
    violations = []
    for run in runs:
        job = run.task.rsplit(".", 3)[0]
        since = answered.get(job, math.inf)
        if run.began > since + CANCEL_TIME and not _was_forgotten(
            rig, since, run.began
        ):
            violations.append(
                f"started {run.began - since:.2f} s after its job was "
                f"cancelled: {run!r}"
            )
    return violations


def _was_forgotten(rig, since, until):
    """Return whether no instance was up long enough at some time."""
    ends = [
        end
        for inst in rig.instances
        for end in inst.end_times
        if since < end < until
    ]
    return any(
        not any(_is_up(inst, at - CONTACT_TIME, at) for inst in rig.instances)
        for at in ends
    )


def _is_up(instance, since, until):
    """Return whether one incarnation was up, and went on."""
    ends = [*instance.end_times, math.inf]
    return any(
        each.began <= since and end > until
        for each, end in zip(instance.incarnations, ends, strict=False)
    )


def check_evacuated(runs: Sequence[Run], rig: Any) -> list[str]:
    """Find tasks that started in an evacuated failure domain."""
    domains = {each.name: each.domain for each in rig.executors}
    spans = _evacuated_spans(rig)
    return [
        f"started in {domain!r}, evacuated since {since:.2f}: {run!r}"
        for run in runs
        for domain, since, due, until in spans
        if domains[run.executor] == domain
        and due < run.began < until
        and run.label is not None
    ]


def evacuated_time(rig: Any, end: float) -> float:
    """Return for how long `check_evacuated` allowed no start, in seconds."""
    return sum(
        max(0.0, min(until, end) - due)
        for _, _, due, until in _evacuated_spans(rig)
    )


def _evacuated_spans(rig):
    """Return domain, request, begin and end of each span without starts.

    An outage of the store delays the begin, by the margins of `check_routes`.
    That single instances cannot reach the store does not, as others tell
    them.
    """
    spans = []
    for domain, since, until in rig.evacuations:
        due = since + EVACUATION_TIME
        for began, ended in sorted(rig.outages):
            known_from = ended + RECOVERY_TIME
            if began < due and known_from > since:
                due = max(due, known_from + EVACUATION_TIME)
        spans.append((domain, since, due, until))
    return spans


def check_logs(rig: Any) -> list[str]:
    """Find errors in the logs of instances.

    Lines that `_is_harmless` explains are exempt.
    """
    return [
        f"error in {each.log.name}: {line}"
        for instance in rig.instances
        for each in instance.incarnations
        for line in each.log.read_text(errors="replace").splitlines()
        if ERROR_MARK in line
        and not _is_harmless(line, instance, rig.clock_offset)
    ]


def _is_harmless(line, instance, clock_offset):
    """Return whether a freeze explains a request without a reply.

    A request that waits for its reply while the process is frozen gets none
    in time, and is answered with status 500.
    """
    if REPLY_MARK not in line:
        return False
    # The line of a process that was killed may be cut off.
    logged_at = line.partition('"time":')[2].partition(",")[0]
    at = float(logged_at) - clock_offset
    return any(
        began < at < until + REPLY_TIMEOUT for began, until in instance.freezes
    )


def check_failed(
    submissions: Sequence[clients.Submission],
    runs: Sequence[Run],
    cancelled: Collection[str] = (),
) -> list[str]:
    """Find answers that are neither complete nor failed for a cause.

    Those of jobs that a client cancelled may say so.
    """
    ends = collections.Counter(
        (run.task, run.state or "crashed") for run in runs
    )
    failed = {
        task.rsplit(".", 3)[0]
        for (task, state), count in ends.items()
        if (state == "failed" and count >= MAX_FAILURES)
        or (state == "crashed" and count >= MAX_CRASHES)
    }
    return [
        f"neither complete nor failed for a cause: {sub!r}"
        for sub in submissions
        if sub.status == 200
        and sub.state != "complete"
        and not (sub.state == "failed" and sub.job in failed)
        and not (sub.state == "cancelled" and sub.job in cancelled)
    ]


def check_recovery(
    submissions: Sequence[clients.Submission],
    last_fault_at: float,
    scarcities: Sequence[Sequence[float]] = (),
) -> list[str]:
    """Find that too few jobs are served long after the last fault.

    Runs in which as few were served before are exempt.  Jobs that were
    submitted while capacity was made scarce on purpose tell nothing about
    that: they would exempt most runs.
    """
    since = last_fault_at + RECOVERY_BOUND
    late = [sub for sub in submissions if sub.began > since]
    served = sum(sub.state == "complete" for sub in late)
    before = [
        sub
        for sub in submissions
        if sub.began <= last_fault_at
        and not any(began <= sub.began <= end for began, end in scarcities)
    ]
    served_before = sum(sub.state == "complete" for sub in before)
    if served >= MIN_SERVED_SHARE * len(
        late
    ) or served_before < MIN_SERVED_SHARE * len(before):
        return []
    return [f"{served} of {len(late)} jobs served after the last fault"]


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

    Instances that were frozen during the request, or that started less than
    `CONTACT_TIME` before it, are exempt.
    """
    exempt_spans = {
        inst.name: [
            *inst.freezes,
            *(
                (each.began, each.began + CONTACT_TIME)
                for each in inst.incarnations
            ),
        ]
        for inst in rig.instances
    }
    return [
        f"answered late: {sub!r}"
        for sub in submissions
        if sub.status
        and sub.ended - sub.began > sub.timeout + ANSWER_TOLERANCE
        and not any(
            began < sub.ended and until > sub.began
            for began, until in exempt_spans[sub.instance]
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
        if _gave_up(sub):
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


def _gave_up(sub):
    """Return whether the client left as soon as its timeout had passed."""
    return (
        sub.error.startswith("TimeoutError")
        and sub.ended - sub.began < sub.timeout + ANSWER_TOLERANCE
    )


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
