"""What instances know of each other.

Each instance raises its own heartbeat counter and is the only one that
does.  Of two entries of one incarnation the one with the higher counter
is newer; with equal counters the graver status is.  A suspicion is
refuted by any entry with a higher counter.
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
"""From the least to the gravest."""

RUMOURS_PER_DIGEST = 3
"""Entries of other instances in a digest."""

MAX_MEMBERS = 1024
"""Instances that are known at a time, dead ones included."""

SENDS = 8
"""Digests in which a changed entry goes before unchanged ones."""

FAILURES_TO_SUSPECT = 3
"""Exchanges that fail in a row before an instance is suspect."""

CHECK_AFTER = 6.0
"""Seconds after which a suspicion of others is checked by a call."""

DEAD_SHARE = 0.125
"""Share of rounds that also call an instance that counts as dead."""


class Entry(NamedTuple):
    """One instance, as instances tell each other of it."""

    incarnation: str
    host: str
    port: int
    status: types.PeerStatus = "alive"
    heartbeat: int = 0
    load: types.LoadHint = types.LoadHint()
    revision: int = 0


class Digest(NamedTuple):
    """What one instance tells another in an exchange."""

    own: Entry
    offset: int
    fingerprint: str
    """Hash of the configuration in force, in hexadecimal digits."""
    leaving: bytes
    """The leaving backend servers of that configuration, a bit each."""
    rumours: tuple[Entry, ...] = ()


class Member(NamedTuple):
    """What this instance knows of another."""

    entry: Entry
    changed_at: float
    """Time at which the status became what it is."""
    sends: int = 0
    """Digests that carried the entry since its status changed."""
    failures: int = 0
    """Exchanges that failed in a row."""
    retry_at: float = 0.0
    """Time from which it is called again after a failure."""


def is_newer(entry: Entry, known: Entry) -> bool:
    """Tell whether an entry goes before the one that is known."""
    return _order(entry) > _order(known)


def _order(entry):
    return (entry.heartbeat, STATUSES.index(entry.status))


def choose_rumours(
    members: Iterable[Member], count: int, rng: random.Random
) -> list[Member]:
    """Choose the members that a digest tells of.

    Members whose status changed lately go first, those that were told
    least often ahead; others follow at random.
    """
    ranked = [
        (min(one.sends, SENDS), rng.random(), one)
        for one in members
        if one.sends < SENDS or one.entry.status != "dead"
    ]
    ranked.sort(key=lambda item: item[:2])
    return [member for _, _, member in ranked[:count]]


def choose_targets(
    members: Sequence[Member],
    unknown: Sequence[tuple[str, int]],
    count: int,
    now: float,
    rng: random.Random,
) -> list[tuple[str, int]]:
    """Choose the addresses that this round calls.

    Parameters
    ----------
    members : sequence of Member
        The instances that are known.
    unknown : sequence of (str, int)
        Addresses from the settings and the platform's list that were not
        found out of reach lately.
    count : int
        Addresses to choose.
    now : float
        Present time in seconds.
    rng : random.Random
        Draws the choice.
    """
    known = {_address(one): one for one in members}
    near = {
        address
        for address, one in known.items()
        if one.entry.status != "dead" and one.failures == 0
    }
    near |= set(unknown) - known.keys()
    dead = sorted(
        address
        for address, one in known.items()
        if one.entry.status == "dead" and one.retry_at <= now
    )
    targets = rng.sample(sorted(near), min(count, len(near)))
    if dead and (not targets or rng.random() < DEAD_SHARE):
        targets.append(rng.choice(dead))
    return targets


def _address(member):
    return (member.entry.host, member.entry.port)


def choose_probe(members: Iterable[Member], now: float) -> Member | None:
    """Choose a member that has to be called again or checked, if any."""
    due = [one for one in members if _needs_check(one, now)]
    return min(due, key=lambda one: one.retry_at, default=None)


def _needs_check(member, now):
    if member.retry_at > now:
        return False
    status = member.entry.status
    if member.failures > 0:
        return status != "dead"
    return status == "suspect" and now - member.changed_at >= CHECK_AFTER


def make_bitmap(names: Sequence[str], marked: Iterable[str]) -> bytes:
    """Return a bit for each name, set for the marked ones."""
    places = {name: place for place, name in enumerate(names)}
    bits = 0
    for name in marked:
        if name in places:
            bits |= 1 << places[name]
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def read_bitmap(names: Sequence[str], bitmap: bytes) -> frozenset[str]:
    """Return the names whose bit is set."""
    bits = int.from_bytes(bitmap, "little")
    return frozenset(
        name for place, name in enumerate(names) if bits >> place & 1
    )
