"""What a soak checks, from what clients and executors saw.

Each check returns a line for each promise that was broken.
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

IN_FORCE = 2.0
"""Seconds in which a version has to be in force, by the users' bounds."""
IN_TOUCH = 3.0
"""Seconds without a disturbance after which that holds for an instance."""
OVERLAP = 0.02
"""Seconds by which the records of two executors may differ."""
LATE_ANSWER = 1.0
"""Seconds beyond its limit in which a client has its answer."""
CUT_AFTER = 0.2
"""Seconds that a request has to be underway to count as read."""
GRACE = 6.0
"""Seconds from SIGTERM to the end of a process."""


class Run(NamedTuple):
    """One run of a task as its executor recorded it."""

    task: str
    attempt: int
    executor: str
    began: float
    ended: float
    how: str
    """Empty when its executor was killed before it ended."""


class Counts(NamedTuple):
    """What was checked."""

    jobs: int
    sends: int
    complete: int
    refused: int
    starts: int
    looks: int


def read_runs(executors: Iterable[Any], until: float) -> list[Run]:
    """Read what executors recorded, in all their lives.

    Parameters
    ----------
    executors : iterable of Executor
        With the logs of their lives, and when each one ended.
    until : float
        End of the soak, for lives that went on.
    """
    runs = []
    for one in executors:
        for number, life in enumerate(one.lives):
            ended = one.ended[number] if number < len(one.ended) else until
            runs += _read_life(one.name, life.log, ended)
    return runs


def _read_life(name, path, ended):
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
    sends: Sequence[clients.Send],
    looks: Sequence[clients.Look],
    runs: Sequence[Run],
    rig: Any,
) -> list[str]:
    """Return what was broken."""
    return [
        *check_single_runs(runs),
        *check_asked(sends, runs),
        *check_answers(sends, runs),
        *check_refusals(sends, runs),
        *check_limits(sends, rig),
        *check_shutdown(sends, rig),
        *check_routes(looks, rig),
    ]


def check_single_runs(runs: Sequence[Run]) -> list[str]:
    """Find tasks that ran on two executors at the same time."""
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    faults = []
    for some in by_task.values():
        some.sort(key=lambda run: run.began)
        for first, second in zip(some, some[1:], strict=False):
            if second.began < first.ended - OVERLAP:
                faults.append(f"two runs at once: {first!r} {second!r}")
    return faults


def check_asked(
    sends: Sequence[clients.Send], runs: Sequence[Run]
) -> list[str]:
    """Find runs of what nobody submitted."""
    sizes = {one.job: one.tasks for one in sends}
    faults = []
    for run in runs:
        job, _, _, index = run.task.rsplit(".", 3)
        if int(index) >= sizes.get(job, 0):
            faults.append(f"nobody asked for {run!r}")
    return faults


def check_answers(
    sends: Sequence[clients.Send], runs: Sequence[Run]
) -> list[str]:
    """Find jobs that were complete before each task had ended well."""
    done = collections.defaultdict(dict)
    for run in runs:
        if run.how == "done":
            job, _, _, index = run.task.rsplit(".", 3)
            ends = done[job]
            ends[index] = min(run.ended, ends.get(index, math.inf))
    faults = []
    for one in sends:
        if one.state != "complete":
            continue
        ends = done[one.job]
        if len(ends) < one.tasks:
            faults.append(f"complete with {len(ends)} tasks done: {one!r}")
        elif max(ends.values()) > one.ended + OVERLAP:
            faults.append(f"complete before its last task ended: {one!r}")
    return faults


def check_refusals(
    sends: Sequence[clients.Send], runs: Sequence[Run]
) -> list[str]:
    """Find jobs that started though every try was refused."""
    started = {run.task.rsplit(".", 3)[0] for run in runs}
    tries = collections.defaultdict(list)
    for one in sends:
        tries[one.job].append(one)
    return [
        f"refused, but started: {some!r}"
        for job, some in tries.items()
        if job in started and all(one.status in (429, 503) for one in some)
    ]


def check_limits(sends: Sequence[clients.Send], rig: Any) -> list[str]:
    """Find answers that came after the time that the client waits.

    An instance that is frozen when the time comes answers later.
    """
    limit = clients.WAIT_MS / 1000.0 + LATE_ANSWER
    frozen = {one.name: one.frozen for one in rig.instances}
    return [
        f"answered late: {one!r}"
        for one in sends
        if one.status
        and one.ended - one.began > limit
        and not any(
            began < one.ended and until > one.began
            for began, until in frozen[one.instance]
        )
    ]


def check_shutdown(sends: Sequence[clients.Send], rig: Any) -> list[str]:
    """Find requests that a process cut off when it was asked to end.

    Not those of a process that another fault met before its end.
    """
    faults = []
    disturbed = {one.name: one.disturbed for one in rig.instances}
    for one in sends:
        if one.status or one.ended - one.began < CUT_AFTER:
            continue
        spans = rig.terminated.get(one.instance, [])
        others = disturbed[one.instance]
        if any(
            at <= one.ended <= at + GRACE
            and one.began >= clean
            and not any(at < began <= one.ended for began, _ in others)
            for at, clean in spans
        ):
            faults.append(f"cut off by a shutdown: {one!r}")
    return faults


def check_routes(looks: Sequence[clients.Look], rig: Any) -> list[str]:
    """Find routes that no version in force allows."""
    faults = []
    spans = {one.name: one.disturbed for one in rig.instances}
    for look in looks:
        if look.status not in (200, 404):
            continue
        if _is_disturbed(spans[look.instance], look.began):
            continue
        allowed = _possible(rig.published, look)
        if (look.status == 200) not in allowed:
            faults.append(f"route of another version: {look!r}")
    return faults


def _is_disturbed(spans, at):
    return any(
        began <= at <= ended + IN_TOUCH + IN_FORCE for began, ended in spans
    )


def _possible(published, look):
    """Return the answers that versions in force may give."""
    allowed = set()
    for number, (at, _, routes) in enumerate(published):
        following = published[number + 1 : number + 2]
        over = following[0][0] + IN_FORCE if following else math.inf
        if at <= look.ended and look.began <= over:
            allowed.add(look.route in routes)
    return allowed
