"""Decision layer and types, without sockets, codecs, clocks or logging.

Functions take the current time as an argument, and a random generator
where they need one.  Times are in seconds on one monotonic clock of the
instance unless stated otherwise.
"""

from cardamompath_core import submodules

__all__ = [
    "errors",
    "identity",
    "issued_identifiers",
    "journal_fold",
    "leases",
    "types",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
