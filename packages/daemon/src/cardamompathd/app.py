"""Wires the tasks of one instance together."""

from __future__ import annotations

import queue
import random
import secrets
import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import loguru
import pykka

from cardamompath_core import identity
from cardamompath_core import routing
from cardamompathd import controllers
from cardamompathd import listeners
from cardamompathd import messages
from cardamompathd.backends import connections
from cardamompathd.backends import pool
from cardamompathd.callers import server
from cardamompathd.operators import handlers as operator_handlers
from cardamompathd.platform import log_client
from cardamompathd.platform import reader
from cardamompathd.runtime import actors
from cardamompathd.runtime import asking
from cardamompathd.runtime import clocks
from cardamompathd.runtime import timers
from cardamompathd.telemetry import metrics

__all__ = [
    "Instance",
    "start",
    "stop",
]


class Instance(NamedTuple):
    """A running instance."""

    owner: identity.Incarnation
    callers: server.Listener
    operators: server.Listener
    drain: Callable[[float], bool]
    """Called with seconds; whether all in flight was answered in them."""
    release: Callable[[], None]
    """Answers all who wait with what is known."""
    leave_notice: float
    """Seconds between the refusal of work and the last response."""
    ends: tuple[Callable[[], None], ...]
    """Functions that end the other tasks, in this order."""


class DispatchActor(actors.ControllerActor):
    """Owns the jobs, the backend servers' state and their connections."""

    def __init__(self, controllers, deliver, clock, limits):
        super().__init__(controllers, self._deliver_or_start, clock)
        self._elsewhere = deliver
        self._pool = pool.make_pool(limits, self.actor_ref.tell, clock)

    def on_receive(self, message):
        """Take back the connection of an exchange that ended."""
        if isinstance(message, connections.ConnectionEnded):
            self._pool.release(message)
            message = messages.Send(messages.BACKENDS, message.ended)
        super().on_receive(message)

    def on_stop(self):
        """Stop the connections."""
        self._pool.close()

    def _deliver_or_start(self, send):
        if send.to == messages.CONNECTIONS:
            self._pool.start(send.msg)
            return
        self._elsewhere(send)


def start(cfg) -> Instance:
    """Start an instance from checked settings.

    Raises
    ------
    OSError
        If a listener's address cannot be bound.
    """
    clock = clocks.boottime
    owner = identity.Incarnation(
        cfg["instance", "domain"],
        cfg["instance", "name"],
        secrets.token_hex(6),
    )
    table: dict[str, Any] = {messages.CALLERS: _answer}
    deliver = actors.make_router(table)
    refs = _start_controllers(cfg, owner, table, deliver, clock)
    timer_task = timers.start(deliver, clock)
    table[messages.TIMERS] = timer_task.tell
    asks = operator_handlers.Asks(
        asking.make_ask(table[messages.JOBS]),
        asking.make_ask(table[messages.BACKENDS]),
        asking.make_ask(table[messages.CONFIGURATION]),
        asking.make_ask(table[messages.TELEMETRY]),
    )
    exporter = metrics.start(
        cfg["metrics", "exporter"], lambda: operator_handlers.status(asks)
    )
    callers, operators = _start_listeners(cfg, asks, exporter, clock)
    readers = _follow_log(cfg, table)
    loguru.logger.info(
        "instance: {} is up", identity.format_incarnation(owner)
    )
    return Instance(
        owner,
        callers,
        operators,
        _make_drain(asks.jobs, cfg["instance", "answer_hold"]),
        lambda: table[messages.JOBS](messages.ReleaseWaiters()),
        cfg["instance", "leave_notice"],
        (
            *(reader.stop for reader in readers),
            exporter.stop,
            lambda: timer_task.tell(None),
            *(_make_end(ref) for ref in refs),
        ),
    )


def _answer(msg):
    try:
        msg.reply.set(msg.answer)
    except queue.Full:
        loguru.logger.error("instance: a caller was answered twice")


def _make_end(ref):
    return lambda: ref.stop(block=False)


def _start_controllers(cfg, owner, table, deliver, clock):
    limits = connections.ConnectionLimits(
        cfg["backends", "connect_timeout"], cfg["backends", "idle_limit"]
    )
    dispatch = DispatchActor.start(
        [
            controllers.jobs.make_controller(
                owner, cfg["callers", "answer_ttl"]
            ),
            controllers.backends.make_controller(routing.least_in_flight()),
        ],
        deliver,
        clock,
        limits,
    )
    configuration = actors.ControllerActor.start(
        [controllers.configuration.make_controller()], deliver, clock
    )
    telemetry = actors.ControllerActor.start(
        [controllers.observations.make_controller(owner.domain)],
        deliver,
        clock,
    )
    table[messages.TELEMETRY] = _teller(telemetry, messages.TELEMETRY)
    table[messages.JOBS] = _teller(dispatch, messages.JOBS)
    table[messages.BACKENDS] = _teller(dispatch, messages.BACKENDS)
    table[messages.CONFIGURATION] = _teller(
        configuration, messages.CONFIGURATION
    )
    return dispatch, configuration, telemetry


def _teller(ref, name):
    def tell(msg):
        try:
            ref.tell(messages.Send(name, msg))
        except pykka.ActorDeadError:
            loguru.logger.debug("instance: {} has ended", name)

    return tell


def _start_listeners(cfg, asks, exporter, clock):
    caller_chain = listeners.make_caller_chain(cfg, asks.jobs, clock)
    operator_chain = listeners.make_operator_chain(
        asks, exporter.scrape, clock
    )
    operators = listeners.start_operators(cfg, operator_chain)
    try:
        callers = listeners.start_callers(cfg, caller_chain)
    except OSError:
        operators.stop()
        raise
    return callers, operators


def _follow_log(cfg, table):
    host, port = cfg["platform", "address"]
    client = log_client.make_client(host, port, cfg["platform", "timeout"])
    task = reader.start(
        client,
        "configuration",
        table[messages.CONFIGURATION],
        random.Random(),
    )
    return (task,)


def _make_drain(ask_jobs, hold):
    def drain(wait):
        drained = ask_jobs(lambda fut: messages.Drain(fut, hold), wait)
        return drained is not None

    return drain


def stop(instance: Instance, grace: float) -> bool:
    """Shut an instance down without cutting anything off.

    New work is refused at once and readiness says so; the listeners
    stay until everything in flight is answered.

    Parameters
    ----------
    instance : Instance
        The instance.
    grace : float
        Seconds that work in flight may take.

    Returns
    -------
    bool
        Whether everything in flight was answered.
    """
    began = clocks.boottime()
    drained = instance.drain(grace)
    left = instance.leave_notice - (clocks.boottime() - began)
    if left > 0.0:
        time.sleep(left)
    instance.release()
    instance.callers.stop()
    instance.operators.stop()
    for end in instance.ends:
        end()
    return drained
