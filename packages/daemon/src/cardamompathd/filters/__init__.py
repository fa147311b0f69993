"""The filter chain for the requests of callers and operators.

A filter is a function ``(req, call_next) -> Response``; a handler is a
function ``(req) -> Response``.
"""

from cardamompathd.filters import access_log
from cardamompathd.filters import chain
from cardamompathd.filters import errors
from cardamompathd.filters import exceptions
from cardamompathd.filters import json_bodies
from cardamompathd.filters import paths
from cardamompathd.filters import relay
from cardamompathd.filters import wait_limit

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
