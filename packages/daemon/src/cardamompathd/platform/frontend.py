"""The callers' HTTP interface of the platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pykka

from cardamompath_core import batches
from cardamompathd import filters
from cardamompathd import pool_messages
from cardamompathd.filters import chain
from cardamompathd.platform import documents
from cardamompathd.platform import errors

__all__ = [
    "make_chain",
    "make_metrics",
    "make_readiness",
]

DEADLINE = "x-cardamompath-deadline-ms"
DEFAULT_WAIT = 30.0
"""Seconds that a caller waits that does not say how long."""
LONGEST_WAIT = 600.0
"""Seconds that a caller may ask to wait."""
BODY_LIMIT = 262144
"""Bytes of a body, as the desired state usually bounds them."""
LOOK_INTERVAL = 0.1
"""Seconds between looks whether a caller that waits has left."""
REPLY_SLACK = 2.0
"""Seconds for the answer of a controller beyond the time waited."""

STATUSES = {
    batches.COMPLETE: 200,
    batches.FAILED: 200,
    batches.CANCELLED: 200,
    batches.REFUSED: 503,
    batches.TIMED_OUT: 504,
    batches.UNKNOWN_ROUTE: 404,
}

Tell = Callable[[Any], None]


def make_chain(tell: Tell) -> chain.Handler:
    """Compose what a caller's request passes, outermost first.

    Parameters
    ----------
    tell : callable
        Tells the gateway a message.
    """
    return chain.compose(
        (
            filters.failures.make_filter("frontend"),
            filters.bodies.make_filter(BODY_LIMIT),
        ),
        _make_handler(tell),
    )


def _make_handler(tell):
    handlers = {"POST": _submit, "GET": _look, "DELETE": _cancel}

    def handle(req: chain.Request) -> chain.Response:
        handler = handlers.get(req.method)
        if handler is None:
            return chain.fault(405, "bad_method", f"{req.method!r}")
        return handler(tell, req)

    return handle


def _host(req):
    return req.headers.get("host", "").partition(":")[0]


def _submit(tell, req):
    try:
        wait = _read_wait(req.headers.get(DEADLINE))
        spec, steps = documents.read_steps(req.body)
    except errors.BadDocument as exc:
        return chain.fault(400, "bad_job", str(exc))
    what = documents.unserved(req.body)
    if what:
        return chain.fault(503, "not_served", f"not served: {what}", 60.0)
    fut = pykka.ThreadingFuture()
    host = _host(req)
    tell(pool_messages.SubmitBatch(host, req.path, spec, steps, wait, fut))
    outcome = _await(tell, req, fut, wait + REPLY_SLACK)
    if outcome is None:
        return chain.fault(504, "no_answer", "the caller left")
    return _respond(outcome)


def _read_wait(text):
    if text is None:
        return DEFAULT_WAIT
    try:
        wait = float(text) / 1000.0
    except ValueError as exc:
        raise errors.BadDocument(f"{DEADLINE}: {text!r}") from exc
    if not 0.0 < wait <= LONGEST_WAIT:
        raise errors.BadDocument(f"{DEADLINE}: {text!r}")
    return wait


def _await(tell, req, fut, wait):
    """Return the outcome, or None when the caller left before it."""
    while wait > 0.0:
        try:
            return fut.get(timeout=LOOK_INTERVAL)
        except pykka.Timeout:
            wait -= LOOK_INTERVAL
        if req.gone():
            break
    tell(pool_messages.WithdrawBatch(fut))
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


def _ask(tell, make):
    fut = pykka.ThreadingFuture()
    tell(make(fut))
    return fut.get(timeout=REPLY_SLACK)


def _look(tell, req):
    count = _ask(
        tell,
        lambda fut: pool_messages.CountWaiting(_host(req), req.path, fut),
    )
    if isinstance(count, batches.Outcome):
        return _respond(count)
    if count is None:
        return chain.fault(404, "no_route", "no such route")
    if req.path.endswith("/"):
        return chain.Response(200, {"pending": count})
    return chain.fault(410, "no_job", "no such job is kept")


def _cancel(tell, req):
    known = _ask(
        tell, lambda fut: pool_messages.CancelBatch(_host(req), req.path, fut)
    )
    if isinstance(known, batches.Outcome):
        return _respond(known)
    if known:
        return chain.Response(200, {"state": batches.CANCELLED})
    return chain.fault(410, "no_job", "no such job is kept")


def make_readiness(tell: Tell) -> chain.Handler:
    """Make the handler that says whether to send callers here."""

    def handle(_: chain.Request) -> chain.Response:
        reason = _ask(tell, pool_messages.GetReadiness)
        if reason:
            return chain.fault(503, "not_ready", reason)
        return chain.Response(200, {"ready": True})

    return handle


def make_metrics(scrape: Callable[[], str]) -> chain.Handler:
    """Make the handler that serves the page of metrics."""

    def handle(_: chain.Request) -> chain.Response:
        return chain.Response(200, scrape())

    return handle
