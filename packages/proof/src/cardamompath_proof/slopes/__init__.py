"""Costs of the daemon's parts, measured at several sizes each."""

__all__: list[str] = []
