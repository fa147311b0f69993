"""Logs and metrics."""

from cardamompath_core import submodules

__all__ = [
    "logs",
    "metrics",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
