"""Check the protocols and their broken variants: ``make model``."""

from __future__ import annotations

import sys

from cardamompath_proof.model import exploration
from cardamompath_proof.model import jobs
from cardamompath_proof.model import notes
from cardamompath_proof.model import offers
from cardamompath_proof.model import variants

__all__ = [
    "PROTOCOLS",
    "WIDE",
    "main",
]

PROTOCOLS = (
    (
        "job: one task, journal, crash and pause",
        jobs,
        jobs.Bounds(ticks=4, renewals=0, progress=1),
    ),
    (
        "job: one task, a renewal, crash and pause",
        jobs,
        jobs.Bounds(ticks=4, renewals=1, progress=0),
    ),
    (
        "job: two tasks",
        jobs,
        jobs.Bounds(tasks=2, ticks=4, renewals=0, progress=0, pause=False),
    ),
    (
        "notes: racing operators and a peer",
        notes,
        notes.Bounds(restarts=0, snapshots=0, expired=1),
    ),
    (
        "notes: retention, a snapshot, a restart and a peer",
        notes,
        notes.Bounds(operators=1, expired=2),
    ),
    ("offers: two planners, a silence", offers, offers.Bounds()),
)
"""Protocols that CI explores: name, module and bounds."""

WIDE = (
    (
        "job: one task, a renewal, five ticks",
        jobs,
        jobs.Bounds(ticks=5, renewals=1, progress=0),
    ),
    ("job: one task, all at once", jobs, jobs.Bounds()),
    (
        "job: appends that land after they were given up",
        jobs,
        jobs.Bounds(
            ticks=4,
            renewals=0,
            progress=2,
            crash=False,
            pause=False,
            late_appends=True,
        ),
    ),
    (
        "notes: racing operators, a snapshot, retention and a peer",
        notes,
        notes.Bounds(restarts=0, expired=1),
    ),
    (
        "offers: two planners, more offers and reports",
        offers,
        offers.Bounds(offers=8, reports=4),
    ),
)
"""Protocols that only ``make model-wide`` explores, which takes minutes."""


def main(argv: list[str]) -> int:
    """Check all protocols; return 0 if all results are as expected."""
    protocols = PROTOCOLS + (WIDE if "--wide" in argv else ())
    passed = True
    for name, module, bounds in protocols:
        protocol = module.make_protocol(bounds=bounds, name=name)
        result = exploration.explore(protocol, module.WITNESSES)
        passed = _print_protocol(result) and passed
    for variant in variants.VARIANTS:
        result = exploration.explore(variant.protocol, {})
        passed = _print_variant(variant, result) and passed
    print("all results as expected" if passed else "unexpected results")
    return 0 if passed else 1


def _print_protocol(result):
    print(
        f"{result.name}: {result.states} states, depth {result.depth}, "
        f"{result.seconds:.1f} s"
    )
    for name in result.holds:
        print(f"  holds: {name}")
    for name, steps in result.broken.items():
        print(f"  BROKEN: {name}")
        _print_steps(steps)
    print(f"  reached: {', '.join(sorted(result.reached))}")
    return not result.broken


def _print_variant(variant, result):
    steps = result.broken.get(variant.property)
    if steps is None:
        print(f"broken variant, {variant.name}: NOT CAUGHT")
        return False
    print(
        f"broken variant, {variant.name}: {result.states} states, "
        f"{result.seconds:.1f} s; no longer holds: {variant.property}; "
        f"{len(steps)} steps"
    )
    _print_steps(steps)
    return True


def _print_steps(steps):
    for number, label in enumerate(steps, 1):
        print(f"    {number:2d} {label}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
