"""Errors of the decision layer."""

from __future__ import annotations

__all__ = [
    "DecisionError",
    "IdentifierError",
]


class DecisionError(Exception):
    """Base of all errors of this package."""


class IdentifierError(DecisionError, ValueError):
    """A job identifier does not have the form that instances issue."""
