"""The filter chain that every request of a caller or operator passes.

A filter is a function ``(req, call_next) -> Response``; a handler is a
function ``(req) -> Response``.
"""

from cardamompathd.filters import access
from cardamompathd.filters import bodies
from cardamompathd.filters import chain
from cardamompathd.filters import errors
from cardamompathd.filters import failures
from cardamompathd.filters import paths
from cardamompathd.filters import relay
from cardamompathd.filters import waiting

__all__ = [
    "access",
    "bodies",
    "chain",
    "errors",
    "failures",
    "paths",
    "relay",
    "waiting",
]
