"""Processor share and memory of an idle daemon: ``make idle``.

Starts an instance in this process and sends it no requests.  Its platform
address is ``--platform``; nothing listens at the default one.  With
``--pid`` it measures a daemon that is already running instead.
"""

from __future__ import annotations

import argparse
import os
import sys
import time

from cardamompath_proof import local_settings
from cardamompath_proof import processes
from cardamompathd import app
from cardamompathd.telemetry import logs

__all__ = [
    "main",
]

MEASURED_TIME = 30.0
"""Seconds for which the daemon is measured."""

SETTLE_TIME = 2.0
"""Seconds after the start that are not measured."""

MAX_SHARE = 0.005
"""Share of a core that an idle daemon may use."""


def measure(pid: int) -> int:
    """Print the usage; return 0 if the share is at most `MAX_SHARE`."""
    time.sleep(SETTLE_TIME)
    before = processes.read_usage(pid)
    time.sleep(MEASURED_TIME)
    after = processes.read_usage(pid)
    share = (after.cpu - before.cpu) / MEASURED_TIME
    print(f"processor  {share:.3%} of a core over {MEASURED_TIME:g} s")
    print(f"memory     {after.resident / 1e6:.1f} MB resident")
    print(f"threads    {after.threads}")
    return 0 if share <= MAX_SHARE else 1


def main(argv: list[str] | None = None) -> int:
    """Measure an idle daemon; return 0 if its share is low enough."""
    parser = argparse.ArgumentParser(prog="idle", description=__doc__)
    parser.add_argument(
        "--pid", type=int, help="process id of a running daemon"
    )
    parser.add_argument("--platform", default="127.0.0.1:7000")
    args = parser.parse_args(argv)
    if args.pid is not None:
        return measure(args.pid)
    logs.configure("ERROR", "text")
    cfg = local_settings.load(args.platform)
    instance = app.start(cfg)
    try:
        return measure(os.getpid())
    finally:
        app.stop(instance, 1.0)


if __name__ == "__main__":
    sys.exit(main())
