"""The filter chain for the requests of callers and operators.

A filter is a function ``(req, call_next) -> Response``; a handler is a
function ``(req) -> Response``.
"""

from cardamompath_core import submodules

__all__ = [
    "access_log",
    "chain",
    "errors",
    "exceptions",
    "json_bodies",
    "paths",
    "relay",
    "wait_limit",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
