"""The HTTP interface for callers."""

from cardamompathd.callers import codec
from cardamompathd.callers import connections
from cardamompathd.callers import handlers
from cardamompathd.callers import server

__all__ = [
    "codec",
    "connections",
    "handlers",
    "server",
]
