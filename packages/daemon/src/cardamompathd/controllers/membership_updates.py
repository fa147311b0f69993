"""Changes to what is known of the other instances.

The functions work on the state of the membership controller.
"""

from __future__ import annotations

from cardamompath_core import membership

__all__ = [
    "MAX_BACK_OFF",
    "age",
    "beat",
    "fail",
    "merge_entry",
    "replace_predecessors",
]

SUSPECT_TIME = 18.0
"""Seconds after which an instance that is suspect and does not answer
here either counts as dead."""

FORGET_TIME = 600.0
"""Seconds for which a dead instance is remembered."""

MAX_BACK_OFF = 30.0
"""Longest time until an instance that failed is called again, in s."""

RETRY = 2.0
"""Seconds by which the time until the next call grows, doubled each."""


def beat(state):
    """Raise the heartbeat counter of this instance."""
    state.own = state.own._replace(heartbeat=state.own.heartbeat + 1)


def age(state, now):
    """Count silent instances as dead, and forget the long dead."""
    for key, member in list(state.members.items()):
        status = member.entry.status
        since = now - member.changed_at
        silent = status == "suspect" or status == "leaving"
        silent = silent and member.failures > 0
        if silent and since > SUSPECT_TIME:
            _set_status(state, key, "dead", now)
        elif status == "dead" and since > FORGET_TIME:
            del state.members[key]


def _set_status(state, key, status, now):
    member = state.members[key]
    entry = member.entry._replace(status=status)
    state.members[key] = member._replace(entry=entry, changed_at=now, sends=0)


def fail(state, address, now):
    """Count an exchange that failed with an address."""
    if address in (*state.seeds, *state.listed):
        again = MAX_BACK_OFF * state.rng.uniform(0.8, 1.2)
        state.out_of_reach[address] = now + again
    for key, member in list(state.members.items()):
        if (member.entry.host, member.entry.port) != address:
            continue
        failures = member.failures + 1
        back_off = min(MAX_BACK_OFF, RETRY * 2.0 ** (failures - 2))
        state.members[key] = member._replace(
            failures=failures,
            retry_at=now + back_off * state.rng.uniform(0.8, 1.2),
        )
        enough = failures >= membership.SUSPECT_FAILURES
        if enough and member.entry.status == "alive":
            _set_status(state, key, "suspect", now)


def replace_predecessors(state, own, now):
    """End other incarnations at the address of one that answered."""
    for key, member in list(state.members.items()):
        entry = member.entry
        same = (entry.host, entry.port) == (own.host, own.port)
        if same and key != own.incarnation and entry.status != "dead":
            _set_status(state, key, "dead", now)


def merge_entry(state, entry, now):
    """Take over an entry when it is newer, or refute it."""
    if entry.incarnation == state.own.incarnation:
        if entry.heartbeat >= state.own.heartbeat:
            raised = entry.heartbeat + 1
            state.own = state.own._replace(heartbeat=raised)
        return
    known = state.members.get(entry.incarnation)
    if known is None:
        if entry.status == "dead" or not _make_place(state):
            return
        state.members[entry.incarnation] = membership.Member(entry, now)
    elif membership.is_newer(entry, known.entry):
        kept = known._replace(entry=entry)
        if entry.status != known.entry.status:
            kept = kept._replace(changed_at=now, sends=0)
        state.members[entry.incarnation] = kept


def _make_place(state):
    if len(state.members) < membership.MAX_MEMBERS:
        return True
    for key, member in state.members.items():
        if member.entry.status == "dead":
            del state.members[key]
            return True
    return False
