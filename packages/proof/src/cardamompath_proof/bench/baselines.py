"""Simple scheduling policies for comparison.

They use one FIFO queue and as many tasks in flight to a backend server as
it has slots; they neither estimate run times nor track server health.
"""

from __future__ import annotations

import collections
import itertools
import random
from collections.abc import Callable
from typing import Any

from cardamompath_core import outcomes
from cardamompath_core import types
from cardamompathd import messages

__all__ = [
    "least_in_flight",
    "make_controller",
    "round_robin",
]


class _State:
    """One queue, and the number of tasks in flight by backend server."""

    def __init__(self, choose, rng):
        self.choose = choose
        self.rng = rng
        self.queue: collections.deque = collections.deque()
        self.jobs: dict[str, messages.Enqueue] = {}
        self.queued: dict[str, set[int]] = {}
        self.in_flight: dict[str, int] = {}
        self.specs: dict[str, types.BackendSpec] = {}


def round_robin() -> Callable:
    """Return a function that selects free backend servers in turn."""
    counter = itertools.count()

    def choose(in_flight, specs):
        names = list(in_flight)
        for _ in names:
            name = names[next(counter) % len(names)]
            if in_flight[name] < specs[name].slots:
                return name
        return None

    return choose


def least_in_flight() -> Callable:
    """Return a function that selects the server with the fewest tasks."""

    def choose(in_flight, specs):
        name = min(in_flight, key=in_flight.__getitem__)
        return name if in_flight[name] < specs[name].slots else None

    return choose


def make_controller(
    choose: Callable, rng: random.Random
) -> messages.Controller:
    """Make a controller that replaces that of the backend servers."""
    state = _State(choose, rng)

    def receive(msg: Any, now: float):
        handler = _HANDLERS.get(type(msg))
        return handler(state, msg, now) if handler else []

    return messages.Controller(messages.BACKENDS, receive)


def _configure(state, msg, now):
    state.specs = {spec.name: spec for spec in msg.cfg.backends}
    names = list(state.specs)
    # In the same order, all instances would select the same server at once.
    state.rng.shuffle(names)
    state.in_flight = dict.fromkeys(names, 0)
    return []


def _enqueue(state, msg, now):
    state.jobs[msg.job] = msg
    state.queued[msg.job] = set(range(len(msg.spec.tasks)))
    for index in range(len(msg.spec.tasks)):
        state.queue.append(types.TaskRef(msg.job, index))
    return _start_tasks(state, now)


def _start_tasks(state, now):
    sends = []
    while state.queue:
        ref = state.queue[0]
        if ref.index not in state.queued.get(ref.job, ()):
            state.queue.popleft()
            continue
        name = state.choose(state.in_flight, state.specs)
        if name is None:
            break
        state.queue.popleft()
        state.queued[ref.job].discard(ref.index)
        state.in_flight[name] += 1
        sends.append(_start(state, ref, name, now))
    return sends


def _start(state, ref, name, now):
    enqueued = state.jobs[ref.job]
    task = enqueued.spec.tasks[ref.index]
    msg = messages.StartTask(
        state.specs[name],
        ref,
        task.service,
        task.kind,
        task.payload,
        enqueued.deadline - now,
    )
    return messages.Send(messages.CONNECTIONS, msg)


def _end_attempt(state, msg, now):
    state.in_flight[msg.backend] -= 1
    verdict = outcomes.classify(msg.answer)
    sends = []
    if msg.task.job in state.jobs:
        if verdict == "not_run":
            state.queued[msg.task.job].add(msg.task.index)
            state.queue.append(msg.task)
        else:
            result = types.TaskResult(verdict, msg.answer.status)
            settled = messages.TaskSettled(msg.task, result)
            sends.append(messages.Send(messages.JOBS, settled))
    return sends + _start_tasks(state, now)


def _withdraw(state, msg, now):
    state.jobs.pop(msg.job, None)
    queued = state.queued.pop(msg.job, ())
    withdrawn = messages.TasksWithdrawn(msg.job, tuple(queued))
    return [messages.Send(messages.JOBS, withdrawn)]


_HANDLERS = {
    messages.ConfigurationChanged: _configure,
    messages.Enqueue: _enqueue,
    messages.AttemptEnded: _end_attempt,
    messages.Withdraw: _withdraw,
}
