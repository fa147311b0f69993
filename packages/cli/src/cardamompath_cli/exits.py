"""Exit codes of the command line."""

from __future__ import annotations

__all__ = [
    "DONE",
    "FAILED",
    "OUTPUT_CLOSED",
    "PENDING",
    "REFUSED",
    "UNREACHABLE",
    "USAGE",
]

DONE = 0
REFUSED = 1
"""The request was refused and did not run, or there are stuck jobs."""
USAGE = 2
"""Invalid arguments, settings or release note."""
FAILED = 3
"""The job failed; parts of it may have run."""
UNREACHABLE = 4
"""The instance or the platform gave no answer."""
PENDING = 5
"""The job has no answer yet, or the outcome of a note is not known."""
OUTPUT_CLOSED = 6
"""Standard output was closed before all of it was written."""
