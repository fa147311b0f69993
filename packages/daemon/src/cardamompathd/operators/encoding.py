"""JSON forms of what operators see."""

from __future__ import annotations

from typing import Any

__all__ = [
    "encode",
]


def encode(value: Any) -> Any:
    """Make a NamedTuple, and those within it, into dictionaries."""
    if hasattr(value, "_asdict"):
        return {key: encode(one) for key, one in value._asdict().items()}
    if isinstance(value, tuple | list | frozenset):
        return [encode(one) for one in value]
    return value
