"""The steps of a scenario, as parsed from its file."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

__all__ = [
    "BackendOptions",
    "CountRange",
    "Scenario",
    "Step",
    "TaskOptions",
]


class Step(NamedTuple):
    """One line of a scenario: an action or an expectation."""

    line: int
    kind: str
    """Name of the grammar rule."""
    args: tuple[Any, ...]


class TaskOptions(NamedTuple):
    """The tasks of a submission and their options."""

    count: int = 1
    shortest: float = 0.1
    """Seconds of work of the first task."""
    longest: float = 0.1
    """Seconds of work of the last task."""
    service: str = "booking"
    timeout: float = 10.0
    declared: float | None = None
    idempotent: bool = False
    straggler: float | None = None
    """Seconds of work of the last task if it is a straggler, else None."""


class BackendOptions(NamedTuple):
    """The backend servers of one declaration."""

    names: tuple[str, ...]
    domain: str
    service: str = "booking"
    slots: int = 8
    speed: float = 1.0


class CountRange(NamedTuple):
    """Inclusive limits of an expected count."""

    low: float
    high: float


class Scenario(NamedTuple):
    """A parsed scenario file."""

    file: str
    title: str
    promises: tuple[str, ...]
    failures: tuple[str, ...]
    seed: int
    steps: tuple[Step, ...]
