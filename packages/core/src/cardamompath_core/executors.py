"""Executors that run tasks, and the room that tasks take on them."""

from __future__ import annotations

from typing import NamedTuple

__all__ = [
    "DRAINING",
    "READY",
    "Executor",
    "Room",
    "add",
    "fits",
    "subtract",
    "times_fitting",
]

READY = "ready"
DRAINING = "draining"


class Room(NamedTuple):
    """Capacity of an executor, or what a task takes of it."""

    cpu: int = 0
    """Thousandths of a core."""
    memory: int = 0
    """Megabytes."""
    accelerators: int = 0


class Executor(NamedTuple):
    """One life of an executor as it describes itself."""

    name: str
    service: str
    domain: str
    """Failure domain."""
    address: tuple[str, int]
    incarnation: int
    """Start of this life, in milliseconds since 1970; 0 when unknown."""
    state: str
    capacity: Room
    labels: tuple[str, ...] = ()

    @property
    def kind(self) -> str:
        """Return the label that tells models of executors apart."""
        return self.labels[0] if self.labels else ""


def fits(wanted: Room, free: Room) -> bool:
    """Return whether a task fits into the free room."""
    return (
        wanted.cpu <= free.cpu
        and wanted.memory <= free.memory
        and wanted.accelerators <= free.accelerators
    )


def add(left: Room, right: Room) -> Room:
    """Return the sum of two rooms."""
    return Room(
        left.cpu + right.cpu,
        left.memory + right.memory,
        left.accelerators + right.accelerators,
    )


def subtract(left: Room, right: Room) -> Room:
    """Return what is left of a room; negative where it is overdrawn."""
    return Room(
        left.cpu - right.cpu,
        left.memory - right.memory,
        left.accelerators - right.accelerators,
    )


def times_fitting(wanted: Room, free: Room) -> int:
    """Return how many tasks of one size fit into the free room."""
    pairs = zip(wanted, free, strict=True)
    counts = [has // needs for needs, has in pairs if needs > 0]
    return max(0, min(counts, default=0))
