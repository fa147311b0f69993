"""Choice of a backend server for a task that waits.

A task is bound to a backend server only when it starts.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

__all__ = [
    "Server",
    "choose_borrowed",
    "choose_home",
]

SAMPLE = 4
"""Backend servers looked at for a borrowed slot."""


class Server:
    """What the choice knows of one backend server.

    Parameters
    ----------
    name : str
        Name in the configuration.
    """

    __slots__ = ("extra", "home", "in_flight", "limit", "name")

    def __init__(self, name: str):
        self.name = name
        self.in_flight = 0
        self.home = 0
        """Slots that are this instance's own."""
        self.limit = 0
        """Most tasks in flight, borrowed slots included."""
        self.extra = 0.0
        """Seconds that an exchange takes longer than a near one."""


def choose_home(homes: Sequence[Server]) -> Server | None:
    """Return the home server with the largest share of free slots."""
    best = None
    best_use = 1.0
    for server in homes:
        if server.in_flight >= server.home:
            continue
        use = server.in_flight / server.home
        if use < best_use:
            best, best_use = server, use
    return best


def choose_borrowed(
    servers: Sequence[Server], rng: random.Random
) -> Server | None:
    """Return the best of a few servers whose slots are all not our own."""
    best = None
    best_cost = float("inf")
    for _ in range(min(SAMPLE, len(servers))):
        server = servers[int(rng.random() * len(servers))]
        if server.in_flight >= server.limit:
            continue
        cost = (server.in_flight - server.home, server.extra)
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best
