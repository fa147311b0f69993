"""The HTTP interface for callers on the platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import pykka

from cardamompath_core import batches
from cardamompathd import filters
from cardamompathd import pool_messages
from cardamompathd.filters import chain
from cardamompathd.platform import documents
from cardamompathd.platform import errors

__all__ = [
    "Tasks",
    "make_chain",
    "make_metrics",
    "make_readiness",
]

DEADLINE_HEADER = "x-cardamompath-deadline-ms"
DEFAULT_WAIT = 30.0
"""Seconds that a caller waits for an outcome if it sends no deadline."""
MAX_WAIT = 600.0
"""Longest deadline that a caller may send, in seconds."""
BODY_LIMIT = 262144
"""Largest request body in bytes; the usual bound in the desired state."""
REPLY_TIMEOUT = 2.0
"""Seconds for the reply of a controller, in addition to the time that the
request itself waits."""

STATUSES = {
    batches.ACTIVE: 200,
    batches.COMPLETE: 200,
    batches.FAILED: 200,
    batches.CANCELLED: 200,
    batches.INVALID: 400,
    batches.REFUSED: 503,
    batches.TIMED_OUT: 504,
    batches.UNKNOWN: 410,
    batches.UNKNOWN_ROUTE: 404,
}

Tell = Callable[[Any], None]


class Tasks(NamedTuple):
    """The tasks that serve the requests of callers, and their clock."""

    gateway: Tell
    """Sends a message to the gateway."""
    watch: Tell
    """Sends a message to the watch of callers."""
    clock: Callable[[], float]
    """Returns the present time in seconds."""


def make_chain(tasks: Tasks) -> chain.Handler:
    """Make the filter chain and the handler for callers' requests."""
    return chain.compose(
        (
            filters.exceptions.make_filter("frontend"),
            filters.json_bodies.make_filter(BODY_LIMIT),
        ),
        _make_handler(tasks),
    )


def _make_handler(tasks):
    handlers = {"POST": _submit, "GET": _get, "DELETE": _cancel}

    def handle(req: chain.Request) -> chain.Response:
        handler = handlers.get(req.method)
        if handler is None:
            return chain.error_response(405, "bad_method", f"{req.method!r}")
        return handler(tasks, req)

    return handle


def _host(req):
    return req.headers.get("host", "").partition(":")[0]


def _submit(tasks, req):
    try:
        wait = _parse_wait(req.headers.get(DEADLINE_HEADER))
        spec, steps = documents.parse_job(req.body)
    except errors.BadDocument as exc:
        return chain.error_response(400, "bad_job", str(exc))
    feature = documents.unsupported_feature(req.body)
    if feature:
        return chain.error_response(
            503, "not_served", f"not supported: {feature}", 60.0
        )
    seen_at = tasks.clock()
    if req.is_disconnected():
        return chain.error_response(504, "no_answer", "the caller has left")
    fut = pykka.ThreadingFuture()
    submission = pool_messages.SubmitBatch(
        _host(req),
        req.path,
        spec,
        steps,
        wait,
        fut,
        req.arrived_at,
        seen_at,
    )
    tasks.gateway(submission)
    tasks.watch(pool_messages.WatchCaller(fut, req.is_disconnected))
    outcome = _await_outcome(tasks, fut, wait + REPLY_TIMEOUT)
    tasks.watch(pool_messages.UnwatchCaller(fut))
    if outcome is None:
        reason = "no outcome came in time"
        return chain.error_response(504, "no_answer", reason)
    return _respond(outcome)


def _parse_wait(text):
    if text is None:
        return DEFAULT_WAIT
    try:
        wait = float(text) / 1000.0
    except ValueError as exc:
        raise errors.BadDocument(
            f"{DEADLINE_HEADER}: not a number: {text!r}"
        ) from exc
    if not 0.0 < wait <= MAX_WAIT:
        raise errors.BadDocument(f"{DEADLINE_HEADER}: out of range: {text!r}")
    return wait


def _await_outcome(tasks, fut, wait):
    """Return the outcome; withdraw the batch if it does not come in time."""
    try:
        return fut.get(timeout=wait)
    except pykka.Timeout:
        tasks.gateway(pool_messages.WithdrawBatch(fut))
        return None


def _respond(outcome):
    status = STATUSES[outcome.state]
    body = {"state": outcome.state}
    if status != 200:
        body = {"error": outcome.reason}
    headers = ()
    if outcome.retry_after > 0.0:
        body["retry_after_ms"] = round(outcome.retry_after * 1000.0)
        seconds = max(1, round(outcome.retry_after))
        headers = (("Retry-After", str(seconds)),)
    return chain.Response(status, body, headers)


def _ask(tell, make_message):
    fut = pykka.ThreadingFuture()
    tell(make_message(fut))
    return fut.get(timeout=REPLY_TIMEOUT)


def _get(tasks, req):
    if not req.path.endswith("/"):
        return _look_up(tasks, req, pool_messages.FindBatch)
    count = _ask(
        tasks.gateway,
        lambda fut: pool_messages.CountWaiting(_host(req), req.path, fut),
    )
    if isinstance(count, batches.Outcome):
        return _respond(count)
    if count is None:
        return chain.error_response(404, "no_route", "no such route")
    return chain.Response(200, {"pending": count})


def _cancel(tasks, req):
    if req.length:
        reason = "a DELETE has no body"
        return chain.error_response(400, "bad_request", reason)
    return _look_up(tasks, req, pool_messages.CancelBatch)


def _look_up(tasks, req, message_type):
    outcome = _ask(
        tasks.gateway, lambda fut: message_type(_host(req), req.path, fut)
    )
    return _respond(outcome)


def make_readiness(tell: Tell) -> chain.Handler:
    """Make the handler that reports whether callers may be sent here."""

    def handle(_: chain.Request) -> chain.Response:
        reason = _ask(tell, pool_messages.GetReadiness)
        if reason:
            return chain.error_response(503, "not_ready", reason)
        return chain.Response(200, {"ready": True})

    return handle


def make_metrics(scrape: Callable[[], str]) -> chain.Handler:
    """Make the handler that serves the metrics page."""

    def handle(_: chain.Request) -> chain.Response:
        return chain.Response(200, scrape())

    return handle
