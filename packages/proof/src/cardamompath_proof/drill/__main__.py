"""Run the drill; the exit code is 0 only when all checks hold."""

from __future__ import annotations

import signal
import sys
import time
import traceback

from cardamompath_proof.drill import rig as rigs
from cardamompath_proof.drill import steps

__all__ = [
    "main",
]

LIMIT = 50
"""Seconds for all steps; ending the processes comes on top."""

LOG_LINES = 15
"""Lines of each instance's log that are printed after a fault."""

STEPS = (
    steps.kill_owner,
    steps.publish_amid_cut,
    steps.count_control,
)


def main() -> int:
    """Run all steps; 0 when none found a fault."""
    signal.signal(signal.SIGTERM, _interrupt)
    signal.signal(signal.SIGALRM, _interrupt)
    signal.alarm(LIMIT)
    began = time.monotonic()
    faults = _run()
    signal.alarm(0)
    for fault in faults:
        print(f"fault: {fault}")
    verdict = "failed" if faults else "all checks hold"
    print(f"{verdict}, {time.monotonic() - began:.0f} s")
    return 1 if faults else 0


def _run():
    faults = []
    try:
        with rigs.running() as rig:
            for step in STEPS:
                faults += _run_step(step, rig)
            if faults:
                _print_logs(rig)
    except Exception as exc:
        traceback.print_exc()
        faults.append(f"the drill broke off: {exc!r}")
    return faults


def _run_step(step, rig):
    try:
        return step(rig)
    except Exception as exc:
        traceback.print_exc()
        return [f"{step.__name__}: {exc!r}"]


def _print_logs(rig):
    for one in rig.instances:
        print(f"log of {one.name}:")
        for line in one.log.read_text().splitlines()[-LOG_LINES:]:
            print(f"  {line}")


def _interrupt(signum, frame):
    signal.alarm(0)
    raise SystemExit(f"ended by {signal.Signals(signum).name}")


if __name__ == "__main__":
    sys.exit(main())
