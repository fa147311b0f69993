"""Reads the configuration stream of the log, and appends notes to it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from cardamompath_core import config_fold
from cardamompath_core import types
from cardamompathd.recordlog import errors
from cardamompathd.recordlog import log_client

__all__ = [
    "STREAM",
    "AppendResult",
    "NoteLog",
    "append",
    "read",
]

STREAM = "configuration"


class NoteLog(NamedTuple):
    """The retained records of the configuration stream, folded."""

    state: config_fold.FoldState
    outcomes: tuple[config_fold.NoteOutcome, ...]
    """Outcomes of the retained notes, where the fold could decide them."""
    undecided: tuple[tuple[int, Any], ...]
    """Offset and record of each note whose outcome cannot be decided: it
    precedes the first snapshot, or follows a gap that no snapshot closes."""
    history: dict[int, types.Configuration]
    """The configuration by revision, for each revision that is known."""
    head: int
    """Offset of the next append."""


class AppendResult(NamedTuple):
    """Offset of an appended record; None if the outcome is not known."""

    offset: int | None


def read(client: log_client.LogClient, wait: float = 0.0) -> NoteLog:
    """Read and fold the whole retained stream.

    Raises
    ------
    LogUnavailable
        If the log cannot be read.
    """
    state = config_fold.FoldState()
    history = {0: state.cfg}
    outcomes: list[config_fold.NoteOutcome] = []
    notes = []
    head = 0
    for offset, record, oldest, head in _records(client, wait):
        if record is None:
            state = config_fold.read_records(state, (), oldest, head).state
            continue
        entry = ((offset, record),)
        folded = config_fold.read_records(state, entry, oldest, offset + 1)
        state = folded.state
        outcomes += folded.outcomes
        history[state.cfg.revision] = state.cfg
        if isinstance(record, dict) and record.get("kind") == "note":
            notes.append((offset, record))
    decided = {outcome.offset for outcome in outcomes}
    undecided = tuple(note for note in notes if note[0] not in decided)
    return NoteLog(state, tuple(outcomes), undecided, history, head)


def _records(client, wait) -> Iterator[tuple[int, Any, int, int]]:
    first = 0
    while True:
        page = client.read(STREAM, first, wait)
        for offset, record in page.records:
            yield offset, record, page.oldest, page.head
        if not page.records:
            yield -1, None, page.oldest, page.head
            return
        first = page.records[-1][0] + 1
        if first >= page.head:
            return


def append(
    client: log_client.LogClient, record: dict[str, Any], head: int, tries: int
) -> AppendResult:
    """Append a record once; look for it in the log if the answer is lost.

    Parameters
    ----------
    client : LogClient
        Client of the log.
    record : dict
        Record with a unique ``id``.
    head : int
        Offset at which the search for the record begins.
    tries : int
        Number of reads, of a second at most each, of the search.

    Raises
    ------
    LogUnavailable
        If the log certainly did not append it.
    """
    try:
        return AppendResult(client.append(STREAM, [record]))
    except errors.AppendOutcomeUnknown:
        return AppendResult(_find_record(client, record["id"], head, tries))


def _find_record(client, record_id, head, tries):
    for _ in range(tries):
        try:
            page = client.read(STREAM, head, 1.0)
        except errors.LogUnavailable:
            continue
        for offset, record in page.records:
            if isinstance(record, dict) and record.get("id") == record_id:
                return offset
        if page.records:
            head = page.records[-1][0] + 1
    return None
