"""The HTTP connections to backend servers."""

from cardamompath_core import submodules

__all__ = [
    "connections",
    "pool",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
