"""Actors, clocks and message delivery."""

from cardamompath_core import submodules

__all__ = [
    "actors",
    "asking",
    "clocks",
    "inboxes",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
