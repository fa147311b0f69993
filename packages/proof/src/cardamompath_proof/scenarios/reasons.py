"""Why a promise cannot be touched by a failure."""

from __future__ import annotations

__all__ = [
    "REASONS",
]

REASONS: dict[tuple[str, str], str] = {}
"""From promise and failure to the reason for an empty cell."""
