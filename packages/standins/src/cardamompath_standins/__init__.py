"""Stand-ins of the platform and of backend servers, over HTTP.

For tests and demos; the daemon never imports this package.
"""

from cardamompath_standins import backend
from cardamompath_standins import listener
from cardamompath_standins import platform

__all__ = [
    "backend",
    "listener",
    "platform",
]
