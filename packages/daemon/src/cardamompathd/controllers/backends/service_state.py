"""State of a service: its queue, estimates and backend servers."""

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
    "Attempt",
    "Backend",
    "Service",
]

SPEED_TOLERANCE = 0.1
"""Deviation from speed 1 up to which a server needs no review."""
REFUSALS_TO_THROTTLE = 3
"""Consecutive refusals after which a server gets one task at a time."""
CROSS_DOMAIN_SECONDS = 0.003
"""Extra time of an exchange across failure domains, in seconds."""


class Attempt(NamedTuple):
    """One execution of a task on a backend server, in flight."""

    started_at: float
    """Start time in seconds."""
    task: types.TaskSpec
    size: float
    """Expected seconds on a server of speed 1."""
    lane: int
    borrowed: bool
    """Whether it uses a slot beyond this instance's own."""
    expected_end: float
    """Time in seconds."""
    is_probe: bool
    """Whether the backend server was ejected when it started."""


_EXPECTED_END = operator.attrgetter("expected_end")


class Backend:
    """One backend server and its tasks in flight from this instance.

    Parameters
    ----------
    spec : BackendSpec
        Its entry in the configuration.
    service : Service
        The service that it belongs to.
    """

    __slots__ = (
        "attempts",
        "health",
        "last_ended_at",
        "leaving",
        "leaving_until",
        "borrowable",
        "max_in_flight",
        "consecutive_refusals",
        "paused_until",
        "server",
        "service",
        "spec",
        "stalled",
    )

    def __init__(self, spec: types.BackendSpec, service: Service):
        self.spec = spec
        self.service = service
        self.server = routing.Server(spec.name)
        self.attempts: dict[types.TaskRef, Attempt] = {}
        self.health = health.Health()
        self.leaving = False
        self.leaving_until = 0.0
        self.borrowable = 0
        """Slots of peers without a backlog, which may be idle."""
        self.max_in_flight = 0
        """Upper bound of the tasks in flight from this instance."""
        self.consecutive_refusals = 0
        """Refusals of tasks that were in flight together count once."""
        self.paused_until = 0.0
        self.stalled = False
        self.last_ended_at = 0.0

    def is_unavailable(self, now: float) -> bool:
        """Return whether no task but a probe may start here."""
        return (
            self.leaving
            or self.stalled
            or self.health.ejected
            or now < self.leaving_until
            or now < self.paused_until
        )

    def is_steady(self, now: float) -> bool:
        """Return whether the passing of time leaves its slots as they are."""
        return (
            not self.health.evidence
            and not self.consecutive_refusals
            and not self.is_unavailable(now)
            and self.server.usable_slots == self.server.home_slots
            and abs(self.server.speed - 1.0) < SPEED_TOLERANCE
        )

    def update_slots(self, now: float) -> None:
        """Recompute the number of slots that may be used at present."""
        server = self.server
        if self.is_unavailable(now):
            server.usable_slots = server.limit = 0
            return
        share = self.health.traffic_share(now)
        server.usable_slots = math.ceil(server.home_slots * share)
        slots = min(self.max_in_flight, server.home_slots + self.borrowable)
        server.limit = math.ceil(slots * share)
        if self.health.is_suspect():
            server.limit = server.usable_slots
        if self.consecutive_refusals >= REFUSALS_TO_THROTTLE:
            server.usable_slots = server.limit = 1

    def start_attempt(
        self,
        ref: types.TaskRef,
        task: types.TaskSpec,
        queued: queueing.QueuedTask,
        now: float,
    ) -> None:
        """Add an attempt to run a task.

        Parameters
        ----------
        ref : TaskRef
            The task's job and index.
        task : TaskSpec
            The task.
        queued : QueuedTask
            Its entry in the queue, with its expected size and lane.
        now : float
            The present time in seconds.
        """
        server = self.server
        borrowed = self.service.record_start(server, queued.lane)
        expected_end = now + queued.size / server.speed + server.extra_latency
        self.attempts[ref] = Attempt(
            now,
            task,
            queued.size,
            queued.lane,
            borrowed,
            expected_end,
            self.health.probing,
        )
        if len(self.attempts) == 1 or expected_end < server.next_free_at:
            server.next_free_at = expected_end

    def end_attempt(self, ref: types.TaskRef, now: float) -> Attempt | None:
        """Remove and return an attempt; None if it is not in flight here."""
        attempt = self.attempts.pop(ref, None)
        if attempt is None:
            return None
        self.service.record_end(self.server, attempt.lane)
        self.last_ended_at = now
        if self.attempts:
            self.server.next_free_at = min(
                map(_EXPECTED_END, self.attempts.values())
            )
        return attempt


class Service:
    """A service: its queue, its backend servers and its estimates.

    Parameters
    ----------
    name : str
        Name in the configuration.
    rng : random.Random
        Samples servers and draws jitter.
    team_quotas : Quotas
        Tasks in flight by team, over all services.
    """

    def __init__(
        self, name: str, rng: random.Random, team_quotas: quotas.Quotas
    ):
        self.name = name
        self.rng = rng
        self.timeout = float("inf")
        self.team_quotas = team_quotas
        self.queue = quotas.TeamQueues(name, team_quotas)
        self.estimates = estimates.Estimates()
        self.failure_rates = health.FailureRates()
        self.ejected: list[Backend] = []
        self.backends: list[Backend] = []
        self.servers: list[routing.Server] = []
        self.home_servers: list[routing.Server] = []
        self.borrowed_slots = 0
        self.long_in_flight = 0
        """Tasks in flight of the long lane."""
        self.borrowable = 0
        """Slots of peers that have no backlog, over all servers."""
        self.borrow_limit = limits.BorrowLimit()
        self.peer_slots: dict[str, dict[str, int]] = {}
        """Slots of each peer, by backend server and instance."""
        self.busy_peers: frozenset[str] = frozenset()
        """Peers that have a backlog and lend no slots."""
        self.parallelism = 1.0
        """Expected number of a job's tasks that run at the same time."""

    def assign(
        self,
        backends: Iterable[Backend],
        own: subsets.Node,
        instances: Sequence[subsets.Node],
        now: float,
    ) -> None:
        """Divide the slots of the backend servers among the instances.

        Parameters
        ----------
        backends : iterable of Backend
            All backend servers of the service.
        own : Node
            This instance.
        instances : sequence of Node
            All live instances, this one included.
        now : float
            The present time in seconds.
        """
        self.backends = list(backends)
        nodes = [
            subsets.Node(
                backend.spec.name, backend.spec.domain, backend.spec.slots
            )
            for backend in self.backends
        ]
        assigned = subsets.assign_home_slots(nodes, instances)
        home_slots = assigned.pop(own.name)
        self.peer_slots = _slots_by_server(assigned)
        for backend in self.backends:
            server = backend.server
            server.home_slots = home_slots.get(server.name, 0)
            share = limits.connection_share(
                backend.spec.connections, len(instances)
            )
            server.home_slots = min(server.home_slots, share)
            backend.max_in_flight = min(backend.spec.slots, share)
            same_domain = backend.spec.domain == own.domain
            server.extra_latency = 0.0 if same_domain else CROSS_DOMAIN_SECONDS
        self._update_borrowable(now)
        self.ejected = [
            backend for backend in self.backends if backend.health.ejected
        ]
        self.servers = [backend.server for backend in self.backends]
        self.home_servers = [
            candidate for candidate in self.servers if candidate.home_slots
        ]
        self.parallelism = float(
            max(
                1, sum(candidate.home_slots for candidate in self.home_servers)
            )
        )
        self.borrowed_slots = sum(
            max(0, candidate.in_flight - candidate.home_slots)
            for candidate in self.servers
        )

    def set_busy_peers(self, busy_peers: frozenset[str], now: float) -> bool:
        """Set the peers that lend no slots; return whether they changed."""
        if busy_peers == self.busy_peers:
            return False
        self.busy_peers = busy_peers
        self._update_borrowable(now)
        return True

    def _update_borrowable(self, now):
        for backend in self.backends:
            peer_slots = self.peer_slots.get(backend.spec.name, {})
            backend.borrowable = sum(
                slots
                for peer, slots in peer_slots.items()
                if peer not in self.busy_peers
            )
            backend.update_slots(now)
        self.borrowable = sum(backend.borrowable for backend in self.backends)

    def lane(self, task: types.TaskSpec, size: float) -> int:
        """Return the lane in which a task waits."""
        return queueing.choose_lane(
            size,
            self.estimates.typical_size(),
            self.estimates.has_seen(task.kind),
        )

    def may_start(self, lane: int) -> bool:
        """Return whether the lane's share of the slots has one left."""
        if lane == queueing.SHORT:
            return True
        growth = min(self.borrow_limit.growth(), self.borrowable)
        limit = queueing.LONG_SHARE * self.parallelism
        return (
            self.long_in_flight < limit + queueing.LONG_BORROWED_SHARE * growth
        )

    def record_start(self, server: routing.Server, lane: int) -> bool:
        """Record the start of a task; return whether it borrows its slot."""
        self.long_in_flight += lane == queueing.LONG
        server.in_flight += 1
        borrowed = server.in_flight > server.home_slots
        self.borrowed_slots += borrowed
        return borrowed

    def record_end(self, server: routing.Server, lane: int) -> None:
        """Record the end of a task."""
        self.long_in_flight -= lane == queueing.LONG
        self.borrowed_slots -= server.in_flight > server.home_slots
        server.in_flight -= 1

    def choose_server(
        self, task: queueing.QueuedTask, team: str, now: float
    ) -> routing.Server | None:
        """Return the backend server to start a task on, None to wait.

        Parameters
        ----------
        task : QueuedTask
            The task at the head of its lane.
        team : str
            Its team.
        now : float
            The present time in seconds.
        """
        demand = routing.TaskDemand(task.size, now, self.queue.work)
        server, should_wait = routing.choose_home(self.home_servers, demand)
        if server is not None or should_wait:
            return server
        if not self.team_quotas.may_borrow(team, self.name):
            return None
        if self.borrowed_slots < self.borrow_limit.current:
            return routing.choose_borrowed(self.servers, demand, self.rng)
        return None


def _slots_by_server(assigned):
    """Return the slots by backend server and instance."""
    slots_by_server = {}
    for name, home_slots in assigned.items():
        for server, slots in home_slots.items():
            slots_by_server.setdefault(server, {})[name] = slots
    return slots_by_server
