"""A fake backend server with slots, a speed, faults and a start log."""

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
    "TaskStart",
    "expected_answer",
    "send_task",
]

MODES = ("well", "failing", "silent", "crashing", "refusing", "down")

CONNECT_TIMEOUT = 1.0
"""Seconds until a connection attempt without an answer times out."""


class TaskStart(NamedTuple):
    """A start of a task on a backend server."""

    time: float
    instance: str
    task: types.TaskRef
    payload: bytes
    platform_reachable_since: float
    """Time since which the instance has a path to the platform."""


def expected_answer(payload: bytes) -> bytes:
    """Return the result that a backend server answers for a payload."""
    return b"done:" + payload


class FakeBackend:
    """One backend server.

    A payload ends in a slash and the seconds of work of its task.

    Parameters
    ----------
    spec : BackendSpec
        Its entry in the configuration.
    speed : float
        Seconds of work done in a second.
    queue, net
        Event queue, and links to the instances.
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
        self.starts: list[TaskStart] = []
        self.running_count = 0
        self.waiting_exchanges: collections.deque = collections.deque()
        self.leaving_since: float | None = None
        """Time of the first sign that it is leaving: an operator's note or
        the platform's list."""
        self.listed_leaving_at: float | None = None
        """Time from which the platform's list marks it as leaving."""
        self.idle_connections: collections.Counter[str] = collections.Counter()
        """Number of idle connections, by instance."""
        self.silent_connections: set[str] = set()
        """Instances whose idle connections get no answers."""

    def free_slot(self) -> None:
        """Release a slot and start the next waiting task."""
        self.running_count -= 1
        if self.waiting_exchanges:
            self.waiting_exchanges.popleft()()


def send_task(
    backend: FakeBackend,
    instance: Any,
    msg: messages.StartTask,
    on_result: Callable[[types.BackendAnswer], None],
) -> None:
    """Send a task to a backend server over a connection of an instance.

    `on_result` gets the result of the exchange.
    """
    exchange = _Exchange(
        backend, instance.name, instance.domain, msg, on_result
    )
    reused = backend.idle_connections[instance.name] > 0
    if reused:
        backend.idle_connections[instance.name] -= 1
    connected = backend.net.is_connected(instance.domain, backend.spec.domain)
    if reused and (
        instance.name in backend.silent_connections or not connected
    ):
        backend.queue.schedule(msg.timeout, exchange.time_out)
        return
    if not connected:
        backend.queue.schedule(CONNECT_TIMEOUT, exchange.fail_connect)
        return
    delay = backend.net.delay(instance.domain, backend.spec.domain)
    epoch = instance.epoch

    def send():
        if instance.epoch != epoch:
            return
        if instance.now() >= msg.start_by:
            exchange.fail_connect()
        else:
            backend.queue.schedule(delay, exchange.handle_request)

    connect_delay = 0.0 if reused else 2 * delay
    backend.queue.schedule(connect_delay, lambda: instance.run(send))


class _Exchange:
    """One exchange, as the backend server sees it."""

    def __init__(self, backend, instance, instance_domain, msg, on_result):
        self.backend = backend
        self.instance = instance
        self.instance_domain = instance_domain
        self.msg = msg
        self.on_result = on_result
        self.ended = False

    def handle_request(self):
        backend = self.backend
        if backend.mode == "down":
            self._end(types.BackendAnswer("connect", error="refused"))
            return
        if backend.mode == "refusing":
            self._send_answer(types.BackendAnswer("done", 503, not_run=True))
            return
        backend.queue.schedule(self.msg.timeout, self.time_out)
        if backend.running_count >= backend.spec.slots:
            backend.waiting_exchanges.append(self._start)
        else:
            self._start()

    def _start(self):
        backend = self.backend
        backend.running_count += 1
        now = backend.queue.now
        payload = self.msg.payload
        reachable_since = backend.net.platform_reachable_since.get(
            self.instance_domain, 0.0
        )
        start = TaskStart(
            now, self.instance, self.msg.task, payload, reachable_since
        )
        backend.starts.append(start)
        if backend.mode == "failing":
            self._finish(types.BackendAnswer("done", 500))
            return
        answer = types.BackendAnswer("done", 200, expected_answer(payload))
        work_time = float(payload.rpartition(b"/")[2])
        backend.queue.schedule(
            work_time / backend.speed, lambda: self._finish(answer)
        )

    def _finish(self, answer):
        mode = self.backend.mode
        self.backend.free_slot()
        if mode == "silent":
            return
        if mode in ("crashing", "down"):
            self._end(types.BackendAnswer("answer", error="reset"))
            return
        self._send_answer(answer)

    def _send_answer(self, answer):
        net = self.backend.net
        domain = self.backend.spec.domain
        if not net.is_connected(self.instance_domain, domain):
            return
        delay = net.delay(self.instance_domain, domain)
        self.backend.queue.schedule(delay, lambda: self._end(answer, True))

    def time_out(self):
        self._end(types.BackendAnswer("answer", error="timed out"))

    def fail_connect(self):
        self._end(types.BackendAnswer("connect", error="timed out"))

    def _end(self, answer, keep_open=False):
        if self.ended:
            return
        self.ended = True
        if keep_open:
            self.backend.idle_connections[self.instance] += 1
        self.on_result(answer)
