"""Choice of a backend server for a task that waits.

A task is bound to a backend server only when it starts.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "Server",
    "TaskDemand",
    "choose_borrowed",
    "choose_home",
]

SAMPLE_SIZE = 4
"""Backend servers looked at for a borrowed slot."""
EVENNESS = 0.1
"""Share of its time by which a full server counts as slower."""
WAIT_MARGIN = 0.8
"""A task waits for a faster server only if it gains more than the rest."""


class TaskDemand(NamedTuple):
    """A task that is to be started, or to wait."""

    size: float
    """Expected seconds at speed 1."""
    now: float
    backlog: float
    """Work that waits, this task's own included, in the same unit."""


class Server:
    """What the choice knows of one backend server.

    Parameters
    ----------
    name : str
        Name in the configuration.
    """

    __slots__ = (
        "extra_latency",
        "home_slots",
        "in_flight",
        "limit",
        "name",
        "next_free_at",
        "usable_slots",
        "speed",
    )

    def __init__(self, name: str):
        self.name = name
        self.in_flight = 0
        self.home_slots = 0
        """Slots that are this instance's own."""
        self.usable_slots = 0
        """Own slots that may be used at present."""
        self.limit = 0
        """Most tasks in flight at present, borrowed slots included."""
        self.extra_latency = 0.0
        """Seconds that an exchange takes longer than a near one."""
        self.speed = 1.0
        self.next_free_at = 0.0
        """When the first of its tasks is expected to end."""


def choose_home(
    homes: Sequence[Server], wanted: TaskDemand
) -> tuple[Server | None, bool]:
    """Return the home server on which a task is expected to end soonest.

    Parameters
    ----------
    homes : sequence of Server
        Backend servers with slots of this instance's own.
    wanted : Wanted
        What is to be started.

    Returns
    -------
    server : Server or None
        None when no slot is free, or when the task is expected to end
        sooner if it waits for a faster server.
    waits : bool
        Whether a free slot was left out for that reason.
    """
    best = None
    best_cost = float("inf")
    full_soonest = float("inf")
    full_rate = 0.0
    size = wanted.size
    for server in homes:
        speed = server.speed
        used = server.in_flight
        if used >= server.usable_slots:
            if not server.usable_slots:
                continue
            ends = server.next_free_at - wanted.now
            ends = max(ends, 0.0) + size / speed + server.extra_latency
            full_soonest = min(full_soonest, ends)
            full_rate += server.usable_slots * speed
            continue
        cost = size / speed + server.extra_latency
        cost *= 1.0 + EVENNESS * used / server.usable_slots
        if cost < best_cost:
            best, best_cost = server, cost
    if best is None or not full_rate:
        return best, False
    behind = wanted.backlog / full_rate
    if full_soonest + behind < WAIT_MARGIN * best_cost:
        return None, True
    return best, False


def choose_borrowed(
    servers: Sequence[Server], wanted: TaskDemand, rng: random.Random
) -> Server | None:
    """Return the best of a few servers whose slots are all not our own."""
    best = None
    best_cost = float("inf")
    for server in _sample(servers, rng):
        if server.in_flight >= server.limit:
            continue
        cost = wanted.size / server.speed + server.extra_latency
        beyond = max(0, server.in_flight - server.home_slots)
        cost *= 1.0 + EVENNESS * beyond
        if cost < best_cost:
            best, best_cost = server, cost
    return best


def _sample(servers, rng):
    count = len(servers)
    if count <= SAMPLE_SIZE:
        return servers
    return [servers[int(rng.random() * count)] for _ in range(SAMPLE_SIZE)]
