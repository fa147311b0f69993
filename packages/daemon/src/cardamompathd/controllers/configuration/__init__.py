"""The configuration in force on this instance."""

from cardamompath_core import submodules

__all__ = [
    "configuration",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
