"""Errors of the front ends that the filters turn into responses."""

from __future__ import annotations

__all__ = [
    "BodyCutShort",
    "BodyError",
    "BodyTimeout",
]


class BodyError(Exception):
    """Base of the errors of reading a body."""


class BodyTimeout(BodyError):
    """The body did not arrive in time."""


class BodyCutShort(BodyError):
    """The connection ended within the body."""
