"""The HTTP interface for operators, with its own listener and threads."""

from cardamompath_core import submodules

__all__ = [
    "configuration",
    "encoding",
    "handlers",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
