"""State of the journal controller."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cardamompath_core import identity
from cardamompath_core import journal_fold
from cardamompath_core import leases
from cardamompathd import messages

__all__ = [
    "JournalSettings",
    "JournalState",
    "OwnLease",
    "PendingAppend",
    "is_following",
    "make_record_id",
]


class JournalSettings(NamedTuple):
    """Times and append budget of the journal."""

    lease: leases.LeaseTimes = leases.LeaseTimes()
    commit_interval: float = 0.5
    """Minimum number of seconds between two commits."""
    append_budget: float = 40.0
    """Appends per second that all instances may make together."""
    settlement_ttl: float = 900.0
    """Seconds for which the journalled progress of a job is kept."""
    incarnation_ttl: float = 1200.0
    """Seconds for which a replaced incarnation is still renewed: the sum
    of the times for which an identifier is open, the longest job may run
    and its answer is kept."""


class OwnLease:
    """The lease of one incarnation of this process."""

    __slots__ = (
        "announced",
        "dead",
        "end",
        "lapsed",
        "renewal_sent_at",
        "renewed_at",
        "replaced_at",
    )

    def __init__(self):
        self.end = leases.FOREVER
        """Time before which the incarnation may start tasks."""
        self.renewed_at = leases.NEVER
        """Time at which the last renewal known to be in the log was sent."""
        self.announced = False
        """Whether the log has an announcement, or may have one."""
        self.renewal_sent_at = leases.NEVER
        """Time at which the last renewal was sent."""
        self.lapsed = False
        self.dead = False
        """Whether the journal declares the incarnation dead."""
        self.replaced_at = leases.FOREVER
        """Time since which another incarnation issues the identifiers."""


class PendingAppend(NamedTuple):
    """The append in flight."""

    records: tuple[dict[str, Any], ...]
    sent_at: float
    offset: int
    """Lowest offset that the records can have."""
    progress: dict[str, journal_fold.Progress]
    newly_announced: frozenset[str]
    """Incarnations that this append announces for the first time."""


class JournalState:
    """Own leases, the fold over the journal, and records to append."""

    def __init__(
        self,
        owner: identity.Incarnation,
        draw_nonce: Callable[[], str],
        settings: JournalSettings,
    ):
        self.settings = settings
        self.draw_nonce = draw_nonce
        self.instance_id = (owner.domain, owner.instance)
        self.record_prefix = owner.nonce
        self.record_count = 0
        """Number of record identifiers that were made."""
        self.owner = identity.format_incarnation(owner)
        """The incarnation that issues identifiers."""
        self.own_leases = {self.owner: OwnLease()}
        self.ledger = journal_fold.Ledger()
        self.renewal_read_times: dict[str, float] = {}
        """Time at which the last renewal of each incarnation was read."""
        self.last_read = leases.NEVER
        """Time of the last read from the log."""
        self.at_head = False
        """Whether that read reached the head."""
        self.offset_history: collections.deque = collections.deque()
        """Time of each commit and the next offset at that time."""
        self.pending_append: PendingAppend | None = None
        self.outcome_unknown = False
        """Whether the answer to the append in flight was lost."""
        self.read_back_in_flight = False
        self.renewal_send_times: dict[str, float] = {}
        """By record identifier."""
        self.progress: dict[str, journal_fold.Progress] = {}
        """Progress that waits for an append, by job."""
        self.first_request_times: dict[str, float] = {}
        """Time of the first request for a job whose owner is not known to
        be dead."""
        self.queued_claims: dict[str, messages.Claim] = {}
        """Claims that wait for an append, by name."""
        self.sent_claims: dict[str, messages.Claim] = {}
        """Claims that were appended but not read yet, by name."""


def is_following(state: JournalState, now: float) -> bool:
    """Return whether the log was read to its head a short time ago."""
    max_age = state.settings.lease.duration / 3.0
    return state.at_head and now - state.last_read <= max_age


def make_record_id(state: JournalState) -> str:
    """Return a new record identifier, unique among all records."""
    state.record_count += 1
    return f"{state.record_prefix}-{state.record_count}"
