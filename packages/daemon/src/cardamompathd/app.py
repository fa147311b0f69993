"""Starts and stops the tasks of an instance."""

from __future__ import annotations

import contextlib
import queue
import random
import secrets
import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import loguru

from cardamompath_core import identity
from cardamompathd import controllers
from cardamompathd import coordination
from cardamompathd import listeners
from cardamompathd import messages
from cardamompathd.backends import connections
from cardamompathd.backends import pool
from cardamompathd.callers import codec
from cardamompathd.callers import server
from cardamompathd.operators import handlers as operator_handlers
from cardamompathd.peers import relay
from cardamompathd.peers import server as peer_server
from cardamompathd.peers import traffic
from cardamompathd.recordlog import appender
from cardamompathd.recordlog import log_client
from cardamompathd.recordlog import reader
from cardamompathd.runtime import actors
from cardamompathd.runtime import asking
from cardamompathd.runtime import clocks
from cardamompathd.telemetry import metrics

__all__ = [
    "Instance",
    "start",
    "stop",
]

JOURNAL_READ_WAIT = reader.READ_WAIT
"""Seconds that a read of the journal waits for a record."""


class Instance(NamedTuple):
    """A running instance."""

    owner: identity.Incarnation
    callers: server.Listener
    operators: server.Listener
    peers: peer_server.Listener
    drain: Callable[[float], bool]
    """Refuses new work and waits for the work in flight, up to a number of
    seconds.  Returns whether all of it was answered."""
    release_waiters: Callable[[], None]
    """Answers the waiting callers with the current state of their jobs."""
    leave: Callable[[], None]
    """Announces to the peers that the instance is leaving."""
    leave_notice: float
    """Least seconds between the refusal of work and the stop of the
    listeners."""
    stop_functions: tuple[Callable[[], None], ...]
    """Functions that stop the other tasks: first those that send messages
    to the actors, then the actors."""


class DispatchActor(actors.ControllerActor):
    """Owns the jobs, quotas, journal and the state of backend servers."""

    def __init__(self, controllers, deliver, clock, limits):
        super().__init__(controllers, self._deliver_or_send, clock)
        self._deliver_outside = deliver
        self._pool = pool.make_pool(limits, self._deliver_ended, clock)

    def _deliver_ended(self, ended):
        self.actor_ref.tell(messages.Send(messages.BACKENDS, ended))

    def on_stop(self):
        """Close the connections to the backend servers."""
        self._pool.close()

    def _deliver_or_send(self, send):
        if send.to == messages.CONNECTIONS:
            self._pool.send(send.msg)
            return
        self._deliver_outside(send)


def start(cfg) -> Instance:
    """Start an instance with checked settings.

    Raises
    ------
    OSError
        If a listener's address cannot be bound.
    """
    clock = clocks.boottime
    owner = identity.Incarnation(
        cfg["instance", "domain"],
        cfg["instance", "name"],
        _draw_nonce(),
    )
    receivers: dict[str, Any] = {messages.CALLERS: _answer}
    deliver = actors.make_router(receivers)
    actor_refs = _start_controllers(cfg, owner, receivers, deliver, clock)
    coordination_tasks = coordination.start(
        cfg, owner, receivers, deliver, clock
    )
    asks = operator_handlers.AskFunctions(
        asking.make_ask(receivers[messages.JOBS]),
        asking.make_ask(receivers[messages.BACKENDS]),
        asking.make_ask(receivers[messages.CONFIGURATION]),
        asking.make_ask(receivers[messages.TELEMETRY]),
        asking.make_ask(receivers[messages.MEMBERSHIP]),
    )
    exporter = metrics.start(
        cfg["metrics", "exporter"], lambda: operator_handlers.status(asks)
    )
    callers, operators, peers = _start_listeners(
        cfg,
        asks,
        exporter,
        coordination_tasks.method_handlers,
        receivers,
        clock,
    )
    coordination_tasks.report_listening((peers.host, peers.port))
    stop_functions = _start_journal(cfg, receivers)
    stop_functions += [
        _follow_configuration(cfg, receivers).stop,
        exporter.stop,
    ]
    stop_functions += coordination_tasks.stop_functions
    stop_functions += [_make_stop(ref) for ref in actor_refs]
    loguru.logger.info(
        "instance: {} is up", identity.format_incarnation(owner)
    )
    return Instance(
        owner,
        callers,
        operators,
        peers,
        _make_drain(asks.jobs, cfg["instance", "answer_hold"]),
        lambda: receivers[messages.JOBS](messages.ReleaseWaiters()),
        coordination_tasks.leave,
        cfg["instance", "leave_notice"],
        tuple(stop_functions),
    )


def _answer(msg):
    try:
        msg.reply_to.set(msg.answer)
    except queue.Full:
        loguru.logger.error("instance: a caller was answered twice")


def _make_stop(ref):
    return lambda: ref.stop(block=False)


def _draw_nonce():
    return secrets.token_hex(6)


def _start_controllers(cfg, owner, receivers, deliver, clock):
    limits = connections.ConnectionLimits(
        cfg["backends", "connect_timeout"], cfg["backends", "idle_limit"]
    )
    dispatch = DispatchActor.start(
        [
            controllers.jobs.jobs.make_controller(
                owner,
                cfg["callers", "answer_ttl"],
                cfg["callers", "answer_bytes"],
                messages.QUOTAS,
            ),
            controllers.jobs.quotas.make_controller(
                owner, cfg["callers", "answer_bytes"]
            ),
            controllers.backends.backends.make_controller(
                owner, random.Random()
            ),
            controllers.journal.journal.make_controller(
                owner,
                _draw_nonce,
                _journal_settings(cfg),
            ),
        ],
        deliver,
        clock,
        limits,
    )
    telemetry = actors.ControllerActor.start(
        [controllers.jobs.observations.make_controller(owner.domain)],
        deliver,
        clock,
    )
    receivers[messages.TELEMETRY] = actors.make_tell(
        telemetry, messages.TELEMETRY
    )
    receivers[messages.JOBS] = actors.make_tell(dispatch, messages.JOBS)
    receivers[messages.BACKENDS] = actors.make_tell(
        dispatch, messages.BACKENDS
    )
    receivers[messages.QUOTAS] = actors.make_tell(dispatch, messages.QUOTAS)
    receivers[messages.JOURNAL] = actors.make_tell(dispatch, messages.JOURNAL)
    return dispatch, telemetry


def _journal_settings(cfg):
    ttl = cfg["callers", "answer_ttl"]
    return controllers.journal.journal_store.JournalSettings(
        append_budget=cfg["platform", "append_budget"],
        settlement_ttl=ttl + codec.MAX_TIMEOUT,
        incarnation_ttl=2.0 * ttl + codec.MAX_TIMEOUT,
    )


def _start_listeners(cfg, asks, exporter, method_handlers, receivers, clock):
    tell = receivers[messages.TELEMETRY]
    relay_request = relay.make_relay(
        cfg["peers", "addresses"], clock, traffic.make_counting_call(tell)
    )
    owner_chain = listeners.make_owner_chain(cfg, asks.jobs)
    method_handlers = [
        relay.make_method_handler(owner_chain),
        *method_handlers,
    ]
    start_functions = (
        lambda: listeners.start_callers(
            cfg,
            listeners.make_caller_chain(cfg, asks.jobs, relay_request, clock),
        ),
        lambda: listeners.start_operators(
            cfg, listeners.make_operator_chain(asks, exporter.scrape, clock)
        ),
        lambda: peer_server.start(
            cfg["peers", "listen"],
            method_handlers,
            count=traffic.make_byte_counter(tell),
        ),
    )
    with contextlib.ExitStack() as stack:
        running_listeners = []
        for start_listener in start_functions:
            running_listeners.append(start_listener())
            stack.callback(running_listeners[-1].stop)
        stack.pop_all()
    return running_listeners


def _make_client(cfg):
    host, port = cfg["platform", "address"]
    return log_client.make_client(host, port, cfg["platform", "timeout"])


def _start_journal(cfg, receivers):
    tell = receivers[messages.JOURNAL]
    appender_task = appender.start(_make_client(cfg), tell)
    receivers[messages.APPENDER] = appender_task.tell
    reader_task = reader.start(
        _make_client(cfg),
        controllers.journal.journal.STREAM,
        tell,
        random.Random(),
        JOURNAL_READ_WAIT,
    )
    tell(messages.TimerFired(controllers.journal.journal.COMMIT_TIMER))
    return [reader_task.stop, lambda: appender_task.tell(None)]


def _follow_configuration(cfg, receivers):
    return reader.start(
        _make_client(cfg),
        "configuration",
        receivers[messages.CONFIGURATION],
        random.Random(),
    )


def _make_drain(ask_jobs, answer_hold):
    def drain(timeout):
        reply = ask_jobs(lambda fut: messages.Drain(fut, answer_hold), timeout)
        return reply is not None

    return drain


def stop(instance: Instance, grace: float) -> bool:
    """Shut an instance down gracefully.

    New work is refused at once and the instance reports that it is not
    ready.  The listeners run until all work in flight is answered or the
    grace is over.

    Parameters
    ----------
    instance : Instance
        The instance.
    grace : float
        Longest time in seconds to wait for the work in flight.

    Returns
    -------
    bool
        Whether all work in flight was answered.
    """
    started_at = clocks.boottime()
    instance.leave()
    drained = instance.drain(grace)
    time_left = instance.leave_notice - (clocks.boottime() - started_at)
    if time_left > 0.0:
        time.sleep(time_left)
    instance.release_waiters()
    instance.callers.stop()
    instance.operators.stop()
    instance.peers.stop()
    for stop_task in instance.stop_functions:
        stop_task()
    return drained
