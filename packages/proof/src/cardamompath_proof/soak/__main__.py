"""Run soaks of one or more seeds; exit with 0 if no check failed."""

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

SETTLE_TIME = 20.0
"""Seconds after the last fault; its end and `checks.RECOVERY_BOUND` lie
within, and requests that follow."""
SIZES = {
    "small": rigs.Size(),
    "usual": rigs.Size(3, 2, 4),
    "large": rigs.Size(5, 9, 12),
}
"""The size "large" has two planners in each failure domain."""


def run(
    seed: int,
    size: str = "usual",
    length: float = 20.0,
    count: int = 14,
    program: str = rigs.PROGRAM,
    args=(),
    keep: str = "",
    kinds: Sequence[str] = (),
    series_share: float = faults.SERIES_SHARE,
) -> tuple[list[str], checks.Counts, collections.Counter]:
    """Run one soak.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the jobs.
    size : {"small", "usual", "large"}
        Number of processes.
    length : float
        Seconds over which faults are injected.
    count : int
        Number of faults to draw; those after `length` are left out.
    program, args : str and sequence of str
        Module that instances run, and its arguments.
    keep : str
        Folder for the logs; none are kept when empty.
    kinds : sequence of str
        Kinds of fault; all when empty.
    series_share : float
        Share of the faults that a series of faults follows.

    Returns
    -------
    list of str, Counts, Counter
        Violations found, what was checked, and the faults by kind.
    """
    plan = faults.draw(seed, count, length, kinds, series_share)
    guarded = seed % 2 == 0
    with rigs.run_rig(SIZES[size], program, args, keep, guarded) as rig:
        submitters = 3 * len(rig.instances)
        records, stop_clients = clients.start(rig, seed, submitters)
        faults.inject(rig, plan, length + SETTLE_TIME)
        stop_clients()
        end = clocks.boottime()
        submissions, queries = _drain_records(records)
        runs = checks.read_runs(rig.executors, end)
        violations = checks.check_all(submissions, queries, runs, rig)
    counts = checks.Counts(
        len({sub.job for sub in submissions}),
        len(submissions),
        sum(sub.state == "complete" for sub in submissions),
        sum(sub.status == 503 for sub in submissions),
        len(runs),
        len(queries),
    )
    return violations, counts, collections.Counter(f.kind for f in plan)


def _drain_records(records):
    submissions, queries = [], []
    while True:
        try:
            record = records.get_nowait()
        except queue.Empty:
            return submissions, queries
        (
            submissions if isinstance(record, clients.Submission) else queries
        ).append(record)


def _exit_on_signal(number, frame):
    raise SystemExit(f"stopped by {signal.Signals(number).name}")


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--many", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--regressions", action="store_true", help="seeds that found faults"
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
    # SystemExit runs the cleanup that ends the processes of a soak.
    signal.signal(signal.SIGTERM, _exit_on_signal)
    signal.signal(signal.SIGINT, _exit_on_signal)
    failed = 0
    seeds = range(args.seed, args.seed + args.many)
    if args.regressions:
        seeds = sorted(regressions.SEEDS)
    for seed in seeds:
        began = time.monotonic()
        violations, counts, by_kind = run(
            seed,
            args.size,
            args.length,
            args.faults,
            args.program,
            args.arg,
            args.keep,
            args.only,
        )
        elapsed = time.monotonic() - began
        print(
            f"seed {seed}: {len(violations)} violations, {elapsed:.0f} s, "
            f"{counts}"
        )
        print(f"  faults: {dict(by_kind)}", flush=True)
        for line in violations[:5]:
            print(f"  {line}", flush=True)
        failed += bool(violations)
    print(f"{len(seeds) - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
