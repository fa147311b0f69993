"""Errors of the communication between instances."""

from __future__ import annotations

__all__ = [
    "BadMessage",
    "PeerError",
    "PeerNoReply",
    "PeerUnreachable",
]


class PeerError(Exception):
    """Base class of the errors of peers."""


class PeerUnreachable(PeerError):
    """No connection was established; the peer did not receive the call."""


class PeerNoReply(PeerError):
    """The connection broke or timed out; the peer may have run the call."""


class BadMessage(PeerError):
    """The bytes are not a valid message of a declared method."""
