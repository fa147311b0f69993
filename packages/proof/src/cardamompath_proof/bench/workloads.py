"""Workloads: what arrives when, and how the backend servers behave.

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
    "arrivals",
    "catalogue",
]

DOMAINS = ("north", "south", "east", "west")
BACKENDS = 24
SLOTS = 8
CONNECTIONS = 64
INSTANCES = 8

STRAGGLER_SHARE = 0.005
STRAGGLER_FACTOR = 30.0
SIZE_SPREAD = 0.2
IDEMPOTENT_SHARE = 0.4
SLACK = 2.0
"""Seconds of a deadline that do not depend on the size."""
SLACK_PER_SIZE = 5.0
JOB_TIMEOUT = 60.0
SPEEDS_OF_A_DOMAIN = (1.0, 1.0, 2.0, 2.0, 4.0, 4.0)


class Kind(NamedTuple):
    """Tasks of one sort."""

    name: str
    size: float
    share: float
    """Share of the tasks, all kinds adding up to 1."""


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
    """A backend server that misbehaves from a time on."""

    backend: int
    what: str
    """``fail``, ``silent`` or ``slow``."""
    at: float
    until: float = float("inf")


class Task(NamedTuple):
    """One task with its true size."""

    kind: str
    size: float
    declared: float | None


class Arrival(NamedTuple):
    """A submission at an instance."""

    at: float
    instance: int
    tasks: tuple[Task, ...]
    timeout: float
    idempotent: bool
    cancel_at: float | None = None


class Workload(NamedTuple):
    """Everything that one run is made from, but for the policy."""

    name: str
    seed: int
    kinds: tuple[Kind, ...] = MIX
    load: float = 0.7
    """Offered work over the capacity of all backend servers."""
    seconds: float = 20.0
    warm_up: float = 4.0
    """Seconds whose arrivals are not measured."""
    speeds: tuple[float, ...] = (1.0,) * BACKENDS
    stragglers: bool = True
    swing: tuple[float, float, float] | None = None
    """Start and end in seconds, and the factor."""
    swing_on: tuple[int, ...] = tuple(range(INSTANCES))
    tasks_per_job: int = 1
    declared_error: float = 1.0
    """Declared sizes are wrong by up to this factor either way."""
    faults: tuple[Fault, ...] = ()
    cancelled_jobs: int = 0
    """Jobs of 200 tasks that arrive halfway and are cancelled."""
    instances: int = INSTANCES


def arrivals(load: Workload) -> list[Arrival]:
    """Draw the arrivals of a workload, in order of time."""
    rng = random.Random(load.seed)
    found = []
    for instance in range(load.instances):
        found += _arrivals_at(load, instance, rng)
    if load.cancelled_jobs:
        found += _cancelled(load, rng)
    return sorted(found)


def _arrivals_at(load, instance, rng):
    capacity = sum(load.speeds) * SLOTS
    rate = load.load * capacity / _mean_size(load) / load.instances
    rate /= load.tasks_per_job
    now = 0.0
    found = []
    while True:
        now += rng.expovariate(rate * _factor(load, instance, now))
        if now >= load.seconds:
            return found
        found.append(_arrival(load, instance, now, rng))


def _factor(load, instance, now):
    if load.swing is None or instance not in load.swing_on:
        return 1.0
    start, end, factor = load.swing
    return factor if start <= now < end else 1.0


def _mean_size(load):
    mean = sum(kind.size * kind.share for kind in load.kinds)
    if load.stragglers:
        mean *= 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
    return mean


def _arrival(load, instance, now, rng):
    tasks = []
    nominal = 0.0
    for _ in range(load.tasks_per_job):
        task, size = _task(load, rng)
        tasks.append(task)
        nominal += size
    single = load.tasks_per_job == 1
    timeout = SLACK + SLACK_PER_SIZE * nominal if single else JOB_TIMEOUT
    idempotent = single and rng.random() < IDEMPOTENT_SHARE
    return Arrival(now, instance, tuple(tasks), timeout, idempotent)


def _task(load, rng):
    kind = rng.choices(load.kinds, [one.share for one in load.kinds])[0]
    nominal = kind.size * rng.uniform(1 - SIZE_SPREAD, 1 + SIZE_SPREAD)
    size = nominal
    if load.stragglers and rng.random() < STRAGGLER_SHARE:
        size *= STRAGGLER_FACTOR
    error = load.declared_error ** rng.uniform(-1, 1)
    return Task(kind.name, size, nominal * error), nominal


def _cancelled(load, rng):
    middle = load.seconds / 2
    found = []
    for index in range(load.cancelled_jobs):
        tasks = tuple(_task(load, rng)[0] for _ in range(200))
        arrival = Arrival(
            middle + 0.002 * index,
            index % load.instances,
            tasks,
            JOB_TIMEOUT,
            False,
            middle + 1.0,
        )
        found.append(arrival)
    return found


def catalogue(scale: float = 1.0) -> tuple[Workload, ...]:
    """Return the workloads of the table.

    Parameters
    ----------
    scale : float
        Shortens the runs without a swing or a fault, for CI.
    """
    swing = (5.0, 10.0, 10.0)
    uneven = SPEEDS_OF_A_DOMAIN * len(DOMAINS)
    fault_at = 5.0
    return (
        Workload("steady", 11, seconds=4.0 + 10.0 * scale),
        Workload("speeds 1:4", 12, seconds=4.0 + 5.0 * scale, speeds=uneven),
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
