"""The command ``cardamompathd``, which runs an instance."""

from __future__ import annotations

import argparse
import os
import signal
import sys

import loguru
from returns import pipeline

from cardamompathd import app
from cardamompathd.settings import loading
from cardamompathd.telemetry import logs

__all__ = [
    "main",
    "run",
]

EXIT_START_FAILED = 2
EXIT_CUT_OFF = 3


def main(argv: list[str] | None = None) -> int:
    """Run an instance until SIGTERM or SIGINT.

    Returns
    -------
    int
        0 after a graceful shutdown, 2 for invalid settings or an address
        that cannot be bound, 3 if work in flight was not answered.
    """
    parser = argparse.ArgumentParser(prog="cardamompathd")
    parser.add_argument("settings", nargs="+", help="INI files")
    args = parser.parse_args(argv)
    loaded = loading.load(args.settings)
    if not pipeline.is_successful(loaded):
        for error in loaded.failure():
            print(error, file=sys.stderr)
        return EXIT_START_FAILED
    cfg = loaded.unwrap()
    logs.configure(cfg["log", "level"], cfg["log", "format"])
    return run(cfg)


def run(cfg: loading.Settings) -> int:
    """Run an instance with checked settings until SIGTERM or SIGINT.

    Returns
    -------
    int
        As `main`.
    """
    signals = (signal.SIGTERM, signal.SIGINT)
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    try:
        _pin_to_processor(cfg["instance", "processor"])
        instance = app.start(cfg)
    except OSError as exc:
        loguru.logger.error("instance: cannot start: {}", exc)
        return EXIT_START_FAILED
    received = signal.sigwait(signals)
    loguru.logger.info(
        "instance: {} received, draining", signal.Signals(received).name
    )
    if app.stop(instance, cfg["instance", "grace"]):
        loguru.logger.info("instance: drained")
        return 0
    loguru.logger.error("instance: work was cut off")
    return EXIT_CUT_OFF


def _pin_to_processor(processor):
    # The threads of one interpreter run one at a time.  On one processor
    # they do so without waking another processor at each switch.
    if processor >= 0:
        os.sched_setaffinity(0, {processor})


if __name__ == "__main__":
    sys.exit(main())
