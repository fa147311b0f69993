"""Errors of the platform boundary."""

from __future__ import annotations

__all__ = [
    "AppendUnknown",
    "LogUnavailable",
    "PlatformError",
]


class PlatformError(Exception):
    """Base of all errors of the platform boundary."""


class LogUnavailable(PlatformError):
    """The log refused a call or cannot be reached; nothing was done."""


class AppendUnknown(PlatformError):
    """An append may have taken effect; read back before another one."""
