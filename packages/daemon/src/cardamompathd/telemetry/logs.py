"""Log output: text on a terminal, one JSON object a line elsewhere."""

from __future__ import annotations

import json
import sys

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
        loguru.logger.add(sys.stderr, level=level, format=TEXT)
        return
    loguru.logger.add(_write_json, level=level, format="{message}")


def _write_json(message):
    record = message.record
    part, _, text = record["message"].partition(": ")
    fields = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "part": part,
        "message": text,
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(fields) + "\n")
