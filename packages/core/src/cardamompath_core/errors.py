"""Errors of the decision layer."""

from __future__ import annotations

__all__ = [
    "DecisionError",
    "IdentifierError",
]


class DecisionError(Exception):
    """Base class of all errors of this package."""


class IdentifierError(DecisionError, ValueError):
    """A job identifier or an incarnation has an invalid form."""
