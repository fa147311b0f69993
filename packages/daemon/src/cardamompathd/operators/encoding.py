"""Encodes values for the operators' JSON responses."""

from __future__ import annotations

from typing import Any

__all__ = [
    "encode",
]


def encode(value: Any) -> Any:
    """Convert NamedTuples into dictionaries, also nested ones."""
    if hasattr(value, "_asdict"):
        return {key: encode(item) for key, item in value._asdict().items()}
    if isinstance(value, tuple | list | frozenset):
        return [encode(item) for item in value]
    return value
