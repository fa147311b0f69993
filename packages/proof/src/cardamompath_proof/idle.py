"""Processor share and memory of an idle daemon: ``make idle``.

Starts the daemon's instance in this process, against a platform address
where nothing listens unless ``--platform`` names one, and leaves it
alone.  With ``--pid`` it looks at a daemon that runs already.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import sys
import tempfile
import time
from typing import NamedTuple

from cardamompathd import app
from cardamompathd.settings import loading
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

SETTINGS = """
[instance]
name = entry-1
domain = ciudad-vieja
leave_notice = 0
[callers]
listen = 127.0.0.1:0
[operators]
listen = 127.0.0.1:0
[peers]
listen = 127.0.0.1:0
[platform]
address = {platform}
[log]
level = ERROR
"""


class Usage(NamedTuple):
    """What a process used so far."""

    processor: float
    """Processor time in seconds."""
    resident: int
    """Resident memory in bytes."""
    threads: int


def read_usage(pid: int) -> Usage:
    """Read the usage of a process.

    Raises
    ------
    OSError
        If there is no such process.
    """
    folder = pathlib.Path("/proc", str(pid))
    fields = folder.joinpath("stat").read_text().rpartition(") ")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
    return Usage(ticks / os.sysconf("SC_CLK_TCK"), resident, int(fields[17]))


def measure(pid: int) -> int:
    """Print the usage over the span; 0 when it is within the target."""
    time.sleep(SETTLE)
    before = read_usage(pid)
    time.sleep(SPAN)
    after = read_usage(pid)
    share = (after.processor - before.processor) / SPAN
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
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "idle.ini")
        file.write_text(SETTINGS.format(platform=args.platform))
        cfg = loading.load([str(file)]).unwrap()
    instance = app.start(cfg)
    try:
        return measure(os.getpid())
    finally:
        app.stop(instance, 1.0)


if __name__ == "__main__":
    sys.exit(main())
