"""A run: instances with real controllers, and fakes around them."""

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
"""Seconds by which the platform's list is late."""

SKEW = 1000.0
"""Seconds between the clocks of two instances."""


class Simulation:
    """All parts of one run, on one clock and one seed.

    Parameters
    ----------
    seed : int
        Seed of all that is random.
    parts : Parts
        How the controllers are made.
    """

    def __init__(self, seed: int, parts: instances.Parts | None = None):
        self.rng = random.Random(seed)
        self.parts = parts or instances.Parts()
        self.queue = events.EventQueue()
        self.net = network.Network(self.rng)
        self.log = log.FakeLog(self.queue, self.net)
        self.instances: dict[str, instances.Instance] = {}
        self.backends: dict[str, backends.FakeBackend] = {}
        self.callers = callers.Callers(self)
        self.operators = operators.Operators(self)
        self.trace: list[str] = []
        self.faults: list[str] = []
        """What controllers raised."""
        self.used: set[str] = set()
        """Failures that happened and promises that were put to use."""

    def add_instance(self, name: str, domain: str) -> None:
        """Declare an entry instance; it is not started yet."""
        number = len(self.instances) + 1
        entry = types.InstanceEntry(
            name, "entry", domain, f"10.0.0.{number}", 7400, "live"
        )
        skew = SKEW * number
        self.instances[name] = instances.Instance(self, entry, skew)
        self.net.places.add(domain)

    def add_backend(
        self, name: str, domain: str, service: str, slots: int, speed: float
    ) -> None:
        """Declare a backend server."""
        host = f"10.1.0.{len(self.backends) + 1}"
        spec = types.BackendSpec(name, service, domain, host, 80, slots)
        self.backends[name] = backends.FakeBackend(
            spec, speed, self.queue, self.net
        )

    def instance_at(
        self, address: tuple[str, int] | None
    ) -> instances.Instance | None:
        """Return the instance that listens at an address."""
        for one in self.instances.values():
            if address == (one.entry.host, one.entry.port):
                return one
        return None

    def listed(self) -> tuple[types.InstanceEntry, ...]:
        """Return the platform's list, as it was some time ago."""
        now = self.queue.now
        entries = [one.entry for one in self.instances.values()]
        for one in self.backends.values():
            gone = one.listed_at is not None and now >= one.listed_at
            spec = one.spec
            entries.append(
                types.InstanceEntry(
                    spec.name,
                    "backend",
                    spec.domain,
                    spec.host,
                    spec.port,
                    "leaving" if gone else "live",
                )
            )
        return tuple(entries)

    def peers_of(self, instance) -> list[instances.Instance]:
        """Return all other instances."""
        every = self.instances.values()
        return [one for one in every if one is not instance]

    def leave(self, name: str) -> None:
        """Let a backend server begin to leave; the list lags."""
        self.backends[name].listed_at = self.queue.now + LIST_LAG
        self.backends[name].left_at = self.queue.now + LIST_LAG

    def send(self, one: str, other: str, run: Callable[[], None]) -> bool:
        """Carry a message between two places, unless it is lost."""
        if not self.net.linked(one, other) or self.net.loses():
            return False
        self.queue.after(self.net.delay(one, other), run)
        return True

    def starts(self, payload: bytes) -> list[backends.Start]:
        """Return all starts of a payload, on any backend server."""
        return [
            start
            for one in self.backends.values()
            for start in one.starts
            if start.payload == payload
        ]

    def answered(self, known: callers.Submission, given: Any) -> None:
        """Check an answer when it is given."""
        kind = type(given.answer).__name__.lower()
        code = getattr(given.answer, "code", "")
        self.note(f"{known.label} is answered {kind} {code}".rstrip())
        checks.check_answer(self, known, given.answer)

    def check_stop(self, instance) -> None:
        """Check that a graceful stop cuts nothing off."""
        checks.check_stop(self, instance)

    def fail(self, name: str, send: Any, text: str) -> None:
        """Note that a controller raised."""
        kind = type(send.msg).__name__
        self.faults.append(f"{send.to} of {name} failed on {kind}")
        self.note(text)

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{self.queue.now:9.3f}  {text}")

    def advance(self, seconds: float) -> None:
        """Let time pass and check what holds all the time."""
        self.queue.advance(seconds)
        checks.check_always(self)
