"""Renewal of the own leases, and death records for silent peers."""

from __future__ import annotations

from typing import Any

from cardamompath_core import identity
from cardamompath_core import journal_fold
from cardamompath_core import leases
from cardamompathd import messages
from cardamompathd.controllers.journal import journal_store

__all__ = [
    "apply_renewal",
    "begin_leases",
    "check_leases",
    "end_dead_leases",
    "end_leases_after_gap",
    "make_deaths",
    "make_renewals",
    "mark_lapsed",
    "undo_announcements",
]

RENEWAL_RETRY_SHARE = 1.0 / 6.0
"""Share of the lease's duration after which a renewal that was not read
back is sent again."""


def check_leases(
    state: journal_store.JournalState, now: float
) -> list[messages.Send]:
    """Mark own leases that lapsed; begin a new incarnation in time.

    When the renewal of the current incarnation is overdue, identifiers are
    issued under a new one, so that a lapse does not stop jobs that are
    submitted from then on.
    """
    sends = []
    for owner, lease in state.own_leases.items():
        if not lease.lapsed and not leases.may_start(lease.end, now):
            lease.lapsed = True
            sends += _make_lease_changes(owner, leases.NEVER)
    current = state.own_leases[state.owner]
    overdue = leases.is_renewal_overdue(
        current.renewed_at, state.settings.lease, now
    )
    if current.lapsed or (current.announced and overdue):
        sends += _begin_incarnation(state, now)
    return sends


def _make_lease_changes(owner, lease_end):
    changed = messages.LeaseChanged(owner, lease_end)
    return [
        messages.Send(messages.JOBS, changed),
        messages.Send(messages.BACKENDS, changed),
    ]


def _begin_incarnation(state, now):
    state.own_leases[state.owner].replaced_at = now
    owner = identity.Incarnation(*state.instance_id, state.draw_nonce())
    state.owner = identity.format_incarnation(owner)
    state.own_leases[state.owner] = journal_store.OwnLease()
    changed = messages.OwnerChanged(state.owner)
    return [messages.Send(messages.JOBS, changed)]


def begin_leases(
    state: journal_store.JournalState, owners: frozenset[str], now: float
) -> list[messages.Send]:
    """Start the leases of incarnations that are about to be announced.

    An announcement may be in the log from the moment it is sent.
    """
    sends = []
    for owner in owners:
        lease = state.own_leases[owner]
        lease.announced = True
        lease.renewed_at = now
        lease.end = leases.lease_end(now, state.settings.lease)
        sends += _make_lease_changes(owner, lease.end)
    return sends


def undo_announcements(
    state: journal_store.JournalState,
) -> list[messages.Send]:
    """Undo the announcements of an append that the log refused."""
    sends = []
    for owner in state.pending_append.newly_announced:
        lease = state.own_leases.get(owner)
        if lease is not None and not lease.lapsed:
            lease.announced = False
            lease.renewed_at = leases.NEVER
            lease.end = leases.FOREVER
            sends += _make_lease_changes(owner, leases.FOREVER)
    return sends


def make_renewals(
    state: journal_store.JournalState, now: float
) -> tuple[list[dict[str, Any]], frozenset[str]]:
    """Return the renewals that are due and the newly announced owners."""
    records = []
    newly_announced = set()
    following = journal_store.is_following(state, now)
    for owner, lease in state.own_leases.items():
        if lease.dead or not _is_renewal_due(lease, state.settings.lease, now):
            continue
        if not lease.announced and not following:
            # Without reads the announcement would not be seen in time, and
            # its lease would lapse.
            continue
        if not lease.announced:
            newly_announced.add(owner)
        lease.renewal_sent_at = now
        is_announced = owner in state.ledger.incarnations
        make_record = (
            journal_fold.make_renewal
            if is_announced
            else journal_fold.make_announcement
        )
        record = make_record(owner, journal_store.make_record_id(state))
        state.renewal_send_times[record["id"]] = now
        records.append(record)
    return records, frozenset(newly_announced)


def _is_renewal_due(lease, times, now):
    if now - lease.renewal_sent_at < times.duration * RENEWAL_RETRY_SHARE:
        return False
    return leases.is_renewal_due(lease.renewed_at, times, now)


def make_deaths(
    state: journal_store.JournalState, now: float
) -> list[dict[str, Any]]:
    """Return death records for peers whose lease was not renewed.

    None are made unless the log was read to its head recently: a renewal
    that was not read yet would be missed.
    """
    if not journal_store.is_following(state, now):
        return []
    read_offset = state.ledger.offset
    return [
        journal_fold.make_death(
            owner, read_offset, journal_store.make_record_id(state)
        )
        for owner in journal_fold.live_owners(state.ledger)
        if owner not in state.own_leases
        and leases.may_declare_dead(
            state.renewal_read_times[owner], state.settings.lease, now
        )
    ]


def apply_renewal(
    state: journal_store.JournalState, record: dict[str, Any], now: float
) -> list[messages.Send]:
    """Apply a renewal that was read; an own one extends the lease.

    The lease runs from the time at which the renewal was sent, which is
    before any peer can have read it.
    """
    owner = record["owner"]
    if state.ledger.incarnations[owner].dead:
        return []
    state.renewal_read_times[owner] = now
    lease = state.own_leases.get(owner)
    sent_at = state.renewal_send_times.pop(record.get("id"), None)
    if lease is None or (sent_at is None and lease.announced):
        return []
    lease.announced = True
    if sent_at is None:
        # The announcement was undone, yet it came into the log after its
        # lease had ended.
        lease.end = leases.NEVER
        return []
    lease.renewed_at = max(lease.renewed_at, sent_at)
    lease.end = leases.lease_end(lease.renewed_at, state.settings.lease)
    return _make_lease_changes(owner, lease.end)


def mark_lapsed(
    state: journal_store.JournalState, msg: messages.LeaseChanged, now: float
) -> list[messages.Send]:
    """Mark an own lease that the lease check found to have lapsed."""
    if msg.owner in state.own_leases:
        state.own_leases[msg.owner].lapsed = True
    return []


def end_leases_after_gap(
    state: journal_store.JournalState,
) -> list[messages.Send]:
    """End the announced leases after a gap in the log.

    The lost records may have declared the incarnations dead.
    """
    sends = []
    for owner, lease in state.own_leases.items():
        if lease.announced and not lease.lapsed:
            lease.end = leases.NEVER
            sends += _make_lease_changes(owner, leases.NEVER)
    return sends


def end_dead_leases(
    state: journal_store.JournalState,
) -> list[messages.Send]:
    """End the leases of own incarnations that were declared dead."""
    sends = []
    for owner, lease in state.own_leases.items():
        incarnation = state.ledger.incarnations.get(owner)
        if incarnation is not None and incarnation.dead and not lease.dead:
            lease.dead = lease.lapsed = True
            sends += _make_lease_changes(owner, leases.NEVER)
    return sends
