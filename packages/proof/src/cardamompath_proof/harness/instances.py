"""One instance: the real controllers over the fakes of a world."""

from __future__ import annotations

import collections
import functools
from typing import Any
from typing import NamedTuple

from cardamompath_core import identity
from cardamompath_core import routing
from cardamompath_core import types
from cardamompath_proof.harness import log
from cardamompathd import controllers
from cardamompathd import messages

__all__ = [
    "ANSWER_TTL",
    "Instance",
    "Parts",
]

ANSWER_TTL = 300.0
"""Seconds for which an answer can be asked for again."""

LISTENER_STOP = 5.0
"""Seconds that a listener leaves its open requests when it stops."""

LOOK = 0.01
"""Seconds between two looks whether a request is still open."""


class Parts(NamedTuple):
    """How the controllers of an instance are made."""

    jobs: Any = controllers.jobs.make_controller
    backends: Any = controllers.backends.make_controller
    configuration: Any = controllers.configuration.make_controller


class Instance:
    """The controllers of one instance, its inbox and its life.

    Parameters
    ----------
    world : World
        The fakes and the other instances.
    entry : InstanceEntry
        Name, failure domain and address.
    skew : float
        Seconds that the clock of this instance is ahead.
    """

    def __init__(self, world, entry: types.InstanceEntry, skew: float):
        self.world = world
        self.entry = entry
        self.name = entry.name
        self.domain = entry.domain
        self.skew = skew
        self.life = 0
        self.state = "dead"
        self.held: list[messages.Send] = []
        self.followers: list[log.Follower] = []
        self.drained_at: float | None = None

    def boot(self) -> None:
        """Begin a new incarnation that remembers nothing."""
        self.life += 1
        self.state = "running"
        self.held = []
        self.drained_at = None
        nonce = f"{self.life:08d}{self.world.rng.getrandbits(32):08x}"
        self.owner = identity.Incarnation(self.domain, self.name, nonce)
        parts = self.world.parts
        made = [
            parts.jobs(self.owner, ANSWER_TTL),
            parts.backends(routing.least_in_flight()),
            parts.configuration(),
        ]
        self.receive = {one.name: one.receive for one in made}
        self._follow("configuration", messages.CONFIGURATION)

    def _follow(self, stream, to):
        follower = log.Follower(
            self.world.log,
            self.domain,
            stream,
            lambda read: self.tell(messages.Send(to, read)),
            self.world.rng,
        )
        self.followers.append(follower)
        follower.poll()

    def kill(self) -> None:
        """End the process; nothing of it is kept."""
        self.state = "dead"
        self.held = []
        for follower in self.followers:
            follower.ended = True
        self.followers = []
        self.world.callers.connection_lost(self.name)

    def stop(self) -> None:
        """Drain, and end the process once all is answered."""
        life = self.life

        def close(_):
            if self.life == life:
                self.world.note(f"{self.name} has drained")
                until = self.world.queue.now + LISTENER_STOP
                self._close_listener(until)

        drain = messages.Drain(close)
        self.tell(messages.Send(messages.JOBS, drain))

    def _close_listener(self, until):
        """End when no caller is waiting, or after the listener's time."""
        now = self.world.queue.now
        if self.world.callers.waiting_at(self.name) and now < until:
            self.world.queue.after(LOOK, lambda: self._close_listener(until))
            return
        self.drained_at = now
        self.world.check_stop(self)
        self.kill()

    def pause(self) -> None:
        """Stop the process; what arrives waits."""
        self.state = "paused"

    def resume(self) -> None:
        """Let the process run on, late."""
        self.state = "running"
        held, self.held = self.held, []
        for send in held:
            self.tell(send)

    def tell(self, send: messages.Send) -> None:
        """Deliver a message and all that follows from it."""
        if self.state == "dead":
            return
        if self.state == "paused":
            self.held.append(send)
            return
        now = self.world.queue.now + self.skew
        pending = collections.deque([send])
        while pending:
            one = pending.popleft()
            receive = self.receive.get(one.to)
            if receive is None:
                self._outside(one, now)
            else:
                pending.extend(receive(one.msg, now))

    def _outside(self, send, now):
        to, msg = send
        if to == messages.CALLERS:
            self.world.callers.reply(self, msg.reply, msg.answer)
        elif to == messages.CONNECTIONS:
            self._start(msg)
        elif to == messages.TIMERS:
            fired = messages.Send(msg.to, messages.TimerFired(msg.key))
            self._later(max(0.0, msg.at - now), fired)
        else:
            raise LookupError(f"{self.name} has no task {to!r}")

    def _start(self, msg):
        backend = self.world.backends[msg.backend.name]
        ended = functools.partial(
            messages.TaskEnded, msg.backend.name, msg.task
        )
        tell = self._teller(messages.BACKENDS)
        backend.exchange(
            self.name, self.domain, msg, lambda one: tell(ended(one))
        )

    def _teller(self, to):
        life = self.life

        def tell(msg):
            if self.life == life:
                self.tell(messages.Send(to, msg))

        return tell

    def _later(self, delay, send):
        tell = self._teller(send.to)
        self.world.queue.after(delay, lambda: tell(send.msg))
