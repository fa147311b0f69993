"""HTTP clients of the platform's log and instance list."""

from cardamompath_core import submodules

__all__ = [
    "appender",
    "log_client",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
