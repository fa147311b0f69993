"""What operators can ask for: liveness, readiness and status."""

from __future__ import annotations

from cardamompathd import messages
from cardamompathd.callers import handlers
from cardamompathd.filters import chain
from cardamompathd.operators import configuration

__all__ = [
    "make_handler",
]

WAIT = 2.0
"""Seconds that a controller has to answer."""


def make_handler(
    ask_jobs: handlers.Ask,
    ask_backends: handlers.Ask,
    ask_configuration: handlers.Ask,
    ask_membership: handlers.Ask,
) -> chain.Handler:
    """Make the handler of all paths that operators can ask for."""

    def status(req):
        jobs = ask_jobs(messages.GetStatus, WAIT)
        backends = ask_backends(messages.GetStatus, WAIT)
        cfg = ask_configuration(messages.GetConfiguration, WAIT)
        body = {"jobs": jobs, "backends": backends}
        return chain.Response(200, body | {"revision": cfg.revision})

    def ready(req):
        cfg = ask_configuration(messages.GetConfiguration, WAIT)
        if cfg is None or cfg.revision == 0:
            reason = "no configuration is in force yet"
            return chain.fault(503, "not_ready", reason)
        return chain.Response(200, {"ready": True})

    def live(req):
        return chain.Response(200, {"live": True})

    paths = {"/live": live, "/ready": ready, "/v1/status": status}
    paths |= configuration.make_paths(ask_configuration, ask_membership)

    def handle(req: chain.Request) -> chain.Response:
        found = paths.get(req.path)
        if found is None:
            return chain.fault(404, "unknown_path", f"no path {req.path!r}")
        return found(req)

    return handle
