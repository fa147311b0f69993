"""Errors of the front ends that filters translate into responses."""

from __future__ import annotations

__all__ = [
    "BodyCutShort",
    "BodyError",
    "BodyTimeout",
]


class BodyError(Exception):
    """Base class of errors in reading a body."""


class BodyTimeout(BodyError):
    """The body did not arrive before the deadline."""


class BodyCutShort(BodyError):
    """The connection ended before the whole body arrived."""
