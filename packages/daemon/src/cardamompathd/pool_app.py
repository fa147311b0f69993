"""Wires the tasks of an instance that runs batches on executors."""

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
"""A usual connection opens in 3 ms; an executor that does not answer is
given up within a quarter of a lease."""


class Protocol(NamedTuple):
    """How orders reach executors."""

    encode: Callable[[Any, float], Any]
    """From an order and the present time to what goes to a connection."""
    write: connections.Write
    decode: Callable[[Any, types.BackendAnswer], messages.Send]
    """From what went there, and its answer, to a message."""


class Instance(NamedTuple):
    """A running instance."""

    receivers: dict[str, Callable[[Any], None]]
    """Tasks by name; those of the adapter are added to it."""
    controllers: dict[str, Callable[[Any], None]]
    leave: Callable[[], None]
    stop: Callable[[], None]
    scrape: Callable[[], str]
    """Returns the page of metrics."""


class _PoolActor(actors.ControllerActor):
    """Owns the controllers, and the connections to the executors."""

    def __init__(self, controllers, deliver, clock, protocol):
        super().__init__(controllers, self._deliver_or_call, clock)
        self._elsewhere = deliver
        self._protocol = protocol
        self._executors = pool.Pool(self._open)

    def on_stop(self):
        """Close the connections."""
        self._executors.close()

    def _open(self):
        return connections.BackendActor.start(
            LIMITS, self._take_back, self._clock, self._protocol.write
        )

    def _take_back(self, call, answer):
        self.actor_ref.tell(self._protocol.decode(call, answer))

    def _deliver_or_call(self, send):
        if isinstance(send.msg, pool_messages.DisconnectExecutor):
            spec = send.msg.executor
            self._executors.forget(spec.name, *spec.address)
            return
        if send.to == pool_messages.EXECUTORS:
            call = self._protocol.encode(send.msg, self._clock())
            self._executors.start(call)
            return
        self._elsewhere(send)


def start(
    own: planner_election.Member,
    protocol: Protocol,
    make_token: Callable[[], int],
    clock: Callable[[], float],
    note: Callable[[pool_messages.Decision], None],
    far_rack: float = 1.0,
) -> Instance:
    """Start the tasks of an instance.

    Parameters
    ----------
    own : Member
        This instance.
    protocol : Protocol
        How orders reach executors.
    make_token : callable
        Draws fencing tokens.
    clock : callable
        Returns the present time in seconds.
    note : callable
        Takes each decision for the log.
    far_rack : float
        How many times longer a task takes away from its data.

    Raises
    ------
    OSError
        If the address for peers cannot be bound.
    """
    counts = pool_metrics.Counts()
    receivers: dict[str, Callable[[Any], None]] = {
        messages.CALLERS: _answer,
        pool_messages.DECISION_LOG: _make_journal(counts, note),
    }
    deliver = actors.make_router(receivers)
    planning = planner.make_controller(own.name, make_token, clock(), far_rack)
    ref = _PoolActor.start(
        [
            fleet.make_controller(own),
            gateway.make_controller(own.name, own.domain),
            planning,
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
    controllers = {name: actors.make_teller(ref, name) for name in names}
    receivers.update(controllers)
    link_ref = links.LinksActor.start(own.address, deliver, clock)
    receivers[pool_messages.LINKS] = actors.make_teller(
        link_ref, pool_messages.LINKS
    )
    for name in (pool_messages.FLEET, pool_messages.PLANNER):
        controllers[name](messages.TimerFired("start"))

    def leave():
        controllers[pool_messages.FLEET](pool_messages.Leave())
        controllers[pool_messages.GATEWAY](pool_messages.Leave())

    def stop():
        ref.stop(block=False)
        link_ref.stop(block=False)

    scrape = pool_metrics.make_scrape(counts)
    return Instance(receivers, controllers, leave, stop, scrape)


def _make_journal(counts, note):
    def take(decision):
        counts.take(decision)
        note(decision)

    return take


def _answer(msg):
    try:
        msg.reply_to.set(msg.answer)
    except queue.Full:
        loguru.logger.error("gateway: a caller was answered twice")
