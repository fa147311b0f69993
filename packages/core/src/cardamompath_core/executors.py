"""Executors that run tasks, and the resources that tasks use on them."""

from __future__ import annotations

from typing import NamedTuple

__all__ = [
    "DRAINING",
    "READY",
    "Executor",
    "Resources",
    "add",
    "count_fitting",
    "fits",
    "maximum",
    "subtract",
]

READY = "ready"
DRAINING = "draining"


class Resources(NamedTuple):
    """Capacity of an executor, or the part of it that a task uses."""

    cpu: int = 0
    """Thousandths of a core."""
    memory: int = 0
    """Megabytes."""
    accelerators: int = 0


class Executor(NamedTuple):
    """An incarnation of an executor, as the executor describes itself."""

    name: str
    service: str
    domain: str
    """Failure domain."""
    address: tuple[str, int]
    incarnation: int
    """Start time of the process, in milliseconds since 1970; 0 if
    unknown."""
    state: str
    capacity: Resources
    labels: tuple[str, ...] = ()

    @property
    def model(self) -> str:
        """Return the hardware model, which is the first label."""
        return self.labels[0] if self.labels else ""


def fits(needed: Resources, free: Resources) -> bool:
    """Return whether a task fits into the free resources."""
    return (
        needed.cpu <= free.cpu
        and needed.memory <= free.memory
        and needed.accelerators <= free.accelerators
    )


def add(left: Resources, right: Resources) -> Resources:
    """Return the sum of two amounts of resources."""
    return Resources(
        left.cpu + right.cpu,
        left.memory + right.memory,
        left.accelerators + right.accelerators,
    )


def subtract(left: Resources, right: Resources) -> Resources:
    """Return the difference, negative where `right` is larger."""
    return Resources(
        left.cpu - right.cpu,
        left.memory - right.memory,
        left.accelerators - right.accelerators,
    )


def maximum(left: Resources, right: Resources) -> Resources:
    """Return the larger amount of each resource."""
    return Resources(
        max(left.cpu, right.cpu),
        max(left.memory, right.memory),
        max(left.accelerators, right.accelerators),
    )


def count_fitting(needed: Resources, free: Resources) -> int:
    """Return how many identical tasks fit into the free resources."""
    pairs = zip(needed, free, strict=True)
    counts = [has // needs for needs, has in pairs if needs > 0]
    return max(0, min(counts, default=0))
