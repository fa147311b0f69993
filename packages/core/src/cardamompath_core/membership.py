"""Gossip membership: what the instances know of each other.

Only an instance itself increments its heartbeat counter.  Of two entries
for one incarnation, the one with the higher counter is newer; with equal
counters, the one with the graver status is.  Any entry with a higher
counter refutes a suspicion.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import types

__all__ = [
    "FAILURES_TO_SUSPECT",
    "MAX_MEMBERS",
    "RUMOURS_PER_DIGEST",
    "STATUSES",
    "Digest",
    "Entry",
    "Member",
    "choose_probe",
    "choose_rumours",
    "choose_targets",
    "is_newer",
    "make_bitmap",
    "read_bitmap",
]

STATUSES: tuple[types.PeerStatus, ...] = (
    "alive",
    "suspect",
    "leaving",
    "dead",
)
"""All statuses, in order of increasing gravity."""

RUMOURS_PER_DIGEST = 3
"""Number of entries on other instances that a digest carries."""

MAX_MEMBERS = 1024
"""Maximum number of instances kept, including dead ones."""

PRIORITY_SENDS = 8
"""Number of digests in which a changed entry takes precedence."""

FAILURES_TO_SUSPECT = 3
"""Consecutive failed exchanges after which an instance is suspect."""

PROBE_SUSPECT_AFTER = 6.0
"""Seconds after which a suspicion reported by peers is probed."""

PROBE_DEAD_PROBABILITY = 0.125
"""Share of gossip rounds that also probe an instance marked dead."""


class Entry(NamedTuple):
    """Gossiped state of an instance."""

    incarnation: str
    host: str
    port: int
    status: types.PeerStatus = "alive"
    heartbeat: int = 0
    load: types.LoadHint = types.LoadHint()
    revision: int = 0


class Digest(NamedTuple):
    """Message that an instance sends in a gossip exchange."""

    own: Entry
    offset: int
    fingerprint: str
    """Hash of the current configuration, in hexadecimal digits."""
    leaving: bytes
    """Bitmap of the leaving backend servers in that configuration."""
    rumours: tuple[Entry, ...] = ()
    """Entries on other instances."""


class Member(NamedTuple):
    """State of another instance as seen by this one."""

    entry: Entry
    changed_at: float
    """Time of the last change of status."""
    sends: int = 0
    """Number of digests that carried the entry since then."""
    failures: int = 0
    """Number of consecutive failed exchanges."""
    retry_at: float = 0.0
    """Earliest time of the next exchange after a failure."""


def is_newer(entry: Entry, known: Entry) -> bool:
    """Return whether an entry supersedes the known one."""
    return _order(entry) > _order(known)


def _order(entry):
    return (entry.heartbeat, STATUSES.index(entry.status))


def choose_rumours(
    members: Iterable[Member], count: int, rng: random.Random
) -> list[Member]:
    """Return the members whose entries go into a digest.

    Members whose status changed recently come first, in order of the
    number of digests that have carried them; the others follow in random
    order.
    """
    ranked = [
        (min(member.sends, PRIORITY_SENDS), rng.random(), member)
        for member in members
        if member.sends < PRIORITY_SENDS or member.entry.status != "dead"
    ]
    ranked.sort(key=lambda item: item[:2])
    return [chosen for _, _, chosen in ranked[:count]]


def choose_targets(
    members: Sequence[Member],
    unknown: Sequence[tuple[str, int]],
    count: int,
    now: float,
    rng: random.Random,
) -> list[tuple[str, int]]:
    """Return the addresses to exchange digests with in this round.

    Parameters
    ----------
    members : sequence of Member
        The known instances.
    unknown : sequence of (str, int)
        Addresses from the settings and the platform's list, without those
        that were unreachable recently.
    count : int
        Number of addresses to choose.
    now : float
        Current time in seconds.
    rng : random.Random
        Source of randomness.
    """
    by_address = {_address(member): member for member in members}
    reachable = {
        address
        for address, member in by_address.items()
        if member.entry.status != "dead" and member.failures == 0
    }
    reachable |= set(unknown) - by_address.keys()
    dead = sorted(
        address
        for address, member in by_address.items()
        if member.entry.status == "dead" and member.retry_at <= now
    )
    targets = rng.sample(sorted(reachable), min(count, len(reachable)))
    if dead and (not targets or rng.random() < PROBE_DEAD_PROBABILITY):
        targets.append(rng.choice(dead))
    return targets


def _address(member):
    return (member.entry.host, member.entry.port)


def choose_probe(members: Iterable[Member], now: float) -> Member | None:
    """Return the member to probe next, if any is due.

    A member is due after a failed exchange, or when peers have suspected
    it for `PROBE_SUSPECT_AFTER` seconds.
    """
    due = [member for member in members if _needs_probe(member, now)]
    return min(due, key=lambda member: member.retry_at, default=None)


def _needs_probe(member, now):
    if member.retry_at > now:
        return False
    status = member.entry.status
    if member.failures > 0:
        return status != "dead"
    return (
        status == "suspect" and now - member.changed_at >= PROBE_SUSPECT_AFTER
    )


def make_bitmap(names: Sequence[str], marked: Iterable[str]) -> bytes:
    """Return a bitmap over the names with the bits of marked ones set.

    Bit 0 of the first byte stands for the first name; zero bytes at the
    end are omitted.
    """
    positions = {name: position for position, name in enumerate(names)}
    bits = 0
    for name in marked:
        if name in positions:
            bits |= 1 << positions[name]
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def read_bitmap(names: Sequence[str], bitmap: bytes) -> frozenset[str]:
    """Return the names whose bits are set in a bitmap."""
    bits = int.from_bytes(bitmap, "little")
    return frozenset(
        name for position, name in enumerate(names) if bits >> position & 1
    )
