"""Errors of the platform adapter."""

from __future__ import annotations

__all__ = [
    "AdapterError",
    "BadDocument",
    "BadSettings",
    "MALFORMED",
    "RecordsExpired",
    "StoreUnavailable",
]

MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""What reading a document of any shape can raise: infinite numbers, nesting
that is too deep, and fields that are missing or of another type."""


class AdapterError(Exception):
    """Base class of the adapter's errors."""


class BadSettings(AdapterError):
    """The settings file cannot be read or is invalid."""


class BadDocument(AdapterError):
    """A document from the store, or a request body, is invalid."""


class StoreUnavailable(AdapterError):
    """The store rejected a call, or sent no valid response."""


class RecordsExpired(AdapterError):
    """The requested records have been removed from the log."""

    first: int | None = None
    """Offset of the first record that is still stored, if the store told."""
