"""Log output: text on a terminal, otherwise one JSON object a line."""

from __future__ import annotations

import json
import os
import sys
import traceback

import loguru

__all__ = [
    "configure",
]

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {message}"


def configure(level: str, log_format: str) -> None:
    """Send log messages to standard error.

    Parameters
    ----------
    level : str
        Lowest level that is logged.
    log_format : str
        ``auto``, ``text`` or ``json``.
    """
    if log_format == "auto":
        log_format = "text" if sys.stderr.isatty() else "json"
    loguru.logger.remove()
    if log_format == "text":
        # diagnose is off because it shows values, which may be payloads.
        loguru.logger.add(
            sys.stderr,
            level=level,
            format=TEXT_FORMAT,
            backtrace=False,
            diagnose=False,
        )
        return
    loguru.logger.add(_write_json, level=level, format="{message}")


def _write_json(message):
    record = message.record
    part, colon, text = record["message"].partition(": ")
    fields = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "part": part if colon else "",
        "message": text if colon else part,
    }
    if record["exception"] is not None:
        fields["exception"] = _describe_exception(record["exception"])
    sys.stderr.write(json.dumps(fields) + "\n")


def _describe_exception(exception):
    """Return the type and the lines of the traceback, without values."""
    frames = traceback.extract_tb(exception.traceback)
    lines = [
        f"{os.path.basename(frame.filename)}:{frame.lineno}"
        for frame in frames
    ]
    return f"{exception.type.__name__} at {' > '.join(lines)}"
