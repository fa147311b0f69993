"""One instance: the real controllers over the fakes of a simulation."""

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
from cardamompath_proof.harness import io_tasks
from cardamompath_proof.harness import log
from cardamompathd import app
from cardamompathd import controllers
from cardamompathd import messages
from cardamompathd.recordlog import reader

__all__ = [
    "ANSWER_TTL",
    "Instance",
    "ControllerFactories",
    "make_controllers",
]

ANSWER_TTL = 300.0
"""Seconds for which an instance keeps the answer of a job."""

ANSWER_HOLD = 1.0
"""Seconds for which a leaving instance keeps answers that no caller has
fetched."""

LISTENER_STOP = 5.0
"""Seconds that a stopping listener waits for its open requests."""

POLL_INTERVAL = 0.01
"""Seconds between two checks for open requests."""


class ControllerFactories(NamedTuple):
    """Factories of the controllers of an instance; tests replace some."""

    jobs: Any = controllers.jobs.jobs.make_controller
    backends: Any = controllers.backends.backends.make_controller
    configuration: Any = (
        controllers.configuration.configuration.make_controller
    )
    journal: Any = controllers.journal.journal.make_controller
    membership: Any = controllers.fleet.membership.make_controller


def make_controllers(
    factories: ControllerFactories,
    owner: identity.Incarnation,
    seeds: Sequence[tuple[str, int]],
    draw_nonce: Callable[[], str],
    make_rng: Callable[[], random.Random],
) -> list[messages.Controller]:
    """Make the controllers of one instance, as the daemon does.

    Parameters
    ----------
    factories : ControllerFactories
        Makes each controller.
    owner : Incarnation
        Identity of the instance.
    seeds : sequence of (str, int)
        Addresses of its peers.
    draw_nonce : callable
        Draws unique texts for journal records.
    make_rng : callable
        Makes a random generator for each controller that needs one.
    """
    return [
        factories.jobs(owner, ANSWER_TTL),
        factories.backends(owner, make_rng()),
        factories.configuration(make_rng()),
        factories.journal(owner, draw_nonce),
        factories.membership(owner, seeds, make_rng()),
    ]


class Instance:
    """A simulated process: the controllers of one instance.

    Parameters
    ----------
    sim : Simulation
        The fakes and the other instances.
    entry : InstanceEntry
        Name, failure domain and address.
    skew : float
        Seconds that the clock of this instance is ahead.
    """

    def __init__(self, sim, entry: types.InstanceEntry, skew: float):
        self.sim = sim
        self.entry = entry
        self.name = entry.name
        self.domain = entry.domain
        self.skew = skew
        self.epoch = 0
        """Changes at each boot and kill; drops callbacks of earlier boots."""
        self.state = "dead"
        self.deferred: list[Any] = []
        """Callbacks that came due while the process was paused."""
        self.followers: list[log.Follower] = []
        self.drained_at: float | None = None
        """Time at which the process ended after a drain."""

    def boot(self) -> None:
        """Start the process as a new incarnation without any state."""
        self.epoch += 1
        self.state = "running"
        self.deferred = []
        self.drained_at = None
        self.owner = identity.Incarnation(
            self.domain, self.name, self._draw_nonce()
        )
        self.receivers = self._make_receivers()
        self.io_receivers = io_tasks.make_io_receivers(self)
        self._follow("configuration", messages.CONFIGURATION, reader.READ_WAIT)
        self._follow("journal", messages.JOURNAL, app.JOURNAL_READ_WAIT)
        commit = messages.TimerFired(controllers.journal.journal.COMMIT_TIMER)
        self.tell(messages.Send(messages.JOURNAL, commit))
        address = (self.entry.host, self.entry.port)
        listening = messages.PeerListenerStarted(address)
        self.tell(messages.Send(messages.MEMBERSHIP, listening))

    def _make_receivers(self):
        seeds = [
            (peer.entry.host, peer.entry.port)
            for peer in self.sim.peers_of(self)
        ]
        created = make_controllers(
            self.sim.factories,
            self.owner,
            seeds,
            self._draw_nonce,
            self._make_rng,
        )
        return {controller.name: controller.receive for controller in created}

    def _make_rng(self):
        return random.Random(self.sim.rng.random())

    def _draw_nonce(self):
        return f"{self.epoch:08d}{self.sim.rng.getrandbits(32):08x}"

    def now(self) -> float:
        """Return the time on the clock of this instance."""
        return self.sim.queue.now + self.skew

    def _follow(self, stream, to, max_wait):
        tell = self.make_tell(to)
        follower = log.Follower(
            self.sim.log, self.domain, stream, tell, self.sim.rng, max_wait
        )
        self.followers.append(follower)
        follower.poll()

    def kill(self) -> None:
        """Kill the process; its state is lost."""
        self.state = "dead"
        self.epoch += 1
        self.deferred = []
        for follower in self.followers:
            follower.stopped = True
        self.followers = []
        self.sim.callers.break_connections(self.name)

    def stop(self) -> None:
        """Drain, and end the process once every request is answered."""
        epoch = self.epoch

        def close(_):
            if self.epoch == epoch:
                self.sim.add_trace(f"{self.name} has drained")
                release = messages.ReleaseWaiters()
                self.tell(messages.Send(messages.JOBS, release))
                deadline = self.sim.queue.now + LISTENER_STOP
                self._close_listener(deadline)

        leaving = messages.InstanceLeaving()
        self.tell(messages.Send(messages.MEMBERSHIP, leaving))
        drain = messages.Drain(close, ANSWER_HOLD)
        self.tell(messages.Send(messages.JOBS, drain))

    def _close_listener(self, deadline):
        """End the process when no request is open, or at the deadline."""
        now = self.sim.queue.now
        if self.sim.callers.open_requests_at(self.name) and now < deadline:
            self.sim.queue.schedule(
                POLL_INTERVAL, lambda: self._close_listener(deadline)
            )
            return
        self.drained_at = now
        self.sim.check_stop(self)
        self.kill()

    def pause(self) -> None:
        """Freeze the process; defer the callbacks that come due."""
        if self.state == "running":
            self.state = "paused"

    def resume(self) -> None:
        """Continue a paused process and run its deferred callbacks."""
        if self.state != "paused":
            return
        self.state = "running"
        deferred, self.deferred = self.deferred, []
        for callback in deferred:
            self.run(callback)

    def run(self, callback: Any) -> None:
        """Run a callback in the process, or when it resumes."""
        if self.state == "paused":
            self.deferred.append(callback)
        elif self.state == "running":
            callback()

    def tell(self, send: messages.Send) -> None:
        """Deliver a message and all messages that follow from it."""
        self.run(functools.partial(self._deliver, send))

    def _deliver(self, send):
        pending = collections.deque([send])
        while pending:
            next_send = pending.popleft()
            receive = self.receivers.get(next_send.to)
            if receive is None:
                self.io_receivers[next_send.to](next_send.msg)
            else:
                pending.extend(self._run_controller(receive, next_send))

    def _run_controller(self, receive, send):
        """Run a controller; record what it raises and go on."""
        try:
            return receive(send.msg, self.now())
        except Exception:
            self.sim.record_fault(self.name, send, traceback.format_exc())
            return ()

    def make_tell(self, to: str) -> Any:
        """Return a function that sends messages to a controller.

        After the end of this boot it drops them.
        """
        epoch = self.epoch

        def tell(msg):
            if self.epoch == epoch:
                self.tell(messages.Send(to, msg))

        return tell
