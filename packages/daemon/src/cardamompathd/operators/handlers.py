"""What operators can ask for."""

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

WAIT = 2.0
"""Seconds that a controller has to answer."""

MAX_JOBS = 1000
"""Most jobs in one list."""


class AskFunctions(NamedTuple):
    """Functions that ask the controllers."""

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
    """Make the handler of all paths that operators can ask for.

    Parameters
    ----------
    asks : Asks
        Asks the controllers.
    scrape : callable
        Returns the page of metrics.
    """
    paths = {
        "/live": lambda req: chain.Response(200, {"live": True}),
        "/ready": lambda req: _ready(asks),
        "/metrics": lambda req: chain.Response(200, scrape()),
        "/v1/status": lambda req: chain.Response(200, status(asks)),
        "/v1/configuration": lambda req: _configuration(asks),
        "/v1/jobs": lambda req: _jobs(asks, req),
        "/v1/burn": lambda req: _burn(asks),
    }
    paths |= configuration.make_paths(asks.configuration, asks.membership)

    def handle(req: chain.Request) -> chain.Response:
        found = paths.get(req.path)
        if found is None:
            choices = ", ".join(paths)
            reason = f"no path {req.path[:64]!r}; there are: {choices}"
            return chain.error_response(404, "unknown_path", reason)
        if req.method != "GET":
            reason = f"{req.method} is not GET"
            return chain.error_response(405, "method_not_allowed", reason)
        try:
            return found(req)
        except NoReply:
            reason = "a controller did not reply in time"
            return chain.error_response(503, "overloaded", reason, 1.0)

    return handle


def _ask(ask, make_message):
    answer = ask(make_message, WAIT)
    if answer is None:
        raise NoReply
    return answer


def _ready(asks):
    if _ask(asks.jobs, messages.GetStatus)["draining"]:
        return chain.error_response(503, "draining", "the instance is leaving")
    if _ask(asks.configuration, messages.GetConfiguration).revision == 0:
        reason = "no configuration is in force yet"
        return chain.error_response(503, "not_ready", reason)
    return chain.Response(200, {"ready": True})


def status(asks: AskFunctions) -> dict[str, Any]:
    """Return what the controllers say of themselves.

    Raises
    ------
    NoReply
        If one of them is too slow.
    """
    cfg = _ask(asks.configuration, messages.GetConfiguration)
    return {
        "jobs": _ask(asks.jobs, messages.GetStatus),
        "backends": _ask(asks.backends, messages.GetStatus),
        "revision": cfg.revision,
    } | _ask(asks.telemetry, messages.GetStatus)


def _configuration(asks):
    cfg = _ask(asks.configuration, messages.GetConfiguration)
    return chain.Response(200, encoding.encode(cfg))


def _jobs(asks, req):
    text = req.query.get("stuck", "no")
    if text not in ("yes", "no"):
        reason = f"'stuck' is {text[:64]!r}; yes or no go"
        return chain.error_response(400, "bad_query", reason)

    def make_message(fut):
        return messages.ListJobs(fut, MAX_JOBS, text == "yes")

    return chain.Response(200, {"jobs": _ask(asks.jobs, make_message)})


def _burn(asks):
    return chain.Response(200, _ask(asks.telemetry, messages.GetBurnCounts))
