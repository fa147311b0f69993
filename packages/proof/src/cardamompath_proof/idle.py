"""Processor share and memory of an idle daemon: ``make idle``.

Starts the daemon's instance in this process, against a platform address
where nothing listens unless ``--platform`` names one, and leaves it
alone.  With ``--pid`` it looks at a daemon that runs already.
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

SPAN = 30.0
"""Seconds for which the daemon is looked at."""

SETTLE = 2.0
"""Seconds after the start that do not count."""

TARGET = 0.005
"""Share of a core that an idle daemon may use."""


def measure(pid: int) -> int:
    """Print the usage over the span; 0 when it is within the target."""
    time.sleep(SETTLE)
    before = processes.use(pid)
    time.sleep(SPAN)
    after = processes.use(pid)
    share = (after.cpu - before.cpu) / SPAN
    print(f"processor  {share:.3%} of a core over {SPAN:g} s")
    print(f"memory     {after.resident / 1e6:.1f} MB resident")
    print(f"threads    {after.threads}")
    return 0 if share <= TARGET else 1


def main(argv: list[str] | None = None) -> int:
    """Measure an idle daemon; 0 when it is within the target."""
    parser = argparse.ArgumentParser(prog="idle", description=__doc__)
    parser.add_argument("--pid", type=int, help="a daemon that runs already")
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
