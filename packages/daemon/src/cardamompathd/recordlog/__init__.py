"""The platform's log and instance list over HTTP."""

from cardamompathd.recordlog import appender
from cardamompathd.recordlog import log_client

__all__ = [
    "appender",
    "log_client",
]
