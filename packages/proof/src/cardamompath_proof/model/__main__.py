"""Checks the protocols and their broken variants: ``make model``."""

from __future__ import annotations

import sys

from cardamompath_proof.model import exploration
from cardamompath_proof.model import jobs
from cardamompath_proof.model import notes
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
        notes.Bounds(restarts=0, snapshots=0, forgotten=1),
    ),
    (
        "notes: retention, a snapshot, a restart and a peer",
        notes,
        notes.Bounds(operators=1, forgotten=2),
    ),
)
"""What CI explores: name, module and bounds."""

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
            stray=True,
        ),
    ),
    (
        "notes: racing operators, a snapshot, retention and a peer",
        notes,
        notes.Bounds(restarts=0, forgotten=1),
    ),
)
"""Explored by ``make model-wide`` only, which takes minutes."""


def main(argv: list[str]) -> int:
    """Print what holds; 0 when all is as it has to be."""
    chosen = PROTOCOLS + (WIDE if "--wide" in argv else ())
    right = True
    for name, module, bounds in chosen:
        protocol = module.make_protocol(bounds=bounds, name=name)
        found = exploration.explore(protocol, module.WITNESSES)
        right = _print_protocol(found) and right
    for one in variants.VARIANTS:
        found = exploration.explore(one.protocol, {})
        right = _print_variant(one, found) and right
    print("all as it has to be" if right else "something is wrong")
    return 0 if right else 1


def _print_protocol(found):
    print(
        f"{found.name}: {found.states} states, depth {found.depth}, "
        f"{found.seconds:.1f} s"
    )
    for text in found.holding:
        print(f"  holds: {text}")
    for text, steps in found.broken.items():
        print(f"  BROKEN: {text}")
        _print_steps(steps)
    print(f"  reached: {', '.join(sorted(found.reached))}")
    return not found.broken


def _print_variant(variant, found):
    steps = found.broken.get(variant.property)
    if steps is None:
        print(f"broken variant, {variant.name}: NOT CAUGHT")
        return False
    print(
        f"broken variant, {variant.name}: {found.states} states, "
        f"{found.seconds:.1f} s; no longer holds: {variant.property}; "
        f"{len(steps)} steps"
    )
    _print_steps(steps)
    return True


def _print_steps(steps):
    for number, label in enumerate(steps, 1):
        print(f"    {number:2d} {label}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
