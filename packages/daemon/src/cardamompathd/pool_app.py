"""Starts the tasks of an instance that runs batches on executors."""

from __future__ import annotations

import queue
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import loguru

from cardamompath_core import planner_election
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.backends import connections
from cardamompathd.backends import pool
from cardamompathd.controllers import fleet
from cardamompathd.controllers import gateway
from cardamompathd.controllers import planner
from cardamompathd.peers import links
from cardamompathd.runtime import actors
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
    write: connections.WriteRequest
    """Writes a call on a connection."""
    decode: Callable[[Any, types.BackendAnswer], messages.Send]
    """Takes a call and its answer; returns a message to a task."""


class Instance(NamedTuple):
    """A running instance."""

    receivers: dict[str, Callable[[Any], None]]
    """Functions that receive the messages of a task, by its address.  The
    platform adapter adds those of its own tasks."""
    controllers: dict[str, Callable[[Any], None]]
    """Functions that send a message to a controller, by its address."""
    leave: Callable[[], None]
    """Hands over the work before a shutdown."""
    stop: Callable[[], None]
    """Stops the tasks."""
    scrape: Callable[[], str]
    """Returns the metrics page."""


class _PoolActor(actors.ControllerActor):
    """Runs the controllers and owns the connections to the executors."""

    def __init__(self, controllers, deliver, clock, protocol):
        super().__init__(controllers, self._send, clock)
        self._deliver_outside = deliver
        self._protocol = protocol
        self._executors = pool.Pool(self._open_connection)

    def on_stop(self):
        """Close the connections."""
        self._executors.close()

    def _open_connection(self):
        return connections.BackendActor.start(
            LIMITS, self._deliver_answer, self._clock, self._protocol.write
        )

    def _deliver_answer(self, call, answer):
        self.actor_ref.tell(self._protocol.decode(call, answer))

    def _send(self, send):
        if isinstance(send.msg, pool_messages.DisconnectExecutor):
            spec = send.msg.executor
            self._executors.disconnect(spec.name, *spec.address)
            return
        if send.to == pool_messages.EXECUTORS:
            call = self._protocol.encode(send.msg, self._clock())
            self._executors.send(call)
            return
        self._deliver_outside(send)


def start(
    own_member: planner_election.Member,
    protocol: Protocol,
    make_token: Callable[[], int],
    clock: Callable[[], float],
    log_decision: Callable[[pool_messages.Decision], None],
    remote_rack_factor: float = 1.0,
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
        own_member.name, make_token, clock(), remote_rack_factor
    )
    actor_ref = _PoolActor.start(
        [
            fleet.make_controller(own_member),
            gateway.make_controller(own_member.name, own_member.domain),
            planner_controller,
        ],
        deliver,
        clock,
        protocol,
    )
    names = (
        pool_messages.FLEET,
        pool_messages.GATEWAY,
        pool_messages.PLANNER,
    )
    controllers = {name: actors.make_tell(actor_ref, name) for name in names}
    receivers.update(controllers)
    link_ref = links.LinksActor.start(own_member.address, deliver, clock)
    receivers[pool_messages.LINKS] = actors.make_tell(
        link_ref, pool_messages.LINKS
    )
    for name in (pool_messages.FLEET, pool_messages.PLANNER):
        controllers[name](messages.TimerFired("start"))

    def leave():
        controllers[pool_messages.FLEET](pool_messages.Leave())
        controllers[pool_messages.GATEWAY](pool_messages.Leave())

    def stop():
        actor_ref.stop(block=False)
        link_ref.stop(block=False)

    scrape = pool_metrics.make_scrape(counts)
    return Instance(receivers, controllers, leave, stop, scrape)


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
