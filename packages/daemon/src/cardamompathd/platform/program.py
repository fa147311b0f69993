"""One instance of the product on the platform."""

from __future__ import annotations

import os
import queue
import signal
import threading
import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import loguru

from cardamompath_core import planner_election
from cardamompathd import pool_app
from cardamompathd import pool_messages
from cardamompathd.callers import server
from cardamompathd.platform import errors
from cardamompathd.platform import executor_protocol
from cardamompathd.platform import followers
from cardamompathd.platform import frontend
from cardamompathd.platform import settings
from cardamompathd.platform import store
from cardamompathd.runtime import clocks
from cardamompathd.telemetry import decisions

__all__ = [
    "main",
]

EXIT_SETTINGS = 2
CALLER_THREADS = 96
"""Callers that wait at once; at the crest of the users' days an instance
has about 25 requests a second, of up to 1.5 s each."""
CONNECTIONS = 1024
IDLE_TIME = 20.0
"""Seconds for which an idle connection is kept; the desired state asks
for 15."""
FEW_THREADS = 2
METRICS_PORT = 9464
"""As `metrics` in deploy/system.toml; the usual port of such pages."""
RELOAD_INTERVAL = 2.0
"""Seconds between looks at the settings file."""
DRAIN_TIME = 3.0
"""Seconds after a signal to stop in which callers still come: two missed
looks at the readiness, a second apart, and some to spare."""
STOP_TIME = 5.2
"""Seconds after that signal at which the process ends at the latest; it
is killed after 6."""


class _Running(NamedTuple):
    app: pool_app.Instance
    listeners: tuple[server.Listener, ...]
    followers: tuple[Any, ...]


def main() -> int:
    """Run an instance until SIGTERM.

    Returns
    -------
    int
        0 after a graceful shutdown, 2 if it cannot start.
    """
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    log = decisions.configure()
    try:
        cfg = settings.load()
        running = _start(cfg, log)
    except (errors.BadSettings, OSError) as exc:
        loguru.logger.error("instance: cannot start: {}", exc)
        return EXIT_SETTINGS
    loguru.logger.info("instance: {} is up, process {}", cfg.name, os.getpid())
    tell = running.app.controllers[pool_messages.FLEET]
    _follow_settings(cfg, tell, _watch_signals(signals))
    _stop(running)
    log.close()
    return 0


def _watch_signals(signals):
    """Start the task that takes signals; return the queue of them.

    ``signal.sigtimedwait`` would do, but after a stop and SIGCONT it can
    return a number that is no signal.
    """
    found = queue.SimpleQueue()

    def watch():
        while True:
            found.put(signal.sigwait(signals))

    threading.Thread(target=watch, name="signals", daemon=True).start()
    return found


def _follow_settings(cfg, tell, found):
    """Return when a signal to stop came."""
    while True:
        try:
            number = found.get(timeout=RELOAD_INTERVAL)
        except queue.Empty:
            number = None
        if number not in (None, signal.SIGHUP):
            name = signal.Signals(number).name
            loguru.logger.info("instance: {} received, draining", name)
            return
        cfg = _reload(cfg, tell, number is not None)


def _reload(cfg, tell, asked):
    try:
        changed = settings.load()
    except errors.BadSettings as exc:
        loguru.logger.error("instance: settings kept as they were: {}", exc)
        return cfg
    if changed != cfg or asked:
        loguru.logger.info("instance: settings reloaded")
    if changed.seeds != cfg.seeds:
        tell(pool_messages.AddressesFound(changed.seeds, "settings"))
    return changed


def _start(cfg, log):
    clock = clocks.boottime
    own = planner_election.Member(
        cfg.name,
        cfg.domain,
        cfg.peers,
        int(time.time() * 1000.0),
        power=cfg.power,
    )
    app = pool_app.start(
        own,
        _make_protocol(),
        _make_token(cfg.name),
        clock,
        log.note,
        cfg.far_rack,
    )
    tell_planner = app.controllers[pool_messages.PLANNER]
    tell_fleet = app.controllers[pool_messages.FLEET]
    tell_gateway = app.controllers[pool_messages.GATEWAY]
    executor_task = followers.ExecutorFollower(
        store.make_client(cfg.store), tell_planner, clock
    )
    app.receivers[pool_messages.CONFIGURATIONS] = _make_offer_reader(
        tell_gateway
    )
    app.receivers[pool_messages.LISTINGS] = lambda msg: (
        executor_task.follow_fast(msg.planning)
    )
    tasks = (
        followers.ConfigurationFollower(
            store.make_client(cfg.store), tell_gateway
        ),
        executor_task,
        followers.MemberFollower(
            store.make_client(cfg.store), cfg.name, cfg.peers, tell_fleet
        ),
    )
    tell_fleet(pool_messages.AddressesFound(cfg.seeds, "settings"))
    for task in tasks:
        task.start()
    return _Running(
        app, _start_listeners(cfg, tell_gateway, app.scrape), tasks
    )


def _make_protocol():
    return pool_app.Protocol(
        executor_protocol.encode,
        executor_protocol.write,
        executor_protocol.conclude,
    )


def _make_token(name) -> Callable[[], int]:
    """Make the function that draws fencing tokens.

    The time of day orders the tokens of different instances, and the
    low digits tell those of the same millisecond apart.
    """
    digits = sum(name.encode()) % 1000

    def make_token() -> int:
        return int(time.time() * 1000.0) * 1000 + digits

    return make_token


def _make_offer_reader(tell):
    def read(msg):
        followers.tell_configuration(msg.document, "a peer", tell)

    return read


def _start_listeners(cfg, tell, scrape):
    limits = server.ListenerLimits(
        threads=CALLER_THREADS, connections=CONNECTIONS, timeout=IDLE_TIME
    )
    few = server.ListenerLimits(threads=FEW_THREADS)
    return (
        server.start(
            "callers", cfg.callers, frontend.make_chain(tell), limits
        ),
        server.start(
            "ready",
            cfg.readiness,
            frontend.make_readiness(tell),
            few,
        ),
        server.start(
            "metrics",
            (cfg.readiness[0], METRICS_PORT),
            frontend.make_metrics(scrape),
            few,
        ),
    )


def _stop(running):
    """Leave the fleet, answer who waits, and end."""
    began = clocks.boottime()
    running.app.leave()
    for listener in running.listeners:
        listener.drain()
    time.sleep(DRAIN_TIME)
    ends = [
        threading.Thread(target=listener.stop, daemon=True)
        for listener in running.listeners
    ]
    for end in ends:
        end.start()
    for end in ends:
        end.join(began + STOP_TIME - clocks.boottime())
    loguru.logger.info("instance: stopped")
    for task in running.followers:
        task.stop()
    running.app.stop()
