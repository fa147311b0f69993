"""Seeds that failed once, each with its cause."""

from __future__ import annotations

__all__ = [
    "SEEDS",
]

SEEDS = {
    1: "a stand-in of an executor gave two births; its entry looked like"
    " another life than its answers",
    3: "a terminated instance that was killed and started again by another"
    " fault was waited for",
    6: "the answer of an instance that was frozen at the time limit counted"
    " as late",
    9: "as seed 6",
    12: "as seed 6",
    121: "an instance that was told to end and killed 0.2 s later counted as"
    " one that cut its callers off",
    125: "an instance that was frozen did not end on SIGTERM any more; its"
    " main thread had failed on a number that is no signal",
    118: "the driver waited for a store that it had paused itself and was to"
    " wake next",
}
"""All with the usual size.  Causes in the soak itself, mended there, but
for seed 125: `cardamompathd.platform.program` takes signals otherwise."""
