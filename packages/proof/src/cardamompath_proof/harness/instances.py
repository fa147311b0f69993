"""One instance: the real controllers over the fakes of a world."""

from __future__ import annotations

import collections
import functools
import random
import traceback
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from cardamompath_core import identity
from cardamompath_core import types
from cardamompath_proof.harness import links
from cardamompath_proof.harness import log
from cardamompathd import app
from cardamompathd import controllers
from cardamompathd import messages
from cardamompathd.recordlog import reader

__all__ = [
    "ANSWER_TTL",
    "Instance",
    "Parts",
    "make_controllers",
]

ANSWER_TTL = 300.0
"""Seconds for which an answer can be asked for again."""

ANSWER_HOLD = 1.0
"""Seconds for which a leaving instance keeps unfetched answers."""

LISTENER_STOP = 5.0
"""Seconds that a listener leaves its open requests when it stops."""

LOOK = 0.01
"""Seconds between two looks whether a request is still open."""


class Parts(NamedTuple):
    """How the controllers of an instance are made."""

    jobs: Any = controllers.jobs.make_controller
    backends: Any = controllers.backends.make_controller
    configuration: Any = controllers.configuration.make_controller
    journal: Any = controllers.journal.make_controller
    membership: Any = controllers.membership.make_controller


def make_controllers(
    parts: Parts,
    owner: identity.Incarnation,
    seeds: Sequence[tuple[str, int]],
    draw: Callable[[], str],
    make_rng: Callable[[], random.Random],
) -> list[messages.Controller]:
    """Make the controllers of one instance, as the daemon does."""
    return [
        parts.jobs(owner, ANSWER_TTL),
        parts.backends(owner, make_rng()),
        parts.configuration(make_rng()),
        parts.journal(owner, draw),
        parts.membership(owner, seeds, make_rng()),
    ]


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
        self.held: list[Any] = []
        self.followers: list[log.Follower] = []
        self.drained_at: float | None = None

    def boot(self) -> None:
        """Begin a new incarnation that remembers nothing."""
        self.life += 1
        self.state = "running"
        self.held = []
        self.drained_at = None
        self.owner = identity.Incarnation(self.domain, self.name, self._draw())
        self.receive = self._make()
        self.outside = links.make_links(self)
        self._follow("configuration", messages.CONFIGURATION, reader.READ_WAIT)
        self._follow("journal", messages.JOURNAL, app.JOURNAL_READ_WAIT)
        commit = messages.TimerFired(controllers.journal.COMMIT_TIMER)
        self.tell(messages.Send(messages.JOURNAL, commit))
        address = (self.entry.host, self.entry.port)
        listening = messages.PeerListenerStarted(address)
        self.tell(messages.Send(messages.MEMBERSHIP, listening))

    def _make(self):
        seeds = [
            (one.entry.host, one.entry.port)
            for one in self.world.peers_of(self)
        ]
        made = make_controllers(
            self.world.parts,
            self.owner,
            seeds,
            self._draw,
            self._rng,
        )
        return {one.name: one.receive for one in made}

    def _rng(self):
        return random.Random(self.world.rng.random())

    def _draw(self):
        return f"{self.life:08d}{self.world.rng.getrandbits(32):08x}"

    def now(self) -> float:
        """Return the time on the clock of this instance."""
        return self.world.queue.now + self.skew

    def _follow(self, stream, to, wait):
        tell = self.teller(to)
        follower = log.Follower(
            self.world.log, self.domain, stream, tell, self.world.rng, wait
        )
        self.followers.append(follower)
        follower.poll()

    def kill(self) -> None:
        """End the process; nothing of it is kept."""
        self.state = "dead"
        self.life += 1
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
                release = messages.ReleaseWaiters()
                self.tell(messages.Send(messages.JOBS, release))
                until = self.world.queue.now + LISTENER_STOP
                self._close_listener(until)

        leaving = messages.InstanceLeaving()
        self.tell(messages.Send(messages.MEMBERSHIP, leaving))
        drain = messages.Drain(close, ANSWER_HOLD)
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
        if self.state == "running":
            self.state = "paused"

    def resume(self) -> None:
        """Let the process run on, late."""
        if self.state != "paused":
            return
        self.state = "running"
        held, self.held = self.held, []
        for run in held:
            self.run(run)

    def run(self, run: Any) -> None:
        """Run a function on this instance, after a pause if it has one."""
        if self.state == "paused":
            self.held.append(run)
        elif self.state == "running":
            run()

    def tell(self, send: messages.Send) -> None:
        """Deliver a message and all that follows from it."""
        self.run(functools.partial(self._deliver, send))

    def _deliver(self, send):
        pending = collections.deque([send])
        while pending:
            one = pending.popleft()
            receive = self.receive.get(one.to)
            if receive is None:
                self.outside[one.to](one.msg)
            else:
                pending.extend(self._receive(receive, one))

    def _receive(self, receive, send):
        """Run a controller; the runtime survives what it raises."""
        try:
            return receive(send.msg, self.now())
        except Exception:
            self.world.fail(self.name, send, traceback.format_exc())
            return ()

    def teller(self, to: str) -> Any:
        """Return a function that tells a task of this life a message."""
        life = self.life

        def tell(msg):
            if self.life == life:
                self.tell(messages.Send(to, msg))

        return tell
