"""Choice of a backend server for a task that waits.

A task is bound to a backend server only when it starts.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

__all__ = [
    "Server",
    "choose_least",
]


class Server:
    """What the choice knows of one backend server.

    Parameters
    ----------
    name : str
        Name in the configuration.
    """

    __slots__ = ("in_flight", "limit", "name")

    def __init__(self, name: str):
        self.name = name
        self.in_flight = 0
        self.limit = 0


def choose_least(
    servers: Sequence[Server], rng: random.Random
) -> Server | None:
    """Return the server with the fewest tasks in flight below its limit."""
    best = None
    for server in servers:
        if server.in_flight >= server.limit:
            continue
        if best is None or server.in_flight < best.in_flight:
            best = server
    return best
