"""Costs of the pool: heartbeats and the decisions of a planner."""

from __future__ import annotations

import itertools
import time
from typing import NamedTuple

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet
from cardamompathd.controllers.fleet import fleet_state
from cardamompathd.controllers.fleet import fleet_views
from cardamompathd.controllers.planner import planner
from cardamompathd.peers import pool_codec

__all__ = [
    "HeartbeatCost",
    "measure_heartbeats",
    "measure_start_time",
]

DOMAINS = 5
MEASURE_TIME = 10.0
"""Virtual seconds to measure, after a warm-up of the same length."""
TICK = 0.1
"""Virtual seconds between two timer events."""
FRAME_HEADER_SIZE = 4
"""Bytes before each message on a link."""
BATCHES = 200
BATCH_TASKS = 4
"""Tasks per batch."""


class HeartbeatCost(NamedTuple):
    """Cost of heartbeats for an instance."""

    message_rate: float
    """Messages sent per second."""
    byte_rate: float
    """Bytes sent per second."""
    cpu_time: float
    """Processor seconds per second, with the codec but without sockets."""


def measure_heartbeats(instances: int, is_planner: bool) -> HeartbeatCost:
    """Measure the heartbeats of a planner, or of another instance."""
    members = [_make_member(index) for index in range(instances)]
    own = members[0] if is_planner else members[-1]
    receive = fleet.make_controller(own).receive
    others = [member for member in members if member is not own]
    addresses = tuple(member.address for member in others)
    receive(pool_messages.AddressesFound(addresses, "seeds"), 0.0)
    receive(messages.TimerFired("start"), 0.0)
    message_count = byte_count = 0
    for tick in range(int(2 * MEASURE_TIME / TICK)):
        now = tick * TICK
        if tick == int(MEASURE_TIME / TICK):
            message_count = byte_count = 0
            started_at = time.process_time()
        for member in others[tick % 10 :: 10]:
            heartbeat = fleet_state.Heartbeat(member, 1, (), 1.0)
            received = pool_codec.decode(pool_codec.encode(heartbeat))
            receive(received.msg, now)
        for send in receive(messages.TimerFired("heartbeat"), now):
            if isinstance(send.msg, pool_messages.SendToMembers):
                raw = pool_codec.encode(send.msg.msg)
                message_count += len(send.msg.addresses)
                byte_count += (len(raw) + FRAME_HEADER_SIZE) * len(
                    send.msg.addresses
                )
    cpu_time = time.process_time() - started_at
    return HeartbeatCost(
        message_count / MEASURE_TIME,
        byte_count / MEASURE_TIME,
        cpu_time / MEASURE_TIME,
    )


def _make_member(index):
    domain = f"domain-{index % DOMAINS}"
    address = (f"10.0.{index // 250}.{index % 250 + 1}", 7400)
    return planner_election.Member(f"entry-{index}", domain, address, index)


def measure_start_time(executor_count: int) -> float:
    """Return the processor seconds of a planner's decisions per start."""
    tokens = itertools.count(1)
    own = _make_member(0)
    receive = planner.make_controller(own.name, lambda: next(tokens), 0.0)
    receive = receive.receive
    specs = tuple(
        _make_executor(index, own.domain) for index in range(executor_count)
    )
    pending = [*receive(pool_messages.ExecutorsListed(specs, 1.0), 1.0)]
    pending += receive(fleet_views.make_view(own, (own,), ()), 1.0)
    for send in pending:
        if isinstance(send.msg, pool_messages.HoldExecutor):
            receive(_answer_hold(send.msg, 1.0), 1.0)
    receive(messages.TimerFired("tick"), 1.1)
    started_at = time.process_time()
    starts = sum(_run_batch(receive, number, own) for number in range(BATCHES))
    return (time.process_time() - started_at) / starts


def _run_batch(receive, number, own):
    now = 2.0 + number / 100.0
    step = batches.Step(BATCH_TASKS, executors.Resources(1000, 1), 0.1)
    policy = batches.RoutePolicy("r", "desk", 0, 2, 2.0, 0.2)
    batch = batches.Batch(f"b{number}", "", (step,), policy)
    plan = pool_messages.PlanBatch(batch, own.name, 0.0, 9.0, 0)
    starts = [
        send.msg
        for send in receive(plan, now)
        if isinstance(send.msg, pool_messages.StartRun)
    ]
    for msg in starts:
        name = msg.executor.name
        answer = pool_messages.StartAnswered(name, msg.run, "started", "", now)
        receive(answer, now)
    for index, msg in enumerate(starts):
        ended = pool_messages.EndedRun(
            number * BATCH_TASKS + index + 1, msg.run, "done"
        )
        receive(_answer_hold(msg, now, (ended,)), now)
    return len(starts)


def _answer_hold(msg, now, ended=()):
    return pool_messages.HoldAnswered(
        msg.executor.name, msg.token, 1, now, (), ended
    )


def _make_executor(index, domain):
    capacity = executors.Resources(64_000, 131_072)
    return executors.Executor(
        f"x{index}",
        "desk",
        domain,
        (f"10.1.{index // 250}.{index % 250 + 1}", 80),
        1,
        "ready",
        capacity,
        ("a" if index % 3 else "b",),
    )
