"""Costs of the fleet's signs of life and of a planner's decisions."""

from __future__ import annotations

import itertools
import time
from typing import NamedTuple

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import fleet
from cardamompathd.controllers import planner
from cardamompathd.peers import pool_codec

__all__ = [
    "Signs",
    "measure_planner",
    "measure_signs",
]

DOMAINS = 5
SECONDS = 10.0
"""Virtual seconds that are measured, after as many to settle."""
TICK = 0.1
FRAME = 4
"""Bytes before each message on a link."""
BATCHES = 200
WIDTH = 4
"""Tasks of a batch."""


class Signs(NamedTuple):
    """What signs of life cost an instance in a second."""

    sent: float
    """Messages."""
    size: float
    """Bytes sent."""
    cpu: float
    """Processor seconds, the codec included, sockets not."""


def measure_signs(instances: int, planning: bool) -> Signs:
    """Measure the signs of life of a planner, or of another instance."""
    members = [_make_member(index) for index in range(instances)]
    own = members[0] if planning else members[-1]
    receive = fleet.make_controller(own).receive
    others = [one for one in members if one is not own]
    found = tuple(one.address for one in others)
    receive(pool_messages.AddressesFound(found, "seeds"), 0.0)
    receive(messages.TimerFired("start"), 0.0)
    sent = size = 0
    for tick in range(int(2 * SECONDS / TICK)):
        now = tick * TICK
        if tick == int(SECONDS / TICK):
            sent = size = 0
            began = time.process_time()
        for one in others[tick % 10 :: 10]:
            hello = fleet.Heartbeat(one, 1, (), 1.0)
            send = pool_codec.decode(pool_codec.encode(hello))
            receive(send.msg, now)
        for send in receive(messages.TimerFired("heartbeat"), now):
            if isinstance(send.msg, pool_messages.SendToMembers):
                raw = pool_codec.encode(send.msg.msg)
                sent += len(send.msg.addresses)
                size += (len(raw) + FRAME) * len(send.msg.addresses)
    cpu = time.process_time() - began
    return Signs(sent / SECONDS, size / SECONDS, cpu / SECONDS)


def _make_member(index):
    domain = f"domain-{index % DOMAINS}"
    address = (f"10.0.{index // 250}.{index % 250 + 1}", 7400)
    return planner_election.Member(f"entry-{index}", domain, address, index)


def measure_planner(count: int) -> float:
    """Return processor seconds of decisions for a start, by executors."""
    token = itertools.count(1)
    own = _make_member(0)
    receive = planner.make_controller(own.name, lambda: next(token), 0.0)
    receive = receive.receive
    specs = tuple(_make_executor(index, own.domain) for index in range(count))
    pending = [*receive(pool_messages.ExecutorsListed(specs), 1.0)]
    pending += receive(pool_messages.FleetChanged(own, (own,), ()), 1.0)
    for send in pending:
        if isinstance(send.msg, pool_messages.HoldExecutor):
            receive(_answer_hold(send.msg, 1.0), 1.0)
    receive(messages.TimerFired("tick"), 1.1)
    began = time.process_time()
    starts = sum(_run_batch(receive, one, own) for one in range(BATCHES))
    return (time.process_time() - began) / starts


def _run_batch(receive, number, own):
    now = 2.0 + number / 100.0
    step = batches.Step(WIDTH, executors.Resources(1000, 1), 0.1)
    terms = batches.RoutePolicy("r", "desk", 0, 2, 2.0, 0.2)
    batch = batches.Batch(f"b{number}", "", (step,), terms)
    plan = pool_messages.PlanBatch(batch, own.name, 0.0, 9.0, 0)
    starts = [
        send.msg
        for send in receive(plan, now)
        if isinstance(send.msg, pool_messages.StartRun)
    ]
    for msg in starts:
        name = msg.executor.name
        started = pool_messages.StartAnswered(
            name, msg.run, "started", "", now
        )
        receive(started, now)
    for order, msg in enumerate(starts):
        ended = pool_messages.EndedRun(
            number * WIDTH + order + 1, msg.run, "done"
        )
        receive(_answer_hold(msg, now, (ended,)), now)
    return len(starts)


def _answer_hold(msg, now, ended=()):
    return pool_messages.HoldAnswered(
        msg.executor.name, msg.token, 1, now, (), ended
    )


def _make_executor(index, domain):
    room = executors.Resources(64_000, 131_072)
    return executors.Executor(
        f"x{index}",
        "desk",
        domain,
        (f"10.1.{index // 250}.{index % 250 + 1}", 80),
        1,
        "ready",
        room,
        ("a" if index % 3 else "b",),
    )
