"""Costs of the daemon's parts as linear functions of size."""

__all__: list[str] = []
