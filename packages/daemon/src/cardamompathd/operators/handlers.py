"""Handlers of the operators' paths."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cardamompathd import messages
from cardamompathd.filters import chain
from cardamompathd.operators import configuration
from cardamompathd.operators import encoding
from cardamompathd.runtime import asking

__all__ = [
    "AskFunctions",
    "NoReply",
    "make_handler",
    "status",
]

REPLY_TIMEOUT = 2.0
"""Seconds to wait for the reply of a controller."""

MAX_JOBS = 1000
"""Largest number of jobs in a list."""


class AskFunctions(NamedTuple):
    """Functions that ask the controllers, one for each."""

    jobs: asking.Ask
    backends: asking.Ask
    configuration: asking.Ask
    telemetry: asking.Ask
    membership: asking.Ask


class NoReply(Exception):
    """A controller did not reply in time."""


def make_handler(
    asks: AskFunctions, scrape: Callable[[], str]
) -> chain.Handler:
    """Make the handler of all paths for operators.

    Parameters
    ----------
    asks : Asks
        Functions that ask the controllers.
    scrape : callable
        Returns the metrics page.
    """
    paths = {
        "/live": lambda req: chain.Response(200, {"live": True}),
        "/ready": lambda req: _get_readiness(asks),
        "/metrics": lambda req: chain.Response(200, scrape()),
        "/v1/status": lambda req: chain.Response(200, status(asks)),
        "/v1/configuration": lambda req: _get_configuration(asks),
        "/v1/jobs": lambda req: _list_jobs(asks, req),
        "/v1/burn": lambda req: _get_burn_counts(asks),
    }
    paths |= configuration.make_paths(asks.configuration, asks.membership)

    def handle(req: chain.Request) -> chain.Response:
        path_handler = paths.get(req.path)
        if path_handler is None:
            known = ", ".join(paths)
            reason = f"no path {req.path[:64]!r}; known paths: {known}"
            return chain.error_response(404, "unknown_path", reason)
        if req.method != "GET":
            reason = f"{req.method} is not allowed; use GET"
            return chain.error_response(405, "method_not_allowed", reason)
        try:
            return path_handler(req)
        except NoReply:
            reason = "a controller did not reply in time"
            return chain.error_response(503, "overloaded", reason, 1.0)

    return handle


def _ask(ask, make_message):
    reply = ask(make_message, REPLY_TIMEOUT)
    if reply is None:
        raise NoReply
    return reply


def _get_readiness(asks):
    if _ask(asks.jobs, messages.GetStatus)["draining"]:
        return chain.error_response(503, "draining", "the instance is leaving")
    if _ask(asks.configuration, messages.GetConfiguration).revision == 0:
        reason = "no configuration is in force yet"
        return chain.error_response(503, "not_ready", reason)
    return chain.Response(200, {"ready": True})


def status(asks: AskFunctions) -> dict[str, Any]:
    """Return the status of the controllers.

    Raises
    ------
    NoReply
        If one of them does not reply in time.
    """
    cfg = _ask(asks.configuration, messages.GetConfiguration)
    return {
        "jobs": _ask(asks.jobs, messages.GetStatus),
        "backends": _ask(asks.backends, messages.GetStatus),
        "revision": cfg.revision,
    } | _ask(asks.telemetry, messages.GetStatus)


def _get_configuration(asks):
    cfg = _ask(asks.configuration, messages.GetConfiguration)
    return chain.Response(200, encoding.encode(cfg))


def _list_jobs(asks, req):
    text = req.query.get("stuck", "no")
    if text not in ("yes", "no"):
        reason = f"'stuck' is {text[:64]!r}; it must be yes or no"
        return chain.error_response(400, "bad_query", reason)

    def make_message(fut):
        return messages.ListJobs(fut, MAX_JOBS, text == "yes")

    return chain.Response(200, {"jobs": _ask(asks.jobs, make_message)})


def _get_burn_counts(asks):
    return chain.Response(200, _ask(asks.telemetry, messages.GetBurnCounts))
