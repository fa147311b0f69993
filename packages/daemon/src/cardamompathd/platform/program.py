"""Runs one instance of the daemon on the platform."""

from __future__ import annotations

import os
import queue
import secrets
import signal
import threading
import time
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import loguru
import xxhash
from returns import pipeline

from cardamompath_core import evacuation
from cardamompath_core import planner_election
from cardamompathd import pool_app
from cardamompathd import pool_messages
from cardamompathd.callers import server
from cardamompathd.platform import cancellation_log
from cardamompathd.platform import documents
from cardamompathd.platform import errors
from cardamompathd.platform import executor_followers
from cardamompathd.platform import executor_protocol
from cardamompathd.platform import followers
from cardamompathd.platform import frontend
from cardamompathd.platform import settings
from cardamompathd.platform import store
from cardamompathd.runtime import clocks
from cardamompathd.settings import pool_table
from cardamompathd.telemetry import decisions

__all__ = [
    "main",
]

EXIT_START_FAILED = 2
CALLER_THREADS = 96
"""Callers that can wait at the same time.  At the daily peak an instance
receives about 25 requests a second, of up to 1.5 s each."""
MAX_CONNECTIONS = 1024
"""Limit on the open connections of callers, idle ones included."""
IDLE_TIMEOUT = 20.0
"""Seconds after which an idle connection is closed; the desired state
requires at least 15."""
PROBE_THREADS = 2
"""Threads of each listener for readiness probes and metrics."""
METRICS_PORT = 9464
"""As `metrics` in deploy/system.toml; the usual port of metrics pages."""
RELOAD_INTERVAL = 2.0
"""Seconds between reads of the settings file."""
DRAIN_TIME = 3.0
"""Seconds after a stop signal in which new callers still arrive: two
failed readiness probes, a second apart, and a margin."""
ANSWER_TIME = 4.9
"""Seconds after a stop signal in which every caller gets an answer, before
`STOP_TIME`."""
STOP_TIME = 5.2
"""Seconds after a stop signal at which the process ends at the latest; the
platform kills it after 6."""


class _RunningInstance(NamedTuple):
    app: pool_app.Instance
    listeners: tuple[server.Listener, ...]
    followers: tuple[Any, ...]


def main(policy_files: Sequence[str] = ()) -> int:
    """Run an instance until SIGTERM.

    Parameters
    ----------
    policy_files : sequence of str
        INI files with the choices of how batches share the executors.

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
        running = _start(cfg, _load_policy(policy_files), log)
    except (errors.BadSettings, OSError) as exc:
        loguru.logger.error("instance: cannot start: {}", exc)
        return EXIT_START_FAILED
    loguru.logger.info("instance: {} is up, process {}", cfg.name, os.getpid())
    tell = running.app.controllers[pool_messages.FLEET]
    _reload_until_stopped(cfg, tell, _watch_signals(signals))
    _stop(running)
    log.close()
    return 0


def _load_policy(files):
    loaded = pool_table.load(files)
    if not pipeline.is_successful(loaded):
        raise errors.BadSettings("; ".join(map(str, loaded.failure())))
    return loaded.unwrap()


def _watch_signals(signals):
    """Start the task that waits for signals; return its queue.

    ``signal.sigtimedwait`` needs no task, but it can return a number that
    is no signal after SIGSTOP and SIGCONT.
    """
    received = queue.SimpleQueue()

    def watch():
        while True:
            received.put(signal.sigwait(signals))

    threading.Thread(target=watch, name="signals", daemon=True).start()
    return received


def _reload_until_stopped(cfg, tell, received):
    """Reload the settings until a signal to stop is received."""
    while True:
        try:
            number = received.get(timeout=RELOAD_INTERVAL)
        except queue.Empty:
            number = None
        if number not in (None, signal.SIGHUP):
            name = signal.Signals(number).name
            loguru.logger.info("instance: {} received, draining", name)
            return
        cfg = _reload(cfg, tell, number is not None)


def _reload(cfg, tell, requested):
    try:
        changed = settings.load()
    except errors.BadSettings as exc:
        loguru.logger.error("instance: invalid settings ignored: {}", exc)
        return cfg
    if changed != cfg or requested:
        loguru.logger.info("instance: settings reloaded")
    if changed.seeds != cfg.seeds:
        tell(pool_messages.AddressesFound(changed.seeds, "settings"))
    return changed


def _start(cfg, policy, log):
    clock = clocks.boottime
    own = planner_election.Member(
        cfg.name,
        cfg.domain,
        cfg.peer_address,
        int(time.time() * 1000.0),
        thread_millicores=cfg.thread_millicores,
    )
    app = pool_app.start(
        own,
        _make_protocol(),
        _make_token_source(cfg.name),
        clock,
        log.record,
        cfg.remote_rack_factor,
        cfg.resubmit_delay,
        documents.is_job_name,
        policy,
        evacuation.OFF if cfg.evacuation_bound is None else evacuation.UNKNOWN,
        logs_cancellations=True,
    )
    tell_planner = app.controllers[pool_messages.PLANNER]
    tell_fleet = app.controllers[pool_messages.FLEET]
    tell_gateway = app.controllers[pool_messages.GATEWAY]
    executor_follower = executor_followers.ExecutorFollower(
        store.make_client(cfg.store_address),
        tell_planner,
        clock,
        tell_planner,
    )
    executor_reader = executor_followers.ExecutorReader(
        store.make_client(cfg.store_address), tell_planner, clock, cfg.name
    )
    log_task = cancellation_log.CancellationLog(
        store.make_client(cfg.store_address),
        secrets.randbits(64),
        tell_gateway,
        clock,
    )
    app.receivers[pool_messages.CANCELLATION_LOG] = log_task.append
    app.receivers[pool_messages.CONFIGURATIONS] = _make_offer_handler(
        tell_gateway
    )
    app.receivers[pool_messages.LISTINGS] = _make_listing_receiver(
        executor_follower, executor_reader
    )
    tasks = (
        # The first batches wait for what it reads.
        log_task,
        followers.ConfigurationFollower(
            store.make_client(cfg.store_address),
            tell_gateway,
            cfg.evacuation_bound,
        ),
        executor_follower,
        executor_reader,
        followers.MemberFollower(
            store.make_client(cfg.store_address),
            cfg.name,
            cfg.peer_address,
            tell_fleet,
        ),
    )
    tell_fleet(pool_messages.AddressesFound(cfg.seeds, "settings"))
    for task in tasks:
        task.start()
    caller_tasks = frontend.Tasks(tell_gateway, app.watch, clock)
    return _RunningInstance(
        app, _start_listeners(cfg, caller_tasks, app.scrape), tasks
    )


def _make_protocol():
    return pool_app.Protocol(
        executor_protocol.encode,
        executor_protocol.decode,
    )


def _make_token_source(name) -> Callable[[], int]:
    """Make the function that issues fencing tokens.

    The wall-clock time orders the tokens of different instances; the last
    three digits, from the name, separate those of the same millisecond.
    """
    suffix = xxhash.xxh64_intdigest(name.encode()) % 1000

    def make_token() -> int:
        return int(time.time() * 1000.0) * 1000 + suffix

    return make_token


def _make_listing_receiver(follower, reader):
    def receive(msg):
        if isinstance(msg, pool_messages.ExecutorsAsked):
            reader.receive(msg)
        else:
            follower.receive(msg)

    return receive


def _make_offer_handler(tell):
    def handle(msg):
        followers.send_configuration(msg.document, "a peer", tell)

    return handle


def _start_listeners(cfg, tasks, scrape):
    limits = server.ListenerLimits(
        threads=CALLER_THREADS,
        connections=MAX_CONNECTIONS,
        timeout=IDLE_TIMEOUT,
    )
    probe_limits = server.ListenerLimits(threads=PROBE_THREADS)
    return (
        server.start(
            "callers",
            cfg.caller_address,
            frontend.make_chain(tasks),
            limits,
            tasks.clock,
        ),
        server.start(
            "ready",
            cfg.readiness_address,
            frontend.make_readiness(tasks.gateway),
            probe_limits,
        ),
        server.start(
            "metrics",
            (cfg.readiness_address[0], METRICS_PORT),
            frontend.make_metrics(scrape),
            probe_limits,
        ),
    )


def _stop(running):
    """Leave the fleet, answer the waiting callers, and stop the tasks."""
    started_at = clocks.boottime()
    running.app.leave(ANSWER_TIME)
    for listener in running.listeners:
        listener.drain()
    time.sleep(DRAIN_TIME)
    stop_threads = [
        threading.Thread(target=listener.stop, daemon=True)
        for listener in running.listeners
    ]
    for thread in stop_threads:
        thread.start()
    for thread in stop_threads:
        thread.join(started_at + STOP_TIME - clocks.boottime())
    loguru.logger.info("instance: stopped")
    for task in running.followers:
        task.stop()
    running.app.stop()
