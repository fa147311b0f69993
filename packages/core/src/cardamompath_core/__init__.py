"""Decisions and types: no sockets, no codecs, no clock, no logging.

Every function that decides takes the present time as an argument, and
the random generator where it needs one.  Times are seconds on one
monotonic clock of the instance unless a name says otherwise.
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
