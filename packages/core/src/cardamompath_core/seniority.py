"""Which instance plans for an executor.

Every instance computes the answer from the members that it knows to be
alive.  The longest-running members plan, so that a restart never takes
a planner's work back from its successor.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

__all__ = [
    "Member",
    "choose_planners",
    "planner_of",
]

MEMBERS_PER_PLANNER = 8
"""Members for which one planner is enough; a planner with two dozen
executors and the traffic of eight members stays below half a core."""


class Member(NamedTuple):
    """An instance as it describes itself."""

    name: str
    domain: str
    address: tuple[str, int]
    """Where it listens for peers."""
    started: int
    """Start of its life, in milliseconds since 1970."""
    leaving: bool = False


def choose_planners(alive: Sequence[Member]) -> tuple[Member, ...]:
    """Return the members that plan, the most senior first.

    Members that leave plan only where no other is left, as in a failure
    domain that is cut off while all its instances are restarted.
    """
    staying = [one for one in alive if not one.leaving]
    ranked = sorted(staying or alive, key=lambda one: (one.started, one.name))
    count = -(-len(ranked) // MEMBERS_PER_PLANNER)
    return tuple(ranked[:count])


def planner_of(executor: str, planners: Sequence[Member]) -> Member | None:
    """Return the planner of an executor by rendezvous hashing."""
    if len(planners) <= 1:
        return planners[0] if planners else None
    return max(planners, key=lambda one: _score(executor, one.name))


def _score(executor, planner):
    return xxhash.xxh64_intdigest(f"{planner}/{executor}".encode())
