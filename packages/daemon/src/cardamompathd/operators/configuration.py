"""Handlers of the operators' paths for configuration and membership."""

from __future__ import annotations

from collections.abc import Callable

from cardamompath_core import snapshots
from cardamompathd import messages
from cardamompathd.filters import chain
from cardamompathd.runtime import asking

__all__ = [
    "make_paths",
]

REPLY_TIMEOUT = 2.0
"""Seconds to wait for the reply of a controller."""

Paths = dict[str, Callable[[chain.Request], chain.Response]]


def make_paths(
    ask_configuration: asking.Ask, ask_membership: asking.Ask
) -> Paths:
    """Make the handler of each path.

    ``/v1/membership`` returns the status of the configuration and of the
    membership as known to this instance; ``/v1/snapshot`` returns the
    configuration in force as a snapshot record.
    """

    def get_membership(req):
        configuration = ask_configuration(messages.GetStatus, REPLY_TIMEOUT)
        membership = ask_membership(messages.GetStatus, REPLY_TIMEOUT)
        if configuration is None or membership is None:
            return _make_overloaded()
        body = {"configuration": configuration, "membership": membership}
        return chain.Response(200, body)

    def get_snapshot(req):
        cfg = ask_configuration(messages.GetConfiguration, REPLY_TIMEOUT)
        if cfg is None:
            return _make_overloaded()
        if cfg.revision == 0:
            reason = "no configuration is in force yet"
            return chain.error_response(503, "not_ready", reason)
        return chain.Response(200, snapshots.make_record(cfg))

    return {
        "/v1/membership": get_membership,
        "/v1/snapshot": get_snapshot,
    }


def _make_overloaded():
    reason = "a controller did not reply in time"
    return chain.error_response(503, "overloaded", reason, 1.0)
