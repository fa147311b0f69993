"""Operators over HTTP, on a listener and threads of their own."""

from cardamompathd.operators import configuration
from cardamompathd.operators import encoding
from cardamompathd.operators import handlers

__all__ = [
    "configuration",
    "encoding",
    "handlers",
]
