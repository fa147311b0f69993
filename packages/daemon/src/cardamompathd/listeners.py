"""The filter chains and the listeners of an instance."""

from __future__ import annotations

from collections.abc import Callable

from cardamompathd import filters
from cardamompathd.callers import handlers
from cardamompathd.callers import server
from cardamompathd.filters import chain
from cardamompathd.operators import handlers as operator_handlers

__all__ = [
    "make_caller_chain",
    "make_operator_chain",
    "make_owner_chain",
    "start_callers",
    "start_operators",
]

OPERATOR_THREADS = 4

OPERATOR_BODY_LIMIT = 1024
"""Largest body of an operator's request in bytes; no handler uses one."""

NON_WAITING_THREADS = 4
"""Threads for callers whose requests may not wait, so that there are
threads left when many callers wait."""


def make_caller_chain(cfg, ask_jobs, relay, clock) -> chain.Handler:
    """Compose the filters and the handler for callers, outermost first."""
    threads = cfg["callers", "threads"]
    wait_limit = max(1, threads - min(NON_WAITING_THREADS, threads // 2))
    return chain.compose(
        (
            filters.access_log.make_filter("callers", clock),
            filters.exceptions.make_filter("callers"),
            filters.paths.limit_paths,
            filters.paths.read_wait,
            filters.json_bodies.make_filter(cfg["callers", "body_limit"]),
            filters.wait_limit.make_filter(wait_limit),
            filters.relay.make_filter(relay),
        ),
        handlers.make_handler(ask_jobs, cfg["callers", "payload_limit"]),
    )


def make_owner_chain(cfg, ask_jobs) -> chain.Handler:
    """Compose the chain for requests that other instances relay.

    They have passed the chain for callers of the other instance before.
    """
    return chain.compose(
        (
            filters.exceptions.make_filter("peers"),
            filters.paths.read_wait,
        ),
        handlers.make_handler(ask_jobs, cfg["callers", "payload_limit"]),
    )


def make_operator_chain(
    asks: operator_handlers.AskFunctions, scrape: Callable[[], str], clock
) -> chain.Handler:
    """Compose the filters and the handler for operators, outermost first."""
    return chain.compose(
        (
            filters.access_log.make_filter("operators", clock),
            filters.exceptions.make_filter("operators"),
            filters.paths.limit_paths,
            filters.json_bodies.make_filter(OPERATOR_BODY_LIMIT),
        ),
        operator_handlers.make_handler(asks, scrape),
    )


def start_callers(cfg, handler: chain.Handler) -> server.Listener:
    """Start the listener for callers."""
    limits = server.ListenerLimits(
        threads=cfg["callers", "threads"],
        connections=cfg["callers", "connections"],
        timeout=cfg["callers", "timeout"],
    )
    return server.start("callers", cfg["callers", "listen"], handler, limits)


def start_operators(cfg, handler: chain.Handler) -> server.Listener:
    """Start the listener for operators, with its own threads."""
    limits = server.ListenerLimits(threads=OPERATOR_THREADS, connections=64)
    return server.start(
        "operators", cfg["operators", "listen"], handler, limits
    )
