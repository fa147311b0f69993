"""The HTTP connections to backend servers."""

from cardamompathd.backends import connections
from cardamompathd.backends import pool

__all__ = [
    "connections",
    "pool",
]
