"""What callers can ask for.

A handler tells the jobs controller and waits on a future: it runs on
the thread of the caller's connection, which is the only place that
waits.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import pykka
from returns import pipeline

from cardamompath_core import identity
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.callers import codec
from cardamompathd.filters import chain

__all__ = [
    "Ask",
    "make_ask",
    "make_handler",
]

NAME = "[A-Za-z0-9._~-]{1,128}"
"""What callers' own identifiers are made of."""

NAMED_WAIT = 5.0
"""Default wait for the answer to a named job, in seconds."""

Ask = Callable[[Callable[[Any], Any], float], Any]
"""Called with a function from a reply to the message that carries it,
and the seconds to wait; returns the answer, or None after that time."""


class Route(NamedTuple):
    """A method and a path with the function that answers them."""

    method: str
    pattern: re.Pattern
    handle: Callable


def make_ask(tell: Callable[[Any], None]) -> Ask:
    """Make the function with which handlers ask a controller."""

    def ask(make_message, wait):
        fut = pykka.ThreadingFuture()
        tell(make_message(fut))
        try:
            return fut.get(timeout=wait)
        except pykka.Timeout:
            return None

    return ask


def make_handler(ask_jobs: Ask) -> chain.Handler:
    """Make the handler of all paths that callers can ask for."""
    routes = (
        Route("POST", re.compile("/v1/requests"), _run_request),
        Route("POST", re.compile("/v1/jobs"), _issue_job),
        Route("PUT", re.compile("/v1/jobs/([^/]+)"), _submit_job),
        Route("PUT", re.compile(f"/v1/named-jobs/({NAME})"), _submit_named),
        Route("GET", re.compile("/v1/jobs/([^/]+)"), _get_job),
        Route("DELETE", re.compile("/v1/jobs/([^/]+)"), _cancel_job),
    )

    def handle(req: chain.Request) -> chain.Response:
        allowed = []
        for route in routes:
            match = route.pattern.fullmatch(req.path)
            if match and route.method == req.method:
                return route.handle(ask_jobs, req, *match.groups())
            if match:
                allowed.append(route.method)
        if allowed:
            reason = f"{req.method} is not one of {', '.join(allowed)}"
            return chain.fault(405, "method_not_allowed", reason)
        return chain.fault(404, "unknown_path", f"no path {req.path!r}")

    return handle


def _run_request(ask, req):
    spec = codec.decode_request(req.body)
    if not pipeline.is_successful(spec):
        return chain.fault(400, "bad_request", spec.failure())
    spec = spec.unwrap()
    answer = ask(
        lambda fut: messages.Submit("", spec, fut), spec.timeout + 1.0
    )
    return _respond("", answer, 1)


def _issue_job(ask, req):
    job = ask(messages.IssueJob, chain.MAX_WAIT)
    return chain.Response(201, {"job": job})


def _submit_job(ask, req, job):
    identity.parse_job(job)
    spec = codec.decode_job(req.body)
    if not pipeline.is_successful(spec):
        return chain.fault(400, "bad_request", spec.failure())
    spec = spec.unwrap()
    answer = ask(
        lambda fut: messages.Submit(job, spec, fut), chain.wait_of(req, 0.0)
    )
    return _respond(job, answer, len(spec.tasks))


def _submit_named(ask, req, name):
    """Submit under the caller's own identifier, claimed in the log."""
    spec = codec.decode_job(req.body)
    if not pipeline.is_successful(spec):
        return chain.fault(400, "bad_request", spec.failure())
    spec = spec.unwrap()
    answer = ask(
        lambda fut: messages.SubmitNamed(name, spec, fut),
        chain.wait_of(req, NAMED_WAIT),
    )
    return _respond(name, answer, len(spec.tasks))


def _get_job(ask, req, job):
    identity.parse_job(job)
    wait = chain.wait_of(req, 0.0)
    answer = ask(lambda fut: messages.AwaitJob(job, fut), wait)
    return _respond(job, answer, 0)


def _cancel_job(ask, req, job):
    identity.parse_job(job)
    answer = ask(
        lambda fut: messages.CancelJob(job, fut), chain.wait_of(req, 5.0)
    )
    return _respond(job, answer, 0)


def _respond(job, answer, total):
    if answer is None:
        answer = types.Pending(0, total, "not answered yet")
    if isinstance(answer, messages.NotOwner):
        owner = chain.Owner(job, answer.address)
        answer = types.Pending(0, total, "the owner cannot be reached")
        return codec.encode_answer(job, answer)._replace(owner=owner)
    return codec.encode_answer(job, answer)
