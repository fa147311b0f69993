"""Errors of the scenarios."""

from __future__ import annotations

__all__ = [
    "ExpectationError",
    "ScenarioError",
]


class ScenarioError(ValueError):
    """A file is not a scenario."""


class ExpectationError(AssertionError):
    """What a scenario expects did not come about."""
