"""Run the drill; the exit status is 0 only if all checks pass."""

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

TIME_LIMIT = 50
"""Seconds for all steps, without the shutdown of the processes."""

LOG_TAIL_LINES = 15
"""Last lines of each instance's log to print after a failure."""

STEPS = (
    steps.kill_owner,
    steps.publish_during_outage,
    steps.measure_control_traffic,
)


def main() -> int:
    """Run all steps and return 0 if none of them failed, else 1."""
    signal.signal(signal.SIGTERM, _exit_on_signal)
    signal.signal(signal.SIGALRM, _exit_on_signal)
    signal.alarm(TIME_LIMIT)
    started_at = time.monotonic()
    failures = _run_steps()
    signal.alarm(0)
    for failure in failures:
        print(f"failure: {failure}")
    result = "failed" if failures else "all checks passed"
    print(f"{result}, {time.monotonic() - started_at:.0f} s")
    return 1 if failures else 0


def _run_steps():
    failures = []
    try:
        with rigs.run_rig() as rig:
            for step in STEPS:
                failures += _run_step(step, rig)
            if failures:
                _print_log_tails(rig)
    except Exception as exc:
        traceback.print_exc()
        failures.append(f"drill aborted: {exc!r}")
    return failures


def _run_step(step, rig):
    try:
        return step(rig)
    except Exception as exc:
        traceback.print_exc()
        return [f"{step.__name__}: {exc!r}"]


def _print_log_tails(rig):
    for instance in rig.instances:
        print(f"log of {instance.name}:")
        for line in instance.log_file.read_text().splitlines()[
            -LOG_TAIL_LINES:
        ]:
            print(f"  {line}")


def _exit_on_signal(signum, frame):
    signal.alarm(0)
    raise SystemExit(f"terminated by {signal.Signals(signum).name}")


if __name__ == "__main__":
    sys.exit(main())
