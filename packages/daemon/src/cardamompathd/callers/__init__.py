"""The HTTP interface for callers."""

from cardamompath_core import submodules

__all__ = [
    "codec",
    "connections",
    "handlers",
    "server",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
