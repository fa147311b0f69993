"""The HTTP interface for operators, with its own listener and threads."""

from cardamompathd.operators import configuration
from cardamompathd.operators import encoding
from cardamompathd.operators import handlers

__all__ = [
    "configuration",
    "encoding",
    "handlers",
]
