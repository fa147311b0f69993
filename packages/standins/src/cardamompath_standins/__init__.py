"""Stand-ins of the platform and of backend servers, over HTTP.

They serve tests and demos; the daemon does not import this package.
"""

from cardamompath_standins import backend
from cardamompath_standins import listener
from cardamompath_standins import platform

__all__ = [
    "backend",
    "listener",
    "platform",
]
