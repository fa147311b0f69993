"""Decision layer and types, without sockets, codecs, clocks or logging.

Functions take the current time as an argument, and a random generator
where they need one.  Times are in seconds on one monotonic clock of the
instance unless stated otherwise.
"""

from cardamompath_core import errors
from cardamompath_core import identity
from cardamompath_core import issued_identifiers
from cardamompath_core import journal_fold
from cardamompath_core import leases
from cardamompath_core import types

__all__ = [
    "errors",
    "identity",
    "issued_identifiers",
    "journal_fold",
    "leases",
    "types",
]
