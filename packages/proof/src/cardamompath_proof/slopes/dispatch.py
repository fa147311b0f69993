"""Costs of the jobs and backend servers controllers."""

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
    "queued_memory",
    "start_cost",
]

OWNER = identity.Incarnation("ciudad-vieja", "entry-1", "0123456789ab")
JOB_TASKS = 200
ELAPSED = 0.4
"""Seconds that each exchange takes in virtual time."""


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
        tuple(types.TeamSpec(f"team-{one}", 10.0) for one in range(teams)),
    )


class Dispatch:
    """The two controllers with the messages between them."""

    def __init__(self, backends: int):
        self.now = 0.0
        self.flying: collections.deque = collections.deque()
        self.jobs = 0
        self.receive = {
            one.name: one.receive
            for one in (
                controllers.jobs.make_controller(OWNER),
                controllers.backends.make_controller(OWNER, random.Random(7)),
            )
        }
        changed = messages.ConfigurationChanged(make_configuration(backends))
        self.tell(messages.JOBS, changed)
        self.tell(messages.BACKENDS, changed)
        lease = messages.LeaseChanged(
            identity.format_incarnation(OWNER), float("inf")
        )
        self.tell(messages.BACKENDS, lease)
        self.tell(messages.JOBS, lease)

    def tell(self, name, msg):
        """Deliver a message and all that follows from it."""
        pending = collections.deque([messages.Send(name, msg)])
        while pending:
            send = pending.popleft()
            if send.to == messages.CONNECTIONS:
                self.flying.append(send.msg)
            elif send.to in self.receive:
                pending.extend(self.receive[send.to](send.msg, self.now))

    def submit(self, tasks: int) -> None:
        """Submit a job of so many tasks."""
        self.jobs += 1
        one = types.TaskSpec("booking", "reserve", b"{}")
        spec = types.JobSpec("team-1", (one,) * tasks, 600.0, str(self.jobs))
        self.tell(messages.JOBS, messages.Submit("", spec, None))

    def end_one(self) -> None:
        """End the task that has been in flight for longest."""
        start = self.flying.popleft()
        self.now += ELAPSED / max(1, len(self.flying))
        answer = types.BackendAnswer("done", 200, b"{}", elapsed=ELAPSED)
        ended = messages.AttemptEnded(start.backend.name, start.task, answer)
        self.tell(messages.BACKENDS, ended)


def start_cost(backends: int, tasks: int = 12_000) -> float:
    """Return processor seconds per task start with so many servers."""
    dispatch = Dispatch(backends)
    began = time.process_time()
    ended = 0
    for _ in range(tasks // JOB_TASKS):
        dispatch.submit(JOB_TASKS)
        while len(dispatch.flying) > 8:
            dispatch.end_one()
            ended += 1
    while dispatch.flying:
        dispatch.end_one()
        ended += 1
    return (time.process_time() - began) / ended


def queued_memory(tasks: int) -> float:
    """Return the bytes that so many queued tasks take."""
    dispatch = Dispatch(1)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(tasks // types.MAX_TASKS):
        dispatch.submit(types.MAX_TASKS)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(after - before)
