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
    "Batch",
    "JournalState",
    "JournalSettings",
    "Own",
    "is_following",
    "record_id",
]


class JournalSettings(NamedTuple):
    """Times and budget of the journal."""

    lease: leases.LeaseTimes = leases.LeaseTimes()
    commit_interval: float = 0.5
    """Least seconds between two commits."""
    append_budget: float = 40.0
    """Appends a second that all instances together may make."""
    settlement_ttl: float = 900.0
    """Seconds for which the fate of a job is kept."""
    incarnation_ttl: float = 1200.0
    """Seconds for which a replaced incarnation is renewed: the time of
    an open identifier, the longest job and the time of its answer."""


class Own:
    """One incarnation of this process."""

    __slots__ = (
        "asked",
        "dead",
        "lapsed",
        "leased",
        "renewed",
        "replaced",
        "until",
    )

    def __init__(self):
        self.until = leases.FOREVER
        self.renewed = leases.NEVER
        """When the last renewal that is in the log was sent."""
        self.leased = False
        """Whether an announcement is in the log, or may be."""
        self.asked = leases.NEVER
        """When a renewal was sent last."""
        self.lapsed = False
        self.dead = False
        self.replaced = leases.FOREVER
        """When another incarnation took over the issue of identifiers."""


class Batch(NamedTuple):
    """The append in flight."""

    records: tuple[dict[str, Any], ...]
    sent: float
    offset: int
    """First offset that the records may have got."""
    jobs: dict[str, journal_fold.Progress]
    first_announced: frozenset[str]
    """Incarnations that were never announced before."""


class JournalState:
    """Leases, the fold over the journal, and what is to be appended."""

    def __init__(
        self,
        owner: identity.Incarnation,
        draw: Callable[[], str],
        settings: JournalSettings,
    ):
        self.settings = settings
        self.draw = draw
        self.place = (owner.domain, owner.instance)
        self.prefix = owner.nonce
        self.sequence = 0
        self.owner = identity.format_incarnation(owner)
        self.own = {self.owner: Own()}
        self.ledger = journal_fold.Ledger()
        self.heard: dict[str, float] = {}
        self.read_at = leases.NEVER
        self.at_head = False
        self.marks: collections.deque = collections.deque()
        self.batch: Batch | None = None
        self.reading_back = False
        """Whether the answer of the append in flight was lost."""
        self.read_asked = False
        self.sent: dict[str, float] = {}
        self.progress: dict[str, journal_fold.Progress] = {}
        self.asked: dict[str, float] = {}
        """When a job of an owner that is not known to be dead was asked
        for first."""
        self.claims: dict[str, messages.Claim] = {}
        """Claims that wait for an append."""
        self.claiming: dict[str, messages.Claim] = {}
        """Claims that were sent, but not read yet."""


def is_following(state: JournalState, now: float) -> bool:
    """Return whether the log was read up to its head a moment ago."""
    fresh = state.settings.lease.duration / 3.0
    return state.at_head and now - state.read_at <= fresh


def record_id(state: JournalState) -> str:
    """Return a record identifier that no other record has."""
    state.sequence += 1
    return f"{state.prefix}-{state.sequence}"
