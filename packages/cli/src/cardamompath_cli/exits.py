"""Exit codes of the command line."""

from __future__ import annotations

__all__ = [
    "DONE",
    "FAILED",
    "PENDING",
    "REFUSED",
    "UNREACHABLE",
    "UNREAD",
    "USAGE",
]

DONE = 0
REFUSED = 1
"""Refused, nothing ran; or there are stuck jobs."""
USAGE = 2
"""Wrong arguments, settings or release note."""
FAILED = 3
"""The job failed; parts of it may have run."""
UNREACHABLE = 4
"""The instance gave no answer."""
PENDING = 5
"""The job has no answer yet."""
UNREAD = 6
"""The output was closed before all of it was written."""
