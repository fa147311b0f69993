"""Errors of the platform's adapter."""

from __future__ import annotations

__all__ = [
    "AdapterError",
    "BadDocument",
    "BadSettings",
    "StoreUnavailable",
    "Trimmed",
]


class AdapterError(Exception):
    """Base of all errors of the adapter."""


class BadSettings(AdapterError):
    """The settings file cannot be used."""


class BadDocument(AdapterError):
    """A document in the store, or a body, does not have its form."""


class StoreUnavailable(AdapterError):
    """The store refused a call or did not answer it."""


class Trimmed(AdapterError):
    """The records that were asked for are no longer kept."""
