"""State of one service: its queue, its estimates, its backend servers."""

from __future__ import annotations

import random
from typing import NamedTuple

from cardamompath_core import estimates
from cardamompath_core import queueing
from cardamompath_core import routing
from cardamompath_core import types

__all__ = [
    "Backend",
    "Flight",
    "Service",
]


class Flight(NamedTuple):
    """A task that a backend server has."""

    began: float
    """Time of its start in seconds."""
    task: types.TaskSpec
    size: float
    """Expected seconds at speed 1."""
    lane: int


class Backend:
    """One backend server and the tasks it has from this instance."""

    __slots__ = ("flights", "server", "service", "spec")

    def __init__(self, spec: types.BackendSpec, service: Service):
        self.spec = spec
        self.service = service
        self.server = routing.Server(spec.name)
        self.flights: dict[types.TaskRef, Flight] = {}


class Service:
    """One service.

    Parameters
    ----------
    name : str
        Name in the configuration.
    rng : random.Random
        Where choices among equals come from.
    """

    def __init__(self, name: str, rng: random.Random):
        self.name = name
        self.rng = rng
        self.timeout = float("inf")
        self.queue = queueing.TaskQueue()
        self.learned = estimates.Estimates()
        self.servers: list[routing.Server] = []

    def width(self) -> float:
        """Return how many tasks of a job can be expected to run at once."""
        return max(1.0, float(sum(one.limit for one in self.servers)))
