"""Which failure domains are evacuated, as of an offset of operator records.

Addresses the load of a failure domain whose executors must get no more work
while an operator repairs or replaces them; all other domains serve it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cardamompath_core import executor_digests

__all__ = [
    "Evacuation",
    "MAX_DOMAINS",
    "OFF",
    "UNKNOWN",
    "digest_of",
    "is_behind",
    "make",
    "may_start_in",
    "merge",
]

MAX_DOMAINS = 64
"""Largest number of evacuated domains, which bounds what one instance sends
to another; deployments have four domains."""
MAX_NAME_BYTES = 255
"""Largest size of the name of a domain, as of a key in the store."""


class Evacuation(NamedTuple):
    """The set of evacuated failure domains as of an offset."""

    offset: int
    """Offset of the topic after the last record that the set includes."""
    domains: tuple[str, ...]
    """Names of the domains, sorted."""


OFF = Evacuation(-2, ())
"""The set of an instance that follows no evacuations; nothing replaces it."""
UNKNOWN = Evacuation(-1, ())
"""The set of an instance that has yet to receive one."""


def make(offset: int, domains: Iterable[str]) -> Evacuation:
    """Return the set of some domains as of an offset.

    Raises
    ------
    ValueError
        If the offset is negative, a name is empty or too long, or there are
        more than `MAX_DOMAINS`.
    """
    names = tuple(sorted(set(domains)))
    if offset < 0:
        raise ValueError(f"offset {offset!r} is negative")
    if len(names) > MAX_DOMAINS:
        raise ValueError(f"{len(names)!r} domains; {MAX_DOMAINS} are allowed")
    sizes = [len(name.encode()) for name in names]
    if not all(0 < size <= MAX_NAME_BYTES for size in sizes):
        raise ValueError(f"domains with names of {sizes!r} bytes")
    return Evacuation(offset, names)


def merge(known: Evacuation, other: Evacuation) -> Evacuation:
    """Return the later one of two sets.

    A reading of the newest records may include records after its offset.  So
    two sets of one offset can differ, and domains of either are evacuated
    until a later offset is known.
    """
    if known.offset == OFF.offset or other.offset < known.offset:
        return known
    if other.offset > known.offset:
        return other
    domains = sorted({*known.domains, *other.domains})
    return Evacuation(known.offset, tuple(domains))


def may_start_in(known: Evacuation, domain: str) -> bool:
    """Return whether tasks may be started in a failure domain."""
    return known.offset != UNKNOWN.offset and domain not in known.domains


def digest_of(known: Evacuation) -> int:
    """Return a number that stands for the domains of a set.

    It is `executor_digests.UNKNOWN` without a set.
    """
    if known.offset < 0:
        return executor_digests.UNKNOWN
    hashes = (executor_digests.hash_of(name) for name in known.domains)
    return executor_digests.digest_of(hashes)


def is_behind(offset: int, digest: int, known: Evacuation) -> bool:
    """Return whether an instance needs a set that is known here.

    Parameters
    ----------
    offset, digest : int
        Offset and digest of the set of that instance.
    known : Evacuation
        The set that is known here.
    """
    if known.offset < 0 or offset == OFF.offset:
        return False
    return offset <= known.offset and digest != digest_of(known)
