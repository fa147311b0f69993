"""Marks on backend servers that are leaving and receive no new work.

A mark consists of the name of a backend server and the revision that
added or last changed it.  Within a revision marks are only added, so that
outdated information cannot undo one.  A release note that changes the
backend server starts a new revision without a mark.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import membership
from cardamompath_core import types

__all__ = [
    "LeavingState",
    "Mark",
    "add_marks",
    "apply_configuration",
    "apply_instance_list",
    "make_bitmap",
    "marks_for",
    "read_bitmap",
]

MAX_LAYOUTS = 8
"""Number of recent configurations whose bitmaps can be decoded."""

Mark = tuple[str, int]
"""Name of a backend server, and the revision that last changed it."""

Layout = tuple[Mark, ...]
"""All backend servers of a configuration in order of their names, which
is the order of the bits in a bitmap."""


class LeavingState(NamedTuple):
    """Marks, and the data needed to decode the bitmaps of peers."""

    fingerprint: str = "0" * 16
    """Hash of the current configuration."""
    layouts: tuple[tuple[str, Layout], ...] = ()
    """Fingerprints and layouts of recent configurations, the current one
    last."""
    addresses: tuple[tuple[str, str, int], ...] = ()
    """Name, host and port of each backend server."""
    marks: frozenset[Mark] = frozenset()
    listed: frozenset[str] = frozenset()
    """Backend servers that the platform's latest list shows as leaving."""
    stale: frozenset[str] = frozenset()
    """Those of them that a release note has changed since they were
    listed, so that the listing no longer counts."""


def apply_configuration(
    state: LeavingState, cfg: types.Configuration, fingerprint: str
) -> LeavingState:
    """Return the state under a newer configuration."""
    layout = tuple((backend.name, backend.since) for backend in cfg.backends)
    before = frozenset(_layout(state))
    changed = {name for name, _ in frozenset(layout) - before}
    known = {name for name, _ in before}
    stale = (state.stale | (changed & known & state.listed)) & _names(layout)
    configured = {
        (backend.name, backend.since)
        for backend in cfg.backends
        if backend.leaving
    }
    return state._replace(
        fingerprint=fingerprint,
        layouts=(*state.layouts, (fingerprint, layout))[-MAX_LAYOUTS:],
        addresses=tuple(
            (backend.name, backend.host, backend.port)
            for backend in cfg.backends
        ),
        marks=(state.marks & frozenset(layout)) | configured,
        stale=stale,
    )


def _layout(state) -> Layout:
    return state.layouts[-1][1] if state.layouts else ()


def _names(layout):
    return frozenset(name for name, _ in layout)


def add_marks(state: LeavingState, marks: Iterable[Mark]) -> LeavingState:
    """Add those marks that apply to the current configuration."""
    added = frozenset(marks) & frozenset(_layout(state))
    return state._replace(marks=state.marks | added)


def marks_for(state: LeavingState, names: Iterable[str]) -> frozenset[Mark]:
    """Return the marks for backend servers given by name."""
    selected = frozenset(names)
    return frozenset(mark for mark in _layout(state) if mark[0] in selected)


def apply_instance_list(
    state: LeavingState, entries: Sequence[types.InstanceEntry]
) -> tuple[LeavingState, frozenset[Mark]]:
    """Apply the platform's list; return the state and the marks in it.

    An entry refers to a backend server with the same name or the same
    address.  An entry that dates from before a release note brought the
    backend server back yields no mark.
    """
    leaving = [entry for entry in entries if _is_leaving(entry)]
    names = {entry.name for entry in leaving}
    addresses = {(entry.host, entry.port) for entry in leaving}
    listed = frozenset(
        name
        for name, host, port in state.addresses
        if name in names or (host, port) in addresses
    )
    stale = state.stale & listed
    state = state._replace(listed=listed, stale=stale)
    return state, marks_for(state, listed - stale)


def _is_leaving(entry):
    return entry.role == "backend" and entry.state == "leaving"


def make_bitmap(state: LeavingState) -> bytes:
    """Return a bitmap of the marks in the current configuration."""
    names = [name for name, _ in _layout(state)]
    return membership.make_bitmap(names, _names(state.marks))


def read_bitmap(
    state: LeavingState, fingerprint: str, bitmap: bytes
) -> frozenset[Mark]:
    """Return the marks in the bitmap of another instance.

    The result is empty if the configuration with the given fingerprint is
    not known here.
    """
    layout = dict(state.layouts).get(fingerprint, ())
    names = [name for name, _ in layout]
    marked = membership.read_bitmap(names, bitmap)
    return frozenset(mark for mark in layout if mark[0] in marked)
