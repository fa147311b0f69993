"""Wires the tasks of one instance together."""

from __future__ import annotations

import random
import secrets
import threading
from typing import Any
from typing import NamedTuple

import loguru
import pykka

from cardamompath_core import identity
from cardamompathd import controllers
from cardamompathd import filters
from cardamompathd import messages
from cardamompathd.backends import connections
from cardamompathd.backends import pool
from cardamompathd.callers import codec
from cardamompathd.callers import handlers
from cardamompathd.callers import server
from cardamompathd.filters import chain
from cardamompathd.operators import handlers as operator_handlers
from cardamompathd.peers import relay
from cardamompathd.peers import server as peer_server
from cardamompathd.platform import appender
from cardamompathd.platform import log_client
from cardamompathd.platform import reader
from cardamompathd.runtime import actors
from cardamompathd.runtime import clocks

__all__ = [
    "Instance",
    "start",
]

OPERATOR_THREADS = 4

JOURNAL_WAIT = 2.0
"""Seconds that a read of the journal waits: a connection that went
silent has to be noticed well within a lease."""


class Instance(NamedTuple):
    """A running instance."""

    owner: identity.Incarnation
    callers: Any
    operators: Any
    peers: Any
    drain: Any
    """Waits until nothing is in flight; called with seconds."""
    stops: list
    """Functions that end the tasks which tell the actors."""


class DispatchActor(actors.ControllerActor):
    """Owns the jobs and the state of the backend servers."""

    def __init__(self, controllers, deliver, clock, limits):
        super().__init__(controllers, self._deliver_or_start, clock)
        self._elsewhere = deliver
        self._pool = pool.make_pool(limits, self._take_back, clock)

    def _take_back(self, ended):
        self.actor_ref.tell(messages.Send(messages.BACKENDS, ended))

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
    table: dict[str, Any] = {
        messages.CALLERS: lambda msg: msg.reply.set(msg.answer),
        # Load reports go nowhere until there is someone to tell.
        messages.MEMBERSHIP: lambda msg: None,
    }
    deliver = actors.make_router(table)
    _start_controllers(cfg, owner, table, deliver, clock)
    asks = {
        name: handlers.make_ask(table[name])
        for name in (messages.JOBS, messages.BACKENDS, messages.CONFIGURATION)
    }
    stops = _start_journal(cfg, table)
    callers, operators = _start_listeners(cfg, asks, clock)
    peers = _start_peers(cfg, asks)
    stops.append(_follow_log(cfg, table).stop)
    loguru.logger.info(
        "instance: {} is up", identity.format_incarnation(owner)
    )
    return Instance(owner, callers, operators, peers, _make_drain(asks), stops)


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
            ),
            controllers.backends.make_controller(owner, random.Random()),
            controllers.journal.make_controller(
                owner,
                _draw_nonce,
                _journal_terms(cfg),
            ),
        ],
        deliver,
        clock,
        limits,
    )
    configuration = actors.ControllerActor.start(
        [controllers.configuration.make_controller()], deliver, clock
    )
    table[messages.JOBS] = _teller(dispatch, messages.JOBS)
    table[messages.BACKENDS] = _teller(dispatch, messages.BACKENDS)
    table[messages.JOURNAL] = _teller(dispatch, messages.JOURNAL)
    table[messages.CONFIGURATION] = _teller(
        configuration, messages.CONFIGURATION
    )


def _journal_terms(cfg):
    ttl = cfg["callers", "answer_ttl"]
    return controllers.journal_store.JournalTerms(
        budget=cfg["platform", "append_budget"],
        settlement_ttl=ttl + codec.MAX_TIMEOUT,
        hold=2.0 * ttl + codec.MAX_TIMEOUT,
    )


def _teller(ref, name):
    def tell(msg):
        ref.tell(messages.Send(name, msg))

    return tell


def _start_listeners(cfg, asks, clock):
    caller_chain = chain.compose(
        (
            filters.access.make_filter(clock),
            filters.failures.answer_failures,
            filters.bodies.make_filter(cfg["callers", "body_limit"]),
            filters.relay.make_filter(
                relay.make_relay(cfg["peers", "addresses"], clock)
            ),
        ),
        handlers.make_handler(asks[messages.JOBS]),
    )
    operator_chain = chain.compose(
        (
            filters.access.make_filter(clock),
            filters.failures.answer_failures,
        ),
        operator_handlers.make_handler(
            asks[messages.JOBS],
            asks[messages.BACKENDS],
            asks[messages.CONFIGURATION],
        ),
    )
    callers = _serve(
        "callers",
        cfg["callers", "listen"],
        caller_chain,
        server.ListenerLimits(threads=cfg["callers", "threads"]),
    )
    operators = _serve(
        "operators",
        cfg["operators", "listen"],
        operator_chain,
        server.ListenerLimits(threads=OPERATOR_THREADS),
    )
    return callers, operators


def _serve(name, address, handler, limits):
    listener = server.make_server(*address, handler, limits)
    thread = threading.Thread(target=listener.serve, name=name, daemon=True)
    thread.start()
    return listener


def _start_peers(cfg, asks):
    owner_chain = chain.compose(
        (filters.failures.answer_failures,),
        handlers.make_handler(asks[messages.JOBS]),
    )
    services = [relay.make_service(owner_chain)]
    return peer_server.start(cfg["peers", "listen"], services)


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
        JOURNAL_WAIT,
    )
    tell(messages.TimerFired(controllers.journal.COMMIT))
    return [following.stop, lambda: appending.tell(None)]


def _follow_log(cfg, table):
    return reader.start(
        _make_client(cfg),
        "configuration",
        table[messages.CONFIGURATION],
        random.Random(),
    )


def _make_drain(asks):
    def drain(wait):
        return asks[messages.JOBS](messages.Drain, wait) is not None

    return drain


def stop(instance: Instance, grace: float) -> bool:
    """Shut an instance down without cutting anything off.

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
    drained = instance.drain(grace)
    instance.callers.stop()
    instance.operators.stop()
    instance.peers.stop()
    for stop_task in instance.stops:
        stop_task()
    pykka.ActorRegistry.stop_all(block=False)
    return drained
