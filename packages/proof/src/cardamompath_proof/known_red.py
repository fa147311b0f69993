"""Reads the list of tests that fail for a known, unfixed fault.

``KNOWN-RED.txt`` at the root holds one entry per line: test, command and
seed, symptom and issue, separated by ``|``.
"""

from __future__ import annotations

import pathlib
from typing import NamedTuple

__all__ = [
    "Entry",
    "read",
]

FILE = "KNOWN-RED.txt"


class Entry(NamedTuple):
    """A test that is known to fail."""

    test: str
    command: str
    symptom: str
    issue: str


def read(root: pathlib.Path) -> dict[str, Entry]:
    """Return the entries by the names of their tests.

    Raises
    ------
    ValueError
        If a line does not have four fields.
    """
    file = root / FILE
    if not file.exists():
        return {}
    entries = {}
    for line in file.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(Entry._fields):
            raise ValueError(f"{FILE}: {line!r} does not have four fields")
        entries[fields[0]] = Entry(*fields)
    return entries
