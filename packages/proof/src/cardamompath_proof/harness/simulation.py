"""A simulated run: instances with real controllers over fakes."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from cardamompath_core import types
from cardamompath_proof.harness import backends
from cardamompath_proof.harness import callers
from cardamompath_proof.harness import checks
from cardamompath_proof.harness import events
from cardamompath_proof.harness import instances
from cardamompath_proof.harness import log
from cardamompath_proof.harness import network
from cardamompath_proof.harness import operators

__all__ = [
    "Simulation",
]

LIST_LAG = 1.0
"""Seconds by which the platform's instance list lags."""

CLOCK_SKEW = 1000.0
"""Seconds by which the clocks of consecutive instances differ."""


class Simulation:
    """The state of one run: one clock, one seed and all participants.

    Parameters
    ----------
    seed : int
        Seed of all random draws.
    factories : ControllerFactories
        Makes the controllers of each instance.
    """

    def __init__(
        self, seed: int, factories: instances.ControllerFactories | None = None
    ):
        self.rng = random.Random(seed)
        self.factories = factories or instances.ControllerFactories()
        self.queue = events.EventQueue()
        self.net = network.Network(self.rng)
        self.log = log.FakeLog(self.queue, self.net)
        self.instances: dict[str, instances.Instance] = {}
        self.backends: dict[str, backends.FakeBackend] = {}
        self.callers = callers.Callers(self)
        self.operators = operators.Operators(self)
        self.trace: list[str] = []
        """Lines of the trace, each with its time."""
        self.faults: list[str] = []
        """Exceptions that controllers raised."""
        self.observed: set[str] = set()
        """Failures that happened and promises that were exercised."""

    def add_instance(self, name: str, domain: str) -> None:
        """Add an entry instance without starting it."""
        number = len(self.instances) + 1
        entry = types.InstanceEntry(
            name, "entry", domain, f"10.0.0.{number}", 7400, "live"
        )
        skew = CLOCK_SKEW * number
        self.instances[name] = instances.Instance(self, entry, skew)
        self.net.locations.add(domain)

    def add_backend(
        self, name: str, domain: str, service: str, slots: int, speed: float
    ) -> None:
        """Add a backend server."""
        host = f"10.1.0.{len(self.backends) + 1}"
        spec = types.BackendSpec(name, service, domain, host, 80, slots)
        self.backends[name] = backends.FakeBackend(
            spec, speed, self.queue, self.net
        )

    def instance_at(
        self, address: tuple[str, int] | None
    ) -> instances.Instance | None:
        """Return the instance that listens at an address, or None."""
        for instance in self.instances.values():
            if address == (instance.entry.host, instance.entry.port):
                return instance
        return None

    def list_instances(self) -> tuple[types.InstanceEntry, ...]:
        """Return the platform's instance list, which lags."""
        now = self.queue.now
        entries = [instance.entry for instance in self.instances.values()]
        for backend in self.backends.values():
            is_leaving = (
                backend.listed_leaving_at is not None
                and now >= backend.listed_leaving_at
            )
            spec = backend.spec
            entries.append(
                types.InstanceEntry(
                    spec.name,
                    "backend",
                    spec.domain,
                    spec.host,
                    spec.port,
                    "leaving" if is_leaving else "live",
                )
            )
        return tuple(entries)

    def peers_of(self, instance) -> list[instances.Instance]:
        """Return all other instances."""
        all_instances = self.instances.values()
        return [peer for peer in all_instances if peer is not instance]

    def start_leaving(self, name: str) -> None:
        """Mark a backend server as leaving once the list has caught up."""
        self.backends[name].listed_leaving_at = self.queue.now + LIST_LAG
        self.backends[name].leaving_since = self.queue.now + LIST_LAG

    def send(
        self, sender: str, receiver: str, callback: Callable[[], None]
    ) -> bool:
        """Deliver a message between two locations.

        Return False if the link is down or the message is lost.
        """
        if not self.net.is_connected(sender, receiver) or self.net.draw_loss():
            return False
        self.queue.schedule(self.net.delay(sender, receiver), callback)
        return True

    def find_starts(self, payload: bytes) -> list[backends.TaskStart]:
        """Return the starts of the task with a payload, on all servers."""
        return [
            start
            for backend in self.backends.values()
            for start in backend.starts
            if start.payload == payload
        ]

    def record_answer(
        self, submission: callers.Submission, received: Any
    ) -> None:
        """Trace and check an answer that a caller received."""
        kind = type(received.answer).__name__.lower()
        code = getattr(received.answer, "code", "")
        self.add_trace(
            f"{submission.label} is answered {kind} {code}".rstrip()
        )
        checks.check_answer(self, submission, received.answer)

    def check_stop(self, instance) -> None:
        """Check that a graceful stop leaves no request open."""
        checks.check_stop(self, instance)

    def record_fault(self, name: str, send: Any, text: str) -> None:
        """Record that a controller raised."""
        kind = type(send.msg).__name__
        self.faults.append(f"{send.to} of {name} raised on {kind}")
        self.add_trace(text)

    def add_trace(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{self.queue.now:9.3f}  {text}")

    def advance(self, seconds: float) -> None:
        """Advance the clock, then check the invariants of a run."""
        self.queue.advance(seconds)
        checks.check_always(self)
