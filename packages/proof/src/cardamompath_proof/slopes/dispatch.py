"""Costs of the jobs controller and the backend servers controller."""

from __future__ import annotations

import collections
import random
import time
import tracemalloc

from cardamompath_core import identity
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import messages

__all__ = [
    "Dispatch",
    "make_configuration",
    "measure_queue_memory",
    "measure_start_time",
]

OWNER = identity.Incarnation("ciudad-vieja", "entry-1", "0123456789ab")
JOB_TASKS = 200
RESPONSE_TIME = 0.4
"""Virtual seconds that a backend server takes for a task."""


def make_configuration(backends: int, teams: int = 63) -> types.Configuration:
    """Make a configuration with one service of `backends` servers."""
    specs = tuple(
        types.BackendSpec(
            f"executor-{index}",
            "booking",
            f"domain-{index % 5}",
            "127.0.0.1",
            10_000 + index,
        )
        for index in range(backends)
    )
    return types.Configuration(
        1,
        0,
        (types.ServiceSpec("booking"),),
        specs,
        tuple(
            types.TeamSpec(f"team-{number}", 10.0) for number in range(teams)
        ),
    )


class Dispatch:
    """The two controllers, and delivery of the messages between them."""

    def __init__(self, backends: int):
        self.now = 0.0
        self.in_flight: collections.deque = collections.deque()
        self.job_count = 0
        self.receivers = {
            controller.name: controller.receive
            for controller in (
                controllers.jobs.jobs.make_controller(OWNER),
                controllers.backends.backends.make_controller(
                    OWNER, random.Random(7)
                ),
            )
        }
        changed = messages.ConfigurationChanged(make_configuration(backends))
        self.deliver(messages.JOBS, changed)
        self.deliver(messages.BACKENDS, changed)
        lease = messages.LeaseChanged(
            identity.format_incarnation(OWNER), float("inf")
        )
        self.deliver(messages.BACKENDS, lease)
        self.deliver(messages.JOBS, lease)

    def deliver(self, name, msg):
        """Deliver a message and all messages that it leads to."""
        pending = collections.deque([messages.Send(name, msg)])
        while pending:
            send = pending.popleft()
            if send.to == messages.CONNECTIONS:
                self.in_flight.append(send.msg)
            elif send.to in self.receivers:
                pending.extend(self.receivers[send.to](send.msg, self.now))

    def submit(self, tasks: int) -> None:
        """Submit a job of `tasks` tasks."""
        self.job_count += 1
        task = types.TaskSpec("booking", "reserve", b"{}")
        spec = types.JobSpec(
            "team-1", (task,) * tasks, 600.0, str(self.job_count)
        )
        self.deliver(messages.JOBS, messages.Submit("", spec, None))

    def complete_oldest(self) -> None:
        """Complete the task that has been in flight for longest."""
        start = self.in_flight.popleft()
        self.now += RESPONSE_TIME / max(1, len(self.in_flight))
        answer = types.BackendAnswer("done", 200, b"{}", elapsed=RESPONSE_TIME)
        ended = messages.AttemptEnded(start.backend.name, start.task, answer)
        self.deliver(messages.BACKENDS, ended)


def measure_start_time(backends: int, tasks: int = 12_000) -> float:
    """Return the processor seconds per task start with `backends` servers."""
    dispatch = Dispatch(backends)
    started_at = time.process_time()
    completed = 0
    for _ in range(tasks // JOB_TASKS):
        dispatch.submit(JOB_TASKS)
        while len(dispatch.in_flight) > 8:
            dispatch.complete_oldest()
            completed += 1
    while dispatch.in_flight:
        dispatch.complete_oldest()
        completed += 1
    return (time.process_time() - started_at) / completed


def measure_queue_memory(tasks: int) -> float:
    """Return the bytes of memory of `tasks` queued tasks."""
    dispatch = Dispatch(1)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(tasks // types.MAX_TASKS):
        dispatch.submit(types.MAX_TASKS)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(after - before)
