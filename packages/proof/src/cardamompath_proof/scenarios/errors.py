"""Errors of the scenarios."""

from __future__ import annotations

__all__ = [
    "ExpectationError",
    "ScenarioError",
]


class ScenarioError(ValueError):
    """A scenario file cannot be parsed."""


class ExpectationError(AssertionError):
    """An expectation of a scenario was not met."""
