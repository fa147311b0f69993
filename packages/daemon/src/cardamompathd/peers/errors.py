"""Errors of the boundary between instances."""

from __future__ import annotations

__all__ = [
    "BadMessage",
    "PeerError",
    "PeerNoReply",
    "PeerUnreachable",
]


class PeerError(Exception):
    """Base of all errors of this boundary."""


class PeerUnreachable(PeerError):
    """No connection came up; the peer did not get the call."""


class PeerNoReply(PeerError):
    """The connection broke or timed out; the peer may have the call."""


class BadMessage(PeerError):
    """The bytes are no message of the methods that are declared."""
