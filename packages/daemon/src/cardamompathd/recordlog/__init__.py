"""HTTP clients of the platform's log and instance list."""

from cardamompathd.recordlog import appender
from cardamompathd.recordlog import log_client

__all__ = [
    "appender",
    "log_client",
]
