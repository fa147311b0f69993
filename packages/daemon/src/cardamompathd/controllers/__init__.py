"""Controllers: each owns one kind of state and changes it by messages."""

from cardamompath_core import submodules

__all__ = [
    "backends",
    "configuration",
    "fleet",
    "gateway",
    "jobs",
    "journal",
    "planner",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
