"""Settings, read from INI files and declared in one table."""

from cardamompath_core import submodules

__all__ = [
    "loading",
    "pool_table",
    "table",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
