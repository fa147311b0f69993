"""Choice of a backend server for a task.

A chooser is a closure ``choose(candidates, task, now) -> name | None``.
Candidates have a free place within their limit already.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import types

__all__ = [
    "Candidate",
    "Chooser",
    "least_in_flight",
    "round_robin",
]


class Candidate(NamedTuple):
    """A backend server that could take a task now."""

    name: str
    domain: str
    in_flight: int
    limit: int


Chooser = Callable[
    [Sequence[Candidate], types.TaskSpec, float], "Candidate | None"
]


def least_in_flight() -> Chooser:
    """Make a chooser that prefers the fewest tasks in flight."""

    def choose(candidates, task, now):
        return min(
            candidates,
            key=lambda one: (one.in_flight / one.limit, one.name),
            default=None,
        )

    return choose


def round_robin() -> Chooser:
    """Make a chooser that takes backend servers in turn."""
    turns = itertools.count()

    def choose(candidates, task, now):
        if not candidates:
            return None
        return candidates[next(turns) % len(candidates)]

    return choose
