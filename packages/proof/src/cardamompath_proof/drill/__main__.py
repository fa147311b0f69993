"""Run the drill; exit with 0 only if all checks pass."""

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

STEPS_TIMEOUT = 50
"""Seconds for all steps; stopping the processes takes extra time."""

LOG_LINES = 15
"""Last lines of each instance's log to print after a fault."""

STEPS = (
    steps.kill_owner,
    steps.publish_during_partition,
    steps.measure_control_traffic,
)


def main() -> int:
    """Run all steps; return 0 if none found a fault."""
    signal.signal(signal.SIGTERM, _interrupt)
    signal.signal(signal.SIGALRM, _interrupt)
    signal.alarm(STEPS_TIMEOUT)
    began = time.monotonic()
    faults = _run()
    signal.alarm(0)
    for fault in faults:
        print(f"fault: {fault}")
    verdict = "failed" if faults else "all checks passed"
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
        faults.append(f"the drill was aborted: {exc!r}")
    return faults


def _run_step(step, rig):
    try:
        return step(rig)
    except Exception as exc:
        traceback.print_exc()
        return [f"{step.__name__}: {exc!r}"]


def _print_logs(rig):
    for instance in rig.instances:
        print(f"log of {instance.name}:")
        for line in instance.log.read_text().splitlines()[-LOG_LINES:]:
            print(f"  {line}")


def _interrupt(signum, frame):
    signal.alarm(0)
    raise SystemExit(f"stopped by {signal.Signals(signum).name}")


if __name__ == "__main__":
    sys.exit(main())
