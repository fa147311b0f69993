"""Digests of sets of executors, by which two instances compare theirs.

A planner announces a digest of the executors that it holds.  Its successor
can then tell whether it has claimed all of them, however complete its own
listing is.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

__all__ = [
    "UNKNOWN",
    "digest_of",
    "find_extra",
    "hash_of",
]

UNKNOWN = 0
"""Stands for the digest of a set of which nothing is known."""
_EMPTY = 1
"""Digest of the empty set."""
_MASK = (1 << 63) - 1
"""Keeps a digest within a signed integer of 64 bits."""


def hash_of(name: str) -> int:
    """Return the share of one executor in a digest."""
    return xxhash.xxh64_intdigest(name.encode()) & _MASK


def digest_of(hashes: Iterable[int]) -> int:
    """Return the digest of a set of executors.

    Parameters
    ----------
    hashes : iterable of int
        The result of `hash_of` for each of them.
    """
    digest = _EMPTY
    for each in hashes:
        digest ^= each
    return digest


def find_extra(
    hashes: Mapping[int, object], digest: int
) -> tuple[int, ...] | None:
    """Return which executors of a set are not in the one with a digest.

    Parameters
    ----------
    hashes : mapping
        Has the hashes of the executors of the first set as keys.
    digest : int
        Digest of the second set.

    Returns
    -------
    tuple of int or None
        The hashes of at most two executors.  None if more are in the first
        set only, or if the second set is unknown or not a part of it.
    """
    if digest == UNKNOWN:
        return None
    difference = digest_of(hashes) ^ digest
    if difference == 0:
        return ()
    if difference in hashes:
        return (difference,)
    for each in hashes:
        if difference ^ each in hashes:
            return (each, difference ^ each)
    return None
