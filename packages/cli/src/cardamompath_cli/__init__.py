"""Command line for operators and callers."""

__all__: list[str] = []
