"""The configuration's stream as the command line reads it."""

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
    "Appended",
    "NoteLog",
    "append",
    "read",
]

STREAM = "configuration"


class NoteLog(NamedTuple):
    """The retained stream and its fold."""

    state: config_fold.FoldState
    outcomes: tuple[config_fold.NoteOutcome, ...]
    """Outcome of each retained note that could be judged."""
    unjudged: tuple[tuple[int, Any], ...]
    """Notes behind a gap that no snapshot closes, or before one."""
    history: dict[int, types.Configuration]
    """The configuration at each revision since the first known one."""
    head: int


class Appended(NamedTuple):
    """What became of an append; without an offset it is not known."""

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
        one = ((offset, record),)
        folded = config_fold.read_records(state, one, oldest, offset + 1)
        state = folded.state
        outcomes += folded.outcomes
        history[state.cfg.revision] = state.cfg
        if isinstance(record, dict) and record.get("kind") == "note":
            notes.append((offset, record))
    judged = {one.offset for one in outcomes}
    unjudged = tuple(one for one in notes if one[0] not in judged)
    return NoteLog(state, tuple(outcomes), unjudged, history, head)


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
) -> Appended:
    """Append a record once, and read back when the answer is lost.

    Parameters
    ----------
    client : LogClient
        The log.
    record : dict
        A record with a unique ``id``.
    head : int
        Offset from which it is looked for.
    tries : int
        Reads of a second each that look for it.

    Raises
    ------
    LogUnavailable
        If the log certainly did not append it.
    """
    try:
        return Appended(client.append(STREAM, [record]))
    except errors.AppendOutcomeUnknown:
        return Appended(_find(client, record["id"], head, tries))


def _find(client, wanted, head, tries):
    for _ in range(tries):
        try:
            page = client.read(STREAM, head, 1.0)
        except errors.LogUnavailable:
            continue
        for offset, record in page.records:
            if isinstance(record, dict) and record.get("id") == wanted:
                return offset
        if page.records:
            head = page.records[-1][0] + 1
    return None
