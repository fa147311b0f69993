"""Logs and metrics."""

from cardamompathd.telemetry import logs

__all__ = [
    "logs",
]
