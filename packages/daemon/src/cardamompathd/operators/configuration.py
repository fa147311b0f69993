"""Operators' paths for the configuration and the membership."""

from __future__ import annotations

from collections.abc import Callable

from cardamompath_core import snapshots
from cardamompathd import messages
from cardamompathd.filters import chain
from cardamompathd.runtime import asking

__all__ = [
    "make_paths",
]

WAIT = 2.0
"""Seconds that a controller has to answer."""

Paths = dict[str, Callable[[chain.Request], chain.Response]]


def make_paths(
    ask_configuration: asking.Ask, ask_membership: asking.Ask
) -> Paths:
    """Make the functions that answer each path.

    ``/v1/membership`` tells the configuration in force here and what is
    known of the other instances; ``/v1/snapshot`` is the configuration
    in the form of a snapshot record.
    """

    def show_membership(req):
        configuration = ask_configuration(messages.GetStatus, WAIT)
        membership = ask_membership(messages.GetStatus, WAIT)
        if configuration is None or membership is None:
            return _overloaded()
        body = {"configuration": configuration, "membership": membership}
        return chain.Response(200, body)

    def show_snapshot(req):
        cfg = ask_configuration(messages.GetConfiguration, WAIT)
        if cfg is None:
            return _overloaded()
        if cfg.revision == 0:
            reason = "no configuration is in force yet"
            return chain.error_response(503, "not_ready", reason)
        return chain.Response(200, snapshots.make_record(cfg))

    return {
        "/v1/membership": show_membership,
        "/v1/snapshot": show_snapshot,
    }


def _overloaded():
    reason = "a controller did not reply in time"
    return chain.error_response(503, "overloaded", reason, 1.0)
