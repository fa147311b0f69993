"""Log output: text on a terminal, one JSON object a line elsewhere."""

from __future__ import annotations

import json
import os
import sys
import traceback

import loguru

__all__ = [
    "configure",
]

TEXT = "{time:HH:mm:ss.SSS} {level: <7} {message}"


def configure(level: str, form: str) -> None:
    """Send the log to standard error.

    Parameters
    ----------
    level : str
        Least level that is logged.
    form : str
        ``auto``, ``text`` or ``json``.
    """
    if form == "auto":
        form = "text" if sys.stderr.isatty() else "json"
    loguru.logger.remove()
    if form == "text":
        # Values in a traceback may be payloads: diagnose stays off.
        loguru.logger.add(
            sys.stderr,
            level=level,
            format=TEXT,
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
        fields["exception"] = _describe(record["exception"])
    sys.stderr.write(json.dumps(fields) + "\n")


def _describe(exception):
    """Return the type and the lines passed, without any values."""
    frames = traceback.extract_tb(exception.traceback)
    places = [
        f"{os.path.basename(one.filename)}:{one.lineno}" for one in frames
    ]
    return f"{exception.type.__name__} at {' > '.join(places)}"
