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
from cardamompath_core import quotas
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
DOUBTFUL_REFUSALS = 3
"""Refusals in a row after which a server gets one task at a time."""
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
        "refusals",
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
        self.refusals = 0
        """Refusals in a row, those of one moment counted once."""
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
            and not self.refusals
            and not self.is_closed(now)
            and self.server.usable_slots == self.server.home_slots
            and abs(self.server.speed - 1.0) < USUAL_SPREAD
        )

    def update_room(self, now: float) -> None:
        """Bring the slots that may be used up to date."""
        server = self.server
        if self.is_closed(now):
            server.usable_slots = server.limit = 0
            return
        share = self.health.traffic_share(now)
        server.usable_slots = math.ceil(server.home_slots * share)
        most = min(self.most, server.home_slots + self.lent)
        server.limit = math.ceil(most * share)
        if self.health.is_suspect():
            server.limit = server.usable_slots
        if self.refusals >= DOUBTFUL_REFUSALS:
            server.usable_slots = server.limit = 1

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
        ends = now + queued.size / server.speed + server.extra_latency
        self.flights[ref] = Flight(
            now,
            task,
            queued.size,
            queued.lane,
            borrowed,
            ends,
            self.health.probing,
        )
        if len(self.flights) == 1 or ends < server.next_free_at:
            server.next_free_at = ends

    def end(self, ref: types.TaskRef, now: float) -> Flight | None:
        """Count a task out; return what was known of it."""
        flight = self.flights.pop(ref, None)
        if flight is None:
            return None
        self.service.ended(self.server, flight.lane)
        self.last_end = now
        if self.flights:
            self.server.next_free_at = min(map(_ENDS, self.flights.values()))
        return flight


class Service:
    """One service.

    Parameters
    ----------
    name : str
        Name in the configuration.
    rng : random.Random
        Where choices among equals come from.
    teams : Quotas
        Parts of the teams, over all services.
    """

    def __init__(self, name: str, rng: random.Random, teams: quotas.Quotas):
        self.name = name
        self.rng = rng
        self.timeout = float("inf")
        self.teams = teams
        self.queue = quotas.TeamQueues(name, teams)
        self.learned = estimates.Estimates()
        self.failures = health.FailureRates()
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
        own: subsets.Node,
        instances: Sequence[subsets.Node],
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
            subsets.Node(one.spec.name, one.spec.domain, one.spec.slots)
            for one in self.backends
        ]
        dealt = subsets.assign_home_slots(members, instances)
        homes = dealt.pop(own.name)
        self.owners = _by_server(dealt)
        for one in self.backends:
            server = one.server
            server.home_slots = homes.get(server.name, 0)
            share = limits.connection_share(
                one.spec.connections, len(instances)
            )
            server.home_slots = min(server.home_slots, share)
            one.most = min(one.spec.slots, share)
            near = one.spec.domain == own.domain
            server.extra_latency = 0.0 if near else FAR_SECONDS
        self._lend(now)
        self.ejected = [one for one in self.backends if one.health.ejected]
        self.servers = [one.server for one in self.backends]
        self.homes = [one for one in self.servers if one.home_slots]
        self.width = float(max(1, sum(one.home_slots for one in self.homes)))
        self.borrowed = sum(
            max(0, one.in_flight - one.home_slots) for one in self.servers
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
        return queueing.choose_lane(
            size, self.learned.typical_size(), self.learned.has_seen(task.kind)
        )

    def may_start(self, lane: int) -> bool:
        """Return whether slots are left for the tasks of a lane."""
        if lane == queueing.SHORT:
            return True
        proven = min(self.borrow.growth(), self.lent)
        most = queueing.LONG_SHARE * self.width
        return self.long < most + queueing.LONG_BORROWED_SHARE * proven

    def started(self, server: routing.Server, lane: int) -> bool:
        """Count a task in; return whether its slot is borrowed."""
        self.long += lane == queueing.LONG
        server.in_flight += 1
        borrowed = server.in_flight > server.home_slots
        self.borrowed += borrowed
        return borrowed

    def ended(self, server: routing.Server, lane: int) -> None:
        """Count a task out."""
        self.long -= lane == queueing.LONG
        self.borrowed -= server.in_flight > server.home_slots
        server.in_flight -= 1

    def choose(
        self, task: queueing.QueuedTask, team: str, now: float
    ) -> routing.Server | None:
        """Return the backend server for the next task, if any.

        Parameters
        ----------
        task : QueuedTask
            The task that goes first.
        team : str
            Its team.
        now : float
            The present time in seconds.
        """
        wanted = routing.TaskDemand(task.size, now, self.queue.work)
        server, waits = routing.choose_home(self.homes, wanted)
        if server is not None or waits:
            return server
        if not self.teams.may_borrow(team, self.name):
            return None
        if self.borrowed < self.borrow.current:
            return routing.choose_borrowed(self.servers, wanted, self.rng)
        return None


def _by_server(dealt):
    """Return the slots of each instance by backend server."""
    found = {}
    for name, homes in dealt.items():
        for server, slots in homes.items():
            found.setdefault(server, {})[name] = slots
    return found
