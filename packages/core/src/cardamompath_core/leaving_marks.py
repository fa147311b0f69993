"""Which backend servers get no new work.

A mark names a backend server and the revision that last added or
changed it.  Marks of a revision are only ever added, so that no older
sign takes one back; a note that changes the backend server begins anew
without one.
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
"""Configurations whose bitmaps can be read."""

Mark = tuple[str, int]
"""Name of a backend server, and the revision that last touched it."""

Layout = tuple[Mark, ...]
"""Every backend server of a configuration, in order of its name."""


class LeavingState(NamedTuple):
    """The marks, and what is needed to read those of others."""

    fingerprint: str = "0" * 16
    """Hash of the configuration in force."""
    layouts: tuple[tuple[str, Layout], ...] = ()
    """The newest configurations, the one in force last."""
    addresses: tuple[tuple[str, str, int], ...] = ()
    """Name, host and port of each backend server."""
    marks: frozenset[Mark] = frozenset()
    listed: frozenset[str] = frozenset()
    """Those that the platform's list called leaving last."""
    stale: frozenset[str] = frozenset()
    """Those whose leaving in the platform's list is older than they."""


def apply_configuration(
    state: LeavingState, cfg: types.Configuration, fingerprint: str
) -> LeavingState:
    """Take over a newer configuration."""
    layout = tuple((one.name, one.since) for one in cfg.backends)
    before = frozenset(_layout(state))
    renewed = {name for name, _ in frozenset(layout) - before}
    known = {name for name, _ in before}
    stale = (state.stale | (renewed & known & state.listed)) & _names(layout)
    own = {(one.name, one.since) for one in cfg.backends if one.leaving}
    return state._replace(
        fingerprint=fingerprint,
        layouts=(*state.layouts, (fingerprint, layout))[-MAX_LAYOUTS:],
        addresses=tuple(
            (one.name, one.host, one.port) for one in cfg.backends
        ),
        marks=(state.marks & frozenset(layout)) | own,
        stale=stale,
    )


def _layout(state) -> Layout:
    return state.layouts[-1][1] if state.layouts else ()


def _names(layout):
    return frozenset(name for name, _ in layout)


def add_marks(state: LeavingState, marks: Iterable[Mark]) -> LeavingState:
    """Add the marks that belong to the configuration in force."""
    added = frozenset(marks) & frozenset(_layout(state))
    return state._replace(marks=state.marks | added)


def marks_for(state: LeavingState, names: Iterable[str]) -> frozenset[Mark]:
    """Return the marks of backend servers by name."""
    wanted = frozenset(names)
    return frozenset(one for one in _layout(state) if one[0] in wanted)


def apply_instance_list(
    state: LeavingState, entries: Sequence[types.InstanceEntry]
) -> tuple[LeavingState, frozenset[Mark]]:
    """Read the platform's list; return the state and the marks seen.

    An entry is that of a backend server when the name or the address is
    the same.  While the list still shows what was before a note brought
    a backend server back, it makes no mark.
    """
    gone = [one for one in entries if _is_leaving(one)]
    names = {one.name for one in gone}
    places = {(one.host, one.port) for one in gone}
    listed = frozenset(
        name
        for name, host, port in state.addresses
        if name in names or (host, port) in places
    )
    stale = state.stale & listed
    state = state._replace(listed=listed, stale=stale)
    return state, marks_for(state, listed - stale)


def _is_leaving(entry):
    return entry.role == "backend" and entry.state == "leaving"


def make_bitmap(state: LeavingState) -> bytes:
    """Return a bit for each backend server in force, set when marked."""
    names = [name for name, _ in _layout(state)]
    return membership.make_bitmap(names, _names(state.marks))


def read_bitmap(
    state: LeavingState, fingerprint: str, bitmap: bytes
) -> frozenset[Mark]:
    """Return the marks in the bitmap of another instance.

    It is empty when the other's configuration is not known here.
    """
    layout = dict(state.layouts).get(fingerprint, ())
    names = [name for name, _ in layout]
    marked = membership.read_bitmap(names, bitmap)
    return frozenset(one for one in layout if one[0] in marked)
