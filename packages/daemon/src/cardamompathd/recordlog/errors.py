"""Errors of the platform boundary."""

from __future__ import annotations

__all__ = [
    "AppendOutcomeUnknown",
    "LogUnavailable",
    "PlatformError",
]


class PlatformError(Exception):
    """Base of all errors of the platform boundary."""


class LogUnavailable(PlatformError):
    """The log refused a call or cannot be reached; nothing was done."""


class AppendOutcomeUnknown(PlatformError):
    """An append may have taken effect; read back before another one."""
