"""Starts the tasks of an instance that runs batches on executors."""

from __future__ import annotations

import functools
import queue
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import loguru

from cardamompath_core import evacuation
from cardamompath_core import planner_election
from cardamompath_core import pool_policy
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.backends import call_connections
from cardamompathd.backends import connections
from cardamompathd.callers import watch
from cardamompathd.controllers.fleet import fleet
from cardamompathd.controllers.gateway import gateway
from cardamompathd.controllers.planner import planner
from cardamompathd.controllers.planner import planner_state
from cardamompathd.peers import links
from cardamompathd.runtime import actors
from cardamompathd.runtime import sockets
from cardamompathd.telemetry import pool_metrics

__all__ = [
    "Instance",
    "Protocol",
    "start",
]

LIMITS = connections.ConnectionLimits(connect=0.25, idle=30.0)
"""In seconds.  A connection usually opens in 3 ms; an attempt to connect to
a silent executor is abandoned after a quarter of a lease."""


class Protocol(NamedTuple):
    """How requests to executors are sent."""

    encode: Callable[[Any, float], Any]
    """Takes a request message and the present time; returns the call."""
    decode: Callable[[Any, types.BackendAnswer], messages.Send]
    """Takes a call and its answer; returns a message to a task."""


class Instance(NamedTuple):
    """A running instance."""

    receivers: dict[str, Callable[[Any], None]]
    """Functions that receive the messages of a task, by its address.  The
    platform adapter adds those of its own tasks."""
    controllers: dict[str, Callable[[Any], None]]
    """Functions that send a message to a controller, by its address."""
    watch: Callable[[Any], None]
    """Sends a message to the watch of callers."""
    leave: Callable[[float], None]
    """Hands over the work before a shutdown, and answers the callers within
    that many seconds."""
    stop: Callable[[], None]
    """Stops the tasks."""
    scrape: Callable[[], str]
    """Returns the metrics page."""


def _make_executor_connections(protocol, make_registry, deliver):
    """Make the connections to the executors, for the actor that owns them."""

    def handle_answer(call, answer):
        deliver(protocol.decode(call, answer))

    calls = call_connections.CallConnections(
        LIMITS, make_registry(pool_messages.EXECUTORS), handle_answer
    )

    def receive(msg, now):
        if isinstance(msg, pool_messages.DisconnectExecutor):
            calls.disconnect(msg.executor.name, *msg.executor.address)
        else:
            calls.send(protocol.encode(msg, now), now)

    return call_connections.make_owner(pool_messages.EXECUTORS, calls, receive)


def start(
    own_member: planner_election.Member,
    protocol: Protocol,
    make_token: Callable[[], int],
    clock: Callable[[], float],
    log_decision: Callable[[pool_messages.Decision], None],
    remote_rack_factor: float = 1.0,
    resubmit_delay: float = planner_state.RESUBMIT_DELAY,
    is_batch_name: Callable[[str], bool] = bool,
    policy: pool_policy.PoolPolicy | None = None,
    known_evacuation: evacuation.Evacuation = evacuation.OFF,
    logs_cancellations: bool = False,
) -> Instance:
    """Start the tasks of an instance.

    Parameters
    ----------
    own_member : Member
        This instance.
    protocol : Protocol
        How requests to executors are sent.
    make_token : callable
        Returns a fencing token above those of earlier planners.
    clock : callable
        Returns the present time in seconds.
    log_decision : callable
        Called with each decision, to write it to the decision log.
    remote_rack_factor : float
        Factor on the run time of a task on a rack without its data.
    resubmit_delay : float
        Seconds after which a caller without an answer submits a batch again.
    is_batch_name : callable
        Returns whether a text is a valid name of a batch.
    policy : PoolPolicy, optional
        How batches share the executors; by default, all choices are off.
    known_evacuation : Evacuation
        `evacuation.UNKNOWN` if evacuations are followed, or `evacuation.OFF`.
    logs_cancellations : bool
        Whether the platform adapter keeps the cancellations in a log, with a
        task at `pool_messages.CANCELLATION_LOG`.

    Raises
    ------
    OSError
        If the address for peers cannot be bound.
    """
    counts = pool_metrics.DecisionCounts()
    receivers: dict[str, Callable[[Any], None]] = {
        messages.CALLERS: _answer,
        pool_messages.DECISION_LOG: _make_decision_logger(
            counts, log_decision
        ),
    }
    deliver = actors.make_router(receivers)
    planner_controller = planner.make_controller(
        own_member.name,
        make_token,
        clock(),
        remote_rack_factor,
        resubmit_delay,
        policy,
        known_evacuation,
    )
    actor_ref = sockets.SocketActor.start(
        [
            fleet.make_controller(own_member, known_evacuation),
            gateway.make_controller(
                own_member.name,
                own_member.domain,
                is_batch_name,
                policy,
                known_evacuation,
                logs_cancellations,
            ),
            planner_controller,
        ],
        deliver,
        clock,
        [
            functools.partial(_make_executor_connections, protocol),
            functools.partial(links.make_owner, own_member.address),
        ],
    )
    names = (
        pool_messages.FLEET,
        pool_messages.GATEWAY,
        pool_messages.PLANNER,
    )
    controllers = {name: actors.make_tell(actor_ref, name) for name in names}
    watch_ref = actors.ControllerActor.start(
        [watch.make_controller()], deliver, clock
    )
    tell_watch = actors.make_tell(watch_ref, pool_messages.CALLER_WATCH)
    receivers.update(controllers)
    for name in (pool_messages.FLEET, pool_messages.PLANNER):
        controllers[name](messages.TimerFired("start"))

    def leave(time_left):
        msg = pool_messages.Leave(time_left)
        controllers[pool_messages.FLEET](msg)
        controllers[pool_messages.GATEWAY](msg)

    def stop():
        watch_ref.stop(block=False)
        actor_ref.stop(block=False)

    scrape = pool_metrics.make_scrape(counts)
    return Instance(receivers, controllers, tell_watch, leave, stop, scrape)


def _make_decision_logger(counts, log_decision):
    def record(decision):
        counts.count(decision)
        log_decision(decision)

    return record


def _answer(msg):
    try:
        msg.reply_to.set(msg.answer)
    except queue.Full:
        loguru.logger.error("gateway: a caller was answered twice")
