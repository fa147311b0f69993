"""Packages that load their modules when these are first used.

A process that serves on the users' platform starts in a fraction of a core;
it must not load what only the other program needs.
"""

from __future__ import annotations

import importlib
import types
from collections.abc import Callable
from collections.abc import Collection

__all__ = [
    "make_getattr",
]


def make_getattr(
    package: str, names: Collection[str]
) -> Callable[[str], types.ModuleType]:
    """Make the ``__getattr__`` of a package that re-exports its modules.

    Parameters
    ----------
    package : str
        Name of the package.
    names : collection of str
        Names of the modules that it re-exports.
    """

    def load(name: str) -> types.ModuleType:
        if name not in names:
            raise AttributeError(f"module {package!r} has no {name!r}")
        return importlib.import_module(f"{package}.{name}")

    return load
