"""Run a soak, or many; the exit code is 0 only when nothing broke."""

from __future__ import annotations

import argparse
import collections
import queue
import signal
import sys
import time
from collections.abc import Sequence

from cardamompath_proof.soak import checks
from cardamompath_proof.soak import clients
from cardamompath_proof.soak import faults
from cardamompath_proof.soak import regressions
from cardamompath_proof.soak import rig as rigs
from cardamompathd.runtime import clocks

__all__ = [
    "main",
    "run",
]

SETTLE = 7.0
"""Seconds after the last fault in which what is underway ends; a
shutdown takes six."""
SIZES = {
    "small": rigs.Size(),
    "usual": rigs.Size(3, 2, 4),
    "large": rigs.Size(5, 9, 12),
}
"""The large one has two planners in each failure domain."""


def run(
    seed: int,
    size: str = "usual",
    length: float = 20.0,
    count: int = 14,
    program: str = rigs.PROGRAM,
    args=(),
    keep: str = "",
    kinds: Sequence[str] = (),
) -> tuple[list[str], checks.Counts, collections.Counter]:
    """Run one soak.

    Parameters
    ----------
    seed : int
        Draws the faults and the work.
    size : {"small", "usual", "large"}
        How many processes.
    length : float
        Seconds in which faults come.
    count : int
        About how many faults.
    program, args : str and sequence of str
        What instances run.
    keep : str
        Folder for the logs; none are kept when empty.
    kinds : sequence of str
        Kinds of faults; all when empty.

    Returns
    -------
    list of str, Counts, Counter
        What broke, what was checked, and the faults by kind.
    """
    drawn = faults.draw(seed, count, length, kinds)
    with rigs.running(SIZES[size], program, args, keep) as rig:
        submitters = 3 * len(rig.instances)
        records, end = clients.start(rig, seed, submitters)
        faults.play(rig, drawn, length + SETTLE)
        end()
        until = clocks.boottime()
        sends, looks = _sort(records)
        runs = checks.read_runs(rig.executors, until)
        broken = checks.check_all(sends, looks, runs, rig)
    counts = checks.Counts(
        len({one.job for one in sends}),
        len(sends),
        sum(one.state == "complete" for one in sends),
        sum(one.status == 503 for one in sends),
        len(runs),
        len(looks),
    )
    return broken, counts, collections.Counter(one.kind for one in drawn)


def _sort(records):
    sends, looks = [], []
    while True:
        try:
            one = records.get_nowait()
        except queue.Empty:
            return sends, looks
        (sends if isinstance(one, clients.Send) else looks).append(one)


def _end(number, frame):
    raise SystemExit(f"ended by {signal.Signals(number).name}")


def main() -> int:
    """Run the seeds named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--many", type=int, default=1, help="seeds in turn")
    parser.add_argument(
        "--regressions", action="store_true", help="seeds that failed once"
    )
    parser.add_argument("--size", choices=sorted(SIZES), default="usual")
    parser.add_argument("--length", type=float, default=20.0)
    parser.add_argument("--faults", type=int, default=14)
    parser.add_argument("--program", default=rigs.PROGRAM)
    parser.add_argument("--arg", action="append", default=[])
    kinds = sorted(faults.KINDS)
    parser.add_argument("--only", action="append", choices=kinds, default=[])
    parser.add_argument("--keep", default="", help="folder for the logs")
    args = parser.parse_args()
    # So that the processes of a soak end with it.
    signal.signal(signal.SIGTERM, _end)
    signal.signal(signal.SIGINT, _end)
    bad = 0
    seeds = range(args.seed, args.seed + args.many)
    if args.regressions:
        seeds = sorted(regressions.SEEDS)
    for seed in seeds:
        began = time.monotonic()
        broken, counts, kinds = run(
            seed,
            args.size,
            args.length,
            args.faults,
            args.program,
            args.arg,
            args.keep,
            args.only,
        )
        took = time.monotonic() - began
        print(f"seed {seed}: {len(broken)} broken, {took:.0f} s, {counts}")
        print(f"  faults: {dict(kinds)}", flush=True)
        for line in broken[:5]:
            print(f"  {line}", flush=True)
        bad += bool(broken)
    print(f"{len(seeds) - bad} seeds without a fault, {bad} with one")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
