"""A fake backend server: slots, speed, faults and a record of starts."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cardamompath_core import types
from cardamompath_proof.harness import events
from cardamompath_proof.harness import network
from cardamompathd import messages

__all__ = [
    "MODES",
    "FakeBackend",
    "Start",
    "begin",
    "expected_answer",
]

MODES = ("well", "failing", "silent", "crashing", "refusing", "down")

CONNECT_TIMEOUT = 1.0
"""Seconds until a connection attempt without an answer is given up."""


class Start(NamedTuple):
    """One start of a task."""

    at: float
    instance: str
    task: types.TaskRef
    payload: bytes
    path_since: float
    """Since when the instance has a path to the platform."""


def expected_answer(payload: bytes) -> bytes:
    """Return what a backend server answers to a payload."""
    return b"done:" + payload


class FakeBackend:
    """One backend server.

    A payload ends in the seconds of its work, after a slash.

    Parameters
    ----------
    spec : BackendSpec
        As the configuration declares it.
    speed : float
        Work done a second.
    queue, net
        The clock, and the links to the instances.
    """

    def __init__(
        self,
        spec: types.BackendSpec,
        speed: float,
        queue: events.EventQueue,
        net: network.Network,
    ):
        self.spec = spec
        self.speed = speed
        self.queue = queue
        self.net = net
        self.mode = "well"
        self.starts: list[Start] = []
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self.left_at: float | None = None
        """When the first sign of its leaving could be seen."""
        self.listed_at: float | None = None
        """Since when the platform's list calls it leaving."""
        self.idle: collections.Counter[str] = collections.Counter()
        """Open connections without an exchange, by instance."""
        self.silent_connections: set[str] = set()
        """Instances whose open connections lead nowhere."""

    def free_slot(self) -> None:
        """Run the next task that waits for a slot."""
        self.running -= 1
        if self.waiting:
            self.waiting.popleft()()


def begin(
    backend: FakeBackend,
    instance: Any,
    msg: messages.StartTask,
    done: Callable[[types.BackendAnswer], None],
) -> None:
    """Take a task over a connection of an instance.

    `done` gets how the exchange ended.
    """
    call = _Call(backend, instance.name, instance.domain, msg, done)
    reused = backend.idle[instance.name] > 0
    if reused:
        backend.idle[instance.name] -= 1
    linked = backend.net.linked(instance.domain, backend.spec.domain)
    if reused and (instance.name in backend.silent_connections or not linked):
        backend.queue.after(msg.timeout, call.time_out)
        return
    if not linked:
        backend.queue.after(CONNECT_TIMEOUT, call.fail_connect)
        return
    delay = backend.net.delay(instance.domain, backend.spec.domain)
    life = instance.life

    def send():
        if instance.life != life:
            return
        if instance.now() >= msg.start_by:
            call.fail_connect()
        else:
            backend.queue.after(delay, call.arrive)

    connect = 0.0 if reused else 2 * delay
    backend.queue.after(connect, lambda: instance.run(send))


class _Call:
    """One exchange, seen from the backend server."""

    def __init__(self, backend, instance, place, msg, done):
        self.backend = backend
        self.instance = instance
        self.place = place
        self.msg = msg
        self.done = done
        self.over = False

    def arrive(self):
        backend = self.backend
        if backend.mode == "down":
            self._end(types.BackendAnswer("connect", error="refused"))
            return
        if backend.mode == "refusing":
            self._answer(types.BackendAnswer("done", 503, not_run=True))
            return
        backend.queue.after(self.msg.timeout, self.time_out)
        if backend.running >= backend.spec.slots:
            backend.waiting.append(self._start)
        else:
            self._start()

    def _start(self):
        backend = self.backend
        backend.running += 1
        now = backend.queue.now
        payload = self.msg.payload
        since = backend.net.path_since.get(self.place, 0.0)
        start = Start(now, self.instance, self.msg.task, payload, since)
        backend.starts.append(start)
        if backend.mode == "failing":
            self._finish(types.BackendAnswer("done", 500))
            return
        answer = types.BackendAnswer("done", 200, expected_answer(payload))
        work = float(payload.rpartition(b"/")[2])
        backend.queue.after(work / backend.speed, lambda: self._finish(answer))

    def _finish(self, answer):
        mode = self.backend.mode
        self.backend.free_slot()
        if mode == "silent":
            return
        if mode in ("crashing", "down"):
            self._end(types.BackendAnswer("answer", error="reset"))
            return
        self._answer(answer)

    def _answer(self, answer):
        net = self.backend.net
        domain = self.backend.spec.domain
        if not net.linked(self.place, domain):
            return
        delay = net.delay(self.place, domain)
        self.backend.queue.after(delay, lambda: self._end(answer, True))

    def time_out(self):
        self._end(types.BackendAnswer("answer", error="timed out"))

    def fail_connect(self):
        self._end(types.BackendAnswer("connect", error="timed out"))

    def _end(self, answer, keep=False):
        if self.over:
            return
        self.over = True
        if keep:
            self.backend.idle[self.instance] += 1
        self.done(answer)
