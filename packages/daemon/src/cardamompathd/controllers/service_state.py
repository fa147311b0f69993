"""State of one service: its queue, its estimates, its backend servers."""

from __future__ import annotations

import operator
import random
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import estimates
from cardamompath_core import limits
from cardamompath_core import queueing
from cardamompath_core import routing
from cardamompath_core import subsets
from cardamompath_core import types

__all__ = [
    "Backend",
    "Flight",
    "Service",
]

FAR_SECONDS = 0.003
"""Time that an exchange across failure domains takes longer."""


class Flight(NamedTuple):
    """A task that a backend server has."""

    began: float
    """Time of its start in seconds."""
    task: types.TaskSpec
    size: float
    """Expected seconds at speed 1."""
    lane: int
    borrowed: bool
    """Whether it took a slot beyond this instance's own."""
    ends: float
    """When it is expected to end."""


_ENDS = operator.attrgetter("ends")


class Backend:
    """One backend server and the tasks it has from this instance."""

    __slots__ = ("flights", "server", "service", "spec")

    def __init__(self, spec: types.BackendSpec, service: Service):
        self.spec = spec
        self.service = service
        self.server = routing.Server(spec.name)
        self.flights: dict[types.TaskRef, Flight] = {}

    def start(
        self,
        ref: types.TaskRef,
        task: types.TaskSpec,
        queued: queueing.QueuedTask,
        now: float,
    ) -> None:
        """Count a task in."""
        server = self.server
        borrowed = self.service.started(server)
        ends = now + queued.size / server.speed + server.extra
        self.flights[ref] = Flight(
            now, task, queued.size, queued.lane, borrowed, ends
        )
        if len(self.flights) == 1 or ends < server.next_free:
            server.next_free = ends

    def end(self, ref: types.TaskRef) -> Flight | None:
        """Count a task out; return what was known of it."""
        flight = self.flights.pop(ref, None)
        if flight is None:
            return None
        self.service.ended(self.server)
        if self.flights:
            self.server.next_free = min(map(_ENDS, self.flights.values()))
        return flight


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
        self.backends: list[Backend] = []
        self.servers: list[routing.Server] = []
        self.homes: list[routing.Server] = []
        self.borrowed = 0
        self.borrow = limits.BorrowLimit()
        self.width = 1.0
        """Tasks of a job that can be expected to run at once."""

    def assign(
        self,
        backends: Iterable[Backend],
        own: subsets.Member,
        instances: Sequence[subsets.Member],
    ) -> None:
        """Take over the backend servers and the live instances.

        Parameters
        ----------
        backends : iterable of Backend
            All backend servers of the service.
        own : Member
            This instance.
        instances : sequence of Member
            All live instances, this one included.
        """
        self.backends = list(backends)
        members = [
            subsets.Member(one.spec.name, one.spec.domain, one.spec.slots)
            for one in self.backends
        ]
        homes = subsets.home_slots(members, instances)[own.name]
        for one in self.backends:
            server = one.server
            server.home = homes.get(server.name, 0)
            share = limits.connection_share(
                one.spec.connections, len(instances)
            )
            server.home = min(server.home, share)
            server.limit = min(one.spec.slots, share)
            near = one.spec.domain == own.domain
            server.extra = 0.0 if near else FAR_SECONDS
        self.servers = [one.server for one in self.backends]
        self.homes = [one for one in self.servers if one.home]
        self.width = float(max(1, sum(one.home for one in self.homes)))
        self.borrowed = sum(
            max(0, one.in_flight - one.home) for one in self.servers
        )

    def started(self, server: routing.Server) -> bool:
        """Count a task in; return whether its slot is borrowed."""
        server.in_flight += 1
        borrowed = server.in_flight > server.home
        self.borrowed += borrowed
        return borrowed

    def ended(self, server: routing.Server) -> None:
        """Count a task out."""
        self.borrowed -= server.in_flight > server.home
        server.in_flight -= 1

    def choose(
        self, task: queueing.QueuedTask, now: float
    ) -> routing.Server | None:
        """Return the backend server for the next task, if any.

        Parameters
        ----------
        task : QueuedTask
            The task that goes first.
        now : float
            The present time in seconds.
        """
        wanted = routing.Wanted(task.size, now, self.queue.work)
        server, waits = routing.choose_home(self.homes, wanted)
        if server is not None or waits:
            return server
        if self.borrowed < self.borrow.present:
            return routing.choose_borrowed(self.servers, wanted, self.rng)
        return None
