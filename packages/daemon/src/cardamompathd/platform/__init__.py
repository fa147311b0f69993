"""The platform's log and instance list over HTTP."""

from cardamompathd.platform import appender
from cardamompathd.platform import log_client

__all__ = [
    "appender",
    "log_client",
]
