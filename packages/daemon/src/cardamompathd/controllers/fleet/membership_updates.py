"""Updates of the member table.

The functions change the state of the membership controller.
"""

from __future__ import annotations

from cardamompath_core import membership

__all__ = [
    "MAX_BACKOFF",
    "expire_members",
    "increment_heartbeat",
    "mark_predecessors_dead",
    "merge_entry",
    "record_failure",
]

SUSPECT_TIMEOUT = 18.0
"""Seconds after which a suspect instance counts as dead.

Exchanges of this instance with it must have failed as well.
"""

DEAD_RETENTION = 600.0
"""Seconds for which a dead instance is kept in the table."""

MAX_BACKOFF = 30.0
"""Maximum time until an unreachable instance is called again, in
seconds."""

BACKOFF_BASE = 2.0
"""Seconds until the next call after two failures in a row.

They double with each further failure.
"""


def increment_heartbeat(state):
    """Increment the heartbeat counter of this instance."""
    state.own = state.own._replace(heartbeat=state.own.heartbeat + 1)


def expire_members(state, now):
    """Mark silent instances dead, and drop those that are long dead.

    Parameters
    ----------
    state : MembershipState
        State of the membership controller.
    now : float
        The present time in seconds.
    """
    for key, member in list(state.members.items()):
        status = member.entry.status
        since = now - member.changed_at
        is_silent = status == "suspect" or status == "leaving"
        is_silent = is_silent and member.failures > 0
        if is_silent and since > SUSPECT_TIMEOUT:
            _set_status(state, key, "dead", now)
        elif status == "dead" and since > DEAD_RETENTION:
            del state.members[key]


def _set_status(state, key, status, now):
    member = state.members[key]
    entry = member.entry._replace(status=status)
    state.members[key] = member._replace(entry=entry, changed_at=now, sends=0)


def record_failure(state, address, now):
    """Record a failed exchange with an address.

    Parameters
    ----------
    state : MembershipState
        State of the membership controller.
    address : (str, int)
        Host and port that were called.
    now : float
        The present time in seconds.
    """
    if address in (*state.seeds, *state.listed):
        backoff = MAX_BACKOFF * state.rng.uniform(0.8, 1.2)
        state.unreachable[address] = now + backoff
    for key, member in list(state.members.items()):
        if (member.entry.host, member.entry.port) != address:
            continue
        failures = member.failures + 1
        delay = min(MAX_BACKOFF, BACKOFF_BASE * 2.0 ** (failures - 2))
        state.members[key] = member._replace(
            failures=failures,
            retry_at=now + delay * state.rng.uniform(0.8, 1.2),
        )
        is_suspect = failures >= membership.FAILURES_TO_SUSPECT
        if is_suspect and member.entry.status == "alive":
            _set_status(state, key, "suspect", now)


def mark_predecessors_dead(state, own, now):
    """Mark other incarnations at an incarnation's address dead.

    Parameters
    ----------
    state : MembershipState
        State of the membership controller.
    own : Entry
        Entry of the peer that sent a digest.
    now : float
        The present time in seconds.
    """
    for key, member in list(state.members.items()):
        entry = member.entry
        same_address = (entry.host, entry.port) == (own.host, own.port)
        if same_address and key != own.incarnation and entry.status != "dead":
            _set_status(state, key, "dead", now)


def merge_entry(state, entry, now):
    """Store an entry if it is newer, or refute it if it is our own.

    Parameters
    ----------
    state : MembershipState
        State of the membership controller.
    entry : Entry
        An entry that a peer sent.
    now : float
        The present time in seconds.
    """
    if entry.incarnation == state.own.incarnation:
        if entry.heartbeat >= state.own.heartbeat:
            heartbeat = entry.heartbeat + 1
            state.own = state.own._replace(heartbeat=heartbeat)
        return
    member = state.members.get(entry.incarnation)
    if member is None:
        if entry.status == "dead" or not _make_room(state):
            return
        state.members[entry.incarnation] = membership.Member(entry, now)
    elif membership.is_newer(entry, member.entry):
        updated = member._replace(entry=entry)
        if entry.status != member.entry.status:
            updated = updated._replace(changed_at=now, sends=0)
        state.members[entry.incarnation] = updated


def _make_room(state):
    if len(state.members) < membership.MAX_MEMBERS:
        return True
    for key, member in state.members.items():
        if member.entry.status == "dead":
            del state.members[key]
            return True
    return False
