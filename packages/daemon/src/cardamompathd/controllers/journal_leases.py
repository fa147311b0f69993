"""Renews the leases of this process, and declares silent peers dead."""

from __future__ import annotations

from typing import Any

from cardamompath_core import identity
from cardamompath_core import journal_fold
from cardamompath_core import leases
from cardamompathd import messages
from cardamompathd.controllers import journal_store

__all__ = [
    "begin_leases",
    "check_deaths",
    "check_leases",
    "death_records",
    "lapse",
    "lease_records",
    "miss_records",
    "renewal_read",
    "take_back",
]

RETRY = 1.0 / 6.0
"""Share of the lease after which a renewal that was not read is sent
again."""


def check_leases(
    state: journal_store.JournalState, now: float
) -> list[messages.Send]:
    """Notice own leases that lapsed or are renewed late."""
    sends = []
    for owner, own in state.own.items():
        if not own.lapsed and not leases.may_start(own.until, now):
            own.lapsed = True
            sends += _tell_lease(owner, leases.NEVER)
    current = state.own[state.owner]
    late = leases.is_renewal_overdue(
        current.renewed, state.settings.lease, now
    )
    if current.lapsed or (current.leased and late):
        sends += _begin_incarnation(state, now)
    return sends


def _tell_lease(owner, until):
    changed = messages.LeaseChanged(owner, until)
    return [
        messages.Send(messages.JOBS, changed),
        messages.Send(messages.BACKENDS, changed),
    ]


def _begin_incarnation(state, now):
    state.own[state.owner].replaced = now
    owner = identity.Incarnation(*state.place, state.draw())
    state.owner = identity.format_incarnation(owner)
    state.own[state.owner] = journal_store.Own()
    changed = messages.OwnerChanged(state.owner)
    return [messages.Send(messages.JOBS, changed)]


def begin_leases(
    state: journal_store.JournalState, owners: frozenset[str], now: float
) -> list[messages.Send]:
    """Start the leases of incarnations about to be announced."""
    sends = []
    for owner in owners:
        own = state.own[owner]
        own.leased = True
        own.renewed = now
        own.until = leases.lease_end(now, state.settings.lease)
        sends += _tell_lease(owner, own.until)
    return sends


def take_back(
    state: journal_store.JournalState,
) -> list[messages.Send]:
    """Undo the announcements that the log certainly did not take."""
    sends = []
    for owner in state.batch.first_announced:
        own = state.own.get(owner)
        if own is not None and not own.lapsed:
            own.leased = False
            own.renewed = leases.NEVER
            own.until = leases.FOREVER
            sends += _tell_lease(owner, leases.FOREVER)
    return sends


def lease_records(
    state: journal_store.JournalState, now: float
) -> tuple[list[dict[str, Any]], frozenset[str]]:
    """Make the renewals that are due; return the new incarnations too."""
    records = []
    first_announced = set()
    following = journal_store.is_following(state, now)
    for owner, own in state.own.items():
        if own.dead or not _is_renewal_due(own, state.settings.lease, now):
            continue
        if not own.leased and not following:
            # An announcement that is never read would only lapse.
            continue
        if not own.leased:
            first_announced.add(owner)
        own.asked = now
        known = owner in state.ledger.incarnations
        make = (
            journal_fold.make_renewal
            if known
            else journal_fold.make_announcement
        )
        record = make(owner, journal_store.record_id(state))
        state.sent[record["id"]] = now
        records.append(record)
    return records, frozenset(first_announced)


def _is_renewal_due(own, terms, now):
    if now - own.asked < terms.duration * RETRY:
        return False
    return leases.is_renewal_due(own.renewed, terms, now)


def death_records(
    state: journal_store.JournalState, now: float
) -> list[dict[str, Any]]:
    """Make the deaths of peers that were silent for too long."""
    if not journal_store.is_following(state, now):
        return []
    seen = state.ledger.offset
    return [
        journal_fold.make_death(owner, seen, journal_store.record_id(state))
        for owner in journal_fold.live_owners(state.ledger)
        if owner not in state.own
        and leases.may_declare_dead(
            state.heard[owner], state.settings.lease, now
        )
    ]


def renewal_read(
    state: journal_store.JournalState, record: dict[str, Any], now: float
) -> list[messages.Send]:
    """Take a renewal that was folded; an own one extends its lease."""
    owner = record["owner"]
    if state.ledger.incarnations[owner].dead:
        return []
    state.heard[owner] = now
    own = state.own.get(owner)
    sent = state.sent.pop(record.get("id"), None)
    if own is None or (sent is None and own.leased):
        return []
    own.leased = True
    if sent is None:
        # An announcement that was given up came late, after its lease.
        own.until = leases.NEVER
        return []
    own.renewed = max(own.renewed, sent)
    own.until = leases.lease_end(own.renewed, state.settings.lease)
    return _tell_lease(owner, own.until)


def lapse(
    state: journal_store.JournalState, msg: messages.LeaseChanged, now: float
) -> list[messages.Send]:
    """Take the word of the fence that an own lease lapsed."""
    if msg.owner in state.own:
        state.own[msg.owner].lapsed = True
    return []


def miss_records(
    state: journal_store.JournalState,
) -> list[messages.Send]:
    """End the own leases after a gap: it may have held their deaths."""
    sends = []
    for owner, own in state.own.items():
        if own.leased and not own.lapsed:
            own.until = leases.NEVER
            sends += _tell_lease(owner, leases.NEVER)
    return sends


def check_deaths(state: journal_store.JournalState) -> list[messages.Send]:
    """End the leases of own incarnations that were declared dead."""
    sends = []
    for owner, own in state.own.items():
        life = state.ledger.incarnations.get(owner)
        if life is not None and life.dead and not own.dead:
            own.dead = own.lapsed = True
            sends += _tell_lease(owner, leases.NEVER)
    return sends
