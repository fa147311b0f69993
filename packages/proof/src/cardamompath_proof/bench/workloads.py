"""Workloads: arrivals of jobs, and behaviour of the backend servers.

Sizes are seconds of work on a backend server of speed 1.
"""

from __future__ import annotations

import random
from typing import NamedTuple

__all__ = [
    "DOMAINS",
    "Arrival",
    "Fault",
    "Kind",
    "Task",
    "Workload",
    "catalogue",
    "draw_arrivals",
]

DOMAINS = ("north", "south", "east", "west")
BACKENDS = 24
SLOTS = 8
CONNECTIONS = 64
INSTANCES = 8

STRAGGLER_SHARE = 0.005
STRAGGLER_FACTOR = 30.0
SIZE_SPREAD = 0.2
"""Largest relative deviation of a task's size from that of its kind."""
IDEMPOTENT_SHARE = 0.4
BASE_TIMEOUT = 2.0
"""Seconds of a timeout that do not depend on the size of the task."""
TIMEOUT_PER_SIZE = 5.0
"""Seconds of a timeout per second of the task's size."""
JOB_TIMEOUT = 60.0
"""Seconds of the timeout of a job with several tasks."""
DOMAIN_SPEEDS = (1.0, 1.0, 2.0, 2.0, 4.0, 4.0)


class Kind(NamedTuple):
    """A kind of task."""

    name: str
    size: float
    share: float
    """Share of this kind among all tasks."""


MIX = (
    Kind("confirm", 0.05, 0.30),
    Kind("stock", 0.10, 0.25),
    Kind("reserve", 0.25, 0.20),
    Kind("release", 0.50, 0.14),
    Kind("fitting", 1.00, 0.10),
    Kind("report", 4.00, 0.01),
)
SHORT = (Kind("short", 0.05, 1.0),)
SHORT_AND_LONG = (Kind("short", 0.05, 0.95), Kind("long", 5.0, 0.05))


class Fault(NamedTuple):
    """Faulty behaviour of a backend server during an interval."""

    backend: int
    mode: str
    """``fail``, ``silent`` or ``slow``."""
    at: float
    until: float = float("inf")


class Task(NamedTuple):
    """One task with its true and its declared size."""

    kind: str
    size: float
    declared: float | None


class Arrival(NamedTuple):
    """A submission to an instance."""

    at: float
    instance: int
    tasks: tuple[Task, ...]
    timeout: float
    idempotent: bool
    cancel_at: float | None = None


class Workload(NamedTuple):
    """Parameters of a run, except for the policy."""

    name: str
    seed: int
    kinds: tuple[Kind, ...] = MIX
    load: float = 0.7
    """Offered load relative to the capacity of all backend servers."""
    seconds: float = 20.0
    warm_up: float = 4.0
    """Seconds at the start whose arrivals are not measured."""
    speeds: tuple[float, ...] = (1.0,) * BACKENDS
    stragglers: bool = True
    swing: tuple[float, float, float] | None = None
    """Start and end in seconds, and the factor on the arrival rate."""
    swing_on: tuple[int, ...] = tuple(range(INSTANCES))
    """Instances at which the rate rises."""
    tasks_per_job: int = 1
    declared_error: float = 1.0
    """Largest factor by which a declared size is too large or too small."""
    faults: tuple[Fault, ...] = ()
    cancelled_jobs: int = 0
    """Number of jobs of 200 tasks that arrive halfway and are cancelled."""
    instances: int = INSTANCES


def draw_arrivals(workload: Workload) -> list[Arrival]:
    """Draw the arrivals of a workload, sorted by time."""
    rng = random.Random(workload.seed)
    drawn = []
    for instance in range(workload.instances):
        drawn += _draw_arrivals_at(workload, instance, rng)
    if workload.cancelled_jobs:
        drawn += _draw_cancelled(workload, rng)
    return sorted(drawn)


def _draw_arrivals_at(workload, instance, rng):
    capacity = sum(workload.speeds) * SLOTS
    rate = workload.load * capacity / _mean_size(workload) / workload.instances
    rate /= workload.tasks_per_job
    now = 0.0
    drawn = []
    while True:
        now += rng.expovariate(rate * _swing_factor(workload, instance, now))
        if now >= workload.seconds:
            return drawn
        drawn.append(_draw_arrival(workload, instance, now, rng))


def _swing_factor(workload, instance, now):
    if workload.swing is None or instance not in workload.swing_on:
        return 1.0
    start, end, factor = workload.swing
    return factor if start <= now < end else 1.0


def _mean_size(workload):
    mean = sum(kind.size * kind.share for kind in workload.kinds)
    if workload.stragglers:
        mean *= 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
    return mean


def _draw_arrival(workload, instance, now, rng):
    tasks = []
    nominal = 0.0
    for _ in range(workload.tasks_per_job):
        task, size = _draw_task(workload, rng)
        tasks.append(task)
        nominal += size
    single = workload.tasks_per_job == 1
    timeout = (
        BASE_TIMEOUT + TIMEOUT_PER_SIZE * nominal if single else JOB_TIMEOUT
    )
    idempotent = single and rng.random() < IDEMPOTENT_SHARE
    return Arrival(now, instance, tuple(tasks), timeout, idempotent)


def _draw_task(workload, rng):
    kind = rng.choices(
        workload.kinds, [each.share for each in workload.kinds]
    )[0]
    nominal = kind.size * rng.uniform(1 - SIZE_SPREAD, 1 + SIZE_SPREAD)
    size = nominal
    if workload.stragglers and rng.random() < STRAGGLER_SHARE:
        size *= STRAGGLER_FACTOR
    error = workload.declared_error ** rng.uniform(-1, 1)
    return Task(kind.name, size, nominal * error), nominal


def _draw_cancelled(workload, rng):
    middle = workload.seconds / 2
    drawn = []
    for index in range(workload.cancelled_jobs):
        tasks = tuple(_draw_task(workload, rng)[0] for _ in range(200))
        arrival = Arrival(
            middle + 0.002 * index,
            index % workload.instances,
            tasks,
            JOB_TIMEOUT,
            False,
            middle + 1.0,
        )
        drawn.append(arrival)
    return drawn


def catalogue(scale: float = 1.0) -> tuple[Workload, ...]:
    """Return the workloads of the table.

    Parameters
    ----------
    scale : float
        Factor on the length of most runs without a swing or a fault.
    """
    swing = (5.0, 10.0, 10.0)
    uneven_speeds = DOMAIN_SPEEDS * len(DOMAINS)
    fault_at = 5.0
    return (
        Workload("steady", 11, seconds=4.0 + 10.0 * scale),
        Workload("speeds 1:4", 12, seconds=9.0, speeds=uneven_speeds),
        Workload("jobs of 200", 13, seconds=24.0, tasks_per_job=200),
        Workload(
            "swing on one",
            14,
            load=0.2,
            seconds=13.0,
            swing=swing,
            swing_on=(0,),
        ),
        Workload("swing on all", 15, load=0.2, seconds=17.0, swing=swing),
        Workload(
            "short only",
            16,
            SHORT,
            seconds=1.0 + 2.0 * scale,
            warm_up=1.0,
            stragglers=False,
        ),
        Workload(
            "short and long",
            16,
            SHORT_AND_LONG,
            seconds=8.0 + 16.0 * scale,
            warm_up=8.0,
            stragglers=False,
        ),
        Workload(
            "one fails all",
            17,
            seconds=10.0,
            faults=(Fault(0, "fail", fault_at),),
        ),
        Workload(
            "one silent",
            18,
            seconds=10.0,
            faults=(Fault(0, "silent", fault_at),),
        ),
        Workload(
            "one turns slow",
            19,
            seconds=10.0,
            faults=(Fault(0, "slow", fault_at),),
        ),
        Workload(
            "declared wrong",
            20,
            seconds=4.0 + 6.0 * scale,
            declared_error=10.0,
        ),
        Workload(
            "240 servers",
            22,
            seconds=2.0,
            warm_up=0.5,
            speeds=(1.0,) * 10 * BACKENDS,
        ),
        Workload("cancel 5000", 21, seconds=10.0, cancelled_jobs=25),
    )
