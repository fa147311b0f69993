"""Choice of a backend server for a queued task.

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
"""Number of backend servers compared for a borrowed slot."""
LOAD_PENALTY = 0.1
"""Relative increase of the expected time on a server whose home slots are
all in use, which spreads tasks over servers that are otherwise equal."""
WAIT_MARGIN = 0.8
"""A task waits for a faster server only if its expected time is below
this share of the time on the best free server."""


class TaskDemand(NamedTuple):
    """The task to place, and the work queued with it."""

    size: float
    """Expected run time in seconds on a server of speed 1."""
    now: float
    backlog: float
    """Queued work in the same unit, including this task."""


class Server:
    """State of one backend server that the choice depends on.

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
        "speed",
        "usable_slots",
    )

    def __init__(self, name: str):
        self.name = name
        self.in_flight = 0
        self.home_slots = 0
        """Slots that belong to this instance."""
        self.usable_slots = 0
        """Home slots that may be used at the moment."""
        self.limit = 0
        """Current maximum of tasks in flight, including borrowed slots."""
        self.extra_latency = 0.0
        """Seconds added to an exchange by the network distance."""
        self.speed = 1.0
        """Speed relative to the mean of the backend servers."""
        self.next_free_at = 0.0
        """Time at which the first of its tasks is expected to end."""


def choose_home(
    homes: Sequence[Server], demand: TaskDemand
) -> tuple[Server | None, bool]:
    """Return the home server on which a task is expected to end soonest.

    Parameters
    ----------
    homes : sequence of Server
        Backend servers on which this instance has home slots.
    demand : TaskDemand
        The task to place.

    Returns
    -------
    server : Server or None
        None if no slot is free, or if the task is expected to end sooner
        when it waits for a faster server.
    waits : bool
        Whether the task should wait although a slot is free.
    """
    best = None
    best_cost = float("inf")
    earliest_end = float("inf")
    busy_rate = 0.0
    size = demand.size
    for server in homes:
        speed = server.speed
        used = server.in_flight
        if used >= server.usable_slots:
            if not server.usable_slots:
                continue
            ends = server.next_free_at - demand.now
            ends = max(ends, 0.0) + size / speed + server.extra_latency
            earliest_end = min(earliest_end, ends)
            busy_rate += server.usable_slots * speed
            continue
        cost = size / speed + server.extra_latency
        cost *= 1.0 + LOAD_PENALTY * used / server.usable_slots
        if cost < best_cost:
            best, best_cost = server, cost
    if best is None or not busy_rate:
        return best, False
    queueing_time = demand.backlog / busy_rate
    if earliest_end + queueing_time < WAIT_MARGIN * best_cost:
        return None, True
    return best, False


def choose_borrowed(
    servers: Sequence[Server], demand: TaskDemand, rng: random.Random
) -> Server | None:
    """Return the best server of a random sample to borrow a slot on.

    Returns None if none of the sampled servers is below its limit.
    """
    best = None
    best_cost = float("inf")
    for server in _sample(servers, rng):
        if server.in_flight >= server.limit:
            continue
        cost = demand.size / server.speed + server.extra_latency
        borrowed = max(0, server.in_flight - server.home_slots)
        cost *= 1.0 + LOAD_PENALTY * borrowed
        if cost < best_cost:
            best, best_cost = server, cost
    return best


def _sample(servers, rng):
    count = len(servers)
    if count <= SAMPLE_SIZE:
        return servers
    return [servers[int(rng.random() * count)] for _ in range(SAMPLE_SIZE)]
