"""The steps of a scenario, as read from its file."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

__all__ = [
    "Bound",
    "DeclareBackends",
    "Scenario",
    "Step",
    "Work",
]


class Step(NamedTuple):
    """One line: what to do, with what, and where it stands."""

    line: int
    kind: str
    """Name of the rule in the grammar."""
    args: tuple[Any, ...]


class Work(NamedTuple):
    """The tasks of a submission."""

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
    """Seconds of work of the last task, if it is a straggler."""


class DeclareBackends(NamedTuple):
    """Backend servers of one line."""

    names: tuple[str, ...]
    domain: str
    service: str = "booking"
    slots: int = 8
    speed: float = 1.0


class Bound(NamedTuple):
    """What a count may be."""

    low: float
    high: float


class Scenario(NamedTuple):
    """One scenario file."""

    file: str
    title: str
    promises: tuple[str, ...]
    failures: tuple[str, ...]
    seed: int
    steps: tuple[Step, ...]
