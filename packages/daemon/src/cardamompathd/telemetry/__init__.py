"""Logs and metrics."""

from cardamompathd.telemetry import logs
from cardamompathd.telemetry import metrics

__all__ = [
    "logs",
    "metrics",
]
