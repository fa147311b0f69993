"""Wires the tasks of one instance together."""

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
"""Seconds that a read of the journal waits."""


class Instance(NamedTuple):
    """A running instance."""

    owner: identity.Incarnation
    callers: server.Listener
    operators: server.Listener
    peers: peer_server.Listener
    drain: Callable[[float], bool]
    """Called with seconds; whether all in flight was answered in them."""
    release: Callable[[], None]
    """Answers all who wait with what is known."""
    leave: Callable[[], None]
    """Tells the peers that the instance drains."""
    leave_notice: float
    """Least seconds between the refusal of work and the last response."""
    stops: tuple[Callable[[], None], ...]
    """Functions that end the other tasks: those which tell the actors,
    then the actors."""


class DispatchActor(actors.ControllerActor):
    """Owns the jobs and the state of the backend servers."""

    def __init__(self, controllers, deliver, clock, limits):
        super().__init__(controllers, self._deliver_or_start, clock)
        self._elsewhere = deliver
        self._pool = pool.make_pool(limits, self._take_back, clock)

    def _take_back(self, ended):
        self.actor_ref.tell(messages.Send(messages.BACKENDS, ended))

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
        _draw_nonce(),
    )
    table: dict[str, Any] = {messages.CALLERS: _answer}
    deliver = actors.make_router(table)
    refs = _start_controllers(cfg, owner, table, deliver, clock)
    together = coordination.start(cfg, owner, table, deliver, clock)
    asks = operator_handlers.AskFunctions(
        asking.make_ask(table[messages.JOBS]),
        asking.make_ask(table[messages.BACKENDS]),
        asking.make_ask(table[messages.CONFIGURATION]),
        asking.make_ask(table[messages.TELEMETRY]),
        asking.make_ask(table[messages.MEMBERSHIP]),
    )
    exporter = metrics.start(
        cfg["metrics", "exporter"], lambda: operator_handlers.status(asks)
    )
    callers, operators, peers = _start_listeners(
        cfg, asks, exporter, together.services, table, clock
    )
    together.listening((peers.host, peers.port))
    stops = _start_journal(cfg, table)
    stops += [_follow_log(cfg, table).stop, exporter.stop]
    stops += together.stops
    stops += [_make_stop(ref) for ref in refs]
    loguru.logger.info(
        "instance: {} is up", identity.format_incarnation(owner)
    )
    return Instance(
        owner,
        callers,
        operators,
        peers,
        _make_drain(asks.jobs, cfg["instance", "answer_hold"]),
        lambda: table[messages.JOBS](messages.ReleaseWaiters()),
        together.leave,
        cfg["instance", "leave_notice"],
        tuple(stops),
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


def _start_controllers(cfg, owner, table, deliver, clock):
    limits = connections.ConnectionLimits(
        cfg["backends", "connect_timeout"], cfg["backends", "idle_limit"]
    )
    dispatch = DispatchActor.start(
        [
            controllers.jobs.make_controller(
                owner,
                cfg["callers", "answer_ttl"],
                cfg["callers", "answer_bytes"],
                messages.QUOTAS,
            ),
            controllers.quotas.make_controller(
                owner, cfg["callers", "answer_bytes"]
            ),
            controllers.backends.make_controller(owner, random.Random()),
            controllers.journal.make_controller(
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
        [controllers.observations.make_controller(owner.domain)],
        deliver,
        clock,
    )
    table[messages.TELEMETRY] = actors.make_tell(telemetry, messages.TELEMETRY)
    table[messages.JOBS] = actors.make_tell(dispatch, messages.JOBS)
    table[messages.BACKENDS] = actors.make_tell(dispatch, messages.BACKENDS)
    table[messages.QUOTAS] = actors.make_tell(dispatch, messages.QUOTAS)
    table[messages.JOURNAL] = actors.make_tell(dispatch, messages.JOURNAL)
    return dispatch, telemetry


def _journal_settings(cfg):
    ttl = cfg["callers", "answer_ttl"]
    return controllers.journal_store.JournalSettings(
        append_budget=cfg["platform", "append_budget"],
        settlement_ttl=ttl + codec.MAX_TIMEOUT,
        incarnation_ttl=2.0 * ttl + codec.MAX_TIMEOUT,
    )


def _start_listeners(cfg, asks, exporter, services, table, clock):
    tell = table[messages.TELEMETRY]
    relaying = relay.make_relay(
        cfg["peers", "addresses"], clock, traffic.make_counting_call(tell)
    )
    owner_chain = listeners.make_owner_chain(cfg, asks.jobs)
    services = [relay.make_method_handler(owner_chain), *services]
    starts = (
        lambda: listeners.start_callers(
            cfg, listeners.make_caller_chain(cfg, asks.jobs, relaying, clock)
        ),
        lambda: listeners.start_operators(
            cfg, listeners.make_operator_chain(asks, exporter.scrape, clock)
        ),
        lambda: peer_server.start(
            cfg["peers", "listen"],
            services,
            count=traffic.make_byte_counter(tell),
        ),
    )
    with contextlib.ExitStack() as stack:
        started = []
        for start_one in starts:
            started.append(start_one())
            stack.callback(started[-1].stop)
        stack.pop_all()
    return started


def _make_client(cfg):
    host, port = cfg["platform", "address"]
    return log_client.make_client(host, port, cfg["platform", "timeout"])


def _start_journal(cfg, table):
    tell = table[messages.JOURNAL]
    appending = appender.start(_make_client(cfg), tell)
    table[messages.APPENDER] = appending.tell
    following = reader.start(
        _make_client(cfg),
        controllers.journal.STREAM,
        tell,
        random.Random(),
        JOURNAL_READ_WAIT,
    )
    tell(messages.TimerFired(controllers.journal.COMMIT_TIMER))
    return [following.stop, lambda: appending.tell(None)]


def _follow_log(cfg, table):
    return reader.start(
        _make_client(cfg),
        "configuration",
        table[messages.CONFIGURATION],
        random.Random(),
    )


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
    instance.leave()
    drained = instance.drain(grace)
    left = instance.leave_notice - (clocks.boottime() - began)
    if left > 0.0:
        time.sleep(left)
    instance.release()
    instance.callers.stop()
    instance.operators.stop()
    instance.peers.stop()
    for stop_task in instance.stops:
        stop_task()
    return drained
