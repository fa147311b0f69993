"""State of one service: its queue, its estimates, its backend servers."""

from __future__ import annotations

import math
import operator
import random
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import estimates
from cardamompath_core import health
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

USUAL_SPREAD = 0.1
"""Difference from the usual speed that needs no second look."""
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
    probe: bool
    """Whether the backend server was ejected at its start."""


_ENDS = operator.attrgetter("ends")


class Backend:
    """One backend server and the tasks it has from this instance."""

    __slots__ = (
        "flights",
        "health",
        "last_end",
        "leaving",
        "leaving_until",
        "lent",
        "most",
        "refused_until",
        "server",
        "service",
        "spec",
        "stalled",
    )

    def __init__(self, spec: types.BackendSpec, service: Service):
        self.spec = spec
        self.service = service
        self.server = routing.Server(spec.name)
        self.flights: dict[types.TaskRef, Flight] = {}
        self.health = health.Health()
        self.leaving = False
        self.leaving_until = 0.0
        self.lent = 0
        """Slots of peers that may be idle."""
        self.most = 0
        """Most tasks in flight at any time."""
        self.refused_until = 0.0
        self.stalled = False
        self.last_end = 0.0

    def is_closed(self, now: float) -> bool:
        """Return whether no ordinary task may start here."""
        return (
            self.leaving
            or self.stalled
            or self.health.ejected
            or now < self.leaving_until
            or now < self.refused_until
        )

    def is_settled(self, now: float) -> bool:
        """Return whether time alone changes nothing of its slots."""
        return (
            not self.health.evidence
            and not self.is_closed(now)
            and self.server.room == self.server.home
            and abs(self.server.speed - 1.0) < USUAL_SPREAD
        )

    def update_room(self, now: float) -> None:
        """Bring the slots that may be used up to date."""
        server = self.server
        if self.is_closed(now):
            server.room = server.limit = 0
            return
        share = self.health.share_of_work(now)
        server.room = math.ceil(server.home * share)
        most = min(self.most, server.home + self.lent)
        server.limit = math.ceil(most * share)
        if self.health.is_suspect():
            server.limit = server.room

    def start(
        self,
        ref: types.TaskRef,
        task: types.TaskSpec,
        queued: queueing.QueuedTask,
        now: float,
    ) -> None:
        """Count a task in."""
        server = self.server
        borrowed = self.service.started(server, queued.lane)
        ends = now + queued.size / server.speed + server.extra
        self.flights[ref] = Flight(
            now,
            task,
            queued.size,
            queued.lane,
            borrowed,
            ends,
            self.health.probing,
        )
        if len(self.flights) == 1 or ends < server.next_free:
            server.next_free = ends

    def end(self, ref: types.TaskRef, now: float) -> Flight | None:
        """Count a task out; return what was known of it."""
        flight = self.flights.pop(ref, None)
        if flight is None:
            return None
        self.service.ended(self.server, flight.lane)
        self.last_end = now
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
        self.failures = health.FailureShares()
        self.ejected: list[Backend] = []
        self.backends: list[Backend] = []
        self.servers: list[routing.Server] = []
        self.homes: list[routing.Server] = []
        self.borrowed = 0
        self.long = 0
        """Tasks in flight of kinds known to be long."""
        self.lent = 0
        """Slots of peers that may be idle."""
        self.borrow = limits.BorrowLimit()
        self.owners: dict[str, dict[str, int]] = {}
        """Slots of each peer, by backend server."""
        self.busy: frozenset[str] = frozenset()
        """Peers that have work waiting and lend no slots."""
        self.width = 1.0
        """Tasks of a job that can be expected to run at once."""

    def assign(
        self,
        backends: Iterable[Backend],
        own: subsets.Member,
        instances: Sequence[subsets.Member],
        now: float,
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
        now : float
            The present time in seconds.
        """
        self.backends = list(backends)
        members = [
            subsets.Member(one.spec.name, one.spec.domain, one.spec.slots)
            for one in self.backends
        ]
        dealt = subsets.home_slots(members, instances)
        homes = dealt.pop(own.name)
        self.owners = _by_server(dealt)
        for one in self.backends:
            server = one.server
            server.home = homes.get(server.name, 0)
            share = limits.connection_share(
                one.spec.connections, len(instances)
            )
            server.home = min(server.home, share)
            one.most = min(one.spec.slots, share)
            near = one.spec.domain == own.domain
            server.extra = 0.0 if near else FAR_SECONDS
        self._lend(now)
        self.ejected = [one for one in self.backends if one.health.ejected]
        self.servers = [one.server for one in self.backends]
        self.homes = [one for one in self.servers if one.home]
        self.width = float(max(1, sum(one.home for one in self.homes)))
        self.borrowed = sum(
            max(0, one.in_flight - one.home) for one in self.servers
        )

    def take_busy(self, busy: frozenset[str], now: float) -> bool:
        """Take over which peers lend no slots; return if that is new."""
        if busy == self.busy:
            return False
        self.busy = busy
        self._lend(now)
        return True

    def _lend(self, now):
        for one in self.backends:
            owners = self.owners.get(one.spec.name, {})
            one.lent = sum(
                slots
                for peer, slots in owners.items()
                if peer not in self.busy
            )
            one.update_room(now)
        self.lent = sum(one.lent for one in self.backends)

    def lane(self, task: types.TaskSpec, size: float) -> int:
        """Return the lane in which a task waits."""
        return queueing.lane(
            size, self.learned.typical(), self.learned.knows(task.kind)
        )

    def may_start(self, lane: int) -> bool:
        """Return whether slots are left for the tasks of a lane."""
        if lane == queueing.SHORT:
            return True
        proven = min(self.borrow.proven(), self.lent)
        return self.long < queueing.LONG_SHARE * (self.width + proven)

    def started(self, server: routing.Server, lane: int) -> bool:
        """Count a task in; return whether its slot is borrowed."""
        self.long += lane == queueing.LONG
        server.in_flight += 1
        borrowed = server.in_flight > server.home
        self.borrowed += borrowed
        return borrowed

    def ended(self, server: routing.Server, lane: int) -> None:
        """Count a task out."""
        self.long -= lane == queueing.LONG
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


def _by_server(dealt):
    """Return the slots of each instance by backend server."""
    found = {}
    for name, homes in dealt.items():
        for server, slots in homes.items():
            found.setdefault(server, {})[name] = slots
    return found
