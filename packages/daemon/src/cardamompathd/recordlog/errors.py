"""Errors of calls to the platform."""

from __future__ import annotations

__all__ = [
    "AppendOutcomeUnknown",
    "LogUnavailable",
    "PlatformError",
]


class PlatformError(Exception):
    """Base class of the errors of calls to the platform."""


class LogUnavailable(PlatformError):
    """The log refused a call or cannot be reached; the call had no effect."""


class AppendOutcomeUnknown(PlatformError):
    """An append may have taken effect; read back before the next append."""
