"""Leases of this process's identifiers, and its journal on the log."""

from cardamompath_core import submodules

__all__ = [
    "journal",
    "journal_leases",
    "journal_store",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
