"""Callers over HTTP."""

from cardamompathd.callers import codec
from cardamompathd.callers import handlers
from cardamompathd.callers import server

__all__ = [
    "codec",
    "handlers",
    "server",
]
